// Prepaid budgets of a router instance: grant records and watermarks in the
// store.
#include "router.hpp"

namespace tamarack::daemon {

namespace {

constexpr int GrantWriteIntervalMs = 40; // Pause after a successful write.
constexpr int GrantRetryMs = 250;        // Pause after a failed write.
// Distance of a new incarnation's epoch from the highest one in the store. The
// previous incarnation adds 1 to its epoch after each write that conflicts or
// whose outcome is unknown, and the new epoch must be above all of those.
constexpr std::uint64_t EpochStep = 1'000'000;

} // namespace

relay::reserve_result router::reserve(std::string_view Account,
                                      std::int64_t Bound) {
  const relay::reserve_result Result = Grants.reserve(Account, Bound);
  if (Result == relay::reserve_result::Pending)
    edge::net::post(Context, [this] {
      writeWatermark();
      writeGrants();
    });
  return Result;
}

bool router::reserveHeld(std::string_view Account, std::int64_t Bound) {
  return Grants.reserveHeld(Account, Bound);
}

void router::settle(std::string_view Account, std::int64_t Bound,
                    std::int64_t Used) {
  Grants.settle(Account, Bound, Used);
}

bool router::isLimited(std::string_view Account) const {
  return Grants.isLimited(Account);
}

const std::vector<grants::pool_member> &
router::candidatesFor(std::string_view Account) const {
  return Grants.pools().candidatesFor(Account);
}

bool router::isActive(std::string_view Instance) const {
  return Grants.holders().incarnationOf(Instance) != 0;
}

void router::onBudgetChanged() { Frontend.onGrantsChanged(); }

// Requests of one event share a message.
void router::onRequestQueued() {
  if (IsPoolSendPosted)
    return;
  IsPoolSendPosted = true;
  edge::net::post(Context, [this] { sendReservations(); });
}

void router::schedulePoolTimer() {
  const time_ms DelayMs =
      std::max<time_ms>(0, Budget.nextTimer() - Clock.monotonic());
  PoolTimer.expires_after(std::chrono::milliseconds(DelayMs));
  PoolTimer.async_wait([this](const edge::error_code &Error) {
    if (!Error)
      sendReservations();
  });
}

void router::sendReservations() {
  IsPoolSendPosted = false;
  Budget.sendDue(Clock.monotonic());
  if (Budget.waitingCount() > 0)
    schedulePoolTimer();
}

// Runs before anything is spent, in three steps: fences the writer, so that no
// write of the previous incarnation can be stored any more; reads the last
// watermark of the previous incarnation; records the epoch of this incarnation.
// Called with IsFenced false to choose the epoch and with true after the fence.
void router::readPreviousWatermark(bool IsFenced) {
  if (IsWatermarkRecoveryInProgress)
    return;
  IsWatermarkRecoveryInProgress = true;
  PreviousWatermark.reset();
  PreviousEpoch = WatermarkWriter.Epoch;
  follow::readSnapshot(
      Store, store_topic::Watermarks,
      [this](const keyed_page &Page) { onWatermarkRecords(Page); },
      [this, IsFenced](const follow::snapshot_end &End) {
        onWatermarksRead(End, IsFenced);
      });
}

void router::onWatermarkRecords(const keyed_page &Page) {
  for (const keyed_record &Record : Page.Records) {
    const bool IsWatermark = Record.Key == Settings.Instance;
    if (!IsWatermark && Record.Key != incarnationStartKey())
      continue;
    std::optional<grants::watermark_record> Decoded =
        grants::decodeWatermark(Record.Value);
    PreviousEpoch = std::max(PreviousEpoch, Decoded ? Decoded->Epoch : 0);
    if (IsWatermark)
      PreviousWatermark = std::move(Decoded);
  }
}

void router::onWatermarksRead(const follow::snapshot_end &End, bool IsFenced) {
  IsWatermarkRecoveryInProgress = false;
  recordSnapshot(store_topic::Watermarks, End);
  if (End.Status != store_status::Ok)
    return;
  if (IsFenced)
    return recordIncarnationStart(std::exchange(PreviousWatermark, {}));
  WatermarkWriter.Epoch = PreviousEpoch + EpochStep;
  fenceWatermarkWriter();
}

void router::fenceWatermarkWriter() {
  IsWatermarkRecoveryInProgress = true;
  Store.fence(store_topic::Watermarks, WatermarkWriter,
              [this](store_status Status) {
                IsWatermarkRecoveryInProgress = false;
                // After a failure or a conflict the next tick starts the
                // recovery again, in a higher epoch.
                if (Status == store_status::Ok)
                  readPreviousWatermark(true);
              });
}

std::string router::incarnationStartKey() const {
  return "start/" + Settings.Instance;
}

// Stores the epoch under a key of its own, so that the next incarnation writes
// its grants in a higher epoch even if this one never writes a watermark.
void router::recordIncarnationStart(
    std::optional<grants::watermark_record> Previous) {
  IsWatermarkRecoveryInProgress = true;
  grants::watermark_record StartRecord;
  StartRecord.Epoch = WatermarkWriter.Epoch;
  Store.appendAs(
      store_topic::Watermarks, WatermarkWriter, incarnationStartKey(),
      grants::encode(StartRecord),
      [this, Previous = std::move(Previous)](store_status Status) {
        IsWatermarkRecoveryInProgress = false;
        if (Status != store_status::Ok)
          return; // The next tick starts again, in a higher epoch.
        ++WatermarkWriter.Sequence;
        GrantWriter.Epoch = WatermarkWriter.Epoch;
        CrashReports.allowWrites(WatermarkWriter.Epoch);
        LimitReports.allowWrites(WatermarkWriter.Epoch);
        LostRecords.allowWrites(WatermarkWriter.Epoch);
        StreamOrigins.allowWrites(WatermarkWriter.Epoch);
        IsPreviousWatermarkKnown = true;
        Log.write("previous_watermark",
                  {{"found", std::int64_t(Previous.has_value())},
                   {"epoch", static_cast<std::int64_t>(WatermarkWriter.Epoch)},
                   {"age_ms", Previous ? Clock.sinceBoot() - Previous->SentAt
                                       : std::int64_t(-1)}});
        Grants.onPreviousWatermark(Previous);
        GrantFollower.scheduleReadNow();
      });
}

void router::writeWatermark() {
  const time_ms Now = Clock.monotonic();
  if (!IsPreviousWatermarkKnown ||
      (WatermarkWriteFailedAt >= 0 &&
       GrantFollower.lastResponseAt() <= WatermarkWriteFailedAt))
    return;
  WatermarkWriteFailedAt = -1;
  std::optional<grants::watermark_record> Watermark = Grants.planWatermark(Now);
  if (!Watermark)
    return;
  Watermark->Epoch = WatermarkWriter.Epoch;
  Store.appendAs(store_topic::Watermarks, WatermarkWriter, Settings.Instance,
                 grants::encode(*Watermark),
                 [this](store_status Status) { onWatermarkWritten(Status); });
}

void router::onWatermarkWritten(store_status Status) {
  switch (Status) {
  case store_status::Ok:
    ++WatermarkWriter.Sequence;
    Grants.onWatermarkWritten();
    return Frontend.onGrantsChanged();
  case store_status::Refused:
    Grants.onWatermarkRefused();
    WatermarkWriteFailedAt = Clock.monotonic();
    return;
  case store_status::Conflict:
  case store_status::Trimmed:
  case store_status::Unavailable:
    break;
  }
  // The outcome is unknown. The store rejects a late arrival of the write once
  // the store has seen the next epoch.
  ++WatermarkWriter.Epoch;
  WatermarkWriter.Sequence = 0;
  WatermarkWriteFailedAt = Clock.monotonic();
  Grants.onWatermarkUncertain();
  Log.write("watermark_uncertain",
            {{"epoch", static_cast<std::int64_t>(WatermarkWriter.Epoch)}});
}

void router::writeGrants() {
  const time_ms Now = Clock.monotonic();
  if (IsGrantWriteInProgress || Now < NextGrantWriteAt || !RouteTable)
    return;
  const std::optional<grants::holder_record> Record = Grants.planWrite(Now);
  if (!Record)
    return;
  IsGrantWriteInProgress = true;
  Store.appendAs(store_topic::Grants, GrantWriter, Settings.Instance,
                 grants::encode(*Record),
                 [this, Number = Record->WriteNumber](store_status Status) {
                   onGrantWritten(Number, Status);
                 });
}

void router::onGrantWritten(std::uint64_t Number, store_status Status) {
  const time_ms Now = Clock.monotonic();
  IsGrantWriteInProgress = false;
  switch (Status) {
  case store_status::Ok:
    ++GrantWriter.Sequence;
    Grants.onWriteStored(Number);
    NextGrantWriteAt = Now + GrantWriteIntervalMs;
    Metrics.counterOf("tamarack_grant_writes_total").add();
    // The ceilings of a stored record hold only after the record is read back.
    GrantFollower.scheduleReadNow();
    GrantFollower.tick(Now);
    return;
  case store_status::Conflict: // The store has seen a higher epoch.
    Grants.onWriteRejected(Number);
    ++GrantWriter.Epoch;
    GrantWriter.Sequence = 0;
    Metrics.counterOf("tamarack_grant_conflicts_total").add();
    break;
  case store_status::Refused:
    Grants.onWriteRejected(Number);
    break;
  case store_status::Trimmed:
  case store_status::Unavailable:
    // The record may be stored now or later, but no longer once the store has
    // seen the next epoch.
    ++GrantWriter.Epoch;
    GrantWriter.Sequence = 0;
    break;
  }
  Log.write("grant_write_failed",
            {{"number", static_cast<std::int64_t>(Number)},
             {"epoch", static_cast<std::int64_t>(GrantWriter.Epoch)},
             {"refused", std::int64_t(Status == store_status::Refused)}});
  NextGrantWriteAt = Now + GrantRetryMs;
  GrantFollower.scheduleReadNow();
}

// Writes records of other instances that the store may have lost in a drill.
void router::writeLostRecords(time_ms Now) {
  for (const auto &[Key, Value] : Grants.planRestores(Now)) {
    LostRecords.set(Key, Value);
    Metrics.counterOf("tamarack_lost_records_total").add();
    Log.write("lost_record",
              {{"key", Key}, {"removed", std::int64_t(Value.empty())}});
  }
  LostRecords.tick(Now);
}

} // namespace tamarack::daemon
