// Whether an endpoint certainly runs the version that the list names.
#include "tamarack/streams.hpp"

namespace tamarack::streams {

namespace {

// For a request to reach its endpoint after the list was looked at.
constexpr int SendMarginMs = 500;
// From the start of an endpoint until its entry is in the list.
constexpr int RegistrationMs = 1'500;

} // namespace

version_gate::version_gate(relay::placement &Inner, const listed_versions &List,
                           const clock &Clock, int LeaveNoticeMs)
    : placement_decorator(Inner), List(List), Clock(Clock),
      MaxListAgeMs(LeaveNoticeMs - SendMarginMs) {}

bool version_gate::mayStillSend(const relay::call &Call,
                                const relay::endpoint_choice &Target,
                                time_ms ConnectedAt, time_ms Now) const {
  const bool IsBound = !Call.RequiredVersion.empty();
  return (!IsBound || isVersionCertain(Target, ConnectedAt)) &&
         placement_decorator::mayStillSend(Call, Target, ConnectedAt, Now);
}

bool version_gate::isVersionCertain(const relay::endpoint_choice &Source,
                                    time_ms ConnectedAt) const {
  const std::optional<listed_version> Listed = List.find(Source.Endpoint);
  const time_ms KnownAsOf = List.knownAsOf();
  if (!Listed || KnownAsOf < 0 || Listed->StartedAt != Source.StartedAt ||
      Listed->Version != Source.Version)
    return false;
  const bool IsListRecent = Clock.sinceBoot() - KnownAsOf <= MaxListAgeMs;
  const bool IsConnectionOlder = KnownAsOf - ConnectedAt >= RegistrationMs;
  return IsListRecent || IsConnectionOlder;
}

} // namespace tamarack::streams
