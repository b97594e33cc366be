// What a grant_holder requests, keeps and returns.
#include "tamarack/grants.hpp"

#include <algorithm>

namespace tamarack::grants {

namespace {

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

} // namespace

// Headroom that this instance should have, in addition to the bound of a
// waiting call.
std::int64_t grant_holder::targetHeadroom(std::string_view Name,
                                          const local_account &Local) const {
  const int HeadroomMs = (Holders.totalsOfOthers(Name).ShortInstances > 0)
                             ? ShortageHeadroomMs
                             : Settings.HeadroomMs;
  const double Unspent = static_cast<double>(unspentTokens(Name));
  const double OwnUsed =
      static_cast<double>(Local.UsedByPrevious + Local.UsedByCurrent + 1);
  const double TotalUsed =
      OwnUsed + static_cast<double>(Holders.totalsOfOthers(Name).Used);
  const std::int64_t RateHeadroom = static_cast<std::int64_t>(
      std::min(Local.Rate.perMs() * HeadroomMs,
               Settings.MaxRateHeadroomShare * Unspent * OwnUsed / TotalUsed));
  // Headroom that is too small for an average call is useful only to other
  // instances.
  const bool IsTooSmall =
      static_cast<double>(RateHeadroom) < Local.AverageBound;
  if (Holders.totalsOfOthers(Name).ShortInstances > 0)
    return IsTooSmall ? 0 : RateHeadroom;
  if (!Pools.isHolder(Name))
    return IsTooSmall
               ? 0
               : RateHeadroom + static_cast<std::int64_t>(Local.AverageBound);
  const std::int64_t EqualHeadroom = equalShare(Name, Local, Unspent);
  return std::max(RateHeadroom + static_cast<std::int64_t>(Local.AverageBound),
                  EqualHeadroom);
}

// Headroom that every holder of a pool has, so that its zone can begin to serve
// an account while it is partitioned. A holder has less of an account whose
// calls go to other instances, since it is unlikely to receive any.
std::int64_t grant_holder::equalShare(std::string_view Name,
                                      const local_account &Local,
                                      double Unspent) const {
  if (awaitsMembers())
    return 0;
  const double Prepaid =
      static_cast<double>(std::max<std::int64_t>(1, prepaidOf(Name)));
  const double UsedByOthers =
      static_cast<double>(Holders.totalsOfOthers(Name).Used);
  const bool CalledElsewhere =
      Local.AverageBound == 0 && UsedByOthers > Prepaid * UsageKnownShare;
  const double Factor = CalledElsewhere ? UncalledShareFactor : 1;
  return static_cast<std::int64_t>(Settings.EqualHeadroomShare * Unspent *
                                   (Unspent / Prepaid) * Factor /
                                   static_cast<double>(Pools.holderCount()));
}

// Tokens that no instance has spent, as far as their records show.
std::int64_t grant_holder::unspentTokens(std::string_view Account) const {
  const auto Found = Accounts.find(Account);
  const std::int64_t Spent =
      Found == Accounts.end()
          ? 0
          : Found->second.UsedByPrevious + Found->second.UsedByCurrent;
  return std::max<std::int64_t>(
      0, prepaidOf(Account) - Holders.totalsOfOthers(Account).Used - Spent);
}

// True if the ceilings add up to more than the budget, which was lowered.
bool grant_holder::isOverGranted(std::string_view Name,
                                 const local_account &Local) const {
  return prepaidOf(Name) - Holders.totalsOfOthers(Name).Ceiling -
             Local.EffectiveCeiling <
         0;
}

// Line of the own record for an account, nullptr if there is none.
const account_line *grant_holder::publishedLine(std::string_view Name) const {
  const holder_record *Record = Holders.ownRecord();
  return Record ? findLine(*Record, Name) : nullptr;
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

bool grant_holder::needsChange(std::string_view Name,
                               const local_account &Local) const {
  const std::int64_t Headroom = Local.EffectiveCeiling - committedTokens(Local);
  const std::int64_t Target = targetHeadroom(Name, Local) + waitingBound(Local);
  if (Local.HasNewShortage || publishesEndedShortage(Name, Local))
    return true;
  if (Holders.totalsOfOthers(Name).ShortInstances > 0 &&
      shouldUpdateForShortInstances(Name, Headroom, Target))
    return true;
  if (isOverGranted(Name, Local))
    return Headroom > 0;
  if (publishesUngrantedCeiling(Name, Local))
    return true;
  const std::int64_t MinChange = prepaidOf(Name) / MinChangeDivisor + 1;
  if (Headroom < Target * RequestBelowTarget) {
    const std::int64_t Free = prepaidOf(Name) -
                              Holders.totalsOfOthers(Name).Ceiling -
                              Local.EffectiveCeiling;
    return std::min(Free, Target - Headroom) > MinChange;
  }
  return Headroom > Target * ReturnAboveTarget && Headroom - Target > MinChange;
}

bool grant_holder::needsWrite(time_ms Now) {
  updateRates(Now);
  const holder_record *Record = Holders.ownRecord();
  if (!IsCaughtUp || Record == nullptr ||
      Record->Incarnation != Identity.Incarnation || IsLeaving)
    return !HasReturnedGrants;
  if (MustRestate)
    return true;
  for (const auto &[Name, Local] : Accounts)
    if (!isUnlimited(Name) && needsChange(Name, Local))
      return true;
  return false;
}

// The ceiling to request. Sets ShortOfTokens if the ceiling is too low for a
// call that waits.
std::int64_t grant_holder::ceilingToRequest(std::string_view Name,
                                            const local_account &Local,
                                            bool &ShortOfTokens) const {
  const std::int64_t Committed = committedTokens(Local);
  if (IsLeaving)
    return Committed;
  const std::int64_t Prepaid = prepaidOf(Name);
  const std::int64_t Free = std::max<std::int64_t>(
      0, Prepaid - Holders.totalsOfOthers(Name).Ceiling - Committed);
  const std::int64_t Waiting = waitingBound(Local);
  const std::int64_t Target =
      targetHeadroom(Name, Local) + std::max(Waiting, Local.MissingTokens);
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
  if (awaitsRestatements())
    Grant = std::min(Grant, Headroom);
  ShortOfTokens = Grant < Waiting;
  if (ShortOfTokens && Holders.isPrecededByShortInstance(Name))
    return Committed;
  return Committed + Grant;
}

account_line grant_holder::lineFor(const std::string &Name,
                                   local_account &Local) const {
  account_line Line;
  Line.Account = Name;
  Line.Ceiling = ceilingToRequest(Name, Local, Line.ShortOfTokens);
  Line.Used = committedTokens(Local);
  Line.Previous = Local.UsedByPrevious;
  Local.HasNewShortage = false;
  Local.MissingTokens = 0;
  return Line;
}

bool grant_holder::differs(const account_line *Published,
                           const account_line &Line) const {
  static const account_line None;
  const account_line &Former = Published == nullptr ? None : *Published;
  return Former.Ceiling != Line.Ceiling ||
         Former.ShortOfTokens != Line.ShortOfTokens ||
         (Holders.totalsOfOthers(Line.Account).ShortInstances > 0 &&
          Former.Used != Line.Used);
}

// False if the line says nothing. A ceiling of 0 must be written as long as a
// higher one is granted, or may be: only a line takes the grant away.
bool grant_holder::needsLine(const local_account &Local,
                             const account_line &Line) const {
  if (Line.Ceiling > 0 || Line.ShortOfTokens || Local.GrantedCeiling > 0)
    return true;
  const account_line *Published = publishedLine(Line.Account);
  return (Published != nullptr && Published->Ceiling > 0) ||
         std::any_of(PendingWrites.begin(), PendingWrites.end(),
                     [&Line](const pending_write &Write) {
                       const account_line *Pending =
                           findLine(Write.Record, Line.Account);
                       return Pending != nullptr && Pending->Ceiling > 0;
                     });
}

std::optional<holder_record> grant_holder::planWrite(time_ms Now) {
  updateRates(Now);
  const bool NotReadBack =
      !PendingWrites.empty() && PendingWrites.back().IsStored;
  if (!IsCaughtUp || !IsPreviousSpendingKnown || NotReadBack ||
      !needsWrite(Now))
    return std::nullopt;
  holder_record Record;
  Record.Incarnation = Identity.Incarnation;
  Record.PeerAddress = Identity.PeerAddress;
  Record.Zone = Identity.Zone;
  Record.ForwardAddress = Identity.ForwardAddress;
  Record.ConfigurationVersion = Table ? Table->Version : -1;
  Record.HasLeft = IsLeaving;
  Record.Base = Base;
  Record.Recovered = Recovered;
  const holder_record *Published = Holders.ownRecord();
  bool Changes = IsLeaving || MustRestate || Published == nullptr ||
                 Published->Incarnation != Identity.Incarnation;
  for (auto &[Name, Local] : Accounts) {
    account_line Line = lineFor(Name, Local);
    Changes = Changes || differs(publishedLine(Name), Line);
    if (needsLine(Local, Line))
      Record.Lines.push_back(std::move(Line));
  }
  if (!Changes)
    return std::nullopt;
  LastWriteNumber = std::max(LastWriteNumber, Era << EraShift) + 1;
  Record.WriteNumber = LastWriteNumber;
  PendingWrites.push_back({Record, false});
  updateEffectiveCeilings();
  return Record;
}

} // namespace tamarack::grants
