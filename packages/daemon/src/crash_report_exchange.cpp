// Crash reports as records of the topic of grants.
#include "crash_report_exchange.hpp"

namespace tamarack::daemon {

namespace {

// No instance has a name that begins with this: names are host names.
constexpr std::string_view ReportKeyPrefix = "crash/";

} // namespace

crash_report_exchange::crash_report_exchange(
    std::string_view Instance, keyed_store &Store,
    quarantine::crash_quarantine &Quarantine)
    : Quarantine(Quarantine),
      Key(std::string(ReportKeyPrefix).append(Instance)),
      Writer(Store, store_topic::Grants, std::string(Instance) + ".crash") {}

bool crash_report_exchange::isReport(const keyed_record &Record) {
  return Record.Key.starts_with(ReportKeyPrefix);
}

bool crash_report_exchange::onRecord(const keyed_record &Record,
                                     bool IsSnapshot, time_ms Now) {
  const std::string_view Reporter =
      std::string_view(Record.Key).substr(ReportKeyPrefix.size());
  if (Record.Removed) {
    Quarantine.onReportRemoved(Reporter);
    return true;
  }
  const std::optional<quarantine::crash_report> Report =
      quarantine::decodeReport(Record.Value);
  if (!Report)
    return false;
  if (Record.Key != Key) {
    Quarantine.onReport(Reporter, *Report, Now, !IsSnapshot);
    return true;
  }
  if (Writer.hasWritten())
    return true;
  PreviousReportAt = Now;
  Quarantine.onReport(Record.Key, *Report, Now);
  return true;
}

void crash_report_exchange::tick(time_ms Now) {
  if (const std::optional<quarantine::crash_report> Report =
          Quarantine.takeReport(Now)) {
    const bool IsEmpty = Report->Crashes.empty() && Report->SoundCauses.empty();
    LastReport = IsEmpty ? std::string() : quarantine::encode(*Report);
    LastReportAt = Now;
    Writer.set(Key, LastReport);
    PreviousReportAt = -1;
  }
  if (!LastReport.empty() && Now - LastReportAt >= quarantine::ReportRepeatMs) {
    LastReportAt = Now;
    Writer.set(Key, LastReport);
  }
  // The previous incarnation can't remove what it has reported.
  if (PreviousReportAt >= 0 &&
      Now - PreviousReportAt >= quarantine::CrashMemoryMs) {
    Writer.set(Key, std::string());
    PreviousReportAt = -1;
  }
  Writer.tick(Now);
}

} // namespace tamarack::daemon
