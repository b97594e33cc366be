// Splits a text/event-stream into events.
#include "tamarack/relay.hpp"

#include <algorithm>
#include <charconv>

namespace tamarack::relay {

namespace {

constexpr std::string_view LfEventEnd = "\n\n";
constexpr std::string_view CrLfEventEnd = "\r\n\r\n";

std::string_view fieldValue(std::string_view Line, std::string_view Field) {
  std::string_view Value = Line.substr(Field.size());
  if (Value.starts_with(' '))
    Value.remove_prefix(1);
  if (Value.ends_with('\r'))
    Value.remove_suffix(1);
  return Value;
}

void parseField(std::string_view Line, stream_event &Event) {
  if (Line.starts_with("id:"))
    Event.Id = eventIdOf(fieldValue(Line, "id:"));
  if (Line.starts_with("data:")) {
    if (!Event.Data.empty())
      Event.Data.push_back('\n');
    Event.Data.append(fieldValue(Line, "data:"));
  }
}

} // namespace

std::int64_t eventIdOf(std::string_view Text) {
  std::int64_t Id = -1;
  std::from_chars(Text.data(), Text.data() + Text.size(), Id);
  return Id;
}

// Size of the first event, nothing if it is incomplete. Bytes that were
// searched before are not searched again.
std::optional<std::size_t> event_stream_parser::findEventEnd() {
  const std::size_t LfPosition = Buffer.find(LfEventEnd, SearchFrom);
  const bool HasLfEnd = LfPosition != std::string::npos;
  const std::string_view BeforeLfEnd = std::string_view(Buffer).substr(
      0, HasLfEnd ? LfPosition + 1 : LfPosition);
  const std::size_t CrLfPosition = BeforeLfEnd.find(CrLfEventEnd, SearchFrom);
  if (CrLfPosition != std::string_view::npos)
    return CrLfPosition + CrLfEventEnd.size();
  if (HasLfEnd)
    return LfPosition + LfEventEnd.size();
  // The last bytes may begin the end of the event.
  SearchFrom = Buffer.size() - std::min(Buffer.size(), CrLfEventEnd.size() - 1);
  return std::nullopt;
}

std::optional<stream_event> event_stream_parser::next() {
  const std::optional<std::size_t> End = findEventEnd();
  if (!End)
    return std::nullopt;
  stream_event Event;
  Event.Raw = Buffer.substr(0, *End);
  Buffer.erase(0, *End);
  SearchFrom = 0;
  std::string_view Remaining(Event.Raw);
  while (!Remaining.empty()) {
    const std::size_t LineEnd = Remaining.find('\n');
    parseField(Remaining.substr(0, LineEnd), Event);
    Remaining = LineEnd == std::string_view::npos
                    ? std::string_view()
                    : Remaining.substr(LineEnd + 1);
  }
  return Event;
}

} // namespace tamarack::relay
