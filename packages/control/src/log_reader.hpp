// Reads complete streams of the platform's log.
#pragma once

#include "tamarack/adapters.hpp"
#include "tamarack/config.hpp"
#include "tamarack/ledger.hpp"

namespace tamarack::control {

// State of one ledger stream.
class ledger_reader {
public:
  explicit ledger_reader(std::uint32_t Stream);
  // Folds all records up to the present end of the stream. Throws
  // log_unavailable.
  void readAll(append_log &Log);
  const ledger::ledger_fold &fold() const { return Fold; }

private:
  std::string StreamName;
  ledger::null_listener Listener; // Before Fold, which refers to Listener.
  ledger::ledger_fold Fold;
};

// Folds all records up to the present end of the config stream. Throws
// log_unavailable.
void readConfig(append_log &Log, config::config_fold &Fold);

} // namespace tamarack::control
