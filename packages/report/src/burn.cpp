// Burn rates of service-level objectives over several windows.
#include "tamarack/report.hpp"

namespace tamarack::report {

namespace {

constexpr time_ms MinuteMs = 60'000;
constexpr double FastBurnRate = 14.4; // Threshold of burn_alarm::Fast.
constexpr double SlowBurnRate = 6;    // Threshold of burn_alarm::Slow.

// Map key of a subject and an account.
std::string keyOf(std::string_view Subject, std::string_view Account) {
  std::string Key(Subject);
  Key.push_back('\0');
  Key.append(Account);
  return Key;
}

} // namespace

double burnRate(const burn_window &Window, double Objective) {
  if (Window.TotalRequests == 0)
    return 0;
  const double BadFraction = static_cast<double>(Window.BadRequests) /
                             static_cast<double>(Window.TotalRequests);
  return BadFraction / (1 - Objective);
}

burn_alarm alarmOf(const burn_row &Row) {
  double Rates[BurnWindowCount];
  for (int Index = 0; Index < BurnWindowCount; ++Index)
    Rates[Index] = burnRate(Row.Windows[Index], Row.Objective);
  if (Rates[0] >= FastBurnRate && Rates[2] >= FastBurnRate)
    return burn_alarm::Fast;
  if (Rates[1] >= SlowBurnRate && Rates[3] >= SlowBurnRate)
    return burn_alarm::Slow;
  return burn_alarm::None;
}

std::string_view toString(burn_alarm Alarm) {
  switch (Alarm) {
  case burn_alarm::None:
    return "none";
  case burn_alarm::Slow:
    return "slow";
  case burn_alarm::Fast:
    return "fast";
  }
  return "";
}

std::vector<burn_row> mergeRows(std::vector<burn_row> Rows) {
  std::map<std::string, burn_row> Merged;
  for (burn_row &Row : Rows) {
    const std::string Key = keyOf(Row.Subject, Row.Account);
    auto Found = Merged.find(Key);
    if (Found == Merged.end()) {
      Merged.emplace(Key, std::move(Row));
      continue;
    }
    for (int Index = 0; Index < BurnWindowCount; ++Index) {
      Found->second.Windows[Index].TotalRequests +=
          Row.Windows[Index].TotalRequests;
      Found->second.Windows[Index].BadRequests +=
          Row.Windows[Index].BadRequests;
    }
  }
  std::vector<burn_row> Result;
  Result.reserve(Merged.size());
  for (auto &[Key, Row] : Merged)
    Result.push_back(std::move(Row));
  return Result;
}

void burn_tracker::addRequest(std::string_view Subject,
                              std::string_view Account, double Objective,
                              bool Good, time_ms Now) {
  const std::string Key = keyOf(Subject, Account);
  auto Found = Series.find(Key);
  if (Found == Series.end()) {
    Found = Series.emplace(Key, series{}).first;
    Found->second.Subject = Subject;
    Found->second.Account = Account;
  }
  series &Entry = Found->second;
  Entry.Objective = Objective;
  const std::int64_t EpochMinute = Now / MinuteMs;
  minute_counts &Minute =
      Entry.MinuteRing[static_cast<std::size_t>(EpochMinute % RingMinutes)];
  if (Minute.EpochMinute != EpochMinute)
    Minute = {EpochMinute, 0, 0};
  ++Minute.TotalRequests;
  if (!Good)
    ++Minute.BadRequests;
}

std::vector<burn_row> burn_tracker::rows(time_ms Now) const {
  const std::int64_t EpochMinute = Now / MinuteMs;
  std::vector<burn_row> Result;
  for (const auto &[Key, Entry] : Series) {
    burn_row Row;
    Row.Subject = Entry.Subject;
    Row.Account = Entry.Account;
    Row.Objective = Entry.Objective;
    for (const minute_counts &Minute : Entry.MinuteRing) {
      const std::int64_t Age = EpochMinute - Minute.EpochMinute;
      if (Minute.EpochMinute < 0 || Age < 0)
        continue;
      for (int Index = 0; Index < BurnWindowCount; ++Index) {
        if (Age >= BurnWindowsMinutes[Index])
          continue;
        Row.Windows[Index].TotalRequests += Minute.TotalRequests;
        Row.Windows[Index].BadRequests += Minute.BadRequests;
      }
    }
    Result.push_back(std::move(Row));
  }
  return Result;
}

} // namespace tamarack::report
