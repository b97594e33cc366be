// What an instance has learned lately of the load of endpoints.
#include "tamarack/load.hpp"

#include <algorithm>

namespace tamarack::load {

namespace {

// The newest items that Peer has not been told, with their ages now.
template <typename Known, typename News>
void takeNew(const Known &All, std::string_view Peer, time_ms ToldAt,
             std::size_t MaxItems, time_ms Now, std::vector<News> &Into) {
  for (const auto &[Key, Item] : All) {
    if (Item.LearnedAt < ToldAt || Item.From == Peer)
      continue;
    Into.push_back(Item.Item);
    Into.back().AgeMs = static_cast<int>(Now - Item.Since);
  }
  std::ranges::sort(Into, {}, &News::AgeMs);
  if (Into.size() > MaxItems)
    Into.resize(MaxItems);
}

} // namespace

bool news_board::add(const report_news &News, std::string_view From,
                     time_ms Now) {
  forgetOld(Now);
  const time_ms Since = Now - News.AgeMs;
  const auto Found = Reports.find(News.Endpoint);
  const bool IsKnown =
      Found != Reports.end() && Since <= Found->second.Since + SameReportMs;
  if ((IsKnown && !From.empty()) ||
      (Found == Reports.end() && Reports.size() >= MaxItems))
    return false;
  Reports[News.Endpoint] = {News, Since, Now, std::string(From)};
  return true;
}

// A call is news twice: when it was sent and when it was answered.
bool news_board::add(const call_news &News, std::string_view From,
                     time_ms Now) {
  forgetOld(Now);
  const auto Found = Calls.find(News.Id);
  const bool IsAnswer = News.ExpectedMs > 0;
  const bool IsKnown =
      Found != Calls.end() && (!IsAnswer || Found->second.Item.ExpectedMs > 0);
  if (IsKnown || (Found == Calls.end() && Calls.size() >= MaxItems))
    return false;
  Calls[News.Id] = {News, Now - News.AgeMs, Now, std::string(From)};
  return true;
}

load_news news_board::take(std::string_view Peer, time_ms Now) {
  load_news News;
  forgetOld(Now);
  const auto Told = ToldAt.find(Peer);
  const time_ms Since = Told == ToldAt.end() ? 0 : Told->second;
  if (Told != ToldAt.end() && Now - Since < MinPauseMs)
    return News;
  takeNew(Reports, Peer, Since, MaxReportNews, Now, News.Reports);
  takeNew(Calls, Peer, Since, MaxCallNews, Now, News.Calls);
  ToldAt.insert_or_assign(std::string(Peer), Now);
  return News;
}

void news_board::forgetOld(time_ms Now) {
  const auto IsOld = [Now](const auto &Item) {
    return Now - Item.second.Since > MaxNewsAgeMs;
  };
  std::erase_if(Reports, IsOld);
  std::erase_if(Calls, IsOld);
  std::erase_if(ToldAt, [Now](const auto &Peer) {
    return Now - Peer.second > MaxNewsAgeMs;
  });
}

} // namespace tamarack::load
