// Log lines and metrics about crashed endpoints and causes in quarantine.
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
                      int BrokenCalls,
                      std::span<const quarantine::cause> Candidates) override;
  void onCallRefused(const relay::call &Call,
                     const quarantine::quarantine_refusal &Refusal) override;
  // Logs what has changed since the last call.
  void recordQuarantine(const quarantine::crash_quarantine &Quarantine,
                        time_ms Now);

private:
  void setCounts();

  adapters::event_log &Log;
  report::metrics_registry &Metrics;
  std::map<quarantine::cause, int> KnownCrashes; // Of those in quarantine.
};

} // namespace tamarack::daemon
