// Connects packages/forwarding to the load balancer, the log and the sockets.
#pragma once

#include "tamarack/adapters.hpp"
#include "tamarack/dispatch.hpp"
#include "tamarack/edge.hpp"
#include "tamarack/forwarding.hpp"
#include "tamarack/quarantine.hpp"
#include "tamarack/report.hpp"

namespace tamarack::daemon {

// The load balancer's list.
class listed_paths final : public forwarding::endpoint_paths,
                           public forwarding::unplaced_reason {
public:
  explicit listed_paths(const dispatch::load_balancer &LoadBalancer)
      : LoadBalancer(LoadBalancer) {}

  std::vector<forwarding::endpoint_path>
  pathsOf(std::string_view Service) const override;
  bool isOutOfReach(const relay::call &Call, time_ms Now) const override;

private:
  const dispatch::load_balancer &LoadBalancer;
};

class forwarding_log final : public forwarding::path_monitor_listener {
public:
  forwarding_log(adapters::event_log &Log, report::metrics_registry &Metrics)
      : Log(Log), Metrics(Metrics) {}

  void onCutOff(std::string_view Service, std::size_t Unreached) override;
  void onReached(std::string_view Service, time_ms CutOffMs) override;

private:
  adapters::event_log &Log;
  report::metrics_registry &Metrics;
};

// Decorates a prober: while this instance seems to be cut off from a service,
// an endpoint that refuses connections is dead only if that has ended a moment
// later.
class path_aware_prober final : public quarantine::endpoint_prober {
public:
  path_aware_prober(edge::net::io_context &Context, const clock &Clock,
                    quarantine::endpoint_prober &Inner,
                    const dispatch::load_balancer &LoadBalancer,
                    forwarding::path_monitor &Paths)
      : Context(Context), Clock(Clock), Inner(Inner),
        LoadBalancer(LoadBalancer), Paths(Paths) {}

  void probe(std::string_view Address, int DelayMs, handler Handler) override;

private:
  void confirm(const dispatch::endpoint_entry &Endpoint, handler Handler);

  edge::net::io_context &Context;
  const clock &Clock;
  quarantine::endpoint_prober &Inner;
  const dispatch::load_balancer &LoadBalancer;
  forwarding::path_monitor &Paths;
};

} // namespace tamarack::daemon
