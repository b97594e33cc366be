// Streams that callers take up at other instances, without I/O.
#include "fakes.hpp"

#include "tamarack/streams.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <set>

using namespace tamarack;
using namespace tamarack::streams;

using relay::origin_state;
using tests::manual_clock;

namespace {

constexpr register_settings SmallRegister{10'000, 1'000, 4};

// A store of one topic. Calls are performed in run(), in order.
class queued_store final : public keyed_store {
public:
  void readSnapshotPage(store_topic Topic, const std::optional<std::string> &,
                        page_handler Handler) override {
    REQUIRE(Topic == store_topic::Streams);
    Calls.push_back([this, Handler] {
      keyed_page Page;
      Page.Status = Status;
      if (Status == store_status::Ok)
        for (const auto &[Key, Value] : Records)
          Page.Records.push_back({0, Key, Value, false});
      Handler(std::move(Page));
    });
  }
  void read(store_topic, std::uint64_t, int, page_handler) override {
    FAIL("not used");
  }
  void appendAs(store_topic Topic, const store_writer &Writer,
                std::string_view Key, std::string_view Value,
                append_handler Handler) override {
    REQUIRE(Topic == store_topic::Streams);
    ++Appends;
    Calls.push_back([this, Writer, Key = std::string(Key),
                     Value = std::string(Value), Handler] {
      std::uint64_t &Epoch = Epochs[Writer.Name];
      const bool IsFenced = Writer.Epoch < Epoch;
      if (Status == store_status::Ok && !IsFenced) {
        Epoch = Writer.Epoch;
        Records[Key] = Value;
      }
      Handler(IsFenced ? store_status::Conflict : Status);
    });
  }
  void fence(store_topic, const store_writer &, append_handler) override {
    FAIL("not used");
  }

  void run() {
    while (!Calls.empty()) {
      const std::function<void()> Call = std::move(Calls.front());
      Calls.pop_front();
      Call();
    }
  }

  store_status Status = store_status::Ok;
  std::map<std::string, std::string> Records;
  int Appends = 0;

private:
  std::map<std::string, std::uint64_t> Epochs;
  std::deque<std::function<void()>> Calls;
};

class counting_listener final : public origin_listener {
public:
  void onOriginsRead() override { ++Reads; }
  void onUnreadableRecord(std::string_view) override { ++Unreadable; }
  int Reads = 0;
  int Unreadable = 0;
};

relay::call callOf(std::uint64_t Key) {
  relay::call Call;
  Call.Service = "s";
  Call.StreamKey = Key;
  Call.Account = "a";
  return Call;
}

// One incarnation of an instance.
struct instance {
  instance(const std::string &Name, queued_store &Store, manual_clock &Clock,
           std::uint64_t Epoch)
      : Clock(Clock), Store(Store), Exchange(Name, Store, Clock, Listener, {}) {
    Exchange.tick(Clock.Time);
    Store.run();
    Exchange.allowWrites(Epoch);
  }
  void begin(std::uint64_t Key, const std::string &Version) {
    Exchange.onBegun(callOf(Key), Version);
  }
  void write() {
    Clock.Time += 1'000;
    Exchange.tick(Clock.Time);
    Store.run();
  }
  relay::stream_origin find(std::uint64_t Key) {
    relay::call Call = callOf(Key);
    Call.ArrivedAt = Clock.Time;
    if (Exchange.find(Call).State == origin_state::Pending)
      Store.run();
    return Exchange.find(Call);
  }

  manual_clock &Clock;
  queued_store &Store;
  counting_listener Listener;
  origin_exchange Exchange;
};

} // namespace

TEST_CASE("a stream is known at all instances, also after all have died",
          "[streams]") {
  manual_clock Clock;
  queued_store Store;
  {
    instance A("a", Store, Clock, 1);
    instance B("b", Store, Clock, 1);
    A.begin(1, "v1");
    A.begin(2, "v2");
    CHECK(A.find(1).Version == "v1");
    A.write();
    CHECK(B.find(1).State == origin_state::Known);
    CHECK(B.find(1).Version == "v1");
    CHECK(B.find(2).Version == "v2");
    CHECK(B.find(3).State == origin_state::Unknown);
  }
  // Both start again, and a writes streams of its own.
  instance A("a", Store, Clock, 2);
  A.begin(4, "v2");
  A.write();
  instance B("b", Store, Clock, 2);
  for (instance *One : {&A, &B}) {
    CHECK(One->find(1).Version == "v1");
    CHECK(One->find(4).Version == "v2");
    CHECK(One->find(3).State == origin_state::Unknown);
  }
}

// Guards against a first write that replaces what the previous incarnation had
// stored before that was read.
TEST_CASE("nothing is written before the previous record is read",
          "[streams]") {
  manual_clock Clock;
  queued_store Store;
  Store.Records["a"] = encode({{1, {"s", "v1"}, 500}});
  Store.Status = store_status::Unavailable;
  instance A("a", Store, Clock, 2);
  A.begin(2, "v2");
  A.write();
  CHECK(Store.Appends == 0);
  CHECK(A.find(1).State == origin_state::Unknown);
  Store.Status = store_status::Ok;
  A.write(); // Reads.
  A.write();
  CHECK(Store.Appends == 1);
  const std::optional<std::vector<origin>> Stored =
      decodeOrigins(Store.Records["a"]);
  REQUIRE(Stored);
  CHECK(Stored->size() == 2);
}

TEST_CASE("a stream whose key began at two versions is ambiguous",
          "[streams]") {
  manual_clock Clock;
  queued_store Store;
  instance A("a", Store, Clock, 1);
  instance B("b", Store, Clock, 1);
  instance C("c", Store, Clock, 1);
  A.begin(1, "v1");
  B.begin(1, "v2");
  A.begin(2, "v1");
  A.begin(2, "v2");
  B.begin(3, "v1");
  A.begin(3, "v1");
  A.write();
  B.write();
  CHECK(C.find(1).State == origin_state::Ambiguous);
  CHECK(C.find(2).State == origin_state::Ambiguous);
  CHECK(C.find(3).Version == "v1");
  CHECK(A.find(2).State == origin_state::Ambiguous);
}

TEST_CASE("versions of two services differ although their names don't",
          "[streams]") {
  manual_clock Clock;
  queued_store Store;
  instance A("a", Store, Clock, 1);
  instance B("b", Store, Clock, 1);
  relay::call Call = callOf(1);
  A.Exchange.onBegun(Call, "v1");
  A.write();
  CHECK(B.find(1).Service == "s");
  Call.Service = "other";
  B.Exchange.onBegun(Call, "v1");
  CHECK(B.find(1).State == origin_state::Ambiguous);
}

TEST_CASE("an unreadable record hides no other one", "[streams]") {
  manual_clock Clock;
  queued_store Store;
  Store.Records["x"] = "\xc1";
  Store.Records["y"] = encode({{1, {"s", "v1"}, 0}});
  instance A("a", Store, Clock, 1);
  CHECK(A.find(1).Version == "v1");
  CHECK(A.Listener.Unreadable == 1);
}

TEST_CASE("a look-up while the store is unavailable ends at once",
          "[streams]") {
  manual_clock Clock;
  queued_store Store;
  instance A("a", Store, Clock, 1);
  Store.Status = store_status::Unavailable;
  ++Clock.Time;
  CHECK(A.find(1).State == origin_state::Unknown);
  CHECK(A.Listener.Reads == 2);
}

TEST_CASE("an account pushes out no streams of others", "[streams]") {
  origin_register Register(SmallRegister);
  Register.add(1, "small", {"s", "v1"}, 0);
  for (std::uint64_t Key = 10; Key < 100; ++Key)
    Register.add(Key, "large", {"s", "v1"}, 1);
  CHECK(Register.size() == SmallRegister.MaxStreams);
  CHECK(Register.find(1)->Version == "v1");
  CHECK(Register.find(99)->Version == "v1");
  CHECK_FALSE(Register.find(10));
}

TEST_CASE("a stream is kept for as long as it may be taken up", "[streams]") {
  origin_register Register(SmallRegister);
  Register.add(1, "a", {"s", "v1"}, 0);
  Register.add(2, "a", {"s", "v1"}, 0);
  Register.onDelivered(2, 3'000);
  Register.removeExpired(3'999);
  CHECK(Register.size() == 2);
  Register.removeExpired(4'000);
  CHECK_FALSE(Register.find(2));
  // Taken up, so it may break off once more.
  Register.add(1, "a", {"s", "v1"}, 9'000);
  Register.removeExpired(18'999);
  CHECK(Register.find(1)->Version == "v1");
  Register.removeExpired(19'000);
  CHECK(Register.size() == 0);
}

TEST_CASE("records are written more often while versions are mixed",
          "[streams]") {
  manual_clock Clock;
  queued_store Store;
  instance A("a", Store, Clock, 1);
  const auto WritesInASecond = [&](const std::string &Version) {
    const int Before = Store.Appends;
    for (std::uint64_t Key = 0; Key < 20; ++Key) {
      Clock.Time += 50;
      A.begin(static_cast<std::uint64_t>(Clock.Time), Version);
      A.Exchange.tick(Clock.Time);
      Store.run();
    }
    return Store.Appends - Before;
  };
  CHECK(WritesInASecond("v1") == 2);
  CHECK(WritesInASecond("v2") >= 9);
  // Until the streams of the other version can't be taken up any more.
  Clock.Time += 70'000;
  WritesInASecond("v2");
  CHECK(WritesInASecond("v2") == 2);
}

TEST_CASE("records are encoded and decoded", "[streams]") {
  const std::vector<origin> Origins = {{1, {"s", "v1"}, 5},
                                       {~0ull, {"s", "v2"}, 0}};
  const std::optional<std::vector<origin>> Decoded =
      decodeOrigins(encode(Origins));
  REQUIRE(Decoded);
  REQUIRE(Decoded->size() == 2);
  CHECK((*Decoded)[1].Key == ~0ull);
  CHECK((*Decoded)[1].Software.Version == "v2");
  CHECK((*Decoded)[0].AgeMs == 5);
  // Guards against a version that is empty and means any version.
  const std::optional<std::vector<origin>> Unnamed =
      decodeOrigins(encode({{7, {"engine", ""}, 1}}));
  REQUIRE(Unnamed);
  CHECK(Unnamed->front().Software == software());
  CHECK_FALSE(decodeOrigins("").has_value());
  CHECK_FALSE(decodeOrigins("\x91\x02").has_value());
}

// Guards against any order of kills, releases and outages after which a stream
// goes on at another version than the one that began it.
TEST_CASE("random fleets never name a wrong version", "[streams]") {
  constexpr int Runs = 300;
  constexpr int Steps = 400;
  constexpr int Instances = 4;
  int Known = 0;
  int Asked = 0;
  for (std::uint64_t Seed = 1; Seed <= Runs; ++Seed) {
    INFO("seed " << Seed);
    tests::seeded_random Random(Seed);
    manual_clock Clock;
    queued_store Store;
    std::map<std::uint64_t, std::string> BegunAt; // Version by key.
    std::uint64_t NextKey = 1;
    std::uint64_t Epoch = 1;
    int Release = 1;
    std::vector<std::unique_ptr<instance>> Fleet;
    const auto Start = [&](int Number) {
      return std::make_unique<instance>(std::string(1, char('a' + Number)),
                                        Store, Clock, ++Epoch);
    };
    for (int Number = 0; Number < Instances; ++Number)
      Fleet.push_back(Start(Number));
    for (int Step = 0; Step < Steps; ++Step) {
      Clock.Time += static_cast<time_ms>(Random.next() % 200);
      instance &One = *Fleet[Random.next() % Instances];
      switch (Random.next() % 16) {
      case 0: // All are killed.
        for (int Number = 0; Number < Instances; ++Number) {
          Store.run();
          Fleet[static_cast<std::size_t>(Number)] = Start(Number);
        }
        break;
      case 1: {
        const std::size_t Number = Random.next() % Instances;
        Fleet[Number] = nullptr;
        Store.run();
        Fleet[Number] = Start(static_cast<int>(Number));
        break;
      }
      case 2:
        Release += static_cast<int>(Random.next() % 2);
        break;
      case 3:
        Store.Status = Random.next() % 3 == 0 ? store_status::Unavailable
                                              : store_status::Ok;
        break;
      case 4:
      case 5:
      case 6: {
        if (BegunAt.empty())
          break;
        const std::uint64_t Key =
            NextKey - 1 - Random.next() % std::min<std::uint64_t>(20, NextKey);
        const relay::stream_origin Origin = One.find(Key);
        if (Origin.State == origin_state::Known)
          REQUIRE(Origin.Version == BegunAt[Key]);
        Asked += Store.Status == store_status::Ok ? 1 : 0;
        Known += Origin.State == origin_state::Known ? 1 : 0;
        break;
      }
      default: {
        const int Version = Release - static_cast<int>(Random.next() % 2);
        BegunAt[NextKey] = "v" + std::to_string(Version);
        One.begin(NextKey, BegunAt[NextKey]);
        ++NextKey;
        break;
      }
      }
      for (const std::unique_ptr<instance> &Member : Fleet)
        Member->Exchange.tick(Clock.Time);
      Store.run();
    }
  }
  // What is not known began shortly before a kill.
  CHECK(Known > Asked * 2 / 3);
}

//---------------------------------------------------------------------------
// The versions of endpoints
//---------------------------------------------------------------------------

namespace {

class fixed_list final : public listed_versions {
public:
  std::optional<listed_version> find(std::string_view Endpoint) const override {
    const auto Found = Entries.find(Endpoint);
    if (Found == Entries.end())
      return std::nullopt;
    return Found->second;
  }
  time_ms knownAsOf() const override { return KnownAsOf; }

  std::map<std::string, listed_version, std::less<>> Entries = {
      {"e", {1'000, "v1"}}};
  time_ms KnownAsOf = -1;
};

constexpr int LeaveNoticeMs = 2'000;

struct gate_fixture {
  bool isCertain(time_ms ConnectedAt) const {
    return Gate.isVersionCertain(Choice, ConnectedAt);
  }

  manual_clock Clock{100'000};
  fixed_list List;
  tests::empty_placement Inner;
  version_gate Gate{Inner, List, Clock, LeaveNoticeMs};
  relay::endpoint_choice Choice{"e", "10.0.0.1:1", 0, "v1", 1'000};
};

} // namespace

// Guards against an instance that was out of step while an endpoint started
// again, under its id and address, in another version.
TEST_CASE("a version is certain by a recent list or an older connection",
          "[streams]") {
  gate_fixture Fixture;
  const time_ms Now = Fixture.Clock.Time;
  SECTION("nothing is known") { CHECK_FALSE(Fixture.isCertain(0)); }
  SECTION("the list is recent") {
    Fixture.List.KnownAsOf = Now - 1'000;
    CHECK(Fixture.isCertain(Now));
  }
  SECTION("the list is old, and so is the connection") {
    Fixture.List.KnownAsOf = Now - 30'000;
    CHECK(Fixture.isCertain(Now - 40'000));
  }
  SECTION("the list is old, the connection is not") {
    Fixture.List.KnownAsOf = Now - LeaveNoticeMs;
    CHECK_FALSE(Fixture.isCertain(Now));
    // An endpoint that starts is listed a little later.
    CHECK_FALSE(Fixture.isCertain(Fixture.List.KnownAsOf - 100));
  }
  SECTION("the list names another start or version, or none") {
    Fixture.List.KnownAsOf = Now;
    Fixture.List.Entries["e"] =
        GENERATE(listed_version{2'000, "v1"}, listed_version{1'000, "v2"});
    CHECK_FALSE(Fixture.isCertain(0));
    Fixture.List.Entries.clear();
    CHECK_FALSE(Fixture.isCertain(0));
  }
}

TEST_CASE("only a stream that is bound to a version needs a certain one",
          "[streams]") {
  gate_fixture Fixture;
  const time_ms Now = Fixture.Clock.Time;
  relay::call Call = callOf(1);
  CHECK(Fixture.Gate.mayStillSend(Call, Fixture.Choice, Now, Now));
  Call.RequiredVersion = "v1";
  CHECK_FALSE(Fixture.Gate.mayStillSend(Call, Fixture.Choice, Now, Now));
  Fixture.List.KnownAsOf = Now;
  CHECK(Fixture.Gate.mayStillSend(Call, Fixture.Choice, Now, Now));
  // The instance stands still between the choice and the send.
  Fixture.Clock.Time += 5'000;
  CHECK_FALSE(Fixture.Gate.mayStillSend(Call, Fixture.Choice, Now, Now));
}

TEST_CASE("a stream of an uncertain version is known as such everywhere",
          "[streams]") {
  manual_clock Clock;
  queued_store Store;
  instance First("a", Store, Clock, 1);
  First.begin(7, "");
  First.write();
  instance Second("b", Store, Clock, 1);
  CHECK(First.find(7).State == origin_state::Ambiguous);
  CHECK(Second.find(7).State == origin_state::Ambiguous);
}
