// One attempt at an endpoint.
#include "endpoint_attempt.hpp"

#include <charconv>
#include <limits>

namespace tamarack::edge {

namespace {

constexpr int MostDiscarded = 3; // Answers to others before the own one.
constexpr std::uint32_t LargestHead = 64 * 1024;
constexpr int KeepMarginMs =
    1'000; // Closed this long before the endpoint does.

// "timeout=N" of a Keep-Alive field, 0 if there is none.
int timeoutOf(std::string_view KeepAlive) {
  constexpr std::string_view Name = "timeout=";
  const std::size_t At = KeepAlive.find(Name);
  if (At == std::string_view::npos)
    return 0;
  int Seconds = 0;
  const std::string_view Digits = KeepAlive.substr(At + Name.size());
  std::from_chars(Digits.data(), Digits.data() + Digits.size(), Seconds);
  return Seconds;
}

} // namespace

endpoint_attempt::endpoint_attempt(net::io_context &Context, const clock &Clock,
                                   connection_pool &Pool, exchange_codec &Codec,
                                   attempt_listener &Listener, relay::call Call,
                                   relay::endpoint_choice To,
                                   request_message Request)
    : Context(Context), Clock(Clock), Pool(Pool), Codec(Codec),
      Listener(&Listener), Call(std::move(Call)), To(std::move(To)),
      Request(std::move(Request)), Timer(Context) {}

void endpoint_attempt::start(bool OnlyRecentConnection) {
  Connection = Pool.acquireIdle(To.Address, OnlyRecentConnection);
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  if (Connection)
    net::post(Context, [Self] { Self->send(); });
  else
    connect();
}

void endpoint_attempt::connect() {
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  tcp::endpoint Address;
  try {
    Address = parseAddress(To.Address);
  } catch (const std::invalid_argument &) {
    net::post(Context, [Self] {
      if (Self->Listener)
        std::exchange(Self->Listener, nullptr)->onUnreached(Self.get());
    });
    return;
  }
  Connection = Pool.createConnection(To.Address);
  Timer.expires_after(
      std::chrono::milliseconds(Pool.settings().ConnectTimeoutMs));
  Timer.async_wait([Self](const error_code &Error) {
    if (!Error && Self->Connection)
      Self->Connection->close();
  });
  Connection->Socket.async_connect(Address, [Self](const error_code &Error) {
    Self->Timer.cancel();
    if (Self->Listener == nullptr)
      return;
    if (Error || !Self->Connection->Socket.is_open()) {
      Self->Connection->close();
      std::exchange(Self->Listener, nullptr)->onUnreached(Self.get());
      return;
    }
    applySocketOptions(Self->Connection->Socket,
                       {Self->Pool.settings().TcpUserTimeoutMs});
    Self->send();
  });
}

void endpoint_attempt::send() {
  if (Listener == nullptr)
    return;
  Writing = true;
  ++Connection->Uses;
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  http::async_write(Connection->Socket, Request,
                    [Self](const error_code &Error, std::size_t) {
                      Self->Writing = false;
                      Self->Request.body().shrink_to_fit();
                      // The endpoint may have answered before it read all; the
                      // reading side tells of a break.
                      if (!Error && Self->AnswerDone)
                        Self->complete();
                      if (Error && Self->AnswerDone)
                        Self->Connection->close();
                    });
  readHead();
}

void endpoint_attempt::readHead() {
  Parser.emplace();
  Parser->header_limit(LargestHead);
  Parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  if (Request.method() == http::verb::head)
    Parser->skip(true);
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  http::async_read_header(
      Connection->Socket, Connection->Buffer, *Parser,
      [Self](const error_code &Error, std::size_t) { Self->onHead(Error); });
}

void endpoint_attempt::onHead(const error_code &Error) {
  if (Listener == nullptr)
    return;
  if (Error)
    return broken();
  const response_fields &Fields = Parser->get().base();
  if (Fields.result_int() < 200)
    return readHead(); // An interim answer.
  if (!Codec.isResponseTo(Call, Fields))
    return discardAnswer();
  const time_ms Now = Clock.monotonic();
  Codec.recordLoadReport(To, Fields, Now);
  const boost::beast::string_view KeepAlive = Fields["Keep-Alive"];
  KeepAliveS = timeoutOf({KeepAlive.data(), KeepAlive.size()});
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  Listener->onHead(this, Codec.decodeResponseHead(Fields));
  readBody();
}

// An answer to another request came first on this connection.
void endpoint_attempt::discardAnswer() {
  if (++Discarded > MostDiscarded || Parser->need_eof())
    return broken();
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  Parser->get().body().data = Bytes.data();
  Parser->get().body().size = Bytes.size();
  Parser->get().body().more = true;
  if (Parser->is_done())
    return readHead();
  http::async_read_some(Connection->Socket, Connection->Buffer, *Parser,
                        [Self](error_code Error, std::size_t) {
                          if (Self->Listener == nullptr)
                            return;
                          if (Error == http::error::need_buffer)
                            Error = {};
                          if (Error)
                            return Self->broken();
                          if (Self->Parser->is_done())
                            return Self->readHead();
                          --Self->Discarded;
                          Self->discardAnswer();
                        });
}

void endpoint_attempt::readBody() {
  if (Listener == nullptr)
    return;
  if (Parser->is_done())
    return complete();
  if (!Listener->wantsMore()) {
    Paused = true;
    return;
  }
  Parser->get().body().data = Bytes.data();
  Parser->get().body().size = Bytes.size();
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
    return broken();
  const std::size_t Read = Bytes.size() - Parser->get().body().size;
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  if (Read > 0)
    Listener->onBody(this, std::string_view(Bytes.data(), Read));
  readBody();
}

void endpoint_attempt::resume() {
  if (!Paused)
    return;
  Paused = false;
  readBody();
}

time_ms endpoint_attempt::keepUntil(time_ms Now) const {
  const int IdleMs = Pool.settings().MaxIdleMs;
  if (KeepAliveS == 0)
    return Now + IdleMs;
  return Now + std::min(IdleMs, KeepAliveS * 1'000 - KeepMarginMs);
}

void endpoint_attempt::complete() {
  const std::shared_ptr<endpoint_attempt> Self = shared_from_this();
  AnswerDone = true;
  const bool Kept = Parser->keep_alive() && Connection->Buffer.size() == 0;
  // A connection on which the request is still being written is used again
  // only when all of it has gone out.
  if (Kept && !Writing) {
    const time_ms Now = Clock.monotonic();
    const time_ms Until = keepUntil(Now);
    if (Until > Now)
      Pool.release(std::exchange(Connection, nullptr), Until);
    else
      Connection->close();
  } else if (!Kept) {
    Connection->close();
  }
  if (Listener)
    std::exchange(Listener, nullptr)->onEnd(this);
}

void endpoint_attempt::broken() {
  Connection->close();
  std::exchange(Listener, nullptr)->onBroken(this);
}

void endpoint_attempt::cancel() {
  Listener = nullptr;
  Timer.cancel();
  if (Connection)
    Connection->close();
}

} // namespace tamarack::edge
