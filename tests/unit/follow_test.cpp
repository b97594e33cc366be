// What is known of the platform's topics.
#include "fakes.hpp"

#include "tamarack/follow.hpp"
#include "tamarack/peers.hpp"

#include <catch2/catch.hpp>

using namespace tamarack;
using namespace tamarack::follow;

namespace {

class fixed_clock final : public clock {
public:
  time_ms now() const override { return Time; }
  time_ms monotonic() const override { return Time; }
  time_ms sinceBoot() const override { return Time; }
  time_ms Time = 0;
};

// Answers at once with what the test has laid out.
class scripted_store final : public keyed_store {
public:
  void newest(store_topic, page_handler Handler) override {
    ++Newest;
    Handler(NewestPage);
  }
  void read(store_topic, std::uint64_t From, int,
            page_handler Handler) override {
    LastFrom = From;
    Handler(ReadPage);
  }
  void appendAs(store_topic, const store_writer &, std::string_view,
                std::string_view, append_handler Handler) override {
    Handler(AppendStatus);
  }
  void fence(store_topic, const store_writer &,
             append_handler Handler) override {
    Handler(AppendStatus);
  }

  keyed_page NewestPage;
  keyed_page ReadPage;
  store_status AppendStatus = store_status::Ok;
  int Newest = 0;
  std::uint64_t LastFrom = 0;
};

class noting_listener final : public topic_listener {
public:
  void onRecord(const keyed_record &Record) override {
    Keys.push_back(Record.Key);
  }
  void onWholeEnds() override { ++Wholes; }
  void onCaughtUp(std::uint64_t) override { ++CaughtUp; }
  void onAway() override { ++Away; }

  std::vector<std::string> Keys;
  int Wholes = 0;
  int CaughtUp = 0;
  int Away = 0;
};

struct follower_fixture {
  follower_fixture()
      : Follower(store_topic::Configuration, Store, Clock, Listener,
                 {1'000, 0, 250}) {
    Store.NewestPage.Status = store_status::Ok;
    Store.NewestPage.End = 5;
    Store.NewestPage.Records.push_back({4, "k", "v", false});
    Store.ReadPage.Status = store_status::Ok;
    Store.ReadPage.End = 5;
  }

  fixed_clock Clock;
  scripted_store Store;
  noting_listener Listener;
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

TEST_CASE("a topic is read whole once, then what is new", "[follow]") {
  follower_fixture Fixture;
  Fixture.Follower.tick(0);
  CHECK(Fixture.Listener.Keys.size() == 1);
  CHECK(Fixture.Listener.Wholes == 1);
  Fixture.Store.ReadPage.End = 6;
  Fixture.Store.ReadPage.Records.push_back({5, "n", "v", false});
  Fixture.Follower.tick(1'000);
  CHECK(Fixture.Store.LastFrom == 5);
  CHECK(Fixture.Store.Newest == 1);
  CHECK(Fixture.Listener.Keys.back() == "n");
}

TEST_CASE("a topic whose history is gone is read whole again", "[follow]") {
  follower_fixture Fixture;
  Fixture.Follower.tick(0);
  Fixture.Store.ReadPage = {};
  Fixture.Store.ReadPage.Status = store_status::Trimmed;
  Fixture.Follower.tick(1'000);
  Fixture.Follower.tick(1'001);
  CHECK(Fixture.Store.Newest == 2);
}

TEST_CASE("a store that does not answer is told and asked again", "[follow]") {
  follower_fixture Fixture;
  Fixture.Store.NewestPage.Status = store_status::Unavailable;
  Fixture.Follower.tick(0);
  CHECK(Fixture.Listener.Away == 1);
  CHECK(Fixture.Follower.isAway());
  Fixture.Store.NewestPage.Status = store_status::Ok;
  Fixture.Follower.tick(250);
  CHECK_FALSE(Fixture.Follower.isAway());
  CHECK(Fixture.Listener.CaughtUp == 0); // The newest are no snapshot.
  Fixture.Follower.tick(250);
  CHECK(Fixture.Store.LastFrom == 5);
  CHECK(Fixture.Listener.CaughtUp == 1);
}

TEST_CASE("after an outage only the newest records are read, where they do",
          "[follow]") {
  follower_fixture Fixture;
  topic_follower Follower(store_topic::Configuration, Fixture.Store,
                          Fixture.Clock, Fixture.Listener,
                          {1'000, 0, 250, true});
  Follower.tick(0);
  Follower.tick(0);
  Fixture.Store.ReadPage.Status = store_status::Unavailable;
  Follower.tick(1'000);
  CHECK(Fixture.Listener.Away == 1);
  Fixture.Store.ReadPage.Status = store_status::Ok;
  Fixture.Store.NewestPage.End = 90;
  Follower.tick(1'250);
  Follower.tick(1'250);
  CHECK(Fixture.Store.Newest == 2);
  CHECK(Fixture.Store.LastFrom == 90);
}

// The pattern: operators publish large versions several times a second.
TEST_CASE("of versions that come quickly only the newest are read",
          "[follow]") {
  follower_fixture Fixture;
  topic_follower Follower(store_topic::Configuration, Fixture.Store,
                          Fixture.Clock, Fixture.Listener,
                          {1'000, 500, 250, true, 700});
  Follower.tick(0);
  Follower.tick(0);
  Fixture.Listener.Keys.clear();
  Fixture.Store.ReadPage.End = 8;
  Fixture.Store.ReadPage.Records = {
      {5, "k", "v1", false}, {6, "n", "v", false}, {7, "k", "v2", false}};
  Follower.tick(0);
  CHECK(Fixture.Listener.Keys == std::vector<std::string>{"n", "k"});
  Fixture.Store.NewestPage.End = 12;
  CHECK(Follower.tick(699) == 700);
  CHECK(Fixture.Store.Newest == 1);
  Follower.tick(700);
  CHECK(Fixture.Store.Newest == 2);
}

TEST_CASE("an endpoint that is gone is gone at once", "[follow]") {
  endpoint_directory Directory;
  Directory.onEntry(entryOf("e", 1));
  CHECK(Directory.update(0));
  Directory.onGone("e", 10);
  CHECK(Directory.update(10));
  CHECK(Directory.entries().empty());
}

TEST_CASE("entries lost with the store get time to come back", "[follow]") {
  endpoint_directory Directory;
  Directory.onAnswer(0);
  Directory.onEntry(entryOf("e", 1));
  Directory.onEntry(entryOf("leaving", 1, true));
  Directory.onAway();
  Directory.onAnswer(5'000);
  Directory.onGone("e", 5'010);
  Directory.onGone("leaving", 5'010);
  Directory.update(5'010);
  REQUIRE(Directory.entries().size() == 1);
  CHECK(Directory.entries()[0].Id == "e");
  SECTION("one that registers again stays") {
    Directory.onEntry(entryOf("e", 2));
    Directory.update(9'000);
    CHECK(Directory.entries().size() == 1);
  }
  SECTION("one that does not is gone") {
    Directory.update(5'000 + endpoint_directory::RegisterAgainMs);
    CHECK(Directory.entries().empty());
  }
}

TEST_CASE("a short silence of the store lets no entry lapse", "[follow]") {
  endpoint_directory Directory;
  Directory.onAnswer(0);
  Directory.onEntry(entryOf("e", 1));
  Directory.onAway();
  Directory.onAnswer(1'500);
  Directory.onGone("e", 1'500);
  CHECK(Directory.entries().empty());
}

TEST_CASE("an entry that is older than the known one changes nothing",
          "[follow]") {
  endpoint_directory Directory;
  Directory.onEntry(entryOf("e", 5, true));
  Directory.onEntry(entryOf("e", 4, false));
  REQUIRE(Directory.entries().size() == 1);
  CHECK(Directory.entries()[0].Leaving);
}

TEST_CASE("a late report of an endpoint that is gone does not bring it back",
          "[follow]") {
  endpoint_directory Directory;
  Directory.onEntry(entryOf("e", 8));
  Directory.onEntry(entryOf("e", 9, true));
  Directory.onGone("e", 10);
  Directory.onEntry(entryOf("e", 7));
  CHECK(Directory.entries().empty());
  SECTION("a newer report does") {
    Directory.onEntry(entryOf("e", 10));
    CHECK(Directory.entries().size() == 1);
  }
  SECTION("another start does") {
    dispatch::endpoint_entry Entry = entryOf("e", 1);
    Entry.StartedAt = 5;
    Directory.onEntry(Entry);
    CHECK(Directory.entries().size() == 1);
  }
}

TEST_CASE("a whole list drops what it does not name", "[follow]") {
  endpoint_directory Directory;
  Directory.onEntry(entryOf("a", 1));
  Directory.onEntry(entryOf("b", 1));
  Directory.beginWhole();
  Directory.onEntry(entryOf("b", 2));
  Directory.endWhole(10);
  REQUIRE(Directory.entries().size() == 1);
  CHECK(Directory.entries()[0].Id == "b");
}

//---------------------------------------------------------------------------
// Messages between instances
//---------------------------------------------------------------------------

TEST_CASE("messages between instances come back as they were sent", "[peers]") {
  peers::store_request Request;
  Request.Call = peers::store_call::AppendAs;
  Request.Topic = store_topic::Marks;
  Request.From = 9;
  Request.Writer = {"m", 3, 4};
  Request.Key = "k";
  Request.Value = std::string("v\0w", 3);
  const std::optional<peers::store_request> Back =
      peers::decodeRequest(peers::encode(Request));
  REQUIRE(Back);
  CHECK(Back->Call == Request.Call);
  CHECK(Back->Topic == Request.Topic);
  CHECK(Back->Writer.Epoch == 3);
  CHECK(Back->Value == Request.Value);
  CHECK_FALSE(peers::decodeRequest("x"));
  CHECK_FALSE(peers::decodeResponse(peers::encode(Request)));
}
