// Offers other instances for calls whose endpoints are out of reach.
#include "tamarack/forwarding.hpp"

#include <algorithm>

namespace tamarack::forwarding {

namespace {

// Before the names of instances, where names of endpoints are expected. Names
// of instances have no slash.
constexpr std::string_view InstancePrefix = "instance/";
constexpr int BusyRetryAfterMs = 100;

// Empty if Endpoint is none.
std::string_view instanceOf(std::string_view Endpoint) {
  return Endpoint.starts_with(InstancePrefix)
             ? Endpoint.substr(InstancePrefix.size())
             : std::string_view();
}

bool isForwarded(const relay::call &Call) { return !Call.ForwardedBy.empty(); }

std::set<std::string> instancesAmong(const std::set<std::string> &Tried) {
  std::set<std::string> Names;
  for (const std::string &Endpoint : Tried)
    if (const std::string_view Name = instanceOf(Endpoint); !Name.empty())
      Names.emplace(Name);
  return Names;
}

} // namespace

void forwarding_gate::onLoopDelay(time_ms DelayMs, time_ms Now) {
  if (DelayMs >= MaxLoopDelayMs)
    BusyUntil = Now + BusyForMs;
}

std::optional<relay::placement_refusal>
forwarding_gate::admit(const relay::call &Call, time_ms Now) {
  if (!isForwarded(Call))
    return placement_decorator::admit(Call, Now);
  const bool IsBusy = BusyUntil > Now || ForwardedCalls > MaxForwardedCalls;
  if (!IsTaking || IsBusy)
    return relay::placement_refusal{relay::error_kind::InstanceFull,
                                    BusyRetryAfterMs};
  if (Paths.isCutOff(Call.Service))
    return relay::placement_refusal{relay::error_kind::NoEndpoint,
                                    BusyRetryAfterMs};
  return placement_decorator::admit(Call, Now);
}

bool forwarding_gate::mayForward(const relay::call &Call, time_ms Now) const {
  if (!IsForwarding || isForwarded(Call))
    return false;
  return Call.RequiredVersion.empty() ||
         Paths.cutOffMs(Call.Service, Now) >= MinCutForBoundMs;
}

// The instance that places a call goes by its own list.
relay::list_state forwarding_gate::listState(const relay::call &Call,
                                             time_ms Now) const {
  if (mayForward(Call, Now) && Paths.isCutOff(Call.Service))
    return relay::list_state::Current;
  return placement_decorator::listState(Call, Now);
}

std::optional<relay::endpoint_choice>
forwarding_gate::choose(const relay::call &Call,
                        const std::set<std::string> &Tried, time_ms Now) {
  if (!mayForward(Call, Now))
    return placement_decorator::choose(Call, Tried, Now);
  const bool IsCutOff =
      Paths.isCutOff(Call.Service) ||
      Paths.unreachedAmong(Call.Service, Tried, Now) >= MaxUnreachedByCall;
  if (IsCutOff) {
    std::optional<relay::endpoint_choice> Instance =
        chooseInstance(Call, Tried, Now);
    if (Instance)
      return Instance;
  }
  std::optional<relay::endpoint_choice> Endpoint =
      placement_decorator::choose(Call, Tried, Now);
  if (Endpoint || IsCutOff || !Reason.isOutOfReach(Call, Now))
    return Endpoint;
  return chooseInstance(Call, Tried, Now);
}

std::optional<relay::endpoint_choice> forwarding_gate::chooseInstance(
    const relay::call &Call, const std::set<std::string> &Tried, time_ms Now) {
  const forwarding_instance *Instance =
      Instances.choose(Call.Service, instancesAmong(Tried), Now);
  if (Instance == nullptr)
    return std::nullopt;
  relay::endpoint_choice Choice;
  Choice.Endpoint = std::string(InstancePrefix) + Instance->Name;
  Choice.Address = Instance->Address;
  Choice.IsInstance = true;
  return Choice;
}

bool forwarding_gate::mayStillSend(const relay::call &Call,
                                   const relay::endpoint_choice &Target,
                                   time_ms ConnectedAt, time_ms Now) const {
  return Target.IsInstance ||
         placement_decorator::mayStillSend(Call, Target, ConnectedAt, Now);
}

void forwarding_gate::onSent(const relay::call &Call, std::string_view Endpoint,
                             time_ms Now) {
  const std::string_view Instance = instanceOf(Endpoint);
  if (Instance.empty())
    return placement_decorator::onSent(Call, Endpoint, Now);
  Instances.onSent(Instance);
}

void forwarding_gate::onFirstByte(const relay::call &Call,
                                  std::string_view Endpoint, time_ms Now) {
  if (!instanceOf(Endpoint).empty())
    return;
  Paths.onReached(Call.Service, Now);
  placement_decorator::onFirstByte(Call, Endpoint, Now);
}

void forwarding_gate::onEnded(const relay::call &Call,
                              std::string_view Endpoint,
                              relay::attempt_outcome Outcome, time_ms Now) {
  const std::string_view Instance = instanceOf(Endpoint);
  if (!Instance.empty())
    return Instances.onEnded(Instance, Call.Service, Outcome, Now);
  if (Outcome == relay::attempt_outcome::Unreached)
    Paths.onUnreached(Call.Service, Endpoint, Now);
  placement_decorator::onEnded(Call, Endpoint, Outcome, Now);
}

} // namespace tamarack::forwarding
