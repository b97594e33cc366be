// The endpoints that the platform lists.
#include "tamarack/follow.hpp"

#include <utility>

namespace tamarack::follow {

namespace {

bool isSame(const dispatch::endpoint_entry &A,
            const dispatch::endpoint_entry &B) {
  return A.Service == B.Service && A.Address == B.Address && A.Zone == B.Zone &&
         A.Slots == B.Slots && A.Leaving == B.Leaving && A.Start == B.Start;
}

// True if Entry was told before Known was.
bool isOlder(const dispatch::endpoint_entry &Entry,
             const dispatch::endpoint_entry &Known) {
  if (Entry.Start != Known.Start)
    return Entry.Start != 0 && Entry.Start < Known.Start;
  return Entry.Sequence < Known.Sequence;
}

} // namespace

bool endpoint_directory::isUnsettled(time_ms Now) const {
  return BackAt >= 0 && Now - BackAt < RegisterAgainMs;
}

void endpoint_directory::erase(const std::string &Id, time_ms Now) {
  const auto Found = Items.find(Id);
  Departed[Id] = {std::move(Found->second.Entry), Now};
  Items.erase(Found);
  Changed = true;
}

bool endpoint_directory::onEntry(const dispatch::endpoint_entry &Entry) {
  const auto Left = Departed.find(Entry.Id);
  if (Left != Departed.end()) {
    if (isOlder(Entry, Left->second.Entry))
      return false;
    Departed.erase(Left);
  }
  item &Item = Items[Entry.Id];
  if (!Item.Entry.Id.empty() && isOlder(Entry, Item.Entry)) {
    Item.Seen = true;
    return false;
  }
  const bool IsNews = Item.GoneAfter >= 0 || !isSame(Item.Entry, Entry);
  Changed = Changed || IsNews;
  Item.Entry = Entry;
  Item.Seen = true;
  Item.GoneAfter = -1;
  return IsNews;
}

void endpoint_directory::onRemoved(std::string_view Id, time_ms Now) {
  const auto Found = Items.find(Id);
  if (Found == Items.end() || Found->second.GoneAfter >= 0)
    return;
  // An endpoint that was leaving is gone for good.
  if (!isUnsettled(Now) || Found->second.Entry.Leaving)
    return erase(Found->first, Now);
  Found->second.GoneAfter = BackAt + RegisterAgainMs;
}

void endpoint_directory::onStoreResponse(time_ms Now) {
  if (StoreUnavailable && Now - AnsweredAt >= LapseMs)
    BackAt = Now;
  StoreUnavailable = false;
  AnsweredAt = Now;
}

void endpoint_directory::beginSnapshot() {
  for (auto &[Id, Item] : Items)
    Item.Seen = false;
}

void endpoint_directory::endSnapshot(time_ms Now) {
  std::vector<std::string> Missing;
  for (const auto &[Id, Item] : Items)
    if (!Item.Seen)
      Missing.push_back(Id);
  for (const std::string &Id : Missing)
    onRemoved(Id, Now);
}

bool endpoint_directory::update(time_ms Now) {
  std::vector<std::string> Due;
  for (const auto &[Id, Item] : Items)
    if (Item.GoneAfter >= 0 && Item.GoneAfter <= Now)
      Due.push_back(Id);
  for (const std::string &Id : Due)
    erase(Id, Now);
  std::erase_if(Departed, [Now](const auto &Item) {
    return Now - Item.second.At > LateReportMs;
  });
  return std::exchange(Changed, false);
}

std::vector<dispatch::endpoint_entry> endpoint_directory::entries() const {
  std::vector<dispatch::endpoint_entry> Result;
  Result.reserve(Items.size());
  for (const auto &[Id, Item] : Items)
    Result.push_back(Item.Entry);
  return Result;
}

} // namespace tamarack::follow
