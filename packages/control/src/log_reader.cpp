// Reads whole streams of the platform's log for the operator's commands.
#include "log_reader.hpp"

namespace tamarack::control {

ledger_reader::ledger_reader(std::uint32_t Stream)
    : Name(money::streamName(Stream)), Fold(Listener) {}

void ledger_reader::readAll(append_log &Log) {
  for (;;) {
    const log_page Page = Log.read(Name, Fold.nextOffset(), 0);
    if (Page.Trimmed) {
      const std::optional<money::checkpoint_entry> Checkpoint =
          money::findCheckpoint(Log, Name, Page.OldestOffset);
      if (!Checkpoint || !Fold.restore(*Checkpoint))
        throw log_unavailable(Name + " is trimmed and holds no checkpoint");
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
      bool Restored = false;
      std::uint64_t From = Page.OldestOffset;
      while (!Restored) {
        Page = Log.read(config::ConfigStream, From, 0);
        for (const log_record &Record : Page.Records) {
          From = Record.Offset + 1;
          Restored = Restored || Fold.restore(Record.Body);
        }
        if (Page.Records.empty())
          throw log_unavailable("the config stream holds no checkpoint");
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
