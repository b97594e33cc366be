// Requests to one server on one kept connection.
#include "sockets.hpp"

namespace tamarack::edge {

namespace {

constexpr std::uint64_t LargestBody = 64u << 20;

} // namespace

struct http_channel::connection {
  explicit connection(net::io_context &Context) : Socket(Context) {}

  tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  std::optional<http::response_parser<http::string_body>> Parser;
  bool Open = false;
};

http_channel::http_channel(net::io_context &Context, std::string Address)
    : Context(Context), Address(std::move(Address)), Timer(Context) {}

void http_channel::request(channel_request Request, response_handler Handler) {
  Request.Message.set(http::field::host, Address);
  Request.Message.prepare_payload();
  Queue.push_back(
      {std::make_shared<const request_message>(std::move(Request.Message)),
       Request.InactivityTimeoutMs, Request.Repeatable, Request.RetrySilenceMs,
       std::move(Handler)});
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
  const item &Item = Queue.front();
  const bool MayBeSilent = Connection && Item.Repeatable;
  arm(MayBeSilent ? std::min(Item.RetrySilenceMs, Item.InactivityTimeoutMs)
                  : Item.InactivityTimeoutMs);
  if (Connection)
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
  const std::shared_ptr<connection> Opening =
      std::make_shared<connection>(Context);
  Connection = Opening;
  Opening->Socket.async_connect(
      parseAddress(Address),
      [Self, Opening, This = Round](const error_code &Error) {
        if (!Self->Busy || Self->Round != This)
          return;
        if (Error)
          return Self->finish(std::nullopt);
        Opening->Open = true;
        applySocketOptions(Opening->Socket, {});
        Self->send();
      });
}

void http_channel::send() {
  const std::shared_ptr<http_channel> Self = shared_from_this();
  const std::shared_ptr<connection> Used = Connection;
  const std::shared_ptr<const request_message> Message = Queue.front().Message;
  Used->Parser.emplace();
  Used->Parser->body_limit(LargestBody);
  http::async_write(Used->Socket, *Message,
                    [Self, Used, Message, This = Round](const error_code &Error,
                                                        std::size_t) {
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
  const std::shared_ptr<connection> Used = Connection;
  http::async_read_some(
      Used->Socket, Used->Buffer, *Used->Parser,
      [Self, Used, This = Round](const error_code &Error, std::size_t) {
        if (!Self->Busy || Self->Round != This)
          return;
        if (Error)
          return Self->finish(std::nullopt);
        if (Used->Parser->is_done())
          return Self->finish(Used->Parser->release());
        Self->arm(Self->Queue.front().InactivityTimeoutMs);
        Self->readSome();
      });
}

void http_channel::onDeadline() {
  const bool IsSilent =
      Connection && Connection->Open && !Connection->Parser->got_some();
  item &Item = Queue.front();
  if (!IsSilent || !Item.Repeatable)
    return finish(std::nullopt);
  Item.Repeatable = false;
  close();
  begin();
}

void http_channel::close() {
  if (!Connection)
    return;
  error_code Ignored;
  Connection->Socket.close(Ignored);
  Connection.reset();
}

void http_channel::finish(std::optional<response_message> Response) {
  Timer.cancel();
  Busy = false;
  ++Round;
  const bool Kept =
      Response && Response->keep_alive() && Connection->Buffer.size() == 0;
  if (!Kept)
    close();
  const response_handler Handler = std::move(Queue.front().Handler);
  Queue.pop_front();
  const std::shared_ptr<http_channel> Self = shared_from_this();
  Handler(std::move(Response));
  if (!Busy)
    next();
}

} // namespace tamarack::edge
