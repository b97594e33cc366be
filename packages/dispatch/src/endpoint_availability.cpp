// Whether one run of an endpoint may get requests of this instance.
#include "tamarack/dispatch.hpp"

#include <algorithm>

namespace tamarack::dispatch {

namespace {

// An endpoint is avoided after a failure to connect. The time doubles with each
// further failure in a row, up to the maximum.
constexpr int FirstAvoidMs = 500;
constexpr int MaxAvoidMs = 1'500;
// Connect failures in a row after which an endpoint counts as unreachable.
constexpr int UnreachableAfter = 2;

} // namespace

std::string_view toString(withheld_reason Reason) {
  switch (Reason) {
  case withheld_reason::None:
    return "none";
  case withheld_reason::Unlisted:
    return "unlisted";
  case withheld_reason::Leaving:
    return "leaving";
  case withheld_reason::Misplaced:
    return "misplaced";
  case withheld_reason::Evacuated:
    return "evacuated";
  case withheld_reason::Paused:
    return "paused";
  case withheld_reason::Limited:
    return "limited";
  case withheld_reason::Unreachable:
    return "unreachable";
  }
  return "";
}

void endpoint_availability::reset() {
  const int RequestsInFlight = InFlight;
  *this = {};
  InFlight = RequestsInFlight;
}

void endpoint_availability::pauseUntil(time_ms Until) {
  PausedUntil = std::max(PausedUntil, Until);
  ResumeWindow = 1;
  Unanswered.clear();
}

void endpoint_availability::onSent(const relay::call &Call) {
  ++InFlight;
  if (ResumeWindow > 0)
    Unanswered.insert(&Call);
}

void endpoint_availability::onAnswered(const relay::call &Call) {
  if (Unanswered.erase(&Call) == 0)
    return;
  ResumeWindow *= 2;
  if (ResumeWindow < Slots)
    return;
  ResumeWindow = 0;
  Unanswered.clear();
}

void endpoint_availability::onFirstByte(const relay::call &Call) {
  ConnectFailuresInRow = 0;
  onAnswered(Call);
}

void endpoint_availability::onEnded(const relay::call &Call,
                                    relay::attempt_outcome Outcome,
                                    time_ms Now) {
  --InFlight;
  switch (Outcome) {
  case relay::attempt_outcome::Good:
  case relay::attempt_outcome::Unproven:
  case relay::attempt_outcome::Failed:
    return onAnswered(Call);
  case relay::attempt_outcome::Misplaced:
    IsMisplaced = true;
    break;
  case relay::attempt_outcome::Unreached:
    ++ConnectFailuresInRow;
    AvoidUntil =
        Now + std::min(MaxAvoidMs,
                       FirstAvoidMs << std::min(3, ConnectFailuresInRow - 1));
    break;
  case relay::attempt_outcome::Refused:
  case relay::attempt_outcome::Broken:
  case relay::attempt_outcome::Cancelled:
  case relay::attempt_outcome::Withdrawn:
    break;
  }
  Unanswered.erase(&Call);
}

bool endpoint_availability::isAvoided(time_ms Now) const {
  if (AvoidUntil > Now)
    return true;
  return ConnectFailuresInRow > 0 && InFlight > 0;
}

withheld_reason endpoint_availability::reason(time_ms Now) const {
  if (!IsListed)
    return withheld_reason::Unlisted;
  if (IsLeaving)
    return withheld_reason::Leaving;
  if (IsMisplaced)
    return withheld_reason::Misplaced;
  if (IsEvacuated)
    return withheld_reason::Evacuated;
  const bool AreStepsFull =
      ResumeWindow > 0 &&
      Unanswered.size() >= static_cast<std::size_t>(ResumeWindow);
  if (PausedUntil > Now || AreStepsFull)
    return withheld_reason::Paused;
  if (ConnectFailuresInRow >= UnreachableAfter && isAvoided(Now))
    return withheld_reason::Unreachable;
  return withheld_reason::None;
}

bool endpoint_availability::mayStillSend(time_ms Now) const {
  return takesNewWork() && PausedUntil <= Now;
}

} // namespace tamarack::dispatch
