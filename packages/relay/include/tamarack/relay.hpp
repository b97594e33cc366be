// Handling of one request from its arrival to its final response, without I/O.
//
// Contents:
//   configuration        call_kind, route, service, account, caller_limits,
//                        route_table
//   one request          prompt_part, call
//   dependencies         placement, token_budget, stream_origins,
//                        exchange_host
//   event streams        stream_event, event_stream_parser
//   reading responses    response_reader, numbered_event_reader
//   the state machine    exchange_report, exchange
//
// Guarantees for every kind of call and endpoint:
//   - A call that is not repeatable is retried only if nothing had been sent or
//     the endpoint itself reported, in a complete response, that it did not
//     execute the call.
//   - An error response says "not run" only if no attempt can have run the
//     call.
//   - A response that ends early never looks complete to the caller.
//   - Every call has its final response by its deadline.
// Times are in monotonic ms. Nothing here is thread-safe.
#pragma once

#include "tamarack/calls.hpp"
#include "tamarack/memory.hpp"
#include "tamarack/ports.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack::relay {

using calls::error_kind;

//---------------------------------------------------------------------------
// Configuration
//---------------------------------------------------------------------------

// Form of the response, and whether a call may be executed more than once.
enum class call_kind {
  Idempotent,      // One complete response, may be executed more than once.
  NotRepeatable,   // One complete response, executed at most once.
  Stream,          // Event stream, executed at most once.
  ResumableStream, // Event stream; another endpoint can continue the stream
                   // after the last forwarded event.
};

std::string_view toString(call_kind Kind);
bool isStream(call_kind Kind);
bool isRepeatable(call_kind Kind);

struct weighted_service {
  std::string Service;
  int Weight = 1; // Share of the route's calls, relative to the other weights.
};

// Regions whose endpoints may get a call.
struct allowed_regions {
  bool IsBound = false;           // False: all, known or not.
  std::vector<std::string> Names; // Of the allowed ones, if bound.

  // Region: empty if it is not known.
  bool contains(std::string_view Region) const;
};

// The regions that both allow.
allowed_regions intersect(const allowed_regions &A, const allowed_regions &B);

struct route {
  std::string Name;
  std::string Host;       // As in the caller's Host header, without a port.
  std::string PathPrefix; // Begins and ends with a slash.
  call_kind Kind = call_kind::NotRepeatable;
  std::vector<weighted_service> Services;
  int TimeoutMs = 30'000;        // Until the end of the response.
  int TargetFirstByteMs = 1'000; // Objective for the time to first byte.
  int TargetEventGapMs = 0;      // Objective between events, 0 if none.
  int Priority = 5;              // 0 is the highest.
  int MaxAttempts = 1;           // Endpoints that one call may be sent to.
  bool Public = false;           // Callers need no key.
  allowed_regions AllowedRegions;
};

// A pool of endpoints that serve the same calls.
struct service {
  std::string Name;
  std::string HealthPath;
  int MaxConnections = 0;           // Per endpoint, 0 if unknown.
  std::int64_t KvCacheTokens = 0;   // Per model engine; 0 if not an engine.
  int MaxTokensPerEvent = 1;        // Generated tokens.
  double ColdRequestsPerSecond = 0; // That a cold endpoint tolerates, of all
                                    // instances; 0: no limit.
};

struct account {
  std::string Name;
  std::optional<int> Priority;               // Overrides the route's priority.
  std::optional<std::int64_t> PrepaidTokens; // Total; none: unlimited.
  allowed_regions AllowedRegions;            // Beside those of the route.
};

// Limits on what a caller may send.
struct caller_limits {
  std::uint32_t MaxHeaderBytes = 16'384;
  std::uint64_t MaxBodyBytes = 4'194'304;
  int HeaderTimeoutMs = 3'000; // Until the head of a request is complete.
  int IdleTimeoutMs = 15'000;  // Of a connection between requests.
};

// One complete, accepted configuration. Immutable once it has been built.
class route_table {
public:
  std::int64_t Version = -1;
  caller_limits Limits;
  // The configuration lists client accounts, possibly none: routes that are not
  // public take only requests with the key of one.
  bool NeedsKeys = false;

  // Ignores a route whose host and path prefix another route has already.
  void add(route Route);
  void add(service Service);
  // Empty keys are left out.
  void add(account Account, std::span<const std::string> Keys);

  // Returns the route of Host with the longest prefix of Path, nullptr if none.
  const route *findRoute(std::string_view Host, std::string_view Path) const;
  const service *findService(std::string_view Name) const;
  const account *findAccountByKey(std::string_view Key) const;
  const account *findAccount(std::string_view Name) const;
  const std::map<std::string, account, std::less<>> &accounts() const {
    return Accounts;
  }
  const std::map<std::string, service, std::less<>> &services() const {
    return Services;
  }

private:
  // The routes of one host by the length of their path prefix, longest first,
  // and by path prefix. Adding a route and finding one take time that hardly
  // grows with the number of routes.
  using host_routes =
      std::map<std::size_t, std::map<std::string, route, std::less<>>,
               std::greater<>>;

  std::map<std::string, host_routes, std::less<>> RoutesByHost;
  std::map<std::string, service, std::less<>> Services;
  std::map<std::string, account, std::less<>> Accounts;
  std::map<std::string, std::string, std::less<>> AccountNameByKey;
};

//---------------------------------------------------------------------------
// One request
//---------------------------------------------------------------------------

// A section of a prompt that model engines cache and share between requests.
// A prompt is a sequence of sections.
struct prompt_part {
  std::uint64_t Id = 0;
  int Tokens = 0;
};

// A service that a route may send a call to.
struct service_option {
  std::string Name;
  int MaxTokensPerEvent = 1; // Generated tokens.
};

struct call {
  std::string Id;           // Request id chosen by the caller.
  std::uint64_t Number = 0; // Unique at this instance: ids may come twice.
  std::string RouteName;
  std::string Service;
  std::string Account; // Empty for public routes.
  call_kind Kind = call_kind::NotRepeatable;
  int Priority = 5; // 0 is the highest.
  int MaxAttempts = 1;
  allowed_regions AllowedRegions; // By its route and its account.
  int TargetFirstByteMs = 1'000;
  time_ms ArrivedAt = 0;
  time_ms Deadline = 0; // When the final response is due.
  std::int64_t PromptTokens = 0;
  std::int64_t MaxOutputTokens = 0;
  int MaxTokensPerEvent = 1;
  std::vector<prompt_part> Prompt;
  // The caller takes up a stream that an earlier attempt began, after the event
  // ResumeAfter. Both are empty for a stream from its beginning.
  std::string ResumedId; // Request id of the attempt that brought the first
                         // event.
  std::string ResumeAfter;
  // Names a resumable stream over all attempts of its caller: digest of the
  // account and of the request id of the attempt that began it.
  std::uint64_t StreamKey = 0;
  std::vector<service_option> RouteServices; // Of a stream that is taken up.
  // Software that the endpoint must have, because it wrote the part of the
  // stream that the caller has. Empty: any.
  std::string RequiredVersion;
  // Digest of account, method, host, target and body: the same for a request
  // that is sent again. 0 if not known.
  std::uint64_t Fingerprint = 0;
  // Another instance has the call from its caller, and has forwarded it here:
  // that one reserves and bills the tokens, keeps the origin of the stream, and
  // repeats the call. This one sends it to one endpoint, and never to a third
  // instance. Empty if the caller itself has sent it.
  std::string ForwardedBy;

  // Upper bound of the call's cost.
  std::int64_t maxTokens() const { return PromptTokens + MaxOutputTokens; }
};

//---------------------------------------------------------------------------
// Dependencies
//---------------------------------------------------------------------------

struct endpoint_choice {
  std::string Endpoint; // Unique id.
  std::string Address;  // host:port
  // Of what was known of the endpoint's rate limit when it was chosen.
  std::uint64_t LimitVersion = 0;
  std::string Version = {}; // Of the endpoint's software, empty if unknown.
  std::int64_t StartedAt =
      0;                // Unix ms, 0 if unknown: which run of the endpoint.
  bool WasCold = false; // When it was chosen.
  // Endpoint and Address are those of another instance, which chooses the
  // endpoint. This one reaches none.
  bool IsInstance = false;
};

// How an attempt at an endpoint ended.
enum class attempt_outcome {
  Good,      // Complete response.
  Unproven,  // Complete, but a 4xx status, or only the end of the connection
             // marks the end.
  Failed,    // The endpoint responded with a failure.
  Broken,    // The connection or the response broke after the request was sent.
  Unreached, // No connection, nothing sent.
  Refused,   // The endpoint reported that it did not execute the call.
  Misplaced, // Another endpoint responded at that address.
  Withdrawn, // Nothing sent: the endpoint may not get the call any more.
  Cancelled, // Ended by this side.
};

std::string_view toString(attempt_outcome Outcome);

// Advice to a caller whose call another instance can take at once.
inline constexpr int OtherInstanceRetryAfterMs = 20;

// Why no endpoint can take a call.
struct placement_refusal {
  error_kind Kind = error_kind::NoEndpoint;
  int RetryAfterMs = 0; // When the caller should try again.
};

// Whether what is known of the endpoints is recent enough to choose one.
enum class list_state {
  Current,
  Pending,  // It is being read, and may be recent enough in a moment.
  Outdated, // It can't be read soon.
};

// Load balancing: chooses endpoints and observes the outcome of each attempt.
class placement {
public:
  virtual ~placement() = default;
  // Called once, before tokens are reserved. Returns a refusal if it is already
  // known that no endpoint may get the call.
  virtual std::optional<placement_refusal> admit(const call &, time_ms) {
    return std::nullopt;
  }
  // Asked before choose: nothing is chosen for the call unless it is Current.
  virtual list_state listState(const call &, time_ms /*Now*/) const {
    return list_state::Current;
  }
  // Returns nothing if no endpoint outside Tried, and of the call's
  // RequiredVersion, can take the call now.
  virtual std::optional<endpoint_choice>
  choose(const call &Call, const std::set<std::string> &Tried, time_ms Now) = 0;
  // Called when the connection for an attempt is ready; it was opened at
  // ConnectedAt, by clock::sinceBoot. False if Target may not get the call any
  // more: nothing is sent then.
  virtual bool mayStillSend(const call &, const endpoint_choice & /*Target*/,
                            time_ms /*ConnectedAt*/, time_ms /*Now*/) const {
    return true;
  }
  // True if a response that arrives now on a connection that was opened at
  // ConnectedAt certainly comes from the run and version that Source names.
  virtual bool isVersionCertain(const endpoint_choice & /*Source*/,
                                time_ms /*ConnectedAt*/) const {
    return true;
  }
  // An attempt begins. Each ends with onEnded.
  virtual void onSent(const call &Call, std::string_view Endpoint,
                      time_ms Now) = 0;
  virtual void onFirstByte(const call &Call, std::string_view Endpoint,
                           time_ms Now) = 0;
  virtual void onEnded(const call &Call, std::string_view Endpoint,
                       attempt_outcome Outcome, time_ms Now) = 0;
  // Spends one retry of a call to Service. False if none is allowed now.
  virtual bool tryRetry(std::string_view Service, time_ms Now) = 0;
  // Refusal for a caller whose call no endpoint could take.
  virtual placement_refusal refusal(const call &Call) const = 0;
};

// Passes everything on to another placement. Base of classes that change or
// observe some of it.
class placement_decorator : public placement {
public:
  explicit placement_decorator(placement &Inner) : Inner(Inner) {}

  std::optional<placement_refusal> admit(const call &Call,
                                         time_ms Now) override;
  list_state listState(const call &Call, time_ms Now) const override;
  std::optional<endpoint_choice> choose(const call &Call,
                                        const std::set<std::string> &Tried,
                                        time_ms Now) override;
  bool mayStillSend(const call &Call, const endpoint_choice &Target,
                    time_ms ConnectedAt, time_ms Now) const override;
  bool isVersionCertain(const endpoint_choice &Source,
                        time_ms ConnectedAt) const override;
  void onSent(const call &Call, std::string_view Endpoint,
              time_ms Now) override;
  void onFirstByte(const call &Call, std::string_view Endpoint,
                   time_ms Now) override;
  void onEnded(const call &Call, std::string_view Endpoint,
               attempt_outcome Outcome, time_ms Now) override;
  bool tryRetry(std::string_view Service, time_ms Now) override;
  placement_refusal refusal(const call &Call) const override;

private:
  placement &Inner;
};

enum class reserve_result {
  Reserved,
  Pending,     // More tokens may be granted within moments.
  Unavailable, // Tokens may be left, but the store that grants them is down.
  Exhausted,   // The account's remaining budget can't cover the call.
};

// The part of the prepaid budgets that this instance may spend.
class token_budget {
public:
  virtual ~token_budget() = default;
  // Reserves the upper bound of the call's cost. While the result is Pending,
  // the call asks again whenever the budget may have changed.
  virtual reserve_result reserve(const call &Call) = 0;
  // Ends the reservation and bills Used tokens of it. False if the bill could
  // not be stored; the response must then not end as complete.
  virtual bool settle(const call &Call, std::int64_t Used) = 0;
  // A call whose result was Pending waits no longer.
  virtual void withdraw(const call &) {}
};

enum class origin_state {
  Known,
  Pending,   // It is being looked up.
  Unknown,   // No instance has recorded the stream, or none can be asked.
  Ambiguous, // Two streams of that name began at different versions.
};

std::string_view toString(origin_state State);

struct stream_origin {
  origin_state State = origin_state::Unknown;
  std::string Service; // Of the endpoint that began it, if Known.
  std::string Version; // Of its software, if Known.
};

// Knows which service and version began a stream that a caller takes up.
class stream_origins {
public:
  virtual ~stream_origins() = default;
  virtual stream_origin find(const call &Call) = 0;
  // The caller is sent the first event, from an endpoint of Version; empty if
  // that is not certain.
  virtual void onBegun(const call &Call, std::string_view Version) = 0;
  virtual void onDelivered(const call &Call) = 0; // Sent to its end.
};

// For calls that callers can't take up.
class no_stream_origins final : public stream_origins {
public:
  stream_origin find(const call &) override { return {}; }
  void onBegun(const call &, std::string_view) override {}
  void onDelivered(const call &) override {}
};

struct send_options {
  // Never an idle connection, which the endpoint may have closed unnoticed.
  bool FreshConnection = false;
  std::string LastEventId; // The endpoint continues the stream after this
                           // event. Empty: from the beginning.
  time_ms Deadline = 0;
};

// What another instance states about the response to a call that was forwarded
// to it.
struct forwarded_result {
  std::string Endpoint;       // That has sent the response.
  std::int64_t StartedAt = 0; // Of the endpoint, see endpoint_choice.
  std::string Version;        // Of its software.
  bool IsVersionCertain = false;
};

// Status and header of an endpoint's response.
struct response_head {
  // Value of the first field of this name, in any case; empty if there is none.
  std::string_view field(std::string_view Name) const;

  int Status = 0;
  bool NotRun = false;    // The endpoint reports that it did not run the call.
  bool Misplaced = false; // From another endpoint than the expected one.
  bool Unusable = false;  // Must not be forwarded to the caller.
  bool EndsWithConnection = false;        // Neither a length nor chunks.
  std::optional<std::uint64_t> BodyBytes; // Stated length of the body.
  time_ms ConnectedAt = 0; // When its connection was opened, by sinceBoot.
  std::vector<header_field> Fields; // Forwarded unchanged.
  // From another instance only. InstanceError: it has no endpoint's response.
  std::optional<forwarded_result> ForwardedResult;
  std::optional<placement_refusal> InstanceError;
};

// Performs what an exchange decides: sends the call to endpoints and responds
// to the caller. The exchange calls these functions only while it handles one
// of its own events (start and the on... functions). An implementation reports
// events to the exchange later, never from within these functions.
class exchange_host {
public:
  virtual ~exchange_host() = default;
  // Sends the call to an endpoint. Progress is reported through the exchange's
  // onUnreached, onWithdrawn, onHead, onBody, onEnd and onBroken.
  virtual void startAttempt(const endpoint_choice &To,
                            const send_options &Options) = 0;
  // Drops the current attempt; the endpoint sees its connection close.
  virtual void cancelAttempt() = 0;
  // Begins a streamed response to the caller.
  virtual void beginResponse(const response_head &Head) = 0;
  virtual void forwardEvents(std::string_view Bytes) = 0;
  virtual void endResponse() = 0; // The stream is complete.
  // Sends a response that is not streamed.
  virtual void sendCompleteResponse(const response_head &Head,
                                    std::string Body) = 0;
  // The streamed response has begun and can't be completed.
  virtual void abortResponse() = 0;
  // Sends an error response. RetryAfterMs is 0 if there is no advice.
  virtual void refuse(error_kind Kind, int RetryAfterMs) = 0;
};

//---------------------------------------------------------------------------
// Event streams
//---------------------------------------------------------------------------

// One server-sent event.
struct stream_event {
  std::int64_t Id = -1; // "id" field, -1 if absent or not a number.
  std::string Data;     // "data" field.
  std::string Raw;      // The event as received, with its empty line.
};

// Id of an event, -1 if Text is not a number.
std::int64_t eventIdOf(std::string_view Text);

// Splits a text/event-stream into events.
class event_stream_parser {
public:
  void push(std::string_view Bytes) { Buffer.append(Bytes); }
  // Returns the next complete event, if there is one.
  std::optional<stream_event> next();
  // Discards an incomplete event, before another connection continues.
  void clear() {
    Buffer.clear();
    SearchFrom = 0;
  }
  // Bytes that next() has not returned yet.
  std::size_t pending() const { return Buffer.size(); }

private:
  std::optional<std::size_t> findEventEnd();

  std::string Buffer;
  std::size_t SearchFrom = 0; // No end of an event begins before it.
};

//---------------------------------------------------------------------------
// Reading responses
//---------------------------------------------------------------------------

// What an exchange does with a received event.
enum class event_action {
  Forward, // Send to the caller.
  Drop,    // The caller already has the event or did not request it.
  Final,   // Ends the response; sent once the call is settled.
  Invalid, // Does not continue this response; the attempt counts as broken.
};

// How much of the response the caller received.
enum class delivery { Complete, CallerDisconnected, Incomplete };

// Interprets the responses to one call in the format that its endpoints use.
class response_reader {
public:
  virtual ~response_reader() = default;
  // The next attempt sends the response from its beginning.
  virtual void restart() = 0;
  // False if the response belongs to another call or does not continue where
  // the previous attempt ended.
  virtual bool onHead(const response_head &Head, std::string_view Endpoint) = 0;
  virtual event_action onEvent(const stream_event &Event) = 0;
  // For a response that is not a stream. False if the body is unusable; the
  // attempt then counts as broken.
  virtual bool onCompleteBody(const response_head &Head,
                              std::string_view Body) = 0;
  // True if a stream that ends now is complete.
  virtual bool isComplete() const = 0;
  // True if another attempt can continue a broken stream.
  virtual bool canResume(call_kind Kind) const = 0;
  // Id of the last forwarded event, empty if none.
  virtual std::string lastEventId() const = 0;
  // Tokens to charge for a call that may have run.
  virtual std::int64_t tokensToCharge(const call &Call, delivery How) const = 0;
};

// Reads event streams with increasing ids. An attempt at another endpoint
// continues after the last forwarded id: its response has the status and media
// type of the one that began, at least one event, and only numbered events, of
// which the first follows the last one that was forwarded. Comments in it are
// dropped.
class numbered_event_reader final : public response_reader {
public:
  // LastReceivedId: of the last event that the caller has from an earlier call,
  // -1 if none.
  explicit numbered_event_reader(std::int64_t LastReceivedId = -1)
      : LastReceivedId(LastReceivedId), LastId(LastReceivedId) {}

  void restart() override { *this = numbered_event_reader(LastReceivedId); }
  bool onHead(const response_head &Head, std::string_view Endpoint) override;
  event_action onEvent(const stream_event &Event) override;
  bool onCompleteBody(const response_head &, std::string_view) override {
    return true;
  }
  bool isComplete() const override;
  bool canResume(call_kind Kind) const override;
  std::string lastEventId() const override;
  std::int64_t tokensToCharge(const call &Call, delivery How) const override;

private:
  bool mayFollow(std::int64_t Id) const;

  std::int64_t LastReceivedId; // See the constructor.
  std::int64_t LastId;         // Forwarded or received, -1 if none.
  std::int64_t ForwardedEvents = 0;
  bool HasIdGaps = false;      // The endpoint skips ids by its own choice.
  int Status = 0;              // Of the response that began.
  std::string MediaType;       // The same, in lower case, without parameters.
  bool IsContinuation = false; // Of a response that another endpoint began.
  bool HasContinued = false;   // An event of the continuation was forwarded.
};

//---------------------------------------------------------------------------
// The state machine
//---------------------------------------------------------------------------

// Result of a call, for logs and metrics.
struct exchange_report {
  bool Done = false;
  std::optional<error_kind> Error; // None if the caller got the endpoint's
                                   // own response.
  int Status = 0;                  // HTTP status of the final response.
  int Attempts = 0; // Sends that reached, or may have reached, an endpoint.
  int UnreachedEndpoints = 0; // Nothing was sent to them.
  int UnreachedInstances = 0; // The same: they sent the call to no endpoint.
  std::string ForwardedTo;    // Instance of the last attempt, empty if none.
  bool CallerDisconnected = false;
  bool ResponseAborted = false;
  time_ms ListWaitMs = 0;     // Spent on waiting for the list of endpoints.
  bool GivenUpAtStop = false; // The process ended before the call.
  std::int64_t TokensCharged = 0;
  time_ms FirstByteAt = 0;  // Of the endpoint's response, 0 if none.
  std::string LastEndpoint; // Of the last attempt.
  std::string FirstVersion; // Of the endpoint that sent the first event, empty
                            // if none was forwarded.
  bool IsVersionCertain = true;   // FirstVersion.
  std::string LastVersion;        // Of the endpoint of the last attempt.
  std::int64_t LastStartedAt = 0; // The same, see endpoint_choice.
  // Of a stream that the caller takes up.
  std::optional<origin_state> Origin;
  time_ms OriginFoundAt = 0; // When the look-up ended, 0 if there was none.
  attempt_outcome LastOutcome = attempt_outcome::Good;
};

// One request: reserves tokens, chooses an endpoint, forwards the response,
// retries where the call's kind permits, and settles the reservation.
class exchange {
public:
  exchange(call Call, placement &Placement, token_budget &Budget,
           stream_origins &Origins, response_reader &Reader,
           exchange_host &Host, memory::memory_budget &Memory);
  exchange(const exchange &) = delete;
  exchange &operator=(const exchange &) = delete;

  void start(time_ms Now);
  // Grants have changed. Has an effect only while the call waits for tokens.
  void onBudgetChanged(time_ms Now);
  // Origins of streams have been read. Has an effect only while the call waits
  // for one.
  void onOriginsRead(time_ms Now);
  // The list of endpoints has been read. Has an effect only while the call
  // waits for it.
  void onListRead(time_ms Now);
  // The current attempt could not connect; nothing was sent.
  void onUnreached(time_ms Now);
  // placement::mayStillSend was false for the current attempt; nothing was
  // sent.
  void onWithdrawn(time_ms Now);
  void onHead(response_head Head, time_ms Now);
  // False if the body of the response does not fit into the memory that is left
  // now: nothing more is to be read of it. True at the latest after some of the
  // memory was freed, or the call ends at its deadline.
  bool canReceiveBody();
  void onBody(std::string_view Bytes, time_ms Now);
  void onEnd(time_ms Now);    // The endpoint's response ended normally.
  void onBroken(time_ms Now); // The connection broke after the send.
  void onCallerDisconnected(time_ms Now);
  void onTimer(time_ms Now); // At or after nextTimer().
  // The process ends before the call can: gives the caller a final response, or
  // aborts the stream if it has begun.
  void onForcedStop(time_ms Now);

  // When onTimer is due next.
  time_ms nextTimer() const;
  bool isDone() const { return Report.Done; }
  // True if the response that is received, or was last, certainly comes from
  // the version that the report names.
  bool isVersionCertain() const;
  const call &request() const { return Call; }
  const exchange_report &report() const { return Report; }

private:
  enum class state {
    New,
    WaitingForOrigin,
    WaitingForTokens,
    WaitingForList,
    AwaitingHead,
    Receiving,
    Done
  };

  void findOrigin(time_ms Now);
  bool continueAt(const stream_origin &Origin);
  void awaitTokens(time_ms Now);
  void reserveTokens(time_ms Now);
  void startNextAttempt(time_ms Now);
  void awaitList(time_ms Now);
  void onListWaitOver(time_ms Now);
  void refuseWithoutList();
  bool tryRetry(time_ms Now);
  void replaceUnsent(attempt_outcome Outcome, time_ms Now);
  bool mayReplaceUnsent();
  void adoptForwardedResult();
  void beginStream();
  bool isRefusal() const;
  void onRefusalBody(std::size_t Size, time_ms Now);
  void finishRefusal(time_ms Now);
  bool isForwarded() const;
  bool makeRoom(std::size_t Size);
  void cancelAttempt(time_ms Now); // If one is in flight.
  attempt_outcome outcomeOfComplete() const;
  void endAttempt(attempt_outcome Outcome, time_ms Now);
  void processEvents(time_ms Now);
  void forwardEvents(std::string_view Events, time_ms Now);
  void recordFirstByte(time_ms Now);
  void finishStream(time_ms Now);
  void finishCompleteResponse(time_ms Now);
  void refuseNotRun(error_kind Kind, int RetryAfterMs);
  void refuseUnplaced();
  void failAfterSend(bool TimedOut);
  void failUnstoredBill();
  void sendError(error_kind Kind);
  bool settle(delivery How);
  void finish(delivery How);

  call Call;
  placement &Placement;
  token_budget &Budget;
  stream_origins &Origins;
  response_reader &Reader;
  exchange_host &Host;

  state State = state::New;
  exchange_report Report;
  std::set<std::string> TriedEndpoints;
  endpoint_choice Target;       // Of the current attempt.
  response_head Head;           // Of the current attempt.
  std::string Body;             // Of a response that is not a stream.
  std::size_t RefusalBytes = 0; // Received of the body of a refusal.
  event_stream_parser Parser;   // Of the current attempt.
  std::string FinalEvent;       // Held back until the call is settled.
  memory::memory_charge Kept;   // Of the current attempt's response.
  bool HoldsReservation = false;
  bool AttemptInFlight = false;
  bool MayHaveRun = false;   // At least one attempt may have run the call.
  bool StreamBegun = false;  // The caller has the head of a stream.
  bool SawFirstByte = false; // Of the current attempt.
  time_ms WaitDeadline = 0;  // Of the wait for an origin, tokens or the list.
  time_ms ListWaitSince = 0; // While it waits for the list.
};

} // namespace tamarack::relay
