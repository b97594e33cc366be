// What an endpoint has probably kept of prompts.
#include "tamarack/dispatch.hpp"

#include <xxhash.h>

namespace tamarack::dispatch {

namespace {

// Name of a part in its place: the same part after other parts is another.
std::uint64_t linkOf(std::uint64_t Before, const relay::prompt_part &Part) {
  const std::uint64_t Words[] = {Before, Part.Id};
  return XXH64(Words, sizeof Words, 0);
}

} // namespace

std::uint64_t
prompt_cache::chainOf(std::span<const relay::prompt_part> Prompt) {
  std::uint64_t Chain = 0;
  for (const relay::prompt_part &Part : Prompt)
    Chain = linkOf(Chain, Part);
  return Chain;
}

std::int64_t
prompt_cache::keptTokens(std::span<const relay::prompt_part> Prompt) const {
  std::uint64_t Chain = 0;
  std::int64_t Kept = 0;
  for (const relay::prompt_part &Part : Prompt) {
    Chain = linkOf(Chain, Part);
    if (!Index.contains(Chain))
      break;
    Kept += Part.Tokens;
  }
  return Kept;
}

void prompt_cache::note(std::span<const relay::prompt_part> Prompt) {
  std::uint64_t Chain = 0;
  for (const relay::prompt_part &Part : Prompt) {
    Chain = linkOf(Chain, Part);
    const auto Found = Index.find(Chain);
    if (Found != Index.end()) {
      Used.splice(Used.begin(), Used, Found->second);
      continue;
    }
    Used.push_front({Chain, Part.Tokens});
    Index.emplace(Chain, Used.begin());
    Size += Part.Tokens;
  }
  evict();
}

void prompt_cache::evict() {
  while (Size > Capacity && !Used.empty()) {
    Size -= Used.back().Tokens;
    Index.erase(Used.back().Chain);
    Used.pop_back();
  }
}

} // namespace tamarack::dispatch
