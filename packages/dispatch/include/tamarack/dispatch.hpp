// Load balancing: chooses an endpoint for each call by its estimated cost.
//
// Contents:
//   endpoints        endpoint_entry, load_report, endpoint_statement_listener
//   availability     withheld_reason, endpoint_restriction,
//                    endpoint_availability
//   prompt cache     prompt_cache
//   retries          retry_limits, fleet_retry_budget
//   load balancing   cost_weights, placement_survey, availability_listener,
//                    zone_regions, load_balancer, an implementation of
//                    relay::placement
//   shutdown         shutdown_schedule, shutdown_gate
//
// Nothing here is thread-safe or reads a clock; times are monotonic ms.
#pragma once

#include "tamarack/load.hpp"
#include "tamarack/ports.hpp"
#include "tamarack/relay.hpp"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack::dispatch {

//---------------------------------------------------------------------------
// Endpoints
//---------------------------------------------------------------------------

// One endpoint in the platform's endpoint list.
struct endpoint_entry {
  std::string Id;
  std::string Service;
  std::string Address; // host:port
  std::string Zone;
  std::string Version;        // Of its software.
  int Slots = 1;              // Requests that it processes concurrently.
  bool Leaving = false;       // Takes no new work.
  int WarmUpMs = 0;           // Remaining time after a start during which the
                              // endpoint responds slowly.
  std::int64_t StartedAt = 0; // Unix ms, 0 if unknown. A different start under
                              // the same id means that its prompt cache is
                              // empty.
  std::int64_t Sequence = 0;  // Grows with each report since StartedAt.
};

using load::load_report;

// Receives what endpoints state in their responses about the requests that they
// want.
class endpoint_statement_listener {
public:
  virtual ~endpoint_statement_listener() = default;
  // Source takes no new work.
  virtual void onLeavingStated(const relay::endpoint_choice &Source,
                               time_ms Now) = 0;
  // Source has turned a request away and wants none from this instance for so
  // long.
  virtual void onPauseStated(const relay::endpoint_choice &Source,
                             int DurationMs, time_ms Now) = 0;
  // A field of a response of Source has a value that can't be read.
  virtual void onStatementUnreadable(const relay::endpoint_choice &Source,
                                     std::string_view Field,
                                     std::string_view Text) = 0;
};

//---------------------------------------------------------------------------
// Availability
//---------------------------------------------------------------------------

// Why an endpoint gets no request of this instance now.
enum class withheld_reason {
  None,        // It may get one.
  Unlisted,    // The platform does not list it any more.
  Leaving,     // It takes no new work, by the list or its own responses.
  Misplaced,   // Another endpoint responded at its address.
  Evacuated,   // Operators have evacuated its availability zone.
  Paused,      // It asked this instance for a pause, which lasts or has just
               // ended.
  Limited,     // The share of this instance of its rate limit is used up.
  Unreachable, // Several attempts in a row failed to connect.
};

inline constexpr std::size_t WithheldReasons = 8;

std::string_view toString(withheld_reason Reason);

// A rule from outside that may withhold requests from endpoints.
class endpoint_restriction {
public:
  virtual ~endpoint_restriction() = default;
  virtual bool mayGetRequest(std::string_view Endpoint, time_ms Now) = 0;
};

// What decides whether one run of an endpoint may get requests of this
// instance, except for its rate limit.
//
// After a pause the first requests go out by steps: one, and after each
// response twice as many at once.
class endpoint_availability {
public:
  // A new run: nothing of before holds. Requests in flight end still.
  void reset();
  void setListed(bool To) { IsListed = To; }
  void setLeaving(bool To) { IsLeaving = To; }
  void setEvacuated(bool To) { IsEvacuated = To; }
  // The endpoint gets no requests before this time. An earlier, longer pause
  // goes on.
  void pauseUntil(time_ms Until);
  // Slots: requests at once with which the steps after a pause end.
  void setSlots(int To) { Slots = To; }

  void onSent(const relay::call &Call);
  void onFirstByte(const relay::call &Call);
  void onEnded(const relay::call &Call, relay::attempt_outcome Outcome,
               time_ms Now);

  withheld_reason reason(time_ms Now) const;
  // False if a request that was to go there must not be sent any more.
  bool mayStillSend(time_ms Now) const;
  bool isListed() const { return IsListed; }
  bool isLeaving() const { return IsLeaving || IsMisplaced; }
  bool isEvacuated() const { return IsEvacuated; }
  // False if only a change of the endpoint or its zone can bring it work.
  bool takesNewWork() const { return IsListed && !isLeaving() && !IsEvacuated; }
  // True for some time after a failure to connect. After that time one call at
  // a time tests the endpoint, until one of them gets a response.
  bool isAvoided(time_ms Now) const;
  time_ms pausedUntil() const { return PausedUntil; } // 0 if never.
  int inFlight() const { return InFlight; }
  // The state must be kept although the endpoint is not listed.
  bool isNeeded(time_ms Now) const { return InFlight > 0 || PausedUntil > Now; }

private:
  void onAnswered(const relay::call &Call);

  bool IsListed = true;     // In the platform's current list.
  bool IsLeaving = false;   // By the list or by a response.
  bool IsMisplaced = false; // Another endpoint responded at its address.
  bool IsEvacuated = false; // With its availability zone.
  int Slots = 1;            // Requests that it processes concurrently.
  int InFlight = 0;         // Requests of this instance.
  time_ms PausedUntil = 0;
  int ResumeWindow = 0; // Requests at once after a pause, 0 if unbounded.
  std::set<const relay::call *> Unanswered; // Sent since the last pause.
  int ConnectFailuresInRow = 0;
  time_ms AvoidUntil = 0; // After a failure to connect.
};

//---------------------------------------------------------------------------
// Prompt cache
//---------------------------------------------------------------------------

// Estimate of the prompt cache of one endpoint: the prompt parts that it has
// probably cached. A part is identified by the hash of all parts up to and
// including it; the least recently used parts are evicted first.
class prompt_cache {
public:
  explicit prompt_cache(std::int64_t Capacity) : Capacity(Capacity) {}

  // Tokens at the beginning of Prompt that are cached.
  std::int64_t cachedTokens(std::span<const relay::prompt_part> Prompt) const;
  void addPrompt(std::span<const relay::prompt_part> Prompt);
  std::int64_t size() const { return Size; } // Tokens.
  void setCapacity(std::int64_t Tokens) { Capacity = Tokens; }
  // Hash of a sequence of parts.
  static std::uint64_t chainHash(std::span<const relay::prompt_part> Prompt);

private:
  struct cached_part {
    std::uint64_t ChainHash = 0;
    int Tokens = 0;
  };
  void evict();

  std::int64_t Capacity;        // Tokens.
  std::int64_t Size = 0;        // Tokens.
  std::list<cached_part> Parts; // Most recently used first.
  std::unordered_map<std::uint64_t, std::list<cached_part>::iterator>
      Index; // By chain hash.
};

//---------------------------------------------------------------------------
// Retries
//---------------------------------------------------------------------------

// Limits on the retries of the whole fleet for one service.
struct retry_limits {
  double RetriesPerRequest = 0.1; // Flag repeat-ratio.
  double ExtraPerWindow = 10;     // Retries of the fleet per window in addition
                                  // to RetriesPerRequest, flag repeat-slack.
  int WindowMs = 10'000;
};

// This instance's share of the fleet's retries for one service. Each request
// earns a fraction of a retry; the instance's share of the extra retries is
// refilled over the window.
class fleet_retry_budget {
public:
  void onRequest(const retry_limits &Limits);
  // Instances that share the extra retries; none may be spent while that is
  // not known.
  bool trySpend(const retry_limits &Limits, std::optional<int> Instances,
                time_ms Now);

private:
  static constexpr double MaxEarned = 20; // Retries that can be saved up.
  // Part of the instance's share of the extra retries that a burst may spend at
  // once. The refill over one window is the same part.
  static constexpr double ExtraShare = 0.4;

  void refillExtra(double MaxExtra, int WindowMs, time_ms Now);

  double EarnedRetries = 0;
  double ExtraRetries = 0;
  time_ms RefilledAt = -1; // -1 before the first use.
};

//---------------------------------------------------------------------------
// Load balancing
//---------------------------------------------------------------------------

// Weights of the cost model; ms unless said otherwise.
struct cost_weights {
  double PrefillTokensPerMs = 60;  // Prompt tokens that an engine processes
                                   // per ms.
  double RunningRequestMs = 1.5;   // Per request that runs concurrently.
  double WaitingRequestMs = 25;    // Per request in the queue of an engine.
  double ServiceTimeMs = 60;       // Per request of a plain service.
  double OtherZoneMs = 6;          // Round trip to another availability zone.
  double UncachedSharedMs = 0.075; // Per token of the shared prompt parts that
                                   // the endpoint has not cached: another
                                   // endpoint probably has.
  double ShortAtLongMs = 60;       // A short prompt at an engine for long ones.
  double LongAtShortMs = 150;      // A long prompt at an engine for short ones.
  double SpreadMs = 6;             // Between endpoints of equal cost of which
                                   // nothing new is known.
  double PreferredWaitShare = 0.5; // Of the time that a preferred endpoint
                                   // saves, that a call may wait there.
};

// Why the endpoints of a service get or don't get one call now.
struct placement_survey {
  int Available = 0; // Might get it.
  int Avoided = 0;   // The same, after a failure to connect.
  int Busy = 0;      // Have too many requests.
  int OtherVersions = 0;
  int OtherRegions = 0;               // Outside those that the call may reach.
  int Withheld[WithheldReasons] = {}; // By withheld_reason.
  time_ms FirstPauseEnd = 0;          // 0 if there is no pause.
};

// For logs.
class availability_listener {
public:
  virtual ~availability_listener() = default;
  // The endpoint gets no requests from now on. DurationMs: 0 if not known.
  virtual void onWithheld(std::string_view Endpoint, withheld_reason Reason,
                          int DurationMs) = 0;
};

// Names of regions by availability zone.
using zone_regions = std::map<std::string, std::string, std::less<>>;

// Chooses the endpoint with the lowest estimated cost for each call.
class load_balancer final : public relay::placement {
public:
  load_balancer(std::string Zone, retry_limits Limits,
                endpoint_restriction &Restriction, random_source &Random,
                availability_listener &Listener);

  // Replaces the complete list of endpoints. An entry whose StartedAt changed
  // is a new endpoint.
  void setEndpoints(std::span<const endpoint_entry> Entries, time_ms Now);
  // Replaces what is known of the regions of zones. A call with allowed regions
  // reaches no endpoint of a zone that is missing here.
  void setZoneRegions(zone_regions To) { ZoneRegions = std::move(To); }
  // Replaces the complete list of evacuated zones. Their endpoints get nothing
  // new; what they run goes on. They come back as after a pause.
  void setEvacuatedZones(std::span<const std::string> Zones, time_ms Now);
  void setTable(std::shared_ptr<const relay::route_table> Table);
  // Number of instances that share the retries, this one included.
  void setInstanceCount(int Count) { InstanceCount = std::max(1, Count); }
  void setRetryLimits(const retry_limits &To) { RetryLimits = To; }
  // Lets reports age by their pace, and instances tell each other of load. If
  // off, the last report counts whatever its age.
  void setEvenLoad(bool To) { IsEvenLoad = To; }
  void onLoadReport(std::string_view Endpoint, const load_report &Load,
                    time_ms Now);
  // News of load for Peer, an instance of this zone; empty if there are none.
  std::string composeNews(std::string_view Peer, time_ms Now);
  // News that Peer has sent. False if they can't be read.
  bool readNews(std::string_view Peer, std::string_view Bytes, time_ms Now);
  // The endpoint fails if it has to turn away more requests in a second, of all
  // instances together; nothing: it states no such limit any more.
  void onRejectionLimitStated(std::string_view Endpoint,
                              std::optional<double> PerSecond);
  // The endpoint has asked this instance for a pause of so long.
  void onPauseStated(std::string_view Endpoint, int DurationMs, time_ms Now);
  void onRequest(std::string_view Service); // Once for each caller's request.

  std::optional<relay::placement_refusal> admit(const relay::call &Call,
                                                time_ms Now) override;
  std::optional<relay::endpoint_choice>
  choose(const relay::call &Call, const std::set<std::string> &Tried,
         time_ms Now) override;
  bool mayStillSend(const relay::call &Call,
                    const relay::endpoint_choice &Target, time_ms ConnectedAt,
                    time_ms Now) const override;
  void onSent(const relay::call &Call, std::string_view Endpoint,
              time_ms Now) override;
  void onFirstByte(const relay::call &Call, std::string_view Endpoint,
                   time_ms Now) override;
  void onEnded(const relay::call &Call, std::string_view Endpoint,
               relay::attempt_outcome End, time_ms Now) override;
  bool tryRetry(std::string_view Service, time_ms Now) override;
  relay::placement_refusal refusal(const relay::call &Call) const override;
  placement_survey survey(const relay::call &Call, time_ms Now) const;
  // Endpoints of Service that take new work.
  std::vector<const endpoint_entry *>
  openEndpoints(std::string_view Service) const;

  std::size_t endpointCount() const { return Endpoints.size(); }
  // Nullptr if the endpoint is not known.
  const endpoint_entry *findEntry(std::string_view Endpoint) const;
  const endpoint_entry *findEntryByAddress(std::string_view Address) const;
  // Age of the endpoint's last load report, own or told by a peer; -1 if none.
  time_ms loadAgeMs(std::string_view Endpoint, time_ms Now) const;
  // One line for logs: the state of the endpoint that choose takes into
  // account.
  std::string describe(std::string_view Endpoint, time_ms Now) const;

private:
  struct endpoint_state {
    endpoint_entry Entry;
    endpoint_availability Availability;
    prompt_cache Cache{0};
    load::endpoint_load Load;
    double Penalty = 0; // 0 if healthy, up to 1 for repeated failures.
    time_ms PenaltyUpdatedAt = 0;
    time_ms WarmUpUntil = 0;
    std::optional<double> RejectionsPerSecond; // See onRejectionLimitStated.
  };

  // What one choice takes into account of the service.
  struct choice_view {
    load::load_prior Prior;
    bool IsEngine = false;
    bool IsSplit = false; // See load::size_split.
    bool IsLong = false;  // By size_split, the call.
  };

  using candidates = std::span<const endpoint_state *const>;

  choice_view viewOf(const relay::call &Call, time_ms Now);
  // The cheapest candidate, or one that costs little more if what is known is
  // old.
  const endpoint_state *pick(const relay::call &Call, candidates Candidates,
                             const choice_view &View, time_ms Now);
  const load::load_prior &priorOf(std::string_view Service, time_ms Now) const;
  double cost(const relay::call &Call, const endpoint_state &State,
              bool Preferred, const choice_view &View, time_ms Now) const;
  double serviceCost(const endpoint_state &State, const choice_view &View,
                     time_ms Now) const;
  double engineCost(const relay::call &Call, const endpoint_state &State,
                    bool Preferred, const choice_view &View, time_ms Now) const;
  // Time that the shared parts of the call's prompt cost where they are not
  // cached, ms.
  double sharedPartsMs(const relay::call &Call) const;
  const endpoint_state *preferredEndpoint(const relay::call &Call,
                                          candidates Candidates,
                                          const choice_view &View,
                                          time_ms Now) const;
  double currentPenalty(const endpoint_state &State, time_ms Now) const;
  void addPenalty(endpoint_state &State, double Amount, time_ms Now);
  withheld_reason reasonOf(const endpoint_state &State, time_ms Now) const;
  static bool isRightVersion(const endpoint_state &State,
                             const relay::call &Call);
  bool isAllowedRegion(const endpoint_state &State,
                       const relay::call &Call) const;
  // False if the endpoint must not get the call, whatever its state is.
  bool isSuitable(const endpoint_state &State, const relay::call &Call) const;
  // True if the call is bound to regions and none has a listed endpoint of its
  // service.
  bool isOutOfRegions(const relay::call &Call) const;
  bool isBusy(const endpoint_state &State, const load::load_prior &Prior,
              time_ms Now) const;
  // Until the endpoints that asked for a pause get requests again, empty if the
  // call is refused for another reason.
  std::optional<int> pauseRetryAfterMs(const relay::call &Call) const;
  // Spreads what all instances would do at the same moment.
  int spread(int MaxMs) const;
  // From the end of a pause until this instance sends again.
  int resumeDelayMs() const;
  // Pause after a rejection by an endpoint with such a limit.
  int rejectionPauseMs(double RejectionsPerSecond) const;
  void updateEvacuation(endpoint_state &State, time_ms Now);
  // True if no endpoint of the version that the call needs takes new work.
  bool isVersionGone(const relay::call &Call) const;
  endpoint_state *findEndpoint(std::string_view Endpoint);
  const endpoint_state *findEndpoint(std::string_view Endpoint) const;
  endpoint_state *findEndpoint(load::endpoint_key Key);
  // Records a call of this instance as news: it was sent, or answered.
  void addCallNews(const relay::call &Call, const endpoint_state &State,
                   double ReadMs, const load::work_sample &Sample, time_ms Now);
  bool isEngine(std::string_view Service) const;

  std::string Zone;
  retry_limits RetryLimits;
  endpoint_restriction &Restriction;
  random_source &Random;
  availability_listener &Listener;
  cost_weights Weights;
  time_ms LastChoiceAt = 0;
  std::optional<int> InstanceCount; // Empty until setInstanceCount.
  bool IsEvenLoad = false;          // See setEvenLoad.
  std::shared_ptr<const relay::route_table> Table;
  std::map<std::string, endpoint_state, std::less<>> Endpoints; // By id.
  std::map<std::string, std::vector<std::string>, std::less<>>
      EndpointsByService; // Ids.
  zone_regions ZoneRegions;
  std::set<std::string, std::less<>> EvacuatedZones;
  std::map<std::string, fleet_retry_budget, std::less<>>
      RetryBudgets; // By service.
  load::news_board News;
  std::map<load::endpoint_key, std::string> IdByKey; // Of listed endpoints.
  // By service.
  mutable std::map<std::string, load::service_load, std::less<>> ServiceLoads;
};

//---------------------------------------------------------------------------
// Shutdown
//---------------------------------------------------------------------------

// A periodic task of the event loop, monotonic ms.
struct task_times {
  time_ms NextDueAt = -1; // Set at the end of a run. -1 before the first one.
  time_ms LastDueAt = -1; // Of the last run. -1 before the second one.
};

// The earliest time at which a signal that is handled now can have come. The
// event loop handles a signal after everything else that became ready while the
// process stood still, also after a run of the task that was due in that time.
// The process may have stood still within that run, too.
time_ms earliestSignalTime(const task_times &Task, time_ms Now);

// When a process that stops does what, monotonic ms.
struct shutdown_times {
  time_ms OpenUntil = -1; // Takes new connections, and calls of any length.
  time_ms CutAt = -1;     // Gives up the calls that have no final response.
  time_ms EndAt = -1;     // Ends, at the latest.
};

// Fits a stop into the grace time that follows its request at RequestedAt.
shutdown_times planShutdown(time_ms RequestedAt, int GraceMs);

// Which calls and attempts a process that stops may still begin, so that it
// begins nothing that it would cut off.
class shutdown_schedule {
public:
  // Calls that arrive until OpenUntil are taken, because callers are still sent
  // here and may be sent from here to another instance that stops.
  void begin(const shutdown_times &NewTimes) { Times = NewTimes; }
  bool hasBegun() const { return Times.CutAt >= 0; }
  // True if the call may begin. After OpenUntil, only if its deadline is before
  // the cut.
  bool admitsCall(const relay::call &Call) const;
  // True if one more attempt of a call that has begun is worthwhile: a call
  // that was taken before OpenUntil may outlast the cut, but no attempt of it
  // begins shortly before.
  bool admitsAttempt(const relay::call &Call, time_ms Now) const;

private:
  bool endsBeforeCut(const relay::call &Call) const;

  shutdown_times Times; // -1 before begin().
};

// Decorates a placement: refuses what the schedule does not admit.
class shutdown_gate final : public relay::placement_decorator {
public:
  explicit shutdown_gate(relay::placement &Inner)
      : placement_decorator(Inner) {}

  // See shutdown_schedule::begin.
  void beginShutdown(const shutdown_times &Times) { Schedule.begin(Times); }

  std::optional<relay::placement_refusal> admit(const relay::call &Call,
                                                time_ms Now) override;
  std::optional<relay::endpoint_choice>
  choose(const relay::call &Call, const std::set<std::string> &Tried,
         time_ms Now) override;
  // Once the shutdown has begun, another instance is the better choice.
  relay::placement_refusal refusal(const relay::call &Call) const override;

private:
  shutdown_schedule Schedule;
};

} // namespace tamarack::dispatch
