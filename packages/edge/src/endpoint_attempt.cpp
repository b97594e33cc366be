// One attempt to send a call to an endpoint.
#include "endpoint_attempt.hpp"
#include "sockets.hpp"

#include <charconv>
#include <limits>

namespace tamarack::edge {

namespace {

// Responses to other requests that are skipped on one connection.
constexpr int MaxDiscardedResponses = 3;
constexpr std::size_t MaxDiscardedBytes = 8u << 20; // Of their bodies.
// Interim (1xx) responses before a response. An endpoint may report progress
// for as long as the call takes.
constexpr int MaxInterimResponses = 100;
constexpr std::string_view HeadPrefix = "HTTP/1."; // Of every response.
constexpr std::size_t HeadReadBytes = 2'048;       // Per read operation.
constexpr std::uint32_t MaxHeadBytes = MaxUnparsedBytes - HeadReadBytes;
// Bytes of a head that count in no budget, since most heads are no larger.
constexpr std::size_t UncountedHeadBytes = 4'096;
// Idle connections are closed this long before the endpoint closes them, so
// that no request is sent on a connection that the endpoint is closing.
constexpr int KeepAliveMarginMs = 1'000;
constexpr int MaxKeepAliveS = 3'600; // Longer timeouts count as this one.

// Seconds of "timeout=N" in a Keep-Alive field.
std::optional<int> parseKeepAliveTimeoutS(std::string_view KeepAlive) {
  constexpr std::string_view Name = "timeout=";
  const std::size_t At = KeepAlive.find(Name);
  if (At == std::string_view::npos)
    return std::nullopt;
  int Seconds = 0;
  const std::string_view Digits = KeepAlive.substr(At + Name.size());
  const std::from_chars_result Read =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Seconds);
  if (Read.ec != std::errc())
    return std::nullopt;
  return std::clamp(Seconds, 0, MaxKeepAliveS);
}

} // namespace

endpoint_attempt::endpoint_attempt(net::io_context &Context, const clock &Clock,
                                   connection_pool &Pool, exchange_codec &Codec,
                                   attempt_listener &Listener,
                                   memory::memory_budget &Memory,
                                   relay::call Call,
                                   relay::endpoint_choice Target,
                                   request_message Request, shared_body Body)
    : Context(Context), Clock(Clock), Pool(Pool), Codec(Codec),
      Listener(&Listener), Call(std::move(Call)), Target(std::move(Target)),
      Body(Body ? std::move(Body)
                : std::make_shared<std::string>(std::move(Request.body()))),
      Request(std::move(Request.base())), ConnectTimer(Context),
      HeadCharge(Memory, memory::holder_kind::Response) {
  this->Request.body() = {this->Body->data(), this->Body->size()};
}

void endpoint_attempt::start(bool OnlyRecentConnection) {
  Connection = Pool.acquireIdle(Target.Address, OnlyRecentConnection);
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  // Callers choose the ids of their requests, and may use one twice.
  if (Connection && Connection->hasCarried(Call.Id))
    std::exchange(Connection, nullptr)->close();
  if (Connection)
    net::post(Context, [Self] { Self->send(); });
  else
    connect();
}

void endpoint_attempt::connect() {
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  tcp::endpoint Address;
  try {
    Address = parseAddress(Target.Address);
  } catch (const std::invalid_argument &) {
    net::post(Context, [Self] {
      if (Self->Listener)
        std::exchange(Self->Listener, nullptr)->onUnreached(Self.get());
    });
    return;
  }
  Connection = Pool.createConnection(Target.Address);
  ConnectTimer.expires_after(
      std::chrono::milliseconds(Pool.settings().ConnectTimeoutMs));
  ConnectTimer.async_wait([Self](const error_code &Error) {
    if (!Error && Self->Connection)
      Self->Connection->close();
  });
  Connection->Socket.async_connect(Address, [Self](const error_code &Error) {
    Self->ConnectTimer.cancel();
    if (Self->Listener == nullptr)
      return;
    if (Error || !Self->Connection->Socket.is_open()) {
      Self->Connection->close();
      std::exchange(Self->Listener, nullptr)->onUnreached(Self.get());
      return;
    }
    Self->Connection->ConnectedAt = Self->Clock.sinceBoot();
    applySocketOptions(Self->Connection->Socket,
                       {Self->Pool.settings().TcpUserTimeoutMs});
    Self->send();
  });
}

void endpoint_attempt::send() {
  if (Listener == nullptr)
    return;
  if (!Listener->maySend(this, Connection->ConnectedAt))
    return withdraw();
  IsWriting = true;
  Connection->addRequest(Call.Id);
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  http::async_write(Connection->Socket, Request,
                    [Self](const error_code &Error, std::size_t) {
                      Self->IsWriting = false;
                      Self->Body.reset();
                      // The response may be complete before the request is
                      // written. A write error before that is not reported
                      // here, because the read fails as well.
                      if (!Error && Self->IsResponseComplete)
                        Self->complete();
                      if (Error && Self->IsResponseComplete)
                        Self->Connection->close();
                    });
  readHead();
}

void endpoint_attempt::withdraw() {
  Connection->close();
  std::exchange(Listener, nullptr)->onWithdrawn(this);
}

void endpoint_attempt::readHead() {
  Parser.emplace();
  Parser->header_limit(MaxHeadBytes);
  Parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  if (Request.method() == http::verb::head)
    Parser->skip(true);
  Connection->Buffer.max_size(MaxUnparsedBytes);
  parseHead();
}

// Bytes that begin no response are recognized at once, instead of waiting for
// the end of a line.
void endpoint_attempt::parseHead() {
  const net::const_buffer Received = Connection->Buffer.cdata();
  const std::string_view Begin(static_cast<const char *>(Received.data()),
                               std::min(Received.size(), HeadPrefix.size()));
  const bool IsStartLine = !Parser->got_some();
  if (IsStartLine && !HeadPrefix.starts_with(Begin))
    return failBroken();
  if (IsStartLine && Begin.size() < HeadPrefix.size())
    return readMoreOfHead();
  error_code Error;
  Connection->Buffer.consume(Parser->put(Received, Error));
  if (Error == http::error::need_more)
    return readMoreOfHead();
  Connection->Buffer.max_size(
      std::max(MaxUnparsedBodyBytes, Connection->Buffer.size()));
  onHead(Error);
}

void endpoint_attempt::readMoreOfHead() {
  const std::size_t Size = Connection->Buffer.size() + HeadReadBytes;
  if (Size > UncountedHeadBytes && Size > HeadCharge.bytes() &&
      !HeadCharge.trySet(Size))
    return failBroken();
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  Connection->Socket.async_read_some(
      Connection->Buffer.prepare(HeadReadBytes),
      [Self](const error_code &Error, std::size_t Count) {
        if (Self->Listener == nullptr)
          return;
        if (Error)
          return Self->failBroken();
        Self->Connection->Buffer.commit(Count);
        Self->parseHead();
      });
}

void endpoint_attempt::onHead(const error_code &Error) {
  if (Listener == nullptr)
    return;
  if (Error)
    return failBroken();
  const response_fields &Fields = Parser->get().base();
  if (Fields.result_int() < 200)
    return ++InterimResponses > MaxInterimResponses ? failBroken() : readHead();
  const response_match Match = Codec.matchResponse(Call, Fields);
  IsUnmarked = Match == response_match::Unmarked;
  // It may belong to an earlier request, and say that this one has not run.
  if (IsUnmarked && Connection->RequestCount > 1)
    return failBroken();
  if (Match == response_match::Other) {
    if (++DiscardedResponses > MaxDiscardedResponses || Parser->need_eof())
      return failBroken();
    return discardBody();
  }
  const time_ms Now = Clock.monotonic();
  Codec.recordEndpointState(Target, Fields, Now);
  const boost::beast::string_view KeepAlive = Fields["Keep-Alive"];
  ServerKeepAliveS =
      parseKeepAliveTimeoutS({KeepAlive.data(), KeepAlive.size()});
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  relay::response_head Head = Codec.decodeResponseHead(Fields);
  Head.EndsWithConnection = Parser->need_eof();
  const boost::optional<std::uint64_t> Length = Parser->content_length();
  if (Length && Request.method() != http::verb::head)
    Head.BodyBytes = *Length;
  Head.ConnectedAt = Connection->ConnectedAt;
  Listener->onHead(this, std::move(Head));
  readBody();
}

// Skips the rest of a response to another request that arrived first on this
// connection.
void endpoint_attempt::discardBody() {
  if (Parser->is_done())
    return readHead();
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  Parser->get().body().data = BodyBuffer.data();
  Parser->get().body().size = BodyBuffer.size();
  Parser->get().body().more = true;
  http::async_read_some(
      Connection->Socket, Connection->Buffer, *Parser,
      [Self](const error_code &Error, std::size_t) { Self->onDiscard(Error); });
}

void endpoint_attempt::onDiscard(const error_code &Error) {
  if (Listener == nullptr)
    return;
  DiscardedBytes += BodyBuffer.size() - Parser->get().body().size;
  const bool IsReadable = !Error || Error == http::error::need_buffer;
  if (!IsReadable || DiscardedBytes > MaxDiscardedBytes)
    return failBroken();
  discardBody();
}

void endpoint_attempt::readBody() {
  if (Listener == nullptr)
    return;
  if (Parser->is_done())
    return complete();
  if (!Listener->canAcceptBody()) {
    IsReadPaused = true;
    return;
  }
  Parser->get().body().data = BodyBuffer.data();
  Parser->get().body().size = BodyBuffer.size();
  Parser->get().body().more = true;
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  http::async_read_some(
      Connection->Socket, Connection->Buffer, *Parser,
      [Self](const error_code &Error, std::size_t) { Self->onBody(Error); });
}

void endpoint_attempt::onBody(const error_code &Error) {
  if (Listener == nullptr)
    return;
  if (Error && Error != http::error::need_buffer)
    return failBroken();
  const std::size_t ReadBytes = BodyBuffer.size() - Parser->get().body().size;
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  if (ReadBytes > 0)
    Listener->onBody(this, std::string_view(BodyBuffer.data(), ReadBytes));
  readBody();
}

void endpoint_attempt::resume() {
  if (!IsReadPaused)
    return;
  IsReadPaused = false;
  readBody();
}

// Monotonic time until which the connection may stay in the pool.
time_ms endpoint_attempt::idleExpiry(time_ms Now) const {
  const int MaxIdleMs = Pool.settings().MaxIdleMs;
  if (!ServerKeepAliveS)
    return Now + MaxIdleMs;
  return Now +
         std::min(MaxIdleMs, *ServerKeepAliveS * 1'000 - KeepAliveMarginMs);
}

void endpoint_attempt::complete() {
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  IsResponseComplete = true;
  // A late copy of a response that names no request could be taken for the one
  // to a later request.
  const bool CanReuse =
      Parser->keep_alive() && !IsUnmarked && Connection->Buffer.size() == 0;
  // While the request is still being written, the connection can't be used for
  // another one; send() calls complete() again once the write has ended.
  if (CanReuse && !IsWriting) {
    const time_ms Now = Clock.monotonic();
    const time_ms ExpiresAt = idleExpiry(Now);
    if (ExpiresAt > Now)
      Pool.release(std::exchange(Connection, nullptr), ExpiresAt);
    else
      Connection->close();
  } else if (!CanReuse) {
    Connection->close();
  }
  if (Listener)
    std::exchange(Listener, nullptr)->onEnd(this);
}

void endpoint_attempt::failBroken() {
  Connection->close();
  std::exchange(Listener, nullptr)->onBroken(this);
}

void endpoint_attempt::cancel() {
  Listener = nullptr;
  ConnectTimer.cancel();
  if (Connection)
    Connection->close();
}

} // namespace tamarack::edge
