// Attribution of crashes to their causes.
#include "tamarack/quarantine.hpp"

#include <algorithm>
#include <functional>

namespace tamarack::quarantine {

namespace {

constexpr std::size_t MaxCrashesPerCause = 32;

time_ms quarantineMs(int Extensions) {
  return std::min(MaxQuarantineMs, QuarantineMs << std::min(Extensions, 8));
}

// The causes that Report names for a crash of Endpoint.
std::set<cause> causesIn(const crash_report *Report,
                         const endpoint_start &Endpoint) {
  std::set<cause> Causes;
  if (Report == nullptr)
    return Causes;
  for (const crash &Crash : Report->Crashes)
    if (Crash.Endpoint == Endpoint)
      Causes.insert(Crash.Causes.begin(), Crash.Causes.end());
  return Causes;
}

bool namesSound(const crash_report *Report, const sound_cause &Sound) {
  return Report != nullptr && std::ranges::find(Report->SoundCauses, Sound) !=
                                  Report->SoundCauses.end();
}

} // namespace

crash_quarantine::crash_quarantine(std::string Instance,
                                   std::uint64_t FirstSoundNumber)
    : Instance(std::move(Instance)), LastSoundNumber(FirstSoundNumber) {}

//---------------------------------------------------------------------------
// Decisions
//---------------------------------------------------------------------------

std::optional<quarantine_refusal>
crash_quarantine::refusal(std::span<const cause> Causes, time_ms Now) const {
  std::optional<quarantine_refusal> Longest;
  for (const cause &Cause : Causes) {
    const auto Found = Suspected.find(Cause);
    if (Found == Suspected.end() || !Found->second.Quarantine)
      continue;
    time_ms WaitMs = releaseAt(Cause, Found->second) - Now;
    if (WaitMs <= 0 && Found->second.TrialsInFlight == 0)
      continue;
    WaitMs = std::max<time_ms>(WaitMs, TrialRetryAfterMs);
    if (!Longest || WaitMs > Longest->RetryAfterMs)
      Longest = quarantine_refusal{Cause, static_cast<int>(WaitMs)};
  }
  return Longest;
}

bool crash_quarantine::mayRetry(std::span<const cause> Causes,
                                time_ms Now) const {
  return std::ranges::none_of(Causes, [&](const cause &Cause) {
    return Suspected.contains(Cause) && !Completed.contains(Cause, Now);
  });
}

// The reports of one other instance alone do not suffice for a part, which many
// callers may use: it may be wrong. One caller's request often comes to the
// same instance each time.
bool crash_quarantine::hasEnoughCrashes(const cause &Cause,
                                        const suspected_cause &State) const {
  if (State.Crashes.size() < CrashesToQuarantine)
    return false;
  if (Cause.Kind == cause_kind::Request)
    return true;
  std::set<std::string_view> Reporters;
  for (const auto &[Endpoint, Sighting] : State.Crashes)
    Reporters.insert(Sighting.Reporters.begin(), Sighting.Reporters.end());
  return Reporters.size() > 1 || Reporters.contains(Instance);
}

time_ms crash_quarantine::releaseAt(const cause &Cause,
                                    const suspected_cause &State) const {
  // The same at all instances, in whatever order the reports arrive.
  std::string_view First = Instance;
  for (const auto &[Endpoint, Sighting] : State.Crashes)
    First = std::min<std::string_view>(First, *Sighting.Reporters.begin());
  const bool IsFirst =
      std::ranges::any_of(State.Crashes,
                          [&](const auto &Item) {
                            return Item.second.Reporters.contains(
                                std::string(First));
                          }) &&
      First == Instance;
  const bool IsEarly = isTestedEarly(State);
  const time_ms At =
      IsEarly ? earlyTrialAt(*State.Quarantine) : State.Quarantine->Until;
  if (IsFirst)
    return At;
  const time_ms DelayMs =
      IsEarly ? OtherInstancesEarlyDelayMs : OtherInstancesDelayMs;
  const time_ms SpreadMs =
      IsEarly ? OtherInstancesEarlySpreadMs : OtherInstancesDelayMs;
  const std::size_t Hash =
      std::hash<std::string>{}(Instance) ^ cause_hash()(Cause);
  return At + DelayMs + static_cast<time_ms>(Hash % SpreadMs);
}

// True if another cause in quarantine explains as many crashes: this one may
// have been in flight beside it.
bool crash_quarantine::isAmbiguous(const suspected_cause &State) const {
  return State.Crashes.size() < MostCrashes || CausesWithMost > 1;
}

time_ms crash_quarantine::earlyTrialAt(const quarantine_period &Period) {
  return Period.BeganAt + (EarlyTrialMs << Period.EarlyTrials);
}

bool crash_quarantine::isTestedEarly(const suspected_cause &State) const {
  return State.Quarantine->EarlyTrials < MaxEarlyTrials && isAmbiguous(State);
}

void crash_quarantine::countMostCrashes() {
  MostCrashes = 0;
  CausesWithMost = 0;
  for (const auto &[Cause, State] : Suspected) {
    if (!State.Quarantine || State.Crashes.size() < MostCrashes)
      continue;
    CausesWithMost =
        State.Crashes.size() > MostCrashes ? 1 : CausesWithMost + 1;
    MostCrashes = State.Crashes.size();
  }
}

//---------------------------------------------------------------------------
// Observations of this instance
//---------------------------------------------------------------------------

void crash_quarantine::onResponseCompleted(std::span<const cause> Causes,
                                           time_ms Now) {
  for (const cause &Cause : Causes) {
    Completed.add(Cause, Now);
    if (Suspected.contains(Cause))
      announceSound(Cause, Now);
  }
}

void crash_quarantine::onEndpointDied(const endpoint_start &Endpoint,
                                      std::span<const cause> Candidates,
                                      time_ms Now) {
  std::vector<cause> Causes;
  std::ranges::copy_if(
      Candidates, std::back_inserter(Causes),
      [&](const cause &Cause) { return !Completed.contains(Cause, Now); });
  // Causes that other crashes have in common are kept first.
  std::stable_partition(
      Causes.begin(), Causes.end(),
      [this](const cause &Cause) { return Suspected.contains(Cause); });
  Causes.resize(std::min(Causes.size(), MaxCausesPerCrash));
  if (Causes.empty())
    return;
  removeExpired(Now);
  for (const cause &Cause : Causes)
    addCrash(Instance, Endpoint, Cause, Now);
  addOwnCrash(Endpoint, Causes, Now);
  countMostCrashes();
}

void crash_quarantine::addOwnCrash(const endpoint_start &Endpoint,
                                   std::span<const cause> Causes, time_ms Now) {
  ReportChanged = true;
  auto Own =
      std::ranges::find(OwnCrashes, Endpoint, [](const own_crash &Crash) {
        return Crash.Crash.Endpoint;
      });
  if (Own == OwnCrashes.end())
    Own = OwnCrashes.insert(OwnCrashes.end(), {{Endpoint, {}}, Now});
  std::vector<cause> &Known = Own->Crash.Causes;
  for (const cause &Cause : Causes)
    if (Known.size() < MaxCausesPerCrash &&
        std::ranges::find(Known, Cause) == Known.end())
      Known.push_back(Cause);
  if (OwnCrashes.size() > MaxReportedCrashes)
    dropOwnCrash();
}

// The oldest one without which every quarantine can still be reported.
void crash_quarantine::dropOwnCrash() {
  const auto Dispensable =
      std::ranges::find_if_not(OwnCrashes, [this](const own_crash &Own) {
        return std::ranges::any_of(
            Own.Crash.Causes,
            [this](const cause &Cause) { return needsAllOwnCrashes(Cause); });
      });
  OwnCrashes.erase(Dispensable == OwnCrashes.end() ? OwnCrashes.begin()
                                                   : Dispensable);
}

// True for a cause in quarantine of which this instance reports no more crashes
// than another instance needs to learn of the quarantine.
bool crash_quarantine::needsAllOwnCrashes(const cause &Cause) const {
  const auto Found = Suspected.find(Cause);
  if (Found == Suspected.end() || !Found->second.Quarantine)
    return false;
  const auto Count =
      std::ranges::count_if(OwnCrashes, [&Cause](const own_crash &Own) {
        return std::ranges::find(Own.Crash.Causes, Cause) !=
               Own.Crash.Causes.end();
      });
  return static_cast<std::size_t>(Count) <= CrashesToQuarantine;
}

std::vector<cause> crash_quarantine::beginTrials(std::span<const cause> Causes,
                                                 time_ms) {
  std::vector<cause> Trials;
  for (const cause &Cause : Causes) {
    const auto Found = Suspected.find(Cause);
    if (Found == Suspected.end() || !Found->second.Quarantine)
      continue;
    ++Found->second.TrialsInFlight;
    Trials.push_back(Cause);
  }
  return Trials;
}

void crash_quarantine::endTrials(std::span<const cause> Causes) {
  for (const cause &Cause : Causes) {
    const auto Found = Suspected.find(Cause);
    if (Found != Suspected.end() && Found->second.TrialsInFlight > 0)
      --Found->second.TrialsInFlight;
  }
}

//---------------------------------------------------------------------------
// Attribution
//---------------------------------------------------------------------------

void crash_quarantine::addCrash(std::string_view Reporter,
                                const endpoint_start &Endpoint,
                                const cause &Cause, time_ms Now) {
  suspected_cause &State = Suspected[Cause];
  const auto [Found, IsNew] = State.Crashes.try_emplace(Endpoint);
  Found->second.Reporters.emplace(Reporter);
  if (IsNew) {
    Found->second.LearntAt = Now;
    if (State.Crashes.size() > MaxCrashesPerCause)
      State.Crashes.erase(
          std::ranges::min_element(State.Crashes, {}, [](const auto &Item) {
            return Item.second.LearntAt;
          }));
  }
  const bool IsSound = Completed.contains(Cause, Now);
  const bool WasQuarantined = State.Quarantine.has_value();
  if (!IsSound && (WasQuarantined ? IsNew : hasEnoughCrashes(Cause, State)))
    startQuarantine(State, Now);
  if (IsNew)
    State.NewestCrashAt = Now;
}

// A crash in the first half of a quarantine was on its way when it began; a
// later one followed a release at this or another instance.
void crash_quarantine::startQuarantine(suspected_cause &State, time_ms Now) {
  quarantine_period Period;
  Period.BeganAt = Now;
  if (State.Quarantine) {
    const quarantine_period &Last = *State.Quarantine;
    const bool WasReleased =
        Now - State.NewestCrashAt > quarantineMs(Last.Extensions) / 2;
    Period.Extensions = Last.Extensions + (WasReleased ? 1 : 0);
    Period.EarlyTrials = Last.EarlyTrials + (Now >= earlyTrialAt(Last) ? 1 : 0);
  }
  Period.Until = Now + quarantineMs(Period.Extensions);
  State.Quarantine = Period;
}

void crash_quarantine::announceIfSound(const cause &Cause, time_ms Now) {
  const auto Found = Suspected.find(Cause);
  if (Found == Suspected.end() || !Completed.contains(Cause, Now))
    return;
  if (Found->second.Quarantine ||
      Found->second.Crashes.size() >= CrashesToAnnounce)
    announceSound(Cause, Now);
}

void crash_quarantine::announceSound(const cause &Cause, time_ms Now) {
  discardCrashes(Cause);
  OwnSoundCauses[Cause] = {{Cause, ++LastSoundNumber}, Now};
  ReportChanged = true;
  if (OwnSoundCauses.size() > MaxReportedSound)
    OwnSoundCauses.erase(
        std::ranges::min_element(OwnSoundCauses, {}, [](const auto &Item) {
          return Item.second.first.Number;
        }));
}

void crash_quarantine::discardCrashes(const cause &Cause) {
  if (Suspected.erase(Cause) == 0)
    return;
  for (own_crash &Own : OwnCrashes)
    if (std::erase(Own.Crash.Causes, Cause) > 0)
      ReportChanged = true;
  std::erase_if(OwnCrashes,
                [](const own_crash &Own) { return Own.Crash.Causes.empty(); });
}

//---------------------------------------------------------------------------
// Reports
//---------------------------------------------------------------------------

void crash_quarantine::onReport(std::string_view Reporter,
                                const crash_report &Report, time_ms Now,
                                bool IsCurrent) {
  if (Reporter == Instance)
    return;
  removeExpired(Now);
  const auto Found = Reports.find(Reporter);
  const crash_report *Previous =
      Found == Reports.end() ? nullptr : &Found->second.Report;
  // A reporter drops a cause from its crashes when it announces it as sound, so
  // crashes in the same report are newer.
  for (const sound_cause &Sound : Report.SoundCauses)
    if (!namesSound(Previous, Sound))
      discardCrashes(Sound.Cause);
  for (const crash &Crash : Report.Crashes) {
    const std::set<cause> Known = causesIn(Previous, Crash.Endpoint);
    for (const cause &Cause : Crash.Causes) {
      if (Known.contains(Cause))
        continue;
      addCrash(Reporter, Crash.Endpoint, Cause, Now);
      announceIfSound(Cause, Now);
    }
  }
  const bool WasCurrent = Found != Reports.end() && Found->second.IsCurrent &&
                          Found->second.Report == Report;
  Reports.insert_or_assign(
      std::string(Reporter),
      received_report{Report, Now, IsCurrent || WasCurrent});
  limitSuspected();
  countMostCrashes();
}

void crash_quarantine::onReportRemoved(std::string_view Reporter) {
  const auto Found = Reports.find(Reporter);
  if (Found != Reports.end())
    Reports.erase(Found);
}

void crash_quarantine::dropOldReports(time_ms Now) {
  for (auto Item = Reports.begin(); Item != Reports.end();) {
    const received_report &Received = Item->second;
    const bool IsOld =
        !Received.IsCurrent && Now - Received.ReadAt >= OldReportMemoryMs;
    if (IsOld)
      removeReporter(Item->first, Received.Report);
    Item = IsOld ? Reports.erase(Item) : std::next(Item);
  }
}

// Forgets the crashes that only this reporter has seen.
void crash_quarantine::removeReporter(const std::string &Reporter,
                                      const crash_report &Report) {
  for (const crash &Crash : Report.Crashes)
    for (const cause &Cause : Crash.Causes) {
      const auto Found = Suspected.find(Cause);
      if (Found == Suspected.end())
        continue;
      suspected_cause &State = Found->second;
      const auto Sighting = State.Crashes.find(Crash.Endpoint);
      if (Sighting == State.Crashes.end())
        continue;
      Sighting->second.Reporters.erase(Reporter);
      if (Sighting->second.Reporters.empty())
        State.Crashes.erase(Sighting);
      if (!hasEnoughCrashes(Cause, State))
        State.Quarantine.reset();
      if (State.Crashes.empty())
        Suspected.erase(Found);
    }
}

std::optional<crash_report> crash_quarantine::takeReport(time_ms Now) {
  dropOldReports(Now);
  removeExpired(Now);
  countMostCrashes();
  if (!ReportChanged)
    return std::nullopt;
  ReportChanged = false;
  crash_report Report;
  for (const own_crash &Own : OwnCrashes)
    Report.Crashes.push_back(Own.Crash);
  for (const auto &[Cause, Announced] : OwnSoundCauses)
    Report.SoundCauses.push_back(Announced.first);
  return Report;
}

std::vector<quarantined_cause> crash_quarantine::quarantinedCauses() const {
  std::vector<quarantined_cause> Result;
  for (const auto &[Cause, State] : Suspected)
    if (State.Quarantine)
      Result.push_back({Cause, static_cast<int>(State.Crashes.size()),
                        releaseAt(Cause, State)});
  return Result;
}

//---------------------------------------------------------------------------
// Limits
//---------------------------------------------------------------------------

// The crashes of a cause in quarantine or on trial are kept until the cause is
// forgotten, also in the own report: an instance that starts learns them there.
void crash_quarantine::removeExpired(time_ms Now) {
  for (auto &[Cause, State] : Suspected)
    if (!State.Quarantine)
      std::erase_if(State.Crashes, [Now](const auto &Item) {
        return Now - Item.second.LearntAt > CrashMemoryMs;
      });
  std::erase_if(Suspected, [Now](const auto &Item) {
    const suspected_cause &State = Item.second;
    return State.Quarantine ? Now - State.Quarantine->Until > CrashMemoryMs
                            : State.Crashes.empty();
  });
  const std::size_t Removed =
      std::erase_if(OwnCrashes, [this, Now](const own_crash &Own) {
        return Now - Own.LearntAt > CrashMemoryMs &&
               std::ranges::none_of(Own.Crash.Causes,
                                    [this](const cause &Cause) {
                                      return Suspected.contains(Cause);
                                    });
      });
  if (Removed > 0)
    ReportChanged = true;
  std::erase_if(OwnSoundCauses, [Now](const auto &Item) {
    return Now - Item.second.second > CrashMemoryMs;
  });
}

// Forgets the causes with the oldest crashes, those in quarantine last. Some
// more than needed, so that this takes no time for each further cause.
void crash_quarantine::limitSuspected() {
  if (Suspected.size() <= MaxSuspected)
    return;
  std::vector<std::tuple<bool, time_ms, cause>> ByAge;
  for (const auto &[Cause, State] : Suspected)
    ByAge.emplace_back(State.Quarantine.has_value(), State.NewestCrashAt,
                       Cause);
  const std::size_t Kept = MaxSuspected * 7 / 8;
  const auto FirstKept = ByAge.end() - static_cast<std::ptrdiff_t>(Kept);
  std::nth_element(ByAge.begin(), FirstKept, ByAge.end());
  for (auto Item = ByAge.begin(); Item != FirstKept; ++Item)
    Suspected.erase(std::get<cause>(*Item));
}

} // namespace tamarack::quarantine
