// What a stopping process may still begin.
#include "tamarack/dispatch.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace tamarack;
using namespace tamarack::dispatch;

namespace {

constexpr time_ms StopAt = 10'000;
constexpr time_ms OpenUntil = StopAt + 2'500;
constexpr time_ms CutAt = StopAt + 7'500;

// Finds an endpoint for every call.
class always_placing final : public relay::placement {
public:
  std::optional<relay::endpoint_choice>
  choose(const relay::call &, const std::set<std::string> &, time_ms) override {
    return relay::endpoint_choice{"e", "10.0.0.1:80"};
  }
  void onSent(const relay::call &, std::string_view, time_ms) override {}
  void onFirstByte(const relay::call &, std::string_view, time_ms) override {}
  void onEnded(const relay::call &, std::string_view, relay::attempt_outcome,
               time_ms) override {}
  bool tryRetry(std::string_view, time_ms) override { return true; }
  relay::placement_refusal refusal(const relay::call &) const override {
    return {};
  }
};

relay::call callOf(time_ms ArrivedAt, time_ms Deadline) {
  relay::call Call;
  Call.ArrivedAt = ArrivedAt;
  Call.Deadline = Deadline;
  Call.TargetFirstByteMs = 800;
  return Call;
}

bool isTaken(shutdown_gate &Gate, const relay::call &Call) {
  return !Gate.admit(Call, Call.ArrivedAt);
}

} // namespace

// Guards against a request that is read late in a stop, sent to an endpoint and
// cut within its response.
TEST_CASE("a call that arrives late in a stop is taken only if it ends in time",
          "[dispatch][shutdown]") {
  always_placing Placement;
  shutdown_gate Gate(Placement);
  const relay::call Late = callOf(StopAt + 4'000, CutAt + 1);
  CHECK(isTaken(Gate, Late));
  Gate.beginShutdown({OpenUntil, CutAt, CutAt + 250});
  const std::optional<relay::placement_refusal> Refusal =
      Gate.admit(Late, Late.ArrivedAt);
  REQUIRE(Refusal);
  CHECK(Refusal->Kind == relay::error_kind::NotReady);
  CHECK(Refusal->RetryAfterMs > 0);
  CHECK(isTaken(Gate, callOf(StopAt + 4'000, CutAt)));
  CHECK(isTaken(Gate, callOf(OpenUntil, CutAt + 10'000)));
  relay::call LongObjective = callOf(OpenUntil, CutAt + 10'000);
  LongObjective.TargetFirstByteMs = 4'000;
  CHECK(isTaken(Gate, LongObjective));
  CHECK_FALSE(isTaken(Gate, callOf(OpenUntil + 1, CutAt + 10'000)));
}

// Guards against a stop that counts from the handling of its signal, after the
// process has stood still: it would be killed before its own end.
TEST_CASE("a signal is as old as the process may have stood still",
          "[dispatch][shutdown]") {
  constexpr int PeriodMs = 100;
  constexpr time_ms DueAt = 10'000;
  constexpr int StoppedMs = 1'000;
  SECTION("before the first run") {
    CHECK(earliestSignalTime({}, DueAt) == DueAt);
  }
  SECTION("not at all") {
    CHECK(earliestSignalTime({DueAt + PeriodMs, DueAt}, DueAt + 50) == DueAt);
  }
  SECTION("between two runs, and the signal is handled before the next one") {
    CHECK(earliestSignalTime({DueAt, DueAt - PeriodMs}, DueAt + StoppedMs) ==
          DueAt);
  }
  SECTION("between two runs, and the signal is handled after the next one") {
    const time_ms RunAt = DueAt + StoppedMs;
    CHECK(earliestSignalTime({RunAt + PeriodMs, DueAt}, RunAt) == DueAt);
  }
  SECTION("within a run") {
    const time_ms EndedAt = DueAt + StoppedMs;
    CHECK(earliestSignalTime({EndedAt + PeriodMs, DueAt}, EndedAt) == DueAt);
  }
}

// Guards against a process that still takes calls when it has to give them up,
// or is killed before it does.
TEST_CASE("a stop fits into any grace time", "[dispatch][shutdown]") {
  for (int GraceMs = 1'000; GraceMs <= 60'000; GraceMs += 100) {
    CAPTURE(GraceMs);
    const shutdown_times Times = planShutdown(StopAt, GraceMs);
    CHECK(Times.OpenUntil > StopAt + 300);
    CHECK(Times.OpenUntil <= StopAt + 2'500);
    CHECK(Times.OpenUntil + GraceMs / 4 <= Times.CutAt);
    CHECK(Times.CutAt + 100 <= Times.EndAt);
    CHECK(Times.EndAt + 100 <= StopAt + GraceMs);
  }
  const shutdown_times Times = planShutdown(StopAt, 8'000);
  CHECK(Times.OpenUntil == OpenUntil);
  CHECK(Times.CutAt == CutAt);
  CHECK(Times.EndAt == CutAt + 250);
}

// Guards against a retry or a resumed stream that is begun shortly before the
// process gives it up.
TEST_CASE("no attempt begins shortly before the cut unless it ends by itself",
          "[dispatch][shutdown]") {
  always_placing Placement;
  shutdown_gate Gate(Placement);
  Gate.beginShutdown({OpenUntil, CutAt, CutAt + 250});
  const relay::call Long = callOf(StopAt - 1'000, CutAt + 5'000);
  const time_ms LatestStart = CutAt - 2 * Long.TargetFirstByteMs;
  CHECK(Gate.choose(Long, {}, LatestStart));
  CHECK_FALSE(Gate.choose(Long, {}, LatestStart + 1));
  // Another instance can take the call at once.
  CHECK(Gate.refusal(Long).Kind == relay::error_kind::NotReady);
  const relay::call Short = callOf(CutAt - 1'000, CutAt);
  CHECK(Gate.choose(Short, {}, CutAt - 500));
}

// Guards against a rule that lets some sequence of arrivals through.
TEST_CASE("no call that arrives after the open time is sent and then cut",
          "[dispatch][shutdown][property]") {
  CHECK(rc::check("nothing late is cut", [] {
    always_placing Placement;
    shutdown_gate Gate(Placement);
    Gate.beginShutdown({OpenUntil, CutAt, CutAt + 250});
    const time_ms ArrivedAt =
        *rc::gen::inRange<time_ms>(StopAt - 5'000, CutAt + 500);
    const time_ms Deadline = ArrivedAt + *rc::gen::inRange<time_ms>(1, 15'000);
    const relay::call Call = callOf(ArrivedAt, Deadline);
    const bool MayBeCut = Deadline > CutAt;
    if (isTaken(Gate, Call) && ArrivedAt > OpenUntil)
      RC_ASSERT(!MayBeCut);
    if (!MayBeCut)
      RC_ASSERT(isTaken(Gate, Call));
  }));
}
