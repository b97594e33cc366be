// The causes that were answered completely of late.
#include "tamarack/quarantine.hpp"

namespace tamarack::quarantine {

void completed_causes::add(const cause &Cause, time_ms Now) {
  const auto Found = Index.find(Cause);
  if (Found != Index.end()) {
    Found->second->CompletedAt = Now;
    Latest.splice(Latest.begin(), Latest, Found->second);
    return;
  }
  Latest.push_front({Cause, Now});
  Index.emplace(Cause, Latest.begin());
  if (Latest.size() > MaxSoundMemory) {
    Index.erase(Latest.back().Cause);
    Latest.pop_back();
  }
}

bool completed_causes::contains(const cause &Cause, time_ms Now) const {
  const auto Found = Index.find(Cause);
  return Found != Index.end() &&
         Now - Found->second->CompletedAt < SoundMemoryMs;
}

} // namespace tamarack::quarantine
