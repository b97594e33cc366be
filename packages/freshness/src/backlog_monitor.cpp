// Whether this instance has more to do than it can.
#include "tamarack/freshness.hpp"

#include <algorithm>

namespace tamarack::freshness {

namespace {

constexpr double MsPerSecond = 1'000;

} // namespace

void backlog_monitor::onTick(const backlog_sample &Sample) {
  const time_ms Now = Clock.sinceBoot();
  if (isTickLate(Now) || Sample.ReadyWaitMs > Settings.MaxDelayMs)
    LastLateAt = Now;
  LastTickAt = Now;
  Samples.push_back({Now, Sample});
  while (Samples.size() > 2 && Samples[1].At <= Now - Settings.WindowMs)
    Samples.pop_front();
  const bool WasQuick = Sample.LastQuickConnectAt >= 0 &&
                        Now - Sample.LastQuickConnectAt < Settings.WindowMs;
  if (isLinkBusy(Now) && !WasQuick)
    LastFullAt = Now;
}

bool backlog_monitor::isLinkBusy(time_ms Now) const {
  const backlog_sample &First = Samples.front().Sample;
  const backlog_sample &Last = Samples.back().Sample;
  // A window that is not full yet would take a moment's burst for a full link.
  const time_ms WindowMs =
      std::max<time_ms>(Now - Samples.front().At, Settings.WindowMs);
  const double FullBytes = Settings.FullLinkShare * Settings.LinkBytesPerS *
                           static_cast<double>(WindowMs) / MsPerSecond;
  const std::uint64_t Bytes =
      std::max(Last.Received - First.Received, Last.Sent - First.Sent);
  return Settings.LinkBytesPerS > 0 && static_cast<double>(Bytes) >= FullBytes;
}

bool backlog_monitor::isHeld(time_ms SignAt, time_ms Now) const {
  return SignAt >= 0 && Now - SignAt < Settings.HoldMs;
}

bool backlog_monitor::isLinkFull() const {
  return isHeld(LastFullAt, Clock.sinceBoot());
}

bool backlog_monitor::isTickLate(time_ms Now) const {
  return LastTickAt >= 0 &&
         Now - LastTickAt > Settings.TickMs + Settings.MaxDelayMs;
}

bool backlog_monitor::isLoopLate() const {
  const time_ms Now = Clock.sinceBoot();
  return isTickLate(Now) || isHeld(LastLateAt, Now);
}

} // namespace tamarack::freshness
