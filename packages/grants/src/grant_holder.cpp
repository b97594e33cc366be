// Grants of this instance: spending limits, requests for tokens and returns.
#include "tamarack/grants.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace tamarack::grants {

namespace {

// Weight of the latest call in an account's average bound.
constexpr double BoundSmoothing = 0.05;
// Time after which a shortage no longer counts if no further call lacked
// tokens.
constexpr int ShortageExpiryMs = 1'000;
constexpr double MinRateUpdateMs = 100; // Between two updates of rates.
// Longer than the time between two reads of the topic.
constexpr int JoinWaitMs = 1'200;

} // namespace

grant_holder::grant_holder(holder_identity Identity, grant_settings Settings,
                           const clock &Clock)
    : Identity(std::move(Identity)), Settings(Settings), Clock(Clock),
      Holders(this->Identity.Instance),
      Pools(this->Identity.Instance, this->Identity.Zone) {}

void grant_holder::setBudgets(std::shared_ptr<const relay::route_table> To) {
  Table = std::move(To);
  for (const auto &[Name, Account] : Table->accounts())
    if (Account.PrepaidTokens)
      accountOf(Name);
}

grant_holder::local_account &grant_holder::accountOf(std::string_view Name) {
  const auto Found = Accounts.find(Name);
  if (Found != Accounts.end())
    return Found->second;
  return Accounts[std::string(Name)];
}

std::int64_t grant_holder::prepaidOf(std::string_view Account) const {
  const relay::account *Found = Table ? Table->findAccount(Account) : nullptr;
  if (Found == nullptr)
    return 0;
  return std::min(Found->PrepaidTokens.value_or(MaxTokens), MaxTokens);
}

bool grant_holder::isUnlimited(std::string_view Account) const {
  return prepaidOf(Account) >= MaxTokens;
}

bool grant_holder::isLimited(std::string_view Account) const {
  const relay::account *Found = Table ? Table->findAccount(Account) : nullptr;
  return Found != nullptr && !isUnlimited(Account);
}

void grant_holder::onRecord(std::string_view Key, std::string_view Value,
                            bool Removed) {
  if (const std::optional<std::string_view> Holder = holderOfLostRecord(Key))
    return onLostRecord(*Holder, Value, Removed);
  if (Removed)
    return; // A removed record does not release its ceilings.
  std::optional<holder_record> Record = decodeHolder(Value);
  if (!Record) {
    ++UnreadableRecords;
    return;
  }
  const holder_record New = *Record;
  if (!Holders.store(Key, std::move(*Record)))
    return;
  if (Key == Identity.Instance && New.Incarnation == Identity.Incarnation)
    onOwnRecord(New);
}

// Another instance has written a record again that the store may have lost.
void grant_holder::onLostRecord(std::string_view Holder, std::string_view Value,
                                bool Removed) {
  if (Holder == Identity.Instance)
    OwnLostRecord.reset();
  if (Removed)
    return;
  std::optional<holder_record> Record = decodeHolder(Value);
  if (!Record) {
    ++UnreadableRecords;
    return;
  }
  if (Holder == Identity.Instance)
    OwnLostRecord = *Record;
  if (Holder != Identity.Instance || !IsPreviousSpendingKnown)
    Holders.storeLost(Holder, std::move(*Record));
}

// Writes older than Record can't be stored any more, but they may have been
// stored before it. Other instances may then have taken the tokens that such a
// write returned, so its ceiling limits the granted one.
void grant_holder::onOwnRecord(const holder_record &Record) {
  for (const pending_write &Write : PendingWrites)
    if (Write.Record.WriteNumber <= Record.WriteNumber)
      for (const account_line &Line : Write.Record.Lines) {
        local_account &Local = accountOf(Line.Account);
        Local.GrantedCeiling = std::min(Local.GrantedCeiling, Line.Ceiling);
      }
  std::erase_if(PendingWrites, [&Record](const pending_write &Write) {
    return Write.Record.WriteNumber <= Record.WriteNumber;
  });
  if (Record.HasLeft)
    HasReturnedGrants = true;
  if (OwnRecordAt < 0)
    OwnRecordAt = Clock.monotonic();
  if (eraOf(Record) == Era && Record.Recovered == Recovered)
    MustRestate = false;
}

void grant_holder::setEra(std::uint64_t NewEra) {
  const bool HasChanged = Era != 0;
  Era = NewEra;
  EraKnownAt = Clock.monotonic();
  if (!HasChanged)
    return;
  // Writes that were not read back may be gone. Others may have read those that
  // returned tokens.
  for (const pending_write &Write : PendingWrites)
    for (const account_line &Line : Write.Record.Lines) {
      local_account &Local = accountOf(Line.Account);
      Local.GrantedCeiling = std::min(Local.GrantedCeiling, Line.Ceiling);
    }
  PendingWrites.clear();
  updateEffectiveCeilings();
  Holders.onStoreRestored();
  MustRestate = true;
  IsCaughtUp = false;
}

// True while other instances may hold more than the store shows.
bool grant_holder::awaitsRestatements() const {
  const bool IsEraNew = Clock.monotonic() - EraKnownAt < RestateWaitMs;
  return Era != 0 &&
         ((IsEraNew && Holders.hasRecordBefore(Era)) || mayLackOwnRecord());
}

// True if this incarnation began with a record of a former era, while others
// may still write the newer one that the store has lost.
bool grant_holder::mayLackOwnRecord() const {
  if (Base.Incarnation == 0 || Base.WriteNumber >> EraShift >= Era)
    return false;
  return OwnRecordAt < 0 || Clock.monotonic() - OwnRecordAt < RestateWaitMs;
}

std::string grant_holder::watermarkScope() const {
  const std::string &Boot = Identity.BootId;
  return Era == 0 || Boot.empty() ? Boot : Boot + "/" + std::to_string(Era);
}

void grant_holder::onCaughtUp() {
  IsCaughtUp = true;
  IsStoreUnavailable = false;
  updatePools();
  applyOwnRecord();
}

void grant_holder::updatePools() {
  if (PoolsVersion == Holders.membersVersion())
    return;
  PoolsVersion = Holders.membersVersion();
  const std::vector<pool_member> Members = Holders.members();
  if (Members.size() > PoolMembers)
    MemberJoinedAt = Clock.monotonic();
  PoolMembers = Members.size();
  Pools.setMembers(Members);
}

// True while an instance that is new to the topic may not know most others yet,
// because all of them have started just now. Its first record announces it.
bool grant_holder::awaitsMembers() const {
  if (Base.Incarnation != 0)
    return false;
  return OwnRecordAt < 0 || (Pools.isZoneShared() &&
                             Clock.monotonic() - MemberJoinedAt < JoinWaitMs);
}

void grant_holder::onPreviousWatermark(
    std::optional<watermark_record> Watermark) {
  PreviousWatermark = std::move(Watermark);
  IsPreviousWatermarkKnown = true;
  if (IsCaughtUp)
    applyOwnRecord();
}

// Derives the granted ceilings from the own record as read back.
void grant_holder::applyOwnRecord() {
  if (!IsPreviousWatermarkKnown || !IsCaughtUp)
    return;
  const holder_record *Record = Holders.ownRecord();
  const bool IsPrevious =
      Record != nullptr && Record->Incarnation != Identity.Incarnation;
  if (IsPrevious && !IsPreviousSpendingKnown)
    chargePreviousIncarnation(*Record);
  IsPreviousSpendingKnown = true;
  if (OwnLostRecord && !isLostRecordCounted())
    chargeLostRecord();
  if (Record == nullptr || IsPrevious)
    return;
  for (const account_line &Line : Record->Lines) {
    local_account &Local = accountOf(Line.Account);
    const std::int64_t Covered =
        prepaidOf(Line.Account) - Holders.totalsOfOthers(Line.Account).Ceiling;
    Local.GrantedCeiling =
        std::max(Local.GrantedCeiling, std::min(Line.Ceiling, Covered));
  }
  updateEffectiveCeilings();
}

void grant_holder::chargePreviousIncarnation(const holder_record &Record) {
  Base = idOf(Record);
  Recovered = Record.Recovered;
  for (const account_line &Line : Record.Lines) {
    local_account &Local = accountOf(Line.Account);
    Local.UsedByPrevious =
        maxPreviousSpending(Record, PreviousWatermark, Line.Account,
                            Line.Ceiling, watermarkScope(), Clock.sinceBoot());
    Local.GrantedCeiling = Local.UsedByPrevious;
    Local.EffectiveCeiling = Local.UsedByPrevious;
  }
}

// True if the own ceilings count those of the lost record.
bool grant_holder::isLostRecordCounted() const {
  holder_record Current;
  Current.Incarnation = Identity.Incarnation;
  Current.WriteNumber = LastWriteNumber;
  Current.Base = Base;
  Current.Recovered = Recovered;
  return covers(Current, *OwnLostRecord);
}

// The former incarnations may have spent more than this one found.
void grant_holder::chargeLostRecord() {
  for (const account_line &Line : OwnLostRecord->Lines) {
    local_account &Local = accountOf(Line.Account);
    Local.UsedByPrevious +=
        lostTokens(*OwnLostRecord, Line, Base, Local.UsedByPrevious);
  }
  Recovered = idOf(*OwnLostRecord);
  MustRestate = true;
}

// While the outcome of writes is unknown, the lowest of their ceilings limits
// spending.
void grant_holder::updateEffectiveCeilings() {
  for (auto &[Name, Local] : Accounts)
    Local.EffectiveCeiling = Local.GrantedCeiling;
  for (const pending_write &Write : PendingWrites)
    for (const account_line &Line : Write.Record.Lines) {
      local_account &Local = accountOf(Line.Account);
      Local.EffectiveCeiling = std::min(Local.EffectiveCeiling, Line.Ceiling);
    }
}

std::int64_t grant_holder::spendingLimit(std::string_view Name,
                                         const local_account &Local) const {
  return Watermarks.limitOf(Name, Local.EffectiveCeiling, Clock.sinceBoot());
}

// False if this instance can't spend anything, so that no watermark is needed.
bool grant_holder::hasHeadroom() const {
  return std::any_of(Accounts.begin(), Accounts.end(), [](const auto &Item) {
    const local_account &Local = Item.second;
    return Local.EffectiveCeiling > committedTokens(Local);
  });
}

std::int64_t grant_holder::watermarkFor(const local_account &Local) const {
  const std::int64_t Committed = committedTokens(Local);
  const std::int64_t Headroom =
      std::max<std::int64_t>(0, Local.EffectiveCeiling - Committed);
  const double ByRate = Local.Rate.perMs() * Settings.WatermarkHeadroomMs +
                        2 * Local.AverageBound;
  const double ByShare =
      Settings.WatermarkShare * static_cast<double>(Headroom);
  const std::int64_t WatermarkHeadroom =
      static_cast<std::int64_t>(std::max(ByRate, ByShare)) +
      waitingBound(Local);
  return std::max(Committed, std::min(Local.EffectiveCeiling,
                                      Committed + WatermarkHeadroom));
}

std::optional<watermark_record> grant_holder::planWatermark(time_ms Now) {
  const holder_record *Record = Holders.ownRecord();
  if (IsWatermarkInFlight || IsLeaving || !IsPreviousSpendingKnown ||
      Record == nullptr || Record->Incarnation != Identity.Incarnation)
    return std::nullopt;
  if ((Now < NextWatermarkAt && !CallWaitsForWatermark) || !hasHeadroom())
    return std::nullopt;
  watermark_record Watermark;
  Watermark.Incarnation = Identity.Incarnation;
  Watermark.BootId = watermarkScope();
  Watermark.SentAt = Clock.sinceBoot();
  for (const auto &[Name, Local] : Accounts)
    if (Local.EffectiveCeiling > 0)
      Watermark.Lines.push_back({Name, watermarkFor(Local)});
  IsWatermarkInFlight = true;
  CallWaitsForWatermark = false;
  NextWatermarkAt = Now + Settings.WatermarkIntervalMs;
  Watermarks.onSent(Watermark);
  return Watermark;
}

void grant_holder::onWatermarkWritten() {
  IsWatermarkInFlight = false;
  Watermarks.onWritten();
}

void grant_holder::onWatermarkUncertain() {
  IsWatermarkInFlight = false;
  Watermarks.onUncertain();
}

void grant_holder::onWatermarkRefused() {
  IsWatermarkInFlight = false;
  Watermarks.onRefused();
}

relay::reserve_result grant_holder::reserve(std::string_view Account,
                                            std::int64_t Bound) {
  if (isUnlimited(Account))
    return relay::reserve_result::Reserved;
  local_account &Local = accountOf(Account);
  Local.AverageBound += (static_cast<double>(Bound) - Local.AverageBound) *
                        (Local.AverageBound == 0 ? 1 : BoundSmoothing);
  const std::int64_t Committed = committedTokens(Local);
  if (exceedsBudget(Account, Local, Bound))
    return relay::reserve_result::Exhausted;
  if (reserveHeld(Account, Bound))
    return relay::reserve_result::Reserved;
  if (IsStoreUnavailable)
    return relay::reserve_result::Unavailable;
  if (IsPreviousSpendingKnown && Committed + Bound <= Local.EffectiveCeiling) {
    CallWaitsForWatermark = true;
    recordWaiting(Local, Bound);
    return relay::reserve_result::Pending;
  }
  if (IsCaughtUp) {
    const std::int64_t Free = prepaidOf(Account) -
                              Holders.totalsOfOthers(Account).Ceiling -
                              Committed;
    if (Free + Holders.totalsOfOthers(Account).IdleTokens < Bound)
      return relay::reserve_result::Exhausted;
  }
  Local.HasNewShortage = true;
  Local.MissingTokens = std::min(Local.MissingTokens + Bound, MaxTokens);
  recordWaiting(Local, Bound);
  return relay::reserve_result::Pending;
}

// True if the budget can't cover Bound more tokens, whatever is granted. A
// budget that was lowered may be below the ceilings.
bool grant_holder::exceedsBudget(std::string_view Account,
                                 const local_account &Local,
                                 std::int64_t Bound) const {
  return committedTokens(Local) + Bound + Holders.totalsOfOthers(Account).Used >
         prepaidOf(Account);
}

bool grant_holder::reserveHeld(std::string_view Account, std::int64_t Bound) {
  if (isUnlimited(Account))
    return true;
  const auto Found = Accounts.find(Account);
  if (Found == Accounts.end() || !IsPreviousSpendingKnown)
    return false;
  local_account &Local = Found->second;
  if (exceedsBudget(Account, Local, Bound) ||
      committedTokens(Local) + Bound > spendingLimit(Account, Local))
    return false;
  Local.Reserved += Bound;
  if (Bound >= Local.MaxWaitingBound)
    Local.MaxWaitingBound = 0;
  return true;
}

void grant_holder::recordWaiting(local_account &Local,
                                 std::int64_t Bound) const {
  Local.MaxWaitingBound = std::max(waitingBound(Local), Bound);
  Local.LastShortageAt = Clock.monotonic();
}

// Largest bound of a call that lacked tokens within ShortageExpiryMs, 0 if none
// did.
std::int64_t grant_holder::waitingBound(const local_account &Local) const {
  return Clock.monotonic() - Local.LastShortageAt < ShortageExpiryMs
             ? Local.MaxWaitingBound
             : 0;
}

void grant_holder::settle(std::string_view Account, std::int64_t Bound,
                          std::int64_t Used) {
  if (isUnlimited(Account) && !Accounts.contains(Account))
    return;
  local_account &Local = accountOf(Account);
  assert(Used <= Bound && "a call uses at most what it reserved");
  Local.Reserved = std::max<std::int64_t>(0, Local.Reserved - Bound);
  Local.UsedByCurrent += Used;
  Local.Rate.add(Used);
}

void grant_holder::updateRates(time_ms Now) {
  if (RatesUpdatedAt < 0)
    RatesUpdatedAt = Now;
  const double ElapsedMs = static_cast<double>(Now - RatesUpdatedAt);
  if (ElapsedMs < MinRateUpdateMs)
    return;
  const double Decay = std::exp(-ElapsedMs / Settings.RateSmoothingMs);
  for (auto &[Name, Local] : Accounts)
    Local.Rate.update(ElapsedMs, Decay);
  RatesUpdatedAt = Now;
}

std::vector<grant_holder::pending_write>::iterator
grant_holder::findPending(std::uint64_t Number) {
  return std::find_if(PendingWrites.begin(), PendingWrites.end(),
                      [Number](const pending_write &Write) {
                        return Write.Record.WriteNumber == Number;
                      });
}

void grant_holder::onWriteStored(std::uint64_t Number) {
  const auto Found = findPending(Number);
  if (Found == PendingWrites.end())
    return; // Already read back.
  Found->IsStored = true;
  HasReturnedGrants = HasReturnedGrants || Found->Record.HasLeft;
}

void grant_holder::onWriteRejected(std::uint64_t Number) {
  const auto Found = findPending(Number);
  if (Found != PendingWrites.end())
    PendingWrites.erase(Found);
  updateEffectiveCeilings();
}

// The records of others. An instance waits for those with lower names, which
// may do it first.
std::vector<std::pair<std::string, std::string>>
grant_holder::restoreRecords(time_ms Now) {
  std::vector<std::pair<std::string, std::string>> Result;
  const time_ms Stagger = Holders.activeOthersBefore() * RestoreStaggerMs;
  for (const std::string &Other : Holders.others()) {
    const holder_record *Missing = Holders.missingRecord(Other);
    if (Missing == nullptr) {
      MissingSince.erase(Other);
      continue;
    }
    const time_ms Since = MissingSince.emplace(Other, Now).first->second;
    if (Now - Since < RestoreAfterMs + Stagger)
      continue;
    holder_record Restored = *Missing;
    Restored.HasLeft = true; // Until it writes a record itself.
    Restored.PeerAddress.clear();
    Result.emplace_back(lostRecordKey(Other), encode(Restored));
    Holders.onRestored(Other);
  }
  return Result;
}

std::vector<std::pair<std::string, std::string>>
grant_holder::planRestores(time_ms Now) {
  std::vector<std::pair<std::string, std::string>> Result;
  if (!IsCaughtUp)
    return Result;
  if (Holders.mayMissRecords())
    Result = restoreRecords(Now);
  const holder_record *Record = Holders.ownRecord();
  if (OwnLostRecord && Record != nullptr && eraOf(*Record) == Era &&
      Record->Incarnation == Identity.Incarnation &&
      covers(*Record, *OwnLostRecord)) {
    Result.emplace_back(lostRecordKey(Identity.Instance), std::string());
    OwnLostRecord.reset();
  }
  return Result;
}

account_status grant_holder::statusOf(std::string_view Account) const {
  account_status Status;
  const auto Found = Accounts.find(Account);
  if (Found != Accounts.end()) {
    Status.Ceiling = Found->second.EffectiveCeiling;
    Status.Used = Found->second.UsedByPrevious + Found->second.UsedByCurrent;
    Status.Reserved = Found->second.Reserved;
  }
  Status.Prepaid = prepaidOf(Account);
  Status.OthersCeiling = Holders.totalsOfOthers(Account).Ceiling;
  Status.OthersUsed = Holders.totalsOfOthers(Account).Used;
  Status.Free = Status.Prepaid - Status.OthersCeiling - Status.Ceiling;
  return Status;
}

} // namespace tamarack::grants
