// How far the spending of an incarnation may have come.
#include "tamarack/grants.hpp"

#include <algorithm>
#include <cassert>

namespace tamarack::grants {

namespace {

std::optional<std::int64_t> markOf(const watermark_record &Record,
                                   std::string_view Account) {
  for (const watermark_line &Line : Record.Lines)
    if (Line.Account == Account)
      return Line.Mark;
  return std::nullopt;
}

} // namespace

void spend_watermarks::onSent(watermark_record Record) {
  Uncertain.push_back(std::move(Record));
}

void spend_watermarks::onWritten() {
  assert(!Uncertain.empty() && "a mark is sent before it is written");
  Certain = std::move(Uncertain.back());
  // The store keeps the order: what was sent before can't come after it.
  Uncertain.clear();
}

void spend_watermarks::onUncertain() {
  assert(!Uncertain.empty() && "a mark is sent before its outcome");
}

void spend_watermarks::onRefused() {
  assert(!Uncertain.empty() && "a mark is sent before its outcome");
  Uncertain.pop_back();
}

std::int64_t spend_watermarks::limitOf(std::string_view Account,
                                       std::int64_t Ceiling,
                                       time_ms SinceBoot) const {
  std::int64_t Limit = Ceiling;
  const auto Bind = [&Limit, Account,
                     SinceBoot](const watermark_record &Record) {
    if (SinceBoot - Record.Stamp >= WatermarkValidMs)
      return;
    // An account that a mark does not name may not have been drawn on.
    const std::optional<std::int64_t> Mark = markOf(Record, Account);
    Limit = std::min(Limit, Mark.value_or(0));
  };
  if (Certain)
    Bind(*Certain);
  for (const watermark_record &Record : Uncertain)
    Bind(Record);
  return Limit;
}

std::int64_t maxPreviousSpending(const holder_record &Former,
                                 const std::optional<watermark_record> &Mark,
                                 std::string_view Account, std::int64_t Ceiling,
                                 std::string_view BootId, time_ms SinceBoot) {
  if (!Mark || Mark->Incarnation != Former.Incarnation || BootId.empty() ||
      Mark->BootId != BootId)
    return Ceiling;
  const time_ms Age = SinceBoot - Mark->Stamp;
  if (Age < 0 || Age >= WatermarkValidMs)
    return Ceiling;
  return std::min(Ceiling, markOf(*Mark, Account).value_or(Ceiling));
}

} // namespace tamarack::grants
