// Logs a second in which an instance has fallen behind.
#include "lag_log.hpp"

#include <algorithm>

namespace tamarack::daemon {

namespace {

constexpr int SecondMs = 1'000;

} // namespace

void lag_log::onLoopDelay(time_ms DelayMs) {
  LongestDelayMs = std::max(LongestDelayMs, DelayMs);
}

void lag_log::tick(time_ms Now, const belief_ages &Ages,
                   const edge::traffic_counts &Callers,
                   const edge::traffic_counts &Endpoints) {
  const time_ms WaitMs = Probe.takeLongestWait();
  Metrics.histogramOf("tamarack_ready_wait_ms")
      .observe(static_cast<double>(WaitMs));
  LongestWaitMs = std::max(LongestWaitMs, WaitMs);
  Probe.tick();
  if (SecondBeganAt < 0 || Now - SecondBeganAt >= SecondMs)
    endSecond(Now, Ages, {adapters::processorTime(), Callers, Endpoints});
}

void lag_log::endSecond(time_ms Now, const belief_ages &Ages,
                        const totals &Totals) {
  const auto Since = [](std::uint64_t Total, std::uint64_t Earlier) {
    return static_cast<std::int64_t>(Total - Earlier);
  };
  const bool IsBehind =
      LongestWaitMs >= LoggedWaitMs || Ages.Endpoints >= LoggedListAgeMs;
  if (SecondBeganAt >= 0 && IsBehind)
    Log.write(
        "instance_behind",
        {{"during_ms", Now - SecondBeganAt},
         {"ready_wait_ms", LongestWaitMs},
         {"loop_delay_ms", LongestDelayMs},
         {"processor_ms", Totals.ProcessorMs - Before.ProcessorMs},
         {"calls", Calls},
         {"from_callers_bytes",
          Since(Totals.Callers.Received, Before.Callers.Received)},
         {"to_callers_bytes", Since(Totals.Callers.Sent, Before.Callers.Sent)},
         {"from_endpoints_bytes",
          Since(Totals.Endpoints.Received, Before.Endpoints.Received)},
         {"to_endpoints_bytes",
          Since(Totals.Endpoints.Sent, Before.Endpoints.Sent)},
         {"endpoints_read_ms_ago", Ages.Endpoints},
         {"configuration_read_ms_ago", Ages.Configuration},
         {"grants_read_ms_ago", Ages.Grants}});
  SecondBeganAt = Now;
  Before = Totals;
  LongestWaitMs = 0;
  LongestDelayMs = 0;
  Calls = 0;
}

} // namespace tamarack::daemon
