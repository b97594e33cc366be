// Which endpoint gets a request, and whether it may start now.
//
// Contents:
//   endpoint state     endpoint_tracker, candidate
//   endpoint choice    balancing_policy and its implementations
//   admission          account_limiter
//   waiting            admission_queue
//   retries            retry_budget
//
// Nothing here is thread-safe or reads a clock; times are monotonic ms.
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

// Load as an endpoint last reported it.
struct load_report {
  int Running = 0;      // Requests being worked on.
  int Waiting = 0;      // Requests in its own queue.
  bool Leaving = false; // Wants no new work.
  int AgeMs = 0;        // How old the figures were when they came.
};

// A report with its endpoint; AgeMs counts up to the moment of asking.
struct endpoint_report {
  std::string Endpoint;
  load_report Report;
};

// How one request to an endpoint ended.
enum class attempt_result {
  Succeeded, // Answered.
  Failed,    // Connection or server error.
  Refused,   // Answered that it takes no work now.
  Cancelled, // The caller left; says nothing about the endpoint.
};

// One endpoint as the choice sees it.
struct candidate {
  const config::endpoint *Endpoint = nullptr;
  double EstimatedLoad = 0; // Estimated requests in it per slot, 1 = full.
  double ReportedLoad = 0;  // As last reported, per slot.
  double HealthWeight = 1;  // Health: 1 = full share, towards 0 when failing.
  bool SameZone = true;
};

inline constexpr int HealthLevelCount = 5; // Weights 1/64, 1/16, 1/4, 1/2, 1.

// What is known of all endpoints. A load is estimated from two sides: the last
// report plus what this daemon has sent since, which is exact while fresh, and
// this daemon's own requests in flight times its share of the whole, which
// never ages. The older the report, the less it counts. Failing or slow
// endpoints lose share quickly and get it back one level at a time.
class endpoint_tracker {
public:
  explicit endpoint_tracker(std::string Zone);

  // A report older than the one known is ignored.
  void onLoadReport(std::string_view Endpoint, const load_report &Report,
                    time_ms Now);
  // ZoneDaemonCount that share the zone's endpoints, this one included.
  void setZoneDaemonCount(int Count) { ZoneDaemonCount = std::max(1, Count); }
  // The endpoint itself or the platform's list says that it is leaving.
  void onLeaving(std::string_view Endpoint, time_ms Now);
  // A peer says so. Not passed on, so that an old sign does not go round.
  void onPeerReportedLeaving(std::string_view Endpoint, time_ms Now);
  void onRequestSent(std::string_view Endpoint);
  void onRequestEnded(std::string_view Endpoint, attempt_result Result,
                      double FirstTokenMs, time_ms Now);

  // Whom to choose from now: healthy endpoints of the own zone with much room,
  // else any with a free slot, else any whose own queue is short.
  // TriedEndpoints ones only if there is no other. If all are full, still any
  // while this daemon has less in flight than its share of the own zone's
  // slots, so that one daemon can't starve another. Empty if not.
  std::vector<candidate>
  eligibleCandidates(std::span<const config::endpoint *const> ZoneMembers,
                     std::span<const config::endpoint *const> PoolMembers,
                     const std::set<std::string> &TriedEndpoints,
                     time_ms Now) const;

  // Members of a pool that take work. Empty if none does.
  std::vector<candidate>
  candidates(std::span<const config::endpoint *const> Members,
             time_ms Now) const;

  // The reports taken last, at most Count, for peers.
  std::vector<endpoint_report> newestReports(std::size_t Count,
                                             time_ms Now) const;

  // Endpoints that have told this daemon they are leaving, for gossip.
  std::vector<std::string> leavingEndpoints(time_ms Now) const;
  // Drops the state of endpoints that are no longer configured.
  void removeUnconfigured(const config::configuration &Configuration);

  int healthLevelOf(std::string_view Endpoint) const;
  std::size_t size() const { return States.size(); }

private:
  struct state {
    load_report Report;
    int InFlight = 0;         // Of this daemon.
    int SentSinceReport = 0;  // Of this daemon.
    int EndedSinceReport = 0; // Of this daemon.
    int HealthLevel = HealthLevelCount - 1;
    int SuccessesInRow = 0;
    double FirstTokenMs = 0; // Smoothed.
    time_ms HealthLevelChangedAt = 0;
    time_ms LeavingSeenAt = -1;         // Sign of its own, -1 if none.
    time_ms PeerReportedLeavingAt = -1; // Sign from a peer, -1 if none.
    time_ms ReceivedAt = -1;            // -1 if never.
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

class balancing_policy {
public:
  virtual ~balancing_policy() = default;
  virtual std::string_view name() const = 0;
  // Index of the chosen candidate. Candidates must not be empty. Prefix is a
  // hash of the prompt's beginning, 0 if it has none.
  virtual std::size_t choose(std::span<const candidate> Candidates,
                             std::uint64_t Prefix, random_source &Random) = 0;
};

std::unique_ptr<balancing_policy> makeRoundRobin();
std::unique_ptr<balancing_policy> makeLeastReported();
std::unique_ptr<balancing_policy> makeTwoChoices();
// Zone first, then prompt prefix, then the lesser of two by estimated load.
std::unique_ptr<balancing_policy> makePrefixAware();

// All of a small pool; of a large one ZoneMembers and a random sample of the
// rest.
std::vector<const config::endpoint *>
sampleMembers(std::span<const config::endpoint *const> ZoneMembers,
              std::span<const config::endpoint *const> PoolMembers,
              random_source &Random);

// Hash of the part of a prompt that engines can share. 0 if it is too short.
std::uint64_t prefixHash(std::string_view Prompt);

//---------------------------------------------------------------------------
// Admission
//---------------------------------------------------------------------------

// Limits of client accounts. Rates are token buckets with one second of burst.
class account_limiter {
public:
  // 0 if admitted, else ms after which it is worth to come back.
  int admit(const config::account &Account, double Tokens, time_ms Now);
  // The request has ended; Unused tokens of its bound go back.
  void release(std::string_view Account, double UnusedTokens);
  int inFlight(std::string_view Account) const;

private:
  struct state {
    double AvailableRequests = 0; // In the bucket.
    double AvailableTokens = 0;   // In the bucket; may go below 0.
    int InFlight = 0;
    time_ms RefilledAt = -1;
  };

  static void refill(state &State, const config::limits &Limits, time_ms Now);

  std::map<std::string, state, std::less<>> States;
};

//---------------------------------------------------------------------------
// Waiting
//---------------------------------------------------------------------------

using admission_id = std::uint64_t;

struct queued_request {
  std::string Account;  // Fairness is between accounts.
  int Priority = 5;     // 0 first.
  double Cost = 1;      // Share that it takes of the account's turn.
  time_ms Deadline = 0; // Monotonic; it must start before.
};

struct queue_refusal {
  admission_id Id = 0;
  bool DeadlineUnreachable = false; // False: pushed out of a full queue.
  int RetryAfterMs = 0;
};

// Requests that wait for a free slot in a pool: lower priority numbers first,
// within one priority accounts in turn by cost. Bounded.
class admission_queue {
public:
  explicit admission_queue(std::size_t MaxLength);

  // Queues, or refuses at once: full of work that goes first, or no chance to
  // start before the deadline at the present pace.
  std::optional<queue_refusal> push(admission_id Id,
                                    const queued_request &Request, time_ms Now);
  // The next to start, if any; pop also takes it out.
  std::optional<admission_id> peek(time_ms Now) const;
  std::optional<admission_id> pop(time_ms Now);
  void cancel(admission_id Id);

  // Requests whose deadline has passed or that were pushed out.
  std::vector<queue_refusal> takeRefusals(time_ms Now);

  std::size_t size() const { return Items.size(); }
  int expectedWaitMs(int Priority) const;

private:
  struct item {
    admission_id Id = 0;
    queued_request Request;
    double VirtualFinish = 0; // Virtual finish time within its priority.
  };

  bool isOrderedBefore(const item &Left, const item &Right) const;
  std::vector<item>::const_iterator findNext(time_ms Now) const;
  std::size_t countUpToPriority(int Priority) const;
  void updateStartRate(time_ms Now);

  std::size_t MaxLength;
  std::vector<item> Items;
  std::vector<queue_refusal> Refusals;
  std::map<std::string, double, std::less<>> LastVirtualFinish; // By account.
  double VirtualTime = 0;
  double StartsPerMs = 0; // Smoothed pace.
  time_ms LastStartAt = -1;
};

//---------------------------------------------------------------------------
// Retries
//---------------------------------------------------------------------------

// Bounds the load that retries add: each request earns a part of a retry.
class retry_budget {
public:
  void onRequest();
  bool tryRetry(); // True if a retry may be sent now; spends it.
  double availableRetries() const { return AvailableRetries; }

private:
  double AvailableRetries = 3;
};

} // namespace tamarack::routing
