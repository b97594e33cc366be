// Crash reports as records of the topic of grants.
#include "crash_report_exchange.hpp"

namespace tamarack::daemon {

namespace {

// No instance has a name that begins with this: names are host names.
constexpr std::string_view ReportKeyPrefix = "crash/";
// Between two writes: the appends of a topic wait for each other, and grants
// share this one.
constexpr int WriteIntervalMs = 300;
constexpr int RetryIntervalMs = 1'000; // After a failure.

} // namespace

crash_report_exchange::crash_report_exchange(
    std::string_view Instance, keyed_store &Store,
    quarantine::part_quarantine &Quarantine)
    : Instance(Instance), Key(std::string(ReportKeyPrefix) += Instance),
      Store(Store), Quarantine(Quarantine) {
  Writer.Name = std::string(Instance) + ".crash";
}

bool crash_report_exchange::isReport(const keyed_record &Record) {
  return Record.Key.starts_with(ReportKeyPrefix);
}

bool crash_report_exchange::onRecord(const keyed_record &Record, time_ms Now) {
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
  if (Reporter != Instance) {
    Quarantine.onReport(Reporter, *Report, Now);
    return true;
  }
  if (HasWritten)
    return true;
  PreviousReportAt = Now;
  Quarantine.onReport(Record.Key, *Report, Now);
  return true;
}

void crash_report_exchange::allowWrites(std::uint64_t Epoch) {
  Writer.Epoch = Epoch;
  MayWrite = true;
}

void crash_report_exchange::tick(time_ms Now) {
  if (const std::optional<quarantine::crash_report> Report =
          Quarantine.takeReport(Now)) {
    const bool IsEmpty = Report->Crashes.empty() && Report->SoundParts.empty();
    Unwritten = IsEmpty ? std::string() : quarantine::encode(*Report);
    PreviousReportAt = -1;
  }
  // The previous incarnation can't remove what it has reported.
  if (PreviousReportAt >= 0 &&
      Now - PreviousReportAt >= quarantine::CrashMemoryMs) {
    Unwritten = std::string();
    PreviousReportAt = -1;
  }
  if (Unwritten && MayWrite && !IsWriting && Now >= NextWriteAt)
    write(Now, std::move(*std::exchange(Unwritten, std::nullopt)));
}

void crash_report_exchange::write(time_ms Now, std::string Value) {
  IsWriting = true;
  HasWritten = true;
  BeingWritten = std::move(Value);
  Store.appendAs(store_topic::Grants, Writer, Key, BeingWritten,
                 [this, Now](store_status Status) { onWritten(Status, Now); });
}

// A report that may not be stored is written again, unless a newer one waits.
void crash_report_exchange::onWritten(store_status Status, time_ms StartedAt) {
  IsWriting = false;
  NextWriteAt = StartedAt + (Status == store_status::Ok ? WriteIntervalMs
                                                        : RetryIntervalMs);
  if (Status == store_status::Ok) {
    ++Writer.Sequence;
    return;
  }
  if (Status != store_status::Refused) {
    // Fenced, or the outcome is unknown. A late arrival of the write is
    // rejected once the store has seen the next epoch.
    ++Writer.Epoch;
    Writer.Sequence = 0;
  }
  if (!Unwritten)
    Unwritten = std::move(BeingWritten);
}

} // namespace tamarack::daemon
