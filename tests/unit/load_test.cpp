// Estimates of load, speeds of endpoints, the split by length of prompts, and
// news of load between instances. Each test names the load or failure that it
// answers.
#include "fakes.hpp"

#include "tamarack/dispatch.hpp"
#include "tamarack/load.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace tamarack;
using namespace tamarack::load;

namespace {

constexpr double HalfLifeMs = 400;

load_prior priorWith(double OthersRequests) {
  load_prior Prior;
  Prior.HasPace = true;
  Prior.OthersRequests = OthersRequests;
  Prior.HalfLifeMs = HalfLifeMs;
  return Prior;
}

// An instance with endpoints e0, e1, ... of one service.
struct choosing_instance {
  choosing_instance(int Count, int Slots, std::int64_t KvTokens)
      : Balancer("z", {}, Restriction, Random, Listener) {
    const std::shared_ptr<relay::route_table> Table =
        std::make_shared<relay::route_table>();
    relay::service Service;
    Service.Name = "s";
    Service.KvCacheTokens = KvTokens;
    Table->add(Service);
    Balancer.setTable(Table);
    Balancer.setEvenLoad(true);
    std::vector<dispatch::endpoint_entry> Entries;
    for (int I = 0; I < Count; ++I) {
      dispatch::endpoint_entry Entry;
      Entry.Id = "e" + std::to_string(I);
      Entry.Service = "s";
      Entry.Zone = "z";
      Entry.Slots = Slots;
      Entries.push_back(Entry);
    }
    Balancer.setEndpoints(Entries, 0);
    for (const dispatch::endpoint_entry &Entry : Entries)
      Balancer.onLoadReport(Entry.Id, {0, 0, Slots, 100}, 0);
  }

  std::string send(const relay::call &Call, time_ms Now) {
    const std::string Endpoint = Balancer.choose(Call, {}, Now)->Endpoint;
    Balancer.onSent(Call, Endpoint, Now);
    return Endpoint;
  }

  tests::seeded_random Random{7};
  tests::listed_restriction Restriction;
  tests::recording_availability_listener Listener;
  dispatch::load_balancer Balancer;
};

relay::call promptOf(std::uint64_t Number, int Tokens) {
  relay::call Call;
  Call.Service = "s";
  Call.Number = Number;
  Call.Kind = relay::call_kind::Stream;
  Call.TargetFirstByteMs = 400;
  Call.PromptTokens = Tokens;
  Call.Prompt = {{Number, Tokens}};
  return Call;
}

} // namespace

// Load: 70 instances choose by reports that are 100 to 400 ms old.
TEST_CASE("a report moves to the mean of the endpoints as it ages", "[load]") {
  endpoint_load Load;
  Load.onReport({9, 1, 24}, 0);
  const load_prior Prior = priorWith(2);
  CHECK(Load.requests(Prior, 0) == Approx(10));
  CHECK(Load.requests(Prior, 100) == Approx(8.73).epsilon(0.01));
  CHECK(Load.requests(Prior, 400) == Approx(6));
  CHECK(Load.requests(Prior, 60'000) == Approx(2));
  Load.onSent({1, 400, 60, 0});
  CHECK(Load.requests(Prior, 60'000) == Approx(3));
}

// Failure: reports stop, and the calls that they counted have long ended.
TEST_CASE("without new reports nothing is assumed of others", "[load]") {
  endpoint_load Load;
  Load.onReport({9, 1, 24, 100}, 0);
  service_load Service;
  const endpoint_load *const Loads[] = {&Load};
  Service.updatePrior(Loads, 0);
  CHECK(Service.prior().OthersRequests > 9);
  CHECK(Service.hasPrior(5));
  Service.updatePrior(Loads, 60'000);
  CHECK(Service.prior().OthersRequests < 0.01);
  CHECK(Load.requests(Service.prior(), 60'000) < 0.01);
}

// Load: one endpoint turns 2.5 times slower for 0.6 s.
TEST_CASE("a reported pace counts for a fraction of a second", "[load]") {
  endpoint_load Load;
  Load.onReport({1, 0, 24, 250}, 1'000);
  const load_prior Prior = priorWith(0);
  CHECK(Load.slowness(Prior, 1'000) == Approx(2.5));
  CHECK(Load.slowness(Prior, 1'250) == Approx(1.75));
  CHECK(Load.slowness(Prior, 3'000) < 1.01);
  SECTION("and the time of its answers says nothing about its usual speed") {
    Load.onSent({1, 1'000, 100, 0});
    Load.onAnswered(1, 1'250);
    CHECK(Load.slowness(Prior, 9'000) < 1.4);
  }
  SECTION("a pace out of range is bounded") {
    Load.onReport({1, 0, 24, 2'000'000'000}, 1'000);
    CHECK(Load.slowness(Prior, 1'000) == Approx(10));
  }
}

// Load: half of the endpoints work at 0.6 of the speed.
TEST_CASE("endpoints that answer slowly get fewer calls", "[load]") {
  choosing_instance Instance(4, 6, 0);
  relay::call Call;
  Call.Service = "s";
  std::map<std::string, int> Sent;
  time_ms Now = 0;
  for (std::uint64_t Number = 0; Number < 200; ++Number) {
    Call.Number = Number;
    Call.ArrivedAt = Now;
    const std::string Endpoint = Instance.send(Call, Now);
    ++Sent[Endpoint];
    const bool IsSlow = Endpoint == "e0" || Endpoint == "e1";
    Now += IsSlow ? 100 : 60;
    Instance.Balancer.onEnded(Call, Endpoint, relay::attempt_outcome::Good,
                              Now);
  }
  CHECK(Sent["e0"] + Sent["e1"] < 40);
}

// Load: prompts that take 900 ms to read meet chats with a target of 400 ms.
TEST_CASE("a short prompt does not wait behind a long one", "[load]") {
  choosing_instance Instance(32, 24, 400'000);
  std::map<std::string, int> Long;
  std::uint64_t Number = 0;
  for (int I = 0; I < 12; ++I)
    ++Long[Instance.send(promptOf(++Number, 54'000), 10)];
  CHECK(Long.size() == 12);
  for (const auto &[Endpoint, Count] : Long)
    CHECK(size_split::isForLong(Endpoint));
  for (int I = 0; I < 100; ++I)
    CHECK_FALSE(Long.contains(Instance.send(promptOf(++Number, 600), 20)));
}

TEST_CASE("a shared prompt goes to its next endpoint while the first reads",
          "[load]") {
  choosing_instance Instance(8, 24, 400'000);
  relay::call Call = promptOf(1, 6'000);
  Call.Prompt = {{77, 5'000}, {78, 1'000}};
  const std::string First = Instance.send(Call, 0);
  Instance.Balancer.onFirstByte(Call, First, 100);
  Call.Number = 2;
  CHECK(Instance.send(Call, 200) == First);
  Instance.Balancer.onFirstByte(Call, First, 300);
  Instance.Balancer.onSent(promptOf(3, 54'000), First, 400);
  Call.Number = 4;
  const std::string Second = Instance.send(Call, 410);
  CHECK(Second != First);
  Call.Number = 5;
  CHECK(Instance.send(Call, 500) == Second);
}

// Failure: an endpoint never answers; its prompt is not waited for for ever.
TEST_CASE("prompts are read one after the other", "[load]") {
  read_backlog Backlog;
  Backlog.add({1, 0, 100, 100});
  Backlog.add({2, 50, 60, 60});
  CHECK(Backlog.remainingMs(1, 50) == Approx(110));
  CHECK(Backlog.remainingMs(2, 50) == Approx(270));
  CHECK(Backlog.remainingMs(1, 120) == Approx(40 + 25));
  Backlog.remove(1, true);
  CHECK(Backlog.remainingMs(1, 60) == Approx(50));
  Backlog.remove(2, true);
  CHECK(Backlog.remainingMs(1, 60) == 0);
}

// A service whose endpoints report nothing is served as before.
TEST_CASE("without reports no speed and no others are assumed", "[load]") {
  endpoint_load Load;
  service_load Service;
  const endpoint_load *const Loads[] = {&Load};
  Load.onSent({1, 0, 60, 0});
  Load.onAnswered(1, 600);
  Service.updatePrior(Loads, 600);
  CHECK_FALSE(Service.prior().HasPace);
  CHECK(Load.slowness(Service.prior(), 600) == 1);
  CHECK(Load.requests(Service.prior(), 600) == 1);
}

// Deployments whose endpoints state no pace are served as before: the last
// report counts whatever its age, and nobody is told of it.
TEST_CASE("reports without a pace neither age nor pass on", "[load]") {
  endpoint_load Load;
  service_load Service;
  const endpoint_load *const Loads[] = {&Load};
  Load.onReport({9, 1, 24}, 0);
  Load.onSent({1, 10, 100, 100});
  Service.updatePrior(Loads, 20'000);
  CHECK_FALSE(Service.prior().HasPace);
  CHECK(Load.requests(Service.prior(), 20'000) == 11);
  CHECK(Load.slowness(Service.prior(), 20'000) == 1);
  CHECK(Load.readingMs(Service.prior(), 20'000) == 100);
  choosing_instance Instance(8, 24, 400'000);
  Instance.Balancer.composeNews("first", 100); // Of the fixture's reports.
  Instance.Balancer.onLoadReport("e0", {8, 1, 24}, 200);
  CHECK(Instance.Balancer.composeNews("first", 300).empty());
}

//---------------------------------------------------------------------------
// News
//---------------------------------------------------------------------------

// Load: an instance hears from one endpoint each 20 s, a zone 20 times as
// often.
TEST_CASE("news pass from one instance over another to a third", "[load]") {
  choosing_instance First(8, 24, 400'000);
  choosing_instance Holder(8, 24, 400'000);
  choosing_instance Third(8, 24, 400'000);
  relay::call Long = promptOf(1, 54'000);
  Long.Id = "a";
  Long.Prompt = {{77, 5'000}, {78, 49'000}};
  const std::string Endpoint = First.send(Long, 0);
  First.Balancer.onLoadReport("e3", {20, 4, 24, 250}, 0);
  const std::string Told = First.Balancer.composeNews("holder", 2);
  REQUIRE_FALSE(Told.empty());
  CHECK(First.Balancer.composeNews("holder", 30).empty());
  REQUIRE(Holder.Balancer.readNews("first", Told, 1'002));
  CHECK(Holder.Balancer.composeNews("first", 1'003).empty());
  const std::string PassedOn = Holder.Balancer.composeNews("third", 1'003);
  for (int Time = 0; Time < 2; ++Time) // The second time tells nothing new.
    REQUIRE(Third.Balancer.readNews("holder", PassedOn, 503));
  const std::string State = Third.Balancer.describe(Endpoint, 503);
  CHECK(State.find("reading_ms=897") != std::string::npos);
  CHECK(Third.Balancer.describe("e3", 503).find("running=23.9") !=
        std::string::npos);
  CHECK(Third.Balancer.describe("e3", 503).find("slowness=2.49") !=
        std::string::npos);
  relay::call Short = promptOf(2, 6'000);
  Short.Prompt = {{77, 5'000}, {79, 1'000}};
  CHECK(Third.send(Short, 510) != Endpoint);
  SECTION("its answer ends it") {
    First.Balancer.onFirstByte(Long, Endpoint, 100);
    const std::string Answer = First.Balancer.composeNews("third", 101);
    REQUIRE(Third.Balancer.readNews("first", Answer, 601));
    CHECK(Third.Balancer.describe(Endpoint, 601).find("reading_ms=0 ") !=
          std::string::npos);
  }
  SECTION("the first instance dies: its call is over in time") {
    CHECK(Third.Balancer.describe(Endpoint, 1'600).find("reading_ms=0 ") !=
          std::string::npos);
  }
}

// Failure: garbage in a message, and news of endpoints that are not listed.
TEST_CASE("news that can't be read change nothing", "[load]") {
  choosing_instance Instance(2, 24, 0);
  const std::string Before = Instance.Balancer.describe("e0", 0);
  load_news News;
  News.Reports = {{keyOf("e0"), 0, {100'001, 0, 24}}};
  SECTION("a count out of range") {}
  SECTION("an age out of range") {
    News.Reports[0] = {keyOf("e0"), -1, {1, 0, 24}};
  }
  SECTION("too many items") {
    News.Reports.assign(MaxReportNews + 1, {keyOf("e0"), 0, {1, 0, 24}});
  }
  SECTION("a negative time") {
    News.Reports.clear();
    News.Calls = {{1, keyOf("e0"), 0, 0, 10, -5}};
  }
  CHECK_FALSE(Instance.Balancer.readNews("p", encode(News), 0));
  CHECK_FALSE(Instance.Balancer.readNews("p", "\x93\x01\xdd\xff\xff", 0));
  CHECK_FALSE(
      Instance.Balancer.readNews("p", std::string(MaxNewsBytes + 1, 'x'), 0));
  News.Calls.clear();
  News.Reports = {{keyOf("unknown"), 0, {9, 9, 24}}};
  CHECK(Instance.Balancer.readNews("p", encode(News), 0));
  CHECK(Instance.Balancer.describe("e0", 0) == Before);
}
