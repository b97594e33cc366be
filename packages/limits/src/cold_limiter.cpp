// Division of the limits of cold endpoints between the instances.
#include "tamarack/limits.hpp"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace tamarack::limits {

namespace {

std::uint64_t hashOf(std::string_view Instance, std::uint64_t EndpointHash) {
  return XXH64(Instance.data(), Instance.size(), EndpointHash);
}

} // namespace

double shareOfColdLimit(std::string_view Endpoint, double LimitPerSecond,
                        std::string_view Instance,
                        std::span<const std::string> Others) {
  const double Instances = static_cast<double>(Others.size()) + 1;
  const double Shares =
      std::clamp(std::floor(LimitPerSecond / MinColdShare), 1.0, Instances);
  const std::uint64_t EndpointHash = XXH64(Endpoint.data(), Endpoint.size(), 0);
  const std::uint64_t OwnHash = hashOf(Instance, EndpointHash);
  double Rank = 0; // Number of instances that have a share before this one.
  for (const std::string &Other : Others) {
    const std::uint64_t Hash = hashOf(Other, EndpointHash);
    if (Hash > OwnHash || (Hash == OwnHash && Other > Instance))
      ++Rank;
  }
  return Rank < Shares ? LimitPerSecond / Shares : 0;
}

cold_limiter::cold_limiter(std::string Own, cold_listener &Listener)
    : Instance(std::move(Own)), Listener(Listener) {}

void cold_limiter::setTable(std::shared_ptr<const relay::route_table> NewTable,
                            time_ms Now) {
  Table = std::move(NewTable);
  updateAll(Now);
}

void cold_limiter::setEndpoints(
    std::span<const dispatch::endpoint_entry> Entries, time_ms Now) {
  std::set<std::string_view> Listed;
  for (const dispatch::endpoint_entry &Entry : Entries) {
    Listed.insert(Entry.Id);
    readEntry(Endpoints[Entry.Id], Entry, Now);
  }
  for (auto &[Id, Known] : Endpoints)
    if (!Listed.contains(Id))
      Known.ColdUntil = Now;
  updateAll(Now);
  std::erase_if(Endpoints, [&Listed](const auto &Item) {
    return !Listed.contains(Item.first);
  });
}

// The statement counts from when the entry was written, so from when it was
// read on it is an upper bound. An entry that is listed again says nothing new.
void cold_limiter::readEntry(known_endpoint &Known,
                             const dispatch::endpoint_entry &Entry,
                             time_ms Now) const {
  Known.Service = Entry.Service;
  if (Entry.StartedAt == Known.StartedAt && Entry.Sequence == Known.Sequence &&
      Entry.WarmUpMs == Known.StatedMs)
    return;
  Known.StartedAt = Entry.StartedAt;
  Known.Sequence = Entry.Sequence;
  Known.StatedMs = Entry.WarmUpMs;
  Known.ColdUntil = Now + Entry.WarmUpMs;
}

void cold_limiter::setInstances(std::span<const std::string> Names,
                                time_ms Now) {
  std::vector<std::string> NewOthers(Names.begin(), Names.end());
  std::erase(NewOthers, Instance);
  std::sort(NewOthers.begin(), NewOthers.end());
  NewOthers.erase(std::unique(NewOthers.begin(), NewOthers.end()),
                  NewOthers.end());
  const bool IsFirst = ListKnownSince < 0;
  if (IsFirst)
    ListKnownSince = Now;
  ListReadAt = Now;
  if (!IsFirst && NewOthers == Others)
    return;
  Others = std::move(NewOthers);
  updateAll(Now);
}

void cold_limiter::onColdStated(std::string_view Endpoint,
                                std::int64_t StartedAt, int RemainingMs,
                                time_ms Now) {
  const auto Found = Endpoints.find(Endpoint);
  if (Found == Endpoints.end() || Found->second.StartedAt != StartedAt)
    return;
  known_endpoint &Known = Found->second;
  Known.ColdUntil = std::max(Known.ColdUntil, Now + RemainingMs);
  update(Found->first, Known, Now);
}

void cold_limiter::tick(time_ms Now) {
  if (Limited > 0)
    updateAll(Now);
}

double cold_limiter::coldRequestsPerSecond(std::string_view Service) const {
  const relay::service *Found = Table ? Table->findService(Service) : nullptr;
  return Found == nullptr ? 0 : Found->ColdRequestsPerSecond;
}

void cold_limiter::updateAll(time_ms Now) {
  for (auto &[Id, Known] : Endpoints)
    update(Id, Known, Now);
}

// A new pacer counts its first share at once, since no other instance has had
// it; a share that rises later counts when all know the same list.
void cold_limiter::update(const std::string &Id, known_endpoint &Known,
                          time_ms Now) {
  Known.PerSecond =
      Known.ColdUntil > Now ? coldRequestsPerSecond(Known.Service) : 0;
  if (Known.PerSecond == 0) {
    if (!Known.Pacer)
      return;
    Known.Pacer.reset();
    --Limited;
    return Listener.onEndpointWarm(Id, Limited);
  }
  const double Share = shareOf(Id, Known.PerSecond);
  if (Known.Pacer)
    return Known.Pacer->setShare(Share, Now);
  Known.Pacer.emplace(isSettled(Now) ? Share : 0, Now);
  Known.Pacer->setShare(Share, Now);
  ++Limited;
  Listener.onEndpointCold(Id, Known.ColdUntil - Now, Share, Known.PerSecond,
                          Limited);
}

double cold_limiter::shareOf(const std::string &Id, double PerSecond) const {
  if (ListKnownSince < 0)
    return 0;
  return shareOfColdLimit(Id, PerSecond, Instance, Others);
}

// False while other instances may not know this one yet.
bool cold_limiter::isSettled(time_ms Now) const {
  return ListKnownSince >= 0 && Now - ListKnownSince >= ShareRaiseDelayMs;
}

bool cold_limiter::isListCurrent(time_ms Now) const {
  return ListReadAt >= 0 && Now - ListReadAt <= MaxReadIntervalMs;
}

std::optional<double> cold_limiter::limitOf(std::string_view Endpoint,
                                            time_ms Now) const {
  if (Limited == 0)
    return std::nullopt;
  const auto Found = Endpoints.find(Endpoint);
  if (Found == Endpoints.end() || !Found->second.Pacer ||
      Found->second.ColdUntil <= Now)
    return std::nullopt;
  return Found->second.PerSecond;
}

cold_limiter::known_endpoint *
cold_limiter::findLimited(std::string_view Endpoint, time_ms Now) {
  return limitOf(Endpoint, Now) ? &Endpoints.find(Endpoint)->second : nullptr;
}

bool cold_limiter::mayGetRequest(std::string_view Endpoint, time_ms Now) {
  known_endpoint *Known = findLimited(Endpoint, Now);
  if (Known == nullptr)
    return true;
  return isListCurrent(Now) && Known->Pacer->maySend(Now);
}

void cold_limiter::onSent(std::string_view Endpoint, time_ms Now) {
  if (known_endpoint *Known = findLimited(Endpoint, Now))
    Known->Pacer->onSent(Now);
}

time_ms cold_limiter::nextRequestAt(std::string_view Endpoint, time_ms Now) {
  known_endpoint *Known = findLimited(Endpoint, Now);
  if (Known == nullptr)
    return Now;
  if (!isListCurrent(Now))
    return Known->ColdUntil;
  const time_ms NextAt =
      Known->Pacer->nextSendAt(Now).value_or(Known->ColdUntil);
  return std::min(NextAt, Known->ColdUntil);
}

} // namespace tamarack::limits
