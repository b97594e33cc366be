// Sends calls to endpoints only by a list that may decide.
#include "tamarack/freshness.hpp"

namespace tamarack::freshness {

relay::list_state freshness_gate::listState(const relay::call &,
                                            time_ms) const {
  const relay::list_state State = List.state();
  HasWaiting = HasWaiting || State == relay::list_state::Pending;
  return State;
}

bool freshness_gate::mayStillSend(const relay::call &Call,
                                  const relay::endpoint_choice &Target,
                                  time_ms ConnectedAt, time_ms Now) const {
  return List.state() == relay::list_state::Current &&
         placement_decorator::mayStillSend(Call, Target, ConnectedAt, Now);
}

} // namespace tamarack::freshness
