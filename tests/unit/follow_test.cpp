// Following keyed topics, the endpoint directory, and messages between
// instances.
#include "fakes.hpp"

#include "tamarack/follow.hpp"
#include "tamarack/peers.hpp"

#include <catch2/catch.hpp>

using namespace tamarack;
using namespace tamarack::follow;

using tests::manual_clock;

namespace {

// Responds with the pages that the test has set: at once, or in release() while
// Hold is set.
class scripted_store final : public keyed_store {
public:
  struct held_response {
    page_handler Handler;
    keyed_page Page;
  };

  void readSnapshotPage(store_topic, const std::optional<std::string> &,
                        page_handler Handler) override {
    ++SnapshotReads;
    respond(std::move(Handler), SnapshotPage);
  }
  void read(store_topic, std::uint64_t From, int,
            page_handler Handler) override {
    LastFrom = From;
    respond(std::move(Handler), ReadPage);
  }
  void release() {
    const held_response Response = *std::exchange(Held, std::nullopt);
    Response.Handler(Response.Page);
  }
  void appendAs(store_topic, const store_writer &, std::string_view,
                std::string_view, append_handler Handler) override {
    Handler(AppendStatus);
  }
  void fence(store_topic, const store_writer &,
             append_handler Handler) override {
    Handler(AppendStatus);
  }

  keyed_page SnapshotPage;
  keyed_page ReadPage;
  store_status AppendStatus = store_status::Ok;
  int SnapshotReads = 0;
  std::uint64_t LastFrom = 0;
  bool Hold = false;
  std::optional<held_response> Held;

private:
  void respond(page_handler Handler, const keyed_page &Page) {
    if (Hold)
      Held = held_response{std::move(Handler), Page};
    else
      Handler(Page);
  }
};

class recording_listener final : public topic_listener {
public:
  void onRecord(const keyed_record &Record) override {
    Keys.push_back(Record.Key);
  }
  void onSnapshotEnd() override { ++Snapshots; }
  void onCaughtUp(std::uint64_t) override { ++CaughtUpReports; }
  void onStoreUnavailable() override { ++UnavailableReports; }

  std::vector<std::string> Keys;
  int Snapshots = 0;
  int CaughtUpReports = 0;
  int UnavailableReports = 0;
};

struct follower_fixture {
  follower_fixture()
      : Follower(store_topic::Configuration, Store, Clock, Listener,
                 {1'000, 0, 250}) {
    Store.SnapshotPage.Status = store_status::Ok;
    Store.SnapshotPage.NextOffset = 5;
    Store.SnapshotPage.Records.push_back({4, "k", "v", false});
    Store.ReadPage.Status = store_status::Ok;
    Store.ReadPage.NextOffset = 5;
  }

  manual_clock Clock{0};
  scripted_store Store;
  recording_listener Listener;
  topic_follower Follower;
};

dispatch::endpoint_entry entryOf(const std::string &Id, std::int64_t Sequence,
                                 bool Leaving = false) {
  dispatch::endpoint_entry Entry;
  Entry.Id = Id;
  Entry.Service = "s";
  Entry.Address = "10.0.0.1:1";
  Entry.Sequence = Sequence;
  Entry.Leaving = Leaving;
  return Entry;
}

} // namespace

TEST_CASE("a snapshot of a topic is read once, then only new records",
          "[follow]") {
  follower_fixture Fixture;
  Fixture.Follower.tick(0);
  CHECK(Fixture.Listener.Keys.size() == 1);
  CHECK(Fixture.Listener.Snapshots == 1);
  Fixture.Store.ReadPage.NextOffset = 6;
  Fixture.Store.ReadPage.Records.push_back({5, "n", "v", false});
  Fixture.Follower.tick(1'000);
  CHECK(Fixture.Store.LastFrom == 5);
  CHECK(Fixture.Store.SnapshotReads == 1);
  CHECK(Fixture.Listener.Keys.back() == "n");
}

// Guards against records that are passed over because a page came without them.
TEST_CASE("a page without the records that it tells of skips none",
          "[follow]") {
  follower_fixture Fixture;
  Fixture.Follower.tick(0);
  Fixture.Store.ReadPage.NextOffset = 7; // Records 5 and 6 are missing.
  Fixture.Follower.tick(1'000);
  CHECK(Fixture.Listener.CaughtUpReports == 0);
  Fixture.Clock.Time = 2'000;
  Fixture.Store.SnapshotPage.NextOffset = 7;
  Fixture.Store.SnapshotPage.Records.push_back({6, "n", "v", false});
  Fixture.Follower.tick(2'000);
  CHECK(Fixture.Store.SnapshotReads == 2);
  CHECK(Fixture.Listener.Keys.back() == "n");
}

TEST_CASE("a follower whose next records are trimmed reads a snapshot again",
          "[follow]") {
  follower_fixture Fixture;
  Fixture.Follower.tick(0);
  Fixture.Store.ReadPage = {};
  Fixture.Store.ReadPage.Status = store_status::Trimmed;
  Fixture.Follower.tick(1'000);
  Fixture.Follower.tick(1'001);
  CHECK(Fixture.Store.SnapshotReads == 2);
}

// Guards against a reader that goes on from an offset which belongs to another
// record since the store came back from a copy.
TEST_CASE("a reader starts again from a snapshot in a new era", "[follow]") {
  follower_fixture Fixture;
  Fixture.Store.SnapshotPage.Era = Fixture.Store.ReadPage.Era = 1;
  Fixture.Follower.tick(0);
  Fixture.Follower.tick(0);
  CHECK(Fixture.Store.SnapshotReads == 1);
  CHECK(Fixture.Store.LastFrom == 5);
  // The log has grown past the offset already.
  Fixture.Store.ReadPage.Era = 2;
  Fixture.Store.ReadPage.NextOffset = 7;
  Fixture.Store.ReadPage.Records = {{5, "lost", "v", false},
                                    {6, "other", "v", false}};
  Fixture.Follower.scheduleReadNow();
  Fixture.Follower.tick(1'000);
  CHECK(Fixture.Listener.Keys == std::vector<std::string>{"k"});
  Fixture.Store.SnapshotPage = {
      store_status::Ok, 2, 3, {{2, "new", "v", false}}};
  Fixture.Store.ReadPage = {store_status::Ok, 2, 3, {}};
  Fixture.Follower.tick(1'000);
  CHECK(Fixture.Store.SnapshotReads == 2);
  Fixture.Follower.tick(1'000);
  CHECK(Fixture.Listener.Keys == std::vector<std::string>{"k", "new"});
  CHECK(Fixture.Store.LastFrom == 3);
}

// Guards against a page that looks new because it has just arrived.
TEST_CASE("what a follower knows is as old as its request", "[follow]") {
  follower_fixture Fixture;
  CHECK(Fixture.Follower.knownAsOf() == -1);
  Fixture.Clock.Time = 100;
  Fixture.Store.Hold = true;
  Fixture.Follower.tick(100);
  Fixture.Clock.Time = 3'300;
  Fixture.Store.release();
  CHECK(Fixture.Follower.knownAsOf() == 100);
  CHECK(Fixture.Follower.lastReadMs() == 3'200);
  // An empty page shows what was stored while the store waited for records.
  Fixture.Follower.tick(3'300);
  Fixture.Clock.Time = 4'800;
  Fixture.Store.Held->Page.WaitedMs = 1'000;
  Fixture.Store.release();
  CHECK(Fixture.Follower.knownAsOf() == 4'300);
  // A page that was read earlier, for another instance.
  Fixture.Follower.scheduleReadNow();
  Fixture.Follower.tick(6'000);
  Fixture.Clock.Time = 6'000;
  Fixture.Store.Held->Page.StaleMs = 400;
  Fixture.Store.release();
  CHECK(Fixture.Follower.knownAsOf() == 4'400);
  // More records follow, so not all are known.
  Fixture.Follower.scheduleReadNow();
  Fixture.Follower.tick(6'000);
  Fixture.Store.Held->Page.Records = {{5, "n", "v", false}};
  Fixture.Store.Held->Page.NextOffset = 7;
  Fixture.Store.release();
  CHECK(Fixture.Follower.knownAsOf() == 4'400);
}

TEST_CASE(
    "a response of a former era is dropped, a missing one holds nothing up",
    "[follow]") {
  tests::recording_era_listener Listener;
  store_era Era(Listener);
  Era.observeMissing("");
  CHECK(Listener.Missing == 0); // A store without eras.
  CHECK(Era.observe(3));
  CHECK(Era.observe(3));
  CHECK(Era.observe(5));
  CHECK_FALSE(Era.observe(4));
  CHECK(Era.current() == 5);
  Era.observeMissing("");
  Era.observeMissing("x");
  CHECK(Era.current() == 5);
  using change = std::pair<std::uint64_t, std::uint64_t>;
  CHECK(Listener.Changes == std::vector<change>{{0, 3}, {3, 5}});
  CHECK(Listener.Former == 1);
  CHECK(Listener.Missing == 2);
}

TEST_CASE("an unavailable store is reported, and the read is retried",
          "[follow]") {
  follower_fixture Fixture;
  Fixture.Store.SnapshotPage.Status = store_status::Unavailable;
  Fixture.Follower.tick(0);
  CHECK(Fixture.Listener.UnavailableReports == 1);
  CHECK(Fixture.Follower.isStoreUnavailable());
  Fixture.Store.SnapshotPage.Status = store_status::Ok;
  Fixture.Follower.tick(250);
  CHECK_FALSE(Fixture.Follower.isStoreUnavailable());
  // The snapshot may miss records that were appended during its read.
  CHECK(Fixture.Listener.CaughtUpReports == 0);
  Fixture.Follower.tick(250);
  CHECK(Fixture.Store.LastFrom == 5);
  CHECK(Fixture.Listener.CaughtUpReports == 1);
}

TEST_CASE("with SkipSuperseded a follower reads a snapshot after an outage",
          "[follow]") {
  follower_fixture Fixture;
  topic_follower Follower(store_topic::Configuration, Fixture.Store,
                          Fixture.Clock, Fixture.Listener,
                          {1'000, 0, 250, true});
  Follower.tick(0);
  Follower.tick(0);
  Fixture.Store.ReadPage.Status = store_status::Unavailable;
  Follower.tick(1'000);
  CHECK(Fixture.Listener.UnavailableReports == 1);
  Fixture.Store.ReadPage.Status = store_status::Ok;
  Fixture.Store.SnapshotPage.NextOffset = 90;
  Follower.tick(1'250);
  Follower.tick(1'250);
  CHECK(Fixture.Store.SnapshotReads == 2);
  CHECK(Fixture.Store.LastFrom == 90);
}

// Guards against an endpoint that has left and comes back with a copy of the
// store, and against one that is alive and is given up because the copy lacks
// it.
TEST_CASE("a copy of the store brings back no endpoint that has left",
          "[follow]") {
  endpoint_directory Directory;
  Directory.onStoreResponse(0, 0);
  for (const char *Id : {"gone", "leaving", "alive"})
    Directory.onEntry(entryOf(Id, 5));
  Directory.onCaughtUp();
  Directory.onEntry(entryOf("leaving", 6, true));
  Directory.onRemoved("gone", 10);
  Directory.update(10);
  Directory.onEraChanged(1'000);
  Directory.beginSnapshot();
  Directory.onEntry(entryOf("gone", 5));
  Directory.onEntry(entryOf("leaving", 5));
  Directory.endSnapshot(1'000);
  Directory.onCaughtUp();
  Directory.update(1'000);
  const std::vector<dispatch::endpoint_entry> Entries = Directory.entries();
  REQUIRE(Entries.size() == 2);
  CHECK(Entries[0].Id == "alive");
  CHECK(Entries[1].Leaving);
  SECTION("one that is gone and starts again") {
    CHECK(Directory.onEntry(entryOf("gone", 6)));
    CHECK(Directory.entries().size() == 3);
  }
  SECTION("one that doesn't register again") {
    Directory.update(1'000 + endpoint_directory::ReregistrationMs);
    CHECK(Directory.entries().size() == 1);
  }
}

// Guards against overloading the store when operators publish large versions
// several times a second and every instance reads each of them.
TEST_CASE("superseded records of a burst are skipped, then a snapshot is read",
          "[follow]") {
  follower_fixture Fixture;
  topic_follower Follower(store_topic::Configuration, Fixture.Store,
                          Fixture.Clock, Fixture.Listener,
                          {1'000, 500, 250, true, 700});
  Follower.tick(0);
  Follower.tick(0);
  Fixture.Listener.Keys.clear();
  Fixture.Store.ReadPage.NextOffset = 8;
  Fixture.Store.ReadPage.Records = {
      {5, "k", "v1", false}, {6, "n", "v", false}, {7, "k", "v2", false}};
  Follower.tick(0);
  CHECK(Fixture.Listener.Keys == std::vector<std::string>{"n", "k"});
  Fixture.Store.SnapshotPage.NextOffset = 12;
  CHECK(Follower.tick(699) == 700);
  CHECK(Fixture.Store.SnapshotReads == 1);
  Follower.tick(700);
  CHECK(Fixture.Store.SnapshotReads == 2);
}

TEST_CASE("a removed endpoint disappears at once", "[follow]") {
  endpoint_directory Directory;
  Directory.onEntry(entryOf("e", 1));
  CHECK(Directory.update(0));
  Directory.onRemoved("e", 10);
  CHECK(Directory.update(10));
  CHECK(Directory.entries().empty());
}

TEST_CASE("entries removed after a store outage get time to register again",
          "[follow]") {
  endpoint_directory Directory;
  Directory.onStoreResponse(0, 0);
  Directory.onEntry(entryOf("e", 1));
  Directory.onEntry(entryOf("leaving", 1, true));
  Directory.onStoreUnavailable();
  Directory.onStoreResponse(5'000, 5'000);
  Directory.onRemoved("e", 5'010);
  Directory.onRemoved("leaving", 5'010);
  Directory.update(5'010);
  REQUIRE(Directory.entries().size() == 1);
  CHECK(Directory.entries()[0].Id == "e");
  SECTION("an endpoint that registers again stays") {
    Directory.onEntry(entryOf("e", 2));
    Directory.update(9'000);
    CHECK(Directory.entries().size() == 1);
  }
  SECTION("an endpoint that does not is removed") {
    Directory.update(5'000 + endpoint_directory::ReregistrationMs);
    CHECK(Directory.entries().empty());
  }
}

// Guards against an instance that takes its own lag for an outage of the store
// and goes on sending to endpoints that have left.
TEST_CASE("entries removed while the others kept registering get no extra time",
          "[follow]") {
  endpoint_directory Directory;
  Directory.onStoreResponse(0, 0);
  const std::vector<std::string> Living = {"a", "b", "c", "d"};
  for (const std::string &Id : Living)
    Directory.onEntry(entryOf(Id, 1));
  Directory.onEntry(entryOf("gone", 1));
  Directory.onStoreUnavailable();
  Directory.onStoreResponse(5'000, 5'000);
  SECTION("the store went on accepting registrations") {
    Directory.onRemoved("gone", 5'000);
    for (const std::string &Id : Living)
      Directory.onEntry(entryOf(Id, 4));
    Directory.onCaughtUp();
    Directory.update(5'000);
    CHECK(Directory.entries().size() == Living.size());
    Directory.onRemoved("a", 5'500);
    CHECK(Directory.entries().size() == Living.size() - 1);
  }
  SECTION("the store was away, few have registered again") {
    for (const char *Id : {"a", "b", "c", "gone"})
      Directory.onRemoved(Id, 5'000);
    Directory.onEntry(entryOf("a", 4));
    Directory.onCaughtUp();
    Directory.update(5'000);
    CHECK(Directory.entries().size() == Living.size() + 1);
  }
  SECTION("a snapshot does not tell when its entries were written") {
    Directory.beginSnapshot();
    for (const char *Id : {"a", "b"})
      Directory.onEntry(entryOf(Id, 1));
    Directory.endSnapshot(5'000);
    Directory.onCaughtUp();
    Directory.update(5'000);
    CHECK(Directory.entries().size() == Living.size() + 1);
  }
}

// Guards against an instance that goes on sending to endpoints that have left:
// it was cut off from the store together with some endpoints, and the store
// lists no reports in which nothing is new.
TEST_CASE("entries that disappear in an outage that most outlast are gone",
          "[follow]") {
  endpoint_directory Directory;
  Directory.onStoreResponse(0, 0);
  for (const char *Id : {"a", "b", "c", "cut", "gone"})
    Directory.onEntry(entryOf(Id, 1));
  Directory.onStoreUnavailable();
  SECTION(
      "the outage would have expired all entries of a store that was away") {
    Directory.onStoreResponse(8'000, 8'000);
    for (const char *Id : {"cut", "gone"})
      Directory.onRemoved(Id, 8'000);
    Directory.onEntry(entryOf("cut", 2));
    Directory.onCaughtUp();
    Directory.update(8'000);
    CHECK(Directory.entries().size() == 4);
    Directory.onRemoved("a", 8'500);
    CHECK(Directory.entries().size() == 3);
  }
  SECTION("a snapshot that lacks a few") {
    Directory.onStoreResponse(8'000, 8'000);
    Directory.beginSnapshot();
    for (const char *Id : {"a", "b", "c", "cut"})
      Directory.onEntry(entryOf(Id, 1));
    Directory.endSnapshot(8'000);
    Directory.onCaughtUp();
    Directory.update(8'000);
    CHECK(Directory.entries().size() == 4);
  }
  SECTION("a shorter outage of the store may expire some of them") {
    Directory.onStoreResponse(4'000, 4'000);
    for (const char *Id : {"cut", "gone"})
      Directory.onRemoved(Id, 4'000);
    Directory.onCaughtUp();
    Directory.update(4'000);
    CHECK(Directory.entries().size() == 5);
  }
}

// Guards against an instance that goes on sending to an endpoint that has left:
// it was cut off from the store together with a part of the endpoints, and
// takes each removal for an entry that has expired meanwhile.
TEST_CASE("an endpoint that had the store since an outage began has left when "
          "its entry is removed",
          "[follow]") {
  endpoint_directory Directory;
  Directory.onStoreResponse(0, 0);
  for (const char *Id : {"e", "f", "g"})
    Directory.onEntry(entryOf(Id, 1));
  Directory.onStoreUnavailable();
  Directory.onStoreResponse(8'000, 8'000);
  SECTION("it was back after its entry had expired") {
    Directory.onRemoved("e", 8'000);
    Directory.onEntry(entryOf("e", 2));
    Directory.onRemoved("e", 8'000);
    Directory.update(8'000);
    CHECK(Directory.entries().size() == 2);
  }
  SECTION("it went on registering") {
    Directory.onEntry(entryOf("e", 2));
    Directory.onEntry(entryOf("e", 3));
    Directory.onRemoved("e", 8'000);
    Directory.update(8'000);
    CHECK(Directory.entries().size() == 2);
  }
  SECTION("a registration from before the outage may be read after it") {
    Directory.onEntry(entryOf("e", 2));
    Directory.onRemoved("e", 8'000);
    Directory.update(8'000);
    CHECK(Directory.entries().size() == 3);
  }
}

TEST_CASE("after a short outage removed entries get no extra time",
          "[follow]") {
  endpoint_directory Directory;
  Directory.onStoreResponse(0, 0);
  Directory.onEntry(entryOf("e", 1));
  Directory.onStoreUnavailable();
  Directory.onStoreResponse(1'500, 1'500);
  Directory.onRemoved("e", 1'500);
  CHECK(Directory.entries().empty());
}

// Guards against an endpoint that becomes cold while it runs, of which nobody
// learns because nothing else in its entry has changed.
TEST_CASE("an entry that tells how long an endpoint is cold is news",
          "[follow]") {
  endpoint_directory Directory;
  const auto IsNews = [&Directory](std::int64_t Sequence, int WarmUpMs) {
    dispatch::endpoint_entry Entry = entryOf("e", Sequence);
    Entry.WarmUpMs = WarmUpMs;
    Directory.onEntry(Entry);
    return Directory.update(0);
  };
  CHECK(IsNews(1, 0));
  CHECK_FALSE(IsNews(2, 0));
  CHECK(IsNews(3, 3'000));
  CHECK_FALSE(IsNews(3, 3'000));
  CHECK(IsNews(4, 3'000));
  CHECK(IsNews(5, 1'800));
  CHECK(IsNews(6, 0));
  CHECK_FALSE(IsNews(7, 0));
}

TEST_CASE("an entry that is older than the known one is ignored", "[follow]") {
  endpoint_directory Directory;
  Directory.onEntry(entryOf("e", 5, true));
  Directory.onEntry(entryOf("e", 4, false));
  REQUIRE(Directory.entries().size() == 1);
  CHECK(Directory.entries()[0].Leaving);
}

TEST_CASE("a late entry of a removed endpoint does not add the endpoint again",
          "[follow]") {
  endpoint_directory Directory;
  Directory.onEntry(entryOf("e", 8));
  Directory.onEntry(entryOf("e", 9, true));
  Directory.onRemoved("e", 10);
  Directory.onEntry(entryOf("e", 7));
  CHECK(Directory.entries().empty());
  SECTION("a newer entry does") {
    Directory.onEntry(entryOf("e", 10));
    CHECK(Directory.entries().size() == 1);
  }
  SECTION("an entry of a later start does") {
    dispatch::endpoint_entry Entry = entryOf("e", 1);
    Entry.StartedAt = 5;
    Directory.onEntry(Entry);
    CHECK(Directory.entries().size() == 1);
  }
}

TEST_CASE("a snapshot removes the endpoints that are not in it", "[follow]") {
  endpoint_directory Directory;
  Directory.onEntry(entryOf("a", 1));
  Directory.onEntry(entryOf("b", 1));
  Directory.beginSnapshot();
  Directory.onEntry(entryOf("b", 2));
  Directory.endSnapshot(10);
  REQUIRE(Directory.entries().size() == 1);
  CHECK(Directory.entries()[0].Id == "b");
}

namespace {

dispatch::endpoint_entry startedAt(dispatch::endpoint_entry Entry,
                                   std::int64_t StartedAt) {
  Entry.StartedAt = StartedAt;
  return Entry;
}

} // namespace

// Guards against one entry of another writer, with a start or a count of the
// far future, that hides all later reports of a live endpoint.
TEST_CASE("an endpoint that goes on reporting outlives an odd entry",
          "[follow]") {
  endpoint_directory Directory;
  Directory.onEntry(startedAt(entryOf("e", 5), 1'000));
  const bool IsStart = GENERATE(true, false);
  dispatch::endpoint_entry Odd =
      IsStart ? startedAt(entryOf("e", 1), 9'000'000)
              : startedAt(entryOf("e", 9'000'000), 1'000);
  Odd.Address = "10.0.0.2:2";
  Directory.onEntry(Odd);
  SECTION("while it is listed") {}
  SECTION("after it was removed") { Directory.onRemoved("e", 10); }
  for (std::int64_t Sequence = 6; Sequence < 9; ++Sequence)
    Directory.onEntry(startedAt(entryOf("e", Sequence), 1'000));
  REQUIRE(Directory.entries().size() == 1);
  CHECK(Directory.entries()[0].Address == "10.0.0.1:1");
  Directory.onEntry(startedAt(entryOf("e", 9, true), 1'000));
  CHECK(Directory.entries()[0].Leaving);
}

// Guards against an endpoint that gets work although its responses say that it
// takes none: the list may say so later, never, or be of an older copy.
TEST_CASE("an endpoint whose response says that it leaves is leaving",
          "[follow]") {
  endpoint_directory Directory;
  Directory.onEntry(startedAt(entryOf("e", 5), 1'000));
  Directory.update(0);
  CHECK(Directory.onStatedLeaving("e", 1'000, 10));
  CHECK_FALSE(Directory.onStatedLeaving("e", 1'000, 20));
  CHECK(Directory.update(20));
  const auto IsLeaving = [&Directory] {
    return Directory.entries().at(0).Leaving;
  };
  CHECK(IsLeaving());
  SECTION("whatever its entry says") {
    Directory.onEntry(startedAt(entryOf("e", 6), 1'000));
    CHECK(IsLeaving());
  }
  SECTION("also when its entry was gone and comes back") {
    Directory.onRemoved("e", 30);
    CHECK(Directory.entries().empty());
    Directory.onEntry(startedAt(entryOf("e", 7), 1'000));
    CHECK(IsLeaving());
  }
  SECTION("also in a copy of the store") {
    Directory.onEraChanged(30);
    Directory.beginSnapshot();
    Directory.onEntry(startedAt(entryOf("e", 3), 1'000));
    Directory.endSnapshot(40);
    Directory.update(10'000);
    CHECK(IsLeaving());
  }
  SECTION("until it starts anew") {
    Directory.onEntry(startedAt(entryOf("e", 1), 2'000));
    CHECK_FALSE(IsLeaving());
    Directory.onEntry(startedAt(entryOf("e", 8), 1'000));
    CHECK_FALSE(IsLeaving());
  }
  SECTION("a response that is late counts for the start that is known") {
    Directory.onEntry(startedAt(entryOf("e", 1), 2'000));
    Directory.onStatedLeaving("e", 1'000, 50);
    CHECK(IsLeaving());
  }
  SECTION("also if its first entry comes later") {
    Directory.onStatedLeaving("f", 3'000, 60);
    Directory.onEntry(startedAt(entryOf("f", 1), 3'000));
    CHECK(Directory.entries().at(1).Leaving);
  }
}

// Guards against an endpoint that leaves unnoticed behind an odd entry.
TEST_CASE("an odd entry does not hide that its endpoint leaves", "[follow]") {
  endpoint_directory Directory;
  Directory.onEntry(startedAt(entryOf("e", 9'000'000), 1'000));
  Directory.update(0);
  Directory.onEntry(startedAt(entryOf("e", 6, true), 1'000));
  CHECK(Directory.update(0));
  CHECK(Directory.entries()[0].Leaving);
}

TEST_CASE("an entry without the known start changes nothing", "[follow]") {
  endpoint_directory Directory;
  Directory.onEntry(startedAt(entryOf("e", 5), 1'000));
  CHECK_FALSE(Directory.onEntry(entryOf("e", 6)));
  CHECK(Directory.entries()[0].StartedAt == 1'000);
}

TEST_CASE("late reports of a former start don't replace the present one",
          "[follow]") {
  endpoint_directory Directory;
  Directory.onEntry(startedAt(entryOf("e", 5), 1'000));
  Directory.onEntry(startedAt(entryOf("e", 1), 2'000));
  for (std::int64_t Report = 2; Report < 10; ++Report) {
    Directory.onEntry(startedAt(entryOf("e", 4 + Report), 1'000));
    Directory.onEntry(startedAt(entryOf("e", Report), 2'000));
    CHECK(Directory.entries()[0].StartedAt == 2'000);
  }
}

//---------------------------------------------------------------------------
// Messages between instances
//---------------------------------------------------------------------------

TEST_CASE("messages between instances survive encoding and decoding",
          "[peers]") {
  peers::store_request Request;
  Request.Call = peers::store_call::AppendAs;
  Request.Topic = store_topic::Watermarks;
  Request.From = 9;
  Request.Writer = {"m", 3, 4};
  Request.Key = "k";
  Request.Value = std::string("v\0w", 3);
  const std::optional<peers::store_request> Decoded =
      peers::decodeRequest(peers::encode(Request));
  REQUIRE(Decoded);
  CHECK(Decoded->Call == Request.Call);
  CHECK(Decoded->Topic == Request.Topic);
  CHECK(Decoded->Writer.Epoch == 3);
  CHECK(Decoded->Value == Request.Value);
  CHECK_FALSE(peers::decodeRequest("x"));
  CHECK_FALSE(peers::decodeResponse(peers::encode(Request)));
}

// Guards against an outage that looks shorter because the last page before it
// was long on its way.
TEST_CASE("an outage lasts from the last read that was answered", "[follow]") {
  endpoint_directory Directory;
  Directory.onStoreResponse(0, 1'800);
  Directory.onEntry(entryOf("a", 1));
  Directory.onCaughtUp();
  Directory.onStoreUnavailable();
  Directory.onStoreResponse(2'900, 3'000);
  Directory.onRemoved("a", 3'000);
  Directory.update(3'000);
  CHECK(Directory.entries().size() == 1);
  Directory.update(3'000 + endpoint_directory::ReregistrationMs);
  CHECK(Directory.entries().empty());
}
