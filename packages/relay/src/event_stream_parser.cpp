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
  if (Line.starts_with("id:")) {
    const std::string_view Value = fieldValue(Line, "id:");
    std::int64_t Id = -1;
    std::from_chars(Value.data(), Value.data() + Value.size(), Id);
    Event.Id = Id;
  }
  if (Line.starts_with("data:")) {
    if (!Event.Data.empty())
      Event.Data.push_back('\n');
    Event.Data.append(fieldValue(Line, "data:"));
  }
}

} // namespace

std::optional<stream_event> event_stream_parser::next() {
  const std::size_t LfPosition = Buffer.find(LfEventEnd);
  const std::size_t CrLfPosition = Buffer.find(CrLfEventEnd);
  if (LfPosition == std::string::npos && CrLfPosition == std::string::npos)
    return std::nullopt;
  const std::size_t End = std::min(LfPosition, CrLfPosition) == LfPosition
                              ? LfPosition + LfEventEnd.size()
                              : CrLfPosition + CrLfEventEnd.size();
  stream_event Event;
  Event.Raw = Buffer.substr(0, End);
  Buffer.erase(0, End);
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
