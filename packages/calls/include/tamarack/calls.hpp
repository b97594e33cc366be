// Requests of callers: errors, keys, single execution and whole answers.
//
// Contents:
//   error kinds          error_kind, error_row, rowOf, call_error, errorBody
//   request keys         call_key, parseKey, mintKey, mintTicket
//   single execution     run_book
//   whole answers        answer_checker
//   cost                 costBound, costOf
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
enum class ran { No, Yes, Unknown };

enum class retry_advice {
  Never,   // The same request will fail again.
  Later,   // After the time given in Retry-After, any key.
  SameKey, // After the time given in Retry-After, with the same key only.
};

struct error_row {
  error_kind Kind;
  std::string_view Name; // As in the body, for example "budget_exhausted".
  int Status;            // HTTP status.
  ran Ran;               // "ran" in the body: no, yes, unknown.
  retry_advice Advice;
  int RetryAfterMs;      // Default of Retry-After, 0 if Never.
  std::string_view Text; // What happened, one sentence.
};

const error_row &rowOf(error_kind Kind);
std::span<const error_row> allErrors();
std::string_view toString(ran Ran);
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
  Timed,  // Carries its mint time: minted by a daemon, or a UUID of version 7.
  Opaque, // Anything else.
};

struct call_key {
  std::string Text;
  key_form Form = key_form::Opaque;
  time_ms Minted = 0;        // 0 if Opaque.
  money::executor_id Runner; // Tickets only.
};

inline constexpr std::size_t LargestKeyLength = 200; // Bytes.

// Never fails: an unknown form is Opaque.
call_key parseKey(std::string_view Text);
std::string mintKey(time_ms Now, std::uint64_t Random);
std::string mintTicket(const money::executor_id &Runner, time_ms Now,
                       std::uint64_t Number);

//---------------------------------------------------------------------------
// Single execution
//---------------------------------------------------------------------------

struct kept_answer {
  int Status = 200;
  std::string ContentType;
  std::string Body;
};

enum class run_state {
  Start,   // Not seen before: the caller of begin may dispatch, once.
  Running, // Dispatched, not finished.
  Done,    // Finished; the answer is given if it is still kept.
  Unknown, // Finished without a known outcome.
  Expired, // The key is too old; nothing is known.
};

struct run_result {
  run_state State = run_state::Expired;
  std::optional<kept_answer> Answer;
};

// Which not-repeatable requests this incarnation has started. Not thread-safe.
//
// Invariant: begin returns Start at most once per key.
class run_book {
public:
  // LargestBytes bounds the kept answers, not the keys.
  explicit run_book(std::size_t LargestBytes);

  run_result begin(const money::request_key &Key, time_ms Minted, time_ms Now);
  // Nothing was sent: the key may be started again.
  void undo(const money::request_key &Key);
  void finish(const money::request_key &Key, kept_answer Answer);
  void finishUnknown(const money::request_key &Key);
  std::size_t size() const { return Runs.size(); }

private:
  struct run {
    run_state State = run_state::Running;
    time_ms Minted = 0;
    std::optional<kept_answer> Answer;
  };

  void expire(time_ms Now);
  void evict();

  std::size_t LargestBytes;
  std::size_t Bytes = 0;
  std::map<money::request_key, run> Runs;
  std::deque<money::request_key> Order;    // Of the starts.
  std::deque<money::request_key> Answered; // Of the kept answers.
};

//---------------------------------------------------------------------------
// Whole answers
//---------------------------------------------------------------------------

enum class event_verdict {
  Pass,    // Belongs to the answer: pass it on.
  Last,    // The end marker of a whole answer.
  Repeat,  // Already passed on before a resumption: drop it.
  Foreign, // Of another answer or out of order: cut the stream.
};

// Checks the events of one streamed answer. Joins endpoint, stream id,
// request and position: an event passes only if all four continue what has
// been passed on so far.
class answer_checker {
public:
  explicit answer_checker(std::string RequestId);

  // The head of a first or resumed response. False if it belongs to another
  // request or, on resumption, to another stream or endpoint.
  bool onHead(std::string_view Endpoint, std::string_view EchoedRequestId,
              std::string_view StreamId);

  // One event. Position is its id counted from 0, -1 if the endpoint sends
  // none. Data is its payload.
  event_verdict onEvent(std::int64_t Position, std::string_view Data);

  bool isWhole() const { return Ended; }
  std::int64_t nextPosition() const { return Next; }
  std::string_view streamId() const { return StreamId; }
  std::int64_t promptTokens() const { return PromptTokens; }
  std::int64_t completionTokens() const { return CompletionTokens; }
  bool hasUsage() const { return HasUsage; }
  std::uint64_t contentEvents() const { return ContentEvents; }

private:
  void readUsage(std::string_view Data);

  std::string RequestId;
  std::string Endpoint;
  std::string StreamId;
  std::string AnswerId; // "id" of the first event.
  std::int64_t Next = 0;
  std::int64_t PromptTokens = 0;
  std::int64_t CompletionTokens = 0;
  std::uint64_t ContentEvents = 0;
  bool HasUsage = false;
  bool Started = false;
  bool Ended = false;
};

// True if the event only carries usage, which the daemon asked for itself.
bool isUsageOnly(std::string_view Data);

//---------------------------------------------------------------------------
// Cost
//---------------------------------------------------------------------------

// Upper bound of a completion's cost: no token is shorter than one byte, and
// each message may add a few tokens of its own.
money::amount costBound(std::size_t PromptBytes, std::size_t Messages,
                        std::int64_t MaxTokens, std::int64_t PromptPrice,
                        std::int64_t CompletionPrice);

money::amount costOf(std::int64_t PromptTokens, std::int64_t CompletionTokens,
                     std::int64_t PromptPrice, std::int64_t CompletionPrice);

} // namespace tamarack::calls
