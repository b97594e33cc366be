// One caller's connection and the call that is being served on it.
#include "frontend_session.hpp"
#include "sockets.hpp"

namespace tamarack::edge {

namespace {

constexpr std::size_t ReadAheadBytes = 4'096; // Per read operation.
constexpr std::size_t BodyReadBytes = MaxUnparsedBodyBytes; // In a body.
// Bytes of later requests that are buffered, usually and while the memory
// budget is tight. Reading ahead stops at this size.
constexpr std::size_t MaxReadAheadBytes = MaxUnparsedBytes - ReadAheadBytes;
constexpr std::size_t MaxReadAheadBytesIfTight = ReadAheadBytes;

// Receive buffer of a connection whose body is held.
constexpr std::size_t MinWidenedBytes = 24 * 1024;
constexpr std::size_t MaxReceiveBytes = 64 * 1024;

// A sound caller may pause for some seconds while it reads.
constexpr int CallerTcpUserTimeoutMs = 10'000;

} // namespace

frontend_session::frontend_session(frontend_server &Server, tcp::socket Socket,
                                   bool IsFromInstance)
    : Server(Server), Socket(std::move(Socket)), IsFromInstance(IsFromInstance),
      Timer(Server.Context), Buffer(MaxUnparsedBytes),
      Request(Server.Memory, Server.Settings.SlowRequests),
      AcceptedAt(Server.Clock.monotonic()), IdleSince(AcceptedAt),
      SessionCharge(Server.Memory, memory::holder_kind::Connection),
      BufferCharge(Server.Memory, memory::holder_kind::Connection),
      CallCharge(Server.Memory, memory::holder_kind::Call),
      Output(this->Socket, Server.Memory) {
  SessionCharge.set(SessionBytes);
}

time_ms frontend_session::now() const { return Server.Clock.monotonic(); }

//---------------------------------------------------------------------------
// Requests
//---------------------------------------------------------------------------

void frontend_session::start() {
  applySocketOptions(Socket, {CallerTcpUserTimeoutMs});
  startIdleTimer();
  readAhead();
}

void frontend_session::startIdleTimer() {
  const int IdleMs = Server.isDraining() ? Server.Settings.DrainIdleTimeoutMs
                                         : Server.Limits.IdleTimeoutMs;
  closeAfter(IdleMs);
}

// Closes the connection unless the timer is set again, or the phase has changed
// by then.
void frontend_session::closeAfter(int Ms) {
  Timer.expires_after(std::chrono::milliseconds(Ms));
  const std::shared_ptr<frontend_session> Self = shared_from_this();
  Timer.async_wait([Self, Before = Phase](const error_code &Error) {
    if (!Error && Self->Phase == Before)
      Self->close();
  });
}

void frontend_session::readAhead() {
  const std::size_t MaxBytes =
      Server.Memory.isTight() ? MaxReadAheadBytesIfTight : MaxReadAheadBytes;
  if (IsReadingAhead || Phase == phase::Closed || Buffer.size() >= MaxBytes)
    return;
  startRead(ReadAheadBytes);
}

void frontend_session::startRead(std::size_t MaxBytes) {
  IsReadingAhead = true;
  const std::shared_ptr<frontend_session> Self = shared_from_this();
  Socket.async_read_some(Buffer.prepare(MaxBytes),
                         [Self](const error_code &Error, std::size_t Size) {
                           Self->IsReadingAhead = false;
                           Self->Server.Counts.Traffic.Received += Size;
                           Self->onReadAhead(Error, Size);
                         });
}

// Bytes of a body that is held may wait in the kernel: they are counted.
void frontend_session::widenWindow() {
  const std::size_t HeldBytes = Request.unfinished(now()).HeldBytes;
  const std::size_t Bytes = std::min(HeldBytes / 2, MaxReceiveBytes);
  if (Bytes < MinWidenedBytes || Bytes < 2 * WindowBytes)
    return;
  WindowBytes = Bytes;
  setReceiveBuffer(Socket.native_handle(), Bytes);
}

// Reads more of a request that is not complete.
void frontend_session::readMore() {
  const bool MayReadMuch = HasHead && !Server.Memory.isTight();
  const std::size_t MaxBytes = MayReadMuch ? BodyReadBytes : ReadAheadBytes;
  startRead(std::min(MaxBytes, Buffer.max_size() - Buffer.size()));
  chargeBuffer();
}

void frontend_session::onReadAhead(const error_code &Error, std::size_t Size) {
  if (Phase == phase::Closed)
    return;
  // awaitNextRequest() cancels the read to go on with what Buffer holds.
  if (Error && Error != net::error::operation_aborted) {
    if (Exchange) {
      Exchange->onCallerDisconnected(now());
      KeepAlive = false;
      Phase = phase::Closing;
      afterExchangeEvent();
    }
    return close();
  }
  Buffer.commit(Size);
  if (Phase == phase::ReadingRequest)
    return parseRequest(Size);
  if (Phase == phase::Closing)
    Buffer.consume(Buffer.size());
  chargeBuffer();
  if (Phase == phase::Idle)
    return readRequest();
  readAhead();
}

// What a request usually takes is in CallBytes.
void frontend_session::chargeBuffer() {
  const bool IsShrunk = !IsReadingAhead && Buffer.size() == 0 &&
                        Buffer.capacity() > 2 * ReadAheadBytes;
  if (IsShrunk)
    Buffer.shrink_to_fit();
  BufferCharge.set(Buffer.capacity() > ReadAheadBytes ? Buffer.capacity() : 0);
}

void frontend_session::readRequest() {
  Phase = phase::ReadingRequest;
  HasHead = false;
  Request.begin(Server.Limits, now());
  closeAfter(Server.Limits.HeaderTimeoutMs);
  parseRequest(Buffer.size());
}

void frontend_session::parseRequest(std::size_t Received) {
  reading_state State = Request.parse(Buffer, Received, now());
  while (State == reading_state::Full && Server.giveUpSlowest(this))
    State = Request.parse(Buffer, 0, now());
  if (!HasHead && State == reading_state::Body)
    onHeadComplete();
  onReadingState(State);
}

void frontend_session::onHeadComplete() {
  HasHead = true;
  // The idle timeout also limits the time for the body.
  closeAfter(Server.Limits.IdleTimeoutMs);
  if (boost::beast::iequals(Request.head()[http::field::expect],
                            "100-continue"))
    queueBytes("HTTP/1.1 100 Continue\r\n\r\n");
}

void frontend_session::onReadingState(reading_state State) {
  switch (State) {
  case reading_state::Head:
    return readMore();
  case reading_state::Body:
    widenWindow();
    return readMore();
  case reading_state::Complete:
    return serveRequest();
  case reading_state::Refused:
    return refuseUnfinished(Request.refusal(),
                            "the request is malformed or too large", 0);
  case reading_state::Full:
    ++Server.Counts.FullRequests;
    return refuseUnfinished(relay::error_kind::InstanceFull,
                            "no memory for the request",
                            Server.memoryRetryAfterMs());
  }
}

void frontend_session::giveUpRequest() {
  refuseUnfinished(relay::error_kind::InstanceFull,
                   "the request is slow, and others need the memory",
                   Server.memoryRetryAfterMs());
}

bool frontend_session::isSlow(time_ms Now) const {
  return Phase == phase::ReadingRequest && Request.isSlow(Now);
}

unfinished_request frontend_session::unfinished(time_ms Now) const {
  return Request.unfinished(Now);
}

std::optional<time_ms> frontend_session::idleSince() const {
  if (Phase != phase::Idle || Buffer.size() > 0)
    return std::nullopt;
  return IdleSince;
}

void frontend_session::refuseUnfinished(relay::error_kind Kind,
                                        std::string_view Detail,
                                        int RetryAfterMs) {
  decoded_request Refused;
  Refused.Refusal = Kind;
  Refused.Detail = Detail;
  if (Request.hasHead())
    Refused.Id = Server.Codec.requestId(Request.head());
  Request.reset();
  Server.Observer.onRequestRefused(Refused);
  Phase = phase::Closing;
  KeepAlive = false;
  IsHeadRequest = false;
  Timer.cancel();
  writeResponse(makeErrorResponse(Kind, RetryAfterMs, Refused.Id));
}

void frontend_session::serveRequest() {
  Phase = phase::Serving;
  Timer.cancel();
  request_message Message = Request.release();
  Held = Request.held();
  KeepAlive = Message.keep_alive() && !Server.isDraining();
  IsHttp10 = Message.version() < 11;
  IsHeadRequest = Message.method() == http::verb::head;
  chargeBuffer();
  readAhead();
  decoded_request Decoded =
      IsFromInstance ? Server.Codec.decodeForwarded(std::move(Message), now())
                     : Server.Codec.decodeRequest(std::move(Message), now());
  if (Server.isDraining())
    Server.Observer.onRequestWhileDraining(
        {Decoded.Id, now() - AcceptedAt, RequestCount});
  ++RequestCount;
  if (!Decoded.Call)
    return refuse(Decoded, calls::definitionOf(Decoded.Refusal).RetryAfterMs);
  bool IsHeld = CallCharge.trySet(CallBytes);
  while (!IsHeld && Server.giveUpSlowest(this))
    IsHeld = CallCharge.trySet(CallBytes);
  if (!IsHeld) {
    Decoded.Refusal = relay::error_kind::InstanceFull;
    Decoded.Detail = "too many calls and bytes are held";
    return refuse(Decoded, Server.memoryRetryAfterMs());
  }
  ForwardRequest = std::move(Decoded.ForwardRequest);
  Held->Body = std::exchange(ForwardRequest.body(), {});
  Decoded.Call->Number = ++Server.CallCount;
  Server.Observer.onCallAccepted(*Decoded.Call);
  Reader =
      relay::numbered_event_reader(relay::eventIdOf(Decoded.Call->ResumeAfter));
  Exchange = std::make_unique<relay::exchange>(
      std::move(*Decoded.Call), Server.Placement, Server.Allowance,
      Server.Origins, Reader, *this, Server.Memory);
  Exchange->start(now());
  afterExchangeEvent();
}

response_message
frontend_session::makeErrorResponse(relay::error_kind Kind, int RetryAfterMs,
                                    std::string_view RequestId) {
  response_message Response =
      Server.Codec.makeErrorResponse(Kind, RetryAfterMs, RequestId);
  if (IsFromInstance)
    Server.Codec.addInstanceError(Kind, RetryAfterMs, Response);
  return Response;
}

// Before the request became a call.
void frontend_session::refuse(const decoded_request &Request,
                              int RetryAfterMs) {
  Server.Observer.onRequestRefused(Request);
  writeResponse(makeErrorResponse(Request.Refusal, RetryAfterMs, Request.Id));
  finishRequest();
}

//---------------------------------------------------------------------------
// relay::exchange_host
//---------------------------------------------------------------------------

void frontend_session::startAttempt(const relay::endpoint_choice &To,
                                    const relay::send_options &Options) {
  const time_ms Now = now();
  const relay::call &Call = Exchange->request();
  request_message Message = ForwardRequest;
  Server.Codec.prepareAttempt(Call, To, Options, Now, Message);
  Attempt = std::make_shared<endpoint_attempt>(
      Server.Context, Server.Clock, Server.Pool, Server.Codec, *this,
      Server.Memory, Call, To, std::move(Message),
      shared_body(Held, &Held->Body));
  Attempt->start(Options.FreshConnection);
}

void frontend_session::cancelAttempt() {
  if (!Attempt)
    return;
  const std::shared_ptr<endpoint_attempt> Cancelled =
      std::exchange(Attempt, nullptr);
  Cancelled->cancel();
  reportDropped(*Cancelled);
}

void frontend_session::reportDropped(const endpoint_attempt &Source) {
  if (Exchange && Source.dropped())
    Server.Observer.onAttemptDropped(Exchange->request(), Source.target(),
                                     *Source.dropped());
}

void frontend_session::beginResponse(const relay::response_head &Head) {
  if (Server.isDraining())
    KeepAlive = false;
  if (IsHttp10) {
    // Chunks are sent although HTTP/1.0 does not define them. If the end of the
    // connection marked the end of the response instead, the caller could not
    // tell a truncated response from a complete one.
    KeepAlive = false;
  }
  queueBytes(formatHead(forwardedHead(Head), true, 0, KeepAlive));
}

// As the caller gets it, or the instance that has forwarded the call.
relay::response_head
frontend_session::forwardedHead(relay::response_head Head) const {
  if (!IsFromInstance)
    return Head;
  const relay::exchange_report &Report = Exchange->report();
  Server.Codec.addForwardedResult({Report.LastEndpoint, Report.LastStartedAt,
                                   Report.LastVersion,
                                   Exchange->isVersionCertain()},
                                  Head);
  return Head;
}

void frontend_session::forwardEvents(std::string_view Bytes) {
  if (!Bytes.empty())
    queueBytes(formatChunk(Bytes));
}

void frontend_session::endResponse() { queueBytes(formatLastChunk()); }

void frontend_session::sendCompleteResponse(const relay::response_head &Head,
                                            std::string Body) {
  if (Server.isDraining())
    KeepAlive = false;
  Output.append(formatHead(forwardedHead(Head), false, Body.size(), KeepAlive));
  if (!IsHeadRequest)
    Output.append(std::move(Body));
  startWrite();
}

// The exchange is done after this call, so afterExchangeEvent() closes the
// connection. The caller must not take the incomplete response for a complete
// one.
void frontend_session::abortResponse() { KeepAlive = false; }

void frontend_session::giveUp() {
  if (!Exchange) {
    if (Phase != phase::Closing && Phase != phase::Sending)
      close();
    return;
  }
  Exchange->onForcedStop(now());
  afterExchangeEvent();
}

// What an instance that is not ready refuses, another one may serve: a new
// connection leads there.
void frontend_session::refuse(relay::error_kind Kind, int RetryAfterMs) {
  if (Kind == relay::error_kind::NotReady)
    KeepAlive = false;
  writeResponse(makeErrorResponse(Kind, RetryAfterMs, Exchange->request().Id));
}

//---------------------------------------------------------------------------
// attempt_listener
//---------------------------------------------------------------------------

void frontend_session::onUnreached(const endpoint_attempt *Source) {
  if (!Exchange || Source != Attempt.get())
    return;
  Attempt.reset();
  Exchange->onUnreached(now());
  afterExchangeEvent();
}

bool frontend_session::maySend(const endpoint_attempt *Source,
                               time_ms ConnectedAt) {
  const bool MaySend = mayDeliver(Source, ConnectedAt);
  if (MaySend)
    Server.Observer.onAttemptSent(Exchange->request(), Source->target());
  return MaySend;
}

bool frontend_session::mayDeliver(const endpoint_attempt *Source,
                                  time_ms ConnectedAt) {
  return Exchange && Source == Attempt.get() &&
         Server.Placement.mayStillSend(Exchange->request(), Source->target(),
                                       ConnectedAt, now());
}

void frontend_session::onWithdrawn(const endpoint_attempt *Source) {
  if (!Exchange || Source != Attempt.get())
    return;
  Attempt.reset();
  Exchange->onWithdrawn(now());
  afterExchangeEvent();
}

void frontend_session::onHead(const endpoint_attempt *Source,
                              relay::response_head Head) {
  if (!Exchange || Source != Attempt.get())
    return;
  Exchange->onHead(std::move(Head), now());
  afterExchangeEvent();
}

void frontend_session::onBody(const endpoint_attempt *Source,
                              std::string_view Bytes) {
  if (!Exchange || Source != Attempt.get())
    return;
  Exchange->onBody(Bytes, now());
  afterExchangeEvent();
}

void frontend_session::onEnd(const endpoint_attempt *Source) {
  if (!Exchange || Source != Attempt.get())
    return;
  Attempt.reset();
  Exchange->onEnd(now());
  afterExchangeEvent();
}

void frontend_session::onBroken(const endpoint_attempt *Source) {
  if (!Exchange || Source != Attempt.get())
    return;
  Server.Observer.onResponseBroken(Exchange->request(), Source->target(),
                                   Source->whyBroken());
  reportDropped(*Source);
  Attempt.reset();
  Exchange->onBroken(now());
  afterExchangeEvent();
}

bool frontend_session::canAcceptBody() {
  const std::size_t MaxUnsent = Server.Memory.isTight()
                                    ? Server.Settings.MaxUnsentBytesIfTight
                                    : Server.Settings.MaxUnsentBytes;
  return Output.unsentSize() < MaxUnsent &&
         (!Exchange || Exchange->canReceiveBody());
}

void frontend_session::onMemoryFreed() {
  if (Attempt && canAcceptBody())
    Attempt->resume();
}

//---------------------------------------------------------------------------
// Responses
//---------------------------------------------------------------------------

void frontend_session::queueBytes(std::string Bytes) {
  if (Phase == phase::Closed)
    return;
  Output.append(std::move(Bytes));
  startWrite();
}

void frontend_session::startWrite() {
  if (Phase == phase::Closed)
    return;
  const std::size_t UnsentBytes = Output.unsentSize();
  Output.startWrite(shared_from_this(),
                    [this](const error_code &Error) { onWritten(Error); });
  Server.Counts.Traffic.Sent += UnsentBytes - Output.unsentSize();
}

void frontend_session::onWritten(const error_code &Error) {
  Output.onWriteEnded();
  if (Phase == phase::Closed)
    return;
  if (Error) {
    if (Exchange) {
      Exchange->onCallerDisconnected(now());
      KeepAlive = false;
      afterExchangeEvent();
    }
    return close();
  }
  if (Output.hasUnsent())
    startWrite();
  else if (Phase == phase::Closing)
    beginLingeringClose();
  else if (Phase == phase::Sending)
    awaitNextRequest();
  if (Attempt && canAcceptBody())
    Attempt->resume();
}

void frontend_session::writeResponse(response_message Message) {
  if (Server.isDraining())
    KeepAlive = false;
  queueBytes(formatMessage(std::move(Message), KeepAlive, !IsHeadRequest));
}

//---------------------------------------------------------------------------
// End of a request and of the connection
//---------------------------------------------------------------------------

void frontend_session::afterExchangeEvent() {
  if (!Exchange)
    return;
  if (!Exchange->isDone())
    return startExchangeTimer();
  Server.Observer.onCallDone(Exchange->request(), Exchange->report(), now());
  const bool MustClose = Exchange->report().CallerDisconnected ||
                         Exchange->report().ResponseAborted;
  // One of the exchange's functions may be the caller, so the exchange is
  // destroyed later.
  net::post(Server.Context,
            [Old = std::shared_ptr<relay::exchange>(std::move(Exchange))] {});
  Attempt.reset();
  if (MustClose)
    return close();
  finishRequest();
}

void frontend_session::startExchangeTimer() {
  const time_ms Due = Exchange->nextTimer();
  if (Due == ExchangeTimerDue)
    return;
  ExchangeTimerDue = Due;
  const time_ms Wait = std::max<time_ms>(0, Due - now());
  Timer.expires_after(std::chrono::milliseconds(Wait));
  const std::shared_ptr<frontend_session> Self = shared_from_this();
  Timer.async_wait([Self, Due](const error_code &Error) {
    if (Error || !Self->Exchange || Self->ExchangeTimerDue != Due)
      return;
    Self->ExchangeTimerDue = 0;
    Self->Exchange->onTimer(std::max(Due, Self->now()));
    Self->afterExchangeEvent();
  });
}

// The response is complete or queued. When it is sent, the session waits for
// the next request or closes the connection.
void frontend_session::finishRequest() {
  if (Phase == phase::Closed)
    return;
  ExchangeTimerDue = 0;
  Timer.cancel();
  ForwardRequest = {};
  Held.reset();
  CallCharge.set(0);
  const bool IsSent = Output.isSent();
  if (!KeepAlive) {
    Phase = phase::Closing;
    if (IsSent)
      beginLingeringClose();
    return;
  }
  Phase = phase::Sending;
  if (IsSent)
    awaitNextRequest();
}

void frontend_session::awaitNextRequest() {
  Phase = phase::Idle;
  IdleSince = now();
  chargeBuffer();
  startIdleTimer();
  if (Buffer.size() > 0 && IsReadingAhead) {
    // onReadAhead() goes on with the request. Nothing else is pending on the
    // socket: all responses are sent.
    error_code Ignored;
    Socket.cancel(Ignored);
    return;
  }
  if (Buffer.size() > 0) {
    const std::shared_ptr<frontend_session> Self = shared_from_this();
    net::post(Server.Context, [Self] {
      if (Self->Phase == phase::Idle && !Self->IsReadingAhead)
        Self->readRequest();
    });
    return;
  }
  readAhead();
}

// Shuts down the sending side, and reads and discards input for
// LingeringCloseMs. Closing a socket with unread input would send a reset,
// which can make the caller lose the response.
void frontend_session::beginLingeringClose() {
  error_code Ignored;
  Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  closeAfter(Server.Settings.LingeringCloseMs);
  Buffer.consume(Buffer.size());
  readAhead();
}

void frontend_session::onGrantsChanged() {
  if (!Exchange)
    return;
  Exchange->onBudgetChanged(now());
  afterExchangeEvent();
}

void frontend_session::onOriginsRead() {
  if (!Exchange)
    return;
  Exchange->onOriginsRead(now());
  afterExchangeEvent();
}

void frontend_session::onListRead() {
  if (!Exchange)
    return;
  Exchange->onListRead(now());
  afterExchangeEvent();
}

// True until a new connection had time to send its first request.
bool frontend_session::isNew() const {
  return RequestCount == 0 &&
         now() - AcceptedAt < Server.Settings.DrainIdleTimeoutMs;
}

void frontend_session::closeIfIdle() {
  if (!isBusy() && !isNew())
    close();
}

void frontend_session::close() {
  if (Phase == phase::Closed)
    return;
  const std::shared_ptr<frontend_session> Self = shared_from_this();
  Phase = phase::Closed;
  Timer.cancel();
  if (Exchange) {
    Exchange->onCallerDisconnected(now());
    if (Exchange && Exchange->isDone()) {
      Server.Observer.onCallDone(Exchange->request(), Exchange->report(),
                                 now());
      net::post(Server.Context, [Old = std::shared_ptr<relay::exchange>(
                                     std::move(Exchange))] {});
    }
  }
  cancelAttempt();
  error_code Ignored;
  Socket.close(Ignored);
  Server.Sessions.erase(Self);
}

} // namespace tamarack::edge
