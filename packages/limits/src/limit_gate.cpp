// Counts the requests of the limits, and refuses calls if all are used up.
#include "tamarack/limits.hpp"

namespace tamarack::limits {

std::optional<relay::placement_refusal>
limit_gate::admit(const relay::call &Call, time_ms Now) {
  Limiter.onRequest(Call.Service, Now);
  return placement_decorator::admit(Call, Now);
}

std::optional<relay::endpoint_choice>
limit_gate::choose(const relay::call &Call, const std::set<std::string> &Tried,
                   time_ms Now) {
  LastChoiceAt = Now;
  std::optional<relay::endpoint_choice> Choice =
      placement_decorator::choose(Call, Tried, Now);
  if (Choice) {
    Choice->LimitVersion = Limiter.versionOf(Choice->Endpoint);
    Choice->WasCold = Limiter.isCold(Choice->Endpoint, Now);
  }
  return Choice;
}

bool limit_gate::mayStillSend(const relay::call &Call,
                              const relay::endpoint_choice &Target,
                              time_ms ConnectedAt, time_ms Now) const {
  if (!Target.WasCold && Limiter.isCold(Target.Endpoint, Now))
    return false;
  return placement_decorator::mayStillSend(Call, Target, ConnectedAt, Now);
}

void limit_gate::onSent(const relay::call &Call, std::string_view Endpoint,
                        time_ms Now) {
  Limiter.onSent(Endpoint, Now);
  placement_decorator::onSent(Call, Endpoint, Now);
}

relay::placement_refusal limit_gate::refusal(const relay::call &Call) const {
  const std::optional<int> RetryAfterMs =
      Limiter.retryAfterMs(Call.Service, LastChoiceAt);
  if (!RetryAfterMs)
    return placement_decorator::refusal(Call);
  Listener.onCallRefused(Call, *RetryAfterMs);
  return {relay::error_kind::Overloaded, *RetryAfterMs};
}

} // namespace tamarack::limits
