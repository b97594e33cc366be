// Grants held by one incarnation.
#include "tamarack/money.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack::money {

namespace {

constexpr time_ms RateSampleMs = 500; // Shortest sample of the demand.
constexpr time_ms ScarceMs = 10'000;  // No asking ahead after a shortage.
constexpr double RiseSeconds = 1.0;   // Time constant of a rising rate.
constexpr double FallSeconds = 60.0;  // Time constant of a falling rate.

} // namespace

held_grants::held_grants(incarnation_id Self, const grant_policy &Policy)
    : Self(Self), Policy(Policy) {}

std::optional<reservation> held_grants::reserve(std::string_view Budget,
                                                const request_key &Key,
                                                amount Amount, time_ms Now) {
  assert(Amount > 0 && "free requests need no reservation");
  auto Found = Demands.find(Budget);
  if (Found == Demands.end())
    Found = Demands.emplace(std::string(Budget), budget_demand{}).first;
  grant_id Id;
  held_grant *Grant = findFitting(Found->second, Amount, Id);
  if (Grant == nullptr)
    return std::nullopt;
  Grant->Reserved += Amount;
  Grant->Live.emplace(++LastReservation, Amount);
  noteDemand(Found->second, Amount, Now);
  return reservation{Id, LastReservation, Key, Amount};
}

// Prefers grants that are not retiring, so that old ones can be closed.
held_grants::held_grant *held_grants::findFitting(const budget_demand &Demand,
                                                  amount Amount,
                                                  grant_id &Found) {
  held_grant *Fallback = nullptr;
  for (const grant_id &Id : Demand.Grants) {
    held_grant &Grant = Open.at(Id);
    if (Grant.Sealed || Grant.Closing || Grant.free() < Amount)
      continue;
    if (Grant.Retiring && Fallback != nullptr)
      continue;
    Found = Id;
    if (!Grant.Retiring)
      return &Grant;
    Fallback = &Grant;
  }
  return Fallback;
}

settle_result held_grants::settle(const reservation &Reservation,
                                  time_ms CreatedAt, amount Actual) {
  assert(Actual >= 0 && Actual <= Reservation.Amount &&
         "the bill must not exceed the reservation");
  auto Found = Open.find(Reservation.Grant);
  if (Found == Open.end() || Found->second.Sealed)
    return settle_result::UnknownReservation;
  held_grant &Grant = Found->second;
  if (Grant.Live.erase(Reservation.Id) == 0)
    return settle_result::UnknownReservation;
  Grant.Reserved -= Reservation.Amount;
  Grant.Billed += Actual;
  Grant.Lines.push_back({Reservation.Key, CreatedAt, Actual});
  return settle_result::Billed;
}

void held_grants::release(const reservation &Reservation) {
  auto Found = Open.find(Reservation.Grant);
  if (Found == Open.end() || Found->second.Live.erase(Reservation.Id) == 0)
    return;
  Found->second.Reserved -= Reservation.Amount;
}

std::optional<grant_entry> held_grants::makeGrantRequest(
    std::string_view Budget, const waiting_demand &Need,
    const budget_state &Budgeted, incarnation_id Witness, int HolderCount,
    time_ms Now) {
  auto Found = Demands.find(Budget);
  if (Found == Demands.end() || Found->second.Pending)
    return std::nullopt;
  const grant_request_size Wish =
      Policy.requestSize(demandOf(Budget, Need, Budgeted, HolderCount, Now));
  if (Wish.Maximum <= 0)
    return std::nullopt;
  grant_entry Entry;
  Entry.Grant = {Self, ++LastNumber};
  Entry.Budget = std::string(Budget);
  Entry.Witness = Witness;
  Entry.Maximum = Wish.Maximum;
  Entry.Minimum = Wish.Minimum;
  Found->second.Pending = Entry.Grant;
  return Entry;
}

std::vector<return_entry> held_grants::returnIdleTokens(
    std::string_view Budget, const waiting_demand &Need,
    const budget_state &Budgeted, int HolderCount, time_ms Now) {
  std::vector<return_entry> Returns;
  auto Found = Demands.find(Budget);
  if (Found == Demands.end())
    return Returns;
  amount Rest =
      Policy.returnAmount(demandOf(Budget, Need, Budgeted, HolderCount, Now));
  for (const grant_id &Id : Found->second.Grants) {
    held_grant &Grant = Open.at(Id);
    if (Grant.Sealed || Grant.Closing)
      continue;
    const amount Part = std::min(Rest, Grant.free());
    if (Part <= 0)
      continue;
    Grant.Amount -= Part; // Own limit first, the log after.
    Rest -= Part;
    Returns.push_back({Id, Part});
  }
  return Returns;
}

void held_grants::recordShortage(std::string_view Budget, time_ms Now) {
  auto Found = Demands.find(Budget);
  if (Found != Demands.end())
    Found->second.ScarceSince = Now;
}

std::vector<bill_entry> held_grants::drainBills() {
  std::vector<bill_entry> Bills;
  for (auto &[Id, Grant] : Open) {
    if (Grant.Lines.empty())
      continue;
    Bills.push_back({Id, std::move(Grant.Lines)});
    Grant.Lines.clear();
  }
  return Bills;
}

void held_grants::onOpened(const grant_id &Id, const grant_state &State) {
  held_grant Grant;
  Grant.Budget = State.Budget;
  Grant.Witness = State.Witness;
  Grant.Amount = State.Amount;
  Grant.OpenedAt = State.OpenedAt;
  Open.emplace(Id, std::move(Grant));
  budget_demand &Demand = Demands[State.Budget];
  Demand.Grants.push_back(Id);
  Demand.Pending.reset();
}

void held_grants::onVoided(const grant_id &Grant) {
  for (auto &[Budget, Demand] : Demands)
    if (Demand.Pending == Grant)
      Demand.Pending.reset();
}

void held_grants::onClosed(const grant_id &Id) {
  auto Found = Open.find(Id);
  if (Found == Open.end())
    return;
  std::erase(Demands[Found->second.Budget].Grants, Id);
  Open.erase(Found);
}

void held_grants::seal(const grant_id &Grant) {
  auto Found = Open.find(Grant);
  if (Found != Open.end())
    Found->second.Sealed = true;
}

void held_grants::retireOpenedBefore(time_ms Before) {
  for (auto &[Id, Grant] : Open)
    if (Grant.OpenedAt < Before)
      Grant.Retiring = true;
}

std::vector<close_entry> held_grants::drainCloses(bool All) {
  std::vector<close_entry> Closes;
  for (auto &[Id, Grant] : Open) {
    const bool Spent = Grant.Amount == Grant.Billed;
    const bool ShouldClose = All || Spent || Grant.Sealed || Grant.Retiring;
    if (!ShouldClose || Grant.Closing || (!Grant.Live.empty() && !Grant.Sealed))
      continue;
    Grant.Closing = true;
    Closes.push_back({Id, std::move(Grant.Lines), false});
    Grant.Lines.clear();
  }
  return Closes;
}

amount held_grants::unreserved(std::string_view Budget) const {
  auto Found = Demands.find(Budget);
  if (Found == Demands.end())
    return 0;
  amount Sum = 0;
  for (const grant_id &Id : Found->second.Grants) {
    const held_grant &Grant = Open.at(Id);
    if (!Grant.Sealed && !Grant.Closing)
      Sum += Grant.free();
  }
  return Sum;
}

amount held_grants::reserved(std::string_view Budget) const {
  auto Found = Demands.find(Budget);
  if (Found == Demands.end())
    return 0;
  amount Sum = 0;
  for (const grant_id &Id : Found->second.Grants)
    Sum += Open.at(Id).Reserved;
  return Sum;
}

bool held_grants::withdrawLine(const grant_id &Id, const request_key &Key) {
  auto Found = Open.find(Id);
  if (Found == Open.end())
    return false;
  std::vector<bill_line> &Lines = Found->second.Lines;
  for (auto Line = Lines.begin(); Line != Lines.end(); ++Line) {
    if (Line->Key != Key)
      continue;
    Found->second.Billed -= Line->Amount;
    Lines.erase(Line);
    return true;
  }
  return false;
}

std::vector<grant_id>
held_grants::grantsWitnessedBy(incarnation_id Witness) const {
  std::vector<grant_id> Result;
  for (const auto &[Id, Grant] : Open)
    if (Grant.Witness == Witness)
      Result.push_back(Id);
  return Result;
}

amount held_grants::billedNotLogged(std::string_view Budget) const {
  auto Found = Demands.find(Budget);
  if (Found == Demands.end())
    return 0;
  amount Sum = 0;
  for (const grant_id &Id : Found->second.Grants) {
    const held_grant &Grant = Open.at(Id);
    Sum += Grant.Billed - Grant.BilledLogged;
  }
  return Sum;
}

void held_grants::onBillsLogged(const grant_id &Grant,
                                const grant_state &State) {
  auto Found = Open.find(Grant);
  if (Found != Open.end())
    Found->second.BilledLogged = State.Billed;
}

incarnation_id held_grants::witnessOf(const grant_id &Grant) const {
  auto Found = Open.find(Grant);
  return Found == Open.end() ? 0 : Found->second.Witness;
}

// Exponential smoothing over samples of at least RateSampleMs.
void held_grants::noteDemand(budget_demand &Demand, amount Amount,
                             time_ms Now) {
  Demand.Recent += Amount;
  const time_ms Elapsed = Now - Demand.Since;
  if (Elapsed < RateSampleMs)
    return;
  const double Seconds = static_cast<double>(Elapsed) / 1000.0;
  const double Sample = static_cast<double>(Demand.Recent) / Seconds;
  const double Memory =
      Sample > Demand.RatePerSecond ? RiseSeconds : FallSeconds;
  const double Weight = 1.0 - std::exp(-Seconds / Memory);
  Demand.RatePerSecond += Weight * (Sample - Demand.RatePerSecond);
  Demand.Recent = 0;
  Demand.Since = Now;
}

grant_demand held_grants::demandOf(std::string_view Budget,
                                   const waiting_demand &Need,
                                   const budget_state &Budgeted,
                                   int HolderCount, time_ms Now) {
  budget_demand &Demand = Demands.find(Budget)->second;
  noteDemand(Demand, 0, Now);
  grant_demand Result;
  Result.WaitingTotal = Need.Total;
  Result.NextWaiting = Need.Next;
  Result.Unreserved = unreserved(Budget);
  for (const grant_id &Id : Demand.Grants)
    Result.OpenGrantTotal += Open.at(Id).Amount;
  Result.ReservedPerSecond = Demand.RatePerSecond;
  Result.Available = Budgeted.available();
  Result.Credits = Budgeted.Credits;
  Result.Unbilled = Budgeted.Credits - Budgeted.Billed;
  Result.RecentShortage = Now - Demand.ScarceSince < ScarceMs;
  Result.HolderCount = std::max(1, HolderCount);
  return Result;
}

} // namespace tamarack::money
