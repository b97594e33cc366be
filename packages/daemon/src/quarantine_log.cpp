// Log lines and metrics about crashed endpoints and causes in quarantine.
#include "quarantine_log.hpp"

#include "hex.hpp"

#include <algorithm>

namespace tamarack::daemon {

namespace {

// How one kind of cause is named in log lines and metrics.
struct cause_names {
  std::string_view Field;
  std::string_view Quarantined; // Event.
  std::string_view Released;    // Event.
  std::string_view Refused;     // Event.
  const char *RefusedTotal;     // Metric.
  const char *QuarantinedNow;   // Metric.
};

constexpr cause_names PartNames{"part",
                                "part_quarantined",
                                "part_released",
                                "part_refused",
                                "tamarack_prompt_parts_refused_total",
                                "tamarack_prompt_parts_quarantined"};
constexpr cause_names RequestNames{
    "request",
    "request_quarantined",
    "request_released",
    "request_refused",
    "tamarack_requests_refused_by_quarantine_total",
    "tamarack_requests_quarantined"};

const cause_names &namesOf(quarantine::cause_kind Kind) {
  return Kind == quarantine::cause_kind::Request ? RequestNames : PartNames;
}

std::int64_t countOf(std::span<const quarantine::cause> Causes,
                     quarantine::cause_kind Kind) {
  return std::ranges::count(Causes, Kind, &quarantine::cause::Kind);
}

} // namespace

void quarantine_log::onEndpointDied(
    const quarantine::endpoint_start &Endpoint, int BrokenCalls,
    std::span<const quarantine::cause> Candidates) {
  using quarantine::cause_kind;
  Metrics.counterOf("tamarack_endpoints_died_total").add();
  Log.write("endpoint_died",
            {{"endpoint", std::string_view(Endpoint.Endpoint)},
             {"started_at", Endpoint.StartedAt},
             {"broken_calls", std::int64_t(BrokenCalls)},
             {"suspected_requests", countOf(Candidates, cause_kind::Request)},
             {"suspected_parts", countOf(Candidates, cause_kind::PromptPart)}});
}

void quarantine_log::onCallRefused(
    const relay::call &Call, const quarantine::quarantine_refusal &Refusal) {
  const cause_names &Names = namesOf(Refusal.Cause.Kind);
  const std::string Id = toHex(Refusal.Cause.Id);
  Metrics.counterOf(Names.RefusedTotal).add();
  Log.write(Names.Refused,
            {{"id", std::string_view(Call.Id)},
             {Names.Field, std::string_view(Id)},
             {"retry_after_ms", std::int64_t(Refusal.RetryAfterMs)}});
}

void quarantine_log::recordQuarantine(
    const quarantine::crash_quarantine &Quarantine, time_ms Now) {
  std::map<quarantine::cause, int> Crashes;
  for (const quarantine::quarantined_cause &Item :
       Quarantine.quarantinedCauses()) {
    Crashes.emplace(Item.Cause, Item.Crashes);
    const auto Known = KnownCrashes.find(Item.Cause);
    if (Known != KnownCrashes.end() && Known->second == Item.Crashes)
      continue;
    const cause_names &Names = namesOf(Item.Cause.Kind);
    const std::string Id = toHex(Item.Cause.Id);
    Log.write(Names.Quarantined, {{Names.Field, std::string_view(Id)},
                                  {"crashes", std::int64_t(Item.Crashes)},
                                  {"for_ms", Item.Until - Now}});
  }
  for (const auto &[Cause, Count] : KnownCrashes) {
    if (Crashes.contains(Cause))
      continue;
    const cause_names &Names = namesOf(Cause.Kind);
    const std::string Id = toHex(Cause.Id);
    Log.write(Names.Released, {{Names.Field, std::string_view(Id)},
                               {"crashes", std::int64_t(Count)}});
  }
  KnownCrashes = std::move(Crashes);
  setCounts();
}

void quarantine_log::setCounts() {
  std::uint64_t Requests = 0;
  for (const auto &[Cause, Count] : KnownCrashes)
    Requests += Cause.Kind == quarantine::cause_kind::Request ? 1 : 0;
  Metrics.gaugeOf(RequestNames.QuarantinedNow).set(Requests);
  Metrics.gaugeOf(PartNames.QuarantinedNow).set(KnownCrashes.size() - Requests);
}

} // namespace tamarack::daemon
