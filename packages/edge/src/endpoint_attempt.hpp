// One attempt at an endpoint, and the connections that carry attempts.
#pragma once

#include "sockets.hpp"
#include "tamarack/edge.hpp"

namespace tamarack::edge {

class endpoint_connection
    : public std::enable_shared_from_this<endpoint_connection> {
public:
  endpoint_connection(net::io_context &Context, connection_pool &Pool,
                      std::string Address);

  // Watches an idle connection: any event ends it.
  void watch();
  void close();

  tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  connection_pool &Pool;
  std::string Address;
  bool Idle = false;
  time_ms LastUsed = 0;
  time_ms KeepUntil = 0;
  std::uint64_t Uses = 0;
};

// Told of the progress of an attempt, never from within start().
class attempt_listener {
public:
  virtual ~attempt_listener() = default;
  virtual void onUnreached(const endpoint_attempt *From) = 0;
  virtual void onHead(const endpoint_attempt *From,
                      relay::answer_head Head) = 0;
  virtual void onBody(const endpoint_attempt *From, std::string_view Bytes) = 0;
  virtual void onEnd(const endpoint_attempt *From) = 0;
  virtual void onBroken(const endpoint_attempt *From) = 0;
  // False: the caller reads too slowly; resume() will be called.
  virtual bool wantsMore() = 0;
};

class endpoint_attempt : public std::enable_shared_from_this<endpoint_attempt> {
public:
  endpoint_attempt(net::io_context &Context, const clock &Clock,
                   connection_pool &Pool, exchange_codec &Codec,
                   attempt_listener &Listener, relay::call Call,
                   relay::endpoint_choice To, request_message Request);

  void start(bool OnlyRecentConnection);
  void cancel(); // No more events; the connection is closed.
  void resume();

private:
  void connect();
  void send();
  void readHead();
  void onHead(const error_code &Error);
  void readBody();
  void onBody(const error_code &Error);
  void discardAnswer();
  void complete();
  void broken();
  time_ms keepUntil(time_ms Now) const;

  net::io_context &Context;
  const clock &Clock;
  connection_pool &Pool;
  exchange_codec &Codec;
  attempt_listener *Listener; // Null once cancelled or ended.
  relay::call Call;
  relay::endpoint_choice To;
  request_message Request;
  std::shared_ptr<endpoint_connection> Connection;
  net::steady_timer Timer;
  std::optional<http::response_parser<http::buffer_body>> Parser;
  std::array<char, 4096> Bytes;
  int Discarded = 0;
  int KeepAliveS = 0;
  bool Writing = false;
  bool Paused = false;
  bool AnswerDone = false;
};

} // namespace tamarack::edge
