// A router instance: listeners, main loop and shutdown. What endpoints state is
// handled in router_endpoints.cpp, reports are in router_reports.cpp, budgets
// in router_grants.cpp.
//
// Sections:
//   listeners
//   construction and main loop
//   configuration and peers
//   signals and shutdown
#include "router.hpp"

#include <csignal>

namespace tamarack::daemon {

namespace {

constexpr int TickMs = 100;
constexpr int ConfigurationLongPollMs = 1'000; // Longest wait for a version.
// An older configuration may lack routes that callers have been told of. Longer
// than a long poll, less than the time until a version must be in force.
constexpr int MaxConfigurationAgeMs = 1'500;
// Longest wait of a new process for a configuration that others have in force.
constexpr int MaxConfigurationWaitMs = 10'000;
// Of calls for peers. A peer that has waited longer asks another instance.
constexpr int MaxQueuedPeerCallMs = 400;

// Pause between reads, long poll, pause after a failed read (all ms), and
// whether only the newest version of a key matters.
constexpr follow::follower_settings ConfigurationReads{
    0, ConfigurationLongPollMs, 250, true};
constexpr follow::follower_settings GrantReads{1'000, 0, 250};
// Endpoints repeat their entries: those that a snapshot lacks are in the list
// moments later.
constexpr follow::follower_settings EndpointReads{
    .PollIntervalMs = 600, .RetryDelayMs = 150, .AcceptStuckSnapshot = true};

// For a request to reach its endpoint after the list was looked at.
constexpr int SendMarginMs = 500;

// Of the list of endpoints, to decide where calls go. Reads that go well never
// let it get older than their interval, so no notice can be shorter.
int maxListAgeMs(int LeaveNoticeMs) {
  return std::max(LeaveNoticeMs,
                  EndpointReads.PollIntervalMs + 2 * SendMarginMs) -
         SendMarginMs;
}

// Of the memory of the process, what it may hold for others. The rest is for
// the program itself and for what such bytes take beyond their number.
constexpr double HeldMemoryShare = 0.375;

std::size_t heldBytesOf(std::size_t MemoryLimitBytes) {
  return static_cast<std::size_t>(HeldMemoryShare *
                                  static_cast<double>(MemoryLimitBytes));
}

// Of what may be held, what calls of other instances take.
constexpr double ForwardedMemoryShare = 0.25;

int maxForwardedCalls(std::size_t MemoryLimitBytes) {
  const double Bytes =
      ForwardedMemoryShare * static_cast<double>(heldBytesOf(MemoryLimitBytes));
  return static_cast<int>(Bytes / static_cast<double>(edge::CallBytes));
}

// Of what may be held, what callers' connections take in any case.
constexpr double ConnectionMemoryShare = 0.5;
// Of the descriptors of the process. The rest is for files and for connections
// to endpoints, the store and other instances.
constexpr double CallerDescriptorShare = 0.7;

edge::frontend_settings frontendSettings(const router_settings &Settings) {
  edge::frontend_settings Result;
  const double HeldBytes =
      static_cast<double>(heldBytesOf(Settings.MemoryLimitBytes));
  const double MostByMemory = ConnectionMemoryShare * HeldBytes /
                              static_cast<double>(edge::SessionBytes);
  const double MostByDescriptors =
      CallerDescriptorShare * static_cast<double>(Settings.MaxDescriptors);
  Result.MaxSessions =
      std::min({Result.MaxSessions, static_cast<std::size_t>(MostByMemory),
                static_cast<std::size_t>(MostByDescriptors)});
  Result.SlowRequests.MinBytesPerSecond = Settings.SlowRequestBytesPerS;
  return Result;
}

} // namespace

//---------------------------------------------------------------------------
// Listeners
//---------------------------------------------------------------------------

class router::configuration_listener final : public follow::topic_listener {
public:
  explicit configuration_listener(router &Router) : Router(Router) {}

  void onRecord(const keyed_record &Record) override {
    if (Record.Key != platform::ConfigurationKey)
      return readEvacuation(Record);
    if (Record.Removed)
      return;
    const time_ms ReceivedAt = Router.Clock.monotonic();
    try {
      const std::shared_ptr<const relay::route_table> Table =
          platform::decodeConfiguration(Record.Value);
      Router.activateConfiguration(Table, Record, ReceivedAt,
                                   Router.Clock.monotonic());
      Router.IsNewestVersionUnreadable = false;
    } catch (const platform::document_error &Error) {
      Router.IsNewestVersionUnreadable = true;
      Router.Metrics.counterOf("tamarack_unreadable_records_total").add();
      Router.Log.write("configuration_unreadable",
                       {{"offset", static_cast<std::int64_t>(Record.Offset)},
                        {"error", std::string_view(Error.what())}});
    }
  }
  void onSnapshotBegin() override { Router.Evacuations.beginSnapshot(); }
  void onSnapshotRead(const follow::snapshot_end &End) override {
    Router.recordSnapshot(store_topic::Configuration, End);
    if (End.Status == store_status::Ok)
      Router.Evacuations.endSnapshot(End.NextOffset, Router.Clock.monotonic());
    else
      Router.Evacuations.abortSnapshot();
    Router.refreshEvacuations();
  }
  void onCaughtUp(std::uint64_t) override { Router.refreshEvacuations(); }
  void onStoreResponse() override {
    Router.recordConfigurationRead();
    if (IsUnavailable)
      Router.Log.write("store_regained", {{"topic", "configuration"}});
    IsUnavailable = false;
  }
  void onStoreUnavailable() override {
    if (!IsUnavailable)
      Router.Log.write("store_lost", {{"topic", "configuration"}});
    IsUnavailable = true;
  }

private:
  // Only the key counts, whatever the value is.
  void readEvacuation(const keyed_record &Record) {
    const time_ms Now = Router.Clock.monotonic();
    try {
      const std::optional<std::string_view> Zone =
          platform::decodeEvacuatedZone(Record.Key);
      if (!Zone)
        return;
      if (Record.Removed)
        return Router.Evacuations.onRemoved(*Zone, Record.Offset);
      if (!Router.Evacuations.onRecord(*Zone, Record.Offset, Now))
        logUnreadable(Record, "too many zones");
    } catch (const platform::document_error &Error) {
      logUnreadable(Record, Error.what());
    }
  }
  void logUnreadable(const keyed_record &Record, std::string_view Error) {
    Router.Metrics.counterOf("tamarack_unreadable_records_total").add();
    Router.Log.write("evacuation_unreadable",
                     {{"offset", static_cast<std::int64_t>(Record.Offset)},
                      {"error", Error}});
  }

  router &Router;
  bool IsUnavailable = false;
};

class router::endpoint_listener final : public follow::topic_listener {
public:
  explicit endpoint_listener(router &Router) : Router(Router) {}

  void onRecord(const keyed_record &Record) override {
    const time_ms Now = Router.Clock.monotonic();
    if (Record.Removed) {
      Router.Log.write("endpoint_gone",
                       {{"endpoint", std::string_view(Record.Key)}});
      return Router.Directory.onRemoved(Record.Key, Now);
    }
    try {
      const dispatch::endpoint_entry Entry =
          platform::decodeEndpointEntry(Record.Key, Record.Value);
      if (Router.Directory.onEntry(Entry) && Entry.Leaving)
        Router.Log.write("endpoint_leaving",
                         {{"endpoint", std::string_view(Entry.Id)},
                          {"from", "list"},
                          {"sequence", Entry.Sequence}});
    } catch (const platform::document_error &Error) {
      Router.Metrics.counterOf("tamarack_unreadable_records_total").add();
      Router.Log.write("endpoint_unreadable",
                       {{"endpoint", std::string_view(Record.Key)},
                        {"error", std::string_view(Error.what())}});
    }
  }
  void onSnapshotBegin() override { Router.Directory.beginSnapshot(); }
  void onSnapshotEnd() override {
    Router.Directory.endSnapshot(Router.Clock.monotonic());
  }
  void onSnapshotAbort() override { Router.Directory.abortSnapshot(); }
  void onSnapshotRead(const follow::snapshot_end &End) override {
    Router.recordSnapshot(store_topic::Endpoints, End);
  }
  void onCaughtUp(std::uint64_t) override {
    Router.Directory.onCaughtUp();
    if (!Router.Directory.isReregistering(Router.Clock.monotonic()))
      Router.EndpointsKnownAsOf = Router.EndpointFollower.knownAsOf();
    Router.refreshEndpoints();
    if (Router.FreshnessGate.takeWaiting())
      Router.Frontend.onListRead();
  }
  void onStoreResponse() override {
    const time_ms Now = Router.Clock.monotonic();
    Router.Directory.onStoreResponse(Now - Router.EndpointFollower.lastReadMs(),
                                     Now);
  }
  void onStoreUnavailable() override { Router.Directory.onStoreUnavailable(); }

private:
  router &Router;
};

class router::grant_listener final : public follow::topic_listener {
public:
  explicit grant_listener(router &Router) : Router(Router) {}

  void onRecord(const keyed_record &Record) override {
    const time_ms Now = Router.Clock.monotonic();
    if (crash_report_exchange::isReport(Record)) {
      if (!Router.CrashReports.onRecord(Record, IsInSnapshot, Now))
        logUnreadable("crash_report_unreadable", Record);
    } else if (limit_report_exchange::isReport(Record)) {
      if (!Router.LimitReports.onRecord(Record, IsInSnapshot, Now))
        logUnreadable("limit_report_unreadable", Record);
    } else {
      Router.Grants.onRecord(Record.Key, Record.Value, Record.Removed);
    }
  }
  void onSnapshotBegin() override { IsInSnapshot = true; }
  void onSnapshotEnd() override { IsInSnapshot = false; }
  void onSnapshotAbort() override { IsInSnapshot = false; }
  void onSnapshotRead(const follow::snapshot_end &End) override {
    Router.recordSnapshot(store_topic::Grants, End);
  }
  void onStoreUnavailable() override {
    Router.Grants.onStoreUnavailable();
    Router.Limiter.onReportsUnreadable();
  }
  void onCaughtUp(std::uint64_t) override {
    Router.Grants.onCaughtUp();
    Router.Limiter.setInstances(Router.otherInstances(),
                                Router.Clock.monotonic());
    Router.Limiter.onCaughtUp(Router.Clock.monotonic());
    Router.LoadBalancer.setInstanceCount(
        static_cast<int>(Router.Grants.peers().size()) + 1);
    Router.refreshForwardingInstances();
    Router.logPools();
    Router.writeGrants();
    Router.Frontend.onGrantsChanged();
  }

private:
  void logUnreadable(std::string_view Event, const keyed_record &Record) {
    Router.Metrics.counterOf("tamarack_unreadable_records_total").add();
    Router.Log.write(Event, {{"key", std::string_view(Record.Key)}});
  }

  router &Router;
  bool IsInSnapshot = false;
};

//---------------------------------------------------------------------------
// Construction and main loop
//---------------------------------------------------------------------------

router::router(const router_settings &Settings)
    : Settings(Settings), Memory(heldBytesOf(Settings.MemoryLimitBytes), this),
      Log(Settings.Instance, Clock, Settings.MaxLogLinesPerSecond),
      ReadinessProbe(Context, Clock), LagLog(Log, Metrics),
      Backlog(Clock, {.LinkBytesPerS = Settings.LinkBytesPerS}),
      DirectStore(Context,
                  {.Address = Settings.StoreAddress,
                   .CallsFor = "own",
                   .Patience = &Backlog},
                  StoreEra, *this),
      Store(Context, DirectStore, [this] { return peerAddresses(); }, Clock,
            Random, StoreEra, *this, {.Patience = &Backlog}),
      PeerCallStore(Context,
                    {.Address = Settings.StoreAddress,
                     .CallsFor = "peers",
                     .MaxQueuedMs = MaxQueuedPeerCallMs},
                    StoreEra, *this),
      SharedReads(PeerCallStore, Clock),
      PeerService(SharedReads, Store, StoreEra, Clock, *this),
      LimitLog(Log, Metrics), Limiter(Settings.Instance, LimitLog),
      AvailabilityLog(Log, Metrics),
      LoadBalancer(Settings.Zone, Settings.RetryLimits, Limiter, Random,
                   AvailabilityLog),
      LoadNews(LoadBalancer, Clock, Metrics),
      Placement(LoadBalancer, Log, Metrics),
      LimitGate(Placement, Limiter, LimitLog),
      LimitReports(Settings.Instance, Store, Limiter),
      Quarantine(Settings.Instance, Random.next()), QuarantineLog(Log, Metrics),
      EndpointProber(Context, Clock), ListedEndpoints(LoadBalancer),
      ListedPaths(LoadBalancer), ForwardingLog(Log, Metrics),
      PathMonitor(ListedPaths, EndpointProber, Random, ForwardingLog),
      CrashProber(Context, Clock, EndpointProber, LoadBalancer, PathMonitor),
      CrashGuard(LimitGate, Quarantine, CrashProber, ListedEndpoints,
                 QuarantineLog),
      CrashReports(Settings.Instance, Store, Quarantine),
      VersionGate(CrashGuard, *this, Clock, Settings.LeaveNoticeMs),
      ListFreshness(*this, Backlog, Clock,
                    {.MaxListAgeMs = maxListAgeMs(Settings.LeaveNoticeMs)}),
      FreshnessGate(VersionGate, ListFreshness),
      ForwardingInstances(Settings.Zone, Random),
      ForwardingGate(FreshnessGate, PathMonitor, ForwardingInstances,
                     ListedPaths),
      ShutdownGate(ForwardingGate),
      Codec(Settings.Instance, LoadBalancer, *this, Limiter, Random, *this),
      Incarnation(Random.next() | 1),
      Grants({Settings.Instance, Settings.Zone, Incarnation,
              Settings.PeerAddress, adapters::readBootId(),
              Settings.ForwardAddress},
             {}, Clock),
      PoolServer(*this),
      PoolLink(Context, LoadNews,
               [this](std::string_view Holder,
                      const std::optional<pools::pool_response> &Response) {
                 Budget.onResponse(Holder, Response);
                 if (Budget.waitingCount() > 0)
                   schedulePoolTimer();
               }),
      Budget(Settings.Instance, Incarnation, *this, *this, PoolLink, *this,
             Clock),
      LostRecords(Store, store_topic::Grants, Settings.Instance + ".lost"),
      StreamOrigins(Settings.Instance, Store, Clock, *this, {}),
      ConfigurationListener(std::make_unique<configuration_listener>(*this)),
      EndpointListener(std::make_unique<endpoint_listener>(*this)),
      GrantListener(std::make_unique<grant_listener>(*this)),
      ConfigurationFollower(store_topic::Configuration, Store, Clock,
                            *ConfigurationListener, ConfigurationReads),
      EndpointFollower(store_topic::Endpoints, Store, Clock, *EndpointListener,
                       EndpointReads),
      GrantFollower(store_topic::Grants, Store, Clock, *GrantListener,
                    GrantReads),
      ConnectionPool(Context, Clock, {}),
      Frontend(Context, Clock, Codec, ShutdownGate, Budget, StreamOrigins,
               *this, ConnectionPool, Memory, Random,
               frontendSettings(Settings)),
      ReadinessServer(Context, Memory,
                      [this](const edge::request_message &,
                             const edge::respond_callback &Respond) {
                        Respond(readinessResponse());
                      }),
      PeerServer(Context, Memory,
                 [this](const edge::request_message &Request,
                        const edge::respond_callback &Respond) {
                   if (Request.target() == pool_link::Path)
                     return Respond(
                         servePoolRequest(PoolServer, LoadNews, Request));
                   PeerService.serve(Request, Respond);
                 }),
      MetricsServer(Context, Memory,
                    [this](const edge::request_message &,
                           const edge::respond_callback &Respond) {
                      Respond(metricsResponse());
                    }),
      SignalSet(Context, SIGTERM, SIGINT, SIGHUP), TickTimer(Context),
      PoolTimer(Context), StartedAt(Clock.monotonic()) {
  LoadBalancer.setEvenLoad(Settings.IsEvenLoad);
  WatermarkWriter.Name = Settings.Instance;
  GrantWriter.Name = Settings.Instance;
  LoadBalancer.setZoneRegions(Settings.ZoneRegions);
  ForwardingGate.setForwarding(!Settings.ForwardAddress.empty());
  ForwardingGate.setTaking(!Settings.ForwardAddress.empty());
  ForwardingGate.setMaxForwardedCalls(
      maxForwardedCalls(Settings.MemoryLimitBytes));
}

router::~router() = default;

void router::run() {
  Frontend.listen(edge::parseAddress(Settings.FrontendAddress));
  if (!Settings.ForwardAddress.empty())
    Frontend.listenForInstances(edge::parseAddress(Settings.ForwardAddress));
  ReadinessServer.listen(edge::parseAddress(Settings.ReadyAddress));
  PeerServer.listen(edge::parseAddress(Settings.PeerAddress));
  MetricsServer.listen(edge::parseAddress(Settings.MetricsAddress));
  waitForSignals();
  Log.write(
      "start",
      {{"zone", std::string_view(Settings.Zone)},
       {"front", std::string_view(Settings.FrontendAddress)},
       {"store", std::string_view(Settings.StoreAddress)},
       {"held_bytes_limit", static_cast<std::int64_t>(Memory.limit())},
       {"connections_limit",
        static_cast<std::int64_t>(frontendSettings(Settings).MaxSessions)},
       {"link_bytes_per_s", static_cast<std::int64_t>(Settings.LinkBytesPerS)},
       {"since_boot_ms", Clock.sinceBoot()}});
  tick();
  Context.run();
  Log.write("stop", {{"open_connections",
                      static_cast<std::int64_t>(Frontend.sessionCount())}});
}

void router::tick() {
  const time_ms Now = Clock.monotonic();
  TickStartedAt = Now;
  TickTimes.LastDueAt = TickTimes.NextDueAt;
  if (TickTimes.LastDueAt >= 0)
    recordLoopDelay(Now - TickTimes.LastDueAt);
  recordBacklog(Now);
  probeFullLink(Now);
  ConfigurationFollower.tick(Now);
  EndpointFollower.tick(Now);
  GrantFollower.tick(Now);
  refreshEndpoints();
  refreshEvacuations();
  if (!IsPreviousWatermarkKnown)
    readPreviousWatermark(false);
  writeGrants();
  writeWatermark();
  sendReservations();
  CrashReports.tick(Now);
  Limiter.tick(Now);
  LimitReports.tick(Now);
  writeLostRecords(Now);
  StreamOrigins.tick(Now);
  PathMonitor.tick(Now);
  QuarantineLog.recordQuarantine(Quarantine, Now);
  ConnectionPool.closeExpired();
  if (IsStopping)
    continueStop();
  if (!Context.stopped())
    scheduleTick();
}

void router::scheduleTick() {
  const time_ms Now = Clock.monotonic();
  if (Now - TickStartedAt >= TickMs)
    recordLoopDelay(Now - TickStartedAt);
  TickTimes.NextDueAt = Now + TickMs;
  TickTimer.expires_after(std::chrono::milliseconds(TickMs));
  TickTimer.async_wait([this](const edge::error_code &Error) {
    if (!Error)
      tick();
  });
}

// What waits for memory is looked at once for all that was freed meanwhile.
void router::onMemoryFreed() {
  if (Context.stopped() || std::exchange(IsMemoryWakePosted, true))
    return;
  edge::net::post(Context, [this] {
    IsMemoryWakePosted = false;
    Frontend.onMemoryFreed();
  });
}

//---------------------------------------------------------------------------
// Configuration and peers
//---------------------------------------------------------------------------

void router::onPathChanged(bool Direct) {
  Log.write("store_path", {{"path", Direct ? "direct" : "through_peer"}});
}

std::vector<std::string> router::peerAddresses() const {
  std::set<std::string> Addresses(Settings.PeerAddresses.begin(),
                                  Settings.PeerAddresses.end());
  for (const auto &[Name, Address] : Grants.peers())
    Addresses.insert(Address);
  Addresses.erase(Settings.PeerAddress);
  return {Addresses.begin(), Addresses.end()};
}

// Those of this region: a call must not leave it.
void router::refreshForwardingInstances() {
  const auto RegionOf = [this](const std::string &Zone) {
    const auto Found = Settings.ZoneRegions.find(Zone);
    return Found == Settings.ZoneRegions.end() ? std::string() : Found->second;
  };
  std::vector<forwarding::forwarding_instance> Instances;
  for (const grants::pool_member &Member : Grants.holders().members())
    if (Member.Instance != Settings.Instance &&
        !Member.ForwardAddress.empty() &&
        RegionOf(Member.Zone) == RegionOf(Settings.Zone))
      Instances.push_back(
          {Member.Instance, Member.Zone, Member.ForwardAddress});
  ForwardingInstances.setInstances(Instances);
}

void router::countForwardedCall(const relay::call &Call, int Change) {
  if (Call.ForwardedBy.empty())
    return;
  ForwardedCalls += Change;
  ForwardingGate.setForwardedCalls(ForwardedCalls);
}

std::vector<std::string> router::otherInstances() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Address] : Grants.peers())
    Names.push_back(Name);
  return Names;
}

void router::activateConfiguration(
    std::shared_ptr<const relay::route_table> NewTable,
    const keyed_record &Record, time_ms ReceivedAt, time_ms DecodedAt) {
  if (RouteTable && NewTable->Version <= RouteTable->Version)
    return;
  const std::int64_t PreviousVersion =
      RouteTable ? RouteTable->Version : std::int64_t(-1);
  RouteTable = std::move(NewTable);
  Metrics.gaugeOf("tamarack_configuration_version")
      .set(static_cast<std::uint64_t>(RouteTable->Version));
  LoadBalancer.setTable(RouteTable);
  Limiter.setTable(RouteTable, Clock.monotonic());
  Codec.setRouteTable(RouteTable);
  Grants.setBudgets(RouteTable);
  Frontend.setLimits(RouteTable->Limits);
  Log.write(
      "configuration",
      {{"version", RouteTable->Version},
       {"before", PreviousVersion},
       {"offset", static_cast<std::int64_t>(Record.Offset)},
       {"bytes", static_cast<std::int64_t>(Record.Value.size())},
       {"accounts", static_cast<std::int64_t>(RouteTable->accounts().size())},
       {"needs_keys", std::int64_t(RouteTable->NeedsKeys)},
       {"decode_ms", DecodedAt - ReceivedAt},
       {"apply_ms", Clock.monotonic() - DecodedAt}});
}

bool router::isConfigurationCurrent() const {
  const time_ms AgeMs = ageOf(ConfigurationFollower);
  return AgeMs >= 0 && AgeMs <= MaxConfigurationAgeMs &&
         !IsNewestVersionUnreadable && !isBehindOthers();
}

bool router::isBehindOthers() const {
  return RouteTable &&
         Grants.holders().newestConfigurationVersion() > RouteTable->Version;
}

// An instance that starts after the store has come back from a copy may find an
// older configuration than the one in force elsewhere. Operators write the
// newest one again; until then the others serve. So they do until this one
// knows which zones are evacuated.
bool router::isReady() {
  if (!RouteTable || IsStopping)
    return false;
  const bool MayWait =
      !WasReady && Clock.monotonic() - StartedAt < MaxConfigurationWaitMs;
  if (MayWait && (isBehindOthers() || !Evacuations.isKnown()))
    return false;
  WasReady = true;
  // Calls that come are refused: others may serve them.
  return ListFreshness.state() != relay::list_state::Outdated;
}

//---------------------------------------------------------------------------
// Signals and shutdown
//---------------------------------------------------------------------------

void router::waitForSignals() {
  SignalSet.async_wait([this](const edge::error_code &Error, int Signal) {
    if (Error)
      return;
    if (Signal == SIGHUP)
      reloadSettings();
    else
      beginStop();
    waitForSignals();
  });
}

void router::reloadSettings() {
  if (!LoadSettings)
    return;
  try {
    const router_settings New = LoadSettings();
    Settings.RetryLimits = New.RetryLimits;
    Settings.ShutdownGraceMs = New.ShutdownGraceMs;
    LoadBalancer.setRetryLimits(New.RetryLimits);
    LoadBalancer.setZoneRegions(New.ZoneRegions);
    Log.write("reload", {{"outcome", "applied"}});
  } catch (const adapters::settings_error &Error) {
    Log.write("reload", {{"outcome", "kept the previous settings"},
                         {"error", std::string_view(Error.what())}});
  }
}

void router::beginStop() {
  if (IsStopping)
    return;
  IsStopping = true;
  const time_ms Now = Clock.monotonic();
  StopRequestedAt = dispatch::earliestSignalTime(TickTimes, Now);
  Frontend.beginDrain();
  PoolServer.stop();
  ForwardingGate.setTaking(false);
  // Settings that are read later don't move the limits of this stop.
  StopTimes = dispatch::planShutdown(StopRequestedAt, Settings.ShutdownGraceMs);
  ShutdownGate.beginShutdown(StopTimes);
  Log.write("stop_begins",
            {{"busy", static_cast<std::int64_t>(Frontend.busySessionCount())},
             {"open", static_cast<std::int64_t>(Frontend.sessionCount())},
             {"handled_late_ms", Now - StopRequestedAt}});
}

void router::continueStop() {
  const time_ms Now = Clock.monotonic();
  const time_ms ElapsedMs = Now - StopRequestedAt;
  if (IsAccepting && Now >= StopTimes.OpenUntil) {
    IsAccepting = false;
    Log.write("stop_accepts_no_more",
              {{"stop_age_ms", ElapsedMs},
               {"busy", static_cast<std::int64_t>(Frontend.busySessionCount())},
               {"open", static_cast<std::int64_t>(Frontend.sessionCount())}});
    Frontend.stopAccepting();
  }
  if (IsAccepting)
    return;
  const bool IsOverdue = Now >= StopTimes.CutAt;
  if (IsOverdue && !HasGivenUp) {
    HasGivenUp = true;
    Log.write("stop_forced",
              {{"stop_age_ms", ElapsedMs},
               {"cut", static_cast<std::int64_t>(Frontend.busySessionCount())},
               {"open", static_cast<std::int64_t>(Frontend.sessionCount())},
               {"grants_returned", std::int64_t(Grants.hasReturnedGrants())}});
    Frontend.giveUpCalls();
  }
  // A caller may still send a request while its connection is open.
  if (Frontend.sessionCount() == 0) {
    Grants.leave();
    IdleSince = IdleSince < 0 ? Now : IdleSince;
  }
  const bool HasSettled =
      Budget.unsettledCount() == 0 ||
      (IdleSince >= 0 && Now - IdleSince >= LastSettlementsMs);
  const bool IsFinished =
      Frontend.sessionCount() == 0 && Grants.hasReturnedGrants() && HasSettled;
  const bool MustEnd = Now >= StopTimes.EndAt;
  if (IsFinished || MustEnd)
    Context.stop();
}

} // namespace tamarack::daemon
