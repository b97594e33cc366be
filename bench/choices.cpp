// Compares load-balancing policies on identical arrivals in virtual time.
//
// A runner is a simulated model engine. It processes SlotsPerRunner requests
// concurrently and queues the others. The first token comes four times faster
// if the prompt prefix is in the prompt cache of the runner. Each daemon has
// its own endpoint_tracker, which gets one load report of every runner per
// LagMs.
//
// Output columns: scenario, number of runners, LagMs, policy; time to the first
// token (p50, p95, p99, in ms); share of prompt cache hits; requests of the
// busiest runner divided by the mean of all runners; requests that failed after
// all retries, out of all requests.
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
constexpr int SlotsPerRunner = 16;
constexpr double UncachedFirstTokenMs = 400; // With the prefix not cached.
constexpr double CacheHitFactor = 0.25; // Of UncachedFirstTokenMs, on a hit.
constexpr double TokenGapMs = 30;       // Time between two tokens.
constexpr int TokensPerRequest = 100;
constexpr double Utilisation = 0.7; // Mean share of all slots that is in use.
constexpr int PrefixCount = 60; // Different prompt prefixes in all requests.
constexpr std::size_t CacheCapacity = 16; // Prefixes in the cache of a runner.
constexpr double SimulatedMs = 300'000;   // Requests arrive during this time.
constexpr double FailureMs = 50; // From a request to its error response.
constexpr int MaxAttempts = 3;

struct scenario {
  const char *Name = "";
  int RunnerCount = 10;
  double SlowFactor = 1;  // Multiplies all times of runner 0.
  double FailedShare = 0; // Share of the requests to runner 1 that fail.
  time_ms LagMs = 1000;   // Interval of the load reports of each runner.
};

class seeded_random final : public random_source {
public:
  explicit seeded_random(std::uint64_t Seed) : Engine(Seed) {}
  std::uint64_t next() override { return Engine(); }

private:
  std::mt19937_64 Engine;
};

class runner {
public:
  // Queues a request and returns the time of its first token. SlowFactor
  // multiplies all times.
  double start(double Now, std::uint64_t Prefix, double SlowFactor) {
    while (SlotEnds.size() >= SlotsPerRunner && SlotEnds.top() <= Now)
      SlotEnds.pop();
    double Begin = Now;
    if (SlotEnds.size() >= SlotsPerRunner) {
      Begin = std::max(Now, SlotEnds.top());
      SlotEnds.pop();
    }
    const double FirstTokenAt =
        Begin + SlowFactor * UncachedFirstTokenMs *
                    (useCache(Prefix) ? CacheHitFactor : 1);
    const double End =
        FirstTokenAt + SlowFactor * TokenGapMs * TokensPerRequest;
    SlotEnds.push(End);
    RequestEnds.push_back(End);
    ++RequestCount;
    return FirstTokenAt;
  }
  load_report loadReport(double Now) {
    std::erase_if(RequestEnds, [Now](double End) { return End <= Now; });
    const int Unfinished = static_cast<int>(RequestEnds.size());
    return {std::min(Unfinished, SlotsPerRunner),
            std::max(0, Unfinished - SlotsPerRunner), false, 0};
  }
  int RequestCount = 0;
  int CacheHits = 0;

private:
  // Moves the prefix to the front of the cache, or inserts it there. Returns
  // true if the prefix was cached.
  bool useCache(std::uint64_t Prefix) {
    auto Found = std::find(Cache.begin(), Cache.end(), Prefix);
    const bool Hit = Found != Cache.end();
    if (Hit)
      Cache.erase(Found);
    Cache.push_front(Prefix);
    if (Cache.size() > CacheCapacity)
      Cache.pop_back();
    CacheHits += Hit ? 1 : 0;
    return Hit;
  }

  // Times at which the slots become free.
  std::priority_queue<double, std::vector<double>, std::greater<>> SlotEnds;
  std::vector<double> RequestEnds; // Of running and queued requests.
  std::list<std::uint64_t> Cache;  // Prefixes, the most recently used first.
};

// The end of an attempt, reported to the endpoint_tracker of the daemon at the
// time EndsAt.
struct attempt_end {
  double EndsAt = 0;
  int Daemon = 0;
  std::string Endpoint;
  attempt_result Result = attempt_result::Succeeded;
  double FirstTokenMs = 0;
  bool operator>(const attempt_end &Other) const {
    return EndsAt > Other.EndsAt;
  }
};

struct simulation_result {
  std::vector<double> FirstTokenMs; // Of each successful request.
  int FailedRequests = 0;           // Requests that failed after all retries.
  int Requests = 0;
  std::vector<runner> Runners;
};

class simulation {
public:
  simulation(const scenario &Scenario, balancing_policy &Policy)
      : Scenario(Scenario), Policy(Policy), Random(11) {
    for (int Index = 0; Index < Scenario.RunnerCount; ++Index) {
      config::endpoint Endpoint;
      Endpoint.Name = "r" + std::to_string(Index);
      Endpoint.Zone = "z" + std::to_string(Index % Zones);
      Endpoint.Slots = SlotsPerRunner;
      Endpoints.push_back(Endpoint);
    }
    for (std::size_t Index = 0; Index < Endpoints.size(); ++Index) {
      PoolMembers.push_back(&Endpoints[Index]);
      ZoneMembers[Index % Zones].push_back(&Endpoints[Index]);
    }
    for (int Index = 0; Index < Daemons; ++Index)
      Trackers.emplace_back("z" + std::to_string(Index % Zones));
    Result.Runners.resize(Endpoints.size());
    RetryBudgets.resize(Daemons);
  }

  simulation_result run() {
    std::mt19937_64 Engine(5);
    const double MsPerRequest =
        UncachedFirstTokenMs + TokenGapMs * TokensPerRequest;
    const double RequestsPerMs =
        Utilisation * SlotsPerRunner * Scenario.RunnerCount / MsPerRequest;
    std::exponential_distribution<double> ArrivalGap(RequestsPerMs);
    std::geometric_distribution<int> PrefixNumber(0.08);
    double NextReportAt = 0;
    for (double Now = ArrivalGap(Engine); Now < SimulatedMs;
         Now += ArrivalGap(Engine)) {
      while (NextReportAt <= Now) {
        reportLoads(NextReportAt);
        NextReportAt += static_cast<double>(Scenario.LagMs);
      }
      reportAttemptEnds(Now);
      const int Daemon = static_cast<int>(Engine() % Daemons);
      const std::uint64_t Number =
          1 + static_cast<std::uint64_t>(PrefixNumber(Engine) % PrefixCount);
      // The factor spreads the numbers over the whole range of prefix hashes.
      handleRequest(Now, Daemon, Number * 0x9e3779b97f4a7c15ULL, Engine);
    }
    return std::move(Result);
  }

private:
  // The candidates for a request: the eligible endpoints, as the daemon
  // determines them, if the policy is prefix-aware, which is the policy of the
  // daemon. The other policies choose among all endpoints that were not tried.
  std::vector<candidate> candidatesOf(int Daemon, double At,
                                      const std::set<std::string> &Tried) {
    const endpoint_tracker &Tracker =
        Trackers[static_cast<std::size_t>(Daemon)];
    const time_ms Now = static_cast<time_ms>(At);
    if (Policy.name() == "prefix-aware")
      return Tracker.eligibleCandidates(
          ZoneMembers[static_cast<std::size_t>(Daemon % Zones)], PoolMembers,
          Tried, Now);
    std::vector<candidate> Result = Tracker.candidates(PoolMembers, Now);
    std::erase_if(Result, [&Tried](const candidate &Candidate) {
      return Tried.contains(Candidate.Endpoint->Name);
    });
    return Result;
  }
  // Sends the load report of each runner to the trackers of all daemons.
  void reportLoads(double At) {
    for (std::size_t Index = 0; Index < Endpoints.size(); ++Index) {
      const load_report Report = Result.Runners[Index].loadReport(At);
      for (endpoint_tracker &Tracker : Trackers)
        Tracker.onLoadReport(Endpoints[Index].Name, Report,
                             static_cast<time_ms>(At));
    }
  }
  // Reports the attempts that have ended by now to the trackers.
  void reportAttemptEnds(double Now) {
    while (!AttemptEnds.empty() && AttemptEnds.top().EndsAt <= Now) {
      const attempt_end &Attempt = AttemptEnds.top();
      Trackers[static_cast<std::size_t>(Attempt.Daemon)].onRequestEnded(
          Attempt.Endpoint, Attempt.Result, Attempt.FirstTokenMs,
          static_cast<time_ms>(Attempt.EndsAt));
      AttemptEnds.pop();
    }
  }
  // Sends a request until an attempt succeeds, no candidate is left, or no
  // retry is allowed.
  void handleRequest(double Now, int Daemon, std::uint64_t Prefix,
                     std::mt19937_64 &Engine) {
    endpoint_tracker &Tracker = Trackers[static_cast<std::size_t>(Daemon)];
    retry_budget &Budget = RetryBudgets[static_cast<std::size_t>(Daemon)];
    ++Result.Requests;
    Budget.onRequest();
    double At = Now;
    std::set<std::string> Tried;
    for (int Attempt = 1; Attempt <= MaxAttempts; ++Attempt) {
      const std::vector<candidate> Candidates = candidatesOf(Daemon, At, Tried);
      if (Candidates.empty())
        break;
      const std::size_t Chosen = Policy.choose(Candidates, Prefix, Random);
      const std::string &Name = Candidates[Chosen].Endpoint->Name;
      const std::size_t Index = std::stoul(Name.substr(1));
      Tracker.onRequestSent(Name);
      const bool Fails = Index == 1 && static_cast<double>(Engine() % 1000) <
                                           1000 * Scenario.FailedShare;
      if (!Fails) {
        const double SlowFactor = Index == 0 ? Scenario.SlowFactor : 1;
        const double FirstTokenAt =
            Result.Runners[Index].start(At, Prefix, SlowFactor);
        const double End =
            FirstTokenAt + SlowFactor * TokenGapMs * TokensPerRequest;
        AttemptEnds.push(
            {End, Daemon, Name, attempt_result::Succeeded, FirstTokenAt - At});
        Result.FirstTokenMs.push_back(FirstTokenAt - Now);
        return;
      }
      At += FailureMs;
      AttemptEnds.push({At, Daemon, Name, attempt_result::Failed, 0});
      Tried.insert(Name);
      if (!Budget.tryRetry())
        break;
    }
    ++Result.FailedRequests;
  }

  const scenario &Scenario;
  balancing_policy &Policy;
  seeded_random Random;
  std::vector<config::endpoint> Endpoints;
  std::vector<const config::endpoint *> PoolMembers;
  std::vector<const config::endpoint *> ZoneMembers[Zones];
  std::vector<endpoint_tracker> Trackers;
  std::vector<retry_budget> RetryBudgets;
  std::priority_queue<attempt_end, std::vector<attempt_end>, std::greater<>>
      AttemptEnds;
  simulation_result Result;
};

void print(const scenario &Scenario, const balancing_policy &Policy,
           simulation_result Result) {
  std::sort(Result.FirstTokenMs.begin(), Result.FirstTokenMs.end());
  const auto Quantile = [&Result](double Share) {
    const double Index =
        Share * static_cast<double>(Result.FirstTokenMs.size() - 1);
    return Result.FirstTokenMs[static_cast<std::size_t>(Index)];
  };
  int CacheHits = 0;
  int MaxRequests = 0; // Of one runner.
  int AllRequests = 0;
  for (const runner &Runner : Result.Runners) {
    CacheHits += Runner.CacheHits;
    AllRequests += Runner.RequestCount;
    MaxRequests = std::max(MaxRequests, Runner.RequestCount);
  }
  const double MeanRequests = static_cast<double>(AllRequests) /
                              static_cast<double>(Result.Runners.size());
  std::printf("%-22s %3d %5lld %-14s %7.0f %7.0f %7.0f %6.1f%% %6.2f %5d/%d\n",
              Scenario.Name, Scenario.RunnerCount,
              static_cast<long long>(Scenario.LagMs),
              std::string(Policy.name()).c_str(), Quantile(0.5), Quantile(0.95),
              Quantile(0.99), 100.0 * CacheHits / std::max(1, AllRequests),
              MaxRequests / MeanRequests, Result.FailedRequests,
              Result.Requests);
}

} // namespace

int main() {
  std::printf("%-22s %3s %5s %-14s %7s %7s %7s %7s %6s %s\n", "scenario", "n",
              "lag", "policy", "p50", "p95", "p99", "hits", "max/m", "lost");
  for (const int RunnerCount : {10, 20}) {
    std::vector<scenario> Scenarios;
    for (const time_ms Lag : {1000, 5000, 15000}) {
      Scenarios.push_back({"healthy", RunnerCount, 1, 0, Lag});
      Scenarios.push_back({"one 10 times slower", RunnerCount, 10, 0, Lag});
      Scenarios.push_back({"one fails half", RunnerCount, 1, 0.5, Lag});
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
