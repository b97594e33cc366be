// Reserves, bills and releases prepaid tokens for the requests that this daemon
// serves, at the home of each budget's ledger stream.
#pragma once

#include "ledger_stream.hpp"
#include "member_service.hpp"

#include "tamarack/calls.hpp"

namespace tamarack::daemon {

// The ledger streams of this daemon, created on first use. Thread-safe.
class ledger_stream_provider {
public:
  virtual ~ledger_stream_provider() = default;
  virtual ledger_stream &getOrCreateStream(std::uint32_t Stream) = 0;
};

// A reservation of prepaid tokens and the daemon that holds its grant.
struct budget_reservation {
  std::string Budget;
  ledger::request_key Key; // Of the request.
  time_ms KeyMintedAt = 0; // Unix ms.
  money::reservation Reservation;
  ledger::incarnation_id HomeIncarnation = 0; // Made the reservation.
};

// Client of the daemons that are home of a budget, this one included.
// Thread-safe. Calls block.
class budget_client {
public:
  budget_client(std::uint32_t StreamCount,
                ledger::incarnation_id SelfIncarnation,
                ledger_stream_provider &Ledgers, member_service &Members,
                fleet::peer_client &PeerClient);

  // Reserves Amount at the home of the budget, or at the daemon next in rank if
  // the home does not respond. Throws calls::call_error BudgetExhausted or
  // BudgetUnavailable.
  budget_reservation reserve(std::string_view Budget,
                             const ledger::request_key &Key,
                             time_ms KeyMintedAt, ledger::amount Amount);

  // Bills ActualTokens, at most the reserved amount, and returns once the bill
  // line is replicated, stored by holder and witness. If the grant was closed,
  // reserves from another grant, bills there and updates Held. False: the bill
  // line could not be stored, so the response must not be completed.
  bool settle(budget_reservation &Held, ledger::amount ActualTokens);

  // Frees a reservation without a bill. If the message is lost, the home frees
  // the reservation once the home suspects this daemon.
  void release(const budget_reservation &Held);

  // Claims the only execution of Key for Executor and returns the incarnation
  // that won the claim. Throws ClaimUnavailable or KeyExpired.
  ledger::executor_id claimExecution(std::string_view Budget,
                                     const ledger::request_key &Key,
                                     time_ms KeyMintedAt,
                                     const ledger::executor_id &Executor);

private:
  // Handles the request locally if this daemon is Home. error_answer if there
  // was no response.
  fleet::peer_response callHome(const fleet::member_row &Home,
                                const fleet::peer_request &Request,
                                int TimeoutMs);
  // Bills at the holder of the reservation. False if the holder is unknown, did
  // not respond or could not store the bill line.
  bool trySettle(const budget_reservation &Held, ledger::amount ActualTokens);

  std::uint32_t StreamCount;
  ledger::incarnation_id SelfIncarnation;
  ledger_stream_provider &Ledgers;
  member_service &Members;
  fleet::peer_client &PeerClient;
};

// Handles a request of any daemon on the local ledger stream of its budget.
fleet::peer_response handleBudgetRequest(ledger_stream_provider &Ledgers,
                                         std::uint32_t StreamCount,
                                         const fleet::peer_request &Request);

} // namespace tamarack::daemon
