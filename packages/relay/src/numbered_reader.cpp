// Streams of events with rising ids.
#include "tamarack/relay.hpp"

#include <algorithm>

namespace tamarack::relay {

event_use numbered_reader::onEvent(const stream_event &Event) {
  if (Event.Id >= 0 && Event.Id <= LastId)
    return event_use::Foreign;
  LastId = std::max(LastId, Event.Id);
  ++Events;
  return event_use::Pass;
}

// A stream can go on elsewhere only from a numbered event.
bool numbered_reader::canResume(call_kind Kind) const {
  return isRepeatable(Kind) && (LastId >= 0 || Events == 0);
}

std::string numbered_reader::resumeAfter() const {
  return LastId < 0 ? std::string() : std::to_string(LastId);
}

// The prompt once, and what was passed on.
std::int64_t numbered_reader::used(const call &Call, delivery) const {
  return Call.PromptTokens + Events * Call.EventTokens;
}

} // namespace tamarack::relay
