// Takes in one request from the received bytes of a connection.
#include "request_reader.hpp"

namespace tamarack::edge {

namespace {

// A head up to this size counts in what a connection takes in any case.
constexpr std::size_t UsualHeadBytes = 4'096;
// A request up to this size is let in as long as the budget is not full.
constexpr std::size_t UsualRequestBytes = 4'096;
// The fields of a head are kept beside the received bytes.
constexpr std::size_t HeadCopies = 2;
constexpr std::size_t MinChunkedBodyBytes = 4'096; // Capacity to begin with.

} // namespace

request_reader::request_reader(memory::memory_budget &Memory,
                               const slow_request_rule &Rule)
    : Memory(Memory), Progress(Rule) {}

void request_reader::begin(const relay::caller_limits &Limits, time_ms Now) {
  MaxBodyBytes = Limits.MaxBodyBytes;
  HeadBytes = 0;
  IsBodyExpected = false;
  Held = std::make_shared<held_request>(Memory);
  Parser.emplace();
  Parser->header_limit(Limits.MaxHeaderBytes);
  Parser->body_limit(Limits.MaxBodyBytes);
  Progress.begin(Now);
}

void request_reader::reset() {
  Parser.reset();
  Held.reset();
}

unfinished_request request_reader::unfinished(time_ms Now) const {
  return {Progress.bytesPerSecond(Now), Held ? Held->Charge.bytes() : 0};
}

reading_state request_reader::refuse(relay::error_kind Kind) {
  Refusal = Kind;
  return reading_state::Refused;
}

reading_state request_reader::parse(boost::beast::flat_buffer &Buffer,
                                    std::size_t Received, time_ms Now) {
  Progress.add(Received, Now);
  if (!Parser->is_header_done()) {
    const reading_state State = parseHead(Buffer);
    if (State != reading_state::Body)
      return State;
  }
  if (!IsBodyExpected) {
    if (!holdStatedBody())
      return reading_state::Full;
    IsBodyExpected = true;
    Parser->eager(true);
  }
  return parseBody(Buffer);
}

reading_state request_reader::parseHead(boost::beast::flat_buffer &Buffer) {
  const std::size_t Size = Buffer.size();
  if (Size == 0)
    return reading_state::Head;
  if (Size > UsualHeadBytes) {
    HeadBytes = std::max(HeadBytes, HeadCopies * Size);
    if (!hold(0))
      return reading_state::Full;
  }
  error_code Error;
  Buffer.consume(Parser->put(Buffer.cdata(), Error));
  if (Error == http::error::need_more)
    return Size >= MaxUnparsedBytes ? refuse(relay::error_kind::HeadersTooLarge)
                                    : reading_state::Head;
  if (Error == http::error::header_limit)
    return refuse(relay::error_kind::HeadersTooLarge);
  if (Error == http::error::body_limit)
    return refuse(relay::error_kind::BodyTooLarge);
  if (Error || !hasUnambiguousFraming())
    return refuse(relay::error_kind::InvalidRequest);
  return reading_state::Body;
}

// True if the length of the body is given in exactly one way. Otherwise another
// HTTP implementation could see a different end of the body (request
// smuggling).
bool request_reader::hasUnambiguousFraming() const {
  const request_message &Request = Parser->get();
  const std::size_t TransferEncodings =
      Request.count(http::field::transfer_encoding);
  const std::size_t ContentLengths = Request.count(http::field::content_length);
  if (TransferEncodings == 0)
    return ContentLengths <= 1;
  return TransferEncodings == 1 && ContentLengths == 0 && Parser->chunked() &&
         boost::beast::iequals(Request[http::field::transfer_encoding],
                               "chunked");
}

bool request_reader::hold(std::size_t BodyBytes) {
  const std::size_t Bytes = HeadBytes + BodyBytes;
  // Requests of more than the usual size leave the last share to calls.
  const bool IsUsual = Bytes <= UsualRequestBytes;
  if (!IsUsual && Bytes > Held->Charge.bytes() && Memory.isTight())
    return false;
  return Held->Charge.trySet(Bytes);
}

// The whole stated length is held before the first byte of the body, so that no
// request is given up for lack of memory once it has been let in.
bool request_reader::holdStatedBody() {
  const boost::optional<std::uint64_t> Length = Parser->content_length();
  return hold(Length ? static_cast<std::size_t>(*Length) : 0);
}

// Grows the body before it needs it: while it grows, both its copies count.
bool request_reader::holdNextBytes(std::size_t Bytes) {
  std::string &Body = Parser->get().body();
  const std::size_t Needed =
      std::min<std::size_t>(Body.size() + Bytes, MaxBodyBytes);
  if (!Parser->chunked() || Needed <= Body.capacity())
    return true;
  const std::size_t Capacity = std::min<std::size_t>(
      std::max({Needed, 2 * Body.size(), MinChunkedBodyBytes}),
      std::max<std::size_t>(Needed, MaxBodyBytes));
  const std::size_t OldCapacity = Body.empty() ? 0 : Body.capacity();
  if (!hold(OldCapacity + Capacity))
    return false;
  Body.reserve(Capacity);
  Held->Charge.set(HeadBytes + Body.capacity());
  return true;
}

reading_state request_reader::parseBody(boost::beast::flat_buffer &Buffer) {
  // Nothing follows the head of a request without a body.
  while (!Parser->is_done()) {
    const net::const_buffer Received = Buffer.cdata();
    const bool MayParse =
        !Parser->chunked() ||
        responses::mayParseChunks(
            {static_cast<const char *>(Received.data()), Received.size()});
    if (Buffer.size() == 0 || !MayParse)
      return reading_state::Body;
    if (!holdNextBytes(Buffer.size()))
      return reading_state::Full;
    error_code Error;
    const std::size_t Taken = Parser->put(Received, Error);
    Buffer.consume(Taken);
    if (Error == http::error::need_more || (!Error && Taken == 0))
      return Buffer.size() >= MaxUnparsedBodyBytes
                 ? refuse(relay::error_kind::InvalidRequest)
                 : reading_state::Body;
    if (Error == http::error::body_limit)
      return refuse(relay::error_kind::BodyTooLarge);
    if (Error)
      return refuse(relay::error_kind::InvalidRequest);
  }
  return reading_state::Complete;
}

request_message request_reader::release() {
  request_message Request = Parser->release();
  Parser.reset();
  return Request;
}

} // namespace tamarack::edge
