// Load and health of endpoints.
#include "tamarack/routing.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack::routing {

namespace {

constexpr double HealthWeights[HealthLevelCount] = {1.0 / 64, 1.0 / 16, 0.25,
                                                    0.5, 1.0};
constexpr int LevelsLostPerFailure = 2; // Lost by one failure.
constexpr int LevelsLostWhenSlow = 1;   // Lost by one slow step.
constexpr int SuccessesPerLevel = 5;    // Good answers in a row for one level.
constexpr time_ms MinLevelChangeIntervalMs =
    1000; // Least time between two steps.
constexpr double SlowFirstTokenFactor =
    4; // FirstTokenTimes the median first token.
constexpr double MinSlowFirstTokenMs = 50;  // Never slow below this.
constexpr double FirstTokenSmoothing = 0.2; // Weight of a new first-token time.
constexpr double ReportDecayMs = 2000;      // Age at which a report counts 1/e.
constexpr time_ms MaxForwardedReportAgeMs = 10'000; // Passed on to peers.
constexpr double OwnZoneMaxLoad = 0.4;  // Below it the own zone serves alone.
constexpr double FreeSlotMaxLoad = 1.0; // Estimated requests per slot.
constexpr double ShortQueueMaxLoad = 1.25; // The endpoint's own queue is long.
constexpr double MinHealthyWeight = 0.25;
constexpr time_ms LeavingExpiryMs = 30'000; // Belief in its own sign.
constexpr time_ms PeerReportedLeavingExpiryMs =
    5'000; // Belief in a peer's word.

} // namespace

endpoint_tracker::endpoint_tracker(std::string Zone) : Zone(std::move(Zone)) {}

void endpoint_tracker::onLoadReport(std::string_view Endpoint,
                                    const load_report &Report, time_ms Now) {
  state &State = States[std::string(Endpoint)];
  const time_ms MeasuredAt = Now - Report.AgeMs;
  if (State.ReceivedAt >= 0 &&
      MeasuredAt <= State.ReceivedAt - State.Report.AgeMs)
    return;
  State.Report = Report;
  State.ReceivedAt = Now;
  State.SentSinceReport = 0;
  State.EndedSinceReport = 0;
  State.LeavingSeenAt = Report.Leaving ? Now : -1;
}

void endpoint_tracker::onLeaving(std::string_view Endpoint, time_ms Now) {
  States[std::string(Endpoint)].LeavingSeenAt = Now;
}

void endpoint_tracker::onPeerReportedLeaving(std::string_view Endpoint,
                                             time_ms Now) {
  States[std::string(Endpoint)].PeerReportedLeavingAt = Now;
}

bool endpoint_tracker::isLeaving(const state &State, time_ms Now) {
  const bool SeenRecently =
      State.LeavingSeenAt >= 0 && Now - State.LeavingSeenAt < LeavingExpiryMs;
  const bool PeerReportedRecently =
      State.PeerReportedLeavingAt >= 0 &&
      Now - State.PeerReportedLeavingAt < PeerReportedLeavingExpiryMs;
  return SeenRecently || PeerReportedRecently;
}

void endpoint_tracker::onRequestSent(std::string_view Endpoint) {
  state &State = States[std::string(Endpoint)];
  ++State.InFlight;
  ++State.SentSinceReport;
}

void endpoint_tracker::onRequestEnded(std::string_view Endpoint,
                                      attempt_result Result,
                                      double FirstTokenMs, time_ms Now) {
  state &State = States[std::string(Endpoint)];
  --State.InFlight;
  ++State.EndedSinceReport;
  if (Result == attempt_result::Cancelled)
    return;
  if (Result == attempt_result::Refused) {
    State.LeavingSeenAt = Now;
    return;
  }
  if (Result == attempt_result::Failed) {
    lowerHealth(State, LevelsLostPerFailure, Now);
    return;
  }
  State.FirstTokenMs +=
      FirstTokenSmoothing * (FirstTokenMs - State.FirstTokenMs);
  const double Limit = std::max(MinSlowFirstTokenMs,
                                SlowFirstTokenFactor * medianFirstTokenMs());
  const bool ChangedRecently =
      Now - State.HealthLevelChangedAt < MinLevelChangeIntervalMs;
  if (State.FirstTokenMs > Limit) {
    if (!ChangedRecently)
      lowerHealth(State, LevelsLostWhenSlow, Now);
    return;
  }
  ++State.SuccessesInRow;
  const bool RaiseLevel = State.SuccessesInRow >= SuccessesPerLevel &&
                          !ChangedRecently &&
                          State.HealthLevel < HealthLevelCount - 1;
  if (!RaiseLevel)
    return;
  ++State.HealthLevel;
  State.SuccessesInRow = 0;
  State.HealthLevelChangedAt = Now;
}

void endpoint_tracker::lowerHealth(state &State, int Levels, time_ms Now) {
  State.HealthLevel = std::max(0, State.HealthLevel - Levels);
  State.SuccessesInRow = 0;
  State.HealthLevelChangedAt = Now;
}

double endpoint_tracker::medianFirstTokenMs() const {
  std::vector<double> FirstTokenTimes;
  for (const auto &[Name, State] : States)
    if (State.FirstTokenMs > 0)
      FirstTokenTimes.push_back(State.FirstTokenMs);
  if (FirstTokenTimes.empty())
    return 0;
  auto Median = FirstTokenTimes.begin() +
                static_cast<std::ptrdiff_t>(FirstTokenTimes.size() / 2);
  std::nth_element(FirstTokenTimes.begin(), Median, FirstTokenTimes.end());
  return *Median;
}

// How many requests the whole fleet has in flight for one of this daemon's.
double endpoint_tracker::fleetToOwnRatio(
    std::span<const config::endpoint *const> Members) const {
  int ReportedRequests = 0;
  int OwnRequests = 0;
  for (const config::endpoint *Endpoint : Members) {
    auto Found = States.find(Endpoint->Name);
    if (Found == States.end())
      continue;
    ReportedRequests +=
        Found->second.Report.Running + Found->second.Report.Waiting;
    OwnRequests += Found->second.InFlight;
  }
  return std::max(1.0, static_cast<double>(ReportedRequests) /
                           static_cast<double>(std::max(1, OwnRequests)));
}

double endpoint_tracker::estimateRequests(const state &State, double FleetRatio,
                                          time_ms Now) const {
  const double EstimateFromOwn = State.InFlight * FleetRatio;
  if (State.ReceivedAt < 0)
    return EstimateFromOwn;
  const int ReportedRequests = State.Report.Running + State.Report.Waiting;
  const int ChangeSinceReport = State.SentSinceReport - State.EndedSinceReport;
  const double EstimateFromReport =
      std::max(ReportedRequests + ChangeSinceReport, State.InFlight);
  const double AgeMs =
      static_cast<double>(Now - State.ReceivedAt + State.Report.AgeMs);
  const double ReportWeight = std::exp(-AgeMs / ReportDecayMs);
  return ReportWeight * EstimateFromReport +
         (1 - ReportWeight) * EstimateFromOwn;
}

std::vector<candidate>
endpoint_tracker::candidates(std::span<const config::endpoint *const> Members,
                             time_ms Now) const {
  std::vector<candidate> Result;
  const double FleetRatio = fleetToOwnRatio(Members);
  for (const config::endpoint *Endpoint : Members) {
    if (Endpoint->Draining)
      continue;
    candidate Candidate;
    Candidate.Endpoint = Endpoint;
    Candidate.SameZone = Endpoint->Zone == Zone;
    auto Found = States.find(Endpoint->Name);
    if (Found != States.end()) {
      const state &State = Found->second;
      if (isLeaving(State, Now))
        continue;
      const int ReportedRequests = State.Report.Running + State.Report.Waiting;
      Candidate.EstimatedLoad = estimateRequests(State, FleetRatio, Now) /
                                static_cast<double>(Endpoint->Slots);
      Candidate.ReportedLoad = static_cast<double>(ReportedRequests) /
                               static_cast<double>(Endpoint->Slots);
      Candidate.HealthWeight = HealthWeights[State.HealthLevel];
    }
    Result.push_back(Candidate);
  }
  return Result;
}

namespace {

// Drops candidates that Keep refuses.
template <typename condition>
std::vector<candidate> filtered(std::vector<candidate> Candidates,
                                condition Keep) {
  std::erase_if(Candidates, [&Keep](const candidate &Candidate) {
    return !Keep(Candidate);
  });
  return Candidates;
}

} // namespace

std::vector<candidate> endpoint_tracker::eligibleCandidates(
    std::span<const config::endpoint *const> ZoneMembers,
    std::span<const config::endpoint *const> PoolMembers,
    const std::set<std::string> &TriedEndpoints, time_ms Now) const {
  const auto IsUntried = [&TriedEndpoints](const candidate &Candidate) {
    return !TriedEndpoints.contains(Candidate.Endpoint->Name);
  };
  std::vector<candidate> Eligible = filtered(
      candidates(ZoneMembers, Now), [&IsUntried](const candidate &Candidate) {
        return IsUntried(Candidate) &&
               Candidate.EstimatedLoad < OwnZoneMaxLoad &&
               Candidate.HealthWeight >= MinHealthyWeight;
      });
  if (!Eligible.empty())
    return Eligible;
  std::vector<candidate> Usable = candidates(PoolMembers, Now);
  const std::vector<candidate> Untried = filtered(Usable, IsUntried);
  if (!Untried.empty())
    Usable = Untried;
  Eligible = filtered(Usable, [](const candidate &Candidate) {
    return Candidate.EstimatedLoad < FreeSlotMaxLoad;
  });
  if (!Eligible.empty())
    return Eligible;
  Eligible = filtered(Usable, [](const candidate &Candidate) {
    return Candidate.EstimatedLoad < ShortQueueMaxLoad;
  });
  if (Eligible.empty() && isBelowOwnShare(ZoneMembers))
    return Usable;
  return Eligible;
}

bool endpoint_tracker::isBelowOwnShare(
    std::span<const config::endpoint *const> ZoneMembers) const {
  int Slots = 0;
  int OwnRequests = 0;
  for (const config::endpoint *Endpoint : ZoneMembers) {
    Slots += Endpoint->Slots;
    auto Found = States.find(Endpoint->Name);
    if (Found != States.end())
      OwnRequests += Found->second.InFlight;
  }
  return OwnRequests < Slots / ZoneDaemonCount;
}

std::vector<endpoint_report>
endpoint_tracker::newestReports(std::size_t Count, time_ms Now) const {
  std::vector<endpoint_report> Result;
  for (const auto &[Name, State] : States) {
    const time_ms AgeMs = Now - State.ReceivedAt + State.Report.AgeMs;
    if (State.ReceivedAt < 0 || AgeMs > MaxForwardedReportAgeMs)
      continue;
    endpoint_report Item{Name, State.Report};
    Item.Report.AgeMs = static_cast<int>(AgeMs);
    Result.push_back(std::move(Item));
  }
  const std::size_t ResultCount = std::min(Count, Result.size());
  const auto IsNewer = [](const endpoint_report &A, const endpoint_report &B) {
    return A.Report.AgeMs < B.Report.AgeMs;
  };
  std::partial_sort(Result.begin(),
                    Result.begin() + static_cast<std::ptrdiff_t>(ResultCount),
                    Result.end(), IsNewer);
  Result.resize(ResultCount);
  return Result;
}

std::vector<std::string> endpoint_tracker::leavingEndpoints(time_ms Now) const {
  std::vector<std::string> Result;
  for (const auto &[Name, State] : States)
    if (State.LeavingSeenAt >= 0 && Now - State.LeavingSeenAt < LeavingExpiryMs)
      Result.push_back(Name);
  return Result;
}

void endpoint_tracker::removeUnconfigured(
    const config::configuration &Configuration) {
  std::erase_if(States, [&Configuration](const auto &Item) {
    return Item.second.InFlight == 0 &&
           !Configuration.Endpoints.contains(Item.first);
  });
}

int endpoint_tracker::healthLevelOf(std::string_view Endpoint) const {
  auto Found = States.find(Endpoint);
  return Found == States.end() ? HealthLevelCount - 1
                               : Found->second.HealthLevel;
}

} // namespace tamarack::routing
