// Attribution of crashes to prompt parts, their quarantine and its release.
#include "fakes.hpp"

#include "tamarack/quarantine.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <queue>
#include <rapidcheck.h>

using namespace tamarack;
using namespace tamarack::quarantine;
using relay::attempt_outcome;

namespace {

constexpr std::uint64_t BadPart = 666;
constexpr std::uint64_t FirstPart = 1;

std::vector<relay::prompt_part> promptOf(std::vector<std::uint64_t> Shared) {
  std::vector<relay::prompt_part> Prompt;
  for (const std::uint64_t Id : Shared)
    Prompt.push_back({Id, 100});
  Prompt.push_back({999'999, 100}); // The last part is never shared.
  return Prompt;
}

endpoint_start startOf(int Number) {
  return {"e" + std::to_string(Number), 1'000 + Number};
}

crash_report reportOf(std::vector<int> Starts, std::uint64_t Part) {
  crash_report Report;
  for (const int Start : Starts)
    Report.Crashes.push_back({startOf(Start), {Part}});
  return Report;
}

void addOwnCrashes(part_quarantine &Quarantine, int From, int Count,
                   time_ms Now) {
  const std::uint64_t Parts[] = {BadPart};
  for (int I = From; I < From + Count; ++I)
    Quarantine.onEndpointDied(startOf(I), Parts, Now);
}

bool isRefused(const part_quarantine &Quarantine, time_ms Now,
               std::uint64_t Part = BadPart) {
  return Quarantine.refusal(promptOf({FirstPart, Part}), Now).has_value();
}

// Always chooses the same endpoint, as long as it has not been tried.
class fixed_placement final : public relay::placement {
public:
  std::optional<relay::endpoint_choice>
  choose(const relay::call &, const std::set<std::string> &Tried,
         time_ms) override {
    const std::string Endpoint = Tried.contains("e1") ? "e2" : "e1";
    return relay::endpoint_choice{Endpoint, "10.0.0.1:80"};
  }
  void onSent(const relay::call &, std::string_view, time_ms) override {}
  void onFirstByte(const relay::call &, std::string_view, time_ms) override {}
  void onEnded(const relay::call &, std::string_view, attempt_outcome,
               time_ms) override {}
  bool tryRetry(std::string_view, time_ms) override { return true; }
  relay::placement_refusal refusal(const relay::call &) const override {
    return {};
  }
};

class fake_prober final : public endpoint_prober {
public:
  void probe(std::string_view, handler Handler) override {
    Handlers.push_back(std::move(Handler));
  }
  void finish(bool IsDead, time_ms Now) {
    std::vector<handler> Due;
    Due.swap(Handlers);
    for (const handler &Handler : Due)
      Handler(IsDead, Now);
  }
  std::vector<handler> Handlers;
};

class fake_lookup final : public endpoint_lookup {
public:
  std::optional<endpoint_info> find(std::string_view) const override {
    return Info;
  }
  std::optional<endpoint_info> Info = endpoint_info{1, "10.0.0.1:80", false};
};

class counting_listener final : public crash_guard_listener {
public:
  void onEndpointDied(const endpoint_start &, int BrokenCalls,
                      std::size_t Parts) override {
    ++Died;
    LastBrokenCalls = BrokenCalls;
    LastParts = Parts;
  }
  void onPartRefused(const relay::call &,
                     const part_refusal &Refusal) override {
    ++Refused;
    LastRefusal = Refusal;
  }
  int Died = 0;
  int LastBrokenCalls = 0;
  std::size_t LastParts = 0;
  int Refused = 0;
  part_refusal LastRefusal;
};

struct guard_fixture {
  relay::call callOf(std::vector<std::uint64_t> Shared) const {
    relay::call Call;
    Call.Prompt = promptOf(std::move(Shared));
    return Call;
  }
  // Sends a call that breaks after AfterMs.
  void breakCall(const relay::call &Call, time_ms Now, time_ms FirstByteAt = -1,
                 attempt_outcome Outcome = attempt_outcome::Broken) {
    Guard.onSent(Call, "e1", Now);
    if (FirstByteAt >= 0)
      Guard.onFirstByte(Call, "e1", FirstByteAt);
    Guard.onEnded(Call, "e1", Outcome, Now + 5'000);
  }
  // Three crashes of different starts of an endpoint.
  void quarantineBadPart(time_ms Now) {
    const relay::call Call = callOf({BadPart});
    for (int I = 0; I < 3; ++I) {
      Lookup.Info->StartedAt = 100 + I;
      breakCall(Call, Now);
      Prober.finish(true, Now + 5'000);
    }
  }

  fixed_placement Inner;
  part_quarantine Quarantine{"r1"};
  fake_prober Prober;
  fake_lookup Lookup;
  counting_listener Listener;
  crash_guard Guard{Inner, Quarantine, Prober, Lookup, Listener};
};

} // namespace

//---------------------------------------------------------------------------
// part_quarantine
//---------------------------------------------------------------------------

// Guards against a poisonous part that is never refused, or refused too early.
TEST_CASE("a part is quarantined after crashes of three endpoint starts",
          "[quarantine]") {
  part_quarantine Quarantine("r1");
  addOwnCrashes(Quarantine, 0, 2, 0);
  CHECK_FALSE(isRefused(Quarantine, 0));
  addOwnCrashes(Quarantine, 2, 1, 0);
  CHECK(isRefused(Quarantine, 0));
  CHECK(Quarantine.quarantinedParts().size() == 1);
}

// Guards against one crash that several instances report counting repeatedly.
TEST_CASE("the same endpoint start counts once", "[quarantine]") {
  part_quarantine Quarantine("r1");
  addOwnCrashes(Quarantine, 1, 1, 0);
  addOwnCrashes(Quarantine, 1, 1, 10);
  Quarantine.onReport("r2", reportOf({1}, BadPart), 0);
  Quarantine.onReport("r3", reportOf({1}, BadPart), 0);
  CHECK_FALSE(isRefused(Quarantine, 10));
  Quarantine.onReport("r3", reportOf({1, 2, 3}, BadPart), 20);
  CHECK(isRefused(Quarantine, 20));
}

// Guards against one wrong instance that shuts out parts at all others.
TEST_CASE("the reports of one other instance do not suffice", "[quarantine]") {
  part_quarantine Quarantine("r1");
  Quarantine.onReport("r2", reportOf({1, 2, 3, 4, 5, 6}, BadPart), 0);
  CHECK_FALSE(isRefused(Quarantine, 0));
  Quarantine.onReport("r3", reportOf({7}, BadPart), 0);
  CHECK(isRefused(Quarantine, 0));
}

// Guards against an own report that comes back and counts as a second witness.
TEST_CASE("a report under the own name is ignored", "[quarantine]") {
  part_quarantine Quarantine("r1");
  Quarantine.onReport("r1", reportOf({1, 2, 3}, BadPart), 0);
  CHECK_FALSE(isRefused(Quarantine, 0));
  CHECK(Quarantine.mayRetry(promptOf({BadPart}), 0));
}

// Guards against refusing a request for its own last part.
TEST_CASE("the last part of a prompt is never quarantined", "[quarantine]") {
  part_quarantine Quarantine("r1");
  addOwnCrashes(Quarantine, 0, 3, 0);
  const relay::prompt_part Last[] = {{FirstPart, 1}, {BadPart, 1}};
  CHECK_FALSE(Quarantine.refusal(Last, 0));
  CHECK_FALSE(Quarantine.refusal(std::span(Last).subspan(1), 0));
  CHECK_FALSE(Quarantine.refusal({}, 0));
}

// Guards against quarantining a part in use that was in flight at a crash.
TEST_CASE("a part that was completed lately is no candidate", "[quarantine]") {
  part_quarantine Quarantine("r1");
  Quarantine.onResponseCompleted(promptOf({BadPart}), 0);
  addOwnCrashes(Quarantine, 0, 5, SoundMemoryMs - 1);
  CHECK_FALSE(isRefused(Quarantine, SoundMemoryMs - 1));
  CHECK_FALSE(Quarantine.takeReport(SoundMemoryMs - 1));
  addOwnCrashes(Quarantine, 5, 3, SoundMemoryMs);
  CHECK(isRefused(Quarantine, SoundMemoryMs));
}

// Guards against a part that stays refused although its requests complete.
TEST_CASE("a completion discards the crashes known so far", "[quarantine]") {
  part_quarantine Quarantine("r1");
  addOwnCrashes(Quarantine, 0, 3, 0);
  Quarantine.onResponseCompleted(promptOf({BadPart}), 10);
  CHECK_FALSE(isRefused(Quarantine, 10));
  CHECK(Quarantine.mayRetry(promptOf({BadPart}), 10));
  const std::optional<crash_report> Report = Quarantine.takeReport(10);
  REQUIRE(Report);
  CHECK(Report->Crashes.empty());
  CHECK(Report->SoundParts == std::vector<sound_part>{{BadPart, 1}});
}

// Guards against a part in use that only other instances see complete.
TEST_CASE("an announcement of a sound part clears it at every instance",
          "[quarantine]") {
  part_quarantine User("r1");
  part_quarantine Other("r2");
  User.onResponseCompleted(promptOf({BadPart}), 0);
  addOwnCrashes(Other, 0, 3, 0);
  CHECK(isRefused(Other, 0));
  User.onReport("r2", *Other.takeReport(0), 1'000);
  const std::optional<crash_report> Announcement = User.takeReport(1'000);
  REQUIRE(Announcement);
  Other.onReport("r1", *Announcement, 2'000);
  CHECK_FALSE(isRefused(Other, 2'000));
  // New crashes count anew; the old announcement does not discard them.
  addOwnCrashes(Other, 10, 3, 3'000);
  Other.onReport("r1", *Announcement, 3'000);
  CHECK(isRefused(Other, 3'000));
}

// Guards against discarded crashes that return with the next report.
TEST_CASE("a repeated report adds no crash that was discarded",
          "[quarantine]") {
  part_quarantine Quarantine("r1");
  Quarantine.onReport("r2", reportOf({1, 2}, BadPart), 0);
  Quarantine.onReport("r3", reportOf({3}, BadPart), 0);
  CHECK(isRefused(Quarantine, 0));
  Quarantine.onResponseCompleted(promptOf({BadPart}), 0);
  const time_ms Later = 2 * SoundMemoryMs;
  Quarantine.onReport("r2", reportOf({1, 2}, BadPart), Later);
  Quarantine.onReport("r3", reportOf({3, 4}, BadPart), Later);
  CHECK_FALSE(isRefused(Quarantine, Later));
}

// Guards against crashes hours apart that add up to a quarantine.
TEST_CASE("crashes are forgotten", "[quarantine]") {
  part_quarantine Quarantine("r1");
  addOwnCrashes(Quarantine, 0, 2, 0);
  CHECK(Quarantine.takeReport(0)->Crashes.size() == 2);
  CHECK(Quarantine.takeReport(CrashMemoryMs + 1)->Crashes.empty());
  addOwnCrashes(Quarantine, 2, 1, CrashMemoryMs + 1);
  CHECK_FALSE(isRefused(Quarantine, CrashMemoryMs + 1));
}

// Guards against all instances testing a bad part at the same time.
TEST_CASE("the reporter of the newest crash releases the part first",
          "[quarantine]") {
  part_quarantine First("r1");
  part_quarantine Other("r2");
  addOwnCrashes(First, 0, 3, 0);
  Other.onReport("r1", *First.takeReport(0), 0);
  Other.onReport("r0", reportOf({0}, BadPart), 0);
  CHECK(isRefused(First, QuarantineMs - 1));
  CHECK_FALSE(isRefused(First, QuarantineMs));
  CHECK(isRefused(Other, QuarantineMs + OtherInstancesDelayMs - 1));
  CHECK_FALSE(isRefused(Other, QuarantineMs + 2 * OtherInstancesDelayMs));
}

// Guards against a burst of requests at the release of a part that is still
// bad, and against a trial that blocks the part forever.
TEST_CASE("one request at a time tests a released part", "[quarantine]") {
  part_quarantine Quarantine("r1");
  const std::vector<relay::prompt_part> Prompt = promptOf({BadPart});
  addOwnCrashes(Quarantine, 0, 3, 0);
  const std::vector<std::uint64_t> Trials =
      Quarantine.beginTrials(Prompt, QuarantineMs);
  CHECK(isRefused(Quarantine, QuarantineMs));
  Quarantine.endTrials(Trials);
  CHECK_FALSE(isRefused(Quarantine, QuarantineMs));
  CHECK_FALSE(Quarantine.mayRetry(Prompt, QuarantineMs));
  Quarantine.onResponseCompleted(Prompt, QuarantineMs);
  CHECK_FALSE(isRefused(Quarantine, QuarantineMs));
  CHECK(Quarantine.mayRetry(Prompt, QuarantineMs));
}

// Guards against three more crashes after each release.
TEST_CASE("one crash after a release quarantines the part for twice the time",
          "[quarantine]") {
  part_quarantine Quarantine("r1");
  addOwnCrashes(Quarantine, 0, 3, 0);
  time_ms Now = QuarantineMs;
  addOwnCrashes(Quarantine, 3, 1, Now);
  CHECK(isRefused(Quarantine, Now + 2 * QuarantineMs - 1));
  Now += 2 * QuarantineMs;
  CHECK_FALSE(isRefused(Quarantine, Now));
  addOwnCrashes(Quarantine, 4, 1, Now);
  CHECK(isRefused(Quarantine, Now + MaxQuarantineMs - 1));
  Now += MaxQuarantineMs;
  CHECK_FALSE(isRefused(Quarantine, Now));
  // Still so at the end of the longest quarantine, for crashes of others too.
  Quarantine.onReport("r2", reportOf({5}, BadPart), Now + CrashMemoryMs);
  CHECK(isRefused(Quarantine, Now + CrashMemoryMs));
}

// Guards against an instance that starts during a quarantine and does not know
// of it.
TEST_CASE("the own report keeps the crashes of a part in quarantine",
          "[quarantine]") {
  part_quarantine Quarantine("r1");
  addOwnCrashes(Quarantine, 0, 3, 0);
  addOwnCrashes(Quarantine, 3, 1, QuarantineMs);
  CHECK(Quarantine.takeReport(CrashMemoryMs + 1)->Crashes.size() == 4);
}

// Guards against a second endpoint for a request that crashed the first one.
TEST_CASE("a suspected part is not retried", "[quarantine]") {
  part_quarantine Quarantine("r1");
  CHECK(Quarantine.mayRetry(promptOf({BadPart}), 0));
  Quarantine.onReport("r2", reportOf({1}, BadPart), 0);
  CHECK_FALSE(Quarantine.mayRetry(promptOf({BadPart}), 0));
  CHECK(Quarantine.mayRetry(promptOf({FirstPart}), 0));
}

// Guards against unbounded reports and memory.
TEST_CASE("reports and remembered completions are bounded", "[quarantine]") {
  part_quarantine Quarantine("r1");
  std::vector<std::uint64_t> Parts;
  for (std::uint64_t Part = 100; Part < 300; ++Part)
    Parts.push_back(Part);
  for (int I = 0; I < 40; ++I)
    Quarantine.onEndpointDied(startOf(I), Parts, 0);
  const std::optional<crash_report> Report = Quarantine.takeReport(0);
  REQUIRE(Report);
  CHECK(Report->Crashes.size() == MaxReportedCrashes);
  CHECK(Report->Crashes.back().Endpoint == startOf(39));
  CHECK(Report->Crashes.back().Parts.size() == MaxPartsPerCrash);
  CHECK(decodeReport(encode(*Report)) == Report);

  part_quarantine Busy("r2");
  for (std::uint64_t Part = 0; Part <= MaxSoundMemory; ++Part)
    Busy.onResponseCompleted(promptOf({Part}), 0);
  const std::uint64_t Forgotten[] = {0};
  const std::uint64_t Remembered[] = {1};
  Busy.onEndpointDied(startOf(1), Remembered, 0);
  CHECK_FALSE(Busy.takeReport(0));
  Busy.onEndpointDied(startOf(1), Forgotten, 0);
  CHECK(Busy.takeReport(0));
}

// Guards against damaged or foreign bytes that end the process or pass.
TEST_CASE("bytes that are not a report are refused", "[quarantine]") {
  crash_report Report = reportOf({1, 2}, BadPart);
  Report.SoundParts.push_back({5, 7});
  const std::string Bytes = encode(Report);
  CHECK(decodeReport(Bytes) == Report);
  CHECK_FALSE(decodeReport(""));
  CHECK_FALSE(decodeReport(Bytes.substr(0, Bytes.size() - 1)));
  Report.Crashes[0].Parts.assign(MaxPartsPerCrash + 1, 1);
  CHECK_FALSE(decodeReport(encode(Report)));
  CHECK_FALSE(decodeReport(std::string(1 << 20, '\x93')));
  CHECK(rc::check("random bytes",
                  [](const std::string &Random) { decodeReport(Random); }));
  CHECK(rc::check("damaged reports", [&Bytes](std::uint8_t At, char Byte) {
    std::string Damaged = Bytes;
    Damaged[At % Damaged.size()] = Byte;
    decodeReport(Damaged);
  }));
}

//---------------------------------------------------------------------------
// crash_guard
//---------------------------------------------------------------------------

// Guards against a quarantine that no call notices.
TEST_CASE("a call with a quarantined part is refused", "[quarantine]") {
  guard_fixture Fixture;
  Fixture.quarantineBadPart(0);
  const relay::call Call = Fixture.callOf({FirstPart, BadPart});
  const std::optional<relay::placement_refusal> Refusal =
      Fixture.Guard.admit(Call, 5'000);
  REQUIRE(Refusal);
  CHECK(Refusal->Kind == relay::error_kind::PromptQuarantined);
  CHECK(Refusal->RetryAfterMs == QuarantineMs);
  CHECK(Fixture.Listener.LastRefusal.Part == BadPart);
  CHECK_FALSE(Fixture.Guard.choose(Call, {}, 5'000));
  CHECK(Fixture.Guard.refusal(Call).Kind ==
        relay::error_kind::PromptQuarantined);
  const relay::call Sound = Fixture.callOf({FirstPart, 2});
  CHECK_FALSE(Fixture.Guard.admit(Sound, 5'000));
  CHECK(Fixture.Guard.choose(Sound, {}, 5'000));
}

// Guards against resets, timeouts and releases that count as crashes.
TEST_CASE("only an endpoint that died unexpectedly counts", "[quarantine]") {
  guard_fixture Fixture;
  const relay::call Call = Fixture.callOf({BadPart});
  Fixture.breakCall(Call, 0);
  Fixture.Prober.finish(false, 5'000); // Reset or unknown.
  CHECK(Fixture.Listener.Died == 0);
  Fixture.breakCall(Call, 0, -1, attempt_outcome::Cancelled);
  Fixture.breakCall(Call, 0, -1, attempt_outcome::Failed);
  Fixture.breakCall(Call, 0, -1, attempt_outcome::Unreached);
  CHECK(Fixture.Prober.Handlers.empty());
  Fixture.breakCall(Call, 0);
  Fixture.Lookup.Info->Leaving = true;
  Fixture.Prober.finish(true, 5'000);
  CHECK(Fixture.Listener.Died == 0);
  Fixture.Lookup.Info->Leaving = false;
  Fixture.breakCall(Call, 0);
  Fixture.Lookup.Info.reset(); // Left without an announcement.
  Fixture.Prober.finish(true, 5'000);
  CHECK(Fixture.Listener.Died == 0);
}

// Guards against blaming parts of responses that had run for long.
TEST_CASE("only an attempt that has just begun may be the cause",
          "[quarantine]") {
  guard_fixture Fixture;
  const relay::call Old = Fixture.callOf({2});
  const relay::call Begun = Fixture.callOf({3});
  const relay::call Waiting = Fixture.callOf({4});
  Fixture.breakCall(Old, 0, 2'999); // Ends at 5'000.
  CHECK(Fixture.Prober.Handlers.empty());
  Fixture.breakCall(Begun, 0, 3'000);
  Fixture.breakCall(Waiting, 0);
  CHECK(Fixture.Prober.Handlers.size() == 1); // One probe per endpoint.
  Fixture.Prober.finish(true, 5'000);
  CHECK(Fixture.Listener.LastBrokenCalls == 2);
  CHECK(Fixture.Listener.LastParts == 2);
  CHECK(Fixture.Quarantine.mayRetry(Old.Prompt, 5'000));
  CHECK_FALSE(Fixture.Quarantine.mayRetry(Begun.Prompt, 5'000));
  CHECK_FALSE(Fixture.Quarantine.mayRetry(Waiting.Prompt, 5'000));
  CHECK_FALSE(Fixture.Guard.choose(Waiting, {"e1"}, 5'000));
  CHECK(Fixture.Guard.choose(Waiting, {}, 5'000));
}

// Guards against a second trial before the crash by the first one is known.
TEST_CASE("a trial lasts until the endpoint has been probed", "[quarantine]") {
  guard_fixture Fixture;
  Fixture.quarantineBadPart(0);
  const time_ms Released = QuarantineMs + 5'000;
  const relay::call Trial = Fixture.callOf({BadPart});
  const relay::call Next = Fixture.callOf({BadPart});
  CHECK_FALSE(Fixture.Guard.admit(Trial, Released));
  Fixture.Lookup.Info->StartedAt = 500;
  Fixture.breakCall(Trial, Released);
  CHECK(Fixture.Guard.admit(Next, Released + 5'000));
  Fixture.Prober.finish(true, Released + 5'010);
  CHECK(Fixture.Guard.admit(Next, Released + 5'010)->RetryAfterMs >
        QuarantineMs);
}

// Guards against a part that stays on trial after a good response.
TEST_CASE("a complete response ends the trial", "[quarantine]") {
  guard_fixture Fixture;
  Fixture.quarantineBadPart(0);
  const time_ms Released = QuarantineMs + 5'000;
  const relay::call Call = Fixture.callOf({BadPart});
  Fixture.Guard.onSent(Call, "e1", Released);
  CHECK(Fixture.Guard.admit(Fixture.callOf({BadPart}), Released));
  Fixture.Guard.onEnded(Call, "e1", attempt_outcome::Good, Released + 10);
  CHECK_FALSE(Fixture.Guard.admit(Call, Released + 10));
  CHECK(Fixture.Quarantine.quarantinedParts().empty());
}
