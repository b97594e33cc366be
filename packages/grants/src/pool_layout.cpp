// Which instances hold the tokens of an account ahead of calls.
#include "tamarack/grants.hpp"

#include <algorithm>
#include <xxhash.h>

namespace tamarack::grants {

namespace {

std::uint64_t hashOf(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

// Puts the Count members with the highest hashes first, in that order.
void rank(std::vector<pool_member> &Members, std::size_t Count,
          std::uint64_t Seed) {
  const auto Ranks = [Seed](const pool_member &A, const pool_member &B) {
    const std::uint64_t HashA = hashOf(A.Instance, Seed);
    const std::uint64_t HashB = hashOf(B.Instance, Seed);
    return HashA != HashB ? HashA > HashB : A.Instance < B.Instance;
  };
  const auto Middle = Members.begin() + static_cast<std::ptrdiff_t>(
                                            std::min(Count, Members.size()));
  std::partial_sort(Members.begin(), Middle, Members.end(), Ranks);
}

} // namespace

void pool_layout::setMembers(std::span<const pool_member> Members) {
  Candidates.clear();
  Zones.clear();
  bool ContainsOwn = false;
  for (const pool_member &Member : Members) {
    Zones[Member.Zone].Holders.push_back(Member);
    ContainsOwn = ContainsOwn || Member.Instance == Own;
  }
  if (!ContainsOwn)
    Zones[Zone].Holders.push_back({Own, Zone, {}});
  HolderCount = 0;
  for (auto &[Name, InZone] : Zones) {
    InZone.Size = InZone.Holders.size();
    HolderCount += isShared(InZone) ? 1 : static_cast<int>(InZone.Size);
    if (!isShared(InZone))
      continue;
    const std::size_t Count =
        std::max(MinHolders, InZone.Size / InstancesPerHolder);
    rank(InZone.Holders, Count, 0);
    InZone.Holders.resize(Count);
  }
}

// The holder and its replacement, and this instance: before them if each
// instance of the zone holds tokens, otherwise after them.
void pool_layout::addZoneCandidates(std::vector<pool_member> &List,
                                    std::uint64_t AccountHash) const {
  const pool_member Self{Own, Zone, {}};
  const auto IsSelf = [this](const pool_member &Member) {
    return Member.Instance == Own;
  };
  List = Zones.at(Zone).Holders;
  rank(List, ZoneCandidates, AccountHash);
  if (!isZoneShared()) {
    std::erase_if(List, IsSelf);
    List.insert(List.begin(), Self);
  }
  List.resize(std::min(List.size(), ZoneCandidates));
  if (std::none_of(List.begin(), List.end(), IsSelf))
    List.push_back(Self);
}

// One holder of each other zone. Which of them are asked depends on this
// instance, so that a zone without tokens does not ask all at the same one.
void pool_layout::addRemoteCandidates(std::vector<pool_member> &List,
                                      std::uint64_t AccountHash) const {
  std::vector<pool_member> Remote;
  for (const auto &[Name, InZone] : Zones) {
    if (Name == Zone || InZone.Holders.empty())
      continue;
    std::vector<pool_member> Ranked = InZone.Holders;
    rank(Ranked, 1, AccountHash);
    Remote.push_back(std::move(Ranked.front()));
  }
  rank(Remote, RemoteCandidates, hashOf(Own, AccountHash));
  Remote.resize(std::min(Remote.size(), RemoteCandidates));
  List.insert(List.end(), Remote.begin(), Remote.end());
}

const std::vector<pool_member> &
pool_layout::candidatesFor(std::string_view Account) const {
  const auto Found = Candidates.find(Account);
  if (Found != Candidates.end())
    return Found->second;
  const std::uint64_t AccountHash = hashOf(Account, 1);
  std::vector<pool_member> List;
  addZoneCandidates(List, AccountHash);
  addRemoteCandidates(List, AccountHash);
  return Candidates.emplace(Account, std::move(List)).first->second;
}

bool pool_layout::isHolder(std::string_view Account) const {
  return candidatesFor(Account).front().Instance == Own;
}

} // namespace tamarack::grants
