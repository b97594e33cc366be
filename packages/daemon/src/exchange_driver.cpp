// Runs one relay::exchange with blocking connections.
#include "exchange_driver.hpp"

#include <Poco/Net/HTTPResponse.h>

#include <limits>

namespace tamarack::daemon {

namespace {

using calls::call_error;
using calls::error_kind;
using relay::attempt_outcome;
using routing::attempt_result;

constexpr int MaxAttempts = 4;
constexpr int MaxResumptions = 2; // Of one stream, in addition to MaxAttempts.
constexpr std::size_t ReadBufferBytes = 16 * 1024;
constexpr std::size_t MaxResponseBytes = 16u << 20;

relay::call_kind callKind(bool IsStream, bool IsRepeatable) {
  if (IsStream)
    return IsRepeatable ? relay::call_kind::ResumableStream
                        : relay::call_kind::Stream;
  return IsRepeatable ? relay::call_kind::Idempotent
                      : relay::call_kind::NotRepeatable;
}

attempt_result toAttemptResult(attempt_outcome End) {
  switch (End) {
  case attempt_outcome::Good:
  case attempt_outcome::Unproven:
    return attempt_result::Succeeded;
  case attempt_outcome::Refused:
  case attempt_outcome::Misplaced:
    return attempt_result::Refused;
  case attempt_outcome::Cancelled:
  case attempt_outcome::Withdrawn:
    return attempt_result::Cancelled;
  case attempt_outcome::Failed:
  case attempt_outcome::Broken:
  case attempt_outcome::Unreached:
    break;
  }
  return attempt_result::Failed;
}

} // namespace

exchange_driver::exchange_driver(call_context &Context,
                                 exchange_request Request,
                                 single_execution &Execution,
                                 prepaid_admission &Admission,
                                 resuming_response_reader &Reader)
    : Context(Context), Request(std::move(Request)), Execution(Execution),
      Admission(Admission), Reader(Reader), ResponseMemory(MaxResponseBytes),
      Exchange(makeCall(), *this, *this, Origins, Reader, *this,
               ResponseMemory),
      ReadBuffer(ReadBufferBytes) {}

exchange_driver::~exchange_driver() { releaseAcquiredEndpoint(); }

// The exchange gets no deadline, because other limits end the call: LatestStart
// ends the wait for an endpoint, and the read timeout of the endpoint request
// ends the wait for the next bytes of a response.
relay::call exchange_driver::makeCall() const {
  relay::call Call;
  Call.Id = Context.IdempotencyKey.Text;
  Call.Service = Request.Subject;
  Call.Account = Context.Account->Name;
  Call.Kind = callKind(Request.IsStream, Execution.isRepeatable());
  Call.MaxAttempts = MaxAttempts + MaxResumptions;
  Call.ArrivedAt = Context.StartedAt;
  Call.Deadline = std::numeric_limits<time_ms>::max() / 2;
  Call.MaxOutputTokens = Request.MaxCost;
  return Call;
}

relay::exchange_report exchange_driver::run() {
  Context.Services.Scheduler.creditRetryBudget(Request.Subject);
  Exchange.start(monotonicNow());
  while (!Exchange.isDone())
    advanceExchange();
  if (FinalError)
    throw *FinalError;
  return Exchange.report();
}

void exchange_driver::advanceExchange() {
  if (IsSendDue)
    sendAttempt();
  else
    readChunk();
  if (IsCallerGone)
    Exchange.onCallerDisconnected(monotonicNow());
}

void exchange_driver::sendAttempt() {
  IsSendDue = false;
  const std::optional<endpoint_request> Resumption =
      IsResuming ? Reader.resumptionRequest() : std::nullopt;
  endpoint_request EndpointRequest =
      Resumption ? *Resumption : Request.EndpointRequest;
  EndpointRequest.FreshConnection = NeedsFreshConnection;
  Execution.markDispatched();
  try {
    ResponseSource = Context.Services.EndpointClient.send(AttemptEndpoint.Url,
                                                          EndpointRequest);
  } catch (const endpoint_unreached &) {
    return Exchange.onUnreached(monotonicNow());
  } catch (const endpoint_disconnected &) {
    return Exchange.onBroken(monotonicNow());
  }
  Exchange.onHead(makeResponseHead(*ResponseSource), monotonicNow());
}

void exchange_driver::readChunk() {
  std::size_t Count = 0;
  try {
    Count = ResponseSource->read(ReadBuffer);
  } catch (const endpoint_disconnected &) {
    return Exchange.onBroken(monotonicNow());
  }
  if (Count > 0)
    return Exchange.onBody({ReadBuffer.data(), Count}, monotonicNow());
  ResponseSource.reset();
  Exchange.onEnd(monotonicNow());
}

relay::response_head
exchange_driver::makeResponseHead(const response_source &Response) const {
  relay::response_head Head;
  Head.Status = Response.status();
  Head.NotRun =
      Head.Status == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE &&
      Response.header("X-Leaving") == "true" &&
      calls::isRefusalOf(Context.IdempotencyKey.Text,
                         Response.header("X-Request-Id"),
                         Response.isFirstOnConnection());
  // Content-Type must be last: complete responses to the caller get the value
  // of the last field as their type.
  for (const char *Name : {"X-Request-Id", "X-Stream-Id", "Content-Type"})
    Head.Fields.push_back({Name, Response.header(Name)});
  return Head;
}

//---------------------------------------------------------------------------
// Placement
//---------------------------------------------------------------------------

std::optional<relay::endpoint_choice>
exchange_driver::choose(const relay::call &, const std::set<std::string> &Tried,
                        time_ms) {
  if (CallerStream != nullptr) // Only the stream's endpoint can resume it.
    return relay::endpoint_choice{AttemptEndpoint.Name, AttemptEndpoint.Url};
  if (!AcquiredEndpoint) {
    scheduling_request Scheduling;
    Scheduling.Account = Context.Account;
    Scheduling.Pool = Context.findPool(Request.Subject);
    Scheduling.Subject = Request.Subject;
    Scheduling.PromptPrefixHash = Request.PromptPrefixHash;
    Scheduling.MaxCost = static_cast<double>(Request.MaxCost);
    Scheduling.LatestStart = Context.latestStart();
    const time_ms WaitStart = monotonicNow();
    try {
      AcquiredEndpoint =
          Context.Services.Scheduler.acquireEndpoint(Scheduling, Tried);
    } catch (const call_error &Error) {
      PlacementRefusal = {Error.kind(), Error.retryAfterMs()};
      return std::nullopt;
    }
    Context.Services.Metrics.histogramOf("tamarack_start_wait_ms")
        .observe(static_cast<double>(monotonicNow() - WaitStart));
  }
  return relay::endpoint_choice{AcquiredEndpoint->Name, AcquiredEndpoint->Url};
}

// Ends the acquisition of an endpoint to which no request was sent.
void exchange_driver::releaseAcquiredEndpoint() {
  if (!AcquiredEndpoint)
    return;
  Context.Services.Scheduler.onAttemptEnded(AcquiredEndpoint->Name,
                                            attempt_result::Cancelled, 0);
  AcquiredEndpoint.reset();
}

void exchange_driver::onSent(const relay::call &, std::string_view,
                             time_ms Now) {
  IsResuming = CallerStream != nullptr;
  if (AcquiredEndpoint)
    AttemptEndpoint = std::move(*AcquiredEndpoint);
  AcquiredEndpoint.reset();
  AttemptSentAt = Now;
  AttemptFirstByteAt = 0;
}

void exchange_driver::onFirstByte(const relay::call &, std::string_view,
                                  time_ms Now) {
  AttemptFirstByteAt = Now;
  if (CallFirstByteAt == 0)
    CallFirstByteAt = Now;
}

void exchange_driver::onEnded(const relay::call &, std::string_view,
                              attempt_outcome End, time_ms) {
  LastAttemptEnd = End;
  if (End == attempt_outcome::Unreached || End == attempt_outcome::Refused)
    Execution.markNotExecuted();
  if (IsResuming)
    return; // The scheduler counts only the first attempt of a stream.
  Context.Services.Scheduler.onAttemptEnded(
      AttemptEndpoint.Name, toAttemptResult(End),
      static_cast<double>(std::max(AttemptFirstByteAt, AttemptSentAt) -
                          AttemptSentAt));
}

bool exchange_driver::tryRetry(std::string_view Subject, time_ms) {
  if (CallerStream != nullptr) {
    const bool Allowed = ResumptionCount < MaxResumptions;
    ResumptionCount += Allowed ? 1 : 0;
    if (Allowed)
      Context.Services.Metrics.counterOf("tamarack_resumed_total").add();
    return Allowed;
  }
  const bool Allowed = Exchange.report().Attempts < MaxAttempts &&
                       (LastAttemptEnd == attempt_outcome::Refused ||
                        Context.Services.Scheduler.tryRetry(Subject));
  if (!Allowed)
    releaseAcquiredEndpoint();
  return Allowed;
}

relay::placement_refusal exchange_driver::refusal(const relay::call &) const {
  return PlacementRefusal;
}

//---------------------------------------------------------------------------
// Token budget
//---------------------------------------------------------------------------

relay::reserve_result exchange_driver::reserve(const relay::call &) {
  return relay::reserve_result::Reserved;
}

bool exchange_driver::settle(const relay::call &, std::int64_t Used) {
  // The destructor of Admission releases the tokens that are not settled.
  return Used == 0 || Admission.settle(Used);
}

//---------------------------------------------------------------------------
// Actions of the exchange
//---------------------------------------------------------------------------

void exchange_driver::startAttempt(const relay::endpoint_choice &,
                                   const relay::send_options &Options) {
  NeedsFreshConnection = Options.FreshConnection;
  IsSendDue = true;
}

void exchange_driver::cancelAttempt() { ResponseSource.reset(); }

void exchange_driver::beginResponse(const relay::response_head &) {
  Context.Response.setContentType("text/event-stream");
  Context.Response.setChunkedTransferEncoding(true);
  CallerStream = &Context.Response.send();
}

void exchange_driver::forwardEvents(std::string_view Bytes) {
  CallerStream->write(Bytes.data(), static_cast<std::streamsize>(Bytes.size()));
  CallerStream->flush();
  IsCallerGone = !CallerStream->good();
}

void exchange_driver::sendCompleteResponse(const relay::response_head &Head,
                                           std::string Body) {
  const std::string &ContentType = Head.Fields.back().Value;
  Execution.storeResponse(Head.Status, ContentType, Body);
  Context.sendCompleteResponse(Head.Status, ContentType, Body);
}

void exchange_driver::abortResponse() {
  const call_error Error(error_kind::AnswerIncomplete);
  forwardEvents("event: error\ndata: " + calls::errorBody(Error) + "\n\n");
}

void exchange_driver::refuse(error_kind Kind, int RetryAfterMs) {
  const bool OutcomeUnknown =
      Kind == error_kind::EndpointFailed && !Execution.isRepeatable();
  if (OutcomeUnknown)
    FinalError = call_error(error_kind::OutcomeUnknown);
  else
    FinalError = call_error(Kind, {}, RetryAfterMs);
}

} // namespace tamarack::daemon
