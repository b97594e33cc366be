// One caller's connection.
#include "frontend_session.hpp"

#include <sstream>

namespace tamarack::edge {

namespace {

constexpr std::size_t WatchBytes = 4'096;
constexpr std::size_t MostAhead = 64 * 1024; // Bytes of later requests.

std::string chunkOf(std::string_view Bytes) {
  return boost::beast::buffers_to_string(
      http::make_chunk(net::const_buffer(Bytes.data(), Bytes.size())));
}

} // namespace

frontend_session::frontend_session(frontend_server &Server, tcp::socket Socket)
    : Server(Server), Socket(std::move(Socket)), Timer(Server.Context) {}

time_ms frontend_session::now() const { return Server.Clock.monotonic(); }

//---------------------------------------------------------------------------
// Reading
//---------------------------------------------------------------------------

void frontend_session::start() {
  applySocketOptions(Socket, {});
  startIdleTimer();
  watch();
}

void frontend_session::startIdleTimer() {
  const int IdleMs = Server.Draining ? Server.Settings.DrainIdleTimeoutMs
                                     : Server.Limits.IdleMs;
  Timer.expires_after(std::chrono::milliseconds(IdleMs));
  const std::shared_ptr<frontend_session> Self = shared_from_this();
  Timer.async_wait([Self](const error_code &Error) {
    if (!Error && Self->Phase == phase::Idle)
      Self->close();
  });
}

void frontend_session::watch() {
  if (Watching || Phase == phase::Closed || Buffer.size() >= MostAhead)
    return;
  Watching = true;
  const std::shared_ptr<frontend_session> Self = shared_from_this();
  Socket.async_read_some(Buffer.prepare(WatchBytes),
                         [Self](const error_code &Error, std::size_t Size) {
                           Self->Watching = false;
                           Self->onWatched(Error, Size);
                         });
}

void frontend_session::onWatched(const error_code &Error, std::size_t Size) {
  if (Phase == phase::Closed)
    return;
  if (Error) {
    if (Exchange) {
      Exchange->onClientGone(now());
      KeepAlive = false;
      Phase = phase::Closing;
      afterEvent();
    }
    return close();
  }
  Buffer.commit(Size);
  if (Phase == phase::Idle)
    return readRequest();
  if (Phase == phase::Closing) {
    Buffer.consume(Buffer.size());
    return watch();
  }
  watch();
}

void frontend_session::readRequest() {
  Phase = phase::Reading;
  Parser.emplace();
  Parser->header_limit(Server.Limits.HeaderBytes);
  Parser->body_limit(Server.Limits.BodyBytes);
  const std::shared_ptr<frontend_session> Self = shared_from_this();
  Timer.expires_after(std::chrono::milliseconds(Server.Limits.HeaderMs));
  Timer.async_wait([Self](const error_code &Error) {
    if (!Error && Self->Phase == phase::Reading)
      Self->close();
  });
  http::async_read_header(Socket, Buffer, *Parser,
                          [Self](const error_code &Error, std::size_t) {
                            Self->onRequestHead(Error);
                          });
}

// One framing only, so that nothing can hide inside a body.
bool frontend_session::hasPlainFraming() const {
  const request_message &Request = Parser->get();
  const std::size_t Codings = Request.count(http::field::transfer_encoding);
  const std::size_t Lengths = Request.count(http::field::content_length);
  if (Codings == 0)
    return Lengths <= 1;
  return Codings == 1 && Lengths == 0 && Parser->chunked() &&
         boost::beast::iequals(Request[http::field::transfer_encoding],
                               "chunked");
}

void frontend_session::onRequestHead(const error_code &Error) {
  if (Phase != phase::Reading)
    return;
  if (Error == http::error::header_limit)
    return refuseReading(relay::error_kind::HeadersTooLarge);
  if (Error == http::error::body_limit)
    return refuseReading(relay::error_kind::BodyTooLarge);
  if (Error.category() == http::make_error_code(http::error{}).category() &&
      Error != http::error::end_of_stream &&
      Error != http::error::partial_message)
    return refuseReading(relay::error_kind::InvalidRequest);
  if (Error)
    return close();
  if (!hasPlainFraming())
    return refuseReading(relay::error_kind::InvalidRequest);
  if (boost::beast::iequals(Parser->get()[http::field::expect], "100-continue"))
    write("HTTP/1.1 100 Continue\r\n\r\n");
  const std::shared_ptr<frontend_session> Self = shared_from_this();
  // The body may take as long as the connection may be idle.
  Timer.expires_after(std::chrono::milliseconds(Server.Limits.IdleMs));
  Timer.async_wait([Self](const error_code &Waited) {
    if (!Waited && Self->Phase == phase::Reading)
      Self->close();
  });
  http::async_read(
      Socket, Buffer, *Parser,
      [Self](const error_code &Read, std::size_t) { Self->onRequest(Read); });
}

void frontend_session::onRequest(const error_code &Error) {
  if (Phase != phase::Reading)
    return;
  if (Error == http::error::body_limit)
    return refuseReading(relay::error_kind::BodyTooLarge);
  if (Error)
    return Error.category() ==
                       http::make_error_code(http::error{}).category() &&
                   Error != http::error::partial_message
               ? refuseReading(relay::error_kind::InvalidRequest)
               : close();
  serve();
}

// The rest of the request can't be read: the connection ends with the answer.
void frontend_session::refuseReading(relay::error_kind Kind) {
  decoded_request Request;
  Request.Refusal = Kind;
  Request.Detail = "the request can't be read";
  Server.Observer.onRequestRefused(Request);
  Phase = phase::Closing;
  KeepAlive = false;
  LingerAfterFlush = true;
  Timer.cancel();
  writeMessage(Server.Codec.makeErrorResponse(Kind, 0, {}));
}

void frontend_session::serve() {
  Phase = phase::Busy;
  Timer.cancel();
  request_message Request = Parser->release();
  Parser.reset();
  KeepAlive = Request.keep_alive() && !Server.Draining;
  OldVersion = Request.version() < 11;
  IsHead = Request.method() == http::verb::head;
  watch();
  decoded_request Decoded =
      Server.Codec.decodeRequest(std::move(Request), now());
  if (!Decoded.Call) {
    Server.Observer.onRequestRefused(Decoded);
    writeMessage(Server.Codec.makeErrorResponse(
        Decoded.Refusal, calls::definitionOf(Decoded.Refusal).RetryAfterMs,
        Decoded.Id));
    return finishExchange();
  }
  Forward = std::move(Decoded.Forward);
  Server.Observer.onCallAccepted(*Decoded.Call);
  Reader = {};
  Exchange = std::make_unique<relay::exchange>(std::move(*Decoded.Call),
                                               Server.Placement,
                                               Server.Allowance, Reader, *this);
  Exchange->start(now());
  afterEvent();
}

//---------------------------------------------------------------------------
// What the exchange decides
//---------------------------------------------------------------------------

void frontend_session::send(const relay::endpoint_choice &To,
                            const relay::send_options &Options) {
  const time_ms Now = now();
  const relay::call &Call = Exchange->request();
  request_message Request = Forward;
  Server.Codec.prepareAttempt(Call, To, Options, Now, Request);
  Attempt = std::make_shared<endpoint_attempt>(Server.Context, Server.Clock,
                                               Server.Pool, Server.Codec, *this,
                                               Call, To, std::move(Request));
  Attempt->start(Options.FreshConnection);
}

void frontend_session::cancelSend() {
  if (Attempt)
    std::exchange(Attempt, nullptr)->cancel();
}

std::string frontend_session::headText(const relay::answer_head &Head,
                                       bool Chunked, std::size_t Length) {
  http::response_header<> Fields;
  Fields.version(11);
  Fields.result(static_cast<unsigned>(Head.Status));
  for (const header_field &Field : Head.Fields)
    Fields.insert(Field.Name, Field.Value);
  if (Chunked)
    Fields.set(http::field::transfer_encoding, "chunked");
  else
    Fields.set(http::field::content_length, std::to_string(Length));
  if (!KeepAlive)
    Fields.set(http::field::connection, "close");
  std::ostringstream Out;
  Out << Fields;
  return std::move(Out).str();
}

void frontend_session::beginAnswer(const relay::answer_head &Head) {
  if (Server.Draining)
    KeepAlive = false;
  if (OldVersion) {
    // Without chunks the end of the connection ends the answer, and a caller
    // could not tell a broken answer from a whole one.
    KeepAlive = false;
  }
  write(headText(Head, true, 0));
}

void frontend_session::passOn(std::string_view Bytes) {
  if (!Bytes.empty())
    write(chunkOf(Bytes));
}

void frontend_session::endAnswer() {
  write(boost::beast::buffers_to_string(http::make_chunk_last()));
}

void frontend_session::wholeAnswer(const relay::answer_head &Head,
                                   std::string_view Body) {
  if (Server.Draining)
    KeepAlive = false;
  std::string Text = headText(Head, false, Body.size());
  if (!IsHead)
    Text.append(Body);
  write(std::move(Text));
}

// The exchange is done then, and its connection is closed: the caller must not
// take what it has for a whole answer.
void frontend_session::breakOff() { KeepAlive = false; }

void frontend_session::endNow() { close(); }

void frontend_session::refuse(relay::error_kind Kind, int RetryAfterMs) {
  writeMessage(Server.Codec.makeErrorResponse(Kind, RetryAfterMs,
                                              Exchange->request().Id));
}

//---------------------------------------------------------------------------
// What the attempt tells
//---------------------------------------------------------------------------

void frontend_session::onUnreached(const endpoint_attempt *From) {
  if (!Exchange || From != Attempt.get())
    return;
  Attempt.reset();
  Exchange->onUnreached(now());
  afterEvent();
}

void frontend_session::onHead(const endpoint_attempt *From,
                              relay::answer_head Head) {
  if (!Exchange || From != Attempt.get())
    return;
  Exchange->onHead(std::move(Head), now());
  afterEvent();
}

void frontend_session::onBody(const endpoint_attempt *From,
                              std::string_view Bytes) {
  if (!Exchange || From != Attempt.get())
    return;
  Exchange->onBody(Bytes, now());
  afterEvent();
}

void frontend_session::onEnd(const endpoint_attempt *From) {
  if (!Exchange || From != Attempt.get())
    return;
  Attempt.reset();
  Exchange->onEnd(now());
  afterEvent();
}

void frontend_session::onBroken(const endpoint_attempt *From) {
  if (!Exchange || From != Attempt.get())
    return;
  Attempt.reset();
  Exchange->onBroken(now());
  afterEvent();
}

bool frontend_session::wantsMore() {
  return Unsent.size() < Server.Settings.MaxUnsentBytes;
}

//---------------------------------------------------------------------------
// Writing
//---------------------------------------------------------------------------

void frontend_session::write(std::string Bytes) {
  if (Phase == phase::Closed)
    return;
  if (Unsent.empty())
    Unsent = std::move(Bytes);
  else
    Unsent.append(Bytes);
  flush();
}

void frontend_session::flush() {
  if (!Sending.empty() || Unsent.empty() || Phase == phase::Closed)
    return;
  Sending.swap(Unsent);
  const std::shared_ptr<frontend_session> Self = shared_from_this();
  net::async_write(
      Socket, net::buffer(Sending),
      [Self](const error_code &Error, std::size_t) { Self->onFlushed(Error); });
}

void frontend_session::onFlushed(const error_code &Error) {
  Sending.clear();
  if (Phase == phase::Closed)
    return;
  if (Error) {
    if (Exchange) {
      Exchange->onClientGone(now());
      KeepAlive = false;
      afterEvent();
    }
    return close();
  }
  if (!Unsent.empty())
    flush();
  else if (Phase == phase::Closing)
    linger();
  if (Attempt && wantsMore())
    Attempt->resume();
}

void frontend_session::writeMessage(response_message Message) {
  if (Server.Draining)
    KeepAlive = false;
  Message.keep_alive(KeepAlive);
  Message.prepare_payload();
  std::ostringstream Out;
  Out << Message.base();
  if (!IsHead)
    Out << Message.body();
  write(std::move(Out).str());
}

//---------------------------------------------------------------------------
// Ends
//---------------------------------------------------------------------------

void frontend_session::afterEvent() {
  if (!Exchange)
    return;
  if (!Exchange->isDone())
    return armTimer();
  Server.Observer.onCallDone(Exchange->request(), Exchange->report(), now());
  const bool Gone =
      Exchange->report().ClientGone || Exchange->report().BrokenOff;
  // The exchange may be further up in the call stack.
  net::post(Server.Context,
            [Old = std::shared_ptr<relay::exchange>(std::move(Exchange))] {});
  Attempt.reset();
  if (Gone)
    return close();
  finishExchange();
}

void frontend_session::armTimer() {
  const time_ms Due = Exchange->nextTimer();
  if (Due == TimerDue)
    return;
  TimerDue = Due;
  const time_ms Wait = std::max<time_ms>(0, Due - now());
  Timer.expires_after(std::chrono::milliseconds(Wait));
  const std::shared_ptr<frontend_session> Self = shared_from_this();
  Timer.async_wait([Self, Due](const error_code &Error) {
    if (Error || !Self->Exchange || Self->TimerDue != Due)
      return;
    Self->TimerDue = 0;
    Self->Exchange->onTimer(std::max(Due, Self->now()));
    Self->afterEvent();
  });
}

// The answer is complete, as far as this side goes.
void frontend_session::finishExchange() {
  if (Phase == phase::Closed)
    return;
  TimerDue = 0;
  Timer.cancel();
  Forward = {};
  if (!KeepAlive) {
    Phase = phase::Closing;
    if (Sending.empty() && Unsent.empty())
      linger();
    return;
  }
  Phase = phase::Idle;
  startIdleTimer();
  if (Watching)
    return;
  if (Buffer.size() > 0) {
    const std::shared_ptr<frontend_session> Self = shared_from_this();
    net::post(Server.Context, [Self] {
      if (Self->Phase == phase::Idle && !Self->Watching)
        Self->readRequest();
    });
    return;
  }
  watch();
}

// Reads on for a moment, so that the answer is not lost to a reset.
void frontend_session::linger() {
  error_code Ignored;
  Socket.shutdown(tcp::socket::shutdown_send, Ignored);
  const std::shared_ptr<frontend_session> Self = shared_from_this();
  Timer.expires_after(
      std::chrono::milliseconds(Server.Settings.LingeringCloseMs));
  Timer.async_wait([Self](const error_code &Error) {
    if (!Error)
      Self->close();
  });
  Buffer.consume(Buffer.size());
  watch();
}

void frontend_session::onGrantsChanged() {
  if (!Exchange)
    return;
  Exchange->onMoney(now());
  afterEvent();
}

void frontend_session::closeIfIdle() {
  if (Phase == phase::Idle && Buffer.size() == 0)
    close();
}

void frontend_session::close() {
  if (Phase == phase::Closed)
    return;
  const std::shared_ptr<frontend_session> Self = shared_from_this();
  Phase = phase::Closed;
  Timer.cancel();
  if (Exchange) {
    Exchange->onClientGone(now());
    if (Exchange && Exchange->isDone()) {
      Server.Observer.onCallDone(Exchange->request(), Exchange->report(),
                                 now());
      net::post(Server.Context, [Old = std::shared_ptr<relay::exchange>(
                                     std::move(Exchange))] {});
    }
  }
  cancelSend();
  error_code Ignored;
  Socket.close(Ignored);
  Server.Sessions.erase(Self);
}

} // namespace tamarack::edge
