// Reports on limits as records of the topic of grants.
#include "limit_report_exchange.hpp"

namespace tamarack::daemon {

namespace {

// No instance has a name that begins with this: names are host names.
constexpr std::string_view ReportKeyPrefix = "limit/";

} // namespace

limit_report_exchange::limit_report_exchange(std::string_view Instance,
                                             keyed_store &Store,
                                             limits::endpoint_limiter &Limiter)
    : Limiter(Limiter), Key(std::string(ReportKeyPrefix).append(Instance)),
      Writer(Store, store_topic::Grants, std::string(Instance) + ".limit") {}

bool limit_report_exchange::isReport(const keyed_record &Record) {
  return Record.Key.starts_with(ReportKeyPrefix);
}

bool limit_report_exchange::onRecord(const keyed_record &Record,
                                     bool IsSnapshot, time_ms Now) {
  const std::string_view Reporter =
      std::string_view(Record.Key).substr(ReportKeyPrefix.size());
  if (Record.Removed) {
    Limiter.onReportRemoved(Reporter);
    return true;
  }
  const std::optional<limits::limit_report> Report =
      limits::decodeReport(Record.Value);
  if (!Report)
    return false;
  Limiter.onReport(Reporter, *Report, !IsSnapshot, Now);
  return true;
}

void limit_report_exchange::tick(time_ms Now) {
  if (const std::optional<limits::limit_report> Report =
          Limiter.takeReport(Now))
    Writer.set(Key, Report->empty() ? std::string() : limits::encode(*Report));
  Writer.tick(Now);
}

} // namespace tamarack::daemon
