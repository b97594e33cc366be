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

void lag_log::tick(time_ms Now, const lag_sample &Sample) {
  Metrics.histogramOf("tamarack_ready_wait_ms")
      .observe(static_cast<double>(Sample.ReadyWaitMs));
  LongestWaitMs = std::max(LongestWaitMs, Sample.ReadyWaitMs);
  WasLinkFull = WasLinkFull || Sample.IsLinkFull;
  WasLoopLate = WasLoopLate || Sample.IsLoopLate;
  if (SecondBeganAt < 0 || Now - SecondBeganAt >= SecondMs)
    endSecond(Now, Sample);
}

void lag_log::endSecond(time_ms Now, const lag_sample &Sample) {
  const auto Since = [](std::uint64_t Total, std::uint64_t Earlier) {
    return static_cast<std::int64_t>(Total - Earlier);
  };
  const time_ms ProcessorMs = adapters::processorTime();
  const bool IsBehind = WasLinkFull || WasLoopLate ||
                        LongestWaitMs >= LoggedWaitMs ||
                        Sample.EndpointsAgeMs >= LoggedListAgeMs;
  if (SecondBeganAt >= 0 && IsBehind)
    Log.write(
        "instance_behind",
        {{"during_ms", Now - SecondBeganAt},
         {"link_full", std::int64_t(WasLinkFull)},
         {"loop_late", std::int64_t(WasLoopLate)},
         {"ready_wait_ms", LongestWaitMs},
         {"loop_delay_ms", LongestDelayMs},
         {"processor_ms", ProcessorMs - ProcessorMsBefore},
         {"calls", Calls},
         {"from_callers_bytes",
          Since(Sample.Callers.Received, Before.Callers.Received)},
         {"to_callers_bytes", Since(Sample.Callers.Sent, Before.Callers.Sent)},
         {"from_endpoints_bytes",
          Since(Sample.Endpoints.Received, Before.Endpoints.Received)},
         {"to_endpoints_bytes",
          Since(Sample.Endpoints.Sent, Before.Endpoints.Sent)},
         {"endpoints_read_ms_ago", Sample.EndpointsAgeMs},
         {"configuration_read_ms_ago", Sample.ConfigurationAgeMs},
         {"grants_read_ms_ago", Sample.GrantsAgeMs}});
  SecondBeganAt = Now;
  Before = Sample;
  ProcessorMsBefore = ProcessorMs;
  LongestWaitMs = 0;
  LongestDelayMs = 0;
  WasLinkFull = false;
  WasLoopLate = false;
  Calls = 0;
}

} // namespace tamarack::daemon
