// Choice of the instance that a call is forwarded to.
#include "tamarack/forwarding.hpp"

#include <algorithm>

namespace tamarack::forwarding {

void instance_selector::setInstances(
    std::span<const forwarding_instance> NewInstances) {
  for (auto &[Name, State] : Instances)
    State.IsListed = false;
  for (const forwarding_instance &Instance : NewInstances) {
    instance_state &State = Instances[Instance.Name];
    State.Instance = Instance;
    State.IsListed = true;
  }
  std::erase_if(Instances, [](const auto &Item) {
    return !Item.second.IsListed && Item.second.InFlight == 0;
  });
}

bool instance_selector::isAvoided(const instance_state &State,
                                  std::string_view Service, time_ms Now) const {
  if (State.AvoidUntil > Now)
    return true;
  const auto Found = State.NoPathUntil.find(Service);
  return Found != State.NoPathUntil.end() && Found->second > Now;
}

const forwarding_instance *
instance_selector::choose(std::string_view Service,
                          const std::set<std::string> &Tried, time_ms Now) {
  const instance_state *Best = nullptr;
  int BestCost = 0;
  std::uint64_t Equal = 0; // Candidates of the lowest cost.
  for (const auto &[Name, State] : Instances) {
    if (!State.IsListed || Tried.contains(Name) ||
        isAvoided(State, Service, Now))
      continue;
    const int Cost =
        State.InFlight + (State.Instance.Zone == Zone ? 0 : OtherZoneCalls);
    if (Best == nullptr || Cost < BestCost)
      Equal = 0;
    const bool IsBest = Best == nullptr || Cost < BestCost ||
                        (Cost == BestCost && Random.next() % (Equal + 1) == 0);
    if (Cost <= BestCost || Best == nullptr)
      ++Equal;
    if (!IsBest)
      continue;
    Best = &State;
    BestCost = Cost;
  }
  return Best == nullptr ? nullptr : &Best->Instance;
}

void instance_selector::onSent(std::string_view Name) {
  const auto Found = Instances.find(Name);
  if (Found != Instances.end())
    ++Found->second.InFlight;
}

void instance_selector::onEnded(std::string_view Name, std::string_view Service,
                                relay::attempt_outcome Outcome, time_ms Now) {
  const auto Found = Instances.find(Name);
  if (Found == Instances.end())
    return;
  instance_state &State = Found->second;
  State.InFlight = std::max(0, State.InFlight - 1);
  switch (Outcome) {
  case relay::attempt_outcome::Unreached:
    State.AvoidUntil =
        Now + std::min(MaxAvoidMs,
                       UnreachedAvoidMs << std::min(3, State.UnreachedInRow));
    ++State.UnreachedInRow;
    return;
  case relay::attempt_outcome::Withdrawn:
    State.NoPathUntil.insert_or_assign(std::string(Service),
                                       Now + NoPathAvoidMs);
    break;
  default:
    break;
  }
  State.UnreachedInRow = 0;
}

} // namespace tamarack::forwarding
