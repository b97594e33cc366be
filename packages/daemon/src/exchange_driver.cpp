// Drives the request engine from a thread of the HTTP server.
#include "exchange_driver.hpp"

#include <Poco/Net/HTTPResponse.h>

#include <limits>

namespace tamarack::daemon {

namespace {

using calls::call_error;
using calls::error_kind;
using relay::attempt_end;
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

attempt_result resultOf(attempt_end End) {
  switch (End) {
  case attempt_end::Good:
    return attempt_result::Succeeded;
  case attempt_end::Refused:
  case attempt_end::Misplaced:
    return attempt_result::Refused;
  case attempt_end::Cancelled:
    return attempt_result::Cancelled;
  case attempt_end::Failed:
  case attempt_end::Broken:
  case attempt_end::Unreached:
    break;
  }
  return attempt_result::Failed;
}

} // namespace

exchange_driver::exchange_driver(call_context &Context,
                                 exchange_request Request,
                                 single_execution &Run, prepaid_admission &Paid,
                                 resuming_response_reader &Reader)
    : Context(Context), Request(std::move(Request)), Run(Run), Paid(Paid),
      Reader(Reader), Exchange(makeCall(), *this, *this, Reader, *this),
      Buffer(ReadBytes) {}

exchange_driver::~exchange_driver() { releaseChoice(); }

// The wait for an endpoint and silences have limits of their own, so the
// engine gets no deadline.
relay::call exchange_driver::makeCall() const {
  relay::call Call;
  Call.Id = Context.Key.Text;
  Call.Service = Request.Subject;
  Call.Account = Context.Account->Name;
  Call.Kind = kindOf(Request.Stream, Run.isRepeatable());
  Call.MaxAttempts = MostAttempts + MostResumptions;
  Call.Arrived = Context.Started;
  Call.Deadline = std::numeric_limits<time_ms>::max() / 2;
  Call.LargestOutput = Request.Bound;
  return Call;
}

relay::exchange_report exchange_driver::run() {
  Context.Services.Dispatcher.creditRetryBudget(Request.Subject);
  Exchange.start(now());
  while (!Exchange.isDone())
    step();
  if (Failure)
    throw *Failure;
  return Exchange.report();
}

void exchange_driver::step() {
  if (Opening)
    openAttempt();
  else
    readSome();
  if (CallerLeft)
    Exchange.onClientGone(now());
}

void exchange_driver::openAttempt() {
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
  } catch (const endpoint_broken &) {
    return Exchange.onBroken(now());
  }
  Exchange.onHead(headOf(*Source), now());
}

void exchange_driver::readSome() {
  std::size_t Count = 0;
  try {
    Count = Source->read(Buffer);
  } catch (const endpoint_broken &) {
    return Exchange.onBroken(now());
  }
  if (Count > 0)
    return Exchange.onBody({Buffer.data(), Count}, now());
  Source.reset();
  Exchange.onEnd(now());
}

relay::answer_head exchange_driver::headOf(const answer_source &Answer) const {
  relay::answer_head Head;
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
exchange_driver::choose(const relay::call &, const std::set<std::string> &Tried,
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
void exchange_driver::releaseChoice() {
  if (!Chosen)
    return;
  Context.Services.Dispatcher.onAttemptEnded(Chosen->Name,
                                             attempt_result::Cancelled, 0);
  Chosen.reset();
}

void exchange_driver::onSent(const relay::call &, std::string_view,
                             time_ms Now) {
  Resuming = Out != nullptr;
  if (Chosen)
    Current = std::move(*Chosen);
  Chosen.reset();
  SentAt = Now;
  FirstByteAt = 0;
}

void exchange_driver::onFirstByte(const relay::call &, std::string_view,
                                  time_ms Now) {
  FirstByteAt = Now;
  if (FirstByte == 0)
    FirstByte = Now;
}

void exchange_driver::onEnded(const relay::call &, std::string_view,
                              attempt_end End, time_ms) {
  LastEnd = End;
  if (End == attempt_end::Unreached || End == attempt_end::Refused)
    Run.markNotExecuted();
  if (Resuming)
    return; // The dispatcher counted the stream's first attempt only.
  Context.Services.Dispatcher.onAttemptEnded(
      Current.Name, resultOf(End),
      static_cast<double>(std::max(FirstByteAt, SentAt) - SentAt));
}

bool exchange_driver::tryRepeat(std::string_view Subject, time_ms) {
  if (Out != nullptr) {
    const bool Allowed = Resumptions < MostResumptions;
    Resumptions += Allowed ? 1 : 0;
    if (Allowed)
      Context.Services.Metrics.counterOf("tamarack_resumed_total").add();
    return Allowed;
  }
  const bool Allowed = Exchange.report().Attempts < MostAttempts &&
                       (LastEnd == attempt_end::Refused ||
                        Context.Services.Dispatcher.tryRetry(Subject));
  if (!Allowed)
    releaseChoice();
  return Allowed;
}

relay::placement_refusal exchange_driver::refusal(const relay::call &) const {
  return Unplaced;
}

//---------------------------------------------------------------------------
// Money
//---------------------------------------------------------------------------

relay::reserve_result exchange_driver::reserve(std::string_view, std::int64_t) {
  return relay::reserve_result::Reserved;
}

bool exchange_driver::settle(std::string_view, std::int64_t,
                             std::int64_t Used) {
  return Used == 0 || Paid.settle(Used); // The rest is released at the end.
}

//---------------------------------------------------------------------------
// What the engine decides
//---------------------------------------------------------------------------

void exchange_driver::send(const relay::endpoint_choice &,
                           const relay::send_options &Options) {
  FreshConnection = Options.FreshConnection;
  Opening = true;
}

void exchange_driver::cancelSend() { Source.reset(); }

void exchange_driver::beginAnswer(const relay::answer_head &) {
  Context.Response.setContentType("text/event-stream");
  Context.Response.setChunkedTransferEncoding(true);
  Out = &Context.Response.send();
}

void exchange_driver::passOn(std::string_view Bytes) {
  Out->write(Bytes.data(), static_cast<std::streamsize>(Bytes.size()));
  Out->flush();
  CallerLeft = !Out->good();
}

void exchange_driver::wholeAnswer(const relay::answer_head &Head,
                                  std::string_view Body) {
  const std::string &ContentType = Head.Fields.back().Value;
  Run.storeResponse(Head.Status, ContentType, std::string(Body));
  Context.sendWhole(Head.Status, ContentType, Body);
}

void exchange_driver::breakOff() {
  const call_error Error(error_kind::AnswerIncomplete);
  passOn("event: error\ndata: " + calls::errorBody(Error) + "\n\n");
}

void exchange_driver::refuse(error_kind Kind, int RetryAfterMs) {
  const bool Unknown =
      Kind == error_kind::EndpointFailed && !Run.isRepeatable();
  if (Unknown)
    Failure = call_error(error_kind::OutcomeUnknown);
  else
    Failure = call_error(Kind, {}, RetryAfterMs);
}

} // namespace tamarack::daemon
