// Estimate of an endpoint's prompt cache.
#include "tamarack/dispatch.hpp"

#include <xxhash.h>

namespace tamarack::dispatch {

namespace {

// Hash of a prompt up to and including Part. The same part after a different
// beginning has a different hash.
std::uint64_t extendHash(std::uint64_t PrefixHash,
                         const relay::prompt_part &Part) {
  const std::uint64_t Words[] = {PrefixHash, Part.Id};
  return XXH64(Words, sizeof Words, 0);
}

} // namespace

std::uint64_t
prompt_cache::chainHash(std::span<const relay::prompt_part> Prompt) {
  std::uint64_t ChainHash = 0;
  for (const relay::prompt_part &Part : Prompt)
    ChainHash = extendHash(ChainHash, Part);
  return ChainHash;
}

std::int64_t
prompt_cache::cachedTokens(std::span<const relay::prompt_part> Prompt) const {
  std::uint64_t ChainHash = 0;
  std::int64_t Cached = 0;
  for (const relay::prompt_part &Part : Prompt) {
    ChainHash = extendHash(ChainHash, Part);
    if (!Index.contains(ChainHash))
      break;
    Cached += Part.Tokens;
  }
  return Cached;
}

void prompt_cache::addPrompt(std::span<const relay::prompt_part> Prompt) {
  std::uint64_t ChainHash = 0;
  for (const relay::prompt_part &Part : Prompt) {
    ChainHash = extendHash(ChainHash, Part);
    const auto Found = Index.find(ChainHash);
    if (Found != Index.end()) {
      Parts.splice(Parts.begin(), Parts, Found->second);
      continue;
    }
    Parts.push_front({ChainHash, Part.Tokens});
    Index.emplace(ChainHash, Parts.begin());
    Size += Part.Tokens;
  }
  evict();
}

void prompt_cache::evict() {
  while (Size > Capacity && !Parts.empty()) {
    Size -= Parts.back().Tokens;
    Index.erase(Parts.back().ChainHash);
    Parts.pop_back();
  }
}

} // namespace tamarack::dispatch
