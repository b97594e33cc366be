// Reads event streams with increasing ids.
#include "tamarack/relay.hpp"

#include <algorithm>
#include <cctype>

namespace tamarack::relay {

namespace {

std::string toLower(std::string_view Text) {
  std::string Lower(Text);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  return Lower;
}

// Type and subtype of a Content-Type field, in lower case.
std::string mediaTypeOf(std::string_view ContentType) {
  std::string_view Type = ContentType.substr(0, ContentType.find(';'));
  while (Type.ends_with(' ') || Type.ends_with('\t'))
    Type.remove_suffix(1);
  return toLower(Type);
}

// True if all lines of an event are comments.
bool isComment(std::string_view Event) {
  for (std::size_t Begin = 0; Begin < Event.size();) {
    const std::string_view Line = Event.substr(Begin);
    const bool IsEmpty = Line.front() == '\n' || Line.front() == '\r';
    if (!IsEmpty && Line.front() != ':')
      return false;
    const std::size_t End = Line.find('\n');
    if (End == std::string_view::npos)
      break;
    Begin += End + 1;
  }
  return true;
}

} // namespace

std::string_view response_head::field(std::string_view Name) const {
  const std::string Wanted = toLower(Name);
  for (const header_field &Field : Fields)
    if (toLower(Field.Name) == Wanted)
      return Field.Value;
  return {};
}

bool numbered_event_reader::onHead(const response_head &Head,
                                   std::string_view) {
  const std::string Type = mediaTypeOf(Head.field("Content-Type"));
  IsContinuation = ForwardedEvents > 0;
  HasContinued = false;
  if (IsContinuation)
    return Head.Status == Status && Type == MediaType;
  Status = Head.Status;
  MediaType = Type;
  return true;
}

// True if an event of this id can come next.
bool numbered_event_reader::mayFollow(std::int64_t Id) const {
  if (Id <= LastId)
    return false;
  // Where each id so far was one more than the last one, a gap between two
  // endpoints is a missing event.
  const bool IsFirstOfContinuation = IsContinuation && !HasContinued;
  return !IsFirstOfContinuation || HasIdGaps || Id == LastId + 1;
}

event_action numbered_event_reader::onEvent(const stream_event &Event) {
  const bool IsNumbered = Event.Id >= 0;
  const bool MustBeNumbered = IsContinuation || LastReceivedId >= 0;
  if (MustBeNumbered && isComment(Event.Raw))
    return event_action::Drop;
  if (IsNumbered ? !mayFollow(Event.Id) : MustBeNumbered)
    return event_action::Invalid;
  if (IsNumbered) {
    HasIdGaps = HasIdGaps || (LastId >= 0 && Event.Id > LastId + 1);
    LastId = Event.Id;
  }
  ++ForwardedEvents;
  HasContinued = IsContinuation;
  return event_action::Forward;
}

// A continuation without an event may come from an endpoint that does not know
// the stream, so it does not show that the stream was complete.
bool numbered_event_reader::isComplete() const {
  return !IsContinuation || HasContinued;
}

// Another endpoint can continue only after a numbered event, or from the
// beginning if no event has been forwarded.
bool numbered_event_reader::canResume(call_kind Kind) const {
  return isRepeatable(Kind) && (LastId >= 0 || ForwardedEvents == 0);
}

std::string numbered_event_reader::lastEventId() const {
  return LastId < 0 ? std::string() : std::to_string(LastId);
}

// Charges the prompt once and every forwarded event with the largest number of
// tokens that an event may hold.
std::int64_t numbered_event_reader::tokensToCharge(const call &Call,
                                                   delivery) const {
  return Call.PromptTokens + ForwardedEvents * Call.MaxTokensPerEvent;
}

} // namespace tamarack::relay
