// One ledger stream of the log in this daemon.
//
// Sections:
//   calls for requests
//   witness
//   maintenance
//   threads
#include "ledger_stream.hpp"

#include <chrono>

namespace tamarack::daemon {

namespace {

using std::chrono::milliseconds;

constexpr int LongPollMs = 5000;       // Longest wait for new records.
constexpr int WriterWaitMs = 200;      // Pause of the writer with open grants.
constexpr int IdleWaitMs = 2000;       // Pause of a thread without work.
constexpr int ClosePollMs = 20;        // Between checks for open grants.
constexpr int RetryMs = 200;           // Pause after a failed call to the log.
constexpr int WitnessTimeoutMs = 1000; // Longest wait for the witness.
constexpr time_ms SealDropIntervalMs = 60 * 60 * 1000;
// After more rounds in a row the stream is no longer followed.
constexpr int MaxUnneededMaintenanceRounds = 5;
// Exit status that requests a restart as a new incarnation.
constexpr int ExitForRestart = 75;

} // namespace

// A call that waits for its result, on the stack of its thread. Guarded by
// ledger_stream::Lock.
struct ledger_stream::blocked_call {
  std::condition_variable DoneCondition;
  bool IsDone = false;
  money::reserve_event ReserveResult;
  money::settlement SettleResult = money::settlement::Pending;
  ledger::executor_id Executor;

  bool wait(std::unique_lock<std::mutex> &Guard, std::int64_t WaitMs) {
    return DoneCondition.wait_for(Guard, milliseconds(WaitMs),
                                  [this] { return IsDone; });
  }
  void finish() {
    IsDone = true;
    DoneCondition.notify_one();
  }
};

ledger_stream::ledger_stream(std::uint32_t Stream,
                             ledger::incarnation_id SelfIncarnation,
                             const money::grant_policy &Policy, append_log &Log,
                             fleet::peer_client &PeerClient, fleet_view &Fleet,
                             clock &Clock, random_source &Random,
                             int CheckpointRecords)
    : Stream(Stream), StreamName(ledger::streamName(Stream)),
      SelfIncarnation(SelfIncarnation), CheckpointRecords(CheckpointRecords),
      Log(Log), PeerClient(PeerClient), Fleet(Fleet), Clock(Clock),
      Random(Random), Logger("ledger"),
      LedgerHome(SelfIncarnation, Policy, WitnessedLines) {}

ledger_stream::~ledger_stream() { stopFollowing(); }

//---------------------------------------------------------------------------
// Calls for requests
//---------------------------------------------------------------------------

fleet::reserve_response
ledger_stream::reserve(const fleet::reserve_request &Request) {
  std::unique_lock Guard(Lock);
  startFollowing();
  blocked_call Call;
  const money::waiter_id Id = LedgerHome.reserve(Request.Budget, Request.Key,
                                                 Request.Amount, Clock.now());
  BlockedReservations.emplace(Id, &Call);
  deliverResults();
  if (!Call.IsDone) // The writer must request a grant.
    WriterCondition.notify_one();
  const bool Done = Call.wait(Guard, Request.WaitMs);
  BlockedReservations.erase(Id);
  if (!Done) {
    LedgerHome.cancel(Id);
    return {money::refusal::Undecided, {}};
  }
  if (Call.ReserveResult.Refusal == money::refusal::None)
    recordRemoteReservation(Request, Call.ReserveResult.Reservation);
  return {Call.ReserveResult.Refusal, Call.ReserveResult.Reservation};
}

// Called with Lock held.
void ledger_stream::recordRemoteReservation(
    const fleet::reserve_request &Request,
    const money::reservation &Reservation) {
  if (Request.Requester != SelfIncarnation)
    RemoteReservations.emplace(Request.Requester, Reservation);
}

bool ledger_stream::settle(const fleet::settle_request &Request) {
  std::unique_lock Guard(Lock);
  blocked_call Call;
  const ledger::request_key &Key = Request.Reservation.Key;
  const money::settlement State =
      LedgerHome.settle(Request.Reservation, Request.Minted, Request.Actual);
  if (State != money::settlement::Pending)
    return State == money::settlement::Replicated;
  auto Item = BlockedSettlements.emplace(Key, &Call);
  deliverResults();
  WitnessCondition.notify_one();
  const bool Done = Call.wait(Guard, Request.WaitMs);
  BlockedSettlements.erase(Item);
  if (!Done) {
    LedgerHome.withdraw(Key);
    return false;
  }
  return Call.SettleResult == money::settlement::Replicated;
}

void ledger_stream::release(const fleet::release_request &Request) {
  const std::lock_guard Guard(Lock);
  LedgerHome.release(Request.Reservation, Clock.now());
  deliverResults();
}

fleet::claim_response
ledger_stream::claim(const fleet::claim_request &Request) {
  std::unique_lock Guard(Lock);
  startFollowing();
  blocked_call Call;
  auto Item = BlockedClaims.emplace(Request.Key, &Call);
  LedgerHome.claim(Request.Key, Request.Minted, Request.Executor);
  deliverResults();
  WriterCondition.notify_one();
  const bool Done = Call.wait(Guard, Request.WaitMs);
  BlockedClaims.erase(Item);
  return {Done, Call.Executor};
}

// Called with Lock held. Passes the events of the ledger to the calls that wait
// for them.
void ledger_stream::deliverResults() {
  for (const money::reserve_event &Event : LedgerHome.drainReserveEvents()) {
    auto Found = BlockedReservations.find(Event.Waiter);
    if (Found == BlockedReservations.end()) {
      // The call has timed out: free the reserved tokens.
      if (Event.Refusal == money::refusal::None)
        LedgerHome.release(Event.Reservation, Clock.now());
      continue;
    }
    Found->second->ReserveResult = Event;
    Found->second->finish();
  }
  for (const money::settle_event &Event : LedgerHome.drainSettleEvents()) {
    auto Range = BlockedSettlements.equal_range(Event.Key);
    for (auto Item = Range.first; Item != Range.second; ++Item) {
      Item->second->SettleResult = Event.State;
      Item->second->finish();
    }
  }
  for (const money::claim_event &Event : LedgerHome.drainClaimEvents()) {
    auto Range = BlockedClaims.equal_range(Event.Key);
    for (auto Item = Range.first; Item != Range.second; ++Item) {
      Item->second->Executor = Event.Executor;
      Item->second->finish();
    }
  }
}

//---------------------------------------------------------------------------
// Witness
//---------------------------------------------------------------------------

fleet::witness_response
ledger_stream::handleWitnessRequest(const fleet::witness_request &Request) {
  const std::lock_guard Guard(Lock);
  std::set<ledger::grant_id> Refused;
  for (const ledger::grant_id &Grant : Request.Update.OpenedGrants)
    WitnessedHolders.insert(Grant.Holder);
  for (const money::witness_line &Line : Request.Update.Lines) {
    WitnessedHolders.insert(Line.Grant.Holder);
    if (!WitnessedLines.storeLine(Line))
      Refused.insert(Line.Grant);
  }
  for (const money::witness_line &Line : Request.Update.LoggedLines)
    WitnessedLines.eraseLine(Line.Grant, Line.Line.Key);
  fleet::witness_response Response;
  Response.RefusedGrants.assign(Refused.begin(), Refused.end());
  return Response;
}

void ledger_stream::sendWitnessUpdate(const money::witness_update &Update) {
  const std::optional<std::string> Url = Fleet.peerUrl(Update.Witness);
  std::optional<fleet::peer_response> Response;
  if (Url)
    Response = PeerClient.call(*Url, fleet::witness_request{Stream, Update},
                               WitnessTimeoutMs);
  const auto *WitnessResponse =
      Response ? std::get_if<fleet::witness_response>(&*Response) : nullptr;
  if (WitnessResponse == nullptr)
    Fleet.markUnresponsive(Update.Witness);
  const std::lock_guard Guard(Lock);
  if (WitnessResponse == nullptr) {
    Logger.warn(StreamName + ": witness " + std::to_string(Update.Witness) +
                " does not respond; the grants that it witnesses are closed "
                "through the log.");
    LedgerHome.onWitnessLost(Update.Witness);
  } else {
    for (const ledger::grant_id &Grant : WitnessResponse->RefusedGrants)
      LedgerHome.onWitnessRefused(Grant);
    for (const money::witness_line &Line : Update.Lines)
      LedgerHome.onWitnessAcknowledged(
          Line); // Ignores the lines of refused grants.
  }
  deliverResults();
  WriterCondition.notify_one();
}

//---------------------------------------------------------------------------
// Maintenance
//---------------------------------------------------------------------------

void ledger_stream::runMaintenance() {
  const money::home_view View = Fleet.homeView(Stream);
  const bool IsHome = Fleet.isHome(Stream);
  bool ShouldStop = false;
  {
    const std::lock_guard Guard(Lock);
    bool HolderSuspected = false;
    for (ledger::incarnation_id Holder : WitnessedHolders)
      HolderSuspected = HolderSuspected || View.Suspected.contains(Holder);
    if (HolderSuspected || IsHome)
      startFollowing();
    for (auto Item = RemoteReservations.begin();
         Item != RemoteReservations.end();) {
      if (!View.Suspected.contains(Item->first)) {
        ++Item;
        continue;
      }
      LedgerHome.release(Item->second, Clock.now());
      Item = RemoteReservations.erase(Item);
    }
    deliverResults();
    dropOldSeals();
    const bool IsNeeded = IsHome || HolderSuspected || !LedgerHome.isIdle();
    UnneededMaintenanceRounds = IsNeeded ? 0 : UnneededMaintenanceRounds + 1;
    ShouldStop = Following &&
                 UnneededMaintenanceRounds > MaxUnneededMaintenanceRounds &&
                 LedgerHome.nextOffset() > 0;
  }
  if (ShouldStop)
    stopFollowing();
}

// Called with Lock held.
void ledger_stream::dropOldSeals() {
  const time_ms Now = Clock.now();
  if (Now - LastSealDropTime < SealDropIntervalMs)
    return;
  LastSealDropTime = Now;
  WitnessedLines.expireSeals(Now - ledger::WriterWindowMs,
                             Fleet.recentlyHeardIncarnations());
}

bool ledger_stream::waitUntilAllGrantsClosed(int WaitMs) {
  const time_ms Deadline = Clock.monotonic() + WaitMs;
  for (;;) {
    {
      const std::lock_guard Guard(Lock);
      if (!Following || LedgerHome.isIdle())
        return true;
      WriterCondition.notify_one();
    }
    if (Clock.monotonic() >= Deadline)
      return false;
    std::this_thread::sleep_for(milliseconds(ClosePollMs));
  }
}

stream_status ledger_stream::status() {
  const std::lock_guard Guard(Lock);
  stream_status Status;
  Status.Stream = Stream;
  Status.IsFollowing = Following;
  Status.IsCaughtUp = LedgerHome.isCaughtUp();
  Status.NextOffset = LedgerHome.nextOffset();
  Status.BudgetCount = LedgerHome.fold().budgets().size();
  Status.OpenGrantCount = LedgerHome.fold().grants().size();
  Status.RequestKeyCount = LedgerHome.fold().keyCount();
  Status.WitnessLineCount = WitnessedLines.lineCount();
  Status.FoldCounters = LedgerHome.fold().counters();
  Status.HomeCounters = LedgerHome.counters();
  return Status;
}

//---------------------------------------------------------------------------
// Threads
//---------------------------------------------------------------------------

// Called with Lock held.
void ledger_stream::startFollowing() {
  if (Following || Stopping)
    return;
  Following = true;
  ReaderThread = std::thread([this] { readLoop(); });
  WriterThread = std::thread([this] { writeLoop(); });
  WitnessSenderThread = std::thread([this] { witnessLoop(); });
}

// Called without Lock, waits for the threads to end.
void ledger_stream::stopFollowing() {
  {
    const std::lock_guard Guard(Lock);
    if (!Following)
      return;
    Stopping = true;
    WriterCondition.notify_all();
    WitnessCondition.notify_all();
  }
  ReaderThread.join();
  WriterThread.join();
  WitnessSenderThread.join();
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
      Logger.warn(StreamName + ": read failed: " + Error.what() + ".");
      std::this_thread::sleep_for(milliseconds(RetryMs));
      const std::lock_guard Guard(Lock);
      LedgerHome.onLogFailure(Clock.now());
      deliverResults();
    }
  }
}

void ledger_stream::readPage() {
  std::uint64_t From = 0;
  int WaitMs = LongPollMs;
  {
    const std::lock_guard Guard(Lock);
    From = LedgerHome.nextOffset();
    if (!LedgerHome.isCaughtUp())
      WaitMs = 0;
  }
  const log_page Page = Log.read(StreamName, From, WaitMs);
  if (Page.Trimmed)
    return startFromCheckpoint(Page.OldestOffset);
  const std::lock_guard Guard(Lock);
  const time_ms Now = Clock.now();
  for (const log_record &Record : Page.Records)
    LedgerHome.onRecord(Record, Now);
  if (LedgerHome.nextOffset() >= Page.NextOffset)
    LedgerHome.onCaughtUp(Now);
  const std::uint64_t Violations = LedgerHome.fold().counters().Violations;
  if (Violations > LoggedViolations) {
    LoggedViolations = Violations;
    Logger.error(StreamName + ": budget invariant violated, " +
                 std::to_string(Violations) + " violations so far.");
  }
  checkpointIfDue();
  deliverResults();
  if (Page.Records.empty())
    return;
  WriterCondition.notify_one();
  WitnessCondition.notify_one();
}

// Called if the log no longer has the next record. A reader without grants
// starts from a checkpoint. A reader with grants has missed part of their
// history, so the process exits and starts again as a new incarnation.
void ledger_stream::startFromCheckpoint(std::uint64_t First) {
  {
    const std::lock_guard Guard(Lock);
    if (!LedgerHome.isIdle()) {
      Logger.error(StreamName +
                   ": the log was trimmed beyond the position of this reader; "
                   "exiting to restart as a new incarnation.");
      std::_Exit(ExitForRestart);
    }
  }
  const std::optional<ledger::checkpoint_entry> Checkpoint =
      ledger::findCheckpoint(Log, StreamName, First);
  if (!Checkpoint) {
    Logger.error(StreamName + ": the log is trimmed and has no checkpoint.");
    throw log_unavailable("no checkpoint");
  }
  const std::lock_guard Guard(Lock);
  if (!LedgerHome.restore(*Checkpoint))
    throw log_unavailable("the checkpoint is damaged");
  Logger.info(StreamName + ": starting from a checkpoint.");
}

// Called with Lock held. The home writes a checkpoint CheckpointRecords to 1.5
// times CheckpointRecords records after the last one; the random part keeps
// several readers from writing one at the same time.
void ledger_stream::checkpointIfDue() {
  const std::uint64_t Next = LedgerHome.nextOffset();
  const std::uint64_t MinDistance =
      static_cast<std::uint64_t>(CheckpointRecords);
  const std::uint64_t LastCheckpoint = LedgerHome.fold().lastCheckpointOffset();
  if (NextCheckpointOffset < LastCheckpoint + MinDistance)
    NextCheckpointOffset =
        LastCheckpoint + MinDistance + Random.next() % (MinDistance / 2 + 1);
  if (!LedgerHome.isCaughtUp() || Next < NextCheckpointOffset ||
      !Fleet.isHome(Stream))
    return;
  NextCheckpointOffset = Next + MinDistance;
  LedgerHome.submit(LedgerHome.fold().makeCheckpoint());
}

void ledger_stream::writeLoop() {
  std::unique_lock Guard(Lock);
  while (!Stopping) {
    const money::home_view View = Fleet.homeView(Stream);
    const std::optional<ledger::ledger_batch> Batch =
        LedgerHome.nextBatch(View, Clock.now());
    deliverResults();
    if (LedgerHome.isBatchExpired(Clock.now())) {
      Logger.error(StreamName +
                   ": a batch could not be stored for hours; exiting to "
                   "restart as a new incarnation.");
      std::_Exit(ExitForRestart);
    }
    if (Batch) {
      Guard.unlock();
      appendBatch(*Batch);
      Guard.lock();
      continue;
    }
    const int WaitMs = LedgerHome.isIdle() ? IdleWaitMs : WriterWaitMs;
    WriterCondition.wait_for(Guard, milliseconds(WaitMs));
  }
}

void ledger_stream::appendBatch(const ledger::ledger_batch &Batch) {
  try {
    Log.append(StreamName, ledger::encodeBatch(Batch));
    const std::lock_guard Guard(Lock);
    LedgerHome.onStored(Batch.Number);
  } catch (const log_unavailable &Error) {
    Logger.warn(StreamName + ": append failed: " + Error.what() +
                ". The batch is appended again.");
    {
      const std::lock_guard Guard(Lock);
      LedgerHome.onLogFailure(Clock.now());
      deliverResults();
    }
    std::this_thread::sleep_for(milliseconds(RetryMs));
  }
}

void ledger_stream::witnessLoop() {
  std::unique_lock Guard(Lock);
  while (!Stopping) {
    const std::vector<money::witness_update> Updates =
        LedgerHome.drainWitnessUpdates();
    if (Updates.empty()) {
      WitnessCondition.wait_for(Guard, milliseconds(IdleWaitMs));
      continue;
    }
    Guard.unlock();
    for (const money::witness_update &Update : Updates)
      sendWitnessUpdate(Update);
    Guard.lock();
  }
}

} // namespace tamarack::daemon
