// Estimates of the work in front of a new call at each endpoint.
//
// Contents:
//   reports        load_report
//   speed          speed_filter, pace_estimate
//   calls          sent_call, read_backlog
//   one endpoint   endpoint_load, load_prior
//   one service    size_split, service_load
//   news           endpoint_key, report_news, call_news, load_news, encode,
//                  decodeNews, news_board
//
// An instance hears from an endpoint only in the responses to its own calls, so
// a report may be old, and what other instances have sent since is unknown. An
// estimate therefore moves from the last report to the mean of the service's
// endpoints as the report gets older, and adds what is certain: the calls of
// this instance in flight.
//
// That holds for services whose endpoints state their pace. Of the others the
// last report counts as it is.
//
// Nothing here does I/O, is thread-safe or reads a clock; times are monotonic
// ms. "Usual ms" are of an endpoint of usual speed.
#pragma once

#include "tamarack/ports.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::load {

//---------------------------------------------------------------------------
// Reports
//---------------------------------------------------------------------------

// Load that an endpoint reports in a response.
struct load_report {
  int Running = 0; // Requests being processed.
  int Waiting = 0; // Requests in the endpoint's queue.
  int Slots = 0;   // Requests that it processes concurrently.
  // Time that work takes at that moment, 100 as usual. Empty if not stated.
  std::optional<int> PacePercent = {};
};

//---------------------------------------------------------------------------
// Speed
//---------------------------------------------------------------------------

// How long work took at one endpoint, divided by how long it should have taken:
// the mean of the logarithms, weighted by the time that it should have taken.
// Samples lose weight with age, and few samples count for little.
class speed_filter {
public:
  static constexpr double MaxRatio = 20; // Of one sample; the least is 1 / 20.

  void add(double TookMs, double ExpectedMs, time_ms Now);
  double logRatio(time_ms Now) const; // 0 if nothing is known.

private:
  static constexpr double HalfLifeMs = 5'000; // Of the weight of a sample.
  static constexpr double PriorMs = 40; // Weight of a ratio of 1 without age.

  double weightAt(time_ms Now) const;

  double LogSum = 0;    // Weighted sum at UpdatedAt.
  double WeightSum = 0; // At UpdatedAt, ms.
  time_ms UpdatedAt = 0;
};

// The pace that an endpoint last reported. It changes many times a second, so
// it counts for a fraction of a second.
class pace_estimate {
public:
  static constexpr int MinPercent = 20;
  static constexpr int MaxPercent = 1'000;

  void set(int Percent, time_ms ReportedAt);
  double factor(time_ms Now) const; // Of the time that work takes.

private:
  static constexpr double HalfLifeMs = 250;

  double Factor = 1;
  time_ms ReportedAt = 0;
};

//---------------------------------------------------------------------------
// Calls
//---------------------------------------------------------------------------

// A call that an endpoint has been sent.
struct sent_call {
  std::uint64_t Number = 0; // Of a call of this instance, else its news id.
  time_ms SentAt = 0;
  double WorkMs = 0; // Usual ms until its first byte, if nothing is in front.
  double ReadMs = 0; // Part of WorkMs that reads its prompt; other prompts wait
                     // for that.
  bool IsOwn = true; // Of this instance.
};

// How long a call took until its first byte.
struct work_sample {
  double TookMs = 0;
  double ExpectedMs = 0; // Usual ms at the endpoint's pace; 0: no sample.
};

// The prompts that one engine has been sent and has probably not read yet; it
// reads them one after the other.
class read_backlog {
public:
  void add(const sent_call &Call);
  // The answer to a call has begun: what was sent before it is read, too.
  void onAnswered(std::uint64_t Number, bool IsOwn);
  void remove(std::uint64_t Number, bool IsOwn); // It has ended unanswered.
  // Ms until all are read, if reading takes Slowness times its usual time. A
  // prompt without an answer after that time still counts for a part.
  double remainingMs(double Slowness, time_ms Now) const;

private:
  // Part of a prompt's time that it takes at least while it has no answer.
  static constexpr double OverdueShare = 0.25;
  // Other instances' calls are forgotten after this time.
  static constexpr int MaxOthersMs = 3'000;

  std::vector<sent_call>::iterator find(std::uint64_t Number, bool IsOwn);

  std::vector<sent_call> Calls; // In the order in which they were sent.
};

//---------------------------------------------------------------------------
// One endpoint
//---------------------------------------------------------------------------

// What is known of the endpoints of a service together.
struct load_prior {
  bool HasPace = false;      // At least one endpoint states its pace. If none
                             // does, the last report counts whatever its age.
  double OthersRequests = 0; // Of other instances at one endpoint, mean.
  double LogRatio = 0;       // Mean of the speed filters.
  double HalfLifeMs = 500;   // Age at which a report counts half.
};

struct call_news;

class endpoint_load {
public:
  // A new run: nothing of before holds, except calls that end later.
  void reset();
  void onReport(const load_report &Report, time_ms ReportedAt);
  void onSent(const sent_call &Call);
  // A good answer to a call of this instance has begun.
  work_sample onAnswered(std::uint64_t Number, time_ms Now);
  void onEnded(std::uint64_t Number);
  // What other instances tell of the endpoint. An older report than the last
  // one is ignored.
  void onOthersReport(const load_report &Report, time_ms ReportedAt);
  void onOthersCall(const call_news &News, time_ms SentAt);

  int inFlight() const { return InFlight; } // Calls of this instance.
  bool hasReport() const { return ReportedAt >= 0; }
  // The last report states the endpoint's pace.
  bool statesPace() const { return Report.PacePercent.has_value(); }
  time_ms reportAgeMs(time_ms Now) const; // -1 before the first report.
  // Weight of the last report, 1 if it is new, 0 if there is none.
  double reportWeight(double HalfLifeMs, time_ms Now) const;
  // Requests of other instances by the last report.
  double reportedOthers() const;
  double logRatio(time_ms Now) const { return Speed.logRatio(Now); }

  // Requests at the endpoint.
  double requests(const load_prior &Prior, time_ms Now) const;
  // Time that work takes now, divided by the mean of the service's endpoints. 1
  // if no endpoint of the service states its pace.
  double slowness(const load_prior &Prior, time_ms Now) const;
  // Ms until the prompts that were sent before are read.
  double readingMs(const load_prior &Prior, time_ms Now) const;

private:
  struct unanswered_call {
    sent_call Call;
    double ExpectedMs = 0; // Usual ms, with what was in front.
  };

  std::vector<unanswered_call>::iterator findUnanswered(std::uint64_t Number);
  double unansweredReadMs() const; // Of calls of this instance.

  load_report Report;                      // The last one.
  time_ms ReportedAt = -1;                 // -1 before the first report.
  int SentSinceReport = 0;                 // Calls of this instance.
  int EndedSinceReport = 0;                // Calls of this instance.
  int InFlight = 0;                        // Calls of this instance.
  std::vector<unanswered_call> Unanswered; // Of this instance.
  read_backlog Backlog;
  speed_filter Speed;
  pace_estimate Pace;
};

//---------------------------------------------------------------------------
// One service
//---------------------------------------------------------------------------

// Keeps prompts that take long to read apart from the others: a short prompt
// that comes behind a long one misses its target although most engines are
// idle, and an instance doesn't know where others have just sent a long one.
// All instances divide the engines alike without communication.
class size_split {
public:
  // Fewer engines than this are not divided.
  static constexpr std::size_t MinEngines = 16;
  // A prompt is long if reading it takes this part of the shortest target for
  // the first byte among the service's calls.
  static constexpr double LongShareOfTarget = 0.125;

  void onCall(int TargetFirstByteMs);
  void reset() { LeastTargetMs = 0; }
  bool isLong(double ReadMs) const;
  // True if the engine is for long prompts first.
  static bool isForLong(std::string_view Endpoint);

private:
  int LeastTargetMs = 0; // 0 before the first call.
};

// What this instance has seen of one service.
class service_load {
public:
  void onCallEnded(time_ms DurationMs);
  // True if prior() is new enough to be used again.
  bool hasPrior(time_ms Now) const;
  const load_prior &prior() const { return Prior; }
  void updatePrior(std::span<const endpoint_load *const> Endpoints,
                   time_ms Now);
  size_split Split;

private:
  static constexpr double DurationShare = 0.05; // Of a new call in the mean.
  static constexpr int MinHalfLifeMs = 100;
  static constexpr int MaxHalfLifeMs = 5'000;
  static constexpr int KeptMs = 20; // Of a prior.
  // Weight of an endpoint without requests in the prior.
  static constexpr double IdleWeight = 0.05;

  double MeanDurationMs = 500; // Of a call.
  load_prior Prior;
  time_ms ComputedAt = -1; // -1 before the first time.
};

//---------------------------------------------------------------------------
// News
//---------------------------------------------------------------------------

// News of load go along with messages that instances of one zone exchange
// anyway, and are passed on from one to the next. Endpoints are named by a hash
// of their id. Ages in place of times: clocks are not compared.
using endpoint_key = std::uint32_t;

endpoint_key keyOf(std::string_view Endpoint);

struct report_news {
  endpoint_key Endpoint = 0;
  int AgeMs = 0;
  load_report Report;
};

// A call that an instance has sent, and how long it took if it was answered.
struct call_news {
  std::uint64_t Id = 0; // The same at all instances.
  endpoint_key Endpoint = 0;
  int AgeMs = 0;      // Since it was sent.
  int ReadMs = 0;     // As in sent_call.
  int ExpectedMs = 0; // Usual ms until the first byte, 0 if not answered yet.
  int TookMs = 0;     // Ms until the first byte, if it was answered.
};

struct load_news {
  std::vector<report_news> Reports;
  std::vector<call_news> Calls;
};

inline constexpr std::size_t MaxReportNews = 24; // Of one message.
inline constexpr std::size_t MaxCallNews = 32;   // Of one message.
inline constexpr int MaxNewsAgeMs = 1'500;
inline constexpr std::size_t MaxNewsBytes = 4'096;

std::string encode(const load_news &News);
// Empty if Bytes are not valid news: too many items or a number out of range.
std::optional<load_news> decodeNews(std::string_view Bytes);

// What an instance has learned lately, and what it has told to whom.
class news_board {
public:
  // A peer is told something at most once in this time.
  static constexpr int MinPauseMs = 20;

  // From is the name of the peer that told it, empty if this instance saw it.
  // False if the same or something newer is known.
  bool add(const report_news &News, std::string_view From, time_ms Now);
  bool add(const call_news &News, std::string_view From, time_ms Now);
  // What Peer should be told now: what was learned since the last time, not
  // from Peer, newest first.
  load_news take(std::string_view Peer, time_ms Now);
  std::size_t size() const { return Reports.size() + Calls.size(); }

private:
  static constexpr std::size_t MaxItems = 1'024; // Of each kind.
  // Two ages of one report differ by the time that a message takes.
  static constexpr int SameReportMs = 5;

  template <typename News> struct known_news {
    News Item;
    time_ms Since = 0; // The time to which AgeMs refers.
    time_ms LearnedAt = 0;
    std::string From;
  };

  void forgetOld(time_ms Now);

  std::map<endpoint_key, known_news<report_news>> Reports;
  std::map<std::uint64_t, known_news<call_news>> Calls; // By Id.
  std::map<std::string, time_ms, std::less<>> ToldAt;   // By peer.
};

} // namespace tamarack::load
