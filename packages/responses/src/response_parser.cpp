// Parses one response of an HTTP/1 server.
#include "tamarack/responses.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace tamarack::responses {

namespace {

using boost::beast::string_view;
using boost::system::error_code;

constexpr std::string_view StartLinePrefix = "HTTP/1."; // Of every response.
constexpr unsigned MinStatus = 100;
constexpr unsigned MinFinalStatus = 200;
constexpr unsigned MaxStatus = 599;
constexpr unsigned SwitchingProtocols = 101;
constexpr int Http11 = 11; // Version as Beast counts.
// Interim (1xx) responses before a response. A server may report progress for
// as long as the call takes.
constexpr int MaxInterimResponses = 100;
constexpr std::size_t MinLastChunkBytes = 5; // With an empty trailer.

// Recognizes other bytes before the end of their first line.
bool isStartOfResponse(std::string_view Received) {
  return StartLinePrefix.starts_with(
      Received.substr(0, StartLinePrefix.size()));
}

// A line that begins with a blank continues the field before it.
bool hasFoldedLine(std::string_view Lines) {
  return Lines.find("\n ") != std::string_view::npos ||
         Lines.find("\n\t") != std::string_view::npos;
}

defect defectOf(const error_code &Error) {
  switch (static_cast<http::error>(Error.value())) {
  case http::error::bad_version:
  case http::error::bad_reason:
    return defect::StartLine;
  case http::error::bad_status:
    return defect::Status;
  case http::error::header_limit:
  case http::error::body_limit:
  case http::error::buffer_overflow:
    return defect::TooLarge;
  case http::error::bad_field:
  case http::error::bad_value:
  case http::error::bad_obs_fold:
  case http::error::bad_line_ending:
    return defect::Field;
  default:
    return defect::Framing;
  }
}

} // namespace

std::string_view toString(defect Defect) {
  switch (Defect) {
  case defect::None:
    return "none";
  case defect::StartLine:
    return "start_line";
  case defect::Status:
    return "status";
  case defect::Field:
    return "field";
  case defect::Framing:
    return "framing";
  case defect::ContentCoding:
    return "content_coding";
  case defect::TooLarge:
    return "too_large";
  case defect::Incomplete:
    return "incomplete";
  }
  return "none";
}

bool mayParseChunks(std::string_view Received) {
  return Received.size() >= MinLastChunkBytes || !Received.starts_with('0');
}

// One message, interim or final, by Beast's grammar.
class response_parser::message_parser final : public http::basic_parser<false> {
public:
  response_fields Head;
  string_view Body; // Of the last put().

  // The line of a chunk or a trailer is due.
  bool isBetweenChunks() const { return IsBetweenChunks; }

private:
  void on_request_impl(http::verb, string_view, string_view, int,
                       error_code &) override {}

  void on_response_impl(int Status, string_view, int Version,
                        error_code &) override {
    Head.result(static_cast<unsigned>(Status));
    Head.version(static_cast<unsigned>(Version));
  }

  // The fields of a trailer are not used.
  void on_field_impl(http::field Name, string_view NameText, string_view Value,
                     error_code &) override {
    if (!is_header_done())
      Head.insert(Name, NameText, Value);
  }

  void on_header_impl(error_code &) override { IsBetweenChunks = chunked(); }

  void on_body_init_impl(boost::optional<std::uint64_t> const &,
                         error_code &) override {}

  std::size_t on_body_impl(string_view Bytes, error_code &) override {
    Body = Bytes;
    return Bytes.size();
  }

  void on_chunk_header_impl(std::uint64_t Size, string_view,
                            error_code &) override {
    IsBetweenChunks = Size == 0;
  }

  std::size_t on_chunk_body_impl(std::uint64_t Remaining, string_view Bytes,
                                 error_code &) override {
    Body = Bytes;
    IsBetweenChunks = Bytes.size() == Remaining;
    return Bytes.size();
  }

  void on_finish_impl(error_code &) override {}

  bool IsBetweenChunks = false;
};

response_parser::response_parser(parser_settings Settings)
    : Settings(Settings) {
  startMessage();
}

response_parser::~response_parser() = default;

void response_parser::startMessage() {
  Message = std::make_unique<message_parser>();
  Message->header_limit(Settings.MaxHeadBytes);
  Message->body_limit(Settings.MaxBodyBytes);
  if (Settings.IsToHead)
    Message->skip(true);
}

parsed response_parser::next(std::string_view Received) {
  std::size_t Consumed = 0;
  NeedsBytes = false;
  while (!NeedsBytes && !isComplete() && Defect == defect::None) {
    const bool HadHead = HasHead;
    Consumed += parsePiece(Received.substr(Consumed));
    if (HasHead && !HadHead)
      return {part::Head, Consumed, {}};
    const string_view Body = Message->Body;
    if (!Body.empty() && Defect == defect::None)
      return {part::Body, Consumed, {Body.data(), Body.size()}};
  }
  if (Defect != defect::None)
    return {part::Defect, Consumed, {}};
  return {NeedsBytes ? part::NeedsBytes : part::End, Consumed, {}};
}

// Parses a line, a head or a part of the body. Returns the bytes that it took.
std::size_t response_parser::parsePiece(std::string_view Rest) {
  HasBegun = HasBegun || !Rest.empty();
  Message->Body = {};
  error_code Error = http::error::need_more;
  std::size_t Count = 0;
  if (!isStartOfResponse(Rest) && !Message->got_some())
    Error = http::error::bad_version;
  else if (canParse(Rest))
    Count = Message->put({Rest.data(), Rest.size()}, Error);
  NeedsBytes = Error == http::error::need_more;
  if (!HasHead && hasFoldedLine(Rest.substr(0, Count)))
    Defect = defect::Field;
  else if (Error.failed() && !NeedsBytes)
    Defect = defectOf(Error);
  else if (NeedsBytes && Rest.size() - Count >= MaxUnparsedBytes)
    Defect = defect::TooLarge;
  else if (!HasHead && !NeedsBytes)
    onHeadComplete();
  return Count;
}

bool response_parser::canParse(std::string_view Rest) const {
  const std::size_t MinBytes = Message->got_some() ? 1 : StartLinePrefix.size();
  return Rest.size() >= MinBytes &&
         (!Message->isBetweenChunks() || mayParseChunks(Rest));
}

void response_parser::onHeadComplete() {
  Defect = headDefect();
  if (Defect != defect::None)
    return;
  HasHead = !isInterim();
  if (HasHead)
    return;
  if (++InterimResponses > MaxInterimResponses)
    Defect = defect::TooLarge;
  else
    startMessage();
}

parsed response_parser::onConnectionEnd(connection_end How) {
  if (Defect != defect::None)
    return {part::Defect, 0, {}};
  if (isComplete())
    return {part::End, 0, {}};
  EndedByClose =
      HasHead && Message->need_eof() && How == connection_end::Closed;
  if (EndedByClose)
    return {part::End, 0, {}};
  Defect = defect::Incomplete;
  return {part::Defect, 0, {}};
}

bool response_parser::isInterim() const {
  return Message->Head.result_int() < MinFinalStatus;
}

// Of a complete head, interim or final.
defect response_parser::headDefect() const {
  const response_fields &Head = Message->Head;
  const unsigned Status = Head.result_int();
  if (Status < MinStatus || Status > MaxStatus || Status == SwitchingProtocols)
    return defect::Status;
  const std::size_t Codings = Head.count(http::field::transfer_encoding);
  const bool IsChunked =
      Codings == 1 && Head.version() == Http11 &&
      boost::beast::iequals(Head[http::field::transfer_encoding], "chunked");
  if (Codings > 0 && !IsChunked)
    return defect::Framing;
  if (isInterim())
    return defect::None;
  if (Head.count(http::field::content_encoding) > 0)
    return defect::ContentCoding;
  if (Settings.NeedsStatedEnd && Message->need_eof())
    return defect::Framing;
  return defect::None;
}

bool response_parser::isComplete() const {
  return HasHead && (EndedByClose || Message->is_done());
}

const response_fields &response_parser::head() const { return Message->Head; }

std::optional<std::uint64_t> response_parser::statedLength() const {
  const boost::optional<std::uint64_t> Length = Message->content_length();
  if (!Length || Settings.IsToHead)
    return std::nullopt;
  return *Length;
}

bool response_parser::endsWithConnection() const { return Message->need_eof(); }

bool response_parser::keepsConnection() const {
  return isComplete() && Message->keep_alive();
}

} // namespace tamarack::responses
