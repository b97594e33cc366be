// Metrics and their Prometheus text format. Histograms use Boost.Histogram.
#include "tamarack/report.hpp"

#include <boost/histogram.hpp>

#include <cstdio>
#include <set>

namespace tamarack::report {

namespace {

namespace bh = boost::histogram;

constexpr double MinMs = 0.05;    // Lower edge of the first bin.
constexpr double MaxMs = 100'000; // Upper edge of the last bin.
constexpr unsigned BinCount = 90; // Without underflow and overflow.

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

std::string numberText(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.6g", Value);
  return Text;
}

// Metric name without labels.
std::string familyOf(const std::string &Name) {
  return Name.substr(0, Name.find('{'));
}

// Appends metrics of one type with a TYPE line before each family.
void appendMetrics(const std::map<std::string, std::unique_ptr<metric_value>,
                                  std::less<>> &Metrics,
                   std::string_view Type, std::string &Out) {
  std::set<std::string> FamiliesWritten;
  for (const auto &[Name, Metric] : Metrics) {
    const std::string Family = familyOf(Name);
    if (FamiliesWritten.insert(Family).second)
      Out += "# TYPE " + Family + " " + std::string(Type) + "\n";
    Out += Name + " " + std::to_string(Metric->value()) + "\n";
  }
}

} // namespace

struct duration_histogram::impl {
  mutable std::mutex Lock;
  bh::histogram<std::tuple<log_axis>, bh::dense_storage<double>> Histogram =
      bh::make_histogram_with(bh::dense_storage<double>(),
                              log_axis(BinCount, MinMs, MaxMs));
  double SumMs = 0;
  std::uint64_t Count = 0;
};

duration_histogram::duration_histogram() : Impl(std::make_unique<impl>()) {}
duration_histogram::~duration_histogram() = default;

void duration_histogram::observe(double DurationMs) {
  const std::lock_guard Guard(Impl->Lock);
  Impl->Histogram(DurationMs);
  Impl->SumMs += DurationMs;
  ++Impl->Count;
}

std::uint64_t duration_histogram::count() const {
  const std::lock_guard Guard(Impl->Lock);
  return Impl->Count;
}

double duration_histogram::quantile(double Fraction) const {
  const std::lock_guard Guard(Impl->Lock);
  const double TargetCount = Fraction * static_cast<double>(Impl->Count);
  double CumulativeCount = 0;
  for (auto &&Bin : bh::indexed(Impl->Histogram, bh::coverage::all)) {
    CumulativeCount += *Bin;
    if (CumulativeCount >= TargetCount && CumulativeCount > 0)
      return Bin.bin().upper();
  }
  return 0;
}

void duration_histogram::appendPrometheusText(std::string_view Name,
                                              std::string &Out) const {
  const std::lock_guard Guard(Impl->Lock);
  const std::string Text(Name);
  Out += "# TYPE " + Text + " histogram\n";
  double CumulativeCount = 0;
  for (auto &&Bin : bh::indexed(Impl->Histogram, bh::coverage::all)) {
    CumulativeCount += *Bin;
    if (*Bin == 0)
      continue;
    Out += Text + "_bucket{le=\"" + numberText(Bin.bin().upper()) + "\"} " +
           numberText(CumulativeCount) + "\n";
  }
  Out += Text + "_bucket{le=\"+Inf\"} " + std::to_string(Impl->Count) + "\n";
  Out += Text + "_sum " + numberText(Impl->SumMs) + "\n";
  Out += Text + "_count " + std::to_string(Impl->Count) + "\n";
}

metric_value &metrics_registry::counterOf(std::string_view Name) {
  const std::lock_guard Guard(Lock);
  std::unique_ptr<metric_value> &Metric = Counters[std::string(Name)];
  if (!Metric)
    Metric = std::make_unique<metric_value>();
  return *Metric;
}

metric_value &metrics_registry::gaugeOf(std::string_view Name) {
  const std::lock_guard Guard(Lock);
  std::unique_ptr<metric_value> &Metric = Gauges[std::string(Name)];
  if (!Metric)
    Metric = std::make_unique<metric_value>();
  return *Metric;
}

duration_histogram &metrics_registry::histogramOf(std::string_view Name) {
  const std::lock_guard Guard(Lock);
  std::unique_ptr<duration_histogram> &Metric = Histograms[std::string(Name)];
  if (!Metric)
    Metric = std::make_unique<duration_histogram>();
  return *Metric;
}

std::string metrics_registry::prometheusText() const {
  const std::lock_guard Guard(Lock);
  std::string Out;
  appendMetrics(Counters, "counter", Out);
  appendMetrics(Gauges, "gauge", Out);
  for (const auto &[Name, Metric] : Histograms)
    Metric->appendPrometheusText(Name, Out);
  return Out;
}

} // namespace tamarack::report
