// What the crash guard needs to know about endpoints.
#pragma once

#include "tamarack/dispatch.hpp"
#include "tamarack/edge.hpp"
#include "tamarack/quarantine.hpp"

namespace tamarack::daemon {

// Connects to an endpoint to find out whether a process listens there.
class tcp_endpoint_prober final : public quarantine::endpoint_prober {
public:
  tcp_endpoint_prober(edge::net::io_context &Context, const clock &Clock)
      : Context(Context), Clock(Clock) {}

  void probe(std::string_view Address, int DelayMs, handler Handler) override;

private:
  struct probe_connection;
  void connect(const std::shared_ptr<probe_connection> &Probe);

  edge::net::io_context &Context;
  const clock &Clock;
};

// Looks endpoints up in the load balancer's list.
class listed_endpoints final : public quarantine::endpoint_lookup {
public:
  explicit listed_endpoints(const dispatch::load_balancer &LoadBalancer)
      : LoadBalancer(LoadBalancer) {}

  std::optional<quarantine::endpoint_info>
  find(std::string_view Endpoint) const override;

private:
  const dispatch::load_balancer &LoadBalancer;
};

} // namespace tamarack::daemon
