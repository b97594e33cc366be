// HTTP towards callers, endpoints, the store and peers, on Boost.Beast.
//
// Contents:
//   forms               request_message, response_message, decoded_request
//   translation         exchange_codec
//   towards callers     frontend_settings, frontend_observer, frontend_server
//   towards endpoints   connection_pool
//   single requests     http_channel, simple_http_server
//
// One thread runs everything here: the io_context of the daemon. What is
// decided stands in packages/relay; this package only carries it out.
#pragma once

#include "tamarack/relay.hpp"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::edge {

namespace net = boost::asio;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;
using boost::system::error_code;

//---------------------------------------------------------------------------
// Forms
//---------------------------------------------------------------------------

using request_message = http::request<http::string_body>;
using response_message = http::response<http::string_body>;
using response_fields = http::response_header<>;

// A caller's request, understood or refused.
struct decoded_request {
  std::optional<relay::call> Call;
  relay::error_kind Refusal = relay::error_kind::InvalidRequest;
  std::string Detail;      // Why it was refused, for logs.
  std::string Id;          // The caller's name of the request, may be empty.
  request_message Forward; // To endpoints, less what each attempt sets.
};

// Throws std::invalid_argument unless Text is "host:port" with a numeric host.
tcp::endpoint parseAddress(std::string_view Text);

//---------------------------------------------------------------------------
// Translation
//---------------------------------------------------------------------------

// Between HTTP messages and what the exchange speaks of. Implementations hold
// all names on the wire.
class exchange_codec {
public:
  virtual ~exchange_codec() = default;
  virtual decoded_request decodeRequest(request_message Request,
                                        time_ms Now) = 0;
  // Sets the fields of one attempt in Forward.
  virtual void prepareAttempt(const relay::call &Call,
                              const relay::endpoint_choice &To,
                              const relay::send_options &Options, time_ms Now,
                              request_message &Forward) = 0;
  // False if the answer belongs to another request.
  virtual bool isResponseTo(const relay::call &Call,
                            const response_fields &Fields) = 0;
  virtual relay::answer_head
  decodeResponseHead(const response_fields &Fields) = 0;
  // Takes in what an endpoint tells of itself in any answer.
  virtual void recordLoadReport(const relay::endpoint_choice &From,
                                const response_fields &Fields, time_ms Now) = 0;
  // Fields of an answer of our own.
  virtual response_message makeErrorResponse(relay::error_kind Kind,
                                             int RetryAfterMs,
                                             std::string_view Id) = 0;
};

//---------------------------------------------------------------------------
// Towards endpoints
//---------------------------------------------------------------------------

class endpoint_connection;
class endpoint_attempt;

struct connection_pool_settings {
  int ConnectTimeoutMs = 300; // Longest wait for a connection.
  int RecentUseMs = 1'000;    // A connection used within is trusted to live.
  int MaxIdleMs = 4'000;      // Kept connections are closed after.
  std::size_t MaxIdlePerEndpoint = 32; // Kept connections per endpoint.
  int TcpUserTimeoutMs = 2'500; // Unacknowledged bytes break a connection.
};

// Kept connections to endpoints.
class connection_pool {
public:
  connection_pool(net::io_context &Context, const clock &Clock,
                  connection_pool_settings Settings);
  ~connection_pool();

  // A kept connection to Address that is fit for the call; nullptr if none.
  std::shared_ptr<endpoint_connection> acquireIdle(const std::string &Address,
                                                   bool OnlyRecent);
  std::shared_ptr<endpoint_connection>
  createConnection(const std::string &Address);
  void release(std::shared_ptr<endpoint_connection> Connection,
               time_ms KeepUntil);
  void closeExpired(); // Those kept for too long.
  std::size_t idleCount() const;
  std::uint64_t openedCount() const { return Opened; }
  const connection_pool_settings &settings() const { return Settings; }

private:
  friend class endpoint_connection;
  void removeIdle(const endpoint_connection *Connection);

  net::io_context &Context;
  const clock &Clock;
  connection_pool_settings Settings;
  std::uint64_t Opened = 0;
  std::map<std::string, std::vector<std::shared_ptr<endpoint_connection>>> Idle;
};

//---------------------------------------------------------------------------
// Towards callers
//---------------------------------------------------------------------------

struct frontend_settings {
  std::size_t MaxSessions = 3'000;
  std::size_t MaxUnsentBytes =
      256 * 1024;               // Bytes before an endpoint is slowed.
  int LingeringCloseMs = 1'000; // Reading on after a refusal.
  int DrainIdleTimeoutMs = 250; // Idle connections while ending.
};

// Told of what happens, for logs, metrics and the dispatcher.
class frontend_observer {
public:
  virtual ~frontend_observer() = default;
  virtual void onCallAccepted(const relay::call &Call) = 0;
  virtual void onRequestRefused(const decoded_request &Request) = 0;
  virtual void onCallDone(const relay::call &Call,
                          const relay::exchange_report &Report,
                          time_ms Now) = 0;
};

class frontend_session;

class frontend_server {
public:
  frontend_server(net::io_context &Context, const clock &Clock,
                  exchange_codec &Codec, relay::placement &Placement,
                  relay::allowance &Allowance, frontend_observer &Observer,
                  connection_pool &Pool, frontend_settings Settings);
  ~frontend_server();

  // Throws boost::system::system_error.
  void listen(const tcp::endpoint &Address);
  void setLimits(const relay::caller_limits &To) { Limits = To; }
  // Answers from now on ask the caller to close the connection.
  void beginDrain();
  // No new connections; idle ones are closed.
  void stopAccepting();
  void abortAll();
  void onGrantsChanged(); // Grants have changed.

  std::size_t sessionCount() const { return Sessions.size(); }
  std::size_t busySessionCount() const;

private:
  friend class frontend_session;
  void accept();

  net::io_context &Context;
  const clock &Clock;
  exchange_codec &Codec;
  relay::placement &Placement;
  relay::allowance &Allowance;
  frontend_observer &Observer;
  connection_pool &Pool;
  frontend_settings Settings;
  relay::caller_limits Limits;
  tcp::acceptor Acceptor;
  net::steady_timer AcceptTimer;
  bool Draining = false;
  std::set<std::shared_ptr<frontend_session>> Sessions;
};

//---------------------------------------------------------------------------
// Single requests
//---------------------------------------------------------------------------

using response_handler = std::function<void(std::optional<response_message>)>;

struct channel_request {
  request_message Message;
  int InactivityTimeoutMs = 1'000; // Longest silence before and in the answer.
  bool Repeatable = false; // Sent again on a new connection if a kept one
                           // stays silent for RetrySilenceMs.
  int RetrySilenceMs = 400;
};

// Requests to one server, one after the other on one kept connection. Silence
// beyond the time limit closes the connection.
class http_channel : public std::enable_shared_from_this<http_channel> {
public:
  http_channel(net::io_context &Context, std::string Address);
  // Handler is called once, with nothing if no answer came.
  void request(channel_request Request, response_handler Handler);
  std::size_t pendingCount() const { return Queue.size(); }
  void close();

private:
  struct item {
    // Shared with writes that may outlast the request.
    std::shared_ptr<const request_message> Message;
    int InactivityTimeoutMs = 0;
    bool Repeatable = false;
    int RetrySilenceMs = 0;
    response_handler Handler;
  };
  // Each operation keeps the connection that it runs on.
  struct connection;

  void next();
  void begin();
  void arm(int Ms);
  void connect();
  void send();
  void readSome();
  void finish(std::optional<response_message> Response);
  void onDeadline();

  net::io_context &Context;
  std::string Address;
  net::steady_timer Timer;
  std::shared_ptr<connection> Connection; // Null if there is none.
  std::deque<item> Queue;
  bool Busy = false;
  std::uint64_t Round = 0;
};

using respond_callback = std::function<void(response_message)>;
using http_request_handler =
    std::function<void(request_message, respond_callback)>;

class simple_http_session;

// A small server for readiness, metrics and peers.
class simple_http_server {
public:
  simple_http_server(net::io_context &Context, http_request_handler Handler);
  ~simple_http_server();
  // Throws boost::system::system_error.
  void listen(const tcp::endpoint &Address);

private:
  friend class simple_http_session;
  void accept();

  net::io_context &Context;
  http_request_handler Handler;
  tcp::acceptor Acceptor;
  std::set<std::shared_ptr<simple_http_session>> Sessions;
};

} // namespace tamarack::edge
