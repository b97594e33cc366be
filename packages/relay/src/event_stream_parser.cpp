// Cuts a text/event-stream into its events.
#include "tamarack/relay.hpp"

#include <algorithm>
#include <charconv>

namespace tamarack::relay {

namespace {

constexpr std::string_view LineFeeds = "\n\n";
constexpr std::string_view CrLineFeeds = "\r\n\r\n";

std::string_view valueOf(std::string_view Line, std::string_view Field) {
  std::string_view Value = Line.substr(Field.size());
  if (Value.starts_with(' '))
    Value.remove_prefix(1);
  if (Value.ends_with('\r'))
    Value.remove_suffix(1);
  return Value;
}

void readLine(std::string_view Line, stream_event &Event) {
  if (Line.starts_with("id:")) {
    const std::string_view Value = valueOf(Line, "id:");
    std::int64_t Id = -1;
    std::from_chars(Value.data(), Value.data() + Value.size(), Id);
    Event.Id = Id;
  }
  if (Line.starts_with("data:")) {
    if (!Event.Data.empty())
      Event.Data.push_back('\n');
    Event.Data.append(valueOf(Line, "data:"));
  }
}

} // namespace

std::optional<stream_event> event_stream_parser::next() {
  const std::size_t Plain = Buffer.find(LineFeeds);
  const std::size_t Cr = Buffer.find(CrLineFeeds);
  if (Plain == std::string::npos && Cr == std::string::npos)
    return std::nullopt;
  const std::size_t End = std::min(Plain, Cr) == Plain
                              ? Plain + LineFeeds.size()
                              : Cr + CrLineFeeds.size();
  stream_event Event;
  Event.Raw = Buffer.substr(0, End);
  Buffer.erase(0, End);
  std::string_view Rest(Event.Raw);
  while (!Rest.empty()) {
    const std::size_t Line = Rest.find('\n');
    readLine(Rest.substr(0, Line), Event);
    Rest = Line == std::string_view::npos ? std::string_view()
                                          : Rest.substr(Line + 1);
  }
  return Event;
}

} // namespace tamarack::relay
