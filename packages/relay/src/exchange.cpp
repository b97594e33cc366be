// The state machine of one request.
#include "tamarack/relay.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace tamarack::relay {

namespace {

constexpr int MaxReservationWaitMs = 250;      // For a grant of tokens.
constexpr int MaxOriginWaitMs = 500;           // For a look-up in the store.
constexpr int MaxListWaitMs = 400;             // For a read of the store.
constexpr int StoreOutageRetryAfterMs = 6'000; // Store outages last seconds.
// Each is replaced by another one.
constexpr int MaxUnreachedEndpoints = 3;
constexpr int MaxUnreachedInstances = 3;
constexpr int MinAttemptMs = 20; // A shorter attempt is not worthwhile.
constexpr std::size_t MaxCompleteBodyBytes = 8u << 20;
constexpr std::size_t MaxEventBytes = 1u << 20;
constexpr std::size_t MaxRefusalBytes = 64 * 1024; // That are read for its end.

// True if another instance may have an endpoint for the call.
bool isMatterOfInstance(error_kind Kind) {
  return Kind == error_kind::NotReady || Kind == error_kind::InstanceFull ||
         Kind == error_kind::NoEndpoint;
}

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

} // namespace

exchange::exchange(call Call, placement &Placement, token_budget &Budget,
                   stream_origins &Origins, response_reader &Reader,
                   exchange_host &Host, memory::memory_budget &Memory)
    : Call(std::move(Call)), Placement(Placement), Budget(Budget),
      Origins(Origins), Reader(Reader), Host(Host),
      Kept(Memory, memory::holder_kind::Response) {}

void exchange::start(time_ms Now) {
  assert(State == state::New && "an exchange starts once");
  if (const std::optional<placement_refusal> Refusal =
          Placement.admit(Call, Now))
    return refuseNotRun(Refusal->Kind, Refusal->RetryAfterMs);
  if (!Call.ForwardedBy.empty())
    return startNextAttempt(Now);
  if (Call.ResumeAfter.empty())
    return awaitTokens(Now);
  WaitDeadline = std::min(Now + MaxOriginWaitMs, Call.Deadline);
  findOrigin(Now);
}

// A caller takes a stream up: it may go on only at the version that began it.
void exchange::findOrigin(time_ms Now) {
  const stream_origin Origin = Origins.find(Call);
  Report.Origin = Origin.State;
  if (Origin.State == origin_state::Pending) {
    State = state::WaitingForOrigin;
    return;
  }
  Report.OriginFoundAt = Now;
  if (Origin.State != origin_state::Known)
    return refuseNotRun(error_kind::StreamUnknown, 0);
  if (!continueAt(Origin))
    return refuseNotRun(error_kind::StreamVersionGone, 0);
  awaitTokens(Now);
}

// Binds the call to the service and version that began its stream. False if the
// route does not lead there any more.
bool exchange::continueAt(const stream_origin &Origin) {
  const auto Service =
      std::find_if(Call.RouteServices.begin(), Call.RouteServices.end(),
                   [&Origin](const service_option &Option) {
                     return Option.Name == Origin.Service;
                   });
  if (Service == Call.RouteServices.end())
    return false;
  Call.Service = Service->Name;
  Call.MaxTokensPerEvent = Service->MaxTokensPerEvent;
  Call.RequiredVersion = Origin.Version;
  return true;
}

void exchange::onOriginsRead(time_ms Now) {
  if (State == state::WaitingForOrigin)
    findOrigin(Now);
}

void exchange::awaitTokens(time_ms Now) {
  WaitDeadline = std::min(Now + MaxReservationWaitMs, Call.Deadline);
  reserveTokens(Now);
}

void exchange::reserveTokens(time_ms Now) {
  if (Call.Account.empty() || Call.maxTokens() == 0)
    return startNextAttempt(Now);
  switch (Budget.reserve(Call)) {
  case reserve_result::Reserved:
    HoldsReservation = true;
    return startNextAttempt(Now);
  case reserve_result::Pending:
    State = state::WaitingForTokens;
    return;
  case reserve_result::Unavailable:
    return refuseNotRun(error_kind::BudgetUnavailable, StoreOutageRetryAfterMs);
  case reserve_result::Exhausted:
    return refuseNotRun(error_kind::BudgetExhausted, 0);
  }
}

void exchange::onBudgetChanged(time_ms Now) {
  if (State == state::WaitingForTokens)
    reserveTokens(Now);
}

void exchange::startNextAttempt(time_ms Now) {
  if (Call.Deadline - Now < MinAttemptMs) {
    if (MayHaveRun)
      return failAfterSend(true);
    return refuseNotRun(error_kind::DeadlineTooShort,
                        Placement.refusal(Call).RetryAfterMs);
  }
  switch (Placement.listState(Call, Now)) {
  case list_state::Pending:
    return awaitList(Now);
  case list_state::Outdated:
    return refuseWithoutList();
  case list_state::Current:
    break;
  }
  const std::optional<endpoint_choice> Choice =
      Placement.choose(Call, TriedEndpoints, Now);
  if (!Choice) {
    if (MayHaveRun)
      return failAfterSend(false);
    return refuseUnplaced();
  }
  State = state::AwaitingHead;
  AttemptInFlight = true;
  SawFirstByte = false;
  Head = {};
  Body = {};
  RefusalBytes = 0;
  Parser.clear();
  Kept.set(0);
  if (!StreamBegun)
    Reader.restart();
  Target = *Choice;
  Report.LastEndpoint = Choice->Endpoint;
  Report.LastVersion = Choice->Version;
  Report.LastStartedAt = Choice->StartedAt;
  Report.ForwardedTo = Choice->IsInstance ? Choice->Endpoint : std::string();
  ++Report.Attempts;
  Placement.onSent(Call, Choice->Endpoint, Now);
  send_options Options;
  Options.FreshConnection = !isRepeatable(Call.Kind);
  if (StreamBegun)
    Options.LastEventId = Reader.lastEventId();
  Options.Deadline = Call.Deadline;
  Host.startAttempt(*Choice, Options);
}

void exchange::awaitList(time_ms Now) {
  if (State == state::WaitingForList)
    return;
  State = state::WaitingForList;
  ListWaitSince = Now;
  WaitDeadline = std::min(Now + MaxListWaitMs, Call.Deadline);
}

void exchange::onListRead(time_ms Now) {
  const bool MayGoOn = State == state::WaitingForList &&
                       Placement.listState(Call, Now) != list_state::Pending;
  if (!MayGoOn)
    return;
  Report.ListWaitMs += Now - ListWaitSince;
  startNextAttempt(Now);
}

// The list has not come. It may decide nevertheless, if the wait has shown that
// this instance is cut off from the store.
void exchange::onListWaitOver(time_ms Now) {
  Report.ListWaitMs += Now - ListWaitSince;
  if (Placement.listState(Call, Now) == list_state::Pending)
    return refuseWithoutList();
  startNextAttempt(Now);
}

// Another instance may know the endpoints.
void exchange::refuseWithoutList() {
  if (MayHaveRun)
    return failAfterSend(false);
  refuseNotRun(error_kind::NotReady, OtherInstanceRetryAfterMs);
}

void exchange::cancelAttempt(time_ms Now) {
  if (!AttemptInFlight)
    return;
  MayHaveRun = true;
  Host.cancelAttempt();
  endAttempt(attempt_outcome::Cancelled, Now);
}

void exchange::endAttempt(attempt_outcome Outcome, time_ms Now) {
  assert(AttemptInFlight && "an attempt ends once");
  AttemptInFlight = false;
  Report.LastOutcome = Outcome;
  TriedEndpoints.insert(Report.LastEndpoint);
  Placement.onEnded(Call, Report.LastEndpoint, Outcome, Now);
}

// True if the attempt limit, the remaining time, the endpoints not tried yet
// and the fleet's retry budget permit one more send. Spends that retry.
bool exchange::tryRetry(time_ms Now) {
  if (Report.Attempts >= Call.MaxAttempts)
    return false;
  if (Call.Deadline - Now < MinAttemptMs)
    return false;
  // Nobody knows where the stream may go on.
  if (StreamBegun && !Report.IsVersionCertain)
    return false;
  TriedEndpoints.insert(Report.LastEndpoint);
  const list_state ListState = Placement.listState(Call, Now);
  if (ListState == list_state::Outdated)
    return false;
  if (ListState == list_state::Current &&
      !Placement.choose(Call, TriedEndpoints, Now))
    return false;
  return Placement.tryRetry(Call.Service, Now);
}

void exchange::onUnreached(time_ms Now) {
  if (State == state::AwaitingHead)
    replaceUnsent(attempt_outcome::Unreached, Now);
}

void exchange::onWithdrawn(time_ms Now) {
  if (State == state::AwaitingHead)
    replaceUnsent(attempt_outcome::Withdrawn, Now);
}

// Nothing was sent, so another endpoint costs neither an attempt nor a retry.
void exchange::replaceUnsent(attempt_outcome Outcome, time_ms Now) {
  endAttempt(Outcome, Now);
  --Report.Attempts;
  if (mayReplaceUnsent())
    return startNextAttempt(Now);
  if (MayHaveRun)
    return failAfterSend(false);
  refuseUnplaced();
}

bool exchange::mayReplaceUnsent() {
  if (Target.IsInstance)
    return ++Report.UnreachedInstances <= MaxUnreachedInstances;
  return ++Report.UnreachedEndpoints <= MaxUnreachedEndpoints;
}

// The endpoint and version of a forwarded call are known from its response.
void exchange::adoptForwardedResult() {
  if (Head.ForwardedResult)
    Report.LastVersion = Head.ForwardedResult->Version;
}

bool exchange::isVersionCertain() const {
  if (Target.IsInstance)
    return Head.ForwardedResult && Head.ForwardedResult->IsVersionCertain;
  return Placement.isVersionCertain(Target, Head.ConnectedAt);
}

void exchange::onHead(response_head NewHead, time_ms Now) {
  if (State != state::AwaitingHead)
    return;
  Head = std::move(NewHead);
  if (Head.Unusable)
    return onBroken(Now);
  // It counts once it is complete: a part of a response states nothing.
  if (isRefusal()) {
    State = state::Receiving;
    return;
  }
  MayHaveRun = true;
  if (Head.InstanceError)
    return onBroken(Now);
  adoptForwardedResult();
  const bool Failed = Head.Status >= 500;
  if (Failed && isRepeatable(Call.Kind) && tryRetry(Now)) {
    Host.cancelAttempt();
    endAttempt(attempt_outcome::Failed, Now);
    return startNextAttempt(Now);
  }
  if (StreamBegun && !isSuccess(Head.Status)) {
    Host.cancelAttempt();
    endAttempt(attempt_outcome::Failed, Now);
    return failAfterSend(false);
  }
  if (!Reader.onHead(Head, Report.LastEndpoint))
    return onBroken(Now);
  State = state::Receiving;
  if (!isForwarded() && Head.BodyBytes.value_or(0) > MaxCompleteBodyBytes)
    onBroken(Now);
}

// True if the endpoint states that it did not run the call.
bool exchange::isRefusal() const { return Head.NotRun || Head.Misplaced; }

void exchange::onRefusalBody(std::size_t Size, time_ms Now) {
  RefusalBytes += Size;
  if (RefusalBytes > MaxRefusalBytes)
    onBroken(Now);
}

void exchange::finishRefusal(time_ms Now) {
  if (Head.InstanceError && isMatterOfInstance(Head.InstanceError->Kind))
    return replaceUnsent(attempt_outcome::Withdrawn, Now);
  endAttempt(Head.Misplaced ? attempt_outcome::Misplaced
                            : attempt_outcome::Refused,
             Now);
  if (tryRetry(Now))
    return startNextAttempt(Now);
  if (MayHaveRun)
    return failAfterSend(false);
  if (Head.InstanceError)
    return refuseNotRun(Head.InstanceError->Kind,
                        Head.InstanceError->RetryAfterMs);
  refuseNotRun(error_kind::Overloaded, Placement.refusal(Call).RetryAfterMs);
}

// True if the response is passed on event by event, so that little of it is
// kept.
bool exchange::isForwarded() const {
  return isStream(Call.Kind) && isSuccess(Head.Status);
}

bool exchange::canReceiveBody() {
  const bool IsKept = !isForwarded() && !isRefusal();
  if (State != state::Receiving || !IsKept || !Head.BodyBytes)
    return true;
  const std::size_t Size = static_cast<std::size_t>(*Head.BodyBytes);
  return Kept.bytes() >= Size || Kept.trySet(Size);
}

void exchange::recordFirstByte(time_ms Now) {
  if (!SawFirstByte) {
    SawFirstByte = true;
    Placement.onFirstByte(Call, Report.LastEndpoint, Now);
  }
  if (Report.FirstByteAt == 0)
    Report.FirstByteAt = Now;
}

void exchange::onBody(std::string_view Bytes, time_ms Now) {
  if (State != state::Receiving)
    return;
  if (isRefusal())
    return onRefusalBody(Bytes.size(), Now);
  if (isForwarded()) {
    Parser.push(Bytes);
    return processEvents(Now);
  }
  if (!makeRoom(Body.size() + Bytes.size()))
    return onBroken(Now);
  Body.append(Bytes);
  recordFirstByte(Now);
}

// Enlarges Body for a size of Size bytes; false if that is too much.
bool exchange::makeRoom(std::size_t Size) {
  if (Size > MaxCompleteBodyBytes)
    return false;
  if (Size <= Body.capacity() && Size <= Kept.bytes())
    return true;
  // By steps that grow, so that few of them copy what was received.
  const std::size_t Stated = static_cast<std::size_t>(
      Head.BodyBytes.value_or(std::max(Size, 2 * Body.capacity())));
  const std::size_t Capacity = std::clamp(Stated, Size, MaxCompleteBodyBytes);
  if (!Kept.trySet(std::max(Capacity, Kept.bytes())))
    return false;
  Body.reserve(Capacity);
  return true;
}

void exchange::processEvents(time_ms Now) {
  std::string ToForward;
  while (std::optional<stream_event> Event = Parser.next()) {
    switch (Reader.onEvent(*Event)) {
    case event_action::Forward:
      ToForward += Event->Raw;
      break;
    case event_action::Drop:
      break;
    case event_action::Final:
      FinalEvent = std::move(Event->Raw);
      forwardEvents(ToForward, Now);
      Host.cancelAttempt(); // The response needs no further bytes.
      return finishStream(Now);
    case event_action::Invalid:
      forwardEvents(ToForward, Now);
      return onBroken(Now);
    }
  }
  forwardEvents(ToForward, Now);
  if (Parser.pending() > MaxEventBytes || !Kept.trySet(Parser.pending()))
    onBroken(Now);
}

void exchange::beginStream() {
  StreamBegun = true;
  // The version of a stream that is taken up was certain when the call was
  // sent.
  Report.IsVersionCertain = !Call.RequiredVersion.empty() || isVersionCertain();
  Report.FirstVersion = Report.LastVersion;
  // What two versions write does not fit together.
  Call.RequiredVersion = Report.FirstVersion;
  if (Call.StreamKey != 0 && Call.ForwardedBy.empty())
    Origins.onBegun(Call, Report.IsVersionCertain ? Report.FirstVersion
                                                  : std::string_view());
  Host.beginResponse(Head);
}

void exchange::forwardEvents(std::string_view Events, time_ms Now) {
  if (Events.empty())
    return;
  recordFirstByte(Now);
  if (!StreamBegun) {
    beginStream();
  }
  Host.forwardEvents(Events);
}

void exchange::onEnd(time_ms Now) {
  if (State != state::Receiving)
    return;
  if (isRefusal())
    return finishRefusal(Now);
  if (!isForwarded())
    return finishCompleteResponse(Now);
  const bool EndsInsideEvent = Parser.pending() > 0;
  if (EndsInsideEvent || !Reader.isComplete())
    return onBroken(Now);
  finishStream(Now);
}

attempt_outcome exchange::outcomeOfComplete() const {
  if (Head.Status >= 500)
    return attempt_outcome::Failed;
  if (!isSuccess(Head.Status) || Head.EndsWithConnection)
    return attempt_outcome::Unproven;
  return attempt_outcome::Good;
}

void exchange::finishCompleteResponse(time_ms Now) {
  if (!Reader.onCompleteBody(Head, Body))
    return onBroken(Now);
  endAttempt(outcomeOfComplete(), Now);
  Report.Status = Head.Status;
  if (!settle(delivery::Complete))
    return failUnstoredBill();
  Host.sendCompleteResponse(Head, std::move(Body));
  Kept.set(0);
  finish(delivery::Complete);
}

void exchange::finishStream(time_ms Now) {
  endAttempt(outcomeOfComplete(), Now);
  Report.Status = Head.Status;
  if (!StreamBegun) {
    StreamBegun = true;
    Host.beginResponse(Head);
  }
  if (!settle(delivery::Complete))
    return failAfterSend(false);
  if (!FinalEvent.empty())
    Host.forwardEvents(FinalEvent);
  Host.endResponse();
  if (Call.StreamKey != 0 && Call.ForwardedBy.empty())
    Origins.onDelivered(Call);
  finish(delivery::Complete);
}

void exchange::onBroken(time_ms Now) {
  if (State != state::AwaitingHead && State != state::Receiving)
    return;
  MayHaveRun = true;
  Host.cancelAttempt();
  endAttempt(attempt_outcome::Broken, Now);
  const bool CanRetry =
      StreamBegun ? Reader.canResume(Call.Kind) : isRepeatable(Call.Kind);
  if (CanRetry && tryRetry(Now))
    return startNextAttempt(Now);
  failAfterSend(false);
}

void exchange::onCallerDisconnected(time_ms Now) {
  if (State == state::Done)
    return;
  Report.CallerDisconnected = true;
  cancelAttempt(Now);
  finish(delivery::CallerDisconnected);
}

time_ms exchange::nextTimer() const {
  const bool IsWaiting = State == state::WaitingForOrigin ||
                         State == state::WaitingForTokens ||
                         State == state::WaitingForList;
  return IsWaiting ? WaitDeadline : Call.Deadline;
}

void exchange::onTimer(time_ms Now) {
  if (State == state::Done || Now < nextTimer())
    return;
  if (State == state::WaitingForOrigin)
    return refuseNotRun(error_kind::StreamUnknown, 0);
  if (State == state::WaitingForTokens)
    return refuseNotRun(error_kind::BudgetUnavailable, 0);
  if (State == state::WaitingForList)
    return onListWaitOver(Now);
  cancelAttempt(Now);
  failAfterSend(true);
}

void exchange::onForcedStop(time_ms Now) {
  if (State == state::Done)
    return;
  Report.GivenUpAtStop = true;
  cancelAttempt(Now);
  if (MayHaveRun)
    return failAfterSend(true);
  refuseNotRun(error_kind::NotReady, OtherInstanceRetryAfterMs);
}

// Ends a call that may have run: aborts the stream if it has begun, otherwise
// sends an error response.
void exchange::failAfterSend(bool TimedOut) {
  if (StreamBegun) {
    Report.ResponseAborted = true;
    Report.Error = error_kind::AnswerIncomplete;
    Host.abortResponse();
    return finish(delivery::Incomplete);
  }
  sendError(TimedOut ? error_kind::OutcomeUnknown : error_kind::EndpointFailed);
}

// The response is complete, but its bill could not be stored.
void exchange::failUnstoredBill() {
  sendError(isRepeatable(Call.Kind) ? error_kind::AnswerIncomplete
                                    : error_kind::OutcomeUnknown);
}

// Sends an error response. Nothing has been forwarded; the call may have run.
void exchange::sendError(error_kind Kind) {
  Report.Error = Kind;
  Report.Status = calls::definitionOf(Kind).Status;
  Host.refuse(Kind, 0);
  finish(delivery::Incomplete);
}

void exchange::refuseUnplaced() {
  const placement_refusal Refusal = Placement.refusal(Call);
  refuseNotRun(Refusal.Kind, Refusal.RetryAfterMs);
}

// Refuses the call with an error that promises that the call did not run.
void exchange::refuseNotRun(error_kind Kind, int RetryAfterMs) {
  assert(!MayHaveRun && "a refusal promises that the call did not run");
  const calls::error_definition &Row = calls::definitionOf(Kind);
  Report.Error = Kind;
  Report.Status = Row.Status;
  Host.refuse(Kind, RetryAfterMs > 0 ? RetryAfterMs : Row.RetryAfterMs);
  finish(delivery::Incomplete);
}

// Settles the reservation once; further calls do nothing. Tokens that were not
// used return to the budget. False if the bill could not be stored.
bool exchange::settle(delivery How) {
  if (!HoldsReservation)
    return true;
  HoldsReservation = false;
  if (MayHaveRun)
    Report.TokensCharged =
        std::min(Call.maxTokens(), Reader.tokensToCharge(Call, How));
  return Budget.settle(Call, Report.TokensCharged);
}

void exchange::finish(delivery How) {
  if (State == state::WaitingForTokens)
    Budget.withdraw(Call);
  State = state::Done;
  Report.Done = true;
  settle(How);
}

} // namespace tamarack::relay
