// The load of one endpoint.
#include "tamarack/load.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace tamarack::load {

void endpoint_load::reset() {
  const int StillInFlight = InFlight;
  *this = {};
  InFlight = StillInFlight;
}

void endpoint_load::onReport(const load_report &NewReport, time_ms At) {
  Report = NewReport;
  ReportedAt = At;
  SentSinceReport = 0;
  EndedSinceReport = 0;
  Pace.set(NewReport.PacePercent.value_or(100), At);
}

void endpoint_load::onSent(const sent_call &Call) {
  ++InFlight;
  ++SentSinceReport;
  const double InFrontMs = Backlog.remainingMs(1, Call.SentAt);
  Unanswered.push_back({Call, InFrontMs + Call.WorkMs});
  if (Call.ReadMs > 0)
    Backlog.add(Call);
}

std::vector<endpoint_load::unanswered_call>::iterator
endpoint_load::findUnanswered(std::uint64_t Number) {
  return std::find_if(Unanswered.begin(), Unanswered.end(),
                      [Number](const unanswered_call &Waiting) {
                        return Waiting.Call.Number == Number;
                      });
}

// The pace is known apart, so that the filter holds what lasts.
work_sample endpoint_load::onAnswered(std::uint64_t Number, time_ms Now) {
  Backlog.onAnswered(Number, true);
  const auto Found = findUnanswered(Number);
  if (Found == Unanswered.end())
    return {};
  const work_sample Sample{static_cast<double>(Now - Found->Call.SentAt),
                           Found->ExpectedMs * Pace.factor(Now)};
  Speed.add(Sample.TookMs, Sample.ExpectedMs, Now);
  Unanswered.erase(Found);
  return Sample;
}

void endpoint_load::onEnded(std::uint64_t Number) {
  InFlight = std::max(0, InFlight - 1);
  ++EndedSinceReport;
  Backlog.remove(Number, true);
  const auto Found = findUnanswered(Number);
  if (Found != Unanswered.end())
    Unanswered.erase(Found);
}

// Which calls of this instance the report counts follows from its time.
void endpoint_load::onOthersReport(const load_report &NewReport, time_ms At) {
  if (At <= ReportedAt)
    return;
  onReport(NewReport, At);
  SentSinceReport =
      static_cast<int>(std::count_if(Unanswered.begin(), Unanswered.end(),
                                     [At](const unanswered_call &Waiting) {
                                       return Waiting.Call.SentAt > At;
                                     }));
}

void endpoint_load::onOthersCall(const call_news &News, time_ms SentAt) {
  if (News.ExpectedMs > 0) {
    Backlog.onAnswered(News.Id, false);
    Speed.add(News.TookMs, News.ExpectedMs, SentAt + News.TookMs);
  } else if (News.ReadMs > 0) {
    const double ReadMs = News.ReadMs;
    Backlog.add({News.Id, SentAt, ReadMs, ReadMs, false});
  }
}

time_ms endpoint_load::reportAgeMs(time_ms Now) const {
  return hasReport() ? std::max<time_ms>(0, Now - ReportedAt) : -1;
}

double endpoint_load::reportWeight(double HalfLifeMs, time_ms Now) const {
  if (!hasReport())
    return 0;
  return std::exp2(-static_cast<double>(reportAgeMs(Now)) / HalfLifeMs);
}

double endpoint_load::reportedOthers() const {
  const int Reported = Report.Running + Report.Waiting;
  return std::max(0, Reported + SentSinceReport - EndedSinceReport - InFlight);
}

double endpoint_load::requests(const load_prior &Prior, time_ms Now) const {
  if (!Prior.HasPace)
    return std::max(InFlight, Report.Running + Report.Waiting +
                                  SentSinceReport - EndedSinceReport);
  const double Weight = reportWeight(Prior.HalfLifeMs, Now);
  const double Others =
      Weight * reportedOthers() + (1 - Weight) * Prior.OthersRequests;
  return InFlight + Others;
}

double endpoint_load::slowness(const load_prior &Prior, time_ms Now) const {
  if (!Prior.HasPace)
    return 1;
  return std::exp(Speed.logRatio(Now) - Prior.LogRatio) * Pace.factor(Now);
}

double endpoint_load::unansweredReadMs() const {
  return std::accumulate(Unanswered.begin(), Unanswered.end(), 0.0,
                         [](double Sum, const unanswered_call &Waiting) {
                           return Sum + Waiting.Call.ReadMs;
                         });
}

double endpoint_load::readingMs(const load_prior &Prior, time_ms Now) const {
  if (!Prior.HasPace)
    return unansweredReadMs();
  return Backlog.remainingMs(slowness(Prior, Now), Now);
}

} // namespace tamarack::load
