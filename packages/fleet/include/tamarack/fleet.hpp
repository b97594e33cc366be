// Daemons of one availability zone: which are alive, and which one is home,
// witness or load poller.
//
// Contents:
//   members       member_row, member_heartbeat, member_table
//   placement     homeOf, witnessOf
//   messages      endpoint_load, pollerOf, peer requests and responses,
//                 encodeRequest, encodeResponse, decodeRequest,
//                 decodeResponse, peer_client
//
// Every daemon has its own view of the members, which may lag behind and
// differ from the views of others. If two daemons both consider themselves
// home of a ledger stream, they hold disjoint grants: more prepaid tokens are
// tied up in grants than necessary, but no token is spent twice.
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

using ledger::incarnation_id;

//---------------------------------------------------------------------------
// Members
//---------------------------------------------------------------------------

// Description of one daemon, spread by gossip.
struct member_row {
  std::string Instance; // Name, unique in the fleet.
  std::string Zone;     // Availability zone.
  std::string PeerUrl;  // nng address.
  std::string HttpUrl;  // HTTP address.
  incarnation_id Incarnation = 0;
  std::uint64_t Heartbeat = 0; // Counts up while the daemon runs.
  bool Leaving = false;        // Takes no new work.
};

// The fields of a member_row that change. Sent in place of the complete row if
// the receiver is expected to have the row.
struct member_heartbeat {
  incarnation_id Incarnation = 0;
  std::uint64_t Heartbeat = 0;
  bool Leaving = false;
};

inline constexpr time_ms HeartbeatIntervalMs = 1000; // Between gossip rounds.
inline constexpr int GossipFanout = 3; // Peers of the zone per round.
// A member without a new heartbeat is suspected, and removed later.
inline constexpr time_ms SuspectAfterMs = 4000;
inline constexpr time_ms ForgetAfterMs = 60'000;

// Failure detector: spreads heartbeat counters by gossip. A member is suspected
// if its counter has not changed for SuspectAfterMs by the local clock. Not
// thread-safe.
class member_table {
public:
  explicit member_table(member_row Self);

  // Increments this daemon's heartbeat and removes members without a new
  // heartbeat for ForgetAfterMs. Call it at least every HeartbeatIntervalMs.
  void advanceHeartbeat(time_ms Now);
  void setLeaving();

  // Merges rows and heartbeats that a peer sent. Heartbeats of unknown
  // incarnations are ignored.
  void mergeRows(std::span<const member_row> Rows, time_ms Now);
  void mergeHeartbeats(std::span<const member_heartbeat> Heartbeats,
                       time_ms Now);

  // Call after a request to the member got no response: the member is not
  // eligible for a role until its next heartbeat. It is not suspected, because
  // one failed request does not justify closing its grants.
  void markUnresponsive(incarnation_id Incarnation);

  // Replaces the platform's instance list. The list gives addresses to contact
  // but is no evidence that an instance is alive.
  void setPlatformInstances(std::span<const instance_info> Instances);

  // Heartbeats of this daemon and of the members of its zone that are not
  // suspected.
  std::vector<member_heartbeat> heartbeats(time_ms Now) const;

  // Rows of the other members of this zone that are not suspected and have no
  // entry in Heartbeats.
  std::vector<member_row>
  rowsMissingFrom(std::span<const member_heartbeat> Heartbeats,
                  time_ms Now) const;

  // Members of this zone that may be home, witness or load poller: neither
  // suspected, unresponsive nor leaving. Includes this daemon unless it is
  // leaving. In order of instance name.
  std::vector<member_row> eligibleMembers(time_ms Now) const;

  // Incarnations that are suspected, were removed after ForgetAfterMs, or were
  // replaced by a newer incarnation of the same instance.
  std::set<incarnation_id> suspectedIncarnations(time_ms Now) const;

  // Incarnations of this daemon and of all members, suspected ones included.
  // Members without a heartbeat for ForgetAfterMs are no longer members.
  std::set<incarnation_id> knownIncarnations() const;

  // Addresses of peers to gossip with in this round, chosen at random:
  // GossipFanout of this zone and, in one round of four on average, one of
  // another zone.
  std::vector<std::string> gossipTargets(random_source &Random) const;

  // True if the address belongs to a peer of this zone or to no known peer.
  bool isInOwnZone(std::string_view PeerUrl) const;

  std::optional<member_row> find(incarnation_id Incarnation) const;
  // HTTP address of an instance of any zone, from gossip if possible, otherwise
  // from the platform's instance list.
  std::optional<std::string> httpUrl(std::string_view Instance) const;
  const member_row &self() const { return Self; }

private:
  struct member {
    member_row Row;
    time_ms LastHeartbeatAt = 0; // Local time of the last new heartbeat.
    bool Unresponsive = false;   // A request since then got no response.
  };

  bool isSuspect(const member &Item, time_ms Now) const;
  void mergeRow(const member_row &Row, time_ms Now);
  static void mergeHeartbeat(member &Member, const member_heartbeat &Heartbeat,
                             time_ms Now);

  member_row Self;
  std::map<std::string, member, std::less<>> Members; // By instance, no self.
  std::map<incarnation_id, std::string> InstanceOfIncarnation; // Of Members.
  // Incarnations that were removed after ForgetAfterMs or replaced by a newer
  // incarnation, with the local time of the removal or replacement. Entries
  // expire after one day.
  std::map<incarnation_id, time_ms> DeadIncarnations;
  std::vector<instance_info> PlatformInstances;
};

//---------------------------------------------------------------------------
// Placement
//---------------------------------------------------------------------------

// The daemon that owns the grants of a ledger stream in its zone. Rendezvous
// hashing over instance names: if a daemon joins or leaves, only its own
// streams move. Members must not be empty.
const member_row &homeOf(std::uint32_t Stream,
                         std::span<const member_row> Members);

// The daemon that stores replicas of the home's bill lines: the highest-ranked
// member other than Home. Null if there is no other member.
const member_row *witnessOf(std::uint32_t Stream,
                            std::span<const member_row> Members,
                            incarnation_id Home);

//---------------------------------------------------------------------------
// Messages between daemons
//---------------------------------------------------------------------------

// Load report of an endpoint, spread by the daemon that polled the endpoint.
struct endpoint_load {
  std::uint32_t EndpointHash = 0; // endpointHash() of the endpoint's name.
  std::int32_t Running = 0;       // Requests in process.
  std::int32_t Waiting = 0;       // Requests in the endpoint's queue.
  std::int32_t AgeMs = 0;         // Since the endpoint measured the load.
  bool Leaving = false;           // Takes no new work.
};

// Identifies an endpoint in messages.
std::uint32_t endpointHash(std::string_view Name);

// The member that polls an endpoint for its load report. Members must not be
// empty.
const member_row &pollerOf(std::string_view Endpoint,
                           std::span<const member_row> Members);

struct gossip_request {
  member_row Sender;
  std::vector<member_heartbeat> Heartbeats; // Empty to another zone.
  std::uint64_t NextConfigOffset = 0; // First config record the sender lacks.
  std::vector<std::string> LeavingEndpoints; // Names.
  std::vector<endpoint_load> EndpointLoads;  // Newest; empty to another zone.
};

struct gossip_response {
  std::vector<member_row> Rows;        // Responder's row, rows sender lacks.
  std::uint64_t NextConfigOffset = 0;  // First config record responder lacks.
  std::uint64_t FirstConfigOffset = 0; // Offset of ConfigRecords.front().
  std::vector<byte_string> ConfigRecords;
  std::vector<std::string> LeavingEndpoints; // Names.
  std::vector<endpoint_load> EndpointLoads;
};

// Requests a reservation from the home of a budget.
struct reserve_request {
  std::string Budget;
  ledger::request_key Key;
  ledger::amount Amount = 0;    // Prepaid tokens.
  std::int64_t WaitMs = 0;      // Longest wait at the home.
  incarnation_id Requester = 0; // If it dies, the home frees the reservation.
};

struct reserve_response {
  money::refusal Refusal = money::refusal::None;
  money::reservation Reservation; // Valid if Refusal is None.
};

// Bills a reservation.
struct settle_request {
  std::string Budget;
  money::reservation Reservation;
  time_ms Minted = 0;        // Creation time of the request key.
  ledger::amount Actual = 0; // Prepaid tokens used.
  std::int64_t WaitMs = 0;   // Longest wait at the home.
};

struct settle_response {
  // True if the bill line is stored by holder and witness; only then may the
  // response to the caller end.
  bool Replicated = false;
};

// Frees a reservation without a bill.
struct release_request {
  std::string Budget;
  money::reservation Reservation;
};

// Claims the execution of a not-repeatable request. At most one claim of a key
// wins.
struct claim_request {
  std::string Budget;
  ledger::request_key Key;
  time_ms Minted = 0; // Creation time of the request key.
  ledger::executor_id Executor;
  std::int64_t WaitMs = 0; // Longest wait at the home.
};

struct claim_response {
  bool Decided = false;         // False: the log did not respond in time.
  ledger::executor_id Executor; // Winner of the claim; none if the key expired.
};

// Sends changes of grants and bill lines from a holder to its witness.
struct witness_request {
  std::uint32_t Stream = 0;
  money::witness_update Update;
};

struct witness_response {
  // Sealed grants, whose lines were refused. All other lines are stored.
  std::vector<ledger::grant_id> RefusedGrants;
};

struct empty_response {}; // The request was handled; there is no data.

struct error_response {
  std::string Text; // Why the request was not handled.
};

// The position of a type in these variants is its number on the wire.
using peer_request =
    std::variant<gossip_request, reserve_request, settle_request,
                 release_request, claim_request, witness_request>;
using peer_response =
    std::variant<gossip_response, reserve_response, settle_response,
                 claim_response, witness_response, empty_response,
                 error_response>;

byte_string encodeRequest(const peer_request &Request);
byte_string encodeResponse(const peer_response &Response);

// Return nothing if the bytes are no valid message. Never throw on bad input.
std::optional<peer_request> decodeRequest(byte_view Bytes);
std::optional<peer_response> decodeResponse(byte_view Bytes);

// Sends requests to other daemons. Thread-safe.
class peer_client {
public:
  virtual ~peer_client() = default;
  // Returns nothing if no response arrived within TimeoutMs. The peer may have
  // handled the request nevertheless.
  virtual std::optional<peer_response> call(std::string_view PeerUrl,
                                            const peer_request &Request,
                                            int TimeoutMs) = 0;
};

} // namespace tamarack::fleet
