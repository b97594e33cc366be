// The streams of one instance, bounded by account.
#include "tamarack/streams.hpp"

#include <algorithm>
#include <utility>

namespace tamarack::streams {

void origin_register::add(std::uint64_t Key, std::string_view Account,
                          const software &Software, time_ms BegunAt) {
  const auto Found = Streams.find(Key);
  if (Found != Streams.end()) {
    stream &Known = Found->second;
    if (Known.Software != Software)
      setSoftware(Known, {});
    Known.ExpiresAt = std::max(Known.ExpiresAt, BegunAt + Settings.KeepMs);
    return;
  }
  if (Streams.size() >= Settings.MaxStreams)
    makeRoom();
  ++CountBySoftware[Software];
  std::list<std::uint64_t> &Keys = KeysByAccount[std::string(Account)];
  Keys.push_back(Key);
  Streams.emplace(Key,
                  stream{std::string(Account), Software, BegunAt,
                         BegunAt + Settings.KeepMs, std::prev(Keys.end())});
}

void origin_register::uncount(const software &Software) {
  const auto Count = CountBySoftware.find(Software);
  if (--Count->second == 0)
    CountBySoftware.erase(Count);
}

void origin_register::setSoftware(stream &Stream, const software &Software) {
  uncount(Stream.Software);
  Stream.Software = Software;
  ++CountBySoftware[Software];
}

bool origin_register::isMixed() const {
  const auto IsSameService = [](const auto &A, const auto &B) {
    return A.first.Service == B.first.Service;
  };
  return std::adjacent_find(CountBySoftware.begin(), CountBySoftware.end(),
                            IsSameService) != CountBySoftware.end();
}

void origin_register::onDelivered(std::uint64_t Key, time_ms Now) {
  const auto Found = Streams.find(Key);
  if (Found == Streams.end())
    return;
  time_ms &ExpiresAt = Found->second.ExpiresAt;
  ExpiresAt = std::min(ExpiresAt, Now + Settings.KeepDeliveredMs);
}

std::optional<software> origin_register::find(std::uint64_t Key) const {
  const auto Found = Streams.find(Key);
  if (Found == Streams.end())
    return std::nullopt;
  return Found->second.Software;
}

void origin_register::removeExpired(time_ms Now) {
  for (auto Item = Streams.begin(); Item != Streams.end();) {
    const auto Next = std::next(Item);
    if (Item->second.ExpiresAt <= Now)
      remove(Item);
    Item = Next;
  }
}

std::vector<origin> origin_register::origins(time_ms Now) const {
  std::vector<origin> Result;
  Result.reserve(Streams.size());
  for (const auto &[Key, Stream] : Streams)
    if (Stream.ExpiresAt > Now)
      Result.push_back(
          {Key, Stream.Software,
           static_cast<int>(std::max<time_ms>(0, Now - Stream.BegunAt))});
  return Result;
}

void origin_register::remove(stream_map::iterator Item) {
  uncount(Item->second.Software);
  const auto Account = KeysByAccount.find(Item->second.Account);
  Account->second.erase(Item->second.Position);
  if (Account->second.empty())
    KeysByAccount.erase(Account);
  Streams.erase(Item);
}

// Removes the oldest stream of the account with the most streams.
void origin_register::makeRoom() {
  const auto Largest =
      std::max_element(KeysByAccount.begin(), KeysByAccount.end(),
                       [](const auto &A, const auto &B) {
                         return A.second.size() < B.second.size();
                       });
  remove(Streams.find(Largest->second.front()));
}

} // namespace tamarack::streams
