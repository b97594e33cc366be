// One read of a topic for several instances.
#include "tamarack/peers.hpp"

#include <utility>

namespace tamarack::peers {

namespace {

bool isShared(store_topic Topic) {
  return Topic == store_topic::Configuration || Topic == store_topic::Endpoints;
}

std::size_t bytesOf(const keyed_page &Page) {
  std::size_t Bytes = 0;
  for (const keyed_record &Record : Page.Records)
    Bytes += sizeof Record + Record.Key.size() + Record.Value.size();
  return Bytes;
}

} // namespace

std::size_t shared_read_store::keptBytes() const {
  std::size_t Bytes = 0;
  for (const auto &[Key, Read] : Reads)
    Bytes += bytesOf(Read.Page);
  return Bytes;
}

void shared_read_store::removeExpired() {
  const time_ms Now = Clock.monotonic();
  std::erase_if(Reads, [Now](const auto &Item) {
    const shared_read &Read = Item.second;
    return Read.Waiting.empty() && Now - Read.EndedAt > ReuseMs;
  });
}

bool shared_read_store::joinRead(const read_key &Key, page_handler &Handler) {
  removeExpired();
  const auto [Found, IsNew] = Reads.try_emplace(Key);
  shared_read &Read = Found->second;
  const time_ms Now = Clock.sinceBoot();
  if (IsNew)
    Read.StartedAt = Now;
  const int StaleMs = static_cast<int>(Now - Read.StartedAt);
  if (!IsNew && Read.Waiting.empty()) {
    keyed_page Page = Read.Page;
    Page.StaleMs += StaleMs;
    Handler(std::move(Page));
    return false;
  }
  Read.Waiting.push_back({std::move(Handler), StaleMs});
  return IsNew;
}

page_handler shared_read_store::endOf(const read_key &Key) {
  return [this, Key](const keyed_page &Page) {
    const time_ms StartedAt = Reads[Key].StartedAt;
    const std::vector<waiting_reader> Waiting = std::move(Reads[Key].Waiting);
    Reads.erase(Key);
    removeExpired();
    const bool MayKeep = bytesOf(Page) + keptBytes() <= MaxKeptBytes;
    if (Page.Status == store_status::Ok && MayKeep) {
      shared_read &Read = Reads[Key];
      Read.Page = Page;
      Read.StartedAt = StartedAt;
      Read.EndedAt = Clock.monotonic();
    }
    for (const waiting_reader &Reader : Waiting) {
      keyed_page Shared = Page;
      Shared.StaleMs += Reader.StaleMs;
      Reader.Handler(std::move(Shared));
    }
  };
}

void shared_read_store::readSnapshotPage(
    store_topic Topic, const std::optional<std::string> &After,
    page_handler Handler) {
  if (!isShared(Topic))
    return Store.readSnapshotPage(Topic, After, std::move(Handler));
  const read_key Key{Topic, store_call::SnapshotPage, After, 0};
  if (joinRead(Key, Handler))
    Store.readSnapshotPage(Topic, After, endOf(Key));
}

void shared_read_store::read(store_topic Topic, std::uint64_t From, int WaitMs,
                             page_handler Handler) {
  if (!isShared(Topic) || WaitMs > 0)
    return Store.read(Topic, From, WaitMs, std::move(Handler));
  const read_key Key{Topic, store_call::Read, std::nullopt, From};
  if (joinRead(Key, Handler))
    Store.read(Topic, From, WaitMs, endOf(Key));
}

void shared_read_store::appendAs(store_topic Topic, const store_writer &Writer,
                                 std::string_view Key, std::string_view Value,
                                 append_handler Handler) {
  Store.appendAs(Topic, Writer, Key, Value, std::move(Handler));
}

void shared_read_store::fence(store_topic Topic, const store_writer &Writer,
                              append_handler Handler) {
  Store.fence(Topic, Writer, std::move(Handler));
}

} // namespace tamarack::peers
