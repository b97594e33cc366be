// Prompts that an engine has not read yet.
#include "tamarack/load.hpp"

#include <algorithm>

namespace tamarack::load {

void read_backlog::add(const sent_call &Call) {
  std::erase_if(Calls, [&Call](const sent_call &Other) {
    return !Other.IsOwn && Call.SentAt - Other.SentAt > MaxOthersMs;
  });
  const auto Later =
      std::find_if(Calls.begin(), Calls.end(), [&Call](const sent_call &Other) {
        return Other.SentAt > Call.SentAt;
      });
  Calls.insert(Later, Call);
}

std::vector<sent_call>::iterator read_backlog::find(std::uint64_t Number,
                                                    bool IsOwn) {
  return std::find_if(Calls.begin(), Calls.end(),
                      [Number, IsOwn](const sent_call &Call) {
                        return Call.Number == Number && Call.IsOwn == IsOwn;
                      });
}

// Calls of this instance stay until it sees their own answer.
void read_backlog::onAnswered(std::uint64_t Number, bool IsOwn) {
  const auto Found = find(Number, IsOwn);
  if (Found == Calls.end())
    return;
  const time_ms SentAt = Found->SentAt;
  Calls.erase(Found);
  std::erase_if(Calls, [SentAt](const sent_call &Other) {
    return !Other.IsOwn && Other.SentAt < SentAt;
  });
}

void read_backlog::remove(std::uint64_t Number, bool IsOwn) {
  const auto Found = find(Number, IsOwn);
  if (Found != Calls.end())
    Calls.erase(Found);
}

double read_backlog::remainingMs(double Slowness, time_ms Now) const {
  const double At = static_cast<double>(Now);
  double FreeAt = 0;
  double OverdueMs = 0;
  for (const sent_call &Call : Calls) {
    const double Ms = Call.ReadMs * Slowness;
    FreeAt = std::max(FreeAt, static_cast<double>(Call.SentAt)) + Ms;
    if (Call.IsOwn && FreeAt <= At)
      OverdueMs += OverdueShare * Ms;
  }
  return std::max(0.0, FreeAt - At) + OverdueMs;
}

} // namespace tamarack::load
