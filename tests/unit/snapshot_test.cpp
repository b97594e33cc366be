// Reads of snapshots that take several pages, without I/O.
#include "fakes.hpp"

#include "tamarack/follow.hpp"
#include "tamarack/peers.hpp"

#include <catch2/catch.hpp>

#include <set>
#include <vector>

using namespace tamarack;
using namespace tamarack::follow;

namespace {

constexpr int MaxCalls = 1'000; // Of a read that ends.

// A store that sends the snapshot of one topic in pages of PageRecords, by key.
class paged_store final : public keyed_store {
public:
  void readSnapshotPage(store_topic, const std::optional<std::string> &After,
                        page_handler Handler) override {
    REQUIRE(++Calls <= MaxCalls);
    if (OnCall)
      OnCall(Calls);
    if (Calls == FailingCall)
      return Handler({});
    keyed_page Page;
    Page.Status = store_status::Ok;
    Page.Era = Era;
    Page.NextOffset = NextOffset;
    auto Next =
        After && !IsAfterIgnored ? Keys.upper_bound(*After) : Keys.begin();
    for (; Next != Keys.end() && Page.Records.size() < PageRecords; ++Next)
      Page.Records.push_back({0, *Next, "v", false});
    Page.More = Next != Keys.end() || HasAlwaysMore;
    Handler(std::move(Page));
  }
  void read(store_topic, std::uint64_t, int, page_handler) override {
    FAIL("not used");
  }
  void appendAs(store_topic, const store_writer &, std::string_view,
                std::string_view, append_handler) override {
    FAIL("not used");
  }
  void fence(store_topic, const store_writer &, append_handler) override {
    FAIL("not used");
  }

  std::set<std::string> Keys;
  std::size_t PageRecords = 2;
  std::uint64_t NextOffset = 9;
  std::uint64_t Era = 1;
  int FailingCall = -1;
  bool IsAfterIgnored = false; // Each page is the first one.
  bool HasAlwaysMore = false;
  std::function<void(int)> OnCall; // With the number of the call.
  int Calls = 0;
};

struct read_result {
  std::vector<std::string> Keys;
  std::optional<snapshot_end> End;
};

read_result readAll(keyed_store &Store) {
  read_result Result;
  readSnapshot(
      Store, store_topic::Endpoints,
      [&Result](const keyed_page &Page) {
        for (const keyed_record &Record : Page.Records)
          Result.Keys.push_back(Record.Key);
      },
      [&Result](const snapshot_end &End) {
        REQUIRE_FALSE(Result.End);
        Result.End = End;
      });
  return Result;
}

class recording_listener final : public topic_listener {
public:
  void onRecord(const keyed_record &Record) override {
    Log.push_back(Record.Key);
  }
  void onSnapshotBegin() override { Log.emplace_back("begin"); }
  void onSnapshotEnd() override { Log.emplace_back("end"); }
  void onSnapshotAbort() override { Log.emplace_back("abort"); }
  void onCaughtUp(std::uint64_t) override {}
  void onStoreUnavailable() override { Log.emplace_back("unavailable"); }

  std::vector<std::string> Log;
};

struct follower_fixture {
  explicit follower_fixture(bool AcceptStuckSnapshot = false)
      : Follower(store_topic::Endpoints, Store, Clock, Listener,
                 {.PollIntervalMs = 1'000,
                  .RetryDelayMs = 250,
                  .AcceptStuckSnapshot = AcceptStuckSnapshot}) {
    Store.Keys = {"a", "b", "c"};
  }

  tests::manual_clock Clock{0};
  paged_store Store;
  recording_listener Listener;
  topic_follower Follower;
};

using texts = std::vector<std::string>;

} // namespace

// Guards against a key that is left out or read twice at the border of a page;
// an empty key is none that is absent.
TEST_CASE("every key of a snapshot is read once, however it is cut",
          "[follow]") {
  tests::seeded_random Random(7);
  for (int Round = 0; Round < 500; ++Round) {
    paged_store Store;
    Store.PageRecords = 1 + Random.next() % 5;
    for (std::uint64_t Count = Random.next() % 20; Count > 0; --Count) {
      std::string Key;
      for (std::uint64_t Size = Random.next() % 4; Size > 0; --Size)
        Key.push_back(static_cast<char>(Random.next() % 256));
      Store.Keys.insert(std::move(Key));
    }
    const read_result Result = readAll(Store);
    REQUIRE(Result.End->Status == store_status::Ok);
    CHECK(Result.End->Records == Store.Keys.size());
    CHECK(Result.Keys == texts(Store.Keys.begin(), Store.Keys.end()));
  }
}

// Guards against a read that keeps all pages until the last one: other writers
// may have left more than the process can hold.
TEST_CASE("a page is passed on before the next one is read", "[follow]") {
  paged_store Store;
  Store.Keys = {"a", "b", "c", "d", "e"};
  std::size_t PassedOn = 0;
  Store.OnCall = [&PassedOn](int Call) {
    CHECK(PassedOn == 2 * static_cast<std::size_t>(Call - 1));
  };
  readSnapshot(
      Store, store_topic::Endpoints,
      [&PassedOn](const keyed_page &Page) { PassedOn += Page.Records.size(); },
      [](const snapshot_end &) {});
  CHECK(Store.Calls == 3);
}

// Guards against a read without end from a store that repeats a page.
TEST_CASE("a read ends when the store repeats a page", "[follow]") {
  paged_store Store;
  SECTION("the first page again") {
    Store.Keys = {"a", "b", "c"};
    Store.IsAfterIgnored = true;
  }
  SECTION("an empty key, after which the store starts anew") {
    Store.Keys = {""};
    Store.IsAfterIgnored = true;
    Store.HasAlwaysMore = true;
  }
  SECTION("a page without records") { Store.HasAlwaysMore = true; }
  const read_result Result = readAll(Store);
  CHECK(Result.End->IsStuck);
  CHECK(Result.End->Status == store_status::Refused);
  CHECK(Store.Calls <= 2);
}

// Guards against records that are neither in the snapshot nor read after it: a
// later page may have been read earlier, for another instance.
TEST_CASE("reading goes on from the oldest page of a snapshot", "[follow]") {
  paged_store Store;
  Store.Keys = {"a", "b", "c"};
  Store.OnCall = [&Store](int Call) { Store.NextOffset = Call == 1 ? 9 : 7; };
  CHECK(readAll(Store).End->NextOffset == 7);
}

TEST_CASE("pages of two eras are no snapshot", "[follow]") {
  paged_store Store;
  Store.Keys = {"a", "b", "c"};
  Store.OnCall = [&Store](int Call) {
    Store.Era = static_cast<std::uint64_t>(Call);
  };
  const read_result Result = readAll(Store);
  CHECK(Result.End->Status == store_status::Refused);
  CHECK_FALSE(Result.End->IsStuck);
}

// Guards against keys that are taken for gone because their page is missing.
TEST_CASE("a snapshot that breaks off is read again", "[follow]") {
  follower_fixture Fixture;
  Fixture.Store.FailingCall = 2;
  Fixture.Follower.tick(0);
  CHECK(Fixture.Listener.Log ==
        texts{"begin", "a", "b", "abort", "unavailable"});
  CHECK(Fixture.Follower.knownAsOf() == -1);
  Fixture.Listener.Log.clear();
  Fixture.Clock.Time = 250;
  Fixture.Follower.tick(250);
  CHECK(Fixture.Listener.Log == texts{"begin", "a", "b", "c", "end"});
}

// Guards against routers that serve nothing, since the store repeats a page
// after a key that it can't read itself.
TEST_CASE("a stuck snapshot is accepted only where writers repeat themselves",
          "[follow]") {
  const bool Accepts = GENERATE(false, true);
  follower_fixture Fixture(Accepts);
  Fixture.Store.IsAfterIgnored = true;
  Fixture.Follower.tick(0);
  CHECK(Fixture.Listener.Log.back() == (Accepts ? "end" : "unavailable"));
  CHECK(Fixture.Follower.isStoreUnavailable() != Accepts);
}

TEST_CASE("a request for a page names its key to a peer", "[peers]") {
  peers::store_request Request;
  for (const std::optional<std::string> &After :
       {std::optional<std::string>(), std::optional<std::string>(""),
        std::optional<std::string>("a\xff&")}) {
    Request.After = After;
    CHECK(peers::decodeRequest(peers::encode(Request))->After == After);
  }
  peers::store_response Response;
  for (const bool More : {false, true}) {
    Response.Page.More = More;
    CHECK(peers::decodeResponse(peers::encode(Response))->Page.More == More);
  }
}
