// Streams of events with rising ids.
#include "tamarack/relay.hpp"

#include <algorithm>

namespace tamarack::relay {

event_action numbered_event_reader::onEvent(const stream_event &Event) {
  if (Event.Id >= 0 && Event.Id <= LastId)
    return event_action::Invalid;
  LastId = std::max(LastId, Event.Id);
  ++Events;
  return event_action::Forward;
}

// A stream can go on elsewhere only from a numbered event.
bool numbered_event_reader::canResume(call_kind Kind) const {
  return isRepeatable(Kind) && (LastId >= 0 || Events == 0);
}

std::string numbered_event_reader::lastEventId() const {
  return LastId < 0 ? std::string() : std::to_string(LastId);
}

// The prompt once, and what was passed on.
std::int64_t numbered_event_reader::tokensToCharge(const call &Call,
                                                   delivery) const {
  return Call.PromptTokens + Events * Call.MaxTokensPerEvent;
}

} // namespace tamarack::relay
