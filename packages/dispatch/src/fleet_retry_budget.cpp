// This instance's share of the fleet's retries.
#include "tamarack/dispatch.hpp"

#include <algorithm>

namespace tamarack::dispatch {

void fleet_retry_budget::onRequest(const retry_limits &Limits) {
  EarnedRetries = std::min(MaxEarned, EarnedRetries + Limits.RetriesPerRequest);
}

bool fleet_retry_budget::trySpend(const retry_limits &Limits, int Instances,
                                  time_ms Now) {
  const double MaxExtra = ExtraShare * Limits.ExtraPerWindow / Instances;
  if (RefilledAt < 0) {
    RefilledAt = Now;
    ExtraRetries = MaxExtra / 2;
  }
  ExtraRetries =
      std::min(MaxExtra,
               ExtraRetries + MaxExtra * static_cast<double>(Now - RefilledAt) /
                                  Limits.WindowMs);
  RefilledAt = Now;
  if (EarnedRetries >= 1) {
    EarnedRetries -= 1;
    return true;
  }
  if (EarnedRetries + ExtraRetries < 1)
    return false;
  ExtraRetries -= 1 - EarnedRetries;
  EarnedRetries = 0;
  return true;
}

} // namespace tamarack::dispatch
