// Membership of the fleet: gossip with other daemons and the platform's
// instance list.
//
// Lock order: member_service::Lock may be taken while ledger_stream::Lock is
// held, never the other way round. member_service::Lock is not held during a
// call to a peer or to the platform.
#pragma once

#include "config_service.hpp"
#include "ledger_stream.hpp"

#include "tamarack/adapters.hpp"
#include "tamarack/fleet.hpp"
#include "tamarack/routing.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace tamarack::daemon {

// Source and destination of the endpoint state that daemons gossip.
// Thread-safe.
class endpoint_gossip {
public:
  virtual ~endpoint_gossip() = default;
  // The newest load reports, for daemons of the own zone.
  virtual std::vector<fleet::endpoint_load> freshestLoads() = 0;
  virtual void onPeerLoads(std::span<const fleet::endpoint_load> Loads) = 0;
  // Names of the endpoints that reported to this daemon that they are leaving.
  // Those learned from a peer are not passed on, so that an old notice does not
  // circulate.
  virtual std::vector<std::string> leavingEndpoints() = 0;
  virtual void onPeerLeaving(std::span<const std::string> Endpoints) = 0;
};

// Thread-safe. Its own threads gossip and read the instance list.
class member_service final : public fleet_view {
public:
  member_service(fleet::member_row Self, std::vector<std::string> Seeds,
                 instance_list &InstanceList, fleet::peer_client &PeerClient,
                 config_service &Config, endpoint_gossip &EndpointGossip,
                 clock &Clock, random_source &Random);
  ~member_service() override;

  void start();
  void stop();
  // Announces that this daemon takes no new work, so that its streams get
  // another home.
  void setLeaving();

  // fleet_view
  money::home_view homeView(std::uint32_t Stream) override;
  std::optional<std::string> peerUrl(ledger::incarnation_id Peer) override;
  bool isHome(std::uint32_t Stream) override;
  void markUnresponsive(ledger::incarnation_id Peer) override;
  std::set<ledger::incarnation_id> recentlyHeardIncarnations() override;

  // The home of the stream, then the daemons next in rank; at most MaxCount, at
  // least one.
  std::vector<fleet::member_row> homeCandidates(std::uint32_t Stream,
                                                int MaxCount);
  std::optional<fleet::member_row>
  findMember(ledger::incarnation_id Incarnation);
  // HTTP address of an instance of any zone, from gossip or the instance list.
  std::optional<std::string> httpUrl(std::string_view Instance);
  // Daemons of the own zone that take work, without suspected ones.
  std::vector<fleet::member_row> liveMembers();
  ledger::incarnation_id selfIncarnation();
  // True once another daemon of the zone is known, or 3 s after the start.
  // Until then this daemon would consider itself home of every stream.
  bool hasJoined();

  fleet::gossip_response handleGossip(const fleet::gossip_request &Request);

private:
  void gossipLoop();
  void instanceListLoop();
  void refreshInstanceList();
  void gossipWith(const std::string &PeerUrl);
  void waitUnlessStopped(int Ms);
  bool isStopped();

  std::vector<std::string> Seeds;
  instance_list &InstanceList;
  fleet::peer_client &PeerClient;
  config_service &Config;
  endpoint_gossip &EndpointGossip;
  clock &Clock;
  random_source &Random;
  adapters::component_logger Logger;

  std::mutex Lock; // Guards all members below.
  std::condition_variable StopCondition;
  fleet::member_table MemberTable;
  std::set<std::string> ListedZones; // In the instance list.
  std::set<ledger::incarnation_id> LoggedSuspects;
  time_ms StartedAt = 0; // Monotonic.
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

} // namespace tamarack::daemon
