// Exchange of crash reports between the instances, through the store.
#pragma once

#include "tamarack/follow.hpp"
#include "tamarack/quarantine.hpp"

#include <string>

namespace tamarack::daemon {

// Writes this instance's crash report and reads those of the others.
class crash_report_exchange {
public:
  crash_report_exchange(std::string_view Instance, keyed_store &Store,
                        quarantine::crash_quarantine &Quarantine);

  // True for a record that is a crash report and no grant.
  static bool isReport(const keyed_record &Record);
  // Returns false if the report is unreadable.
  // IsSnapshot: the record may be old.
  bool onRecord(const keyed_record &Record, bool IsSnapshot, time_ms Now);
  // See follow::report_writer::allowWrites.
  void allowWrites(std::uint64_t Epoch) { Writer.allowWrites(Epoch); }
  // The store may lack the report.
  void repeat() { LastReportAt -= quarantine::ReportRepeatMs; }
  // Writes the report if it has changed, and again from time to time. Called at
  // least every 100 ms.
  void tick(time_ms Now);

private:
  quarantine::crash_quarantine &Quarantine;
  std::string Key; // Of the own report.
  follow::report_writer Writer;
  std::string LastReport; // Encoded, as written last; empty if there is none.
  time_ms LastReportAt = 0;
  time_ms PreviousReportAt = -1; // When the report of the previous incarnation
                                 // was read, -1 if there is none.
};

} // namespace tamarack::daemon
