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
class endpoint_exchange {
public:
  virtual ~endpoint_exchange() = default;
  virtual std::vector<fleet::endpoint_load> loads() = 0;
  virtual void onLoads(std::span<const fleet::endpoint_load> Loads) = 0;
  virtual std::vector<std::string> leaving() = 0;
  virtual void onLeaving(std::span<const std::string> Endpoints) = 0;
};

class member_service final : public fleet_view {
public:
  member_service(fleet::member_row Self, std::vector<std::string> Seeds,
                 instance_list &List, fleet::peer_client &Peers,
                 config_service &Config, endpoint_exchange &Exchange,
                 clock &Clock, random_source &Random);
  ~member_service() override;

  void start();
  void stop();
  void setLeaving();

  money::home_view homeView(std::uint32_t Stream) override;
  std::optional<std::string> peerUrl(money::incarnation_id Peer) override;
  bool isHome(std::uint32_t Stream) override;
  void noteSilent(money::incarnation_id Peer) override;
  std::set<money::incarnation_id> livingIncarnations() override;

  // Home first, then the next ranks; at most Largest.
  std::vector<fleet::member_row> homes(std::uint32_t Stream, int Largest);
  std::optional<fleet::member_row> find(money::incarnation_id Incarnation);
  // Address of an instance of any zone, as gossiped or listed.
  std::optional<std::string> httpUrl(std::string_view Instance);
  std::vector<fleet::member_row> live();
  money::incarnation_id selfIncarnation();
  // True once a peer of the zone was heard or none answered for a while. Before
  // that this daemon would take itself for home of everything.
  bool hasJoined();

  fleet::gossip_response answer(const fleet::gossip_request &Request);

private:
  void gossipLoop();
  void listLoop();
  void refreshHints();
  void tell(const std::string &PeerUrl);
  void waitFor(int Ms);
  bool stopped();

  std::vector<std::string> Seeds;
  instance_list &List;
  fleet::peer_client &Peers;
  config_service &Config;
  endpoint_exchange &Exchange;
  clock &Clock;
  random_source &Random;
  adapters::log_part Part;

  std::mutex Lock; // Guards all below.
  std::condition_variable Wake;
  fleet::member_table Members;
  std::set<std::string> Zones; // Of the instance list.
  std::set<money::incarnation_id> LoggedSuspects;
  time_ms Started = 0; // Monotonic.
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

} // namespace tamarack::daemon
