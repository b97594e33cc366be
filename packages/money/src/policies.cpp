// Policies for the size of grants.
#include "tamarack/money.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack::money {

namespace {

constexpr double GrantHorizonSeconds = 900; // Demand to hold, if plentiful.
constexpr double RefillShare = 0.75;        // Refill below this part of it.
constexpr amount FirstGrantRequests = 16;   // Least grant, in such requests.
constexpr double ScarceSeconds = 2;  // Demand that a grant covers if scarce.
constexpr int ScarceDivisor = 4;     // Part of a fair share taken if scarce.
constexpr double GrantedShare = 0.8; // Of what is unspent, all holders.

class demand_policy final : public grant_policy {
public:
  std::string_view name() const override { return "demand"; }

  grant_request_size requestSize(const grant_demand &Demand) const override {
    const amount Goal = goal(Demand);
    if (Demand.WaitingTotal > 0)
      return {std::max(Demand.WaitingTotal, extra(Demand, Goal)),
              Demand.NextWaiting};
    const bool Low = static_cast<double>(Demand.Unreserved) <
                     RefillShare * static_cast<double>(Goal);
    if (!Low || Demand.RecentShortage)
      return {};
    return {Goal - Demand.Unreserved, 1};
  }

  // All of it: a new request costs one round through the log, an idle rest
  // costs others a refusal.
  amount returnAmount(const grant_demand &Demand) const override {
    return Demand.Unreserved;
  }

private:
  // What to ask for beyond what waits.
  static amount extra(const grant_demand &Demand, amount Goal) {
    if (!Demand.RecentShortage)
      return std::max(Goal, std::min(FirstGrantRequests * Demand.NextWaiting,
                                     share(Demand)));
    return std::min(covered(Demand, ScarceSeconds),
                    Demand.Available / (ScarceDivisor * Demand.HolderCount));
  }

  // What this holder should have in hand while the budget is plentiful.
  static amount goal(const grant_demand &Demand) {
    return std::min(covered(Demand, GrantHorizonSeconds), share(Demand));
  }

  // Leaves a part free for holders whose demand grows.
  static amount share(const grant_demand &Demand) {
    const double Part = GrantedShare * static_cast<double>(Demand.Unbilled);
    return static_cast<amount>(Part / Demand.HolderCount);
  }

  static amount covered(const grant_demand &Demand, double Seconds) {
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
