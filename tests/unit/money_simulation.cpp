#include "money_simulation.hpp"

namespace tamarack::tests {

using namespace money;

namespace {
constexpr const char *Budgets[] = {"large", "small"};
constexpr time_ms StepMs = 40;
} // namespace

money_simulation::money_simulation(const simulation_options &Options)
    : Options(Options), Policy(makeDemandPolicy()), Reference(Listener) {
  for (int Zone = 0; Zone < Options.Zones; ++Zone)
    for (int Index = 0; Index < Options.DaemonsPerZone; ++Index) {
      Daemons.emplace_back();
      Daemons.back().Zone = Zone;
      start(Daemons.back());
    }
  credit(400); // "large"
  credit(81);  // "small"
}

money_simulation::~money_simulation() = default;

void money_simulation::start(daemon &Daemon) {
  Daemon.Incarnation = makeIncarnation(Now, ++NextIncarnation);
  Daemon.Witnessed = std::make_unique<witness_store>();
  Daemon.Home = std::make_unique<ledger_home>(Daemon.Incarnation, *Policy,
                                              *Daemon.Witnessed);
  Daemon.Waiting.clear();
  Daemon.Held.clear();
  Daemon.Late.clear();
  Daemon.Suspects.clear();
}

void money_simulation::step(const simulation_step &Step) {
  const std::size_t Count = Daemons.size();
  const std::size_t Index = static_cast<std::size_t>(Step.Daemon) % Count;
  daemon &Daemon = Daemons[Index];
  Now += StepMs;
  switch (Step.Kind % StepKinds) {
  case 0:
  case 1:
    request(Daemon, Step.Detail);
    break;
  case 2:
  case 3:
    settle(Daemon);
    break;
  case 4:
    giveUp(Daemon);
    break;
  case 5:
  case 6:
    append(Daemon, Step.Detail);
    break;
  case 7:
    storeLate(Daemon);
    break;
  case 8:
  case 9:
    read(Daemon, 1 + Step.Detail % 8);
    break;
  case 10:
  case 11:
    talkToWitness(Daemon, Step.Detail);
    break;
  case 12:
    crash(Daemon, Step.Detail);
    break;
  case 13:
    suspect(Daemon, Step.Detail);
    break;
  case 14:
    credit(Step.Detail);
    break;
  case 15:
    Daemon.Cut = Options.CutsZones && Step.Detail % 3 == 0;
    Now += Step.Detail % 2 == 0 ? 2000 : 0;
    break;
  }
  check();
}

void money_simulation::request(daemon &Daemon, int Detail) {
  const request_key Key{7, ++NextKey};
  const char *Budget = Budgets[Detail % 2];
  const amount Amount = 1 + Detail % 9;
  const waiter_id Id = Daemon.Home->reserve(Budget, Key, Amount, Now);
  Daemon.Waiting[Id] = {Key, Budget};
  takeEvents(Daemon);
}

void money_simulation::takeEvents(daemon &Daemon) {
  for (const reserve_event &Event : Daemon.Home->drainReserveEvents()) {
    const waiting Waiting = Daemon.Waiting.at(Event.Waiter);
    Daemon.Waiting.erase(Event.Waiter);
    if (Event.Refusal == refusal::None)
      Daemon.Held[Waiting.Key] = {Waiting.Budget, Event.Reservation, false, 0};
  }
  for (const settle_event &Event : Daemon.Home->drainSettleEvents()) {
    auto Found = Daemon.Held.find(Event.Key);
    if (Found == Daemon.Held.end())
      continue;
    const held Item = Found->second;
    Daemon.Held.erase(Found);
    if (Event.State == settlement::Replicated) {
      deliver(Item);
      continue;
    }
    // Moves the bill to another grant, as the daemon does.
    const waiter_id Id = Daemon.Home->reserve(
        Item.Budget, Event.Key, std::max<amount>(1, Item.Actual), Now);
    Daemon.Waiting[Id] = {Event.Key, Item.Budget};
  }
}

void money_simulation::deliver(const held &Item) {
  const request_key &Key = Item.Reservation.Key;
  if (DeliveredOn.emplace(Key, Item.Reservation.Grant).second)
    Delivered += Item.Actual;
}

void money_simulation::settle(daemon &Daemon) {
  for (auto &[Key, Item] : Daemon.Held) {
    if (Item.Settling)
      continue;
    Item.Settling = true;
    Item.Actual = std::max<amount>(1, Item.Reservation.Amount - 1);
    if (Item.Reservation.Amount == 1)
      Item.Actual = 1;
    const settlement State =
        Daemon.Home->settle(Item.Reservation, Now, Item.Actual);
    const held Copy = Item;
    if (State == settlement::Replicated)
      deliver(Copy);
    if (State != settlement::Pending)
      Daemon.Held.erase(Copy.Reservation.Key);
    takeEvents(Daemon);
    return;
  }
}

void money_simulation::giveUp(daemon &Daemon) {
  for (const auto &[Key, Item] : Daemon.Held) {
    if (Item.Settling)
      continue;
    Daemon.Home->release(Item.Reservation, Now);
    Daemon.Held.erase(Key);
    takeEvents(Daemon);
    return;
  }
}

home_view money_simulation::viewOf(const daemon &Daemon) {
  home_view View;
  View.HolderCount = Options.Zones;
  View.Suspected = Daemon.Suspects;
  const daemon *Witness = neighbour(Daemon);
  if (Witness != nullptr && !Daemon.Suspects.contains(Witness->Incarnation))
    View.Witness = Witness->Incarnation;
  return View;
}

money_simulation::daemon *money_simulation::neighbour(const daemon &Daemon) {
  for (daemon &Other : Daemons)
    if (Other.Zone == Daemon.Zone && &Other != &Daemon)
      return &Other;
  return nullptr;
}

money_simulation::daemon *
money_simulation::findByIncarnation(incarnation_id Incarnation) {
  for (daemon &Other : Daemons)
    if (Other.Incarnation == Incarnation)
      return &Other;
  return nullptr;
}

// The answer may be lost, the append may be stored late or never.
void money_simulation::append(daemon &Daemon, int Detail) {
  const std::optional<ledger_batch> Batch =
      Daemon.Home->nextBatch(viewOf(Daemon), Now);
  takeEvents(Daemon);
  if (!Batch)
    return;
  if (Daemon.Cut) {
    Daemon.Home->onLogFailure(Now);
    return takeEvents(Daemon);
  }
  switch (Detail % 4) {
  case 0:
  case 1:
    store(*Batch);
    Daemon.Home->onStored(Batch->Number);
    break;
  case 2:
    store(*Batch); // The answer is lost.
    Daemon.Home->onLogFailure(Now);
    break;
  case 3:
    Daemon.Late.push_back(*Batch); // Stored some time later, or never.
    Daemon.Home->onLogFailure(Now);
    break;
  }
  takeEvents(Daemon);
}

void money_simulation::storeLate(daemon &Daemon) {
  if (Daemon.Late.empty())
    return;
  store(Daemon.Late.front());
  Daemon.Late.erase(Daemon.Late.begin());
}

void money_simulation::store(const ledger_batch &Batch) {
  log_record Record;
  Record.Offset = Log.size();
  Record.Time = Now;
  Record.Body = encodeBatch(Batch);
  Log.push_back(Record);
  Reference.apply(Record);
}

void money_simulation::read(daemon &Daemon, int Count) {
  if (Daemon.Cut)
    return;
  for (int Index = 0; Index < Count; ++Index) {
    if (Daemon.Home->nextOffset() == Log.size()) {
      Daemon.Home->onCaughtUp(Now);
      break;
    }
    Daemon.Home->onRecord(Log[Daemon.Home->nextOffset()], Now);
    takeEvents(Daemon);
  }
  takeEvents(Daemon);
}

// Detail chooses whether the message or its answer is lost.
void money_simulation::talkToWitness(daemon &Daemon, int Detail) {
  for (const witness_update &Update : Daemon.Home->drainWitnessUpdates()) {
    daemon *Witness = findByIncarnation(Update.Witness);
    const bool MessageLost = Witness == nullptr || Detail % 7 == 0;
    const bool AnswerLost = Detail % 7 == 1;
    std::set<grant_id> Refused;
    if (!MessageLost) {
      for (const witness_line &Line : Update.Lines) {
        const bool Kept = Witness->Witnessed->storeLine(Line);
        if (!Kept && !Options.WitnessIgnoresSeal)
          Refused.insert(Line.Grant);
      }
      for (const witness_line &Line : Update.LoggedLines)
        Witness->Witnessed->eraseLine(Line.Grant, Line.Line.Key);
    }
    if (MessageLost || AnswerLost) {
      Daemon.Home->onWitnessLost(Update.Witness);
    } else {
      for (const grant_id &Grant : Refused)
        Daemon.Home->onWitnessRefused(Grant);
      for (const witness_line &Line : Update.Lines)
        Daemon.Home->onWitnessAcknowledged(Line);
    }
    takeEvents(Daemon);
  }
}

void money_simulation::crash(daemon &Daemon, int Detail) {
  if (Detail % 4 != 0 || Deaths >= Options.LargestDeaths)
    return;
  ++Deaths;
  Dead.insert(Daemon.Incarnation);
  start(Daemon);
}

// Also hits daemons that are alive: a pause looks like a death.
void money_simulation::suspect(daemon &Daemon, int Detail) {
  daemon *Other = neighbour(Daemon);
  if (Other != nullptr && Detail % 2 == 0)
    Daemon.Suspects.insert(Other->Incarnation);
  else
    Daemon.Suspects.clear();
  Daemon.Suspects.insert(Dead.begin(), Dead.end());
}

// Top-ups, and now and then a reduction, at the log's side of every cut.
void money_simulation::credit(int Detail) {
  credit_entry Entry;
  Entry.Id = {9, ++NextKey};
  Entry.CreatedAt = Now;
  Entry.Budget = Budgets[Detail % 2];
  Entry.Delta = Detail % 5 == 0 ? -(Detail % 50) : Detail % 40;
  if (Log.size() < 2)
    Entry.Delta = Detail;
  ledger_batch Batch;
  Batch.Writer = makeIncarnation(Now, ++NextIncarnation);
  Batch.Number = 1;
  Batch.CreatedAt = Now;
  Batch.Entries.emplace_back(Entry);
  store(Batch);
}

amount money_simulation::credits() const {
  amount Sum = 0;
  for (const auto &[Name, Budget] : Reference.budgets())
    Sum += Budget.Credits;
  return Sum;
}

amount money_simulation::stranded() const {
  amount Sum = 0;
  for (const auto &[Id, Grant] : Reference.grants())
    if (Grant.Witness != 0)
      Sum += Grant.Amount - Grant.Billed;
  return Sum;
}

void money_simulation::check() {
  if (Reference.counters().Violations != 0)
    fail("the fold broke an invariant");
  for (const auto &[Name, Budget] : Reference.budgets())
    if (Budget.Billed > Budget.Credits)
      fail("billed more than prepaid");
  for (const daemon &Daemon : Daemons)
    if (Daemon.Home->fold().counters().Violations != 0)
      fail("a daemon's fold broke an invariant");
}

void money_simulation::settleDown() {
  for (daemon &Daemon : Daemons) {
    Daemon.Cut = false;
    Daemon.Suspects = Dead;
  }
  for (int Round = 0; Round < 60; ++Round) {
    Now += 500;
    for (daemon &Daemon : Daemons) {
      read(Daemon, 1000);
      settle(Daemon);
      talkToWitness(Daemon, 2);
      append(Daemon, 0);
      read(Daemon, 1000);
      read(Daemon, 1);
    }
  }
  for (daemon &Daemon : Daemons) // Graceful shutdown of all.
    for (int Round = 0; Round < 8; ++Round) {
      home_view View = viewOf(Daemon);
      View.Leaving = true;
      Now += 2500;
      if (const auto Batch = Daemon.Home->nextBatch(View, Now)) {
        store(*Batch);
        Daemon.Home->onStored(Batch->Number);
      }
      read(Daemon, 1000);
      talkToWitness(Daemon, 2);
    }
  check();
  for (const daemon &Daemon : Daemons)
    if (Daemon.Home->nextOffset() == Log.size() &&
        Daemon.Home->fold().encodeState() != Reference.encodeState())
      fail("two readers differ at the same offset");
  for (const auto &[Key, Grant] : DeliveredOn) {
    const bool Closed = Reference.findGrant(Grant) == nullptr;
    if (Closed && !Reference.isBilled(Key))
      fail("a delivered answer was never billed and its grant was freed");
  }
}

void money_simulation::fail(const std::string &Text) {
  if (Broken.empty())
    Broken = Text;
}

} // namespace tamarack::tests
