// Where a call goes.
#include "fakes.hpp"

#include "tamarack/dispatch.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace tamarack;
using namespace tamarack::dispatch;

namespace {

constexpr repeat_limits Limits{0.2, 50, 10'000};

endpoint_entry entryOf(const std::string &Id, const std::string &Zone = "z",
                       int Slots = 64) {
  endpoint_entry Entry;
  Entry.Id = Id;
  Entry.Service = "s";
  Entry.Address = "10.0.0.1:80";
  Entry.Zone = Zone;
  Entry.Slots = Slots;
  Entry.Start = 1;
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

relay::call callOf(std::uint64_t Catalogue, std::uint64_t Own) {
  relay::call Call;
  Call.Service = "s";
  Call.PromptTokens = 6'000;
  Call.Prompt = {{1, 500}, {Catalogue, 4'500}, {Own, 1'000}};
  return Call;
}

struct dispatch_fixture {
  explicit dispatch_fixture(std::uint64_t Seed, std::int64_t KvTokens = 400'000)
      : Random(Seed), Dispatcher("z", Limits, Random) {
    Dispatcher.setTable(tableOf(KvTokens));
  }

  std::string choose(const relay::call &Call, time_ms Now = 0) {
    const std::optional<relay::endpoint_choice> Choice =
        Dispatcher.choose(Call, {}, Now);
    return Choice ? Choice->Endpoint : "";
  }
  std::string send(const relay::call &Call, time_ms Now = 0) {
    const std::string Endpoint = choose(Call, Now);
    Dispatcher.onSent(Call, Endpoint, Now);
    return Endpoint;
  }

  tests::seeded_random Random;
  dispatcher Dispatcher;
};

} // namespace

TEST_CASE("a kept prompt counts by its chain", "[dispatch]") {
  prompt_cache Cache(10'000);
  const relay::call First = callOf(2, 3);
  Cache.note(First.Prompt);
  CHECK(Cache.keptTokens(First.Prompt) == 6'000);
  CHECK(Cache.keptTokens(callOf(2, 4).Prompt) == 5'000);
  CHECK(Cache.keptTokens(callOf(5, 3).Prompt) == 500);
}

TEST_CASE("the least recently used parts go first", "[dispatch]") {
  prompt_cache Cache(7'000);
  Cache.note(callOf(2, 3).Prompt);
  Cache.note(callOf(4, 5).Prompt);
  CHECK(Cache.size() <= 7'000);
  CHECK(Cache.keptTokens(callOf(4, 5).Prompt) == 6'000);
  CHECK(Cache.keptTokens(callOf(2, 3).Prompt) == 500);
}

TEST_CASE("instances agree on the endpoint of a shared prompt without a word",
          "[dispatch]") {
  dispatch_fixture First(1);
  dispatch_fixture Second(2);
  First.Dispatcher.setEndpoints(entries(9), 0);
  Second.Dispatcher.setEndpoints(entries(9), 0);
  std::map<std::string, int> Spread;
  for (std::uint64_t Catalogue = 10; Catalogue < 100; ++Catalogue) {
    const std::string Chosen = First.choose(callOf(Catalogue, 1));
    CHECK(Chosen == Second.choose(callOf(Catalogue, 2)));
    ++Spread[Chosen];
  }
  CHECK(Spread.size() == 9);
}

TEST_CASE("a hot prompt spills over when its endpoint is busy", "[dispatch]") {
  dispatch_fixture Fixture(1);
  Fixture.Dispatcher.setEndpoints(entries(4), 0);
  std::map<std::string, int> Spread;
  for (std::uint64_t Own = 0; Own < 200; ++Own)
    ++Spread[Fixture.send(callOf(7, 100 + Own))];
  CHECK(Spread.size() > 1);
}

TEST_CASE("an endpoint that leaves gets no new work", "[dispatch]") {
  dispatch_fixture Fixture(1);
  std::vector<endpoint_entry> List = entries(2);
  List[0].Leaving = true;
  Fixture.Dispatcher.setEndpoints(List, 0);
  for (std::uint64_t Own = 0; Own < 20; ++Own)
    CHECK(Fixture.choose(callOf(Own, Own)) == "e1");
  Fixture.Dispatcher.onLeaving("e1");
  CHECK(Fixture.choose(callOf(1, 1)).empty());
}

TEST_CASE("an endpoint that can't be reached is avoided for a while",
          "[dispatch]") {
  dispatch_fixture Fixture(1);
  Fixture.Dispatcher.setEndpoints(entries(2), 0);
  const relay::call Call = callOf(2, 3);
  const std::string First = Fixture.send(Call);
  Fixture.Dispatcher.onEnded(Call, First, relay::attempt_outcome::Unreached, 0);
  CHECK(Fixture.choose(Call, 100) != First);
  CHECK(Fixture.choose(Call, 5'000) == First);
}

TEST_CASE("nobody waits for endpoints that are known to be out of reach",
          "[dispatch]") {
  dispatch_fixture Fixture(1);
  Fixture.Dispatcher.setEndpoints(entries(2), 0);
  const relay::call Call = callOf(2, 3);
  for (time_ms Now : {0, 2'000})
    for (const char *Endpoint : {"e0", "e1"}) {
      Fixture.Dispatcher.onSent(Call, Endpoint, Now);
      Fixture.Dispatcher.onEnded(Call, Endpoint,
                                 relay::attempt_outcome::Unreached, Now);
    }
  CHECK(Fixture.choose(Call, 2'100).empty());
  CHECK_FALSE(Fixture.choose(Call, 4'000).empty());
}

TEST_CASE("one call at a time finds out whether an endpoint is back",
          "[dispatch]") {
  dispatch_fixture Fixture(1);
  Fixture.Dispatcher.setEndpoints(entries(2), 0);
  const relay::call Call = callOf(2, 3);
  const std::string First = Fixture.send(Call);
  Fixture.Dispatcher.onEnded(Call, First, relay::attempt_outcome::Unreached, 0);
  REQUIRE(Fixture.send(Call, 5'000) == First);
  CHECK(Fixture.choose(Call, 5'010) != First);
  Fixture.Dispatcher.onFirstByte(Call, First, 5'020);
  CHECK(Fixture.choose(Call, 5'030) == First);
}

TEST_CASE("an endpoint that fails loses work and gets it back", "[dispatch]") {
  dispatch_fixture Fixture(1, 0);
  Fixture.Dispatcher.setEndpoints(entries(2), 0);
  relay::call Call;
  Call.Service = "s";
  for (int I = 0; I < 10; ++I) {
    Fixture.Dispatcher.onSent(Call, "e0", 0);
    Fixture.Dispatcher.onEnded(Call, "e0", relay::attempt_outcome::Failed, 0);
  }
  int ToFailing = 0;
  for (int I = 0; I < 50; ++I)
    ToFailing += Fixture.choose(Call, 10) == "e0" ? 1 : 0;
  CHECK(ToFailing == 0);
  for (int I = 0; I < 50; ++I)
    ToFailing += Fixture.choose(Call, 60'000) == "e0" ? 1 : 0;
  CHECK(ToFailing > 0);
}

TEST_CASE("a restarted endpoint has kept nothing", "[dispatch]") {
  dispatch_fixture Fixture(1);
  std::vector<endpoint_entry> List = entries(1);
  Fixture.Dispatcher.setEndpoints(List, 0);
  const relay::call Call = callOf(2, 3);
  Fixture.send(Call);
  Fixture.Dispatcher.onLeaving("e0");
  List[0].Start = 2;
  Fixture.Dispatcher.setEndpoints(List, 10);
  CHECK(Fixture.choose(Call, 10) == "e0");
}

TEST_CASE("repeats of all instances together stay in the fleet's budget",
          "[dispatch]") {
  constexpr int Instances = 8;
  constexpr int Requests = 100;
  std::vector<repeat_budget> Budgets(Instances);
  int Repeats = 0;
  for (time_ms Now = 0; Now < Limits.WindowMs; Now += 100)
    for (repeat_budget &Budget : Budgets) {
      if (Now / 100 < Requests)
        Budget.onRequest(Limits);
      while (Budget.trySpend(Limits, Instances, Now))
        ++Repeats;
    }
  CHECK(Repeats > 0);
  CHECK(Repeats <= Limits.Ratio * Requests * Instances + Limits.Slack);
}
