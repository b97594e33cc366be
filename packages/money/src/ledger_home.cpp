// One daemon's part in one ledger stream.
//
// Sections:
//   callers of requests
//   fold results
//   witness
//   log
//
// What goes into a batch is in home_batch.cpp.
#include "tamarack/money.hpp"

#include <algorithm>

namespace tamarack::money {

namespace {

constexpr time_ms LogAwayMs = 1500;     // Of failures before refusals.
constexpr time_ms LongestWaitMs = 3000; // Of any waiting reservation.
constexpr time_ms RecallWaitMs = 1500;  // For others to hand money back.

} // namespace

ledger_home::ledger_home(incarnation_id Self, const grant_policy &Policy,
                         witness_store &Witnessed)
    : Self(Self), Fold(*this), Book(Self, Policy), Witnessed(Witnessed) {}

//---------------------------------------------------------------------------
// Callers of requests
//---------------------------------------------------------------------------

waiter_id ledger_home::reserve(std::string_view Budget, const request_key &Key,
                               amount Amount, time_ms Now) {
  Time = Now;
  const waiter_id Id = ++LastWaiter;
  const std::string Name(Budget);
  std::deque<waiter> &Queue = Waiters[Name];
  Queue.push_back({Id, Key, Amount, Now});
  Touched.insert(Name);
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
  if (Fold.isBilled(Key) || KeptKeys.contains(Key)) {
    Book.release(Reservation);
    return settlement::Replicated;
  }
  if (Settling.contains(Key)) { // Another attempt of the same request.
    Book.release(Reservation);
    return settlement::Pending;
  }
  if (Book.settle(Reservation, CreatedAt, Actual) ==
      settle_result::UnknownReservation) {
    ++Counters.Resettled;
    return settlement::Failed;
  }
  const incarnation_id Witness = Book.witnessOf(Reservation.Grant);
  if (Witness == 0) {
    ++Counters.Settled;
    KeptKeys.insert(Key);
    return settlement::Replicated;
  }
  const bill_line Line{Key, CreatedAt, Actual};
  Settling[Key] = {Reservation.Grant, Line, false};
  Updates[Witness].Lines.push_back({Reservation.Grant, Line});
  return settlement::Pending;
}

bool ledger_home::withdraw(const request_key &Key) {
  auto Found = Settling.find(Key);
  if (Found == Settling.end() || Found->second.Sent)
    return false;
  const grant_id Grant = Found->second.Grant;
  if (!Book.withdrawLine(Grant, Key))
    return false;
  std::erase_if(
      Updates[Book.witnessOf(Grant)].Lines,
      [&Key](const witness_line &Line) { return Line.Line.Key == Key; });
  Settling.erase(Found);
  return true;
}

void ledger_home::release(const reservation &Reservation, time_ms Now) {
  Time = Now;
  Book.release(Reservation);
  for (auto Item = Waiters.begin(); Item != Waiters.end();) {
    const std::string Name = (Item++)->first;
    serveWaiters(Name, Now);
  }
}

void ledger_home::claim(const request_key &Key, time_ms CreatedAt,
                        const executor_id &Executor) {
  const executor_id Winner = Fold.claimedBy(Key);
  if (Winner.Incarnation != 0) {
    ClaimEvents.push_back({Key, Winner});
    return;
  }
  Claiming.insert(Key);
  Submitted.emplace_back(claim_entry{Key, CreatedAt, Executor});
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
        Book.reserve(Budget, Waiter.Key, Waiter.Amount, Now);
    if (!Reservation)
      return false;
    ++Counters.Reserved;
    ReserveEvents.push_back({Waiter.Id, refusal::None, *Reservation});
    return true;
  });
  if (Queue->second.empty())
    Waiters.erase(Queue);
}

// Refuses what no grant in reach can cover.
void ledger_home::refuseWaiters(const std::string &Budget, time_ms Now) {
  auto Queue = Waiters.find(Budget);
  if (Queue == Waiters.end() || (!CaughtUp && !LogAway))
    return;
  std::erase_if(Queue->second, [&](const waiter &Waiter) {
    if (LogAway) {
      refuse(Waiter, refusal::Unavailable);
      return true;
    }
    if (!isHopeless(Budget, Waiter, Now))
      return false;
    const budget_state *State = Fold.findBudget(Budget);
    const amount Free = State == nullptr ? 0 : State->available();
    if (Free + recallable(Budget) >= Waiter.Amount)
      ++Counters.FalseRefusals;
    refuse(Waiter, refusal::Exhausted);
    return true;
  });
  if (Queue->second.empty())
    Waiters.erase(Queue);
}

// Waits for recalled money only if other holders' grants could cover the
// amount, and only once for all requests that come during a shortage.
bool ledger_home::isHopeless(const std::string &Budget, const waiter &Waiter,
                             time_ms Now) const {
  const budget_state *State = Fold.findBudget(Budget);
  const amount Available = State == nullptr ? 0 : State->available();
  if (Available + recallable(Budget) < Waiter.Amount)
    return true;
  if (Now - Waiter.Since >= LongestWaitMs)
    return true;
  auto Short = ShortSince.find(Budget);
  auto Asked = LastAsk.find(Budget);
  if (Short == ShortSince.end() || Asked == LastAsk.end())
    return false;
  const bool Waited = Now - Short->second >= RecallWaitMs;
  const bool AskedLately = Now - Asked->second < RecallWaitMs;
  return Waited && AskedLately && Available < Waiter.Amount;
}

void ledger_home::refuse(const waiter &Waiter, refusal Reason) {
  if (Reason == refusal::Exhausted)
    ++Counters.Exhausted;
  else
    ++Counters.Unavailable;
  ReserveEvents.push_back({Waiter.Id, Reason, {}});
}

// Unbilled money in the grants of all holders, own reservations excluded: an
// upper bound of what a recall can bring in.
amount ledger_home::recallable(std::string_view Budget) const {
  const budget_state *State = Fold.findBudget(Budget);
  if (State == nullptr)
    return 0;
  return State->Committed - State->Billed - Book.reserved(Budget) -
         Book.billedNotLogged(Budget);
}

//---------------------------------------------------------------------------
// Fold results
//---------------------------------------------------------------------------

void ledger_home::onGrantOpened(const grant_id &Grant,
                                const grant_state &State) {
  if (State.Witness == Self && Grant.Holder != Self)
    WitnessedOpen.insert(Grant);
  if (Grant.Holder != Self)
    return;
  ++Counters.Grants;
  Book.onOpened(Grant, State);
  ShortSince.erase(State.Budget);
  Touched.insert(State.Budget);
  if (LostWitnesses.contains(State.Witness))
    onWitnessRefused(Grant);
  if (State.Witness != 0)
    Updates[State.Witness].OpenedGrants.push_back(Grant);
  serveWaiters(State.Budget, Time);
}

void ledger_home::onGrantVoided(const grant_id &Grant,
                                std::string_view Budget) {
  Book.recordShortage(Budget, Time);
  if (Grant.Holder == Self) {
    Book.onVoided(Grant);
    ShortSince.try_emplace(std::string(Budget), Time);
    return;
  }
  Recalled.insert(std::string(Budget));
}

void ledger_home::onGrantClosed(const grant_id &Grant,
                                const grant_state &State) {
  Witnessed.onClosed(Grant);
  Closing.erase(Grant);
  WitnessedOpen.erase(Grant);
  if (Grant.Holder != Self)
    return;
  Book.onClosed(Grant);
  Touched.insert(State.Budget);
  std::vector<request_key> Ended;
  for (const auto &[Key, Item] : Settling)
    if (Item.Grant == Grant)
      Ended.push_back(Key);
  for (const request_key &Key : Ended)
    finish(Key,
           Fold.isBilled(Key) ? settlement::Replicated : settlement::Failed);
  serveWaiters(State.Budget, Time);
}

void ledger_home::onTokensAvailable(std::string_view Budget) {
  const std::string Name(Budget);
  ShortSince.erase(Name);
  if (Book.isInUse(Budget))
    Touched.insert(Name);
}

void ledger_home::onGrantBilled(const grant_id &Grant,
                                const grant_state &State) {
  if (Grant.Holder == Self)
    Book.onBillsLogged(Grant, State);
}

void ledger_home::onClaimDecided(const request_key &Key,
                                 const executor_id &Executor) {
  if (Claiming.erase(Key) > 0)
    ClaimEvents.push_back({Key, Executor});
}

void ledger_home::finish(const request_key &Key, settlement State) {
  if (Settling.erase(Key) == 0)
    return;
  if (State == settlement::Replicated) {
    ++Counters.Settled;
    KeptKeys.insert(Key);
  } else {
    ++Counters.Resettled;
  }
  SettleEvents.push_back({Key, State});
}

void ledger_home::finishRecorded() {
  std::vector<request_key> Recorded;
  for (const auto &[Key, Item] : Settling)
    if (Item.Sent && Fold.isBilled(Key))
      Recorded.push_back(Key);
  for (const request_key &Key : Recorded)
    finish(Key, settlement::Replicated);
  std::erase_if(KeptKeys,
                [this](const request_key &Key) { return Fold.isBilled(Key); });
}

//---------------------------------------------------------------------------
// Witness
//---------------------------------------------------------------------------

std::vector<witness_update> ledger_home::drainWitnessUpdates() {
  std::vector<witness_update> Result;
  for (auto &[Witness, Update] : Updates) {
    if (Update.empty())
      continue;
    Update.Witness = Witness;
    for (const witness_line &Line : Update.Lines) {
      auto Found = Settling.find(Line.Line.Key);
      if (Found != Settling.end())
        Found->second.Sent = true;
    }
    Result.push_back(std::move(Update));
  }
  Updates.clear();
  return Result;
}

void ledger_home::onWitnessAcknowledged(const witness_line &Line) {
  auto Found = Settling.find(Line.Line.Key);
  if (Found != Settling.end() && Found->second.Grant == Line.Grant)
    finish(Line.Line.Key, settlement::Replicated);
}

// Whatever the witness holds of this grant is final, so a pending line may be
// settled elsewhere: a second line of its key is void.
void ledger_home::onWitnessRefused(const grant_id &Grant) {
  Book.seal(Grant);
  CloseSoon = true;
  std::vector<request_key> Failed;
  for (const auto &[Key, Item] : Settling)
    if (Item.Grant == Grant)
      Failed.push_back(Key);
  for (const request_key &Key : Failed)
    finish(Key, settlement::Failed);
}

void ledger_home::onWitnessLost(incarnation_id Witness) {
  for (const grant_id &Grant : Book.grantsWitnessedBy(Witness))
    onWitnessRefused(Grant);
  Updates.erase(Witness);
}

//---------------------------------------------------------------------------
// Log
//---------------------------------------------------------------------------

void ledger_home::onRecord(const log_record &Record, time_ms Now) {
  Time = Now;
  LogAway = false;
  FailingSince = -1;
  Fold.apply(Record);
  if (Outstanding && Fold.lastBatchNumber(Self) >= Outstanding->Number)
    onStored(Outstanding->Number);
  finishRecorded();
}

void ledger_home::onCaughtUp(time_ms Now) {
  Time = Now;
  CaughtUp = true;
  LogAway = false;
  FailingSince = -1;
  std::vector<std::string> Names;
  for (const auto &[Name, Queue] : Waiters)
    Names.push_back(Name);
  for (const std::string &Name : Names)
    refuseWaiters(Name, Now);
}

void ledger_home::onLogFailure(time_ms Now) {
  Time = Now;
  if (FailingSince < 0)
    FailingSince = Now;
  if (Now - FailingSince < LogAwayMs)
    return;
  LogAway = true;
  std::vector<std::string> Names;
  for (const auto &[Name, Queue] : Waiters)
    Names.push_back(Name);
  for (const std::string &Name : Names)
    refuseWaiters(Name, Now);
}

bool ledger_home::restore(const checkpoint_entry &Checkpoint) {
  assert(Book.openGrantCount() == 0 &&
         "a checkpoint must not replace a fold with own open grants");
  if (!Fold.restore(Checkpoint))
    return false;
  WitnessedOpen.clear();
  for (const auto &[Id, Grant] : Fold.grants())
    if (Grant.Witness == Self && Id.Holder != Self)
      WitnessedOpen.insert(Id);
  return true;
}

void ledger_home::onStored(std::uint64_t Number) {
  if (!Outstanding || Outstanding->Number != Number)
    return;
  for (const entry &Entry : Outstanding->Entries) {
    const auto *Bill = std::get_if<bill_entry>(&Entry);
    if (Bill == nullptr)
      continue;
    const incarnation_id Witness = Book.witnessOf(Bill->Grant);
    if (Witness == 0)
      continue;
    for (const bill_line &Line : Bill->Lines)
      Updates[Witness].LoggedLines.push_back({Bill->Grant, Line});
  }
  Outstanding.reset();
}

bool ledger_home::isBatchExpired(time_ms Now) const {
  return Outstanding && Now - Outstanding->CreatedAt > WriterWindowMs / 4;
}

void ledger_home::submit(entry Entry) { Submitted.push_back(std::move(Entry)); }

bool ledger_home::isIdle() const {
  return Book.openGrantCount() == 0 && Waiters.empty() && Submitted.empty() &&
         Settling.empty() && !Outstanding;
}

std::optional<checkpoint_entry>
findCheckpoint(append_log &Log, std::string_view Stream, std::uint64_t First) {
  std::uint64_t From = First;
  for (;;) {
    const log_page Page = Log.read(Stream, From, 0);
    for (const log_record &Record : Page.Records) {
      From = Record.Offset + 1;
      const std::optional<ledger_batch> Batch = decodeBatch(Record.Body);
      if (!Batch)
        continue;
      for (const entry &Entry : Batch->Entries) {
        const auto *Checkpoint = std::get_if<checkpoint_entry>(&Entry);
        if (Checkpoint != nullptr && Checkpoint->NextOffset >= Page.First)
          return *Checkpoint;
      }
    }
    if (Page.Trimmed)
      From = Page.First;
    else if (Page.Records.empty())
      return std::nullopt;
  }
}

} // namespace tamarack::money
