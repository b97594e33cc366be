// Compares policies of endpoint choice on the same arrivals in virtual time.
//
// Runners work on a fixed number of requests at once and queue the rest; a
// prefix that a runner has seen lately makes its first token four times
// faster. Each daemon has its own view, fed by reports that are Lag old.
// Printed: first token p50, p95 and p99, share of prefix hits, the busiest
// runner's work against the mean, and requests lost after retries.
#include "tamarack/routing.hpp"

#include <algorithm>
#include <cstdio>
#include <list>
#include <queue>
#include <random>
#include <set>

namespace {

using namespace tamarack;
using namespace tamarack::routing;

constexpr int Zones = 4;
constexpr int Daemons = 8;
constexpr int Slots = 16;
constexpr double FirstMs = 400;   // Without a prefix hit.
constexpr double HitShare = 0.25; // Of FirstMs with a prefix hit.
constexpr double GapMs = 30;
constexpr int Tokens = 100;
constexpr double Utilisation = 0.7; // Of all slots.
constexpr int Prefixes = 60;
constexpr std::size_t KeptPrefixes = 16; // By one runner.
constexpr double LengthMs = 300'000;
constexpr double FailMs = 50; // A failing runner answers that late.
constexpr int MostAttempts = 3;

struct scenario {
  const char *Name = "";
  int Runners = 10;
  double SlowFactor = 1; // Of runner 0.
  double FailPart = 0;   // Of runner 1's requests.
  time_ms LagMs = 1000;
};

class seeded final : public random_source {
public:
  explicit seeded(std::uint64_t Seed) : Engine(Seed) {}
  std::uint64_t next() override { return Engine(); }

private:
  std::mt19937_64 Engine;
};

class runner {
public:
  // Returns the time of the first token.
  double start(double Now, std::uint64_t Prefix, double Factor) {
    while (Ends.size() >= Slots && Ends.top() <= Now)
      Ends.pop();
    double Begin = Now;
    if (Ends.size() >= Slots) {
      Begin = std::max(Now, Ends.top());
      Ends.pop();
    }
    const double First =
        Begin + Factor * FirstMs * (hit(Prefix) ? HitShare : 1);
    const double End = First + Factor * GapMs * Tokens;
    Ends.push(End);
    AllEnds.push_back(End);
    ++Requests;
    return First;
  }
  load_report report(double At) {
    std::erase_if(AllEnds, [At](double End) { return End <= At; });
    const int Inside = static_cast<int>(AllEnds.size());
    return {std::min(Inside, Slots), std::max(0, Inside - Slots), false, 0};
  }
  int Requests = 0;
  int Hits = 0;

private:
  bool hit(std::uint64_t Prefix) {
    auto Found = std::find(Cache.begin(), Cache.end(), Prefix);
    const bool Hit = Found != Cache.end();
    if (Hit)
      Cache.erase(Found);
    Cache.push_front(Prefix);
    if (Cache.size() > KeptPrefixes)
      Cache.pop_back();
    Hits += Hit ? 1 : 0;
    return Hit;
  }

  std::priority_queue<double, std::vector<double>, std::greater<>> Ends;
  std::vector<double> AllEnds;
  std::list<std::uint64_t> Cache;
};

struct ended {
  double At = 0;
  int Daemon = 0;
  std::string Name;
  attempt_result Result = attempt_result::Succeeded;
  double FirstTokenMs = 0;
  bool operator>(const ended &Other) const { return At > Other.At; }
};

struct outcome {
  std::vector<double> First;
  int Lost = 0;
  int Requests = 0;
  std::vector<runner> Runners;
};

class simulation {
public:
  simulation(const scenario &Scenario, balancing_policy &Policy)
      : Scenario(Scenario), Policy(Policy), Random(11) {
    for (int Index = 0; Index < Scenario.Runners; ++Index) {
      config::endpoint Endpoint;
      Endpoint.Name = "r" + std::to_string(Index);
      Endpoint.Zone = "z" + std::to_string(Index % Zones);
      Endpoint.Slots = Slots;
      Endpoints.push_back(Endpoint);
    }
    for (std::size_t Index = 0; Index < Endpoints.size(); ++Index) {
      Members.push_back(&Endpoints[Index]);
      Near[Index % Zones].push_back(&Endpoints[Index]);
    }
    for (int Index = 0; Index < Daemons; ++Index)
      Boards.emplace_back("z" + std::to_string(Index % Zones));
    Result.Runners.resize(Endpoints.size());
    Retries.resize(Daemons);
  }

  outcome run() {
    std::mt19937_64 Engine(5);
    const double PerRequest = FirstMs + GapMs * Tokens;
    const double PerMs = Utilisation * Slots * Scenario.Runners / PerRequest;
    std::exponential_distribution<double> Gap(PerMs);
    std::geometric_distribution<int> Prefix(0.08);
    double NextReport = 0;
    for (double Now = Gap(Engine); Now < LengthMs; Now += Gap(Engine)) {
      while (NextReport <= Now) {
        reportAll(NextReport);
        NextReport += static_cast<double>(Scenario.LagMs);
      }
      finishUntil(Now);
      const int Daemon = static_cast<int>(Engine() % Daemons);
      const std::uint64_t Which =
          1 + static_cast<std::uint64_t>(Prefix(Engine) % Prefixes);
      request(Now, Daemon, Which * 0x9e3779b97f4a7c15ULL, Engine);
    }
    return std::move(Result);
  }

private:
  // As the daemon does it for its own policy; the others see every runner.
  std::vector<candidate> candidatesOf(int Daemon, double At,
                                      const std::set<std::string> &Tried) {
    const endpoint_tracker &Board = Boards[static_cast<std::size_t>(Daemon)];
    const time_ms Now = static_cast<time_ms>(At);
    if (Policy.name() == "prefix-aware")
      return Board.eligibleCandidates(
          Near[static_cast<std::size_t>(Daemon % Zones)], Members, Tried, Now);
    std::vector<candidate> Result = Board.candidates(Members, Now);
    std::erase_if(Result, [&Tried](const candidate &Candidate) {
      return Tried.contains(Candidate.Endpoint->Name);
    });
    return Result;
  }
  void reportAll(double At) {
    for (std::size_t Index = 0; Index < Endpoints.size(); ++Index) {
      const load_report Report = Result.Runners[Index].report(At);
      for (endpoint_tracker &Board : Boards)
        Board.onLoadReport(Endpoints[Index].Name, Report,
                           static_cast<time_ms>(At));
    }
  }
  void finishUntil(double Now) {
    while (!Ended.empty() && Ended.top().At <= Now) {
      const ended &Item = Ended.top();
      Boards[static_cast<std::size_t>(Item.Daemon)].onRequestEnded(
          Item.Name, Item.Result, Item.FirstTokenMs,
          static_cast<time_ms>(Item.At));
      Ended.pop();
    }
  }
  void request(double Now, int Daemon, std::uint64_t Prefix,
               std::mt19937_64 &Engine) {
    endpoint_tracker &Board = Boards[static_cast<std::size_t>(Daemon)];
    retry_budget &Budget = Retries[static_cast<std::size_t>(Daemon)];
    ++Result.Requests;
    Budget.onRequest();
    double At = Now;
    std::set<std::string> Tried;
    for (int Attempt = 1; Attempt <= MostAttempts; ++Attempt) {
      const std::vector<candidate> Candidates = candidatesOf(Daemon, At, Tried);
      if (Candidates.empty())
        break;
      const std::size_t Chosen = Policy.choose(Candidates, Prefix, Random);
      const std::string &Name = Candidates[Chosen].Endpoint->Name;
      const std::size_t Index = std::stoul(Name.substr(1));
      Board.onRequestSent(Name);
      const bool Fails = Index == 1 && static_cast<double>(Engine() % 1000) <
                                           1000 * Scenario.FailPart;
      if (!Fails) {
        const double Factor = Index == 0 ? Scenario.SlowFactor : 1;
        const double First = Result.Runners[Index].start(At, Prefix, Factor);
        const double End = First + Factor * GapMs * Tokens;
        Ended.push({End, Daemon, Name, attempt_result::Succeeded, First - At});
        Result.First.push_back(First - Now);
        return;
      }
      At += FailMs;
      Ended.push({At, Daemon, Name, attempt_result::Failed, 0});
      Tried.insert(Name);
      if (!Budget.tryRetry())
        break;
    }
    ++Result.Lost;
  }

  const scenario &Scenario;
  balancing_policy &Policy;
  seeded Random;
  std::vector<config::endpoint> Endpoints;
  std::vector<const config::endpoint *> Members;
  std::vector<const config::endpoint *> Near[Zones];
  std::vector<endpoint_tracker> Boards;
  std::vector<retry_budget> Retries;
  std::priority_queue<ended, std::vector<ended>, std::greater<>> Ended;
  outcome Result;
};

void print(const scenario &Scenario, const balancing_policy &Policy,
           outcome Outcome) {
  std::sort(Outcome.First.begin(), Outcome.First.end());
  const auto At = [&Outcome](double Share) {
    const double Index = Share * static_cast<double>(Outcome.First.size() - 1);
    return Outcome.First[static_cast<std::size_t>(Index)];
  };
  int Hits = 0;
  int Most = 0;
  int Sum = 0;
  for (const runner &Runner : Outcome.Runners) {
    Hits += Runner.Hits;
    Sum += Runner.Requests;
    Most = std::max(Most, Runner.Requests);
  }
  const double Mean =
      static_cast<double>(Sum) / static_cast<double>(Outcome.Runners.size());
  std::printf("%-22s %3d %5lld %-14s %7.0f %7.0f %7.0f %6.1f%% %6.2f %5d/%d\n",
              Scenario.Name, Scenario.Runners,
              static_cast<long long>(Scenario.LagMs),
              std::string(Policy.name()).c_str(), At(0.5), At(0.95), At(0.99),
              100.0 * Hits / std::max(1, Sum), Most / Mean, Outcome.Lost,
              Outcome.Requests);
}

} // namespace

int main() {
  std::printf("%-22s %3s %5s %-14s %7s %7s %7s %7s %6s %s\n", "scenario", "n",
              "lag", "policy", "p50", "p95", "p99", "hits", "max/m", "lost");
  for (const int Runners : {10, 20}) {
    std::vector<scenario> Scenarios;
    for (const time_ms Lag : {1000, 5000, 15000}) {
      Scenarios.push_back({"healthy", Runners, 1, 0, Lag});
      Scenarios.push_back({"one 10 times slower", Runners, 10, 0, Lag});
      Scenarios.push_back({"one fails half", Runners, 1, 0.5, Lag});
    }
    for (const scenario &Scenario : Scenarios) {
      const std::unique_ptr<balancing_policy> Policies[] = {
          makeRoundRobin(), makeLeastReported(), makeTwoChoices(),
          makePrefixAware()};
      for (const auto &Policy : Policies)
        print(Scenario, *Policy, simulation(Scenario, *Policy).run());
    }
  }
  return 0;
}
