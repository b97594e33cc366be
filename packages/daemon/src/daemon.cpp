// Composition of one tamarackd.
#include "daemon.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <sstream>

namespace tamarack::daemon {

namespace {

constexpr std::size_t KeptAnswerBytes = 8 * 1024 * 1024;
constexpr int MaintainMs = 500;
constexpr int PollerThreads = 4;
constexpr int DrainStepMs = 50;
constexpr int LeaveMs = 10'000; // For handing grants back.

Poco::Net::Context::Ptr clientContext(const daemon_settings &Settings) {
  if (!Settings.ClientTls.enabled())
    return nullptr;
  return adapters::makeClientContext(Settings.ClientTls);
}

std::string textOf(const Poco::JSON::Object &Object) {
  std::ostringstream Out;
  Object.stringify(Out);
  return Out.str();
}

Poco::JSON::Object::Ptr jsonOf(const stream_status &Status) {
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
      Self(money::makeIncarnation(Clock.now(), Random.next())), Part("daemon"),
      Endpoints(clientContext(Settings)), Log(Endpoints, Settings.PlatformUrl),
      List(Endpoints, Settings.PlatformUrl), Peers(Settings.PeerTls, Traffic),
      Policy(money::makeDemandPolicy()), Choice(routing::makePrefixAware()),
      Config(Log, Random),
      Dispatcher(Settings.Zone, *Choice,
                 static_cast<std::size_t>(Settings.QueueLength), Clock, Random),
      Members(selfRow(), Settings.Peers, List, Peers, Config, Dispatcher, Clock,
              Random),
      Money(Settings.Streams, Self, *this, Members, Peers),
      Runs(KeptAnswerBytes), Services{{Self, Settings.Instance},
                                      {Settings.LargestBody, Settings.QueueMs},
                                      Config,
                                      Dispatcher,
                                      Money,
                                      Members,
                                      Runs,
                                      Endpoints,
                                      Metrics,
                                      BurnLock,
                                      Burn,
                                      Clock,
                                      Random},
      Poller(Settings.Zone, Config, Dispatcher, Members, Endpoints,
             PollerThreads) {}

tamarack_daemon::~tamarack_daemon() {
  Front.reset();
  Poller.stop();
  Stopping = true;
  if (Maintainer.joinable())
    Maintainer.join();
  Members.stop();
  PeerServer.reset();
  Config.stop();
}

fleet::member_row tamarack_daemon::selfRow() const {
  fleet::member_row Row;
  Row.Instance = Settings.Instance;
  Row.Zone = Settings.Zone;
  Row.PeerUrl = Settings.PeerUrl;
  Row.HttpUrl = Settings.HttpUrl;
  Row.Incarnation = Self;
  return Row;
}

void tamarack_daemon::start() {
  adapters::peer_handler &Handler = *this;
  admin_pages &Pages = *this;
  PeerServer = std::make_unique<adapters::nng_server>(
      Settings.PeerUrl, Settings.PeerTls, Handler, Settings.PeerThreads,
      Traffic);
  Config.start();
  Members.start();
  Poller.start();
  Maintainer = std::thread([this] { maintainLoop(); });
  Front = std::make_unique<http_front>(Settings, Services, Pages);
  Part.info("Serving on " + Settings.HttpUrl + " in zone " + Settings.Zone +
            " as incarnation " + std::to_string(Self) + ".");
}

void tamarack_daemon::drainAndStop() {
  Part.info("Leaving: finishing requests in flight.");
  Leaving = true;
  Members.setLeaving(); // Homes move to other daemons from now on.
  const time_ms End = Clock.monotonic() + Settings.DrainMs;
  while (Front->inFlight() > 0 && Clock.monotonic() < End)
    std::this_thread::sleep_for(std::chrono::milliseconds(DrainStepMs));
  if (Front->inFlight() > 0)
    Part.error(std::to_string(Front->inFlight()) +
               " requests are cut off by the end of the drain time.");
  bool Handed = true;
  for (ledger_stream *Stream : streams())
    Handed = Stream->waitUntilAllGrantsClosed(LeaveMs) && Handed;
  if (!Handed)
    Part.warn("Some grants could not be handed back; their witness closes "
              "them.");
  Front->stop();
  Part.info("Left.");
}

ledger_stream &tamarack_daemon::getOrCreateStream(std::uint32_t Stream) {
  const std::lock_guard Guard(LedgersLock);
  std::unique_ptr<ledger_stream> &Item = Ledgers[Stream];
  if (!Item)
    Item = std::make_unique<ledger_stream>(Stream, Self, *Policy, Log, Peers,
                                           Members, Clock, Random,
                                           Settings.CheckpointRecords);
  return *Item;
}

std::vector<ledger_stream *> tamarack_daemon::streams() {
  const std::lock_guard Guard(LedgersLock);
  std::vector<ledger_stream *> Result;
  for (const auto &[Number, Item] : Ledgers)
    Result.push_back(Item.get());
  return Result;
}

fleet::peer_answer tamarack_daemon::handle(const fleet::peer_request &Request) {
  const auto *Gossip = std::get_if<fleet::gossip_request>(&Request);
  if (Gossip != nullptr)
    return Members.handleGossip(*Gossip);
  return handleBudgetRequest(*this, Settings.Streams, Request);
}

void tamarack_daemon::maintainLoop() {
  while (!Stopping) {
    if (Members.hasJoined())
      for (std::uint32_t Number = 0; Number < Settings.Streams; ++Number)
        if (Members.isHome(Number))
          getOrCreateStream(Number);
    for (ledger_stream *Stream : streams())
      Stream->runMaintenance();
    std::this_thread::sleep_for(std::chrono::milliseconds(MaintainMs));
  }
}

bool tamarack_daemon::isReady() {
  return !Leaving && Config.isReady() && Members.hasJoined();
}

std::string tamarack_daemon::statusJson() {
  Poco::JSON::Object Top;
  const std::shared_ptr<const config::configuration> Current =
      Config.activeConfiguration();
  Top.set("instance", Settings.Instance);
  Top.set("zone", Settings.Zone);
  Top.set("incarnation", Self);
  Top.set("ready", isReady());
  Top.set("config_version", Current->Version);
  Top.set("config_digest", Current->Digest);
  Top.set("config_unreadable", Config.unreadableCount());
  Top.set("in_flight", Front ? Front->inFlight() : 0);
  Poco::JSON::Array::Ptr Live = new Poco::JSON::Array;
  for (const fleet::member_row &Row : Members.liveMembers())
    Live->add(Row.Instance);
  Top.set("zone_members", Live);
  Poco::JSON::Array::Ptr Rows = new Poco::JSON::Array;
  for (ledger_stream *Stream : streams())
    Rows->add(jsonOf(Stream->status()));
  Top.set("streams", Rows);
  return textOf(Top);
}

std::string tamarack_daemon::burnJson() {
  std::vector<report::burn_row> Rows;
  {
    const std::lock_guard Guard(BurnLock);
    Rows = Burn.rows(Clock.now());
  }
  Poco::JSON::Array::Ptr Items = new Poco::JSON::Array;
  for (const report::burn_row &Row : Rows) {
    Poco::JSON::Object::Ptr Item = new Poco::JSON::Object;
    Item->set("subject", Row.Subject);
    Item->set("account", Row.Account);
    Item->set("objective", Row.Objective);
    Poco::JSON::Array::Ptr Windows = new Poco::JSON::Array;
    for (const report::burn_window &Window : Row.Windows) {
      Poco::JSON::Object::Ptr Part = new Poco::JSON::Object;
      Part->set("total", Window.TotalRequests);
      Part->set("bad", Window.BadRequests);
      Windows->add(Part);
    }
    Item->set("windows", Windows);
    Items->add(Item);
  }
  Poco::JSON::Object Top;
  Top.set("rows", Items);
  return textOf(Top);
}

void tamarack_daemon::updateGauges() {
  money::fold_counters Fold;
  money::home_counters Home;
  std::uint64_t Grants = 0;
  std::uint64_t Keys = 0;
  for (ledger_stream *Stream : streams()) {
    const stream_status Status = Stream->status();
    Fold.Violations += Status.FoldCounters.Violations;
    Fold.Unreadable += Status.FoldCounters.Unreadable;
    Fold.DuplicateKeys += Status.FoldCounters.DuplicateKeys;
    Fold.DigestMismatches += Status.FoldCounters.DigestMismatches;
    Home.Exhausted += Status.HomeCounters.Exhausted;
    Home.Unavailable += Status.HomeCounters.Unavailable;
    Home.FalseRefusals += Status.HomeCounters.FalseRefusals;
    Home.Batches += Status.HomeCounters.Batches;
    Grants += Status.OpenGrantCount;
    Keys += Status.RequestKeyCount;
  }
  Metrics.counterOf("tamarack_budget_violations_total").set(Fold.Violations);
  Metrics.counterOf("tamarack_unreadable_records_total").set(Fold.Unreadable);
  Metrics.counterOf("tamarack_repeated_bills_total").set(Fold.DuplicateKeys);
  Metrics.counterOf("tamarack_digest_mismatches_total")
      .set(Fold.DigestMismatches);
  Metrics.counterOf("tamarack_refused_exhausted_total").set(Home.Exhausted);
  Metrics.counterOf("tamarack_refused_unavailable_total").set(Home.Unavailable);
  Metrics.counterOf("tamarack_false_refusals_total").set(Home.FalseRefusals);
  Metrics.counterOf("tamarack_ledger_batches_total").set(Home.Batches);
  Metrics.counterOf("tamarack_peer_sent_bytes_total")
      .set(Traffic.SentBytes.load());
  Metrics.counterOf("tamarack_peer_received_bytes_total")
      .set(Traffic.ReceivedBytes.load());
  Metrics.gaugeOf("tamarack_open_grants").set(Grants);
  Metrics.gaugeOf("tamarack_request_keys").set(Keys);
  Metrics.gaugeOf("tamarack_in_flight")
      .set(static_cast<std::uint64_t>(Front ? Front->inFlight() : 0));
  Metrics.gaugeOf("tamarack_config_version")
      .set(Config.activeConfiguration()->Version);
}

std::string tamarack_daemon::metricsText() {
  updateGauges();
  return Metrics.prometheusText();
}

} // namespace tamarack::daemon
