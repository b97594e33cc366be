// Settings of a router instance.
#pragma once

#include "tamarack/adapters.hpp"
#include "tamarack/dispatch.hpp"

#include <string>
#include <vector>

namespace tamarack::daemon {

struct router_settings {
  std::string Instance;        // Unique name.
  std::string Zone;            // Availability zone.
  std::string FrontendAddress; // host:port that serves callers.
  std::string ReadyAddress;    // host:port of the readiness check.
  std::string PeerAddress;     // host:port that serves other instances.
  std::string ForwardAddress;  // host:port for the calls that they forward,
                               // empty to neither take nor forward any.
  std::vector<std::string> PeerAddresses; // Other instances, may be gone.
  std::string MetricsAddress;             // host:port that serves metrics.
  std::string StoreAddress;               // host:port of the platform's store.
  dispatch::zone_regions ZoneRegions;     // Of all zones with endpoints.
  dispatch::retry_limits RetryLimits;
  bool IsEvenLoad = false; // See load_balancer::setEvenLoad.
  // An endpoint serves at least so long after the list says that it leaves.
  int LeaveNoticeMs = 2'000;
  int ShutdownGraceMs = 8'000;    // From the stop signal to the forced stop.
  int MaxLogLinesPerSecond = 200; // For each event.
  // The process is ended if it uses more.
  std::size_t MemoryLimitBytes = 110u << 20;
  std::size_t MaxDescriptors = 4'096; // Open at a time.
  // Of this machine's link in each direction, 0 if it is not known.
  double LinkBytesPerS = 0;
  // Unfinished requests that are slower give way once the memory is full.
  double SlowRequestBytesPerS = 16'384;
};

// False if --help was given and has been printed. Throws
// adapters::settings_error.
bool readRouterSettings(int Count, const char *const *Arguments,
                        router_settings &Settings);

} // namespace tamarack::daemon
