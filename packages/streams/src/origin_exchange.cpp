// Streams of all instances, through the platform's store.
#include "tamarack/streams.hpp"

#include <utility>

namespace tamarack::streams {

using relay::origin_state;

origin_exchange::origin_exchange(std::string_view Instance, keyed_store &Store,
                                 const clock &Clock, origin_listener &Listener,
                                 exchange_settings Settings)
    : Instance(Instance), Store(Store), Clock(Clock), Listener(Listener),
      Settings(Settings), Register(Settings.Register),
      Writer(Store, store_topic::Streams, this->Instance,
             Settings.MixedWriteIntervalMs) {}

relay::stream_origin origin_exchange::find(const relay::call &Call) {
  relay::stream_origin Origin = lookUp(Call);
  if (Origin.State != origin_state::Pending)
    return Origin;
  WantsRead = true;
  startRead(Clock.monotonic());
  return lookUp(Call); // The read may have failed at once.
}

relay::stream_origin origin_exchange::lookUp(const relay::call &Call) const {
  const std::optional<software> Own = Register.find(Call.StreamKey);
  const auto Other = Others.find(Call.StreamKey);
  const bool IsAtOthers = Other != Others.end();
  if (Own && IsAtOthers && *Own != Other->second)
    return {origin_state::Ambiguous, {}, {}};
  if (Own || IsAtOthers) {
    const software &Software = Own ? *Own : Other->second;
    if (Software == software())
      return {origin_state::Ambiguous, {}, {}};
    return {origin_state::Known, Software.Service, Software.Version};
  }
  const bool IsReadSince = EndedReadStart >= Call.ArrivedAt;
  return {IsReadSince ? origin_state::Unknown : origin_state::Pending, {}, {}};
}

void origin_exchange::onBegun(const relay::call &Call,
                              std::string_view Version) {
  const software Software = Version.empty()
                                ? software()
                                : software{Call.Service, std::string(Version)};
  Register.add(Call.StreamKey, Call.Account, Software, Clock.monotonic());
  HasUnwritten = true;
}

void origin_exchange::onDelivered(const relay::call &Call) {
  Register.onDelivered(Call.StreamKey, Clock.monotonic());
}

void origin_exchange::startRead(time_ms Now) {
  if (IsReading || !WantsRead)
    return;
  IsReading = true;
  WantsRead = false;
  ReadStartedAt = Now;
  ++Reads;
  NewOthers.clear();
  follow::readSnapshot(
      Store, store_topic::Streams,
      [this](const keyed_page &Page) { onRecords(Page); },
      [this](const follow::snapshot_end &End) { onReadEnded(End); });
}

void origin_exchange::onRecords(const keyed_page &Page) {
  for (const keyed_record &Record : Page.Records) {
    const std::optional<std::vector<origin>> Origins =
        decodeOrigins(Record.Value);
    if (!Origins)
      Listener.onUnreadableRecord(Record.Key);
    else if (Record.Key == Instance)
      addOwnRecord(*Origins);
    else
      addOthersRecord(*Origins);
  }
}

void origin_exchange::onReadEnded(const follow::snapshot_end &End) {
  IsReading = false;
  EndedReadStart = ReadStartedAt;
  Listener.onSnapshotRead(End);
  if (End.Status == store_status::Ok) {
    Others = std::exchange(NewOthers, {});
    HasPrevious = true;
  } else {
    WantsRead = WantsRead || !HasPrevious;
  }
  Listener.onOriginsRead();
}

// Takes over the streams of the previous incarnation, whose record the first
// write of this one replaces.
void origin_exchange::addOwnRecord(const std::vector<origin> &Origins) {
  if (HasPrevious)
    return;
  const time_ms Now = Clock.monotonic();
  for (const origin &Origin : Origins)
    Register.add(Origin.Key, {}, Origin.Software, Now - Origin.AgeMs);
}

void origin_exchange::addOthersRecord(const std::vector<origin> &Origins) {
  for (const origin &Origin : Origins) {
    const auto [Known, IsNew] =
        NewOthers.try_emplace(Origin.Key, Origin.Software);
    if (!IsNew && Known->second != Origin.Software)
      Known->second = {};
  }
}

void origin_exchange::tick(time_ms Now) {
  startRead(Now);
  Register.removeExpired(Now);
  const int IntervalMs = Register.isMixed() ? Settings.MixedWriteIntervalMs
                                            : Settings.WriteIntervalMs;
  if (HasPrevious && HasUnwritten && Now >= WrittenAt + IntervalMs) {
    HasUnwritten = false;
    WrittenAt = Now;
    Writer.set(Instance, encode(Register.origins(Now)));
  }
  Writer.tick(Now);
}

} // namespace tamarack::streams
