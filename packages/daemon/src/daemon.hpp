// Composition of one tamarackd: makes all parts, runs them, takes them down.
#pragma once

#include "daemon_settings.hpp"
#include "http_front.hpp"
#include "load_poller.hpp"

namespace tamarack::daemon {

class tamarack_daemon final : private ledger_stream_provider,
                              private adapters::peer_handler,
                              private admin_pages {
public:
  explicit tamarack_daemon(const daemon_settings &Settings);
  ~tamarack_daemon() override;

  void start();
  // Stops being ready, finishes what is in flight, bills, hands grants back.
  void drainAndStop();

private:
  ledger_stream &getOrCreateStream(std::uint32_t Stream) override;
  fleet::peer_answer handle(const fleet::peer_request &Request) override;
  std::string statusJson() override;
  std::string burnJson() override;
  std::string metricsText() override;
  bool isReady() override;

  fleet::member_row selfRow() const;
  std::vector<ledger_stream *> streams();
  void maintainLoop();
  void updateGauges();

  const daemon_settings Settings;
  adapters::system_clock Clock; // Before Self, which is made from both.
  adapters::system_random Random;
  const money::incarnation_id Self;
  adapters::component_logger Part;
  report::metrics_registry Metrics;
  std::mutex BurnLock; // Guards Burn; nothing else is taken under it.
  report::burn_tracker Burn;
  adapters::peer_traffic Traffic;
  adapters::http_client Endpoints;
  adapters::platform_log Log;
  adapters::platform_instance_list List;
  adapters::nng_client Peers;
  std::unique_ptr<money::grant_policy> Policy;
  std::unique_ptr<routing::balancing_policy> Choice;
  config_service Config;
  request_scheduler Dispatcher;
  member_service Members;
  std::mutex LedgersLock; // Guards Ledgers; taken before any stream's lock.
  std::map<std::uint32_t, std::unique_ptr<ledger_stream>> Ledgers;
  budget_client Money;
  run_ledger Runs;
  call_services Services;
  load_poller Poller;
  std::atomic<bool> Leaving = false;
  std::atomic<bool> Stopping = false;
  std::thread Maintainer;
  std::unique_ptr<adapters::nng_server> PeerServer;
  std::unique_ptr<http_front> Front;
};

} // namespace tamarack::daemon
