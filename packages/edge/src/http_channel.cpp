// Requests to one server on one kept connection.
#include "sockets.hpp"

namespace tamarack::edge {

namespace {

constexpr std::uint64_t LargestBody = 64u << 20;

} // namespace

http_channel::http_channel(net::io_context &Context, std::string Address)
    : Address(std::move(Address)), Socket(Context), Timer(Context) {}

void http_channel::request(channel_request Request, response_handler Handler) {
  Queue.push_back({std::move(Request), std::move(Handler)});
  if (!Busy)
    next();
}

void http_channel::next() {
  if (Queue.empty())
    return;
  Busy = true;
  begin();
}

void http_channel::begin() {
  ++Round;
  const channel_request &Request = Queue.front().Request;
  const bool MayBeSilent = Connected && Request.Repeatable;
  arm(MayBeSilent ? std::min(Request.SilentMs, Request.TimeoutMs)
                  : Request.TimeoutMs);
  if (Connected)
    send();
  else
    connect();
}

void http_channel::arm(int Ms) {
  const std::shared_ptr<http_channel> Self = shared_from_this();
  Timer.expires_after(std::chrono::milliseconds(Ms));
  Timer.async_wait([Self, This = Round](const error_code &Error) {
    if (!Error && Self->Busy && Self->Round == This)
      Self->onDeadline();
  });
}

void http_channel::connect() {
  const std::shared_ptr<http_channel> Self = shared_from_this();
  Buffer.consume(Buffer.size());
  Socket.async_connect(parseAddress(Address),
                       [Self, This = Round](const error_code &Error) {
                         if (!Self->Busy || Self->Round != This)
                           return;
                         if (Error)
                           return Self->finish(std::nullopt);
                         Self->Connected = true;
                         tune(Self->Socket, {});
                         Self->send();
                       });
}

void http_channel::send() {
  const std::shared_ptr<http_channel> Self = shared_from_this();
  request_message &Request = Queue.front().Request.Message;
  Request.set(http::field::host, Address);
  Request.prepare_payload();
  Parser.emplace();
  Parser->body_limit(LargestBody);
  http::async_write(Socket, Request,
                    [Self, This = Round](const error_code &Error, std::size_t) {
                      if (!Self->Busy || Self->Round != This)
                        return;
                      if (Error)
                        return Self->finish(std::nullopt);
                      Self->readSome();
                    });
}

// A long answer over a slow link may take its time as long as it comes.
void http_channel::readSome() {
  const std::shared_ptr<http_channel> Self = shared_from_this();
  http::async_read_some(
      Socket, Buffer, *Parser,
      [Self, This = Round](const error_code &Error, std::size_t) {
        if (!Self->Busy || Self->Round != This)
          return;
        if (Error)
          return Self->finish(std::nullopt);
        if (Self->Parser->is_done())
          return Self->finish(Self->Parser->release());
        Self->arm(Self->Queue.front().Request.TimeoutMs);
        Self->readSome();
      });
}

void http_channel::onDeadline() {
  const bool Began = Parser && Parser->got_some();
  const bool Repeat = Connected && !Began && Queue.front().Request.Repeatable;
  if (!Repeat)
    return finish(std::nullopt);
  Queue.front().Request.Repeatable = false;
  close();
  begin();
}

void http_channel::close() {
  Connected = false;
  error_code Ignored;
  Socket.close(Ignored);
  Buffer.consume(Buffer.size());
}

void http_channel::finish(std::optional<response_message> Response) {
  Timer.cancel();
  Busy = false;
  ++Round;
  if (!Response || !Response->keep_alive() || Buffer.size() > 0)
    close();
  const response_handler Handler = std::move(Queue.front().Handler);
  Queue.pop_front();
  const std::shared_ptr<http_channel> Self = shared_from_this();
  Handler(std::move(Response));
  if (!Busy)
    next();
}

} // namespace tamarack::edge
