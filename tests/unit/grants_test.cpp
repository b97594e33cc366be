// Budgets granted through one keyed topic: single cases and random schedules
// of crashes, outages, lost and late writes.
#include "fakes.hpp"

#include "tamarack/grants.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace tamarack;
using namespace tamarack::grants;

namespace {

constexpr std::int64_t Budget = 100'000;

class manual_clock final : public clock {
public:
  time_ms now() const override { return Time; }
  time_ms monotonic() const override { return Time; }
  time_ms sinceBoot() const override { return Time; }
  time_ms Time = 1'000'000;
};

// The clocks of one machine.
class machine_clock final : public clock {
public:
  explicit machine_clock(const manual_clock &World) : World(World) {}
  time_ms now() const override { return World.Time; }
  time_ms monotonic() const override { return World.Time; }
  time_ms sinceBoot() const override { return World.Time - BootedAt; }
  time_ms BootedAt = 0;

private:
  const manual_clock &World;
};

std::shared_ptr<relay::route_table> tableOf(std::int64_t Prepaid) {
  const std::shared_ptr<relay::route_table> Table =
      std::make_shared<relay::route_table>();
  relay::account Account;
  Account.Name = "a";
  Account.PrepaidTokens = Prepaid;
  const std::vector<std::string> Keys = {"k"};
  Table->add(Account, Keys);
  return Table;
}

// The store: one topic for grants, and the newest mark of each instance.
struct topic {
  struct record {
    std::string Key;
    std::string Value;
  };
  struct writer_state {
    std::uint64_t Epoch = 0;
    std::uint64_t Next = 0; // Sequence that must follow in this epoch.
  };
  std::vector<record> Records;
  std::map<std::string, writer_state> Writers;
  std::map<std::string, std::uint64_t> Starts; // Epoch of the last start.
  std::map<std::string, std::string> Marks;
  std::map<std::string, std::uint64_t> MarkEpochs;

  // As the store does: nothing of a former epoch, sequences without gaps.
  bool append(const store_writer &Writer, const std::string &Value) {
    writer_state &State = Writers[Writer.Name];
    const bool Follows =
        Writer.Epoch > State.Epoch ||
        (Writer.Epoch == State.Epoch && Writer.Sequence == State.Next);
    if (!Follows)
      return false;
    State = {Writer.Epoch, Writer.Sequence + 1};
    Records.push_back({Writer.Name, Value});
    return true;
  }
  bool mark(const std::string &Key, std::uint64_t Epoch,
            const std::string &Value) {
    if (Epoch < MarkEpochs[Key])
      return false;
    MarkEpochs[Key] = Epoch;
    Marks[Key] = Value;
    return true;
  }
};

// One machine: what survives a crash of its process is only its name.
struct machine {
  machine(std::string Name, topic &Topic, const manual_clock &Clock)
      : Name(std::move(Name)), Topic(Topic), Clock(Clock) {}

  void start(std::uint64_t Incarnation, std::string BootId,
             std::shared_ptr<const relay::route_table> Table) {
    Holder = std::make_unique<grant_holder>(
        Name, Incarnation, "peer", std::move(BootId), grant_settings(), Clock);
    Holder->setBudgets(std::move(Table));
    Read = 0;
    Writer = {Name, Topic.Starts[Name] += 1'000'000, 0};
    Epoch = Topic.MarkEpochs[Name] + 1'000; // Above all that may be late.
    Topic.MarkEpochs[Name] = Epoch;
    const auto Mark = Topic.Marks.find(Name);
    Holder->onFormerMark(Mark == Topic.Marks.end() ? std::nullopt
                                                   : decodeMark(Mark->second));
    InFlight.clear();
  }

  void readTopic() {
    for (; Read < Topic.Records.size(); ++Read)
      Holder->onRecord(Topic.Records[Read].Key, Topic.Records[Read].Value,
                       false);
    Holder->onCaughtUp();
  }

  // The next write, with its place in the order of this machine's writes.
  std::optional<holder_record> plan() {
    return Holder->plan(Clock.monotonic());
  }
  void onUncertain() {
    ++Writer.Epoch;
    Writer.Sequence = 0;
  }

  std::string Name;
  topic &Topic;
  machine_clock Clock;
  std::unique_ptr<grant_holder> Holder;
  std::size_t Read = 0;
  store_writer Writer;                // Of grants.
  std::uint64_t Epoch = 0;            // Of marks.
  std::vector<std::int64_t> InFlight; // Bounds reserved.
};

void writeAll(machine &Machine) {
  Machine.readTopic();
  const std::optional<holder_record> Write = Machine.plan();
  if (!Write)
    return;
  REQUIRE(Machine.Topic.append(Machine.Writer, encode(*Write)));
  ++Machine.Writer.Sequence;
  Machine.Holder->onWritten(Write->Number);
  Machine.readTopic();
}

void writeMark(machine &Machine) {
  std::optional<mark_record> Mark =
      Machine.Holder->planMark(Machine.Clock.monotonic());
  if (!Mark)
    return;
  Mark->Epoch = Machine.Epoch;
  Machine.Topic.mark(Machine.Name, Machine.Epoch, encode(*Mark));
  Machine.Holder->onMarkWritten();
}

} // namespace

TEST_CASE("records come back as they were written", "[grants]") {
  holder_record Record;
  Record.Incarnation = 7;
  Record.PeerAddress = "10.0.0.1:80";
  Record.Lines.push_back({"a", 500, 20, true});
  const std::optional<holder_record> Back = decode(encode(Record));
  REQUIRE(Back);
  CHECK(Back->Incarnation == 7);
  CHECK(Back->Lines[0].Ceiling == 500);
  CHECK(Back->Lines[0].Wanted);
  CHECK_FALSE(decode("no record"));
  CHECK_FALSE(decodeMark("no mark"));
}

TEST_CASE("nothing is spent before a grant is stored", "[grants]") {
  manual_clock Clock;
  topic Topic;
  machine Machine("m", Topic, Clock);
  Machine.start(1, "boot", tableOf(Budget));
  CHECK(Machine.Holder->reserve("a", 10) == relay::reserve_result::Pending);
  writeAll(Machine);
  CHECK(Machine.Holder->reserve("a", 10) == relay::reserve_result::Reserved);
}

TEST_CASE("a budget that can't cover a call is exhausted", "[grants]") {
  manual_clock Clock;
  topic Topic;
  machine Machine("m", Topic, Clock);
  Machine.start(1, "boot", tableOf(Budget));
  Machine.readTopic();
  CHECK(Machine.Holder->reserve("a", Budget + 1) ==
        relay::reserve_result::Exhausted);
}

TEST_CASE("while the store is away only what is granted is spent", "[grants]") {
  manual_clock Clock;
  topic Topic;
  machine Machine("m", Topic, Clock);
  Machine.start(1, "boot", tableOf(Budget));
  writeAll(Machine);
  Machine.Holder->onAway();
  const std::int64_t Ceiling = Machine.Holder->statusOf("a").Ceiling;
  REQUIRE(Ceiling > 0);
  CHECK(Machine.Holder->reserve("a", Ceiling) ==
        relay::reserve_result::Reserved);
  CHECK(Machine.Holder->reserve("a", 1) == relay::reserve_result::Unavailable);
}

TEST_CASE("a new incarnation frees what the fresh mark leaves", "[grants]") {
  manual_clock Clock;
  topic Topic;
  machine Machine("m", Topic, Clock);
  Machine.start(1, "boot", tableOf(Budget));
  writeAll(Machine);
  REQUIRE(Machine.Holder->reserve("a", 100) == relay::reserve_result::Reserved);
  writeMark(Machine);
  const std::int64_t Ceiling = Machine.Holder->statusOf("a").Ceiling;

  SECTION("soon after the mark") {
    Clock.Time += MarkValidMs - 1;
    Machine.start(2, "boot", tableOf(Budget));
    Machine.readTopic();
    const std::int64_t Used = Machine.Holder->statusOf("a").Used;
    CHECK(Used >= 100);
    CHECK(Used < Ceiling);
  }
  SECTION("too late to be certain") {
    Clock.Time += MarkValidMs;
    Machine.start(2, "boot", tableOf(Budget));
    Machine.readTopic();
    CHECK(Machine.Holder->statusOf("a").Used == Ceiling);
  }
  SECTION("after a reboot") {
    Machine.start(2, "another boot", tableOf(Budget));
    Machine.readTopic();
    CHECK(Machine.Holder->statusOf("a").Used == Ceiling);
  }
}

TEST_CASE("a young mark binds, an old one does not", "[grants]") {
  manual_clock Clock;
  topic Topic;
  machine Machine("m", Topic, Clock);
  Machine.start(1, "boot", tableOf(Budget));
  writeAll(Machine);
  writeMark(Machine);
  const std::int64_t Ceiling = Machine.Holder->statusOf("a").Ceiling;
  CHECK(Machine.Holder->reserve("a", Ceiling) ==
        relay::reserve_result::Pending);
  Clock.Time += MarkValidMs;
  CHECK(Machine.Holder->reserve("a", Ceiling) ==
        relay::reserve_result::Reserved);
}

TEST_CASE("a graceful end hands everything back", "[grants]") {
  manual_clock Clock;
  topic Topic;
  machine Machine("m", Topic, Clock);
  Machine.start(1, "boot", tableOf(Budget));
  writeAll(Machine);
  REQUIRE(Machine.Holder->reserve("a", 100) == relay::reserve_result::Reserved);
  Machine.Holder->settle("a", 100, 40);
  Machine.Holder->leave();
  writeAll(Machine);
  CHECK(Machine.Holder->hasHandedBack());
  machine Other("n", Topic, Clock);
  Other.start(1, "boot", tableOf(Budget));
  Other.readTopic();
  CHECK(Other.Holder->statusOf("a").Free == Budget - 40);
}

TEST_CASE("a lowered budget is kept at once and handed back", "[grants]") {
  manual_clock Clock;
  topic Topic;
  machine Machine("m", Topic, Clock);
  Machine.start(1, "boot", tableOf(Budget));
  writeAll(Machine);
  Machine.Holder->setBudgets(tableOf(50));
  CHECK(Machine.Holder->reserve("a", 51) == relay::reserve_result::Exhausted);
  writeAll(Machine);
  CHECK(Machine.Holder->statusOf("a").Ceiling <= 50);
}

TEST_CASE("a hand-back whose outcome is not known binds", "[grants]") {
  manual_clock Clock;
  topic Topic;
  machine Machine("m", Topic, Clock);
  Machine.start(1, "boot", tableOf(Budget));
  writeAll(Machine);
  Machine.Holder->setBudgets(tableOf(50));
  Machine.readTopic();
  const std::optional<holder_record> Late = Machine.plan();
  REQUIRE(Late);
  const store_writer LateWriter = Machine.Writer;
  // No answer. Meanwhile the budget is raised again.
  Machine.onUncertain();
  Machine.Holder->setBudgets(tableOf(Budget));
  Machine.readTopic();
  CHECK(Machine.Holder->reserve("a", 51) == relay::reserve_result::Pending);
  SECTION("it lands late") {
    REQUIRE(Topic.append(LateWriter, encode(*Late)));
    Machine.readTopic();
    CHECK(Machine.Holder->reserve("a", 51) == relay::reserve_result::Pending);
  }
  SECTION("a later write makes sure that it never lands") {
    writeAll(Machine);
    CHECK_FALSE(Topic.append(LateWriter, encode(*Late)));
    CHECK(Machine.Holder->reserve("a", 51) == relay::reserve_result::Reserved);
  }
}

TEST_CASE("two that ask for the same rest get it once, by the topic's order",
          "[grants]") {
  manual_clock Clock;
  topic Topic;
  machine First("m", Topic, Clock);
  machine Second("n", Topic, Clock);
  First.start(1, "boot-1", tableOf(Budget));
  Second.start(2, "boot-2", tableOf(Budget));
  First.readTopic();
  Second.readTopic();
  constexpr std::int64_t Most = Budget * 3 / 4;
  First.Holder->reserve("a", Most);
  Second.Holder->reserve("a", Most);
  const std::optional<holder_record> FirstWrite = First.plan();
  const std::optional<holder_record> SecondWrite = Second.plan();
  REQUIRE(FirstWrite);
  REQUIRE(SecondWrite);
  REQUIRE(Topic.append(First.Writer, encode(*FirstWrite)));
  REQUIRE(Topic.append(Second.Writer, encode(*SecondWrite)));
  // Stored is not granted yet.
  First.Holder->onWritten(FirstWrite->Number);
  CHECK(First.Holder->reserve("a", Most) == relay::reserve_result::Pending);
  Second.readTopic();
  CHECK(Second.Holder->reserve("a", Most) != relay::reserve_result::Reserved);
  First.readTopic();
  const std::int64_t Sum = First.Holder->statusOf("a").Ceiling +
                           Second.Holder->statusOf("a").Ceiling;
  CHECK(Sum <= Budget);
}

//---------------------------------------------------------------------------
// Random schedules
//---------------------------------------------------------------------------

namespace {

enum class move {
  Reserve,
  Settle,
  Write,
  WriteLost,    // Stored, the answer is lost.
  WriteDropped, // Not stored, no answer.
  WriteLate,    // May be stored later.
  Mark,
  MarkLost,
  MarkLate,
  DeliverLate,
  Crash,
  CrashLong,
  Reboot,
  Pass,
  PassLong,
  Leave,
};
constexpr int Moves = 16;

struct late_write {
  bool IsMark = false;
  store_writer Writer;
  std::string Value;
};

struct grant_world {
  static constexpr int Machines = 3;

  grant_world() {
    for (int I = 0; I < Machines; ++I) {
      All.emplace_back("m" + std::to_string(I), Topic, Clock);
      Boots.push_back("boot" + std::to_string(I));
    }
    for (int I = 0; I < Machines; ++I)
      restart(I);
  }

  void restart(int I) {
    All[I].start(++Incarnations, Boots[I], tableOf(Budget));
  }

  void crash(int I, time_ms Down) {
    // What was under way may have been delivered whole.
    for (std::int64_t Bound : All[I].InFlight)
      Spent += Bound;
    Clock.Time += Down;
    restart(I);
  }

  void step(move Move, int I, std::int64_t Amount) {
    machine &Machine = All[I];
    switch (Move) {
    case move::Reserve:
      if (Machine.Holder->reserve("a", Amount) ==
          relay::reserve_result::Reserved)
        Machine.InFlight.push_back(Amount);
      break;
    case move::Settle:
      if (!Machine.InFlight.empty()) {
        const std::int64_t Bound = Machine.InFlight.back();
        Machine.InFlight.pop_back();
        Machine.Holder->settle("a", Bound, Bound / 2);
        Spent += Bound / 2;
      }
      break;
    case move::Write:
      writeAll(Machine);
      break;
    case move::WriteLost:
    case move::WriteDropped:
    case move::WriteLate: {
      Machine.readTopic();
      const std::optional<holder_record> Write = Machine.plan();
      if (!Write)
        break;
      if (Move == move::WriteLost)
        Topic.append(Machine.Writer, encode(*Write));
      if (Move == move::WriteLate)
        Late.push_back({false, Machine.Writer, encode(*Write)});
      Machine.onUncertain();
      break;
    }
    case move::Mark:
      writeMark(Machine);
      break;
    case move::MarkLost:
    case move::MarkLate: {
      std::optional<mark_record> Mark =
          Machine.Holder->planMark(Clock.monotonic());
      if (!Mark)
        break;
      Mark->Epoch = Machine.Epoch;
      if (Move == move::MarkLost)
        Topic.mark(Machine.Name, Machine.Epoch, encode(*Mark));
      else
        Late.push_back({true, {Machine.Name, Machine.Epoch, 0}, encode(*Mark)});
      ++Machine.Epoch;
      Machine.Holder->onMarkUncertain();
      break;
    }
    case move::DeliverLate:
      for (const late_write &Write : Late)
        if (Write.IsMark)
          Topic.mark(Write.Writer.Name, Write.Writer.Epoch, Write.Value);
        else
          Topic.append(Write.Writer, Write.Value);
      Late.clear();
      break;
    case move::Crash:
      crash(I, 500);
      break;
    case move::CrashLong:
      crash(I, 5'000);
      break;
    case move::Reboot:
      // The machine's own time begins anew, anywhere.
      Boots[I] += "x";
      Machine.Clock.BootedAt += Amount;
      crash(I, 500);
      break;
    case move::Pass:
      Clock.Time += 300;
      break;
    case move::PassLong:
      Clock.Time += 4'000;
      break;
    case move::Leave:
      if (Machine.InFlight.empty()) {
        Machine.Holder->leave();
        writeAll(Machine);
        restart(I);
      }
      break;
    }
  }

  // Spends all that every machine can get hold of, alive as it is.
  void drain() {
    for (int Round = 0; Round < 4; ++Round)
      for (machine &Machine : All) {
        writeAll(Machine);
        Clock.Time += 2 * MarkValidMs;
        for (std::int64_t Amount = Budget; Amount > 0; Amount /= 2)
          while (Machine.Holder->reserve("a", Amount) ==
                 relay::reserve_result::Reserved)
            Machine.InFlight.push_back(Amount);
      }
  }

  std::int64_t committed() const {
    std::int64_t Sum = Spent;
    for (const machine &Machine : All)
      for (std::int64_t Bound : Machine.InFlight)
        Sum += Bound;
    return Sum;
  }

  manual_clock Clock;
  topic Topic;
  std::vector<machine> All;
  std::vector<std::string> Boots;
  std::vector<late_write> Late;
  std::uint64_t Incarnations = 0;
  std::int64_t Spent = 0;
};

} // namespace

TEST_CASE("no schedule spends more than the budget", "[grants][property]") {
  CHECK(rc::check("spend stays within the budget", [] {
    grant_world World;
    const std::vector<std::tuple<int, int, int>> Schedule =
        *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, Moves),
                           rc::gen::inRange(0, grant_world::Machines),
                           rc::gen::inRange(1, 9'000)));
    for (const auto &[Move, Machine, Amount] : Schedule) {
      World.step(static_cast<move>(Move), Machine, Amount);
      RC_ASSERT(World.committed() <= Budget);
    }
    World.drain();
    RC_ASSERT(World.committed() <= Budget);
  }));
}

// The pattern: an account's last tokens lie idle at instances that nobody asks
// any more, while calls arrive at another one.
TEST_CASE("the end of a budget is reached and told, wherever its rest lies",
          "[grants][property]") {
  CHECK(rc::check("idle rests reach the instance that is asked", [] {
    constexpr std::int64_t Bound = 110;
    manual_clock Clock;
    topic Topic;
    machine Idle("idle", Topic, Clock);
    machine Asked("asked", Topic, Clock);
    Idle.start(1, "boot-1", tableOf(Budget));
    Asked.start(2, "boot-2", tableOf(Budget));
    const auto Round = [&] {
      for (machine *Machine : {&Idle, &Asked}) {
        writeAll(*Machine);
        writeMark(*Machine);
      }
      Clock.Time += 300;
    };
    std::int64_t Spent = 0;
    const auto Spend = [&](machine &Machine, std::int64_t Amount) {
      if (Machine.Holder->reserve("a", Amount) !=
          relay::reserve_result::Reserved)
        return;
      Machine.Holder->settle("a", Amount, Amount);
      Spent += Amount;
    };
    const std::vector<std::pair<int, int>> Load =
        *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(1, 20'000)));
    for (const auto &[Who, Amount] : Load) {
      if (Who == 0)
        Round();
      else
        Spend(Who == 1 ? Idle : Asked, Amount);
    }
    // From now on one is asked, or both in turn, to the end.
    const bool Both = *rc::gen::arbitrary<bool>();
    for (int Step = 0; Step < 400 && Budget - Spent >= Bound; ++Step) {
      Spend(Asked, std::max(Bound, (Budget - Spent) / 4));
      if (Both)
        Spend(Idle, Bound);
      Round();
    }
    RC_ASSERT(Budget - Spent < Bound);
    // The other's rest is handed back once its usual spending has faded.
    relay::reserve_result Last = relay::reserve_result::Pending;
    for (int Step = 0; Step < 100; ++Step) {
      Last = Asked.Holder->reserve("a", Bound);
      if (Last != relay::reserve_result::Pending)
        break;
      Round();
    }
    RC_ASSERT(Last == relay::reserve_result::Exhausted);
  }));
}
