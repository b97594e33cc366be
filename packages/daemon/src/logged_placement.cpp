// Logs failed attempts, counts failures and retries, records report ages.
#include "logged_placement.hpp"

#include "hex.hpp"

namespace tamarack::daemon {

namespace {

// Ids of the prompt parts that other calls may share, all but the last one.
std::string sharedPartsOf(const relay::call &Call) {
  std::string Text;
  for (std::size_t I = 0; I + 1 < Call.Prompt.size(); ++I) {
    if (!Text.empty())
      Text += ',';
    Text += toHex(Call.Prompt[I].Id);
  }
  return Text;
}

} // namespace

logged_placement::logged_placement(dispatch::load_balancer &LoadBalancer,
                                   adapters::event_log &Log,
                                   report::metrics_registry &Metrics)
    : placement_decorator(LoadBalancer), LoadBalancer(LoadBalancer), Log(Log),
      Metrics(Metrics) {}

void logged_placement::onSent(const relay::call &Call,
                              std::string_view Endpoint, time_ms Now) {
  const time_ms AgeMs = LoadBalancer.loadAgeMs(Endpoint, Now);
  if (AgeMs >= 0)
    Metrics.histogramOf("tamarack_load_report_age_ms")
        .observe(static_cast<double>(AgeMs));
  placement_decorator::onSent(Call, Endpoint, Now);
}

void logged_placement::onEnded(const relay::call &Call,
                               std::string_view Endpoint,
                               relay::attempt_outcome End, time_ms Now) {
  if (End != relay::attempt_outcome::Good &&
      End != relay::attempt_outcome::Unproven) {
    const std::string EndpointState = LoadBalancer.describe(Endpoint, Now);
    const std::string Parts = sharedPartsOf(Call);
    const std::string Request = toHex(Call.Fingerprint);
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
                                 {"parts", std::string_view(Parts)},
                                 {"request", std::string_view(Request)},
                                 {"known", std::string_view(EndpointState)}});
  }
  placement_decorator::onEnded(Call, Endpoint, End, Now);
}

bool logged_placement::tryRetry(std::string_view Service, time_ms Now) {
  const bool Allowed = placement_decorator::tryRetry(Service, Now);
  Metrics
      .counterOf(Allowed ? "tamarack_repeats_total"
                         : "tamarack_repeats_refused_total")
      .add();
  return Allowed;
}

} // namespace tamarack::daemon
