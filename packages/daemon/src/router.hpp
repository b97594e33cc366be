// Composition of a router instance: one thread, one event loop.
#pragma once

#include "logged_placement.hpp"
#include "router_settings.hpp"
#include "tamarack/adapters.hpp"
#include "tamarack/dispatch.hpp"
#include "tamarack/edge.hpp"
#include "tamarack/follow.hpp"
#include "tamarack/grants.hpp"
#include "tamarack/peers.hpp"
#include "tamarack/platform.hpp"
#include "tamarack/report.hpp"

#include <memory>

namespace tamarack::daemon {

class router final : private edge::front_observer,
                     private relay::token_budget,
                     private peers::path_listener {
public:
  explicit router(const router_settings &Settings);
  ~router() override;

  // Serves until a signal asks to stop and all is handed over.
  void run();
  // Reads the settings again on SIGHUP; may throw settings_error.
  std::function<router_settings()> Reload;

private:
  // Each topic has a listener of its own.
  class configuration_listener;
  class endpoint_listener;
  class grant_listener;

  // edge::front_observer
  void onCall(const relay::call &Call) override;
  void onRefused(const edge::decoded_request &Request) override;
  void onDone(const relay::call &Call, const relay::exchange_report &Report,
              time_ms Now) override;

  // relay::token_budget: the grants, and a write at once when money is short.
  relay::reserve_result reserve(std::string_view Account,
                                std::int64_t Bound) override;
  bool settle(std::string_view Account, std::int64_t Bound,
              std::int64_t Used) override;

  void logMoneyRefusal(const relay::call &Call);
  // peers::path_listener
  void onPath(bool Direct) override;

  std::vector<std::string> peerAddresses() const;
  void adopt(std::shared_ptr<const relay::route_table> Table);
  void refreshEndpoints();
  void tick();
  void scheduleTick();
  void writeGrants();
  void fenceMarks();
  void readFormerMark(bool Fenced);
  void recordStart(std::optional<grants::mark_record> Former);
  std::string startKey() const;
  void writeMark();
  void onMarkWritten(store_status Status);
  void onGrantWritten(std::uint64_t Number, store_status Status);
  void waitForSignals();
  void reload();
  void beginStop();
  void continueStop();
  bool isReady() const { return Table && !Stopping; }
  edge::response_message readyAnswer() const;
  edge::response_message metricsAnswer();

  router_settings Settings;
  adapters::system_clock Clock;
  adapters::system_random Random;
  edge::net::io_context Context{1};
  adapters::event_log Log;
  report::metrics_registry Metrics;
  platform::platform_store DirectStore;
  peers::relayed_store Store;
  peers::peer_service PeerService;
  dispatch::dispatcher Dispatcher;
  logged_placement Placement;
  platform::platform_codec Codec;
  grants::grant_holder Grants;
  follow::endpoint_directory Directory;
  std::unique_ptr<configuration_listener> ConfigurationListener;
  std::unique_ptr<endpoint_listener> EndpointListener;
  std::unique_ptr<grant_listener> GrantListener;
  follow::topic_follower ConfigurationFollower;
  follow::topic_follower EndpointFollower;
  follow::topic_follower GrantFollower;
  edge::endpoint_pool Pool;
  edge::front_server Front;
  edge::plain_server Ready;
  edge::plain_server PeerServer;
  edge::plain_server MetricsServer;
  edge::net::signal_set Signals;
  edge::net::steady_timer Timer;
  std::shared_ptr<const relay::route_table> Table;
  store_writer MarkWriter;
  store_writer GrantWriter;
  bool MarkReadUnderWay = false;
  bool MarkKnown = false;
  time_ms MarkUncertainAt = -1; // -1: the last outcome is known.
  bool GrantWriteUnderWay = false;
  time_ms NextGrantWrite = 0;
  bool Stopping = false;
  bool Accepting = true;
  time_ms StopAt = 0;
};

} // namespace tamarack::daemon
