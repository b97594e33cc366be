// Limits of cold endpoints: how they are divided, and for how long they hold.
#include "fakes.hpp"

#include "tamarack/limits.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>

using namespace tamarack;
using namespace tamarack::limits;

namespace {

constexpr char Service[] = "engine";
constexpr double Limit = 7.6;
constexpr int ColdMs = 3'000;

class recording_listener final : public limiter_listener {
public:
  void onLimitChanged(std::string_view, const known_limit &,
                      std::string_view) override {}
  void onLimitUnreadable(std::string_view, std::string_view) override {}
  void onShareChanged(std::string_view, double, double, int) override {}
  void onCallRefused(const relay::call &, int) override {}
  void onEndpointCold(std::string_view, time_ms, double, double,
                      std::size_t Number) override {
    ++ColdLines;
    Cold = Number;
  }
  void onEndpointWarm(std::string_view, std::size_t Number) override {
    ++WarmLines;
    Cold = Number;
  }
  int ColdLines = 0;
  int WarmLines = 0;
  std::size_t Cold = 0;
};

std::shared_ptr<const relay::route_table> tableOf(double PerSecond) {
  const auto Table = std::make_shared<relay::route_table>();
  relay::service Engine;
  Engine.Name = Service;
  Engine.ColdRequestsPerSecond = PerSecond;
  Table->add(Engine);
  return Table;
}

dispatch::endpoint_entry entryOf(std::string Id, int WarmUpMs,
                                 std::int64_t Sequence = 1,
                                 std::int64_t StartedAt = 1) {
  dispatch::endpoint_entry Entry;
  Entry.Id = std::move(Id);
  Entry.Service = Service;
  Entry.WarmUpMs = WarmUpMs;
  Entry.Sequence = Sequence;
  Entry.StartedAt = StartedAt;
  return Entry;
}

std::vector<std::string> namesOf(int Count) {
  std::vector<std::string> Names;
  Names.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Names.push_back("i" + std::to_string(100 + I));
  return Names;
}

std::vector<std::string> without(std::vector<std::string> Names,
                                 const std::string &Name) {
  std::erase(Names, Name);
  return Names;
}

// One instance, alone in its list, after it has settled.
struct lone_instance {
  explicit lone_instance(double PerSecond = Limit) {
    Limiter.setTable(tableOf(PerSecond), 0);
    read(Now);
    Now = 10'000;
    read(Now);
  }
  void read(time_ms At) { Limiter.setInstances({}, At); }
  void list(std::vector<dispatch::endpoint_entry> Entries) {
    Limiter.setEndpoints(Entries, Now);
  }
  // Sends as much as it may until End; returns the number of requests.
  int sendUntil(const std::string &Endpoint, time_ms End) {
    int Sent = 0;
    for (; Now < End; Now += 10) {
      if (Now % 500 == 0)
        read(Now);
      Limiter.tick(Now);
      if (!Limiter.mayGetRequest(Endpoint, Now))
        continue;
      Limiter.onSent(Endpoint, Now);
      ++Sent;
    }
    return Sent;
  }
  recording_listener Listener;
  endpoint_limiter Limiter{"own", Listener};
  time_ms Now = 0;
};

} // namespace

//---------------------------------------------------------------------------
// Shares
//---------------------------------------------------------------------------

TEST_CASE("the shares of a cold endpoint add up to its limit", "[cold]") {
  for (const int Instances : {1, 2, 5, 86, 300})
    for (const double PerSecond : {0.01, 1.0, 2.9, 7.6, 40.0, 1e12}) {
      const std::vector<std::string> Names = namesOf(Instances);
      double Sum = 0;
      double Most = 0; // Requests in one second.
      for (const std::string &Name : Names) {
        const double Share =
            shareOfColdLimit("e", PerSecond, Name, without(Names, Name));
        Sum += Share;
        Most += Share > 0 ? std::floor(Share) + 1 : 0;
      }
      CAPTURE(Instances, PerSecond);
      CHECK(Sum == Approx(PerSecond));
      CHECK(Most <= 1.5 * PerSecond + 5);
    }
}

// Guards against instances that all get another share because one joins, so
// that lists of different age add up to a multiple of the limit.
TEST_CASE("an instance that joins moves one share of a cold endpoint at most",
          "[cold]") {
  const std::vector<std::string> After = namesOf(60);
  for (int Joined = 0; Joined < 60; ++Joined) {
    const std::string &New = After[static_cast<std::size_t>(Joined)];
    const std::vector<std::string> Before = without(After, New);
    int Moved = 0;
    for (const std::string &Name : Before)
      Moved += shareOfColdLimit("e", Limit, Name, without(Before, Name)) !=
               shareOfColdLimit("e", Limit, Name, without(After, Name));
    CHECK(Moved <= 1);
  }
}

//---------------------------------------------------------------------------
// The time of a limit
//---------------------------------------------------------------------------

TEST_CASE("an endpoint is limited while it is cold, and no longer", "[cold]") {
  lone_instance Fleet;
  Fleet.list({entryOf("e", ColdMs)});
  CHECK(Fleet.Listener.Cold == 1);
  const int Sent = Fleet.sendUntil("e", Fleet.Now + ColdMs);
  CHECK(Sent <= Limit * ColdMs / 1'000);
  CHECK(Sent >= 0.8 * Limit * ColdMs / 1'000);
  CHECK(Fleet.sendUntil("e", Fleet.Now + 100) == 10);
  CHECK(Fleet.Listener.ColdLines == 1);
  CHECK(Fleet.Listener.WarmLines == 1);
  CHECK(Fleet.Listener.Cold == 0);
}

// Guards against a cold phase that starts anew each time when the list of
// endpoints is passed on because of another endpoint.
TEST_CASE("an entry that is listed again prolongs nothing", "[cold]") {
  lone_instance Fleet;
  Fleet.list({entryOf("e", ColdMs)});
  Fleet.sendUntil("e", Fleet.Now + ColdMs - 100);
  Fleet.list({entryOf("e", ColdMs), entryOf("f", 0)});
  Fleet.sendUntil("e", Fleet.Now + 100);
  CHECK_FALSE(Fleet.Limiter.isCold("e", Fleet.Now));
}

// Guards against an endpoint that counts as warm for good because it was cold
// only after its start.
TEST_CASE("a running endpoint becomes cold again, and warm when it says so",
          "[cold]") {
  lone_instance Fleet;
  Fleet.list({entryOf("e", 0, 1)});
  CHECK(Fleet.sendUntil("e", Fleet.Now + 1'000) == 100);
  Fleet.list({entryOf("e", ColdMs, 2)});
  CHECK(Fleet.sendUntil("e", Fleet.Now + 1'000) <= Limit + 1);
  Fleet.list({entryOf("e", 0, 3)});
  CHECK(Fleet.sendUntil("e", Fleet.Now + 1'000) == 100);
}

TEST_CASE("a new start that is warm ends the limit of the former one",
          "[cold]") {
  lone_instance Fleet;
  Fleet.list({entryOf("e", ColdMs, 5, 1)});
  Fleet.list({entryOf("e", 0, 1, 2)});
  CHECK_FALSE(Fleet.Limiter.isCold("e", Fleet.Now));
}

// Guards against answers that lift the limit of a cold endpoint, and against
// those of a former run that put one on the present run.
TEST_CASE("a response may say that its endpoint is cold, not that it is warm",
          "[cold]") {
  lone_instance Fleet;
  Fleet.list({entryOf("e", 0, 1, 7)});
  relay::endpoint_choice Source;
  Source.Endpoint = "e";
  Source.StartedAt = 6;
  Fleet.Limiter.onColdStated(Source, ColdMs, Fleet.Now);
  CHECK_FALSE(Fleet.Limiter.isCold("e", Fleet.Now));
  Source.StartedAt = 7;
  Fleet.Limiter.onColdStated(Source, ColdMs, Fleet.Now);
  Fleet.Limiter.onColdStated(Source, 0, Fleet.Now);
  CHECK(Fleet.Limiter.isCold("e", Fleet.Now));
  CHECK_FALSE(Fleet.Limiter.isCold("e", Fleet.Now + ColdMs));
}

TEST_CASE("a service without a rate has no limits for cold endpoints",
          "[cold]") {
  lone_instance Fleet(0);
  Fleet.list({entryOf("e", ColdMs)});
  CHECK(Fleet.sendUntil("e", Fleet.Now + 1'000) == 100);
  Fleet.Limiter.setTable(tableOf(Limit), Fleet.Now);
  CHECK(Fleet.sendUntil("e", Fleet.Now + 1'000) <= Limit + 1);
}

TEST_CASE("the end of an endpoint ends its limit", "[cold]") {
  lone_instance Fleet;
  Fleet.list({entryOf("e", 3'600'000)});
  Fleet.list({});
  CHECK(Fleet.Listener.Cold == 0);
  CHECK_FALSE(Fleet.Limiter.isCold("e", Fleet.Now));
}

//---------------------------------------------------------------------------
// Instances that may not know their share
//---------------------------------------------------------------------------

// Guards against an instance that goes on with a share that others have taken
// over, and against one that keeps away when the endpoint is warm.
TEST_CASE("nothing is sent to a cold endpoint by an old list of instances",
          "[cold]") {
  lone_instance Fleet;
  Fleet.list({entryOf("e", 10'000)});
  const time_ms ReadAt = Fleet.Now;
  CHECK(Fleet.Limiter.mayGetRequest("e", ReadAt + MaxReadIntervalMs));
  CHECK_FALSE(Fleet.Limiter.mayGetRequest("e", ReadAt + MaxReadIntervalMs + 1));
  CHECK(Fleet.Limiter.mayGetRequest("e", ReadAt + 10'000));
}

TEST_CASE("an instance that the others may not know has no share yet",
          "[cold]") {
  recording_listener Listener;
  endpoint_limiter Limiter("own", Listener);
  Limiter.setTable(tableOf(Limit), 0);
  Limiter.setEndpoints(std::vector{entryOf("e", 10'000)}, 0);
  CHECK_FALSE(Limiter.mayGetRequest("e", 1'000));
  Limiter.setInstances({}, 1'000);
  Limiter.setInstances({}, 3'400);
  CHECK_FALSE(Limiter.mayGetRequest("e", 3'400));
  Limiter.setInstances({}, 3'600);
  CHECK_FALSE(Limiter.mayGetRequest("e", 3'600));
  CHECK(Limiter.mayGetRequest("e", 4'000));
}

//---------------------------------------------------------------------------
// Calls
//---------------------------------------------------------------------------

// Guards against callers that are kept waiting, or sent away without a time,
// because the only endpoints that are left are cold.
TEST_CASE("a call that only cold endpoints could take is told when to come",
          "[cold]") {
  lone_instance Fleet;
  Fleet.list({entryOf("e", ColdMs)});
  const std::optional<int> RetryAfterMs =
      Fleet.Limiter.retryAfterMs(Service, Fleet.Now);
  REQUIRE(RetryAfterMs);
  CHECK(*RetryAfterMs >= 100);
  CHECK(*RetryAfterMs <= ColdMs);
  Fleet.list({entryOf("e", ColdMs), entryOf("f", 0)});
  CHECK_FALSE(Fleet.Limiter.retryAfterMs(Service, Fleet.Now));
  CHECK_FALSE(Fleet.Limiter.retryAfterMs("other", Fleet.Now));
}

TEST_CASE("of a stated limit and that of a cold endpoint the lower one holds",
          "[cold]") {
  lone_instance Fleet;
  Fleet.list({entryOf("e", 60'000)});
  relay::endpoint_choice Source;
  Source.Endpoint = "e";
  Source.LimitVersion = Fleet.Limiter.versionOf("e");
  limit_statement Statement;
  Statement.Form = statement_form::Stated;
  Statement.PerSecond = GENERATE(2.0, 100.0);
  Fleet.Limiter.onCaughtUp(Fleet.Now - 5'000);
  Fleet.Limiter.onLimitStatement(Source, Statement, Fleet.Now);
  const double Lower = std::min(Limit, Statement.PerSecond);
  CHECK(Fleet.sendUntil("e", Fleet.Now + 10'000) <= 10 * Lower);
}

// Guards against calls that were placed while the endpoint was warm and are
// sent, all at once, when it has become cold.
TEST_CASE("a call that was placed at a warm endpoint is not sent to a cold one",
          "[cold]") {
  lone_instance Fleet;
  tests::empty_placement Inner;
  limit_gate Gate(Inner, Fleet.Limiter, Fleet.Listener);
  Fleet.list({entryOf("e", 0, 1)});
  const relay::call Call;
  relay::endpoint_choice Target;
  Target.Endpoint = "e";
  CHECK(Gate.mayStillSend(Call, Target, 0, Fleet.Now));
  Fleet.list({entryOf("e", ColdMs, 2)});
  CHECK_FALSE(Gate.mayStillSend(Call, Target, 0, Fleet.Now));
  Target.WasCold = true;
  CHECK(Gate.mayStillSend(Call, Target, 0, Fleet.Now));
}

//---------------------------------------------------------------------------
// A fleet
//---------------------------------------------------------------------------

namespace {

// Instances that read the list of instances and the entries of endpoints late,
// each at its own times, and send each cold endpoint all that they may. What
// they send to endpoints of which they don't know that they are cold is left
// out: no division of a limit can hold it.
class cold_fleet {
public:
  static constexpr int Endpoints = 12;
  static constexpr int ZoneEndpoints = 4; // The first ones.
  static constexpr time_ms StepMs = 20;

  cold_fleet(int Count, std::uint64_t Seed) : Random(Seed) {
    for (int I = 0; I < Endpoints; ++I)
      Entries.push_back(entryOf("e" + std::to_string(I), 0));
    for (const std::string &Name : namesOf(Count))
      start(Name);
    run(5'000);
  }

  struct instance {
    std::string Name;
    std::unique_ptr<endpoint_limiter> Limiter;
    time_ms NextReadAt = 0;
    bool ReachesStore = true;
    bool IsUp = true;
  };

  void start(const std::string &Name) {
    instance &Instance = Instances.emplace_back();
    Instance.Name = Name;
    Instance.Limiter = std::make_unique<endpoint_limiter>(Name, Listener);
    Instance.Limiter->setTable(tableOf(Limit), Now);
    Instance.NextReadAt = Now + below(800);
    Names.push_back(Name);
  }

  // An instance leaves when it has ended all calls; the others learn of it
  // later.
  void leave(instance &Instance) {
    std::erase(Names, Instance.Name);
    Instance.IsUp = false;
  }

  void becomeCold(std::size_t Endpoint) {
    Entries[Endpoint].WarmUpMs = ColdMs;
    ++Entries[Endpoint].Sequence;
    WarmAt[Endpoint] = Now + ColdMs;
  }

  // The endpoints repeat their entries with the time that is left.
  void beat() {
    for (auto &[Endpoint, At] : WarmAt) {
      Entries[Endpoint].WarmUpMs =
          static_cast<int>(std::max<time_ms>(0, At - Now));
      ++Entries[Endpoint].Sequence;
    }
  }

  void run(time_ms DurationMs) {
    for (const time_ms End = Now + DurationMs; Now < End; Now += StepMs) {
      if (Now % 1'200 == 0)
        beat();
      for (instance &Instance : Instances) {
        if (!Instance.IsUp)
          continue;
        read(Instance);
        send(Instance);
      }
    }
  }

  // Most requests that reach one endpoint within a second.
  int mostInSecond() {
    int Most = 0;
    for (auto &[Endpoint, Times] : Sent) {
      std::sort(Times.begin(), Times.end());
      for (auto First = Times.begin(); First != Times.end(); ++First)
        Most =
            std::max(Most, static_cast<int>(std::lower_bound(First, Times.end(),
                                                             *First + 1'000) -
                                            First));
    }
    return Most;
  }

  int countOf(const std::string &Endpoint) const {
    const auto Found = Sent.find(Endpoint);
    return Found == Sent.end() ? 0 : static_cast<int>(Found->second.size());
  }

  time_ms below(time_ms Bound) {
    return static_cast<time_ms>(Random.next() %
                                static_cast<std::uint64_t>(Bound));
  }

  std::deque<instance> Instances;
  std::vector<std::string> Names; // In the list of instances.
  std::vector<dispatch::endpoint_entry> Entries;
  time_ms Now = 1'200'000;

private:
  void read(instance &Instance) {
    Instance.Limiter->tick(Now);
    if (!Instance.ReachesStore || Now < Instance.NextReadAt)
      return;
    Instance.Limiter->setEndpoints(Entries, Now);
    Instance.Limiter->setInstances(Names, Now);
    Instance.NextReadAt = Now + 200 + below(800);
  }

  void send(instance &Instance) {
    for (const dispatch::endpoint_entry &Entry : Entries) {
      if (!Instance.Limiter->isCold(Entry.Id, Now) ||
          !Instance.Limiter->mayGetRequest(Entry.Id, Now))
        continue;
      Instance.Limiter->onSent(Entry.Id, Now);
      Sent[Entry.Id].push_back(Now + below(100)); // On its way.
    }
  }

  tests::seeded_random Random;
  recording_listener Listener;
  std::map<std::size_t, time_ms> WarmAt;
  std::map<std::string, std::vector<time_ms>> Sent;
};

int allowedInSecond() { return static_cast<int>(1.5 * Limit + 5); }

} // namespace

// Guards against instances of which each keeps the limit alone, and against
// shares that are too small to be used before the endpoint is warm.
TEST_CASE("instances together keep to a cold endpoint's limit and use it",
          "[cold]") {
  for (const int Instances : {2, 8, 85, 300}) {
    cold_fleet Fleet(Instances, static_cast<std::uint64_t>(Instances));
    for (std::size_t I = 0; I < cold_fleet::ZoneEndpoints; ++I)
      Fleet.becomeCold(I);
    Fleet.run(5'000);
    CAPTURE(Instances);
    CHECK(Fleet.mostInSecond() <= std::ceil(Limit) + 5);
    for (std::size_t I = 0; I < cold_fleet::ZoneEndpoints; ++I)
      CHECK(Fleet.countOf(Fleet.Entries[I].Id) >= 0.6 * Limit * ColdMs / 1'000);
  }
}

// Guards against overrun endpoints while instances join and leave, alone and
// many at once, and are cut off from the store with the list that they had.
TEST_CASE("a cold endpoint's limit is kept while instances come and go",
          "[cold]") {
  for (std::uint64_t Seed = 1; Seed <= 16; ++Seed) {
    const int Sizes[] = {2, 8, 20, 85};
    const int Size = Seed == 1 ? 300 : Sizes[Seed % 4];
    cold_fleet Fleet(Size, Seed);
    int Started = Size;
    for (int Round = 0; Round < (Size > 20 ? 8 : 30); ++Round) {
      cold_fleet::instance &Instance = Fleet.Instances[static_cast<std::size_t>(
          Fleet.below(static_cast<time_ms>(Fleet.Instances.size())))];
      switch (Fleet.below(6)) {
      case 0:
        for (std::size_t I = 0; I < cold_fleet::ZoneEndpoints; ++I)
          Fleet.becomeCold(I);
        break;
      case 1:
        Fleet.becomeCold(
            static_cast<std::size_t>(Fleet.below(cold_fleet::Endpoints)));
        break;
      case 2:
        for (int I = 0; I < 1 + Size / 2; ++I)
          Fleet.start("j" + std::to_string(++Started));
        break;
      case 3:
        Fleet.leave(Instance);
        break;
      case 4:
        Instance.ReachesStore = !Instance.ReachesStore;
        break;
      case 5:
        for (cold_fleet::instance &Each : Fleet.Instances)
          Each.ReachesStore = Fleet.below(4) > 0;
        break;
      }
      Fleet.run(200 + Fleet.below(2'000) / 20 * 20);
    }
    CAPTURE(Seed, Size);
    CHECK(Fleet.mostInSecond() <= allowedInSecond());
  }
}
