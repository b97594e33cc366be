// One ledger stream at work: threads that read, append and reach the witness.
//
// Sections:
//   calls of requests
//   witness
//   upkeep
//   threads
#include "ledger_stream.hpp"

#include <chrono>

namespace tamarack::daemon {

namespace {

using std::chrono::milliseconds;

constexpr int PollMs = 5000;      // Long poll of the log.
constexpr int WriterTickMs = 200; // Between looks, with grants open.
constexpr int IdleMs = 2000;      // The same, with nothing to do.
constexpr int LeaveStepMs = 20;   // Between looks while leaving.
constexpr time_ms ExpireEveryMs = 60 * 60 * 1000; // Between sweeps of seals.
constexpr int RetryMs = 200;           // After a failed call to the log.
constexpr int WitnessTimeoutMs = 1000; // Longest wait for the witness.
constexpr int UnneededLimit = 5;       // Rounds of upkeep before unfollowing.
constexpr int StartAgain = 75;         // Exit status for a new incarnation.

} // namespace

// Lives on the stack of the blocked caller; guarded by the stream's lock.
struct ledger_stream::pending {
  std::condition_variable Wake;
  bool Done = false;
  money::reserve_event Reserve;
  money::settlement Settlement = money::settlement::Pending;
  money::runner_id Runner;

  bool wait(std::unique_lock<std::mutex> &Guard, std::int64_t WaitMs) {
    return Wake.wait_for(Guard, milliseconds(WaitMs), [this] { return Done; });
  }
  void finish() {
    Done = true;
    Wake.notify_one();
  }
};

ledger_stream::ledger_stream(std::uint32_t Stream, money::incarnation_id Self,
                             const money::grant_policy &Policy, append_log &Log,
                             fleet::peer_client &Peers, fleet_view &Fleet,
                             clock &Clock, random_source &Random,
                             int CheckpointRecords)
    : Stream(Stream), Name(money::streamName(Stream)), Self(Self),
      CheckpointRecords(CheckpointRecords), Log(Log), Peers(Peers),
      Fleet(Fleet), Clock(Clock), Random(Random), Part("ledger"),
      Home(Self, Policy, Witnessed) {}

ledger_stream::~ledger_stream() { stopFollowing(); }

//---------------------------------------------------------------------------
// Calls of requests
//---------------------------------------------------------------------------

fleet::reserve_response
ledger_stream::reserve(const fleet::reserve_request &Request) {
  std::unique_lock Guard(Lock);
  follow();
  pending Pending;
  const money::waiter_id Id =
      Home.reserve(Request.Budget, Request.Key, Request.Amount, Clock.now());
  Reserving.emplace(Id, &Pending);
  deliver();
  if (!Pending.Done) // Needs a grant.
    WriterWake.notify_one();
  const bool Done = Pending.wait(Guard, Request.WaitMs);
  Reserving.erase(Id);
  if (!Done) {
    Home.cancel(Id);
    return {money::refusal::Undecided, {}};
  }
  if (Pending.Reserve.Refusal == money::refusal::None)
    noteEntry(Request, Pending.Reserve.Reservation);
  return {Pending.Reserve.Refusal, Pending.Reserve.Reservation};
}

void ledger_stream::noteEntry(const fleet::reserve_request &Request,
                              const money::reservation &Reservation) {
  if (Request.Requester != Self)
    Entries.emplace(Request.Requester, Reservation);
}

bool ledger_stream::settle(const fleet::settle_request &Request) {
  std::unique_lock Guard(Lock);
  pending Pending;
  const money::request_key &Key = Request.Reservation.Key;
  const money::settlement State =
      Home.settle(Request.Reservation, Request.Minted, Request.Actual);
  if (State != money::settlement::Pending)
    return State == money::settlement::Kept;
  auto Item = Settling.emplace(Key, &Pending);
  deliver();
  WitnessWake.notify_one();
  const bool Done = Pending.wait(Guard, Request.WaitMs);
  Settling.erase(Item);
  if (!Done) {
    Home.withdraw(Key);
    return false;
  }
  return Pending.Settlement == money::settlement::Kept;
}

void ledger_stream::release(const fleet::release_request &Request) {
  const std::lock_guard Guard(Lock);
  Home.release(Request.Reservation, Clock.now());
  deliver();
}

fleet::claim_response
ledger_stream::claim(const fleet::claim_request &Request) {
  std::unique_lock Guard(Lock);
  follow();
  pending Pending;
  auto Item = Claiming.emplace(Request.Key, &Pending);
  Home.claim(Request.Key, Request.Minted, Request.Executor);
  deliver();
  WriterWake.notify_one();
  const bool Done = Pending.wait(Guard, Request.WaitMs);
  Claiming.erase(Item);
  return {Done, Pending.Runner};
}

// Hands finished events to the blocked callers.
void ledger_stream::deliver() {
  for (const money::reserve_event &Event : Home.takeReserveEvents()) {
    auto Found = Reserving.find(Event.Waiter);
    if (Found == Reserving.end()) { // Gone: the reservation must not stay.
      if (Event.Refusal == money::refusal::None)
        Home.release(Event.Reservation, Clock.now());
      continue;
    }
    Found->second->Reserve = Event;
    Found->second->finish();
  }
  for (const money::settle_event &Event : Home.takeSettleEvents()) {
    auto Range = Settling.equal_range(Event.Key);
    for (auto Item = Range.first; Item != Range.second; ++Item) {
      Item->second->Settlement = Event.State;
      Item->second->finish();
    }
  }
  for (const money::claim_event &Event : Home.takeClaimEvents()) {
    auto Range = Claiming.equal_range(Event.Key);
    for (auto Item = Range.first; Item != Range.second; ++Item) {
      Item->second->Runner = Event.Runner;
      Item->second->finish();
    }
  }
}

//---------------------------------------------------------------------------
// Witness
//---------------------------------------------------------------------------

fleet::witness_response
ledger_stream::witness(const fleet::witness_request &Request) {
  const std::lock_guard Guard(Lock);
  std::set<money::grant_id> Refused;
  for (const money::grant_id &Grant : Request.Update.Opened)
    Holders.insert(Grant.Holder);
  for (const money::witness_line &Line : Request.Update.Lines) {
    Holders.insert(Line.Grant.Holder);
    if (!Witnessed.keep(Line))
      Refused.insert(Line.Grant);
  }
  for (const money::witness_line &Line : Request.Update.Recorded)
    Witnessed.forget(Line.Grant, Line.Line.Key);
  fleet::witness_response Answer;
  Answer.RefusedGrants.assign(Refused.begin(), Refused.end());
  return Answer;
}

void ledger_stream::sendUpdate(const money::witness_update &Update) {
  const std::optional<std::string> Url = Fleet.peerUrl(Update.Witness);
  std::optional<fleet::peer_response> Answer;
  if (Url)
    Answer = Peers.call(*Url, fleet::witness_request{Stream, Update},
                        WitnessTimeoutMs);
  const auto *Kept =
      Answer ? std::get_if<fleet::witness_response>(&*Answer) : nullptr;
  if (Kept == nullptr)
    Fleet.noteSilent(Update.Witness);
  const std::lock_guard Guard(Lock);
  if (Kept == nullptr) {
    Part.warn("Witness does not answer; its grants are closed through the "
              "log.");
    Home.onWitnessLost(Update.Witness);
  } else {
    for (const money::grant_id &Grant : Kept->RefusedGrants)
      Home.onWitnessRefused(Grant);
    for (const money::witness_line &Line : Update.Lines)
      Home.onWitnessKept(Line); // Refused ones are no longer pending.
  }
  deliver();
  WriterWake.notify_one();
}

//---------------------------------------------------------------------------
// Upkeep
//---------------------------------------------------------------------------

void ledger_stream::maintain() {
  const money::home_view View = Fleet.homeView(Stream);
  const bool IsHome = Fleet.isHome(Stream);
  bool Stop = false;
  {
    const std::lock_guard Guard(Lock);
    bool HolderSuspected = false;
    for (money::incarnation_id Holder : Holders)
      HolderSuspected = HolderSuspected || View.Suspected.contains(Holder);
    if (HolderSuspected || IsHome)
      follow();
    for (auto Item = Entries.begin(); Item != Entries.end();) {
      if (!View.Suspected.contains(Item->first)) {
        ++Item;
        continue;
      }
      Home.release(Item->second, Clock.now());
      Item = Entries.erase(Item);
    }
    deliver();
    expireSeals();
    const bool Needed = IsHome || HolderSuspected || !Home.isIdle();
    UnneededRounds = Needed ? 0 : UnneededRounds + 1;
    Stop = Following && UnneededRounds > UnneededLimit && Home.next() > 0;
  }
  if (Stop)
    stopFollowing();
}

// Called with the lock held.
void ledger_stream::expireSeals() {
  const time_ms Now = Clock.now();
  if (Now - SealsExpired < ExpireEveryMs)
    return;
  SealsExpired = Now;
  Witnessed.expire(Now - money::WriterWindowMs, Fleet.livingIncarnations());
}

bool ledger_stream::leave(int WaitMs) {
  const time_ms End = Clock.monotonic() + WaitMs;
  for (;;) {
    {
      const std::lock_guard Guard(Lock);
      if (!Following || Home.isIdle())
        return true;
      WriterWake.notify_one();
    }
    if (Clock.monotonic() >= End)
      return false;
    std::this_thread::sleep_for(milliseconds(LeaveStepMs));
  }
}

stream_status ledger_stream::status() {
  const std::lock_guard Guard(Lock);
  stream_status Status;
  Status.Stream = Stream;
  Status.Following = Following;
  Status.CaughtUp = Home.isCaughtUp();
  Status.Next = Home.next();
  Status.Budgets = Home.fold().budgets().size();
  Status.Grants = Home.fold().grants().size();
  Status.Keys = Home.fold().keyCount();
  Status.WitnessLines = Witnessed.lineCount();
  Status.Fold = Home.fold().counters();
  Status.Home = Home.counters();
  return Status;
}

//---------------------------------------------------------------------------
// Threads
//---------------------------------------------------------------------------

void ledger_stream::follow() {
  if (Following || Stopping)
    return;
  Following = true;
  Reader = std::thread([this] { readLoop(); });
  Writer = std::thread([this] { writeLoop(); });
  WitnessSender = std::thread([this] { witnessLoop(); });
}

void ledger_stream::stopFollowing() {
  {
    const std::lock_guard Guard(Lock);
    if (!Following)
      return;
    Stopping = true;
    WriterWake.notify_all();
    WitnessWake.notify_all();
  }
  Reader.join();
  Writer.join();
  WitnessSender.join();
  const std::lock_guard Guard(Lock);
  Following = false;
  Stopping = false;
}

void ledger_stream::readLoop() {
  for (;;) {
    {
      const std::lock_guard Guard(Lock);
      if (Stopping)
        return;
    }
    try {
      readPage();
    } catch (const log_unavailable &Error) {
      Part.warn(Name + " can't be read: " + Error.what() + ".");
      const std::lock_guard Guard(Lock);
      Home.onLogFailure(Clock.now());
      deliver();
    }
  }
}

void ledger_stream::readPage() {
  std::uint64_t From = 0;
  int WaitMs = PollMs;
  {
    const std::lock_guard Guard(Lock);
    From = Home.next();
    if (!Home.isCaughtUp())
      WaitMs = 0;
  }
  log_page Page;
  try {
    Page = Log.read(Name, From, WaitMs);
  } catch (const log_unavailable &) {
    std::this_thread::sleep_for(milliseconds(RetryMs));
    throw;
  }
  if (Page.Trimmed)
    return startFromCheckpoint(Page.First);
  const std::lock_guard Guard(Lock);
  const time_ms Now = Clock.now();
  for (const log_record &Record : Page.Records)
    Home.onRecord(Record, Now);
  if (Home.next() >= Page.Next)
    Home.onCaughtUp(Now);
  const std::uint64_t Violations = Home.fold().counters().Violations;
  if (Violations > ViolationsLogged) {
    ViolationsLogged = Violations;
    Part.error("A budget invariant is broken in " + Name + ".");
  }
  maybeCheckpoint();
  deliver();
  if (Page.Records.empty())
    return;
  WriterWake.notify_one();
  WitnessWake.notify_one();
}

// A reader that starts takes a checkpoint. One that was already reading and
// fell behind the retention has lost its grants' history and starts anew as
// another incarnation.
void ledger_stream::startFromCheckpoint(std::uint64_t First) {
  {
    const std::lock_guard Guard(Lock);
    if (!Home.isIdle()) {
      Part.error(Name + " was trimmed past this reader; the instance ends.");
      std::_Exit(StartAgain);
    }
  }
  const std::optional<money::checkpoint_entry> Checkpoint =
      money::findCheckpoint(Log, Name, First);
  if (!Checkpoint) {
    Part.error(Name + " is trimmed and holds no checkpoint.");
    throw log_unavailable("no checkpoint");
  }
  const std::lock_guard Guard(Lock);
  if (!Home.restore(*Checkpoint))
    Part.error(Name + " holds a damaged checkpoint.");
  else
    Part.info(Name + " starts from a checkpoint.");
}

// Called with the lock held. The jitter keeps readers from writing at once.
void ledger_stream::maybeCheckpoint() {
  const std::uint64_t Next = Home.next();
  const std::uint64_t Least = static_cast<std::uint64_t>(CheckpointRecords);
  const std::uint64_t Seen = Home.fold().lastCheckpoint();
  if (CheckpointAt < Seen + Least)
    CheckpointAt = Seen + Least + Random.next() % (Least / 2 + 1);
  if (!Home.isCaughtUp() || Next < CheckpointAt || !Fleet.isHome(Stream))
    return;
  CheckpointAt = Next + Least;
  Home.submit(Home.fold().makeCheckpoint());
}

void ledger_stream::writeLoop() {
  std::unique_lock Guard(Lock);
  while (!Stopping) {
    const money::home_view View = Fleet.homeView(Stream);
    const std::optional<money::ledger_batch> Batch =
        Home.nextBatch(View, Clock.now());
    deliver();
    if (Home.isStuck(Clock.now())) {
      Part.error("A batch for " + Name + " is hours old; the instance ends.");
      std::_Exit(StartAgain);
    }
    if (Batch) {
      Guard.unlock();
      appendBatch(*Batch);
      Guard.lock();
      continue;
    }
    const int WaitMs = Home.isIdle() ? IdleMs : WriterTickMs;
    WriterWake.wait_for(Guard, milliseconds(WaitMs));
  }
}

void ledger_stream::appendBatch(const money::ledger_batch &Batch) {
  try {
    Log.append(Name, money::encodeBatch(Batch));
    const std::lock_guard Guard(Lock);
    Home.onStored(Batch.Number);
  } catch (const log_unavailable &Error) {
    Part.warn("A batch for " + Name + " got no answer: " + Error.what() +
              ". It is sent again.");
    {
      const std::lock_guard Guard(Lock);
      Home.onLogFailure(Clock.now());
      deliver();
    }
    std::this_thread::sleep_for(milliseconds(RetryMs));
  }
}

void ledger_stream::witnessLoop() {
  std::unique_lock Guard(Lock);
  while (!Stopping) {
    const std::vector<money::witness_update> Updates =
        Home.takeWitnessUpdates();
    if (Updates.empty()) {
      WitnessWake.wait_for(Guard, milliseconds(IdleMs));
      continue;
    }
    Guard.unlock();
    for (const money::witness_update &Update : Updates)
      sendUpdate(Update);
    Guard.lock();
  }
}

} // namespace tamarack::daemon
