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
// Of the rejections that an endpoint tolerates, what the instances use: several
// requests may be on their way when the first one is rejected.
constexpr double RejectionShare = 0.25;
constexpr double MinRejectionPauseMs = 200;
constexpr double MaxRejectionPauseMs = 10'000;
constexpr double MinNewsReadMs = 8; // Of a prompt that others are told of.
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
  std::erase_if(ServiceLoads, [this](const auto &Item) {
    return Table->findService(Item.first) == nullptr;
  });
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
  IdByKey.clear();
  for (const endpoint_entry &Entry : Entries) {
    endpoint_state &State = Endpoints[Entry.Id];
    const bool Restarted =
        State.Entry.Id.empty() || State.Entry.StartedAt != Entry.StartedAt;
    if (Restarted) {
      const relay::service *Service =
          Table ? Table->findService(Entry.Service) : nullptr;
      State.Cache = prompt_cache(Service ? Service->KvCacheTokens : 0);
      State.Availability.reset();
      State.Load.reset();
      State.Penalty = 0;
      State.WarmUpUntil = Now + Entry.WarmUpMs;
    }
    State.Entry = Entry;
    State.Availability.setListed(true);
    State.Availability.setLeaving(Entry.Leaving);
    State.Availability.setSlots(Entry.Slots);
    updateEvacuation(State, Now);
    EndpointsByService[Entry.Service].push_back(Entry.Id);
    IdByKey[load::keyOf(Entry.Id)] = Entry.Id;
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

load_balancer::endpoint_state *
load_balancer::findEndpoint(load::endpoint_key Key) {
  const auto Found = IdByKey.find(Key);
  return Found == IdByKey.end() ? nullptr : findEndpoint(Found->second);
}

const endpoint_entry *
load_balancer::findEntry(std::string_view Endpoint) const {
  const endpoint_state *State = findEndpoint(Endpoint);
  return State == nullptr ? nullptr : &State->Entry;
}

const endpoint_entry *
load_balancer::findEntryByAddress(std::string_view Address) const {
  const auto Found = std::find_if(
      Endpoints.begin(), Endpoints.end(), [Address](const auto &Item) {
        return Item.second.Availability.isListed() &&
               Item.second.Entry.Address == Address;
      });
  return Found == Endpoints.end() ? nullptr : &Found->second.Entry;
}

int load_balancer::spread(int MaxMs) const {
  return static_cast<int>(Random.next() % static_cast<unsigned>(MaxMs));
}

int load_balancer::resumeDelayMs() const {
  const int SpreadMs = std::min(MaxPauseSpreadMs, InstanceCount.value_or(1) *
                                                      PauseSpreadPerInstanceMs);
  return spread(SpreadMs);
}

void load_balancer::onRejectionLimitStated(std::string_view Endpoint,
                                           std::optional<double> PerSecond) {
  if (endpoint_state *State = findEndpoint(Endpoint))
    State->RejectionsPerSecond = PerSecond;
}

// All instances together may be rejected so often; each takes an equal part.
int load_balancer::rejectionPauseMs(double RejectionsPerSecond) const {
  const double OwnPerSecond =
      RejectionShare * RejectionsPerSecond / InstanceCount.value_or(1);
  const double PauseMs =
      OwnPerSecond > 0 ? 1'000 / OwnPerSecond : MaxRejectionPauseMs;
  return static_cast<int>(
      std::clamp(PauseMs, MinRejectionPauseMs, MaxRejectionPauseMs));
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
  load_report Report = Load;
  if (!IsEvenLoad)
    Report.PacePercent.reset();
  State->Load.onReport(Report, Now);
  if (Report.PacePercent)
    News.add(load::report_news{load::keyOf(Endpoint), 0, Report}, {}, Now);
}

std::string load_balancer::composeNews(std::string_view Peer, time_ms Now) {
  const load::load_news ForPeer = News.take(Peer, Now);
  const bool IsEmpty = ForPeer.Reports.empty() && ForPeer.Calls.empty();
  return IsEmpty ? std::string() : load::encode(ForPeer);
}

bool load_balancer::readNews(std::string_view Peer, std::string_view Bytes,
                             time_ms Now) {
  const std::optional<load::load_news> Told = load::decodeNews(Bytes);
  if (!Told)
    return false;
  if (!IsEvenLoad)
    return true;
  for (const load::report_news &Item : Told->Reports) {
    endpoint_state *State = findEndpoint(Item.Endpoint);
    if (State != nullptr && News.add(Item, Peer, Now))
      State->Load.onOthersReport(Item.Report, Now - Item.AgeMs);
  }
  for (const load::call_news &Item : Told->Calls) {
    endpoint_state *State = findEndpoint(Item.Endpoint);
    if (State != nullptr && News.add(Item, Peer, Now))
      State->Load.onOthersCall(Item, Now - Item.AgeMs);
  }
  return true;
}

void load_balancer::addCallNews(const relay::call &Call,
                                const endpoint_state &State, double ReadMs,
                                const load::work_sample &Sample, time_ms Now) {
  const bool IsAnswer = Sample.ExpectedMs >= 1;
  if (!State.Load.statesPace() || (!IsAnswer && ReadMs < MinNewsReadMs))
    return;
  load::call_news Item;
  Item.Endpoint = load::keyOf(State.Entry.Id);
  Item.Id = XXH64(Call.Id.data(), Call.Id.size(), Item.Endpoint);
  Item.ReadMs = static_cast<int>(ReadMs);
  Item.ExpectedMs = static_cast<int>(Sample.ExpectedMs);
  Item.TookMs = static_cast<int>(Sample.TookMs);
  Item.AgeMs = Item.TookMs;
  News.add(Item, {}, Now);
}

void load_balancer::onRequest(std::string_view Service) {
  RetryBudgets[std::string(Service)].onRequest(RetryLimits);
}

const load::load_prior &load_balancer::priorOf(std::string_view Service,
                                               time_ms Now) const {
  load::service_load &ServiceLoad = ServiceLoads[std::string(Service)];
  if (ServiceLoad.hasPrior(Now))
    return ServiceLoad.prior();
  std::vector<const load::endpoint_load *> Loads;
  const auto Members = EndpointsByService.find(Service);
  if (Members != EndpointsByService.end())
    for (const std::string &Id : Members->second)
      Loads.push_back(&Endpoints.find(Id)->second.Load);
  ServiceLoad.updatePrior(Loads, Now);
  return ServiceLoad.prior();
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

bool load_balancer::isBusy(const endpoint_state &State,
                           const load::load_prior &Prior, time_ms Now) const {
  double RequestsPerSlot =
      isEngine(State.Entry.Service) ? 2.0 : 1.0 + MaxQueuedPerSlot;
  if (State.RejectionsPerSecond)
    RequestsPerSlot = 1.0; // It may let nothing wait.
  return State.Load.requests(Prior, Now) >= RequestsPerSlot * State.Entry.Slots;
}

double load_balancer::sharedPartsMs(const relay::call &Call) const {
  return static_cast<double>(sharedTokens(Call)) *
         (Weights.UncachedSharedMs + 1 / Weights.PrefillTokensPerMs);
}

// All instances prefer the same endpoint for the shared parts of a prompt,
// without communication (rendezvous hashing): the one with the highest hash of
// its id and these parts. If the call would wait there for long, the next one
// takes its place.
const load_balancer::endpoint_state *
load_balancer::preferredEndpoint(const relay::call &Call, candidates Candidates,
                                 const choice_view &View, time_ms Now) const {
  if (Call.Prompt.size() < 2)
    return nullptr;
  const std::uint64_t ChainHash = prompt_cache::chainHash(
      std::span(Call.Prompt).first(Call.Prompt.size() - 1));
  const double MaxWaitMs = Weights.PreferredWaitShare * sharedPartsMs(Call);
  const endpoint_state *Best = nullptr;
  std::uint64_t BestHash = 0;
  bool IsBestFree = false;
  for (const endpoint_state *State : Candidates) {
    const std::string &Id = State->Entry.Id;
    if (View.IsSplit && load::size_split::isForLong(Id) != View.IsLong)
      continue;
    const std::uint64_t Hash = XXH64(Id.data(), Id.size(), ChainHash);
    const bool IsFree = !View.Prior.HasPace ||
                        State->Load.readingMs(View.Prior, Now) <= MaxWaitMs;
    const bool IsBetter = IsFree == IsBestFree ? Hash > BestHash : IsFree;
    if (Best == nullptr || IsBetter) {
      Best = State;
      BestHash = Hash;
      IsBestFree = IsFree;
    }
  }
  return Best;
}

double load_balancer::serviceCost(const endpoint_state &State,
                                  const choice_view &View, time_ms Now) const {
  const double Requests = State.Load.requests(View.Prior, Now);
  const double Slots = std::max(1, State.Entry.Slots);
  const double Queued = std::max(0.0, Requests + 1 - Slots);
  const double Slowness = State.Load.slowness(View.Prior, Now);
  const double TimeMs = Weights.ServiceTimeMs * Slowness;
  return TimeMs - Weights.ServiceTimeMs + TimeMs * (Queued / Slots) +
         TimeMs * 0.2 * (Requests / Slots);
}

double load_balancer::engineCost(const relay::call &Call,
                                 const endpoint_state &State, bool Preferred,
                                 const choice_view &View, time_ms Now) const {
  const std::int64_t Shared = sharedTokens(Call);
  const std::int64_t Cached =
      std::max(State.Cache.cachedTokens(Call.Prompt), Preferred ? Shared : 0);
  const std::int64_t UncachedShared =
      std::max<std::int64_t>(0, Shared - Cached);
  const std::int64_t Uncached =
      std::max<std::int64_t>(0, Call.PromptTokens - Cached);
  const double Slowness = State.Load.slowness(View.Prior, Now);
  double Cost =
      Slowness * static_cast<double>(Uncached) / Weights.PrefillTokensPerMs;
  Cost += Weights.UncachedSharedMs * static_cast<double>(UncachedShared);
  Cost += State.Load.readingMs(View.Prior, Now);
  const double Requests = State.Load.requests(View.Prior, Now);
  Cost += Weights.RunningRequestMs * Requests;
  const double Slots = std::max(1, State.Entry.Slots);
  Cost += Weights.WaitingRequestMs * std::max(0.0, Requests + 1 - Slots);
  if (View.IsSplit &&
      load::size_split::isForLong(State.Entry.Id) != View.IsLong)
    Cost += View.IsLong ? Weights.LongAtShortMs : Weights.ShortAtLongMs;
  return Cost;
}

double load_balancer::cost(const relay::call &Call, const endpoint_state &State,
                           bool Preferred, const choice_view &View,
                           time_ms Now) const {
  double Cost = PenaltyCostMs * currentPenalty(State, Now);
  if (State.Entry.Zone != Zone)
    Cost += Weights.OtherZoneMs;
  if (State.WarmUpUntil > Now)
    Cost += WarmUpCostMs;
  if (State.Availability.isAvoided(Now))
    Cost += AvoidCostMs;
  return Cost + (View.IsEngine ? engineCost(Call, State, Preferred, View, Now)
                               : serviceCost(State, View, Now));
}

load_balancer::choice_view load_balancer::viewOf(const relay::call &Call,
                                                 time_ms Now) {
  choice_view View;
  View.Prior = priorOf(Call.Service, Now);
  View.IsEngine = isEngine(Call.Service);
  if (!View.IsEngine || !View.Prior.HasPace || Call.Prompt.empty())
    return View;
  load::size_split &Split = ServiceLoads[Call.Service].Split;
  Split.onCall(Call.TargetFirstByteMs);
  View.IsSplit =
      EndpointsByService[Call.Service].size() >= load::size_split::MinEngines;
  View.IsLong = Split.isLong(static_cast<double>(Call.PromptTokens) /
                             Weights.PrefillTokensPerMs);
  return View;
}

const load_balancer::endpoint_state *
load_balancer::pick(const relay::call &Call, candidates Candidates,
                    const choice_view &View, time_ms Now) {
  const endpoint_state *Preferred =
      preferredEndpoint(Call, Candidates, View, Now);
  const endpoint_state *Best = nullptr;
  double BestCost = 0;
  for (const endpoint_state *State : Candidates) {
    double SpreadMs = NoiseMs;
    if (View.Prior.HasPace)
      SpreadMs += Weights.SpreadMs *
                  (1 - State->Load.reportWeight(View.Prior.HalfLifeMs, Now));
    const double Noise =
        SpreadMs * static_cast<double>(Random.next() % 1024) / 1024;
    const double Cost =
        cost(Call, *State, State == Preferred, View, Now) + Noise;
    if (Best == nullptr || Cost < BestCost) {
      Best = State;
      BestCost = Cost;
    }
  }
  return Best;
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
  const choice_view View = viewOf(Call, Now);
  std::vector<const endpoint_state *> Candidates;
  for (const std::string &Id : Members->second) {
    const endpoint_state &State = Endpoints.find(Id)->second;
    if (!Tried.contains(Id) && isSuitable(State, Call) &&
        !isBusy(State, View.Prior, Now) &&
        reasonOf(State, Now) == withheld_reason::None)
      Candidates.push_back(&State);
  }
  const endpoint_state *Best = pick(Call, Candidates, View, Now);
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
                           time_ms Now) {
  endpoint_state *State = findEndpoint(Endpoint);
  if (State == nullptr)
    return;
  State->Availability.onSent(Call);
  load::sent_call Sent{Call.Number, Now, Weights.ServiceTimeMs, 0};
  if (!Call.Prompt.empty()) {
    const std::int64_t Uncached = std::max<std::int64_t>(
        0, Call.PromptTokens - State->Cache.cachedTokens(Call.Prompt));
    Sent.ReadMs = static_cast<double>(Uncached) / Weights.PrefillTokensPerMs;
    Sent.WorkMs = Sent.ReadMs;
    State->Cache.addPrompt(Call.Prompt);
  }
  State->Load.onSent(Sent);
  addCallNews(Call, *State, Sent.ReadMs, {}, Now);
}

void load_balancer::onFirstByte(const relay::call &Call,
                                std::string_view Endpoint, time_ms Now) {
  endpoint_state *State = findEndpoint(Endpoint);
  if (State == nullptr)
    return;
  // Of other calls the first byte may be that of an error.
  if (relay::isStream(Call.Kind))
    addCallNews(Call, *State, 0, State->Load.onAnswered(Call.Number, Now), Now);
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
  if (End == relay::attempt_outcome::Refused && State->RejectionsPerSecond)
    onPauseStated(Endpoint, rejectionPauseMs(*State->RejectionsPerSecond), Now);
  const withheld_reason Reason = State->Availability.reason(Now);
  if (Reason != Before && (Reason == withheld_reason::Misplaced ||
                           Reason == withheld_reason::Unreachable))
    Listener.onWithheld(Endpoint, Reason, 0);
  if (End == relay::attempt_outcome::Good) {
    addCallNews(Call, *State, 0, State->Load.onAnswered(Call.Number, Now), Now);
    ServiceLoads[Call.Service].onCallEnded(Now - Call.ArrivedAt);
  }
  State->Load.onEnded(Call.Number);
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
  const load::load_prior &Prior = priorOf(Call.Service, Now);
  for (const std::string &Id : Members->second) {
    const endpoint_state &State = Endpoints.find(Id)->second;
    const withheld_reason Reason = reasonOf(State, Now);
    if (!isRightVersion(State, Call))
      ++Survey.OtherVersions;
    else if (!isAllowedRegion(State, Call))
      ++Survey.OtherRegions;
    else if (Reason != withheld_reason::None)
      ++Survey.Withheld[static_cast<std::size_t>(Reason)];
    else if (State.Availability.isAvoided(Now))
      ++Survey.Avoided;
    else
      ++(isBusy(State, Prior, Now) ? Survey.Busy : Survey.Available);
    if (Reason == withheld_reason::Paused && isSuitable(State, Call)) {
      const time_ms End = std::max(Now, State.Availability.pausedUntil());
      Survey.FirstPauseEnd =
          Survey.FirstPauseEnd == 0 ? End : std::min(Survey.FirstPauseEnd, End);
    }
  }
  return Survey;
}

std::vector<const endpoint_entry *>
load_balancer::openEndpoints(std::string_view Service) const {
  std::vector<const endpoint_entry *> Open;
  const auto Members = EndpointsByService.find(Service);
  if (Members == EndpointsByService.end())
    return Open;
  for (const std::string &Id : Members->second) {
    const endpoint_state &State = Endpoints.find(Id)->second;
    if (State.Availability.takesNewWork())
      Open.push_back(&State.Entry);
  }
  return Open;
}

// A pause is the reason if no endpoint would get the call otherwise.
std::optional<int>
load_balancer::pauseRetryAfterMs(const relay::call &Call) const {
  const placement_survey Survey = survey(Call, LastChoiceAt);
  const int Paused =
      Survey.Withheld[static_cast<std::size_t>(withheld_reason::Paused)];
  if (Paused == 0 || Survey.Available > 0 || Survey.Avoided > 0 ||
      Survey.Busy > 0)
    return std::nullopt;
  const time_ms WaitMs = Survey.FirstPauseEnd - LastChoiceAt;
  return static_cast<int>(std::max<time_ms>(MinPauseRetryAfterMs, WaitMs)) +
         spread(CallerSpreadMs);
}

time_ms load_balancer::loadAgeMs(std::string_view Endpoint, time_ms Now) const {
  const endpoint_state *State = findEndpoint(Endpoint);
  return State == nullptr ? -1 : State->Load.reportAgeMs(Now);
}

std::string load_balancer::describe(std::string_view Endpoint,
                                    time_ms Now) const {
  const endpoint_state *State = findEndpoint(Endpoint);
  if (State == nullptr)
    return "unknown";
  const std::string Reason(toString(reasonOf(*State, Now)));
  const load::load_prior &Prior = priorOf(State->Entry.Service, Now);
  char Text[224];
  std::snprintf(
      Text, sizeof Text,
      "running=%.1f own=%d load_age_ms=%lld reading_ms=%.0f slowness=%.2f "
      "penalty=%.2f avoid=%d withheld=%s",
      State->Load.requests(Prior, Now), State->Load.inFlight(),
      static_cast<long long>(State->Load.reportAgeMs(Now)),
      State->Load.readingMs(Prior, Now), State->Load.slowness(Prior, Now),
      currentPenalty(*State, Now), State->Availability.isAvoided(Now) ? 1 : 0,
      Reason.c_str());
  return Text;
}

} // namespace tamarack::dispatch
