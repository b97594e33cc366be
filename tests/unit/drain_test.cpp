// Ways by which a call could still reach an endpoint that has begun to leave.
#include "fakes.hpp"

#include "tamarack/dispatch.hpp"

#include <catch2/catch.hpp>

using namespace tamarack;

namespace {

constexpr time_ms Timeout = 3'000;

class pending_budget final : public relay::token_budget {
public:
  relay::reserve_result reserve(const relay::call &) override { return Result; }
  bool settle(const relay::call &, std::int64_t) override { return true; }

  relay::reserve_result Result = relay::reserve_result::Reserved;
};

class recording_host final : public relay::exchange_host {
public:
  void startAttempt(const relay::endpoint_choice &To,
                    const relay::send_options &) override {
    Attempts.push_back(To.Endpoint);
  }
  void cancelAttempt() override {}
  void beginResponse(const relay::response_head &) override {}
  void forwardEvents(std::string_view) override {}
  void endResponse() override {}
  void sendCompleteResponse(const relay::response_head &,
                            std::string) override {}
  void abortResponse() override {}
  void refuse(relay::error_kind Kind, int) override { Refusal = Kind; }

  std::vector<std::string> Attempts;
  std::optional<relay::error_kind> Refusal;
};

relay::call lookupCall() {
  relay::call Call;
  Call.Id = "c";
  Call.Service = "desk";
  Call.Account = "a";
  Call.Kind = relay::call_kind::Idempotent;
  Call.MaxAttempts = 2;
  Call.Deadline = Timeout;
  Call.PromptTokens = 10;
  return Call;
}

// One call of a service with two endpoints, "e0" and "e1".
struct drain_fixture {
  drain_fixture() {
    std::shared_ptr<relay::route_table> Table =
        std::make_shared<relay::route_table>();
    relay::service Desk;
    Desk.Name = "desk";
    Table->add(Desk);
    Balancer.setTable(Table);
    Balancer.setInstanceCount(1);
    setLeaving({});
  }

  // Replaces the list: these endpoints leave, the others take work.
  void setLeaving(std::set<std::string> Ids) {
    std::vector<dispatch::endpoint_entry> Entries;
    for (const char *Id : {"e0", "e1"}) {
      dispatch::endpoint_entry Entry;
      Entry.Id = Id;
      Entry.Service = "desk";
      Entry.Address = std::string(Id) + ":1";
      Entry.Zone = "z";
      Entry.Slots = 4;
      Entry.Leaving = Ids.contains(Id);
      Entries.push_back(Entry);
    }
    Balancer.setEndpoints(Entries, 0);
  }
  std::string otherThan(const std::string &Id) {
    return Id == "e0" ? "e1" : "e0";
  }

  tests::listed_restriction Restriction;
  tests::seeded_random Random{1};
  tests::recording_availability_listener Listener;
  dispatch::load_balancer Balancer{
      "z", {.ExtraPerWindow = 100}, Restriction, Random, Listener};
  pending_budget Budget;
  relay::no_stream_origins Origins;
  relay::numbered_event_reader Reader;
  recording_host Host;
  memory::memory_budget Memory{1u << 20};
  relay::exchange Exchange{lookupCall(), Balancer, Budget, Origins,
                           Reader,       Host,     Memory};
};

} // namespace

// Guards against a call that waits, and is sent to an endpoint that took work
// when it arrived.
TEST_CASE("a call that waited for tokens reaches no endpoint that leaves",
          "[drain]") {
  drain_fixture Fixture;
  Fixture.Budget.Result = relay::reserve_result::Pending;
  Fixture.Exchange.start(0);
  CHECK(Fixture.Host.Attempts.empty());
  Fixture.Budget.Result = relay::reserve_result::Reserved;
  SECTION("one leaves") {
    Fixture.setLeaving({"e0"});
    Fixture.Exchange.onBudgetChanged(100);
    CHECK(Fixture.Host.Attempts == std::vector<std::string>{"e1"});
  }
  SECTION("all leave") {
    Fixture.setLeaving({"e0", "e1"});
    Fixture.Exchange.onBudgetChanged(100);
    CHECK(Fixture.Host.Attempts.empty());
    CHECK(Fixture.Host.Refusal == relay::error_kind::NoEndpoint);
  }
}

// Guards against a retry at an endpoint that has begun to leave since the first
// attempt.
TEST_CASE("a repeated call reaches no endpoint that leaves", "[drain]") {
  drain_fixture Fixture;
  for (int Count = 0; Count < 100; ++Count)
    Fixture.Balancer.onRequest("desk");
  Fixture.Exchange.start(0);
  REQUIRE(Fixture.Host.Attempts.size() == 1);
  const std::string Other = Fixture.otherThan(Fixture.Host.Attempts[0]);
  relay::response_head Head;
  SECTION("it broke") {
    Fixture.setLeaving({Other});
    Fixture.Exchange.onBroken(100);
    CHECK(Fixture.Host.Refusal == relay::error_kind::EndpointFailed);
  }
  SECTION("it was refused") {
    Fixture.setLeaving({Other});
    Head.Status = 503;
    Head.NotRun = true;
    Fixture.Exchange.onHead(Head, 100);
    Fixture.Exchange.onEnd(100);
    CHECK(Fixture.Host.Refusal == relay::error_kind::Overloaded);
  }
  SECTION("it was not sent") {
    Fixture.setLeaving({Other});
    Fixture.Exchange.onUnreached(100);
    CHECK(Fixture.Host.Refusal == relay::error_kind::NoEndpoint);
  }
  CHECK(Fixture.Host.Attempts.size() == 1);
}
