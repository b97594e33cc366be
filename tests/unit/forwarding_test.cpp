// Calls that another instance places: paths, choice of instances, messages.
#include "fakes.hpp"

#include "tamarack/forwarding.hpp"

#include <catch2/catch.hpp>

using namespace tamarack;
using namespace tamarack::forwarding;

namespace {

class fake_paths final : public endpoint_paths {
public:
  std::vector<endpoint_path> pathsOf(std::string_view) const override {
    return Paths;
  }

  std::vector<endpoint_path> Paths = {
      {"e0", "e0:1"}, {"e1", "e1:1"}, {"e2", "e2:1"}};
};

class fake_prober final : public path_prober {
public:
  void probe(std::string_view, handler Handler) override {
    Pending.push_back(std::move(Handler));
  }
  // Ends all probes.
  void finish(bool IsReached, time_ms Now) {
    for (const handler &Handler : std::exchange(Pending, {}))
      Handler(IsReached, Now);
  }

  std::vector<handler> Pending;
};

class counting_listener final : public path_monitor_listener {
public:
  void onCutOff(std::string_view, std::size_t) override { ++CutOffs; }
  void onReached(std::string_view, time_ms) override { ++Returns; }

  int CutOffs = 0;
  int Returns = 0;
};

class fixed_reason final : public unplaced_reason {
public:
  bool isOutOfReach(const relay::call &, time_ms) const override {
    return IsOutOfReach;
  }
  bool IsOutOfReach = false;
};

// Chooses the first endpoint outside Tried.
class first_placement final : public relay::placement {
public:
  std::optional<relay::endpoint_choice>
  choose(const relay::call &, const std::set<std::string> &Tried,
         time_ms) override {
    for (const std::string &Endpoint : Endpoints)
      if (!Tried.contains(Endpoint))
        return relay::endpoint_choice{Endpoint, Endpoint + ":1"};
    return std::nullopt;
  }
  void onSent(const relay::call &, std::string_view, time_ms) override {
    ++Sent;
  }
  void onFirstByte(const relay::call &, std::string_view, time_ms) override {}
  void onEnded(const relay::call &, std::string_view, relay::attempt_outcome,
               time_ms) override {
    ++Ended;
  }
  bool tryRetry(std::string_view, time_ms) override { return true; }
  relay::placement_refusal refusal(const relay::call &) const override {
    return {};
  }

  std::vector<std::string> Endpoints = {"e0", "e1", "e2"};
  int Sent = 0;
  int Ended = 0;
};

relay::call callOf(std::string ForwardedBy = {}) {
  relay::call Call;
  Call.Id = "c";
  Call.Service = "s";
  Call.ForwardedBy = std::move(ForwardedBy);
  return Call;
}

struct forwarding_fixture {
  forwarding_fixture() {
    Gate.setForwarding(true);
    Gate.setTaking(true);
    Gate.setMaxForwardedCalls(2);
    Instances.setInstances(std::vector<forwarding_instance>{
        {"i1", "z", "i1:1"}, {"i2", "z", "i2:1"}, {"far", "y", "far:1"}});
  }

  void loseAll(time_ms Now) {
    for (const char *Endpoint : {"e0", "e1"})
      Gate.onEnded(callOf(), Endpoint, relay::attempt_outcome::Unreached, Now);
  }
  std::string chosen(const std::set<std::string> &Tried, time_ms Now) {
    const std::optional<relay::endpoint_choice> Choice =
        Gate.choose(callOf(), Tried, Now);
    return Choice ? Choice->Endpoint : "none";
  }

  fake_paths Paths;
  fake_prober Prober;
  tests::seeded_random Random{1};
  counting_listener Listener;
  path_monitor Monitor{Paths, Prober, Random, Listener};
  instance_selector Instances{"z", Random};
  fixed_reason Reason;
  first_placement Inner;
  forwarding_gate Gate{Inner, Monitor, Instances, Reason};
};

bool isInstance(const std::string &Endpoint) {
  return Endpoint.starts_with("instance/");
}

} // namespace

TEST_CASE("messages about forwarded calls are encoded and decoded",
          "[forwarding]") {
  const std::optional<forwarded_call> Call =
      decodeCall(encode(forwarded_call{"i1", "acc\r\nount", "s", "v1"}));
  REQUIRE(Call);
  CHECK(Call->Instance == "i1");
  CHECK(Call->Account == "acc\r\nount");
  CHECK(Call->Service == "s");
  CHECK(Call->RequiredVersion == "v1");
  const std::optional<relay::forwarded_result> Result =
      decodeResult(encode(relay::forwarded_result{"e", 7, "v2", true}));
  REQUIRE(Result);
  CHECK(Result->Endpoint == "e");
  CHECK(Result->StartedAt == 7);
  CHECK(Result->Version == "v2");
  CHECK(Result->IsVersionCertain);
  const std::optional<relay::placement_refusal> Error = decodeError(
      encode(relay::placement_refusal{relay::error_kind::Overloaded, 30}));
  REQUIRE(Error);
  CHECK(Error->Kind == relay::error_kind::Overloaded);
  CHECK(Error->RetryAfterMs == 30);
}

TEST_CASE("an odd message about a forwarded call is none", "[forwarding]") {
  const std::string Valid = encode(forwarded_call{"i1", "a", "s", ""});
  for (const std::string &Text :
       {std::string(), std::string("zz"), std::string("0"), Valid + "zz",
        Valid.substr(0, Valid.size() - 2), std::string(100'000, 'f'),
        encode(relay::forwarded_result{}),
        encode(forwarded_call{"", "a", "s", ""})}) {
    CHECK_FALSE(decodeCall(Text));
    CHECK_FALSE(decodeError(Text));
  }
}

// Guards against an instance that refuses what others could serve, and against
// one that forwards for a single endpoint that is down.
TEST_CASE("a service is cut off once several endpoints are out of reach",
          "[forwarding]") {
  forwarding_fixture Fixture;
  Fixture.Monitor.onUnreached("s", "e0", 0);
  Fixture.Monitor.onUnreached("s", "e0", 10);
  CHECK_FALSE(Fixture.Monitor.isCutOff("s"));
  SECTION("a second one fails") {
    Fixture.Monitor.onUnreached("s", "e1", 20);
    CHECK(Fixture.Monitor.isCutOff("s"));
    CHECK_FALSE(Fixture.Monitor.isCutOff("t"));
    CHECK(Fixture.Listener.CutOffs == 1);
  }
  SECTION("something came from the service in between") {
    Fixture.Monitor.onReached("s", 15);
    Fixture.Monitor.onUnreached("s", "e1", 20);
    CHECK_FALSE(Fixture.Monitor.isCutOff("s"));
  }
  SECTION("the first failure is old") {
    Fixture.Monitor.onUnreached("s", "e1", 20 + path_monitor::UnreachedForMs);
    CHECK_FALSE(Fixture.Monitor.isCutOff("s"));
  }
  SECTION("the service has one endpoint") {
    Fixture.Paths.Paths = {{"e0", "e0:1"}};
    Fixture.Monitor.onUnreached("t", "e0", 20);
    CHECK(Fixture.Monitor.isCutOff("t"));
  }
}

// Guards against an instance that forwards on when its paths are back.
TEST_CASE("a probe that is accepted ends the cut", "[forwarding]") {
  forwarding_fixture Fixture;
  Fixture.loseAll(0);
  Fixture.Monitor.tick(0);
  CHECK(Fixture.Prober.Pending.size() == path_monitor::ProbesAtOnce);
  Fixture.Prober.finish(false, 50);
  CHECK(Fixture.Monitor.isCutOff("s"));
  Fixture.Monitor.tick(path_monitor::ProbeIntervalMs - 1);
  CHECK(Fixture.Prober.Pending.empty());
  Fixture.Monitor.tick(path_monitor::ProbeIntervalMs);
  Fixture.Prober.finish(true, 300);
  CHECK_FALSE(Fixture.Monitor.isCutOff("s"));
  CHECK(Fixture.Listener.Returns == 1);
  CHECK(Fixture.chosen({}, 300) == "e0");
}

TEST_CASE("calls of a service that is cut off go to another instance",
          "[forwarding]") {
  forwarding_fixture Fixture;
  CHECK(Fixture.chosen({}, 0) == "e0");
  Fixture.loseAll(0);
  const std::string First = Fixture.chosen({}, 10);
  CHECK(isInstance(First));
  CHECK(First != "instance/far");
  SECTION("each call tries another one") {
    const std::string Second = Fixture.chosen({First}, 10);
    CHECK(isInstance(Second));
    CHECK(Second != First);
    CHECK(Fixture.chosen({First, Second}, 10) == "instance/far");
  }
  SECTION("if none is left, an endpoint is tried") {
    CHECK(Fixture.chosen({"instance/i1", "instance/i2", "instance/far"}, 10) ==
          "e0");
  }
  SECTION("one that took no call is avoided for a while, for that service") {
    Fixture.Gate.onSent(callOf(), First, 10);
    Fixture.Gate.onEnded(callOf(), First, relay::attempt_outcome::Withdrawn,
                         20);
    CHECK(Fixture.chosen({}, 30) != First);
    const forwarding_instance *Other =
        Fixture.Instances.choose("t", {"i1", "i2"}, 30);
    REQUIRE(Other != nullptr);
    CHECK(Other->Name == "far");
  }
  SECTION("calls are spread") {
    std::set<std::string> Used;
    for (int Count = 0; Count < 40; ++Count) {
      Used.insert(Fixture.chosen({}, 10));
      Fixture.Gate.onSent(callOf(), *Used.rbegin(), 10);
      Fixture.Gate.onSent(callOf(), Fixture.chosen({}, 10), 10);
    }
    CHECK(Used.size() == 3);
  }
  SECTION("what happens there is no news of an endpoint") {
    Fixture.Gate.onSent(callOf(), First, 10);
    Fixture.Gate.onFirstByte(callOf(), First, 20);
    Fixture.Gate.onEnded(callOf(), First, relay::attempt_outcome::Broken, 30);
    CHECK(Fixture.Inner.Sent == 0);
    CHECK(Fixture.Monitor.isCutOff("s"));
  }
}

// Guards against a stream that goes on at another version: endpoints that start
// again refuse connections too, and other instances learn late of their
// version.
TEST_CASE("a call that is bound to a version is forwarded late",
          "[forwarding]") {
  forwarding_fixture Fixture;
  relay::call Bound = callOf();
  Bound.RequiredVersion = "v1";
  const auto IsForwarded = [&](time_ms Now) {
    const std::optional<relay::endpoint_choice> Choice =
        Fixture.Gate.choose(Bound, {"e0", "e1"}, Now);
    return Choice && Choice->IsInstance;
  };
  Fixture.Reason.IsOutOfReach = true;
  CHECK_FALSE(IsForwarded(0));
  Fixture.loseAll(0);
  CHECK_FALSE(IsForwarded(forwarding_gate::MinCutForBoundMs - 1));
  CHECK(IsForwarded(forwarding_gate::MinCutForBoundMs));
  CHECK(isInstance(Fixture.chosen({}, 10)));
}

// Guards against calls that need a new connection while open ones live on: the
// service is not cut off then.
TEST_CASE("a call that reached two endpoints in vain is forwarded",
          "[forwarding]") {
  forwarding_fixture Fixture;
  for (const char *Endpoint : {"e0", "e1"}) {
    Fixture.Gate.onFirstByte(callOf(), "e2", 0);
    Fixture.Gate.onEnded(callOf(), Endpoint, relay::attempt_outcome::Unreached,
                         10);
  }
  CHECK_FALSE(Fixture.Monitor.isCutOff("s"));
  CHECK(Fixture.chosen({"e1"}, 20) == "e0");
  Fixture.Gate.onEnded(callOf(), "e0", relay::attempt_outcome::Unreached, 20);
  CHECK(isInstance(Fixture.chosen({"e0", "e1"}, 20)));
}

TEST_CASE("a call is forwarded only if reach is what it lacks",
          "[forwarding]") {
  forwarding_fixture Fixture;
  Fixture.Inner.Endpoints.clear();
  CHECK(Fixture.chosen({}, 0) == "none");
  Fixture.Reason.IsOutOfReach = true;
  CHECK(isInstance(Fixture.chosen({}, 0)));
  Fixture.Gate.setForwarding(false);
  CHECK(Fixture.chosen({}, 0) == "none");
}

// Guards against calls that go round, and against an instance that drowns in
// calls of others.
TEST_CASE("a forwarded call is taken only with a path and with room",
          "[forwarding]") {
  forwarding_fixture Fixture;
  const relay::call Forwarded = callOf("i9");
  const auto Refusal = [&](time_ms Now) {
    const std::optional<relay::placement_refusal> Refused =
        Fixture.Gate.admit(Forwarded, Now);
    return Refused ? std::optional(Refused->Kind) : std::nullopt;
  };
  CHECK_FALSE(Refusal(0));
  SECTION("it never goes to a third instance") {
    Fixture.Inner.Endpoints.clear();
    Fixture.Reason.IsOutOfReach = true;
    CHECK_FALSE(Fixture.Gate.choose(Forwarded, {}, 0));
  }
  SECTION("no path") {
    Fixture.loseAll(0);
    CHECK(Refusal(10) == relay::error_kind::NoEndpoint);
    CHECK_FALSE(Fixture.Gate.admit(callOf(), 10));
  }
  SECTION("too many") {
    Fixture.Gate.setForwardedCalls(3);
    CHECK(Refusal(0) == relay::error_kind::InstanceFull);
    CHECK_FALSE(Fixture.Gate.admit(callOf(), 0));
  }
  SECTION("the event loop is late") {
    Fixture.Gate.onLoopDelay(forwarding_gate::MaxLoopDelayMs, 0);
    CHECK(Refusal(10) == relay::error_kind::InstanceFull);
    CHECK_FALSE(Refusal(forwarding_gate::BusyForMs));
  }
  SECTION("it stops") {
    Fixture.Gate.setTaking(false);
    CHECK(Refusal(0) == relay::error_kind::InstanceFull);
  }
}
