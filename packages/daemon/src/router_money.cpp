// The money of a router instance: grants and marks in the store.
#include "router.hpp"

namespace tamarack::daemon {

namespace {

constexpr int GrantPauseMs = 40;  // Between two writes of grants.
constexpr int GrantRetryMs = 250; // After a write that failed.
// Above a former incarnation's, which takes the next at each uncertain write.
constexpr std::uint64_t EpochStep = 1'000'000;

} // namespace

relay::reserve_result router::reserve(std::string_view Account,
                                      std::int64_t Bound) {
  const relay::reserve_result Result = Grants.reserve(Account, Bound);
  if (Result == relay::reserve_result::Pending)
    edge::net::post(Context, [this] {
      writeMark();
      writeGrants();
    });
  return Result;
}

bool router::settle(std::string_view Account, std::int64_t Bound,
                    std::int64_t Used) {
  return Grants.settle(Account, Bound, Used);
}

// Before anything is spent: nothing of the former incarnation can come any
// more, its last mark is read, and the epoch of this start is recorded.
void router::readFormerMark(bool Fenced) {
  if (MarkReadUnderWay)
    return;
  MarkReadUnderWay = true;
  Store.readSnapshot(store_topic::Watermarks,
                     [this, Fenced](const keyed_page &Page) {
                       MarkReadUnderWay = false;
                       if (Page.Status != store_status::Ok)
                         return;
                       std::optional<grants::mark_record> Former;
                       std::uint64_t Epoch = MarkWriter.Epoch;
                       for (const keyed_record &Record : Page.Records) {
                         const bool IsMark = Record.Key == Settings.Instance;
                         if (!IsMark && Record.Key != startKey())
                           continue;
                         const std::optional<grants::mark_record> Known =
                             grants::decodeMark(Record.Value);
                         Epoch = std::max(Epoch, Known ? Known->Epoch : 0);
                         if (IsMark)
                           Former = Known;
                       }
                       if (Fenced)
                         return recordStart(std::move(Former));
                       MarkWriter.Epoch = Epoch + EpochStep;
                       fenceMarks();
                     });
}

void router::fenceMarks() {
  MarkReadUnderWay = true;
  Store.fence(store_topic::Watermarks, MarkWriter, [this](store_status Status) {
    MarkReadUnderWay = false;
    // The next tick tries again; a conflict with a higher epoch.
    if (Status == store_status::Ok)
      readFormerMark(true);
  });
}

std::string router::startKey() const { return "start/" + Settings.Instance; }

// The next incarnation writes its grants in a higher epoch than this one.
void router::recordStart(std::optional<grants::mark_record> Former) {
  MarkReadUnderWay = true;
  grants::mark_record Start;
  Start.Epoch = MarkWriter.Epoch;
  Store.appendAs(
      store_topic::Watermarks, MarkWriter, startKey(), grants::encode(Start),
      [this, Former = std::move(Former)](store_status Status) {
        MarkReadUnderWay = false;
        if (Status != store_status::Ok)
          return; // The next tick begins anew, in a higher epoch.
        ++MarkWriter.Sequence;
        GrantWriter.Epoch = MarkWriter.Epoch;
        MarkKnown = true;
        Log.write("former_mark",
                  {{"found", std::int64_t(Former.has_value())},
                   {"epoch", static_cast<std::int64_t>(MarkWriter.Epoch)},
                   {"age_ms", Former ? Clock.sinceBoot() - Former->Stamp
                                     : std::int64_t(-1)}});
        Grants.onFormerMark(Former);
        GrantFollower.scheduleReadNow();
      });
}

void router::writeMark() {
  const time_ms Now = Clock.monotonic();
  if (!MarkKnown || (MarkUncertainAt >= 0 &&
                     GrantFollower.lastResponseAt() <= MarkUncertainAt))
    return;
  MarkUncertainAt = -1;
  std::optional<grants::mark_record> Mark = Grants.planMark(Now);
  if (!Mark)
    return;
  Mark->Epoch = MarkWriter.Epoch;
  Store.appendAs(store_topic::Watermarks, MarkWriter, Settings.Instance,
                 grants::encode(*Mark),
                 [this](store_status Status) { onMarkWritten(Status); });
}

void router::onMarkWritten(store_status Status) {
  switch (Status) {
  case store_status::Ok:
    ++MarkWriter.Sequence;
    Grants.onMarkWritten();
    return Front.onMoney();
  case store_status::Refused:
    Grants.onMarkRefused();
    MarkUncertainAt = Clock.monotonic();
    return;
  case store_status::Conflict:
  case store_status::Trimmed:
  case store_status::Unavailable:
    break;
  }
  // A higher epoch keeps the uncertain one from coming later.
  ++MarkWriter.Epoch;
  MarkWriter.Sequence = 0;
  MarkUncertainAt = Clock.monotonic();
  Grants.onMarkUncertain();
  Log.write("mark_uncertain",
            {{"epoch", static_cast<std::int64_t>(MarkWriter.Epoch)}});
}

void router::writeGrants() {
  const time_ms Now = Clock.monotonic();
  if (GrantWriteUnderWay || Now < NextGrantWrite || !Table)
    return;
  const std::optional<grants::holder_record> Record = Grants.plan(Now);
  if (!Record)
    return;
  GrantWriteUnderWay = true;
  Store.appendAs(store_topic::Grants, GrantWriter, Settings.Instance,
                 grants::encode(*Record),
                 [this, Number = Record->Number](store_status Status) {
                   onGrantWritten(Number, Status);
                 });
}

void router::onGrantWritten(std::uint64_t Number, store_status Status) {
  const time_ms Now = Clock.monotonic();
  GrantWriteUnderWay = false;
  switch (Status) {
  case store_status::Ok:
    ++GrantWriter.Sequence;
    Grants.onWritten(Number);
    NextGrantWrite = Now + GrantPauseMs;
    Metrics.counterOf("tamarack_grant_writes_total").add();
    // What it brings holds once it is read back.
    GrantFollower.scheduleReadNow();
    GrantFollower.tick(Now);
    return;
  case store_status::Conflict: // A higher epoch of this writer is known.
    Grants.onRejected(Number);
    ++GrantWriter.Epoch;
    GrantWriter.Sequence = 0;
    Metrics.counterOf("tamarack_grant_conflicts_total").add();
    break;
  case store_status::Refused:
    Grants.onRejected(Number);
    break;
  case store_status::Trimmed:
  case store_status::Unavailable:
    // It may be stored now or later, but not after one of the next epoch.
    ++GrantWriter.Epoch;
    GrantWriter.Sequence = 0;
    break;
  }
  Log.write("grant_write_failed",
            {{"number", static_cast<std::int64_t>(Number)},
             {"epoch", static_cast<std::int64_t>(GrantWriter.Epoch)},
             {"answered", std::int64_t(Status == store_status::Refused)}});
  NextGrantWrite = Now + GrantRetryMs;
  GrantFollower.scheduleReadNow();
}

} // namespace tamarack::daemon
