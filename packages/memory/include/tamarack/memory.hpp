// One bound for the bytes that a process holds for others: requests that come
// in, responses of endpoints, and what waits for callers that read slowly.
//
// Contents:
//   holder_kind      what the bytes are
//   memory_budget    the bound
//   memory_charge    what one holder has taken of it
//
// A holder that holds little may go on where one that holds much may not: a few
// large bodies, or an endpoint that sends without end, don't stop the others.
// Not thread-safe.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace tamarack::memory {

// What the bytes are, for metrics.
enum class holder_kind {
  Connection, // A caller's connection and what it has sent ahead.
  Request,    // A request that is received or being served.
  Call,       // A call in progress.
  Response,   // A response that is received or waits for its caller.
  Other,
};
constexpr std::size_t HolderKindCount = 5;

// Notified when bytes have become free that somebody has missed.
class memory_listener {
public:
  virtual ~memory_listener() = default;
  // Called from within the release; must not change a charge.
  virtual void onMemoryFreed() = 0;
};

class memory_budget {
public:
  // Listener may be null.
  explicit memory_budget(std::size_t Limit, memory_listener *Listener = nullptr)
      : Limit(Limit), Listener(Listener) {}
  memory_budget(const memory_budget &) = delete;
  memory_budget &operator=(const memory_budget &) = delete;

  std::size_t used() const { return Used; } // Bytes.
  std::size_t usedBy(holder_kind Kind) const {
    return UsedByKind[static_cast<std::size_t>(Kind)];
  }
  std::size_t limit() const { return Limit; }
  std::uint64_t refusals() const { return Refusals; } // Since the start.
  // True if a holder that holds little may not grow any more.
  bool isTight() const;

private:
  friend class memory_charge;
  bool mayHold(std::size_t Held, std::size_t Wanted) const;
  void replace(std::size_t Held, std::size_t Wanted, holder_kind Kind);

  std::size_t Limit;
  memory_listener *Listener;
  std::size_t Used = 0;
  std::array<std::size_t, HolderKindCount> UsedByKind{};
  std::uint64_t Refusals = 0;
  bool IsMissed = false; // A holder was refused since bytes were freed last.
};

// Given back at its end. The budget must outlive it.
class memory_charge {
public:
  explicit memory_charge(memory_budget &Budget,
                         holder_kind Kind = holder_kind::Other)
      : Budget(&Budget), Kind(Kind) {}
  ~memory_charge() { set(0); }
  memory_charge(const memory_charge &) = delete;
  memory_charge &operator=(const memory_charge &) = delete;

  // Holds Bytes from now on. False if they don't fit: nothing changes then.
  // Less than before always fits.
  bool trySet(std::size_t Bytes);
  // Also if they don't fit, for bytes that are in memory already.
  void set(std::size_t Bytes);
  std::size_t bytes() const { return Held; }

private:
  memory_budget *Budget;
  holder_kind Kind;
  std::size_t Held = 0;
};

} // namespace tamarack::memory
