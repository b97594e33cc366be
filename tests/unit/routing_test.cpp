// Endpoint state and choice, rate limits, queueing and retries.
#include "fakes.hpp"

#include "tamarack/routing.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace tamarack;
using namespace tamarack::routing;

namespace {

config::endpoint endpointOf(int Number, const std::string &Zone = "z") {
  config::endpoint Endpoint;
  Endpoint.Name = "e" + std::to_string(Number);
  Endpoint.Zone = Zone;
  Endpoint.Slots = 10;
  return Endpoint;
}

struct pool_fixture {
  std::vector<config::endpoint> Endpoints;
  std::vector<const config::endpoint *> Members;
  endpoint_tracker Tracker{"z"};

  explicit pool_fixture(int Count) {
    for (int Number = 0; Number < Count; ++Number)
      Endpoints.push_back(endpointOf(Number));
    for (const config::endpoint &Endpoint : Endpoints)
      Members.push_back(&Endpoint);
  }
  std::vector<candidate> candidates(time_ms Now) {
    return Tracker.candidates(Members, Now);
  }
};

config::account accountOf(double Requests, double Tokens, int Concurrency) {
  config::account Account;
  Account.Name = "a";
  Account.Limits = {Requests, Tokens, Concurrency};
  return Account;
}

queued_request queuedRequest(const std::string &Account, int Priority,
                             double Cost, time_ms Deadline) {
  return {Account, Priority, Cost, Deadline};
}

} // namespace

TEST_CASE("the estimated load is the report plus requests sent since",
          "[routing]") {
  pool_fixture Pool(1);
  Pool.Tracker.onLoadReport("e0", {4, 2, false, 0}, 0);
  Pool.Tracker.onRequestSent("e0");
  Pool.Tracker.onRequestSent("e0");
  CHECK(Pool.candidates(0)[0].EstimatedLoad == Approx(0.8));
  Pool.Tracker.onRequestEnded("e0", attempt_result::Succeeded, 10, 0);
  CHECK(Pool.candidates(0)[0].EstimatedLoad == Approx(0.7));
  CHECK(Pool.candidates(0)[0].ReportedLoad == Approx(0.6));
}

TEST_CASE("the older a report, the more the daemon's own requests count",
          "[routing]") {
  pool_fixture Pool(2);
  Pool.Tracker.onLoadReport("e0", {0, 0, false, 0}, 0);
  Pool.Tracker.onLoadReport("e1", {8, 0, false, 0}, 0);
  for (int Request = 0; Request < 4; ++Request)
    Pool.Tracker.onRequestSent(Request < 3 ? "e0" : "e1");
  const std::vector<candidate> Fresh = Pool.candidates(0);
  CHECK(Fresh[0].EstimatedLoad < Fresh[1].EstimatedLoad);
  const std::vector<candidate> Old = Pool.candidates(15'000);
  CHECK(Old[0].EstimatedLoad > Old[1].EstimatedLoad);
  // 3 requests of this daemon, scaled by 8 in the fleet to 4 of this daemon,
  // in 10 slots.
  CHECK(Old[0].EstimatedLoad == Approx(0.6).epsilon(0.01));
  // A report that is received now but is as old as the first changes nothing.
  Pool.Tracker.onLoadReport("e0", {0, 0, false, 15'000}, 15'000);
  CHECK(Pool.candidates(15'000)[0].EstimatedLoad > 0.5);
}

TEST_CASE("an older report does not replace a newer one", "[routing]") {
  pool_fixture Pool(1);
  Pool.Tracker.onLoadReport("e0", {6, 0, false, 100}, 1000);
  // Received later than the first report, but measured before it.
  Pool.Tracker.onLoadReport("e0", {1, 0, false, 5000}, 1100);
  CHECK(Pool.candidates(1100)[0].ReportedLoad == Approx(0.6));
  const std::vector<endpoint_report> Newest =
      Pool.Tracker.newestReports(5, 1500);
  REQUIRE(Newest.size() == 1);
  CHECK(Newest[0].Report.AgeMs == 600);
}

TEST_CASE("each daemon may use its share of a full pool", "[routing]") {
  pool_fixture Pool(2); // 20 slots.
  Pool.Tracker.setZoneDaemonCount(4);
  for (const char *Name : {"e0", "e1"})
    Pool.Tracker.onLoadReport(Name, {10, 9, false, 0}, 0);
  int Started = 0;
  while (!Pool.Tracker.eligibleCandidates(Pool.Members, Pool.Members, {}, 0)
              .empty()) {
    Pool.Tracker.onRequestSent(Started % 2 == 0 ? "e0" : "e1");
    REQUIRE(++Started < 20);
  }
  CHECK(Started == 5);
}

TEST_CASE("an endpoint that is leaving gets no new requests", "[routing]") {
  pool_fixture Pool(4);
  Pool.Tracker.onLeaving("e0", 0);
  Pool.Tracker.onLoadReport("e1", {0, 0, true, 0}, 0);
  Pool.Tracker.onRequestSent("e2");
  Pool.Tracker.onRequestEnded("e2", attempt_result::Refused, 0, 0);
  REQUIRE(Pool.candidates(1).size() == 1);
  CHECK(Pool.candidates(1)[0].Endpoint->Name == "e3");
  CHECK(Pool.Tracker.leavingEndpoints(1).size() == 3);
  Pool.Endpoints[3].Draining = true;
  CHECK(Pool.candidates(1).empty());
}

TEST_CASE("an endpoint reported leaving by a peer is avoided, not gossiped",
          "[routing]") {
  pool_fixture Pool(1);
  Pool.Tracker.onPeerReportedLeaving("e0", 0);
  CHECK(Pool.candidates(1).empty());
  CHECK(Pool.Tracker.leavingEndpoints(1).empty());
  CHECK(Pool.candidates(60'000).size() == 1);
}

TEST_CASE("a failing endpoint loses health at once, regains it by levels",
          "[routing]") {
  pool_fixture Pool(2);
  Pool.Tracker.onRequestSent("e0");
  Pool.Tracker.onRequestEnded("e0", attempt_result::Failed, 0, 0);
  CHECK(Pool.Tracker.healthLevelOf("e0") == HealthLevelCount - 3);
  time_ms Now = 0;
  int Successes = 0;
  while (Pool.Tracker.healthLevelOf("e0") < HealthLevelCount - 1) {
    Now += 250;
    Pool.Tracker.onRequestSent("e0");
    Pool.Tracker.onRequestEnded("e0", attempt_result::Succeeded, 10, Now);
    REQUIRE(++Successes < 100);
  }
  CHECK(Successes >= 10);
}

TEST_CASE("a slow endpoint loses health", "[routing]") {
  pool_fixture Pool(3);
  for (time_ms Now = 0; Now < 10'000; Now += 200)
    for (const char *Name : {"e0", "e1", "e2"}) {
      Pool.Tracker.onRequestSent(Name);
      const double FirstMs = std::string_view(Name) == "e0" ? 1000 : 100;
      Pool.Tracker.onRequestEnded(Name, attempt_result::Succeeded, FirstMs,
                                  Now);
    }
  CHECK(Pool.Tracker.healthLevelOf("e0") == 0);
  CHECK(Pool.Tracker.healthLevelOf("e1") == HealthLevelCount - 1);
}

TEST_CASE("stale reports do not send all requests to one endpoint",
          "[routing]") {
  pool_fixture Pool(10);
  for (int Number = 0; Number < 10; ++Number)
    Pool.Tracker.onLoadReport("e" + std::to_string(Number),
                              {Number == 0 ? 0 : 5, 0, false, 0}, 0);
  tests::seeded_random Random(3);
  const std::unique_ptr<balancing_policy> LeastReported = makeLeastReported();
  const std::unique_ptr<balancing_policy> PrefixAware = makePrefixAware();
  int ToLeastLoaded[2] = {0, 0};
  for (int Request = 0; Request < 100; ++Request) {
    const std::vector<candidate> Candidates = Pool.candidates(1);
    ToLeastLoaded[0] +=
        LeastReported->choose(Candidates, 0, Random) == 0 ? 1 : 0;
    ToLeastLoaded[1] += PrefixAware->choose(Candidates, 0, Random) == 0 ? 1 : 0;
  }
  CHECK(ToLeastLoaded[0] == 100);
  CHECK(ToLeastLoaded[1] < 40);
}

TEST_CASE("a prefix goes to one endpoint until the endpoint is busy",
          "[routing]") {
  pool_fixture Pool(8);
  tests::seeded_random Random(3);
  const std::unique_ptr<balancing_policy> PrefixAware = makePrefixAware();
  const std::uint64_t Prefix = prefixHash(std::string(300, 'x'));
  REQUIRE(Prefix != 0);
  const std::size_t First =
      PrefixAware->choose(Pool.candidates(0), Prefix, Random);
  for (int Request = 0; Request < 20; ++Request)
    CHECK(PrefixAware->choose(Pool.candidates(0), Prefix, Random) == First);
  Pool.Tracker.onLoadReport("e" + std::to_string(First), {9, 5, false, 0}, 0);
  CHECK(PrefixAware->choose(Pool.candidates(0), Prefix, Random) != First);
}

TEST_CASE("rate and concurrency limits of an account", "[routing]") {
  account_limiter RateLimiter;
  const config::account Rate = accountOf(2, 0, 0);
  CHECK(RateLimiter.admit(Rate, 1, 0) == 0);
  CHECK(RateLimiter.admit(Rate, 1, 0) == 0);
  const int Wait = RateLimiter.admit(Rate, 1, 0);
  CHECK(Wait == 500);
  CHECK(RateLimiter.admit(Rate, 1, Wait) == 0);
  account_limiter ConcurrencyLimiter;
  const config::account One = accountOf(0, 0, 1);
  CHECK(ConcurrencyLimiter.admit(One, 1, 0) == 0);
  CHECK(ConcurrencyLimiter.admit(One, 1, 0) > 0);
  ConcurrencyLimiter.release("a", 0);
  CHECK(ConcurrencyLimiter.admit(One, 1, 0) == 0);
  account_limiter TokenLimiter;
  const config::account Few = accountOf(0, 100, 0);
  CHECK(TokenLimiter.admit(Few, 300, 0) == 0); // One large request is admitted.
  CHECK(TokenLimiter.admit(Few, 1, 0) > 1000);
  TokenLimiter.release("a", 250); // The request used only 50.
  CHECK(TokenLimiter.admit(Few, 1, 0) == 0);
}

TEST_CASE("urgent requests start first and accounts take turns", "[routing]") {
  admission_queue Queue(100);
  for (admission_id Id = 1; Id <= 3; ++Id)
    Queue.push(Id, queuedRequest("greedy", 5, 10, 10'000), 0);
  Queue.push(4, queuedRequest("modest", 5, 10, 10'000), 0);
  Queue.push(5, queuedRequest("rostrum", 0, 10, 10'000), 0);
  std::vector<admission_id> Order;
  while (const auto Id = Queue.pop(1))
    Order.push_back(*Id);
  CHECK(Order == std::vector<admission_id>{5, 1, 4, 2, 3});
}

TEST_CASE("a full queue drops a request only for one ordered before it",
          "[routing]") {
  admission_queue Queue(2);
  CHECK_FALSE(Queue.push(1, queuedRequest("a", 5, 1, 10'000), 0));
  CHECK_FALSE(Queue.push(2, queuedRequest("b", 5, 1, 10'000), 0));
  CHECK(Queue.push(3, queuedRequest("c", 5, 5, 10'000), 0)->Id == 3);
  CHECK_FALSE(Queue.push(4, queuedRequest("d", 0, 1, 10'000), 0));
  const std::vector<queue_refusal> Refused = Queue.takeRefusals(0);
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Id == 2);
  CHECK(Refused[0].RetryAfterMs > 0);
}

TEST_CASE("a request that can't start before its deadline is refused",
          "[routing]") {
  admission_queue Queue(1000);
  time_ms Now = 0;
  for (admission_id Id = 1; Id <= 50; ++Id) { // One start per 100 ms.
    Queue.push(Id, queuedRequest("a", 5, 1, 1'000'000), Now);
    Queue.pop(Now);
    Now += 100;
  }
  for (admission_id Id = 100; Id < 120; ++Id)
    CHECK_FALSE(Queue.push(Id, queuedRequest("a", 5, 1, Now + 10'000), Now));
  const auto Refused =
      Queue.push(200, queuedRequest("a", 5, 1, Now + 1000), Now);
  REQUIRE(Refused);
  CHECK(Refused->DeadlineUnreachable);
  CHECK(Refused->RetryAfterMs >= 1500);
  CHECK_FALSE(Queue.push(201, queuedRequest("b", 0, 1, Now + 1000), Now));
}

TEST_CASE("the queue neither loses nor duplicates a request",
          "[routing][property]") {
  CHECK(rc::check("random pushes, pops and time", [] {
    admission_queue Queue(10);
    std::set<admission_id> Queued;
    admission_id Next = 0;
    time_ms Now = 0;
    const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 100)));
    for (const auto &[Kind, Detail] : Steps) {
      if (Kind <= 1) {
        const admission_id Id = ++Next;
        const queued_request Request =
            queuedRequest(std::string(1, static_cast<char>('a' + Detail % 4)),
                          Detail % 3, 1 + Detail, Now + 10 * Detail);
        if (!Queue.push(Id, Request, Now))
          Queued.insert(Id);
      } else if (Kind == 2) {
        const auto Id = Queue.pop(Now);
        if (Id)
          RC_ASSERT(Queued.erase(*Id) == 1U);
      } else {
        Now += Detail;
      }
      for (const queue_refusal &Refusal : Queue.takeRefusals(Now))
        RC_ASSERT(Queued.erase(Refusal.Id) == 1U);
      RC_ASSERT(Queue.size() == Queued.size());
      RC_ASSERT(Queue.size() <= 10U);
    }
  }));
}

TEST_CASE("retries stay a small fraction of requests", "[routing]") {
  retry_budget Budget;
  int Retries = 0;
  for (int Request = 0; Request < 1000; ++Request) {
    Budget.onRequest();
    Retries += Budget.tryRetry() ? 1 : 0;
  }
  CHECK(Retries <= 103);
  CHECK(Retries >= 95);
}
