// News of load on the messages about reservations.
#include "load_news_link.hpp"

namespace tamarack::daemon {

std::string load_news_link::compose(std::string_view Instance) {
  std::string Bytes = LoadBalancer.composeNews(Instance, Clock.monotonic());
  if (!Bytes.empty()) {
    Metrics.counterOf("tamarack_load_news_sent_total").add();
    Metrics.counterOf("tamarack_load_news_sent_bytes_total").add(Bytes.size());
  }
  return Bytes;
}

void load_news_link::read(std::string_view Instance, std::string_view Bytes) {
  const bool IsRead = LoadBalancer.readNews(Instance, Bytes, Clock.monotonic());
  Metrics
      .counterOf(IsRead ? "tamarack_load_news_read_total"
                        : "tamarack_load_news_unreadable_total")
      .add();
}

} // namespace tamarack::daemon
