// Composition of a router instance.
#include "router.hpp"

#include <csignal>

namespace tamarack::daemon {

namespace {

constexpr int TickMs = 100;
constexpr int OutOfRotationMs = 2'500;     // Until no new connections come.
constexpr int EndMarginMs = 500;           // Before the forced end.
constexpr int ConfigurationWaitMs = 1'000; // Held by the store.

constexpr follow::follower_settings ConfigurationReads{0, ConfigurationWaitMs,
                                                       250, true};
constexpr follow::follower_settings EndpointReads{600, 0, 150};
constexpr follow::follower_settings GrantReads{1'000, 0, 250};

} // namespace

//---------------------------------------------------------------------------
// Listeners
//---------------------------------------------------------------------------

class router::configuration_listener final : public follow::topic_listener {
public:
  explicit configuration_listener(router &Router) : Router(Router) {}

  void onRecord(const keyed_record &Record) override {
    if (Record.Key != platform::ConfigurationKey || Record.Removed)
      return;
    try {
      Router.adopt(platform::decodeConfiguration(Record.Value));
    } catch (const platform::document_error &Error) {
      Router.Metrics.counterOf("tamarack_unreadable_records_total").add();
      Router.Log.write("configuration_unreadable",
                       {{"offset", static_cast<std::int64_t>(Record.Offset)},
                        {"error", std::string_view(Error.what())}});
    }
  }
  void onCaughtUp(std::uint64_t) override {}
  void onStoreResponse() override {
    if (Away)
      Router.Log.write("store_regained", {{"topic", "configuration"}});
    Away = false;
  }
  void onStoreUnavailable() override {
    if (!Away)
      Router.Log.write("store_lost", {{"topic", "configuration"}});
    Away = true;
  }

private:
  router &Router;
  bool Away = false;
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
          platform::decodeEndpoint(Record.Key, Record.Value);
      if (Router.Directory.onEntry(Entry) && Entry.Leaving)
        Router.Log.write("endpoint_leaving",
                         {{"endpoint", std::string_view(Entry.Id)},
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
  void onCaughtUp(std::uint64_t) override { Router.refreshEndpoints(); }
  void onStoreResponse() override {
    Router.Directory.onStoreResponse(Router.Clock.monotonic());
  }
  void onStoreUnavailable() override { Router.Directory.onStoreUnavailable(); }

private:
  router &Router;
};

class router::grant_listener final : public follow::topic_listener {
public:
  explicit grant_listener(router &Router) : Router(Router) {}

  void onRecord(const keyed_record &Record) override {
    Router.Grants.onRecord(Record.Key, Record.Value, Record.Removed);
  }
  void onStoreUnavailable() override { Router.Grants.onAway(); }
  void onCaughtUp(std::uint64_t) override {
    Router.Grants.onCaughtUp();
    Router.Dispatcher.setInstances(
        static_cast<int>(Router.Grants.peers().size()) + 1);
    Router.writeGrants();
    Router.Front.onMoney();
  }

private:
  router &Router;
};

//---------------------------------------------------------------------------
// Start
//---------------------------------------------------------------------------

router::router(const router_settings &Settings)
    : Settings(Settings), Log(Settings.Instance, Clock, Settings.LogLines),
      DirectStore(Context, {Settings.StoreAddress}),
      Store(Context, DirectStore, [this] { return peerAddresses(); }, Clock,
            Random, *this, {}),
      PeerService(DirectStore, Store),
      Dispatcher(Settings.Zone, Settings.Repeats, Random),
      Placement(Dispatcher, Log, Metrics), Codec(Dispatcher, Random),
      Grants(Settings.Instance, Random.next() | 1, Settings.PeerAddress,
             adapters::readBootId(), {}, Clock),
      ConfigurationListener(std::make_unique<configuration_listener>(*this)),
      EndpointListener(std::make_unique<endpoint_listener>(*this)),
      GrantListener(std::make_unique<grant_listener>(*this)),
      ConfigurationFollower(store_topic::Configuration, Store, Clock,
                            *ConfigurationListener, ConfigurationReads),
      EndpointFollower(store_topic::Endpoints, Store, Clock, *EndpointListener,
                       EndpointReads),
      GrantFollower(store_topic::Grants, Store, Clock, *GrantListener,
                    GrantReads),
      Pool(Context, Clock, {}),
      Front(Context, Clock, Codec, Placement, *this, *this, Pool, {}),
      Ready(Context,
            [this](const edge::request_message &,
                   const edge::respond &Respond) { Respond(readyAnswer()); }),
      PeerServer(Context,
                 [this](const edge::request_message &Request,
                        const edge::respond &Respond) {
                   PeerService.serve(Request, Respond);
                 }),
      MetricsServer(
          Context,
          [this](const edge::request_message &, const edge::respond &Respond) {
            Respond(metricsAnswer());
          }),
      Signals(Context, SIGTERM, SIGINT, SIGHUP), Timer(Context) {
  MarkWriter.Name = Settings.Instance;
  GrantWriter.Name = Settings.Instance;
}

router::~router() = default;

void router::run() {
  Front.listen(edge::parseAddress(Settings.FrontAddress));
  Ready.listen(edge::parseAddress(Settings.ReadyAddress));
  PeerServer.listen(edge::parseAddress(Settings.PeerAddress));
  MetricsServer.listen(edge::parseAddress(Settings.MetricsAddress));
  waitForSignals();
  Log.write("start", {{"zone", std::string_view(Settings.Zone)},
                      {"front", std::string_view(Settings.FrontAddress)},
                      {"store", std::string_view(Settings.StoreAddress)},
                      {"since_boot_ms", Clock.sinceBoot()}});
  tick();
  Context.run();
  Log.write("stop", {{"open_connections",
                      static_cast<std::int64_t>(Front.sessionCount())}});
}

void router::tick() {
  const time_ms Now = Clock.monotonic();
  ConfigurationFollower.tick(Now);
  EndpointFollower.tick(Now);
  GrantFollower.tick(Now);
  refreshEndpoints();
  if (!MarkKnown)
    readFormerMark(false);
  writeGrants();
  writeMark();
  Pool.closeIdle();
  if (Stopping)
    continueStop();
  if (!Context.stopped())
    scheduleTick();
}

void router::scheduleTick() {
  Timer.expires_after(std::chrono::milliseconds(TickMs));
  Timer.async_wait([this](const edge::error_code &Error) {
    if (!Error)
      tick();
  });
}

//---------------------------------------------------------------------------
// What is known
//---------------------------------------------------------------------------

void router::onPath(bool Direct) {
  Log.write("store_path", {{"path", Direct ? "direct" : "through_peer"}});
}

// Instances that announced themselves, and those that the settings name.
std::vector<std::string> router::peerAddresses() const {
  std::set<std::string> Addresses(Settings.Peers.begin(), Settings.Peers.end());
  for (const auto &[Name, Address] : Grants.peers())
    Addresses.insert(Address);
  Addresses.erase(Settings.PeerAddress);
  return {Addresses.begin(), Addresses.end()};
}

void router::adopt(std::shared_ptr<const relay::route_table> NewTable) {
  if (Table && NewTable->Version <= Table->Version)
    return;
  Log.write("configuration",
            {{"version", NewTable->Version},
             {"before", Table ? Table->Version : std::int64_t(-1)}});
  Table = std::move(NewTable);
  Metrics.gaugeOf("tamarack_configuration_version")
      .set(static_cast<std::uint64_t>(Table->Version));
  Dispatcher.setTable(Table);
  Codec.setTable(Table);
  Grants.setBudgets(Table);
  Front.setLimits(Table->Limits);
}

void router::refreshEndpoints() {
  const time_ms Now = Clock.monotonic();
  if (!Directory.update(Now))
    return;
  const std::vector<dispatch::endpoint_entry> Entries = Directory.entries();
  Dispatcher.setEndpoints(Entries, Now);
  Metrics.gaugeOf("tamarack_endpoints").set(Entries.size());
  Log.write("endpoints",
            {{"count", static_cast<std::int64_t>(Entries.size())}});
}

//---------------------------------------------------------------------------
// Signals and the end
//---------------------------------------------------------------------------

void router::waitForSignals() {
  Signals.async_wait([this](const edge::error_code &Error, int Signal) {
    if (Error)
      return;
    if (Signal == SIGHUP)
      reload();
    else
      beginStop();
    waitForSignals();
  });
}

void router::reload() {
  if (!Reload)
    return;
  try {
    const router_settings New = Reload();
    Settings.Repeats = New.Repeats;
    Settings.GraceMs = New.GraceMs;
    Dispatcher.setRepeatLimits(New.Repeats);
    Log.write("reload", {{"outcome", "applied"}});
  } catch (const adapters::settings_error &Error) {
    Log.write("reload", {{"outcome", "kept the former settings"},
                         {"error", std::string_view(Error.what())}});
  }
}

void router::beginStop() {
  if (Stopping)
    return;
  Stopping = true;
  StopAt = Clock.monotonic();
  Front.beginDrain();
  Log.write("stop_begins",
            {{"busy", static_cast<std::int64_t>(Front.busyCount())}});
}

void router::continueStop() {
  const time_ms Passed = Clock.monotonic() - StopAt;
  if (Accepting && Passed >= OutOfRotationMs) {
    Accepting = false;
    Front.stopAccepting();
  }
  if (Accepting)
    return;
  const bool Late = Passed >= Settings.GraceMs - EndMarginMs;
  if (Late)
    Front.breakOffAll();
  if (Front.busyCount() == 0)
    Grants.leave();
  const bool Done = Front.sessionCount() == 0 && Grants.hasHandedBack();
  if (Done || Late)
    Context.stop();
}

} // namespace tamarack::daemon
