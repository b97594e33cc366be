// This instance's share of the fleet's repeats.
#include "tamarack/dispatch.hpp"

#include <algorithm>

namespace tamarack::dispatch {

void fleet_retry_budget::onRequest(const retry_limits &Limits) {
  Earned = std::min(MostEarned, Earned + Limits.RetriesPerRequest);
}

bool fleet_retry_budget::trySpend(const retry_limits &Limits, int Instances,
                                  time_ms Now) {
  const double Share = SlackPart * Limits.ExtraPerWindow / Instances;
  if (Filled < 0) {
    Filled = Now;
    Slack = Share / 2;
  }
  Slack = std::min(Share, Slack + Share * static_cast<double>(Now - Filled) /
                                      Limits.WindowMs);
  Filled = Now;
  if (Earned >= 1) {
    Earned -= 1;
    return true;
  }
  if (Earned + Slack < 1)
    return false;
  Slack -= 1 - Earned;
  Earned = 0;
  return true;
}

} // namespace tamarack::dispatch
