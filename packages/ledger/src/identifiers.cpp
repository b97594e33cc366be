// Identifiers, and the mapping of budgets to streams.
#include "tamarack/ledger.hpp"

#include <xxhash.h>

namespace tamarack::ledger {

incarnation_id makeIncarnation(time_ms Start, std::uint64_t Random) {
  const std::uint64_t Mask = (std::uint64_t{1} << IncarnationRandomBits) - 1;
  return (static_cast<std::uint64_t>(Start) << IncarnationRandomBits) |
         (Random & Mask);
}

time_ms incarnationStart(incarnation_id Id) {
  return static_cast<time_ms>(Id >> IncarnationRandomBits);
}

request_key makeRequestKey(std::string_view Account, std::string_view Key) {
  std::string Text;
  Text.reserve(Account.size() + Key.size() + 1);
  Text.append(Account);
  Text.push_back('\0'); // Separator: no account name contains it.
  Text.append(Key);
  const XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  return {Hash.high64, Hash.low64};
}

std::uint32_t streamOf(std::string_view Budget, std::uint32_t Streams) {
  const std::uint64_t Hash = XXH3_64bits(Budget.data(), Budget.size());
  return static_cast<std::uint32_t>(Hash % Streams);
}

std::string streamName(std::uint32_t Stream) {
  return "ledger-" + std::to_string(Stream);
}

} // namespace tamarack::ledger
