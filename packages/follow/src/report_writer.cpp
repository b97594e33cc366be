// Writes reports of this instance to a topic.
#include "tamarack/follow.hpp"

#include <utility>

namespace tamarack::follow {

namespace {

constexpr int RetryIntervalMs = 1'000; // After a failure.

} // namespace

report_writer::report_writer(keyed_store &Store, store_topic Topic,
                             std::string WriterName, int WriteIntervalMs)
    : Store(Store), Topic(Topic), WriteIntervalMs(WriteIntervalMs) {
  Writer.Name = std::move(WriterName);
}

void report_writer::allowWrites(std::uint64_t Epoch) {
  Writer.Epoch = Epoch;
  MayWrite = true;
}

void report_writer::tick(time_ms Now) {
  if (Unwritten.empty() || !MayWrite || IsWriting || Now < NextWriteAt)
    return;
  IsWriting = true;
  HasWritten = true;
  BeingWritten = Unwritten.extract(Unwritten.begin());
  Store.appendAs(Topic, Writer, BeingWritten.key(), BeingWritten.mapped(),
                 [this, Now](store_status Status) { onWritten(Status, Now); });
}

// A value that may not be stored is written again.
void report_writer::onWritten(store_status Status, time_ms StartedAt) {
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
  Unwritten.insert(std::move(BeingWritten)); // Unless a newer value waits.
}

} // namespace tamarack::follow
