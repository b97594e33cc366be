// Random schedules of a follower, a store and slow links, without I/O.
#include "fakes.hpp"

#include "tamarack/follow.hpp"
#include "tamarack/peers.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace tamarack;

namespace {

constexpr int RunMs = 30'000;
constexpr int TickMs = 100;
constexpr int MaxDelayMs = 3'000; // At the store, and on the way back.
constexpr int Schedules = 500;

// A store with one key whose versions are numbered by offset. It looks at its
// records some time after the call, and the page is on its way for some time.
class delayed_store final : public keyed_store {
public:
  delayed_store(const tests::manual_clock &Clock, random_source &Random)
      : Clock(Clock), Random(Random) {}

  void readSnapshotPage(store_topic, const std::optional<std::string> &,
                        page_handler Handler) override {
    pending_read Read;
    Read.Handler = std::move(Handler);
    Read.IsSnapshot = true;
    start(std::move(Read));
  }
  void read(store_topic, std::uint64_t From, int WaitMs,
            page_handler Handler) override {
    pending_read Read;
    Read.Handler = std::move(Handler);
    Read.From = From;
    Read.WaitMs = WaitMs;
    start(std::move(Read));
  }
  void appendAs(store_topic, const store_writer &, std::string_view,
                std::string_view, append_handler Handler) override {
    Handler(store_status::Refused);
  }
  void fence(store_topic, const store_writer &,
             append_handler Handler) override {
    Handler(store_status::Refused);
  }

  void append() { AckedAt.push_back(Clock.Time); }
  std::uint64_t recordsBefore(time_ms Time) const {
    return static_cast<std::uint64_t>(
        std::lower_bound(AckedAt.begin(), AckedAt.end(), Time) -
        AckedAt.begin());
  }
  // Does what is due.
  void run() {
    for (std::size_t I = 0; I < Reads.size(); ++I)
      lookAtRecords(Reads[I]);
    for (std::size_t I = 0; I < Reads.size();) {
      if (Reads[I].ArrivesAt < 0 || Reads[I].ArrivesAt > Clock.Time) {
        ++I;
        continue;
      }
      const pending_read Done = std::move(Reads[I]);
      Reads.erase(Reads.begin() + static_cast<std::ptrdiff_t>(I));
      Done.Handler(Done.Page);
    }
  }

private:
  struct pending_read {
    page_handler Handler;
    bool IsSnapshot = false;
    std::uint64_t From = 0;
    time_ms LooksAt = 0;
    int WaitMs = 0;
    time_ms ArrivesAt = -1; // -1 until the store has responded.
    keyed_page Page;
  };

  int delay() {
    const bool IsSlow = Random.next() % 4 == 0;
    return static_cast<int>(Random.next() % (IsSlow ? MaxDelayMs : 20));
  }
  void start(pending_read Read) {
    Read.LooksAt = Clock.Time + delay();
    Reads.push_back(std::move(Read));
  }
  void lookAtRecords(pending_read &Read) {
    if (Read.ArrivesAt >= 0 || Clock.Time < Read.LooksAt)
      return;
    const std::uint64_t End = AckedAt.size();
    const bool IsEmpty = !Read.IsSnapshot && End <= Read.From;
    if (IsEmpty && Clock.Time < Read.LooksAt + Read.WaitMs)
      return;
    Read.Page.Status = store_status::Ok;
    Read.Page.NextOffset = End;
    Read.Page.WaitedMs = IsEmpty ? Read.WaitMs : 0;
    const std::uint64_t First = Read.IsSnapshot ? End - 1 : Read.From;
    for (std::uint64_t Offset = First; Offset < End; ++Offset)
      Read.Page.Records.push_back({Offset, "k", "v", false});
    Read.ArrivesAt = Clock.Time + delay();
  }

  const tests::manual_clock &Clock;
  random_source &Random;
  std::vector<time_ms> AckedAt; // By offset.
  std::vector<pending_read> Reads;
};

class newest_record final : public follow::topic_listener {
public:
  void onRecord(const keyed_record &Record) override {
    Known = std::max(Known, Record.Offset + 1);
  }
  void onCaughtUp(std::uint64_t) override {}
  std::uint64_t Known = 0; // Records up to the newest one received.
};

// Two instances follow the topic by the same shared reads, one directly.
void runSchedule(std::uint64_t Seed) {
  tests::seeded_random Random(Seed);
  tests::manual_clock Clock(0);
  delayed_store Store(Clock, Random);
  peers::shared_read_store Shared(Store, Clock);
  newest_record Newest[3];
  const follow::follower_settings Settings{0, 1'000, 250, true};
  follow::topic_follower Direct(store_topic::Configuration, Store, Clock,
                                Newest[0], Settings);
  follow::topic_follower First(store_topic::Configuration, Shared, Clock,
                               Newest[1], {0, 0, 250, true});
  follow::topic_follower Joined(store_topic::Configuration, Shared, Clock,
                                Newest[2], {0, 0, 250, true});
  Store.append();
  for (; Clock.Time < RunMs; ++Clock.Time) {
    if (Random.next() % 800 == 0)
      Store.append();
    Store.run();
    if (Clock.Time % TickMs == 0) {
      Direct.tick(Clock.Time);
      First.tick(Clock.Time);
    }
    if (Clock.Time % TickMs == TickMs / 2)
      Joined.tick(Clock.Time);
    REQUIRE(Newest[0].Known >= Store.recordsBefore(Direct.knownAsOf()));
    REQUIRE(Newest[1].Known >= Store.recordsBefore(First.knownAsOf()));
    REQUIRE(Newest[2].Known >= Store.recordsBefore(Joined.knownAsOf()));
  }
  REQUIRE(Direct.knownAsOf() > RunMs - 4 * MaxDelayMs);
  REQUIRE(Joined.knownAsOf() > RunMs - 6 * MaxDelayMs);
}

} // namespace

// Guards against an instance that takes an old version for the newest one: with
// delays as in the record of issue 28, what a follower says it knows must be
// there.
TEST_CASE("a follower has all that was stored before the time it states",
          "[follow]") {
  for (std::uint64_t Seed = 1; Seed <= Schedules; ++Seed) {
    INFO("seed " << Seed);
    runSchedule(Seed);
  }
}
