// Reads whole streams of the platform's log for the operator's commands.
#pragma once

#include "tamarack/adapters.hpp"
#include "tamarack/config.hpp"
#include "tamarack/money.hpp"

namespace tamarack::control {

// Folds a ledger stream up to its present end. Throws log_unavailable.
class ledger_reader {
public:
  explicit ledger_reader(std::uint32_t Stream);
  void readAll(append_log &Log);
  const money::ledger_fold &fold() const { return Fold; }

private:
  std::string Name;
  money::null_listener Listener; // Before the fold, which refers to it.
  money::ledger_fold Fold;
};

// Folds the config stream up to its present end. Throws log_unavailable.
void readConfig(append_log &Log, config::config_fold &Fold);

} // namespace tamarack::control
