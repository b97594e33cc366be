// Choice of endpoints, prompt cache estimates and retry budgets.
#include "fakes.hpp"

#include "tamarack/dispatch.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace tamarack;
using namespace tamarack::dispatch;

namespace {

constexpr retry_limits Limits{0.2, 50, 10'000};

endpoint_entry entryOf(const std::string &Id, const std::string &Zone = "z",
                       int Slots = 64) {
  endpoint_entry Entry;
  Entry.Id = Id;
  Entry.Service = "s";
  Entry.Address = "10.0.0.1:80";
  Entry.Zone = Zone;
  Entry.Slots = Slots;
  Entry.StartedAt = 1;
  return Entry;
}

std::vector<endpoint_entry> entries(int Count) {
  std::vector<endpoint_entry> Result;
  for (int I = 0; I < Count; ++I)
    Result.push_back(entryOf("e" + std::to_string(I)));
  return Result;
}

std::shared_ptr<const relay::route_table> tableOf(std::int64_t KvTokens) {
  const std::shared_ptr<relay::route_table> Table =
      std::make_shared<relay::route_table>();
  relay::service Service;
  Service.Name = "s";
  Service.KvCacheTokens = KvTokens;
  Table->add(Service);
  return Table;
}

// A call whose prompt begins with parts that other calls may share and ends
// with a part of its own.
relay::call callOf(std::uint64_t SharedPart, std::uint64_t OwnPart) {
  relay::call Call;
  Call.Service = "s";
  Call.PromptTokens = 6'000;
  Call.Prompt = {{1, 500}, {SharedPart, 4'500}, {OwnPart, 1'000}};
  return Call;
}

struct dispatch_fixture {
  explicit dispatch_fixture(std::uint64_t Seed, std::int64_t KvTokens = 400'000)
      : Random(Seed), Balancer("z", Limits, Restriction, Random, Listener) {
    Balancer.setTable(tableOf(KvTokens));
  }

  std::string choose(const relay::call &Call, time_ms Now = 0) {
    const std::optional<relay::endpoint_choice> Choice =
        Balancer.choose(Call, {}, Now);
    return Choice ? Choice->Endpoint : "";
  }
  std::string send(const relay::call &Call, time_ms Now = 0) {
    const std::string Endpoint = choose(Call, Now);
    Balancer.onSent(Call, Endpoint, Now);
    return Endpoint;
  }

  std::string mayStillSend(const std::string &Endpoint, std::int64_t StartedAt,
                           const relay::call &Call, time_ms Now) const {
    relay::endpoint_choice Target;
    Target.Endpoint = Endpoint;
    Target.StartedAt = StartedAt;
    return Balancer.mayStillSend(Call, Target, 0, Now) ? "yes" : "no";
  }

  tests::seeded_random Random;
  tests::listed_restriction Restriction;
  tests::recording_availability_listener Listener;
  load_balancer Balancer;
};

} // namespace

TEST_CASE("a cached prompt part counts only after the same preceding parts",
          "[dispatch]") {
  prompt_cache Cache(10'000);
  const relay::call First = callOf(2, 3);
  Cache.addPrompt(First.Prompt);
  CHECK(Cache.cachedTokens(First.Prompt) == 6'000);
  CHECK(Cache.cachedTokens(callOf(2, 4).Prompt) == 5'000);
  CHECK(Cache.cachedTokens(callOf(5, 3).Prompt) == 500);
}

TEST_CASE("the least recently used parts are evicted first", "[dispatch]") {
  prompt_cache Cache(7'000);
  Cache.addPrompt(callOf(2, 3).Prompt);
  Cache.addPrompt(callOf(4, 5).Prompt);
  CHECK(Cache.size() <= 7'000);
  CHECK(Cache.cachedTokens(callOf(4, 5).Prompt) == 6'000);
  CHECK(Cache.cachedTokens(callOf(2, 3).Prompt) == 500);
}

TEST_CASE(
    "instances choose the same endpoint for a shared prompt independently",
    "[dispatch]") {
  dispatch_fixture First(1);
  dispatch_fixture Second(2);
  First.Balancer.setEndpoints(entries(9), 0);
  Second.Balancer.setEndpoints(entries(9), 0);
  std::map<std::string, int> Spread;
  for (std::uint64_t SharedPart = 10; SharedPart < 100; ++SharedPart) {
    const std::string Chosen = First.choose(callOf(SharedPart, 1));
    CHECK(Chosen == Second.choose(callOf(SharedPart, 2)));
    ++Spread[Chosen];
  }
  CHECK(Spread.size() == 9);
}

TEST_CASE(
    "a frequent prompt goes to further endpoints when its endpoint is busy",
    "[dispatch]") {
  dispatch_fixture Fixture(1);
  Fixture.Balancer.setEndpoints(entries(4), 0);
  std::map<std::string, int> Spread;
  for (std::uint64_t OwnPart = 0; OwnPart < 200; ++OwnPart)
    ++Spread[Fixture.send(callOf(7, 100 + OwnPart))];
  CHECK(Spread.size() > 1);
}

TEST_CASE("a leaving endpoint gets no new work", "[dispatch]") {
  dispatch_fixture Fixture(1);
  std::vector<endpoint_entry> List = entries(2);
  List[0].Leaving = true;
  Fixture.Balancer.setEndpoints(List, 0);
  for (std::uint64_t OwnPart = 0; OwnPart < 20; ++OwnPart)
    CHECK(Fixture.choose(callOf(OwnPart, OwnPart)) == "e1");
  const relay::call Call = callOf(1, 1);
  Fixture.send(Call);
  SECTION("the last one leaves too") {
    List[1].Leaving = true;
    Fixture.Balancer.setEndpoints(List, 0);
  }
  SECTION("another endpoint responds at its address") {
    Fixture.Balancer.onEnded(Call, "e1", relay::attempt_outcome::Misplaced, 0);
  }
  CHECK(Fixture.choose(Call).empty());
}

// Guards against a stream that goes on at another version.
TEST_CASE("a call that needs a version goes to no other one", "[dispatch]") {
  dispatch_fixture Fixture(1);
  std::vector<endpoint_entry> List = entries(4);
  for (std::size_t I = 0; I < List.size(); ++I)
    List[I].Version = I == 2 ? "v1" : "v2";
  Fixture.Balancer.setEndpoints(List, 0);
  relay::call Call = callOf(1, 1);
  Call.RequiredVersion = "v1";
  CHECK(Fixture.choose(Call) == "e2");
  CHECK(Fixture.Balancer.choose(Call, {}, 0)->Version == "v1");
  // It starts again in another version.
  List[2].Version = "v2";
  List[2].StartedAt = 2;
  Fixture.Balancer.setEndpoints(List, 0);
  CHECK(Fixture.choose(Call).empty());
}

TEST_CASE("an endpoint is avoided for some time after a connect failure",
          "[dispatch]") {
  dispatch_fixture Fixture(1);
  Fixture.Balancer.setEndpoints(entries(2), 0);
  const relay::call Call = callOf(2, 3);
  const std::string First = Fixture.send(Call);
  Fixture.Balancer.onEnded(Call, First, relay::attempt_outcome::Unreached, 0);
  CHECK(Fixture.choose(Call, 100) != First);
  CHECK(Fixture.choose(Call, 5'000) == First);
}

TEST_CASE("no call is sent to endpoints that are known to be unreachable",
          "[dispatch]") {
  dispatch_fixture Fixture(1);
  Fixture.Balancer.setEndpoints(entries(2), 0);
  const relay::call Call = callOf(2, 3);
  for (time_ms Now : {0, 2'000})
    for (const char *Endpoint : {"e0", "e1"}) {
      Fixture.Balancer.onSent(Call, Endpoint, Now);
      Fixture.Balancer.onEnded(Call, Endpoint,
                               relay::attempt_outcome::Unreached, Now);
    }
  CHECK(Fixture.choose(Call, 2'100).empty());
  CHECK_FALSE(Fixture.choose(Call, 4'000).empty());
}

TEST_CASE("one call at a time probes an endpoint after connect failures",
          "[dispatch]") {
  dispatch_fixture Fixture(1);
  Fixture.Balancer.setEndpoints(entries(2), 0);
  const relay::call Call = callOf(2, 3);
  const std::string First = Fixture.send(Call);
  Fixture.Balancer.onEnded(Call, First, relay::attempt_outcome::Unreached, 0);
  REQUIRE(Fixture.send(Call, 5'000) == First);
  CHECK(Fixture.choose(Call, 5'010) != First);
  Fixture.Balancer.onFirstByte(Call, First, 5'020);
  CHECK(Fixture.choose(Call, 5'030) == First);
}

TEST_CASE("a failing endpoint gets no work until its penalty has decayed",
          "[dispatch]") {
  dispatch_fixture Fixture(1, 0);
  Fixture.Balancer.setEndpoints(entries(2), 0);
  relay::call Call;
  Call.Service = "s";
  for (int I = 0; I < 10; ++I) {
    Fixture.Balancer.onSent(Call, "e0", 0);
    Fixture.Balancer.onEnded(Call, "e0", relay::attempt_outcome::Failed, 0);
  }
  int ToFailing = 0;
  for (int I = 0; I < 50; ++I)
    ToFailing += Fixture.choose(Call, 10) == "e0" ? 1 : 0;
  CHECK(ToFailing == 0);
  for (int I = 0; I < 50; ++I)
    ToFailing += Fixture.choose(Call, 60'000) == "e0" ? 1 : 0;
  CHECK(ToFailing > 0);
}

TEST_CASE("a restarted endpoint that was leaving takes work again",
          "[dispatch]") {
  dispatch_fixture Fixture(1);
  std::vector<endpoint_entry> List = entries(1);
  Fixture.Balancer.setEndpoints(List, 0);
  const relay::call Call = callOf(2, 3);
  Fixture.send(Call);
  SECTION("by the list") {
    List[0].Leaving = true;
    Fixture.Balancer.setEndpoints(List, 5);
  }
  SECTION("by a response of another endpoint at its address") {
    Fixture.Balancer.onEnded(Call, "e0", relay::attempt_outcome::Misplaced, 5);
  }
  REQUIRE(Fixture.choose(Call, 5).empty());
  List[0].Leaving = false;
  List[0].StartedAt = 2;
  Fixture.Balancer.setEndpoints(List, 10);
  CHECK(Fixture.choose(Call, 10) == "e0");
}

TEST_CASE("retries of all instances together stay within the fleet's budget",
          "[dispatch]") {
  constexpr int Instances = 8;
  constexpr int Requests = 100;
  std::vector<fleet_retry_budget> Budgets(Instances);
  int Retries = 0;
  for (time_ms Now = 0; Now < Limits.WindowMs; Now += 100)
    for (fleet_retry_budget &Budget : Budgets) {
      if (Now / 100 < Requests)
        Budget.onRequest(Limits);
      while (Budget.trySpend(Limits, Instances, Now))
        ++Retries;
    }
  CHECK(Retries > 0);
  CHECK(Retries <= Limits.RetriesPerRequest * Requests * Instances +
                       Limits.ExtraPerWindow);
}

// Guards against instances that all start at once and each take the retries of
// the whole fleet, because they have not read yet how many there are.
TEST_CASE("an instance that does not know the others has no extra retries",
          "[dispatch]") {
  constexpr int Instances = 8;
  int Retries = 0;
  for (std::uint64_t Seed = 0; Seed < Instances; ++Seed) {
    dispatch_fixture Fixture(Seed);
    while (Fixture.Balancer.tryRetry("s", 0))
      ++Retries;
  }
  CHECK(Retries <= Limits.ExtraPerWindow);
  dispatch_fixture Fixture(1);
  for (int Request = 0; Request < 11; ++Request)
    Fixture.Balancer.onRequest("s");
  CHECK(Fixture.Balancer.tryRetry("s", 0));
  CHECK(Fixture.Balancer.tryRetry("s", 0));
  CHECK_FALSE(Fixture.Balancer.tryRetry("s", 0));
  Fixture.Balancer.setInstanceCount(Instances);
  CHECK(Fixture.Balancer.tryRetry("s", 0));
}

//---------------------------------------------------------------------------
// Pauses
//---------------------------------------------------------------------------

// Guards against an endpoint that gets requests in a time for which it has
// asked for none, or never gets one again.
TEST_CASE("an endpoint that asks for a pause gets nothing until its end",
          "[dispatch]") {
  dispatch_fixture Fixture(1);
  Fixture.Balancer.setEndpoints(entries(2), 0);
  const relay::call Call = callOf(1, 1);
  Fixture.Balancer.onSent(Call, "e0", 0);
  Fixture.Balancer.onPauseStated("e0", 2'000, 0);
  Fixture.Balancer.onEnded(Call, "e0", relay::attempt_outcome::Refused, 0);
  REQUIRE(Fixture.Listener.Withheld.size() == 1);
  CHECK(Fixture.Listener.Withheld[0].second == withheld_reason::Paused);
  const auto IsChosen = [&Fixture](time_ms Now) {
    for (std::uint64_t Part = 0; Part < 40; ++Part)
      if (Fixture.choose(callOf(Part, Part), Now) == "e0")
        return true;
    return false;
  };
  for (time_ms Now = 0; Now < 2'000; Now += 100)
    CHECK_FALSE(IsChosen(Now));
  SECTION("at its end") { CHECK(IsChosen(2'100)); }
  SECTION("a shorter pause that is asked for later changes nothing") {
    Fixture.Balancer.onPauseStated("e0", 100, 500);
    CHECK_FALSE(IsChosen(1'900));
    CHECK(IsChosen(2'100));
  }
  SECTION("a longer one does") {
    Fixture.Balancer.onPauseStated("e0", 5'000, 500);
    CHECK_FALSE(IsChosen(5'400));
    CHECK(IsChosen(5'700));
  }
  SECTION("no pause ends none") {
    Fixture.Balancer.onPauseStated("e0", 0, 500);
    CHECK_FALSE(IsChosen(1'900));
  }
  SECTION("a good response of before changes nothing") {
    const relay::call Earlier = callOf(3, 3);
    Fixture.Balancer.onSent(Earlier, "e0", 0);
    Fixture.Balancer.onFirstByte(Earlier, "e0", 100);
    Fixture.Balancer.onEnded(Earlier, "e0", relay::attempt_outcome::Good, 200);
    CHECK_FALSE(IsChosen(1'900));
  }
  SECTION("it lasts while the endpoint is not listed") {
    const std::vector<endpoint_entry> List = entries(2);
    Fixture.Balancer.setEndpoints(std::span(List).last(1), 100);
    Fixture.Balancer.setEndpoints(List, 200);
    CHECK_FALSE(IsChosen(1'900));
  }
  SECTION("a new start ends it") {
    std::vector<endpoint_entry> List = entries(2);
    List[0].StartedAt = 2;
    Fixture.Balancer.setEndpoints(List, 100);
    CHECK(IsChosen(200));
  }
}

// Guards against endpoints that fail because all instances send them what they
// have to turn away.
TEST_CASE("an endpoint that tolerates few rejections gets few", "[dispatch]") {
  dispatch_fixture Fixture(1);
  constexpr int Instances = 10;
  constexpr double PerSecond = 4;
  Fixture.Balancer.setInstanceCount(Instances);
  const std::vector<endpoint_entry> List = {entryOf("e0", "z", 2)};
  Fixture.Balancer.setEndpoints(List, 0);
  const auto IsChosen = [&Fixture](time_ms Now) {
    return Fixture.Balancer.choose(callOf(1, 1), {}, Now).has_value();
  };
  const relay::call First = callOf(1, 2);
  Fixture.Balancer.onRejectionLimitStated("e0", PerSecond);
  SECTION("nothing waits there") {
    Fixture.Balancer.onSent(First, "e0", 0);
    CHECK(IsChosen(1));
    const relay::call Second = callOf(1, 3);
    Fixture.Balancer.onSent(Second, "e0", 1);
    CHECK_FALSE(IsChosen(2));
    Fixture.Balancer.onRejectionLimitStated("e0", std::nullopt);
    CHECK(IsChosen(2));
  }
  SECTION("after a rejection it is left alone for the part of an instance") {
    Fixture.Balancer.onSent(First, "e0", 0);
    Fixture.Balancer.onEnded(First, "e0", relay::attempt_outcome::Refused, 10);
    CHECK_FALSE(IsChosen(10 + 1'000 * Instances / static_cast<int>(PerSecond)));
    CHECK(IsChosen(12'000));
  }
  SECTION("without the statement a rejection is no pause") {
    Fixture.Balancer.onRejectionLimitStated("e0", std::nullopt);
    Fixture.Balancer.onSent(First, "e0", 0);
    Fixture.Balancer.onEnded(First, "e0", relay::attempt_outcome::Refused, 10);
    CHECK(IsChosen(20));
  }
}

// Guards against requests that were chosen before a statement arrived, and go
// out after it because their connection took time or the process stood still.
TEST_CASE("a request that waited for its connection may be withdrawn",
          "[dispatch]") {
  dispatch_fixture Fixture(1);
  std::vector<endpoint_entry> List = entries(2);
  Fixture.Balancer.setEndpoints(List, 0);
  const relay::call Call = callOf(1, 1);
  CHECK(Fixture.mayStillSend("e0", 1, Call, 10) == "yes");
  SECTION("the endpoint asked for a pause") {
    Fixture.Balancer.onPauseStated("e0", 2'000, 20);
    CHECK(Fixture.mayStillSend("e0", 1, Call, 30) == "no");
    CHECK(Fixture.mayStillSend("e0", 1, Call, 2'200) == "yes");
  }
  SECTION("it leaves") {
    List[0].Leaving = true;
    Fixture.Balancer.setEndpoints(List, 20);
    CHECK(Fixture.mayStillSend("e0", 1, Call, 30) == "no");
  }
  SECTION("it is gone") {
    Fixture.Balancer.setEndpoints(std::span(List).last(1), 20);
    CHECK(Fixture.mayStillSend("e0", 1, Call, 30) == "no");
  }
  SECTION("it has started anew") {
    List[0].StartedAt = 2;
    Fixture.Balancer.setEndpoints(List, 20);
    CHECK(Fixture.mayStillSend("e0", 1, Call, 30) == "no");
    CHECK(Fixture.mayStillSend("e0", 2, Call, 30) == "yes");
  }
  SECTION("its one test request after a pause is sent") {
    Fixture.Balancer.onPauseStated("e0", 100, 20);
    Fixture.Balancer.onSent(Call, "e0", 300);
    CHECK(Fixture.mayStillSend("e0", 1, Call, 310) == "yes");
  }
}

// Guards against all callers that waited going to an endpoint at the moment at
// which its pause ends.
TEST_CASE("after a pause requests go out by steps", "[dispatch]") {
  dispatch_fixture Fixture(1);
  Fixture.Balancer.setEndpoints(entries(1), 0);
  Fixture.Balancer.onPauseStated("e0", 1'000, 0);
  std::vector<relay::call> Calls(64, callOf(1, 1));
  std::size_t Sent = 0;
  const auto SendAll = [&](time_ms Now) {
    int Count = 0;
    for (; Sent < Calls.size() && !Fixture.choose(Calls[Sent], Now).empty();
         ++Sent, ++Count)
      Fixture.Balancer.onSent(Calls[Sent], "e0", Now);
    return Count;
  };
  REQUIRE(SendAll(1'100) == 1);
  SECTION("each response lets twice as many out") {
    Fixture.Balancer.onFirstByte(Calls[0], "e0", 1'200);
    CHECK(SendAll(1'200) == 2);
    Fixture.Balancer.onFirstByte(Calls[1], "e0", 1'300);
    CHECK(SendAll(1'300) == 3);
  }
  SECTION("one that got no response is followed by one") {
    Fixture.Balancer.onEnded(Calls[0], "e0", relay::attempt_outcome::Broken,
                             1'200);
    CHECK(SendAll(1'200) == 1);
  }
  SECTION("one that is turned away is followed by none") {
    Fixture.Balancer.onPauseStated("e0", 1'000, 1'200);
    Fixture.Balancer.onEnded(Calls[0], "e0", relay::attempt_outcome::Refused,
                             1'200);
    CHECK(SendAll(1'300) == 0);
  }
}

// Guards against callers that wait or come back in vain while all endpoints of
// a service want no requests.
TEST_CASE("while all endpoints pause, callers are told when the first one ends",
          "[dispatch]") {
  dispatch_fixture Fixture(1);
  Fixture.Balancer.setEndpoints(entries(3), 0);
  const relay::call Call = callOf(1, 1);
  Fixture.Balancer.onPauseStated("e0", 4'000, 0);
  Fixture.Balancer.onPauseStated("e1", 2'000, 0);
  REQUIRE(Fixture.choose(Call, 100) == "e2");
  Fixture.Balancer.onPauseStated("e2", 9'000, 0);
  std::set<int> Advice;
  for (int Caller = 0; Caller < 50; ++Caller) {
    CHECK(Fixture.choose(Call, 500).empty());
    const relay::placement_refusal Refusal = Fixture.Balancer.refusal(Call);
    CHECK(Refusal.Kind == relay::error_kind::Overloaded);
    CHECK(Refusal.RetryAfterMs >= 1'500);
    CHECK(Refusal.RetryAfterMs < 2'000);
    Advice.insert(Refusal.RetryAfterMs);
  }
  CHECK(Advice.size() > 10);
  const placement_survey Survey = Fixture.Balancer.survey(Call, 500);
  CHECK(Survey.Withheld[static_cast<std::size_t>(withheld_reason::Paused)] ==
        3);
}

TEST_CASE("a limit that is used up withholds requests from its endpoint",
          "[dispatch]") {
  dispatch_fixture Fixture(1);
  Fixture.Balancer.setEndpoints(entries(2), 0);
  Fixture.Restriction.Withheld = {"e0"};
  const relay::call Call = callOf(1, 1);
  CHECK(Fixture.choose(Call) == "e1");
  Fixture.Restriction.Withheld = {"e0", "e1"};
  CHECK(Fixture.choose(Call).empty());
}

//---------------------------------------------------------------------------
// Evacuated zones
//---------------------------------------------------------------------------

// Guards against requests that go to an evacuated zone by any way: a new one, a
// retry, one that waits for its connection, or one that needs a version.
TEST_CASE("an evacuated zone gets nothing until it returns", "[evacuation]") {
  dispatch_fixture Fixture(1);
  std::vector<endpoint_entry> List = {entryOf("e0", "a"), entryOf("e1", "b")};
  List[0].Version = "v1";
  List[1].Version = "v2";
  Fixture.Balancer.setEndpoints(List, 0);
  const std::vector<std::string> Evacuated = {"a", "unknown"};
  const relay::call Running = callOf(1, 1);
  Fixture.Balancer.onSent(Running, "e0", 0);
  Fixture.Balancer.setEvacuatedZones(Evacuated, 10);
  const relay::call Call = callOf(2, 2);
  CHECK(Fixture.choose(Call, 10) == "e1");
  CHECK_FALSE(Fixture.Balancer.choose(Call, {"e1"}, 10).has_value());
  CHECK(Fixture.mayStillSend("e0", 1, Call, 10) == "no");
  const placement_survey Survey = Fixture.Balancer.survey(Call, 10);
  CHECK(Survey.Withheld[std::size_t(withheld_reason::Evacuated)] == 1);
  SECTION("what it runs goes on") {
    Fixture.Balancer.onFirstByte(Running, "e0", 20);
    Fixture.Balancer.onEnded(Running, "e0", relay::attempt_outcome::Good, 30);
    CHECK(Fixture.choose(Call, 30) == "e1");
  }
  SECTION("a call that needs a version of that zone is refused") {
    relay::call Bound = callOf(3, 3);
    Bound.RequiredVersion = "v1";
    CHECK(Fixture.choose(Bound, 10).empty());
    CHECK(Fixture.Balancer.refusal(Bound).Kind ==
          relay::error_kind::StreamVersionGone);
  }
  SECTION("endpoints that start in it or move there get nothing either") {
    List[0].StartedAt = 2;
    List[1].Zone = "a";
    Fixture.Balancer.setEndpoints(List, 20);
    CHECK(Fixture.choose(Call, 20).empty());
  }
  SECTION("all zones are evacuated") {
    const std::vector<std::string> Both = {"a", "b"};
    Fixture.Balancer.setEvacuatedZones(Both, 20);
    CHECK(Fixture.choose(Call, 20).empty());
    const relay::placement_refusal Refusal = Fixture.Balancer.refusal(Call);
    CHECK(Refusal.Kind == relay::error_kind::NoEndpoint);
    CHECK(Refusal.RetryAfterMs > 0);
  }
  SECTION("it returns") {
    Fixture.Balancer.setEvacuatedZones({}, 5'000);
    CHECK(Fixture.Balancer.choose(Call, {"e1"}, 5'100).has_value());
    CHECK(Fixture.mayStillSend("e0", 1, Call, 5'100) == "yes");
  }
}

// Guards against all instances sending to an idle zone, whose endpoints may be
// cold, at the moment at which it returns.
TEST_CASE("the endpoints of a zone that returns get requests by steps",
          "[evacuation]") {
  constexpr int Instances = 50;
  constexpr int SpreadMs = 500;
  const std::vector<std::string> Evacuated = {"a"};
  int SendingEarly = 0;
  for (std::uint64_t Seed = 0; Seed < Instances; ++Seed) {
    dispatch_fixture Fixture(Seed);
    Fixture.Balancer.setInstanceCount(Instances);
    const std::vector<endpoint_entry> List = {entryOf("e0", "a")};
    Fixture.Balancer.setEndpoints(List, 0);
    Fixture.Balancer.setEvacuatedZones(Evacuated, 0);
    Fixture.Balancer.setEvacuatedZones({}, 1'000);
    const relay::call First = callOf(1, 1);
    SendingEarly += Fixture.choose(First, 1'000 + SpreadMs / 4) == "e0";
    CHECK(Fixture.send(First, 1'000 + SpreadMs) == "e0");
    CHECK(Fixture.choose(callOf(2, 2), 1'000 + SpreadMs).empty());
    Fixture.Balancer.onFirstByte(First, "e0", 1'600);
    CHECK(Fixture.choose(callOf(2, 2), 1'600) == "e0");
  }
  CHECK(SendingEarly < Instances / 2);
}

//---------------------------------------------------------------------------
// Allowed regions
//---------------------------------------------------------------------------

// Guards against a request that reaches a region it must not reach because the
// allowed one is busy, has failed, or has left meanwhile.
TEST_CASE("a call reaches only endpoints in its allowed regions", "[regions]") {
  dispatch_fixture Fixture(1);
  Fixture.Balancer.setZoneRegions({{"a1", "a"}, {"b1", "b"}});
  std::vector<endpoint_entry> List = {entryOf("e0", "a1"), entryOf("e1", "b1"),
                                      entryOf("e2", "unknown")};
  List[1].Version = "v2";
  Fixture.Balancer.setEndpoints(List, 0);
  relay::call Call = callOf(1, 1);
  Call.AllowedRegions = {true, {"a"}};
  for (std::uint64_t Part = 0; Part < 20; ++Part) {
    Call.Prompt = callOf(Part, Part).Prompt;
    CHECK(Fixture.choose(Call) == "e0");
  }
  CHECK(Fixture.mayStillSend("e0", 1, Call, 0) == "yes");
  CHECK(Fixture.mayStillSend("e1", 1, Call, 0) == "no");
  CHECK(Fixture.mayStillSend("e2", 1, Call, 0) == "no");
  CHECK_FALSE(Fixture.Balancer.admit(Call, 0).has_value());
  CHECK_FALSE(Fixture.Balancer.choose(Call, {"e0"}, 0).has_value());
  CHECK(Fixture.Balancer.survey(Call, 0).OtherRegions == 2);
  SECTION("a stream of a version that runs elsewhere") {
    Call.RequiredVersion = "v2";
    CHECK(Fixture.choose(Call).empty());
    CHECK(Fixture.Balancer.refusal(Call).Kind ==
          relay::error_kind::StreamVersionGone);
  }
  SECTION("a call without a bound") {
    Call.AllowedRegions = {};
    CHECK(Fixture.Balancer.choose(Call, {"e0", "e1"}, 0).has_value());
    CHECK(Fixture.mayStillSend("e2", 1, Call, 0) == "yes");
  }
  SECTION("no region may serve it") {
    Call.AllowedRegions.Names.clear();
    CHECK(Fixture.choose(Call).empty());
  }
  SECTION("no endpoint is in its regions") {
    Fixture.Balancer.setEndpoints(std::span(List).last(2), 10);
    CHECK(Fixture.choose(Call, 10).empty());
    const std::optional<relay::placement_refusal> Refusal =
        Fixture.Balancer.admit(Call, 10);
    REQUIRE(Refusal.has_value());
    CHECK(Refusal->Kind == relay::error_kind::NoEndpoint);
  }
}
