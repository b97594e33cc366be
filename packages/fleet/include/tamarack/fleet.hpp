// Daemons of one availability zone: who is alive, and who is home for what.
//
// Contents:
//   members       member_row, member_table
//   placement     homeOf, witnessOf
//   messages      peer requests and responses, encodeRequest, encodeResponse,
//                 decodeRequest, decodeResponse
//
// Views may differ between daemons and lag. Two daemons that both take
// themselves for home hold two disjoint grants, so a wrong view costs money
// in hand, never safety.
#pragma once

#include "tamarack/money.hpp"
#include "tamarack/ports.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace tamarack::fleet {

using money::incarnation_id;

//---------------------------------------------------------------------------
// Members
//---------------------------------------------------------------------------

// What is passed on about one daemon.
struct member_row {
  std::string Instance; // Name, unique in the fleet.
  std::string Zone;     // Availability zone.
  std::string PeerUrl;  // nng address.
  std::string HttpUrl;  // HTTP address.
  incarnation_id Incarnation = 0;
  std::uint64_t Heartbeat = 0; // Counts up while the daemon lives.
  bool Leaving = false;        // Takes no new work.
};

// What most messages carry of a member that the other side knows.
struct member_heartbeat {
  incarnation_id Incarnation = 0;
  std::uint64_t Heartbeat = 0;
  bool Leaving = false;
};

inline constexpr time_ms HeartbeatIntervalMs =
    1000;                                       // Between two rounds of gossip.
inline constexpr int GossipFanout = 3;          // Peers told in one round.
inline constexpr time_ms SuspectAfterMs = 4000; // Silence before suspicion.
inline constexpr time_ms ForgetAfterMs = 60'000; // Silence before removal.

// Gossip of heartbeat counters. A member is suspected if its counter has
// stood still for SuspectMs by the local clock. Not thread-safe.
class member_table {
public:
  explicit member_table(member_row Self);

  // Counts the own heartbeat up; call it every HeartbeatMs.
  void advanceHeartbeat(time_ms Now);
  void setLeaving();

  // Merges what a peer sent. Beats of unknown incarnations are ignored.
  void mergeRows(std::span<const member_row> Rows, time_ms Now);
  void mergeHeartbeats(std::span<const member_heartbeat> Beats, time_ms Now);

  // A call to the member got no answer: it gets no new role until its next
  // heartbeat. That is not yet a reason to close its grants.
  void markUnresponsive(incarnation_id Incarnation);

  // Replaces the hints by the platform's list: only whom to contact, never
  // who is alive.
  void setPlatformInstances(std::span<const instance_info> Hints);

  // Beats of the own zone that are not suspected, the own one included.
  std::vector<member_heartbeat> heartbeats(time_ms Now) const;

  // Live rows of the own zone that Beats does not name.
  std::vector<member_row>
  rowsMissingFrom(std::span<const member_heartbeat> Beats, time_ms Now) const;

  // Live members of the own zone that take work, the own row included unless
  // it is leaving. In order of instance name.
  std::vector<member_row> eligibleMembers(time_ms Now) const;

  // Every incarnation known to be dead or suspected: silent ones and ones
  // replaced by a newer incarnation of the same instance.
  std::set<incarnation_id> suspectedIncarnations(time_ms Now) const;

  // Every incarnation heard within ForgetMs, suspected ones included.
  std::set<incarnation_id> knownIncarnations() const;

  // Peers to tell in this round, chosen by Random: GossipFanout of the own
  // zone and, one round in four, one of another zone.
  std::vector<std::string> gossipTargets(random_source &Random) const;

  // True if the address belongs to the own zone, or to nobody known.
  bool isInOwnZone(std::string_view PeerUrl) const;

  std::optional<member_row> find(incarnation_id Incarnation) const;
  // HTTP address of an instance of any zone: gossiped, else from the hints.
  std::optional<std::string> httpUrl(std::string_view Instance) const;
  const member_row &self() const { return Self; }

private:
  struct member {
    member_row Row;
    time_ms LastHeartbeatAt = 0; // Local time of the last new heartbeat.
    bool Unresponsive = false;   // Left a call unanswered since then.
  };

  bool isSuspect(const member &Item, time_ms Now) const;
  void mergeRow(const member_row &Row, time_ms Now);
  static void mergeHeartbeat(member &Known, const member_heartbeat &Beat,
                             time_ms Now);

  member_row Self;
  std::map<std::string, member, std::less<>> Members; // By instance, no self.
  std::map<incarnation_id, std::string> InstanceOfIncarnation; // Of Members.
  std::map<incarnation_id, time_ms> DeadIncarnations;          // When replaced.
  std::vector<instance_info> PlatformInstances;
};

//---------------------------------------------------------------------------
// Placement
//---------------------------------------------------------------------------

// Rendezvous hashing over instance names: one daemon more or less moves only
// its own share. Members must not be empty.
const member_row &homeOf(std::uint32_t Stream,
                         std::span<const member_row> Members);

// The member next in rank after Home. Null if there is no other.
const member_row *witnessOf(std::uint32_t Stream,
                            std::span<const member_row> Members,
                            incarnation_id Home);

//---------------------------------------------------------------------------
// Messages between daemons
//---------------------------------------------------------------------------

// A load report, passed on by those who asked the endpoint.
struct endpoint_load {
  std::uint32_t EndpointHash = 0; // endpointHash of its name.
  std::int32_t Running = 0;
  std::int32_t Waiting = 0;
  std::int32_t AgeMs = 0; // Since the endpoint took the figures.
  bool Leaving = false;
};

std::uint32_t endpointHash(std::string_view Name);

// The member of Members that asks an endpoint for its load.
const member_row &pollerOf(std::string_view Endpoint,
                           std::span<const member_row> Members);

struct gossip_request {
  member_row Sender;
  std::vector<member_heartbeat> Heartbeats; // Empty to another zone.
  std::uint64_t NextConfigOffset = 0; // First config offset the sender lacks.
  std::vector<std::string>
      LeavingEndpoints; // Endpoints that said they are leaving.
  std::vector<endpoint_load>
      EndpointLoads; // The freshest known, own zone only.
};

struct gossip_response {
  std::vector<member_row> Rows;        // Own row and what the sender lacks.
  std::uint64_t NextConfigOffset = 0;  // First offset the answerer lacks.
  std::uint64_t FirstConfigOffset = 0; // Offset of the first record below.
  std::vector<byte_string> ConfigRecords;
  std::vector<std::string> LeavingEndpoints;
  std::vector<endpoint_load> EndpointLoads;
};

// Asks the home for a reservation. Waits up to WaitMs at the home.
struct reserve_request {
  std::string Budget;
  money::request_key Key;
  money::amount Amount = 0;
  std::int64_t WaitMs = 0;
  incarnation_id Requester =
      0; // Asking daemon; its death frees the reservation.
};

struct reserve_response {
  money::refusal Refusal = money::refusal::None;
  money::reservation Reservation;
};

struct settle_request {
  std::string Budget;
  money::reservation Reservation;
  time_ms Minted = 0;
  money::amount Actual = 0;
  std::int64_t WaitMs = 0;
};

struct settle_response {
  bool Replicated = false; // True: the bill is kept twice, the answer may end.
};

struct release_request {
  std::string Budget;
  money::reservation Reservation;
};

struct claim_request {
  std::string Budget;
  money::request_key Key;
  time_ms Minted = 0;
  money::runner_id Executor;
  std::int64_t WaitMs = 0;
};

struct claim_response {
  bool Decided = false;      // False: the log did not answer in time.
  money::runner_id Executor; // Winner; nobody if the key is too old.
};

struct witness_request {
  std::uint32_t Stream = 0;
  money::witness_update Update;
};

struct witness_response {
  std::vector<money::grant_id>
      RefusedGrants; // Sealed grants; other lines are kept.
};

struct empty_response {}; // Done, nothing to tell.

struct error_response {
  std::string Text; // The request was not understood or not for this daemon.
};

using peer_request =
    std::variant<gossip_request, reserve_request, settle_request,
                 release_request, claim_request, witness_request>;
using peer_response =
    std::variant<gossip_response, reserve_response, settle_response,
                 claim_response, witness_response, empty_response,
                 error_response>;

byte_string encodeRequest(const peer_request &Request);
byte_string encodeResponse(const peer_response &Answer);

// Nothing if the bytes are no message. Never throw on bad input.
std::optional<peer_request> decodeRequest(byte_view Bytes);
std::optional<peer_response> decodeResponse(byte_view Bytes);

// Calls another daemon. Thread-safe.
class peer_client {
public:
  virtual ~peer_client() = default;
  // Nothing if there was no answer within TimeoutMs; the request may have
  // been handled all the same.
  virtual std::optional<peer_response> call(std::string_view PeerUrl,
                                            const peer_request &Request,
                                            int TimeoutMs) = 0;
};

} // namespace tamarack::fleet
