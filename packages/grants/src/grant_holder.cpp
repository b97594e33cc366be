// What this instance may spend, and what it asks for or hands back.
#include "tamarack/grants.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace tamarack::grants {

namespace {

constexpr std::int64_t Unlimited = std::numeric_limits<std::int64_t>::max() / 4;
constexpr int WantedLeadMs = 1'500; // Held ahead while others are short.

const account_line *lineOf(const holder_record &Record,
                           std::string_view Account) {
  for (const account_line &Line : Record.Lines)
    if (Line.Account == Account)
      return &Line;
  return nullptr;
}

} // namespace

grant_holder::grant_holder(std::string Instance, std::uint64_t Incarnation,
                           std::string PeerAddress, grant_settings Settings)
    : Instance(std::move(Instance)), Incarnation(Incarnation),
      PeerAddress(std::move(PeerAddress)), Settings(Settings) {}

void grant_holder::setBudgets(std::shared_ptr<const relay::route_table> To) {
  Table = std::move(To);
  for (const auto &[Name, Account] : Table->accounts())
    if (Account.Prepaid)
      accountOf(Name);
}

grant_holder::local_account &grant_holder::accountOf(std::string_view Name) {
  const auto Found = Accounts.find(Name);
  if (Found != Accounts.end())
    return Found->second;
  return Accounts[std::string(Name)];
}

const holder_record *grant_holder::own() const {
  const auto Found = Holders.find(Instance);
  return Found == Holders.end() ? nullptr : &Found->second;
}

std::int64_t grant_holder::prepaidOf(std::string_view Account) const {
  const relay::account *Found =
      Table ? Table->findAccount(Account) : nullptr;
  if (Found == nullptr)
    return 0;
  return Found->Prepaid.value_or(Unlimited);
}

std::int64_t grant_holder::othersCeiling(std::string_view Account) const {
  std::int64_t Sum = 0;
  for (const auto &[Name, Record] : Holders)
    if (Name != Instance)
      if (const account_line *Line = lineOf(Record, Account))
        Sum += Line->Ceiling;
  return Sum;
}

std::int64_t grant_holder::othersUsed(std::string_view Account) const {
  std::int64_t Sum = 0;
  for (const auto &[Name, Record] : Holders)
    if (Name != Instance)
      if (const account_line *Line = lineOf(Record, Account))
        Sum += std::min(Line->Used, Line->Ceiling);
  return Sum;
}

std::int64_t grant_holder::othersIdle(std::string_view Account) const {
  std::int64_t Sum = 0;
  for (const auto &[Name, Record] : Holders)
    if (Name != Instance && !Record.Left)
      if (const account_line *Line = lineOf(Record, Account))
        Sum += std::max<std::int64_t>(0, Line->Ceiling - Line->Used);
  return Sum;
}

bool grant_holder::othersWant(std::string_view Account) const {
  for (const auto &[Name, Record] : Holders)
    if (Name != Instance && !Record.Left)
      if (const account_line *Line = lineOf(Record, Account))
        if (Line->Wanted)
          return true;
  return false;
}

void grant_holder::onRecord(std::uint64_t Offset, std::string_view Key,
                            std::string_view Value, bool Removed) {
  End = std::max(End, Offset + 1);
  if (Removed)
    return; // Ceilings are never forgotten.
  std::optional<holder_record> Record = decode(Value);
  if (!Record) {
    ++Unreadable;
    return;
  }
  Holders[std::string(Key)] = std::move(*Record);
}

void grant_holder::onCaughtUp(std::uint64_t NewEnd) {
  End = std::max(End, NewEnd);
  CaughtUp = true;
  // A write whose condition no longer holds can't land any more.
  std::erase_if(Pending,
                [this](const pending_write &Write) { return Write.At < End; });
  adoptOwn();
}

// Brings the local limits in line with the own record.
void grant_holder::adoptOwn() {
  const holder_record *Record = own();
  if (Record != nullptr && Record->Incarnation != Incarnation) {
    // Left by a former incarnation: all of it counts as spent.
    for (const account_line &Line : Record->Lines) {
      local_account &Local = accountOf(Line.Account);
      Local.Base = std::max(Local.Base, Line.Ceiling);
      Local.Limit = Local.Base;
    }
    Adopted = true;
    return;
  }
  Adopted = true;
  if (Record == nullptr)
    return;
  for (const account_line &Line : Record->Lines) {
    std::int64_t Limit = Line.Ceiling;
    for (const pending_write &Write : Pending) {
      const account_line *Uncertain = lineOf(Write.Record, Line.Account);
      Limit = std::min(Limit, Uncertain ? Uncertain->Ceiling : 0);
    }
    local_account &Local = accountOf(Line.Account);
    Local.Limit = Limit;
    assert(Local.Base <= Line.Ceiling || Record->Left);
  }
}

relay::reserve_result grant_holder::reserve(std::string_view Account,
                                            std::int64_t Bound) {
  if (prepaidOf(Account) >= Unlimited)
    return relay::reserve_result::Reserved;
  local_account &Local = accountOf(Account);
  Local.LargestBound = std::max(Local.LargestBound, Bound);
  const std::int64_t Spent = Local.Base + Local.Used + Local.Reserved;
  if (Spent + Bound + othersUsed(Account) > prepaidOf(Account))
    return relay::reserve_result::Exhausted;
  if (Adopted && Spent + Bound <= Local.Limit) {
    Local.Reserved += Bound;
    return relay::reserve_result::Reserved;
  }
  if (CaughtUp) {
    const std::int64_t Free =
        prepaidOf(Account) - othersCeiling(Account) - Spent;
    if (Free + othersIdle(Account) < Bound)
      return relay::reserve_result::Exhausted;
  }
  Local.Short = true;
  return relay::reserve_result::Pending;
}

void grant_holder::settle(std::string_view Account, std::int64_t Bound,
                          std::int64_t Used) {
  if (prepaidOf(Account) >= Unlimited && !Accounts.contains(Account))
    return;
  local_account &Local = accountOf(Account);
  assert(Used <= Bound && "no call uses more than it reserved");
  Local.Reserved = std::max<std::int64_t>(0, Local.Reserved - Bound);
  Local.Used += Used;
  Local.Recent += Used;
}

void grant_holder::updateRates(time_ms Now) {
  if (RatesAt < 0)
    RatesAt = Now;
  const double Passed = static_cast<double>(Now - RatesAt);
  if (Passed < 100)
    return;
  const double Keep = std::exp(-Passed / Settings.RateMs);
  for (auto &[Name, Local] : Accounts) {
    const double Latest = static_cast<double>(Local.Recent) / Passed;
    Local.Rate = Local.Rate * Keep + Latest * (1 - Keep);
    Local.Recent = 0;
  }
  RatesAt = Now;
}

// What this instance would like to have left to spend.
std::int64_t grant_holder::target(std::string_view Name,
                                  const local_account &Local) const {
  const int LeadMs = othersWant(Name) ? WantedLeadMs : Settings.LeadMs;
  const std::int64_t Lead =
      static_cast<std::int64_t>(Local.Rate * LeadMs);
  if (othersWant(Name))
    return Lead + (Local.Short ? Local.LargestBound : 0);
  const double Share =
      std::min(Settings.FirstShare,
               Settings.FirstShares / static_cast<double>(Holders.size() + 1));
  const std::int64_t First =
      Local.Used > 0 ? 0
                     : static_cast<std::int64_t>(
                           Share * static_cast<double>(prepaidOf(Name)));
  return std::max(Lead + 2 * Local.LargestBound, First);
}

// More is granted than there is: the budget was lowered.
bool grant_holder::isOverGranted(std::string_view Name,
                                 const local_account &Local) const {
  return prepaidOf(Name) - othersCeiling(Name) - Local.Limit < 0;
}

bool grant_holder::needsChange(std::string_view Name,
                               const local_account &Local) const {
  const std::int64_t Left =
      Local.Limit - Local.Base - Local.Used - Local.Reserved;
  const std::int64_t Target = target(Name, Local);
  if (Local.Short)
    return true;
  if (isOverGranted(Name, Local))
    return Left > 0;
  if (Left < Target / 2) {
    const std::int64_t Free =
        prepaidOf(Name) - othersCeiling(Name) - Local.Limit;
    return Free > Local.LargestBound;
  }
  const std::int64_t Worth = prepaidOf(Name) / 200;
  return Left > 2 * Target && Left - Target > std::max<std::int64_t>(Worth, 1);
}

bool grant_holder::wantsWrite(time_ms Now) {
  updateRates(Now);
  const holder_record *Record = own();
  if (!CaughtUp || Record == nullptr || Record->Incarnation != Incarnation ||
      Leaving)
    return !HandedBack;
  for (const auto &[Name, Local] : Accounts)
    if (prepaidOf(Name) < Unlimited && needsChange(Name, Local))
      return true;
  return false;
}

// The ceiling to ask for.
std::int64_t grant_holder::wantedCeiling(std::string_view Name,
                                         const local_account &Local,
                                         bool &Wanted) const {
  const std::int64_t Spent = Local.Base + Local.Used + Local.Reserved;
  if (Leaving)
    return Spent;
  const std::int64_t Prepaid = prepaidOf(Name);
  const std::int64_t Free =
      std::max<std::int64_t>(0, Prepaid - othersCeiling(Name) - Spent);
  const std::int64_t Target = target(Name, Local);
  const std::int64_t Left = std::max<std::int64_t>(0, Local.Limit - Spent);
  std::int64_t Grant = std::min(Target, Free);
  // The less is free, the smaller the grants, so that some is left for others.
  const std::int64_t Cap = std::max(
      {static_cast<std::int64_t>(Settings.LargestShare *
                                 static_cast<double>(Free)),
       std::min(Local.LargestBound, Free), std::min(Left, Target)});
  Grant = std::min(Grant, Cap);
  Wanted = Local.Short && Grant < Local.LargestBound;
  return Spent + Grant;
}

std::optional<grant_write> grant_holder::plan(time_ms Now) {
  updateRates(Now);
  if (!CaughtUp || !wantsWrite(Now))
    return std::nullopt;
  holder_record Record;
  Record.Incarnation = Incarnation;
  Record.PeerAddress = PeerAddress;
  Record.Left = Leaving;
  for (auto &[Name, Local] : Accounts) {
    account_line Line;
    Line.Account = Name;
    Line.Ceiling = wantedCeiling(Name, Local, Line.Wanted);
    Line.Used = Local.Base + Local.Used + Local.Reserved;
    Local.Short = false;
    // Until the outcome is certain the lower of both ceilings binds.
    Local.Limit = std::min(Local.Limit, Line.Ceiling);
    Record.Lines.push_back(std::move(Line));
  }
  grant_write Write{End, encode(Record)};
  Pending.push_back({End, std::move(Record)});
  return Write;
}

void grant_holder::onWritten(std::uint64_t At) {
  const auto Found =
      std::find_if(Pending.begin(), Pending.end(),
                   [At](const pending_write &Write) { return Write.At == At; });
  if (Found == Pending.end())
    return;
  Holders[Instance] = Found->Record;
  if (Found->Record.Left)
    HandedBack = true;
  onCaughtUp(At + 1);
}

void grant_holder::onRejected(std::uint64_t At) {
  std::erase_if(Pending,
                [At](const pending_write &Write) { return Write.At == At; });
  adoptOwn();
}

std::vector<std::pair<std::string, std::string>> grant_holder::peers() const {
  std::vector<std::pair<std::string, std::string>> Result;
  for (const auto &[Name, Record] : Holders)
    if (Name != Instance && !Record.Left && !Record.PeerAddress.empty())
      Result.emplace_back(Name, Record.PeerAddress);
  return Result;
}

account_status grant_holder::statusOf(std::string_view Account) const {
  account_status Status;
  const auto Found = Accounts.find(Account);
  if (Found != Accounts.end()) {
    Status.Ceiling = Found->second.Limit;
    Status.Used = Found->second.Base + Found->second.Used;
    Status.Reserved = Found->second.Reserved;
  }
  Status.Free =
      prepaidOf(Account) - othersCeiling(Account) - Status.Ceiling;
  return Status;
}

} // namespace tamarack::grants
