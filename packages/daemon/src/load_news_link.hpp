// News of load on the messages about reservations.
#pragma once

#include "pool_link.hpp"
#include "tamarack/dispatch.hpp"
#include "tamarack/report.hpp"

namespace tamarack::daemon {

class load_news_link final : public pool_attachment {
public:
  load_news_link(dispatch::load_balancer &LoadBalancer, const clock &Clock,
                 report::metrics_registry &Metrics)
      : LoadBalancer(LoadBalancer), Clock(Clock), Metrics(Metrics) {}

  std::string compose(std::string_view Instance) override;
  void read(std::string_view Instance, std::string_view Bytes) override;

private:
  dispatch::load_balancer &LoadBalancer;
  const clock &Clock;
  report::metrics_registry &Metrics;
};

} // namespace tamarack::daemon
