// Bill lines kept for other holders.
#include "tamarack/money.hpp"

namespace tamarack::money {

bool witness_store::storeLine(const witness_line &Line) {
  if (isSealed(Line.Grant))
    return false;
  Kept[Line.Grant].insert_or_assign(Line.Line.Key, Line.Line);
  return true;
}

void witness_store::eraseLine(const grant_id &Grant, const request_key &Key) {
  auto Found = Kept.find(Grant);
  if (Found == Kept.end())
    return;
  Found->second.erase(Key);
  if (Found->second.empty())
    Kept.erase(Found);
}

close_entry witness_store::seal(const grant_id &Grant, time_ms Now) {
  Sealed.try_emplace(Grant, Now);
  close_entry Close;
  Close.Grant = Grant;
  auto Found = Kept.find(Grant);
  if (Found == Kept.end())
    return Close;
  for (const auto &[Key, Line] : Found->second)
    Close.Lines.push_back(Line);
  return Close;
}

bool witness_store::isSealed(const grant_id &Grant) const {
  return Sealed.contains(Grant);
}

// A holder that closed the grant itself sends no more lines of it, so only
// grants that were sealed here need to be remembered.
void witness_store::onClosed(const grant_id &Grant) { Kept.erase(Grant); }

void witness_store::expireSeals(time_ms Before,
                                const std::set<incarnation_id> &Living) {
  std::erase_if(Sealed, [&](const auto &Item) {
    return Item.second < Before && !Living.contains(Item.first.Holder);
  });
}

std::size_t witness_store::lineCount() const {
  std::size_t Count = 0;
  for (const auto &[Grant, Lines] : Kept)
    Count += Lines.size();
  return Count;
}

} // namespace tamarack::money
