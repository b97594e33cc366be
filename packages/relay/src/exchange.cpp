// The state machine of one request.
#include "tamarack/relay.hpp"

#include <algorithm>
#include <cassert>

namespace tamarack::relay {

namespace {

constexpr int MoneyWaitMs = 150;   // Longest wait for a grant.
constexpr int AwayRetryMs = 3'000; // Outages of the store last seconds.
constexpr int MostUnreached = 3;   // Endpoints that can't be connected to.
constexpr int LeastUsefulMs = 20;  // Less time left is not worth a send.
constexpr std::size_t LargestWholeAnswer = 8u << 20; // Bytes.
constexpr std::size_t LargestEvent = 1u << 20;       // Bytes.

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

// End of the last whole event in Bytes, 0 if there is none.
std::size_t endOfWholeEvents(std::string_view Bytes) {
  const std::size_t Plain = Bytes.rfind("\n\n");
  const std::size_t Cr = Bytes.rfind("\r\n\r\n");
  const std::size_t PlainEnd = Plain == Bytes.npos ? 0 : Plain + 2;
  const std::size_t CrEnd = Cr == Bytes.npos ? 0 : Cr + 4;
  return std::max(PlainEnd, CrEnd);
}

} // namespace

exchange::exchange(call Call, placement &Placement, allowance &Allowance,
                   exchange_host &Host)
    : Call(std::move(Call)), Placement(Placement), Allowance(Allowance),
      Host(Host) {}

void exchange::start(time_ms Now) {
  assert(State == state::New && "an exchange starts once");
  MoneyDeadline = std::min(Now + MoneyWaitMs, Call.Deadline);
  reserve(Now);
}

void exchange::reserve(time_ms Now) {
  if (Call.Account.empty() || Call.bound() == 0)
    return place(Now);
  switch (Allowance.reserve(Call.Account, Call.bound())) {
  case reserve_result::Reserved:
    Reserved = true;
    return place(Now);
  case reserve_result::Pending:
    State = state::WaitingForMoney;
    return;
  case reserve_result::Away:
    return giveUp(error_kind::BudgetUnavailable, AwayRetryMs);
  case reserve_result::Exhausted:
    return giveUp(error_kind::BudgetExhausted, 0);
  }
}

void exchange::onMoney(time_ms Now) {
  if (State == state::WaitingForMoney)
    reserve(Now);
}

void exchange::place(time_ms Now) {
  if (Call.Deadline - Now < LeastUsefulMs) {
    if (MayHaveRun)
      return failAfterSend(true);
    return giveUp(error_kind::DeadlineTooShort, Placement.retryAfterMs(Call));
  }
  const std::optional<endpoint_choice> Choice =
      Placement.choose(Call, Tried, Now);
  if (!Choice) {
    if (MayHaveRun)
      return failAfterSend(false);
    return giveUp(error_kind::NoEndpoint, Placement.retryAfterMs(Call));
  }
  State = state::Sending;
  InFlight = true;
  SawByte = false;
  Head = {};
  Body.clear();
  Partial.clear();
  Report.LastEndpoint = Choice->Endpoint;
  ++Report.Attempts;
  Placement.onSent(Call, Choice->Endpoint, Now);
  send_options Options;
  Options.FreshConnection = !isRepeatable(Call.Kind);
  Options.ResumeAfter = LastEventId;
  Options.Deadline = Call.Deadline;
  Host.send(*Choice, Options);
}

void exchange::endAttempt(attempt_end End, time_ms Now) {
  assert(InFlight && "an attempt ends once");
  InFlight = false;
  Report.LastEnd = End;
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
  return Placement.tryRepeat(Call.Service, Now);
}

void exchange::onUnreached(time_ms Now) {
  if (State != state::Sending)
    return;
  endAttempt(attempt_end::Unreached, Now);
  --Report.Attempts;
  if (++Report.Unreached <= MostUnreached)
    return place(Now);
  if (MayHaveRun)
    return failAfterSend(false);
  giveUp(error_kind::NoEndpoint, Placement.retryAfterMs(Call));
}

void exchange::onHead(answer_head NewHead, time_ms Now) {
  if (State != state::Sending)
    return;
  Head = std::move(NewHead);
  if (Head.Unusable)
    return onBroken(Now);
  if (Head.NotRun || Head.Misplaced) {
    Host.cancelSend();
    endAttempt(Head.Misplaced ? attempt_end::Misplaced : attempt_end::Refused,
               Now);
    if (mayRepeat(Now))
      return place(Now);
    if (MayHaveRun)
      return failAfterSend(false);
    return giveUp(error_kind::Overloaded, Placement.retryAfterMs(Call));
  }
  MayHaveRun = true;
  const bool Failed = Head.Status >= 500;
  if (Failed && isRepeatable(Call.Kind) && mayRepeat(Now)) {
    Host.cancelSend();
    endAttempt(attempt_end::Failed, Now);
    return place(Now);
  }
  if (Begun && !isSuccess(Head.Status)) {
    Host.cancelSend();
    endAttempt(attempt_end::Failed, Now);
    return failAfterSend(false);
  }
  State = state::Answering;
}

void exchange::passFirst(time_ms Now) {
  if (!SawByte) {
    SawByte = true;
    Placement.onFirstByte(Call, Report.LastEndpoint, Now);
  }
  if (Report.FirstByte == 0)
    Report.FirstByte = Now;
}

void exchange::onBody(std::string_view Bytes, time_ms Now) {
  if (State != state::Answering)
    return;
  if (isStream(Call.Kind) && isSuccess(Head.Status)) {
    Partial.append(Bytes);
    if (Partial.size() > LargestEvent)
      return onBroken(Now);
    return passEvents(Now);
  }
  if (Body.size() + Bytes.size() > LargestWholeAnswer)
    return onBroken(Now);
  Body.append(Bytes);
  passFirst(Now);
}

void exchange::passEvents(time_ms Now) {
  const std::size_t End = endOfWholeEvents(Partial);
  if (End == 0)
    return;
  event_splitter Splitter;
  Splitter.push(std::string_view(Partial).substr(0, End));
  while (std::optional<stream_event> Event = Splitter.next()) {
    ++Events;
    if (Event->Id >= 0)
      LastEventId = std::to_string(Event->Id);
  }
  passFirst(Now);
  if (!Begun) {
    Begun = true;
    Host.beginAnswer(Head);
  }
  const std::string Whole = Partial.substr(0, End);
  Partial.erase(0, End);
  Host.passOn(Whole);
}

void exchange::onEnd(time_ms Now) {
  if (State != state::Answering)
    return;
  const bool Success = isSuccess(Head.Status);
  endAttempt(Head.Status >= 500 ? attempt_end::Failed : attempt_end::Good, Now);
  Report.Status = Head.Status;
  if (!isStream(Call.Kind) || !Success) {
    Host.wholeAnswer(Head, Body);
    return finish();
  }
  if (!Begun) {
    Begun = true;
    Host.beginAnswer(Head);
  }
  if (!Partial.empty())
    Host.passOn(Partial);
  Host.endAnswer();
  finish();
}

void exchange::onBroken(time_ms Now) {
  if (State != state::Sending && State != state::Answering)
    return;
  MayHaveRun = true;
  Host.cancelSend();
  endAttempt(attempt_end::Broken, Now);
  // A stream can go on elsewhere only from a numbered event.
  const bool CanGoOn = isRepeatable(Call.Kind) &&
                       (!Begun || !LastEventId.empty() || Events == 0);
  if (CanGoOn && mayRepeat(Now))
    return place(Now);
  failAfterSend(false);
}

void exchange::onClientGone(time_ms Now) {
  if (State == state::Done)
    return;
  Report.ClientGone = true;
  if (InFlight) {
    MayHaveRun = true;
    Host.cancelSend();
    endAttempt(attempt_end::Cancelled, Now);
  }
  finish();
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
    Host.cancelSend();
    endAttempt(attempt_end::Cancelled, Now);
  }
  failAfterSend(true);
}

void exchange::failAfterSend(bool TimedOut) {
  if (Begun) {
    Report.BrokenOff = true;
    Report.Error = error_kind::AnswerIncomplete;
    Host.breakOff();
    return finish();
  }
  const error_kind Kind =
      TimedOut ? error_kind::OutcomeUnknown : error_kind::EndpointFailed;
  Report.Error = Kind;
  Report.Status = calls::rowOf(Kind).Status;
  Host.refuse(Kind, 0);
  finish();
}

void exchange::giveUp(error_kind Kind, int RetryAfterMs) {
  assert(!MayHaveRun && "a promise of not having run must hold");
  const calls::error_row &Row = calls::rowOf(Kind);
  Report.Error = Kind;
  Report.Status = Row.Status;
  Host.refuse(Kind, RetryAfterMs > 0 ? RetryAfterMs : Row.RetryAfterMs);
  finish();
}

void exchange::finish() {
  State = state::Done;
  Report.Done = true;
  if (!Reserved)
    return;
  Reserved = false;
  if (MayHaveRun)
    Report.Used =
        std::min(Call.bound(), Call.PromptTokens + Events * Call.EventTokens);
  Allowance.settle(Call.Account, Call.bound(), Report.Used);
}

} // namespace tamarack::relay
