// Log lines and metrics about the rate limits of endpoints.
#include "limit_log.hpp"

namespace tamarack::daemon {

namespace {

constexpr std::size_t MaxLoggedTextBytes = 64;
constexpr double NoLimit = -1; // Of per_second and before in log lines.

} // namespace

void limit_log::onLimitChanged(std::string_view Endpoint,
                               const limits::known_limit &Limit,
                               std::string_view Reporter) {
  Metrics.counterOf("tamarack_limit_changes_total").add();
  Log.write("endpoint_limit",
            {{"endpoint", Endpoint},
             {"per_second", Limit.PerSecond.value_or(NoLimit)},
             {"before", Limit.Before.value_or(NoLimit)},
             {"number", static_cast<std::int64_t>(Limit.Version)},
             {"from", Reporter.empty() ? "response" : Reporter}});
}

void limit_log::onLimitUnreadable(std::string_view Endpoint,
                                  std::string_view Text) {
  Metrics.counterOf("tamarack_limits_unreadable_total").add();
  Log.write(
      "endpoint_limit_unreadable",
      {{"endpoint", Endpoint}, {"text", Text.substr(0, MaxLoggedTextBytes)}});
}

void limit_log::onShareChanged(std::string_view Endpoint, double SharePerSecond,
                               double LimitPerSecond, int Instances) {
  Log.write("limit_share", {{"endpoint", Endpoint},
                            {"per_second", SharePerSecond},
                            {"limit", LimitPerSecond},
                            {"instances", std::int64_t(Instances)}});
}

void limit_log::onEndpointCold(std::string_view Endpoint, time_ms RemainingMs,
                               double SharePerSecond, double LimitPerSecond,
                               std::size_t Cold) {
  Metrics.gaugeOf("tamarack_cold_endpoints").set(Cold);
  Log.write("endpoint_cold", {{"endpoint", Endpoint},
                              {"for_ms", std::int64_t(RemainingMs)},
                              {"per_second", SharePerSecond},
                              {"limit", LimitPerSecond},
                              {"cold", static_cast<std::int64_t>(Cold)}});
}

void limit_log::onEndpointWarm(std::string_view Endpoint, std::size_t Cold) {
  Metrics.gaugeOf("tamarack_cold_endpoints").set(Cold);
  Log.write("endpoint_warm", {{"endpoint", Endpoint},
                              {"cold", static_cast<std::int64_t>(Cold)}});
}

void limit_log::onCallRefused(const relay::call &Call, int RetryAfterMs) {
  Metrics.counterOf("tamarack_calls_refused_by_limits_total").add();
  Log.write("limits_used_up", {{"id", std::string_view(Call.Id)},
                               {"service", std::string_view(Call.Service)},
                               {"retry_after_ms", std::int64_t(RetryAfterMs)}});
}

} // namespace tamarack::daemon
