// Connects packages/forwarding to the load balancer, the log and the sockets.
#include "forwarding_link.hpp"

namespace tamarack::daemon {

namespace {

// From a refused connection, while others are refused too, until it is known
// whether all are.
constexpr int ConfirmMs = 250;

} // namespace

std::vector<forwarding::endpoint_path>
listed_paths::pathsOf(std::string_view Service) const {
  std::vector<forwarding::endpoint_path> Paths;
  for (const dispatch::endpoint_entry *Entry :
       LoadBalancer.openEndpoints(Service))
    Paths.push_back({Entry->Id, Entry->Address});
  return Paths;
}

bool listed_paths::isOutOfReach(const relay::call &Call, time_ms Now) const {
  const dispatch::placement_survey Survey = LoadBalancer.survey(Call, Now);
  const int Unreachable = Survey.Withheld[static_cast<std::size_t>(
      dispatch::withheld_reason::Unreachable)];
  return Unreachable + Survey.Avoided > 0 && Survey.Available == 0 &&
         Survey.Busy == 0;
}

void forwarding_log::onCutOff(std::string_view Service, std::size_t Unreached) {
  Metrics.counterOf("tamarack_services_cut_off_total").add();
  Log.write("service_cut_off",
            {{"service", Service},
             {"unreached", static_cast<std::int64_t>(Unreached)}});
}

void forwarding_log::onReached(std::string_view Service, time_ms CutOffMs) {
  Log.write("service_reached",
            {{"service", Service}, {"cut_off_ms", CutOffMs}});
}

void path_aware_prober::probe(std::string_view Address, int DelayMs,
                              handler Handler) {
  const dispatch::endpoint_entry *Entry =
      LoadBalancer.findEntryByAddress(Address);
  if (Entry == nullptr)
    return Inner.probe(Address, DelayMs, std::move(Handler));
  Inner.probe(Address, DelayMs,
              [this, Endpoint = *Entry,
               Handler = std::move(Handler)](bool IsDead, time_ms Now) {
                if (!IsDead)
                  return Handler(false, Now);
                Paths.onUnreached(Endpoint.Service, Endpoint.Id, Now);
                if (!Paths.isCutOff(Endpoint.Service))
                  return Handler(true, Now);
                confirm(Endpoint, Handler);
              });
}

void path_aware_prober::confirm(const dispatch::endpoint_entry &Endpoint,
                                handler Handler) {
  const std::shared_ptr<edge::net::steady_timer> Timer =
      std::make_shared<edge::net::steady_timer>(Context);
  Timer->expires_after(std::chrono::milliseconds(ConfirmMs));
  Timer->async_wait([this, Timer, Service = Endpoint.Service,
                     Handler = std::move(Handler)](const edge::error_code &) {
    Handler(!Paths.isCutOff(Service), Clock.monotonic());
  });
}

} // namespace tamarack::daemon
