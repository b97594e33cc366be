// Requests of callers: errors, keys, single execution and whole answers.
//
// Contents:
//   error kinds          error_kind, error_definition, definitionOf,
//   call_error, errorBody request keys         idempotency_key, parseKey,
//   mintKey, mintTicket single execution     execution_registry whole answers
//   stream_validator cost                 maxCost, costOf
#pragma once

#include "tamarack/money.hpp"
#include "tamarack/ports.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>

namespace tamarack::calls {

//---------------------------------------------------------------------------
// Error kinds
//---------------------------------------------------------------------------

// Every final refusal or failure that a caller can get. Closed list.
enum class error_kind {
  InvalidRequest,
  Unauthorized,
  NotFound,
  UnknownModel,
  UnknownService,
  NoRule,
  BodyTooLarge,
  HeadersTooLarge,
  KeyWithoutTime,
  KeyExpired,
  BudgetExhausted,
  BudgetUnavailable,
  ClaimUnavailable,
  RateLimited,
  Overloaded,
  DeadlineTooShort,
  NoEndpoint,
  NotReady,
  EndpointFailed,
  AnswerIncomplete,
  OutcomeUnknown,
  AlreadyRunning,
  AnswerGone,
  Internal,
};

// Whether the endpoint may have worked on the request.
enum class ran_at_endpoint { No, Yes, Unknown };

enum class retry_advice {
  Never,   // The same request will fail again.
  Later,   // After the time given in Retry-After, any key.
  SameKey, // After the time given in Retry-After, with the same key only.
};

struct error_definition {
  error_kind Kind;
  std::string_view Name; // As in the body, for example "budget_exhausted".
  int Status;            // HTTP status.
  ran_at_endpoint RanAtEndpoint; // "ran" in the body: no, yes, unknown.
  retry_advice RetryAdvice;
  int RetryAfterMs;         // Default of Retry-After, 0 if Never.
  std::string_view Message; // What happened, one sentence.
};

const error_definition &definitionOf(error_kind Kind);
std::span<const error_definition> allErrors();
std::string_view toString(ran_at_endpoint RanAtEndpoint);
std::string_view toString(retry_advice Advice);

// Ends the handling of a request with one row of the table.
class call_error : public std::runtime_error {
public:
  explicit call_error(error_kind Kind, std::string_view Detail = {},
                      int RetryAfterMs = 0);
  error_kind kind() const { return Kind; }
  int retryAfterMs() const { return RetryAfterMs; } // Row's value if not set.

private:
  error_kind Kind;
  int RetryAfterMs;
};

// {"error":{"kind","message","ran","retry","retry_after_ms"}}
std::string errorBody(const call_error &Error);

//---------------------------------------------------------------------------
// Request keys
//---------------------------------------------------------------------------

enum class key_form {
  Ticket, // Minted ahead by a daemon, names the incarnation that may run it.
  Timestamped, // Carries its mint time: minted by a daemon, or a UUID of
               // version 7.
  Opaque,      // Anything else.
};

struct idempotency_key {
  std::string Text;
  key_form Form = key_form::Opaque;
  time_ms MintedAt = 0;      // 0 if Opaque.
  money::runner_id Executor; // Tickets only.
};

inline constexpr std::size_t MaxKeyLength = 200; // Bytes.

// Never fails: an unknown form is Opaque.
idempotency_key parseKey(std::string_view Text);
std::string mintKey(time_ms Now, std::uint64_t Random);
std::string mintTicket(const money::runner_id &Executor, time_ms Now,
                       std::uint64_t Random);

//---------------------------------------------------------------------------
// Single execution
//---------------------------------------------------------------------------

struct stored_response {
  int Status = 200;
  std::string ContentType;
  std::string Body;
};

enum class execution_state {
  New,            // Not seen before: the caller of begin may dispatch, once.
  Running,        // Dispatched, not finished.
  Finished,       // Finished; the answer is given if it is still kept.
  OutcomeUnknown, // Finished without a known outcome.
  KeyExpired,     // The key is too old; nothing is known.
};

struct begin_result {
  execution_state State = execution_state::KeyExpired;
  std::optional<stored_response> Response;
};

// Which not-repeatable requests this incarnation has started. Not thread-safe.
//
// Invariant: begin returns New at most once per key.
class execution_registry {
public:
  // MaxResponseBytes bounds the kept answers, not the keys.
  explicit execution_registry(std::size_t MaxResponseBytes);

  begin_result begin(const money::request_key &Key, time_ms MintedAt,
                     time_ms Now);
  // Nothing was sent: the key may be started again.
  void cancelStart(const money::request_key &Key);
  void finish(const money::request_key &Key, stored_response Response);
  void finishWithUnknownOutcome(const money::request_key &Key);
  std::size_t size() const { return Executions.size(); }

private:
  struct execution {
    execution_state State = execution_state::Running;
    time_ms KeyMintedAt = 0;
    std::optional<stored_response> Response;
  };

  void removeExpired(time_ms Now);
  void evictResponses();

  std::size_t MaxResponseBytes;
  std::size_t ResponseBytes = 0;
  std::map<money::request_key, execution> Executions;
  std::deque<money::request_key> KeysByStart;    // Of the starts.
  std::deque<money::request_key> KeysByResponse; // Of the kept answers.
};

//---------------------------------------------------------------------------
// Whole answers
//---------------------------------------------------------------------------

enum class event_check_result {
  Valid,       // Belongs to the answer: pass it on.
  EndOfStream, // The end marker of a whole answer.
  Duplicate,   // Already passed on before a resumption: drop it.
  Foreign,     // Of another answer or out of order: cut the stream.
};

// Checks the events of one streamed answer. Joins endpoint, stream id,
// request and position: an event passes only if all four continue what has
// been passed on so far.
class stream_validator {
public:
  explicit stream_validator(std::string RequestId);

  // The head of a first or resumed response. False if it belongs to another
  // request or, on resumption, to another stream or endpoint.
  bool checkHead(std::string_view Endpoint, std::string_view EchoedRequestId,
                 std::string_view StreamId);

  // One event. Position is its id counted from 0, -1 if the endpoint sends
  // none. Data is its payload.
  event_check_result checkEvent(std::int64_t Position, std::string_view Data);

  bool isComplete() const { return Complete; }
  std::int64_t nextPosition() const { return NextPosition; }
  std::string_view streamId() const { return StreamId; }
  std::int64_t promptTokens() const { return PromptTokens; }
  std::int64_t completionTokens() const { return CompletionTokens; }
  bool hasUsage() const { return HasUsage; }
  std::uint64_t contentEventCount() const { return ContentEventCount; }

private:
  void readUsage(std::string_view Data);

  std::string RequestId;
  std::string Endpoint;
  std::string StreamId;
  std::string ResponseId; // "id" of the first event.
  std::int64_t NextPosition = 0;
  std::int64_t PromptTokens = 0;
  std::int64_t CompletionTokens = 0;
  std::uint64_t ContentEventCount = 0;
  bool HasUsage = false;
  bool HeadSeen = false;
  bool Complete = false;
};

// True if the event only carries usage, which the daemon asked for itself.
bool isUsageOnlyEvent(std::string_view Data);

//---------------------------------------------------------------------------
// Cost
//---------------------------------------------------------------------------

// Upper bound of a completion's cost: no token is shorter than one byte, and
// each message may add a few tokens of its own.
money::amount maxCost(std::size_t PromptBytes, std::size_t MessageCount,
                      std::int64_t MaxCompletionTokens,
                      std::int64_t PromptPrice, std::int64_t CompletionPrice);

money::amount costOf(std::int64_t PromptTokens, std::int64_t CompletionTokens,
                     std::int64_t PromptPrice, std::int64_t CompletionPrice);

} // namespace tamarack::calls
