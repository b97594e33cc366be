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
      : Random(Seed), Balancer("z", Limits, Random) {
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

  tests::seeded_random Random;
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
