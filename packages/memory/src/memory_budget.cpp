// The bound for the bytes that a process holds for others.
#include "tamarack/memory.hpp"

#include <utility>

namespace tamarack::memory {

namespace {

// A holder of up to MaxBytes may make use of the budget up to this share.
struct holder_size {
  std::size_t MaxBytes;
  double Share;
};

constexpr holder_size TinyHolder{16u << 10, 1.0};
constexpr holder_size SmallHolder{64u << 10, 0.85};
constexpr double LargeHolderShare = 0.7;

double shareOf(std::size_t Bytes) {
  if (Bytes <= TinyHolder.MaxBytes)
    return TinyHolder.Share;
  return Bytes <= SmallHolder.MaxBytes ? SmallHolder.Share : LargeHolderShare;
}

} // namespace

bool memory_budget::mayHold(std::size_t Held, std::size_t Wanted) const {
  if (Wanted <= Held)
    return true;
  const double Allowed = shareOf(Wanted) * static_cast<double>(Limit);
  return static_cast<double>(Used - Held + Wanted) <= Allowed;
}

bool memory_budget::isTight() const {
  return static_cast<double>(Used) >
         SmallHolder.Share * static_cast<double>(Limit);
}

void memory_budget::replace(std::size_t Held, std::size_t Wanted,
                            holder_kind Kind) {
  Used = Used - Held + Wanted;
  std::size_t &OfKind = UsedByKind[static_cast<std::size_t>(Kind)];
  OfKind = OfKind - Held + Wanted;
  if (Wanted < Held && std::exchange(IsMissed, false) && Listener != nullptr)
    Listener->onMemoryFreed();
}

bool memory_charge::trySet(std::size_t Bytes) {
  if (!Budget->mayHold(Held, Bytes)) {
    ++Budget->Refusals;
    Budget->IsMissed = true;
    return false;
  }
  set(Bytes);
  return true;
}

void memory_charge::set(std::size_t Bytes) {
  Budget->replace(std::exchange(Held, Bytes), Bytes, Kind);
}

} // namespace tamarack::memory
