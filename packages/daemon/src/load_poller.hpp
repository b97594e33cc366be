// Asks endpoints of the own zone for their load. The daemons of a zone share
// the endpoints out and tell each other.
#pragma once

#include "config_service.hpp"
#include "member_service.hpp"
#include "request_scheduler.hpp"

namespace tamarack::daemon {

class load_poller {
public:
  load_poller(std::string Zone, config_service &Config,
              request_scheduler &Dispatcher, member_service &Members,
              endpoint_client &Endpoints, int Threads);
  ~load_poller();

  void start();
  void stop();

private:
  void pollLoop(int Index);
  void poll(const config::endpoint &Endpoint);

  std::string Zone;
  config_service &Config;
  request_scheduler &Dispatcher;
  member_service &Members;
  endpoint_client &Endpoints;
  int Threads;
  std::mutex Lock; // Guards Stopping.
  std::condition_variable Wake;
  bool Stopping = false;
  std::vector<std::thread> Running;
};

} // namespace tamarack::daemon
