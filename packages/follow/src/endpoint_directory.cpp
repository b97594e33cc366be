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

// A later report that the endpoint is cold tells how long from then on; the
// first one without tells that it is warm.
bool isColdNews(const dispatch::endpoint_entry &Entry,
                const dispatch::endpoint_entry &Known) {
  if (Entry.WarmUpMs != Known.WarmUpMs)
    return true;
  return Entry.WarmUpMs > 0 && Entry.Sequence != Known.Sequence;
}

// True if the endpoint published Entry before Known. An entry that lacks the
// known start is not its own.
bool isOlder(const dispatch::endpoint_entry &Entry,
             const dispatch::endpoint_entry &Known) {
  if (Entry.StartedAt != Known.StartedAt)
    return Entry.StartedAt < Known.StartedAt;
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

void endpoint_directory::unlist(known_endpoint &Known, time_ms Now) {
  Known.IsListed = false;
  Known.RemoveAt = -1;
  Known.RemovedAt = Now;
  Changed = true;
}

// True if Entry is one of several reports in a row that seem older than the
// latest entry: another writer has left that one. Reports that were late on
// their way are few, and stop.
bool endpoint_directory::isLive(known_endpoint &Known,
                                const dispatch::endpoint_entry &Entry) {
  const bool IsNextReport = Known.ContradictingReports > 0 &&
                            Entry.StartedAt == Known.Contradicting.StartedAt &&
                            Entry.Sequence > Known.Contradicting.Sequence;
  Known.ContradictingReports =
      IsNextReport ? Known.ContradictingReports + 1 : 1;
  Known.Contradicting = Entry;
  return Known.ContradictingReports >= ReportsOfLife;
}

bool endpoint_directory::isInOrder(known_endpoint &Known,
                                   const dispatch::endpoint_entry &Entry) {
  // A snapshot may be of a copy of the store, from before the removal.
  const bool IsLater = Known.IsListed || !IsReadingSnapshot
                           ? !isOlder(Entry, Known.Entry)
                           : isNewer(Entry, Known.Entry);
  return IsLater || (!IsReadingSnapshot && isLive(Known, Entry));
}

bool endpoint_directory::onEntry(const dispatch::endpoint_entry &Entry) {
  const auto [Found, IsFirst] = Endpoints.try_emplace(Entry.Id);
  known_endpoint &Known = Found->second;
  const bool IsSameStart = Entry.StartedAt == Known.Entry.StartedAt;
  if (!IsFirst && !isInOrder(Known, Entry)) {
    Known.InSnapshot = Known.InSnapshot || Known.IsListed;
    return IsSameStart && Entry.Leaving && markLeaving(Known);
  }
  Known.StatesLeaving = IsSameStart && Known.StatesLeaving;
  dispatch::endpoint_entry Next = Entry;
  Next.Leaving = Next.Leaving || Known.StatesLeaving;
  const bool IsNew =
      !Known.IsListed || Known.RemoveAt >= 0 || !isSameState(Known.Entry, Next);
  Changed = Changed || IsNew || isColdNews(Next, Known.Entry);
  Known.Entry = std::move(Next);
  Known.ContradictingReports = 0;
  Known.IsListed = true;
  Known.InSnapshot = true;
  // An entry of a snapshot may be from before the outage.
  Known.Registrations += IsReadingSnapshot ? 0 : 1;
  Known.HasReturned = Known.HasReturned || Known.RemoveAt >= 0;
  Known.RemoveAt = -1;
  return IsNew;
}

// True if that is news.
bool endpoint_directory::markLeaving(known_endpoint &Known) {
  if (std::exchange(Known.Entry.Leaving, true))
    return false;
  Changed = Changed || Known.IsListed;
  return true;
}

// A response may be of a later start than its request expected; the latest
// known one is the safer guess.
bool endpoint_directory::onStatedLeaving(std::string_view Id,
                                         std::int64_t StartedAt, time_ms Now) {
  const auto [Found, IsFirst] = Endpoints.try_emplace(std::string(Id));
  known_endpoint &Known = Found->second;
  if (IsFirst) {
    Known.Entry.Id = Id;
    Known.Entry.StartedAt = StartedAt;
    Known.RemovedAt = Now;
  }
  const bool IsNews = !std::exchange(Known.StatesLeaving, true);
  markLeaving(Known);
  return IsNews;
}

// An endpoint that was leaving does not register again.
bool endpoint_directory::hasLeft(const known_endpoint &Known) {
  return Known.Entry.Leaving || Known.HasReturned ||
         Known.Registrations >= RegistrationsWithStore;
}

void endpoint_directory::onRemoved(std::string_view Id, time_ms Now) {
  const auto Found = Endpoints.find(Id);
  if (Found == Endpoints.end())
    return;
  known_endpoint &Known = Found->second;
  if (!Known.IsListed || Known.RemoveAt >= 0)
    return;
  if (!isReregistering(Now) || hasLeft(Known))
    return unlist(Known, Now);
  Known.RemoveAt = OutageEndedAt + ReregistrationMs;
}

void endpoint_directory::onStoreResponse(time_ms SentAt, time_ms Now) {
  const time_ms SilentMs = Now - LastAnsweredAt;
  if (StoreUnavailable && SilentMs >= MinExpiryMs) {
    expectReregistrations(Now);
    OutageMs = SilentMs;
    IsCatchingUp = true;
  }
  StoreUnavailable = false;
  LastAnsweredAt = SentAt;
}

void endpoint_directory::expectReregistrations(time_ms Now) {
  OutageEndedAt = Now;
  for (auto &[Id, Known] : Endpoints) {
    Known.Registrations = 0;
    Known.HasReturned = false;
  }
}

void endpoint_directory::onEraChanged(time_ms Now) {
  expectReregistrations(Now);
  IsCatchingUp = false;
}

bool endpoint_directory::haveMostRegistered() const {
  std::size_t Listed = 0;
  std::size_t Registered = 0;
  for (const auto &[Id, Known] : Endpoints) {
    Listed += Known.IsListed ? 1 : 0;
    Registered += Known.IsListed && Known.Registrations > 0 ? 1 : 0;
  }
  return static_cast<double>(Registered) >=
         RegisteringShare * static_cast<double>(Listed);
}

bool endpoint_directory::haveMostRemained() const {
  std::size_t Listed = 0;
  std::size_t Remained = 0;
  for (const auto &[Id, Known] : Endpoints) {
    const bool HasExpired = Known.RemoveAt >= 0 || Known.HasReturned;
    Listed += Known.IsListed ? 1 : 0;
    Remained += Known.IsListed && !HasExpired ? 1 : 0;
  }
  return static_cast<double>(Remained) >=
         RemainingShare * static_cast<double>(Listed);
}

void endpoint_directory::onCaughtUp() {
  if (!std::exchange(IsCatchingUp, false))
    return;
  const bool WasStoreAvailable =
      haveMostRegistered() || (OutageMs >= FullExpiryMs && haveMostRemained());
  if (WasStoreAvailable)
    endReregistrations();
}

// The store was available to the endpoints, so those that are gone have left.
void endpoint_directory::endReregistrations() {
  OutageEndedAt = -1;
  for (auto &[Id, Known] : Endpoints)
    if (Known.RemoveAt >= 0)
      Known.RemoveAt = LastAnsweredAt;
}

void endpoint_directory::beginSnapshot() {
  IsReadingSnapshot = true;
  for (auto &[Id, Known] : Endpoints)
    Known.InSnapshot = false;
}

void endpoint_directory::endSnapshot(time_ms Now) {
  IsReadingSnapshot = false;
  for (const auto &[Id, Known] : Endpoints)
    if (Known.IsListed && !Known.InSnapshot)
      onRemoved(Id, Now);
}

bool endpoint_directory::update(time_ms Now) {
  for (auto &[Id, Known] : Endpoints)
    if (Known.RemoveAt >= 0 && Known.RemoveAt <= Now)
      unlist(Known, Now);
  std::erase_if(Endpoints, [Now](const auto &Item) {
    return !Item.second.IsListed && Now - Item.second.RemovedAt > LateReportMs;
  });
  return std::exchange(Changed, false);
}

std::vector<dispatch::endpoint_entry> endpoint_directory::entries() const {
  std::vector<dispatch::endpoint_entry> Result;
  for (const auto &[Id, Known] : Endpoints)
    if (Known.IsListed)
      Result.push_back(Known.Entry);
  return Result;
}

} // namespace tamarack::follow
