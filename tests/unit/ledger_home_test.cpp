// One daemon's part in a stream: scarcity, settlement, outages.
#include "tamarack/money.hpp"

#include <catch2/catch.hpp>

using namespace tamarack;
using namespace tamarack::money;

namespace {

constexpr time_ms Start = 1'700'000'000'000;

// Homes that share a log; every round each reads all and appends one batch.
struct homes {
  std::unique_ptr<grant_policy> Policy = makeDemandPolicy();
  std::vector<std::unique_ptr<witness_store>> Books;
  std::vector<std::unique_ptr<ledger_home>> Homes;
  std::vector<log_record> Log;
  time_ms Now = Start;
  bool Away = false;

  explicit homes(int Count) {
    for (int Index = 0; Index < Count; ++Index) {
      Books.push_back(std::make_unique<witness_store>());
      Homes.push_back(std::make_unique<ledger_home>(
          makeIncarnation(Start, static_cast<std::uint64_t>(Index) + 1),
          *Policy, *Books.back()));
    }
  }
  void credit(amount Delta) {
    put({makeIncarnation(Start, 100 + Log.size()),
         1,
         Now,
         {credit_entry{{1, Log.size()}, Now, "b", Delta}}});
  }
  void put(const ledger_batch &Batch) {
    Log.push_back({Log.size(), Now, encodeBatch(Batch)});
  }
  void rounds(int Count, incarnation_id Witness = 0) {
    for (int Round = 0; Round < Count; ++Round) {
      Now += 100;
      for (const auto &Home : Homes) {
        if (Away) {
          Home->onLogFailure(Now);
          continue;
        }
        while (Home->nextOffset() < Log.size())
          Home->onRecord(Log[Home->nextOffset()], Now);
        Home->onCaughtUp(Now);
        home_view View;
        View.Witness = Witness;
        View.HolderCount = static_cast<int>(Homes.size());
        if (const auto Batch = Home->nextBatch(View, Now)) {
          put(*Batch);
          Home->onStored(Batch->Number);
        }
      }
    }
  }
  void reserve(int Home, std::uint64_t Key, amount Amount) {
    Homes[Home]->reserve("b", {2, Key}, Amount, Now);
  }
};

} // namespace

TEST_CASE("small rests of several holders make one grant", "[home]") {
  homes World(3);
  World.credit(90);
  World.rounds(1);
  for (int Home = 0; Home < 3; ++Home)
    World.reserve(Home, static_cast<std::uint64_t>(Home), 5);
  World.rounds(10);
  for (const auto &Home : World.Homes)
    CHECK(Home->drainReserveEvents().size() == 1);
  World.reserve(0, 9, 70); // More than any holder or the budget has free.
  World.rounds(15);
  const std::vector<reserve_event> Events =
      World.Homes[0]->drainReserveEvents();
  REQUIRE(Events.size() == 1);
  CHECK(Events[0].Refusal == refusal::None);
}

TEST_CASE("what nobody can cover is refused at once", "[home]") {
  homes World(2);
  World.credit(10);
  World.rounds(3);
  World.reserve(0, 1, 11);
  const std::vector<reserve_event> Events =
      World.Homes[0]->drainReserveEvents();
  REQUIRE(Events.size() == 1);
  CHECK(Events[0].Refusal == refusal::Exhausted);
}

TEST_CASE("during an outage money in hand is spent, then refused", "[home]") {
  homes World(1);
  World.credit(100);
  World.rounds(3);
  World.reserve(0, 1, 2);
  World.rounds(5);
  World.Homes[0]->drainReserveEvents();
  World.Away = true;
  World.rounds(30);
  int Granted = 0;
  int Refused = 0;
  for (std::uint64_t Key = 10; Key < 80; ++Key) {
    World.reserve(0, Key, 2);
    for (const reserve_event &Event : World.Homes[0]->drainReserveEvents()) {
      Granted += Event.Refusal == refusal::None ? 1 : 0;
      Refused += Event.Refusal == refusal::Unavailable ? 1 : 0;
    }
  }
  CHECK(Granted >= 14); // The first grant covers 16 such requests.
  CHECK(Granted + Refused == 70);
  CHECK(Granted <= 50);
}

TEST_CASE("a bill is kept only with its witness", "[home]") {
  homes World(1);
  const incarnation_id Witness = makeIncarnation(Start, 50);
  World.credit(100);
  World.rounds(2, Witness);
  World.reserve(0, 1, 10);
  World.rounds(5, Witness);
  ledger_home &Home = *World.Homes[0];
  const std::vector<reserve_event> Events = Home.drainReserveEvents();
  REQUIRE(Events.size() == 1);
  const reservation Reservation = Events[0].Reservation;
  CHECK(Home.settle(Reservation, World.Now, 7) == settlement::Pending);
  bool Sent = false;
  for (const witness_update &Update : Home.drainWitnessUpdates())
    for (const witness_line &Line : Update.Lines) {
      Sent = true;
      Home.onWitnessAcknowledged(Line);
    }
  CHECK(Sent);
  const std::vector<settle_event> Settled = Home.drainSettleEvents();
  REQUIRE(Settled.size() == 1);
  CHECK(Settled[0].State == settlement::Replicated);
  // A repeat of the same settlement changes nothing.
  CHECK(Home.settle(Reservation, World.Now, 7) == settlement::Replicated);
  World.rounds(30, Witness);
  CHECK(Home.fold().findBudget("b")->Billed == 7);
}

TEST_CASE("a lost witness moves the bill through the log", "[home]") {
  homes World(1);
  const incarnation_id Witness = makeIncarnation(Start, 50);
  World.credit(100);
  World.rounds(2, Witness);
  World.reserve(0, 1, 10);
  World.rounds(5, Witness);
  ledger_home &Home = *World.Homes[0];
  const reservation Reservation = Home.drainReserveEvents()[0].Reservation;
  CHECK(Home.settle(Reservation, World.Now, 7) == settlement::Pending);
  Home.drainWitnessUpdates(); // Sent, never answered.
  Home.onWitnessLost(Witness);
  REQUIRE(Home.drainSettleEvents()[0].State == settlement::Failed);
  World.rounds(5); // Closes the grant with the line.
  CHECK(Home.fold().findBudget("b")->Billed == 7);
  CHECK(Home.settle(Reservation, World.Now, 7) == settlement::Replicated);
}

TEST_CASE("a seal outlasts the close as long as the holder lives", "[home]") {
  witness_store Book;
  const grant_id Grant{7, 1};
  const witness_line Line{Grant, {{1, 1}, Start, 5}};
  CHECK(Book.storeLine(Line));
  CHECK(Book.seal(Grant, Start).Lines.size() == 1);
  CHECK_FALSE(Book.storeLine(Line));
  CHECK(Book.seal(Grant, Start + 1).Lines.size() == 1);
  Book.onClosed(Grant);
  CHECK_FALSE(Book.storeLine(Line));
  CHECK(Book.lineCount() == 0);
  Book.expireSeals(Start + 1, {7});
  CHECK_FALSE(Book.storeLine(Line));
  Book.expireSeals(Start + 1, {});
  CHECK_FALSE(Book.isSealed(Grant));
  Book.onClosed({7, 2}); // Closed by its holder: nothing is remembered.
  CHECK_FALSE(Book.isSealed({7, 2}));
}

TEST_CASE("the first claim is told to both", "[home]") {
  homes World(2);
  World.Homes[0]->claim({3, 3}, Start, {1, "one"});
  World.Homes[1]->claim({3, 3}, Start, {2, "two"});
  World.rounds(4);
  CHECK(World.Homes[0]->drainClaimEvents()[0].Executor.Instance == "one");
  CHECK(World.Homes[1]->drainClaimEvents()[0].Executor.Instance == "one");
}
