// Reads event streams with increasing ids.
#include "tamarack/relay.hpp"

#include <algorithm>

namespace tamarack::relay {

event_action numbered_event_reader::onEvent(const stream_event &Event) {
  if (Event.Id >= 0 && Event.Id <= LastForwardedId)
    return event_action::Invalid;
  LastForwardedId = std::max(LastForwardedId, Event.Id);
  ++ForwardedEvents;
  return event_action::Forward;
}

// Another endpoint can continue only after a numbered event, or from the
// beginning if no event has been forwarded.
bool numbered_event_reader::canResume(call_kind Kind) const {
  return isRepeatable(Kind) && (LastForwardedId >= 0 || ForwardedEvents == 0);
}

std::string numbered_event_reader::lastEventId() const {
  return LastForwardedId < 0 ? std::string() : std::to_string(LastForwardedId);
}

// Charges the prompt once and every forwarded event with the largest number of
// tokens that an event may hold.
std::int64_t numbered_event_reader::tokensToCharge(const call &Call,
                                                   delivery) const {
  return Call.PromptTokens + ForwardedEvents * Call.MaxTokensPerEvent;
}

} // namespace tamarack::relay
