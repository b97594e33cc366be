// Gossip with other daemons and the answers to their requests.
#include "member_service.hpp"

#include <algorithm>

namespace tamarack::daemon {

namespace {

constexpr int GossipTimeoutMs = 800;
constexpr time_ms JoinMs = 3000; // To hear of peers, before being alone.
constexpr int ListMs = 5000;     // Between two looks at the instance list.

} // namespace

member_service::member_service(fleet::member_row Self,
                               std::vector<std::string> Seeds,
                               instance_list &List, fleet::peer_client &Peers,
                               config_service &Config,
                               endpoint_exchange &Exchange, clock &Clock,
                               random_source &Random)
    : Seeds(std::move(Seeds)), List(List), Peers(Peers), Config(Config),
      Exchange(Exchange), Clock(Clock), Random(Random), Part("members"),
      Members(std::move(Self)) {}

member_service::~member_service() { stop(); }

void member_service::start() {
  Started = Clock.monotonic();
  Threads.emplace_back([this] { listLoop(); });
  for (int Index = 0; Index < fleet::GossipFanout + 1; ++Index)
    Threads.emplace_back([this] { gossipLoop(); });
}

void member_service::stop() {
  {
    const std::lock_guard Guard(Lock);
    Stopping = true;
    Wake.notify_all();
  }
  for (std::thread &Thread : Threads)
    Thread.join();
  Threads.clear();
}

void member_service::setLeaving() {
  const std::lock_guard Guard(Lock);
  Members.setLeaving();
}

money::home_view member_service::homeView(std::uint32_t Stream) {
  const std::lock_guard Guard(Lock);
  const time_ms Now = Clock.monotonic();
  const std::vector<fleet::member_row> Live = Members.eligibleMembers(Now);
  money::home_view View;
  const fleet::member_row *Witness =
      fleet::witnessOf(Stream, Live, Members.self().Incarnation);
  if (Witness != nullptr)
    View.Witness = Witness->Incarnation;
  View.Holders = std::max<int>(1, static_cast<int>(Zones.size()));
  View.Leaving = Members.self().Leaving;
  if (!View.Leaving && !Live.empty()) {
    const fleet::member_row &Home = fleet::homeOf(Stream, Live);
    View.NotHome = Home.Incarnation != Members.self().Incarnation;
  }
  View.Suspected = Members.suspectedIncarnations(Now);
  return View;
}

std::optional<std::string> member_service::peerUrl(money::incarnation_id Peer) {
  const std::optional<fleet::member_row> Row = find(Peer);
  if (!Row)
    return std::nullopt;
  return Row->PeerUrl;
}

bool member_service::isHome(std::uint32_t Stream) {
  const std::lock_guard Guard(Lock);
  const std::vector<fleet::member_row> Live =
      Members.eligibleMembers(Clock.monotonic());
  return !Live.empty() &&
         fleet::homeOf(Stream, Live).Incarnation == Members.self().Incarnation;
}

std::set<money::incarnation_id> member_service::livingIncarnations() {
  const std::lock_guard Guard(Lock);
  return Members.knownIncarnations();
}

void member_service::noteSilent(money::incarnation_id Peer) {
  const std::lock_guard Guard(Lock);
  Members.markUnresponsive(Peer);
}

std::vector<fleet::member_row> member_service::homes(std::uint32_t Stream,
                                                     int Largest) {
  const std::lock_guard Guard(Lock);
  std::vector<fleet::member_row> Live =
      Members.eligibleMembers(Clock.monotonic());
  std::vector<fleet::member_row> Result;
  while (!Live.empty() && static_cast<int>(Result.size()) < Largest) {
    const fleet::member_row Home = fleet::homeOf(Stream, Live);
    std::erase_if(Live, [&Home](const fleet::member_row &Row) {
      return Row.Incarnation == Home.Incarnation;
    });
    Result.push_back(Home);
  }
  if (Result.empty())
    Result.push_back(Members.self());
  return Result;
}

std::optional<fleet::member_row>
member_service::find(money::incarnation_id Incarnation) {
  const std::lock_guard Guard(Lock);
  return Members.find(Incarnation);
}

// An instance that is not known yet may be new: looks into the list again.
std::optional<std::string> member_service::httpUrl(std::string_view Instance) {
  {
    const std::lock_guard Guard(Lock);
    std::optional<std::string> Url = Members.httpUrl(Instance);
    if (Url)
      return Url;
  }
  try {
    refreshHints();
  } catch (const log_unavailable &) {
    return std::nullopt;
  }
  const std::lock_guard Guard(Lock);
  return Members.httpUrl(Instance);
}

std::vector<fleet::member_row> member_service::live() {
  const std::lock_guard Guard(Lock);
  return Members.eligibleMembers(Clock.monotonic());
}

money::incarnation_id member_service::selfIncarnation() {
  const std::lock_guard Guard(Lock);
  return Members.self().Incarnation;
}

bool member_service::hasJoined() {
  const std::lock_guard Guard(Lock);
  const time_ms Now = Clock.monotonic();
  return Now - Started >= JoinMs || Members.eligibleMembers(Now).size() > 1;
}

fleet::gossip_response
member_service::answer(const fleet::gossip_request &Request) {
  fleet::gossip_response Answer;
  {
    const std::lock_guard Guard(Lock);
    const time_ms Now = Clock.monotonic();
    Members.mergeRows({&Request.Sender, 1}, Now);
    Members.mergeHeartbeats(Request.Heartbeats, Now);
    if (Request.Sender.Zone == Members.self().Zone)
      Answer.Rows = Members.rowsMissingFrom(Request.Heartbeats, Now);
    Answer.Rows.push_back(Members.self());
  }
  Answer.NextConfigOffset = Config.next();
  Answer.ConfigRecords =
      Config.recordsFrom(Request.NextConfigOffset, Answer.FirstConfigOffset);
  Exchange.onLeaving(Request.LeavingEndpoints);
  Exchange.onLoads(Request.EndpointLoads);
  Answer.LeavingEndpoints = Exchange.leaving();
  if (!Request.EndpointLoads.empty())
    Answer.EndpointLoads = Exchange.loads();
  return Answer;
}

// Several threads gossip, so that one silent peer does not hold up the rest.
void member_service::gossipLoop() {
  while (!stopped()) {
    std::vector<std::string> Targets;
    {
      const std::lock_guard Guard(Lock);
      Members.advanceHeartbeat(Clock.monotonic());
      Targets = Members.gossipTargets(Random);
    }
    if (!Targets.empty())
      tell(Targets[Random.next() % Targets.size()]);
    if (!Seeds.empty() && (Targets.empty() || Random.next() % 16 == 0))
      tell(Seeds[Random.next() % Seeds.size()]);
    waitFor(static_cast<int>(fleet::HeartbeatIntervalMs));
  }
}

void member_service::tell(const std::string &PeerUrl) {
  fleet::gossip_request Request;
  bool SameZone = false;
  {
    const std::lock_guard Guard(Lock);
    if (PeerUrl == Members.self().PeerUrl)
      return;
    Request.Sender = Members.self();
    SameZone = Members.isInOwnZone(PeerUrl);
    if (SameZone)
      Request.Heartbeats = Members.heartbeats(Clock.monotonic());
  }
  Request.NextConfigOffset = Config.next();
  Request.LeavingEndpoints = Exchange.leaving();
  if (SameZone)
    Request.EndpointLoads = Exchange.loads();
  const std::optional<fleet::peer_response> Reply =
      Peers.call(PeerUrl, Request, GossipTimeoutMs);
  const auto *Answer =
      Reply ? std::get_if<fleet::gossip_response>(&*Reply) : nullptr;
  if (Answer == nullptr)
    return;
  {
    const std::lock_guard Guard(Lock);
    Members.mergeRows(Answer->Rows, Clock.monotonic());
  }
  Config.offer(Answer->FirstConfigOffset, Answer->ConfigRecords);
  Exchange.onLeaving(Answer->LeavingEndpoints);
  Exchange.onLoads(Answer->EndpointLoads);
}

void member_service::refreshHints() {
  const std::vector<instance_info> Rows = List.list();
  const std::lock_guard Guard(Lock);
  Members.setPlatformInstances(Rows);
  Zones.clear();
  for (const instance_info &Row : Rows)
    Zones.insert(Row.Zone);
}

void member_service::listLoop() {
  while (!stopped()) {
    try {
      instance_info Self;
      {
        const std::lock_guard Guard(Lock);
        const fleet::member_row &Row = Members.self();
        Self = {Row.Instance, Row.Zone, Row.PeerUrl, Row.HttpUrl, Row.Leaving};
      }
      List.announce(Self);
      refreshHints();
      const std::lock_guard Guard(Lock);
      for (money::incarnation_id Suspect :
           Members.suspectedIncarnations(Clock.monotonic()))
        if (LoggedSuspects.insert(Suspect).second)
          Part.warn("Incarnation " + std::to_string(Suspect) +
                    " is suspected.");
    } catch (const log_unavailable &Error) {
      Part.warn(std::string("The instance list is away: ") + Error.what() +
                ".");
    }
    waitFor(ListMs);
  }
}

void member_service::waitFor(int Ms) {
  std::unique_lock Guard(Lock);
  Wake.wait_for(Guard, std::chrono::milliseconds(Ms),
                [this] { return Stopping; });
}

bool member_service::stopped() {
  const std::lock_guard Guard(Lock);
  return Stopping;
}

} // namespace tamarack::daemon
