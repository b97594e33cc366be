// Makes the batches that one daemon appends to a ledger stream.
#include "tamarack/money.hpp"

#include <utility>

namespace tamarack::money {

namespace {

constexpr time_ms BillFlushIntervalMs = 2000;  // Max delay of a bill line.
constexpr time_ms CloseCheckIntervalMs = 1000; // Between checks for closes.
// Between grant requests for a budget that is short of tokens.
constexpr time_ms GrantRequestIntervalMs = 400;
// Age at which a grant is retired. The fold remembers all keys that are younger
// than the oldest open grant.
constexpr time_ms GrantRetireAgeMs = ledger::KeyWindowMs / 2;

} // namespace

std::optional<ledger_batch> ledger_home::nextBatch(const home_view &View,
                                                   time_ms Now) {
  CallTime = Now;
  updateLostWitnesses(View);
  if (OutstandingBatch)
    return OutstandingBatch;
  std::vector<entry> Entries = std::exchange(SubmittedEntries, {});
  const bool LogUsable = CaughtUp && !LogUnavailable;
  if (LogUsable) {
    addWitnessCloses(View, Entries);
    addReturns(View, Now, Entries);
    if (!View.Leaving)
      addGrantRequests(View, Now, Entries);
  }
  addBills(Now, !Entries.empty() || View.Leaving, Entries);
  if (LogUsable)
    addCloses(View, Now, Entries);
  if (Entries.empty())
    return std::nullopt;
  markLinesSent(Entries);
  OutstandingBatch =
      ledger_batch{Self, ++LastBatchNumber, Now, std::move(Entries)};
  ++Counters.Batches;
  return OutstandingBatch;
}

// Seals the grants of each suspected witness once. Grants with a suspected
// witness that open later are sealed by onGrantOpened.
void ledger_home::updateLostWitnesses(const home_view &View) {
  for (incarnation_id Suspect : View.Suspected)
    if (LostWitnesses.insert(Suspect).second)
      onWitnessLost(Suspect);
  std::erase_if(LostWitnesses, [&View](incarnation_id Lost) {
    return !View.Suspected.contains(Lost);
  });
}

void ledger_home::addWitnessCloses(const home_view &View,
                                   std::vector<entry> &Entries) {
  if (View.Suspected.empty())
    return;
  for (const grant_id &Id : WitnessedGrants)
    if (View.Suspected.contains(Id.Holder) &&
        ClosingWitnessedGrants.insert(Id).second)
      Entries.emplace_back(WitnessStore.seal(Id, CallTime));
}

// Checks all grants at intervals, or at once if a grant was sealed or this
// daemon closes all its grants.
void ledger_home::addCloses(const home_view &View, time_ms Now,
                            std::vector<entry> &Entries) {
  const bool CloseAll = View.Leaving || View.NotHome;
  if (!CloseAll && !CloseCheckDue &&
      Now - LastCloseCheck < CloseCheckIntervalMs)
    return;
  LastCloseCheck = Now;
  CloseCheckDue = false;
  OwnGrants.retireOpenedBefore(Now - GrantRetireAgeMs);
  for (close_entry &Close : OwnGrants.drainCloses(CloseAll))
    Entries.emplace_back(std::move(Close));
}

// Returns precede grant requests in a batch, so that a request can be granted
// the tokens that its own holder has just returned.
void ledger_home::addReturns(const home_view &View, time_ms Now,
                             std::vector<entry> &Entries) {
  std::set<std::string, std::less<>> BudgetNames =
      std::exchange(BudgetsToReturn, {});
  for (const auto &[Name, Queue] : Waiters)
    BudgetNames.insert(Name);
  for (const std::string &Budget : BudgetNames) {
    const budget_state *State = Fold.findBudget(Budget);
    if (State == nullptr)
      continue;
    for (return_entry &Return : OwnGrants.returnIdleTokens(
             Budget, waitingDemand(Budget), *State, View.HolderCount, Now))
      Entries.emplace_back(Return);
  }
}

waiting_demand ledger_home::waitingDemand(const std::string &Budget) const {
  waiting_demand Waiting;
  auto Queue = Waiters.find(Budget);
  if (Queue == Waiters.end())
    return Waiting;
  Waiting.Next = Queue->second.front().Amount;
  for (const waiter &Waiter : Queue->second)
    Waiting.Total += Waiter.Amount;
  return Waiting;
}

void ledger_home::addGrantRequests(const home_view &View, time_ms Now,
                                   std::vector<entry> &Entries) {
  std::set<std::string, std::less<>> BudgetNames =
      std::exchange(ChangedBudgets, {});
  for (const auto &[Name, Queue] : Waiters)
    BudgetNames.insert(Name);
  for (const std::string &Budget : BudgetNames) {
    const budget_state *State = Fold.findBudget(Budget);
    refuseWaiters(Budget, Now);
    if (State == nullptr)
      continue;
    const waiting_demand Waiting = waitingDemand(Budget);
    auto Shortage = ShortageStart.find(Budget);
    const bool RequestedRecently =
        Shortage != ShortageStart.end() &&
        Now - LastGrantRequest[Budget] < GrantRequestIntervalMs;
    const bool NothingWaiting =
        Waiting.Total == 0 && Shortage != ShortageStart.end();
    if (RequestedRecently || NothingWaiting)
      continue;
    std::optional<grant_entry> Request = OwnGrants.makeGrantRequest(
        Budget, Waiting, *State, View.Witness, View.HolderCount, Now);
    if (!Request)
      continue;
    LastGrantRequest[Budget] = Now;
    Entries.emplace_back(std::move(*Request));
  }
}

void ledger_home::addBills(time_ms Now, bool Immediately,
                           std::vector<entry> &Entries) {
  if (!Immediately && Now - LastBillFlush < BillFlushIntervalMs)
    return;
  LastBillFlush = Now;
  for (bill_entry &Bill : OwnGrants.drainBills())
    Entries.emplace_back(std::move(Bill));
}

// Marks the settlements whose bill lines are in a batch: they cannot be
// withdrawn any more.
void ledger_home::markLinesSent(std::span<const entry> Entries) {
  for (const entry &Entry : Entries) {
    const std::vector<bill_line> *Lines = nullptr;
    if (const auto *Bill = std::get_if<bill_entry>(&Entry))
      Lines = &Bill->Lines;
    if (const auto *Close = std::get_if<close_entry>(&Entry))
      Lines = &Close->Lines;
    if (Lines == nullptr)
      continue;
    for (const bill_line &Line : *Lines) {
      auto Found = PendingSettlements.find(Line.Key);
      if (Found != PendingSettlements.end())
        Found->second.Sent = true;
    }
  }
}

} // namespace tamarack::money
