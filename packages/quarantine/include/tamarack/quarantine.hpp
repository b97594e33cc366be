// Keeps what crashes endpoints away from all endpoints of the fleet.
//
// Contents:
//   causes              cause, causesOf
//   calls               crash_guard, endpoint_info, endpoint_lookup,
//                       endpoint_prober, crash_guard_listener
//   quarantine          crash_quarantine, quarantine_refusal,
//   quarantined_cause,
//                       completed_causes
//   exchange of reports crash_report, endpoint_start, crash, sound_cause,
//                       encode, decodeReport
//
// A possible cause of crashes is a request that comes again with the same
// account, path and body, and a shared part of prompts: any part but the last
// one, which other requests may contain. Instances tell each other
// which causes may have crashed an endpoint (crash) and which of these have
// been answered completely (sound_cause). A cause of several crashes that is
// not known to be sound is in quarantine: requests that have it are refused.
//
// Not detected: endpoints that hang or become unreachable instead of ending,
// crashes over 2 s after the first byte of a response, and for up to a minute a
// cause that was answered completely before it began to crash endpoints.
//
// Nothing here is thread-safe or reads a clock; times are monotonic ms of this
// instance. Times of different instances are never compared.
#pragma once

#include "tamarack/relay.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace tamarack::quarantine {

//---------------------------------------------------------------------------
// Causes
//---------------------------------------------------------------------------

enum class cause_kind {
  Request,    // Id is the fingerprint of the request.
  PromptPart, // Id is that of a shared part of the prompt.
};

// What may crash the endpoints that begin to run a request.
struct cause {
  cause_kind Kind = cause_kind::Request;
  std::uint64_t Id = 0;
  bool operator==(const cause &) const = default;
  bool operator<(const cause &Other) const {
    return std::tie(Kind, Id) < std::tie(Other.Kind, Other.Id);
  }
};

struct cause_hash {
  std::size_t operator()(const cause &Cause) const {
    return std::hash<std::uint64_t>()(Cause.Id) + static_cast<int>(Cause.Kind);
  }
};

// The causes that a request has: itself, by its fingerprint if that is known,
// and the shared parts of its prompt.
std::vector<cause> causesOf(const relay::call &Call);

//---------------------------------------------------------------------------
// Exchange of reports
//---------------------------------------------------------------------------

// One run of an endpoint.
struct endpoint_start {
  std::string Endpoint;       // Id.
  std::int64_t StartedAt = 0; // Unix ms as stated by the endpoint.
  bool operator==(const endpoint_start &) const = default;
  bool operator<(const endpoint_start &Other) const {
    return std::tie(Endpoint, StartedAt) <
           std::tie(Other.Endpoint, Other.StartedAt);
  }
};

// The unexpected end of one run of an endpoint.
struct crash {
  endpoint_start Endpoint;
  std::vector<cause> Causes; // That may have crashed it.
  bool operator==(const crash &) const = default;
};

// A cause that was answered completely after it was reported for a crash.
struct sound_cause {
  cause Cause;
  std::uint64_t Number = 0; // Differs between the announcements of an instance.
                            // A new number discards the crashes known so far.
  bool operator==(const sound_cause &) const = default;
};

// Everything that one instance tells the others. Each report replaces the
// previous one of the instance.
struct crash_report {
  std::vector<crash> Crashes; // Oldest first.
  std::vector<sound_cause> SoundCauses;
  bool operator==(const crash_report &) const = default;
};

inline constexpr std::size_t MaxReportedCrashes = 16;
inline constexpr std::size_t MaxCausesPerCrash = 128;
inline constexpr std::size_t MaxReportedSound = 64;

std::string encode(const crash_report &Report); // MessagePack.
// Returns nothing if Bytes are not a report or exceed one of the limits above.
std::optional<crash_report> decodeReport(std::string_view Bytes);

//---------------------------------------------------------------------------
// Quarantine
//---------------------------------------------------------------------------

// Distinct endpoint starts that a cause may have crashed before it is
// quarantined.
inline constexpr std::size_t CrashesToQuarantine = 3;
// Crashes attributed to a cause after which an instance that saw it answered
// completely before them announces it as sound.
inline constexpr std::size_t CrashesToAnnounce = 2;
// Time for which a completely answered cause counts as sound.
inline constexpr time_ms SoundMemoryMs = 60'000;
inline constexpr std::size_t MaxSoundMemory = 8'192; // Causes.
// Time after which a crash is forgotten. A cause that has been released is
// remembered for this time after its release.
inline constexpr time_ms CrashMemoryMs = 30 * 60'000;
// Time from the newest crash to the release of the cause. Doubles with each
// crash after a release.
inline constexpr time_ms QuarantineMs = 10 * 60'000;
inline constexpr time_ms MaxQuarantineMs = 30 * 60'000;
// The instance with the smallest name that reported a crash of the cause
// releases it first. Each of the others follows after this time and a share of
// the same time that depends on its name.
inline constexpr time_ms OtherInstancesDelayMs = 60'000;
// A cause of which another one in quarantine explains as many crashes may be
// sound: it is tested early, up to MaxEarlyTrials times. EarlyTrialMs takes the
// place of QuarantineMs and doubles with each further crash.
inline constexpr time_ms EarlyTrialMs = 5'000;
inline constexpr int MaxEarlyTrials = 3;
// Of the other instances, in place of OtherInstancesDelayMs.
inline constexpr time_ms OtherInstancesEarlyDelayMs = 10'000;
inline constexpr time_ms OtherInstancesEarlySpreadMs = 50'000;
// Advice to a caller while another request tests a released cause.
inline constexpr int TrialRetryAfterMs = 2'000;
// An instance repeats its report this often while there are crashes in it.
inline constexpr time_ms ReportRepeatMs = 60'000;
// A report that was already there when this instance began to read counts for
// this time, unless it is repeated: its writer may be gone for good.
inline constexpr time_ms OldReportMemoryMs = 150'000;
inline constexpr std::size_t MaxSuspected = 8'192;

// Why a request may not be sent.
struct quarantine_refusal {
  cause Cause;          // The one that is refused for longest.
  int RetryAfterMs = 0; // When the caller should try again.
};

// For logs and metrics.
struct quarantined_cause {
  cause Cause;
  int Crashes = 0;   // Distinct endpoint starts.
  time_ms Until = 0; // When this instance releases or released it.
};

// The causes of requests that were answered completely, each for SoundMemoryMs
// after the last time. Keeps the MaxSoundMemory latest ones.
class completed_causes {
public:
  void add(const cause &Cause, time_ms Now);
  bool contains(const cause &Cause, time_ms Now) const;

private:
  struct completed_cause {
    cause Cause;
    time_ms CompletedAt = 0;
  };

  std::list<completed_cause> Latest; // Most recently completed first.
  std::unordered_map<cause, std::list<completed_cause>::iterator, cause_hash>
      Index;
};

// Decides which causes are in quarantine, from the observations of this
// instance and the reports of the others.
//
// A released cause is on trial: this instance sends one request at a time that
// has it, until one is answered completely. A crash on trial quarantines the
// cause again at once, at all instances.
class crash_quarantine {
public:
  // Instance: name of this instance. FirstSoundNumber must differ between its
  // incarnations.
  explicit crash_quarantine(std::string Instance,
                            std::uint64_t FirstSoundNumber = 0);

  // False if no cause is suspected: every request may be sent.
  bool hasSuspects() const { return !Suspected.empty(); }
  // Returns why a request with these causes may not be sent now, if so.
  std::optional<quarantine_refusal> refusal(std::span<const cause> Causes,
                                            time_ms Now) const;
  // False if one of the causes may have crashed an endpoint and is not known to
  // be sound: a request that failed must not be sent to a second endpoint.
  bool mayRetry(std::span<const cause> Causes, time_ms Now) const;

  // A request was answered completely: its causes are sound.
  void onResponseCompleted(std::span<const cause> Causes, time_ms Now);
  // An endpoint died under requests of this instance that have these causes.
  // Further ones may follow for the same start.
  void onEndpointDied(const endpoint_start &Endpoint,
                      std::span<const cause> Candidates, time_ms Now);
  // A request was sent. Returns those of its causes that are on trial; pass
  // them to endTrials when the result is known.
  std::vector<cause> beginTrials(std::span<const cause> Causes, time_ms Now);
  void endTrials(std::span<const cause> Causes);

  // A report of another instance. One under the own name is ignored.
  // IsCurrent: it was written while this instance has been reading.
  void onReport(std::string_view Reporter, const crash_report &Report,
                time_ms Now, bool IsCurrent = true);
  // The instance has left. Crashes that it reported remain known.
  void onReportRemoved(std::string_view Reporter);
  // The own report, if it changed since the last call.
  std::optional<crash_report> takeReport(time_ms Now);

  // Causes in quarantine or on trial.
  std::vector<quarantined_cause> quarantinedCauses() const;

private:
  struct sighting {
    time_ms LearntAt = 0;
    std::set<std::string> Reporters;
  };
  struct quarantine_period {
    time_ms BeganAt = 0; // Of the newest crash.
    time_ms Until = 0;
    int EarlyTrials = 0; // That ended in a crash.
    int Extensions = 0;  // Crashes after a release.
  };
  struct suspected_cause {
    std::map<endpoint_start, sighting> Crashes;
    time_ms NewestCrashAt = 0;
    std::optional<quarantine_period> Quarantine;
    int TrialsInFlight = 0;
  };
  struct own_crash {
    crash Crash;
    time_ms LearntAt = 0;
  };
  bool hasEnoughCrashes(const cause &Cause, const suspected_cause &State) const;
  time_ms releaseAt(const cause &Cause, const suspected_cause &State) const;
  void addCrash(std::string_view Reporter, const endpoint_start &Endpoint,
                const cause &Cause, time_ms Now);
  bool isAmbiguous(const suspected_cause &State) const;
  static time_ms earlyTrialAt(const quarantine_period &Period);
  bool isTestedEarly(const suspected_cause &State) const;
  void countMostCrashes();
  void startQuarantine(suspected_cause &State, time_ms Now);
  void addOwnCrash(const endpoint_start &Endpoint,
                   std::span<const cause> Causes, time_ms Now);
  void dropOldReports(time_ms Now);
  void removeReporter(const std::string &Reporter, const crash_report &Report);
  void dropOwnCrash();
  bool needsAllOwnCrashes(const cause &Cause) const;
  void announceIfSound(const cause &Cause, time_ms Now);
  void announceSound(const cause &Cause, time_ms Now);
  void discardCrashes(const cause &Cause);
  void removeExpired(time_ms Now);
  void limitSuspected();

  std::string Instance;
  std::unordered_map<cause, suspected_cause, cause_hash> Suspected;
  struct received_report {
    crash_report Report;
    time_ms ReadAt = 0;
    bool IsCurrent = true;
  };
  std::map<std::string, received_report, std::less<>>
      Reports;                      // The last one of each other instance.
  std::deque<own_crash> OwnCrashes; // Oldest first.
  std::map<cause, std::pair<sound_cause, time_ms>>
      OwnSoundCauses;             // With the time of the announcement.
  std::size_t MostCrashes = 0;    // Of one cause in quarantine.
  std::size_t CausesWithMost = 0; // In quarantine.
  std::uint64_t LastSoundNumber;
  bool ReportChanged = false;
  completed_causes Completed; // By requests of this instance.
};

//---------------------------------------------------------------------------
// Calls
//---------------------------------------------------------------------------

// What the platform lists about an endpoint.
struct endpoint_info {
  std::int64_t StartedAt = 0; // Unix ms.
  std::string Address;        // host:port
  bool Leaving = false;       // Will end on its own.
};

class endpoint_lookup {
public:
  virtual ~endpoint_lookup() = default;
  virtual std::optional<endpoint_info>
  find(std::string_view Endpoint) const = 0;
};

// Finds out whether a process still listens at an address.
class endpoint_prober {
public:
  using handler = std::function<void(bool IsDead, time_ms Now)>;
  virtual ~endpoint_prober() = default;
  // Connects to Address after DelayMs and calls Handler once, later. IsDead
  // only if the connection was refused; false if it was accepted or nothing is
  // known.
  virtual void probe(std::string_view Address, int DelayMs,
                     handler Handler) = 0;
};

class crash_guard_listener {
public:
  virtual ~crash_guard_listener() = default;
  virtual void onEndpointDied(const endpoint_start &Endpoint, int BrokenCalls,
                              std::span<const cause> Candidates) = 0;
  virtual void onCallRefused(const relay::call &Call,
                             const quarantine_refusal &Refusal) = 0;
};

// Connects crash_quarantine to the calls of this instance. An endpoint counts
// as crashed if a connection to it breaks and nothing listens at its address
// any more. The listener of a process that ends may be closed after its
// connections, so an accepted probe is repeated a few times. Attempts that
// broke before or soon after the first byte of their response are possible
// causes.
//
// A call passed to onSent must stay at its address until onEnded. The prober
// must not call a handler after the guard is destroyed.
class crash_guard final : public relay::placement_decorator {
public:
  crash_guard(relay::placement &Inner, crash_quarantine &Quarantine,
              endpoint_prober &Prober, const endpoint_lookup &Lookup,
              crash_guard_listener &Listener);

  std::optional<relay::placement_refusal> admit(const relay::call &Call,
                                                time_ms Now) override;
  std::optional<relay::endpoint_choice>
  choose(const relay::call &Call, const std::set<std::string> &Tried,
         time_ms Now) override;
  void onSent(const relay::call &Call, std::string_view Endpoint,
              time_ms Now) override;
  void onFirstByte(const relay::call &Call, std::string_view Endpoint,
                   time_ms Now) override;
  void onEnded(const relay::call &Call, std::string_view Endpoint,
               relay::attempt_outcome Outcome, time_ms Now) override;
  relay::placement_refusal refusal(const relay::call &Call) const override;

private:
  // A cause crashes an endpoint as that begins to respond; a response that has
  // run for longer is not to blame.
  static constexpr time_ms BeginWindowMs = 2'000;

  struct attempt {
    std::string Endpoint;     // Id.
    endpoint_info Info;       // At the time of the send.
    time_ms FirstByteAt = -1; // -1 before the first byte.
    std::vector<cause> Trials;
  };
  // Attempts at one endpoint that broke, until the result of its probe.
  struct suspicion {
    std::string Address; // host:port
    std::size_t Probes = 0;
    int BrokenCalls = 0;
    std::set<cause> Causes;
    std::vector<cause> Trials;
  };

  std::optional<quarantine_refusal> quarantineRefusal(const relay::call &Call,
                                                      time_ms Now) const;
  static bool mayBeCause(const attempt &Attempt, time_ms Now);
  bool isLeaving(const endpoint_start &Endpoint) const;
  void suspect(const relay::call &Call, const attempt &Attempt);
  void startProbe(const endpoint_start &Endpoint, suspicion &Suspicion);
  void onProbed(const endpoint_start &Endpoint, bool IsDead, time_ms Now);

  crash_quarantine &Quarantine;
  endpoint_prober &Prober;
  const endpoint_lookup &Lookup;
  crash_guard_listener &Listener;
  std::map<const relay::call *, attempt> Attempts; // In flight.
  std::map<endpoint_start, suspicion> Suspicions;  // With a probe in flight.
  time_ms LastChoiceAt = 0;
  // The call whose attempt broke last, null once another attempt has ended. An
  // exchange decides on a retry at once.
  const relay::call *LastBroken = nullptr;
};

} // namespace tamarack::quarantine
