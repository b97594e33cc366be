// What a stopping process may still begin.
#include "tamarack/dispatch.hpp"

#include <algorithm>

namespace tamarack::dispatch {

namespace {

// An attempt needs at least this many times the objective for the first byte.
constexpr int MinAttemptObjectives = 2;
// From the failing readiness check until no new connections arrive.
constexpr int OpenMs = 2'500;
constexpr int CutMarginMs = 500; // Before the end of the grace time.
// Parts of a grace time that is too short for these.
constexpr int OpenFraction = 3;
constexpr int CutMarginFraction = 4;

} // namespace

time_ms earliestSignalTime(const task_times &Task, time_ms Now) {
  const bool IsOverdue = Now >= Task.NextDueAt;
  const time_ms IdleSince = IsOverdue ? Task.NextDueAt : Task.LastDueAt;
  return IdleSince < 0 ? Now : std::min(Now, IdleSince);
}

// The last responses have half of the margin to reach their callers.
shutdown_times planShutdown(time_ms RequestedAt, int GraceMs) {
  const int MarginMs = std::min(CutMarginMs, GraceMs / CutMarginFraction);
  shutdown_times Times;
  Times.OpenUntil = RequestedAt + std::min(OpenMs, GraceMs / OpenFraction);
  Times.CutAt = RequestedAt + GraceMs - MarginMs;
  Times.EndAt = Times.CutAt + MarginMs / 2;
  return Times;
}

bool shutdown_schedule::endsBeforeCut(const relay::call &Call) const {
  return Call.Deadline <= Times.CutAt;
}

bool shutdown_schedule::admitsCall(const relay::call &Call) const {
  return !hasBegun() || Call.ArrivedAt <= Times.OpenUntil ||
         endsBeforeCut(Call);
}

bool shutdown_schedule::admitsAttempt(const relay::call &Call,
                                      time_ms Now) const {
  return !hasBegun() || endsBeforeCut(Call) ||
         Times.CutAt - Now >= MinAttemptObjectives * Call.TargetFirstByteMs;
}

std::optional<relay::placement_refusal>
shutdown_gate::admit(const relay::call &Call, time_ms Now) {
  if (!Schedule.admitsCall(Call))
    return refusal(Call);
  return placement_decorator::admit(Call, Now);
}

std::optional<relay::endpoint_choice>
shutdown_gate::choose(const relay::call &Call,
                      const std::set<std::string> &Tried, time_ms Now) {
  if (!Schedule.admitsAttempt(Call, Now))
    return std::nullopt;
  return placement_decorator::choose(Call, Tried, Now);
}

relay::placement_refusal shutdown_gate::refusal(const relay::call &Call) const {
  if (!Schedule.hasBegun())
    return placement_decorator::refusal(Call);
  return {relay::error_kind::NotReady, relay::OtherInstanceRetryAfterMs};
}

} // namespace tamarack::dispatch
