// Whether this instance reaches the endpoints of a service.
#include "tamarack/forwarding.hpp"

#include <algorithm>

namespace tamarack::forwarding {

path_monitor::path_monitor(endpoint_paths &Paths, path_prober &Prober,
                           random_source &Random,
                           path_monitor_listener &Listener)
    : Paths(Paths), Prober(Prober), Random(Random), Listener(Listener) {}

void path_monitor::onUnreached(std::string_view Service,
                               std::string_view Endpoint, time_ms Now) {
  service_state &State = Services[std::string(Service)];
  State.Unreached.insert_or_assign(std::string(Endpoint), Now);
  if (State.CutOffAt >= 0)
    return;
  std::erase_if(State.Unreached, [Now](const auto &Item) {
    return Now - Item.second > UnreachedForMs;
  });
  const std::size_t Known = Paths.pathsOf(Service).size();
  if (State.Unreached.size() <
      std::min(MinUnreached, std::max<std::size_t>(1, Known)))
    return;
  State.CutOffAt = Now;
  State.NextProbeAt = Now;
  Listener.onCutOff(Service, State.Unreached.size());
}

void path_monitor::onReached(std::string_view Service, time_ms Now) {
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return;
  if (Found->second.CutOffAt >= 0)
    Listener.onReached(Service, Now - Found->second.CutOffAt);
  Services.erase(Found);
}

bool path_monitor::isCutOff(std::string_view Service) const {
  const auto Found = Services.find(Service);
  return Found != Services.end() && Found->second.CutOffAt >= 0;
}

time_ms path_monitor::cutOffMs(std::string_view Service, time_ms Now) const {
  const auto Found = Services.find(Service);
  const bool IsOff = Found != Services.end() && Found->second.CutOffAt >= 0;
  return IsOff ? Now - Found->second.CutOffAt : 0;
}

std::size_t path_monitor::unreachedAmong(std::string_view Service,
                                         const std::set<std::string> &Tried,
                                         time_ms Now) const {
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return 0;
  return static_cast<std::size_t>(std::count_if(
      Found->second.Unreached.begin(), Found->second.Unreached.end(),
      [&Tried, Now](const auto &Item) {
        return Now - Item.second <= UnreachedForMs &&
               Tried.contains(Item.first);
      }));
}

void path_monitor::tick(time_ms Now) {
  for (auto &[Service, State] : Services)
    if (State.CutOffAt >= 0 && State.NextProbeAt <= Now)
      startProbes(Service, State, Now);
}

void path_monitor::startProbes(const std::string &Service, service_state &State,
                               time_ms Now) {
  State.NextProbeAt = Now + ProbeIntervalMs;
  const std::vector<endpoint_path> Known = Paths.pathsOf(Service);
  for (std::size_t Count = 0; Count < std::min(ProbesAtOnce, Known.size());
       ++Count) {
    const endpoint_path &Path = Known[Random.next() % Known.size()];
    Prober.probe(Path.Address, [this, Service](bool IsReached, time_ms At) {
      if (IsReached)
        onReached(Service, At);
    });
  }
}

} // namespace tamarack::forwarding
