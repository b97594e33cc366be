// Log lines and metrics about endpoints that get no requests, and why.
#pragma once

#include "tamarack/adapters.hpp"
#include "tamarack/dispatch.hpp"
#include "tamarack/report.hpp"

namespace tamarack::daemon {

class availability_log final : public dispatch::availability_listener {
public:
  availability_log(adapters::event_log &Log, report::metrics_registry &Metrics)
      : Log(Log), Metrics(Metrics) {}

  void onWithheld(std::string_view Endpoint, dispatch::withheld_reason Reason,
                  int DurationMs) override;
  // The call was refused because no endpoint could get it.
  void writeUnplaced(const relay::call &Call,
                     const dispatch::placement_survey &Survey, time_ms Now);

private:
  adapters::event_log &Log;
  report::metrics_registry &Metrics;
};

} // namespace tamarack::daemon
