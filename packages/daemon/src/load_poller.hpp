// Polls the endpoints of the own zone for their load. Each endpoint is polled
// by one daemon of the zone, which gossips the load to the other daemons.
#pragma once

#include "config_service.hpp"
#include "member_service.hpp"
#include "request_scheduler.hpp"

namespace tamarack::daemon {

// Runs ThreadCount threads, each of which polls a share of the endpoints about
// once a second.
class load_poller {
public:
  load_poller(std::string Zone, config_service &Config,
              request_scheduler &Scheduler, member_service &Members,
              endpoint_client &EndpointClient, int ThreadCount);
  ~load_poller();

  void start();
  void stop();

private:
  void pollLoop(int ThreadIndex);
  void pollEndpoint(const config::endpoint &Endpoint);

  std::string Zone;
  config_service &Config;
  request_scheduler &Scheduler;
  member_service &Members;
  endpoint_client &EndpointClient;
  int ThreadCount;
  std::mutex Lock; // Guards Stopping.
  std::condition_variable StopCondition;
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

} // namespace tamarack::daemon
