// The choice of an endpoint by its cost in milliseconds.
#include "tamarack/dispatch.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <xxhash.h>

namespace tamarack::dispatch {

namespace {

constexpr int AvoidFirstMs = 500;     // After an endpoint was not reached.
constexpr int AvoidLongestMs = 1'500; // After it was not reached many times.
constexpr int OutOfReachAfter = 2;    // Tries in a row that did not reach it.
constexpr double FailedPenalty = 0.2; // Added by a failure answer, of 1.
constexpr double BrokenPenalty = 0.3; // Added by a refusal or a break, of 1.
constexpr double PenaltyHalfLifeMs = 1'500;
constexpr double PenaltyCostMs = 800; // Cost of an endpoint that only fails.
constexpr double AvoidCostMs = 8'000; // Cost of one that was not reached.
constexpr double ColdCostMs = 200;    // Cost of an endpoint just started.
constexpr double NoiseMs = 2;         // Spreads choices of equal cost.
constexpr int QueuePerSlot = 3;       // Plain services: waiting allowed.
constexpr int RetryAfterMsPlain = 300;
constexpr int RetryAfterMsEngine = 600;

// Parts that other requests may have too: all but the last.
std::int64_t sharedTokens(const relay::call &Call) {
  std::int64_t Tokens = 0;
  for (std::size_t I = 0; I + 1 < Call.Prompt.size(); ++I)
    Tokens += Call.Prompt[I].Tokens;
  return Tokens;
}

} // namespace

dispatcher::dispatcher(std::string Zone, repeat_limits Limits,
                       random_source &Random)
    : Zone(std::move(Zone)), Limits(Limits), Random(Random) {}

void dispatcher::setTable(std::shared_ptr<const relay::route_table> NewTable) {
  Table = std::move(NewTable);
  for (auto &[Id, State] : Endpoints)
    if (const relay::service *Service = Table->findService(State.Entry.Service))
      State.Cache.setCapacity(Service->KvCacheTokens);
}

bool dispatcher::isEngine(std::string_view Service) const {
  const relay::service *Found = Table ? Table->findService(Service) : nullptr;
  return Found != nullptr && Found->KvCacheTokens > 0;
}

void dispatcher::setEndpoints(std::span<const endpoint_entry> Entries,
                              time_ms Now) {
  for (auto &[Id, State] : Endpoints)
    State.Listed = false;
  ByService.clear();
  for (const endpoint_entry &Entry : Entries) {
    state &State = Endpoints[Entry.Id];
    const bool Restarted =
        State.Entry.Id.empty() || State.Entry.Start != Entry.Start;
    if (Restarted) {
      const relay::service *Service =
          Table ? Table->findService(Entry.Service) : nullptr;
      State.Cache = prompt_cache(Service ? Service->KvCacheTokens : 0);
      State.SaysLeaving = false;
      State.Penalty = 0;
      State.UnreachedInRow = 0;
      State.AvoidUntil = 0;
      State.ColdUntil = Now + Entry.ColdMs;
    }
    State.Entry = Entry;
    State.Listed = true;
    ByService[Entry.Service].push_back(Entry.Id);
  }
  std::erase_if(Endpoints, [](const auto &Item) {
    return !Item.second.Listed && Item.second.InFlight == 0;
  });
}

dispatcher::state *dispatcher::find(std::string_view Endpoint) {
  const auto Found = Endpoints.find(Endpoint);
  return Found == Endpoints.end() ? nullptr : &Found->second;
}

void dispatcher::onLoad(std::string_view Endpoint, const load_report &Load,
                        time_ms Now) {
  state *State = find(Endpoint);
  if (State == nullptr)
    return;
  State->Load = Load;
  State->LoadAt = Now;
  State->SentSince = 0;
  State->EndedSince = 0;
}

void dispatcher::onLeaving(std::string_view Endpoint) {
  if (state *State = find(Endpoint))
    State->SaysLeaving = true;
}

void dispatcher::onRequest(std::string_view Service) {
  Repeats[std::string(Service)].onRequest(Limits);
}

// Requests at the endpoint: as it told last, and what this instance has done
// since; never less than this instance's own.
double dispatcher::running(const state &State) const {
  const int Told = State.Load.Running + State.Load.Waiting + State.SentSince -
                   State.EndedSince;
  return std::max(State.InFlight, Told);
}

double dispatcher::penalty(const state &State, time_ms Now) const {
  const double Age = static_cast<double>(Now - State.PenaltyAt);
  return State.Penalty * std::exp2(-Age / PenaltyHalfLifeMs);
}

void dispatcher::punish(state &State, double By, time_ms Now) {
  State.Penalty = std::min(1.0, penalty(State, Now) + By);
  State.PenaltyAt = Now;
}

// Not reached lately; when that is over, one call at a time finds out.
bool dispatcher::isAvoided(const state &State, time_ms Now) {
  if (State.AvoidUntil > Now)
    return true;
  return State.UnreachedInRow > 0 && State.InFlight > 0;
}

// Not reached several times in a row: calls don't wait for another try.
bool dispatcher::isOutOfReach(const state &State, time_ms Now) {
  return State.UnreachedInRow >= OutOfReachAfter && isAvoided(State, Now);
}

bool dispatcher::mayTake(const state &State, const relay::call &Call) const {
  if (State.Entry.Leaving || State.SaysLeaving || !State.Listed)
    return false;
  if (isEngine(Call.Service))
    return running(State) < 2.0 * State.Entry.Slots;
  return running(State) < (1.0 + QueuePerSlot) * State.Entry.Slots;
}

// The endpoint that all instances agree on for the shared parts of a prompt,
// without asking each other: the highest hash of both (rendezvous hashing).
const dispatcher::state *
dispatcher::preferred(const relay::call &Call,
                      std::span<const state *const> Candidates) const {
  if (Call.Prompt.size() < 2)
    return nullptr;
  const std::uint64_t Chain = prompt_cache::chainOf(
      std::span(Call.Prompt).first(Call.Prompt.size() - 1));
  const state *Best = nullptr;
  std::uint64_t BestHash = 0;
  for (const state *State : Candidates) {
    const std::string &Id = State->Entry.Id;
    const std::uint64_t Hash = XXH64(Id.data(), Id.size(), Chain);
    if (Best == nullptr || Hash > BestHash) {
      Best = State;
      BestHash = Hash;
    }
  }
  return Best;
}

double dispatcher::cost(const relay::call &Call, const state &State,
                        bool Preferred, time_ms Now) const {
  double Cost = PenaltyCostMs * penalty(State, Now);
  if (State.Entry.Zone != Zone)
    Cost += Weights.OtherZone;
  if (State.ColdUntil > Now)
    Cost += ColdCostMs;
  const double Running = running(State);
  if (!isEngine(Call.Service)) {
    const double Slots = std::max(1, State.Entry.Slots);
    const double Queued = std::max(0.0, Running + 1 - Slots);
    return Cost + Weights.ServiceTime * (Queued / Slots) +
           Weights.ServiceTime * 0.2 * (Running / Slots);
  }
  const std::int64_t Shared = sharedTokens(Call);
  const std::int64_t Kept =
      std::max(State.Cache.keptTokens(Call.Prompt), Preferred ? Shared : 0);
  const std::int64_t Again = std::max<std::int64_t>(0, Shared - Kept);
  Cost +=
      static_cast<double>(std::max<std::int64_t>(0, Call.PromptTokens - Kept)) /
      Weights.PrefillTokensPerMs;
  Cost += Weights.ReadAgain * static_cast<double>(Again);
  Cost += State.PrefillTokens / Weights.PrefillTokensPerMs;
  Cost += Weights.StepPerRunning * Running;
  const double Slots = std::max(1, State.Entry.Slots);
  Cost += Weights.Waiting * std::max(0.0, Running + 1 - Slots);
  return Cost;
}

std::optional<relay::endpoint_choice>
dispatcher::choose(const relay::call &Call, const std::set<std::string> &Tried,
                   time_ms Now) {
  const auto Members = ByService.find(Call.Service);
  if (Members == ByService.end())
    return std::nullopt;
  std::vector<const state *> Candidates;
  for (const std::string &Id : Members->second) {
    const state &State = Endpoints.find(Id)->second;
    if (!Tried.contains(Id) && mayTake(State, Call) &&
        !isOutOfReach(State, Now))
      Candidates.push_back(&State);
  }
  const state *Preferred = preferred(Call, Candidates);
  const state *Best = nullptr;
  double BestCost = 0;
  for (const state *State : Candidates) {
    const double Noise =
        NoiseMs * static_cast<double>(Random.next() % 1024) / 1024;
    double Cost = cost(Call, *State, State == Preferred, Now) + Noise;
    if (isAvoided(*State, Now))
      Cost += AvoidCostMs;
    if (Best == nullptr || Cost < BestCost) {
      Best = State;
      BestCost = Cost;
    }
  }
  if (Best == nullptr)
    return std::nullopt;
  return relay::endpoint_choice{Best->Entry.Id, Best->Entry.Address};
}

void dispatcher::onSent(const relay::call &Call, std::string_view Endpoint,
                        time_ms) {
  state *State = find(Endpoint);
  if (State == nullptr)
    return;
  ++State->InFlight;
  ++State->SentSince;
  if (Call.Prompt.empty())
    return;
  State->PrefillTokens += static_cast<double>(std::max<std::int64_t>(
      0, Call.PromptTokens - State->Cache.keptTokens(Call.Prompt)));
  State->Cache.note(Call.Prompt);
}

void dispatcher::onFirstByte(const relay::call &Call, std::string_view Endpoint,
                             time_ms Now) {
  state *State = find(Endpoint);
  if (State == nullptr)
    return;
  State->PrefillTokens = std::max(
      0.0, State->PrefillTokens - static_cast<double>(Call.PromptTokens));
  State->UnreachedInRow = 0;
  State->Penalty = penalty(*State, Now) * 0.7;
  State->PenaltyAt = Now;
}

void dispatcher::onEnded(const relay::call &, std::string_view Endpoint,
                         relay::attempt_outcome End, time_ms Now) {
  state *State = find(Endpoint);
  if (State == nullptr)
    return;
  --State->InFlight;
  ++State->EndedSince;
  if (State->InFlight == 0)
    State->PrefillTokens = 0;
  switch (End) {
  case relay::attempt_outcome::Good:
  case relay::attempt_outcome::Cancelled:
    break;
  case relay::attempt_outcome::Failed:
    punish(*State, FailedPenalty, Now);
    break;
  case relay::attempt_outcome::Refused:
  case relay::attempt_outcome::Broken:
    punish(*State, BrokenPenalty, Now);
    break;
  case relay::attempt_outcome::Misplaced:
    State->SaysLeaving = true;
    break;
  case relay::attempt_outcome::Unreached:
    ++State->UnreachedInRow;
    State->AvoidUntil =
        Now + std::min(AvoidLongestMs,
                       AvoidFirstMs << std::min(3, State->UnreachedInRow - 1));
    break;
  }
}

bool dispatcher::tryRetry(std::string_view Service, time_ms Now) {
  return Repeats[std::string(Service)].trySpend(Limits, Instances, Now);
}

relay::placement_refusal dispatcher::refusal(const relay::call &Call) const {
  return {relay::error_kind::NoEndpoint,
          isEngine(Call.Service) ? RetryAfterMsEngine : RetryAfterMsPlain};
}

std::string dispatcher::describe(std::string_view Endpoint, time_ms Now) const {
  const auto Found = Endpoints.find(Endpoint);
  if (Found == Endpoints.end())
    return "unknown";
  const state &State = Found->second;
  char Text[160];
  std::snprintf(Text, sizeof Text,
                "running=%.0f own=%d load_age_ms=%lld penalty=%.2f avoid=%d",
                running(State), State.InFlight,
                State.LoadAt < 0 ? -1LL
                                 : static_cast<long long>(Now - State.LoadAt),
                penalty(State, Now), State.AvoidUntil > Now ? 1 : 0);
  return Text;
}

} // namespace tamarack::dispatch
