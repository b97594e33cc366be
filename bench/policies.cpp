// Compares policies for the size of grants on the same random workload.
//
// The daemons' own ledger code runs against a fake log in virtual time, with
// one home and one witness a zone. Each policy sees the same arrivals. Printed
// for each: refusals, false ones among them, overspend, stranded money, log
// traffic, and what no policy could have served.
//
// Sections:
//   workload     what arrives and what fails
//   world        homes, witnesses, the log
//   main
#include "tamarack/money.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <memory>
#include <random>

namespace {

using namespace tamarack;
using namespace tamarack::money;

//---------------------------------------------------------------------------
// Workload
//---------------------------------------------------------------------------

constexpr time_ms TickMs = 50;
constexpr time_ms LogDelayMs = 30; // Append to every reader.
constexpr time_ms StartTime = 1'700'000'000'000;
constexpr int Budgets = 20;
constexpr double LastPart = 0.02;    // Of a budget, counted apart.
constexpr double ZipfExponent = 1.0; // Skew of the demand over budgets.

struct workload {
  const char *Name = "";
  int Zones = 4;
  double RequestsPerSecond = 60; // All zones together.
  amount LargestRequest = 400;   // Upper bound of one request.
  double ActualShare = 0.4;      // Mean bill per upper bound.
  time_ms LengthMs = 15 * 60'000;
  double CreditSeconds = 600; // Each budget's credits, in its own demand.
  time_ms CutFromMs = -1;     // Zone 0 is cut off, -1 never.
  time_ms CutForMs = 0;
  bool TopUps = false;        // Credits arrive while the zone is cut.
  time_ms RestartEveryMs = 0; // A home is killed and replaced, 0 never.
  double Lopsided = 0;        // Part of the demand that is zone 1's alone.
};

struct arrival {
  time_ms At = 0;
  int Zone = 0;
  int Budget = 0;
  amount Bound = 0;
  amount Actual = 0;
  time_ms Duration = 0;
};

std::vector<double> shares() {
  std::vector<double> Result;
  double Sum = 0;
  for (int Index = 0; Index < Budgets; ++Index)
    Sum += std::pow(Index + 1, -ZipfExponent);
  for (int Index = 0; Index < Budgets; ++Index)
    Result.push_back(std::pow(Index + 1, -ZipfExponent) / Sum);
  return Result;
}

std::vector<arrival> makeArrivals(const workload &Work, std::uint64_t Seed) {
  std::mt19937_64 Engine(Seed);
  const std::vector<double> Share = shares();
  std::discrete_distribution<int> Budget(Share.begin(), Share.end());
  std::exponential_distribution<double> Gap(Work.RequestsPerSecond / 1000);
  std::uniform_real_distribution<double> Unit(0, 1);
  std::vector<arrival> Result;
  double At = 0;
  while (At < static_cast<double>(Work.LengthMs)) {
    At += Gap(Engine);
    arrival Arrival;
    Arrival.At = static_cast<time_ms>(At);
    Arrival.Zone = Unit(Engine) < Work.Lopsided
                       ? 1
                       : static_cast<int>(Unit(Engine) * Work.Zones);
    Arrival.Budget = Budget(Engine);
    Arrival.Bound =
        1 + static_cast<amount>(Unit(Engine) *
                                static_cast<double>(Work.LargestRequest));
    const double Part = std::min(1.0, 2 * Work.ActualShare * Unit(Engine));
    Arrival.Actual = std::max<amount>(
        1, static_cast<amount>(Part * static_cast<double>(Arrival.Bound)));
    Arrival.Duration = 200 + static_cast<time_ms>(Unit(Engine) * 3000);
    Result.push_back(Arrival);
  }
  return Result;
}

std::string budgetName(int Budget) { return "b" + std::to_string(Budget); }

//---------------------------------------------------------------------------
// World
//---------------------------------------------------------------------------

struct result {
  std::uint64_t Requests = 0;
  std::uint64_t Refused = 0;
  std::uint64_t FalseRefusals = 0; // Money was there, in any zone.
  std::uint64_t FalseAtEnd = 0;    // The same, of the last 2 % of a budget.
  std::uint64_t FalseInCut = 0;    // The same, in the cut zone.
  std::uint64_t RequestsInCut = 0;
  std::uint64_t Hopeless = 0; // No policy could serve them.
  amount Overspend = 0;
  amount Stranded = 0;
  std::uint64_t Appends = 0;
  std::uint64_t AppendBytes = 0;
};

struct in_flight {
  time_ms EndsAt = 0;
  arrival Arrival;
  reservation Reservation;
  request_key Key;
};

class zone_home {
public:
  zone_home(const grant_policy &Policy, time_ms Now, std::uint64_t Number)
      : Incarnation(makeIncarnation(Now, Number)),
        WitnessIncarnation(makeIncarnation(Now, Number + 1)),
        Home(Incarnation, Policy, Own) {}

  incarnation_id Incarnation;
  incarnation_id WitnessIncarnation;
  witness_store Own;
  witness_store Witness; // Kept by the zone's second daemon.
  ledger_home Home;
  std::map<waiter_id, arrival> Waiting;
  std::vector<in_flight> Flights;
};

class world {
public:
  world(const workload &Work, const grant_policy &Policy, std::uint64_t Seed)
      : Work(Work), Policy(Policy), Arrivals(makeArrivals(Work, Seed)) {}

  result run();

private:
  struct stored {
    time_ms VisibleAt = 0;
    log_record Record;
  };

  void credit(int Budget, amount Delta);
  void append(const ledger_batch &Batch);
  void arrive(const arrival &Arrival);
  void serve(zone_home &Zone, int Number);
  void settleEnded(zone_home &Zone);
  void takeEvents(zone_home &Zone, int Number);
  void restart(int Number);
  void closeFor(zone_home &Dead);
  bool isCut(int Zone) const;
  amount freeMoney(int Budget) const;
  void countRefusal(const arrival &Arrival, int Zone);

  const workload &Work;
  const grant_policy &Policy;
  std::vector<arrival> Arrivals;
  std::vector<std::unique_ptr<zone_home>> Zones;
  std::vector<stored> Log;
  std::map<std::string, amount> Credits;
  std::map<std::string, amount> Billed;   // Delivered answers.
  std::map<std::string, amount> Reserved; // In flight, upper bounds.
  time_ms Now = StartTime;
  std::uint64_t NextNumber = 0;
  std::uint64_t NextKey = 0;
  result Result;
};

bool world::isCut(int Zone) const {
  const time_ms At = Now - StartTime;
  return Zone == 0 && Work.CutFromMs >= 0 && At >= Work.CutFromMs &&
         At < Work.CutFromMs + Work.CutForMs;
}

void world::append(const ledger_batch &Batch) {
  stored Item;
  Item.VisibleAt = Now + LogDelayMs;
  Item.Record = {Log.size(), Now, encodeBatch(Batch)};
  ++Result.Appends;
  Result.AppendBytes += Item.Record.Body.size();
  Log.push_back(std::move(Item));
}

void world::credit(int Budget, amount Delta) {
  credit_entry Entry{{99, ++NextKey}, Now, budgetName(Budget), Delta};
  Credits[Entry.Budget] += Delta;
  append({makeIncarnation(Now, ++NextNumber), 1, Now, {Entry}});
}

amount world::freeMoney(int Budget) const {
  const std::string Name = budgetName(Budget);
  const auto Of = [&Name](const std::map<std::string, amount> &Items) {
    auto Found = Items.find(Name);
    return Found == Items.end() ? 0 : Found->second;
  };
  return Of(Credits) - Of(Billed) - Of(Reserved);
}

// False if the budget could have covered it, wherever the money lay.
void world::countRefusal(const arrival &Arrival, int Zone) {
  ++Result.Refused;
  if (freeMoney(Arrival.Budget) < Arrival.Bound) {
    ++Result.Hopeless;
    return;
  }
  const double Rest = static_cast<double>(freeMoney(Arrival.Budget)) /
                      static_cast<double>(Credits[budgetName(Arrival.Budget)]);
  if (Rest <= LastPart) {
    ++Result.FalseAtEnd;
    return;
  }
  ++Result.FalseRefusals;
  Result.FalseInCut += isCut(Zone) ? 1 : 0;
}

void world::arrive(const arrival &Arrival) {
  zone_home &Zone = *Zones[static_cast<std::size_t>(Arrival.Zone)];
  ++Result.Requests;
  Result.RequestsInCut += isCut(Arrival.Zone) ? 1 : 0;
  const request_key Key{1, ++NextKey};
  const waiter_id Id =
      Zone.Home.reserve(budgetName(Arrival.Budget), Key, Arrival.Bound, Now);
  Zone.Waiting[Id] = Arrival;
  takeEvents(Zone, Arrival.Zone);
}

void world::takeEvents(zone_home &Zone, int Number) {
  for (const reserve_event &Event : Zone.Home.drainReserveEvents()) {
    const arrival Arrival = Zone.Waiting.at(Event.Waiter);
    Zone.Waiting.erase(Event.Waiter);
    if (Event.Refusal != refusal::None) {
      countRefusal(Arrival, Number);
      continue;
    }
    Reserved[budgetName(Arrival.Budget)] += Arrival.Bound;
    Zone.Flights.push_back({Now + Arrival.Duration, Arrival, Event.Reservation,
                            Event.Reservation.Key});
  }
}

void world::settleEnded(zone_home &Zone) {
  std::erase_if(Zone.Flights, [&](const in_flight &Flight) {
    if (Flight.EndsAt > Now)
      return false;
    const std::string Name = budgetName(Flight.Arrival.Budget);
    Reserved[Name] -= Flight.Arrival.Bound;
    const settlement State =
        Zone.Home.settle(Flight.Reservation, Now, Flight.Arrival.Actual);
    if (State != settlement::Failed)
      Billed[Name] += Flight.Arrival.Actual;
    return true;
  });
  for (const witness_update &Update : Zone.Home.drainWitnessUpdates()) {
    for (const witness_line &Line : Update.Lines) {
      Zone.Witness.storeLine(Line);
      Zone.Home.onWitnessAcknowledged(Line);
    }
    for (const witness_line &Line : Update.LoggedLines)
      Zone.Witness.eraseLine(Line.Grant, Line.Line.Key);
  }
  Zone.Home.drainSettleEvents();
}

void world::serve(zone_home &Zone, int Number) {
  settleEnded(Zone);
  if (isCut(Number)) {
    Zone.Home.onLogFailure(Now);
  } else {
    while (Zone.Home.nextOffset() < Log.size() &&
           Log[Zone.Home.nextOffset()].VisibleAt <= Now)
      Zone.Home.onRecord(Log[Zone.Home.nextOffset()].Record, Now);
    Zone.Home.onCaughtUp(Now);
  }
  home_view View;
  View.Witness = Zone.WitnessIncarnation;
  View.HolderCount = Work.Zones;
  const std::optional<ledger_batch> Batch = Zone.Home.nextBatch(View, Now);
  if (Batch && !isCut(Number)) {
    append(*Batch);
    Zone.Home.onStored(Batch->Number);
  }
  takeEvents(Zone, Number);
}

// The witness seals the dead home's grants; requests in flight are lost and
// not billed.
void world::closeFor(zone_home &Dead) {
  ledger_batch Batch{Dead.WitnessIncarnation, 1, Now, {}};
  for (const auto &[Id, Grant] : Dead.Home.fold().grants())
    if (Id.Holder == Dead.Incarnation)
      Batch.Entries.emplace_back(Dead.Witness.seal(Id, Now));
  if (!Batch.Entries.empty())
    append(Batch);
}

void world::restart(int Number) {
  zone_home &Old = *Zones[static_cast<std::size_t>(Number)];
  for (const in_flight &Flight : Old.Flights)
    Reserved[budgetName(Flight.Arrival.Budget)] -= Flight.Arrival.Bound;
  while (Old.Home.nextOffset() < Log.size()) // The zone's next home reads on.
    Old.Home.onRecord(Log[Old.Home.nextOffset()].Record, Now);
  closeFor(Old);
  NextNumber += 2;
  Zones[static_cast<std::size_t>(Number)] =
      std::make_unique<zone_home>(Policy, Now, NextNumber);
}

result world::run() {
  const std::vector<double> Share = shares();
  const double Spend = Work.RequestsPerSecond * Work.ActualShare *
                       static_cast<double>(Work.LargestRequest) / 2;
  for (int Budget = 0; Budget < Budgets; ++Budget)
    credit(Budget, static_cast<amount>(Share[static_cast<std::size_t>(Budget)] *
                                       Spend * Work.CreditSeconds));
  for (int Zone = 0; Zone < Work.Zones; ++Zone) {
    NextNumber += 2;
    Zones.push_back(std::make_unique<zone_home>(Policy, Now, NextNumber));
  }
  std::size_t Next = 0;
  const time_ms End = StartTime + Work.LengthMs;
  for (; Now < End; Now += TickMs) {
    const time_ms At = Now - StartTime;
    while (Next < Arrivals.size() && Arrivals[Next].At <= At)
      arrive(Arrivals[Next++]);
    for (int Zone = 0; Zone < Work.Zones; ++Zone)
      serve(*Zones[static_cast<std::size_t>(Zone)], Zone);
    if (Work.TopUps && At % 60'000 == 0 && At > 0)
      for (int Budget = 0; Budget < Budgets; ++Budget)
        credit(Budget,
               static_cast<amount>(Share[static_cast<std::size_t>(Budget)] *
                                   Spend * 60));
    if (Work.RestartEveryMs > 0 && At % Work.RestartEveryMs == 0 && At > 0)
      restart(1 +
              static_cast<int>(At / Work.RestartEveryMs) % (Work.Zones - 1));
  }
  for (const auto &[Name, Spent] : Billed)
    Result.Overspend += std::max<amount>(0, Spent - Credits[Name]);
  std::set<incarnation_id> Alive;
  for (const auto &Zone : Zones)
    Alive.insert(Zone->Incarnation);
  for (const auto &[Id, Grant] : Zones[0]->Home.fold().grants())
    if (!Alive.contains(Id.Holder))
      Result.Stranded += Grant.Amount - Grant.Billed;
  return Result;
}

void print(const workload &Work, const grant_policy &Policy,
           const result &Result) {
  const double Seconds = static_cast<double>(Work.LengthMs) / 1000;
  const auto Percent = [](std::uint64_t Part, std::uint64_t Whole) {
    return Whole == 0
               ? 0.0
               : 100.0 * static_cast<double>(Part) / static_cast<double>(Whole);
  };
  std::printf(
      "%-22s %-7s %8llu %8llu %8llu %8llu %8.3f%% %8.3f%% %6lld %8lld %7.2f "
      "%8.0f\n",
      Work.Name, std::string(Policy.name()).c_str(),
      static_cast<unsigned long long>(Result.Requests),
      static_cast<unsigned long long>(Result.Refused),
      static_cast<unsigned long long>(Result.Hopeless),
      static_cast<unsigned long long>(Result.FalseAtEnd),
      Percent(Result.FalseRefusals, Result.Requests),
      Percent(Result.FalseInCut, Result.RequestsInCut),
      static_cast<long long>(Result.Overspend),
      static_cast<long long>(Result.Stranded),
      static_cast<double>(Result.Appends) / Seconds / Work.Zones,
      static_cast<double>(Result.AppendBytes) / Seconds / Work.Zones);
}

std::vector<workload> workloads() {
  std::vector<workload> Result;
  workload Auction;
  Auction.Name = "auction, to the end";
  Result.push_back(Auction);
  Auction.Name = "auction, lopsided";
  Auction.Lopsided = 0.7;
  Result.push_back(Auction);
  Auction.Name = "auction, restarts";
  Auction.Lopsided = 0;
  Auction.RestartEveryMs = 60'000;
  Result.push_back(Auction);
  workload Cut;
  Cut.Name = "auction, zone cut 10m";
  Cut.LengthMs = 20 * 60'000;
  Cut.CutFromMs = 5 * 60'000;
  Cut.CutForMs = 10 * 60'000;
  Cut.CreditSeconds = 3 * 3600;
  Cut.TopUps = true;
  Result.push_back(Cut);
  workload Docket;
  Docket.Name = "docket, to the end";
  Docket.RequestsPerSecond = 30;
  Docket.LargestRequest = 6000;
  Result.push_back(Docket);
  Docket.Name = "docket, cut, low";
  Docket.LengthMs = 20 * 60'000;
  Docket.CutFromMs = 5 * 60'000;
  Docket.CutForMs = 10 * 60'000;
  Docket.CreditSeconds = 1500;
  Docket.TopUps = true;
  Result.push_back(Docket);
  return Result;
}

} // namespace

int main(int Count, char **Arguments) {
  const std::uint64_t Seed = Count > 1 ? std::stoull(Arguments[1]) : 1;
  std::printf("seed %llu\n", static_cast<unsigned long long>(Seed));
  std::printf("%-22s %-7s %8s %8s %8s %8s %9s %9s %6s %8s %7s %8s\n",
              "workload", "policy", "requests", "refused", "hopeless",
              "last 2%", "false", "in cut", "over", "stranded", "app/s",
              "bytes/s");
  for (const workload &Work : workloads()) {
    const std::unique_ptr<grant_policy> Policies[] = {
        makeEqualSharePolicy(), makeFixedPolicy(20'000), makeDemandPolicy()};
    for (const auto &Policy : Policies) {
      world World(Work, *Policy, Seed);
      print(Work, *Policy, World.run());
    }
  }
  return 0;
}
