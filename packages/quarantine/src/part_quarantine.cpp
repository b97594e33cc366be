// Attribution of crashes to prompt parts.
#include "tamarack/quarantine.hpp"

#include <algorithm>
#include <functional>

namespace tamarack::quarantine {

namespace {

constexpr std::size_t MaxCrashesPerPart = 32;

std::span<const relay::prompt_part>
sharedParts(std::span<const relay::prompt_part> Prompt) {
  return Prompt.first(Prompt.empty() ? 0 : Prompt.size() - 1);
}

time_ms quarantineMs(int Extensions) {
  return std::min(MaxQuarantineMs, QuarantineMs << std::min(Extensions, 8));
}

bool namesPart(const crash_report *Report, const endpoint_start &Endpoint,
               std::uint64_t Part) {
  return Report != nullptr &&
         std::ranges::any_of(Report->Crashes, [&](const crash &Crash) {
           return Crash.Endpoint == Endpoint &&
                  std::ranges::find(Crash.Parts, Part) != Crash.Parts.end();
         });
}

bool namesSound(const crash_report *Report, const sound_part &Sound) {
  return Report != nullptr && std::ranges::find(Report->SoundParts, Sound) !=
                                  Report->SoundParts.end();
}

} // namespace

part_quarantine::part_quarantine(std::string Instance,
                                 std::uint64_t FirstSoundNumber)
    : Instance(std::move(Instance)), LastSoundNumber(FirstSoundNumber) {}

//---------------------------------------------------------------------------
// Decisions
//---------------------------------------------------------------------------

std::optional<part_refusal>
part_quarantine::refusal(std::span<const relay::prompt_part> Prompt,
                         time_ms Now) const {
  std::optional<part_refusal> Longest;
  for (const relay::prompt_part &Part : sharedParts(Prompt)) {
    const auto Found = Suspected.find(Part.Id);
    if (Found == Suspected.end() || !Found->second.Quarantine)
      continue;
    time_ms WaitMs = releaseAt(Part.Id, Found->second) - Now;
    if (WaitMs <= 0 && Found->second.TrialsInFlight == 0)
      continue;
    WaitMs = std::max<time_ms>(WaitMs, TrialRetryAfterMs);
    if (!Longest || WaitMs > Longest->RetryAfterMs)
      Longest = part_refusal{Part.Id, static_cast<int>(WaitMs)};
  }
  return Longest;
}

bool part_quarantine::mayRetry(std::span<const relay::prompt_part> Prompt,
                               time_ms Now) const {
  return std::ranges::none_of(
      sharedParts(Prompt), [&](const relay::prompt_part &Part) {
        return Suspected.contains(Part.Id) && !isKnownSound(Part.Id, Now);
      });
}

bool part_quarantine::isKnownSound(std::uint64_t Part, time_ms Now) const {
  const auto Found = CompletedIndex.find(Part);
  return Found != CompletedIndex.end() &&
         Now - Found->second->CompletedAt < SoundMemoryMs;
}

// The reports of one other instance alone do not suffice: it may be wrong.
bool part_quarantine::hasEnoughCrashes(const suspected_part &State) const {
  if (State.Crashes.size() < CrashesToQuarantine)
    return false;
  std::set<std::string_view> Reporters;
  for (const auto &[Endpoint, Sighting] : State.Crashes)
    Reporters.insert(Sighting.Reporters.begin(), Sighting.Reporters.end());
  return Reporters.size() > 1 || Reporters.contains(Instance);
}

time_ms part_quarantine::releaseAt(std::uint64_t Part,
                                   const suspected_part &State) const {
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
  if (IsFirst)
    return State.Quarantine->Until;
  const std::size_t Hash = std::hash<std::string>{}(Instance) ^ Part;
  return State.Quarantine->Until + OtherInstancesDelayMs +
         static_cast<time_ms>(Hash % OtherInstancesDelayMs);
}

//---------------------------------------------------------------------------
// Observations of this instance
//---------------------------------------------------------------------------

void part_quarantine::onResponseCompleted(
    std::span<const relay::prompt_part> Prompt, time_ms Now) {
  for (const relay::prompt_part &Part : sharedParts(Prompt)) {
    rememberCompleted(Part.Id, Now);
    if (Suspected.contains(Part.Id))
      announceSound(Part.Id, Now);
  }
}

void part_quarantine::rememberCompleted(std::uint64_t Part, time_ms Now) {
  const auto Found = CompletedIndex.find(Part);
  if (Found != CompletedIndex.end()) {
    Found->second->CompletedAt = Now;
    Completed.splice(Completed.begin(), Completed, Found->second);
    return;
  }
  Completed.push_front({Part, Now});
  CompletedIndex.emplace(Part, Completed.begin());
  if (Completed.size() > MaxSoundMemory) {
    CompletedIndex.erase(Completed.back().Part);
    Completed.pop_back();
  }
}

void part_quarantine::onEndpointDied(
    const endpoint_start &Endpoint,
    std::span<const std::uint64_t> CandidateParts, time_ms Now) {
  std::vector<std::uint64_t> Parts;
  std::ranges::copy_if(
      CandidateParts, std::back_inserter(Parts),
      [&](std::uint64_t Part) { return !isKnownSound(Part, Now); });
  // Parts that other crashes have in common are kept first.
  std::stable_partition(Parts.begin(), Parts.end(), [this](std::uint64_t Part) {
    return Suspected.contains(Part);
  });
  Parts.resize(std::min(Parts.size(), MaxPartsPerCrash));
  if (Parts.empty())
    return;
  removeExpired(Now);
  for (const std::uint64_t Part : Parts)
    addCrash(Instance, Endpoint, Part, Now);
  addOwnCrash(Endpoint, Parts, Now);
}

void part_quarantine::addOwnCrash(const endpoint_start &Endpoint,
                                  std::span<const std::uint64_t> Parts,
                                  time_ms Now) {
  ReportChanged = true;
  auto Own =
      std::ranges::find(OwnCrashes, Endpoint, [](const own_crash &Crash) {
        return Crash.Crash.Endpoint;
      });
  if (Own == OwnCrashes.end())
    Own = OwnCrashes.insert(OwnCrashes.end(), {{Endpoint, {}}, Now});
  std::vector<std::uint64_t> &Known = Own->Crash.Parts;
  for (const std::uint64_t Part : Parts)
    if (Known.size() < MaxPartsPerCrash &&
        std::ranges::find(Known, Part) == Known.end())
      Known.push_back(Part);
  if (OwnCrashes.size() > MaxReportedCrashes)
    OwnCrashes.pop_front();
}

std::vector<std::uint64_t>
part_quarantine::beginTrials(std::span<const relay::prompt_part> Prompt,
                             time_ms) {
  std::vector<std::uint64_t> Trials;
  for (const relay::prompt_part &Part : sharedParts(Prompt)) {
    const auto Found = Suspected.find(Part.Id);
    if (Found == Suspected.end() || !Found->second.Quarantine)
      continue;
    ++Found->second.TrialsInFlight;
    Trials.push_back(Part.Id);
  }
  return Trials;
}

void part_quarantine::endTrials(std::span<const std::uint64_t> Parts) {
  for (const std::uint64_t Part : Parts) {
    const auto Found = Suspected.find(Part);
    if (Found != Suspected.end() && Found->second.TrialsInFlight > 0)
      --Found->second.TrialsInFlight;
  }
}

//---------------------------------------------------------------------------
// Attribution
//---------------------------------------------------------------------------

void part_quarantine::addCrash(std::string_view Reporter,
                               const endpoint_start &Endpoint,
                               std::uint64_t Part, time_ms Now) {
  suspected_part &State = Suspected[Part];
  const auto [Found, IsNew] = State.Crashes.try_emplace(Endpoint);
  Found->second.Reporters.emplace(Reporter);
  if (IsNew) {
    Found->second.LearntAt = Now;
    if (State.Crashes.size() > MaxCrashesPerPart)
      State.Crashes.erase(
          std::ranges::min_element(State.Crashes, {}, [](const auto &Item) {
            return Item.second.LearntAt;
          }));
  }
  const bool IsSound = isKnownSound(Part, Now);
  const bool WasQuarantined = State.Quarantine.has_value();
  if (!IsSound && (WasQuarantined ? IsNew : hasEnoughCrashes(State)))
    startQuarantine(State, Now);
  if (IsNew)
    State.NewestCrashAt = Now;
}

// A crash in the first half of a quarantine was on its way when it began; a
// later one followed a release at this or another instance.
void part_quarantine::startQuarantine(suspected_part &State, time_ms Now) {
  int Extensions = 0;
  if (State.Quarantine) {
    const time_ms LastMs = quarantineMs(State.Quarantine->Extensions);
    const bool WasReleased = Now - State.NewestCrashAt > LastMs / 2;
    Extensions = State.Quarantine->Extensions + (WasReleased ? 1 : 0);
  }
  State.Quarantine =
      quarantine_period{Now + quarantineMs(Extensions), Extensions};
}

void part_quarantine::announceIfSound(std::uint64_t Part, time_ms Now) {
  const auto Found = Suspected.find(Part);
  if (Found == Suspected.end() || !isKnownSound(Part, Now))
    return;
  if (Found->second.Quarantine ||
      Found->second.Crashes.size() >= CrashesToAnnounce)
    announceSound(Part, Now);
}

void part_quarantine::announceSound(std::uint64_t Part, time_ms Now) {
  discardCrashes(Part);
  OwnSoundParts[Part] = {{Part, ++LastSoundNumber}, Now};
  ReportChanged = true;
  if (OwnSoundParts.size() > MaxReportedSoundParts)
    OwnSoundParts.erase(
        std::ranges::min_element(OwnSoundParts, {}, [](const auto &Item) {
          return Item.second.first.Number;
        }));
}

void part_quarantine::discardCrashes(std::uint64_t Part) {
  if (Suspected.erase(Part) == 0)
    return;
  for (own_crash &Own : OwnCrashes)
    if (std::erase(Own.Crash.Parts, Part) > 0)
      ReportChanged = true;
  std::erase_if(OwnCrashes,
                [](const own_crash &Own) { return Own.Crash.Parts.empty(); });
}

//---------------------------------------------------------------------------
// Reports
//---------------------------------------------------------------------------

void part_quarantine::onReport(std::string_view Reporter,
                               const crash_report &Report, time_ms Now) {
  if (Reporter == Instance)
    return;
  removeExpired(Now);
  const auto Found = Reports.find(Reporter);
  const crash_report *Previous =
      Found == Reports.end() ? nullptr : &Found->second;
  // A reporter drops a part from its crashes when it announces it as sound, so
  // crashes in the same report are newer.
  for (const sound_part &Sound : Report.SoundParts)
    if (!namesSound(Previous, Sound))
      discardCrashes(Sound.Part);
  for (const crash &Crash : Report.Crashes)
    for (const std::uint64_t Part : Crash.Parts)
      if (!namesPart(Previous, Crash.Endpoint, Part)) {
        addCrash(Reporter, Crash.Endpoint, Part, Now);
        announceIfSound(Part, Now);
      }
  Reports.insert_or_assign(std::string(Reporter), Report);
  limitSuspectedParts();
}

void part_quarantine::onReportRemoved(std::string_view Reporter) {
  const auto Found = Reports.find(Reporter);
  if (Found != Reports.end())
    Reports.erase(Found);
}

std::optional<crash_report> part_quarantine::takeReport(time_ms Now) {
  removeExpired(Now);
  if (!ReportChanged)
    return std::nullopt;
  ReportChanged = false;
  crash_report Report;
  for (const own_crash &Own : OwnCrashes)
    Report.Crashes.push_back(Own.Crash);
  for (const auto &[Part, Announced] : OwnSoundParts)
    Report.SoundParts.push_back(Announced.first);
  return Report;
}

std::vector<quarantined_part> part_quarantine::quarantinedParts() const {
  std::vector<quarantined_part> Result;
  for (const auto &[Part, State] : Suspected)
    if (State.Quarantine)
      Result.push_back({Part, static_cast<int>(State.Crashes.size()),
                        releaseAt(Part, State)});
  return Result;
}

//---------------------------------------------------------------------------
// Limits
//---------------------------------------------------------------------------

// The crashes of a part in quarantine or on trial are kept until the part is
// forgotten, also in the own report: an instance that starts learns them there.
void part_quarantine::removeExpired(time_ms Now) {
  for (auto &[Part, State] : Suspected)
    if (!State.Quarantine)
      std::erase_if(State.Crashes, [Now](const auto &Item) {
        return Now - Item.second.LearntAt > CrashMemoryMs;
      });
  std::erase_if(Suspected, [Now](const auto &Item) {
    const suspected_part &State = Item.second;
    return State.Quarantine ? Now - State.Quarantine->Until > CrashMemoryMs
                            : State.Crashes.empty();
  });
  const std::size_t Removed =
      std::erase_if(OwnCrashes, [this, Now](const own_crash &Own) {
        return Now - Own.LearntAt > CrashMemoryMs &&
               std::ranges::none_of(Own.Crash.Parts,
                                    [this](std::uint64_t Part) {
                                      return Suspected.contains(Part);
                                    });
      });
  if (Removed > 0)
    ReportChanged = true;
  std::erase_if(OwnSoundParts, [Now](const auto &Item) {
    return Now - Item.second.second > CrashMemoryMs;
  });
}

// Forgets the parts with the oldest crashes that are not in quarantine.
void part_quarantine::limitSuspectedParts() {
  while (Suspected.size() > MaxSuspectedParts) {
    const auto Oldest =
        std::ranges::min_element(Suspected, {}, [](const auto &Item) {
          return std::pair(Item.second.Quarantine.has_value(),
                           Item.second.NewestCrashAt);
        });
    Suspected.erase(Oldest);
  }
}

} // namespace tamarack::quarantine
