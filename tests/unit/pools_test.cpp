// Reservations of prepaid tokens at the instance that holds them for its zone:
// single cases, random schedules with lost and late messages, and a large fleet
// that starts at once.
#include "fakes.hpp"

#include "tamarack/pools.hpp"
#include "tamarack/wire.hpp"

#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck.h>

using namespace tamarack;
using namespace tamarack::pools;

using grants::pool_layout;
using grants::pool_member;
using tests::manual_clock;

namespace {

// Holds Tokens of one account, "a".
class fake_tokens final : public token_source {
public:
  explicit fake_tokens(std::int64_t Tokens) : Tokens(Tokens) {}

  reserve_result reserve(std::string_view Account,
                         std::int64_t Bound) override {
    if (reserveHeld(Account, Bound))
      return reserve_result::Reserved;
    ++Requests;
    return WhenShort;
  }
  bool reserveHeld(std::string_view, std::int64_t Bound) override {
    if (Reserved + Used + Bound > Tokens)
      return false;
    Reserved += Bound;
    return true;
  }
  void settle(std::string_view, std::int64_t Bound,
              std::int64_t Spent) override {
    Reserved -= Bound;
    Used += Spent;
  }
  bool isLimited(std::string_view Account) const override {
    return Account == "a";
  }

  std::int64_t Tokens;
  std::int64_t Reserved = 0;
  std::int64_t Used = 0;
  int Requests = 0; // For more tokens.
  reserve_result WhenShort = reserve_result::Pending;
};

class fake_directory final : public pool_directory {
public:
  const std::vector<pool_member> &
  candidatesFor(std::string_view) const override {
    return Candidates;
  }
  bool isActive(std::string_view Instance) const override {
    return !Left.contains(std::string(Instance));
  }
  std::vector<pool_member> Candidates;
  std::set<std::string> Left;
};

// Keeps the messages until the test delivers or drops them.
class queued_transport final : public pool_transport {
public:
  struct message {
    std::string Holder;
    pool_request Request;
  };
  void send(const pool_member &Holder, const pool_request &Request) override {
    Messages.push_back({Holder.Instance, Request});
  }
  std::deque<message> Messages;
};

class recording_listener final : public pool_listener {
public:
  void onBudgetChanged() override {}
  void onRequestQueued() override {}
  void onHolderAvoided(std::string_view Holder, bool, int) override {
    Avoided.emplace_back(Holder);
  }
  void onAnswered(reserve_result, time_ms) override {}
  void onSettlementDropped(std::string_view) override { ++Dropped; }
  std::vector<std::string> Avoided;
  int Dropped = 0;
};

relay::call callOf(std::uint64_t Number, std::int64_t Tokens) {
  relay::call Call;
  Call.Number = Number;
  Call.Account = "a";
  Call.PromptTokens = Tokens;
  return Call;
}

pool_member memberOf(const std::string &Name) {
  return {Name, "zone", Name + ":1"};
}

// One instance that asks "h1", then "h2", then itself.
struct caller_fixture {
  caller_fixture() {
    Directory.Candidates = {memberOf("h1"), memberOf("h2"), memberOf("own"),
                            memberOf("h3")};
  }
  // Delivers the oldest message to Server and returns the response, if
  // Responds.
  void deliver(pool_server &Server, bool Responds = true) {
    const queued_transport::message Message = take();
    const pool_response Response = Server.serve(Message.Request);
    Budget.onResponse(Message.Holder,
                      Responds ? std::optional(Response) : std::nullopt);
  }
  queued_transport::message take() {
    REQUIRE_FALSE(Transport.Messages.empty());
    const queued_transport::message Message = Transport.Messages.front();
    Transport.Messages.pop_front();
    return Message;
  }
  void sendDue() { Budget.sendDue(Clock.Time); }

  manual_clock Clock;
  fake_tokens Own{0};
  fake_directory Directory;
  queued_transport Transport;
  recording_listener Listener;
  pooled_budget Budget{"own", 7, Own, Directory, Transport, Listener, Clock};
};

} // namespace

//---------------------------------------------------------------------------
// Messages
//---------------------------------------------------------------------------

TEST_CASE("pool messages are decoded as they were encoded", "[pools]") {
  const pool_request Request{"i-1", 7, {{3, 40}}, {{4, "a", 500}}};
  const std::optional<pool_request> Decoded = decodeRequest(encode(Request));
  REQUIRE(Decoded);
  CHECK(Decoded->Instance == "i-1");
  CHECK(Decoded->Settled[0].Used == 40);
  CHECK(Decoded->Wanted[0].Bound == 500);
  const pool_response Response{true, {reserve_result::Exhausted}};
  const std::optional<pool_response> Result = decodeResponse(encode(Response));
  REQUIRE(Result);
  CHECK(Result->IsServing);
  CHECK(Result->Results == Response.Results);
}

// Guards against sums that overflow, and memory that a broken peer fills.
TEST_CASE("a pool message with values out of range is refused", "[pools]") {
  const pool_request Valid{"i-1", 7, {{3, 40}}, {{4, "a", 500}}};
  pool_request Request = Valid;
  SECTION("nothing wanted") { Request.Wanted[0].Bound = 0; }
  SECTION("less than nothing") { Request.Wanted[0].Bound = -1; }
  SECTION("more than any budget") {
    Request.Wanted[0].Bound = grants::MaxTokens + 1;
  }
  SECTION("negative use") { Request.Settled[0].Used = -1; }
  SECTION("no name") { Request.Instance.clear(); }
  SECTION("a long name") { Request.Instance.assign(1'000, 'x'); }
  SECTION("a long account") { Request.Wanted[0].Account.assign(1'000, 'x'); }
  SECTION("no incarnation") { Request.Incarnation = 0; }
  SECTION("too many items") {
    Request.Wanted.assign(MaxMessageItems + 1, Valid.Wanted[0]);
  }
  CHECK_FALSE(decodeRequest(encode(Request)));
  CHECK_FALSE(decodeRequest("no message"));
  CHECK_FALSE(decodeResponse(
      wire::pack(std::make_tuple(1, true, std::vector<int>{9}))));
}

//---------------------------------------------------------------------------
// Holder side
//---------------------------------------------------------------------------

TEST_CASE("a holder reserves for others and settles each number once",
          "[pools]") {
  fake_tokens Tokens(1'000);
  pool_server Server(Tokens);
  CHECK(Server.serve({"i", 7, {}, {{1, "a", 600}}}).Results[0] ==
        reserve_result::Reserved);
  CHECK(Server.serve({"i", 7, {}, {{2, "a", 600}}}).Results[0] ==
        reserve_result::Pending);
  // The response was lost, and the instance asks again.
  CHECK(Server.serve({"i", 7, {}, {{1, "a", 600}}}).Results[0] ==
        reserve_result::Reserved);
  CHECK(Tokens.Reserved == 600);
  Server.serve({"i", 7, {{1, 250}}, {}});
  Server.serve({"i", 7, {{1, 250}}, {}});
  CHECK(Tokens.Reserved == 0);
  CHECK(Tokens.Used == 250);
  // A use above the bound can't be true.
  Server.serve({"i", 7, {}, {{3, "a", 100}}});
  Server.serve({"i", 7, {{3, 5'000}}, {}});
  CHECK(Tokens.Used == 350);
}

TEST_CASE("a request that arrives after its settlement reserves nothing",
          "[pools]") {
  fake_tokens Tokens(1'000);
  pool_server Server(Tokens);
  Server.serve({"i", 7, {{1, 0}}, {}});
  CHECK(Server.serve({"i", 7, {}, {{1, "a", 600}}}).Results[0] ==
        reserve_result::Unavailable);
  CHECK(Tokens.Reserved == 0);
}

TEST_CASE("what an instance had reserved before it restarted is billed",
          "[pools]") {
  fake_tokens Tokens(1'000);
  pool_server Server(Tokens);
  Server.serve({"i", 7, {}, {{1, "a", 600}}});
  Server.serve({"i", 8, {}, {{1, "a", 300}}});
  CHECK(Tokens.Used == 600);
  CHECK(Tokens.Reserved == 300);
  CHECK(Server.openReservations() == 1);
}

TEST_CASE("a holder that stops reserves nothing and settles", "[pools]") {
  fake_tokens Tokens(1'000);
  pool_server Server(Tokens);
  Server.serve({"i", 7, {}, {{1, "a", 600}}});
  Server.stop();
  const pool_response Response =
      Server.serve({"i", 7, {{1, 250}}, {{2, "a", 10}}});
  CHECK_FALSE(Response.IsServing);
  CHECK(Tokens.Used == 250);
  CHECK(Tokens.Reserved == 0);
}

TEST_CASE("an account that the holder does not know is not refused for good",
          "[pools]") {
  fake_tokens Tokens(1'000);
  pool_server Server(Tokens);
  CHECK(Server.serve({"i", 7, {}, {{1, "new", 5}}}).Results[0] ==
        reserve_result::Unavailable);
}

//---------------------------------------------------------------------------
// Caller side
//---------------------------------------------------------------------------

TEST_CASE("a call gets the tokens of its zone's holder", "[pools]") {
  caller_fixture Caller;
  fake_tokens Tokens(1'000);
  pool_server Holder(Tokens);
  const relay::call Call = callOf(1, 600);
  CHECK(Caller.Budget.reserve(Call) == reserve_result::Pending);
  Caller.sendDue();
  CHECK(Caller.Transport.Messages.front().Holder == "h1");
  Caller.deliver(Holder);
  CHECK(Caller.Budget.reserve(Call) == reserve_result::Reserved);
  CHECK(Caller.Budget.settle(Call, 250));
  Caller.Clock.Time += 200;
  Caller.sendDue();
  Caller.deliver(Holder);
  CHECK(Tokens.Used == 250);
  CHECK(Tokens.Reserved == 0);
  CHECK(Caller.Budget.unsettledCount() == 0);
  CHECK(Caller.Own.Requests == 0);
}

TEST_CASE("a call asks again while the holder requests tokens", "[pools]") {
  caller_fixture Caller;
  fake_tokens Tokens(0);
  pool_server Holder(Tokens);
  const relay::call Call = callOf(1, 600);
  Caller.Budget.reserve(Call);
  Caller.sendDue();
  Caller.deliver(Holder);
  CHECK(Caller.Budget.reserve(Call) == reserve_result::Pending);
  CHECK(Caller.Transport.Messages.empty());
  Tokens.Tokens = 1'000;
  Caller.Clock.Time = Caller.Budget.nextTimer();
  Caller.sendDue();
  Caller.deliver(Holder);
  CHECK(Caller.Budget.reserve(Call) == reserve_result::Reserved);
}

TEST_CASE("an exhausted account is refused at once", "[pools]") {
  caller_fixture Caller;
  fake_tokens Tokens(0);
  Tokens.WhenShort = reserve_result::Exhausted;
  pool_server Holder(Tokens);
  const relay::call Call = callOf(1, 600);
  Caller.Budget.reserve(Call);
  Caller.sendDue();
  Caller.deliver(Holder);
  CHECK(Caller.Budget.reserve(Call) == reserve_result::Exhausted);
  CHECK(Caller.Budget.waitingCount() == 0);
}

// Guards against a call that is refused although money is left, because the
// holder of its zone is dead or paused.
TEST_CASE("a holder that does not respond is replaced by the next one",
          "[pools]") {
  caller_fixture Caller;
  fake_tokens First(1'000);
  fake_tokens Second(1'000);
  pool_server FirstHolder(First);
  pool_server SecondHolder(Second);
  const relay::call Call = callOf(1, 600);
  Caller.Budget.reserve(Call);
  Caller.sendDue();
  Caller.Clock.Time += pooled_budget::ResponseTimeoutMs;
  Caller.deliver(FirstHolder, false); // It reserves, and its response is lost.
  CHECK(First.Reserved == 600);
  CHECK(Caller.Listener.Avoided == std::vector<std::string>{"h1"});
  CHECK(Caller.Transport.Messages.front().Holder == "h2");
  Caller.deliver(SecondHolder);
  CHECK(Caller.Budget.reserve(Call) == reserve_result::Reserved);

  SECTION("the next call does not ask it") {
    Caller.Budget.reserve(callOf(2, 100));
    Caller.sendDue();
    CHECK(Caller.Transport.Messages.front().Holder == "h2");
  }
  SECTION("it gets its tokens back") {
    Caller.Clock.Time += pooled_budget::MaxAvoidMs;
    Caller.sendDue();
    Caller.deliver(FirstHolder);
    CHECK(First.Reserved == 0);
    CHECK(First.Used == 0);
  }
  SECTION("it has left") {
    Caller.Directory.Left.insert("h1");
    Caller.Clock.Time += pooled_budget::MaxAvoidMs;
    Caller.sendDue();
    CHECK(Caller.Listener.Dropped == 1);
    CHECK(Caller.Budget.unsettledCount() == 0);
  }
}

TEST_CASE("without a holder an instance requests tokens of its own",
          "[pools]") {
  caller_fixture Caller;
  const relay::call Call = callOf(1, 600);
  Caller.Budget.reserve(Call);
  Caller.sendDue();
  for (int Failures = 0; Failures < 2; ++Failures) {
    Caller.Clock.Time += pooled_budget::ResponseTimeoutMs;
    const std::string Holder = Caller.take().Holder;
    Caller.Budget.onResponse(Holder, std::nullopt);
  }
  CHECK(Caller.Transport.Messages.empty());
  CHECK(Caller.Budget.reserve(Call) == reserve_result::Pending);
  CHECK(Caller.Own.Requests == 1);
  Caller.Own.Tokens = 1'000;
  CHECK(Caller.Budget.reserve(Call) == reserve_result::Reserved);
  CHECK(Caller.Budget.settle(Call, 10));
  CHECK(Caller.Own.Used == 10);
}

// The pattern: the store is away, one zone has spent its tokens, and others
// still hold some.
TEST_CASE("while the store is away, tokens of other holders are used",
          "[pools]") {
  caller_fixture Caller;
  Caller.Directory.Candidates = {memberOf("own"), memberOf("far-1"),
                                 memberOf("far-2")};
  Caller.Own.WhenShort = reserve_result::Unavailable;
  fake_tokens Spent(0);
  Spent.WhenShort = reserve_result::Unavailable;
  fake_tokens Left(1'000);
  pool_server First(Spent);
  pool_server Second(Left);
  const relay::call Call = callOf(1, 600);
  CHECK(Caller.Budget.reserve(Call) == reserve_result::Pending);
  Caller.sendDue();
  Caller.deliver(First);
  SECTION("the second one has some") {
    Caller.deliver(Second);
    CHECK(Caller.Budget.reserve(Call) == reserve_result::Reserved);
  }
  SECTION("none has any") {
    Caller.deliver(First);
    CHECK(Caller.Budget.reserve(Call) == reserve_result::Unavailable);
    CHECK(Caller.Budget.waitingCount() == 0);
  }
}

TEST_CASE("a kept connection that has ended costs no holder", "[pools]") {
  caller_fixture Caller;
  fake_tokens Tokens(1'000);
  pool_server Holder(Tokens);
  const relay::call Call = callOf(1, 600);
  Caller.Budget.reserve(Call);
  Caller.sendDue();
  Caller.take();
  Caller.Budget.onResponse("h1", std::nullopt);
  CHECK(Caller.Listener.Avoided.empty());
  Caller.deliver(Holder);
  CHECK(Caller.Budget.reserve(Call) == reserve_result::Reserved);
}

TEST_CASE("a caller that leaves gives its tokens back", "[pools]") {
  caller_fixture Caller;
  fake_tokens Tokens(1'000);
  pool_server Holder(Tokens);
  const relay::call Call = callOf(1, 600);
  Caller.Budget.reserve(Call);
  Caller.sendDue();
  SECTION("before the response") {
    Caller.Budget.withdraw(Call);
    Caller.deliver(Holder);
  }
  SECTION("after the response") {
    Caller.deliver(Holder);
    Caller.Budget.withdraw(Call);
  }
  Caller.Clock.Time += 200;
  Caller.sendDue();
  Caller.deliver(Holder);
  CHECK(Tokens.Reserved == 0);
  CHECK(Tokens.Used == 0);
  CHECK(Caller.Budget.waitingCount() == 0);
}

//---------------------------------------------------------------------------
// Random schedules
//---------------------------------------------------------------------------

namespace {

// Two instances and the holders that they ask. Messages are delivered late,
// answered or not; instances and holders start again.
struct pool_world {
  struct holder {
    fake_tokens Tokens{2'000};
    std::unique_ptr<pool_server> Server;
    // Of former processes: they count as spent until the budget ends.
    std::int64_t SpentBefore = 0;
  };
  struct instance {
    fake_tokens Own{0};
    queued_transport Transport;
    recording_listener Listener;
    std::unique_ptr<pooled_budget> Budget;
    std::vector<relay::call> Waiting;
    std::vector<relay::call> Running;
  };

  pool_world() {
    Directory.Candidates = {memberOf("h1"), memberOf("h2")};
    for (const char *Name : {"h1", "h2"}) {
      holder &Holder = Holders[Name];
      Holder.Server = std::make_unique<pool_server>(Holder.Tokens);
    }
    start(Instances[0]);
    start(Instances[1]);
  }

  void start(instance &Instance) {
    Instance.Waiting.clear();
    Instance.Running.clear();
    Instance.Budget = std::make_unique<pooled_budget>(
        "i" + std::to_string(&Instance - Instances.data()), ++Incarnation,
        Instance.Own, Directory, Instance.Transport, Instance.Listener, Clock);
    Instance.Transport.Messages.clear();
  }

  void tryReserve(instance &Instance, const relay::call &Call) {
    const reserve_result Result = Instance.Budget->reserve(Call);
    if (Result == reserve_result::Pending)
      Instance.Waiting.push_back(Call);
    if (Result == reserve_result::Reserved)
      Instance.Running.push_back(Call);
  }

  // All tokens that running calls may still spend, and those that were spent.
  std::int64_t exposure() const {
    std::int64_t Sum = Spent;
    for (const instance &Instance : Instances)
      for (const relay::call &Call : Instance.Running)
        Sum += Call.maxTokens();
    return Sum;
  }
  std::int64_t counted() const {
    std::int64_t Sum = 0;
    for (const auto &[Name, Holder] : Holders)
      Sum += Holder.Tokens.Reserved + Holder.Tokens.Used;
    for (const instance &Instance : Instances)
      Sum += Instance.Own.Reserved + Instance.Own.Used;
    return Sum;
  }

  manual_clock Clock;
  fake_directory Directory;
  std::map<std::string, holder> Holders;
  std::array<instance, 2> Instances;
  std::uint64_t Incarnation = 0;
  std::uint64_t NextCall = 0;
  std::int64_t Spent = 0;
};

enum class pool_step {
  Begin,
  Ask,
  Send,
  Answer,
  Lose,
  Settle,
  Leave,
  Restart,
  Wait
};
constexpr int PoolStepCount = 9;

} // namespace

// Holders count every token that a call has spent or may still spend, whichever
// messages are lost and whoever starts again.
TEST_CASE("no token is spent that no holder counts", "[pools][property]") {
  rc::check("counted tokens cover the exposure", [] {
    pool_world World;
    const std::vector<int> Steps = *rc::gen::container<std::vector<int>>(
        rc::gen::inRange(0, PoolStepCount));
    for (int Step : Steps) {
      pool_world::instance &Instance =
          World.Instances[*rc::gen::inRange<std::size_t>(0, 2)];
      queued_transport &Transport = Instance.Transport;
      switch (static_cast<pool_step>(Step)) {
      case pool_step::Begin:
        World.tryReserve(Instance,
                         callOf(++World.NextCall, *rc::gen::inRange(1, 600)));
        break;
      case pool_step::Ask: {
        const std::vector<relay::call> Waiting =
            std::exchange(Instance.Waiting, std::vector<relay::call>());
        for (const relay::call &Call : Waiting)
          World.tryReserve(Instance, Call);
        break;
      }
      case pool_step::Send:
        Instance.Budget->sendDue(World.Clock.Time);
        break;
      case pool_step::Answer:
      case pool_step::Lose: {
        if (Transport.Messages.empty())
          break;
        const queued_transport::message Message = Transport.Messages.front();
        Transport.Messages.pop_front();
        const bool IsServed = *rc::gen::arbitrary<bool>();
        const bool IsLost = static_cast<pool_step>(Step) == pool_step::Lose;
        std::optional<pool_response> Response;
        if (IsServed || !IsLost)
          Response =
              World.Holders[Message.Holder].Server->serve(Message.Request);
        if (IsLost)
          Response.reset();
        Instance.Budget->onResponse(Message.Holder, Response);
        break;
      }
      case pool_step::Settle:
        if (!Instance.Running.empty()) {
          const relay::call Call = Instance.Running.back();
          Instance.Running.pop_back();
          const std::int64_t Used =
              *rc::gen::inRange<std::int64_t>(0, Call.maxTokens() + 1);
          World.Spent += Used;
          Instance.Budget->settle(Call, Used);
        }
        break;
      case pool_step::Leave:
        if (!Instance.Waiting.empty()) {
          Instance.Budget->withdraw(Instance.Waiting.back());
          Instance.Waiting.pop_back();
        }
        break;
      case pool_step::Restart:
        for (const relay::call &Call : Instance.Running)
          World.Spent += Call.maxTokens(); // Nobody knows; at most that.
        World.start(Instance);
        break;
      case pool_step::Wait:
        World.Clock.Time += *rc::gen::inRange(0, 700);
        break;
      }
      // What waits in an instance for its settlement to arrive is counted too.
      RC_ASSERT(World.exposure() <= World.counted());
      for (const auto &[Name, Holder] : World.Holders)
        RC_ASSERT(Holder.Tokens.Reserved + Holder.Tokens.Used <=
                  Holder.Tokens.Tokens);
    }
  });
}

//---------------------------------------------------------------------------
// Who holds
//---------------------------------------------------------------------------

TEST_CASE("instances agree on one holder a zone, and small zones share nothing",
          "[pools][grants]") {
  std::vector<pool_member> Members;
  for (int I = 0; I < 49; ++I)
    Members.push_back({"a-" + std::to_string(I), "a", "x:1"});
  Members.push_back({"b-0", "b", "x:1"});
  Members.push_back({"b-1", "b", "x:1"});
  std::map<std::string, int> HeldBy;
  for (int Number = 0; Number < 100; ++Number) {
    const std::string Account = "account-" + std::to_string(Number);
    std::set<std::string> Holders;
    for (const pool_member &Member : Members) {
      pool_layout Layout(Member.Instance, Member.Zone);
      Layout.setMembers(Members);
      CHECK(Layout.holderCount() == 3);
      if (Layout.isHolder(Account))
        Holders.insert(Member.Instance);
      CHECK(Layout.isZoneShared() == (Member.Zone == "a"));
      CHECK(std::ranges::count(Layout.candidatesFor(Account), Member.Instance,
                               &pool_member::Instance) == 1);
    }
    CHECK(Holders.size() == 3);
    CHECK(Holders.contains("b-0"));
    for (const std::string &Holder : Holders)
      ++HeldBy[Holder];
  }
  // A quarter of the zone holds the accounts, none of them many.
  CHECK(HeldBy.size() <= 2 + 49 / pool_layout::InstancesPerHolder);
  for (const auto &[Name, Count] : HeldBy)
    if (Name[0] == 'a')
      CHECK(Count < 30);
}

namespace {

// A topic that all instances write and read, without losses.
struct shared_topic {
  std::vector<std::pair<std::string, std::string>> Records;
};

struct fleet_member {
  std::unique_ptr<grants::grant_holder> Holder;
  std::size_t RecordsRead = 0;
};

std::shared_ptr<relay::route_table> budgetsOf(int Accounts,
                                              std::int64_t Prepaid) {
  const std::shared_ptr<relay::route_table> Table =
      std::make_shared<relay::route_table>();
  for (int I = 0; I < Accounts; ++I) {
    relay::account Account;
    Account.Name = "account-" + std::to_string(I);
    Account.PrepaidTokens = Prepaid;
    Table->add(Account, {});
  }
  return Table;
}

} // namespace

// The pattern: 300 instances, budgets of which a 300th part is less than one
// call asks for, and all instances start at the same moment.
TEST_CASE("a fleet that starts at once can spend budgets of few calls an "
          "instance",
          "[pools][grants]") {
  constexpr int Instances = 300;
  constexpr int Zones = 6;
  constexpr int Accounts = 10;
  constexpr std::int64_t Prepaid = 750'000;
  constexpr std::int64_t CallTokens = 12'000;
  manual_clock Clock;
  shared_topic Topic;
  const std::shared_ptr<relay::route_table> Table =
      budgetsOf(Accounts, Prepaid);
  std::vector<fleet_member> Fleet(Instances);
  for (int I = 0; I < Instances; ++I) {
    const std::string Name = "i-" + std::to_string(I);
    Fleet[static_cast<std::size_t>(I)].Holder =
        std::make_unique<grants::grant_holder>(
            grants::holder_identity{Name, "zone-" + std::to_string(I % Zones),
                                    static_cast<std::uint64_t>(I + 1),
                                    Name + ":1", "boot"},
            grants::grant_settings(), Clock);
    Fleet[static_cast<std::size_t>(I)].Holder->setBudgets(Table);
    Fleet[static_cast<std::size_t>(I)].Holder->onPreviousWatermark({});
  }
  const auto Read = [&Topic](fleet_member &Member) {
    for (; Member.RecordsRead < Topic.Records.size(); ++Member.RecordsRead)
      Member.Holder->onRecord(Topic.Records[Member.RecordsRead].first,
                              Topic.Records[Member.RecordsRead].second, false);
    Member.Holder->onCaughtUp();
  };
  // All read, then all write, as they do when they start together.
  int Writes = 0;
  for (int Round = 0; Round < 12; ++Round) {
    Clock.Time += 500;
    for (fleet_member &Member : Fleet)
      Read(Member);
    for (int I = 0; I < Instances; ++I) {
      grants::grant_holder &Holder = *Fleet[static_cast<std::size_t>(I)].Holder;
      const std::optional<grants::holder_record> Record =
          Holder.planWrite(Clock.Time);
      if (!Record)
        continue;
      ++Writes;
      Holder.onWriteStored(Record->WriteNumber);
      Topic.Records.emplace_back("i-" + std::to_string(I),
                                 grants::encode(*Record));
    }
  }
  for (fleet_member &Member : Fleet)
    Read(Member);
  for (int Number = 0; Number < Accounts; ++Number) {
    const std::string Account = "account-" + std::to_string(Number);
    std::int64_t Granted = 0;
    std::set<std::string> ZonesThatServe;
    for (fleet_member &Member : Fleet) {
      const std::int64_t Ceiling = Member.Holder->statusOf(Account).Ceiling;
      Granted += Ceiling;
      if (Member.Holder->reserveHeld(Account, CallTokens))
        ZonesThatServe.insert(
            Member.Holder->pools().candidatesFor(Account).front().Zone);
    }
    // Each zone can begin a call at once, and most of the budget stays free.
    CHECK(ZonesThatServe.size() == Zones);
    CHECK(Granted <= Prepaid / 2);
  }
  // One record to announce each instance, and a few of those that hold tokens.
  CHECK(Writes < 2 * Instances);
}

// Failure: during a rolling update, programs with and without attachments
// serve each other's reservations.
TEST_CASE("messages are read with and without an attachment", "[pools]") {
  using old_request = std::tuple<
      int, std::string, std::uint64_t,
      std::vector<std::tuple<std::uint64_t, std::int64_t>>,
      std::vector<std::tuple<std::uint64_t, std::string, std::int64_t>>>;
  using old_response = std::tuple<int, bool, std::vector<int>>;
  const old_request Old(1, "i", 7, {{1, 2}}, {{3, "a", 4}});
  const std::optional<pool_request> Request = decodeRequest(wire::pack(Old));
  REQUIRE(Request);
  CHECK(Request->Wanted.size() == 1);
  CHECK(Request->Attachment.empty());
  pool_request New = *Request;
  New.Attachment = "news";
  CHECK(decodeRequest(encode(New))->Attachment == "news");
  CHECK(wire::unpack<old_request>(encode(New), 1) == Old);
  const old_response OldResponse(1, true, {0});
  REQUIRE(decodeResponse(wire::pack(OldResponse)));
  pool_response Response = *decodeResponse(wire::pack(OldResponse));
  Response.Attachment = "news";
  CHECK(decodeResponse(encode(Response))->Attachment == "news");
  CHECK(wire::unpack<old_response>(encode(Response), 1) == OldResponse);
  Response.Attachment = std::string(MaxAttachmentBytes + 1, 'x');
  REQUIRE(decodeResponse(encode(Response)));
  CHECK(decodeResponse(encode(Response))->Attachment.empty());
  CHECK(decodeResponse(encode(Response))->Results.size() == 1);
}
