// One attempt to send a call to an endpoint, and the connections that attempts
// use.
#pragma once

#include "sockets.hpp"
#include "tamarack/edge.hpp"
#include "tamarack/responses.hpp"

namespace tamarack::edge {

// A connection to an endpoint. Owned by the attempt that uses it, or by the
// pool while idle.
class endpoint_connection
    : public std::enable_shared_from_this<endpoint_connection> {
public:
  endpoint_connection(net::io_context &Context, connection_pool &Pool,
                      std::string Address);

  // Closes the connection and removes it from the pool as soon as bytes, an
  // error or the end of the stream arrive while it is idle. Ends without effect
  // once the connection is used again.
  void watchWhileIdle();
  // Applies the socket options of a connection that has just been opened.
  void onConnected(time_ms Now);
  // From now on the kernel ends the connection if the endpoint's host is
  // silent. No further request may be sent on it: the kernel would end the
  // connection without a reset, and that request could still be delivered
  // later.
  void startProbing();
  // Resets the connection unless IsAnswered: what the kernel holds of a request
  // that was given up must not be delivered later, neither by a closed socket
  // nor by one of a process that ended.
  void close();
  // True if a response to a request of this id may be one to an earlier one.
  bool hasCarried(std::string_view Id) const;
  void addRequest(std::string_view Id);

  tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  connection_pool &Pool;
  std::string Address;
  bool IsIdle = false;     // The connection is in the pool.
  bool IsAnswered = true;  // All requests that were sent on it.
  bool IsProbing = false;  // See startProbing.
  time_ms LastUsed = 0;    // Monotonic time of the last release.
  time_ms ExpiresAt = 0;   // Monotonic; while idle.
  time_ms ConnectedAt = 0; // When it was opened, by sinceBoot.
  // Hashes of the ids of the last requests, of which late copies of responses
  // may come; the newest one is the last.
  std::vector<std::size_t> RecentIds;
  std::uint64_t RequestCount = 0; // Requests sent on this connection.
};

// Receives the progress of an attempt. Not called from within start() or
// cancel(). onUnreached, onWithdrawn, onEnd and onBroken are the last call.
class attempt_listener {
public:
  virtual ~attempt_listener() = default;
  // No connection was made; nothing was sent.
  virtual void onUnreached(const endpoint_attempt *Source) = 0;
  // A connection is ready, which was opened at ConnectedAt, by sinceBoot. False
  // if the request must not be sent any more; onWithdrawn follows.
  virtual bool maySend(const endpoint_attempt *Source, time_ms ConnectedAt) = 0;
  virtual void onWithdrawn(const endpoint_attempt *Source) = 0;
  // Nothing of the request was acknowledged for a while. False if it must not
  // be delivered any more; onBroken follows.
  virtual bool mayDeliver(const endpoint_attempt *Source,
                          time_ms ConnectedAt) = 0;
  virtual void onHead(const endpoint_attempt *Source,
                      relay::response_head Head) = 0;
  virtual void onBody(const endpoint_attempt *Source,
                      std::string_view Bytes) = 0;
  virtual void onEnd(const endpoint_attempt *Source) = 0; // Response complete.
  // The connection failed after the request may have been sent.
  virtual void onBroken(const endpoint_attempt *Source) = 0;
  // False if the caller reads too slowly. The attempt then stops reading until
  // the listener calls resume().
  virtual bool canAcceptBody() = 0;
};

// The body of a request, shared by its attempts.
using shared_body = std::shared_ptr<const std::string>;

class endpoint_attempt : public std::enable_shared_from_this<endpoint_attempt> {
public:
  // Body is sent in place of the one of Request unless it is null.
  endpoint_attempt(net::io_context &Context, const clock &Clock,
                   connection_pool &Pool, exchange_codec &Codec,
                   attempt_listener &Listener, memory::memory_budget &Memory,
                   relay::call Call, relay::endpoint_choice Target,
                   request_message Request, shared_body Body = nullptr);

  // OnlyRecentConnection: see connection_pool::acquireIdle.
  void start(bool OnlyRecentConnection);
  // Closes the connection; the listener is not called any more.
  void cancel();
  // How the connection ended, if it did before the response was complete and
  // after the request was sent.
  const std::optional<dropped_attempt> &dropped() const { return Dropped; }
  // Continues to read the body after canAcceptBody() returned false.
  void resume();
  const relay::endpoint_choice &target() const { return Target; }
  // Why the received bytes are no response; None if it is not known.
  responses::defect whyBroken() const {
    return Parser ? Parser->whyBroken() : responses::defect::None;
  }

private:
  void connect();
  void send();
  void withdraw();
  // Gives the request up if the endpoint's host does not acknowledge it, and
  // probes the host if it has the request and is silent.
  void watchDelivery();
  void checkDelivery();
  void beginResponse();
  void parseReceived();
  bool onParsed(const responses::parsed &Next);
  void readMore();
  bool chargeHead(std::size_t Size);
  void onConnectionEnd(const error_code &Error);
  void onHead();
  void recordEndpointState(const relay::response_head &Head);
  void onBody(std::string_view Bytes);
  void onResponseEnd();
  void complete();
  void failBroken();
  // Closes the connection before the response is complete.
  void drop();
  time_ms idleExpiry(time_ms Now) const;

  net::io_context &Context;
  const clock &Clock;
  connection_pool &Pool;
  exchange_codec &Codec;
  attempt_listener *Listener; // Null once the attempt is cancelled or ended.
  relay::call Call;
  relay::endpoint_choice Target;
  shared_body Body;                                   // Until it is written.
  http::request<http::span_body<const char>> Request; // Its body is in Body.
  std::shared_ptr<endpoint_connection> Connection;
  net::steady_timer Timer;          // Of the connect, then of the delivery.
  memory::memory_charge HeadCharge; // Received bytes of a head.
  std::optional<responses::response_parser> Parser;
  bool IsDiscarding = false;  // The response belongs to another request.
  int DiscardedResponses = 0; // Of this kind.
  std::size_t DiscardedBytes = 0;
  std::optional<int> ServerKeepAliveS; // Stated in the Keep-Alive field.
  bool IsWriting = false;              // The request is not written completely.
  bool HasWriteFailed = false;
  bool IsReadPaused = false; // Until resume().
  bool IsResponseComplete = false;
  bool IsUnmarked = false;    // The response names no request.
  int UndeliveredBytes = 0;   // As of the last check of the delivery.
  int UndeliveredChecks = 0;  // In a row without progress.
  time_ms LastProgressAt = 0; // Monotonic: sent, or bytes received.
  error_code ConnectionError; // That ended the connection, if any.
  std::optional<dropped_attempt> Dropped;
};

} // namespace tamarack::edge
