// Fakes of the interfaces in ports.hpp for unit tests.
#pragma once

#include "tamarack/ports.hpp"

#include <random>

namespace tamarack::tests {

// Random numbers that are reproducible from a seed.
class seeded_random final : public random_source {
public:
  explicit seeded_random(std::uint64_t Seed) : Engine(Seed) {}
  std::uint64_t next() override { return Engine(); }

private:
  std::mt19937_64 Engine;
};

} // namespace tamarack::tests
