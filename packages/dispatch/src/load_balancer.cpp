// Choice of an endpoint by its estimated cost in milliseconds.
#include "tamarack/dispatch.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <xxhash.h>

namespace tamarack::dispatch {

namespace {

// Added to an endpoint's penalty, of which the maximum is 1.
constexpr double FailedPenalty = 0.2; // For an error response.
constexpr double BrokenPenalty = 0.3; // For a refusal or a broken connection.
constexpr double PenaltyHalfLifeMs = 1'500;
constexpr double PenaltyCostMs = 800; // Cost of a penalty of 1.
constexpr double AvoidCostMs = 8'000; // Cost of an avoided endpoint.
constexpr double WarmUpCostMs = 200;  // Cost of an endpoint that warms up.
constexpr double NoiseMs = 2;         // Spreads choices of equal cost.
constexpr int MaxQueuedPerSlot = 3;   // Waiting requests of a plain service.
constexpr int ServiceRetryAfterMs = 300;
constexpr int EngineRetryAfterMs = 600;
// Instances whose pause ends at the same moment come back spread over this time
// each, up to the maximum.
constexpr int PauseSpreadPerInstanceMs = 10;
constexpr int MaxPauseSpreadMs = 2'000;
constexpr int MinPauseRetryAfterMs = 50;
// Callers that were refused because of a pause come back spread over this time.
constexpr int CallerSpreadMs = 300;

// Tokens of the prompt parts that other requests may share: all but the last
// part.
std::int64_t sharedTokens(const relay::call &Call) {
  std::int64_t Tokens = 0;
  for (std::size_t I = 0; I + 1 < Call.Prompt.size(); ++I)
    Tokens += Call.Prompt[I].Tokens;
  return Tokens;
}

} // namespace

load_balancer::load_balancer(std::string Zone, retry_limits Limits,
                             endpoint_restriction &Restriction,
                             random_source &Random,
                             availability_listener &Listener)
    : Zone(std::move(Zone)), RetryLimits(Limits), Restriction(Restriction),
      Random(Random), Listener(Listener) {}

void load_balancer::setTable(
    std::shared_ptr<const relay::route_table> NewTable) {
  Table = std::move(NewTable);
  for (auto &[Id, State] : Endpoints)
    if (const relay::service *Service = Table->findService(State.Entry.Service))
      State.Cache.setCapacity(Service->KvCacheTokens);
}

bool load_balancer::isEngine(std::string_view Service) const {
  const relay::service *Found = Table ? Table->findService(Service) : nullptr;
  return Found != nullptr && Found->KvCacheTokens > 0;
}

void load_balancer::setEndpoints(std::span<const endpoint_entry> Entries,
                                 time_ms Now) {
  for (auto &[Id, State] : Endpoints)
    State.Availability.setListed(false);
  EndpointsByService.clear();
  for (const endpoint_entry &Entry : Entries) {
    endpoint_state &State = Endpoints[Entry.Id];
    const bool Restarted =
        State.Entry.Id.empty() || State.Entry.StartedAt != Entry.StartedAt;
    if (Restarted) {
      const relay::service *Service =
          Table ? Table->findService(Entry.Service) : nullptr;
      State.Cache = prompt_cache(Service ? Service->KvCacheTokens : 0);
      State.Availability.reset();
      State.Penalty = 0;
      State.WarmUpUntil = Now + Entry.WarmUpMs;
    }
    State.Entry = Entry;
    State.Availability.setListed(true);
    State.Availability.setLeaving(Entry.Leaving);
    State.Availability.setSlots(Entry.Slots);
    updateEvacuation(State, Now);
    EndpointsByService[Entry.Service].push_back(Entry.Id);
  }
  std::erase_if(Endpoints, [Now](const auto &Item) {
    const endpoint_availability &Availability = Item.second.Availability;
    return !Availability.isListed() && !Availability.isNeeded(Now);
  });
}

void load_balancer::setEvacuatedZones(std::span<const std::string> Zones,
                                      time_ms Now) {
  EvacuatedZones = {Zones.begin(), Zones.end()};
  for (auto &[Id, State] : Endpoints)
    updateEvacuation(State, Now);
}

// To all instances an endpoint that comes back looks idle, and it may be cold.
void load_balancer::updateEvacuation(endpoint_state &State, time_ms Now) {
  const bool IsEvacuated = EvacuatedZones.contains(State.Entry.Zone);
  if (State.Availability.isEvacuated() && !IsEvacuated)
    State.Availability.pauseUntil(Now + resumeDelayMs());
  State.Availability.setEvacuated(IsEvacuated);
}

load_balancer::endpoint_state *
load_balancer::findEndpoint(std::string_view Endpoint) {
  const auto Found = Endpoints.find(Endpoint);
  return Found == Endpoints.end() ? nullptr : &Found->second;
}

const load_balancer::endpoint_state *
load_balancer::findEndpoint(std::string_view Endpoint) const {
  const auto Found = Endpoints.find(Endpoint);
  return Found == Endpoints.end() ? nullptr : &Found->second;
}

const endpoint_entry *
load_balancer::findEntry(std::string_view Endpoint) const {
  const endpoint_state *State = findEndpoint(Endpoint);
  return State == nullptr ? nullptr : &State->Entry;
}

int load_balancer::spread(int MaxMs) const {
  return static_cast<int>(Random.next() % static_cast<unsigned>(MaxMs));
}

int load_balancer::resumeDelayMs() const {
  const int SpreadMs = std::min(MaxPauseSpreadMs, InstanceCount.value_or(1) *
                                                      PauseSpreadPerInstanceMs);
  return spread(SpreadMs);
}

void load_balancer::onPauseStated(std::string_view Endpoint, int DurationMs,
                                  time_ms Now) {
  endpoint_state *State = findEndpoint(Endpoint);
  if (State == nullptr || DurationMs <= 0)
    return;
  const bool IsNew = State->Availability.pausedUntil() <= Now;
  State->Availability.pauseUntil(Now + DurationMs + resumeDelayMs());
  if (IsNew)
    Listener.onWithheld(Endpoint, withheld_reason::Paused, DurationMs);
}

void load_balancer::onLoadReport(std::string_view Endpoint,
                                 const load_report &Load, time_ms Now) {
  endpoint_state *State = findEndpoint(Endpoint);
  if (State == nullptr)
    return;
  State->Load = Load;
  State->LoadReceivedAt = Now;
  State->SentSinceReport = 0;
  State->EndedSinceReport = 0;
}

void load_balancer::onRequest(std::string_view Service) {
  RetryBudgets[std::string(Service)].onRequest(RetryLimits);
}

// Estimated number of requests at the endpoint: its last report, corrected by
// what this instance has sent and ended since, and at least the requests of
// this instance that are in flight.
double load_balancer::estimatedRequests(const endpoint_state &State) const {
  const double Reported = static_cast<double>(State.Load.Running) +
                          static_cast<double>(State.Load.Waiting);
  return std::max<double>(State.Availability.inFlight(),
                          Reported + State.SentSinceReport -
                              State.EndedSinceReport);
}

double load_balancer::currentPenalty(const endpoint_state &State,
                                     time_ms Now) const {
  const double Age = static_cast<double>(Now - State.PenaltyUpdatedAt);
  return State.Penalty * std::exp2(-Age / PenaltyHalfLifeMs);
}

void load_balancer::addPenalty(endpoint_state &State, double Amount,
                               time_ms Now) {
  State.Penalty = std::min(1.0, currentPenalty(State, Now) + Amount);
  State.PenaltyUpdatedAt = Now;
}

withheld_reason load_balancer::reasonOf(const endpoint_state &State,
                                        time_ms Now) const {
  const withheld_reason Reason = State.Availability.reason(Now);
  if (Reason == withheld_reason::None &&
      !Restriction.mayGetRequest(State.Entry.Id, Now))
    return withheld_reason::Limited;
  return Reason;
}

bool load_balancer::isRightVersion(const endpoint_state &State,
                                   const relay::call &Call) {
  return Call.RequiredVersion.empty() ||
         Call.RequiredVersion == State.Entry.Version;
}

bool load_balancer::isAllowedRegion(const endpoint_state &State,
                                    const relay::call &Call) const {
  if (!Call.AllowedRegions.IsBound)
    return true;
  const zone_regions::const_iterator Region =
      ZoneRegions.find(State.Entry.Zone);
  return Region != ZoneRegions.end() &&
         Call.AllowedRegions.contains(Region->second);
}

bool load_balancer::isSuitable(const endpoint_state &State,
                               const relay::call &Call) const {
  return isRightVersion(State, Call) && isAllowedRegion(State, Call);
}

bool load_balancer::isOutOfRegions(const relay::call &Call) const {
  if (!Call.AllowedRegions.IsBound)
    return false;
  return std::none_of(Endpoints.begin(), Endpoints.end(),
                      [this, &Call](const auto &Item) {
                        const endpoint_state &State = Item.second;
                        return State.Availability.isListed() &&
                               State.Entry.Service == Call.Service &&
                               isAllowedRegion(State, Call);
                      });
}

bool load_balancer::isBusy(const endpoint_state &State) const {
  const double RequestsPerSlot =
      isEngine(State.Entry.Service) ? 2.0 : 1.0 + MaxQueuedPerSlot;
  return estimatedRequests(State) >= RequestsPerSlot * State.Entry.Slots;
}

// All instances prefer the same endpoint for the shared parts of a prompt,
// without communication (rendezvous hashing): the one with the highest hash of
// its id and these parts.
const load_balancer::endpoint_state *load_balancer::preferredEndpoint(
    const relay::call &Call,
    std::span<const endpoint_state *const> Candidates) const {
  if (Call.Prompt.size() < 2)
    return nullptr;
  const std::uint64_t ChainHash = prompt_cache::chainHash(
      std::span(Call.Prompt).first(Call.Prompt.size() - 1));
  const endpoint_state *Best = nullptr;
  std::uint64_t BestHash = 0;
  for (const endpoint_state *State : Candidates) {
    const std::string &Id = State->Entry.Id;
    const std::uint64_t Hash = XXH64(Id.data(), Id.size(), ChainHash);
    if (Best == nullptr || Hash > BestHash) {
      Best = State;
      BestHash = Hash;
    }
  }
  return Best;
}

double load_balancer::cost(const relay::call &Call, const endpoint_state &State,
                           bool Preferred, time_ms Now) const {
  double Cost = PenaltyCostMs * currentPenalty(State, Now);
  if (State.Entry.Zone != Zone)
    Cost += Weights.OtherZoneMs;
  if (State.WarmUpUntil > Now)
    Cost += WarmUpCostMs;
  const double Requests = estimatedRequests(State);
  if (!isEngine(Call.Service)) {
    const double Slots = std::max(1, State.Entry.Slots);
    const double Queued = std::max(0.0, Requests + 1 - Slots);
    return Cost + Weights.ServiceTimeMs * (Queued / Slots) +
           Weights.ServiceTimeMs * 0.2 * (Requests / Slots);
  }
  const std::int64_t Shared = sharedTokens(Call);
  const std::int64_t Cached =
      std::max(State.Cache.cachedTokens(Call.Prompt), Preferred ? Shared : 0);
  const std::int64_t UncachedShared =
      std::max<std::int64_t>(0, Shared - Cached);
  Cost += static_cast<double>(
              std::max<std::int64_t>(0, Call.PromptTokens - Cached)) /
          Weights.PrefillTokensPerMs;
  Cost += Weights.UncachedSharedMs * static_cast<double>(UncachedShared);
  Cost += State.PendingPrefillTokens / Weights.PrefillTokensPerMs;
  Cost += Weights.RunningRequestMs * Requests;
  const double Slots = std::max(1, State.Entry.Slots);
  Cost += Weights.WaitingRequestMs * std::max(0.0, Requests + 1 - Slots);
  return Cost;
}

// A stream that is taken up may go to another service than the call names yet.
std::optional<relay::placement_refusal>
load_balancer::admit(const relay::call &Call, time_ms) {
  if (Call.RouteServices.empty() && isOutOfRegions(Call))
    return refusal(Call);
  return std::nullopt;
}

std::optional<relay::endpoint_choice>
load_balancer::choose(const relay::call &Call,
                      const std::set<std::string> &Tried, time_ms Now) {
  LastChoiceAt = Now;
  const auto Members = EndpointsByService.find(Call.Service);
  if (Members == EndpointsByService.end())
    return std::nullopt;
  std::vector<const endpoint_state *> Candidates;
  for (const std::string &Id : Members->second) {
    const endpoint_state &State = Endpoints.find(Id)->second;
    if (!Tried.contains(Id) && isSuitable(State, Call) && !isBusy(State) &&
        reasonOf(State, Now) == withheld_reason::None)
      Candidates.push_back(&State);
  }
  const endpoint_state *Preferred = preferredEndpoint(Call, Candidates);
  const endpoint_state *Best = nullptr;
  double BestCost = 0;
  for (const endpoint_state *State : Candidates) {
    const double Noise =
        NoiseMs * static_cast<double>(Random.next() % 1024) / 1024;
    double Cost = cost(Call, *State, State == Preferred, Now) + Noise;
    if (State->Availability.isAvoided(Now))
      Cost += AvoidCostMs;
    if (Best == nullptr || Cost < BestCost) {
      Best = State;
      BestCost = Cost;
    }
  }
  if (Best == nullptr)
    return std::nullopt;
  return relay::endpoint_choice{Best->Entry.Id, Best->Entry.Address, 0,
                                Best->Entry.Version, Best->Entry.StartedAt};
}

bool load_balancer::mayStillSend(const relay::call &Call,
                                 const relay::endpoint_choice &Target, time_ms,
                                 time_ms Now) const {
  const endpoint_state *State = findEndpoint(Target.Endpoint);
  return State != nullptr && State->Entry.StartedAt == Target.StartedAt &&
         isSuitable(*State, Call) && State->Availability.mayStillSend(Now);
}

void load_balancer::onSent(const relay::call &Call, std::string_view Endpoint,
                           time_ms) {
  endpoint_state *State = findEndpoint(Endpoint);
  if (State == nullptr)
    return;
  State->Availability.onSent(Call);
  ++State->SentSinceReport;
  if (Call.Prompt.empty())
    return;
  State->PendingPrefillTokens += static_cast<double>(std::max<std::int64_t>(
      0, Call.PromptTokens - State->Cache.cachedTokens(Call.Prompt)));
  State->Cache.addPrompt(Call.Prompt);
}

void load_balancer::onFirstByte(const relay::call &Call,
                                std::string_view Endpoint, time_ms Now) {
  endpoint_state *State = findEndpoint(Endpoint);
  if (State == nullptr)
    return;
  State->PendingPrefillTokens =
      std::max(0.0, State->PendingPrefillTokens -
                        static_cast<double>(Call.PromptTokens));
  State->Availability.onFirstByte(Call);
  State->Penalty = currentPenalty(*State, Now) * 0.7;
  State->PenaltyUpdatedAt = Now;
}

void load_balancer::onEnded(const relay::call &Call, std::string_view Endpoint,
                            relay::attempt_outcome End, time_ms Now) {
  endpoint_state *State = findEndpoint(Endpoint);
  if (State == nullptr)
    return;
  const withheld_reason Before = State->Availability.reason(Now);
  State->Availability.onEnded(Call, End, Now);
  const withheld_reason Reason = State->Availability.reason(Now);
  if (Reason != Before && (Reason == withheld_reason::Misplaced ||
                           Reason == withheld_reason::Unreachable))
    Listener.onWithheld(Endpoint, Reason, 0);
  ++State->EndedSinceReport;
  if (State->Availability.inFlight() == 0)
    State->PendingPrefillTokens = 0;
  switch (End) {
  case relay::attempt_outcome::Good:
  case relay::attempt_outcome::Unproven:
  case relay::attempt_outcome::Cancelled:
    break;
  case relay::attempt_outcome::Failed:
    addPenalty(*State, FailedPenalty, Now);
    break;
  case relay::attempt_outcome::Refused:
    // The pause that the endpoint asked for is enough.
    if (Reason != withheld_reason::Paused)
      addPenalty(*State, BrokenPenalty, Now);
    break;
  case relay::attempt_outcome::Broken:
    addPenalty(*State, BrokenPenalty, Now);
    break;
  case relay::attempt_outcome::Misplaced:
  case relay::attempt_outcome::Unreached:
  case relay::attempt_outcome::Withdrawn:
    break;
  }
}

bool load_balancer::tryRetry(std::string_view Service, time_ms Now) {
  return RetryBudgets[std::string(Service)].trySpend(RetryLimits, InstanceCount,
                                                     Now);
}

bool load_balancer::isVersionGone(const relay::call &Call) const {
  if (Call.RequiredVersion.empty())
    return false;
  return std::none_of(
      Endpoints.begin(), Endpoints.end(), [this, &Call](const auto &Item) {
        const endpoint_state &State = Item.second;
        return State.Availability.takesNewWork() &&
               State.Entry.Service == Call.Service && isSuitable(State, Call);
      });
}

relay::placement_refusal load_balancer::refusal(const relay::call &Call) const {
  if (isVersionGone(Call))
    return {relay::error_kind::StreamVersionGone, 0};
  if (isOutOfRegions(Call))
    return {relay::error_kind::NoEndpoint, 0};
  if (const std::optional<int> RetryAfterMs = pauseRetryAfterMs(Call))
    return {relay::error_kind::Overloaded, *RetryAfterMs};
  return {relay::error_kind::NoEndpoint,
          isEngine(Call.Service) ? EngineRetryAfterMs : ServiceRetryAfterMs};
}

placement_survey load_balancer::survey(const relay::call &Call,
                                       time_ms Now) const {
  placement_survey Survey;
  const auto Members = EndpointsByService.find(Call.Service);
  if (Members == EndpointsByService.end())
    return Survey;
  for (const std::string &Id : Members->second) {
    const endpoint_state &State = Endpoints.find(Id)->second;
    const withheld_reason Reason = reasonOf(State, Now);
    if (!isRightVersion(State, Call))
      ++Survey.OtherVersions;
    else if (!isAllowedRegion(State, Call))
      ++Survey.OtherRegions;
    else if (Reason != withheld_reason::None)
      ++Survey.Withheld[static_cast<std::size_t>(Reason)];
    else
      ++(isBusy(State) ? Survey.Busy : Survey.Available);
    if (Reason == withheld_reason::Paused && isSuitable(State, Call)) {
      const time_ms End = std::max(Now, State.Availability.pausedUntil());
      Survey.FirstPauseEnd =
          Survey.FirstPauseEnd == 0 ? End : std::min(Survey.FirstPauseEnd, End);
    }
  }
  return Survey;
}

// A pause is the reason if no endpoint would get the call otherwise.
std::optional<int>
load_balancer::pauseRetryAfterMs(const relay::call &Call) const {
  const placement_survey Survey = survey(Call, LastChoiceAt);
  const int Paused =
      Survey.Withheld[static_cast<std::size_t>(withheld_reason::Paused)];
  if (Paused == 0 || Survey.Available > 0 || Survey.Busy > 0)
    return std::nullopt;
  const time_ms WaitMs = Survey.FirstPauseEnd - LastChoiceAt;
  return static_cast<int>(std::max<time_ms>(MinPauseRetryAfterMs, WaitMs)) +
         spread(CallerSpreadMs);
}

std::string load_balancer::describe(std::string_view Endpoint,
                                    time_ms Now) const {
  const endpoint_state *State = findEndpoint(Endpoint);
  if (State == nullptr)
    return "unknown";
  const std::string Reason(toString(reasonOf(*State, Now)));
  char Text[192];
  std::snprintf(Text, sizeof Text,
                "running=%.0f own=%d load_age_ms=%lld penalty=%.2f avoid=%d "
                "withheld=%s",
                estimatedRequests(*State), State->Availability.inFlight(),
                State->LoadReceivedAt < 0
                    ? -1LL
                    : static_cast<long long>(Now - State->LoadReceivedAt),
                currentPenalty(*State, Now),
                State->Availability.isAvoided(Now) ? 1 : 0, Reason.c_str());
  return Text;
}

} // namespace tamarack::dispatch
