// The state machine of one request.
#include "tamarack/relay.hpp"

#include <algorithm>
#include <cassert>

namespace tamarack::relay {

namespace {

constexpr int MoneyWaitMs = 250;   // Longest wait for a grant.
constexpr int AwayRetryMs = 6'000; // Outages of the store last seconds.
constexpr int MostUnreached = 3;   // Endpoints that can't be connected to.
constexpr int LeastUsefulMs = 20;  // Less time left is not worth a send.
constexpr std::size_t LargestWholeAnswer = 8u << 20; // Bytes.
constexpr std::size_t LargestEvent = 1u << 20;       // Bytes.

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

} // namespace

exchange::exchange(call Call, placement &Placement, token_budget &Allowance,
                   response_reader &Reader, exchange_host &Host)
    : Call(std::move(Call)), Placement(Placement), Allowance(Allowance),
      Reader(Reader), Host(Host) {}

void exchange::start(time_ms Now) {
  assert(State == state::New && "an exchange starts once");
  MoneyDeadline = std::min(Now + MoneyWaitMs, Call.Deadline);
  reserve(Now);
}

void exchange::reserve(time_ms Now) {
  if (Call.Account.empty() || Call.maxTokens() == 0)
    return place(Now);
  switch (Allowance.reserve(Call.Account, Call.maxTokens())) {
  case reserve_result::Reserved:
    Reserved = true;
    return place(Now);
  case reserve_result::Pending:
    State = state::WaitingForMoney;
    return;
  case reserve_result::Unavailable:
    return giveUp(error_kind::BudgetUnavailable, AwayRetryMs);
  case reserve_result::Exhausted:
    return giveUp(error_kind::BudgetExhausted, 0);
  }
}

void exchange::onBudgetChanged(time_ms Now) {
  if (State == state::WaitingForMoney)
    reserve(Now);
}

void exchange::place(time_ms Now) {
  if (Call.Deadline - Now < LeastUsefulMs) {
    if (MayHaveRun)
      return failAfterSend(true);
    return giveUp(error_kind::DeadlineTooShort,
                  Placement.refusal(Call).RetryAfterMs);
  }
  const std::optional<endpoint_choice> Choice =
      Placement.choose(Call, Tried, Now);
  if (!Choice) {
    if (MayHaveRun)
      return failAfterSend(false);
    return giveUpUnplaced();
  }
  State = state::Sending;
  InFlight = true;
  SawByte = false;
  Head = {};
  Body.clear();
  Splitter.clear();
  if (!Begun)
    Reader.restart();
  Report.LastEndpoint = Choice->Endpoint;
  ++Report.Attempts;
  Placement.onSent(Call, Choice->Endpoint, Now);
  send_options Options;
  Options.FreshConnection = !isRepeatable(Call.Kind);
  if (Begun)
    Options.LastEventId = Reader.lastEventId();
  Options.Deadline = Call.Deadline;
  Host.startAttempt(*Choice, Options);
}

void exchange::endAttempt(attempt_outcome End, time_ms Now) {
  assert(InFlight && "an attempt ends once");
  InFlight = false;
  Report.LastOutcome = End;
  Tried.insert(Report.LastEndpoint);
  Placement.onEnded(Call, Report.LastEndpoint, End, Now);
}

// True if limits, time and the fleet's budget of repeats allow one more send;
// spends it.
bool exchange::mayRepeat(time_ms Now) {
  if (Report.Attempts >= Call.MaxAttempts)
    return false;
  if (Call.Deadline - Now < LeastUsefulMs)
    return false;
  Tried.insert(Report.LastEndpoint);
  if (!Placement.choose(Call, Tried, Now))
    return false;
  return Placement.tryRetry(Call.Service, Now);
}

void exchange::onUnreached(time_ms Now) {
  if (State != state::Sending)
    return;
  endAttempt(attempt_outcome::Unreached, Now);
  --Report.Attempts;
  if (++Report.UnreachedEndpoints <= MostUnreached)
    return place(Now);
  if (MayHaveRun)
    return failAfterSend(false);
  giveUpUnplaced();
}

void exchange::onHead(response_head NewHead, time_ms Now) {
  if (State != state::Sending)
    return;
  Head = std::move(NewHead);
  if (Head.Unusable)
    return onBroken(Now);
  if (Head.NotRun || Head.Misplaced) {
    Host.cancelAttempt();
    endAttempt(Head.Misplaced ? attempt_outcome::Misplaced
                              : attempt_outcome::Refused,
               Now);
    if (mayRepeat(Now))
      return place(Now);
    if (MayHaveRun)
      return failAfterSend(false);
    return giveUp(error_kind::Overloaded, Placement.refusal(Call).RetryAfterMs);
  }
  MayHaveRun = true;
  const bool Failed = Head.Status >= 500;
  if (Failed && isRepeatable(Call.Kind) && mayRepeat(Now)) {
    Host.cancelAttempt();
    endAttempt(attempt_outcome::Failed, Now);
    return place(Now);
  }
  if (Begun && !isSuccess(Head.Status)) {
    Host.cancelAttempt();
    endAttempt(attempt_outcome::Failed, Now);
    return failAfterSend(false);
  }
  if (!Reader.onHead(Head, Report.LastEndpoint))
    return onBroken(Now);
  State = state::Answering;
}

void exchange::noteFirstByte(time_ms Now) {
  if (!SawByte) {
    SawByte = true;
    Placement.onFirstByte(Call, Report.LastEndpoint, Now);
  }
  if (Report.FirstByteAt == 0)
    Report.FirstByteAt = Now;
}

void exchange::onBody(std::string_view Bytes, time_ms Now) {
  if (State != state::Answering)
    return;
  if (isStream(Call.Kind) && isSuccess(Head.Status)) {
    Splitter.push(Bytes);
    return passEvents(Now);
  }
  if (Body.size() + Bytes.size() > LargestWholeAnswer)
    return onBroken(Now);
  Body.append(Bytes);
  noteFirstByte(Now);
}

void exchange::passEvents(time_ms Now) {
  std::string Passed;
  while (std::optional<stream_event> Event = Splitter.next()) {
    switch (Reader.onEvent(*Event)) {
    case event_action::Forward:
      Passed += Event->Raw;
      break;
    case event_action::Drop:
      break;
    case event_action::Final:
      LastEvent = std::move(Event->Raw);
      forwardEvents(Passed, Now);
      Host.cancelAttempt(); // Nothing more is due of this answer.
      return endStream(Now);
    case event_action::Invalid:
      forwardEvents(Passed, Now);
      return onBroken(Now);
    }
  }
  forwardEvents(Passed, Now);
  if (Splitter.pending() > LargestEvent)
    onBroken(Now);
}

void exchange::forwardEvents(std::string_view Events, time_ms Now) {
  if (Events.empty())
    return;
  noteFirstByte(Now);
  if (!Begun) {
    Begun = true;
    Host.beginResponse(Head);
  }
  Host.forwardEvents(Events);
}

void exchange::onEnd(time_ms Now) {
  if (State != state::Answering)
    return;
  if (!isStream(Call.Kind) || !isSuccess(Head.Status))
    return finishCompleteResponse(Now);
  const bool Torn = Splitter.pending() > 0;
  if (Torn || !Reader.isComplete())
    return onBroken(Now);
  endStream(Now);
}

void exchange::finishCompleteResponse(time_ms Now) {
  if (!Reader.onCompleteBody(Head, Body))
    return onBroken(Now);
  endAttempt(Head.Status >= 500 ? attempt_outcome::Failed
                                : attempt_outcome::Good,
             Now);
  Report.Status = Head.Status;
  if (!settle(delivery::Complete))
    return failUnsettled();
  Host.sendCompleteResponse(Head, Body);
  finish(delivery::Complete);
}

void exchange::endStream(time_ms Now) {
  endAttempt(attempt_outcome::Good, Now);
  Report.Status = Head.Status;
  if (!Begun) {
    Begun = true;
    Host.beginResponse(Head);
  }
  if (!settle(delivery::Complete))
    return failAfterSend(false);
  if (!LastEvent.empty())
    Host.forwardEvents(LastEvent);
  Host.endResponse();
  finish(delivery::Complete);
}

void exchange::onBroken(time_ms Now) {
  if (State != state::Sending && State != state::Answering)
    return;
  MayHaveRun = true;
  Host.cancelAttempt();
  endAttempt(attempt_outcome::Broken, Now);
  const bool CanGoOn =
      Begun ? Reader.canResume(Call.Kind) : isRepeatable(Call.Kind);
  if (CanGoOn && mayRepeat(Now))
    return place(Now);
  failAfterSend(false);
}

void exchange::onCallerDisconnected(time_ms Now) {
  if (State == state::Done)
    return;
  Report.CallerDisconnected = true;
  if (InFlight) {
    MayHaveRun = true;
    Host.cancelAttempt();
    endAttempt(attempt_outcome::Cancelled, Now);
  }
  finish(delivery::CallerDisconnected);
}

time_ms exchange::nextTimer() const {
  return State == state::WaitingForMoney ? MoneyDeadline : Call.Deadline;
}

void exchange::onTimer(time_ms Now) {
  if (State == state::Done || Now < nextTimer())
    return;
  if (State == state::WaitingForMoney)
    return giveUp(error_kind::BudgetUnavailable, 0);
  if (InFlight) {
    MayHaveRun = true;
    Host.cancelAttempt();
    endAttempt(attempt_outcome::Cancelled, Now);
  }
  failAfterSend(true);
}

void exchange::failAfterSend(bool TimedOut) {
  if (Begun) {
    Report.ResponseAborted = true;
    Report.Error = error_kind::AnswerIncomplete;
    Host.abortResponse();
    return finish(delivery::Incomplete);
  }
  fail(TimedOut ? error_kind::OutcomeUnknown : error_kind::EndpointFailed);
}

// The answer is whole, but its cost could not be kept.
void exchange::failUnsettled() {
  fail(isRepeatable(Call.Kind) ? error_kind::AnswerIncomplete
                               : error_kind::OutcomeUnknown);
}

// Nothing has been passed on; the call may have run.
void exchange::fail(error_kind Kind) {
  Report.Error = Kind;
  Report.Status = calls::rowOf(Kind).Status;
  Host.refuse(Kind, 0);
  finish(delivery::Incomplete);
}

void exchange::giveUpUnplaced() {
  const placement_refusal Refusal = Placement.refusal(Call);
  giveUp(Refusal.Kind, Refusal.RetryAfterMs);
}

void exchange::giveUp(error_kind Kind, int RetryAfterMs) {
  assert(!MayHaveRun && "a promise of not having run must hold");
  const calls::error_row &Row = calls::rowOf(Kind);
  Report.Error = Kind;
  Report.Status = Row.Status;
  Host.refuse(Kind, RetryAfterMs > 0 ? RetryAfterMs : Row.RetryAfterMs);
  finish(delivery::Incomplete);
}

// Once; what is left of the reservation goes back.
bool exchange::settle(delivery How) {
  if (!Reserved)
    return true;
  Reserved = false;
  if (MayHaveRun)
    Report.TokensCharged =
        std::min(Call.maxTokens(), Reader.tokensToCharge(Call, How));
  return Allowance.settle(Call.Account, Call.maxTokens(), Report.TokensCharged);
}

void exchange::finish(delivery How) {
  State = state::Done;
  Report.Done = true;
  settle(How);
}

} // namespace tamarack::relay
