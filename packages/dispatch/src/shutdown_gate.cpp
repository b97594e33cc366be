// What a stopping process may still begin.
#include "tamarack/dispatch.hpp"

namespace tamarack::dispatch {

namespace {

// An attempt needs at least this many times the objective for the first byte.
constexpr int MinAttemptObjectives = 2;

} // namespace

void shutdown_schedule::begin(time_ms NewOpenUntil, time_ms NewCutAt) {
  OpenUntil = NewOpenUntil;
  CutAt = NewCutAt;
}

bool shutdown_schedule::endsBeforeCut(const relay::call &Call) const {
  return Call.Deadline <= CutAt;
}

bool shutdown_schedule::admitsCall(const relay::call &Call) const {
  return !hasBegun() || Call.ArrivedAt <= OpenUntil || endsBeforeCut(Call);
}

bool shutdown_schedule::admitsAttempt(const relay::call &Call,
                                      time_ms Now) const {
  return !hasBegun() || endsBeforeCut(Call) ||
         CutAt - Now >= MinAttemptObjectives * Call.TargetFirstByteMs;
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
