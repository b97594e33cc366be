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
void rank(std::span<pool_member> Members, std::size_t Count,
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
  ZoneMembers.clear();
  std::map<std::string_view, std::size_t> ZoneSizes;
  bool ContainsOwn = false;
  for (const pool_member &Member : Members) {
    ++ZoneSizes[Member.Zone];
    ContainsOwn = ContainsOwn || Member.Instance == Own;
    if (Member.Zone == Zone)
      ZoneMembers.push_back(Member);
  }
  if (!ContainsOwn) {
    ++ZoneSizes[Zone];
    ZoneMembers.push_back({Own, Zone, {}});
  }
  HolderCount = 0;
  for (const auto &[Name, Size] : ZoneSizes)
    HolderCount += Size < MinSharedZoneSize ? static_cast<int>(Size) : 1;
  HoldersOfZone = std::max(MinHolders, ZoneMembers.size() / InstancesPerHolder);
  rank(ZoneMembers, HoldersOfZone, 0);
}

const std::vector<pool_member> &
pool_layout::candidatesFor(std::string_view Account) const {
  static const std::vector<pool_member> None;
  if (!isZoneShared())
    return None;
  const auto Found = Candidates.find(Account);
  if (Found != Candidates.end())
    return Found->second;
  // The holders of the zone come first, so that others hold tokens only while
  // holders are out of reach.
  const std::uint64_t Seed = hashOf(Account, 1);
  std::vector<pool_member> Ranked = ZoneMembers;
  const std::span<pool_member> All(Ranked);
  rank(All.first(HoldersOfZone), HoldersOfZone, Seed);
  rank(All.subspan(HoldersOfZone), MaxCandidates, Seed);
  Ranked.resize(std::min(Ranked.size(), MaxCandidates));
  return Candidates.emplace(Account, std::move(Ranked)).first->second;
}

bool pool_layout::isHolder(std::string_view Account) const {
  const std::vector<pool_member> &Ranked = candidatesFor(Account);
  return Ranked.empty() || Ranked.front().Instance == Own;
}

} // namespace tamarack::grants
