// The rules by which every reader folds the records of a ledger stream.
#include "tamarack/ledger.hpp"

#include <algorithm>
#include <cassert>

namespace tamarack::ledger {

namespace {
constexpr time_ms WriterSweepMs = 60 * 60 * 1000; // Between expiry sweeps.
constexpr amount MaxAmount = amount{1} << 60;     // Prevents overflow of sums.
} // namespace

ledger_fold::ledger_fold(ledger_listener &Listener) : Listener(Listener) {}

void ledger_fold::apply(const log_record &Record) {
  assert(Record.Offset == NextOffset && "records must come without gaps");
  const std::optional<ledger_batch> Batch = decodeBatch(Record.Body);
  if (Batch)
    verifyCheckpoints(*Batch);
  NextOffset = Record.Offset + 1;
  const time_ms Before = LatestLogTime;
  LatestLogTime = std::max(LatestLogTime, Record.Time);
  if (!Batch) {
    ++Counters.Unreadable;
    return;
  }
  if (Before / WriterSweepMs != LatestLogTime / WriterSweepMs)
    std::erase_if(Writers, [this](const auto &Item) {
      return Item.second.LastBatchTime < LatestLogTime - WriterWindowMs;
    });
  if (!acceptBatchNumber(*Batch)) {
    ++Counters.DuplicateBatches;
    return;
  }
  for (const entry &Entry : Batch->Entries)
    std::visit([&](const auto &Item) { applyEntry(*Batch, Item); }, Entry);
  expireKeysAndClaims();
}

bool ledger_fold::acceptBatchNumber(const ledger_batch &Batch) {
  auto Found = Writers.find(Batch.Writer);
  if (Found == Writers.end()) {
    if (Batch.Number == 0 ||
        Batch.CreatedAt < LatestLogTime - WriterWindowMs / 2)
      return false;
    Writers[Batch.Writer] = {Batch.Number, LatestLogTime};
    return true;
  }
  if (Batch.Number != Found->second.LastBatch + 1)
    return false;
  Found->second = {Batch.Number, LatestLogTime};
  return true;
}

std::uint64_t ledger_fold::lastBatchNumber(incarnation_id Writer) const {
  auto Found = Writers.find(Writer);
  return Found == Writers.end() ? 0 : Found->second.LastBatch;
}

void ledger_fold::applyEntry(const ledger_batch &, const credit_entry &Entry) {
  const bool TooLarge = Entry.Delta > MaxAmount || Entry.Delta < -MaxAmount;
  if (TooLarge || Entry.Budget.empty() ||
      !isNewKey(Entry.Id, Entry.CreatedAt)) {
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
  if (Entry.Delta > 0 && Budget.Credits > MaxAmount - Entry.Delta) {
    ++Counters.Rejected;
    return;
  }
  storeKey(Entry.Id);
  if (Entry.Delta >= 0) {
    Budget.Credits += Entry.Delta;
    releaseCommitted(Found->first, Budget, 0);
    return;
  }
  const amount Reduction = -Entry.Delta;
  const amount Immediate = std::min(Reduction, Budget.available());
  Budget.Credits -= Immediate;
  const amount MaxPending = Budget.Credits - Budget.Billed;
  const amount Pending = Budget.PendingReduction + Reduction - Immediate;
  Budget.PendingReduction = std::min(Pending, MaxPending);
  checkInvariants(Budget);
  if (Budget.PendingReduction > 0)
    Listener.onGrantVoided({}, Entry.Budget);
}

void ledger_fold::applyEntry(const ledger_batch &Batch,
                             const grant_entry &Entry) {
  auto Budget = Budgets.find(Entry.Budget);
  const bool Valid = Entry.Grant.Holder == Batch.Writer && Entry.Minimum > 0 &&
                     Entry.Maximum >= Entry.Minimum;
  if (!Valid || Grants.contains(Entry.Grant)) {
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
  Grant.OpenedAt = LatestLogTime;
  Budget->second.Committed += Grant.Amount;
  ++Budget->second.OpenGrants;
  OpenGrantTimes.insert(LatestLogTime);
  checkInvariants(Budget->second);
  auto Inserted = Grants.emplace(Entry.Grant, std::move(Grant)).first;
  Listener.onGrantOpened(Inserted->first, Inserted->second);
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
  const bool WrittenByHolder = Entry.Grant.Holder == Batch.Writer;
  if (!WrittenByHolder || Grant == Grants.end() || Entry.Amount <= 0) {
    ++Counters.Rejected;
    return;
  }
  const amount Unbilled = Grant->second.Amount - Grant->second.Billed;
  if (Entry.Amount > Unbilled) {
    ++Counters.Rejected;
    return;
  }
  auto Budget = Budgets.find(Grant->second.Budget);
  Grant->second.Amount -= Entry.Amount;
  releaseCommitted(Budget->first, Budget->second, Entry.Amount);
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
  OpenGrantTimes.erase(OpenGrantTimes.find(Closed.OpenedAt));
  --Budget->second.OpenGrants;
  Listener.onGrantClosed(Entry.Grant, Closed);
  releaseCommitted(Budget->first, Budget->second,
                   Closed.Amount - Closed.Billed);
}

// A reader that has folded the complete stream never replaces its state by a
// checkpoint.
void ledger_fold::applyEntry(const ledger_batch &,
                             const checkpoint_entry &Entry) {
  LastCheckpointOffset = std::max(LastCheckpointOffset, Entry.NextOffset);
}

void ledger_fold::applyEntry(const ledger_batch &, const claim_entry &Entry) {
  auto Found = Claims.find(Entry.Key);
  if (Found != Claims.end()) {
    Listener.onClaimDecided(Entry.Key, Found->second);
    return;
  }
  if (Entry.CreatedAt < LatestLogTime - KeyWindowMs) {
    ++Counters.Rejected;
    Listener.onClaimDecided(Entry.Key, {});
    return;
  }
  Claims.emplace(Entry.Key, Entry.Executor);
  ClaimExpiryQueue.push_back({LatestLogTime, Entry.Key});
  Listener.onClaimDecided(Entry.Key, Entry.Executor);
}

// Compares checkpoints made at this offset with the folded state. A checkpoint
// that was stored after further records cannot be compared.
void ledger_fold::verifyCheckpoints(const ledger_batch &Batch) {
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
  if (SeenKeys.contains(Line.Key)) {
    ++Counters.DuplicateKeys;
    return;
  }
  const amount Unbilled = Grant.Amount - Grant.Billed;
  const bool Fits = Line.Amount >= 0 && Line.Amount <= Unbilled;
  if (!Fits || Line.CreatedAt < oldestAcceptedKeyTime()) {
    ++Counters.Rejected;
    return;
  }
  storeKey(Line.Key);
  Grant.Billed += Line.Amount;
  Budget.Billed += Line.Amount;
  checkInvariants(Budget);
}

// Makes committed tokens available; a pending reduction uses them first.
void ledger_fold::releaseCommitted(const std::string &Name,
                                   budget_state &Budget, amount Amount) {
  Budget.Committed -= Amount;
  const amount Reduced = std::min(Budget.PendingReduction, Budget.available());
  Budget.Credits -= Reduced;
  Budget.PendingReduction -= Reduced;
  checkInvariants(Budget);
  if (Budget.available() > 0)
    Listener.onTokensAvailable(Name);
}

bool ledger_fold::isNewKey(const request_key &Key, time_ms CreatedAt) {
  return CreatedAt >= oldestAcceptedKeyTime() && !SeenKeys.contains(Key);
}

void ledger_fold::storeKey(const request_key &Key) {
  SeenKeys.insert(Key);
  KeyExpiryQueue.push_back({LatestLogTime, Key});
}

// A bill line may arrive as long as its grant is open, so keys are remembered
// from KeyWindowMs before the opening of the oldest open grant.
time_ms ledger_fold::oldestAcceptedKeyTime() const {
  const time_ms Oldest = OpenGrantTimes.empty()
                             ? LatestLogTime
                             : std::min(LatestLogTime, *OpenGrantTimes.begin());
  return Oldest - KeyWindowMs;
}

void ledger_fold::expireKeysAndClaims() {
  const time_ms OldestTime = oldestAcceptedKeyTime();
  while (!KeyExpiryQueue.empty() &&
         KeyExpiryQueue.front().LogTime < OldestTime) {
    SeenKeys.erase(KeyExpiryQueue.front().Key);
    KeyExpiryQueue.pop_front();
  }
  while (!ClaimExpiryQueue.empty() &&
         ClaimExpiryQueue.front().LogTime < LatestLogTime - 2 * KeyWindowMs) {
    Claims.erase(ClaimExpiryQueue.front().Key);
    ClaimExpiryQueue.pop_front();
  }
}

executor_id ledger_fold::claimWinner(const request_key &Key) const {
  auto Found = Claims.find(Key);
  return Found == Claims.end() ? executor_id{} : Found->second;
}

void ledger_fold::checkInvariants(const budget_state &Budget) {
  const bool Valid = 0 <= Budget.Billed && Budget.Billed <= Budget.Committed &&
                     Budget.Committed <= Budget.Credits &&
                     Budget.PendingReduction >= 0;
  if (!Valid)
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

} // namespace tamarack::ledger
