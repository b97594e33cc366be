// Keeps the rate limits that endpoints state for the whole fleet.
//
// Contents:
//   calls                limit_gate, endpoint_limiter, limiter_listener
//   responses            limit_statement, limit_statement_listener
//   exchange of reports  limit_report, stated_limit, service_demand, encode,
//                        decodeReport
//   known limits         limit_register
//   shares               fleet_demand, demand_meter, shareOfLimit
//   pacing               request_pacer
//   cold endpoints       cold_limiter, shareOfColdLimit, cold_listener
//
// An endpoint in need states in its responses how many requests a second it
// takes from all instances together. No instance sees the requests of the
// others, so each limit is divided: every instance computes the same division
// from the reports that all instances read, and keeps to its own share.
//
//   - A limit is divided into units of one request a second and one unit of the
//     rest. Each unit belongs to one instance. The units are spread over the
//     instances in proportion to the requests that callers send them
//     (systematic sampling), so that no share is too small to be used in time.
//   - An instance spaces its requests by its share and saves nothing up for a
//     burst, so that all shares together stay within the limit in each second.
//   - A share that falls is obeyed at once; one that rises counts after
//     ShareRaiseDelayMs, when all others have read the same reports.
//
// What is sent counts as a request of the limit: first attempts, retries,
// resumed streams.
//
// An endpoint that is cold has a limit that it need not state: its service's
// ColdRequestsPerSecond, for the time that its entry states. It is divided
// without any report, by the list of instances alone: a cold phase may be over
// before reports have been exchanged. Of a stated limit and this one, the lower
// holds.
//
// Nothing here is thread-safe or reads a clock; times are monotonic ms of this
// instance. Times of different instances are never compared.
#pragma once

#include "tamarack/dispatch.hpp"
#include "tamarack/relay.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::limits {

//---------------------------------------------------------------------------
// Responses
//---------------------------------------------------------------------------

enum class statement_form {
  Absent,     // The endpoint states no limit.
  Stated,     // PerSecond holds.
  Unreadable, // Text is not a limit; nothing is known about it.
};

std::string_view toString(statement_form Form);

// What one response says about the rate limit of its endpoint.
struct limit_statement {
  statement_form Form = statement_form::Absent;
  double PerSecond = 0;     // Requests from all instances; not negative.
  bool IsProofOfEnd = true; // False if such a response may lack the limit
                            // though it is in force.
  std::string_view Text;    // As received.
};

class limit_statement_listener {
public:
  virtual ~limit_statement_listener() = default;
  // A response of Source itself has arrived, with any status.
  virtual void onLimitStatement(const relay::endpoint_choice &Source,
                                const limit_statement &Statement,
                                time_ms Now) = 0;
  // A response of Source itself states that Source is cold for so long.
  virtual void onColdStated(const relay::endpoint_choice &Source,
                            int RemainingMs, time_ms Now) = 0;
};

//---------------------------------------------------------------------------
// Exchange of reports
//---------------------------------------------------------------------------

// A limit, or its end, that the reporter has seen in a response.
struct stated_limit {
  std::string Endpoint;            // Id.
  std::int64_t StartedAt = 0;      // Unix ms, of this run of the endpoint.
  std::uint64_t Version = 0;       // See limit_register.
  std::optional<double> PerSecond; // Empty: no limit any more.
  bool operator==(const stated_limit &) const = default;
};

// Requests that callers send to one instance.
struct service_demand {
  std::string Service;
  double PerSecond = 0;
  bool operator==(const service_demand &) const = default;
};

// Everything that one instance tells the others. Each report replaces the
// previous one of the instance.
struct limit_report {
  std::vector<stated_limit> Limits;
  std::vector<service_demand> Demands; // Of services with a limit.
  bool empty() const { return Limits.empty() && Demands.empty(); }
  bool operator==(const limit_report &) const = default;
};

inline constexpr std::size_t MaxReportedLimits = 256;
inline constexpr std::size_t MaxReportedDemands = 64;

std::string encode(const limit_report &Report); // MessagePack.
// Returns nothing if Bytes are not a report or exceed one of the limits above.
std::optional<limit_report> decodeReport(std::string_view Bytes);

//---------------------------------------------------------------------------
// Known limits
//---------------------------------------------------------------------------

// Time for which the end of a limit is remembered and reported.
inline constexpr time_ms EndedLimitMemoryMs = 60'000;

// What is known of the limit of one run of an endpoint.
struct known_limit {
  std::string Service;
  std::int64_t StartedAt = 0;      // Unix ms.
  bool IsLeaving = false;          // The endpoint takes no new work.
  std::uint64_t Version = 0;       // 0: no limit was ever known.
  std::optional<double> PerSecond; // In force now; empty: none.
  std::optional<double> Before;    // In force at the previous version.
  time_ms ChangedAt = 0;
  bool IsSeenHere = false;  // In a response to this instance.
  bool IsConfirmed = false; // By a response, or by a report that is not old.
};

// The limits in force. Responses overtake each other, and those of different
// instances have no common clock, so limits are ordered by versions: an
// instance that sends a request remembers the version that it knows, and a
// response that states something else begins the next version. Of two
// statements of one version the lower limit holds, until a later response says
// otherwise. Responses to requests of older versions are ignored.
class limit_register {
public:
  // Replaces the list of endpoints. A different start begins without a limit.
  void setEndpoints(std::span<const dispatch::endpoint_entry> Entries);
  // The version to remember with a request that is sent now.
  std::uint64_t versionOf(std::string_view Endpoint) const;
  // Nullptr if the endpoint is not listed.
  const known_limit *find(std::string_view Endpoint) const;
  const std::map<std::string, known_limit, std::less<>> &endpoints() const {
    return Endpoints;
  }

  // A response to a request that was sent at SentVersion states PerSecond.
  // Returns true if the limit in force changed.
  bool onResponse(std::string_view Endpoint, std::uint64_t SentVersion,
                  std::optional<double> PerSecond, time_ms Now);
  // IsCurrent: the report was written while this instance has been reading.
  // Returns true if the limit in force changed.
  bool onReport(const stated_limit &Limit, bool IsCurrent, time_ms Now);
  // Forgets limits that were only found in old reports.
  void dropUnconfirmed();
  // Forgets limits that ended EndedLimitMemoryMs ago.
  void dropEnded(time_ms Now);
  // What this instance has seen in responses.
  std::vector<stated_limit> seenHere() const;

private:
  std::map<std::string, known_limit, std::less<>> Endpoints; // By id.
};

//---------------------------------------------------------------------------
// Shares
//---------------------------------------------------------------------------

// Longest time between two reads of the other instances' reports that counts as
// readable.
inline constexpr time_ms MaxReadIntervalMs = 2'000;

// Smoothed rate of the requests to one service at this instance.
class demand_meter {
public:
  void onRequest(time_ms Now);
  double perSecond(time_ms Now) const;

private:
  double Weight = 0; // Requests, decayed to UpdatedAt.
  time_ms FirstAt = -1;
  time_ms UpdatedAt = 0;
};

// The part of the requests to a service that comes to one instance: from Begin
// to End of the whole, which reaches from 0 to 1.
struct demand_interval {
  double Begin = 0;
  double End = 0;
};

// What the instances report about their demand. An instance that is silent for
// silentMs while reports can be read has no share any more.
class fleet_demand {
public:
  explicit fleet_demand(std::string Instance);

  // All instances that have not left, this one may be missing.
  void setInstances(std::span<const std::string> Names);
  void onReport(std::string_view Reporter,
                std::span<const service_demand> Demands);
  void onReportRemoved(std::string_view Reporter);
  // Reports are expected from now on: a limit is known.
  void expectReports();
  // Reports could be read for ElapsedMs more.
  void onReadable(time_ms ElapsedMs) { ReadableMs += ElapsedMs; }
  time_ms readableMs() const { return ReadableMs; }
  int activeInstances() const; // That share the limits now.
  // Between two reports of an instance. Longer in a large fleet, whose reports
  // all go to one topic.
  int reportIntervalMs() const;
  time_ms silentMs() const;
  // The interval of this instance. All instances that have read the same
  // reports compute intervals that together cover the whole once.
  demand_interval intervalOf(std::string_view Service) const;

private:
  struct member {
    std::optional<std::vector<service_demand>> Demands; // The last report.
    time_ms SilentSince = 0;                            // In ReadableMs.
    bool IsListed = false; // In the list of instances.
  };

  bool isActive(const std::string &Name, const member &Member) const;
  // Of an instance without a report, the mean of the others.
  double weightOf(const member &Member, std::string_view Service,
                  double Mean) const;
  double meanDemand(std::string_view Service) const;

  std::string Instance;
  std::map<std::string, member, std::less<>> Members; // By name.
  time_ms ReadableMs = 0; // Time in which reports could be read.
};

// Requests a second of a limit that belong to the instance with this interval.
// Rank: of the endpoint, by id, among those of Service with a limit. Units
// of different ranks lie at different places, so that an instance that has less
// than its part of one limit has more of another.
double shareOfLimit(std::string_view Service, double LimitPerSecond, int Rank,
                    const demand_interval &Interval);

//---------------------------------------------------------------------------
// Pacing
//---------------------------------------------------------------------------

// Time after which all instances have read a report.
inline constexpr time_ms ShareRaiseDelayMs = 2'500;

// Spaces the requests of this instance to one endpoint.
class request_pacer {
public:
  // PerSecond counts at once.
  request_pacer(double PerSecond, time_ms Now);
  // A share that rises counts ShareRaiseDelayMs later.
  void setShare(double PerSecond, time_ms Now);
  double newestShare() const { return Targets.back().PerSecond; }
  bool maySend(time_ms Now);
  void onSent(time_ms Now);
  // When maySend becomes true, empty if not at the current share.
  std::optional<time_ms> nextSendAt(time_ms Now);

private:
  struct target {
    time_ms SetAt = 0;
    double PerSecond = 0;
  };
  void advance(time_ms Now);
  double capacity() const;

  std::deque<target> Targets; // The one in force ShareRaiseDelayMs ago and all
                              // later ones.
  double PerSecond = 0;       // The lowest of Targets.
  double Permits = 0;         // Requests that may be sent now.
  time_ms AdvancedAt = 0;
};

//---------------------------------------------------------------------------
// Cold endpoints
//---------------------------------------------------------------------------

// A cold endpoint's limit is divided among so few instances that each of them
// has at least this share, in requests a second. Each may send at any moment of
// a second, so the requests of one second exceed the limit by at most one for
// each of them.
inline constexpr double MinColdShare = 1.5;

// Requests a second of a cold endpoint's limit that belong to Instance: an
// equal part for those with the highest hashes of their name and the endpoint's
// id (rendezvous hashing), nothing for the others. Of two lists that differ by
// one instance, at most one share moves, unless there are fewer instances than
// shares. Others: all other instances that have not left.
double shareOfColdLimit(std::string_view Endpoint, double LimitPerSecond,
                        std::string_view Instance,
                        std::span<const std::string> Others);

// For logs and metrics.
class cold_listener {
public:
  virtual ~cold_listener() = default;
  // Cold: number of cold endpoints, this one included.
  virtual void onEndpointCold(std::string_view Endpoint, time_ms RemainingMs,
                              double SharePerSecond, double LimitPerSecond,
                              std::size_t Cold) = 0;
  virtual void onEndpointWarm(std::string_view Endpoint, std::size_t Cold) = 0;
};

// Decides which cold endpoints may get a request of this instance now. While
// the list of instances can't be read, none may: others may have taken over the
// shares of this instance. Endpoints of services without ColdRequestsPerSecond
// are never limited here.
class cold_limiter {
public:
  cold_limiter(std::string Instance, cold_listener &Listener);

  void setTable(std::shared_ptr<const relay::route_table> NewTable,
                time_ms Now);
  void setEndpoints(std::span<const dispatch::endpoint_entry> Entries,
                    time_ms Now);
  // The list has been read now: all instances that have not left, this one may
  // be missing.
  void setInstances(std::span<const std::string> Names, time_ms Now);
  // Endpoint states in a response that it is cold for so long; it was sent to
  // the run that began at StartedAt. Never shortens the time.
  void onColdStated(std::string_view Endpoint, std::int64_t StartedAt,
                    int RemainingMs, time_ms Now);
  // Ends the limits of endpoints that have become warm. Called at least every
  // 100 ms.
  void tick(time_ms Now);

  // Empty if the endpoint has no limit here.
  std::optional<double> limitOf(std::string_view Endpoint, time_ms Now) const;
  bool mayGetRequest(std::string_view Endpoint, time_ms Now);
  void onSent(std::string_view Endpoint, time_ms Now);
  // When mayGetRequest becomes true, at the latest when the endpoint is warm.
  // Now if the endpoint has no limit here.
  time_ms nextRequestAt(std::string_view Endpoint, time_ms Now);

private:
  struct known_endpoint {
    std::string Service;
    std::int64_t StartedAt = -1; // Of the entry that was read last, as Sequence
    std::int64_t Sequence = -1;  // and StatedMs.
    int StatedMs = 0;
    time_ms ColdUntil = 0;
    double PerSecond = 0;               // Limit while cold.
    std::optional<request_pacer> Pacer; // While cold and limited.
  };

  double coldRequestsPerSecond(std::string_view Service) const;
  void readEntry(known_endpoint &Known, const dispatch::endpoint_entry &Entry,
                 time_ms Now) const;
  void updateAll(time_ms Now);
  void update(const std::string &Id, known_endpoint &Known, time_ms Now);
  double shareOf(const std::string &Id, double PerSecond) const;
  bool isSettled(time_ms Now) const;
  bool isListCurrent(time_ms Now) const;
  known_endpoint *findLimited(std::string_view Endpoint, time_ms Now);

  std::string Instance;
  cold_listener &Listener;
  std::shared_ptr<const relay::route_table> Table;
  std::map<std::string, known_endpoint, std::less<>> Endpoints; // By id.
  std::size_t Limited = 0;         // Endpoints with a pacer.
  std::vector<std::string> Others; // Sorted names of the other instances.
  time_ms ListKnownSince = -1;     // First read of the list of instances.
  time_ms ListReadAt = -1;         // Last read.
};

//---------------------------------------------------------------------------
// Calls
//---------------------------------------------------------------------------

// For logs and metrics.
class limiter_listener : public cold_listener {
public:
  // Reporter is empty if a response stated it.
  virtual void onLimitChanged(std::string_view Endpoint,
                              const known_limit &Limit,
                              std::string_view Reporter) = 0;
  virtual void onLimitUnreadable(std::string_view Endpoint,
                                 std::string_view Text) = 0;
  virtual void onShareChanged(std::string_view Endpoint, double SharePerSecond,
                              double LimitPerSecond, int Instances) = 0;
  // No endpoint of the service may get the call, because of limits.
  virtual void onCallRefused(const relay::call &Call, int RetryAfterMs) = 0;
};

// Decides which endpoints may get a request of this instance now.
class endpoint_limiter final : public limit_statement_listener,
                               public dispatch::endpoint_restriction {
public:
  endpoint_limiter(std::string Instance, limiter_listener &Listener);

  void setTable(std::shared_ptr<const relay::route_table> NewTable,
                time_ms Now) {
    Cold.setTable(std::move(NewTable), Now);
  }
  void setEndpoints(std::span<const dispatch::endpoint_entry> Entries,
                    time_ms Now);
  // The list has been read now: all instances that have not left, this one may
  // be missing.
  void setInstances(std::span<const std::string> Names, time_ms Now);
  // Called at least every 100 ms.
  void tick(time_ms Now) { Cold.tick(Now); }
  // Reports of all instances, this one included, in the order of their topic.
  // IsCurrent: see limit_register::onReport.
  void onReport(std::string_view Reporter, const limit_report &Report,
                bool IsCurrent, time_ms Now);
  void onReportRemoved(std::string_view Reporter);
  // All reports so far were passed to onReport.
  void onCaughtUp(time_ms Now);
  void onReportsUnreadable() { ReadableSince = -1; }
  // The own report, if it is to be written now.
  std::optional<limit_report> takeReport(time_ms Now);

  void onRequest(std::string_view Service, time_ms Now); // Of a caller.
  void onLimitStatement(const relay::endpoint_choice &Source,
                        const limit_statement &Statement, time_ms Now) override;
  void onColdStated(const relay::endpoint_choice &Source, int RemainingMs,
                    time_ms Now) override;
  std::uint64_t versionOf(std::string_view Endpoint) const {
    return Register.versionOf(Endpoint);
  }
  void onSent(std::string_view Endpoint, time_ms Now);
  // False if the endpoint may not get a request now.
  bool mayGetRequest(std::string_view Endpoint, time_ms Now) override;
  bool isCold(std::string_view Endpoint, time_ms Now) const {
    return Cold.limitOf(Endpoint, Now).has_value();
  }
  // When to come back, if no endpoint of the service may get a request now.
  std::optional<int> retryAfterMs(std::string_view Service, time_ms Now);
  const request_pacer *findPacer(std::string_view Endpoint) const;

private:
  struct reported_limits {
    std::vector<stated_limit> Limits;
    bool IsCurrent = false; // See limit_register::onReport.
  };

  void onLimitChanged(std::string_view Endpoint, std::string_view Reporter);
  void applyLimits(std::string_view Reporter, reported_limits &Reported,
                   time_ms Now);
  bool hasLimits() const { return !LimitedByService.empty(); }
  void updateShares(time_ms Now);
  void updateLimited();
  void updatePacer(const std::string &Endpoint, double Share, time_ms Now);
  // Requests a second that the endpoint may get of all instances.
  std::optional<double> limitOf(std::string_view Endpoint, time_ms Now) const;
  // When the endpoint may get a request, empty if not at the current share.
  std::optional<time_ms> nextRequestAt(std::string_view Endpoint, time_ms Now);
  // False while this instance may divide the limits otherwise than the others,
  // because it has only begun to read their reports.
  bool isSettled(time_ms Now) const;
  std::vector<service_demand> currentDemands(time_ms Now);

  std::string Instance;
  limiter_listener &Listener;
  limit_register Register;
  fleet_demand Demand;
  std::map<std::string, reported_limits, std::less<>>
      UnlistedLimits; // Whose endpoint is not listed yet, by instance.
  std::map<std::string, demand_meter, std::less<>> Meters;   // By service.
  std::map<std::string, double, std::less<>> ReportedDemand; // By service.
  std::map<std::string, request_pacer, std::less<>>
      Pacers; // By endpoint; those with a limit in force.
  std::map<std::string, std::vector<std::string>, std::less<>>
      LimitedByService; // Endpoints with a limit in force.
  cold_limiter Cold;
  time_ms ReadableSince = -1;    // When reports were last read, -1 while they
                                 // can't be.
  time_ms InstancesKnownAt = -1; // When reports were first read.
  // Of Demand.readableMs(), when a report was last read that may be old.
  time_ms OldReportReadAt = 0;
  time_ms NextReportAt = 0;
  bool HasNews = false;    // A response changed a limit.
  limit_report LastReport; // As taken last.
};

// Decorates a placement: keeps calls from endpoints whose limit is used up.
class limit_gate final : public relay::placement_decorator {
public:
  limit_gate(relay::placement &Inner, endpoint_limiter &Limiter,
             limiter_listener &Listener)
      : placement_decorator(Inner), Limiter(Limiter), Listener(Listener) {}

  std::optional<relay::placement_refusal> admit(const relay::call &Call,
                                                time_ms Now) override;
  std::optional<relay::endpoint_choice>
  choose(const relay::call &Call, const std::set<std::string> &Tried,
         time_ms Now) override;
  // False for an endpoint that has become cold since it was chosen: the call is
  // not in the share of this instance.
  bool mayStillSend(const relay::call &Call,
                    const relay::endpoint_choice &Target, time_ms ConnectedAt,
                    time_ms Now) const override;
  void onSent(const relay::call &Call, std::string_view Endpoint,
              time_ms Now) override;
  relay::placement_refusal refusal(const relay::call &Call) const override;

private:
  endpoint_limiter &Limiter;
  limiter_listener &Listener;
  time_ms LastChoiceAt = 0;
};

} // namespace tamarack::limits
