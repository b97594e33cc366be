// Log lines and metrics about the rate limits of endpoints.
#pragma once

#include "tamarack/adapters.hpp"
#include "tamarack/limits.hpp"
#include "tamarack/report.hpp"

namespace tamarack::daemon {

class limit_log final : public limits::limiter_listener {
public:
  limit_log(adapters::event_log &Log, report::metrics_registry &Metrics)
      : Log(Log), Metrics(Metrics) {}

  void onLimitChanged(std::string_view Endpoint,
                      const limits::known_limit &Limit,
                      std::string_view Reporter) override;
  void onLimitUnreadable(std::string_view Endpoint,
                         std::string_view Text) override;
  void onShareChanged(std::string_view Endpoint, double SharePerSecond,
                      double LimitPerSecond, int Instances) override;
  void onEndpointCold(std::string_view Endpoint, time_ms RemainingMs,
                      double SharePerSecond, double LimitPerSecond,
                      std::size_t Cold) override;
  void onEndpointWarm(std::string_view Endpoint, std::size_t Cold) override;
  void onCallRefused(const relay::call &Call, int RetryAfterMs) override;

private:
  adapters::event_log &Log;
  report::metrics_registry &Metrics;
};

} // namespace tamarack::daemon
