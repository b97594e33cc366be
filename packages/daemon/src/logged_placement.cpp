// Logs failed attempts and counts failures and retries.
#include "logged_placement.hpp"

namespace tamarack::daemon {

logged_placement::logged_placement(dispatch::load_balancer &LoadBalancer,
                                   adapters::event_log &Log,
                                   report::metrics_registry &Metrics)
    : LoadBalancer(LoadBalancer), Log(Log), Metrics(Metrics) {}

std::optional<relay::endpoint_choice>
logged_placement::choose(const relay::call &Call,
                         const std::set<std::string> &Tried, time_ms Now) {
  return LoadBalancer.choose(Call, Tried, Now);
}

void logged_placement::onSent(const relay::call &Call,
                              std::string_view Endpoint, time_ms Now) {
  LoadBalancer.onSent(Call, Endpoint, Now);
}

void logged_placement::onFirstByte(const relay::call &Call,
                                   std::string_view Endpoint, time_ms Now) {
  LoadBalancer.onFirstByte(Call, Endpoint, Now);
}

void logged_placement::onEnded(const relay::call &Call,
                               std::string_view Endpoint,
                               relay::attempt_outcome End, time_ms Now) {
  if (End != relay::attempt_outcome::Good) {
    const std::string EndpointState = LoadBalancer.describe(Endpoint, Now);
    Metrics
        .counterOf("tamarack_attempts_failed_total{end=\"" +
                   std::string(relay::toString(End)) + "\"}")
        .add();
    Log.write("attempt_failed", {{"id", std::string_view(Call.Id)},
                                 {"service", std::string_view(Call.Service)},
                                 {"endpoint", Endpoint},
                                 {"end", relay::toString(End)},
                                 {"ms", Now - Call.ArrivedAt},
                                 {"left_ms", Call.Deadline - Now},
                                 {"known", std::string_view(EndpointState)}});
  }
  LoadBalancer.onEnded(Call, Endpoint, End, Now);
}

bool logged_placement::tryRetry(std::string_view Service, time_ms Now) {
  const bool Allowed = LoadBalancer.tryRetry(Service, Now);
  Metrics
      .counterOf(Allowed ? "tamarack_repeats_total"
                         : "tamarack_repeats_refused_total")
      .add();
  return Allowed;
}

relay::placement_refusal
logged_placement::refusal(const relay::call &Call) const {
  return LoadBalancer.refusal(Call);
}

} // namespace tamarack::daemon
