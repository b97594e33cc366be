// Follows one keyed topic.
#include "tamarack/follow.hpp"

#include <algorithm>

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
  const bool IsSnapshot = !HasSnapshot;
  page_handler Handler = [this, IsSnapshot](const keyed_page &Page) {
    onPage(IsSnapshot, Page);
  };
  if (IsSnapshot)
    Store.readSnapshot(Topic, std::move(Handler));
  else
    Store.read(Topic, NextOffset,
               StoreUnavailable || !CaughtUp ? 0 : Settings.LongPollMs,
               std::move(Handler));
  return Now + Settings.RetryDelayMs;
}

void topic_follower::onPage(bool IsSnapshot, const keyed_page &Page) {
  const time_ms Now = Clock.monotonic();
  ReadInProgress = false;
  if (Page.Status == store_status::Trimmed)
    return restart(Now);
  if (Page.Status != store_status::Ok) {
    StoreUnavailable = true;
    if (Settings.SkipSuperseded) {
      HasSnapshot = false;
      CaughtUp = false;
    }
    NextReadAt = Now + Settings.RetryDelayMs;
    Listener.onStoreUnavailable();
    return;
  }
  if (!IsSnapshot && Page.Era != Era)
    return restart(Now);
  if (IsSnapshot && Page.Era != Era)
    NextOffset = 0;
  Era = Page.Era;
  StoreUnavailable = false;
  LastResponseAt = Now;
  LastReadMs = static_cast<int>(Clock.sinceBoot() - ReadStartedAt);
  Listener.onStoreResponse();
  if (IsSnapshot)
    Listener.onSnapshotBegin();
  deliverRecords(Page);
  HasSnapshot = true;
  NextOffset = IsSnapshot || Page.Records.empty()
                   ? std::max(NextOffset, Page.NextOffset)
                   : Page.Records.back().Offset + 1;
  if (IsSnapshot)
    Listener.onSnapshotEnd();
  // Records that were appended during the read of a snapshot may be missing
  // from it. A read from the snapshot's NextOffset on returns these records.
  const bool More = IsSnapshot || NextOffset < Page.NextOffset;
  CaughtUp = !More;
  if (IsSnapshot || CaughtUp)
    KnownAsOf =
        std::max(KnownAsOf, ReadStartedAt - Page.StaleMs + Page.WaitedMs);
  if (CaughtUp)
    Listener.onCaughtUp(Page.NextOffset);
  NextReadAt =
      More || Settings.LongPollMs > 0 ? Now : Now + Settings.PollIntervalMs;
  if (!IsSnapshot && Settings.SkipSuperseded && detectBurst(Page, Now)) {
    HasSnapshot = false;
    CaughtUp = false;
    NextReadAt = Now + Settings.BurstReadIntervalMs;
  }
}

void topic_follower::restart(time_ms Now) {
  HasSnapshot = false;
  CaughtUp = false;
  NextReadAt = Now;
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
