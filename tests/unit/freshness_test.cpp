// By how old a list of endpoints calls may be placed, and what makes it old.
#include "fakes.hpp"

#include "tamarack/freshness.hpp"

#include <catch2/catch.hpp>

using namespace tamarack;
using namespace tamarack::freshness;
using relay::list_state;

namespace {

constexpr time_ms Start = 1'000'000;
constexpr double LinkBytesPerS = 1'000'000;
constexpr int TickMs = 100;

class fake_reads final : public list_reads {
public:
  time_ms listKnownAsOf() const override { return KnownAsOf; }
  time_ms readUnansweredSince() const override { return UnansweredSince; }
  time_ms failedReadStartedAt() const override { return FailedAt; }

  time_ms KnownAsOf = Start;
  time_ms UnansweredSince = -1;
  time_ms FailedAt = -1; // Start of the read.
};

// An instance with a list that may decide for 1,500 ms.
struct freshness_fixture {
  // Lets time pass. Bytes: received in each second.
  void run(time_ms Ms, double BytesPerS = 0) {
    for (time_ms Passed = 0; Passed < Ms; Passed += TickMs) {
      Clock.Time += TickMs;
      Received += static_cast<std::uint64_t>(BytesPerS * TickMs / 1'000);
      Backlog.onTick({Received, 0, 0, LastQuickConnectAt});
    }
  }

  tests::manual_clock Clock{Start};
  std::uint64_t Received = 0;
  time_ms LastQuickConnectAt = -1;
  backlog_monitor Backlog{Clock, {.LinkBytesPerS = LinkBytesPerS}};
  fake_reads Reads;
  list_freshness List{Reads, Backlog, Clock, {.MaxListAgeMs = 1'500}};
};

} // namespace

TEST_CASE("a list decides until it is as old as an endpoint's notice",
          "[freshness]") {
  freshness_fixture Fixture;
  Fixture.run(1'500);
  CHECK(Fixture.List.state() == list_state::Current);
  Fixture.run(100);
  CHECK(Fixture.List.state() == list_state::Pending);
  Fixture.Reads.KnownAsOf = Fixture.Clock.Time;
  CHECK(Fixture.List.state() == list_state::Current);
}

TEST_CASE("an instance that never had a list is refused nothing here",
          "[freshness]") {
  freshness_fixture Fixture;
  Fixture.Reads.KnownAsOf = -1;
  Fixture.run(5'000, 2 * LinkBytesPerS);
  CHECK(Fixture.List.state() == list_state::Current);
}

// Guards against instances that serve nothing while they are cut off from the
// store.
TEST_CASE("an instance that is cut off from the store goes by its old list",
          "[freshness]") {
  freshness_fixture Fixture;
  Fixture.run(2'000);
  SECTION("the store does not answer") {
    Fixture.Reads.UnansweredSince = Fixture.Clock.Time;
    CHECK(Fixture.List.state() == list_state::Pending);
    Fixture.run(400);
    CHECK(Fixture.List.state() == list_state::Current);
  }
  SECTION("the last read has failed") {
    Fixture.Reads.FailedAt = Fixture.Clock.Time;
    CHECK(Fixture.List.state() == list_state::Current);
    Fixture.run(60'000);
    CHECK(Fixture.List.state() == list_state::Current);
  }
}

// Guards against requests to endpoints that have left, of an instance whose
// link is full: answers of the store wait behind what fills it.
TEST_CASE("an instance with a full link takes its own delay for no cut",
          "[freshness]") {
  freshness_fixture Fixture;
  Fixture.run(2'000, 0.8 * LinkBytesPerS);
  Fixture.Reads.FailedAt = Start;
  Fixture.Reads.UnansweredSince = Start + 100;
  CHECK(Fixture.List.state() == list_state::Outdated);
  CHECK(Fixture.Backlog.isHeldUp());
  SECTION("a recent list decides all the same") {
    Fixture.Reads.KnownAsOf = Fixture.Clock.Time;
    CHECK(Fixture.List.state() == list_state::Current);
  }
  SECTION("a read that began on the full link proves nothing later either") {
    Fixture.run(3'000);
    CHECK_FALSE(Fixture.Backlog.isHeldUp());
    CHECK(Fixture.List.state() == list_state::Pending);
    Fixture.Reads.UnansweredSince = Fixture.Clock.Time;
    Fixture.run(400);
    CHECK(Fixture.List.state() == list_state::Current);
  }
}

// Guards against an instance that carries much while it is cut off from the
// store, and refuses what it could serve by its list.
TEST_CASE("a link that opens connections quickly is not full", "[freshness]") {
  freshness_fixture Fixture;
  const auto RunQuickly = [&Fixture](int Ticks) {
    for (int Count = 0; Count < Ticks; ++Count) {
      Fixture.LastQuickConnectAt = Fixture.Clock.Time;
      Fixture.run(TickMs, 0.8 * LinkBytesPerS);
    }
  };
  RunQuickly(10);
  Fixture.Reads.UnansweredSince = Fixture.Clock.Time;
  RunQuickly(10);
  CHECK(Fixture.List.state() == list_state::Current);
}

// Guards against refusals that fill the link of an instance that is cut off:
// callers who are refused come back at once.
TEST_CASE("an instance that is cut off stays so as its link gets full",
          "[freshness]") {
  freshness_fixture Fixture;
  Fixture.run(1'600);
  Fixture.Reads.FailedAt = Fixture.Clock.Time;
  REQUIRE(Fixture.List.state() == list_state::Current);
  Fixture.run(3'000, 0.9 * LinkBytesPerS);
  REQUIRE(Fixture.Backlog.isLinkFull());
  CHECK(Fixture.List.state() == list_state::Current);
  SECTION("until a read is answered") {
    Fixture.Reads.KnownAsOf = Fixture.Clock.Time;
    Fixture.Reads.FailedAt = -1;
    CHECK(Fixture.List.state() == list_state::Current);
    Fixture.run(3'000, 0.9 * LinkBytesPerS);
    CHECK(Fixture.List.state() == list_state::Outdated);
  }
  SECTION("or until it stood still") {
    Fixture.Clock.Time += 4'000;
    CHECK(Fixture.List.state() == list_state::Pending);
    Fixture.run(3'000, 0.9 * LinkBytesPerS);
    CHECK(Fixture.List.state() == list_state::Outdated);
  }
}

TEST_CASE("a link is full by its rate in either direction", "[freshness]") {
  tests::manual_clock Clock(Start);
  backlog_monitor Backlog(Clock, {.LinkBytesPerS = LinkBytesPerS});
  std::uint64_t Bytes = 0;
  const auto Run = [&](double Share, bool IsSent) {
    for (int Count = 0; Count < 15; ++Count) {
      Clock.Time += TickMs;
      Bytes +=
          static_cast<std::uint64_t>(Share * LinkBytesPerS * TickMs / 1'000);
      Backlog.onTick({IsSent ? 0 : Bytes, IsSent ? Bytes : 0});
    }
    return Backlog.isLinkFull();
  };
  CHECK_FALSE(Run(0.6, false));
  CHECK(Run(0.9, false));
  Bytes = 0;
  CHECK(Run(0.9, true));
}

TEST_CASE("a moment's burst makes no full link, nor does an unknown rate",
          "[freshness]") {
  tests::manual_clock Clock(Start);
  SECTION("a burst") {
    backlog_monitor Backlog(Clock, {.LinkBytesPerS = LinkBytesPerS});
    Backlog.onTick({});
    Clock.Time += TickMs;
    Backlog.onTick({.Received = static_cast<std::uint64_t>(LinkBytesPerS / 2)});
    CHECK_FALSE(Backlog.isLinkFull());
  }
  SECTION("an unknown rate") {
    backlog_monitor Backlog(Clock, {});
    Backlog.onTick({});
    Clock.Time += TickMs;
    Backlog.onTick({.Received = 1'000'000'000});
    CHECK_FALSE(Backlog.isLinkFull());
  }
}

// Guards against a choice by what was known before a standstill: requests that
// came meanwhile are handled before the list is read again, and the read that
// was in progress looks unanswered.
TEST_CASE("after a standstill the list is awaited", "[freshness]") {
  freshness_fixture Fixture;
  Fixture.run(200);
  Fixture.Reads.UnansweredSince = Fixture.Clock.Time;
  Fixture.Clock.Time += 4'000;
  CHECK(Fixture.Backlog.isLoopLate());
  CHECK(Fixture.List.state() == list_state::Pending);
  Fixture.run(100);
  CHECK(Fixture.List.state() == list_state::Pending);
  Fixture.run(3'000);
  CHECK(Fixture.List.state() == list_state::Pending);
  Fixture.Reads.KnownAsOf = Fixture.Clock.Time;
  CHECK(Fixture.List.state() == list_state::Current);
  Fixture.run(1'500);
  CHECK_FALSE(Fixture.Backlog.isLoopLate());
}

TEST_CASE("sockets that wait for the event loop show that it is late",
          "[freshness]") {
  freshness_fixture Fixture;
  Fixture.Clock.Time += TickMs;
  Fixture.Backlog.onTick({.ReadyWaitMs = 300});
  CHECK(Fixture.Backlog.isLoopLate());
  Fixture.run(1'100);
  CHECK_FALSE(Fixture.Backlog.isLoopLate());
}

TEST_CASE("nothing is sent by a list that may not decide", "[freshness]") {
  class willing_placement final : public relay::placement {
  public:
    std::optional<relay::endpoint_choice> choose(const relay::call &,
                                                 const std::set<std::string> &,
                                                 time_ms) override {
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
  };
  freshness_fixture Fixture;
  willing_placement Inner;
  freshness_gate Gate(Inner, Fixture.List);
  const relay::call Call;
  CHECK(Gate.mayStillSend(Call, {}, 0, 0));
  CHECK_FALSE(Gate.takeWaiting());
  Fixture.run(1'600);
  CHECK_FALSE(Gate.mayStillSend(Call, {}, 0, 0));
  CHECK(Gate.listState(Call, 0) == list_state::Pending);
  CHECK(Gate.takeWaiting());
  CHECK_FALSE(Gate.takeWaiting());
}
