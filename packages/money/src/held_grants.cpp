// Grants held by one incarnation.
#include "tamarack/money.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace tamarack::money {

namespace {

constexpr time_ms MinRateSampleMs = 500; // Shortest sample of the rate.
constexpr time_ms ShortageMs = 10'000;   // Age of a recent shortage, at most.
constexpr double RiseSeconds = 1.0;  // Smoothing time constant, rising rate.
constexpr double FallSeconds = 60.0; // Smoothing time constant, falling rate.

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
  held_grant *Grant = findGrantFor(Found->second, Amount, Id);
  if (Grant == nullptr)
    return std::nullopt;
  Grant->Reserved += Amount;
  Grant->Reservations.emplace(++LastReservationId, Amount);
  updateRate(Found->second, Amount, Now);
  return reservation{Id, LastReservationId, Key, Amount};
}

// Prefers grants that are not retiring, so that retiring grants can close.
held_grants::held_grant *held_grants::findGrantFor(const budget_demand &Demand,
                                                   amount Amount,
                                                   grant_id &Found) {
  held_grant *Fallback = nullptr;
  for (const grant_id &Id : Demand.Grants) {
    held_grant &Grant = OpenGrants.at(Id);
    if (Grant.Sealed || Grant.CloseSent || Grant.unreserved() < Amount)
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
  auto Found = OpenGrants.find(Reservation.Grant);
  if (Found == OpenGrants.end() || Found->second.Sealed)
    return settle_result::UnknownReservation;
  held_grant &Grant = Found->second;
  if (Grant.Reservations.erase(Reservation.Id) == 0)
    return settle_result::UnknownReservation;
  Grant.Reserved -= Reservation.Amount;
  Grant.Billed += Actual;
  Grant.UnsentLines.push_back({Reservation.Key, CreatedAt, Actual});
  return settle_result::Billed;
}

void held_grants::release(const reservation &Reservation) {
  auto Found = OpenGrants.find(Reservation.Grant);
  if (Found == OpenGrants.end() ||
      Found->second.Reservations.erase(Reservation.Id) == 0)
    return;
  Found->second.Reserved -= Reservation.Amount;
}

std::optional<grant_entry> held_grants::makeGrantRequest(
    std::string_view Budget, const waiting_demand &Waiting,
    const budget_state &BudgetState, incarnation_id Witness, int HolderCount,
    time_ms Now) {
  auto Found = Demands.find(Budget);
  if (Found == Demands.end() || Found->second.PendingRequest)
    return std::nullopt;
  const grant_request_size Size = Policy.requestSize(
      makeDemand(Budget, Waiting, BudgetState, HolderCount, Now));
  if (Size.Maximum <= 0)
    return std::nullopt;
  grant_entry Entry;
  Entry.Grant = {Self, ++LastGrantNumber};
  Entry.Budget = std::string(Budget);
  Entry.Witness = Witness;
  Entry.Maximum = Size.Maximum;
  Entry.Minimum = Size.Minimum;
  Found->second.PendingRequest = Entry.Grant;
  return Entry;
}

std::vector<return_entry> held_grants::returnIdleTokens(
    std::string_view Budget, const waiting_demand &Waiting,
    const budget_state &BudgetState, int HolderCount, time_ms Now) {
  std::vector<return_entry> Returns;
  auto Found = Demands.find(Budget);
  if (Found == Demands.end())
    return Returns;
  amount Remaining = Policy.returnAmount(
      makeDemand(Budget, Waiting, BudgetState, HolderCount, Now));
  for (const grant_id &Id : Found->second.Grants) {
    held_grant &Grant = OpenGrants.at(Id);
    if (Grant.Sealed || Grant.CloseSent)
      continue;
    const amount Part = std::min(Remaining, Grant.unreserved());
    if (Part <= 0)
      continue;
    Grant.Amount -= Part; // Lowers the own limit before the log entry.
    Remaining -= Part;
    Returns.push_back({Id, Part});
  }
  return Returns;
}

void held_grants::recordShortage(std::string_view Budget, time_ms Now) {
  auto Found = Demands.find(Budget);
  if (Found != Demands.end())
    Found->second.LastShortage = Now;
}

std::vector<bill_entry> held_grants::drainBills() {
  std::vector<bill_entry> Bills;
  for (auto &[Id, Grant] : OpenGrants) {
    if (Grant.UnsentLines.empty())
      continue;
    Bills.push_back({Id, std::move(Grant.UnsentLines)});
    Grant.UnsentLines.clear();
  }
  return Bills;
}

void held_grants::onOpened(const grant_id &Id, const grant_state &State) {
  held_grant Grant;
  Grant.Budget = State.Budget;
  Grant.Witness = State.Witness;
  Grant.Amount = State.Amount;
  Grant.OpenedAt = State.OpenedAt;
  OpenGrants.emplace(Id, std::move(Grant));
  budget_demand &Demand = Demands[State.Budget];
  Demand.Grants.push_back(Id);
  Demand.PendingRequest.reset();
}

void held_grants::onVoided(const grant_id &Grant) {
  for (auto &[Budget, Demand] : Demands)
    if (Demand.PendingRequest == Grant)
      Demand.PendingRequest.reset();
}

void held_grants::onClosed(const grant_id &Id) {
  auto Found = OpenGrants.find(Id);
  if (Found == OpenGrants.end())
    return;
  std::erase(Demands[Found->second.Budget].Grants, Id);
  OpenGrants.erase(Found);
}

void held_grants::seal(const grant_id &Grant) {
  auto Found = OpenGrants.find(Grant);
  if (Found != OpenGrants.end())
    Found->second.Sealed = true;
}

void held_grants::retireOpenedBefore(time_ms Before) {
  for (auto &[Id, Grant] : OpenGrants)
    if (Grant.OpenedAt < Before)
      Grant.Retiring = true;
}

std::vector<close_entry> held_grants::drainCloses(bool CloseAll) {
  std::vector<close_entry> Closes;
  for (auto &[Id, Grant] : OpenGrants) {
    const bool FullyBilled = Grant.Amount == Grant.Billed;
    const bool ShouldClose =
        CloseAll || FullyBilled || Grant.Sealed || Grant.Retiring;
    if (!ShouldClose || Grant.CloseSent ||
        (!Grant.Reservations.empty() && !Grant.Sealed))
      continue;
    Grant.CloseSent = true;
    Closes.push_back({Id, std::move(Grant.UnsentLines), false});
    Grant.UnsentLines.clear();
  }
  return Closes;
}

amount held_grants::sumOver(std::string_view Budget,
                            amount (*Part)(const held_grant &)) const {
  auto Found = Demands.find(Budget);
  if (Found == Demands.end())
    return 0;
  amount Sum = 0;
  for (const grant_id &Id : Found->second.Grants)
    Sum += Part(OpenGrants.at(Id));
  return Sum;
}

amount held_grants::unreserved(std::string_view Budget) const {
  return sumOver(Budget, [](const held_grant &Grant) -> amount {
    return Grant.Sealed || Grant.CloseSent ? 0 : Grant.unreserved();
  });
}

amount held_grants::reserved(std::string_view Budget) const {
  return sumOver(Budget,
                 [](const held_grant &Grant) { return Grant.Reserved; });
}

bool held_grants::withdrawLine(const grant_id &Id, const request_key &Key) {
  auto Found = OpenGrants.find(Id);
  if (Found == OpenGrants.end())
    return false;
  std::vector<bill_line> &UnsentLines = Found->second.UnsentLines;
  for (auto Line = UnsentLines.begin(); Line != UnsentLines.end(); ++Line) {
    if (Line->Key != Key)
      continue;
    Found->second.Billed -= Line->Amount;
    UnsentLines.erase(Line);
    return true;
  }
  return false;
}

std::vector<grant_id>
held_grants::grantsWitnessedBy(incarnation_id Witness) const {
  std::vector<grant_id> Result;
  for (const auto &[Id, Grant] : OpenGrants)
    if (Grant.Witness == Witness)
      Result.push_back(Id);
  return Result;
}

amount held_grants::billedNotLogged(std::string_view Budget) const {
  return sumOver(Budget, [](const held_grant &Grant) {
    return Grant.Billed - Grant.BilledLogged;
  });
}

void held_grants::onBillsLogged(const grant_id &Grant,
                                const grant_state &State) {
  auto Found = OpenGrants.find(Grant);
  if (Found != OpenGrants.end())
    Found->second.BilledLogged = State.Billed;
}

incarnation_id held_grants::witnessOf(const grant_id &Grant) const {
  auto Found = OpenGrants.find(Grant);
  return Found == OpenGrants.end() ? 0 : Found->second.Witness;
}

// Smooths the rate exponentially over samples of at least MinRateSampleMs.
void held_grants::updateRate(budget_demand &Demand, amount Amount,
                             time_ms Now) {
  Demand.SampleAmount += Amount;
  const time_ms Elapsed = Now - Demand.SampleStart;
  if (Elapsed < MinRateSampleMs)
    return;
  const double Seconds = static_cast<double>(Elapsed) / 1000.0;
  const double Sample = static_cast<double>(Demand.SampleAmount) / Seconds;
  const double TimeConstant =
      Sample > Demand.ReservedPerSecond ? RiseSeconds : FallSeconds;
  const double Weight = 1.0 - std::exp(-Seconds / TimeConstant);
  Demand.ReservedPerSecond += Weight * (Sample - Demand.ReservedPerSecond);
  Demand.SampleAmount = 0;
  Demand.SampleStart = Now;
}

grant_demand held_grants::makeDemand(std::string_view Budget,
                                     const waiting_demand &Waiting,
                                     const budget_state &BudgetState,
                                     int HolderCount, time_ms Now) {
  budget_demand &Demand = Demands.find(Budget)->second;
  updateRate(Demand, 0, Now);
  grant_demand Result;
  Result.WaitingTotal = Waiting.Total;
  Result.NextWaiting = Waiting.Next;
  Result.Unreserved = unreserved(Budget);
  for (const grant_id &Id : Demand.Grants)
    Result.OpenGrantTotal += OpenGrants.at(Id).Amount;
  Result.ReservedPerSecond = Demand.ReservedPerSecond;
  Result.Available = BudgetState.available();
  Result.Credits = BudgetState.Credits;
  Result.Unbilled = BudgetState.Credits - BudgetState.Billed;
  Result.RecentShortage = Now - Demand.LastShortage < ShortageMs;
  Result.HolderCount = std::max(1, HolderCount);
  return Result;
}

} // namespace tamarack::money
