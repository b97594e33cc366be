// Passes placement calls on to the load balancer, logs failed attempts, counts
// failures and retries and records the age of the load reports.
#pragma once

#include "tamarack/adapters.hpp"
#include "tamarack/dispatch.hpp"
#include "tamarack/report.hpp"

namespace tamarack::daemon {

// Decorates the load balancer; the choice of endpoints stays the same.
class logged_placement final : public relay::placement_decorator {
public:
  logged_placement(dispatch::load_balancer &LoadBalancer,
                   adapters::event_log &Log, report::metrics_registry &Metrics);

  void onSent(const relay::call &Call, std::string_view Endpoint,
              time_ms Now) override;
  void onEnded(const relay::call &Call, std::string_view Endpoint,
               relay::attempt_outcome End, time_ms Now) override;
  bool tryRetry(std::string_view Service, time_ms Now) override;

private:
  dispatch::load_balancer &LoadBalancer;
  adapters::event_log &Log;
  report::metrics_registry &Metrics;
};

} // namespace tamarack::daemon
