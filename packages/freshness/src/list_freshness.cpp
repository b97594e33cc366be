// Whether the list of endpoints may still decide where calls go.
#include "tamarack/freshness.hpp"

namespace tamarack::freshness {

relay::list_state list_freshness::state() {
  const time_ms Now = Clock.sinceBoot();
  const time_ms KnownAsOf = Reads.listKnownAsOf();
  const bool IsRecent =
      KnownAsOf < 0 || Now - KnownAsOf <= Settings.MaxListAgeMs;
  if (IsRecent) {
    IsCutOff = false;
    return relay::list_state::Current;
  }
  // The cut may have ended while the process stood still.
  if (Backlog.isLoopLate()) {
    IsCutOff = false;
    return relay::list_state::Pending;
  }
  IsCutOff = IsCutOff || (!Backlog.isLinkFull() && looksCutOff(Now));
  if (IsCutOff)
    return relay::list_state::Current;
  return Backlog.isLinkFull() ? relay::list_state::Outdated
                              : relay::list_state::Pending;
}

// A read that was started before the last backlog may be late for its sake.
bool list_freshness::looksCutOff(time_ms Now) const {
  const time_ms BacklogAt = Backlog.lastSignAt();
  if (Reads.failedReadStartedAt() > BacklogAt)
    return true;
  const time_ms Since = Reads.readUnansweredSince();
  return Since > BacklogAt && Now - Since >= Settings.SilenceMs;
}

} // namespace tamarack::freshness
