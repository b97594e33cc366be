// Passes placement calls on to the load balancer, logs failed attempts and
// counts failures and retries.
#pragma once

#include "tamarack/adapters.hpp"
#include "tamarack/dispatch.hpp"
#include "tamarack/report.hpp"

namespace tamarack::daemon {

// Decorates the load balancer; the choice of endpoints stays the same.
class logged_placement final : public relay::placement {
public:
  logged_placement(dispatch::load_balancer &LoadBalancer,
                   adapters::event_log &Log, report::metrics_registry &Metrics);

  std::optional<relay::endpoint_choice>
  choose(const relay::call &Call, const std::set<std::string> &Tried,
         time_ms Now) override;
  void onSent(const relay::call &Call, std::string_view Endpoint,
              time_ms Now) override;
  void onFirstByte(const relay::call &Call, std::string_view Endpoint,
                   time_ms Now) override;
  void onEnded(const relay::call &Call, std::string_view Endpoint,
               relay::attempt_outcome End, time_ms Now) override;
  bool tryRetry(std::string_view Service, time_ms Now) override;
  relay::placement_refusal refusal(const relay::call &Call) const override;

private:
  dispatch::load_balancer &LoadBalancer;
  adapters::event_log &Log;
  report::metrics_registry &Metrics;
};

} // namespace tamarack::daemon
