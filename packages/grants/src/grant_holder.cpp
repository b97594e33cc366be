// Grants of this instance: spending limits, requests for tokens and returns.
#include "tamarack/grants.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace tamarack::grants {

namespace {

constexpr std::int64_t Unlimited = std::numeric_limits<std::int64_t>::max() / 4;
// Limits the bias correction of a rate that has few samples.
constexpr double MinRateWeight = 0.2;
// Weight of the latest call in an account's average bound.
constexpr double BoundSmoothing = 0.05;
// Headroom below this multiple of the target leads to a request for tokens.
constexpr double RequestBelowTarget = 0.8;
// Headroom above this multiple of the target is returned.
constexpr double ReturnAboveTarget = 1.5;
// Headroom changes of less than 1/500 of the budget are not worth a write.
constexpr std::int64_t MinChangeDivisor = 500;
// Spending for which headroom is held while other instances are short of
// tokens, instead of grant_settings::HeadroomMs.
constexpr int ShortageHeadroomMs = 1'500;
// Once other instances have spent this share of a budget, it is known which
// instances receive calls for the account.
constexpr double UsageKnownShare = 0.02;
// Factor on the equal share of an instance that receives no such calls.
constexpr double UncalledShareFactor = 0.2;
// Time after which a shortage no longer counts if no further call lacked
// tokens.
constexpr int ShortageExpiryMs = 1'000;

const account_line *lineOf(const holder_record &Record,
                           std::string_view Account) {
  for (const account_line &Line : Record.Lines)
    if (Line.Account == Account)
      return &Line;
  return nullptr;
}

// False for the record of an instance that has left, and for an empty record.
bool isActive(const holder_record &Record) {
  return !Record.HasLeft && Record.Incarnation != 0;
}

} // namespace

grant_holder::grant_holder(std::string Instance, std::uint64_t Incarnation,
                           std::string PeerAddress, std::string BootId,
                           grant_settings Settings, const clock &Clock)
    : Instance(std::move(Instance)), Incarnation(Incarnation),
      PeerAddress(std::move(PeerAddress)), BootId(std::move(BootId)),
      Settings(Settings), Clock(Clock) {}

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

const holder_record *grant_holder::ownRecord() const {
  const auto Found = Records.find(Instance);
  return Found == Records.end() ? nullptr : &Found->second;
}

std::int64_t grant_holder::prepaidOf(std::string_view Account) const {
  const relay::account *Found = Table ? Table->findAccount(Account) : nullptr;
  if (Found == nullptr)
    return 0;
  return Found->PrepaidTokens.value_or(Unlimited);
}

// Adds the lines of another instance's record to the totals (Sign 1), or
// subtracts them (Sign -1).
void grant_holder::addToTotals(const holder_record &Record, int Sign) {
  for (const account_line &Line : Record.Lines) {
    account_totals &Totals = TotalsOfOthers[Line.Account];
    Totals.Ceiling += Sign * Line.Ceiling;
    Totals.Used += Sign * std::min(Line.Used, Line.Ceiling);
    if (Record.HasLeft)
      continue;
    Totals.IdleTokens +=
        Sign * std::max<std::int64_t>(0, Line.Ceiling - Line.Used);
    Totals.ShortInstances += Line.ShortOfTokens ? Sign : 0;
  }
}

void grant_holder::storeRecord(std::string_view Name, holder_record Record) {
  holder_record &Stored = Records[std::string(Name)];
  if (Name != Instance) {
    addToTotals(Stored, -1);
    addToTotals(Record, 1);
    ActiveOtherInstances +=
        (isActive(Record) ? 1 : 0) - (isActive(Stored) ? 1 : 0);
  }
  Stored = std::move(Record);
}

const grant_holder::account_totals &
grant_holder::totalsOfOthers(std::string_view Account) const {
  static const account_totals None;
  const auto Found = TotalsOfOthers.find(Account);
  return Found == TotalsOfOthers.end() ? None : Found->second;
}

void grant_holder::onRecord(std::string_view Key, std::string_view Value,
                            bool Removed) {
  if (Removed)
    return; // A removed record does not release its ceilings.
  std::optional<holder_record> Record = decodeHolder(Value);
  if (!Record) {
    ++UnreadableRecords;
    return;
  }
  if (Key == Instance && Record->Incarnation == Incarnation)
    onOwnRecord(*Record);
  storeRecord(Key, std::move(*Record));
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
}

void grant_holder::onCaughtUp() {
  IsCaughtUp = true;
  IsStoreUnavailable = false;
  applyOwnRecord();
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
  const holder_record *Record = ownRecord();
  const bool IsPrevious =
      Record != nullptr && Record->Incarnation != Incarnation;
  if (IsPrevious && !IsPreviousSpendingKnown)
    chargePreviousIncarnation(*Record);
  IsPreviousSpendingKnown = true;
  if (Record == nullptr || IsPrevious)
    return;
  for (const account_line &Line : Record->Lines) {
    local_account &Local = accountOf(Line.Account);
    const std::int64_t Covered =
        prepaidOf(Line.Account) - totalsOfOthers(Line.Account).Ceiling;
    Local.GrantedCeiling =
        std::max(Local.GrantedCeiling, std::min(Line.Ceiling, Covered));
  }
  updateEffectiveCeilings();
}

void grant_holder::chargePreviousIncarnation(const holder_record &Record) {
  for (const account_line &Line : Record.Lines) {
    local_account &Local = accountOf(Line.Account);
    Local.UsedByPrevious =
        maxPreviousSpending(Record, PreviousWatermark, Line.Account,
                            Line.Ceiling, BootId, Clock.sinceBoot());
    Local.GrantedCeiling = Local.UsedByPrevious;
    Local.EffectiveCeiling = Local.UsedByPrevious;
  }
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

std::optional<watermark_record> grant_holder::planWatermark(time_ms Now) {
  const holder_record *Record = ownRecord();
  if (IsWatermarkInFlight || IsLeaving || !IsPreviousSpendingKnown ||
      Record == nullptr || Record->Incarnation != Incarnation)
    return std::nullopt;
  if (Now < NextWatermarkAt && !CallWaitsForWatermark)
    return std::nullopt;
  watermark_record Watermark;
  Watermark.Incarnation = Incarnation;
  Watermark.BootId = BootId;
  Watermark.SentAt = Clock.sinceBoot();
  for (const auto &[Name, Local] : Accounts) {
    const std::int64_t Committed =
        Local.UsedByPrevious + Local.UsedByCurrent + Local.Reserved;
    const std::int64_t Headroom =
        std::max<std::int64_t>(0, Local.EffectiveCeiling - Committed);
    const double ByRate = Local.SpendingRate * Settings.WatermarkHeadroomMs +
                          2 * Local.AverageBound;
    const double ByShare =
        Settings.WatermarkShare * static_cast<double>(Headroom);
    const std::int64_t WatermarkHeadroom =
        static_cast<std::int64_t>(std::max(ByRate, ByShare)) +
        waitingBound(Local);
    Watermark.Lines.push_back(
        {Name, std::max(Committed, std::min(Local.EffectiveCeiling,
                                            Committed + WatermarkHeadroom))});
  }
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
  if (prepaidOf(Account) >= Unlimited)
    return relay::reserve_result::Reserved;
  local_account &Local = accountOf(Account);
  Local.AverageBound += (static_cast<double>(Bound) - Local.AverageBound) *
                        (Local.AverageBound == 0 ? 1 : BoundSmoothing);
  const std::int64_t Committed =
      Local.UsedByPrevious + Local.UsedByCurrent + Local.Reserved;
  if (Committed + Bound + totalsOfOthers(Account).Used > prepaidOf(Account))
    return relay::reserve_result::Exhausted;
  if (IsPreviousSpendingKnown &&
      Committed + Bound <= spendingLimit(Account, Local)) {
    Local.Reserved += Bound;
    if (Bound >= Local.MaxWaitingBound)
      Local.MaxWaitingBound = 0;
    return relay::reserve_result::Reserved;
  }
  if (IsStoreUnavailable)
    return relay::reserve_result::Unavailable;
  if (IsPreviousSpendingKnown && Committed + Bound <= Local.EffectiveCeiling) {
    CallWaitsForWatermark = true;
    recordWaiting(Local, Bound);
    return relay::reserve_result::Pending;
  }
  if (IsCaughtUp) {
    const std::int64_t Free =
        prepaidOf(Account) - totalsOfOthers(Account).Ceiling - Committed;
    if (Free + totalsOfOthers(Account).IdleTokens < Bound)
      return relay::reserve_result::Exhausted;
  }
  Local.HasNewShortage = true;
  recordWaiting(Local, Bound);
  return relay::reserve_result::Pending;
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

bool grant_holder::settle(std::string_view Account, std::int64_t Bound,
                          std::int64_t Used) {
  if (prepaidOf(Account) >= Unlimited && !Accounts.contains(Account))
    return true;
  local_account &Local = accountOf(Account);
  assert(Used <= Bound && "a call uses at most what it reserved");
  Local.Reserved = std::max<std::int64_t>(0, Local.Reserved - Bound);
  Local.UsedByCurrent += Used;
  Local.UsedSinceRateUpdate += Used;
  return true;
}

void grant_holder::updateRates(time_ms Now) {
  if (RatesUpdatedAt < 0)
    RatesUpdatedAt = Now;
  const double ElapsedMs = static_cast<double>(Now - RatesUpdatedAt);
  if (ElapsedMs < 100)
    return;
  const double Decay = std::exp(-ElapsedMs / Settings.RateSmoothingMs);
  for (auto &[Name, Local] : Accounts) {
    const double LatestRate =
        static_cast<double>(Local.UsedSinceRateUpdate) / ElapsedMs;
    if (Local.RateWeight == 0 && Local.UsedSinceRateUpdate == 0)
      continue;
    Local.BiasedRate = Local.BiasedRate * Decay + LatestRate * (1 - Decay);
    Local.RateWeight = Local.RateWeight * Decay + (1 - Decay);
    Local.SpendingRate =
        Local.BiasedRate / std::max(Local.RateWeight, MinRateWeight);
    Local.UsedSinceRateUpdate = 0;
  }
  RatesUpdatedAt = Now;
}

// Headroom that this instance should have, in addition to the bound of a
// waiting call.
std::int64_t grant_holder::targetHeadroom(std::string_view Name,
                                          const local_account &Local) const {
  const int HeadroomMs = (totalsOfOthers(Name).ShortInstances > 0)
                             ? ShortageHeadroomMs
                             : Settings.HeadroomMs;
  const double Unspent = static_cast<double>(unspentTokens(Name));
  const double OwnUsed =
      static_cast<double>(Local.UsedByPrevious + Local.UsedByCurrent + 1);
  const double TotalUsed =
      OwnUsed + static_cast<double>(totalsOfOthers(Name).Used);
  const std::int64_t RateHeadroom = static_cast<std::int64_t>(
      std::min(Local.SpendingRate * HeadroomMs,
               Settings.MaxRateHeadroomShare * Unspent * OwnUsed / TotalUsed));
  // Headroom that is too small for an average call is useful only to other
  // instances.
  if (totalsOfOthers(Name).ShortInstances > 0)
    return static_cast<double>(RateHeadroom) < Local.AverageBound
               ? 0
               : RateHeadroom;
  const std::int64_t EqualHeadroom = equalShare(Name, Local, Unspent);
  return std::max(RateHeadroom + static_cast<std::int64_t>(Local.AverageBound),
                  EqualHeadroom);
}

// Headroom that every instance holds, so that each can begin to serve an
// account while it is partitioned. An instance holds less of an account whose
// calls go to other instances, since it is unlikely to receive any.
std::int64_t grant_holder::equalShare(std::string_view Name,
                                      const local_account &Local,
                                      double Unspent) const {
  const double Prepaid =
      static_cast<double>(std::max<std::int64_t>(1, prepaidOf(Name)));
  const double UsedByOthers = static_cast<double>(totalsOfOthers(Name).Used);
  const bool CalledElsewhere =
      Local.AverageBound == 0 && UsedByOthers > Prepaid * UsageKnownShare;
  const double Factor = CalledElsewhere ? UncalledShareFactor : 1;
  return static_cast<std::int64_t>(
      Settings.EqualHeadroomShare * Unspent * (Unspent / Prepaid) * Factor /
      static_cast<double>(ActiveOtherInstances + 1));
}

// Tokens that no instance has spent, as far as their records show.
std::int64_t grant_holder::unspentTokens(std::string_view Account) const {
  const auto Found = Accounts.find(Account);
  const std::int64_t Spent =
      Found == Accounts.end()
          ? 0
          : Found->second.UsedByPrevious + Found->second.UsedByCurrent;
  return std::max<std::int64_t>(0, prepaidOf(Account) -
                                       totalsOfOthers(Account).Used - Spent);
}

// True if the ceilings add up to more than the budget, which was lowered.
bool grant_holder::isOverGranted(std::string_view Name,
                                 const local_account &Local) const {
  return prepaidOf(Name) - totalsOfOthers(Name).Ceiling -
             Local.EffectiveCeiling <
         0;
}

// Line of the own record for an account, nullptr if there is none.
const account_line *grant_holder::publishedLine(std::string_view Name) const {
  const holder_record *Record = ownRecord();
  return Record ? lineOf(*Record, Name) : nullptr;
}

// True if the own record contains a ceiling that the budget did not cover and
// no call waits for. Other instances can't use the difference.
bool grant_holder::publishesUngrantedCeiling(std::string_view Name,
                                             const local_account &Local) const {
  const account_line *Published = publishedLine(Name);
  return Published != nullptr && Published->Ceiling > Local.GrantedCeiling &&
         waitingBound(Local) == 0;
}

// True if the own record reports a shortage, but no call waits for tokens any
// more.
bool grant_holder::publishesEndedShortage(std::string_view Name,
                                          const local_account &Local) const {
  const account_line *Published = publishedLine(Name);
  return Published != nullptr && Published->ShortOfTokens &&
         waitingBound(Local) == 0;
}

// Called while other instances are short of tokens. True if this instance holds
// tokens that it does not need, or if its record shows idle tokens that it has
// spent since.
bool grant_holder::shouldUpdateForShortInstances(std::string_view Name,
                                                 std::int64_t Headroom,
                                                 std::int64_t Target) const {
  if (Headroom > Target * ReturnAboveTarget)
    return true;
  const account_line *Published = publishedLine(Name);
  if (Published == nullptr)
    return false;
  const std::int64_t PublishedIdle = Published->Ceiling - Published->Used;
  const std::int64_t MinChange = prepaidOf(Name) / MinChangeDivisor;
  return PublishedIdle > 0 &&
         (Headroom <= 0 || PublishedIdle - Headroom > MinChange);
}

// True if an instance with a lower name is short of tokens too. Only the first
// of several short instances by name gets the remaining tokens: if each kept a
// part that is too small for its calls, no call could be served.
bool grant_holder::isPrecededByShortInstance(std::string_view Name) const {
  for (const auto &[Other, Record] : Records) {
    if (Other >= Instance)
      return false;
    const account_line *Line =
        isActive(Record) ? lineOf(Record, Name) : nullptr;
    if (Line != nullptr && Line->ShortOfTokens)
      return true;
  }
  return false;
}

bool grant_holder::needsChange(std::string_view Name,
                               const local_account &Local) const {
  const std::int64_t Headroom = Local.EffectiveCeiling - Local.UsedByPrevious -
                                Local.UsedByCurrent - Local.Reserved;
  const std::int64_t Target = targetHeadroom(Name, Local) + waitingBound(Local);
  if (Local.HasNewShortage || publishesEndedShortage(Name, Local))
    return true;
  if (totalsOfOthers(Name).ShortInstances > 0 &&
      shouldUpdateForShortInstances(Name, Headroom, Target))
    return true;
  if (isOverGranted(Name, Local))
    return Headroom > 0;
  if (publishesUngrantedCeiling(Name, Local))
    return true;
  const std::int64_t MinChange = prepaidOf(Name) / MinChangeDivisor + 1;
  if (Headroom < Target * RequestBelowTarget) {
    const std::int64_t Free =
        prepaidOf(Name) - totalsOfOthers(Name).Ceiling - Local.EffectiveCeiling;
    return std::min(Free, Target - Headroom) > MinChange;
  }
  return Headroom > Target * ReturnAboveTarget && Headroom - Target > MinChange;
}

bool grant_holder::needsWrite(time_ms Now) {
  updateRates(Now);
  const holder_record *Record = ownRecord();
  if (!IsCaughtUp || Record == nullptr || Record->Incarnation != Incarnation ||
      IsLeaving)
    return !HasReturnedGrants;
  for (const auto &[Name, Local] : Accounts)
    if (prepaidOf(Name) < Unlimited && needsChange(Name, Local))
      return true;
  return false;
}

// The ceiling to request. Sets ShortOfTokens if the ceiling is too low for a
// call that waits.
std::int64_t grant_holder::ceilingToRequest(std::string_view Name,
                                            const local_account &Local,
                                            bool &ShortOfTokens) const {
  const std::int64_t Committed =
      Local.UsedByPrevious + Local.UsedByCurrent + Local.Reserved;
  if (IsLeaving)
    return Committed;
  const std::int64_t Prepaid = prepaidOf(Name);
  const std::int64_t Free = std::max<std::int64_t>(
      0, Prepaid - totalsOfOthers(Name).Ceiling - Committed);
  const std::int64_t Waiting = waitingBound(Local);
  const std::int64_t Target = targetHeadroom(Name, Local) + Waiting;
  const std::int64_t Headroom =
      std::max<std::int64_t>(0, Local.EffectiveCeiling - Committed);
  std::int64_t Grant = std::min(Target, Free);
  // Grants shrink with the free tokens, so that some are left for other
  // instances.
  const std::int64_t MaxGrant =
      std::max({static_cast<std::int64_t>(Settings.MaxGrantShare *
                                          static_cast<double>(Free)),
                std::min(Waiting, Free), std::min(Headroom, Target)});
  Grant = std::min(Grant, MaxGrant);
  ShortOfTokens = Grant < Waiting;
  if (ShortOfTokens && isPrecededByShortInstance(Name))
    return Committed;
  return Committed + Grant;
}

std::optional<holder_record> grant_holder::planWrite(time_ms Now) {
  updateRates(Now);
  const bool NotReadBack =
      !PendingWrites.empty() && PendingWrites.back().IsStored;
  if (!IsCaughtUp || !IsPreviousSpendingKnown || NotReadBack ||
      !needsWrite(Now))
    return std::nullopt;
  holder_record Record;
  Record.Incarnation = Incarnation;
  Record.PeerAddress = PeerAddress;
  Record.HasLeft = IsLeaving;
  const holder_record *Published = ownRecord();
  bool Changes = IsLeaving || Published == nullptr ||
                 Published->Incarnation != Incarnation;
  for (auto &[Name, Local] : Accounts) {
    account_line Line;
    Line.Account = Name;
    Line.Ceiling = ceilingToRequest(Name, Local, Line.ShortOfTokens);
    Line.Used = Local.UsedByPrevious + Local.UsedByCurrent + Local.Reserved;
    Local.HasNewShortage = false;
    const account_line *PublishedLine =
        Published ? lineOf(*Published, Name) : nullptr;
    Changes = Changes || PublishedLine == nullptr ||
              PublishedLine->Ceiling != Line.Ceiling ||
              PublishedLine->ShortOfTokens != Line.ShortOfTokens ||
              (totalsOfOthers(Name).ShortInstances > 0 &&
               PublishedLine->Used != Line.Used);
    Record.Lines.push_back(std::move(Line));
  }
  if (!Changes)
    return std::nullopt;
  Record.WriteNumber = ++LastWriteNumber;
  PendingWrites.push_back({Record, false});
  updateEffectiveCeilings();
  return Record;
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

std::vector<std::pair<std::string, std::string>> grant_holder::peers() const {
  std::vector<std::pair<std::string, std::string>> Result;
  for (const auto &[Name, Record] : Records)
    if (Name != Instance && !Record.HasLeft && !Record.PeerAddress.empty())
      Result.emplace_back(Name, Record.PeerAddress);
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
  Status.OthersCeiling = totalsOfOthers(Account).Ceiling;
  Status.OthersUsed = totalsOfOthers(Account).Used;
  Status.Free = Status.Prepaid - Status.OthersCeiling - Status.Ceiling;
  return Status;
}

} // namespace tamarack::grants
