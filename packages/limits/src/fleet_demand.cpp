// Division of the limits between the instances.
#include "tamarack/limits.hpp"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace tamarack::limits {

namespace {

constexpr double DemandSmoothingMs = 10'000;
// From the first request on, for a first estimate.
constexpr time_ms MinMeasuredMs = 2'000;
// Requests a second that an instance counts as having at least, so that it can
// begin to serve.
constexpr double MinDemandPerSecond = 0.1;
constexpr int MinReportIntervalMs = 2'000;
constexpr int MaxReportIntervalMs = 8'000;
constexpr int ReportIntervalMsPerInstance = 25;
constexpr int SilentReports = 3; // Reports that may be missed.
constexpr time_ms SilentMarginMs = 2'000;
// A lower limit would not be asked for its end.
constexpr double MinLimitPerSecond = 0.1;
constexpr int OffsetSteps = 1'024; // Between two whole numbers.
// Its multiples are spread evenly between whole numbers.
constexpr double GoldenRatio = 0.618033988749895;

double decay(time_ms ElapsedMs) {
  return std::exp(-static_cast<double>(ElapsedMs) / DemandSmoothingMs);
}

} // namespace

void demand_meter::onRequest(time_ms Now) {
  if (FirstAt < 0)
    FirstAt = Now;
  Weight = Weight * decay(Now - UpdatedAt) + 1;
  UpdatedAt = Now;
}

double demand_meter::perSecond(time_ms Now) const {
  if (FirstAt < 0)
    return 0;
  const double KnownPart = 1 - decay(std::max(MinMeasuredMs, Now - FirstAt));
  const double PerMs = Weight * decay(Now - UpdatedAt) / DemandSmoothingMs;
  return 1'000 * PerMs / KnownPart;
}

fleet_demand::fleet_demand(std::string Own) : Instance(std::move(Own)) {
  Members[Instance].IsListed = true;
}

void fleet_demand::setInstances(std::span<const std::string> Names) {
  for (auto &[Name, Member] : Members)
    Member.IsListed = Name == Instance;
  for (const std::string &Name : Names) {
    member &Member =
        Members.try_emplace(Name, member{{}, ReadableMs, true}).first->second;
    Member.IsListed = true;
  }
  std::erase_if(Members, [](const auto &Item) {
    return !Item.second.IsListed && !Item.second.Demands;
  });
}

void fleet_demand::onReport(std::string_view Reporter,
                            std::span<const service_demand> Demands) {
  member &Member = Members[std::string(Reporter)];
  Member.Demands.emplace(Demands.begin(), Demands.end());
  Member.SilentSince = ReadableMs;
}

void fleet_demand::onReportRemoved(std::string_view Reporter) {
  const auto Found = Members.find(Reporter);
  if (Found != Members.end())
    Found->second.Demands.reset();
}

void fleet_demand::expectReports() {
  for (auto &[Name, Member] : Members)
    Member.SilentSince = ReadableMs;
}

int fleet_demand::reportIntervalMs() const {
  return std::clamp(ReportIntervalMsPerInstance *
                        static_cast<int>(Members.size()),
                    MinReportIntervalMs, MaxReportIntervalMs);
}

time_ms fleet_demand::silentMs() const {
  return SilentReports * reportIntervalMs() + SilentMarginMs;
}

bool fleet_demand::isActive(const std::string &Name,
                            const member &Member) const {
  return Name == Instance ||
         (Member.IsListed && ReadableMs - Member.SilentSince < silentMs());
}

int fleet_demand::activeInstances() const {
  int Count = 0;
  for (const auto &[Name, Member] : Members)
    Count += isActive(Name, Member) ? 1 : 0;
  return Count;
}

double fleet_demand::meanDemand(std::string_view Service) const {
  double Sum = 0;
  int Count = 0;
  for (const auto &[Name, Member] : Members) {
    if (!isActive(Name, Member) || !Member.Demands)
      continue;
    Sum += weightOf(Member, Service, 0);
    ++Count;
  }
  return Count == 0 ? MinDemandPerSecond : Sum / Count;
}

double fleet_demand::weightOf(const member &Member, std::string_view Service,
                              double Mean) const {
  if (!Member.Demands)
    return Mean;
  const auto Found =
      std::find_if(Member.Demands->begin(), Member.Demands->end(),
                   [Service](const service_demand &Item) {
                     return Item.Service == Service;
                   });
  return MinDemandPerSecond +
         (Found == Member.Demands->end() ? 0 : Found->PerSecond);
}

demand_interval fleet_demand::intervalOf(std::string_view Service) const {
  const double Mean = meanDemand(Service);
  double Sum = 0;
  demand_interval Own;
  for (const auto &[Name, Member] : Members) {
    if (!isActive(Name, Member))
      continue;
    if (Name == Instance)
      Own.Begin = Sum;
    Sum += weightOf(Member, Service, Mean);
    if (Name == Instance)
      Own.End = Sum;
  }
  return {Own.Begin / Sum, Own.End / Sum};
}

double shareOfLimit(std::string_view Service, double LimitPerSecond, int Rank,
                    const demand_interval &Interval) {
  const double Limit = std::max(LimitPerSecond, MinLimitPerSecond);
  // All units are of one request a second but the last.
  const double Units = std::ceil(Limit);
  const double LastUnit = Limit - (Units - 1);
  // The units lie one apart on a line of this length.
  const double ServiceOffset =
      static_cast<double>(XXH64(Service.data(), Service.size(), 0) %
                          OffsetSteps) /
      OffsetSteps;
  const double Offset = std::fmod(ServiceOffset + GoldenRatio * Rank, 1.0);
  const double First = std::ceil(Interval.Begin * Units - Offset);
  const double End = std::ceil(Interval.End * Units - Offset);
  if (First >= End)
    return 0;
  return End - First - (End == Units ? 1 - LastUnit : 0);
}

} // namespace tamarack::limits
