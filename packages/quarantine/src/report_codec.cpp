// MessagePack encoding of the crash reports.
#include "tamarack/quarantine.hpp"
#include "tamarack/wire.hpp"

#include <algorithm>
#include <iterator>

namespace tamarack::quarantine {

namespace {

constexpr int FormatVersion = 2;
constexpr std::size_t MaxTextBytes = 256; // Of an endpoint id.
// Of a report with all lists at their limits.
constexpr std::size_t MaxReportBytes = 32'768;

// The ids of the requests and of the prompt parts that may have caused a crash.
using id_list = std::vector<std::uint64_t>;
using crash_tuple = std::tuple<std::string, std::int64_t, id_list, id_list>;
using sound_tuple = std::tuple<bool, std::uint64_t, std::uint64_t>;
using report_tuple =
    std::tuple<int, std::vector<crash_tuple>, std::vector<sound_tuple>>;

bool isWithinLimits(const crash_tuple &Crash) {
  const auto &[Endpoint, StartedAt, Requests, Parts] = Crash;
  return Endpoint.size() <= MaxTextBytes && StartedAt >= 0 &&
         Requests.size() + Parts.size() <= MaxCausesPerCrash;
}

id_list idsOf(const std::vector<cause> &Causes, cause_kind Kind) {
  id_list Ids;
  for (const cause &Cause : Causes)
    if (Cause.Kind == Kind)
      Ids.push_back(Cause.Id);
  return Ids;
}

crash toCrash(const crash_tuple &Fields) {
  const auto &[Endpoint, StartedAt, Requests, Parts] = Fields;
  crash Crash{{Endpoint, StartedAt}, {}};
  for (const std::uint64_t Id : Requests)
    Crash.Causes.push_back({cause_kind::Request, Id});
  for (const std::uint64_t Id : Parts)
    Crash.Causes.push_back({cause_kind::PromptPart, Id});
  return Crash;
}

sound_cause toSound(const sound_tuple &Fields) {
  const auto &[IsRequest, Id, Number] = Fields;
  const cause_kind Kind =
      IsRequest ? cause_kind::Request : cause_kind::PromptPart;
  return {{Kind, Id}, Number};
}

} // namespace

std::string encode(const crash_report &Report) {
  std::vector<crash_tuple> Crashes;
  for (const crash &Crash : Report.Crashes)
    Crashes.emplace_back(Crash.Endpoint.Endpoint, Crash.Endpoint.StartedAt,
                         idsOf(Crash.Causes, cause_kind::Request),
                         idsOf(Crash.Causes, cause_kind::PromptPart));
  std::vector<sound_tuple> SoundCauses;
  for (const sound_cause &Sound : Report.SoundCauses)
    SoundCauses.emplace_back(Sound.Cause.Kind == cause_kind::Request,
                             Sound.Cause.Id, Sound.Number);
  return wire::pack(
      report_tuple(FormatVersion, std::move(Crashes), std::move(SoundCauses)));
}

std::optional<crash_report> decodeReport(std::string_view Bytes) {
  if (Bytes.size() > MaxReportBytes)
    return std::nullopt;
  const std::optional<report_tuple> Fields =
      wire::unpack<report_tuple>(Bytes, FormatVersion);
  if (!Fields)
    return std::nullopt;
  const auto &[Version, Crashes, SoundCauses] = *Fields;
  if (Crashes.size() > MaxReportedCrashes ||
      SoundCauses.size() > MaxReportedSound ||
      !std::ranges::all_of(Crashes, isWithinLimits))
    return std::nullopt;
  crash_report Report;
  std::ranges::transform(Crashes, std::back_inserter(Report.Crashes), toCrash);
  std::ranges::transform(SoundCauses, std::back_inserter(Report.SoundCauses),
                         toSound);
  return Report;
}

} // namespace tamarack::quarantine
