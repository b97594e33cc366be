// What one daemon appends to a ledger stream, and when.
#include "tamarack/money.hpp"

namespace tamarack::money {

namespace {

constexpr time_ms FlushMs = 2000;             // Longest wait of a bill line.
constexpr time_ms UpkeepMs = 1000;            // Between looks at all grants.
constexpr time_ms AskAgainMs = 400;           // Between requests while short.
constexpr time_ms RotateMs = KeyWindowMs / 2; // Age at which grants retire.

} // namespace

std::optional<ledger_batch> ledger_home::nextBatch(const home_view &View,
                                                   time_ms Now) {
  Time = Now;
  noteSuspects(View);
  if (Outstanding)
    return Outstanding;
  std::vector<entry> Entries = std::exchange(Submitted, {});
  const bool LogUsable = CaughtUp && !LogAway;
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
  noteSent(Entries);
  Outstanding = ledger_batch{Self, ++LastBatch, Now, std::move(Entries)};
  ++Counters.Batches;
  return Outstanding;
}

// Each suspected witness is dealt with once; a grant that opens later with it
// is sealed on opening.
void ledger_home::noteSuspects(const home_view &View) {
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
  for (const grant_id &Id : WitnessedOpen)
    if (View.Suspected.contains(Id.Holder) && Closing.insert(Id).second)
      Entries.emplace_back(Witnessed.seal(Id, Time));
}

// Looks at all grants only now and then, unless there is a reason.
void ledger_home::addCloses(const home_view &View, time_ms Now,
                            std::vector<entry> &Entries) {
  const bool All = View.Leaving || View.NotHome;
  if (!All && !CloseSoon && Now - LastUpkeep < UpkeepMs)
    return;
  LastUpkeep = Now;
  CloseSoon = false;
  Book.retireOpenedBefore(Now - RotateMs);
  for (close_entry &Close : Book.drainCloses(All))
    Entries.emplace_back(std::move(Close));
}

// Returns go before requests in a batch, so that a request may get what its
// own holder has just returned.
void ledger_home::addReturns(const home_view &View, time_ms Now,
                             std::vector<entry> &Entries) {
  std::set<std::string, std::less<>> Names = std::exchange(Recalled, {});
  for (const auto &[Name, Queue] : Waiters)
    Names.insert(Name);
  for (const std::string &Budget : Names) {
    const budget_state *State = Fold.findBudget(Budget);
    if (State == nullptr)
      continue;
    for (return_entry &Return : Book.returnIdleTokens(
             Budget, needOf(Budget), *State, View.HolderCount, Now))
      Entries.emplace_back(Return);
  }
}

waiting_demand ledger_home::needOf(const std::string &Budget) const {
  waiting_demand Need;
  auto Queue = Waiters.find(Budget);
  if (Queue == Waiters.end())
    return Need;
  Need.Next = Queue->second.front().Amount;
  for (const waiter &Waiter : Queue->second)
    Need.Total += Waiter.Amount;
  return Need;
}

void ledger_home::addGrantRequests(const home_view &View, time_ms Now,
                                   std::vector<entry> &Entries) {
  std::set<std::string, std::less<>> Names = std::exchange(Touched, {});
  for (const auto &[Name, Queue] : Waiters)
    Names.insert(Name);
  for (const std::string &Budget : Names) {
    const budget_state *State = Fold.findBudget(Budget);
    refuseWaiters(Budget, Now);
    if (State == nullptr)
      continue;
    const waiting_demand Need = needOf(Budget);
    auto Short = ShortSince.find(Budget);
    const bool AskedLately =
        Short != ShortSince.end() && Now - LastAsk[Budget] < AskAgainMs;
    const bool NothingWaits = Need.Total == 0 && Short != ShortSince.end();
    if (AskedLately || NothingWaits)
      continue;
    std::optional<grant_entry> Request = Book.makeGrantRequest(
        Budget, Need, *State, View.Witness, View.HolderCount, Now);
    if (!Request)
      continue;
    LastAsk[Budget] = Now;
    Entries.emplace_back(std::move(*Request));
  }
}

void ledger_home::addBills(time_ms Now, bool Urgent,
                           std::vector<entry> &Entries) {
  if (!Urgent && Now - LastFlush < FlushMs)
    return;
  LastFlush = Now;
  for (bill_entry &Bill : Book.drainBills())
    Entries.emplace_back(std::move(Bill));
}

// A line that has left for the log can't be withdrawn.
void ledger_home::noteSent(std::span<const entry> Entries) {
  for (const entry &Entry : Entries) {
    const std::vector<bill_line> *Lines = nullptr;
    if (const auto *Bill = std::get_if<bill_entry>(&Entry))
      Lines = &Bill->Lines;
    if (const auto *Close = std::get_if<close_entry>(&Entry))
      Lines = &Close->Lines;
    if (Lines == nullptr)
      continue;
    for (const bill_line &Line : *Lines) {
      auto Found = Settling.find(Line.Key);
      if (Found != Settling.end())
        Found->second.Sent = true;
    }
  }
}

} // namespace tamarack::money
