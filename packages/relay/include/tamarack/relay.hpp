// One request, from its arrival to its final answer, without any I/O.
//
// Contents:
//   what is configured   call_kind, route, service, account, route_table
//   one request          call, prompt_part
//   what it needs        placement, token_budget, exchange_host
//   event streams        stream_event, event_stream_parser
//   reading answers      response_reader, numbered_event_reader
//   the state machine    exchange
//
// Rules kept here, for every kind of caller and endpoint:
//   - a call that may not be repeated is sent again only after the endpoint
//     itself said that the former one did not run, or nothing had been sent;
//   - "not run" is answered only if that holds for all attempts;
//   - nothing that ends early looks complete;
//   - every call has its final answer when its deadline passes.
// Times are monotonic ms. Nothing here is thread-safe.
#pragma once

#include "tamarack/calls.hpp"
#include "tamarack/ports.hpp"

#include <cstdint>
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
// What is configured
//---------------------------------------------------------------------------

// How an endpoint answers and what may be repeated.
enum class call_kind {
  Idempotent,      // One whole answer, may run more than once.
  NotRepeatable,   // One whole answer, runs at most once.
  Stream,          // Events, runs at most once.
  ResumableStream, // Events, goes on elsewhere after the last one passed on.
};

std::string_view toString(call_kind Kind);
bool isStream(call_kind Kind);
bool isRepeatable(call_kind Kind);

struct weighted_service {
  std::string Service;
  int Weight = 1; // Share of the route's calls, against the other weights.
};

struct route {
  std::string Name;
  std::string Host;       // As callers name it, without a port.
  std::string PathPrefix; // Begins and ends with a slash.
  call_kind Kind = call_kind::NotRepeatable;
  std::vector<weighted_service> Services;
  int TimeoutMs = 30'000;        // Longest time to the end of the answer.
  int TargetFirstByteMs = 1'000; // Aim for the first byte of the answer.
  int TargetEventGapMs = 0;      // Aim for pauses between events, 0 if none.
  int Priority = 5;              // 0 first.
  int MaxAttempts = 1;           // Endpoints that one call may be sent to.
  bool Public = false;           // Needs no key.
};

// A pool of endpoints that serve the same calls.
struct service {
  std::string Name;
  std::string HealthPath;
  int MaxConnections = 0; // Connections an endpoint takes, 0 if unknown.
  std::int64_t KvCacheTokens =
      0;                     // Prompt memory of a model engine, 0: no engine.
  int MaxTokensPerEvent = 1; // Generated tokens that one event may hold.
};

struct account {
  std::string Name;
  std::optional<int> Priority; // Goes before the route's.
  std::optional<std::int64_t>
      PrepaidTokens; // Tokens in all; none: not limited.
};

// What a caller may send.
struct caller_limits {
  std::uint32_t MaxHeaderBytes = 16'384;
  std::uint64_t MaxBodyBytes = 4'194'304;
  int HeaderTimeoutMs = 3'000; // Longest time for the head of a request.
  int IdleTimeoutMs = 15'000;  // Longest idle time of a kept connection.
};

// One accepted configuration, whole. Not changed after it was built.
class route_table {
public:
  std::int64_t Version = -1;
  caller_limits Limits;
  bool NeedsKeys = false; // Some client account is configured.

  void add(route Route);
  void add(service Service);
  void add(account Account, std::span<const std::string> Keys);

  // Longest prefix of the host that begins the path. nullptr if none.
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
  std::map<std::string, std::vector<route>, std::less<>> Routes; // By host.
  std::map<std::string, service, std::less<>> Services;
  std::map<std::string, account, std::less<>> Accounts;
  std::map<std::string, std::string, std::less<>> AccountOfKey;
};

//---------------------------------------------------------------------------
// One request
//---------------------------------------------------------------------------

// A part of a prompt that engines keep and share, in prompt order.
struct prompt_part {
  std::uint64_t Id = 0;
  int Tokens = 0;
};

struct call {
  std::string Id; // The caller's name of this request.
  std::string RouteName;
  std::string Service;
  std::string Account; // Empty for public routes.
  call_kind Kind = call_kind::NotRepeatable;
  int Priority = 5;
  int MaxAttempts = 1;
  int TargetFirstByteMs = 1'000;
  time_ms ArrivedAt = 0;
  time_ms Deadline = 0; // Final answer due.
  std::int64_t PromptTokens = 0;
  std::int64_t MaxOutputTokens = 0; // Tokens generated at most.
  int MaxTokensPerEvent = 1;        // Tokens that one event may hold.
  std::vector<prompt_part> Prompt;

  std::int64_t maxTokens() const { return PromptTokens + MaxOutputTokens; }
};

//---------------------------------------------------------------------------
// What it needs
//---------------------------------------------------------------------------

struct endpoint_choice {
  std::string Endpoint; // Unique id.
  std::string Address;  // host:port
};

// How an attempt at an endpoint ended.
enum class attempt_outcome {
  Good,      // Whole answer.
  Failed,    // The endpoint's own failure answer.
  Broken,    // Broke off after it was sent.
  Unreached, // No connection, nothing sent.
  Refused,   // The endpoint says that it did not run.
  Misplaced, // Another endpoint answers at that address.
  Cancelled, // Ended by this side.
};

std::string_view toString(attempt_outcome End);

// Why no endpoint takes a call.
struct placement_refusal {
  error_kind Kind = error_kind::NoEndpoint;
  int RetryAfterMs = 0; // When the caller should come back.
};

// Chooses endpoints and learns from what becomes of the attempts.
class placement {
public:
  virtual ~placement() = default;
  // Empty if no endpoint takes this call now.
  virtual std::optional<endpoint_choice>
  choose(const call &Call, const std::set<std::string> &Tried, time_ms Now) = 0;
  virtual void onSent(const call &Call, std::string_view Endpoint,
                      time_ms Now) = 0;
  virtual void onFirstByte(const call &Call, std::string_view Endpoint,
                           time_ms Now) = 0;
  virtual void onEnded(const call &Call, std::string_view Endpoint,
                       attempt_outcome End, time_ms Now) = 0;
  // True if one more send of a call is allowed now; spends it.
  virtual bool tryRetry(std::string_view Service, time_ms Now) = 0;
  // Told to a caller for whom no endpoint was found.
  virtual placement_refusal refusal(const call &Call) const = 0;
};

enum class reserve_result {
  Reserved,
  Pending,     // More money may be granted within moments.
  Unavailable, // There may be money, but it can't be reached now.
  Exhausted,   // The whole budget can't cover the call.
};

// The prepaid budgets, as far as this instance may draw on them.
class token_budget {
public:
  virtual ~token_budget() = default;
  virtual reserve_result reserve(std::string_view Account,
                                 std::int64_t Bound) = 0;
  // Gives the reservation back and counts what was used of it. False: that
  // could not be kept, so the answer must not be ended as whole.
  virtual bool settle(std::string_view Account, std::int64_t Bound,
                      std::int64_t Used) = 0;
};

struct send_options {
  bool FreshConnection = false; // No kept connection that may have died.
  std::string LastEventId;      // Id of the last event passed on.
  time_ms Deadline = 0;
};

// Head of an endpoint's answer.
struct response_head {
  int Status = 0;
  bool NotRun = false;              // The endpoint says that it did not run.
  bool Misplaced = false;           // Another endpoint than expected answered.
  bool Unusable = false;            // Not an answer that may be passed on.
  std::vector<header_field> Fields; // To be passed on unchanged.
};

// Carries out what an exchange decides. Calls are never made from within one
// of the exchange's own event functions' callers other than the exchange.
class exchange_host {
public:
  virtual ~exchange_host() = default;
  virtual void startAttempt(const endpoint_choice &To,
                            const send_options &Options) = 0;
  // Drops the attempt under way; the endpoint sees its connection close.
  virtual void cancelAttempt() = 0;
  virtual void beginResponse(const response_head &Head) = 0; // Of a stream.
  virtual void forwardEvents(std::string_view Bytes) = 0;
  virtual void endResponse() = 0; // The stream is whole.
  virtual void sendCompleteResponse(const response_head &Head,
                                    std::string_view Body) = 0;
  // The answer has begun and can't be completed.
  virtual void abortResponse() = 0;
  virtual void refuse(error_kind Kind, int RetryAfterMs) = 0;
};

//---------------------------------------------------------------------------
// Event streams
//---------------------------------------------------------------------------

struct stream_event {
  std::int64_t Id = -1; // "id" field, -1 if absent or not a number.
  std::string Data;     // "data" field.
  std::string Raw;      // The event as received, with its empty line.
};

// Cuts a text/event-stream into its events.
class event_stream_parser {
public:
  void push(std::string_view Bytes) { Buffer.append(Bytes); }
  // The next whole event, if there is one.
  std::optional<stream_event> next();
  // Forgets a part of an event, before another connection goes on.
  void clear() { Buffer.clear(); }
  std::size_t pending() const { return Buffer.size(); }

private:
  std::string Buffer;
};

//---------------------------------------------------------------------------
// Reading answers
//---------------------------------------------------------------------------

enum class event_action {
  Forward, // Goes to the caller.
  Drop,    // The caller has it already, or did not ask for it.
  Final,   // Ends the answer; goes out once the call is settled.
  Invalid, // Does not continue this answer.
};

// How far the caller got its answer.
enum class delivery { Complete, CallerDisconnected, Incomplete };

// Understands the answers of one call in the form that its endpoints speak.
class response_reader {
public:
  virtual ~response_reader() = default;
  // The next attempt begins the answer anew.
  virtual void restart() = 0;
  // False if the answer is not this call's, or does not go on where the one
  // before broke off.
  virtual bool onHead(const response_head &Head, std::string_view Endpoint) = 0;
  virtual event_action onEvent(const stream_event &Event) = 0;
  // An answer that is no stream. False if it can't be understood.
  virtual bool onCompleteBody(const response_head &Head,
                              std::string_view Body) = 0;
  // True if a stream may end here.
  virtual bool isComplete() const = 0;
  // True if a stream that broke off can be continued by another attempt.
  virtual bool canResume(call_kind Kind) const = 0;
  virtual std::string lastEventId() const = 0; // Id of the last event passed.
  // Tokens to charge for a call that may have run.
  virtual std::int64_t tokensToCharge(const call &Call, delivery How) const = 0;
};

// Streams of events with rising ids; an attempt goes on elsewhere after the
// last id that was passed on.
class numbered_event_reader final : public response_reader {
public:
  void restart() override { *this = {}; }
  bool onHead(const response_head &, std::string_view) override { return true; }
  event_action onEvent(const stream_event &Event) override;
  bool onCompleteBody(const response_head &, std::string_view) override {
    return true;
  }
  bool isComplete() const override { return true; }
  bool canResume(call_kind Kind) const override;
  std::string lastEventId() const override;
  std::int64_t tokensToCharge(const call &Call, delivery How) const override;

private:
  std::int64_t LastId = -1;
  std::int64_t Events = 0; // Passed on.
};

//---------------------------------------------------------------------------
// The state machine
//---------------------------------------------------------------------------

// What became of a call, for logs and metrics.
struct exchange_report {
  bool Done = false;
  std::optional<error_kind> Error; // None if the endpoint's answer was given.
  int Status = 0;
  int Attempts = 0; // Sends that reached, or may have reached, an endpoint.
  int UnreachedEndpoints = 0;
  bool CallerDisconnected = false;
  bool ResponseAborted = false;
  std::int64_t TokensCharged = 0; // Tokens charged.
  time_ms FirstByteAt = 0;        // 0 if none.
  std::string LastEndpoint;
  attempt_outcome LastOutcome = attempt_outcome::Good;
};

class exchange {
public:
  exchange(call Call, placement &Placement, token_budget &Allowance,
           response_reader &Reader, exchange_host &Host);

  void start(time_ms Now);
  void
  onBudgetChanged(time_ms Now); // Grants have changed; matters while waiting.
  void onUnreached(time_ms Now);
  void onHead(response_head Head, time_ms Now);
  void onBody(std::string_view Bytes, time_ms Now);
  void onEnd(time_ms Now); // The endpoint's answer is complete.
  void onBroken(time_ms Now);
  void onCallerDisconnected(time_ms Now);
  void onTimer(time_ms Now); // At or after nextTimer().

  // When onTimer is due next.
  time_ms nextTimer() const;
  bool isDone() const { return Report.Done; }
  const call &request() const { return Call; }
  const exchange_report &report() const { return Report; }

private:
  enum class state { New, WaitingForMoney, Sending, Answering, Done };

  void reserve(time_ms Now);
  void place(time_ms Now);
  bool mayRepeat(time_ms Now);
  void endAttempt(attempt_outcome End, time_ms Now);
  void passEvents(time_ms Now);
  void forwardEvents(std::string_view Events, time_ms Now);
  void noteFirstByte(time_ms Now);
  void endStream(time_ms Now);
  void finishCompleteResponse(time_ms Now);
  void giveUp(error_kind Kind, int RetryAfterMs);
  void giveUpUnplaced();
  void failAfterSend(bool TimedOut);
  void failUnsettled();
  void fail(error_kind Kind);
  bool settle(delivery How);
  void finish(delivery How);

  call Call;
  placement &Placement;
  token_budget &Allowance;
  response_reader &Reader;
  exchange_host &Host;

  state State = state::New;
  exchange_report Report;
  std::set<std::string> Tried;
  response_head Head;
  std::string Body;             // Whole answers only.
  event_stream_parser Splitter; // Of the attempt under way.
  std::string LastEvent;        // Held back until the call is settled.
  bool Reserved = false;
  bool InFlight = false;   // An attempt is under way.
  bool MayHaveRun = false; // Some attempt may have run.
  bool Begun = false;      // The caller has the head of a stream.
  bool SawByte = false;    // Of this attempt.
  time_ms MoneyDeadline = 0;
};

} // namespace tamarack::relay
