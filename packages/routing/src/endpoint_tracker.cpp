// Tracks load and health of endpoints.
#include "tamarack/routing.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack::routing {

namespace {

// By health level, lowest first.
constexpr double HealthWeights[HealthLevelCount] = {1.0 / 64, 1.0 / 16, 0.25,
                                                    0.5, 1.0};
constexpr int LevelsLostPerFailure = 2;
constexpr int LevelsLostWhenSlow = 1;
constexpr int SuccessesPerLevel = 5; // To regain one level.
// Minimum time from a change of the level to the next one. A failure lowers the
// level at once.
constexpr time_ms MinLevelChangeIntervalMs = 1000;

// An endpoint is slow if its smoothed first-token time is above this multiple
// of the median of all endpoints and above the minimum.
constexpr double SlowFirstTokenFactor = 4;
constexpr double MinSlowFirstTokenMs = 50;
constexpr double FirstTokenSmoothing = 0.2; // Weight of a new value.

// The weight of a report in the load estimate falls to 1/e at this age.
constexpr double ReportDecayMs = 2000;
// Older reports are not sent to peers.
constexpr time_ms MaxForwardedReportAgeMs = 10'000;

// Limits of the estimated load, in requests per slot.
constexpr double OwnZoneMaxLoad = 0.4;     // Below: own zone serves alone.
constexpr double FreeSlotMaxLoad = 1.0;    // Below: has a free slot.
constexpr double ShortQueueMaxLoad = 1.25; // Below: has a short queue.
// Lowest weight at which the own zone serves a request alone.
constexpr double MinHealthyWeight = 0.25;

// An endpoint counts as leaving for this long after the last report.
constexpr time_ms LeavingExpiryMs = 30'000;            // Reported by itself.
constexpr time_ms PeerReportedLeavingExpiryMs = 5'000; // Reported by a peer.

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

// Requests that all daemons have in flight at Members, by the reports of the
// endpoints, for each request that this daemon has in flight. At least 1.
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

// Estimates the requests in an endpoint, see endpoint_tracker.
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

// Returns the candidates for which Keep is true.
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
