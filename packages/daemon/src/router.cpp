// Composition of a router instance.
#include "router.hpp"

#include <csignal>

namespace tamarack::daemon {

namespace {

constexpr int TickMs = 100;
constexpr int FreshEnoughMs = 50;          // What is known of grants.
constexpr int GrantPauseMs = 150;          // Between two writes of grants.
constexpr int GrantRetryMs = 250;          // After a write that failed.
constexpr int OutOfRotationMs = 2'500;     // Until no new connections come.
constexpr std::uint64_t EpochStep = 1'000; // Above a former incarnation's.
constexpr int EndMarginMs = 500;           // Before the forced end.
constexpr int ConfigurationWaitMs = 1'000; // Held by the store.

constexpr follow::follower_settings ConfigurationReads{0, ConfigurationWaitMs,
                                                       250};
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
  void onAnswer() override {
    if (Away)
      Router.Log.write("store_regained", {{"topic", "configuration"}});
    Away = false;
  }
  void onAway() override {
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
      return Router.Directory.onGone(Record.Key, Now);
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
  void onWholeBegins() override { Router.Directory.beginWhole(); }
  void onWholeEnds() override {
    Router.Directory.endWhole(Router.Clock.monotonic());
  }
  void onCaughtUp(std::uint64_t) override { Router.refreshEndpoints(); }
  void onAnswer() override {
    Router.Directory.onAnswer(Router.Clock.monotonic());
  }
  void onAway() override { Router.Directory.onAway(); }

private:
  router &Router;
};

class router::grant_listener final : public follow::topic_listener {
public:
  explicit grant_listener(router &Router) : Router(Router) {}

  void onRecord(const keyed_record &Record) override {
    Router.Grants.onRecord(Record.Offset, Record.Key, Record.Value,
                           Record.Removed);
  }
  void onAway() override { Router.Grants.onAway(); }
  void onCaughtUp(std::uint64_t End) override {
    Router.Grants.onCaughtUp(End);
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
// Money
//---------------------------------------------------------------------------

relay::reserve_result router::reserve(std::string_view Account,
                                      std::int64_t Bound) {
  const relay::reserve_result Result = Grants.reserve(Account, Bound);
  if (Result == relay::reserve_result::Pending)
    edge::net::post(Context, [this] {
      writeMark();
      const time_ms Now = Clock.monotonic();
      if (Now - GrantFollower.lastAnswer() < FreshEnoughMs)
        return writeGrants();
      GrantFollower.hurry();
      GrantFollower.tick(Now);
    });
  return Result;
}

void router::settle(std::string_view Account, std::int64_t Bound,
                    std::int64_t Used) {
  Grants.settle(Account, Bound, Used);
}

// Before anything is spent: nothing of the former incarnation can come any
// more, and then its last mark is read.
void router::readFormerMark(bool Fenced) {
  if (MarkReadUnderWay)
    return;
  MarkReadUnderWay = true;
  Store.newest(store_topic::Marks, [this, Fenced](const keyed_page &Page) {
    MarkReadUnderWay = false;
    if (Page.Status != store_status::Ok)
      return;
    std::optional<grants::mark_record> Former;
    for (const keyed_record &Record : Page.Records)
      if (Record.Key == Settings.Instance)
        Former = grants::decodeMark(Record.Value);
    if (!Fenced) {
      MarkWriter.Epoch =
          std::max(MarkWriter.Epoch, Former ? Former->Epoch : 0) + EpochStep;
      return fenceMarks();
    }
    MarkKnown = true;
    Log.write("former_mark",
              {{"found", std::int64_t(Former.has_value())},
               {"age_ms", Former ? Clock.sinceBoot() - Former->Stamp
                                 : std::int64_t(-1)}});
    Grants.onFormerMark(std::move(Former));
    GrantFollower.hurry();
  });
}

void router::fenceMarks() {
  MarkReadUnderWay = true;
  Store.fence(store_topic::Marks, MarkWriter, [this](store_status Status) {
    MarkReadUnderWay = false;
    // The next tick tries again; a conflict with a higher epoch.
    if (Status == store_status::Ok)
      readFormerMark(true);
  });
}

void router::writeMark() {
  const time_ms Now = Clock.monotonic();
  if (!MarkKnown ||
      (MarkUncertainAt >= 0 && GrantFollower.lastAnswer() <= MarkUncertainAt))
    return;
  MarkUncertainAt = -1;
  std::optional<grants::mark_record> Mark = Grants.planMark(Now);
  if (!Mark)
    return;
  Mark->Epoch = MarkWriter.Epoch;
  Store.appendAs(store_topic::Marks, MarkWriter, Settings.Instance,
                 grants::encode(*Mark),
                 [this](store_status Status) { onMarkWritten(Status); });
}

void router::onMarkWritten(store_status Status) {
  switch (Status) {
  case store_status::Ok:
    ++MarkWriter.Sequence;
    Grants.onMarkWritten();
    return Front.onMoney();
  case store_status::Refused:
    Grants.onMarkRefused();
    MarkUncertainAt = Clock.monotonic();
    return;
  case store_status::Conflict:
  case store_status::Trimmed:
  case store_status::Unavailable:
    break;
  }
  // A higher epoch keeps the uncertain one from coming later.
  ++MarkWriter.Epoch;
  MarkWriter.Sequence = 0;
  MarkUncertainAt = Clock.monotonic();
  Grants.onMarkUncertain();
  Log.write("mark_uncertain",
            {{"epoch", static_cast<std::int64_t>(MarkWriter.Epoch)}});
}

void router::writeGrants() {
  const time_ms Now = Clock.monotonic();
  if (GrantWriteUnderWay || Now < NextGrantWrite || !Table)
    return;
  const std::optional<grants::grant_write> Write = Grants.plan(Now);
  if (!Write)
    return;
  GrantWriteUnderWay = true;
  Store.append(store_topic::Grants, Settings.Instance, Write->Value, Write->At,
               [this, At = Write->At](store_status Status) {
                 onGrantWritten(At, Status);
               });
}

void router::onGrantWritten(std::uint64_t At, store_status Status) {
  const time_ms Now = Clock.monotonic();
  GrantWriteUnderWay = false;
  switch (Status) {
  case store_status::Ok:
    Grants.onWritten(At);
    NextGrantWrite = Now + GrantPauseMs;
    Metrics.counterOf("tamarack_grant_writes_total").add();
    return Front.onMoney();
  case store_status::Conflict:
    Grants.onRejected(At);
    Metrics.counterOf("tamarack_grant_conflicts_total").add();
    GrantFollower.hurry();
    GrantFollower.tick(Now);
    return;
  case store_status::Refused:
    Grants.onRejected(At);
    break;
  case store_status::Trimmed:
  case store_status::Unavailable:
    // It may be stored now or later; the topic will tell.
    break;
  }
  Log.write("grant_write_failed",
            {{"offset", static_cast<std::int64_t>(At)},
             {"answered", std::int64_t(Status == store_status::Refused)}});
  NextGrantWrite = Now + GrantRetryMs;
  GrantFollower.hurry();
}

//---------------------------------------------------------------------------
// What happens to requests
//---------------------------------------------------------------------------

void router::onCall(const relay::call &Call) {
  Dispatcher.onRequest(Call.Service);
}

void router::onRefused(const edge::decoded_request &Request) {
  const calls::error_row &Row = calls::rowOf(Request.Refusal);
  Metrics
      .counterOf("tamarack_refused_total{kind=\"" + std::string(Row.Name) +
                 "\"}")
      .add();
  Log.write("refused",
            {{"id", std::string_view(Request.Id)},
             {"error", Row.Name},
             {"why", std::string_view(Request.Detail)},
             {"version", Table ? Table->Version : std::int64_t(-1)}});
}

void router::logMoneyRefusal(const relay::call &Call) {
  const grants::account_status Status = Grants.statusOf(Call.Account);
  const time_ms Known = GrantFollower.lastAnswer();
  Log.write("money_refused",
            {{"id", std::string_view(Call.Id)},
             {"account", std::string_view(Call.Account)},
             {"bound", Call.bound()},
             {"prepaid", Status.Prepaid},
             {"ceiling", Status.Ceiling},
             {"used", Status.Used},
             {"reserved", Status.Reserved},
             {"others_ceiling", Status.OthersCeiling},
             {"others_used", Status.OthersUsed},
             {"free", Status.Free},
             {"known_ms_ago",
              Known < 0 ? std::int64_t(-1) : Clock.monotonic() - Known}});
}

void router::onDone(const relay::call &Call,
                    const relay::exchange_report &Report, time_ms Now) {
  const std::string_view Error =
      Report.Error ? calls::rowOf(*Report.Error).Name : std::string_view();
  Metrics
      .counterOf("tamarack_calls_total{kind=\"" +
                 std::string(relay::toString(Call.Kind)) + "\",outcome=\"" +
                 std::string(Report.ClientGone ? "caller_gone"
                             : Error.empty()   ? "answered"
                                               : Error) +
                 "\"}")
      .add();
  if (Report.Error == relay::error_kind::BudgetExhausted ||
      Report.Error == relay::error_kind::BudgetUnavailable)
    logMoneyRefusal(Call);
  if (Report.FirstByte > 0)
    Metrics.timingOf("tamarack_first_byte_ms")
        .add(static_cast<double>(Report.FirstByte - Call.Arrived));
  Metrics.timingOf("tamarack_call_ms")
      .add(static_cast<double>(Now - Call.Arrived));
  Log.write("call", {{"id", std::string_view(Call.Id)},
                     {"route", std::string_view(Call.RouteName)},
                     {"account", std::string_view(Call.Account)},
                     {"kind", relay::toString(Call.Kind)},
                     {"status", std::int64_t(Report.Status)},
                     {"error", Error},
                     {"attempts", std::int64_t(Report.Attempts)},
                     {"unreached", std::int64_t(Report.Unreached)},
                     {"endpoint", std::string_view(Report.LastEndpoint)},
                     {"last_end", relay::toString(Report.LastEnd)},
                     {"caller_gone", std::int64_t(Report.ClientGone)},
                     {"broken_off", std::int64_t(Report.BrokenOff)},
                     {"first_byte_ms", Report.FirstByte > 0
                                           ? Report.FirstByte - Call.Arrived
                                           : std::int64_t(-1)},
                     {"ms", Now - Call.Arrived},
                     {"left_ms", Call.Deadline - Now},
                     {"used", Report.Used},
                     {"bound", Call.bound()}});
}

//---------------------------------------------------------------------------
// Answers of its own
//---------------------------------------------------------------------------

edge::response_message router::readyAnswer() const {
  return edge::response_message(isReady()
                                    ? edge::http::status::ok
                                    : edge::http::status::service_unavailable,
                                11);
}

edge::response_message router::metricsAnswer() {
  Metrics.gaugeOf("tamarack_open_connections").set(Front.sessionCount());
  Metrics.gaugeOf("tamarack_idle_endpoint_connections").set(Pool.idleCount());
  Metrics.counterOf("tamarack_endpoint_connections_total")
      .set(Pool.openedCount());
  Metrics.counterOf("tamarack_store_calls_total").set(DirectStore.callCount());
  Metrics.counterOf("tamarack_store_calls_through_peers_total")
      .set(Store.relayedCount());
  edge::response_message Answer(edge::http::status::ok, 11);
  Answer.set(edge::http::field::content_type, "text/plain; version=0.0.4");
  Answer.body() = Metrics.prometheusText();
  return Answer;
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
