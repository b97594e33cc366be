// Drives the request engine from a thread of the HTTP server.
#include "engine_call.hpp"

#include <Poco/Net/HTTPResponse.h>

#include <limits>

namespace tamarack::daemon {

namespace {

using calls::call_error;
using calls::error_kind;
using relay::attempt_outcome;
using routing::attempt_result;

constexpr int MostAttempts = 4;
constexpr int MostResumptions = 2; // Of one answer, besides the attempts.
constexpr std::size_t ReadBytes = 16 * 1024;

relay::call_kind kindOf(bool Stream, bool Repeatable) {
  if (Stream)
    return Repeatable ? relay::call_kind::ResumableStream
                      : relay::call_kind::Stream;
  return Repeatable ? relay::call_kind::Idempotent
                    : relay::call_kind::NotRepeatable;
}

attempt_result resultOf(attempt_outcome End) {
  switch (End) {
  case attempt_outcome::Good:
    return attempt_result::Succeeded;
  case attempt_outcome::Refused:
  case attempt_outcome::Misplaced:
    return attempt_result::Refused;
  case attempt_outcome::Cancelled:
    return attempt_result::Cancelled;
  case attempt_outcome::Failed:
  case attempt_outcome::Broken:
  case attempt_outcome::Unreached:
    break;
  }
  return attempt_result::Failed;
}

} // namespace

engine_call::engine_call(call_context &Context, engine_request Request,
                         single_execution &Run, paid_call &Paid,
                         resuming_reader &Reader)
    : Context(Context), Request(std::move(Request)), Run(Run), Paid(Paid),
      Reader(Reader), Exchange(makeCall(), *this, *this, Reader, *this),
      Buffer(ReadBytes) {}

engine_call::~engine_call() { releaseChoice(); }

// The wait for an endpoint and silences have limits of their own, so the
// engine gets no deadline.
relay::call engine_call::makeCall() const {
  relay::call Call;
  Call.Id = Context.Key.Text;
  Call.Service = Request.Subject;
  Call.Account = Context.Account->Name;
  Call.Kind = kindOf(Request.Stream, Run.isRepeatable());
  Call.MaxAttempts = MostAttempts + MostResumptions;
  Call.ArrivedAt = Context.Started;
  Call.Deadline = std::numeric_limits<time_ms>::max() / 2;
  Call.MaxOutputTokens = Request.Bound;
  return Call;
}

relay::exchange_report engine_call::run() {
  Context.Services.Dispatcher.creditRetryBudget(Request.Subject);
  Exchange.start(now());
  while (!Exchange.isDone())
    step();
  if (Failure)
    throw *Failure;
  return Exchange.report();
}

void engine_call::step() {
  if (Opening)
    openAttempt();
  else
    readSome();
  if (CallerLeft)
    Exchange.onCallerDisconnected(now());
}

void engine_call::openAttempt() {
  Opening = false;
  const std::optional<endpoint_request> Resumption =
      Resuming ? Reader.resumption() : std::nullopt;
  endpoint_request Sent = Resumption ? *Resumption : Request.Send;
  Sent.FreshConnection = FreshConnection;
  Run.markDispatched();
  try {
    Source = Context.Services.Endpoints.send(Current.Url, Sent);
  } catch (const endpoint_unreached &) {
    return Exchange.onUnreached(now());
  } catch (const endpoint_disconnected &) {
    return Exchange.onBroken(now());
  }
  Exchange.onHead(headOf(*Source), now());
}

void engine_call::readSome() {
  std::size_t Count = 0;
  try {
    Count = Source->read(Buffer);
  } catch (const endpoint_disconnected &) {
    return Exchange.onBroken(now());
  }
  if (Count > 0)
    return Exchange.onBody({Buffer.data(), Count}, now());
  Source.reset();
  Exchange.onEnd(now());
}

relay::response_head engine_call::headOf(const response_source &Answer) const {
  relay::response_head Head;
  Head.Status = Answer.status();
  Head.NotRun =
      Head.Status == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE &&
      Answer.header("X-Leaving") == "true";
  for (const char *Name : {"X-Request-Id", "X-Stream-Id", "Content-Type"})
    Head.Fields.push_back({Name, Answer.header(Name)});
  return Head;
}

//---------------------------------------------------------------------------
// Placement
//---------------------------------------------------------------------------

std::optional<relay::endpoint_choice>
engine_call::choose(const relay::call &, const std::set<std::string> &Tried,
                    time_ms) {
  if (Out != nullptr) // Only the endpoint that began can go on.
    return relay::endpoint_choice{Current.Name, Current.Url};
  if (!Chosen) {
    scheduling_request Asked;
    Asked.Configuration = Context.Configuration.get();
    Asked.Account = Context.Account;
    Asked.Pool = Context.poolFor(Request.Subject);
    Asked.Subject = Request.Subject;
    Asked.PromptPrefixHash = Request.Prefix;
    Asked.MaxCost = static_cast<double>(Request.Bound);
    Asked.LatestStart = Context.deadline();
    const time_ms Before = now();
    try {
      Chosen = Context.Services.Dispatcher.acquireEndpoint(Asked, Tried);
    } catch (const call_error &Error) {
      Unplaced = {Error.kind(), Error.retryAfterMs()};
      return std::nullopt;
    }
    Context.Services.Metrics.histogramOf("tamarack_start_wait_ms")
        .observe(static_cast<double>(now() - Before));
  }
  return relay::endpoint_choice{Chosen->Name, Chosen->Url};
}

// An endpoint that was chosen and not used: it counts as sent to no more.
void engine_call::releaseChoice() {
  if (!Chosen)
    return;
  Context.Services.Dispatcher.onAttemptEnded(Chosen->Name,
                                             attempt_result::Cancelled, 0);
  Chosen.reset();
}

void engine_call::onSent(const relay::call &, std::string_view, time_ms Now) {
  Resuming = Out != nullptr;
  if (Chosen)
    Current = std::move(*Chosen);
  Chosen.reset();
  SentAt = Now;
  FirstByteAt = 0;
}

void engine_call::onFirstByte(const relay::call &, std::string_view,
                              time_ms Now) {
  FirstByteAt = Now;
  if (FirstByte == 0)
    FirstByte = Now;
}

void engine_call::onEnded(const relay::call &, std::string_view,
                          attempt_outcome End, time_ms) {
  LastEnd = End;
  if (End == attempt_outcome::Unreached || End == attempt_outcome::Refused)
    Run.markNotExecuted();
  if (Resuming)
    return; // The dispatcher counted the stream's first attempt only.
  Context.Services.Dispatcher.onAttemptEnded(
      Current.Name, resultOf(End),
      static_cast<double>(std::max(FirstByteAt, SentAt) - SentAt));
}

bool engine_call::tryRetry(std::string_view Subject, time_ms) {
  if (Out != nullptr) {
    const bool Allowed = Resumptions < MostResumptions;
    Resumptions += Allowed ? 1 : 0;
    if (Allowed)
      Context.Services.Metrics.counterOf("tamarack_resumed_total").add();
    return Allowed;
  }
  const bool Allowed = Exchange.report().Attempts < MostAttempts &&
                       (LastEnd == attempt_outcome::Refused ||
                        Context.Services.Dispatcher.tryRetry(Subject));
  if (!Allowed)
    releaseChoice();
  return Allowed;
}

relay::placement_refusal engine_call::refusal(const relay::call &) const {
  return Unplaced;
}

//---------------------------------------------------------------------------
// Money
//---------------------------------------------------------------------------

relay::reserve_result engine_call::reserve(std::string_view, std::int64_t) {
  return relay::reserve_result::Reserved;
}

bool engine_call::settle(std::string_view, std::int64_t, std::int64_t Used) {
  return Used == 0 || Paid.settle(Used); // The rest is released at the end.
}

//---------------------------------------------------------------------------
// What the engine decides
//---------------------------------------------------------------------------

void engine_call::startAttempt(const relay::endpoint_choice &,
                               const relay::send_options &Options) {
  FreshConnection = Options.FreshConnection;
  Opening = true;
}

void engine_call::cancelAttempt() { Source.reset(); }

void engine_call::beginResponse(const relay::response_head &) {
  Context.Response.setContentType("text/event-stream");
  Context.Response.setChunkedTransferEncoding(true);
  Out = &Context.Response.send();
}

void engine_call::forwardEvents(std::string_view Bytes) {
  Out->write(Bytes.data(), static_cast<std::streamsize>(Bytes.size()));
  Out->flush();
  CallerLeft = !Out->good();
}

void engine_call::sendCompleteResponse(const relay::response_head &Head,
                                       std::string_view Body) {
  const std::string &ContentType = Head.Fields.back().Value;
  Run.storeResponse(Head.Status, ContentType, std::string(Body));
  Context.sendWhole(Head.Status, ContentType, Body);
}

void engine_call::abortResponse() {
  const call_error Error(error_kind::AnswerIncomplete);
  forwardEvents("event: error\ndata: " + calls::errorBody(Error) + "\n\n");
}

void engine_call::refuse(error_kind Kind, int RetryAfterMs) {
  const bool Unknown =
      Kind == error_kind::EndpointFailed && !Run.isRepeatable();
  if (Unknown)
    Failure = call_error(error_kind::OutcomeUnknown);
  else
    Failure = call_error(Kind, {}, RetryAfterMs);
}

} // namespace tamarack::daemon
