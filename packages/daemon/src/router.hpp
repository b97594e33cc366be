// A router instance: connects the frontend, the load balancer, the grants and
// the store. Everything runs on one thread with one event loop.
#pragma once

#include "availability_log.hpp"
#include "crash_report_exchange.hpp"
#include "endpoint_probe.hpp"
#include "forwarding_link.hpp"
#include "lag_log.hpp"
#include "limit_log.hpp"
#include "limit_report_exchange.hpp"
#include "load_news_link.hpp"
#include "logged_placement.hpp"
#include "pool_link.hpp"
#include "quarantine_log.hpp"
#include "router_settings.hpp"
#include "tamarack/adapters.hpp"
#include "tamarack/dispatch.hpp"
#include "tamarack/edge.hpp"
#include "tamarack/follow.hpp"
#include "tamarack/forwarding.hpp"
#include "tamarack/freshness.hpp"
#include "tamarack/grants.hpp"
#include "tamarack/memory.hpp"
#include "tamarack/peers.hpp"
#include "tamarack/platform.hpp"
#include "tamarack/pools.hpp"
#include "tamarack/report.hpp"
#include "tamarack/streams.hpp"

#include <memory>
#include <unordered_map>

namespace tamarack::daemon {

class router final : private edge::frontend_observer,
                     private pools::token_source,
                     private pools::pool_directory,
                     private pools::pool_listener,
                     private peers::store_path_listener,
                     private peers::peer_service_listener,
                     private platform::store_call_listener,
                     private platform::configuration_freshness,
                     private dispatch::endpoint_statement_listener,
                     private streams::listed_versions,
                     private freshness::list_reads,
                     private store_era_listener,
                     private memory::memory_listener,
                     private streams::origin_listener {
public:
  explicit router(const router_settings &Settings);
  ~router() override;

  // Serves until a signal requests a stop and the shutdown is complete.
  void run();
  // Called on SIGHUP to read the settings again; may throw settings_error. The
  // signal is ignored if this is empty.
  std::function<router_settings()> LoadSettings;

private:
  // Listeners, one for each topic of the store.
  class configuration_listener;
  class endpoint_listener;
  class grant_listener;

  // edge::frontend_observer
  void onCallAccepted(const relay::call &Call) override;
  void onRequestRefused(const edge::decoded_request &Request) override;
  void onCallDone(const relay::call &Call, const relay::exchange_report &Report,
                  time_ms Now) override;
  void onRequestWhileDraining(const edge::drain_arrival &Request) override;
  void onResponseBroken(const relay::call &Call,
                        const relay::endpoint_choice &Source,
                        responses::defect Why) override;
  void onAttemptDropped(const relay::call &Call,
                        const relay::endpoint_choice &Target,
                        const edge::dropped_attempt &Attempt) override;
  void onAttemptSent(const relay::call &Call,
                     const relay::endpoint_choice &Target) override;

  // pools::token_source: the grants of this instance. If those are short, the
  // watermark and the grant record are written without waiting for the next
  // tick.
  relay::reserve_result reserve(std::string_view Account,
                                std::int64_t Bound) override;
  bool reserveHeld(std::string_view Account, std::int64_t Bound) override;
  void settle(std::string_view Account, std::int64_t Bound,
              std::int64_t Used) override;
  bool isLimited(std::string_view Account) const override;

  // pools::pool_directory
  const std::vector<grants::pool_member> &
  candidatesFor(std::string_view Account) const override;
  bool isActive(std::string_view Instance) const override;

  // pools::pool_listener
  void onBudgetChanged() override;
  void onRequestQueued() override;
  void onHolderAvoided(std::string_view Holder, bool Responded,
                       int AvoidMs) override;
  void onAnswered(relay::reserve_result Result, time_ms WaitedMs) override;
  void onSettlementDropped(std::string_view Holder) override;

  // peers::store_path_listener
  void onPathChanged(bool Direct) override;

  // peers::peer_service_listener
  void onPeerCallServed(const peers::served_call &Call) override;

  // platform::store_call_listener
  void onStoreCall(const platform::store_call_report &Report) override;

  // platform::configuration_freshness
  bool isConfigurationCurrent() const override;

  // dispatch::endpoint_statement_listener
  void onLeavingStated(const relay::endpoint_choice &Source,
                       time_ms Now) override;
  void onPauseStated(const relay::endpoint_choice &Source, int DurationMs,
                     time_ms Now) override;
  void onStatementUnreadable(const relay::endpoint_choice &Source,
                             std::string_view Field,
                             std::string_view Text) override;

  // streams::listed_versions
  std::optional<streams::listed_version>
  find(std::string_view Endpoint) const override;
  time_ms knownAsOf() const override;

  // freshness::list_reads
  time_ms listKnownAsOf() const override;
  time_ms readUnansweredSince() const override;
  time_ms failedReadStartedAt() const override;

  // store_era_listener
  void onEraChanged(std::uint64_t Before, std::uint64_t Era) override;
  void onFormerEra(std::uint64_t Stated, std::uint64_t Era) override;
  void onEraMissing(std::string_view Text) override;

  // memory::memory_listener
  void onMemoryFreed() override;

  // streams::origin_listener
  void onOriginsRead() override;
  void onSnapshotRead(const follow::snapshot_end &End) override;
  void onUnreadableRecord(std::string_view Key) override;

  void logBudgetRefusal(const relay::call &Call);
  void logTakeUp(const relay::call &Call, const relay::exchange_report &Report);
  // Instances that announced themselves and those that the settings name,
  // without this one.
  std::vector<std::string> peerAddresses() const;
  // ReceivedAt, DecodedAt: monotonic times before and after decoding.
  void activateConfiguration(std::shared_ptr<const relay::route_table> NewTable,
                             const keyed_record &Record, time_ms ReceivedAt,
                             time_ms DecodedAt);
  void refreshEndpoints();
  void refreshEvacuations();
  void refreshForwardingInstances();
  void countForwardedCall(const relay::call &Call, int Change);
  // Names of the other instances that have not left.
  std::vector<std::string> otherInstances() const;
  void tick();
  void scheduleTick();
  // The event loop did nothing else for DelayMs.
  void recordLoopDelay(time_ms DelayMs);
  void recordBacklog(time_ms Now);
  // While calls are refused because the link is full, nothing else shows that
  // it no longer is.
  void probeFullLink(time_ms Now);
  // How old what is known of a topic may be, -1 if nothing is.
  time_ms ageOf(const follow::topic_follower &Follower) const;
  void recordConfigurationRead();
  void recordSnapshot(store_topic Topic, const follow::snapshot_end &End);
  void setTopicAge(std::string_view Topic,
                   const follow::topic_follower &Follower);
  void writeGrants();
  void logPools();
  void sendReservations();
  void schedulePoolTimer();
  void writeLostRecords(time_ms Now);
  void fenceWatermarkWriter();
  void readPreviousWatermark(bool IsFenced);
  void onWatermarkRecords(const keyed_page &Page);
  void onWatermarksRead(const follow::snapshot_end &End, bool IsFenced);
  void recordIncarnationStart(std::optional<grants::watermark_record> Previous);
  std::string incarnationStartKey() const;
  void writeWatermark();
  void onWatermarkWritten(store_status Status);
  void onGrantWritten(std::uint64_t Number, store_status Status);
  void waitForSignals();
  void reloadSettings();
  void beginStop();
  void continueStop();
  // Other instances have a newer configuration in force than this one.
  bool isBehindOthers() const;
  bool isReady();
  edge::response_message readinessResponse();
  edge::response_message metricsResponse();
  void setCrowdMetrics();

  // After the last call, for its tokens to be settled at other instances.
  static constexpr int LastSettlementsMs = 500;

  router_settings Settings;
  adapters::system_clock Clock;
  adapters::system_random Random;
  memory::memory_budget Memory; // Outlives what Context still holds.
  edge::net::io_context Context{1};
  adapters::event_log Log;
  report::metrics_registry Metrics;
  edge::readiness_probe ReadinessProbe;
  lag_log LagLog;
  freshness::backlog_monitor Backlog;
  store_era StoreEra{*this};
  platform::platform_store DirectStore;
  peers::failover_store Store; // DirectStore, or a peer if unavailable.
  // Store calls made on behalf of peers, on connections of their own.
  platform::platform_store PeerCallStore;
  peers::shared_read_store SharedReads;
  peers::peer_store_service PeerService;
  limit_log LimitLog;
  limits::endpoint_limiter Limiter;
  availability_log AvailabilityLog;
  dispatch::load_balancer LoadBalancer;
  load_news_link LoadNews;
  logged_placement Placement;
  limits::limit_gate LimitGate;
  limit_report_exchange LimitReports;
  quarantine::crash_quarantine Quarantine;
  quarantine_log QuarantineLog;
  tcp_endpoint_prober EndpointProber;
  listed_endpoints ListedEndpoints;
  listed_paths ListedPaths;
  forwarding_log ForwardingLog;
  forwarding::path_monitor PathMonitor;
  path_aware_prober CrashProber;
  quarantine::crash_guard CrashGuard;
  crash_report_exchange CrashReports;
  streams::version_gate VersionGate;
  freshness::list_freshness ListFreshness;
  freshness::freshness_gate FreshnessGate;
  forwarding::instance_selector ForwardingInstances;
  forwarding::forwarding_gate ForwardingGate;
  dispatch::shutdown_gate ShutdownGate;
  platform::platform_codec Codec;
  std::uint64_t Incarnation; // Of this process, never 0.
  grants::grant_holder Grants;
  pools::pool_server PoolServer;
  pool_link PoolLink;
  pools::pooled_budget Budget;
  follow::report_writer LostRecords; // See grants::lostRecordKey.
  streams::origin_exchange StreamOrigins;
  follow::endpoint_directory Directory;
  follow::zone_evacuations Evacuations;
  std::unique_ptr<configuration_listener> ConfigurationListener;
  std::unique_ptr<endpoint_listener> EndpointListener;
  std::unique_ptr<grant_listener> GrantListener;
  follow::topic_follower ConfigurationFollower;
  follow::topic_follower EndpointFollower;
  follow::topic_follower GrantFollower;
  edge::connection_pool ConnectionPool;
  edge::frontend_server Frontend;
  edge::simple_http_server ReadinessServer;
  edge::simple_http_server PeerServer;
  edge::simple_http_server MetricsServer;
  edge::net::signal_set SignalSet;
  edge::net::steady_timer TickTimer;
  edge::net::steady_timer PoolTimer;
  int ForwardedCalls = 0; // Of other instances, that this one serves.
  bool IsPoolSendPosted = false;
  bool IsMemoryWakePosted = false;
  // Age of the list of endpoints when a call in progress was last sent, by
  // relay::call::Number.
  std::unordered_map<std::uint64_t, time_ms> ListAgeAtSend;
  time_ms NextLinkProbeAt = 0;          // Monotonic.
  time_ms LastQuickLinkProbeAt = -1;    // By sinceBoot, -1 if never.
  std::uint64_t StoreReceivedBytes = 0; // Bodies of responses of the store.
  std::uint64_t LoggedPools = 0;        // Version of the members, see logPools.
  dispatch::task_times TickTimes;
  time_ms TickStartedAt = 0; // Monotonic, of the last tick.
  std::shared_ptr<const relay::route_table> RouteTable;
  bool IsNewestVersionUnreadable = false; // The table is an older one.
  time_ms EndpointsKnownAsOf = -1; // See streams::listed_versions::knownAsOf.
  store_writer WatermarkWriter;    // Writes under Settings.Instance.
  store_writer GrantWriter;        // Writes under Settings.Instance.
  bool IsWatermarkRecoveryInProgress = false; // A store call is in flight.
  // What the read in progress has found of the previous incarnation: its last
  // watermark, and the highest epoch.
  std::optional<grants::watermark_record> PreviousWatermark;
  std::uint64_t PreviousEpoch = 0;
  bool IsPreviousWatermarkKnown = false;
  // Monotonic time of a failed write, else -1. The next watermark is written
  // only after the store has answered a later read of the grants.
  time_ms WatermarkWriteFailedAt = -1;
  bool IsGrantWriteInProgress = false;
  time_ms NextGrantWriteAt = 0; // Monotonic.
  time_ms StartedAt;            // Monotonic.
  bool WasReady = false;        // At least once.
  bool IsStopping = false;
  bool IsAccepting = true;     // New connections of callers.
  bool HasGivenUp = false;     // The forced stop has ended all calls.
  time_ms StopRequestedAt = 0; // Monotonic, when the signal came.
  dispatch::shutdown_times StopTimes;
  // Monotonic, when the last connection of a caller had ended; -1 before.
  time_ms IdleSince = -1;
};

} // namespace tamarack::daemon
