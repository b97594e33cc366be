// The limits in force and their order.
#include "tamarack/limits.hpp"

#include <set>

namespace tamarack::limits {

namespace {

// True if A limits more than B; empty is no limit.
bool isLower(std::optional<double> A, std::optional<double> B) {
  return A && (!B || *A < *B);
}

void change(known_limit &Limit, std::uint64_t Version,
            std::optional<double> PerSecond, time_ms Now) {
  if (Version != Limit.Version)
    Limit.Before = Limit.PerSecond;
  Limit.Version = Version;
  Limit.PerSecond = PerSecond;
  Limit.ChangedAt = Now;
}

void forget(known_limit &Limit) {
  Limit.Version = 0;
  Limit.PerSecond.reset();
  Limit.Before.reset();
  Limit.IsSeenHere = false;
  Limit.IsConfirmed = false;
}

} // namespace

void limit_register::setEndpoints(
    std::span<const dispatch::endpoint_entry> Entries) {
  std::set<std::string_view> Listed;
  for (const dispatch::endpoint_entry &Entry : Entries) {
    Listed.insert(Entry.Id);
    known_limit &Limit = Endpoints[Entry.Id];
    if (Limit.StartedAt != Entry.StartedAt)
      forget(Limit);
    Limit.StartedAt = Entry.StartedAt;
    Limit.Service = Entry.Service;
    Limit.IsLeaving = Entry.Leaving;
  }
  std::erase_if(Endpoints, [&Listed](const auto &Item) {
    return !Listed.contains(Item.first);
  });
}

std::uint64_t limit_register::versionOf(std::string_view Endpoint) const {
  const known_limit *Limit = find(Endpoint);
  return Limit == nullptr ? 0 : Limit->Version;
}

const known_limit *limit_register::find(std::string_view Endpoint) const {
  const auto Found = Endpoints.find(Endpoint);
  return Found == Endpoints.end() ? nullptr : &Found->second;
}

bool limit_register::onResponse(std::string_view Endpoint,
                                std::uint64_t SentVersion,
                                std::optional<double> PerSecond, time_ms Now) {
  const auto Found = Endpoints.find(Endpoint);
  if (Found == Endpoints.end())
    return false;
  known_limit &Limit = Found->second;
  if (SentVersion == Limit.Version) {
    const bool IsChange = PerSecond != Limit.PerSecond;
    if (IsChange)
      change(Limit, Limit.Version + 1, PerSecond, Now);
    Limit.IsSeenHere = Limit.Version > 0;
    Limit.IsConfirmed = true;
    return IsChange;
  }
  // Sent before the current version was known, so it may be older than that.
  const bool Competes = SentVersion + 1 == Limit.Version &&
                        PerSecond != Limit.Before &&
                        isLower(PerSecond, Limit.PerSecond);
  if (!Competes)
    return false;
  change(Limit, Limit.Version, PerSecond, Now);
  Limit.IsSeenHere = true;
  Limit.IsConfirmed = true;
  return true;
}

bool limit_register::onReport(const stated_limit &Reported, bool IsCurrent,
                              time_ms Now) {
  const auto Found = Endpoints.find(Reported.Endpoint);
  if (Found == Endpoints.end() || Reported.Version == 0 ||
      Found->second.StartedAt != Reported.StartedAt)
    return false;
  known_limit &Limit = Found->second;
  const bool IsSame = Reported.Version == Limit.Version &&
                      Reported.PerSecond == Limit.PerSecond;
  if (IsSame) {
    Limit.IsConfirmed = Limit.IsConfirmed || IsCurrent;
    return false;
  }
  const bool Holds = Reported.Version > Limit.Version ||
                     (Reported.Version == Limit.Version &&
                      isLower(Reported.PerSecond, Limit.PerSecond));
  if (!Holds)
    return false;
  const bool IsChange = Reported.PerSecond != Limit.PerSecond;
  change(Limit, Reported.Version, Reported.PerSecond, Now);
  Limit.IsSeenHere = false;
  Limit.IsConfirmed = IsCurrent;
  return IsChange;
}

void limit_register::dropUnconfirmed() {
  for (auto &[Endpoint, Limit] : Endpoints)
    if (!Limit.IsConfirmed)
      forget(Limit);
}

void limit_register::dropEnded(time_ms Now) {
  for (auto &[Endpoint, Limit] : Endpoints)
    if (Limit.Version > 0 && !Limit.PerSecond &&
        Now - Limit.ChangedAt >= EndedLimitMemoryMs)
      forget(Limit);
}

std::vector<stated_limit> limit_register::seenHere() const {
  std::vector<stated_limit> Result;
  for (const auto &[Endpoint, Limit] : Endpoints)
    if (Limit.IsSeenHere && Result.size() < MaxReportedLimits)
      Result.push_back(
          {Endpoint, Limit.StartedAt, Limit.Version, Limit.PerSecond});
  return Result;
}

} // namespace tamarack::limits
