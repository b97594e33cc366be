// Follows one keyed topic.
#include "tamarack/follow.hpp"

#include <algorithm>
#include <utility>

namespace tamarack::follow {

topic_follower::topic_follower(store_topic Topic, keyed_store &Store,
                               const clock &Clock, topic_listener &Listener,
                               follower_settings Settings)
    : Topic(Topic), Store(Store), Clock(Clock), Listener(Listener),
      Settings(Settings) {}

time_ms topic_follower::tick(time_ms Now) {
  if (ReadInProgress)
    return Now + Settings.RetryDelayMs;
  if (Now < NextReadAt)
    return NextReadAt;
  ReadInProgress = true;
  ReadStartedAt = Clock.sinceBoot();
  if (HasSnapshot)
    Store.read(Topic, NextOffset,
               StoreUnavailable || !CaughtUp ? 0 : Settings.LongPollMs,
               [this](const keyed_page &Page) { onPage(Page); });
  else
    startSnapshot();
  return Now + Settings.RetryDelayMs;
}

void topic_follower::startSnapshot() {
  readSnapshot(
      Store, Topic, [this](const keyed_page &Page) { onSnapshotPage(Page); },
      [this](const snapshot_end &End) { onSnapshotEnd(End); });
}

void topic_follower::onSnapshotPage(const keyed_page &Page) {
  if (Page.Era != Era)
    NextOffset = 0;
  Era = Page.Era;
  recordResponse(Clock.monotonic());
  if (!IsInSnapshot)
    Listener.onSnapshotBegin();
  IsInSnapshot = true;
  deliverRecords(Page);
}

void topic_follower::onSnapshotEnd(const snapshot_end &End) {
  const time_ms Now = Clock.monotonic();
  ReadInProgress = false;
  const bool IsComplete = End.Status == store_status::Ok ||
                          (End.IsStuck && Settings.AcceptStuckSnapshot);
  const bool HasBegun = std::exchange(IsInSnapshot, false);
  if (HasBegun && !IsComplete)
    Listener.onSnapshotAbort();
  if (!IsComplete) {
    Listener.onSnapshotRead(End);
    return onReadFailed(Now);
  }
  HasSnapshot = true;
  // Records that were appended during the read may be missing.
  NextOffset = std::max(NextOffset, End.NextOffset);
  CaughtUp = false;
  Listener.onSnapshotEnd();
  Listener.onSnapshotRead(End);
  KnownAsOf = std::max(KnownAsOf, ReadStartedAt - End.StaleMs);
  NextReadAt = Now;
}

void topic_follower::onPage(const keyed_page &Page) {
  const time_ms Now = Clock.monotonic();
  ReadInProgress = false;
  if (Page.Status == store_status::Trimmed)
    return restart(Now);
  if (Page.Status != store_status::Ok)
    return onReadFailed(Now);
  if (Page.Era != Era)
    return restart(Now);
  recordResponse(Now);
  deliverRecords(Page);
  if (!Page.Records.empty())
    NextOffset = Page.Records.back().Offset + 1;
  const bool More = NextOffset < Page.NextOffset;
  // Nothing was sent of what is there. To go on behind it would lose it.
  if (More && Page.Records.empty())
    return restart(Now + Settings.RetryDelayMs);
  CaughtUp = !More;
  if (CaughtUp) {
    KnownAsOf =
        std::max(KnownAsOf, ReadStartedAt - Page.StaleMs + Page.WaitedMs);
    Listener.onCaughtUp(Page.NextOffset);
  }
  NextReadAt =
      More || Settings.LongPollMs > 0 ? Now : Now + Settings.PollIntervalMs;
  if (Settings.SkipSuperseded && detectBurst(Page, Now))
    restart(Now + Settings.BurstReadIntervalMs);
}

void topic_follower::onReadFailed(time_ms Now) {
  StoreUnavailable = true;
  FailedReadStartedAt = ReadStartedAt;
  if (Settings.SkipSuperseded) {
    HasSnapshot = false;
    CaughtUp = false;
  }
  NextReadAt = Now + Settings.RetryDelayMs;
  Listener.onStoreUnavailable();
}

void topic_follower::recordResponse(time_ms Now) {
  StoreUnavailable = false;
  FailedReadStartedAt = -1;
  LastResponseAt = Now;
  LastReadMs = static_cast<int>(Clock.sinceBoot() - ReadStartedAt);
  Listener.onStoreResponse();
}

void topic_follower::restart(time_ms NextReadTime) {
  HasSnapshot = false;
  CaughtUp = false;
  NextReadAt = NextReadTime;
}

void topic_follower::deliverRecords(const keyed_page &Page) {
  for (auto Item = Page.Records.begin(); Item != Page.Records.end(); ++Item) {
    const bool IsSuperseded = Settings.SkipSuperseded &&
                              std::any_of(Item + 1, Page.Records.end(),
                                          [Item](const keyed_record &Later) {
                                            return Later.Key == Item->Key;
                                          });
    if (!IsSuperseded)
      Listener.onRecord(*Item);
  }
}

// True if records arrive in a burst: several in one page, or in pages that
// follow each other closely. If all instances read every version of a large
// record during a burst, they would use up the store's read capacity.
bool topic_follower::detectBurst(const keyed_page &Page, time_ms Now) {
  if (Page.Records.empty())
    return false;
  const bool IsFrequent =
      LastRecordsAt >= 0 &&
      Now - LastRecordsAt < 2 * Settings.BurstReadIntervalMs;
  LastRecordsAt = Now;
  return IsFrequent || Page.Records.size() > 1;
}

} // namespace tamarack::follow
