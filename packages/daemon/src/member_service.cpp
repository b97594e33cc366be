// Membership of the fleet: gossip with other daemons and the platform's
// instance list.
#include "member_service.hpp"

#include <algorithm>

namespace tamarack::daemon {

namespace {

constexpr int GossipTimeoutMs = 800;
// After this wait without a peer the daemon takes itself for the only one.
constexpr time_ms JoinTimeoutMs = 3000;
// A seed is contacted in one round of so many, even if peers are known.
constexpr std::uint64_t SeedInterval = 16;
constexpr int ListIntervalMs = 5000; // Between two reads of the instance list.

} // namespace

member_service::member_service(fleet::member_row Self,
                               std::vector<std::string> Seeds,
                               instance_list &InstanceList,
                               fleet::peer_client &PeerClient,
                               config_service &Config,
                               endpoint_gossip &EndpointGossip, clock &Clock,
                               random_source &Random)
    : Seeds(std::move(Seeds)), InstanceList(InstanceList),
      PeerClient(PeerClient), Config(Config), EndpointGossip(EndpointGossip),
      Clock(Clock), Random(Random), Logger("members"),
      MemberTable(std::move(Self)) {}

member_service::~member_service() { stop(); }

void member_service::start() {
  StartedAt = Clock.monotonic();
  Threads.emplace_back([this] { instanceListLoop(); });
  for (int Index = 0; Index < fleet::GossipFanout + 1; ++Index)
    Threads.emplace_back([this] { gossipLoop(); });
}

void member_service::stop() {
  {
    const std::lock_guard Guard(Lock);
    Stopping = true;
    StopCondition.notify_all();
  }
  for (std::thread &Thread : Threads)
    Thread.join();
  Threads.clear();
}

void member_service::setLeaving() {
  const std::lock_guard Guard(Lock);
  MemberTable.setLeaving();
}

money::home_view member_service::homeView(std::uint32_t Stream) {
  const std::lock_guard Guard(Lock);
  const time_ms Now = Clock.monotonic();
  const std::vector<fleet::member_row> Live = MemberTable.eligibleMembers(Now);
  money::home_view View;
  const fleet::member_row *Witness =
      fleet::witnessOf(Stream, Live, MemberTable.self().Incarnation);
  if (Witness != nullptr)
    View.Witness = Witness->Incarnation;
  View.HolderCount = std::max<int>(1, static_cast<int>(ListedZones.size()));
  View.Leaving = MemberTable.self().Leaving;
  if (!View.Leaving && !Live.empty()) {
    const fleet::member_row &Home = fleet::homeOf(Stream, Live);
    View.NotHome = Home.Incarnation != MemberTable.self().Incarnation;
  }
  View.Suspected = MemberTable.suspectedIncarnations(Now);
  return View;
}

std::optional<std::string>
member_service::peerUrl(ledger::incarnation_id Peer) {
  const std::optional<fleet::member_row> Row = findMember(Peer);
  if (!Row)
    return std::nullopt;
  return Row->PeerUrl;
}

bool member_service::isHome(std::uint32_t Stream) {
  const std::lock_guard Guard(Lock);
  const std::vector<fleet::member_row> Live =
      MemberTable.eligibleMembers(Clock.monotonic());
  return !Live.empty() && fleet::homeOf(Stream, Live).Incarnation ==
                              MemberTable.self().Incarnation;
}

std::set<ledger::incarnation_id> member_service::recentlyHeardIncarnations() {
  const std::lock_guard Guard(Lock);
  return MemberTable.knownIncarnations();
}

void member_service::markUnresponsive(ledger::incarnation_id Peer) {
  const std::lock_guard Guard(Lock);
  MemberTable.markUnresponsive(Peer);
}

std::vector<fleet::member_row>
member_service::homeCandidates(std::uint32_t Stream, int MaxCount) {
  const std::lock_guard Guard(Lock);
  std::vector<fleet::member_row> Live =
      MemberTable.eligibleMembers(Clock.monotonic());
  std::vector<fleet::member_row> Result;
  while (!Live.empty() && static_cast<int>(Result.size()) < MaxCount) {
    const fleet::member_row Home = fleet::homeOf(Stream, Live);
    std::erase_if(Live, [&Home](const fleet::member_row &Row) {
      return Row.Incarnation == Home.Incarnation;
    });
    Result.push_back(Home);
  }
  if (Result.empty())
    Result.push_back(MemberTable.self());
  return Result;
}

std::optional<fleet::member_row>
member_service::findMember(ledger::incarnation_id Incarnation) {
  const std::lock_guard Guard(Lock);
  return MemberTable.find(Incarnation);
}

// Reads the instance list again if the instance is unknown, as it may be new.
std::optional<std::string> member_service::httpUrl(std::string_view Instance) {
  {
    const std::lock_guard Guard(Lock);
    std::optional<std::string> Url = MemberTable.httpUrl(Instance);
    if (Url)
      return Url;
  }
  try {
    refreshInstanceList();
  } catch (const log_unavailable &) {
    return std::nullopt;
  }
  const std::lock_guard Guard(Lock);
  return MemberTable.httpUrl(Instance);
}

std::vector<fleet::member_row> member_service::liveMembers() {
  const std::lock_guard Guard(Lock);
  return MemberTable.eligibleMembers(Clock.monotonic());
}

ledger::incarnation_id member_service::selfIncarnation() {
  const std::lock_guard Guard(Lock);
  return MemberTable.self().Incarnation;
}

bool member_service::hasJoined() {
  const std::lock_guard Guard(Lock);
  const time_ms Now = Clock.monotonic();
  return Now - StartedAt >= JoinTimeoutMs ||
         MemberTable.eligibleMembers(Now).size() > 1;
}

fleet::gossip_response
member_service::handleGossip(const fleet::gossip_request &Request) {
  fleet::gossip_response Response;
  {
    const std::lock_guard Guard(Lock);
    const time_ms Now = Clock.monotonic();
    MemberTable.mergeRows({&Request.Sender, 1}, Now);
    MemberTable.mergeHeartbeats(Request.Heartbeats, Now);
    if (Request.Sender.Zone == MemberTable.self().Zone)
      Response.Rows = MemberTable.rowsMissingFrom(Request.Heartbeats, Now);
    Response.Rows.push_back(MemberTable.self());
  }
  Response.NextConfigOffset = Config.nextOffset();
  Response.ConfigRecords =
      Config.recordsFrom(Request.NextConfigOffset, Response.FirstConfigOffset);
  EndpointGossip.onPeerLeaving(Request.LeavingEndpoints);
  EndpointGossip.onPeerLoads(Request.EndpointLoads);
  Response.LeavingEndpoints = EndpointGossip.leavingEndpoints();
  if (!Request.EndpointLoads.empty())
    Response.EndpointLoads = EndpointGossip.freshestLoads();
  return Response;
}

// Runs in several threads, so that one unresponsive peer does not delay gossip
// with the others.
void member_service::gossipLoop() {
  while (!isStopped()) {
    std::vector<std::string> Targets;
    {
      const std::lock_guard Guard(Lock);
      MemberTable.advanceHeartbeat(Clock.monotonic());
      Targets = MemberTable.gossipTargets(Random);
    }
    if (!Targets.empty())
      gossipWith(Targets[Random.next() % Targets.size()]);
    if (!Seeds.empty() &&
        (Targets.empty() || Random.next() % SeedInterval == 0))
      gossipWith(Seeds[Random.next() % Seeds.size()]);
    waitUnlessStopped(static_cast<int>(fleet::HeartbeatIntervalMs));
  }
}

void member_service::gossipWith(const std::string &PeerUrl) {
  fleet::gossip_request Request;
  bool IsSameZone = false;
  {
    const std::lock_guard Guard(Lock);
    if (PeerUrl == MemberTable.self().PeerUrl)
      return;
    Request.Sender = MemberTable.self();
    IsSameZone = MemberTable.isInOwnZone(PeerUrl);
    if (IsSameZone)
      Request.Heartbeats = MemberTable.heartbeats(Clock.monotonic());
  }
  Request.NextConfigOffset = Config.nextOffset();
  Request.LeavingEndpoints = EndpointGossip.leavingEndpoints();
  if (IsSameZone)
    Request.EndpointLoads = EndpointGossip.freshestLoads();
  const std::optional<fleet::peer_response> Response =
      PeerClient.call(PeerUrl, Request, GossipTimeoutMs);
  const auto *GossipResponse =
      Response ? std::get_if<fleet::gossip_response>(&*Response) : nullptr;
  if (GossipResponse == nullptr)
    return;
  {
    const std::lock_guard Guard(Lock);
    MemberTable.mergeRows(GossipResponse->Rows, Clock.monotonic());
  }
  Config.mergePeerRecords(GossipResponse->FirstConfigOffset,
                          GossipResponse->ConfigRecords);
  EndpointGossip.onPeerLeaving(GossipResponse->LeavingEndpoints);
  EndpointGossip.onPeerLoads(GossipResponse->EndpointLoads);
}

void member_service::refreshInstanceList() {
  const std::vector<instance_info> Rows = InstanceList.list();
  const std::lock_guard Guard(Lock);
  MemberTable.setPlatformInstances(Rows);
  ListedZones.clear();
  for (const instance_info &Row : Rows)
    ListedZones.insert(Row.Zone);
}

void member_service::instanceListLoop() {
  while (!isStopped()) {
    try {
      instance_info Self;
      {
        const std::lock_guard Guard(Lock);
        const fleet::member_row &Row = MemberTable.self();
        Self = {Row.Instance, Row.Zone, Row.PeerUrl, Row.HttpUrl, Row.Leaving};
      }
      InstanceList.announce(Self);
      refreshInstanceList();
      const std::lock_guard Guard(Lock);
      for (ledger::incarnation_id Suspect :
           MemberTable.suspectedIncarnations(Clock.monotonic()))
        if (LoggedSuspects.insert(Suspect).second)
          Logger.warn("Incarnation " + std::to_string(Suspect) +
                      " is suspected: no heartbeats, or replaced by a newer "
                      "incarnation of its instance.");
    } catch (const log_unavailable &Error) {
      Logger.warn(std::string("The instance list is unavailable: ") +
                  Error.what() + ".");
    }
    waitUnlessStopped(ListIntervalMs);
  }
}

void member_service::waitUnlessStopped(int Ms) {
  std::unique_lock Guard(Lock);
  StopCondition.wait_for(Guard, std::chrono::milliseconds(Ms),
                         [this] { return Stopping; });
}

bool member_service::isStopped() {
  const std::lock_guard Guard(Lock);
  return Stopping;
}

} // namespace tamarack::daemon
