// Creates, connects, runs and stops the parts of one tamarackd.
#pragma once

#include "daemon_settings.hpp"
#include "http_frontend.hpp"
#include "load_poller.hpp"

namespace tamarack::daemon {

// One daemon of the fleet. Created, started and stopped by the main thread.
class tamarack_daemon final : private ledger_stream_provider,
                              private adapters::peer_handler,
                              private admin_pages {
public:
  explicit tamarack_daemon(const daemon_settings &Settings);
  ~tamarack_daemon() override;

  void start();
  // Graceful shutdown: reports not ready, waits for requests in flight, and
  // returns the grants.
  void drainAndStop();

private:
  ledger_stream &getOrCreateStream(std::uint32_t Stream) override;
  fleet::peer_response handle(const fleet::peer_request &Request) override;
  std::string statusJson() override;
  std::string burnJson() override;
  std::string metricsText() override;
  bool isReady() override;

  fleet::member_row selfMember() const;
  std::vector<ledger_stream *> createdStreams();
  void maintenanceLoop();
  void updateGauges();

  const daemon_settings Settings;
  // Clock and Random come first because SelfIncarnation is made from them.
  adapters::system_clock Clock;
  adapters::system_random Random;
  const ledger::incarnation_id SelfIncarnation;
  adapters::component_logger Logger;
  report::metrics_registry Metrics;
  // Guards BurnTracker. No other lock is taken while BurnTrackerLock is held.
  std::mutex BurnTrackerLock;
  report::burn_tracker BurnTracker;
  adapters::peer_traffic PeerTraffic;
  adapters::http_client EndpointClient;
  adapters::platform_log Log;
  adapters::platform_instance_list InstanceList;
  adapters::nng_client PeerClient;
  std::unique_ptr<money::grant_policy> GrantPolicy;
  std::unique_ptr<routing::balancing_policy> BalancingPolicy;
  config_service Config;
  request_scheduler Scheduler;
  member_service Members;
  // Guards LedgerStreams. Never taken while ledger_stream::Lock is held.
  std::mutex LedgerStreamsLock;
  // By stream number.
  std::map<std::uint32_t, std::unique_ptr<ledger_stream>> LedgerStreams;
  budget_client BudgetClient;
  locked_execution_registry ExecutionRegistry;
  call_services Services;
  load_poller LoadPoller;
  std::atomic<bool> IsLeaving = false;
  std::atomic<bool> IsStopping = false;
  std::thread MaintenanceThread;
  std::unique_ptr<adapters::nng_server> PeerServer;
  std::unique_ptr<http_frontend> Frontend;
};

} // namespace tamarack::daemon
