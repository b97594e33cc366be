// Log lines and metrics about crashed endpoints and quarantined prompt parts.
#pragma once

#include "tamarack/adapters.hpp"
#include "tamarack/quarantine.hpp"
#include "tamarack/report.hpp"

#include <map>

namespace tamarack::daemon {

class quarantine_log final : public quarantine::crash_guard_listener {
public:
  quarantine_log(adapters::event_log &Log, report::metrics_registry &Metrics)
      : Log(Log), Metrics(Metrics) {}

  void onEndpointDied(const quarantine::endpoint_start &Endpoint,
                      int BrokenCalls, std::size_t CandidateParts) override;
  void onPartRefused(const relay::call &Call,
                     const quarantine::part_refusal &Refusal) override;
  // Logs what has changed since the last call.
  void recordQuarantine(const quarantine::part_quarantine &Quarantine,
                        time_ms Now);

private:
  adapters::event_log &Log;
  report::metrics_registry &Metrics;
  std::map<std::uint64_t, int> KnownCrashes; // By part in quarantine.
};

} // namespace tamarack::daemon
