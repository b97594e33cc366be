// Which endpoints may get a request of this instance now.
#include "tamarack/limits.hpp"

#include <algorithm>
#include <xxhash.h>

namespace tamarack::limits {

namespace {

// A demand is reported anew when it has changed by this factor, so that shares
// stay with their instances.
constexpr double DemandChangeFactor = 1.5;
// Advice to callers while the limits of all endpoints are used up.
constexpr int MinRetryAfterMs = 300;
constexpr int MaxRetryAfterMs = 10'000;

} // namespace

endpoint_limiter::endpoint_limiter(std::string Instance,
                                   limiter_listener &Listener)
    : Instance(std::move(Instance)), Listener(Listener), Demand(this->Instance),
      Cold(this->Instance, Listener) {}

void endpoint_limiter::setEndpoints(
    std::span<const dispatch::endpoint_entry> Entries, time_ms Now) {
  Register.setEndpoints(Entries);
  Cold.setEndpoints(Entries, Now);
  for (auto &[Reporter, Unlisted] : UnlistedLimits)
    applyLimits(Reporter, Unlisted, Now);
  updateShares(Now);
}

void endpoint_limiter::setInstances(std::span<const std::string> Names,
                                    time_ms Now) {
  Demand.setInstances(Names);
  Cold.setInstances(Names, Now);
}

void endpoint_limiter::onReport(std::string_view Reporter,
                                const limit_report &Report, bool IsCurrent,
                                time_ms Now) {
  reported_limits &Reported = UnlistedLimits[std::string(Reporter)];
  Reported = {Report.Limits, IsCurrent};
  Demand.onReport(Reporter, Report.Demands);
  if (!IsCurrent)
    OldReportReadAt = Demand.readableMs();
  applyLimits(Reporter, Reported, Now);
  // A report of the previous incarnation is to be replaced.
  if (Reporter == Instance && !IsCurrent)
    LastReport = Report;
}

// Keeps the limits whose endpoint is not listed yet. The others are applied
// once: a report of an instance that is gone must not bring back a limit that
// ended.
void endpoint_limiter::applyLimits(std::string_view Reporter,
                                   reported_limits &Reported, time_ms Now) {
  for (const stated_limit &Limit : Reported.Limits)
    if (Register.onReport(Limit, Reported.IsCurrent, Now))
      onLimitChanged(Limit.Endpoint, Reporter);
  std::erase_if(Reported.Limits, [this](const stated_limit &Limit) {
    const known_limit *Known = Register.find(Limit.Endpoint);
    return Known != nullptr && Known->StartedAt >= Limit.StartedAt;
  });
}

void endpoint_limiter::onReportRemoved(std::string_view Reporter) {
  Demand.onReportRemoved(Reporter);
  const auto Found = UnlistedLimits.find(Reporter);
  if (Found != UnlistedLimits.end())
    UnlistedLimits.erase(Found);
}

void endpoint_limiter::onCaughtUp(time_ms Now) {
  if (InstancesKnownAt < 0)
    InstancesKnownAt = Now;
  if (ReadableSince >= 0)
    Demand.onReadable(std::min(Now - ReadableSince, MaxReadIntervalMs));
  ReadableSince = Now;
  Register.dropEnded(Now);
  // By now, every instance that is there has reported again.
  if (Demand.readableMs() - OldReportReadAt >= Demand.silentMs())
    Register.dropUnconfirmed();
  updateShares(Now);
}

std::optional<limit_report> endpoint_limiter::takeReport(time_ms Now) {
  const bool IsDue = hasLimits() && Now >= NextReportAt;
  limit_report Report{Register.seenHere(), {}};
  if (hasLimits())
    Report.Demands =
        IsDue || HasNews ? currentDemands(Now) : LastReport.Demands;
  const bool HasEnded = !hasLimits() && Report != LastReport;
  if (!IsDue && !HasNews && !HasEnded)
    return std::nullopt;
  HasNews = false;
  NextReportAt = Now + Demand.reportIntervalMs();
  LastReport = Report;
  return Report;
}

std::vector<service_demand> endpoint_limiter::currentDemands(time_ms Now) {
  std::vector<service_demand> Result;
  for (const auto &[Service, Limited] : LimitedByService) {
    if (Result.size() == MaxReportedDemands)
      break;
    const double Current = Meters[Service].perSecond(Now);
    double &Reported = ReportedDemand[Service];
    if (Current > Reported * DemandChangeFactor ||
        Current * DemandChangeFactor < Reported)
      Reported = Current;
    Result.push_back({Service, Reported});
  }
  return Result;
}

void endpoint_limiter::onRequest(std::string_view Service, time_ms Now) {
  Meters[std::string(Service)].onRequest(Now);
}

void endpoint_limiter::onLimitStatement(const relay::endpoint_choice &Source,
                                        const limit_statement &Statement,
                                        time_ms Now) {
  if (Statement.Form == statement_form::Unreadable)
    return Listener.onLimitUnreadable(Source.Endpoint, Statement.Text);
  const bool IsStated = Statement.Form == statement_form::Stated;
  if (!IsStated && !Statement.IsProofOfEnd)
    return;
  const std::optional<double> PerSecond =
      IsStated ? std::optional<double>(Statement.PerSecond) : std::nullopt;
  if (!Register.onResponse(Source.Endpoint, Source.LimitVersion, PerSecond,
                           Now))
    return;
  HasNews = true;
  onLimitChanged(Source.Endpoint, {});
  updateShares(Now);
}

void endpoint_limiter::onColdStated(const relay::endpoint_choice &Source,
                                    int RemainingMs, time_ms Now) {
  Cold.onColdStated(Source.Endpoint, Source.StartedAt, RemainingMs, Now);
}

void endpoint_limiter::onLimitChanged(std::string_view Endpoint,
                                      std::string_view Reporter) {
  Listener.onLimitChanged(Endpoint, *Register.find(Endpoint), Reporter);
}

bool endpoint_limiter::isSettled(time_ms Now) const {
  return InstancesKnownAt >= 0 && Now - InstancesKnownAt >= ShareRaiseDelayMs;
}

void endpoint_limiter::updateShares(time_ms Now) {
  const bool HadLimits = hasLimits();
  updateLimited();
  if (!HadLimits && hasLimits()) {
    Demand.expectReports();
    // The first reports of the instances don't all come at once.
    NextReportAt = Now + static_cast<time_ms>(
                             XXH64(Instance.data(), Instance.size(), 0) %
                             static_cast<unsigned>(Demand.reportIntervalMs()));
  }
  for (const auto &[Service, Limited] : LimitedByService) {
    const demand_interval Interval =
        InstancesKnownAt < 0 ? demand_interval() : Demand.intervalOf(Service);
    for (std::size_t Rank = 0; Rank < Limited.size(); ++Rank) {
      const double Limit = *Register.find(Limited[Rank])->PerSecond;
      updatePacer(
          Limited[Rank],
          shareOfLimit(Service, Limit, static_cast<int>(Rank), Interval), Now);
    }
  }
}

void endpoint_limiter::updateLimited() {
  LimitedByService.clear();
  for (const auto &[Endpoint, Limit] : Register.endpoints())
    if (Limit.PerSecond && !Limit.IsLeaving)
      LimitedByService[Limit.Service].push_back(Endpoint);
  std::erase_if(Pacers, [this](const auto &Item) {
    const known_limit *Limit = Register.find(Item.first);
    return Limit == nullptr || !Limit->PerSecond;
  });
}

void endpoint_limiter::updatePacer(const std::string &Endpoint, double Share,
                                   time_ms Now) {
  const double FirstShare = isSettled(Now) ? Share : 0;
  const bool IsNew = !Pacers.contains(Endpoint);
  request_pacer &Pacer =
      Pacers.try_emplace(Endpoint, FirstShare, Now).first->second;
  const double Before = IsNew ? -1 : Pacer.newestShare();
  Pacer.setShare(Share, Now);
  if (Share != Before)
    Listener.onShareChanged(Endpoint, Share,
                            *Register.find(Endpoint)->PerSecond,
                            Demand.activeInstances());
}

void endpoint_limiter::onSent(std::string_view Endpoint, time_ms Now) {
  const auto Found = Pacers.find(Endpoint);
  if (Found != Pacers.end())
    Found->second.onSent(Now);
  Cold.onSent(Endpoint, Now);
}

bool endpoint_limiter::mayGetRequest(std::string_view Endpoint, time_ms Now) {
  if (!Cold.mayGetRequest(Endpoint, Now))
    return false;
  if (Pacers.empty())
    return true;
  const auto Found = Pacers.find(Endpoint);
  return Found == Pacers.end() || Found->second.maySend(Now);
}

std::optional<double> endpoint_limiter::limitOf(std::string_view Endpoint,
                                                time_ms Now) const {
  const std::optional<double> Stated = Register.find(Endpoint)->PerSecond;
  const std::optional<double> WhileCold = Cold.limitOf(Endpoint, Now);
  if (!Stated || !WhileCold)
    return Stated ? Stated : WhileCold;
  return std::min(*Stated, *WhileCold);
}

std::optional<time_ms>
endpoint_limiter::nextRequestAt(std::string_view Endpoint, time_ms Now) {
  const time_ms ColdNextAt = Cold.nextRequestAt(Endpoint, Now);
  const auto Found = Pacers.find(Endpoint);
  if (Found == Pacers.end())
    return ColdNextAt;
  const std::optional<time_ms> NextAt = Found->second.nextSendAt(Now);
  if (!NextAt)
    return std::nullopt;
  return std::max(*NextAt, ColdNextAt);
}

std::optional<int> endpoint_limiter::retryAfterMs(std::string_view Service,
                                                  time_ms Now) {
  std::optional<time_ms> NextAt;
  bool HasEndpoint = false;
  double Sum = 0; // Requests a second.
  for (const auto &[Endpoint, Known] : Register.endpoints()) {
    if (Known.Service != Service || Known.IsLeaving)
      continue;
    const std::optional<double> Limit = limitOf(Endpoint, Now);
    if (!Limit || mayGetRequest(Endpoint, Now))
      return std::nullopt;
    const std::optional<time_ms> EndpointNextAt = nextRequestAt(Endpoint, Now);
    if (EndpointNextAt)
      NextAt = std::min(NextAt.value_or(*EndpointNextAt), *EndpointNextAt);
    Sum += *Limit;
    HasEndpoint = true;
  }
  if (!HasEndpoint)
    return std::nullopt;
  // Without a share here, the mean time between two requests of one instance.
  const double WaitMs =
      NextAt ? static_cast<double>(*NextAt - Now)
             : 1'000.0 * Demand.activeInstances() / std::max(Sum, 1e-3);
  return static_cast<int>(
      std::clamp<double>(WaitMs, MinRetryAfterMs, MaxRetryAfterMs));
}

const request_pacer *
endpoint_limiter::findPacer(std::string_view Endpoint) const {
  const auto Found = Pacers.find(Endpoint);
  return Found == Pacers.end() ? nullptr : &Found->second;
}

} // namespace tamarack::limits
