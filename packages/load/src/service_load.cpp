// The load of the endpoints of one service together.
#include "tamarack/load.hpp"

#include <algorithm>
#include <xxhash.h>

namespace tamarack::load {

namespace {

// One of so many engines is for short prompts first: most reading is done for
// long ones.
constexpr std::uint64_t EnginesPerShortOne = 4;

} // namespace

void size_split::onCall(int TargetFirstByteMs) {
  if (TargetFirstByteMs > 0 &&
      (LeastTargetMs == 0 || TargetFirstByteMs < LeastTargetMs))
    LeastTargetMs = TargetFirstByteMs;
}

bool size_split::isLong(double ReadMs) const {
  return LeastTargetMs > 0 && ReadMs > LongShareOfTarget * LeastTargetMs;
}

bool size_split::isForLong(std::string_view Endpoint) {
  constexpr std::uint64_t Seed = 0x5ac3; // Apart from other hashes of the id.
  const std::uint64_t Hash = XXH64(Endpoint.data(), Endpoint.size(), Seed);
  return Hash % EnginesPerShortOne != 0;
}

void service_load::onCallEnded(time_ms DurationMs) {
  MeanDurationMs +=
      DurationShare * (static_cast<double>(DurationMs) - MeanDurationMs);
}

bool service_load::hasPrior(time_ms Now) const {
  return ComputedAt >= 0 && Now >= ComputedAt && Now - ComputedAt < KeptMs;
}

// A report is out of date once the calls that it counted have ended.
void service_load::updatePrior(std::span<const endpoint_load *const> Endpoints,
                               time_ms Now) {
  ComputedAt = Now;
  Prior = {};
  Prior.HalfLifeMs =
      std::clamp<double>(MeanDurationMs, MinHalfLifeMs, MaxHalfLifeMs);
  double Weights = 0;
  double Requests = 0;
  double LogRatios = 0;
  for (const endpoint_load *Endpoint : Endpoints) {
    const double Weight = Endpoint->reportWeight(Prior.HalfLifeMs, Now);
    Weights += Weight;
    Requests += Weight * Endpoint->reportedOthers();
    LogRatios += Endpoint->logRatio(Now);
    Prior.HasPace = Prior.HasPace || Endpoint->statesPace();
  }
  Prior.OthersRequests = Requests / (Weights + IdleWeight);
  if (!Endpoints.empty())
    Prior.LogRatio = LogRatios / static_cast<double>(Endpoints.size());
}

} // namespace tamarack::load
