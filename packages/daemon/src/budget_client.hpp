// Reservations and bills of the requests that this daemon serves.
#pragma once

#include "ledger_stream.hpp"
#include "member_service.hpp"

#include "tamarack/calls.hpp"

namespace tamarack::daemon {

// The ledger streams of this daemon, made on first use. Thread-safe.
class ledger_stream_provider {
public:
  virtual ~ledger_stream_provider() = default;
  virtual ledger_stream &getOrCreateStream(std::uint32_t Stream) = 0;
};

// A reservation and who holds it.
struct budget_reservation {
  std::string Budget;
  money::request_key Key;
  time_ms KeyMintedAt = 0;
  money::reservation Reservation;
  money::incarnation_id HomeIncarnation = 0;
};

class budget_client {
public:
  budget_client(std::uint32_t StreamCount,
                money::incarnation_id SelfIncarnation,
                ledger_stream_provider &Ledgers, member_service &Members,
                fleet::peer_link &PeerClient);

  // Reserves at the budget's home, or at the next in rank if it is silent.
  // Throws calls::call_error BudgetExhausted or BudgetUnavailable.
  budget_reservation reserve(std::string_view Budget,
                             const money::request_key &Key, time_ms KeyMintedAt,
                             money::amount Amount);

  // Bills Actual and returns once the bill is kept twice. Moves the bill to
  // another grant if the first was closed. False: the bill could not be kept,
  // the answer must not be ended.
  bool settle(budget_reservation &Held, money::amount ActualTokens);

  // Frees a reservation; a lost message is made good by the home's upkeep.
  void release(const budget_reservation &Held);

  // Claims the only run of Key and returns who won it. Throws
  // ClaimUnavailable or KeyExpired.
  money::runner_id claimExecution(std::string_view Budget,
                                  const money::request_key &Key,
                                  time_ms KeyMintedAt,
                                  const money::runner_id &Executor);

private:
  fleet::peer_answer callHome(const fleet::member_row &Home,
                              const fleet::peer_request &Request,
                              int TimeoutMs);
  bool trySettle(const budget_reservation &Held, money::amount ActualTokens);

  std::uint32_t StreamCount;
  money::incarnation_id SelfIncarnation;
  ledger_stream_provider &Ledgers;
  member_service &Members;
  fleet::peer_link &PeerClient;
};

// Answers a peer's request on the local stream.
fleet::peer_answer handleBudgetRequest(ledger_stream_provider &Ledgers,
                                       std::uint32_t StreamCount,
                                       const fleet::peer_request &Request);

} // namespace tamarack::daemon
