// Load balancing: selects the endpoint of a request and decides whether the
// request may start now.
//
// Contents:
//   endpoint state     load_report, candidate, endpoint_tracker
//   endpoint choice    balancing_policy and its implementations
//   rate limits        account_limiter
//   waiting            admission_queue
//   retries            retry_budget
//
// No class in this header is thread-safe or reads a clock. All times are
// monotonic ms.
#pragma once

#include "tamarack/config.hpp"
#include "tamarack/ports.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace tamarack::routing {

//---------------------------------------------------------------------------
// Endpoint state
//---------------------------------------------------------------------------

// Load that an endpoint reports about itself.
struct load_report {
  int Running = 0;      // Requests that the endpoint is processing.
  int Waiting = 0;      // Requests in the queue of the endpoint.
  bool Leaving = false; // True if the endpoint takes no new requests.
  int AgeMs = 0;        // Age of the report when it was received.
};

// The newest report of an endpoint. Report.AgeMs is the age of the report at
// the time of the query, not when it was received.
struct endpoint_report {
  std::string Endpoint;
  load_report Report;
};

// How one request to an endpoint ended.
enum class attempt_result {
  Succeeded, // The endpoint responded.
  Failed,    // Connection or server error.
  Refused,   // The endpoint responded that it takes no requests now.
  Cancelled, // The caller left; no evidence about the endpoint.
};

// An endpoint that a balancing policy may select.
struct candidate {
  const config::endpoint *Endpoint = nullptr;
  double EstimatedLoad = 0; // Estimated requests per slot, 1 = full.
  double ReportedLoad = 0;  // Requests per slot in the newest report.
  double HealthWeight = 1;  // Relative share of requests, 1 = healthy.
  bool SameZone = true;     // True if in the availability zone of the daemon.
};

// Health of an endpoint goes in levels from 0 to HealthLevelCount - 1, which is
// healthy. Each level has a weight, the relative share of requests that the
// endpoint gets: 1/64, 1/16, 1/4, 1/2, 1.
inline constexpr int HealthLevelCount = 5;

// Load and health of all endpoints, as one daemon knows them.
//
// The requests in an endpoint are estimated in two ways. The first is the
// newest report plus the requests that this daemon has sent and minus those
// that it has seen end since the report; this estimate is exact while the
// report is fresh. The second is the requests of this daemon in flight, scaled
// up to the whole fleet; this estimate does not age. The older the report, the
// more the second estimate counts.
//
// An endpoint that fails or is slow loses health levels quickly and regains
// them one at a time.
class endpoint_tracker {
public:
  explicit endpoint_tracker(std::string Zone); // Zone of this daemon.

  // Ignores a report that is older than the newest one known.
  void onLoadReport(std::string_view Endpoint, const load_report &Report,
                    time_ms Now);
  // Number of daemons that share the endpoints of the zone, this one included.
  void setZoneDaemonCount(int Count) { ZoneDaemonCount = std::max(1, Count); }
  // The endpoint itself or the list of the platform reports that the endpoint
  // is leaving.
  void onLeaving(std::string_view Endpoint, time_ms Now);
  // A peer daemon reports that the endpoint is leaving. This daemon does not
  // gossip the report further, else an outdated one would circulate for ever.
  void onPeerReportedLeaving(std::string_view Endpoint, time_ms Now);
  void onRequestSent(std::string_view Endpoint);
  // FirstTokenMs is only used if Result is Succeeded.
  void onRequestEnded(std::string_view Endpoint, attempt_result Result,
                      double FirstTokenMs, time_ms Now);

  // Endpoints that a request may be sent to now; empty if it must wait. The
  // first of these sets that is not empty:
  //   1. endpoints of the own zone that are healthy, lightly loaded and untried
  //   2. endpoints of the pool with a free slot
  //   3. endpoints of the pool with a short queue
  //   4. all of the pool, while this daemon has less in flight than its share
  //      of the slots in its own zone, so that no daemon starves another
  // Sets 2 to 4 contain endpoints of TriedEndpoints only if the pool has no
  // others.
  std::vector<candidate>
  eligibleCandidates(std::span<const config::endpoint *const> ZoneMembers,
                     std::span<const config::endpoint *const> PoolMembers,
                     const std::set<std::string> &TriedEndpoints,
                     time_ms Now) const;

  // The members of a pool that are neither draining nor leaving.
  std::vector<candidate>
  candidates(std::span<const config::endpoint *const> Members,
             time_ms Now) const;

  // The newest reports of all endpoints, at most Count, for gossip to peers.
  std::vector<endpoint_report> newestReports(std::size_t Count,
                                             time_ms Now) const;

  // Endpoints that have reported that they are leaving or have refused a
  // request, for gossip to peers. Does not include endpoints for which only
  // onPeerReportedLeaving was called.
  std::vector<std::string> leavingEndpoints(time_ms Now) const;
  // Drops the state of endpoints that are no longer configured and have no
  // request in flight.
  void removeUnconfigured(const config::configuration &Configuration);

  // The highest level if nothing is known of the endpoint.
  int healthLevelOf(std::string_view Endpoint) const;
  std::size_t size() const { return States.size(); }

private:
  struct state {
    load_report Report;       // The newest one.
    int InFlight = 0;         // Requests of this daemon.
    int SentSinceReport = 0;  // Requests of this daemon.
    int EndedSinceReport = 0; // Requests of this daemon.
    int HealthLevel = HealthLevelCount - 1;
    int SuccessesInRow = 0;           // Since the level changed, without slow.
    double FirstTokenMs = 0;          // Exponentially smoothed, 0 if unknown.
    time_ms HealthLevelChangedAt = 0; // Last change of the level.
    time_ms LeavingSeenAt = -1;       // Last report by itself, -1 if none.
    time_ms PeerReportedLeavingAt = -1; // Last report by a peer, -1 if none.
    time_ms ReceivedAt = -1;            // Receipt of Report, -1 if none.
  };

  double estimateRequests(const state &State, double FleetRatio,
                          time_ms Now) const;
  double
  fleetToOwnRatio(std::span<const config::endpoint *const> Members) const;
  void lowerHealth(state &State, int Levels, time_ms Now);
  static bool isLeaving(const state &State, time_ms Now);
  double medianFirstTokenMs() const;
  bool
  isBelowOwnShare(std::span<const config::endpoint *const> ZoneMembers) const;

  std::string Zone;
  int ZoneDaemonCount = 1;
  std::map<std::string, state, std::less<>> States;
};

//---------------------------------------------------------------------------
// Endpoint choice
//---------------------------------------------------------------------------

// Selects one endpoint out of the eligible candidates.
class balancing_policy {
public:
  virtual ~balancing_policy() = default;
  virtual std::string_view name() const = 0;
  // Returns the index of the selected candidate. Candidates must not be empty.
  // Prefix is the result of prefixHash, 0 for a request without a prefix.
  virtual std::size_t choose(std::span<const candidate> Candidates,
                             std::uint64_t Prefix, random_source &Random) = 0;
};

// Each candidate in turn.
std::unique_ptr<balancing_policy> makeRoundRobin();
// The candidate with the least reported load.
std::unique_ptr<balancing_policy> makeLeastReported();
// The candidate with the lesser estimated load out of two random ones.
std::unique_ptr<balancing_policy> makeTwoChoices();
// The candidate that most likely has the prefix in its prompt cache; if that
// one is too loaded or not healthy, the less loaded of two random candidates,
// drawn by health. Prefers the own zone.
std::unique_ptr<balancing_policy> makePrefixAware();

// All members of a small pool; of a large pool its members in the own zone and
// a random sample of all members, so that a choice need not look at them all.
std::vector<const config::endpoint *>
sampleMembers(std::span<const config::endpoint *const> ZoneMembers,
              std::span<const config::endpoint *const> PoolMembers,
              random_source &Random);

// Hash of the beginning of a prompt, by which requests with a common beginning
// find the same prompt cache. 0 if the prompt is too short.
std::uint64_t prefixHash(std::string_view Prompt);

//---------------------------------------------------------------------------
// Rate limits
//---------------------------------------------------------------------------

// Enforces the limits of client accounts: requests per second, tokens per
// second, requests in flight. Each rate is a token bucket with a burst of one
// second, but at least one request.
class account_limiter {
public:
  // Returns 0 if the request is admitted, else the ms after which the caller
  // should retry. Tokens is the upper bound of the request's tokens.
  int admit(const config::account &Account, double Tokens, time_ms Now);
  // Ends an admitted request and returns the tokens of its upper bound that it
  // did not use.
  void release(std::string_view Account, double UnusedTokens);
  int inFlight(std::string_view Account) const;

private:
  struct state {
    double AvailableRequests = 0; // Level of the bucket of requests.
    double AvailableTokens = 0;   // Level of the bucket of tokens, may be < 0.
    int InFlight = 0;             // Admitted requests that have not ended.
    time_ms RefilledAt = -1;      // Last refill of both buckets, -1 if never.
  };

  static void refill(state &State, const config::limits &Limits, time_ms Now);

  std::map<std::string, state, std::less<>> States;
};

//---------------------------------------------------------------------------
// Waiting
//---------------------------------------------------------------------------

using admission_id = std::uint64_t;

struct queued_request {
  std::string Account;  // Capacity is shared fairly between accounts.
  int Priority = 5;     // Lower numbers start first, 0 is the most urgent.
  double Cost = 1;      // Counted against the fair share of the account.
  time_ms Deadline = 0; // Latest start, monotonic ms.
};

struct queue_refusal {
  admission_id Id = 0;
  bool DeadlineUnreachable = false; // False: the queue is full.
  int RetryAfterMs = 0;             // When the caller should retry.
};

// Requests that wait for a free slot in a pool. Requests with a lower priority
// number start first. Requests of one priority start by fair queueing between
// accounts: each account gets the same share, in which a request counts with
// its cost.
class admission_queue {
public:
  explicit admission_queue(std::size_t MaxLength); // Requests.

  // Queues the request or refuses it at once: if the queue is full of requests
  // that are ordered before it, or if the request would not start before its
  // deadline at the present rate of starts. A full queue drops the request
  // ordered last for one that is ordered before it.
  std::optional<queue_refusal> push(admission_id Id,
                                    const queued_request &Request, time_ms Now);
  // The request to start next, if any. pop also removes the request and counts
  // it as started.
  std::optional<admission_id> peek(time_ms Now) const;
  std::optional<admission_id> pop(time_ms Now);
  void cancel(admission_id Id);

  // Removes and returns the requests that were dropped from a full queue or
  // whose deadline has passed.
  std::vector<queue_refusal> takeRefusals(time_ms Now);

  std::size_t size() const { return Items.size(); }
  // Expected wait of a request that is queued now.
  int expectedWaitMs(int Priority) const;

private:
  struct item {
    admission_id Id = 0;
    queued_request Request;
    double VirtualFinish = 0; // Order within a priority, see admission.cpp.
  };

  bool isOrderedBefore(const item &Left, const item &Right) const;
  std::vector<item>::const_iterator findNext(time_ms Now) const;
  std::size_t countUpToPriority(int Priority) const;
  void updateStartRate(time_ms Now);

  std::size_t MaxLength;
  std::vector<item> Items;
  std::vector<queue_refusal> Refusals; // Dropped from the full queue.
  std::map<std::string, double, std::less<>> LastVirtualFinish; // By account.
  double VirtualTime = 0;   // Highest virtual start of a started request.
  double StartsPerMs = 0;   // Smoothed rate of starts, 0 if unknown.
  time_ms LastStartAt = -1; // -1 if none.
};

//---------------------------------------------------------------------------
// Retries
//---------------------------------------------------------------------------

// Bounds the load that retries add to a failing system: each request earns a
// fraction of a retry.
class retry_budget {
public:
  void onRequest();
  bool tryRetry(); // Takes a retry; false if none is available.
  double availableRetries() const { return AvailableRetries; }

private:
  double AvailableRetries = 3; // Initial value, before any is earned.
};

} // namespace tamarack::routing
