// The bound for the bytes that a process holds for others.
#include "tamarack/memory.hpp"

#include <catch2/catch.hpp>

#include <deque>

using namespace tamarack::memory;

namespace {

constexpr std::size_t KiB = 1024;
constexpr std::size_t Limit = 1'000 * KiB;

class counting_listener final : public memory_listener {
public:
  void onMemoryFreed() override { ++Calls; }
  int Calls = 0;
};

// Adds holders of Bytes until one is refused.
void fill(memory_budget &Budget, std::deque<memory_charge> &Charges,
          std::size_t Bytes) {
  do
    Charges.emplace_back(Budget);
  while (Charges.back().trySet(Bytes));
}

} // namespace

// Guards against bytes that no bound counts, or that stay counted.
TEST_CASE("all holders together stay within the budget", "[memory]") {
  memory_budget Budget(Limit);
  {
    std::deque<memory_charge> Charges;
    for (const std::size_t Bytes : {300 * KiB, 60 * KiB, 10 * KiB, KiB})
      fill(Budget, Charges, Bytes);
    CHECK(Budget.used() <= Limit);
    CHECK(Budget.used() > Limit - KiB);
    CHECK(Budget.refusals() == 4);
  }
  CHECK(Budget.used() == 0);
}

// Guards against a few large bodies that leave nothing to the small ones.
TEST_CASE("holders of little go on beside holders of much", "[memory]") {
  memory_budget Budget(Limit);
  std::deque<memory_charge> Large;
  fill(Budget, Large, 100 * KiB);
  std::deque<memory_charge> Small;
  fill(Budget, Small, 50 * KiB);
  CHECK(Small.size() > 1);
  CHECK(Budget.used() <= 850 * KiB);
  std::deque<memory_charge> Tiny;
  fill(Budget, Tiny, 10 * KiB);
  CHECK(Tiny.size() > 10);
  CHECK(Budget.isTight());
}

TEST_CASE("a charge that does not fit changes nothing", "[memory]") {
  memory_budget Budget(Limit);
  memory_charge Charge(Budget);
  CHECK(Charge.trySet(500 * KiB));
  CHECK_FALSE(Charge.trySet(900 * KiB));
  CHECK(Charge.bytes() == 500 * KiB);
  // What is in memory already counts also if it is too much.
  Charge.set(2 * Limit);
  CHECK(Budget.used() == 2 * Limit);
  CHECK(Charge.trySet(Limit)); // Less than before.
  memory_charge Other(Budget);
  CHECK_FALSE(Other.trySet(1));
}

// Guards against holders that wait for bytes which are free.
TEST_CASE("who was refused is told when bytes become free", "[memory]") {
  counting_listener Listener;
  memory_budget Budget(Limit, &Listener);
  memory_charge First(Budget);
  memory_charge Second(Budget);
  CHECK(First.trySet(600 * KiB));
  First.set(500 * KiB);
  CHECK(Listener.Calls == 0);
  CHECK_FALSE(Second.trySet(600 * KiB));
  First.set(400 * KiB);
  CHECK(Listener.Calls == 1);
  First.set(0);
  CHECK(Listener.Calls == 1); // Nobody was refused in between.
}
