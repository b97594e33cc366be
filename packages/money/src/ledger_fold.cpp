// The rules by which every reader folds a ledger stream.
#include "tamarack/money.hpp"

#include <algorithm>
#include <cassert>

namespace tamarack::money {

namespace {
constexpr time_ms WriterSweepMs = 60 * 60 * 1000; // Between two expiry sweeps.
constexpr amount LargestAmount = amount{1} << 60; // Keeps sums from overflow.
} // namespace

ledger_fold::ledger_fold(ledger_listener &Listener) : Listener(Listener) {}

void ledger_fold::apply(const log_record &Record) {
  assert(Record.Offset == NextOffset && "records must come without gaps");
  const std::optional<ledger_batch> Batch = decodeBatch(Record.Body);
  if (Batch)
    compareCheckpoints(*Batch);
  NextOffset = Record.Offset + 1;
  const time_ms Before = Now;
  Now = std::max(Now, Record.Time);
  if (!Batch) {
    ++Counters.Unreadable;
    return;
  }
  if (Before / WriterSweepMs != Now / WriterSweepMs)
    std::erase_if(Writers, [this](const auto &Item) {
      return Item.second.Seen < Now - WriterWindowMs;
    });
  if (!acceptWriter(*Batch)) {
    ++Counters.DuplicateBatches;
    return;
  }
  for (const entry &Entry : Batch->Entries)
    std::visit([&](const auto &Item) { applyEntry(*Batch, Item); }, Entry);
  expire();
}

bool ledger_fold::acceptWriter(const ledger_batch &Batch) {
  auto Found = Writers.find(Batch.Writer);
  if (Found == Writers.end()) {
    if (Batch.Number == 0 || Batch.CreatedAt < Now - WriterWindowMs / 2)
      return false;
    Writers[Batch.Writer] = {Batch.Number, Now};
    return true;
  }
  if (Batch.Number != Found->second.Number + 1)
    return false;
  Found->second = {Batch.Number, Now};
  return true;
}

std::uint64_t ledger_fold::lastBatchNumber(incarnation_id Writer) const {
  auto Found = Writers.find(Writer);
  return Found == Writers.end() ? 0 : Found->second.Number;
}

void ledger_fold::applyEntry(const ledger_batch &, const credit_entry &Entry) {
  const bool Absurd =
      Entry.Delta > LargestAmount || Entry.Delta < -LargestAmount;
  if (Absurd || Entry.Budget.empty() || !isNewKey(Entry.Id, Entry.CreatedAt)) {
    ++Counters.Rejected;
    return;
  }
  auto Found = Budgets.find(Entry.Budget);
  if (Found == Budgets.end()) {
    if (Entry.Delta < 0) {
      ++Counters.Rejected;
      return;
    }
    Found = Budgets.emplace(Entry.Budget, budget_state{}).first;
  }
  budget_state &Budget = Found->second;
  if (Entry.Delta > 0 && Budget.Credits > LargestAmount - Entry.Delta) {
    ++Counters.Rejected;
    return;
  }
  rememberKey(Entry.Id);
  if (Entry.Delta >= 0) {
    Budget.Credits += Entry.Delta;
    release(Found->first, Budget, 0);
    return;
  }
  const amount Reduction = -Entry.Delta;
  const amount AtOnce = std::min(Reduction, Budget.available());
  Budget.Credits -= AtOnce;
  const amount Largest = Budget.Credits - Budget.Billed;
  const amount Pending = Budget.PendingReduction + Reduction - AtOnce;
  Budget.PendingReduction = std::min(Pending, Largest);
  checkBudget(Budget);
  if (Budget.PendingReduction > 0)
    Listener.onGrantVoided({}, Entry.Budget);
}

void ledger_fold::applyEntry(const ledger_batch &Batch,
                             const grant_entry &Entry) {
  auto Budget = Budgets.find(Entry.Budget);
  const bool Sane = Entry.Grant.Holder == Batch.Writer && Entry.Minimum > 0 &&
                    Entry.Maximum >= Entry.Minimum;
  if (!Sane || Grants.contains(Entry.Grant)) {
    ++Counters.Rejected;
    return;
  }
  if (Budget == Budgets.end() || Budget->second.available() < Entry.Minimum) {
    Listener.onGrantVoided(Entry.Grant, Entry.Budget);
    return;
  }
  grant_state Grant;
  Grant.Budget = Entry.Budget;
  Grant.Witness = Entry.Witness;
  Grant.Amount = std::min(Entry.Maximum, Budget->second.available());
  Grant.OpenedAt = Now;
  Budget->second.Committed += Grant.Amount;
  ++Budget->second.OpenGrants;
  OpenTimes.insert(Now);
  checkBudget(Budget->second);
  auto Placed = Grants.emplace(Entry.Grant, std::move(Grant)).first;
  Listener.onGrantOpened(Placed->first, Placed->second);
}

void ledger_fold::applyEntry(const ledger_batch &Batch,
                             const bill_entry &Entry) {
  if (Entry.Grant.Holder != Batch.Writer) {
    ++Counters.Rejected;
    return;
  }
  auto Grant = Grants.find(Entry.Grant);
  if (Grant == Grants.end()) {
    Counters.LateLines += Entry.Lines.size();
    return;
  }
  budget_state &Budget = Budgets.find(Grant->second.Budget)->second;
  for (const bill_line &Line : Entry.Lines)
    applyLine(Grant->second, Budget, Line);
  Listener.onGrantBilled(Entry.Grant, Grant->second);
}

void ledger_fold::applyEntry(const ledger_batch &Batch,
                             const return_entry &Entry) {
  auto Grant = Grants.find(Entry.Grant);
  const bool Own = Entry.Grant.Holder == Batch.Writer;
  if (!Own || Grant == Grants.end() || Entry.Amount <= 0) {
    ++Counters.Rejected;
    return;
  }
  const amount Rest = Grant->second.Amount - Grant->second.Billed;
  if (Entry.Amount > Rest) {
    ++Counters.Rejected;
    return;
  }
  auto Budget = Budgets.find(Grant->second.Budget);
  Grant->second.Amount -= Entry.Amount;
  release(Budget->first, Budget->second, Entry.Amount);
}

void ledger_fold::applyEntry(const ledger_batch &Batch,
                             const close_entry &Entry) {
  auto Found = Grants.find(Entry.Grant);
  if (Found == Grants.end()) {
    Counters.LateLines += Entry.Lines.size();
    return;
  }
  const bool Allowed = Batch.Writer == Entry.Grant.Holder ||
                       Batch.Writer == Found->second.Witness || Entry.WriteOff;
  if (!Allowed) {
    ++Counters.Rejected;
    return;
  }
  auto Budget = Budgets.find(Found->second.Budget);
  for (const bill_line &Line : Entry.Lines)
    applyLine(Found->second, Budget->second, Line);
  const grant_state Closed = Found->second;
  Grants.erase(Found);
  OpenTimes.erase(OpenTimes.find(Closed.OpenedAt));
  --Budget->second.OpenGrants;
  Listener.onGrantClosed(Entry.Grant, Closed);
  release(Budget->first, Budget->second, Closed.Amount - Closed.Billed);
}

// A reader that holds the whole prefix never replaces its state.
void ledger_fold::applyEntry(const ledger_batch &,
                             const checkpoint_entry &Entry) {
  LastCheckpoint = std::max(LastCheckpoint, Entry.NextOffset);
}

void ledger_fold::applyEntry(const ledger_batch &, const claim_entry &Entry) {
  auto Found = Claims.find(Entry.Key);
  if (Found != Claims.end()) {
    Listener.onClaimDecided(Entry.Key, Found->second);
    return;
  }
  if (Entry.CreatedAt < Now - KeyWindowMs) {
    ++Counters.Rejected;
    Listener.onClaimDecided(Entry.Key, {});
    return;
  }
  Claims.emplace(Entry.Key, Entry.Executor);
  ClaimQueue.push_back({Now, Entry.Key});
  Listener.onClaimDecided(Entry.Key, Entry.Executor);
}

// Compares a checkpoint of exactly this position with the folded state. One
// that other records overtook on its way can't be compared.
void ledger_fold::compareCheckpoints(const ledger_batch &Batch) {
  for (const entry &Entry : Batch.Entries) {
    const auto *Checkpoint = std::get_if<checkpoint_entry>(&Entry);
    if (Checkpoint == nullptr || Checkpoint->NextOffset != NextOffset)
      continue;
    if (Checkpoint->Digest != digestOf(encodeState()))
      ++Counters.DigestMismatches;
  }
}

void ledger_fold::applyLine(grant_state &Grant, budget_state &Budget,
                            const bill_line &Line) {
  if (Keys.contains(Line.Key)) {
    ++Counters.DuplicateKeys;
    return;
  }
  const amount Rest = Grant.Amount - Grant.Billed;
  const bool Fits = Line.Amount >= 0 && Line.Amount <= Rest;
  if (!Fits || Line.CreatedAt < keyHorizon()) {
    ++Counters.Rejected;
    return;
  }
  rememberKey(Line.Key);
  Grant.Billed += Line.Amount;
  Budget.Billed += Line.Amount;
  checkBudget(Budget);
}

// Frees committed money; a pending reduction takes it first.
void ledger_fold::release(const std::string &Name, budget_state &Budget,
                          amount Amount) {
  Budget.Committed -= Amount;
  const amount Taken = std::min(Budget.PendingReduction, Budget.available());
  Budget.Credits -= Taken;
  Budget.PendingReduction -= Taken;
  checkBudget(Budget);
  if (Budget.available() > 0)
    Listener.onTokensAvailable(Name);
}

bool ledger_fold::isNewKey(const request_key &Key, time_ms CreatedAt) {
  return CreatedAt >= keyHorizon() && !Keys.contains(Key);
}

void ledger_fold::rememberKey(const request_key &Key) {
  Keys.insert(Key);
  KeyQueue.push_back({Now, Key});
}

// A line may come as late as its grant is open, so keys are kept from one
// window before the oldest open grant on.
time_ms ledger_fold::keyHorizon() const {
  const time_ms Oldest =
      OpenTimes.empty() ? Now : std::min(Now, *OpenTimes.begin());
  return Oldest - KeyWindowMs;
}

void ledger_fold::expire() {
  const time_ms Horizon = keyHorizon();
  while (!KeyQueue.empty() && KeyQueue.front().Seen < Horizon) {
    Keys.erase(KeyQueue.front().Key);
    KeyQueue.pop_front();
  }
  while (!ClaimQueue.empty() &&
         ClaimQueue.front().Seen < Now - 2 * KeyWindowMs) {
    Claims.erase(ClaimQueue.front().Key);
    ClaimQueue.pop_front();
  }
}

executor_id ledger_fold::claimedBy(const request_key &Key) const {
  auto Found = Claims.find(Key);
  return Found == Claims.end() ? executor_id{} : Found->second;
}

void ledger_fold::checkBudget(const budget_state &Budget) {
  const bool Holds = 0 <= Budget.Billed && Budget.Billed <= Budget.Committed &&
                     Budget.Committed <= Budget.Credits &&
                     Budget.PendingReduction >= 0;
  if (!Holds)
    ++Counters.Violations;
}

const budget_state *ledger_fold::findBudget(std::string_view Budget) const {
  auto Found = Budgets.find(Budget);
  return Found == Budgets.end() ? nullptr : &Found->second;
}

const grant_state *ledger_fold::findGrant(const grant_id &Grant) const {
  auto Found = Grants.find(Grant);
  return Found == Grants.end() ? nullptr : &Found->second;
}

} // namespace tamarack::money
