// MessagePack encoding of the reports on limits.
#include "tamarack/limits.hpp"
#include "tamarack/wire.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace tamarack::limits {

namespace {

constexpr int FormatVersion = 1;
constexpr std::size_t MaxTextBytes = 256; // Of an id or name.
// Of a report with all lists at their limits.
constexpr std::size_t MaxReportBytes = 131'072;
constexpr double NoLimit = -1; // In place of PerSecond.
// Of requests to one instance, so that the sum over all instances is finite.
constexpr double MaxDemandPerSecond = 1e9;

using limit_tuple =
    std::tuple<std::string, std::int64_t, std::uint64_t, double>;
using demand_tuple = std::tuple<std::string, double>;
using report_tuple =
    std::tuple<int, std::vector<limit_tuple>, std::vector<demand_tuple>>;

bool isRate(double PerSecond) {
  return std::isfinite(PerSecond) && PerSecond >= 0;
}

bool isValidLimit(const limit_tuple &Fields) {
  const auto &[Endpoint, StartedAt, Version, PerSecond] = Fields;
  return Endpoint.size() <= MaxTextBytes &&
         (isRate(PerSecond) || PerSecond == NoLimit);
}

bool isValidDemand(const demand_tuple &Fields) {
  const auto &[Service, PerSecond] = Fields;
  return Service.size() <= MaxTextBytes && isRate(PerSecond) &&
         PerSecond <= MaxDemandPerSecond;
}

stated_limit toLimit(const limit_tuple &Fields) {
  const auto &[Endpoint, StartedAt, Version, PerSecond] = Fields;
  stated_limit Limit{Endpoint, StartedAt, Version, std::nullopt};
  if (isRate(PerSecond))
    Limit.PerSecond = PerSecond;
  return Limit;
}

} // namespace

std::string encode(const limit_report &Report) {
  std::vector<limit_tuple> Limits;
  for (const stated_limit &Limit : Report.Limits)
    Limits.emplace_back(Limit.Endpoint, Limit.StartedAt, Limit.Version,
                        Limit.PerSecond.value_or(NoLimit));
  std::vector<demand_tuple> Demands;
  for (const service_demand &Demand : Report.Demands)
    Demands.emplace_back(Demand.Service, Demand.PerSecond);
  return wire::pack(
      report_tuple(FormatVersion, std::move(Limits), std::move(Demands)));
}

std::optional<limit_report> decodeReport(std::string_view Bytes) {
  if (Bytes.size() > MaxReportBytes)
    return std::nullopt;
  const std::optional<report_tuple> Fields =
      wire::unpack<report_tuple>(Bytes, FormatVersion);
  if (!Fields)
    return std::nullopt;
  const auto &[Version, Limits, Demands] = *Fields;
  if (Limits.size() > MaxReportedLimits ||
      Demands.size() > MaxReportedDemands ||
      !std::ranges::all_of(Limits, isValidLimit) ||
      !std::ranges::all_of(Demands, isValidDemand))
    return std::nullopt;
  limit_report Report;
  std::ranges::transform(Limits, std::back_inserter(Report.Limits), toLimit);
  for (const auto &[Service, PerSecond] : Demands)
    Report.Demands.push_back({Service, PerSecond});
  return Report;
}

} // namespace tamarack::limits
