// Logs a second in which an instance has fallen behind.
#pragma once

#include "tamarack/adapters.hpp"
#include "tamarack/edge.hpp"
#include "tamarack/report.hpp"

namespace tamarack::daemon {

// State of the instance at one tick.
struct lag_sample {
  time_ms ReadyWaitMs = 0; // Longest wait of a ready socket since the last one.
  edge::traffic_counts Callers;   // Up to now, with callers.
  edge::traffic_counts Endpoints; // The same, with endpoints.
  bool IsLinkFull = false;
  bool IsLoopLate = false;
  // How old what is known of each topic may be; -1 if nothing is.
  time_ms ConfigurationAgeMs = -1;
  time_ms EndpointsAgeMs = -1;
  time_ms GrantsAgeMs = -1;
};

// Writes one line for each second in which the instance had a backlog, or in
// which what is known of the endpoints was old.
class lag_log {
public:
  static constexpr int LoggedWaitMs = 100;      // Of a ready socket.
  static constexpr int LoggedListAgeMs = 1'500; // Of the list of endpoints.

  lag_log(adapters::event_log &Log, report::metrics_registry &Metrics)
      : Log(Log), Metrics(Metrics) {}

  void onCall() { ++Calls; }
  // The event loop did nothing else for DelayMs.
  void onLoopDelay(time_ms DelayMs);
  // Called at least every 100 ms.
  void tick(time_ms Now, const lag_sample &Sample);

private:
  void endSecond(time_ms Now, const lag_sample &Sample);

  adapters::event_log &Log;
  report::metrics_registry &Metrics;
  // Of the current second.
  std::int64_t Calls = 0;
  time_ms LongestWaitMs = 0;  // Of a ready socket.
  time_ms LongestDelayMs = 0; // Of the event loop.
  bool WasLinkFull = false;
  bool WasLoopLate = false;
  time_ms SecondBeganAt = -1; // Monotonic, -1 before the first one.
  lag_sample Before;          // At its beginning.
  time_ms ProcessorMsBefore = 0;
};

} // namespace tamarack::daemon
