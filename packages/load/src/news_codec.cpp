// MessagePack encoding of news of load.
#include "tamarack/load.hpp"
#include "tamarack/wire.hpp"

#include <algorithm>
#include <xxhash.h>

namespace tamarack::load {

namespace {

constexpr int FormatVersion = 1;
constexpr int MaxCount = 100'000;  // Of requests.
constexpr int MaxTimeMs = 600'000; // Of one call.

// Endpoint, age, running, waiting, slots, pace.
using report_form = std::tuple<endpoint_key, int, int, int, int, int>;
// Id, endpoint, age, read, expected, took.
using call_form = std::tuple<std::uint64_t, endpoint_key, int, int, int, int>;
using news_form =
    std::tuple<int, std::vector<report_form>, std::vector<call_form>>;

bool isIn(int Value, int Max) { return Value >= 0 && Value <= Max; }

bool isValid(const report_news &News) {
  return isIn(News.AgeMs, MaxNewsAgeMs) &&
         isIn(News.Report.Running, MaxCount) &&
         isIn(News.Report.Waiting, MaxCount) &&
         isIn(News.Report.Slots, MaxCount) &&
         isIn(News.Report.PacePercent.value_or(0), pace_estimate::MaxPercent);
}

bool isValid(const call_news &News) {
  return isIn(News.AgeMs, MaxNewsAgeMs) && isIn(News.ReadMs, MaxTimeMs) &&
         isIn(News.ExpectedMs, MaxTimeMs) && isIn(News.TookMs, MaxTimeMs);
}

} // namespace

endpoint_key keyOf(std::string_view Endpoint) {
  return static_cast<endpoint_key>(XXH64(Endpoint.data(), Endpoint.size(), 0));
}

std::string encode(const load_news &News) {
  news_form Form{FormatVersion, {}, {}};
  for (const report_news &Item : News.Reports)
    std::get<1>(Form).emplace_back(
        Item.Endpoint, Item.AgeMs, Item.Report.Running, Item.Report.Waiting,
        Item.Report.Slots,
        std::clamp(Item.Report.PacePercent.value_or(100), 0,
                   pace_estimate::MaxPercent));
  for (const call_news &Item : News.Calls)
    std::get<2>(Form).emplace_back(Item.Id, Item.Endpoint, Item.AgeMs,
                                   Item.ReadMs, Item.ExpectedMs, Item.TookMs);
  return wire::pack(Form);
}

std::optional<load_news> decodeNews(std::string_view Bytes) {
  if (Bytes.size() > MaxNewsBytes)
    return std::nullopt;
  const std::optional<news_form> Form =
      wire::unpack<news_form>(Bytes, FormatVersion);
  if (!Form || std::get<1>(*Form).size() > MaxReportNews ||
      std::get<2>(*Form).size() > MaxCallNews)
    return std::nullopt;
  load_news News;
  for (const auto &[Endpoint, AgeMs, Running, Waiting, Slots, Pace] :
       std::get<1>(*Form))
    News.Reports.push_back({Endpoint, AgeMs, {Running, Waiting, Slots, Pace}});
  for (const auto &[Id, Endpoint, AgeMs, ReadMs, ExpectedMs, TookMs] :
       std::get<2>(*Form))
    News.Calls.push_back({Id, Endpoint, AgeMs, ReadMs, ExpectedMs, TookMs});
  const auto IsItemValid = [](const auto &Item) { return isValid(Item); };
  if (!std::ranges::all_of(News.Reports, IsItemValid) ||
      !std::ranges::all_of(News.Calls, IsItemValid))
    return std::nullopt;
  return News;
}

} // namespace tamarack::load
