// The availability zones that operators have evacuated.
#include "tamarack/follow.hpp"

#include <algorithm>

namespace tamarack::follow {

bool zone_evacuations::onRecord(std::string_view Zone, std::uint64_t Offset,
                                time_ms Now) {
  const zone_map::iterator Known = Zones.find(Zone);
  const bool IsNew = Offset >= KnownUpTo;
  if (!IsReadingSnapshot)
    KnownUpTo = std::max(KnownUpTo, Offset + 1);
  if (Known != Zones.end()) {
    Known->second.InSnapshot = true;
    Known->second.EndAt = -1;
    Known->second.Offset = std::max(Known->second.Offset, Offset);
    return true;
  }
  if (!IsNew)
    return true;
  if (Zones.size() >= MaxZones)
    return false;
  Zones.emplace(Zone, evacuation{Offset, Now, true, -1});
  return true;
}

void zone_evacuations::onRemoved(std::string_view Zone, std::uint64_t Offset) {
  if (Offset < KnownUpTo)
    return;
  if (!IsReadingSnapshot)
    KnownUpTo = Offset + 1;
  const zone_map::iterator Known = Zones.find(Zone);
  if (Known != Zones.end())
    Zones.erase(Known);
}

// The offsets of the new era say nothing about those of the former one.
void zone_evacuations::onEraChanged(time_ms Now) {
  KnownUpTo = 0;
  EraChangedAt = Now;
  IsReadingSnapshot = false;
  for (auto &[Zone, Evacuation] : Zones)
    Evacuation.Offset = 0;
}

void zone_evacuations::beginSnapshot() {
  IsReadingSnapshot = true;
  for (auto &[Zone, Evacuation] : Zones)
    Evacuation.InSnapshot = false;
}

void zone_evacuations::endSnapshot(std::uint64_t NextOffset, time_ms Now) {
  IsReadingSnapshot = false;
  IsKnown = true;
  if (NextOffset < KnownUpTo)
    return;
  KnownUpTo = NextOffset;
  endMissing(Now);
}

void zone_evacuations::endMissing(time_ms Now) {
  const bool MayReturn = EraChangedAt < 0 || Now - EraChangedAt >= RewriteMs;
  for (auto &[Zone, Evacuation] : Zones)
    if (!Evacuation.InSnapshot && Evacuation.Offset < KnownUpTo)
      Evacuation.EndAt = MayReturn ? Now : EraChangedAt + RewriteMs;
}

std::vector<zone_change> zone_evacuations::update(time_ms Now) {
  std::erase_if(Zones, [Now](const auto &Item) {
    return Item.second.EndAt >= 0 && Item.second.EndAt <= Now;
  });
  std::vector<zone_change> Changes;
  for (const auto &[Zone, Evacuation] : Zones)
    if (!UpdatedZones.contains(Zone))
      Changes.push_back({Zone, true, Evacuation.Offset, Evacuation.Since});
  for (const auto &[Zone, Evacuation] : UpdatedZones)
    if (!Zones.contains(Zone))
      Changes.push_back({Zone, false, Evacuation.Offset, Evacuation.Since});
  if (!Changes.empty())
    UpdatedZones = Zones;
  return Changes;
}

std::vector<std::string> zone_evacuations::zones() const {
  std::vector<std::string> Names;
  for (const auto &[Zone, Evacuation] : UpdatedZones)
    Names.push_back(Zone);
  return Names;
}

} // namespace tamarack::follow
