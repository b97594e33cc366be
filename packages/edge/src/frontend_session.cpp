// One caller's connection and the call that is being served on it.
#include "frontend_session.hpp"
#include "sockets.hpp"

namespace tamarack::edge {

namespace {

constexpr std::size_t ReadAheadBytes = 4'096; // Per read operation.
// Bytes of later requests that are buffered, usually and while the memory
// budget is tight. Reading ahead stops at this size.
constexpr std::size_t MaxReadAheadBytes = MaxUnparsedBytes - ReadAheadBytes;
constexpr std::size_t MaxReadAheadBytesIfTight = ReadAheadBytes;

// Of a call in progress: its state, its attempt and their buffers.
constexpr std::size_t CallBytes = 16 * 1024;

// A sound caller may pause for some seconds while it reads.
constexpr int CallerTcpUserTimeoutMs = 10'000;

} // namespace

frontend_session::frontend_session(frontend_server &Server, tcp::socket Socket)
    : Server(Server), Socket(std::move(Socket)), Timer(Server.Context),
      Buffer(MaxUnparsedBytes), AcceptedAt(Server.Clock.monotonic()),
      BufferCharge(Server.Memory), CallCharge(Server.Memory),
      Output(this->Socket, Server.Memory) {}

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
  IsReadingAhead = true;
  const std::shared_ptr<frontend_session> Self = shared_from_this();
  Socket.async_read_some(Buffer.prepare(ReadAheadBytes),
                         [Self](const error_code &Error, std::size_t Size) {
                           Self->IsReadingAhead = false;
                           Self->onReadAhead(Error, Size);
                         });
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
  chargeBuffer();
  if (Phase == phase::Idle)
    return readRequest();
  if (Phase == phase::Closing) {
    Buffer.consume(Buffer.size());
    return readAhead();
  }
  readAhead();
}

// What a request usually takes is in CallBytes.
void frontend_session::chargeBuffer() {
  if (Buffer.size() == 0 && Buffer.capacity() > 2 * ReadAheadBytes)
    Buffer.shrink_to_fit();
  BufferCharge.set(Buffer.size() > ReadAheadBytes ? Buffer.size() : 0);
}

void frontend_session::readRequest() {
  Phase = phase::ReadingRequest;
  Parser.emplace();
  Parser->header_limit(Server.Limits.MaxHeaderBytes);
  Parser->body_limit(Server.Limits.MaxBodyBytes);
  const std::shared_ptr<frontend_session> Self = shared_from_this();
  closeAfter(Server.Limits.HeaderTimeoutMs);
  http::async_read_header(Socket, Buffer, *Parser,
                          [Self](const error_code &Error, std::size_t) {
                            Self->onRequestHead(Error);
                          });
}

// True if the length of the body is given in exactly one way. Otherwise another
// HTTP implementation could see a different end of the body (request
// smuggling).
bool frontend_session::hasUnambiguousFraming() const {
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

void frontend_session::onRequestHead(const error_code &Error) {
  if (Phase != phase::ReadingRequest)
    return;
  const bool IsTooLarge = Error == http::error::header_limit ||
                          Error == http::error::buffer_overflow;
  if (IsTooLarge)
    return refuseUnreadableRequest(relay::error_kind::HeadersTooLarge);
  if (Error == http::error::body_limit)
    return refuseUnreadableRequest(relay::error_kind::BodyTooLarge);
  if (Error.category() == http::make_error_code(http::error{}).category() &&
      Error != http::error::end_of_stream &&
      Error != http::error::partial_message)
    return refuseUnreadableRequest(relay::error_kind::InvalidRequest);
  if (Error)
    return close();
  if (!hasUnambiguousFraming())
    return refuseUnreadableRequest(relay::error_kind::InvalidRequest);
  if (boost::beast::iequals(Parser->get()[http::field::expect], "100-continue"))
    queueBytes("HTTP/1.1 100 Continue\r\n\r\n");
  const std::shared_ptr<frontend_session> Self = shared_from_this();
  // The idle timeout also limits the time for the body.
  closeAfter(Server.Limits.IdleTimeoutMs);
  Buffer.max_size(std::max(MaxUnparsedBodyBytes, Buffer.size()));
  http::async_read(Socket, Buffer, *Parser,
                   [Self](const error_code &ReadError, std::size_t) {
                     Self->Buffer.max_size(MaxUnparsedBytes);
                     Self->onRequest(ReadError);
                   });
}

void frontend_session::onRequest(const error_code &Error) {
  if (Phase != phase::ReadingRequest)
    return;
  if (Error == http::error::body_limit)
    return refuseUnreadableRequest(relay::error_kind::BodyTooLarge);
  if (Error)
    return Error.category() ==
                       http::make_error_code(http::error{}).category() &&
                   Error != http::error::partial_message
               ? refuseUnreadableRequest(relay::error_kind::InvalidRequest)
               : close();
  serveRequest();
}

// The end of the request is unknown, so the connection is closed after the
// error response.
void frontend_session::refuseUnreadableRequest(relay::error_kind Kind) {
  decoded_request Request;
  Request.Refusal = Kind;
  Request.Detail = "the request is malformed or too large";
  Server.Observer.onRequestRefused(Request);
  Phase = phase::Closing;
  KeepAlive = false;
  LingerAfterWrite = true;
  Timer.cancel();
  writeResponse(Server.Codec.makeErrorResponse(Kind, 0, {}));
}

void frontend_session::serveRequest() {
  Phase = phase::Serving;
  Timer.cancel();
  request_message Request = Parser->release();
  Parser.reset();
  KeepAlive = Request.keep_alive() && !Server.isDraining();
  IsHttp10 = Request.version() < 11;
  IsHeadRequest = Request.method() == http::verb::head;
  readAhead();
  decoded_request Decoded =
      Server.Codec.decodeRequest(std::move(Request), now());
  if (Server.isDraining())
    Server.Observer.onRequestWhileDraining(
        {Decoded.Id, now() - AcceptedAt, RequestCount});
  ++RequestCount;
  if (!Decoded.Call)
    return refuse(Decoded, calls::definitionOf(Decoded.Refusal).RetryAfterMs);
  if (!CallCharge.trySet(CallBytes)) {
    Decoded.Refusal = relay::error_kind::InstanceFull;
    Decoded.Detail = "too many calls and bytes are held";
    return refuse(Decoded, Server.memoryRetryAfterMs());
  }
  ForwardRequest = std::move(Decoded.ForwardRequest);
  Decoded.Call->Number = ++Server.CallCount;
  Server.Observer.onCallAccepted(*Decoded.Call);
  Reader = {};
  Exchange = std::make_unique<relay::exchange>(
      std::move(*Decoded.Call), Server.Placement, Server.Allowance,
      Server.Origins, Reader, *this, Server.Memory);
  Exchange->start(now());
  afterExchangeEvent();
}

// Before the request became a call.
void frontend_session::refuse(const decoded_request &Request,
                              int RetryAfterMs) {
  Server.Observer.onRequestRefused(Request);
  writeResponse(Server.Codec.makeErrorResponse(Request.Refusal, RetryAfterMs,
                                               Request.Id));
  finishRequest();
}

//---------------------------------------------------------------------------
// relay::exchange_host
//---------------------------------------------------------------------------

void frontend_session::startAttempt(const relay::endpoint_choice &To,
                                    const relay::send_options &Options) {
  const time_ms Now = now();
  const relay::call &Call = Exchange->request();
  request_message Request = ForwardRequest;
  Server.Codec.prepareAttempt(Call, To, Options, Now, Request);
  Attempt = std::make_shared<endpoint_attempt>(
      Server.Context, Server.Clock, Server.Pool, Server.Codec, *this,
      Server.Memory, Call, To, std::move(Request));
  Attempt->start(Options.FreshConnection);
}

void frontend_session::cancelAttempt() {
  if (Attempt)
    std::exchange(Attempt, nullptr)->cancel();
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
  queueBytes(formatHead(Head, true, 0, KeepAlive));
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
  Output.append(formatHead(Head, false, Body.size(), KeepAlive));
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

void frontend_session::refuse(relay::error_kind Kind, int RetryAfterMs) {
  writeResponse(Server.Codec.makeErrorResponse(Kind, RetryAfterMs,
                                               Exchange->request().Id));
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
  if (Phase != phase::Closed)
    Output.startWrite(shared_from_this(),
                      [this](const error_code &Error) { onWritten(Error); });
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
  if (!IsReadingAhead) // Else Buffer is in use.
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
