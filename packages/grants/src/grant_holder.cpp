// What this instance may spend, and what it asks for or hands back.
#include "tamarack/grants.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace tamarack::grants {

namespace {

constexpr std::int64_t Unlimited = std::numeric_limits<std::int64_t>::max() / 4;
constexpr double LeastWeight = 0.2; // Of a rate that has just begun.
constexpr double BoundSmoothing = 0.05;
constexpr double RaiseBelow = 0.8;             // Of the target.
constexpr double HandBackAbove = 1.5;          // Of the target.
constexpr std::int64_t LeastChangeShare = 500; // Of the budget, 1 in so many.
constexpr int WantedLeadMs = 1'500;   // Held ahead while others are short.
constexpr double SettledShare = 0.02; // Of a budget: by then it is known who
                                      // draws on it.
constexpr double ElsewherePart = 0.2; // Of an equal share, by those who don't.
constexpr int AskFadesMs = 1'000; // After the last call that found too little.

const account_line *lineOf(const holder_record &Record,
                           std::string_view Account) {
  for (const account_line &Line : Record.Lines)
    if (Line.Account == Account)
      return &Line;
  return nullptr;
}

// False for the record of an instance that has left, and for none at all.
bool isLiving(const holder_record &Record) {
  return !Record.Left && Record.Incarnation != 0;
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

const holder_record *grant_holder::own() const {
  const auto Found = Holders.find(Instance);
  return Found == Holders.end() ? nullptr : &Found->second;
}

std::int64_t grant_holder::prepaidOf(std::string_view Account) const {
  const relay::account *Found = Table ? Table->findAccount(Account) : nullptr;
  if (Found == nullptr)
    return 0;
  return Found->PrepaidTokens.value_or(Unlimited);
}

// Adds the lines of another instance's record to the sums, or takes them off.
void grant_holder::count(const holder_record &Record, int Sign) {
  for (const account_line &Line : Record.Lines) {
    account_totals &Totals = Others[Line.Account];
    Totals.Ceiling += Sign * Line.Ceiling;
    Totals.Used += Sign * std::min(Line.Used, Line.Ceiling);
    if (Record.Left)
      continue;
    Totals.Idle += Sign * std::max<std::int64_t>(0, Line.Ceiling - Line.Used);
    Totals.Wanting += Line.Wanted ? Sign : 0;
  }
}

void grant_holder::keep(std::string_view Name, holder_record Record) {
  holder_record &Known = Holders[std::string(Name)];
  if (Name != Instance) {
    count(Known, -1);
    count(Record, 1);
    LivingOthers += (isLiving(Record) ? 1 : 0) - (isLiving(Known) ? 1 : 0);
  }
  Known = std::move(Record);
}

const grant_holder::account_totals &
grant_holder::others(std::string_view Account) const {
  static const account_totals None;
  const auto Found = Others.find(Account);
  return Found == Others.end() ? None : Found->second;
}

void grant_holder::onRecord(std::string_view Key, std::string_view Value,
                            bool Removed) {
  if (Removed)
    return; // Ceilings are never forgotten.
  std::optional<holder_record> Record = decode(Value);
  if (!Record) {
    ++Unreadable;
    return;
  }
  if (Key == Instance && Record->Incarnation == Incarnation)
    onOwnRecord(*Record);
  keep(Key, std::move(*Record));
}

// What is older can't come any more. It may have come before, so that others
// took what it handed back.
void grant_holder::onOwnRecord(const holder_record &Record) {
  for (const pending_write &Write : Pending)
    if (Write.Record.Number <= Record.Number)
      for (const account_line &Line : Write.Record.Lines) {
        local_account &Local = accountOf(Line.Account);
        Local.Granted = std::min(Local.Granted, Line.Ceiling);
      }
  std::erase_if(Pending, [&Record](const pending_write &Write) {
    return Write.Record.Number <= Record.Number;
  });
  if (Record.Left)
    HandedBack = true;
}

void grant_holder::onCaughtUp() {
  CaughtUp = true;
  Away = false;
  adoptOwn();
}

void grant_holder::onFormerMark(std::optional<mark_record> Mark) {
  FormerMark = std::move(Mark);
  FormerMarkKnown = true;
  if (CaughtUp)
    adoptOwn();
}

// Brings the local limits in line with the own record.
void grant_holder::adoptOwn() {
  if (!FormerMarkKnown || !CaughtUp)
    return;
  const holder_record *Record = own();
  const bool IsFormer = Record != nullptr && Record->Incarnation != Incarnation;
  if (IsFormer && !Adopted)
    adoptFormer(*Record);
  Adopted = true;
  if (Record == nullptr || IsFormer)
    return;
  for (const account_line &Line : Record->Lines) {
    local_account &Local = accountOf(Line.Account);
    const std::int64_t Covered =
        prepaidOf(Line.Account) - others(Line.Account).Ceiling;
    Local.Granted = std::max(Local.Granted, std::min(Line.Ceiling, Covered));
  }
  updateLimits();
}

void grant_holder::adoptFormer(const holder_record &Record) {
  for (const account_line &Line : Record.Lines) {
    local_account &Local = accountOf(Line.Account);
    Local.Base = spentAtMost(Record, FormerMark, Line.Account, Line.Ceiling,
                             BootId, Clock.sinceBoot());
    Local.Granted = Local.Base;
    Local.Limit = Local.Base;
  }
}

// While the outcome of writes is open the lowest of their ceilings binds.
void grant_holder::updateLimits() {
  for (auto &[Name, Local] : Accounts)
    Local.Limit = Local.Granted;
  for (const pending_write &Write : Pending)
    for (const account_line &Line : Write.Record.Lines) {
      local_account &Local = accountOf(Line.Account);
      Local.Limit = std::min(Local.Limit, Line.Ceiling);
    }
}

std::int64_t grant_holder::limitOf(std::string_view Name,
                                   const local_account &Local) const {
  return Marks.limitOf(Name, Local.Limit, Clock.sinceBoot());
}

std::optional<mark_record> grant_holder::planMark(time_ms Now) {
  const holder_record *Record = own();
  if (MarkUnderWay || Leaving || !Adopted || Record == nullptr ||
      Record->Incarnation != Incarnation)
    return std::nullopt;
  if (Now < NextMark && !MarkShort)
    return std::nullopt;
  mark_record Mark;
  Mark.Incarnation = Incarnation;
  Mark.BootId = BootId;
  Mark.Stamp = Clock.sinceBoot();
  for (const auto &[Name, Local] : Accounts) {
    const std::int64_t Spent = Local.Base + Local.Used + Local.Reserved;
    const std::int64_t Held = std::max<std::int64_t>(0, Local.Limit - Spent);
    const double ByRate =
        Local.Rate * Settings.MarkLeadMs + 2 * Local.UsualBound;
    const double ByShare = Settings.MarkShare * static_cast<double>(Held);
    const std::int64_t Room =
        static_cast<std::int64_t>(std::max(ByRate, ByShare)) + waiting(Local);
    Mark.Lines.push_back(
        {Name, std::max(Spent, std::min(Local.Limit, Spent + Room))});
  }
  MarkUnderWay = true;
  MarkShort = false;
  NextMark = Now + Settings.MarkPauseMs;
  Marks.onSent(Mark);
  return Mark;
}

void grant_holder::onMarkWritten() {
  MarkUnderWay = false;
  Marks.onWritten();
}

void grant_holder::onMarkUncertain() {
  MarkUnderWay = false;
  Marks.onUncertain();
}

void grant_holder::onMarkRefused() {
  MarkUnderWay = false;
  Marks.onRefused();
}

relay::reserve_result grant_holder::reserve(std::string_view Account,
                                            std::int64_t Bound) {
  if (prepaidOf(Account) >= Unlimited)
    return relay::reserve_result::Reserved;
  local_account &Local = accountOf(Account);
  Local.UsualBound += (static_cast<double>(Bound) - Local.UsualBound) *
                      (Local.UsualBound == 0 ? 1 : BoundSmoothing);
  const std::int64_t Spent = Local.Base + Local.Used + Local.Reserved;
  if (Spent + Bound + others(Account).Used > prepaidOf(Account))
    return relay::reserve_result::Exhausted;
  if (Adopted && Spent + Bound <= limitOf(Account, Local)) {
    Local.Reserved += Bound;
    if (Bound >= Local.Waiting)
      Local.Waiting = 0;
    return relay::reserve_result::Reserved;
  }
  if (Away)
    return relay::reserve_result::Unavailable;
  if (Adopted && Spent + Bound <= Local.Limit) {
    MarkShort = true;
    noteWaiting(Local, Bound);
    return relay::reserve_result::Pending;
  }
  if (CaughtUp) {
    const std::int64_t Free =
        prepaidOf(Account) - others(Account).Ceiling - Spent;
    if (Free + others(Account).Idle < Bound)
      return relay::reserve_result::Exhausted;
  }
  Local.Short = true;
  noteWaiting(Local, Bound);
  return relay::reserve_result::Pending;
}

void grant_holder::noteWaiting(local_account &Local, std::int64_t Bound) const {
  Local.Waiting = std::max(waiting(Local), Bound);
  Local.AskedAt = Clock.monotonic();
}

// Largest bound of a call that found too little a moment ago, 0 if none did.
std::int64_t grant_holder::waiting(const local_account &Local) const {
  return Clock.monotonic() - Local.AskedAt < AskFadesMs ? Local.Waiting : 0;
}

bool grant_holder::settle(std::string_view Account, std::int64_t Bound,
                          std::int64_t Used) {
  if (prepaidOf(Account) >= Unlimited && !Accounts.contains(Account))
    return true;
  local_account &Local = accountOf(Account);
  assert(Used <= Bound && "no call uses more than it reserved");
  Local.Reserved = std::max<std::int64_t>(0, Local.Reserved - Bound);
  Local.Used += Used;
  Local.Recent += Used;
  return true;
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
    if (Local.Weight == 0 && Local.Recent == 0)
      continue;
    Local.RawRate = Local.RawRate * Keep + Latest * (1 - Keep);
    Local.Weight = Local.Weight * Keep + (1 - Keep);
    Local.Rate = Local.RawRate / std::max(Local.Weight, LeastWeight);
    Local.Recent = 0;
  }
  RatesAt = Now;
}

// What this instance would like to have left to spend.
std::int64_t grant_holder::target(std::string_view Name,
                                  const local_account &Local) const {
  const int LeadMs =
      (others(Name).Wanting > 0) ? WantedLeadMs : Settings.LeadMs;
  const double Left = static_cast<double>(leftOf(Name));
  const double Mine = static_cast<double>(Local.Base + Local.Used + 1);
  const double All = Mine + static_cast<double>(others(Name).Used);
  const std::int64_t Lead = static_cast<std::int64_t>(
      std::min(Local.Rate * LeadMs, Settings.LeadShares * Left * Mine / All));
  // A rest that is too small for a usual call is of use only to others.
  if (others(Name).Wanting > 0)
    return static_cast<double>(Lead) < Local.UsualBound ? 0 : Lead;
  const std::int64_t Equal = equalShare(Name, Local, Left);
  return std::max(Lead + static_cast<std::int64_t>(Local.UsualBound), Equal);
}

// Held by all, so that each can begin to serve an account while it is cut off.
// An account whose calls come to other instances will hardly come here.
std::int64_t grant_holder::equalShare(std::string_view Name,
                                      const local_account &Local,
                                      double Left) const {
  const double Prepaid =
      static_cast<double>(std::max<std::int64_t>(1, prepaidOf(Name)));
  const double Told = static_cast<double>(others(Name).Used);
  const bool Elsewhere = Local.UsualBound == 0 && Told > Prepaid * SettledShare;
  const double Part = Elsewhere ? ElsewherePart : 1;
  return static_cast<std::int64_t>(Settings.EqualShares * Left *
                                   (Left / Prepaid) * Part /
                                   static_cast<double>(LivingOthers + 1));
}

// What nobody has spent yet, as far as is known.
std::int64_t grant_holder::leftOf(std::string_view Account) const {
  const auto Found = Accounts.find(Account);
  const std::int64_t Spent =
      Found == Accounts.end() ? 0 : Found->second.Base + Found->second.Used;
  return std::max<std::int64_t>(0, prepaidOf(Account) - others(Account).Used -
                                       Spent);
}

// More is granted than there is: the budget was lowered.
bool grant_holder::isOverGranted(std::string_view Name,
                                 const local_account &Local) const {
  return prepaidOf(Name) - others(Name).Ceiling - Local.Limit < 0;
}

// What the own record says of an account, nullptr if it does not.
const account_line *grant_holder::told(std::string_view Name) const {
  const holder_record *Record = own();
  return Record ? lineOf(*Record, Name) : nullptr;
}

// The record claims more than the budget covered, which is lost to others.
bool grant_holder::asksTooMuch(std::string_view Name,
                               const local_account &Local) const {
  const account_line *Told = told(Name);
  return Told != nullptr && Told->Ceiling > Local.Granted &&
         waiting(Local) == 0;
}

// The record still asks others for money that no call waits for any more.
bool grant_holder::wasWanting(std::string_view Name,
                              const local_account &Local) const {
  const account_line *Told = told(Name);
  return Told != nullptr && Told->Wanted && waiting(Local) == 0;
}

// Others are short of money, and this instance holds some that it does not
// need, or its record tells of some that it has spent since.
bool grant_holder::isMissedByOthers(std::string_view Name, std::int64_t Left,
                                    std::int64_t Target) const {
  if (Left > Target * HandBackAbove)
    return true;
  const account_line *Told = told(Name);
  if (Told == nullptr)
    return false;
  const std::int64_t ToldIdle = Told->Ceiling - Told->Used;
  const std::int64_t Worth = prepaidOf(Name) / LeastChangeShare;
  return ToldIdle > 0 && (Left <= 0 || ToldIdle - Left > Worth);
}

// Of several that are short of money the first by name gets the rest; each
// keeping a part too small for its calls would help none of them.
bool grant_holder::yieldsToAnother(std::string_view Name) const {
  for (const auto &[Other, Record] : Holders) {
    if (Other >= Instance)
      return false;
    const account_line *Line =
        isLiving(Record) ? lineOf(Record, Name) : nullptr;
    if (Line != nullptr && Line->Wanted)
      return true;
  }
  return false;
}

bool grant_holder::needsChange(std::string_view Name,
                               const local_account &Local) const {
  const std::int64_t Left =
      Local.Limit - Local.Base - Local.Used - Local.Reserved;
  const std::int64_t Target = target(Name, Local) + waiting(Local);
  if (Local.Short || wasWanting(Name, Local))
    return true;
  if (others(Name).Wanting > 0 && isMissedByOthers(Name, Left, Target))
    return true;
  if (isOverGranted(Name, Local))
    return Left > 0;
  if (asksTooMuch(Name, Local))
    return true;
  const std::int64_t Worth = prepaidOf(Name) / LeastChangeShare + 1;
  if (Left < Target * RaiseBelow) {
    const std::int64_t Free =
        prepaidOf(Name) - others(Name).Ceiling - Local.Limit;
    return std::min(Free, Target - Left) > Worth;
  }
  return Left > Target * HandBackAbove && Left - Target > Worth;
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
      std::max<std::int64_t>(0, Prepaid - others(Name).Ceiling - Spent);
  const std::int64_t Waiting = waiting(Local);
  const std::int64_t Target = target(Name, Local) + Waiting;
  const std::int64_t Left = std::max<std::int64_t>(0, Local.Limit - Spent);
  std::int64_t Grant = std::min(Target, Free);
  // The less is free, the smaller the grants, so that some is left for others.
  const std::int64_t Cap =
      std::max({static_cast<std::int64_t>(Settings.LargestShare *
                                          static_cast<double>(Free)),
                std::min(Waiting, Free), std::min(Left, Target)});
  Grant = std::min(Grant, Cap);
  Wanted = Grant < Waiting;
  if (Wanted && yieldsToAnother(Name))
    return Spent;
  return Spent + Grant;
}

std::optional<holder_record> grant_holder::plan(time_ms Now) {
  updateRates(Now);
  const bool NotReadBack = !Pending.empty() && Pending.back().Stored;
  if (!CaughtUp || !Adopted || NotReadBack || !wantsWrite(Now))
    return std::nullopt;
  holder_record Record;
  Record.Incarnation = Incarnation;
  Record.PeerAddress = PeerAddress;
  Record.Left = Leaving;
  const holder_record *Before = own();
  bool Changes =
      Leaving || Before == nullptr || Before->Incarnation != Incarnation;
  for (auto &[Name, Local] : Accounts) {
    account_line Line;
    Line.Account = Name;
    Line.Ceiling = wantedCeiling(Name, Local, Line.Wanted);
    Line.Used = Local.Base + Local.Used + Local.Reserved;
    Local.Short = false;
    const account_line *Known = Before ? lineOf(*Before, Name) : nullptr;
    Changes = Changes || Known == nullptr || Known->Ceiling != Line.Ceiling ||
              Known->Wanted != Line.Wanted ||
              (others(Name).Wanting > 0 && Known->Used != Line.Used);
    Record.Lines.push_back(std::move(Line));
  }
  if (!Changes)
    return std::nullopt;
  Record.Number = ++LastNumber;
  Pending.push_back({Record, false});
  updateLimits();
  return Record;
}

std::vector<grant_holder::pending_write>::iterator
grant_holder::pendingOf(std::uint64_t Number) {
  return std::find_if(Pending.begin(), Pending.end(),
                      [Number](const pending_write &Write) {
                        return Write.Record.Number == Number;
                      });
}

void grant_holder::onWritten(std::uint64_t Number) {
  const auto Found = pendingOf(Number);
  if (Found == Pending.end())
    return; // Read back already.
  Found->Stored = true;
  HandedBack = HandedBack || Found->Record.Left;
}

void grant_holder::onRejected(std::uint64_t Number) {
  const auto Found = pendingOf(Number);
  if (Found != Pending.end())
    Pending.erase(Found);
  updateLimits();
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
  Status.Prepaid = prepaidOf(Account);
  Status.OthersCeiling = others(Account).Ceiling;
  Status.OthersUsed = others(Account).Used;
  Status.Free = Status.Prepaid - Status.OthersCeiling - Status.Ceiling;
  return Status;
}

} // namespace tamarack::grants
