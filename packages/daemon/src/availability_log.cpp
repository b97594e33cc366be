// Log lines and metrics about endpoints that get no requests, and why.
#include "availability_log.hpp"

namespace tamarack::daemon {

using dispatch::withheld_reason;

void availability_log::onWithheld(std::string_view Endpoint,
                                  withheld_reason Reason, int DurationMs) {
  Metrics
      .counterOf("tamarack_endpoints_withheld_total{reason=\"" +
                 std::string(dispatch::toString(Reason)) + "\"}")
      .add();
  Log.write("endpoint_withheld", {{"endpoint", Endpoint},
                                  {"reason", dispatch::toString(Reason)},
                                  {"for_ms", std::int64_t(DurationMs)}});
}

void availability_log::writeUnplaced(const relay::call &Call,
                                     const dispatch::placement_survey &Survey,
                                     time_ms Now) {
  const auto Count = [&Survey](withheld_reason Reason) {
    return std::int64_t(Survey.Withheld[static_cast<std::size_t>(Reason)]);
  };
  Log.write("call_unplaced",
            {{"id", std::string_view(Call.Id)},
             {"service", std::string_view(Call.Service)},
             {"version", std::string_view(Call.RequiredVersion)},
             {"available", std::int64_t(Survey.Available)},
             {"avoided", std::int64_t(Survey.Avoided)},
             {"busy", std::int64_t(Survey.Busy)},
             {"other_versions", std::int64_t(Survey.OtherVersions)},
             {"other_regions", std::int64_t(Survey.OtherRegions)},
             {"leaving", Count(withheld_reason::Leaving)},
             {"misplaced", Count(withheld_reason::Misplaced)},
             {"evacuated", Count(withheld_reason::Evacuated)},
             {"paused", Count(withheld_reason::Paused)},
             {"limited", Count(withheld_reason::Limited)},
             {"unreachable", Count(withheld_reason::Unreachable)},
             {"first_pause_end_ms",
              Survey.FirstPauseEnd == 0 ? -1 : Survey.FirstPauseEnd - Now}});
}

} // namespace tamarack::daemon
