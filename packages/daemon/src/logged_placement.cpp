// Logs what becomes of attempts.
#include "logged_placement.hpp"

namespace tamarack::daemon {

logged_placement::logged_placement(dispatch::dispatcher &Dispatcher,
                                   adapters::event_log &Log,
                                   report::metrics_registry &Metrics)
    : Dispatcher(Dispatcher), Log(Log), Metrics(Metrics) {}

std::optional<relay::endpoint_choice>
logged_placement::choose(const relay::call &Call,
                         const std::set<std::string> &Tried, time_ms Now) {
  return Dispatcher.choose(Call, Tried, Now);
}

void logged_placement::onSent(const relay::call &Call,
                              std::string_view Endpoint, time_ms Now) {
  Dispatcher.onSent(Call, Endpoint, Now);
}

void logged_placement::onFirstByte(const relay::call &Call,
                                   std::string_view Endpoint, time_ms Now) {
  Dispatcher.onFirstByte(Call, Endpoint, Now);
}

void logged_placement::onEnded(const relay::call &Call,
                               std::string_view Endpoint,
                               relay::attempt_outcome End, time_ms Now) {
  if (End != relay::attempt_outcome::Good) {
    const std::string Known = Dispatcher.describe(Endpoint, Now);
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
                                 {"known", std::string_view(Known)}});
  }
  Dispatcher.onEnded(Call, Endpoint, End, Now);
}

bool logged_placement::tryRetry(std::string_view Service, time_ms Now) {
  const bool Allowed = Dispatcher.tryRetry(Service, Now);
  Metrics
      .counterOf(Allowed ? "tamarack_repeats_total"
                         : "tamarack_repeats_refused_total")
      .add();
  return Allowed;
}

relay::placement_refusal
logged_placement::refusal(const relay::call &Call) const {
  return Dispatcher.refusal(Call);
}

} // namespace tamarack::daemon
