// Policies for the size of grant requests.
#include "tamarack/money.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack::money {

namespace {

// Demand that a holder wants to have unreserved while the budget is plentiful.
constexpr double TargetSeconds = 900;
// A new grant is requested below this part of the target.
constexpr double RefillThreshold = 0.75;
// Minimum size of a grant, in requests of the size that is served next.
constexpr amount MinGrantRequests = 16;
// After a shortage a grant covers the demand of this time, and at most
// 1 / ShortageDivisor of the holder's equal share of the available tokens.
constexpr double ShortageSeconds = 2;
constexpr int ShortageDivisor = 4;
// Part of the unbilled tokens that all holders together aim to hold.
constexpr double MaxGrantedShare = 0.8;

class demand_policy final : public grant_policy {
public:
  std::string_view name() const override { return "demand"; }

  grant_request_size requestSize(const grant_demand &Demand) const override {
    const amount Target = targetAmount(Demand);
    if (Demand.WaitingTotal > 0)
      return {std::max(Demand.WaitingTotal, desiredAmount(Demand, Target)),
              Demand.NextWaiting};
    const bool Low = static_cast<double>(Demand.Unreserved) <
                     RefillThreshold * static_cast<double>(Target);
    if (!Low || Demand.RecentShortage)
      return {};
    return {Target - Demand.Unreserved, 1};
  }

  // Returns all unreserved tokens: a later request costs one round trip to the
  // log, while idle tokens here cause refusals elsewhere.
  amount returnAmount(const grant_demand &Demand) const override {
    return Demand.Unreserved;
  }

private:
  // Amount to request when reservations wait; WaitingTotal is the lower bound.
  static amount desiredAmount(const grant_demand &Demand, amount Target) {
    if (!Demand.RecentShortage)
      return std::max(Target, std::min(MinGrantRequests * Demand.NextWaiting,
                                       share(Demand)));
    return std::min(expectedDemand(Demand, ShortageSeconds),
                    Demand.Available / (ShortageDivisor * Demand.HolderCount));
  }

  // Unreserved tokens to aim for while the budget is plentiful.
  static amount targetAmount(const grant_demand &Demand) {
    return std::min(expectedDemand(Demand, TargetSeconds), share(Demand));
  }

  // Share of one holder. Leaves a part of the budget available for holders
  // whose demand grows.
  static amount share(const grant_demand &Demand) {
    const double Part = MaxGrantedShare * static_cast<double>(Demand.Unbilled);
    return static_cast<amount>(Part / Demand.HolderCount);
  }

  static amount expectedDemand(const grant_demand &Demand, double Seconds) {
    return static_cast<amount>(std::ceil(Demand.ReservedPerSecond * Seconds));
  }
};

class fixed_policy final : public grant_policy {
public:
  explicit fixed_policy(amount Size) : Size(Size) {}

  std::string_view name() const override { return "fixed"; }

  grant_request_size requestSize(const grant_demand &Demand) const override {
    if (Demand.WaitingTotal == 0)
      return {};
    return {std::max(Size, Demand.NextWaiting), Demand.NextWaiting};
  }

  amount returnAmount(const grant_demand &) const override { return 0; }

private:
  amount Size;
};

class equal_share_policy final : public grant_policy {
public:
  std::string_view name() const override { return "equal"; }

  grant_request_size requestSize(const grant_demand &Demand) const override {
    const amount Share = Demand.Credits / std::max(1, Demand.HolderCount);
    if (Demand.WaitingTotal == 0 || Demand.OpenGrantTotal > 0 ||
        Share < Demand.NextWaiting)
      return {};
    return {Share, Share};
  }

  amount returnAmount(const grant_demand &) const override { return 0; }
};

} // namespace

std::unique_ptr<grant_policy> makeDemandPolicy() {
  return std::make_unique<demand_policy>();
}

std::unique_ptr<grant_policy> makeFixedPolicy(amount Size) {
  return std::make_unique<fixed_policy>(Size);
}

std::unique_ptr<grant_policy> makeEqualSharePolicy() {
  return std::make_unique<equal_share_policy>();
}

} // namespace tamarack::money
