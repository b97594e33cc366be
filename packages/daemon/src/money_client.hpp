// Reservations and bills of the requests that this daemon serves.
#pragma once

#include "ledger_stream.hpp"
#include "member_service.hpp"

#include "tamarack/calls.hpp"

namespace tamarack::daemon {

// The ledger streams of this daemon, made on first use. Thread-safe.
class ledger_set {
public:
  virtual ~ledger_set() = default;
  virtual ledger_stream &stream(std::uint32_t Stream) = 0;
};

// A reservation and who holds it.
struct held_reservation {
  std::string Budget;
  money::request_key Key;
  time_ms Minted = 0;
  money::reservation Reservation;
  money::incarnation_id Home = 0;
};

class money_client {
public:
  money_client(std::uint32_t Streams, money::incarnation_id Self,
               ledger_set &Ledgers, member_service &Members,
               fleet::peer_client &Peers);

  // Reserves at the budget's home, or at the next in rank if it is silent.
  // Throws calls::call_error BudgetExhausted or BudgetUnavailable.
  held_reservation reserve(std::string_view Budget,
                           const money::request_key &Key, time_ms Minted,
                           money::amount Amount);

  // Bills Actual and returns once the bill is kept twice. Moves the bill to
  // another grant if the first was closed. False: the bill could not be kept,
  // the answer must not be ended.
  bool settle(held_reservation &Held, money::amount Actual);

  // Frees a reservation; a lost message is made good by the home's upkeep.
  void release(const held_reservation &Held);

  // Claims the only run of Key and returns who won it. Throws
  // ClaimUnavailable or KeyExpired.
  money::runner_id claim(std::string_view Budget, const money::request_key &Key,
                         time_ms Minted, const money::runner_id &Runner);

private:
  fleet::peer_response ask(const fleet::member_row &Home,
                           const fleet::peer_request &Request, int TimeoutMs);
  bool settleOnce(const held_reservation &Held, money::amount Actual);

  std::uint32_t Streams;
  money::incarnation_id Self;
  ledger_set &Ledgers;
  member_service &Members;
  fleet::peer_client &Peers;
};

// Answers a peer's request on the local stream.
fleet::peer_response answerMoney(ledger_set &Ledgers, std::uint32_t Streams,
                                 const fleet::peer_request &Request);

} // namespace tamarack::daemon
