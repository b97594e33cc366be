// Failure detection by gossiped heartbeat counters, and placement of roles.
#include "tamarack/fleet.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cassert>

namespace tamarack::fleet {

namespace {

// On average one gossip round in OtherZoneRounds also contacts another zone.
constexpr std::uint64_t OtherZoneRounds = 4;
// Time for which incarnations stay in DeadIncarnations: one day.
constexpr time_ms DeadIncarnationKeptMs = 24 * 60 * 60 * 1000;

// Rank of an instance in the rendezvous hashing of a stream; highest wins.
std::uint64_t rankOf(std::uint32_t Stream, std::string_view Instance) {
  return XXH3_64bits_withSeed(Instance.data(), Instance.size(), Stream);
}

} // namespace

member_table::member_table(member_row Self) : Self(std::move(Self)) {}

void member_table::advanceHeartbeat(time_ms Now) {
  ++Self.Heartbeat;
  std::erase_if(Members, [this, Now](const auto &Item) {
    const bool Expired = Now - Item.second.LastHeartbeatAt > ForgetAfterMs;
    if (Expired) {
      DeadIncarnations.emplace(Item.second.Row.Incarnation, Now);
      InstanceOfIncarnation.erase(Item.second.Row.Incarnation);
    }
    return Expired;
  });
  std::erase_if(DeadIncarnations, [Now](const auto &Item) {
    return Now - Item.second > DeadIncarnationKeptMs;
  });
}

void member_table::setLeaving() { Self.Leaving = true; }

void member_table::mergeRows(std::span<const member_row> Rows, time_ms Now) {
  for (const member_row &Row : Rows)
    mergeRow(Row, Now);
}

void member_table::mergeRow(const member_row &Row, time_ms Now) {
  if (Row.Instance == Self.Instance || Row.Incarnation == 0)
    return;
  if (DeadIncarnations.contains(Row.Incarnation))
    return; // Another peer still had the row of the dead incarnation.
  auto Found = Members.find(Row.Instance);
  if (Found == Members.end()) {
    Members.emplace(Row.Instance, member{Row, Now, false});
    InstanceOfIncarnation.emplace(Row.Incarnation, Row.Instance);
    return;
  }
  member &Member = Found->second;
  if (Row.Incarnation < Member.Row.Incarnation) {
    DeadIncarnations.emplace(Row.Incarnation, Now);
    return;
  }
  if (Row.Incarnation > Member.Row.Incarnation) {
    DeadIncarnations.emplace(Member.Row.Incarnation, Now);
    InstanceOfIncarnation.erase(Member.Row.Incarnation);
    InstanceOfIncarnation.emplace(Row.Incarnation, Row.Instance);
    Member = {Row, Now, false};
    return;
  }
  mergeHeartbeat(Member, {Row.Incarnation, Row.Heartbeat, Row.Leaving}, Now);
}

void member_table::mergeHeartbeats(std::span<const member_heartbeat> Heartbeats,
                                   time_ms Now) {
  for (const member_heartbeat &Heartbeat : Heartbeats) {
    auto Instance = InstanceOfIncarnation.find(Heartbeat.Incarnation);
    if (Instance != InstanceOfIncarnation.end())
      mergeHeartbeat(Members.find(Instance->second)->second, Heartbeat, Now);
  }
}

void member_table::mergeHeartbeat(member &Member,
                                  const member_heartbeat &Heartbeat,
                                  time_ms Now) {
  if (Heartbeat.Heartbeat <= Member.Row.Heartbeat)
    return;
  Member.Row.Heartbeat = Heartbeat.Heartbeat;
  Member.Row.Leaving = Member.Row.Leaving || Heartbeat.Leaving;
  Member.LastHeartbeatAt = Now;
  Member.Unresponsive = false;
}

void member_table::markUnresponsive(incarnation_id Incarnation) {
  auto Instance = InstanceOfIncarnation.find(Incarnation);
  if (Instance != InstanceOfIncarnation.end())
    Members.find(Instance->second)->second.Unresponsive = true;
}

void member_table::setPlatformInstances(
    std::span<const instance_info> Instances) {
  PlatformInstances.assign(Instances.begin(), Instances.end());
}

bool member_table::isSuspect(const member &Item, time_ms Now) const {
  return Now - Item.LastHeartbeatAt > SuspectAfterMs;
}

std::vector<member_heartbeat> member_table::heartbeats(time_ms Now) const {
  std::vector<member_heartbeat> Result{
      {Self.Incarnation, Self.Heartbeat, Self.Leaving}};
  for (const auto &[Instance, Item] : Members) {
    const member_row &Row = Item.Row;
    if (Row.Zone == Self.Zone && !isSuspect(Item, Now))
      Result.push_back({Row.Incarnation, Row.Heartbeat, Row.Leaving});
  }
  return Result;
}

std::vector<member_row>
member_table::rowsMissingFrom(std::span<const member_heartbeat> Heartbeats,
                              time_ms Now) const {
  std::set<incarnation_id> Present;
  for (const member_heartbeat &Heartbeat : Heartbeats)
    Present.insert(Heartbeat.Incarnation);
  std::vector<member_row> Result;
  for (const auto &[Instance, Item] : Members) {
    const bool Alive = Item.Row.Zone == Self.Zone && !isSuspect(Item, Now);
    if (Alive && !Present.contains(Item.Row.Incarnation))
      Result.push_back(Item.Row);
  }
  return Result;
}

std::vector<member_row> member_table::eligibleMembers(time_ms Now) const {
  std::vector<member_row> Result;
  if (!Self.Leaving)
    Result.push_back(Self);
  for (const auto &[Instance, Item] : Members)
    if (Item.Row.Zone == Self.Zone && !Item.Row.Leaving && !Item.Unresponsive &&
        !isSuspect(Item, Now))
      Result.push_back(Item.Row);
  std::sort(Result.begin(), Result.end(),
            [](const member_row &A, const member_row &B) {
              return A.Instance < B.Instance;
            });
  return Result;
}

std::set<incarnation_id>
member_table::suspectedIncarnations(time_ms Now) const {
  std::set<incarnation_id> Result;
  for (const auto &[Incarnation, DeadSince] : DeadIncarnations)
    Result.insert(Incarnation);
  for (const auto &[Instance, Item] : Members)
    if (isSuspect(Item, Now))
      Result.insert(Item.Row.Incarnation);
  return Result;
}

std::vector<std::string>
member_table::gossipTargets(random_source &Random) const {
  std::set<std::string> OwnZoneUrls;
  std::set<std::string> OtherZoneUrls;
  for (const auto &[Instance, Item] : Members)
    (Item.Row.Zone == Self.Zone ? OwnZoneUrls : OtherZoneUrls)
        .insert(Item.Row.PeerUrl);
  for (const instance_info &Listed : PlatformInstances)
    if (Listed.Name != Self.Instance && !Listed.PeerUrl.empty())
      (Listed.Zone == Self.Zone ? OwnZoneUrls : OtherZoneUrls)
          .insert(Listed.PeerUrl);
  std::vector<std::string> OwnZone(OwnZoneUrls.begin(), OwnZoneUrls.end());
  const std::vector<std::string> OtherZones(OtherZoneUrls.begin(),
                                            OtherZoneUrls.end());
  std::vector<std::string> Result;
  while (!OwnZone.empty() && Result.size() < GossipFanout) {
    const std::size_t Index = Random.next() % OwnZone.size();
    Result.push_back(OwnZone[Index]);
    OwnZone.erase(OwnZone.begin() + static_cast<std::ptrdiff_t>(Index));
  }
  if (!OtherZones.empty() && Random.next() % OtherZoneRounds == 0)
    Result.push_back(OtherZones[Random.next() % OtherZones.size()]);
  return Result;
}

std::optional<member_row> member_table::find(incarnation_id Incarnation) const {
  if (Self.Incarnation == Incarnation)
    return Self;
  for (const auto &[Instance, Item] : Members)
    if (Item.Row.Incarnation == Incarnation)
      return Item.Row;
  return std::nullopt;
}

std::set<incarnation_id> member_table::knownIncarnations() const {
  std::set<incarnation_id> Result{Self.Incarnation};
  for (const auto &[Incarnation, Instance] : InstanceOfIncarnation)
    Result.insert(Incarnation);
  return Result;
}

bool member_table::isInOwnZone(std::string_view PeerUrl) const {
  for (const auto &[Instance, Item] : Members)
    if (Item.Row.PeerUrl == PeerUrl)
      return Item.Row.Zone == Self.Zone;
  for (const instance_info &Listed : PlatformInstances)
    if (Listed.PeerUrl == PeerUrl)
      return Listed.Zone == Self.Zone;
  return true;
}

std::optional<std::string>
member_table::httpUrl(std::string_view Instance) const {
  if (Self.Instance == Instance)
    return Self.HttpUrl;
  auto Found = Members.find(Instance);
  if (Found != Members.end())
    return Found->second.Row.HttpUrl;
  for (const instance_info &Listed : PlatformInstances)
    if (Listed.Name == Instance)
      return Listed.HttpUrl;
  return std::nullopt;
}

const member_row &homeOf(std::uint32_t Stream,
                         std::span<const member_row> Members) {
  assert(!Members.empty() &&
         "Members must contain at least the calling daemon");
  const member_row *Best = &Members.front();
  for (const member_row &Member : Members)
    if (rankOf(Stream, Member.Instance) > rankOf(Stream, Best->Instance))
      Best = &Member;
  return *Best;
}

std::uint32_t endpointHash(std::string_view Name) {
  return static_cast<std::uint32_t>(XXH3_64bits(Name.data(), Name.size()));
}

const member_row &pollerOf(std::string_view Endpoint,
                           std::span<const member_row> Members) {
  return homeOf(endpointHash(Endpoint), Members);
}

const member_row *witnessOf(std::uint32_t Stream,
                            std::span<const member_row> Members,
                            incarnation_id Home) {
  const member_row *Best = nullptr;
  for (const member_row &Member : Members) {
    if (Member.Incarnation == Home)
      continue;
    if (Best == nullptr ||
        rankOf(Stream, Member.Instance) > rankOf(Stream, Best->Instance))
      Best = &Member;
  }
  return Best;
}

} // namespace tamarack::fleet
