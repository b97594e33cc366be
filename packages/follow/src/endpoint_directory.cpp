// The endpoints that the platform lists.
#include "tamarack/follow.hpp"

#include <algorithm>
#include <utility>

namespace tamarack::follow {

namespace {

bool isSameState(const dispatch::endpoint_entry &A,
                 const dispatch::endpoint_entry &B) {
  return A.Service == B.Service && A.Address == B.Address && A.Zone == B.Zone &&
         A.Version == B.Version && A.Slots == B.Slots &&
         A.Leaving == B.Leaving && A.StartedAt == B.StartedAt;
}

// True if the endpoint published Entry before Known.
bool isOlder(const dispatch::endpoint_entry &Entry,
             const dispatch::endpoint_entry &Known) {
  if (Entry.StartedAt != Known.StartedAt)
    return Entry.StartedAt != 0 && Entry.StartedAt < Known.StartedAt;
  return Entry.Sequence < Known.Sequence;
}

// True if the endpoint published Entry after Known.
bool isNewer(const dispatch::endpoint_entry &Entry,
             const dispatch::endpoint_entry &Known) {
  return isOlder(Known, Entry);
}

} // namespace

bool endpoint_directory::isReregistering(time_ms Now) const {
  return OutageEndedAt >= 0 && Now - OutageEndedAt < ReregistrationMs;
}

void endpoint_directory::erase(const std::string &Id, time_ms Now) {
  const auto Found = Listed.find(Id);
  Removed[Id] = {std::move(Found->second.Entry), Now};
  Listed.erase(Found);
  Changed = true;
}

bool endpoint_directory::onEntry(const dispatch::endpoint_entry &Entry) {
  const auto Previous = Removed.find(Entry.Id);
  if (Previous != Removed.end()) {
    // A snapshot may be of a copy of the store, from before the removal.
    const bool IsBack = IsReadingSnapshot
                            ? isNewer(Entry, Previous->second.Entry)
                            : !isOlder(Entry, Previous->second.Entry);
    if (!IsBack)
      return false;
    Removed.erase(Previous);
  }
  listed_endpoint &Item = Listed[Entry.Id];
  if (!Item.Entry.Id.empty() && isOlder(Entry, Item.Entry)) {
    Item.InSnapshot = true;
    return false;
  }
  const bool IsNew = Item.RemoveAt >= 0 || !isSameState(Item.Entry, Entry);
  Changed = Changed || IsNew;
  Item.Entry = Entry;
  Item.InSnapshot = true;
  // An entry of a snapshot may be from before the outage.
  Item.HasRegistered = Item.HasRegistered || !IsReadingSnapshot;
  Item.RemoveAt = -1;
  return IsNew;
}

void endpoint_directory::onRemoved(std::string_view Id, time_ms Now) {
  const auto Found = Listed.find(Id);
  if (Found == Listed.end() || Found->second.RemoveAt >= 0)
    return;
  // An endpoint that was leaving does not register again.
  if (!isReregistering(Now) || Found->second.Entry.Leaving)
    return erase(Found->first, Now);
  Found->second.RemoveAt = OutageEndedAt + ReregistrationMs;
}

void endpoint_directory::onStoreResponse(time_ms SentAt, time_ms Now) {
  if (StoreUnavailable && Now - LastAnsweredAt >= MinExpiryMs) {
    expectReregistrations(Now);
    IsCatchingUp = true;
  }
  StoreUnavailable = false;
  LastAnsweredAt = SentAt;
}

void endpoint_directory::expectReregistrations(time_ms Now) {
  OutageEndedAt = Now;
  for (auto &[Id, Item] : Listed)
    Item.HasRegistered = false;
}

void endpoint_directory::onEraChanged(time_ms Now) {
  expectReregistrations(Now);
  IsCatchingUp = false;
}

bool endpoint_directory::haveMostRegistered() const {
  const std::ptrdiff_t Registered =
      std::count_if(Listed.begin(), Listed.end(),
                    [](const auto &Item) { return Item.second.HasRegistered; });
  return static_cast<double>(Registered) >=
         RegisteringShare * static_cast<double>(Listed.size());
}

void endpoint_directory::onCaughtUp() {
  if (!std::exchange(IsCatchingUp, false) || !haveMostRegistered())
    return;
  // The store was available to the endpoints, so those that are gone have left.
  OutageEndedAt = -1;
  for (auto &[Id, Item] : Listed)
    if (Item.RemoveAt >= 0)
      Item.RemoveAt = LastAnsweredAt;
}

void endpoint_directory::beginSnapshot() {
  IsReadingSnapshot = true;
  for (auto &[Id, Item] : Listed)
    Item.InSnapshot = false;
}

void endpoint_directory::endSnapshot(time_ms Now) {
  IsReadingSnapshot = false;
  std::vector<std::string> Missing;
  for (const auto &[Id, Item] : Listed)
    if (!Item.InSnapshot)
      Missing.push_back(Id);
  for (const std::string &Id : Missing)
    onRemoved(Id, Now);
}

bool endpoint_directory::update(time_ms Now) {
  std::vector<std::string> Due;
  for (const auto &[Id, Item] : Listed)
    if (Item.RemoveAt >= 0 && Item.RemoveAt <= Now)
      Due.push_back(Id);
  for (const std::string &Id : Due)
    erase(Id, Now);
  std::erase_if(Removed, [Now](const auto &Item) {
    return Now - Item.second.RemovedAt > LateReportMs;
  });
  return std::exchange(Changed, false);
}

std::vector<dispatch::endpoint_entry> endpoint_directory::entries() const {
  std::vector<dispatch::endpoint_entry> Result;
  Result.reserve(Listed.size());
  for (const auto &[Id, Item] : Listed)
    Result.push_back(Item.Entry);
  return Result;
}

} // namespace tamarack::follow
