// Logs a second in which an instance has fallen behind.
#pragma once

#include "tamarack/adapters.hpp"
#include "tamarack/edge.hpp"
#include "tamarack/report.hpp"

#include <string_view>

namespace tamarack::daemon {

// How old what the instance knows of each topic may be, ms; -1 if it knows
// nothing.
struct belief_ages {
  time_ms Configuration = -1;
  time_ms Endpoints = -1;
  time_ms Grants = -1;
};

// Writes one line for each second in which sockets had to wait for the event
// loop, or in which what is known of the endpoints was old.
class lag_log {
public:
  // Sockets that wait longer are logged.
  static constexpr int LoggedWaitMs = 100;
  // Older lists of endpoints are logged.
  static constexpr int LoggedListAgeMs = 1'500;

  lag_log(edge::net::io_context &Context, const clock &Clock,
          adapters::event_log &Log, report::metrics_registry &Metrics)
      : Log(Log), Metrics(Metrics), Probe(Context, Clock) {}

  void onCall() { ++Calls; }
  // The event loop did nothing else for DelayMs.
  void onLoopDelay(time_ms DelayMs);
  // Called at least every 100 ms. Callers, Endpoints: bytes up to now, of
  // connections with callers and with endpoints.
  void tick(time_ms Now, const belief_ages &Ages,
            const edge::traffic_counts &Callers,
            const edge::traffic_counts &Endpoints);

private:
  // Up to the beginning of a second.
  struct totals {
    time_ms ProcessorMs = 0;
    edge::traffic_counts Callers;
    edge::traffic_counts Endpoints;
  };

  void endSecond(time_ms Now, const belief_ages &Ages, const totals &Totals);

  adapters::event_log &Log;
  report::metrics_registry &Metrics;
  edge::readiness_probe Probe;
  std::int64_t Calls = 0;     // Accepted in the current second.
  time_ms LongestWaitMs = 0;  // Of a ready socket, the same.
  time_ms LongestDelayMs = 0; // Of the event loop, the same.
  time_ms SecondBeganAt = -1; // Monotonic, -1 before the first one.
  totals Before;              // At that time.
};

} // namespace tamarack::daemon
