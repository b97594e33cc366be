// Attribution of crashes to prompt parts, their quarantine and its release.
#include "fakes.hpp"

#include "tamarack/quarantine.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <iostream>
#include <queue>
#include <rapidcheck.h>

using namespace tamarack;
using namespace tamarack::quarantine;
using relay::attempt_outcome;

namespace {

constexpr std::uint64_t BadPart = 666;
constexpr std::uint64_t FirstPart = 1;
constexpr std::uint64_t BadFingerprint = 777;

std::vector<relay::prompt_part> promptOf(std::vector<std::uint64_t> Shared) {
  std::vector<relay::prompt_part> Prompt;
  for (const std::uint64_t Id : Shared)
    Prompt.push_back({Id, 100});
  Prompt.push_back({999'999, 100}); // The last part is never shared.
  return Prompt;
}

cause partOf(std::uint64_t Id) { return {cause_kind::PromptPart, Id}; }

std::vector<cause> causesOf(const std::vector<std::uint64_t> &Parts) {
  std::vector<cause> Causes;
  for (const std::uint64_t Part : Parts)
    Causes.push_back(partOf(Part));
  return Causes;
}

endpoint_start startOf(int Number) {
  return {"e" + std::to_string(Number), 1'000 + Number};
}

crash_report reportOf(std::vector<int> Starts, std::uint64_t Part) {
  crash_report Report;
  for (const int Start : Starts)
    Report.Crashes.push_back({startOf(Start), {partOf(Part)}});
  return Report;
}

void addOwnCrashes(crash_quarantine &Quarantine, int From, int Count,
                   time_ms Now) {
  const cause Causes[] = {partOf(BadPart)};
  for (int I = From; I < From + Count; ++I)
    Quarantine.onEndpointDied(startOf(I), Causes, Now);
}

bool isRefused(const crash_quarantine &Quarantine, time_ms Now,
               std::uint64_t Part = BadPart) {
  return Quarantine.refusal(causesOf({FirstPart, Part}), Now).has_value();
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
  void probe(std::string_view, int, handler Handler) override {
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
                      std::span<const cause> Candidates) override {
    ++Died;
    LastBrokenCalls = BrokenCalls;
    LastParts = Candidates.size();
  }
  void onCallRefused(const relay::call &,
                     const quarantine_refusal &Refusal) override {
    ++Refused;
    LastRefusal = Refusal;
  }
  int Died = 0;
  int LastBrokenCalls = 0;
  std::size_t LastParts = 0;
  int Refused = 0;
  quarantine_refusal LastRefusal;
};

// Sends nothing.
class silent_host final : public relay::exchange_host {
public:
  void startAttempt(const relay::endpoint_choice &,
                    const relay::send_options &) override {}
  void cancelAttempt() override {}
  void beginResponse(const relay::response_head &) override {}
  void forwardEvents(std::string_view) override {}
  void endResponse() override {}
  void sendCompleteResponse(const relay::response_head &,
                            std::string) override {}
  void abortResponse() override {}
  void refuse(relay::error_kind, int) override {}
};

class no_budget final : public relay::token_budget {
public:
  relay::reserve_result reserve(const relay::call &) override {
    return relay::reserve_result::Reserved;
  }
  bool settle(const relay::call &, std::int64_t) override { return true; }
};

struct guard_fixture {
  relay::call callOf(std::vector<std::uint64_t> Shared) const {
    relay::call Call;
    Call.Prompt = promptOf(std::move(Shared));
    Call.Deadline = std::numeric_limits<time_ms>::max() / 2;
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
  // Runs a call whose endpoint responds with this head and a body.
  void answer(const relay::call &Call, const relay::response_head &Head,
              time_ms Now) {
    silent_host Host;
    no_budget Budget;
    relay::numbered_event_reader Reader;
    memory::memory_budget Memory(1u << 20);
    relay::no_stream_origins Origins;
    relay::exchange Exchange(Call, Guard, Budget, Origins, Reader, Host,
                             Memory);
    Exchange.start(Now);
    Exchange.onHead(Head, Now);
    Exchange.onBody("body", Now);
    Exchange.onEnd(Now);
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
  crash_quarantine Quarantine{"r1"};
  fake_prober Prober;
  fake_lookup Lookup;
  counting_listener Listener;
  crash_guard Guard{Inner, Quarantine, Prober, Lookup, Listener};
};

} // namespace

//---------------------------------------------------------------------------
// crash_quarantine
//---------------------------------------------------------------------------

// Guards against a poisonous part that is never refused, or refused too early.
TEST_CASE("a part is quarantined after crashes of three endpoint starts",
          "[quarantine]") {
  crash_quarantine Quarantine("r1");
  addOwnCrashes(Quarantine, 0, 2, 0);
  CHECK_FALSE(isRefused(Quarantine, 0));
  addOwnCrashes(Quarantine, 2, 1, 0);
  CHECK(isRefused(Quarantine, 0));
  CHECK(Quarantine.quarantinedCauses().size() == 1);
}

// Guards against one crash that several instances report counting repeatedly.
TEST_CASE("the same endpoint start counts once", "[quarantine]") {
  crash_quarantine Quarantine("r1");
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
  crash_quarantine Quarantine("r1");
  Quarantine.onReport("r2", reportOf({1, 2, 3, 4, 5, 6}, BadPart), 0);
  CHECK_FALSE(isRefused(Quarantine, 0));
  Quarantine.onReport("r3", reportOf({7}, BadPart), 0);
  CHECK(isRefused(Quarantine, 0));
}

// Guards against an instance that starts and refuses what was mended long ago,
// because of the report of an instance that is gone.
TEST_CASE("an old report counts for a time unless it is repeated",
          "[quarantine]") {
  const crash_report Report = reportOf({1, 2, 3}, BadPart);
  const auto Refuses = [](crash_quarantine &Quarantine, time_ms Now) {
    Quarantine.takeReport(Now);
    return isRefused(Quarantine, Now);
  };
  crash_quarantine Quarantine("r1");
  Quarantine.onReport("r2", Report, 0, false);
  Quarantine.onReport("r3", reportOf({3, 4}, BadPart), 0, false);
  CHECK(Refuses(Quarantine, OldReportMemoryMs - 1));
  SECTION("none is repeated") {
    CHECK_FALSE(Refuses(Quarantine, OldReportMemoryMs));
    CHECK(Quarantine.mayRetry(causesOf({BadPart}), OldReportMemoryMs));
    Quarantine.onReport("r2", Report, OldReportMemoryMs);
    Quarantine.onReport("r3", reportOf({4}, BadPart), OldReportMemoryMs);
    CHECK(Refuses(Quarantine, OldReportMemoryMs));
  }
  SECTION("both are repeated") {
    Quarantine.onReport("r2", Report, ReportRepeatMs);
    Quarantine.onReport("r3", reportOf({3, 4}, BadPart), ReportRepeatMs);
    CHECK(Refuses(Quarantine, OldReportMemoryMs));
    // A snapshot that is read later holds the same reports.
    Quarantine.onReport("r2", Report, OldReportMemoryMs, false);
    CHECK(Refuses(Quarantine, 2 * OldReportMemoryMs));
  }
  SECTION("one of them is repeated, which is not enough") {
    Quarantine.onReport("r2", Report, ReportRepeatMs);
    CHECK_FALSE(Refuses(Quarantine, OldReportMemoryMs));
  }
}

// Guards against a sound request that died beside a bad one and is refused as
// long as that, and against early tests of one that is surely bad.
TEST_CASE("a cause is tested early if another one explains its crashes",
          "[quarantine]") {
  const cause Bad{cause_kind::Request, BadFingerprint};
  const cause Beside{cause_kind::Request, 5};
  crash_quarantine Quarantine("r1");
  const auto Refuses = [&Quarantine](const cause &Cause, time_ms Now) {
    return Quarantine.refusal(std::span(&Cause, 1), Now).has_value();
  };
  const cause Both[] = {Bad, Beside};
  for (int I = 0; I < 3; ++I)
    Quarantine.onEndpointDied(startOf(I), Both, 0);
  CHECK(Refuses(Bad, EarlyTrialMs - 1));
  CHECK(Refuses(Beside, EarlyTrialMs - 1));
  CHECK_FALSE(Refuses(Bad, EarlyTrialMs));
  CHECK_FALSE(Refuses(Beside, EarlyTrialMs));
  // The test of the bad one ends in a crash: now it alone explains the most.
  Quarantine.onEndpointDied(startOf(3), std::span(&Bad, 1), EarlyTrialMs);
  CHECK(Refuses(Bad, EarlyTrialMs + QuarantineMs - 1));
  CHECK_FALSE(Refuses(Beside, EarlyTrialMs));
}

// Guards against one more crash at each instance that a request reaches whose
// crashes one instance has seen.
TEST_CASE("the reports of one other instance suffice for a request",
          "[quarantine]") {
  crash_quarantine Quarantine("r1");
  const cause Request{cause_kind::Request, BadFingerprint};
  crash_report Report;
  for (const int Start : {1, 2, 3})
    Report.Crashes.push_back({startOf(Start), {Request}});
  Quarantine.onReport("r2", Report, 0);
  CHECK(Quarantine.refusal(std::span(&Request, 1), 0));
}

// Guards against an own report that comes back and counts as a second witness.
TEST_CASE("a report under the own name is ignored", "[quarantine]") {
  crash_quarantine Quarantine("r1");
  Quarantine.onReport("r1", reportOf({1, 2, 3}, BadPart), 0);
  CHECK_FALSE(isRefused(Quarantine, 0));
  CHECK(Quarantine.mayRetry(causesOf({BadPart}), 0));
}

// Guards against refusing a request for its own last part.
TEST_CASE("the last part of a prompt is never quarantined", "[quarantine]") {
  crash_quarantine Quarantine("r1");
  addOwnCrashes(Quarantine, 0, 3, 0);
  relay::call Call;
  CHECK_FALSE(Quarantine.refusal(quarantine::causesOf(Call), 0));
  Call.Prompt = {{BadPart, 1}};
  CHECK_FALSE(Quarantine.refusal(quarantine::causesOf(Call), 0));
  Call.Prompt = {{FirstPart, 1}, {BadPart, 1}};
  CHECK_FALSE(Quarantine.refusal(quarantine::causesOf(Call), 0));
}

// Guards against quarantining a part in use that was in flight at a crash.
TEST_CASE("a part that was completed lately is no candidate", "[quarantine]") {
  crash_quarantine Quarantine("r1");
  Quarantine.onResponseCompleted(causesOf({BadPart}), 0);
  addOwnCrashes(Quarantine, 0, 5, SoundMemoryMs - 1);
  CHECK_FALSE(isRefused(Quarantine, SoundMemoryMs - 1));
  CHECK_FALSE(Quarantine.takeReport(SoundMemoryMs - 1));
  addOwnCrashes(Quarantine, 5, 3, SoundMemoryMs);
  CHECK(isRefused(Quarantine, SoundMemoryMs));
}

// Guards against a part that stays refused although its requests complete.
TEST_CASE("a completion discards the crashes known so far", "[quarantine]") {
  crash_quarantine Quarantine("r1");
  addOwnCrashes(Quarantine, 0, 3, 0);
  Quarantine.onResponseCompleted(causesOf({BadPart}), 10);
  CHECK_FALSE(isRefused(Quarantine, 10));
  CHECK(Quarantine.mayRetry(causesOf({BadPart}), 10));
  const std::optional<crash_report> Report = Quarantine.takeReport(10);
  REQUIRE(Report);
  CHECK(Report->Crashes.empty());
  CHECK(Report->SoundCauses == std::vector<sound_cause>{{partOf(BadPart), 1}});
}

// Guards against a part in use that only other instances see complete.
TEST_CASE("an announcement of a sound part clears it at every instance",
          "[quarantine]") {
  crash_quarantine User("r1");
  crash_quarantine Other("r2");
  User.onResponseCompleted(causesOf({BadPart}), 0);
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
  crash_quarantine Quarantine("r1");
  Quarantine.onReport("r2", reportOf({1, 2}, BadPart), 0);
  Quarantine.onReport("r3", reportOf({3}, BadPart), 0);
  CHECK(isRefused(Quarantine, 0));
  Quarantine.onResponseCompleted(causesOf({BadPart}), 0);
  const time_ms Later = 2 * SoundMemoryMs;
  Quarantine.onReport("r2", reportOf({1, 2}, BadPart), Later);
  Quarantine.onReport("r3", reportOf({3, 4}, BadPart), Later);
  CHECK_FALSE(isRefused(Quarantine, Later));
}

// Guards against crashes hours apart that add up to a quarantine.
TEST_CASE("crashes are forgotten", "[quarantine]") {
  crash_quarantine Quarantine("r1");
  addOwnCrashes(Quarantine, 0, 2, 0);
  CHECK(Quarantine.takeReport(0)->Crashes.size() == 2);
  CHECK(Quarantine.takeReport(CrashMemoryMs + 1)->Crashes.empty());
  addOwnCrashes(Quarantine, 2, 1, CrashMemoryMs + 1);
  CHECK_FALSE(isRefused(Quarantine, CrashMemoryMs + 1));
}

// Guards against all instances testing a bad part at the same time.
TEST_CASE("one of the reporters releases the part first", "[quarantine]") {
  crash_quarantine First("r1");
  crash_quarantine Other("r2");
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
  crash_quarantine Quarantine("r1");
  const std::vector<cause> Causes = causesOf({BadPart});
  addOwnCrashes(Quarantine, 0, 3, 0);
  const std::vector<cause> Trials =
      Quarantine.beginTrials(Causes, QuarantineMs);
  CHECK(isRefused(Quarantine, QuarantineMs));
  Quarantine.endTrials(Trials);
  CHECK_FALSE(isRefused(Quarantine, QuarantineMs));
  CHECK_FALSE(Quarantine.mayRetry(Causes, QuarantineMs));
  Quarantine.onResponseCompleted(Causes, QuarantineMs);
  CHECK_FALSE(isRefused(Quarantine, QuarantineMs));
  CHECK(Quarantine.mayRetry(Causes, QuarantineMs));
}

// Guards against three more crashes after each release.
TEST_CASE("one crash after a release quarantines the part for twice the time",
          "[quarantine]") {
  crash_quarantine Quarantine("r1");
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
  crash_quarantine Quarantine("r1");
  addOwnCrashes(Quarantine, 0, 3, 0);
  addOwnCrashes(Quarantine, 3, 1, QuarantineMs);
  CHECK(Quarantine.takeReport(CrashMemoryMs + 1)->Crashes.size() == 4);
}

// Guards against a second endpoint for a request that crashed the first one.
TEST_CASE("a suspected part is not retried", "[quarantine]") {
  crash_quarantine Quarantine("r1");
  CHECK(Quarantine.mayRetry(causesOf({BadPart}), 0));
  Quarantine.onReport("r2", reportOf({1}, BadPart), 0);
  CHECK_FALSE(Quarantine.mayRetry(causesOf({BadPart}), 0));
  CHECK(Quarantine.mayRetry(causesOf({FirstPart}), 0));
}

// Guards against unbounded reports and memory.
TEST_CASE("reports and remembered completions are bounded", "[quarantine]") {
  crash_quarantine Quarantine("r1");
  std::vector<cause> Causes;
  for (std::uint64_t Part = 100; Part < 300; ++Part)
    Causes.push_back(partOf(Part));
  for (int I = 0; I < 40; ++I)
    Quarantine.onEndpointDied(startOf(I), Causes, 0);
  const std::optional<crash_report> Report = Quarantine.takeReport(0);
  REQUIRE(Report);
  CHECK(Report->Crashes.size() == MaxReportedCrashes);
  CHECK(Report->Crashes.back().Endpoint == startOf(39));
  CHECK(Report->Crashes.back().Causes.size() == MaxCausesPerCrash);
  CHECK(decodeReport(encode(*Report)) == Report);

  crash_quarantine Busy("r2");
  for (std::uint64_t Part = 0; Part <= MaxSoundMemory; ++Part)
    Busy.onResponseCompleted(causesOf({Part}), 0);
  const cause Forgotten[] = {partOf(0)};
  const cause Remembered[] = {partOf(1)};
  Busy.onEndpointDied(startOf(1), Remembered, 0);
  CHECK_FALSE(Busy.takeReport(0));
  Busy.onEndpointDied(startOf(1), Forgotten, 0);
  CHECK(Busy.takeReport(0));
}

// Guards against a caller that makes an instance forget to report a quarantine,
// by many crashes of other causes.
TEST_CASE("later crashes don't push a quarantine out of the own report",
          "[quarantine]") {
  crash_quarantine Quarantine("r1");
  addOwnCrashes(Quarantine, 0, 3, 0);
  for (int I = 0; I < 2 * int(MaxReportedCrashes); ++I) {
    const cause Other[] = {partOf(1'000 + static_cast<std::uint64_t>(I))};
    Quarantine.onEndpointDied(startOf(100 + I), Other, 10);
  }
  const std::optional<crash_report> Report = Quarantine.takeReport(10);
  REQUIRE(Report);
  CHECK(Report->Crashes.size() == MaxReportedCrashes);
  CHECK(std::ranges::count_if(Report->Crashes, [](const crash &Crash) {
          return Crash.Causes.front() == partOf(BadPart);
        }) == CrashesToQuarantine);
}

// Guards against reports that keep the one thread of an instance busy for many
// seconds when endpoints crash all over a large fleet.
TEST_CASE("full reports of a large fleet are taken in little time",
          "[quarantine]") {
  constexpr int Instances = 86;
  constexpr std::chrono::seconds Bound(3);
  crash_quarantine Quarantine("r1");
  const auto StartedAt = std::chrono::steady_clock::now();
  std::uint64_t LastId = 0;
  for (int Instance = 0; Instance < Instances; ++Instance) {
    crash_report Report;
    for (std::size_t I = 0; I < MaxReportedCrashes; ++I) {
      Report.Crashes.push_back({startOf(Instance * 100 + int(I)), {}});
      while (Report.Crashes.back().Causes.size() < MaxCausesPerCrash)
        Report.Crashes.back().Causes.push_back(partOf(++LastId));
    }
    const std::string Reporter = "other" + std::to_string(Instance);
    Quarantine.onReport(Reporter, Report, 0);
    Report.Crashes.pop_back(); // The next report repeats most of it.
    Quarantine.onReport(Reporter, Report, 10);
  }
  CHECK(std::chrono::steady_clock::now() - StartedAt < Bound);
}

// Guards against damaged or foreign bytes that end the process or pass.
TEST_CASE("bytes that are not a report are refused", "[quarantine]") {
  crash_report Report = reportOf({1, 2}, BadPart);
  Report.SoundCauses.push_back({partOf(5), 7});
  Report.SoundCauses.push_back({{cause_kind::Request, 5}, 8});
  Report.Crashes[1].Causes.insert(Report.Crashes[1].Causes.begin(),
                                  {cause_kind::Request, 9});
  const std::string Bytes = encode(Report);
  CHECK(decodeReport(Bytes) == Report);
  CHECK_FALSE(decodeReport(""));
  CHECK_FALSE(decodeReport(Bytes.substr(0, Bytes.size() - 1)));
  Report.Crashes[0].Causes.assign(MaxCausesPerCrash + 1, partOf(1));
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
  CHECK(Fixture.Listener.LastRefusal.Cause == partOf(BadPart));
  CHECK_FALSE(Fixture.Guard.choose(Call, {}, 5'000));
  CHECK(Fixture.Guard.refusal(Call).Kind ==
        relay::error_kind::PromptQuarantined);
  const relay::call Sound = Fixture.callOf({FirstPart, 2});
  CHECK_FALSE(Fixture.Guard.admit(Sound, 5'000));
  CHECK(Fixture.Guard.choose(Sound, {}, 5'000));
}

// Guards against a request without a prompt that has no identity, and against
// other requests that are refused with it.
TEST_CASE("a request that crashed endpoints is refused when it comes again",
          "[quarantine]") {
  guard_fixture Fixture;
  relay::call Call = Fixture.callOf({});
  Call.Prompt.clear();
  Call.Fingerprint = BadFingerprint;
  for (int I = 0; I < 3; ++I) {
    CHECK_FALSE(Fixture.Guard.admit(Call, 0));
    Fixture.Lookup.Info->StartedAt = 100 + I;
    Fixture.breakCall(Call, 0);
    Fixture.Prober.finish(true, 5'000);
  }
  const std::optional<relay::placement_refusal> Refusal =
      Fixture.Guard.admit(Call, 5'000);
  REQUIRE(Refusal);
  CHECK(Refusal->Kind == relay::error_kind::RequestQuarantined);
  CHECK(Refusal->RetryAfterMs == QuarantineMs);
  relay::call Other = Call;
  Other.Fingerprint = BadFingerprint + 1;
  CHECK_FALSE(Fixture.Guard.admit(Other, 5'000));
  Other.Fingerprint = 0;
  CHECK_FALSE(Fixture.Guard.admit(Other, 5'000));
}

// Guards against a caller that shuts out or frees the request of another one by
// a prompt part with its fingerprint as the id.
TEST_CASE("a part and a request with the same id are different causes",
          "[quarantine]") {
  crash_quarantine Quarantine("r1");
  const cause Request{cause_kind::Request, BadPart};
  addOwnCrashes(Quarantine, 0, 3, 0);
  CHECK_FALSE(Quarantine.refusal(std::span(&Request, 1), 0));
  Quarantine.onResponseCompleted(std::span(&Request, 1), 0);
  CHECK(isRefused(Quarantine, 0));
}

// Guards against resets, timeouts and releases that count as crashes.
TEST_CASE("only an endpoint that died unexpectedly counts", "[quarantine]") {
  guard_fixture Fixture;
  const relay::call Call = Fixture.callOf({BadPart});
  Fixture.breakCall(Call, 0);
  while (!Fixture.Prober.Handlers.empty())
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

// Guards against a crash that is missed, so that other calls of the endpoint
// are blamed, because its listener was closed after its connections.
TEST_CASE("an endpoint that still accepts at first may have died",
          "[quarantine]") {
  guard_fixture Fixture;
  const relay::call Call = Fixture.callOf({BadPart});
  Fixture.breakCall(Call, 0);
  Fixture.Prober.finish(false, 5'000);
  Fixture.Prober.finish(true, 5'020);
  CHECK(Fixture.Listener.Died == 1);
  Fixture.breakCall(Call, 0);
  for (int Probe = 0; Probe < 4; ++Probe)
    Fixture.Prober.finish(false, 5'000 + Probe);
  CHECK(Fixture.Prober.Handlers.empty());
  CHECK(Fixture.Listener.Died == 1);
}

// Guards against an error, or a crash that looks like an end, that clears the
// part for the whole fleet.
TEST_CASE("only a response that is surely complete proves a part sound",
          "[quarantine]") {
  for (const bool EndsWithConnection : {false, true})
    for (const int Status : {200, 400}) {
      guard_fixture Fixture;
      Fixture.breakCall(Fixture.callOf({BadPart}), 0);
      Fixture.Prober.finish(true, 5'000);
      relay::response_head Head;
      Head.Status = Status;
      Head.EndsWithConnection = EndsWithConnection;
      const relay::call Call = Fixture.callOf({BadPart});
      Fixture.answer(Call, Head, 5'100);
      const bool IsProof = Status == 200 && !EndsWithConnection;
      CHECK(Fixture.Quarantine.mayRetry(quarantine::causesOf(Call), 5'200) ==
            IsProof);
    }
}

// Guards against a request that is refused although it was never sent, because
// its parts were in flight when some other request crashed an endpoint.
TEST_CASE("only a request that broke is kept from a second endpoint",
          "[quarantine]") {
  guard_fixture Fixture;
  const relay::call Call = Fixture.callOf({BadPart});
  Fixture.Quarantine.onReport("r2", reportOf({1}, BadPart), 0);
  for (const attempt_outcome Outcome :
       {attempt_outcome::Unreached, attempt_outcome::Refused,
        attempt_outcome::Misplaced}) {
    Fixture.breakCall(Call, 0, -1, Outcome);
    CHECK(Fixture.Guard.choose(Call, {"e1"}, 5'000));
  }
  Fixture.breakCall(Call, 0);
  CHECK_FALSE(Fixture.Guard.choose(Call, {"e1"}, 5'000));
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
  CHECK(Fixture.Quarantine.mayRetry(quarantine::causesOf(Old), 5'000));
  CHECK_FALSE(Fixture.Quarantine.mayRetry(quarantine::causesOf(Begun), 5'000));
  CHECK_FALSE(
      Fixture.Quarantine.mayRetry(quarantine::causesOf(Waiting), 5'000));
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
  CHECK(Fixture.Quarantine.quarantinedCauses().empty());
}

//---------------------------------------------------------------------------
// Simulation of a fleet
//---------------------------------------------------------------------------

namespace {

struct fleet_settings {
  int Instances = 8;
  int Endpoints = 20;
  double SoundPerSecond = 30;
  double BadPerSecond = 1;
  time_ms BadFrom = 90'000; // First request with BadPart.
  time_ms MendedAt = -1;    // -1: never.
  time_ms EndAt = 800'000;
  bool BadIsRequest = false; // One request that comes again, without BadPart.
  bool Disturbed = true; // Rack deaths, releases, resets and slow endpoints.
};

// What a run has measured.
struct fleet_result {
  std::vector<time_ms> BadSentAt;
  std::vector<time_ms> BadCrashAt;     // Caused by bad requests.
  std::vector<time_ms> BadCompletedAt; // After the fault is mended.
  std::vector<time_ms> BadRefusedAt;   // Because of their cause.
  std::vector<time_ms> SoundAt;
  std::vector<time_ms> SoundRefusedAt;
  int OtherDeaths = 0;         // Of racks and at the end of releases.
  time_ms LongestAfterUse = 0; // Longest quarantine of a sound part after a
                               // request with it was completed.
  int SoundQuarantines = 0;    // Sound parts, summed over instances.

  static int countFrom(const std::vector<time_ms> &Times, time_ms From,
                       time_ms Until = 1'000'000'000) {
    return static_cast<int>(std::ranges::count_if(
        Times, [=](time_ms At) { return At >= From && At < Until; }));
  }
  // The fifth crash. The third one if the part was in quarantine before the
  // fifth: a crash much later is the result of a trial.
  time_ms quarantineDueAt() const {
    const time_ms Third = BadCrashAt[CrashesToQuarantine - 1];
    const bool HasFifth =
        BadCrashAt.size() >= 5 && BadCrashAt[4] < Third + QuarantineMs / 2;
    return HasFifth ? BadCrashAt[4] : Third;
  }
};

// Instances, endpoints and callers, driven by a queue of events.
class fleet_simulation {
public:
  fleet_simulation(const fleet_settings &Settings, std::uint64_t Seed)
      : Settings(Settings), Random(Seed) {
    for (int I = 0; I < Settings.Endpoints; ++I)
      Endpoints.push_back(std::make_unique<endpoint>());
    for (int I = 0; I < Settings.Instances; ++I)
      Instances.push_back(std::make_unique<instance>(*this, I));
  }

  fleet_result run() {
    at(0, [this] { sendSound(); });
    if (Settings.BadPerSecond > 0)
      at(Settings.BadFrom, [this] { sendBad(); });
    for (std::size_t I = 0; I < Instances.size(); ++I)
      at(uniform(0, 200), [this, I] { exchangeReports(I); });
    if (Settings.Disturbed)
      at(60'000, [this] { disturb(); });
    at(1'000, [this] { inspect(); });
    while (!Events.empty() && Events.top().At < Settings.EndAt) {
      const event Event = Events.top();
      Events.pop();
      Now = Event.At;
      Event.Action();
    }
    return std::move(Result);
  }

private:
  struct event {
    time_ms At = 0;
    std::uint64_t Number = 0; // Order of events at the same time.
    std::function<void()> Action;
    bool operator<(const event &Other) const {
      return std::pair(At, Number) > std::pair(Other.At, Other.Number);
    }
  };

  struct request {
    relay::call Call;
    std::size_t Instance = 0;
    std::size_t Endpoint = 0;
    std::set<std::string> Tried;
    bool IsBad = false;
    bool CanRetry = false;
    std::uint64_t Number = 0;
  };
  using request_ptr = std::shared_ptr<request>;
  // The order must not depend on addresses: runs are reproducible.
  struct by_number {
    bool operator()(const request_ptr &A, const request_ptr &B) const {
      return A->Number < B->Number;
    }
  };
  using request_set = std::set<request_ptr, by_number>;

  struct endpoint {
    bool IsUp = true;
    bool IsSlow = false;
    bool IsLeaving = false;
    bool IsListed = true;
    std::int64_t StartedAt = 1;
    std::int64_t ListedStartedAt = 1; // Follows StartedAt after a delay.
    request_set InFlight;
  };

  struct instance final : relay::placement,
                          endpoint_prober,
                          endpoint_lookup,
                          crash_guard_listener {
    instance(fleet_simulation &Fleet, int Number)
        : Fleet(Fleet), Name("r" + std::to_string(Number)), Quarantine(Name),
          Guard(*this, Quarantine, *this, *this, *this) {}

    std::optional<relay::endpoint_choice>
    choose(const relay::call &, const std::set<std::string> &Tried,
           time_ms) override {
      return Fleet.chooseEndpoint(Tried);
    }
    void onSent(const relay::call &, std::string_view, time_ms) override {}
    void onFirstByte(const relay::call &, std::string_view, time_ms) override {}
    void onEnded(const relay::call &, std::string_view, attempt_outcome,
                 time_ms) override {}
    bool tryRetry(std::string_view, time_ms) override { return true; }
    relay::placement_refusal refusal(const relay::call &) const override {
      return {};
    }
    // The listener of a crashed endpoint may accept for a moment.
    void probe(std::string_view Address, int DelayMs,
               handler Handler) override {
      const endpoint &Endpoint = *Fleet.Endpoints[indexOf(Address)];
      const bool AcceptsOnce = DelayMs == 0 && Fleet.uniform(0, 3) == 0;
      Fleet.after(DelayMs + Fleet.uniform(1, 30),
                  [this, &Endpoint, AcceptsOnce, Handler] {
                    Handler(!AcceptsOnce && !Endpoint.IsUp, Fleet.Now);
                  });
    }
    std::optional<endpoint_info> find(std::string_view Id) const override {
      const endpoint &Endpoint = *Fleet.Endpoints[indexOf(Id)];
      if (!Endpoint.IsListed)
        return std::nullopt;
      return endpoint_info{Endpoint.ListedStartedAt, std::string(Id),
                           Endpoint.IsLeaving};
    }
    void onEndpointDied(const endpoint_start &, int,
                        std::span<const cause>) override {}
    void onCallRefused(const relay::call &,
                       const quarantine_refusal &Refusal) override {
      if (Refusal.Cause == Fleet.badCause())
        Fleet.Result.BadRefusedAt.push_back(Fleet.Now);
    }

    fleet_simulation &Fleet;
    std::string Name;
    crash_quarantine Quarantine;
    crash_guard Guard;
    std::map<std::size_t, time_ms> ReportDueAt; // The last one, by sender.
  };

  static std::size_t indexOf(std::string_view EndpointId) {
    return std::stoul(std::string(EndpointId.substr(1)));
  }

  time_ms uniform(time_ms From, time_ms Until) {
    return From + static_cast<time_ms>(
                      Random.next() % static_cast<std::uint64_t>(Until - From));
  }
  time_ms untilNext(double PerSecond) {
    const double Share = static_cast<double>(uniform(1, 1'000'000)) / 1e6;
    return 1 + static_cast<time_ms>(-std::log(Share) * 1'000 / PerSecond);
  }
  bool chance(int Percent) { return uniform(0, 100) < Percent; }
  void at(time_ms At, std::function<void()> Action) {
    Events.push({At, ++EventCount, std::move(Action)});
  }
  void after(time_ms Ms, std::function<void()> Action) {
    at(Now + Ms, std::move(Action));
  }
  cause badCause() const {
    return Settings.BadIsRequest ? cause{cause_kind::Request, BadFingerprint}
                                 : partOf(BadPart);
  }
  bool isMended() const {
    return Settings.MendedAt >= 0 && Now >= Settings.MendedAt;
  }

  std::optional<relay::endpoint_choice>
  chooseEndpoint(const std::set<std::string> &Tried) {
    for (int Attempt = 0; Attempt < 40; ++Attempt) {
      const std::size_t Index = static_cast<std::size_t>(
          uniform(0, static_cast<time_ms>(Endpoints.size())));
      const std::string Id = "e" + std::to_string(Index);
      const endpoint &Endpoint = *Endpoints[Index];
      if (Endpoint.IsUp && !Endpoint.IsLeaving && Endpoint.IsListed &&
          !Tried.contains(Id))
        return relay::endpoint_choice{Id, Id};
    }
    return std::nullopt;
  }

  // Few first parts, popular and rare middle parts.
  std::vector<std::uint64_t> drawSharedParts() {
    std::vector<std::uint64_t> Parts;
    Parts.push_back(static_cast<std::uint64_t>(1 + uniform(0, 5)));
    const time_ms Popular = uniform(0, 60) * uniform(0, 60) / 60;
    Parts.push_back(static_cast<std::uint64_t>(
        1'000 + (chance(20) ? 1'000 + uniform(0, 4'000) : Popular)));
    return Parts;
  }

  void sendSound() {
    after(untilNext(Settings.SoundPerSecond), [this] { sendSound(); });
    arrive(drawSharedParts(), false);
  }

  void sendBad() {
    after(untilNext(Settings.BadPerSecond), [this] { sendBad(); });
    std::vector<std::uint64_t> Parts = drawSharedParts();
    if (!Settings.BadIsRequest)
      Parts.insert(Parts.begin() + uniform(0, 3), BadPart);
    arrive(std::move(Parts), true);
  }

  void arrive(std::vector<std::uint64_t> Parts, bool IsBad) {
    const request_ptr Request = std::make_shared<request>();
    Request->Call.Prompt = promptOf(std::move(Parts));
    Request->Instance = static_cast<std::size_t>(
        uniform(0, static_cast<time_ms>(Instances.size())));
    Request->IsBad = IsBad;
    Request->Number = ++RequestCount;
    Request->CanRetry = chance(50);
    Request->Call.Fingerprint = drawFingerprint(IsBad);
    if (!IsBad)
      Result.SoundAt.push_back(Now);
    crash_guard &Guard = Instances[Request->Instance]->Guard;
    if (Guard.admit(Request->Call, Now)) {
      if (!IsBad)
        Result.SoundRefusedAt.push_back(Now);
      return;
    }
    attemptAt(Request);
  }

  // Some sound requests are polls, which come again too.
  std::uint64_t drawFingerprint(bool IsBad) {
    constexpr std::uint64_t FirstPoll = 10'000'000;
    constexpr std::uint64_t FirstOther = 20'000'000;
    if (IsBad && Settings.BadIsRequest)
      return BadFingerprint;
    if (chance(30))
      return FirstPoll + static_cast<std::uint64_t>(uniform(0, 60));
    return FirstOther + RequestCount;
  }

  void attemptAt(const request_ptr &Request) {
    crash_guard &Guard = Instances[Request->Instance]->Guard;
    const std::optional<relay::endpoint_choice> Choice =
        Guard.choose(Request->Call, Request->Tried, Now);
    if (!Choice)
      return;
    Request->Endpoint = indexOf(Choice->Endpoint);
    Guard.onSent(Request->Call, Choice->Endpoint, Now);
    if (Request->IsBad)
      Result.BadSentAt.push_back(Now);
    endpoint &Endpoint = *Endpoints[Request->Endpoint];
    Endpoint.InFlight.insert(Request);
    const time_ms BeginMs =
        Endpoint.IsSlow ? uniform(3'000, 6'000) : uniform(40, 150);
    after(BeginMs, [this, Request, Start = Endpoint.StartedAt] {
      begin(Request, Start);
    });
  }

  bool isRunning(const request_ptr &Request, std::int64_t Start) const {
    const endpoint &Endpoint = *Endpoints[Request->Endpoint];
    return Endpoint.StartedAt == Start && Endpoint.InFlight.contains(Request);
  }

  void begin(const request_ptr &Request, std::int64_t Start) {
    if (!isRunning(Request, Start))
      return;
    if (Request->IsBad && !isMended()) {
      after(50, [this, Request, Start] {
        if (!isRunning(Request, Start))
          return;
        Result.BadCrashAt.push_back(Now);
        die(Request->Endpoint);
      });
      return;
    }
    Instances[Request->Instance]->Guard.onFirstByte(
        Request->Call, "e" + std::to_string(Request->Endpoint), Now);
    after(uniform(200, 3'000), [this, Request, Start] {
      if (isRunning(Request, Start))
        complete(Request);
    });
  }

  void complete(const request_ptr &Request) {
    end(Request, attempt_outcome::Good);
    if (Request->IsBad)
      Result.BadCompletedAt.push_back(Now);
    for (const cause &Cause : quarantine::causesOf(Request->Call))
      LastCompletedAt[Cause] = Now;
  }

  void end(const request_ptr &Request, attempt_outcome Outcome) {
    const std::string Id = "e" + std::to_string(Request->Endpoint);
    Endpoints[Request->Endpoint]->InFlight.erase(Request);
    Instances[Request->Instance]->Guard.onEnded(Request->Call, Id, Outcome,
                                                Now);
    Request->Tried.insert(Id);
    if (Outcome == attempt_outcome::Broken && Request->CanRetry &&
        Request->Tried.size() < 3)
      attemptAt(Request);
  }

  void die(std::size_t Index) {
    endpoint &Endpoint = *Endpoints[Index];
    Endpoint.IsUp = false;
    const request_set Broken = Endpoint.InFlight;
    for (const request_ptr &Request : Broken)
      end(Request, attempt_outcome::Broken);
    after(4'000, [this, &Endpoint] {
      Endpoint.IsUp = true;
      Endpoint.IsSlow = false;
      Endpoint.IsLeaving = false;
      Endpoint.StartedAt = Now;
      after(uniform(500, 1'500), [this, &Endpoint] {
        Endpoint.ListedStartedAt = Endpoint.StartedAt;
        Endpoint.IsListed = true;
      });
    });
  }

  // One rack death, release, burst of resets or slow endpoint.
  void disturb() {
    after(uniform(20'000, 60'000), [this] { disturb(); });
    const std::size_t Index = static_cast<std::size_t>(
        uniform(0, static_cast<time_ms>(Endpoints.size())));
    switch (uniform(0, 4)) {
    case 0:
      for (std::size_t I = 0; I < Endpoints.size() / 4; ++I)
        dieUnlessDown((Index + I) % Endpoints.size());
      return;
    case 1:
      return release(Index);
    case 2:
      for (const request_ptr &Request : request_set(Endpoints[Index]->InFlight))
        end(Request, attempt_outcome::Broken);
      return;
    case 3:
      Endpoints[Index]->IsSlow = true;
      return;
    }
  }

  void dieUnlessDown(std::size_t Index) {
    if (!Endpoints[Index]->IsUp)
      return;
    ++Result.OtherDeaths;
    die(Index);
  }

  // Some endpoints announce that they leave, others are only removed.
  void release(std::size_t Index) {
    endpoint &Endpoint = *Endpoints[Index];
    if (!Endpoint.IsUp)
      return;
    if (chance(50))
      Endpoint.IsLeaving = true;
    else
      Endpoint.IsListed = false;
    after(uniform(500, 4'000), [this, Index, Start = Endpoint.StartedAt] {
      if (Endpoints[Index]->StartedAt == Start)
        dieUnlessDown(Index);
    });
  }

  void exchangeReports(std::size_t From) {
    after(200, [this, From] { exchangeReports(From); });
    const std::optional<crash_report> Report =
        Instances[From]->Quarantine.takeReport(Now);
    if (!Report)
      return;
    const std::string Bytes = encode(*Report);
    for (std::size_t To = 0; To < Instances.size(); ++To) {
      // In order, like the records of one key in a store.
      time_ms &DueAt = Instances[To]->ReportDueAt[From];
      DueAt = std::max(DueAt, Now + uniform(1'000, 1'500));
      at(DueAt, [this, From, To, Bytes] {
        Instances[To]->Quarantine.onReport(Instances[From]->Name,
                                           *decodeReport(Bytes), Now);
      });
    }
  }

  // Measures how long sound causes stay in quarantine although requests with
  // them are completed somewhere.
  void inspect() {
    after(500, [this] { inspect(); });
    std::map<std::pair<std::size_t, cause>, time_ms> Since;
    for (std::size_t I = 0; I < Instances.size(); ++I)
      for (const quarantined_cause &Item :
           Instances[I]->Quarantine.quarantinedCauses()) {
        // A cause on trial is served, one request at a time.
        if (Item.Cause == badCause() || Item.Until <= Now)
          continue;
        const std::pair Key(I, Item.Cause);
        const auto Known = QuarantinedSince.find(Key);
        Since[Key] = Known == QuarantinedSince.end() ? Now : Known->second;
        if (Known == QuarantinedSince.end())
          ++Result.SoundQuarantines;
        noteUse(Key, Since[Key]);
      }
    std::erase_if(FirstUse, [&](const auto &Item) {
      return !Since.contains(Item.first);
    });
    QuarantinedSince = std::move(Since);
  }

  void noteUse(const std::pair<std::size_t, cause> &Key, time_ms Since) {
    const auto Used = LastCompletedAt.find(Key.second);
    if (Used == LastCompletedAt.end() || Used->second < Since)
      return;
    const auto First = FirstUse.try_emplace(Key, Used->second).first;
    Result.LongestAfterUse =
        std::max(Result.LongestAfterUse, Now - First->second);
  }

  fleet_settings Settings;
  tests::seeded_random Random;
  time_ms Now = 0;
  std::uint64_t EventCount = 0;
  std::uint64_t RequestCount = 0;
  std::priority_queue<event> Events;
  std::vector<std::unique_ptr<endpoint>> Endpoints;
  std::vector<std::unique_ptr<instance>> Instances;
  std::map<cause, time_ms> LastCompletedAt;
  std::map<std::pair<std::size_t, cause>, time_ms>
      QuarantinedSince; // By instance.
  std::map<std::pair<std::size_t, cause>, time_ms>
      FirstUse; // First completion during the quarantine.
  fleet_result Result;
};

fleet_settings drawSettings(std::uint64_t Seed) {
  tests::seeded_random Random(Seed * 7'919);
  fleet_settings Settings;
  Settings.Instances = 8 + static_cast<int>(Random.next() % 23);
  Settings.SoundPerSecond = 15 + static_cast<double>(Random.next() % 46);
  Settings.BadPerSecond = 0.2 + 0.1 * static_cast<double>(Random.next() % 40);
  return Settings;
}

struct worst_figures {
  int Runs = 0;
  int BadSent = 0; // Later than 3 s after the fifth crash.
  int BadSentTotal = 0;
  double SoundRefused = 0; // Share, from 6 s after the fifth crash on.
  int SoundQuarantines = 0;
  time_ms LongestAfterUse = 0;
  int CrashesUntilUse = 0; // Later than 3 s after the fifth crash.
  time_ms UsableAfterMs = 0;
};

std::ostream &operator<<(std::ostream &Out, const worst_figures &Worst) {
  return Out << "runs " << Worst.Runs << ": at most " << Worst.BadSent
             << " bad requests sent late (" << Worst.BadSentTotal
             << " in all), at most " << 100 * Worst.SoundRefused
             << " % sound refused, " << Worst.SoundQuarantines
             << " quarantines of sound parts, longest after use "
             << Worst.LongestAfterUse << " ms, crashes until use "
             << Worst.CrashesUntilUse << ", usable " << Worst.UsableAfterMs
             << " ms after the mending\n";
}

// From: the crash from which on what is bad must be kept from endpoints.
// SoundAgainMs: from there until sound requests are served again.
void checkContained(const fleet_result &Result, time_ms From,
                    time_ms SoundAgainMs, worst_figures &Worst) {
  const int Late = fleet_result::countFrom(Result.BadSentAt, From + 3'000);
  const double Refused =
      fleet_result::countFrom(Result.SoundRefusedAt, From + SoundAgainMs) /
      static_cast<double>(
          fleet_result::countFrom(Result.SoundAt, From + SoundAgainMs));
  CHECK(Late <= 3);
  CHECK(Result.LongestAfterUse <= 5'000);
  CHECK(Refused < 0.01);
  ++Worst.Runs;
  Worst.BadSent = std::max(Worst.BadSent, Late);
  Worst.BadSentTotal += Late;
  Worst.SoundRefused = std::max(Worst.SoundRefused, Refused);
  Worst.SoundQuarantines += Result.SoundQuarantines;
  Worst.LongestAfterUse =
      std::max(Worst.LongestAfterUse, Result.LongestAfterUse);
}

// The part is bad until the end of the run.
void checkBadPart(int Runs) {
  worst_figures Worst;
  for (int Seed = 1; Seed <= Runs; ++Seed) {
    const fleet_result Result =
        fleet_simulation(drawSettings(Seed), Seed).run();
    CAPTURE(Seed);
    REQUIRE(Result.BadCrashAt.size() >= CrashesToQuarantine);
    const time_ms From = Result.quarantineDueAt();
    checkContained(Result, From, 6'000, Worst);
  }
  std::cout << Worst;
}

// One request that comes again is bad until the end of the run. Some fleets
// have few endpoints, so that it ends all of them.
void checkBadRequest(int Runs, time_ms BadFrom, time_ms SoundAgainMs) {
  worst_figures Worst;
  for (int Seed = 1; Seed <= Runs; ++Seed) {
    fleet_settings Settings = drawSettings(Seed);
    Settings.BadIsRequest = true;
    Settings.BadFrom = BadFrom;
    Settings.Endpoints = Seed % 2 == 0 ? 4 : 20;
    const fleet_result Result = fleet_simulation(Settings, Seed).run();
    CAPTURE(Seed);
    REQUIRE(Result.BadCrashAt.size() >= CrashesToQuarantine);
    const time_ms From = Result.BadCrashAt[CrashesToQuarantine - 1];
    checkContained(Result, From, SoundAgainMs, Worst);
  }
  std::cout << Worst;
}

void checkBadRequestInUse(int Runs) { checkBadRequest(Runs, 90'000, 6'000); }

// No instance has seen an answer yet that would prove anything sound.
void checkBadRequestAtStart(int Runs) { checkBadRequest(Runs, 1'000, 20'000); }

// No part is bad; racks die, endpoints leave, reset connections and are slow.
void checkSoundParts(int Runs) {
  worst_figures Worst;
  for (int Seed = 1; Seed <= Runs; ++Seed) {
    fleet_settings Settings = drawSettings(Seed);
    Settings.BadPerSecond = 0;
    const fleet_result Result = fleet_simulation(Settings, Seed).run();
    const double Refused = static_cast<double>(Result.SoundRefusedAt.size()) /
                           static_cast<double>(Result.SoundAt.size());
    CAPTURE(Seed);
    CHECK(Result.OtherDeaths > 0);
    CHECK(Result.LongestAfterUse <= 5'000);
    CHECK(Refused < 0.01);
    ++Worst.Runs;
    Worst.SoundRefused = std::max(Worst.SoundRefused, Refused);
    Worst.SoundQuarantines += Result.SoundQuarantines;
    Worst.LongestAfterUse =
        std::max(Worst.LongestAfterUse, Result.LongestAfterUse);
  }
  std::cout << Worst;
}

// The part is mended during its quarantine or on trial.
void checkMendedPart(int Runs) {
  worst_figures Worst;
  for (int Seed = 1; Seed <= Runs; ++Seed) {
    fleet_settings Settings = drawSettings(Seed);
    Settings.SoundPerSecond = 8;
    Settings.MendedAt = 200'000 + Seed * 137'000 % 1'600'000;
    Settings.EndAt = Settings.MendedAt + MaxQuarantineMs + 300'000;
    const fleet_result Result = fleet_simulation(Settings, Seed).run();
    CAPTURE(Seed, Settings.MendedAt);
    REQUIRE(Result.BadCrashAt.size() >= CrashesToQuarantine);
    const time_ms From = Result.quarantineDueAt();
    const int Crashes =
        fleet_result::countFrom(Result.BadCrashAt, From + 3'000);
    CHECK(Crashes <= 3);
    CHECK(Result.LongestAfterUse <= 5'000);
    REQUIRE_FALSE(Result.BadCompletedAt.empty());
    const time_ms Usable = Result.BadCompletedAt.front();
    CHECK(Usable - Settings.MendedAt <=
          MaxQuarantineMs + 2 * OtherInstancesDelayMs);
    // From then on the part is served like any other.
    CHECK(fleet_result::countFrom(Result.BadRefusedAt, Usable + 5'000) == 0);
    ++Worst.Runs;
    Worst.LongestAfterUse =
        std::max(Worst.LongestAfterUse, Result.LongestAfterUse);
    Worst.SoundQuarantines += Result.SoundQuarantines;
    Worst.CrashesUntilUse = std::max(Worst.CrashesUntilUse, Crashes);
    Worst.UsableAfterMs =
        std::max(Worst.UsableAfterMs, Usable - Settings.MendedAt);
  }
  std::cout << Worst;
}

} // namespace

// Guards against a bad part that goes on crashing endpoints of the fleet, and
// against sound requests that are refused with it.
TEST_CASE("a fleet keeps a bad part away from its endpoints", "[quarantine]") {
  checkBadPart(10);
}

// Guards against a request that comes again and goes on crashing endpoints, and
// against a refusal of polls and other requests that died beside it.
TEST_CASE("a fleet keeps a bad request away from its endpoints",
          "[quarantine]") {
  checkBadRequestInUse(10);
}

// Guards against sound requests and parts that are refused for ten minutes
// after a start of the whole fleet, because they died beside the bad request.
TEST_CASE("a bad request at the start of a fleet shuts out no others",
          "[quarantine]") {
  checkBadRequestAtStart(10);
}

// Guards against deaths of racks, releases, resets and slow endpoints that shut
// out parts in use.
TEST_CASE("other failures shut out no part in use", "[quarantine]") {
  checkSoundParts(10);
}

// Guards against a part that stays refused after the fault is mended.
TEST_CASE("a mended part is used again", "[quarantine]") { checkMendedPart(6); }

// The same with more runs, for measurements.
TEST_CASE("many random fleets with a bad part", "[.][quarantine-runs]") {
  checkBadPart(200);
}

TEST_CASE("many random fleets with a bad request", "[.][quarantine-runs]") {
  checkBadRequestInUse(200);
}

TEST_CASE("many random fleets that start with a bad request",
          "[.][quarantine-runs]") {
  checkBadRequestAtStart(200);
}

TEST_CASE("many random fleets with other failures", "[.][quarantine-runs]") {
  checkSoundParts(200);
}

TEST_CASE("many random fleets with a mended part", "[.][quarantine-runs]") {
  checkMendedPart(200);
}
