// Prepaid tokens that one instance holds for the calls of others in its zone.
//
// Contents:
//   messages         token_request, token_settlement, pool_request,
//                    pool_response, encode, decodeRequest, decodeResponse
//   dependencies     token_source, pool_directory, pool_transport,
//                    pool_listener
//   holder side      pool_server
//   caller side      pooled_budget, an implementation of relay::token_budget
//
// A ceiling that is divided among many instances is too small for a single
// call. In such a zone an instance reserves tokens at the holder of the account
// before it sends a call, and settles them afterwards.
//
// Safety. A holder counts a reservation as its own spending before it answers,
// and until the reservation is settled. So nothing depends on who is the
// holder, on clocks, or on messages that arrive: two holders of one account
// only split it, a holder that was paused spends from its own ceiling, and what
// is lost with a message or with an instance stays counted as spent.
// Reservations have numbers that an incarnation never uses twice, so a request
// that arrives late or twice frees nothing; at most it strands tokens.
// Responses carry no number: they are matched by their connection, on which the
// holder answers each message once.
//
// Nothing here does I/O or is thread-safe; times are monotonic ms.
#pragma once

#include "tamarack/grants.hpp"
#include "tamarack/ports.hpp"
#include "tamarack/relay.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace tamarack::pools {

using relay::reserve_result;

//---------------------------------------------------------------------------
// Messages
//---------------------------------------------------------------------------

// Asks for the tokens of one call.
struct token_request {
  std::uint64_t Number = 0; // Of the reservation; unique to the incarnation.
  std::string Account;
  std::int64_t Bound = 0; // Tokens, 1 to grants::MaxTokens.
};

// Ends a reservation. Nothing is reserved under its number afterwards, also if
// it has not been requested yet.
struct token_settlement {
  std::uint64_t Number = 0;
  std::int64_t Used = 0; // Tokens, at most the bound. 0: the call did not run.
};

struct pool_request {
  std::string Instance; // That asks.
  std::uint64_t Incarnation = 0;
  std::vector<token_settlement> Settled; // Handled before Wanted.
  std::vector<token_request> Wanted;
  // Bytes of another part of the program that go along; not read here. Older
  // programs send none and ignore them.
  std::string Attachment = {};
};

struct pool_response {
  bool IsServing = false; // False: the instance takes no reservations now.
  std::vector<reserve_result> Results; // One for each of Wanted, in order.
  std::string Attachment = {};         // As in pool_request.
};

// Of one message.
inline constexpr std::size_t MaxMessageItems = 1'024;
// A longer attachment is dropped, the message is read.
inline constexpr std::size_t MaxAttachmentBytes = 4'096;

std::string encode(const pool_request &Request);
std::string encode(const pool_response &Response);
// Empty if Bytes are not a valid message: a number of tokens out of range, too
// many items or names that are too long.
std::optional<pool_request> decodeRequest(std::string_view Bytes);
std::optional<pool_response> decodeResponse(std::string_view Bytes);

//---------------------------------------------------------------------------
// Dependencies
//---------------------------------------------------------------------------

// The tokens that this instance holds itself.
class token_source {
public:
  virtual ~token_source() = default;
  // Requests more tokens if the result is Pending.
  virtual reserve_result reserve(std::string_view Account,
                                 std::int64_t Bound) = 0;
  // Reserves tokens only if they are held already.
  virtual bool reserveHeld(std::string_view Account, std::int64_t Bound) = 0;
  virtual void settle(std::string_view Account, std::int64_t Bound,
                      std::int64_t Used) = 0;
  // False for an account without a limit, or one that is not configured.
  virtual bool isLimited(std::string_view Account) const = 0;
};

// The other instances.
class pool_directory {
public:
  virtual ~pool_directory() = default;
  // Instances to ask for tokens of Account, best first, this one among them.
  virtual const std::vector<grants::pool_member> &
  candidatesFor(std::string_view Account) const = 0;
  // False once Instance has left, or if it is not known.
  virtual bool isActive(std::string_view Instance) const = 0;
};

class pool_transport {
public:
  virtual ~pool_transport() = default;
  // Sends a message. Reports the response, or that there is none within
  // pooled_budget::ResponseTimeoutMs, through pooled_budget::onResponse, later.
  virtual void send(const grants::pool_member &Holder,
                    const pool_request &Request) = 0;
};

// For logs, metrics and calls that wait.
class pool_listener {
public:
  virtual ~pool_listener() = default;
  virtual void onBudgetChanged() = 0; // Waiting calls should ask again.
  virtual void onRequestQueued() = 0; // sendDue should be called soon.
  // A holder does not respond, or takes no reservations, and is not asked for
  // AvoidMs.
  virtual void onHolderAvoided(std::string_view Holder, bool Responded,
                               int AvoidMs) = 0;
  // A holder answered the request of a call after WaitedMs.
  virtual void onAnswered(reserve_result Result, time_ms WaitedMs) = 0;
  // A holder has left, or too much waits for it: a settlement is dropped, and
  // its unused tokens stay counted as spent.
  virtual void onSettlementDropped(std::string_view Holder) = 0;
};

//---------------------------------------------------------------------------
// Holder side
//---------------------------------------------------------------------------

// Reserves tokens of this instance for others.
class pool_server {
public:
  // Settled numbers that were never requested, of one instance. The oldest are
  // forgotten; a request that arrives later than that strands its tokens.
  static constexpr std::size_t MaxEarlySettlements = 4'096;

  explicit pool_server(token_source &Tokens) : Tokens(Tokens) {}

  pool_response serve(const pool_request &Request);
  // From now on nothing new is reserved.
  void stop() { IsStopping = true; }
  std::size_t openReservations() const { return OpenReservations; }

private:
  struct reservation {
    std::string Account;
    std::int64_t Bound = 0;
  };

  // What one instance has reserved here.
  struct borrower {
    std::uint64_t Incarnation = 0;
    std::map<std::uint64_t, reservation> Open; // By number.
    std::set<std::uint64_t> SettledEarly;      // Before they were requested.
  };

  borrower &borrowerOf(const pool_request &Request);
  void settle(borrower &Borrower, const token_settlement &Settlement);
  reserve_result reserve(borrower &Borrower, const token_request &Request);

  token_source &Tokens;
  std::map<std::string, borrower, std::less<>> Borrowers; // By instance.
  std::size_t OpenReservations = 0;
  bool IsStopping = false;
};

//---------------------------------------------------------------------------
// Caller side
//---------------------------------------------------------------------------

// Reserves tokens of this instance if it holds them, otherwise at the holder of
// the account in this zone. If that can't tell, because it is out of reach or
// the store is, the next instance is asked, this one in its turn.
class pooled_budget final : public relay::token_budget {
public:
  static constexpr int ResponseTimeoutMs = 100;
  // Pauses before a holder that has requested tokens is asked again.
  static constexpr int FirstRetryMs = 15;
  static constexpr int MaxRetryMs = 40;
  // A holder that did not respond is avoided for this time, doubled each time.
  static constexpr int MinAvoidMs = 500;
  static constexpr int MaxAvoidMs = 8'000;
  // A failure that comes sooner is taken for a kept connection that had ended,
  // and the message is sent once more.
  static constexpr int FastFailureMs = 20;
  static constexpr std::size_t MaxUnsettled = 4'096; // For one holder.

  pooled_budget(std::string Instance, std::uint64_t Incarnation,
                token_source &Own, const pool_directory &Directory,
                pool_transport &Transport, pool_listener &Listener,
                const clock &Clock);

  // relay::token_budget
  reserve_result reserve(const relay::call &Call) override;
  bool settle(const relay::call &Call, std::int64_t Used) override;
  void withdraw(const relay::call &Call) override;

  // The result of the message in flight to Holder: empty if there was none.
  void onResponse(std::string_view Holder,
                  const std::optional<pool_response> &Response);
  // Sends what is due. Called after each event, and at nextTimer().
  void sendDue(time_ms Now);
  // When sendDue is due next, if nothing else happens.
  time_ms nextTimer() const;

  // Settlements that no active holder has confirmed yet.
  std::size_t unsettledCount() const;
  std::size_t waitingCount() const { return Waiting.size(); }

private:
  enum class wait_state {
    Queued, // Another instance is asked at RetryAt or later.
    Sent,
    Answered, // Result is final.
    Own,      // This instance is asked.
  };

  // A call without tokens.
  struct waiting_call {
    std::string Account;
    std::int64_t Bound = 0;
    grants::pool_member Holder; // Asked last.
    std::set<std::string, std::less<>> Tried;
    wait_state State = wait_state::Queued;
    reserve_result Result = reserve_result::Pending;
    bool IsWithdrawn = false; // Its caller has gone while it was Sent.
    time_ms Since = 0;
    time_ms RetryAt = 0;
    int RetryMs = FirstRetryMs;
  };

  // One other instance.
  struct holder_link {
    grants::pool_member Holder;
    std::vector<token_settlement> Unsettled; // Not confirmed, oldest first.
    // The message in flight.
    bool IsInFlight = false;
    std::vector<std::uint64_t> SentNumbers;
    std::size_t SentSettlements = 0; // The first ones of Unsettled.
    time_ms SentAt = 0;
    bool IsRepeated = false; // It was sent once before.
    // After failures.
    int Failures = 0; // In a row.
    time_ms AvoidUntil = 0;
    time_ms SettleAt = 0; // When Unsettled is sent without a request.
  };

  // Pause after the end of a call before its settlement is sent by itself.
  static constexpr int SettleDelayMs = 100;

  const grants::pool_member *
  nextCandidate(std::string_view Account,
                const std::set<std::string, std::less<>> &Tried) const;
  void askNext(waiting_call &Wait);
  reserve_result askOwn(waiting_call &Wait);
  reserve_result continueWait(const relay::call &Call);
  void queueSettlement(std::string_view Holder, token_settlement Settlement);
  void onResult(std::uint64_t Number, reserve_result Result);
  void onFailure(holder_link &Link, bool Responded);
  void avoid(holder_link &Link, bool Responded);
  void sendTo(holder_link &Link, std::vector<std::uint64_t> Numbers,
              time_ms Now);
  void dropInactive();

  std::string Instance;
  std::uint64_t Incarnation;
  token_source &Own;
  const pool_directory &Directory;
  pool_transport &Transport;
  pool_listener &Listener;
  const clock &Clock;
  std::map<std::uint64_t, waiting_call> Waiting;     // By number of the call.
  std::map<std::uint64_t, std::string> Reservations; // Holder, by number.
  std::map<std::string, holder_link, std::less<>> Links; // By instance.
};

} // namespace tamarack::pools
