// Limits of spending by watermarks that are, or may be, in the store.
#include "tamarack/grants.hpp"

#include <algorithm>
#include <cassert>

namespace tamarack::grants {

namespace {

std::optional<std::int64_t> watermarkOf(const watermark_record &Record,
                                        std::string_view Account) {
  for (const watermark_line &Line : Record.Lines)
    if (Line.Account == Account)
      return Line.Watermark;
  return std::nullopt;
}

} // namespace

void spend_watermarks::onSent(watermark_record Record) {
  Unconfirmed.push_back(std::move(Record));
}

void spend_watermarks::onWritten() {
  assert(!Unconfirmed.empty() && "a watermark is sent before it is written");
  Stored = std::move(Unconfirmed.back());
  // The store processes a writer's appends in order, so no earlier watermark
  // can replace this one.
  Unconfirmed.clear();
}

void spend_watermarks::onUncertain() {
  assert(!Unconfirmed.empty() && "a watermark is sent before its outcome");
}

void spend_watermarks::onRefused() {
  assert(!Unconfirmed.empty() && "a watermark is sent before its outcome");
  Unconfirmed.pop_back();
}

std::int64_t spend_watermarks::limitOf(std::string_view Account,
                                       std::int64_t Ceiling,
                                       time_ms SinceBoot) const {
  std::int64_t Limit = Ceiling;
  const auto ApplyLimit = [&Limit, Account,
                           SinceBoot](const watermark_record &Record) {
    if (SinceBoot - Record.SentAt >= WatermarkValidMs)
      return;
    // No tokens may be spent of an account that the watermark does not contain.
    const std::optional<std::int64_t> Watermark = watermarkOf(Record, Account);
    Limit = std::min(Limit, Watermark.value_or(0));
  };
  if (Stored)
    ApplyLimit(*Stored);
  for (const watermark_record &Record : Unconfirmed)
    ApplyLimit(Record);
  return Limit;
}

std::int64_t
maxPreviousSpending(const holder_record &Previous,
                    const std::optional<watermark_record> &Watermark,
                    std::string_view Account, std::int64_t Ceiling,
                    std::string_view BootId, time_ms SinceBoot) {
  if (!Watermark || Watermark->Incarnation != Previous.Incarnation ||
      BootId.empty() || Watermark->BootId != BootId)
    return Ceiling;
  const time_ms Age = SinceBoot - Watermark->SentAt;
  if (Age < 0 || Age >= WatermarkValidMs)
    return Ceiling;
  return std::min(Ceiling, watermarkOf(*Watermark, Account).value_or(Ceiling));
}

} // namespace tamarack::grants
