// Figures for operators: metrics and service-level burn.
//
// Contents:
//   metrics    metrics_registry: counters, gauges, histograms; Prometheus text
//   burn       burn_tracker, burn_row, burn rates over several windows
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

// A count that only grows. Thread-safe.
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

// Distribution of times, logarithmic bins from 0.05 ms to 100 s. Thread-safe.
class duration_histogram {
public:
  duration_histogram();
  ~duration_histogram();
  void observe(double DurationMs);
  std::uint64_t count() const;
  double quantile(double Fraction) const; // Upper edge of its bin, ms.
  void appendPrometheusText(std::string_view Name, std::string &Out) const;

private:
  struct impl; // Keeps Boost.Histogram out of this header.
  std::unique_ptr<impl> Impl;
};

// Named metrics. References stay valid as long as the registry. Thread-safe.
class metrics_registry {
public:
  // Name may carry Prometheus labels: tamarack_x_total{kind="y"}.
  metric_value &counterOf(std::string_view Name);
  metric_value &gaugeOf(std::string_view Name);
  duration_histogram &histogramOf(std::string_view Name);
  std::string prometheusText() const;

private:
  mutable std::mutex Lock; // Guards the maps, never held while another is.
  std::map<std::string, std::unique_ptr<metric_value>, std::less<>> Counters;
  std::map<std::string, std::unique_ptr<metric_value>, std::less<>> Gauges;
  std::map<std::string, std::unique_ptr<duration_histogram>, std::less<>>
      Histograms;
};

//---------------------------------------------------------------------------
// Service-level burn
//---------------------------------------------------------------------------

inline constexpr int BurnWindowsMinutes[] = {5, 30, 60, 360};
inline constexpr int BurnWindowCount = 4;

// Requests of one window.
struct burn_window {
  std::uint64_t TotalRequests = 0;
  std::uint64_t BadRequests = 0; // Missed a target or failed on our side.
};

// One subject (model or service) and client account.
struct burn_row {
  std::string Subject;
  std::string Account;
  double Objective = 0.95; // Share that must be good.
  burn_window Windows[BurnWindowCount];
};

enum class burn_alarm {
  None,
  Slow, // 30 min and 6 h both burn at 6 times the allowed rate or more.
  Fast, // 5 min and 1 h both burn at 14.4 times the allowed rate or more.
};

// Times the rate that would use up the error budget exactly. 0 if idle.
double burnRate(const burn_window &Window, double Objective);
burn_alarm alarmOf(const burn_row &Row);
std::string_view toString(burn_alarm Alarm);
// Adds the windows of rows with the same subject and account.
std::vector<burn_row> mergeRows(std::vector<burn_row> Rows);

// Counts good and bad requests by minute. Not thread-safe.
class burn_tracker {
public:
  void addRequest(std::string_view Subject, std::string_view Account,
                  double Objective, bool Good, time_ms Now);
  std::vector<burn_row> rows(time_ms Now) const;

private:
  static constexpr int RingMinutes = 360;

  struct minute_counts {
    std::int64_t EpochMinute = -1; // Minutes since the epoch.
    std::uint32_t TotalRequests = 0;
    std::uint32_t BadRequests = 0;
  };

  struct series {
    std::string Subject;
    std::string Account;
    double Objective = 0.95;
    std::vector<minute_counts> MinuteRing =
        std::vector<minute_counts>(RingMinutes);
  };

  std::map<std::string, series, std::less<>> Series; // By subject and account.
};

} // namespace tamarack::report
