// MessagePack encoding of the streams of one instance.
#include "tamarack/streams.hpp"
#include "tamarack/wire.hpp"

#include <algorithm>
#include <tuple>

namespace tamarack::streams {

namespace {

constexpr int FormatVersion = 1;
constexpr std::size_t MaxVersionBytes = 256;

using stream_tuple = std::tuple<std::uint64_t, int>; // Key and age.
// The streams of each version, which are many for few versions.
using version_tuple = std::tuple<std::string, std::vector<stream_tuple>>;
using record_tuple = std::tuple<int, std::vector<version_tuple>>;

} // namespace

std::string encode(const std::vector<origin> &Origins) {
  std::map<std::string, std::vector<stream_tuple>> ByVersion;
  for (const origin &Origin : Origins)
    ByVersion[Origin.Version].emplace_back(Origin.Key, Origin.AgeMs);
  std::vector<version_tuple> Versions(ByVersion.begin(), ByVersion.end());
  return wire::pack(record_tuple(FormatVersion, std::move(Versions)));
}

std::optional<std::vector<origin>> decodeOrigins(std::string_view Bytes) {
  const std::optional<record_tuple> Fields =
      wire::unpack<record_tuple>(Bytes, FormatVersion);
  if (!Fields)
    return std::nullopt;
  std::vector<origin> Origins;
  for (const auto &[Version, Streams] : std::get<1>(*Fields)) {
    if (Version.size() > MaxVersionBytes)
      return std::nullopt;
    for (const auto &[Key, AgeMs] : Streams)
      Origins.push_back({Key, Version, std::max(0, AgeMs)});
  }
  return Origins;
}

} // namespace tamarack::streams
