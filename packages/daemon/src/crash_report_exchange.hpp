// Exchange of crash reports between the instances, through the store.
#pragma once

#include "tamarack/ports.hpp"
#include "tamarack/quarantine.hpp"

#include <string>
#include <string_view>

namespace tamarack::daemon {

// Writes this instance's crash report and reads those of the others. The
// reports are records of the topic of grants, which every instance reads all
// the time, so they cost no further reads.
class crash_report_exchange {
public:
  crash_report_exchange(std::string_view Instance, keyed_store &Store,
                        quarantine::part_quarantine &Quarantine);

  // True for a record that is a crash report and no grant.
  static bool isReport(const keyed_record &Record);
  // Returns false if the report is unreadable.
  bool onRecord(const keyed_record &Record, time_ms Now);
  // Allows writes. Epoch is above that of the previous incarnation's writes.
  void allowWrites(std::uint64_t Epoch);
  // Writes the report if it has changed. Called at least every 100 ms.
  void tick(time_ms Now);

private:
  void write(time_ms Now, std::string Value);
  void onWritten(store_status Status, time_ms StartedAt);

  std::string Instance;
  std::string Key; // Of the own report.
  keyed_store &Store;
  quarantine::part_quarantine &Quarantine;
  store_writer Writer;
  bool MayWrite = false;
  bool IsWriting = false;
  bool HasWritten = false; // Records under Key may be of this incarnation.
  time_ms NextWriteAt = 0; // Monotonic.
  std::optional<std::string> Unwritten; // Encoded; "" removes the record.
  std::string BeingWritten;
  time_ms PreviousReportAt = -1; // When the report of the previous incarnation
                                 // was read, -1 if there is none.
};

} // namespace tamarack::daemon
