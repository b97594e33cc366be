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
  std::string FrontendAddress; // Callers, host:port.
  std::string ReadyAddress;    // Readiness, host:port.
  std::string PeerAddress;     // Other instances, host:port.
  std::vector<std::string>
      PeerAddresses; // Of other instances, some may be gone.
  std::string MetricsAddress;
  std::string StoreAddress;
  dispatch::repeat_limits RetryLimits;
  int ShutdownGraceMs = 8'000;    // From the request to stop to the forced end.
  int MaxLogLinesPerSecond = 200; // Per event and second.
};

// False if --help was asked for and printed. Throws adapters::settings_error.
bool readRouterSettings(int Count, const char *const *Arguments,
                        router_settings &Settings);

} // namespace tamarack::daemon
