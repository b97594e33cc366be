// Fakes of the interfaces in ports.hpp for unit tests.
#pragma once

#include "tamarack/ports.hpp"

#include <random>

namespace tamarack::tests {

// Clock whose time the test sets.
class manual_clock final : public clock {
public:
  explicit manual_clock(time_ms Start = 1'000'000) : Time(Start) {}
  time_ms now() const override { return Time; }
  time_ms monotonic() const override { return Time; }
  time_ms sinceBoot() const override { return Time; }
  time_ms Time;
};

// Random numbers that are reproducible from a seed.
class seeded_random final : public random_source {
public:
  explicit seeded_random(std::uint64_t Seed) : Engine(Seed) {}
  std::uint64_t next() override { return Engine(); }

private:
  std::mt19937_64 Engine;
};

} // namespace tamarack::tests
