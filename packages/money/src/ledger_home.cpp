// The state of one daemon for one ledger stream.
//
// Sections:
//   requests
//   fold results
//   witness
//   log
//
// home_batch.cpp makes the batches.
#include "tamarack/money.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace tamarack::money {

namespace {

// Failing calls for so long make the log count as unavailable.
constexpr time_ms LogUnavailableAfterMs = 1500;
constexpr time_ms MaxWaitMs = 3000; // Of a waiting reservation.
// Time for other holders to return tokens to a budget that is short.
constexpr time_ms ReturnWaitMs = 1500;

} // namespace

ledger_home::ledger_home(incarnation_id Self, const grant_policy &Policy,
                         witness_store &WitnessStore)
    : Self(Self), Fold(*this), OwnGrants(Self, Policy),
      WitnessStore(WitnessStore) {}

//---------------------------------------------------------------------------
// Requests
//---------------------------------------------------------------------------

waiter_id ledger_home::reserve(std::string_view Budget, const request_key &Key,
                               amount Amount, time_ms Now) {
  CallTime = Now;
  const waiter_id Id = ++LastWaiter;
  const std::string Name(Budget);
  std::deque<waiter> &Queue = Waiters[Name];
  Queue.push_back({Id, Key, Amount, Now});
  ChangedBudgets.insert(Name);
  serveWaiters(Name, Now);
  refuseWaiters(Name, Now);
  return Id;
}

void ledger_home::cancel(waiter_id Waiter) {
  for (auto Item = Waiters.begin(); Item != Waiters.end(); ++Item) {
    const std::size_t Erased =
        std::erase_if(Item->second, [Waiter](const waiter &Candidate) {
          return Candidate.Id == Waiter;
        });
    if (Erased == 0)
      continue;
    if (Item->second.empty())
      Waiters.erase(Item);
    return;
  }
}

settlement ledger_home::settle(const reservation &Reservation,
                               time_ms CreatedAt, amount Actual) {
  const request_key &Key = Reservation.Key;
  if (Fold.isBilled(Key) || ReplicatedKeys.contains(Key)) {
    OwnGrants.release(Reservation);
    return settlement::Replicated;
  }
  // Another attempt of the request is being settled.
  if (PendingSettlements.contains(Key)) {
    OwnGrants.release(Reservation);
    return settlement::Pending;
  }
  if (OwnGrants.settle(Reservation, CreatedAt, Actual) ==
      settle_result::UnknownReservation) {
    ++Counters.Resettled;
    return settlement::Failed;
  }
  const incarnation_id Witness = OwnGrants.witnessOf(Reservation.Grant);
  if (Witness == 0) {
    ++Counters.Settled;
    ReplicatedKeys.insert(Key);
    return settlement::Replicated;
  }
  const bill_line Line{Key, CreatedAt, Actual};
  PendingSettlements[Key] = {Reservation.Grant, Line, false};
  WitnessUpdates[Witness].Lines.push_back({Reservation.Grant, Line});
  return settlement::Pending;
}

bool ledger_home::withdraw(const request_key &Key) {
  auto Found = PendingSettlements.find(Key);
  if (Found == PendingSettlements.end() || Found->second.Sent)
    return false;
  const grant_id Grant = Found->second.Grant;
  if (!OwnGrants.withdrawLine(Grant, Key))
    return false;
  std::erase_if(
      WitnessUpdates[OwnGrants.witnessOf(Grant)].Lines,
      [&Key](const witness_line &Line) { return Line.Line.Key == Key; });
  PendingSettlements.erase(Found);
  return true;
}

void ledger_home::release(const reservation &Reservation, time_ms Now) {
  CallTime = Now;
  OwnGrants.release(Reservation);
  for (auto Item = Waiters.begin(); Item != Waiters.end();) {
    const std::string Name = (Item++)->first;
    serveWaiters(Name, Now);
  }
}

void ledger_home::claim(const request_key &Key, time_ms CreatedAt,
                        const executor_id &Executor) {
  const executor_id Winner = Fold.claimWinner(Key);
  if (Winner.Incarnation != 0) {
    ClaimEvents.push_back({Key, Winner});
    return;
  }
  PendingClaims.insert(Key);
  SubmittedEntries.emplace_back(ledger::claim_entry{Key, CreatedAt, Executor});
}

std::vector<reserve_event> ledger_home::drainReserveEvents() {
  return std::exchange(ReserveEvents, {});
}

std::vector<settle_event> ledger_home::drainSettleEvents() {
  return std::exchange(SettleEvents, {});
}

std::vector<claim_event> ledger_home::drainClaimEvents() {
  return std::exchange(ClaimEvents, {});
}

void ledger_home::serveWaiters(const std::string &Budget, time_ms Now) {
  auto Queue = Waiters.find(Budget);
  if (Queue == Waiters.end())
    return;
  std::erase_if(Queue->second, [&](const waiter &Waiter) {
    const std::optional<reservation> Reservation =
        OwnGrants.reserve(Budget, Waiter.Key, Waiter.Amount, Now);
    if (!Reservation)
      return false;
    ++Counters.Reserved;
    ReserveEvents.push_back({Waiter.Id, refusal::None, *Reservation});
    return true;
  });
  if (Queue->second.empty())
    Waiters.erase(Queue);
}

// Refuses the waiting reservations that no grant can cover in time.
void ledger_home::refuseWaiters(const std::string &Budget, time_ms Now) {
  auto Queue = Waiters.find(Budget);
  if (Queue == Waiters.end() || (!CaughtUp && !LogUnavailable))
    return;
  std::erase_if(Queue->second, [&](const waiter &Waiter) {
    if (LogUnavailable) {
      refuseWaiter(Waiter, refusal::Unavailable);
      return true;
    }
    if (!mustRefuse(Budget, Waiter, Now))
      return false;
    const budget_state *State = Fold.findBudget(Budget);
    const amount Free = State == nullptr ? 0 : State->available();
    if (Free + returnableTokens(Budget) >= Waiter.Amount)
      ++Counters.FalseRefusals;
    refuseWaiter(Waiter, refusal::Exhausted);
    return true;
  });
  if (Queue->second.empty())
    Waiters.erase(Queue);
}

// Waits for returned tokens only if the grants of other holders could cover the
// amount. ReturnWaitMs counts from the start of the shortage, so reservations
// that arrive late in a shortage do not wait again.
bool ledger_home::mustRefuse(const std::string &Budget, const waiter &Waiter,
                             time_ms Now) const {
  const budget_state *State = Fold.findBudget(Budget);
  const amount Available = State == nullptr ? 0 : State->available();
  if (Available + returnableTokens(Budget) < Waiter.Amount)
    return true;
  if (Now - Waiter.WaitingSince >= MaxWaitMs)
    return true;
  auto Shortage = ShortageStart.find(Budget);
  auto LastRequest = LastGrantRequest.find(Budget);
  if (Shortage == ShortageStart.end() || LastRequest == LastGrantRequest.end())
    return false;
  const bool ReturnWaitOver = Now - Shortage->second >= ReturnWaitMs;
  const bool RequestedRecently = Now - LastRequest->second < ReturnWaitMs;
  return ReturnWaitOver && RequestedRecently && Available < Waiter.Amount;
}

void ledger_home::refuseWaiter(const waiter &Waiter, refusal Reason) {
  if (Reason == refusal::Exhausted)
    ++Counters.Exhausted;
  else
    ++Counters.Unavailable;
  ReserveEvents.push_back({Waiter.Id, Reason, {}});
}

// Unbilled tokens in the grants of all holders, own reservations excluded: an
// upper bound of the tokens that holders can return.
amount ledger_home::returnableTokens(std::string_view Budget) const {
  const budget_state *State = Fold.findBudget(Budget);
  if (State == nullptr)
    return 0;
  return State->Committed - State->Billed - OwnGrants.reserved(Budget) -
         OwnGrants.billedNotLogged(Budget);
}

//---------------------------------------------------------------------------
// Fold results
//---------------------------------------------------------------------------

void ledger_home::onGrantOpened(const grant_id &Grant,
                                const grant_state &State) {
  if (State.Witness == Self && Grant.Holder != Self)
    WitnessedGrants.insert(Grant);
  if (Grant.Holder != Self)
    return;
  ++Counters.Grants;
  OwnGrants.onOpened(Grant, State);
  ShortageStart.erase(State.Budget);
  ChangedBudgets.insert(State.Budget);
  if (LostWitnesses.contains(State.Witness))
    onWitnessRefused(Grant);
  if (State.Witness != 0)
    WitnessUpdates[State.Witness].OpenedGrants.push_back(Grant);
  serveWaiters(State.Budget, CallTime);
}

void ledger_home::onGrantVoided(const grant_id &Grant,
                                std::string_view Budget) {
  OwnGrants.recordShortage(Budget, CallTime);
  if (Grant.Holder == Self) {
    OwnGrants.onVoided(Grant);
    ShortageStart.try_emplace(std::string(Budget), CallTime);
    return;
  }
  BudgetsToReturn.insert(std::string(Budget));
}

void ledger_home::onGrantClosed(const grant_id &Grant,
                                const grant_state &State) {
  WitnessStore.onClosed(Grant);
  ClosingWitnessedGrants.erase(Grant);
  WitnessedGrants.erase(Grant);
  if (Grant.Holder != Self)
    return;
  OwnGrants.onClosed(Grant);
  ChangedBudgets.insert(State.Budget);
  std::vector<request_key> SettledKeys;
  for (const auto &[Key, Item] : PendingSettlements)
    if (Item.Grant == Grant)
      SettledKeys.push_back(Key);
  for (const request_key &Key : SettledKeys)
    finishSettlement(Key, Fold.isBilled(Key) ? settlement::Replicated
                                             : settlement::Failed);
  serveWaiters(State.Budget, CallTime);
}

void ledger_home::onTokensAvailable(std::string_view Budget) {
  const std::string Name(Budget);
  ShortageStart.erase(Name);
  if (OwnGrants.isInUse(Budget))
    ChangedBudgets.insert(Name);
}

void ledger_home::onGrantBilled(const grant_id &Grant,
                                const grant_state &State) {
  if (Grant.Holder == Self)
    OwnGrants.onBillsLogged(Grant, State);
}

void ledger_home::onClaimDecided(const request_key &Key,
                                 const executor_id &Executor) {
  if (PendingClaims.erase(Key) > 0)
    ClaimEvents.push_back({Key, Executor});
}

void ledger_home::finishSettlement(const request_key &Key, settlement State) {
  if (PendingSettlements.erase(Key) == 0)
    return;
  if (State == settlement::Replicated) {
    ++Counters.Settled;
    ReplicatedKeys.insert(Key);
  } else {
    ++Counters.Resettled;
  }
  SettleEvents.push_back({Key, State});
}

void ledger_home::finishLoggedSettlements() {
  std::vector<request_key> Logged;
  for (const auto &[Key, Item] : PendingSettlements)
    if (Item.Sent && Fold.isBilled(Key))
      Logged.push_back(Key);
  for (const request_key &Key : Logged)
    finishSettlement(Key, settlement::Replicated);
  std::erase_if(ReplicatedKeys,
                [this](const request_key &Key) { return Fold.isBilled(Key); });
}

//---------------------------------------------------------------------------
// Witness
//---------------------------------------------------------------------------

std::vector<witness_update> ledger_home::drainWitnessUpdates() {
  std::vector<witness_update> Result;
  for (auto &[Witness, Update] : WitnessUpdates) {
    if (Update.empty())
      continue;
    Update.Witness = Witness;
    for (const witness_line &Line : Update.Lines) {
      auto Found = PendingSettlements.find(Line.Line.Key);
      if (Found != PendingSettlements.end())
        Found->second.Sent = true;
    }
    Result.push_back(std::move(Update));
  }
  WitnessUpdates.clear();
  return Result;
}

void ledger_home::onWitnessAcknowledged(const witness_line &Line) {
  auto Found = PendingSettlements.find(Line.Line.Key);
  if (Found != PendingSettlements.end() && Found->second.Grant == Line.Grant)
    finishSettlement(Line.Line.Key, settlement::Replicated);
}

// A sealed grant gets no more bill lines, so pending lines may be settled on
// another grant. If the witness has stored one of them after all, the fold
// voids the second line of the key.
void ledger_home::onWitnessRefused(const grant_id &Grant) {
  OwnGrants.seal(Grant);
  CloseCheckDue = true;
  std::vector<request_key> Failed;
  for (const auto &[Key, Item] : PendingSettlements)
    if (Item.Grant == Grant)
      Failed.push_back(Key);
  for (const request_key &Key : Failed)
    finishSettlement(Key, settlement::Failed);
}

void ledger_home::onWitnessLost(incarnation_id Witness) {
  for (const grant_id &Grant : OwnGrants.grantsWitnessedBy(Witness))
    onWitnessRefused(Grant);
  WitnessUpdates.erase(Witness);
}

//---------------------------------------------------------------------------
// Log
//---------------------------------------------------------------------------

void ledger_home::onRecord(const log_record &Record, time_ms Now) {
  CallTime = Now;
  LogUnavailable = false;
  LogFailingSince = -1;
  Fold.apply(Record);
  if (OutstandingBatch &&
      Fold.lastBatchNumber(Self) >= OutstandingBatch->Number)
    onStored(OutstandingBatch->Number);
  finishLoggedSettlements();
}

void ledger_home::onCaughtUp(time_ms Now) {
  CallTime = Now;
  CaughtUp = true;
  LogUnavailable = false;
  LogFailingSince = -1;
  std::vector<std::string> BudgetNames;
  for (const auto &[Name, Queue] : Waiters)
    BudgetNames.push_back(Name);
  for (const std::string &Name : BudgetNames)
    refuseWaiters(Name, Now);
}

void ledger_home::onLogFailure(time_ms Now) {
  CallTime = Now;
  if (LogFailingSince < 0)
    LogFailingSince = Now;
  if (Now - LogFailingSince < LogUnavailableAfterMs)
    return;
  LogUnavailable = true;
  std::vector<std::string> BudgetNames;
  for (const auto &[Name, Queue] : Waiters)
    BudgetNames.push_back(Name);
  for (const std::string &Name : BudgetNames)
    refuseWaiters(Name, Now);
}

bool ledger_home::restore(const checkpoint_entry &Checkpoint) {
  assert(OwnGrants.openGrantCount() == 0 &&
         "a checkpoint must not replace a fold with own open grants");
  if (!Fold.restore(Checkpoint))
    return false;
  WitnessedGrants.clear();
  for (const auto &[Id, Grant] : Fold.grants())
    if (Grant.Witness == Self && Id.Holder != Self)
      WitnessedGrants.insert(Id);
  return true;
}

void ledger_home::onStored(std::uint64_t Number) {
  if (!OutstandingBatch || OutstandingBatch->Number != Number)
    return;
  for (const entry &Entry : OutstandingBatch->Entries) {
    const auto *Bill = std::get_if<bill_entry>(&Entry);
    if (Bill == nullptr)
      continue;
    const incarnation_id Witness = OwnGrants.witnessOf(Bill->Grant);
    if (Witness == 0)
      continue;
    for (const bill_line &Line : Bill->Lines)
      WitnessUpdates[Witness].LoggedLines.push_back({Bill->Grant, Line});
  }
  OutstandingBatch.reset();
}

bool ledger_home::isBatchExpired(time_ms Now) const {
  return OutstandingBatch &&
         Now - OutstandingBatch->CreatedAt > ledger::WriterWindowMs / 4;
}

void ledger_home::submit(entry Entry) {
  SubmittedEntries.push_back(std::move(Entry));
}

bool ledger_home::isIdle() const {
  return OwnGrants.openGrantCount() == 0 && Waiters.empty() &&
         SubmittedEntries.empty() && PendingSettlements.empty() &&
         !OutstandingBatch;
}

} // namespace tamarack::money
