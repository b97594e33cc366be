// Plays the load balancers of many instances over engines that read prompts one
// after the other, in virtual time. Half of the engines work at 0.6 of the
// speed; each 600 ms another one is 2.5 times slower.
//
// Output columns: number of instances, what they know; calls that waited for
// over 10 ms while another engine was free; p99 of all waits, ms; outstanding
// work of an engine by its speed, each 100 ms: p99 divided by the mean.
#include "tamarack/dispatch.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace {

using namespace tamarack;

constexpr int Engines = 90;
constexpr int Zones = 4;
constexpr int HoldersPerZone = 3;
constexpr int ThingCount = 400; // Different shared parts of long prompts.
constexpr double TokensPerMs = 60;
constexpr double SlowFactor = 1 / 0.6;
constexpr double NoisyFactor = 2.5;
constexpr time_ms NoisyMs = 600;
constexpr time_ms StreamMs = 1'000; // From the first byte to the end.
constexpr time_ms SimulatedMs = 20'000;
constexpr double CallsPerMs = 0.37; // Of the fleet.
constexpr double LongShare = 0.25;  // Of all calls.

class seeded_random final : public random_source {
public:
  explicit seeded_random(std::uint64_t Seed) : Engine(Seed) {}
  std::uint64_t next() override { return Engine(); }

private:
  std::mt19937_64 Engine;
};

class no_restriction final : public dispatch::endpoint_restriction {
public:
  bool mayGetRequest(std::string_view, time_ms) override { return true; }
};

class no_listener final : public dispatch::availability_listener {
public:
  void onWithheld(std::string_view, dispatch::withheld_reason, int) override {}
};

struct instance {
  instance(int Zone, std::uint64_t Seed)
      : Random(Seed), Balancer("z" + std::to_string(Zone), {}, Restriction,
                               Random, Listener) {}

  seeded_random Random;
  no_restriction Restriction;
  no_listener Listener;
  dispatch::load_balancer Balancer;
};

struct event {
  time_ms At = 0;
  std::function<void()> Run;
  bool operator>(const event &Other) const { return At > Other.At; }
};

enum class knowledge { Nothing, OwnReports, News };

class simulation {
public:
  simulation(int Count, knowledge Known) : Known(Known) {
    const std::shared_ptr<relay::route_table> Table =
        std::make_shared<relay::route_table>();
    relay::service Service;
    Service.Name = "s";
    Service.KvCacheTokens = 375'000;
    Table->add(Service);
    std::vector<dispatch::endpoint_entry> Entries(Engines);
    for (int I = 0; I < Engines; ++I) {
      Entries[static_cast<std::size_t>(I)].Id = "e" + std::to_string(I);
      Entries[static_cast<std::size_t>(I)].Service = "s";
      Entries[static_cast<std::size_t>(I)].Zone =
          "z" + std::to_string(I % Zones);
      Entries[static_cast<std::size_t>(I)].Slots = 24;
    }
    for (int I = 0; I < Count; ++I) {
      Instances.push_back(
          std::make_unique<instance>(I % Zones, static_cast<unsigned>(I)));
      Instances.back()->Balancer.setTable(Table);
      Instances.back()->Balancer.setEvenLoad(true);
      Instances.back()->Balancer.setEndpoints(Entries, 0);
    }
  }

  void run() {
    std::exponential_distribution<double> Gap(CallsPerMs);
    double Next = 0;
    for (time_ms Now = 0; Now < SimulatedMs; ++Now) {
      while (!Events.empty() && Events.top().At <= Now) {
        const event Due = Events.top();
        Events.pop();
        Due.Run();
      }
      for (; Next <= static_cast<double>(Now); Next += Gap(Random))
        beginCall(Now);
      if (Now % 100 == 0)
        recordWork(Now);
    }
  }

  void print(int Count, const char *Name) {
    std::ranges::sort(Waits);
    std::ranges::sort(Work);
    double Sum = 0;
    for (double Ms : Work)
      Sum += Ms;
    const double Mean = Sum / static_cast<double>(Work.size());
    std::printf("%4d %-12s %6.2f%% %7.0f %7.1f\n", Count, Name,
                100.0 * WaitedInVain / static_cast<double>(Waits.size()),
                Waits[Waits.size() * 99 / 100],
                Work[Work.size() * 99 / 100] / Mean);
  }

private:
  double slownessOf(int Engine, time_ms Now) const {
    const bool IsNoisy = Now / NoisyMs % Engines == Engine;
    return (Engine % 2 == 0 ? SlowFactor : 1) * (IsNoisy ? NoisyFactor : 1);
  }

  std::shared_ptr<relay::call> makeCall(time_ms Now) {
    const std::shared_ptr<relay::call> Call = std::make_shared<relay::call>();
    const bool IsLong = std::bernoulli_distribution(LongShare)(Random);
    const int Shared = IsLong ? 5'400 : 500;
    const int Own = static_cast<int>(std::min(
        50'000.0,
        std::lognormal_distribution<double>(IsLong ? 7.5 : 6.5, 1)(Random)));
    Call->Number = ++Number;
    Call->Id = std::to_string(Number);
    Call->Service = "s";
    Call->Kind = relay::call_kind::Stream;
    Call->TargetFirstByteMs = IsLong ? 1'000 : 400;
    Call->ArrivedAt = Now;
    Call->PromptTokens = Shared + Own;
    Call->Prompt = {{Random() % ThingCount + (IsLong ? 0 : 10'000), Shared},
                    {1'000'000 + Number, Own}};
    return Call;
  }

  // The exchange with the holder of an account that precedes a choice.
  void tellNews(std::size_t From, time_ms Now) {
    const std::size_t Holder =
        From % Zones + Zones * (Random() % HoldersPerZone);
    if (Known != knowledge::News || Holder >= Instances.size() ||
        Holder == From)
      return;
    dispatch::load_balancer &Asking = Instances[From]->Balancer;
    dispatch::load_balancer &Holding = Instances[Holder]->Balancer;
    Holding.readNews(std::to_string(From),
                     Asking.composeNews(std::to_string(Holder), Now), Now);
    Asking.readNews(std::to_string(Holder),
                    Holding.composeNews(std::to_string(From), Now), Now);
  }

  void beginCall(time_ms Now) {
    const std::size_t Index = Random() % Instances.size();
    tellNews(Index, Now);
    dispatch::load_balancer &Balancer = Instances[Index]->Balancer;
    const std::shared_ptr<relay::call> Call = makeCall(Now);
    const std::string Endpoint = Balancer.choose(*Call, {}, Now)->Endpoint;
    const int Engine = std::stoi(Endpoint.substr(1));
    engine &Chosen = State[Engine];
    const double At = static_cast<double>(Now);
    const double WaitMs = std::max(0.0, Chosen.FreeAt - At);
    Waits.push_back(WaitMs);
    if (WaitMs > 10 && std::ranges::any_of(State, [At](const engine &Other) {
          return Other.FreeAt <= At;
        }))
      ++WaitedInVain;
    const std::int64_t Tokens =
        Call->PromptTokens - Chosen.Cache.cachedTokens(Call->Prompt);
    Chosen.Cache.addPrompt(Call->Prompt);
    Chosen.FreeAt =
        At + WaitMs +
        static_cast<double>(Tokens) / TokensPerMs * slownessOf(Engine, Now);
    ++Chosen.Running;
    Balancer.onSent(*Call, Endpoint, Now);
    const time_ms FirstByteAt = static_cast<time_ms>(Chosen.FreeAt) + 1;
    Events.push(
        {FirstByteAt, [this, &Balancer, Call, Endpoint, Engine, FirstByteAt] {
           if (Known != knowledge::Nothing)
             Balancer.onLoadReport(
                 Endpoint,
                 {State[Engine].Running, 0, 24,
                  Engine == FirstByteAt / NoisyMs % Engines ? 250 : 100},
                 FirstByteAt);
           Balancer.onFirstByte(*Call, Endpoint, FirstByteAt);
         }});
    const time_ms EndsAt = FirstByteAt + StreamMs;
    Events.push({EndsAt, [this, &Balancer, Call, Endpoint, Engine, EndsAt] {
                   --State[Engine].Running;
                   Balancer.onEnded(*Call, Endpoint,
                                    relay::attempt_outcome::Good, EndsAt);
                 }});
  }

  void recordWork(time_ms Now) {
    for (const engine &Engine : State)
      Work.push_back(std::max(0.0, Engine.FreeAt - static_cast<double>(Now)));
  }

  struct engine {
    double FreeAt = 0; // When all prompts are read.
    int Running = 0;
    dispatch::prompt_cache Cache{375'000};
  };

  knowledge Known;
  std::mt19937_64 Random{5};
  std::vector<std::unique_ptr<instance>> Instances;
  engine State[Engines];
  std::priority_queue<event, std::vector<event>, std::greater<>> Events;
  std::uint64_t Number = 0;
  std::vector<double> Waits; // Ms.
  std::vector<double> Work;  // Ms.
  int WaitedInVain = 0;
};

} // namespace

int main() {
  std::printf("%4s %-12s %7s %7s %7s\n", "n", "known", "in vain", "p99 ms",
              "p99/m");
  for (const int Count : {8, 70, 300})
    for (const auto &[Known, Name] :
         {std::pair(knowledge::Nothing, "no reports"),
          std::pair(knowledge::OwnReports, "own reports"),
          std::pair(knowledge::News, "news")}) {
      const std::unique_ptr<simulation> Simulation =
          std::make_unique<simulation>(Count, Known);
      Simulation->run();
      Simulation->print(Count, Name);
    }
  return 0;
}
