// What a request of a caller needs on its own: errors, idempotency keys, single
// execution, validation of streamed responses, and cost.
//
// Contents:
//   error kinds          error_kind, error_definition, call_error, errorBody
//   idempotency keys     idempotency_key, parseKey, mintKey, mintTicket
//   single execution     execution_registry
//   streamed responses   stream_validator
//   cost                 maxCost, costOf
#pragma once

#include "tamarack/ledger.hpp"
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

// Every final refusal or failure that a caller can get. The list is closed:
// callers never get an error of another kind.
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
  InstanceFull,
  DeadlineTooShort,
  PromptQuarantined,
  RequestQuarantined,
  NoEndpoint,
  StreamUnknown,
  StreamVersionGone,
  NotReady,
  EndpointFailed,
  AnswerIncomplete,
  OutcomeUnknown,
  AlreadyRunning,
  AnswerGone,
  Internal,
};

// Whether an endpoint may have worked on the request.
enum class ran_at_endpoint { No, Yes, Unknown };

// When a caller may send the failed request again.
enum class retry_advice {
  Never,   // The same request will fail again.
  Later,   // After the time in Retry-After, with any key.
  SameKey, // After the time in Retry-After, but only with the same key.
};

struct error_definition {
  error_kind Kind;
  std::string_view Name; // "kind" in the body, for example "budget_exhausted".
  int Status;            // HTTP status.
  ran_at_endpoint RanAtEndpoint; // "ran" in the body: no, yes, unknown.
  retry_advice RetryAdvice;      // "retry" in the body.
  int RetryAfterMs;              // Default of Retry-After, 0 if Never.
  std::string_view Message;      // What happened, one sentence.
};

const error_definition &definitionOf(error_kind Kind);
std::span<const error_definition> allErrors();
std::string_view toString(ran_at_endpoint RanAtEndpoint);
std::string_view toString(retry_advice Advice);

// Ends the handling of a request with an error of one kind.
class call_error : public std::runtime_error {
public:
  // An empty Detail stands for the message of the kind, a RetryAfterMs of 0
  // for the default of the kind.
  explicit call_error(error_kind Kind, std::string_view Detail = {},
                      int RetryAfterMs = 0);
  error_kind kind() const { return Kind; }
  int retryAfterMs() const { return RetryAfterMs; }

private:
  error_kind Kind;
  int RetryAfterMs;
};

// JSON: {"error":{"kind","message","ran","retry","retry_after_ms"}}
std::string errorBody(const call_error &Error);

//---------------------------------------------------------------------------
// Idempotency keys
//---------------------------------------------------------------------------

enum class key_form {
  Ticket,      // Minted by a daemon in advance; names the only incarnation that
               // may execute the request.
  Timestamped, // Carries its mint time: minted by a daemon, or UUID version 7.
  Opaque,      // Anything else.
};

// A request key as the caller sent it, in Idempotency-Key, and its parts.
struct idempotency_key {
  std::string Text;
  key_form Form = key_form::Opaque;
  time_ms MintedAt = 0;         // ms since the epoch, 0 if Opaque.
  ledger::executor_id Executor; // Only set for a Ticket.
};

inline constexpr std::size_t MaxKeyLength = 200; // Bytes.

// Never fails: text of an unknown form gives an Opaque key.
idempotency_key parseKey(std::string_view Text);
// The minted keys are unique because Random is. Now is in ms since the epoch.
std::string mintKey(time_ms Now, std::uint64_t Random);
std::string mintTicket(const ledger::executor_id &Executor, time_ms Now,
                       std::uint64_t Random);

//---------------------------------------------------------------------------
// Single execution
//---------------------------------------------------------------------------

// The final response of a finished execution, kept for duplicate requests.
struct stored_response {
  int Status = 200; // HTTP status.
  std::string ContentType;
  std::string Body;
};

enum class execution_state {
  New,            // First seen now: the caller of begin may dispatch, once.
  Running,        // May have been dispatched, not finished.
  Finished,       // The response is given if it is still stored.
  OutcomeUnknown, // Ended without a known outcome.
  KeyExpired,     // The key is too old and not in the registry.
};

struct begin_result {
  execution_state State = execution_state::KeyExpired;
  std::optional<stored_response> Response; // Only if Finished.
};

// Registry of the not-repeatable requests that this incarnation has started.
// Not thread-safe.
//
// Invariant: begin returns New at most once per key, unless cancelStart
// released the key.
class execution_registry {
public:
  // MaxResponseBytes bounds the bodies of stored responses; the number of keys
  // is not bounded.
  explicit execution_registry(std::size_t MaxResponseBytes);

  // Starts an execution if the key is new, else returns the state of the
  // earlier one. MintedAt is the mint time of the key; it and Now are in ms
  // since the epoch.
  begin_result begin(const ledger::request_key &Key, time_ms MintedAt,
                     time_ms Now);
  // Releases a key that begin returned as New and for which nothing was sent:
  // the request may be started again.
  void cancelStart(const ledger::request_key &Key);
  void finish(const ledger::request_key &Key, stored_response Response);
  void finishWithUnknownOutcome(const ledger::request_key &Key);
  std::size_t size() const { return Executions.size(); }

private:
  struct execution {
    execution_state State = execution_state::Running;
    time_ms KeyMintedAt = 0; // ms since the epoch.
    std::optional<stored_response> Response;
  };

  void removeExpired(time_ms Now);
  void evictResponses();

  std::size_t MaxResponseBytes;
  std::size_t ResponseBytes = 0; // Bodies of all stored responses.
  std::map<ledger::request_key, execution> Executions;
  std::deque<ledger::request_key> KeysByStart;    // Oldest start first.
  std::deque<ledger::request_key> KeysByResponse; // Oldest response first.
};

//---------------------------------------------------------------------------
// Streamed responses
//---------------------------------------------------------------------------

enum class event_check_result {
  Valid,       // The next event of the response: pass it on.
  EndOfStream, // The end marker of a complete response.
  Duplicate,   // Passed on before the stream was resumed: drop it.
  Foreign,     // Of another response or out of order: abort the stream.
};

// True if an endpoint's refusal is certainly of the request RequestId and of no
// earlier one on its connection. EchoedId: the id that the refusal names, may
// be empty.
bool isRefusalOf(std::string_view RequestId, std::string_view EchoedId,
                 bool IsFirstOnConnection);

// Path at which an endpoint goes on with the stream of this id. Endpoints
// choose the ids, which may contain any characters of a header field.
std::string resumptionPath(std::string_view StreamId);

// Checks the events of one streamed response, also when it is resumed. An event
// is valid only if its endpoint, stream id, response id and position continue
// the events passed on so far.
class stream_validator {
public:
  explicit stream_validator(std::string RequestId);

  // The head of the first or of a resumed response. False if the response
  // belongs to another request or, on resumption, to another stream or
  // endpoint.
  bool checkHead(std::string_view FromEndpoint,
                 std::string_view EchoedRequestId, std::string_view FromStream);

  // One event. Position is its id, counted from 0; -1 if the endpoint sends no
  // ids. Data is the payload of the event.
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
  std::string ResponseId;            // "id" of the first event.
  std::int64_t NextPosition = 0;     // Expected id of the next event.
  std::int64_t PromptTokens = 0;     // As reported in "usage".
  std::int64_t CompletionTokens = 0; // As reported in "usage".
  std::uint64_t ContentEventCount = 0;
  bool HasUsage = false;
  bool HeadSeen = false;
  bool Complete = false;
};

// True for an event that carries nothing but usage. Daemons request usage
// themselves, so such an event may not be meant for the caller.
bool isUsageOnlyEvent(std::string_view Data);

//---------------------------------------------------------------------------
// Cost
//---------------------------------------------------------------------------

// Upper bound of the cost of a completion, in prepaid tokens. Each byte of the
// prompt counts as a token, as no token is shorter than one byte; each message
// counts a few tokens more, as a chat template may add some. Prices are in
// prepaid tokens per token.
ledger::amount maxCost(std::size_t PromptBytes, std::size_t MessageCount,
                       std::int64_t MaxCompletionTokens,
                       std::int64_t PromptPrice, std::int64_t CompletionPrice);

// Cost of a completion in prepaid tokens.
ledger::amount costOf(std::int64_t PromptTokens, std::int64_t CompletionTokens,
                      std::int64_t PromptPrice, std::int64_t CompletionPrice);

} // namespace tamarack::calls
