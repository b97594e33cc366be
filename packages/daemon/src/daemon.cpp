// Creates, connects, runs and stops the parts of one tamarackd.
#include "daemon.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <sstream>

namespace tamarack::daemon {

namespace {

constexpr std::size_t MaxStoredResponseBytes = 8 * 1024 * 1024;
constexpr int MaintenanceIntervalMs = 500;
constexpr int PollerThreadCount = 4;
constexpr int DrainPollIntervalMs = 50;
constexpr int ReturnGrantsTimeoutMs = 10'000; // For each stream.

Poco::Net::Context::Ptr clientContext(const daemon_settings &Settings) {
  if (!Settings.ClientTls.enabled())
    return nullptr;
  return adapters::makeClientContext(Settings.ClientTls);
}

std::string toText(const Poco::JSON::Object &Object) {
  std::ostringstream Text;
  Object.stringify(Text);
  return Text.str();
}

Poco::JSON::Object::Ptr toJson(const stream_status &Status) {
  Poco::JSON::Object::Ptr Row = new Poco::JSON::Object;
  Row->set("stream", Status.Stream);
  Row->set("following", Status.IsFollowing);
  Row->set("caught_up", Status.IsCaughtUp);
  Row->set("next", Status.NextOffset);
  Row->set("budgets", static_cast<Poco::UInt64>(Status.BudgetCount));
  Row->set("open_grants", static_cast<Poco::UInt64>(Status.OpenGrantCount));
  Row->set("keys", static_cast<Poco::UInt64>(Status.RequestKeyCount));
  Row->set("witness_lines", static_cast<Poco::UInt64>(Status.WitnessLineCount));
  Row->set("unreadable", Status.FoldCounters.Unreadable);
  Row->set("repeated_batches", Status.FoldCounters.DuplicateBatches);
  Row->set("repeated_keys", Status.FoldCounters.DuplicateKeys);
  Row->set("late_lines", Status.FoldCounters.LateLines);
  Row->set("rejected", Status.FoldCounters.Rejected);
  Row->set("digest_mismatches", Status.FoldCounters.DigestMismatches);
  Row->set("violations", Status.FoldCounters.Violations);
  Row->set("reserved", Status.HomeCounters.Reserved);
  Row->set("settled", Status.HomeCounters.Settled);
  Row->set("resettled", Status.HomeCounters.Resettled);
  Row->set("exhausted", Status.HomeCounters.Exhausted);
  Row->set("unavailable", Status.HomeCounters.Unavailable);
  Row->set("false_refusals", Status.HomeCounters.FalseRefusals);
  return Row;
}

} // namespace

tamarack_daemon::tamarack_daemon(const daemon_settings &Settings)
    : Settings(Settings),
      SelfIncarnation(ledger::makeIncarnation(Clock.now(), Random.next())),
      Logger("daemon"), EndpointClient(clientContext(Settings)),
      Log(EndpointClient, Settings.PlatformUrl),
      InstanceList(EndpointClient, Settings.PlatformUrl),
      PeerClient(Settings.PeerTls, PeerTraffic),
      GrantPolicy(money::makeDemandPolicy()),
      BalancingPolicy(routing::makePrefixAware()), Config(Log, Random),
      Scheduler(Settings.Zone, *BalancingPolicy,
                static_cast<std::size_t>(Settings.MaxQueueLength), Config,
                Clock, Random),
      Members(selfMember(), Settings.PeerSeeds, InstanceList, PeerClient,
              Config, Scheduler, Clock, Random),
      BudgetClient(Settings.StreamCount, SelfIncarnation, *this, Members,
                   PeerClient),
      ExecutionRegistry(MaxStoredResponseBytes),
      Services{{SelfIncarnation, Settings.Instance},
               {Settings.MaxBodyBytes, Settings.DefaultQueueWaitMs},
               Config,
               Scheduler,
               BudgetClient,
               Members,
               ExecutionRegistry,
               EndpointClient,
               Metrics,
               BurnTrackerLock,
               BurnTracker,
               Clock,
               Random},
      LoadPoller(Settings.Zone, Config, Scheduler, Members, EndpointClient,
                 PollerThreadCount) {}

tamarack_daemon::~tamarack_daemon() {
  Frontend.reset();
  LoadPoller.stop();
  IsStopping = true;
  if (MaintenanceThread.joinable())
    MaintenanceThread.join();
  Members.stop();
  PeerServer.reset();
  Config.stop();
}

fleet::member_row tamarack_daemon::selfMember() const {
  fleet::member_row Row;
  Row.Instance = Settings.Instance;
  Row.Zone = Settings.Zone;
  Row.PeerUrl = Settings.PeerUrl;
  Row.HttpUrl = Settings.HttpUrl;
  Row.Incarnation = SelfIncarnation;
  return Row;
}

void tamarack_daemon::start() {
  adapters::peer_handler &Handler = *this;
  admin_pages &AdminPages = *this;
  PeerServer = std::make_unique<adapters::nng_server>(
      Settings.PeerUrl, Settings.PeerTls, Handler, Settings.PeerThreads,
      PeerTraffic);
  Config.start();
  Members.start();
  LoadPoller.start();
  MaintenanceThread = std::thread([this] { maintenanceLoop(); });
  Frontend = std::make_unique<http_frontend>(Settings, Services, AdminPages);
  Logger.info("Serving on " + Settings.HttpUrl + " in zone " + Settings.Zone +
              " as incarnation " + std::to_string(SelfIncarnation) + ".");
}

void tamarack_daemon::drainAndStop() {
  Logger.info("Shutting down: waiting for requests in flight.");
  IsLeaving = true;
  Members.setLeaving(); // Other daemons become home of the ledger streams.
  const time_ms DrainDeadline = Clock.monotonic() + Settings.MaxDrainMs;
  while (Frontend->inFlightCount() > 0 && Clock.monotonic() < DrainDeadline)
    std::this_thread::sleep_for(std::chrono::milliseconds(DrainPollIntervalMs));
  if (Frontend->inFlightCount() > 0)
    Logger.error(std::to_string(Frontend->inFlightCount()) +
                 " requests were still in flight at the end of --drain-ms; "
                 "their connections are closed.");
  bool AllGrantsClosed = true;
  for (ledger_stream *Stream : createdStreams())
    AllGrantsClosed = Stream->waitUntilAllGrantsClosed(ReturnGrantsTimeoutMs) &&
                      AllGrantsClosed;
  if (!AllGrantsClosed)
    Logger.warn(
        "Some grants could not be returned; their witness closes them.");
  Frontend->stop();
  Logger.info("Shutdown complete.");
}

ledger_stream &tamarack_daemon::getOrCreateStream(std::uint32_t Stream) {
  const std::lock_guard Guard(LedgerStreamsLock);
  std::unique_ptr<ledger_stream> &Item = LedgerStreams[Stream];
  if (!Item)
    Item = std::make_unique<ledger_stream>(
        Stream, SelfIncarnation, *GrantPolicy, Log, PeerClient, Members, Clock,
        Random, Settings.CheckpointRecords);
  return *Item;
}

std::vector<ledger_stream *> tamarack_daemon::createdStreams() {
  const std::lock_guard Guard(LedgerStreamsLock);
  std::vector<ledger_stream *> Result;
  for (const auto &[Number, Item] : LedgerStreams)
    Result.push_back(Item.get());
  return Result;
}

fleet::peer_response
tamarack_daemon::handle(const fleet::peer_request &Request) {
  const auto *Gossip = std::get_if<fleet::gossip_request>(&Request);
  if (Gossip != nullptr)
    return Members.handleGossip(*Gossip);
  return handleBudgetRequest(*this, Settings.StreamCount, Request);
}

void tamarack_daemon::maintenanceLoop() {
  while (!IsStopping) {
    if (Members.hasJoined())
      for (std::uint32_t Number = 0; Number < Settings.StreamCount; ++Number)
        if (Members.isHome(Number))
          getOrCreateStream(Number);
    for (ledger_stream *Stream : createdStreams())
      Stream->runMaintenance();
    std::this_thread::sleep_for(
        std::chrono::milliseconds(MaintenanceIntervalMs));
  }
}

bool tamarack_daemon::isReady() {
  return !IsLeaving && Config.isReady() && Members.hasJoined();
}

std::string tamarack_daemon::statusJson() {
  Poco::JSON::Object Root;
  const std::shared_ptr<const config::configuration> Configuration =
      Config.activeConfiguration();
  Root.set("instance", Settings.Instance);
  Root.set("zone", Settings.Zone);
  Root.set("incarnation", SelfIncarnation);
  Root.set("ready", isReady());
  Root.set("config_version", Configuration->Version);
  Root.set("config_digest", Configuration->Digest);
  Root.set("config_unreadable", Config.unreadableCount());
  Root.set("in_flight", Frontend ? Frontend->inFlightCount() : 0);
  Poco::JSON::Array::Ptr ZoneMembers = new Poco::JSON::Array;
  for (const fleet::member_row &Row : Members.liveMembers())
    ZoneMembers->add(Row.Instance);
  Root.set("zone_members", ZoneMembers);
  Poco::JSON::Array::Ptr Rows = new Poco::JSON::Array;
  for (ledger_stream *Stream : createdStreams())
    Rows->add(toJson(Stream->status()));
  Root.set("streams", Rows);
  return toText(Root);
}

std::string tamarack_daemon::burnJson() {
  std::vector<report::burn_row> Rows;
  {
    const std::lock_guard Guard(BurnTrackerLock);
    Rows = BurnTracker.rows(Clock.now());
  }
  Poco::JSON::Array::Ptr Items = new Poco::JSON::Array;
  for (const report::burn_row &Row : Rows) {
    Poco::JSON::Object::Ptr Item = new Poco::JSON::Object;
    Item->set("subject", Row.Subject);
    Item->set("account", Row.Account);
    Item->set("objective", Row.Objective);
    Poco::JSON::Array::Ptr Windows = new Poco::JSON::Array;
    for (const report::burn_window &Window : Row.Windows) {
      Poco::JSON::Object::Ptr WindowItem = new Poco::JSON::Object;
      WindowItem->set("total", Window.TotalRequests);
      WindowItem->set("bad", Window.BadRequests);
      Windows->add(WindowItem);
    }
    Item->set("windows", Windows);
    Items->add(Item);
  }
  Poco::JSON::Object Root;
  Root.set("rows", Items);
  return toText(Root);
}

void tamarack_daemon::updateGauges() {
  ledger::fold_counters FoldTotals;
  money::home_counters HomeTotals;
  std::uint64_t OpenGrantCount = 0;
  std::uint64_t RequestKeyCount = 0;
  for (ledger_stream *Stream : createdStreams()) {
    const stream_status Status = Stream->status();
    FoldTotals.Violations += Status.FoldCounters.Violations;
    FoldTotals.Unreadable += Status.FoldCounters.Unreadable;
    FoldTotals.DuplicateKeys += Status.FoldCounters.DuplicateKeys;
    FoldTotals.DigestMismatches += Status.FoldCounters.DigestMismatches;
    HomeTotals.Exhausted += Status.HomeCounters.Exhausted;
    HomeTotals.Unavailable += Status.HomeCounters.Unavailable;
    HomeTotals.FalseRefusals += Status.HomeCounters.FalseRefusals;
    HomeTotals.Batches += Status.HomeCounters.Batches;
    OpenGrantCount += Status.OpenGrantCount;
    RequestKeyCount += Status.RequestKeyCount;
  }
  Metrics.counterOf("tamarack_budget_violations_total")
      .set(FoldTotals.Violations);
  Metrics.counterOf("tamarack_unreadable_records_total")
      .set(FoldTotals.Unreadable);
  Metrics.counterOf("tamarack_repeated_bills_total")
      .set(FoldTotals.DuplicateKeys);
  Metrics.counterOf("tamarack_digest_mismatches_total")
      .set(FoldTotals.DigestMismatches);
  Metrics.counterOf("tamarack_refused_exhausted_total")
      .set(HomeTotals.Exhausted);
  Metrics.counterOf("tamarack_refused_unavailable_total")
      .set(HomeTotals.Unavailable);
  Metrics.counterOf("tamarack_false_refusals_total")
      .set(HomeTotals.FalseRefusals);
  Metrics.counterOf("tamarack_ledger_batches_total").set(HomeTotals.Batches);
  Metrics.counterOf("tamarack_peer_sent_bytes_total")
      .set(PeerTraffic.SentBytes.load());
  Metrics.counterOf("tamarack_peer_received_bytes_total")
      .set(PeerTraffic.ReceivedBytes.load());
  Metrics.gaugeOf("tamarack_open_grants").set(OpenGrantCount);
  Metrics.gaugeOf("tamarack_request_keys").set(RequestKeyCount);
  Metrics.gaugeOf("tamarack_in_flight")
      .set(
          static_cast<std::uint64_t>(Frontend ? Frontend->inFlightCount() : 0));
  Metrics.gaugeOf("tamarack_config_version")
      .set(Config.activeConfiguration()->Version);
}

std::string tamarack_daemon::metricsText() {
  updateGauges();
  return Metrics.prometheusText();
}

} // namespace tamarack::daemon
