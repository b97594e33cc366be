// MessagePack encoding of the streams of one instance.
#include "tamarack/streams.hpp"
#include "tamarack/wire.hpp"

#include <algorithm>
#include <tuple>

namespace tamarack::streams {

namespace {

constexpr int FormatVersion = 1;
constexpr std::size_t MaxTextBytes = 256; // Of a service or version.

using stream_tuple = std::tuple<std::uint64_t, int>; // Key and age.
// Service, version and their streams, which are many for few versions.
using software_tuple =
    std::tuple<std::string, std::string, std::vector<stream_tuple>>;
using record_tuple = std::tuple<int, std::vector<software_tuple>>;

} // namespace

std::string encode(const std::vector<origin> &Origins) {
  std::map<software, std::vector<stream_tuple>> BySoftware;
  for (const origin &Origin : Origins)
    BySoftware[Origin.Software].emplace_back(Origin.Key, Origin.AgeMs);
  std::vector<software_tuple> Rows;
  Rows.reserve(BySoftware.size());
  for (auto &[Software, Streams] : BySoftware)
    Rows.emplace_back(Software.Service, Software.Version, std::move(Streams));
  return wire::pack(record_tuple(FormatVersion, std::move(Rows)));
}

std::optional<std::vector<origin>> decodeOrigins(std::string_view Bytes) {
  const std::optional<record_tuple> Fields =
      wire::unpack<record_tuple>(Bytes, FormatVersion);
  if (!Fields)
    return std::nullopt;
  std::vector<origin> Origins;
  for (const auto &[Service, Version, Streams] : std::get<1>(*Fields)) {
    if (Service.size() > MaxTextBytes || Version.size() > MaxTextBytes)
      return std::nullopt;
    // A version without a name would mean any version.
    const software Software =
        Version.empty() ? software() : software{Service, Version};
    for (const auto &[Key, AgeMs] : Streams)
      Origins.push_back({Key, Software, std::max(0, AgeMs)});
  }
  return Origins;
}

} // namespace tamarack::streams
