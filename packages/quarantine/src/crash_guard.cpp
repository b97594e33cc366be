// Observes the calls and refuses those with a cause in quarantine.
#include "tamarack/quarantine.hpp"

#include <algorithm>

namespace tamarack::quarantine {

namespace {

// Before each probe, while the earlier ones were accepted.
constexpr int ProbeDelaysMs[] = {0, 20, 100, 400};

relay::placement_refusal toPlacementRefusal(const quarantine_refusal &Refusal) {
  const bool IsRequest = Refusal.Cause.Kind == cause_kind::Request;
  return {IsRequest ? relay::error_kind::RequestQuarantined
                    : relay::error_kind::PromptQuarantined,
          Refusal.RetryAfterMs};
}

} // namespace

std::vector<cause> causesOf(const relay::call &Call) {
  std::vector<cause> Causes;
  if (Call.Fingerprint != 0)
    Causes.push_back({cause_kind::Request, Call.Fingerprint});
  for (std::size_t I = 0; I + 1 < Call.Prompt.size(); ++I)
    Causes.push_back({cause_kind::PromptPart, Call.Prompt[I].Id});
  return Causes;
}

crash_guard::crash_guard(relay::placement &Inner, crash_quarantine &Quarantine,
                         endpoint_prober &Prober, const endpoint_lookup &Lookup,
                         crash_guard_listener &Listener)
    : placement_decorator(Inner), Quarantine(Quarantine), Prober(Prober),
      Lookup(Lookup), Listener(Listener) {}

std::optional<quarantine_refusal>
crash_guard::quarantineRefusal(const relay::call &Call, time_ms Now) const {
  if (!Quarantine.hasSuspects())
    return std::nullopt;
  return Quarantine.refusal(causesOf(Call), Now);
}

std::optional<relay::placement_refusal>
crash_guard::admit(const relay::call &Call, time_ms Now) {
  if (const std::optional<quarantine_refusal> Refusal =
          quarantineRefusal(Call, Now)) {
    Listener.onCallRefused(Call, *Refusal);
    return toPlacementRefusal(*Refusal);
  }
  return placement_decorator::admit(Call, Now);
}

std::optional<relay::endpoint_choice>
crash_guard::choose(const relay::call &Call, const std::set<std::string> &Tried,
                    time_ms Now) {
  LastChoiceAt = Now;
  if (quarantineRefusal(Call, Now))
    return std::nullopt;
  const bool IsAfterBreak = !Tried.empty() && LastBroken == &Call;
  if (IsAfterBreak && !Quarantine.mayRetry(causesOf(Call), Now))
    return std::nullopt;
  return placement_decorator::choose(Call, Tried, Now);
}

relay::placement_refusal crash_guard::refusal(const relay::call &Call) const {
  if (const std::optional<quarantine_refusal> Refusal =
          quarantineRefusal(Call, LastChoiceAt))
    return toPlacementRefusal(*Refusal);
  return placement_decorator::refusal(Call);
}

void crash_guard::onSent(const relay::call &Call, std::string_view Endpoint,
                         time_ms Now) {
  attempt Attempt;
  Attempt.Endpoint = Endpoint;
  Attempt.Info = Lookup.find(Endpoint).value_or(endpoint_info{});
  if (Quarantine.hasSuspects())
    Attempt.Trials = Quarantine.beginTrials(causesOf(Call), Now);
  Attempts.insert_or_assign(&Call, std::move(Attempt));
  placement_decorator::onSent(Call, Endpoint, Now);
}

void crash_guard::onFirstByte(const relay::call &Call,
                              std::string_view Endpoint, time_ms Now) {
  const auto Found = Attempts.find(&Call);
  if (Found != Attempts.end())
    Found->second.FirstByteAt = Now;
  placement_decorator::onFirstByte(Call, Endpoint, Now);
}

void crash_guard::onEnded(const relay::call &Call, std::string_view Endpoint,
                          relay::attempt_outcome Outcome, time_ms Now) {
  placement_decorator::onEnded(Call, Endpoint, Outcome, Now);
  const bool MayHaveCrashed = Outcome == relay::attempt_outcome::Broken ||
                              Outcome == relay::attempt_outcome::Failed;
  LastBroken = MayHaveCrashed ? &Call : nullptr;
  if (Outcome == relay::attempt_outcome::Good)
    Quarantine.onResponseCompleted(causesOf(Call), Now);
  const auto Found = Attempts.find(&Call);
  if (Found == Attempts.end())
    return;
  const attempt Attempt = std::move(Found->second);
  Attempts.erase(Found);
  if (Outcome == relay::attempt_outcome::Broken && mayBeCause(Attempt, Now))
    return suspect(Call, Attempt);
  Quarantine.endTrials(Attempt.Trials);
}

bool crash_guard::mayBeCause(const attempt &Attempt, time_ms Now) {
  return !Attempt.Info.Address.empty() &&
         (Attempt.FirstByteAt < 0 ||
          Now - Attempt.FirstByteAt <= BeginWindowMs);
}

// The causes on trial remain so until the probe has ended: no other call may
// have them before its result is known.
void crash_guard::suspect(const relay::call &Call, const attempt &Attempt) {
  const endpoint_start Endpoint{Attempt.Endpoint, Attempt.Info.StartedAt};
  const auto [Found, IsNew] = Suspicions.try_emplace(Endpoint);
  suspicion &Suspicion = Found->second;
  ++Suspicion.BrokenCalls;
  const std::vector<cause> Causes = causesOf(Call);
  Suspicion.Causes.insert(Causes.begin(), Causes.end());
  Suspicion.Trials.insert(Suspicion.Trials.end(), Attempt.Trials.begin(),
                          Attempt.Trials.end());
  if (!IsNew)
    return;
  Suspicion.Address = Attempt.Info.Address;
  startProbe(Endpoint, Suspicion);
}

void crash_guard::startProbe(const endpoint_start &Endpoint,
                             suspicion &Suspicion) {
  const int DelayMs = ProbeDelaysMs[Suspicion.Probes++];
  Prober.probe(Suspicion.Address, DelayMs,
               [this, Endpoint](bool IsDead, time_ms Now) {
                 onProbed(Endpoint, IsDead, Now);
               });
}

// An endpoint that leaves without an announcement is removed from the list
// before it ends; one that crashes remains listed for some time.
bool crash_guard::isLeaving(const endpoint_start &Endpoint) const {
  const std::optional<endpoint_info> Info = Lookup.find(Endpoint.Endpoint);
  return !Info || (Info->StartedAt == Endpoint.StartedAt && Info->Leaving);
}

void crash_guard::onProbed(const endpoint_start &Endpoint, bool IsDead,
                           time_ms Now) {
  const auto Found = Suspicions.find(Endpoint);
  if (Found == Suspicions.end())
    return;
  if (!IsDead && Found->second.Probes < std::size(ProbeDelaysMs))
    return startProbe(Endpoint, Found->second);
  const suspicion Suspicion = std::move(Found->second);
  Suspicions.erase(Found);
  if (IsDead && !isLeaving(Endpoint)) {
    const std::vector<cause> Causes(Suspicion.Causes.begin(),
                                    Suspicion.Causes.end());
    Listener.onEndpointDied(Endpoint, Suspicion.BrokenCalls, Causes);
    Quarantine.onEndpointDied(Endpoint, Causes, Now);
  }
  Quarantine.endTrials(Suspicion.Trials);
}

} // namespace tamarack::quarantine
