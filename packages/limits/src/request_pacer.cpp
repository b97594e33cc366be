// Spaces the requests to an endpoint by a share of its limit.
#include "tamarack/limits.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack::limits {

namespace {

// A share of several requests in this time may send them together.
constexpr double BurstMs = 100;
// For the sum of many small fractions.
constexpr double Tolerance = 1e-9;

} // namespace

request_pacer::request_pacer(double PerSecond, time_ms Now)
    : Targets{{Now - ShareRaiseDelayMs, PerSecond}}, PerSecond(PerSecond),
      AdvancedAt(Now) {}

double request_pacer::capacity() const {
  return std::max(1.0, PerSecond * BurstMs / 1'000);
}

void request_pacer::advance(time_ms Now) {
  const double ElapsedMs =
      static_cast<double>(std::max<time_ms>(0, Now - AdvancedAt));
  Permits = std::min(capacity(), Permits + PerSecond * ElapsedMs / 1'000);
  AdvancedAt = Now;
  while (Targets.size() > 1 && Targets[1].SetAt + ShareRaiseDelayMs <= Now)
    Targets.pop_front();
  PerSecond = std::min_element(Targets.begin(), Targets.end(),
                               [](const target &A, const target &B) {
                                 return A.PerSecond < B.PerSecond;
                               })
                  ->PerSecond;
  if (PerSecond == 0)
    Permits = std::min(Permits, 0.0);
}

void request_pacer::setShare(double NewPerSecond, time_ms Now) {
  if (Targets.back().PerSecond != NewPerSecond)
    Targets.push_back({Now, NewPerSecond});
  advance(Now);
}

bool request_pacer::maySend(time_ms Now) {
  advance(Now);
  return Permits >= 1 - Tolerance;
}

void request_pacer::onSent(time_ms Now) {
  advance(Now);
  Permits -= 1;
}

std::optional<time_ms> request_pacer::nextSendAt(time_ms Now) {
  advance(Now);
  if (PerSecond == 0)
    return std::nullopt;
  const double WaitMs = std::max(0.0, 1 - Permits) * 1'000 / PerSecond;
  return Now + static_cast<time_ms>(std::ceil(WaitMs));
}

} // namespace tamarack::limits
