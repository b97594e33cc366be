// How fast an endpoint works.
#include "tamarack/load.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack::load {

double speed_filter::weightAt(time_ms Now) const {
  const double AgeMs =
      static_cast<double>(std::max<time_ms>(0, Now - UpdatedAt));
  return std::exp2(-AgeMs / HalfLifeMs);
}

void speed_filter::add(double TookMs, double ExpectedMs, time_ms Now) {
  if (ExpectedMs <= 0)
    return;
  const double Ratio = std::clamp(TookMs / ExpectedMs, 1 / MaxRatio, MaxRatio);
  const double Kept = weightAt(Now);
  LogSum = LogSum * Kept + ExpectedMs * std::log(Ratio);
  WeightSum = WeightSum * Kept + ExpectedMs;
  UpdatedAt = std::max(UpdatedAt, Now);
}

double speed_filter::logRatio(time_ms Now) const {
  const double Kept = weightAt(Now);
  return LogSum * Kept / (WeightSum * Kept + PriorMs);
}

void pace_estimate::set(int Percent, time_ms At) {
  Factor = std::clamp(Percent, MinPercent, MaxPercent) / 100.0;
  ReportedAt = At;
}

double pace_estimate::factor(time_ms Now) const {
  const double AgeMs =
      static_cast<double>(std::max<time_ms>(0, Now - ReportedAt));
  return 1 + (Factor - 1) * std::exp2(-AgeMs / HalfLifeMs);
}

} // namespace tamarack::load
