// The records of all instances and their sums.
#include "tamarack/grants.hpp"

#include <algorithm>
#include <utility>

namespace tamarack::grants {

namespace {

// False for the record of an instance that has left, and for an empty record.
bool isActive(const holder_record &Record) {
  return !Record.HasLeft && Record.Incarnation != 0;
}

// Tokens of Line, of the record Lost, that Record has not counted.
std::int64_t lostTokens(const holder_record &Record, const holder_record &Lost,
                        const account_line &Line) {
  const account_line *Current = findLine(Record, Line.Account);
  return lostTokens(Lost, Line, Record.Base,
                    Current == nullptr ? 0 : Current->Previous);
}

// Makes the ceilings of Record count those of Lost.
void addLost(holder_record &Record, const holder_record &Lost) {
  for (const account_line &Line : Lost.Lines) {
    const std::int64_t Tokens = lostTokens(Record, Lost, Line);
    const auto Found =
        std::ranges::find(Record.Lines, Line.Account, &account_line::Account);
    if (Found == Record.Lines.end())
      Record.Lines.push_back({Line.Account, Tokens});
    else
      Found->Ceiling += Tokens;
  }
}

} // namespace

std::uint64_t eraOf(const holder_record &Record) {
  return Record.WriteNumber >> EraShift;
}

record_id idOf(const holder_record &Record) {
  return {Record.Incarnation, Record.WriteNumber};
}

bool covers(const holder_record &Record, const holder_record &Other) {
  const record_id Wanted = idOf(Other);
  const auto Covers = [Wanted](record_id Id) {
    return Id.Incarnation == Wanted.Incarnation &&
           Id.WriteNumber >= Wanted.WriteNumber;
  };
  return Covers(idOf(Record)) || Covers(Record.Base) ||
         Covers(Record.Recovered);
}

// Ceilings are sums over all incarnations. Those of Lost contain what was
// charged to the incarnation if both began with a record of the same one, or
// the incarnation began with an older record of Lost's.
std::int64_t lostTokens(const holder_record &Lost, const account_line &Line,
                        record_id Base, std::int64_t Previous) {
  const bool ContainsPrevious = Base.Incarnation == Lost.Incarnation ||
                                Base.Incarnation == Lost.Base.Incarnation;
  return ContainsPrevious ? std::max<std::int64_t>(0, Line.Ceiling - Previous)
                          : Line.Ceiling;
}

const account_line *findLine(const holder_record &Record,
                             std::string_view Account) {
  for (const account_line &Line : Record.Lines)
    if (Line.Account == Account)
      return &Line;
  return nullptr;
}

const holder_record *holder_table::ownRecord() const {
  const auto Found = Holders.find(Own);
  return Found == Holders.end() ? nullptr : &Found->second.Record;
}

// Adds what is known of another instance to the totals (Sign 1), or subtracts
// it (Sign -1).
void holder_table::addToTotals(std::string_view Instance, const holder &Known,
                               int Sign) {
  if (Instance == Own)
    return;
  const holder_record &Record = Known.Record;
  ActiveOthers += isActive(Record) ? Sign : 0;
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
  if (!Known.Lost)
    return;
  for (const account_line &Line : Known.Lost->Lines)
    TotalsOfOthers[Line.Account].Ceiling +=
        Sign * lostTokens(Record, *Known.Lost, Line);
}

bool holder_table::isOlder(const holder &Known, const holder_record &Record) {
  if (Known.Record.Incarnation == Record.Incarnation)
    return Record.WriteNumber < Known.Record.WriteNumber;
  return Known.Incarnations.contains(Record.Incarnation);
}

void holder_table::replaceRecord(std::string_view Instance, holder &Known,
                                 holder_record Record) {
  addToTotals(Instance, Known, -1);
  const bool IsSameMember =
      isActive(Known.Record) == isActive(Record) &&
      Known.Record.Zone == Record.Zone &&
      Known.Record.PeerAddress == Record.PeerAddress &&
      Known.Record.ForwardAddress == Record.ForwardAddress;
  MembersVersion += IsSameMember ? 0 : 1;
  holder_record Former = std::exchange(Known.Record, std::move(Record));
  if (Former.Incarnation != 0 &&
      Former.Incarnation != Known.Record.Incarnation) {
    Known.Incarnations.insert(Former.Incarnation);
    // Within one era an incarnation always finds the newest record.
    if (eraOf(Former) < eraOf(Known.Record) && !covers(Known.Record, Former)) {
      if (Known.Lost)
        addLost(Former, *Known.Lost);
      Known.Lost = std::move(Former);
      Known.Stored = stored_state::Missing;
      MayMissRecords = true;
    }
  }
  if (Known.Lost && covers(Known.Record, *Known.Lost)) {
    Known.Lost.reset();
    Known.Stored = stored_state::Stored;
  }
  addToTotals(Instance, Known, 1);
}

bool holder_table::store(std::string_view Instance, holder_record Record) {
  holder &Known = Holders[std::string(Instance)];
  if (isOlder(Known, Record))
    return false;
  if (!Known.Lost)
    Known.Stored = stored_state::Stored;
  replaceRecord(Instance, Known, std::move(Record));
  return true;
}

void holder_table::storeLost(std::string_view Instance, holder_record Record) {
  MayMissRecords = true;
  holder &Known = Holders[std::string(Instance)];
  const holder_record &Remembered = Known.Lost ? *Known.Lost : Known.Record;
  if (Remembered.Incarnation == Record.Incarnation &&
      Remembered.WriteNumber >= Record.WriteNumber) {
    // Another instance may have written an older one than this one knows.
    if (Known.Stored != stored_state::Stored)
      Known.Stored = idOf(Remembered) == idOf(Record) ? stored_state::Restored
                                                      : stored_state::Missing;
    return;
  }
  if (covers(Known.Record, Record))
    return;
  // Newer than the record known, unless that is of an incarnation that began
  // without it.
  const bool IsNewer = Known.Record.Incarnation == 0 ||
                       Known.Record.Incarnation == Record.Incarnation ||
                       Known.Record.Incarnation == Record.Base.Incarnation;
  if (IsNewer && !isOlder(Known, Record)) {
    Known.Stored = stored_state::Restored;
    return replaceRecord(Instance, Known, std::move(Record));
  }
  addToTotals(Instance, Known, -1);
  Known.Lost = std::move(Record);
  Known.Stored = stored_state::Restored;
  addToTotals(Instance, Known, 1);
}

void holder_table::onStoreRestored() {
  MayMissRecords = true;
  for (auto &[Instance, Known] : Holders)
    if (Instance != Own)
      Known.Stored = stored_state::Missing;
}

const holder_record *
holder_table::missingRecord(std::string_view Instance) const {
  const holder &Known = Holders.find(Instance)->second;
  if (Known.Stored != stored_state::Missing)
    return nullptr;
  return Known.Lost ? &*Known.Lost : &Known.Record;
}

void holder_table::onRestored(std::string_view Instance) {
  Holders.find(Instance)->second.Stored = stored_state::Restored;
}

std::vector<std::string> holder_table::others() const {
  std::vector<std::string> Names;
  for (const auto &[Instance, Known] : Holders)
    if (Instance != Own)
      Names.push_back(Instance);
  return Names;
}

int holder_table::activeOthersBefore() const {
  int Count = 0;
  for (const auto &[Instance, Known] : Holders)
    if (Instance < Own && isActive(Known.Record))
      ++Count;
  return Count;
}

bool holder_table::hasRecordBefore(std::uint64_t Era) const {
  return std::any_of(Holders.begin(), Holders.end(),
                     [this, Era](const auto &Item) {
                       const auto &[Instance, Known] = Item;
                       const std::uint64_t RecordEra = eraOf(Known.Record);
                       return Instance != Own && isActive(Known.Record) &&
                              RecordEra != 0 && RecordEra < Era;
                     });
}

const account_totals &
holder_table::totalsOfOthers(std::string_view Account) const {
  static const account_totals None;
  const auto Found = TotalsOfOthers.find(Account);
  return Found == TotalsOfOthers.end() ? None : Found->second;
}

// True if an instance with a lower name is short of tokens too. Only the first
// of several short instances by name gets the remaining tokens: if each kept a
// part that is too small for its calls, no call could be served.
bool holder_table::isPrecededByShortInstance(std::string_view Account) const {
  for (const auto &[Other, Known] : Holders) {
    if (Other >= Own)
      return false;
    const account_line *Line =
        isActive(Known.Record) ? findLine(Known.Record, Account) : nullptr;
    if (Line != nullptr && Line->ShortOfTokens)
      return true;
  }
  return false;
}

std::vector<std::pair<std::string, std::string>> holder_table::peers() const {
  std::vector<std::pair<std::string, std::string>> Result;
  for (const auto &[Name, Known] : Holders)
    if (Name != Own && !Known.Record.HasLeft &&
        !Known.Record.PeerAddress.empty())
      Result.emplace_back(Name, Known.Record.PeerAddress);
  return Result;
}

std::vector<pool_member> holder_table::members() const {
  std::vector<pool_member> Result;
  for (const auto &[Name, Known] : Holders)
    if (isActive(Known.Record))
      Result.push_back({Name, Known.Record.Zone, Known.Record.PeerAddress,
                        Known.Record.ForwardAddress});
  return Result;
}

std::uint64_t holder_table::incarnationOf(std::string_view Instance) const {
  const auto Found = Holders.find(Instance);
  return Found != Holders.end() && isActive(Found->second.Record)
             ? Found->second.Record.Incarnation
             : 0;
}

std::int64_t holder_table::newestConfigurationVersion() const {
  std::int64_t Newest = -1;
  for (const auto &[Name, Known] : Holders)
    if (isActive(Known.Record))
      Newest = std::max(Newest, Known.Record.ConfigurationVersion);
  return Newest;
}

} // namespace tamarack::grants
