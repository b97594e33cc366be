// HTTP to callers, endpoints, the store and peers, on Boost.Beast.
//
// Contents:
//   messages            request_message, response_message, decoded_request
//   codec               response_match, exchange_codec
//   endpoint side       traffic_counts, connection_pool_settings,
//                       connection_pool
//   caller side         slow_request_rule, frontend_settings,
//                       frontend_counts, dropped_attempt, frontend_observer,
//                       frontend_server
//   internal HTTP       channel_timing, response_patience, http_channel,
//                       simple_http_server
//   event loop          readiness_probe
//
// Everything runs on the one thread of the daemon's io_context. All decisions
// about a call are made in packages/relay; this package does the I/O for them.
//
// Sessions, attempts and channels are kept alive by a shared_ptr in the
// handlers of their asynchronous operations. An idle connection is owned by the
// connection_pool alone. Servers, and objects that are passed to a constructor
// by reference, must outlive all operations.
#pragma once

#include "tamarack/memory.hpp"
#include "tamarack/relay.hpp"
#include "tamarack/responses.hpp"

#include <utility> // Boost.Asio needs std::exchange and does not include it.

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
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
// Messages
//---------------------------------------------------------------------------

using request_message = http::request<http::string_body>;
using response_message = http::response<http::string_body>;
using response_fields = http::response_header<>;

// A caller's request, either accepted as a call or refused.
struct decoded_request {
  std::optional<relay::call> Call; // Empty if the request is refused.
  relay::error_kind Refusal = relay::error_kind::InvalidRequest;
  std::string Detail; // Reason of the refusal, for logs.
  std::string Id;     // Request id that the caller chose, may be empty.
  // For endpoints, without the fields that differ between attempts.
  request_message ForwardRequest;
};

// Parses "IP:PORT". Throws std::invalid_argument if the host is not a numeric
// address or the port is not within 1 to 65535.
tcp::endpoint parseAddress(std::string_view Text);

//---------------------------------------------------------------------------
// Codec
//---------------------------------------------------------------------------

// Which request a response belongs to, by its head.
enum class response_match {
  Own,
  Other,    // Another request on the same connection.
  Unmarked, // An error response that names no request. Belongs to the only
            // request of a connection, and to none of several.
};

// Translates between HTTP messages and the types of relay::exchange. Only
// implementations know the names of header fields.
class exchange_codec {
public:
  virtual ~exchange_codec() = default;
  virtual decoded_request decodeRequest(request_message Request,
                                        time_ms Now) = 0;
  // The same for a request that another instance has forwarded.
  virtual decoded_request decodeForwarded(request_message Request,
                                          time_ms Now) {
    return decodeRequest(std::move(Request), Now);
  }
  // Sets the fields of ForwardRequest that differ between attempts, and those
  // for another instance if Target is one.
  virtual void prepareAttempt(const relay::call &Call,
                              const relay::endpoint_choice &Target,
                              const relay::send_options &Options, time_ms Now,
                              request_message &ForwardRequest) = 0;
  // The id that a caller gave a request that is refused by its head; empty if
  // there is none.
  virtual std::string requestId(const request_message & /*Head*/) { return {}; }
  virtual response_match matchResponse(const relay::call &Call,
                                       const response_fields &Fields) = 0;
  virtual relay::response_head
  decodeResponseHead(const response_fields &Fields) = 0;
  // The same, of a response that another instance has passed on.
  virtual relay::response_head
  decodeForwardedHead(const response_fields &Fields) {
    return decodeResponseHead(Fields);
  }
  // Passes on what an endpoint reports about itself in the head of any
  // response, such as its load.
  virtual void recordEndpointState(const relay::endpoint_choice &Source,
                                   const response_fields &Fields,
                                   time_ms Now) = 0;
  // Builds an error response that comes from this instance, not an endpoint.
  virtual response_message makeErrorResponse(relay::error_kind Kind,
                                             int RetryAfterMs,
                                             std::string_view RequestId) = 0;
  // Adds what the instance that has forwarded a call needs to know: of an error
  // response, and of the head of an endpoint's response.
  virtual void addInstanceError(relay::error_kind /*Kind*/,
                                int /*RetryAfterMs*/,
                                response_message & /*Response*/) {}
  virtual void addForwardedResult(const relay::forwarded_result & /*Result*/,
                                  relay::response_head & /*Head*/) {}
};

//---------------------------------------------------------------------------
// Endpoint side
//---------------------------------------------------------------------------

// Bytes of messages that went over connections, since the start.
struct traffic_counts {
  std::uint64_t Received = 0;
  std::uint64_t Sent = 0; // Passed to the kernel.
};

class endpoint_connection;
class endpoint_attempt;

struct connection_pool_settings {
  int ConnectTimeoutMs = 300;          // Longest wait for a connection.
  int RecentUseMs = 1'000;             // See acquireIdle.
  int MaxIdleMs = 4'000;               // Longest time in the pool.
  std::size_t MaxIdlePerEndpoint = 32; // Idle connections.
  int TcpUserTimeoutMs = 2'500; // Unacknowledged bytes break a connection.
  int QuickConnectMs = 100;     // See connection_pool::lastQuickConnectAt.
};

// Idle connections to endpoints, for reuse by later attempts.
class connection_pool {
public:
  connection_pool(net::io_context &Context, const clock &Clock,
                  connection_pool_settings Settings);
  ~connection_pool();

  // Takes the most recently used idle connection to Address out of the pool;
  // nullptr if there is none. With OnlyRecent, the connection must have been
  // used within RecentUseMs, so that it is unlikely to have died unnoticed.
  std::shared_ptr<endpoint_connection> acquireIdle(const std::string &Address,
                                                   bool OnlyRecent);
  // Returns a new connection object that is not connected yet.
  std::shared_ptr<endpoint_connection>
  createConnection(const std::string &Address);
  // Adds Connection to the pool until the monotonic time ExpiresAt, or closes
  // it if the pool holds MaxIdlePerEndpoint connections to its address.
  void release(std::shared_ptr<endpoint_connection> Connection,
               time_ms ExpiresAt);
  void closeExpired();
  std::size_t idleCount() const;
  // Connections created since the start.
  std::uint64_t openedCount() const { return CreatedConnections; }
  const connection_pool_settings &settings() const { return Settings; }
  // Of attempts at endpoints and other instances.
  const traffic_counts &traffic() const { return Traffic; }
  // When a connection was last opened within QuickConnectMs, by
  // clock::sinceBoot; -1 if never.
  time_ms lastQuickConnectAt() const { return LastQuickConnectAt; }

private:
  friend class endpoint_connection;
  friend class endpoint_attempt;
  void removeIdle(const endpoint_connection *Connection);
  // A connection was opened, which took so long.
  void onConnected(time_ms ElapsedMs);

  net::io_context &Context;
  const clock &Clock;
  connection_pool_settings Settings;
  std::uint64_t CreatedConnections = 0;
  traffic_counts Traffic;
  time_ms LastQuickConnectAt = -1;
  // By address; the most recently used connection is the last one.
  std::map<std::string, std::vector<std::shared_ptr<endpoint_connection>>>
      IdleConnections;
};

//---------------------------------------------------------------------------
// Caller side
//---------------------------------------------------------------------------

// Unfinished requests that are slower give way to others, once the memory is
// full. In calm no rate is demanded: caller_limits bound the time.
struct slow_request_rule {
  int WindowMs = 1'000;              // A request is judged after this time.
  double MinBytesPerSecond = 16'384; // 0: none gives way.
};

// What a caller's connection takes in any case: its state and its buffer.
constexpr std::size_t SessionBytes = 8 * 1024;

// What a call takes beside that: its state, its attempt and their buffers.
constexpr std::size_t CallBytes = 16 * 1024 - SessionBytes;

struct frontend_settings {
  // A connection beyond closes an idle or slow one, or else is closed at once.
  std::size_t MaxSessions = 3'000;
  slow_request_rule SlowRequests;
  // Unsent bytes of one session at which the endpoint's response is no longer
  // read, usually and while the memory budget is tight.
  std::size_t MaxUnsentBytes = 256 * 1024;
  std::size_t MaxUnsentBytesIfTight = 16 * 1024;
  int LingeringCloseMs = 1'000; // See frontend_session::beginLingeringClose.
  int DrainIdleTimeoutMs = 250; // Idle timeout once draining has begun.
};

// Since the start.
struct frontend_counts {
  std::uint64_t FullRequests = 0; // Refused while they were received.
  std::uint64_t SlowRequests = 0; // Gave way to others.
  std::uint64_t ClosedIdle = 0;   // Idle connections closed for new ones.
  std::uint64_t ClosedNew = 0;    // New connections closed.
  traffic_counts Traffic;         // With callers and instances that forward.
};

// A request that was read after beginDrain(), for logs.
struct drain_arrival {
  std::string_view Id;         // Request id, may be empty.
  time_ms ConnectionAgeMs = 0; // Since the connection was accepted.
  int EarlierRequests = 0;     // Read before on the same connection.
};

// An attempt whose connection was closed before its response was complete, for
// logs.
struct dropped_attempt {
  bool IsKeptConnection = false; // It had carried earlier requests.
  time_ms ConnectionAgeMs = 0;
  time_ms SilentMs = 0; // Since the request was sent, or bytes came last.
  // Of the request, that the endpoint's host has not acknowledged; -1 if the
  // kernel does not tell.
  int UnacknowledgedBytes = -1;
  std::string Error; // Of the connection, empty if this instance closed it.
};

// Notified about calls, for logs, metrics and the load balancer.
class frontend_observer {
public:
  virtual ~frontend_observer() = default;
  virtual void onCallAccepted(const relay::call &Call) = 0;
  // Request was refused before it became a call.
  virtual void onRequestRefused(const decoded_request &Request) = 0;
  virtual void onCallDone(const relay::call &Call,
                          const relay::exchange_report &Report,
                          time_ms Now) = 0;
  virtual void onRequestWhileDraining(const drain_arrival &Request) = 0;
  // What Source sent was no response; Why is None if nothing of it was wrong.
  virtual void onResponseBroken(const relay::call & /*Call*/,
                                const relay::endpoint_choice & /*Source*/,
                                responses::defect /*Why*/) {}
  // The request is sent to Target from now on.
  virtual void onAttemptSent(const relay::call & /*Call*/,
                             const relay::endpoint_choice & /*Target*/) {}
  // The request had been sent, at least in part.
  virtual void onAttemptDropped(const relay::call & /*Call*/,
                                const relay::endpoint_choice & /*Target*/,
                                const dropped_attempt & /*Attempt*/) {}
};

class frontend_session;

// Accepts callers' connections and serves the requests on them.
class frontend_server {
public:
  frontend_server(net::io_context &Context, const clock &Clock,
                  exchange_codec &Codec, relay::placement &Placement,
                  relay::token_budget &Allowance,
                  relay::stream_origins &Origins, frontend_observer &Observer,
                  connection_pool &Pool, memory::memory_budget &Memory,
                  random_source &Random, frontend_settings Settings);
  ~frontend_server();

  // Throws boost::system::system_error.
  void listen(const tcp::endpoint &Address);
  // Accepts calls that other instances forward. Throws the same.
  void listenForInstances(const tcp::endpoint &Address);
  void setLimits(const relay::caller_limits &NewLimits) { Limits = NewLimits; }
  // From now on, responses ask the caller to close the connection.
  void beginDrain();
  // Accepts the connections that wait in the kernel but no later ones, and
  // closes the idle ones that had time to send a request.
  void stopAccepting();
  // Ends all calls in progress, with a final response where none has begun, and
  // closes all other connections on which no response is being sent.
  void giveUpCalls();
  // Calls that wait for tokens try to reserve them again.
  void onGrantsChanged();
  // Calls that wait for the origin of a stream look again.
  void onOriginsRead();
  // Calls that wait for the list of endpoints look again.
  void onListRead();
  // Responses that wait for memory are read on as far as they fit.
  void onMemoryFreed();

  std::size_t sessionCount() const { return Sessions.size(); }
  bool isDraining() const { return IsDraining; }
  std::size_t busySessionCount() const; // Sessions that are not idle.
  const frontend_counts &counts() const { return Counts; }

private:
  friend class frontend_session;
  struct listener;
  void accept(listener &From);
  // Closes another connection, or else this one, if there are MaxSessions
  // sessions already.
  void startSession(tcp::socket Socket, bool IsFromInstance);
  void acceptWaiting(listener &From);
  // Gives up the unfinished request that gives way first, but not that of
  // Except. False if none does.
  bool giveUpSlowest(const frontend_session *Except);
  // Closes the connection that has been idle for longest, if it is not new.
  bool closeIdle();
  // Spreads the callers that an instance has no memory for.
  int memoryRetryAfterMs();
  void forEachSession(const std::function<void(frontend_session &)> &Action);

  net::io_context &Context;
  const clock &Clock;
  exchange_codec &Codec;
  relay::placement &Placement;
  relay::token_budget &Allowance;
  relay::stream_origins &Origins;
  frontend_observer &Observer;
  connection_pool &Pool;
  memory::memory_budget &Memory;
  random_source &Random;
  frontend_settings Settings;
  relay::caller_limits Limits;
  // Of callers, and of other instances.
  struct listener {
    tcp::acceptor Acceptor;
    net::steady_timer RetryTimer;
    bool IsForInstances = false;
  };
  listener Callers;
  listener Instances;
  bool IsDraining = false;
  std::uint64_t CallCount = 0; // Accepted since the start.
  frontend_counts Counts;
  time_ms NoSlowUntil = 0; // Monotonic: no request gives way before.
  std::set<std::shared_ptr<frontend_session>> Sessions;
};

//---------------------------------------------------------------------------
// Internal HTTP
//---------------------------------------------------------------------------

// How far a request on an http_channel has come.
enum class channel_stage { Queued, Connecting, Sent, Receiving };

std::string_view toString(channel_stage Stage);

// What was left of a request on an http_channel that got no response.
struct channel_rest {
  channel_stage Stage = channel_stage::Queued;
  // The kernel had what the request waited for, an open connection or bytes,
  // and this process had not got to it.
  bool WasReady = false;
  // Of the request, that the server's host had not acknowledged; -1 if the
  // kernel does not tell.
  int UnacknowledgedBytes = -1;
};

// How long a request on an http_channel took.
struct channel_timing {
  int QueuedMs = 0; // Until the first attempt, behind earlier requests.
  int ActiveMs = 0; // From the start of the first attempt to the result.
  int Attempts = 0; // 2 if the request was sent once more, 0 if it never was.
  std::optional<channel_rest> Rest; // Of a request without a response.
};

using response_handler = std::function<void(std::optional<response_message>,
                                            const channel_timing &)>;

// Whether this instance itself holds up what others send to it.
class response_patience {
public:
  virtual ~response_patience() = default;
  virtual bool isHeldUp() const = 0;
};

struct channel_request {
  request_message Message;
  // Longest time from the start of an attempt to the first bytes of the
  // response, and then between two parts of the response.
  int InactivityTimeoutMs = 1'000;
  // If true, the request is sent once more, on a new connection, when nothing
  // of a response has arrived within RetrySilenceMs on a reused connection or
  // within InactivityTimeoutMs on a new one.
  bool Repeatable = false;
  int RetrySilenceMs = 400;
  // A request that has waited longer behind others is not sent. 0: no limit.
  int MaxQueuedMs = 0;
  // While it holds responses up, a timeout is extended, by MaxPatienceMs at
  // most. Must outlive the request; null: never.
  const response_patience *Patience = nullptr;
  static constexpr int MaxPatienceMs = 2'500;
};

// Sends requests to one server, one at a time over one persistent connection.
// A request that times out closes the connection.
class http_channel : public std::enable_shared_from_this<http_channel> {
public:
  http_channel(net::io_context &Context, std::string Address);
  // Handler is called once, with nothing if no complete response arrived. Other
  // instances state their addresses, so one that is no IP:PORT is like one
  // where nobody listens.
  void request(channel_request Request, response_handler Handler);
  // Requests without a result yet, including the active one.
  std::size_t pendingCount() const { return Queue.size(); }
  void close();

private:
  using steady_time = std::chrono::steady_clock::time_point;

  struct queued_request {
    // Shared with a write operation, which may outlast the request.
    std::shared_ptr<const request_message> Message;
    int InactivityTimeoutMs = 0;
    bool Repeatable = false;
    int RetrySilenceMs = 0;
    int MaxQueuedMs = 0;
    const response_patience *Patience = nullptr;
    response_handler Handler;
    steady_time QueuedAt;
    steady_time StartedAt; // Of the first attempt.
    int Attempts = 0;
  };
  // Each asynchronous operation shares ownership of its connection, so closing
  // or replacing Connection can't free a socket or buffer that is in use.
  struct connection;

  void startNextRequest();
  void startAttempt();
  channel_rest rest() const; // Of the active request.
  void startTimer(int TimeoutMs);
  void connect();
  void send();
  void readSome();
  void onReceived();
  void finishRequest(std::optional<response_message> Response);
  // Removes the first request from the queue and passes on its result. Rest: of
  // one without a response.
  void completeFront(std::optional<response_message> Response,
                     const channel_rest &Rest);
  static bool isOverdue(const queued_request &Request);
  void onTimer();
  void onTimeout();

  net::io_context &Context;
  std::string Address;
  net::steady_timer Timer;
  std::shared_ptr<connection> Connection; // Null if there is none.
  std::deque<queued_request> Queue; // The first one is active if HasActive.
  bool HasActive = false;           // A request is being sent or answered.
  // The timeout was extended because the process had stood still. Reset with
  // every part of the response.
  bool HasCaughtUp = false;
  int PatienceMs = 0; // The same, by response_patience: for how long.
  // Changes at the start of every attempt and at the end of every request.
  // Handlers of operations with an older number do nothing.
  std::uint64_t AttemptNumber = 0;
};

using respond_callback = std::function<void(response_message)>;
// Must call the respond_callback once, immediately or later.
using http_request_handler =
    std::function<void(request_message, respond_callback)>;

class simple_http_session;

// HTTP server for readiness checks, metrics and peers. Responds 503 if a
// response does not fit into Memory.
class simple_http_server {
public:
  simple_http_server(net::io_context &Context, memory::memory_budget &Memory,
                     http_request_handler Handler);
  ~simple_http_server();
  // Throws boost::system::system_error.
  void listen(const tcp::endpoint &Address);

private:
  friend class simple_http_session;
  void accept();

  net::io_context &Context;
  memory::memory_budget &Memory;
  http_request_handler Handler;
  tcp::acceptor Acceptor;
  std::set<std::shared_ptr<simple_http_session>> Sessions;
};

//---------------------------------------------------------------------------
// Event loop
//---------------------------------------------------------------------------

// Measures how long a socket that is ready to be read waits until the event
// loop gets to it. Timers don't show this: they are looked at in each turn of
// the loop, while a socket may have to wait for several turns.
class readiness_probe {
public:
  readiness_probe(net::io_context &Context, const clock &Clock);
  // Begins the next measurement unless one is in progress. Called at least
  // every 100 ms.
  void tick();
  // The longest wait since the last call, ms, a wait in progress included.
  time_ms takeLongestWait();

private:
  void startRead();

  const clock &Clock;
  net::posix::stream_descriptor Receiver; // Of a pipe of this process.
  net::posix::stream_descriptor Sender;
  char Byte = 0;
  time_ms SentAt = -1; // Monotonic, -1 if no measurement is in progress.
  time_ms LongestWaitMs = 0;
};

} // namespace tamarack::edge
