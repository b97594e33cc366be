// Bill lines stored for other holders until they are in the log.
#include "tamarack/money.hpp"

namespace tamarack::money {

bool witness_store::storeLine(const witness_line &Line) {
  if (isSealed(Line.Grant))
    return false;
  LinesByGrant[Line.Grant].insert_or_assign(Line.Line.Key, Line.Line);
  return true;
}

void witness_store::eraseLine(const grant_id &Grant, const request_key &Key) {
  auto Found = LinesByGrant.find(Grant);
  if (Found == LinesByGrant.end())
    return;
  Found->second.erase(Key);
  if (Found->second.empty())
    LinesByGrant.erase(Found);
}

close_entry witness_store::seal(const grant_id &Grant, time_ms Now) {
  SealTimes.try_emplace(Grant, Now);
  close_entry Close;
  Close.Grant = Grant;
  auto Found = LinesByGrant.find(Grant);
  if (Found == LinesByGrant.end())
    return Close;
  for (const auto &[Key, Line] : Found->second)
    Close.Lines.push_back(Line);
  return Close;
}

bool witness_store::isSealed(const grant_id &Grant) const {
  return SealTimes.contains(Grant);
}

// A holder that has closed a grant sends no more lines of the grant, so only
// the seals made here are needed afterwards.
void witness_store::onClosed(const grant_id &Grant) {
  LinesByGrant.erase(Grant);
}

void witness_store::expireSeals(time_ms Before,
                                const std::set<incarnation_id> &LiveHolders) {
  std::erase_if(SealTimes, [&](const auto &Item) {
    return Item.second < Before && !LiveHolders.contains(Item.first.Holder);
  });
}

std::size_t witness_store::lineCount() const {
  std::size_t Count = 0;
  for (const auto &[Grant, Lines] : LinesByGrant)
    Count += Lines.size();
  return Count;
}

} // namespace tamarack::money
