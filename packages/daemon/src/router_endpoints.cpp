// A router instance: the list of endpoints, the evacuated zones, and what
// endpoints state in responses.
#include "router.hpp"

namespace tamarack::daemon {

namespace {

constexpr std::size_t MaxLoggedTextBytes = 64; // Of what others have sent.
constexpr int LinkProbeIntervalMs = 200;

} // namespace

void router::refreshEndpoints() {
  const time_ms Now = Clock.monotonic();
  if (!Directory.update(Now))
    return;
  const std::vector<dispatch::endpoint_entry> Entries = Directory.entries();
  LoadBalancer.setEndpoints(Entries, Now);
  Limiter.setEndpoints(Entries, Now);
  Metrics.gaugeOf("tamarack_endpoints").set(Entries.size());
  Log.write("endpoints",
            {{"count", static_cast<std::int64_t>(Entries.size())}});
}

void router::refreshEvacuations() {
  const time_ms Now = Clock.monotonic();
  const std::vector<follow::zone_change> Changes = Evacuations.update(Now);
  if (Changes.empty())
    return;
  const std::vector<std::string> Zones = Evacuations.zones();
  LoadBalancer.setEvacuatedZones(Zones, Now);
  Metrics.gaugeOf("tamarack_evacuated_zones").set(Zones.size());
  for (const follow::zone_change &Change : Changes)
    Log.write(Change.IsEvacuated ? "zone_evacuated" : "zone_returned",
              {{"zone", std::string_view(Change.Zone)},
               {"offset", static_cast<std::int64_t>(Change.Offset)},
               {"since_ms", Now - Change.EvacuatedAt},
               {"read_ms_ago", ageOf(ConfigurationFollower)}});
}

// No later than now: the next request must not go there.
void router::onLeavingStated(const relay::endpoint_choice &Source,
                             time_ms Now) {
  if (!Directory.onStatedLeaving(Source.Endpoint, Source.StartedAt, Now))
    return;
  Log.write("endpoint_leaving",
            {{"endpoint", std::string_view(Source.Endpoint)},
             {"from", "response"},
             {"started_at", Source.StartedAt},
             {"endpoints_read_ms_ago", ageOf(EndpointFollower)}});
  refreshEndpoints();
}

void router::onPauseStated(const relay::endpoint_choice &Source, int DurationMs,
                           time_ms Now) {
  LoadBalancer.onPauseStated(Source.Endpoint, DurationMs, Now);
}

std::optional<streams::listed_version>
router::find(std::string_view Endpoint) const {
  const dispatch::endpoint_entry *Entry = LoadBalancer.findEntry(Endpoint);
  if (Entry == nullptr)
    return std::nullopt;
  return streams::listed_version{Entry->StartedAt, Entry->Version};
}

time_ms router::knownAsOf() const { return EndpointsKnownAsOf; }

void router::probeFullLink(time_ms Now) {
  const bool IsDue = Now >= NextLinkProbeAt &&
                     ListFreshness.state() == relay::list_state::Outdated;
  if (!IsDue)
    return;
  // The own zone is out of reach least often.
  std::vector<dispatch::endpoint_entry> Entries = Directory.entries();
  std::erase_if(Entries, [this](const dispatch::endpoint_entry &Entry) {
    return Entry.Zone != Settings.Zone;
  });
  if (Entries.empty())
    return;
  NextLinkProbeAt = Now + LinkProbeIntervalMs;
  const std::string &Address = Entries[Random.next() % Entries.size()].Address;
  EndpointProber.probe(Address, [this, Now](bool IsReached, time_ms At) {
    const int QuickMs = ConnectionPool.settings().QuickConnectMs;
    if (IsReached && At - Now <= QuickMs)
      LastQuickLinkProbeAt = Clock.sinceBoot();
  });
}

time_ms router::listKnownAsOf() const { return EndpointFollower.knownAsOf(); }

time_ms router::readUnansweredSince() const {
  return EndpointFollower.unansweredSince();
}

time_ms router::failedReadStartedAt() const {
  return EndpointFollower.failedReadStartedAt();
}

void router::onStatementUnreadable(const relay::endpoint_choice &Source,
                                   std::string_view Field,
                                   std::string_view Text) {
  Metrics.counterOf("tamarack_statements_unreadable_total").add();
  Log.write("statement_unreadable",
            {{"endpoint", std::string_view(Source.Endpoint)},
             {"field", Field},
             {"text", Text.substr(0, MaxLoggedTextBytes)}});
}

} // namespace tamarack::daemon
