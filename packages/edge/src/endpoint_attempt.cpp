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
constexpr std::size_t HeadReadBytes = 2'048;        // Per read operation.
constexpr std::size_t BodyReadBytes = 4'096;        // The same, of a body.
constexpr std::uint32_t MaxHeadBytes = MaxUnparsedBytes - HeadReadBytes;
// Bytes of a head that count in no budget, since most heads are no larger.
constexpr std::size_t UncountedHeadBytes = 4'096;
// Idle connections are closed this long before the endpoint closes them, so
// that no request is sent on a connection that the endpoint is closing.
constexpr int KeepAliveMarginMs = 1'000;
constexpr int MaxKeepAliveS = 3'600; // Longer timeouts count as this one.
// A request is given up if none of it is acknowledged during so many checks,
// which is sooner than the kernel ends the connection (TcpUserTimeoutMs).
constexpr int DeliveryCheckMs = 500;
constexpr int MaxUndeliveredChecks = 4;
// Silence after which the endpoint's host is probed.
constexpr int ProbeAfterMs = 1'500;

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
      Request(std::move(Request.base())), Timer(Context),
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
  const time_ms BeginAt = Clock.monotonic();
  Timer.expires_after(
      std::chrono::milliseconds(Pool.settings().ConnectTimeoutMs));
  Timer.async_wait([Self](const error_code &Error) {
    if (!Error && Self->Connection)
      Self->Connection->close();
  });
  Connection->Socket.async_connect(
      Address, [Self, BeginAt](const error_code &Error) {
        Self->Timer.cancel();
        if (!Error)
          Self->Pool.onConnected(Self->Clock.monotonic() - BeginAt);
        if (Self->Listener == nullptr)
          return;
        if (Error || !Self->Connection->Socket.is_open()) {
          Self->Connection->close();
          std::exchange(Self->Listener, nullptr)->onUnreached(Self.get());
          return;
        }
        Self->Connection->onConnected(Self->Clock.sinceBoot());
        Self->send();
      });
}

void endpoint_attempt::send() {
  if (Listener == nullptr)
    return;
  if (!Listener->maySend(this, Connection->ConnectedAt))
    return withdraw();
  IsWriting = true;
  LastProgressAt = Clock.monotonic();
  Connection->addRequest(Call.Id);
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  http::async_write(Connection->Socket, Request,
                    [Self](const error_code &Error, std::size_t Size) {
                      Self->Pool.Traffic.Sent += Size;
                      Self->IsWriting = false;
                      Self->HasWriteFailed = Error.failed();
                      Self->Body.reset();
                      // The response may be complete before the request is
                      // written. A write error before that is not reported
                      // here, because the read fails as well.
                      if (!Error && Self->IsResponseComplete)
                        Self->complete();
                      if (Error && Self->IsResponseComplete)
                        Self->Connection->close();
                    });
  UndeliveredBytes = unacknowledgedBytes(Connection->Socket);
  watchDelivery();
  beginResponse();
  parseReceived();
}

void endpoint_attempt::watchDelivery() {
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  Timer.expires_after(std::chrono::milliseconds(DeliveryCheckMs));
  Timer.async_wait([Self](const error_code &Error) {
    if (!Error && Self->Listener != nullptr)
      Self->checkDelivery();
  });
}

void endpoint_attempt::checkDelivery() {
  const int Bytes = unacknowledgedBytes(Connection->Socket);
  const bool IsDelivered = Bytes <= 0 && !IsWriting;
  const bool IsStuck = Bytes == UndeliveredBytes || UndeliveredChecks == 0;
  const bool HasProgress = Bytes < UndeliveredBytes;
  UndeliveredChecks = IsDelivered ? 0 : IsStuck ? UndeliveredChecks + 1 : 1;
  UndeliveredBytes = Bytes;
  if (UndeliveredChecks >= MaxUndeliveredChecks)
    return failBroken();
  if (!IsDelivered && !HasProgress &&
      !Listener->mayDeliver(this, Connection->ConnectedAt))
    return failBroken();
  if (IsDelivered && Clock.monotonic() - LastProgressAt >= ProbeAfterMs)
    return Connection->startProbing();
  watchDelivery();
}

void endpoint_attempt::withdraw() {
  Connection->close();
  std::exchange(Listener, nullptr)->onWithdrawn(this);
}

void endpoint_attempt::beginResponse() {
  responses::parser_settings Settings;
  Settings.IsToHead = Request.method() == http::verb::head;
  Settings.MaxHeadBytes = MaxHeadBytes;
  Parser.emplace(Settings);
  IsDiscarding = false;
  Connection->Buffer.max_size(MaxUnparsedBytes);
}

void endpoint_attempt::parseReceived() {
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  bool MayGoOn = true;
  while (Listener != nullptr && MayGoOn) {
    const bool IsOwnBody =
        Parser->hasHead() && !IsDiscarding && !Parser->isComplete();
    if (IsOwnBody && !Listener->canAcceptBody()) {
      IsReadPaused = true;
      return;
    }
    const net::const_buffer Received = Connection->Buffer.cdata();
    MayGoOn = onParsed(Parser->next(
        {static_cast<const char *>(Received.data()), Received.size()}));
  }
}

// False if nothing more can be parsed for now.
bool endpoint_attempt::onParsed(const responses::parsed &Next) {
  if (Next.Kind == responses::part::Body)
    onBody(Next.Body);
  // The connection may have gone on to another use.
  if (Connection)
    Connection->Buffer.consume(Next.Consumed);
  switch (Next.Kind) {
  case responses::part::Body:
    return true;
  case responses::part::Head:
    onHead();
    return true;
  case responses::part::NeedsBytes:
    readMore();
    return false;
  case responses::part::End:
    onResponseEnd();
    return true;
  case responses::part::Defect:
    failBroken();
    return false;
  }
  return false;
}

void endpoint_attempt::readMore() {
  boost::beast::flat_buffer &Buffer = Connection->Buffer;
  const bool IsInHead = !Parser->hasHead();
  if (IsInHead && !chargeHead(Buffer.size() + HeadReadBytes))
    return failBroken();
  const std::size_t Size = std::min(IsInHead ? HeadReadBytes : BodyReadBytes,
                                    Buffer.max_size() - Buffer.size());
  if (Size == 0)
    return failBroken();
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  Connection->Socket.async_read_some(
      Buffer.prepare(Size), [Self](const error_code &Error, std::size_t Count) {
        Self->Pool.Traffic.Received += Count;
        if (Self->Listener == nullptr)
          return;
        // The handler of a write that failed before may still be waiting.
        if (Error)
          return net::post(Self->Context,
                           [Self, Error] { Self->onConnectionEnd(Error); });
        Self->LastProgressAt = Self->Clock.monotonic();
        Self->Connection->Buffer.commit(Count);
        Self->parseReceived();
      });
}

bool endpoint_attempt::chargeHead(std::size_t Size) {
  return Size <= UncountedHeadBytes || Size <= HeadCharge.bytes() ||
         HeadCharge.trySet(Size);
}

void endpoint_attempt::onConnectionEnd(const error_code &Error) {
  if (Listener == nullptr)
    return;
  ConnectionError = Error;
  // The kernel reports a reset once: if the write has got it, the read finds
  // nothing but an end.
  const bool IsClosed = Error == net::error::eof && !HasWriteFailed;
  onParsed(Parser->onConnectionEnd(IsClosed
                                       ? responses::connection_end::Closed
                                       : responses::connection_end::Broken));
}

void endpoint_attempt::onHead() {
  Connection->Buffer.max_size(
      std::max(MaxUnparsedBodyBytes, Connection->Buffer.size()));
  const response_fields &Fields = Parser->head();
  const response_match Match = Codec.matchResponse(Call, Fields);
  IsUnmarked = Match == response_match::Unmarked;
  // It may belong to an earlier request, and say that this one has not run.
  if (IsUnmarked && Connection->RequestCount > 1)
    return failBroken();
  IsDiscarding = Match == response_match::Other;
  if (IsDiscarding) {
    if (++DiscardedResponses > MaxDiscardedResponses ||
        Parser->endsWithConnection())
      failBroken();
    return;
  }
  const boost::beast::string_view KeepAlive = Fields["Keep-Alive"];
  ServerKeepAliveS =
      parseKeepAliveTimeoutS({KeepAlive.data(), KeepAlive.size()});
  relay::response_head Head = Target.IsInstance
                                  ? Codec.decodeForwardedHead(Fields)
                                  : Codec.decodeResponseHead(Fields);
  recordEndpointState(Head);
  Head.EndsWithConnection = Parser->endsWithConnection();
  Head.BodyBytes = Parser->statedLength();
  Head.ConnectedAt = Connection->ConnectedAt;
  Listener->onHead(this, std::move(Head));
}

// Of the endpoint that the response comes from.
void endpoint_attempt::recordEndpointState(const relay::response_head &Head) {
  const time_ms Now = Clock.monotonic();
  if (!Target.IsInstance)
    return Codec.recordEndpointState(Target, Parser->head(), Now);
  if (!Head.ForwardedResult)
    return;
  relay::endpoint_choice Source;
  Source.Endpoint = Head.ForwardedResult->Endpoint;
  Source.StartedAt = Head.ForwardedResult->StartedAt;
  Codec.recordEndpointState(Source, Parser->head(), Now);
}

void endpoint_attempt::onBody(std::string_view Bytes) {
  if (!IsDiscarding)
    return Listener->onBody(this, Bytes);
  DiscardedBytes += Bytes.size();
  if (DiscardedBytes > MaxDiscardedBytes)
    failBroken();
}

// A response to another request may come first on this connection.
void endpoint_attempt::onResponseEnd() {
  if (IsDiscarding)
    beginResponse();
  else
    complete();
}

void endpoint_attempt::resume() {
  if (!IsReadPaused)
    return;
  IsReadPaused = false;
  net::post(Context, [Self = shared_from_this()] { Self->parseReceived(); });
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
  Timer.cancel();
  // A late copy of a response that names no request could be taken for the one
  // to a later request.
  const bool CanReuse = Parser->keepsConnection() && !IsUnmarked &&
                        Connection->Buffer.size() == 0 &&
                        !Connection->IsProbing;
  // While the request is still being written, the connection can't be used for
  // another one; send() calls complete() again once the write has ended.
  Connection->IsAnswered = !IsWriting;
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

void endpoint_attempt::drop() {
  const bool IsSent = LastProgressAt > 0;
  if (IsSent && !Dropped) {
    Dropped.emplace();
    Dropped->IsKeptConnection = Connection->RequestCount > 1;
    Dropped->ConnectionAgeMs = Clock.sinceBoot() - Connection->ConnectedAt;
    Dropped->SilentMs = Clock.monotonic() - LastProgressAt;
    Dropped->UnacknowledgedBytes = unacknowledgedBytes(Connection->Socket);
    if (ConnectionError)
      Dropped->Error = ConnectionError.message();
  }
  Connection->close();
}

void endpoint_attempt::failBroken() {
  Timer.cancel();
  drop();
  std::exchange(Listener, nullptr)->onBroken(this);
}

void endpoint_attempt::cancel() {
  Listener = nullptr;
  Timer.cancel();
  if (Connection)
    drop();
}

} // namespace tamarack::edge
