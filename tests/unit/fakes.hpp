// Fakes of the interfaces in ports.hpp for unit tests.
#pragma once

#include "tamarack/dispatch.hpp"
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

// Without endpoints; leaves everything else as it is.
class empty_placement final : public relay::placement {
public:
  relay::list_state listState(const relay::call &, time_ms) const override {
    return ListState;
  }
  std::optional<relay::endpoint_choice>
  choose(const relay::call &, const std::set<std::string> &, time_ms) override {
    return std::nullopt;
  }
  void onSent(const relay::call &, std::string_view, time_ms) override {}
  void onFirstByte(const relay::call &, std::string_view, time_ms) override {}
  void onEnded(const relay::call &, std::string_view, relay::attempt_outcome,
               time_ms) override {}
  bool tryRetry(std::string_view, time_ms) override { return false; }
  relay::placement_refusal refusal(const relay::call &) const override {
    return {};
  }

  relay::list_state ListState = relay::list_state::Current;
};

// Withholds requests from the endpoints that the test names.
class listed_restriction final : public dispatch::endpoint_restriction {
public:
  bool mayGetRequest(std::string_view Endpoint, time_ms) override {
    return !Withheld.contains(std::string(Endpoint));
  }
  std::set<std::string> Withheld;
};

// Keeps which endpoints get no requests, and why.
class recording_availability_listener final
    : public dispatch::availability_listener {
public:
  void onWithheld(std::string_view Endpoint, dispatch::withheld_reason Reason,
                  int) override {
    Withheld.emplace_back(Endpoint, Reason);
  }
  std::vector<std::pair<std::string, dispatch::withheld_reason>> Withheld;
};

// Keeps what the store's responses say about its era.
class recording_era_listener final : public store_era_listener {
public:
  void onEraChanged(std::uint64_t Before, std::uint64_t Era) override {
    Changes.emplace_back(Before, Era);
  }
  void onFormerEra(std::uint64_t, std::uint64_t) override { ++Former; }
  void onEraMissing(std::string_view) override { ++Missing; }
  std::vector<std::pair<std::uint64_t, std::uint64_t>> Changes;
  int Former = 0;
  int Missing = 0;
};

} // namespace tamarack::tests
