// Exchange of the reports on limits between the instances, through the store.
#pragma once

#include "tamarack/follow.hpp"
#include "tamarack/limits.hpp"

#include <string>

namespace tamarack::daemon {

// Writes this instance's report on limits and reads those of all instances.
class limit_report_exchange {
public:
  limit_report_exchange(std::string_view Instance, keyed_store &Store,
                        limits::endpoint_limiter &Limiter);

  // True for a record that is a report on limits and no grant.
  static bool isReport(const keyed_record &Record);
  // IsSnapshot: the record may be old. Returns false if it is unreadable.
  bool onRecord(const keyed_record &Record, bool IsSnapshot, time_ms Now);
  // See follow::report_writer::allowWrites.
  void allowWrites(std::uint64_t Epoch) { Writer.allowWrites(Epoch); }
  // Writes the report if it is due. Called at least every 100 ms.
  void tick(time_ms Now);

private:
  limits::endpoint_limiter &Limiter;
  std::string Key; // Of the own report.
  follow::report_writer Writer;
};

} // namespace tamarack::daemon
