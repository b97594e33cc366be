// Balancing policies.
#include "tamarack/routing.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cassert>

namespace tamarack::routing {

namespace {

// Added to the load of endpoints in other zones when loads are compared.
constexpr double OtherZoneLoadPenalty = 0.5;
// A prefix owner may be more loaded by this much than the alternative, as a hit
// in its prompt cache saves work.
constexpr double PrefixHitLoadBonus = 0.25;
constexpr double FullLoad = 1.0; // Requests per slot.

constexpr std::size_t MaxUnsampledPool = 64; // Larger pools are sampled.
constexpr std::size_t SampleSize = 32;       // Drawn from all of a large pool.
constexpr std::size_t PrefixBytes = 256;     // Of a prompt that are hashed.
constexpr double RandomScale = 1.0 / 18446744073709551616.0; // 2^-64

double loadWithZonePenalty(const candidate &Candidate) {
  return Candidate.EstimatedLoad +
         (Candidate.SameZone ? 0 : OtherZoneLoadPenalty);
}

// Returns the index of a random candidate, with probabilities proportional to
// the health weights.
std::size_t drawWeighted(std::span<const candidate> Candidates,
                         random_source &Random) {
  double Total = 0;
  for (const candidate &Candidate : Candidates)
    Total += Candidate.HealthWeight;
  double Point = static_cast<double>(Random.next()) * RandomScale * Total;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    Point -= Candidates[Index].HealthWeight;
    if (Point < 0)
      return Index;
  }
  return Candidates.size() - 1;
}

class round_robin final : public balancing_policy {
public:
  std::string_view name() const override { return "round-robin"; }
  std::size_t choose(std::span<const candidate> Candidates, std::uint64_t,
                     random_source &) override {
    return Next++ % Candidates.size();
  }

private:
  std::size_t Next = 0;
};

class least_reported final : public balancing_policy {
public:
  std::string_view name() const override { return "least-reported"; }
  std::size_t choose(std::span<const candidate> Candidates, std::uint64_t,
                     random_source &) override {
    auto Best = std::min_element(Candidates.begin(), Candidates.end(),
                                 [](const candidate &A, const candidate &B) {
                                   return A.ReportedLoad < B.ReportedLoad;
                                 });
    return static_cast<std::size_t>(Best - Candidates.begin());
  }
};

class two_choices final : public balancing_policy {
public:
  std::string_view name() const override { return "two-choices"; }
  std::size_t choose(std::span<const candidate> Candidates, std::uint64_t,
                     random_source &Random) override {
    const std::size_t A = Random.next() % Candidates.size();
    const std::size_t B = Random.next() % Candidates.size();
    return Candidates[B].EstimatedLoad < Candidates[A].EstimatedLoad ? B : A;
  }
};

class prefix_aware final : public balancing_policy {
public:
  std::string_view name() const override { return "prefix-aware"; }
  std::size_t choose(std::span<const candidate> Candidates,
                     std::uint64_t Prefix, random_source &Random) override {
    assert(!Candidates.empty() && "check for candidates first");
    const std::size_t A = drawWeighted(Candidates, Random);
    const std::size_t B = drawWeighted(Candidates, Random);
    const std::size_t LessLoaded =
        loadWithZonePenalty(Candidates[B]) < loadWithZonePenalty(Candidates[A])
            ? B
            : A;
    if (Prefix == 0)
      return LessLoaded;
    const std::size_t PrefixOwner = prefixOwner(Candidates, Prefix);
    const candidate &Owner = Candidates[PrefixOwner];
    const bool UsePrefixOwner =
        Owner.HealthWeight >= 1 && Owner.EstimatedLoad < FullLoad &&
        loadWithZonePenalty(Owner) <=
            loadWithZonePenalty(Candidates[LessLoaded]) + PrefixHitLoadBonus;
    return UsePrefixOwner ? PrefixOwner : LessLoaded;
  }

private:
  // Index of the candidate that most likely has the prefix in its prompt cache.
  // Rendezvous hashing lets all daemons of a zone agree on the owner without
  // exchanging messages. Candidates of the own zone go first.
  static std::size_t prefixOwner(std::span<const candidate> Candidates,
                                 std::uint64_t Prefix) {
    std::size_t Best = 0;
    std::uint64_t BestRank = 0;
    bool BestSameZone = false;
    for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
      const std::string &Name = Candidates[Index].Endpoint->Name;
      const std::uint64_t Rank =
          XXH3_64bits_withSeed(Name.data(), Name.size(), Prefix);
      const bool SameZone = Candidates[Index].SameZone;
      const bool Better =
          SameZone != BestSameZone ? SameZone : Rank >= BestRank;
      if (!Better)
        continue;
      Best = Index;
      BestRank = Rank;
      BestSameZone = SameZone;
    }
    return Best;
  }
};

} // namespace

std::unique_ptr<balancing_policy> makeRoundRobin() {
  return std::make_unique<round_robin>();
}

std::unique_ptr<balancing_policy> makeLeastReported() {
  return std::make_unique<least_reported>();
}

std::unique_ptr<balancing_policy> makeTwoChoices() {
  return std::make_unique<two_choices>();
}

std::unique_ptr<balancing_policy> makePrefixAware() {
  return std::make_unique<prefix_aware>();
}

std::vector<const config::endpoint *>
sampleMembers(std::span<const config::endpoint *const> ZoneMembers,
              std::span<const config::endpoint *const> PoolMembers,
              random_source &Random) {
  if (PoolMembers.size() <= MaxUnsampledPool)
    return {PoolMembers.begin(), PoolMembers.end()};
  std::vector<const config::endpoint *> Result(ZoneMembers.begin(),
                                               ZoneMembers.end());
  for (std::size_t Count = 0; Count < SampleSize; ++Count)
    Result.push_back(PoolMembers[Random.next() % PoolMembers.size()]);
  return Result;
}

std::uint64_t prefixHash(std::string_view Prompt) {
  if (Prompt.size() < PrefixBytes)
    return 0;
  return XXH3_64bits(Prompt.data(), PrefixBytes);
}

} // namespace tamarack::routing
