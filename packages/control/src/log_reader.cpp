// Reads complete streams of the platform's log.
#include "log_reader.hpp"

namespace tamarack::control {

ledger_reader::ledger_reader(std::uint32_t Stream)
    : StreamName(ledger::streamName(Stream)), Fold(Listener) {}

void ledger_reader::readAll(append_log &Log) {
  for (;;) {
    const log_page Page = Log.read(StreamName, Fold.nextOffset(), 0);
    if (Page.Trimmed) {
      const std::optional<ledger::checkpoint_entry> Checkpoint =
          ledger::findCheckpoint(Log, StreamName, Page.OldestOffset);
      if (!Checkpoint || !Fold.restore(*Checkpoint))
        throw log_unavailable(StreamName +
                              " is trimmed and has no readable checkpoint");
      continue;
    }
    for (const log_record &Record : Page.Records)
      Fold.apply(Record);
    if (Fold.nextOffset() >= Page.NextOffset)
      return;
  }
}

void readConfig(append_log &Log, config::config_fold &Fold) {
  for (;;) {
    log_page Page = Log.read(config::ConfigStream, Fold.nextOffset(), 0);
    if (Page.Trimmed) {
      bool IsRestored = false;
      std::uint64_t NextOffset = Page.OldestOffset;
      while (!IsRestored) {
        Page = Log.read(config::ConfigStream, NextOffset, 0);
        for (const log_record &Record : Page.Records) {
          NextOffset = Record.Offset + 1;
          IsRestored =
              IsRestored || Fold.restore(Record.Body, Page.OldestOffset);
        }
        if (Page.Records.empty())
          throw log_unavailable(
              "the config stream is trimmed and has no readable "
              "checkpoint");
      }
      continue;
    }
    for (const log_record &Record : Page.Records)
      Fold.apply(Record.Offset, Record.Body);
    if (Fold.nextOffset() >= Page.NextOffset)
      return;
  }
}

} // namespace tamarack::control
