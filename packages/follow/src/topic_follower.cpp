// Reads of one topic.
#include "tamarack/follow.hpp"

#include <algorithm>

namespace tamarack::follow {

topic_follower::topic_follower(store_topic Topic, keyed_store &Store,
                               const clock &Clock, topic_listener &Listener,
                               follower_settings Settings)
    : Topic(Topic), Store(Store), Clock(Clock), Listener(Listener),
      Settings(Settings) {}

time_ms topic_follower::tick(time_ms Now) {
  if (UnderWay)
    return Now + Settings.RetryDelayMs;
  if (Now < NextRead)
    return NextRead;
  UnderWay = true;
  const bool Whole = !HasWhole;
  page_handler Handler = [this, Whole](const keyed_page &Page) {
    onPage(Whole, Page);
  };
  if (Whole)
    Store.readSnapshot(Topic, std::move(Handler));
  else
    Store.read(Topic, Next, Away || !CaughtUp ? 0 : Settings.LongPollMs,
               std::move(Handler));
  return Now + Settings.RetryDelayMs;
}

void topic_follower::onPage(bool Whole, const keyed_page &Page) {
  const time_ms Now = Clock.monotonic();
  UnderWay = false;
  if (Page.Status == store_status::Trimmed) {
    HasWhole = false;
    CaughtUp = false;
    NextRead = Now;
    return;
  }
  if (Page.Status != store_status::Ok) {
    Away = true;
    if (Settings.SkipSuperseded) {
      HasWhole = false;
      CaughtUp = false;
    }
    NextRead = Now + Settings.RetryDelayMs;
    Listener.onStoreUnavailable();
    return;
  }
  Away = false;
  LastAnswer = Now;
  Listener.onStoreResponse();
  if (Whole)
    Listener.onSnapshotBegin();
  pass(Page);
  HasWhole = true;
  Next = Whole || Page.Records.empty() ? std::max(Next, Page.NextOffset)
                                       : Page.Records.back().Offset + 1;
  if (Whole)
    Listener.onSnapshotEnd();
  // The newest records are no snapshot; a read from where they began makes
  // them complete.
  const bool More = Whole || Next < Page.NextOffset;
  CaughtUp = !More;
  if (CaughtUp)
    Listener.onCaughtUp(Page.NextOffset);
  NextRead =
      More || Settings.LongPollMs > 0 ? Now : Now + Settings.PollIntervalMs;
  if (!Whole && Settings.SkipSuperseded && comesQuickly(Page, Now)) {
    HasWhole = false;
    CaughtUp = false;
    NextRead = Now + Settings.BurstReadIntervalMs;
  }
}

void topic_follower::pass(const keyed_page &Page) {
  for (auto Item = Page.Records.begin(); Item != Page.Records.end(); ++Item) {
    const bool Replaced = Settings.SkipSuperseded &&
                          std::any_of(Item + 1, Page.Records.end(),
                                      [Item](const keyed_record &Later) {
                                        return Later.Key == Item->Key;
                                      });
    if (!Replaced)
      Listener.onRecord(*Item);
  }
}

// Large versions, one after the other, read by all instances at once, would use
// up what the store can read.
bool topic_follower::comesQuickly(const keyed_page &Page, time_ms Now) {
  if (Page.Records.empty())
    return false;
  const bool Quick =
      LastChange >= 0 && Now - LastChange < 2 * Settings.BurstReadIntervalMs;
  LastChange = Now;
  return Quick || Page.Records.size() > 1;
}

} // namespace tamarack::follow
