// Rate of spending, smoothed.
#include "tamarack/grants.hpp"

#include <algorithm>

namespace tamarack::grants {

namespace {

// Limits the bias correction of a rate that has few samples.
constexpr double MinRateWeight = 0.2;

} // namespace

void smoothed_rate::update(double ElapsedMs, double Decay) {
  if (Weight == 0 && TokensSinceUpdate == 0)
    return;
  const double Latest = static_cast<double>(TokensSinceUpdate) / ElapsedMs;
  Biased = Biased * Decay + Latest * (1 - Decay);
  Weight = Weight * Decay + (1 - Decay);
  PerMs = Biased / std::max(Weight, MinRateWeight);
  TokensSinceUpdate = 0;
}

} // namespace tamarack::grants
