// Data for operators: metrics and burn rates of service-level objectives.
//
// Contents:
//   metrics       metric_value, duration_histogram, metrics_registry
//   burn rates    burn_row, burnRate, alarmOf, burn_tracker
#pragma once

#include "tamarack/ports.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::report {

//---------------------------------------------------------------------------
// Metrics
//---------------------------------------------------------------------------

// Value of one counter or gauge. Thread-safe.
class metric_value {
public:
  void add(std::uint64_t Increment = 1) {
    Value.fetch_add(Increment, std::memory_order_relaxed);
  }
  void set(std::uint64_t NewValue) {
    Value.store(NewValue, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> Value = 0;
};

// Histogram of durations with logarithmic bins from 0.05 ms to 100 s.
// Thread-safe.
class duration_histogram {
public:
  duration_histogram();
  ~duration_histogram();
  void observe(double DurationMs);
  std::uint64_t count() const;
  // Upper edge of the bin that contains the quantile, in ms. 0 if empty.
  double quantile(double Fraction) const;
  void appendPrometheusText(std::string_view Name, std::string &Out) const;

private:
  struct impl; // Keeps Boost.Histogram out of this header.
  std::unique_ptr<impl> Impl;
};

// All metrics of a process by name; a metric is created at its first use. The
// references stay valid as long as the registry. Thread-safe.
class metrics_registry {
public:
  // Name may contain Prometheus labels: tamarack_x_total{kind="y"}.
  metric_value &counterOf(std::string_view Name);
  metric_value &gaugeOf(std::string_view Name);
  // Name must not contain labels.
  duration_histogram &histogramOf(std::string_view Name);
  std::string prometheusText() const;

private:
  // Guards the maps. prometheusText locks the histograms while it holds Lock.
  mutable std::mutex Lock;
  std::map<std::string, std::unique_ptr<metric_value>, std::less<>> Counters;
  std::map<std::string, std::unique_ptr<metric_value>, std::less<>> Gauges;
  std::map<std::string, std::unique_ptr<duration_histogram>, std::less<>>
      Histograms;
};

//---------------------------------------------------------------------------
// Burn rates
//---------------------------------------------------------------------------

// Lengths of the windows over which burn rates are computed.
inline constexpr int BurnWindowsMinutes[] = {5, 30, 60, 360};
inline constexpr int BurnWindowCount = 4;

// Requests of one window.
struct burn_window {
  std::uint64_t TotalRequests = 0;
  std::uint64_t BadRequests = 0; // Missed a target or failed on our side.
};

// Requests of one client account to one subject.
struct burn_row {
  std::string Subject;     // Name of a model or service.
  std::string Account;     // Name of the client account.
  double Objective = 0.95; // Fraction of requests that must be good.
  burn_window Windows[BurnWindowCount]; // In the order of BurnWindowsMinutes.
};

enum class burn_alarm {
  None,
  Slow, // 30 min and 6 h both burn at 6 times the allowed rate or more.
  Fast, // 5 min and 1 h both burn at 14.4 times the allowed rate or more.
};

// Rate at which the error budget is used up: 1 uses it up exactly, 2 in half
// the time. 0 without requests.
double burnRate(const burn_window &Window, double Objective);
burn_alarm alarmOf(const burn_row &Row);
std::string_view toString(burn_alarm Alarm);
// Merges rows of the same subject and account by adding up their windows.
std::vector<burn_row> mergeRows(std::vector<burn_row> Rows);

// Counts good and bad requests by minute. Not thread-safe.
class burn_tracker {
public:
  void addRequest(std::string_view Subject, std::string_view Account,
                  double Objective, bool Good, time_ms Now);
  std::vector<burn_row> rows(time_ms Now) const;

private:
  static constexpr int RingMinutes = 360; // The longest window.

  struct minute_counts {
    std::int64_t EpochMinute = -1; // Minutes since the epoch, -1 if unused.
    std::uint32_t TotalRequests = 0;
    std::uint32_t BadRequests = 0;
  };

  struct series {
    std::string Subject;
    std::string Account;
    double Objective = 0.95;
    // Indexed by EpochMinute % RingMinutes.
    std::vector<minute_counts> MinuteRing =
        std::vector<minute_counts>(RingMinutes);
  };

  std::map<std::string, series, std::less<>> Series; // By both names.
};

} // namespace tamarack::report
