// Reservations and bills of the requests that this daemon serves.
#include "money_client.hpp"

namespace tamarack::daemon {

namespace {

constexpr int ReserveStepMs = 900; // At the home, for a grant, each time.
constexpr int ReserveSteps = 5;
constexpr int SettleWaitMs = 2000; // At the home, for the witness.
constexpr int ClaimWaitMs = 4000;  // At the home, for the log.
constexpr int LinkSlackMs = 500;   // On top, for the way there and back.
constexpr int HomesTried = 3;
constexpr int SettleTries = 3;

// Dispatches one request to the stream of its budget.
struct money_answerer {
  ledger_set &Ledgers;
  std::uint32_t Streams;

  ledger_stream &of(std::string_view Budget) const {
    return Ledgers.stream(money::streamOf(Budget, Streams));
  }
  fleet::peer_response operator()(const fleet::reserve_request &Request) const {
    return of(Request.Budget).reserve(Request);
  }
  fleet::peer_response operator()(const fleet::settle_request &Request) const {
    return fleet::settle_response{of(Request.Budget).settle(Request)};
  }
  fleet::peer_response operator()(const fleet::release_request &Request) const {
    of(Request.Budget).release(Request);
    return fleet::empty_response{};
  }
  fleet::peer_response operator()(const fleet::claim_request &Request) const {
    return of(Request.Budget).claim(Request);
  }
  fleet::peer_response operator()(const fleet::witness_request &Request) const {
    if (Request.Stream >= Streams)
      return fleet::error_response{"no such stream"};
    return Ledgers.stream(Request.Stream).witness(Request);
  }
  fleet::peer_response operator()(const fleet::gossip_request &) const {
    return fleet::error_response{"gossip is answered elsewhere"};
  }
};

} // namespace

fleet::peer_response answerMoney(ledger_set &Ledgers, std::uint32_t Streams,
                                 const fleet::peer_request &Request) {
  return std::visit(money_answerer{Ledgers, Streams}, Request);
}

money_client::money_client(std::uint32_t Streams, money::incarnation_id Self,
                           ledger_set &Ledgers, member_service &Members,
                           fleet::peer_client &Peers)
    : Streams(Streams), Self(Self), Ledgers(Ledgers), Members(Members),
      Peers(Peers) {}

fleet::peer_response money_client::ask(const fleet::member_row &Home,
                                       const fleet::peer_request &Request,
                                       int TimeoutMs) {
  if (Home.Incarnation == Self)
    return answerMoney(Ledgers, Streams, Request);
  std::optional<fleet::peer_response> Answer =
      Peers.call(Home.PeerUrl, Request, TimeoutMs);
  if (!Answer)
    return fleet::error_response{"no answer"};
  return std::move(*Answer);
}

held_reservation money_client::reserve(std::string_view Budget,
                                       const money::request_key &Key,
                                       time_ms Minted, money::amount Amount) {
  const std::uint32_t Stream = money::streamOf(Budget, Streams);
  fleet::reserve_request Request;
  Request.Budget = std::string(Budget);
  Request.Key = Key;
  Request.Amount = Amount;
  Request.WaitMs = ReserveStepMs;
  Request.Requester = Self;
  for (int Step = 0; Step < ReserveSteps; ++Step) {
    const fleet::member_row Home = Members.homes(Stream, 1).front();
    const fleet::peer_response Answer =
        ask(Home, Request, ReserveStepMs + LinkSlackMs);
    const auto *Reserved = std::get_if<fleet::reserve_response>(&Answer);
    if (Reserved == nullptr) {
      Members.noteSilent(Home.Incarnation); // Another is home from now on.
      continue;
    }
    switch (Reserved->Refusal) {
    case money::refusal::None:
      return {Request.Budget, Key, Minted, Reserved->Reservation,
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

bool money_client::settleOnce(const held_reservation &Held,
                              money::amount Actual) {
  const std::optional<fleet::member_row> Home = Members.find(Held.Home);
  if (!Home)
    return false;
  fleet::settle_request Request;
  Request.Budget = Held.Budget;
  Request.Reservation = Held.Reservation;
  Request.Minted = Held.Minted;
  Request.Actual = Actual;
  Request.WaitMs = SettleWaitMs;
  const fleet::peer_response Answer =
      ask(*Home, Request, SettleWaitMs + LinkSlackMs);
  const auto *Settled = std::get_if<fleet::settle_response>(&Answer);
  if (Settled == nullptr)
    Members.noteSilent(Held.Home);
  return Settled != nullptr && Settled->Replicated;
}

// Settling elsewhere is safe: the fold counts one bill line per key.
bool money_client::settle(held_reservation &Held, money::amount Actual) {
  Actual = std::min(Actual, Held.Reservation.Amount);
  for (int Try = 0; Try < SettleTries; ++Try) {
    if (settleOnce(Held, Actual))
      return true;
    try {
      Held = reserve(Held.Budget, Held.Key, Held.Minted,
                     std::max<money::amount>(1, Actual));
    } catch (const calls::call_error &) {
      return false;
    }
  }
  return false;
}

void money_client::release(const held_reservation &Held) {
  const std::optional<fleet::member_row> Home = Members.find(Held.Home);
  if (!Home)
    return;
  ask(*Home, fleet::release_request{Held.Budget, Held.Reservation},
      LinkSlackMs);
}

money::runner_id money_client::claim(std::string_view Budget,
                                     const money::request_key &Key,
                                     time_ms Minted,
                                     const money::runner_id &Runner) {
  const std::uint32_t Stream = money::streamOf(Budget, Streams);
  fleet::claim_request Request;
  Request.Budget = std::string(Budget);
  Request.Key = Key;
  Request.Minted = Minted;
  Request.Executor = Runner;
  Request.WaitMs = ClaimWaitMs;
  for (const fleet::member_row &Home : Members.homes(Stream, HomesTried)) {
    const fleet::peer_response Answer =
        ask(Home, Request, ClaimWaitMs + LinkSlackMs);
    const auto *Claimed = std::get_if<fleet::claim_response>(&Answer);
    if (Claimed == nullptr) {
      Members.noteSilent(Home.Incarnation);
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
