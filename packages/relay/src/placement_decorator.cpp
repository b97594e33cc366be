// Forwards every call of a placement.
#include "tamarack/relay.hpp"

namespace tamarack::relay {

std::optional<placement_refusal> placement_decorator::admit(const call &Call,
                                                            time_ms Now) {
  return Inner.admit(Call, Now);
}

list_state placement_decorator::listState(const call &Call, time_ms Now) const {
  return Inner.listState(Call, Now);
}

std::optional<endpoint_choice>
placement_decorator::choose(const call &Call,
                            const std::set<std::string> &Tried, time_ms Now) {
  return Inner.choose(Call, Tried, Now);
}

bool placement_decorator::mayStillSend(const call &Call,
                                       const endpoint_choice &Target,
                                       time_ms ConnectedAt, time_ms Now) const {
  return Inner.mayStillSend(Call, Target, ConnectedAt, Now);
}

bool placement_decorator::isVersionCertain(const endpoint_choice &Source,
                                           time_ms ConnectedAt) const {
  return Inner.isVersionCertain(Source, ConnectedAt);
}

void placement_decorator::onSent(const call &Call, std::string_view Endpoint,
                                 time_ms Now) {
  Inner.onSent(Call, Endpoint, Now);
}

void placement_decorator::onFirstByte(const call &Call,
                                      std::string_view Endpoint, time_ms Now) {
  Inner.onFirstByte(Call, Endpoint, Now);
}

void placement_decorator::onEnded(const call &Call, std::string_view Endpoint,
                                  attempt_outcome Outcome, time_ms Now) {
  Inner.onEnded(Call, Endpoint, Outcome, Now);
}

bool placement_decorator::tryRetry(std::string_view Service, time_ms Now) {
  return Inner.tryRetry(Service, Now);
}

placement_refusal placement_decorator::refusal(const call &Call) const {
  return Inner.refusal(Call);
}

} // namespace tamarack::relay
