// The money of a router instance: grants and marks in the store.
#include "router.hpp"

namespace tamarack::daemon {

namespace {

constexpr int FreshEnoughMs = 50;          // What is known of grants.
constexpr int GrantPauseMs = 150;          // Between two writes of grants.
constexpr int GrantRetryMs = 250;          // After a write that failed.
constexpr std::uint64_t EpochStep = 1'000; // Above a former incarnation's.

} // namespace

relay::reserve_result router::reserve(std::string_view Account,
                                      std::int64_t Bound) {
  const relay::reserve_result Result = Grants.reserve(Account, Bound);
  if (Result == relay::reserve_result::Pending)
    edge::net::post(Context, [this] {
      writeMark();
      const time_ms Now = Clock.monotonic();
      if (Now - GrantFollower.lastAnswer() < FreshEnoughMs)
        return writeGrants();
      GrantFollower.hurry();
      GrantFollower.tick(Now);
    });
  return Result;
}

bool router::settle(std::string_view Account, std::int64_t Bound,
                    std::int64_t Used) {
  return Grants.settle(Account, Bound, Used);
}

// Before anything is spent: nothing of the former incarnation can come any
// more, and then its last mark is read.
void router::readFormerMark(bool Fenced) {
  if (MarkReadUnderWay)
    return;
  MarkReadUnderWay = true;
  Store.newest(store_topic::Marks, [this, Fenced](const keyed_page &Page) {
    MarkReadUnderWay = false;
    if (Page.Status != store_status::Ok)
      return;
    std::optional<grants::mark_record> Former;
    for (const keyed_record &Record : Page.Records)
      if (Record.Key == Settings.Instance)
        Former = grants::decodeMark(Record.Value);
    if (!Fenced) {
      MarkWriter.Epoch =
          std::max(MarkWriter.Epoch, Former ? Former->Epoch : 0) + EpochStep;
      return fenceMarks();
    }
    MarkKnown = true;
    Log.write("former_mark",
              {{"found", std::int64_t(Former.has_value())},
               {"age_ms", Former ? Clock.sinceBoot() - Former->Stamp
                                 : std::int64_t(-1)}});
    Grants.onFormerMark(std::move(Former));
    GrantFollower.hurry();
  });
}

void router::fenceMarks() {
  MarkReadUnderWay = true;
  Store.fence(store_topic::Marks, MarkWriter, [this](store_status Status) {
    MarkReadUnderWay = false;
    // The next tick tries again; a conflict with a higher epoch.
    if (Status == store_status::Ok)
      readFormerMark(true);
  });
}

void router::writeMark() {
  const time_ms Now = Clock.monotonic();
  if (!MarkKnown ||
      (MarkUncertainAt >= 0 && GrantFollower.lastAnswer() <= MarkUncertainAt))
    return;
  MarkUncertainAt = -1;
  std::optional<grants::mark_record> Mark = Grants.planMark(Now);
  if (!Mark)
    return;
  Mark->Epoch = MarkWriter.Epoch;
  Store.appendAs(store_topic::Marks, MarkWriter, Settings.Instance,
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
  const std::optional<grants::grant_write> Write = Grants.plan(Now);
  if (!Write)
    return;
  GrantWriteUnderWay = true;
  Store.append(store_topic::Grants, Settings.Instance, Write->Value, Write->At,
               [this, At = Write->At](store_status Status) {
                 onGrantWritten(At, Status);
               });
}

void router::onGrantWritten(std::uint64_t At, store_status Status) {
  const time_ms Now = Clock.monotonic();
  GrantWriteUnderWay = false;
  switch (Status) {
  case store_status::Ok:
    Grants.onWritten(At);
    NextGrantWrite = Now + GrantPauseMs;
    Metrics.counterOf("tamarack_grant_writes_total").add();
    return Front.onMoney();
  case store_status::Conflict:
    Grants.onRejected(At);
    Metrics.counterOf("tamarack_grant_conflicts_total").add();
    GrantFollower.hurry();
    GrantFollower.tick(Now);
    return;
  case store_status::Refused:
    Grants.onRejected(At);
    break;
  case store_status::Trimmed:
  case store_status::Unavailable:
    // It may be stored now or later; the topic will tell.
    break;
  }
  Log.write("grant_write_failed",
            {{"offset", static_cast<std::int64_t>(At)},
             {"answered", std::int64_t(Status == store_status::Refused)}});
  NextGrantWrite = Now + GrantRetryMs;
  GrantFollower.hurry();
}

} // namespace tamarack::daemon
