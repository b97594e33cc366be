// Gossip with other daemons and the answers to their requests.
//
// Lock order: a stream's lock may be held when Lock is taken; Lock is never
// held during a call to a peer or the platform.
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

// What daemons tell each other about endpoints. Thread-safe.
class endpoint_gossip {
public:
  virtual ~endpoint_gossip() = default;
  virtual std::vector<fleet::endpoint_load> freshestLoads() = 0;
  virtual void onPeerLoads(std::span<const fleet::endpoint_load> Loads) = 0;
  virtual std::vector<std::string> leavingEndpoints() = 0;
  virtual void onPeerLeaving(std::span<const std::string> Endpoints) = 0;
};

class member_service final : public fleet_view {
public:
  member_service(fleet::member_row Self, std::vector<std::string> Seeds,
                 instance_list &InstanceList, fleet::peer_link &PeerClient,
                 config_service &Config, endpoint_gossip &EndpointGossip,
                 clock &Clock, random_source &Random);
  ~member_service() override;

  void start();
  void stop();
  void setLeaving();

  money::home_view homeView(std::uint32_t Stream) override;
  std::optional<std::string> peerUrl(money::incarnation_id Peer) override;
  bool isHome(std::uint32_t Stream) override;
  void markUnresponsive(money::incarnation_id Peer) override;
  std::set<money::incarnation_id> recentlyHeardIncarnations() override;

  // Home first, then the next ranks; at most Largest.
  std::vector<fleet::member_row> homeCandidates(std::uint32_t Stream,
                                                int MaxCount);
  std::optional<fleet::member_row>
  findMember(money::incarnation_id Incarnation);
  // Address of an instance of any zone, as gossiped or listed.
  std::optional<std::string> httpUrl(std::string_view Instance);
  std::vector<fleet::member_row> liveMembers();
  money::incarnation_id selfIncarnation();
  // True once a peer of the zone was heard or none answered for a while. Before
  // that this daemon would take itself for home of everything.
  bool hasJoined();

  fleet::gossip_answer handleGossip(const fleet::gossip_request &Request);

private:
  void gossipLoop();
  void listLoop();
  void refreshInstanceList();
  void gossipWith(const std::string &PeerUrl);
  void waitUnlessStopped(int Ms);
  bool isStopped();

  std::vector<std::string> Seeds;
  instance_list &InstanceList;
  fleet::peer_link &PeerClient;
  config_service &Config;
  endpoint_gossip &EndpointGossip;
  clock &Clock;
  random_source &Random;
  adapters::log_part Logger;

  std::mutex Lock; // Guards all below.
  std::condition_variable StopCondition;
  fleet::member_table MemberTable;
  std::set<std::string> ListedZones; // Of the instance list.
  std::set<money::incarnation_id> LoggedSuspects;
  time_ms StartedAt = 0; // Monotonic.
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

} // namespace tamarack::daemon
