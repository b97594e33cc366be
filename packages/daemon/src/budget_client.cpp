// Reserves, bills and releases prepaid tokens at the home of each budget.
#include "budget_client.hpp"

namespace tamarack::daemon {

namespace {

// Longest waits at the home in one call.
constexpr int ReserveAttemptMs = 900; // For a grant.
constexpr int SettleWaitMs = 2000;    // For the witness.
constexpr int ClaimWaitMs = 4000;     // For the log.
// Added to the waits at the home for the network round trip.
constexpr int RoundTripAllowanceMs = 500;
constexpr int MaxReserveAttempts = 5;
constexpr int MaxClaimHomes = 3; // Daemons tried in order of rank.
constexpr int MaxSettleAttempts = 3;

// Passes a request to the ledger stream of its budget.
struct budget_request_handler {
  ledger_stream_provider &Ledgers;
  std::uint32_t StreamCount;

  ledger_stream &streamOf(std::string_view Budget) const {
    return Ledgers.getOrCreateStream(ledger::streamOf(Budget, StreamCount));
  }
  fleet::peer_response operator()(const fleet::reserve_request &Request) const {
    return streamOf(Request.Budget).reserve(Request);
  }
  fleet::peer_response operator()(const fleet::settle_request &Request) const {
    return fleet::settle_response{streamOf(Request.Budget).settle(Request)};
  }
  fleet::peer_response operator()(const fleet::release_request &Request) const {
    streamOf(Request.Budget).release(Request);
    return fleet::empty_response{};
  }
  fleet::peer_response operator()(const fleet::claim_request &Request) const {
    return streamOf(Request.Budget).claim(Request);
  }
  fleet::peer_response operator()(const fleet::witness_request &Request) const {
    if (Request.Stream >= StreamCount)
      return fleet::error_response{"unknown ledger stream"};
    return Ledgers.getOrCreateStream(Request.Stream)
        .handleWitnessRequest(Request);
  }
  fleet::peer_response operator()(const fleet::gossip_request &) const {
    return fleet::error_response{"gossip is not a ledger request"};
  }
};

} // namespace

fleet::peer_response handleBudgetRequest(ledger_stream_provider &Ledgers,
                                         std::uint32_t StreamCount,
                                         const fleet::peer_request &Request) {
  return std::visit(budget_request_handler{Ledgers, StreamCount}, Request);
}

budget_client::budget_client(std::uint32_t StreamCount,
                             ledger::incarnation_id SelfIncarnation,
                             ledger_stream_provider &Ledgers,
                             member_service &Members,
                             fleet::peer_client &PeerClient)
    : StreamCount(StreamCount), SelfIncarnation(SelfIncarnation),
      Ledgers(Ledgers), Members(Members), PeerClient(PeerClient) {}

fleet::peer_response budget_client::callHome(const fleet::member_row &Home,
                                             const fleet::peer_request &Request,
                                             int TimeoutMs) {
  if (Home.Incarnation == SelfIncarnation)
    return handleBudgetRequest(Ledgers, StreamCount, Request);
  std::optional<fleet::peer_response> Response =
      PeerClient.call(Home.PeerUrl, Request, TimeoutMs);
  if (!Response)
    return fleet::error_response{"peer did not respond"};
  return std::move(*Response);
}

budget_reservation budget_client::reserve(std::string_view Budget,
                                          const ledger::request_key &Key,
                                          time_ms KeyMintedAt,
                                          ledger::amount Amount) {
  const std::uint32_t Stream = ledger::streamOf(Budget, StreamCount);
  fleet::reserve_request Request;
  Request.Budget = std::string(Budget);
  Request.Key = Key;
  Request.Amount = Amount;
  Request.WaitMs = ReserveAttemptMs;
  Request.Requester = SelfIncarnation;
  for (int Attempt = 0; Attempt < MaxReserveAttempts; ++Attempt) {
    const fleet::member_row Home = Members.homeCandidates(Stream, 1).front();
    const fleet::peer_response Response =
        callHome(Home, Request, ReserveAttemptMs + RoundTripAllowanceMs);
    const auto *Reserved = std::get_if<fleet::reserve_response>(&Response);
    if (Reserved == nullptr) {
      // From now on homeCandidates returns the daemon next in rank.
      Members.markUnresponsive(Home.Incarnation);
      continue;
    }
    switch (Reserved->Refusal) {
    case money::refusal::None:
      return {Request.Budget, Key, KeyMintedAt, Reserved->Reservation,
              Home.Incarnation};
    case money::refusal::Exhausted:
      throw calls::call_error(calls::error_kind::BudgetExhausted);
    case money::refusal::Unavailable:
      throw calls::call_error(calls::error_kind::BudgetUnavailable);
    case money::refusal::Undecided:
      break;
    }
  }
  throw calls::call_error(calls::error_kind::BudgetUnavailable);
}

bool budget_client::trySettle(const budget_reservation &Held,
                              ledger::amount ActualTokens) {
  const std::optional<fleet::member_row> Home =
      Members.findMember(Held.HomeIncarnation);
  if (!Home)
    return false;
  fleet::settle_request Request;
  Request.Budget = Held.Budget;
  Request.Reservation = Held.Reservation;
  Request.Minted = Held.KeyMintedAt;
  Request.Actual = ActualTokens;
  Request.WaitMs = SettleWaitMs;
  const fleet::peer_response Response =
      callHome(*Home, Request, SettleWaitMs + RoundTripAllowanceMs);
  const auto *Settled = std::get_if<fleet::settle_response>(&Response);
  if (Settled == nullptr)
    Members.markUnresponsive(Held.HomeIncarnation);
  return Settled != nullptr && Settled->Replicated;
}

// Billing again on another grant is safe even if the first bill line was
// stored: the fold counts one bill line per request key.
bool budget_client::settle(budget_reservation &Held,
                           ledger::amount ActualTokens) {
  ActualTokens = std::min(ActualTokens, Held.Reservation.Amount);
  for (int Attempt = 0; Attempt < MaxSettleAttempts; ++Attempt) {
    if (trySettle(Held, ActualTokens))
      return true;
    try {
      Held = reserve(Held.Budget, Held.Key, Held.KeyMintedAt,
                     std::max<ledger::amount>(1, ActualTokens));
    } catch (const calls::call_error &) {
      return false;
    }
  }
  return false;
}

void budget_client::release(const budget_reservation &Held) {
  const std::optional<fleet::member_row> Home =
      Members.findMember(Held.HomeIncarnation);
  if (!Home)
    return;
  callHome(*Home, fleet::release_request{Held.Budget, Held.Reservation},
           RoundTripAllowanceMs);
}

ledger::executor_id budget_client::claimExecution(
    std::string_view Budget, const ledger::request_key &Key,
    time_ms KeyMintedAt, const ledger::executor_id &Executor) {
  const std::uint32_t Stream = ledger::streamOf(Budget, StreamCount);
  fleet::claim_request Request;
  Request.Budget = std::string(Budget);
  Request.Key = Key;
  Request.Minted = KeyMintedAt;
  Request.Executor = Executor;
  Request.WaitMs = ClaimWaitMs;
  for (const fleet::member_row &Home :
       Members.homeCandidates(Stream, MaxClaimHomes)) {
    const fleet::peer_response Response =
        callHome(Home, Request, ClaimWaitMs + RoundTripAllowanceMs);
    const auto *Claimed = std::get_if<fleet::claim_response>(&Response);
    if (Claimed == nullptr) {
      Members.markUnresponsive(Home.Incarnation);
      continue;
    }
    if (!Claimed->Decided)
      break;
    if (Claimed->Executor.Incarnation == 0)
      throw calls::call_error(calls::error_kind::KeyExpired);
    return Claimed->Executor;
  }
  throw calls::call_error(calls::error_kind::ClaimUnavailable);
}

} // namespace tamarack::daemon
