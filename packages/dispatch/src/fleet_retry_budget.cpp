// This instance's share of the fleet's retries.
#include "tamarack/dispatch.hpp"

#include <algorithm>

namespace tamarack::dispatch {

void fleet_retry_budget::onRequest(const retry_limits &Limits) {
  EarnedRetries = std::min(MaxEarned, EarnedRetries + Limits.RetriesPerRequest);
}

void fleet_retry_budget::refillExtra(double MaxExtra, int WindowMs,
                                     time_ms Now) {
  if (RefilledAt < 0) {
    RefilledAt = Now;
    ExtraRetries = MaxExtra / 2;
  }
  const double Refill =
      MaxExtra * static_cast<double>(Now - RefilledAt) / WindowMs;
  ExtraRetries = std::min(MaxExtra, ExtraRetries + Refill);
  RefilledAt = Now;
}

bool fleet_retry_budget::trySpend(const retry_limits &Limits,
                                  std::optional<int> Instances, time_ms Now) {
  if (Instances)
    refillExtra(ExtraShare * Limits.ExtraPerWindow / *Instances,
                Limits.WindowMs, Now);
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
