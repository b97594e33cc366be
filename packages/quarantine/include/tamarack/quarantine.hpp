// Keeps prompt parts that crash endpoints away from all endpoints of the fleet.
//
// Contents:
//   calls               crash_guard, endpoint_info, endpoint_lookup,
//                       endpoint_prober, crash_guard_listener
//   quarantine          part_quarantine, part_refusal, quarantined_part
//   exchange of reports crash_report, endpoint_start, crash, sound_part,
//                       encode, decodeReport
//
// A shared part of a prompt is any part but the last one: other requests may
// contain it. Instances tell each other which shared parts may have crashed an
// endpoint (crash) and which of these have been answered completely
// (sound_part). A part that may have caused several crashes and is not known to
// be sound is in quarantine: requests that contain it are refused.
//
// Not detected: endpoints that hang or become unreachable instead of ending,
// crashes over 2 s after the first byte of a response, and for up to a minute a
// part that was answered completely before it began to crash endpoints.
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
  std::vector<std::uint64_t> Parts; // Ids of the parts that may have caused it.
  bool operator==(const crash &) const = default;
};

// A part that was answered completely after it was reported as a possible cause
// of crashes.
struct sound_part {
  std::uint64_t Part = 0;   // Id.
  std::uint64_t Number = 0; // Differs between the announcements of an instance.
                            // A new number discards the crashes known so far.
  bool operator==(const sound_part &) const = default;
};

// Everything that one instance tells the others. Each report replaces the
// previous one of the instance.
struct crash_report {
  std::vector<crash> Crashes; // Oldest first.
  std::vector<sound_part> SoundParts;
  bool operator==(const crash_report &) const = default;
};

inline constexpr std::size_t MaxReportedCrashes = 16;
inline constexpr std::size_t MaxPartsPerCrash = 64;
inline constexpr std::size_t MaxReportedSoundParts = 64;

std::string encode(const crash_report &Report); // MessagePack.
// Returns nothing if Bytes are not a report or exceed one of the limits above.
std::optional<crash_report> decodeReport(std::string_view Bytes);

//---------------------------------------------------------------------------
// Quarantine
//---------------------------------------------------------------------------

// Distinct endpoint starts that a part may have crashed before it is
// quarantined.
inline constexpr std::size_t CrashesToQuarantine = 3;
// Crashes attributed to a part after which an instance that saw it answered
// completely before them announces it as sound.
inline constexpr std::size_t CrashesToAnnounce = 2;
// Time for which a completely answered part counts as sound.
inline constexpr time_ms SoundMemoryMs = 60'000;
inline constexpr std::size_t MaxSoundMemory = 8'192; // Parts.
// Time after which a crash is forgotten. A part that has been released is
// remembered for this time after its release.
inline constexpr time_ms CrashMemoryMs = 30 * 60'000;
// Time from the newest crash to the release of the part. Doubles with each
// crash after a release.
inline constexpr time_ms QuarantineMs = 10 * 60'000;
inline constexpr time_ms MaxQuarantineMs = 30 * 60'000;
// The instance with the smallest name that reported a crash of the part
// releases it first. Each of the others follows after this time and a share of
// the same time that depends on its name.
inline constexpr time_ms OtherInstancesDelayMs = 60'000;
// Advice to a caller while another request tests a released part.
inline constexpr int TrialRetryAfterMs = 2'000;
inline constexpr std::size_t MaxSuspectedParts = 8'192;

// Why a prompt may not be sent.
struct part_refusal {
  std::uint64_t Part = 0; // Id of the part that is refused for longest.
  int RetryAfterMs = 0;   // When the caller should try again.
};

// For logs and metrics.
struct quarantined_part {
  std::uint64_t Part = 0; // Id.
  int Crashes = 0;        // Distinct endpoint starts.
  time_ms Until = 0;      // When this instance releases or released it.
};

// Decides which parts are in quarantine, from the observations of this instance
// and the reports of the others.
//
// A released part is on trial: this instance sends one request at a time that
// contains it, until one is answered completely. A crash on trial quarantines
// the part again at once, at all instances.
class part_quarantine {
public:
  // Instance: name of this instance. FirstSoundNumber must differ between its
  // incarnations.
  explicit part_quarantine(std::string Instance,
                           std::uint64_t FirstSoundNumber = 0);

  // Returns why the prompt may not be sent to an endpoint now, if so.
  std::optional<part_refusal>
  refusal(std::span<const relay::prompt_part> Prompt, time_ms Now) const;
  // False if a shared part may have crashed an endpoint and is not known to be
  // sound: a request that failed must not be sent to a second endpoint.
  bool mayRetry(std::span<const relay::prompt_part> Prompt, time_ms Now) const;

  // A request was answered completely: its shared parts are sound.
  void onResponseCompleted(std::span<const relay::prompt_part> Prompt,
                           time_ms Now);
  // An endpoint died under requests of this instance that contain these parts.
  // Further parts may follow for the same start.
  void onEndpointDied(const endpoint_start &Endpoint,
                      std::span<const std::uint64_t> CandidateParts,
                      time_ms Now);
  // A request was sent. Returns the parts on trial that it contains; pass them
  // to endTrials when the result is known.
  std::vector<std::uint64_t>
  beginTrials(std::span<const relay::prompt_part> Prompt, time_ms Now);
  void endTrials(std::span<const std::uint64_t> Parts);

  // A report of another instance. One under the own name is ignored.
  void onReport(std::string_view Reporter, const crash_report &Report,
                time_ms Now);
  // The instance has left. Crashes that it reported remain known.
  void onReportRemoved(std::string_view Reporter);
  // The own report, if it changed since the last call.
  std::optional<crash_report> takeReport(time_ms Now);

  // Parts in quarantine or on trial.
  std::vector<quarantined_part> quarantinedParts() const;

private:
  struct sighting {
    time_ms LearntAt = 0;
    std::set<std::string> Reporters;
  };
  struct quarantine_period {
    time_ms Until = 0;
    int Extensions = 0; // Crashes after a release.
  };
  struct suspected_part {
    std::map<endpoint_start, sighting> Crashes;
    time_ms NewestCrashAt = 0;
    std::optional<quarantine_period> Quarantine;
    int TrialsInFlight = 0;
  };
  struct own_crash {
    crash Crash;
    time_ms LearntAt = 0;
  };
  struct completed_part {
    std::uint64_t Part = 0;
    time_ms CompletedAt = 0;
  };

  bool isKnownSound(std::uint64_t Part, time_ms Now) const;
  bool hasEnoughCrashes(const suspected_part &State) const;
  time_ms releaseAt(std::uint64_t Part, const suspected_part &State) const;
  void rememberCompleted(std::uint64_t Part, time_ms Now);
  void addCrash(std::string_view Reporter, const endpoint_start &Endpoint,
                std::uint64_t Part, time_ms Now);
  void startQuarantine(suspected_part &State, time_ms Now);
  void addOwnCrash(const endpoint_start &Endpoint,
                   std::span<const std::uint64_t> Parts, time_ms Now);
  void announceIfSound(std::uint64_t Part, time_ms Now);
  void announceSound(std::uint64_t Part, time_ms Now);
  void discardCrashes(std::uint64_t Part);
  void removeExpired(time_ms Now);
  void limitSuspectedParts();

  std::string Instance;
  std::unordered_map<std::uint64_t, suspected_part> Suspected; // By part id.
  std::map<std::string, crash_report, std::less<>>
      Reports;                      // The last one of each other instance.
  std::deque<own_crash> OwnCrashes; // Oldest first.
  std::map<std::uint64_t, std::pair<sound_part, time_ms>>
      OwnSoundParts; // By part id, with the time of the announcement.
  std::uint64_t LastSoundNumber;
  bool ReportChanged = false;
  std::list<completed_part> Completed; // Most recently completed first.
  std::unordered_map<std::uint64_t, std::list<completed_part>::iterator>
      CompletedIndex; // By part id.
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
                              std::size_t CandidateParts) = 0;
  virtual void onPartRefused(const relay::call &Call,
                             const part_refusal &Refusal) = 0;
};

// Connects part_quarantine to the calls of this instance. An endpoint counts as
// crashed if a connection to it breaks and nothing listens at its address any
// more. The listener of a process that ends may be closed after its
// connections, so an accepted probe is repeated a few times. Attempts that
// broke before or soon after the first byte of their response are possible
// causes.
//
// A call passed to onSent must stay at its address until onEnded. The prober
// must not call a handler after the guard is destroyed.
class crash_guard final : public relay::placement_decorator {
public:
  crash_guard(relay::placement &Inner, part_quarantine &Quarantine,
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
  // A part crashes an endpoint as it begins to write; a response that has run
  // for longer is not the cause.
  static constexpr time_ms BeginWindowMs = 2'000;

  struct attempt {
    std::string Endpoint;     // Id.
    endpoint_info Info;       // At the time of the send.
    time_ms FirstByteAt = -1; // -1 before the first byte.
    std::vector<std::uint64_t> Trials;
  };
  // Attempts at one endpoint that broke, until the result of its probe.
  struct suspicion {
    std::string Address; // host:port
    std::size_t Probes = 0;
    int BrokenCalls = 0;
    std::set<std::uint64_t> Parts;
    std::vector<std::uint64_t> Trials;
  };

  static bool mayBeCause(const attempt &Attempt, time_ms Now);
  bool isLeaving(const endpoint_start &Endpoint) const;
  void suspect(const relay::call &Call, const attempt &Attempt);
  void startProbe(const endpoint_start &Endpoint, suspicion &Suspicion);
  void onProbed(const endpoint_start &Endpoint, bool IsDead, time_ms Now);

  part_quarantine &Quarantine;
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
