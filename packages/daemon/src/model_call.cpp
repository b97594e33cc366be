// Completions of models in the OpenAI form, streamed or whole.
#include "model_call.hpp"

#include "model_request.hpp"
#include "paid_call.hpp"
#include "single_run.hpp"
#include "tamarack/relay.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPResponse.h>

namespace tamarack::daemon {

namespace {

using calls::call_error;
using calls::error_kind;
using calls::event_verdict;
using routing::attempt_result;

constexpr int ConnectMs = 1000;
constexpr int SilenceMs = 30'000; // Longest gap in an endpoint's answer.
constexpr int MostAttempts = 4;
constexpr int MostResumptions = 2;
constexpr int StatusOk = 200;
constexpr int FirstServerError = 500;
constexpr std::size_t ReadBytes = 16 * 1024;
constexpr std::size_t LargestEvent = 1024 * 1024; // Bytes of one event.

// How one attempt at an endpoint ended.
enum class attempt_end {
  Whole,     // The answer is complete up to its end marker.
  Passed,    // The endpoint's refusal was passed on to the caller.
  Again,     // Nothing was passed on; another endpoint may be tried.
  NotRun,    // The endpoint is leaving and did not run the request.
  Unreached, // No byte reached the endpoint.
  Cut,       // The answer broke off after a part was passed on.
  Left,      // The caller has gone.
};

class completion {
public:
  completion(call_context &Context, const model_request &Asked, bool Chat,
             single_run &Run, paid_call &Paid)
      : Context(Context), Asked(Asked), Run(Run), Paid(Paid),
        Checker(Context.Key.Text),
        Path(Chat ? "/v1/chat/completions" : "/v1/completions") {}

  void serve();

private:
  config::endpoint startNext();
  attempt_end attempt(const config::endpoint &Endpoint);
  attempt_end readAnswer(const config::endpoint &Endpoint,
                         answer_source &Source);
  attempt_end relay(const config::endpoint &Endpoint, answer_source &Source);
  attempt_end relayEvents(answer_source &Source);
  attempt_end resume(const config::endpoint &Endpoint);
  attempt_end collect(answer_source &Source);
  attempt_end passOn(answer_source &Source);
  bool writeOut(const std::string &Text);
  void noteToken();
  void finish(attempt_end End);
  void endStream();
  void endWhole();
  [[noreturn]] void failAttempts(attempt_end End);
  void sendStreamError(error_kind Kind);
  void note(bool Good);
  money::amount cost() const;
  endpoint_request request(const std::string &Method,
                           const std::string &To) const;

  call_context &Context;
  const model_request &Asked;
  single_run &Run;
  paid_call &Paid;
  calls::answer_checker Checker;
  std::string Path;
  std::string Whole;           // Body of an answer that is not streamed.
  std::string HeldBack;        // The end marker, until the bill is kept.
  std::ostream *Out = nullptr; // Set once the head has gone out.
  std::set<std::string> Tried;
  time_ms FirstToken = 0; // Monotonic, 0 before it came.
  time_ms LastToken = 0;
  std::uint64_t Tokens = 0;
};

endpoint_request completion::request(const std::string &Method,
                                     const std::string &To) const {
  endpoint_request Request;
  Request.Method = Method;
  Request.Path = To;
  Request.ConnectMs = ConnectMs;
  Request.ReadMs = SilenceMs;
  Request.FreshConnection = !Run.repeatable();
  Request.Headers.push_back({"X-Request-Id", Context.Key.Text});
  Request.Headers.push_back({"Content-Type", "application/json"});
  Request.Headers.push_back(
      {"X-Priority", std::to_string(Context.Account->Priority)});
  return Request;
}

void completion::serve() {
  dispatcher &Dispatcher = Context.Services.Dispatcher;
  Dispatcher.earnRetry(Asked.Model->Name);
  for (int Attempt = 1;; ++Attempt) {
    const config::endpoint Endpoint = startNext();
    Tried.insert(Endpoint.Name);
    const time_ms Sent = Context.Services.Clock.monotonic();
    const attempt_end End = attempt(Endpoint);
    const bool Good = End == attempt_end::Whole || End == attempt_end::Passed;
    const attempt_result Result =
        Good                         ? attempt_result::Good
        : End == attempt_end::NotRun ? attempt_result::Refused
        : End == attempt_end::Left   ? attempt_result::Cancelled
                                     : attempt_result::Failed;
    Dispatcher.ended(Endpoint.Name, Result,
                     static_cast<double>(std::max(FirstToken, Sent) - Sent));
    const bool Retryable = End == attempt_end::NotRun ||
                           End == attempt_end::Unreached ||
                           (End == attempt_end::Again && Run.repeatable());
    if (!Retryable)
      return finish(End);
    const bool Again =
        Attempt < MostAttempts &&
        (End == attempt_end::NotRun || Dispatcher.tryRetry(Asked.Model->Name));
    if (!Again)
      failAttempts(End);
  }
}

config::endpoint completion::startNext() {
  dispatch_request Request;
  Request.Configuration = Context.Configuration.get();
  Request.Account = Context.Account;
  Request.Pool = Context.poolFor(Asked.Model->Name);
  Request.Subject = Asked.Model->Name;
  Request.Prefix = Asked.Prefix;
  Request.Cost = static_cast<double>(Asked.Bound);
  Request.Deadline = Context.deadline();
  const time_ms Before = Context.Services.Clock.monotonic();
  config::endpoint Endpoint = Context.Services.Dispatcher.start(Request, Tried);
  Context.Services.Metrics.timingOf("tamarack_start_wait_ms")
      .add(static_cast<double>(Context.Services.Clock.monotonic() - Before));
  return Endpoint;
}

attempt_end completion::attempt(const config::endpoint &Endpoint) {
  endpoint_request Request = request("POST", Path);
  Request.Body = Asked.Body;
  if (Out == nullptr) // Nothing was passed on: this answer starts afresh.
    Checker = calls::answer_checker(Context.Key.Text);
  Run.dispatching();
  try {
    const std::unique_ptr<answer_source> Source =
        Context.Services.Endpoints.send(Endpoint.Url, Request);
    return readAnswer(Endpoint, *Source);
  } catch (const endpoint_unreached &) {
    Run.didNotRun();
    return attempt_end::Unreached;
  } catch (const endpoint_broken &) {
    return attempt_end::Again;
  }
}

attempt_end completion::readAnswer(const config::endpoint &Endpoint,
                                   answer_source &Source) {
  if (Source.status() == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE &&
      Source.header("X-Leaving") == "true") {
    Run.didNotRun();
    return attempt_end::NotRun;
  }
  if (Source.status() >= FirstServerError)
    return attempt_end::Again;
  if (Source.status() != StatusOk)
    return passOn(Source);
  if (!Asked.Stream)
    return collect(Source);
  return relay(Endpoint, Source);
}

// Relays events and goes on after a break if the endpoint can prove that it
// continues the same stream.
attempt_end completion::relay(const config::endpoint &Endpoint,
                              answer_source &Source) {
  const bool Own = Checker.onHead(Endpoint.Name, Source.header("X-Request-Id"),
                                  Source.header("X-Stream-Id"));
  if (!Own)
    return Checker.contentEvents() == 0 ? attempt_end::Again : attempt_end::Cut;
  attempt_end End = relayEvents(Source);
  for (int Try = 0; Try < MostResumptions && End == attempt_end::Cut; ++Try)
    End = resume(Endpoint);
  const bool NothingOut = End == attempt_end::Cut && Out == nullptr;
  return NothingOut ? attempt_end::Again : End;
}

attempt_end completion::resume(const config::endpoint &Endpoint) {
  if (Checker.streamId().empty() || Checker.nextPosition() == 0)
    return attempt_end::Cut;
  endpoint_request Request =
      request("GET", "/v1/streams/" + std::string(Checker.streamId()));
  Request.Headers.push_back(
      {"Last-Event-ID", std::to_string(Checker.nextPosition() - 1)});
  try {
    const std::unique_ptr<answer_source> Source =
        Context.Services.Endpoints.send(Endpoint.Url, Request);
    const bool Own =
        Source->status() == StatusOk &&
        Checker.onHead(Endpoint.Name, Source->header("X-Request-Id"),
                       Source->header("X-Stream-Id"));
    if (!Own)
      return attempt_end::Cut;
    Context.Services.Metrics.counterOf("tamarack_resumed_total").add();
    return relayEvents(*Source);
  } catch (const endpoint_unreached &) {
    return attempt_end::Cut;
  } catch (const endpoint_broken &) {
    return attempt_end::Cut;
  }
}

attempt_end completion::relayEvents(answer_source &Source) {
  relay::event_splitter Splitter;
  std::vector<char> Buffer(ReadBytes);
  try {
    while (const std::size_t Count = Source.read(Buffer)) {
      Splitter.push({Buffer.data(), Count});
      while (std::optional<relay::stream_event> Event = Splitter.next()) {
        switch (Checker.onEvent(Event->Id, Event->Data)) {
        case event_verdict::Repeat:
          continue;
        case event_verdict::Foreign:
          Context.Services.Metrics.counterOf("tamarack_foreign_events_total")
              .add();
          return attempt_end::Cut;
        case event_verdict::Last:
          HeldBack = std::move(Event->Raw);
          return attempt_end::Whole;
        case event_verdict::Pass:
          break;
        }
        if (calls::isUsageOnly(Event->Data) && !Asked.WantsUsage)
          continue;
        noteToken();
        if (!writeOut(Event->Raw))
          return attempt_end::Left;
      }
      if (Splitter.pending() > LargestEvent)
        return attempt_end::Cut;
    }
  } catch (const endpoint_broken &) { // Ends like an answer without its end.
  }
  return attempt_end::Cut;
}

void completion::noteToken() {
  const time_ms Now = Context.Services.Clock.monotonic();
  if (FirstToken == 0) {
    FirstToken = Now;
    Context.Services.Metrics.timingOf("tamarack_first_token_ms")
        .add(static_cast<double>(Now - Context.Started));
  }
  LastToken = Now;
  ++Tokens;
}

bool completion::writeOut(const std::string &Text) {
  if (Out == nullptr) {
    Context.Response.setContentType("text/event-stream");
    Context.Response.setChunkedTransferEncoding(true);
    Out = &Context.Response.send();
  }
  Out->write(Text.data(), static_cast<std::streamsize>(Text.size()));
  Out->flush();
  return Out->good();
}

attempt_end completion::collect(answer_source &Source) {
  if (Source.header("X-Request-Id") != Context.Key.Text)
    return attempt_end::Again;
  Whole = readWhole(Source);
  noteToken();
  return attempt_end::Whole;
}

// A refusal of the endpoint, for example of a bad parameter. Not billed.
attempt_end completion::passOn(answer_source &Source) {
  const std::string Body = readWhole(Source);
  Run.finished(Source.status(), Source.header("Content-Type"), Body);
  Context.sendWhole(Source.status(), Source.header("Content-Type"), Body);
  return attempt_end::Passed;
}

void completion::finish(attempt_end End) {
  switch (End) {
  case attempt_end::Passed:
    return note(true);
  case attempt_end::Left:
    // The caller has left: it pays for what was passed on to it.
    Paid.settle(cost());
    Context.Services.Metrics.counterOf("tamarack_callers_left_total").add();
    return;
  case attempt_end::Whole:
    return Asked.Stream ? endStream() : endWhole();
  case attempt_end::Cut:
    sendStreamError(error_kind::AnswerIncomplete);
    return note(false);
  case attempt_end::Again:
    note(false);
    throw call_error(error_kind::OutcomeUnknown);
  case attempt_end::NotRun:
  case attempt_end::Unreached:
    break;
  }
  failAttempts(End);
}

void completion::failAttempts(attempt_end End) {
  note(false);
  throw call_error(End == attempt_end::Again ? error_kind::EndpointFailed
                                             : error_kind::NoEndpoint);
}

// The end marker goes out only after the bill is kept twice.
void completion::endStream() {
  if (!Paid.settle(cost())) {
    sendStreamError(error_kind::AnswerIncomplete);
    return note(false);
  }
  writeOut(HeldBack);
  Run.finished(StatusOk, "text/event-stream", {});
  note(true);
}

void completion::endWhole() {
  std::int64_t Prompt = 0;
  std::int64_t Completion = 0;
  bool Known = false;
  try {
    Poco::JSON::Parser Parser;
    const Poco::JSON::Object::Ptr Top =
        Parser.parse(Whole).extract<Poco::JSON::Object::Ptr>();
    const Poco::JSON::Object::Ptr Usage = Top->getObject("usage");
    Known = !Usage.isNull();
    if (Known) {
      Prompt = Usage->optValue<Poco::Int64>("prompt_tokens", 0);
      Completion = Usage->optValue<Poco::Int64>("completion_tokens", 0);
    }
  } catch (const Poco::Exception &) {
    throw call_error(Run.repeatable() ? error_kind::AnswerIncomplete
                                      : error_kind::OutcomeUnknown);
  }
  const money::amount Cost =
      Known ? calls::costOf(Prompt, Completion, Asked.Model->PromptPrice,
                            Asked.Model->CompletionPrice)
            : Asked.Bound;
  if (!Paid.settle(Cost))
    throw call_error(Run.repeatable() ? error_kind::AnswerIncomplete
                                      : error_kind::OutcomeUnknown);
  Run.finished(StatusOk, "application/json", Whole);
  note(true);
  Context.sendWhole(StatusOk, "application/json", Whole);
}

// Usage as the endpoint told it, else one token for each event and the bound
// of the prompt.
money::amount completion::cost() const {
  const config::model &Model = *Asked.Model;
  if (Checker.hasUsage())
    return calls::costOf(Checker.promptTokens(), Checker.completionTokens(),
                         Model.PromptPrice, Model.CompletionPrice);
  const std::int64_t Completion =
      static_cast<std::int64_t>(Checker.contentEvents());
  const money::amount PromptBound =
      Asked.Bound - Asked.MaxTokens * Model.CompletionPrice;
  return PromptBound + Completion * Model.CompletionPrice;
}

void completion::sendStreamError(error_kind Kind) {
  if (Out == nullptr)
    throw call_error(Kind);
  const call_error Error(Kind);
  writeOut("event: error\ndata: " + calls::errorBody(Error) + "\n\n");
}

void completion::note(bool Good) {
  const config::target *Target =
      Context.Configuration->findTarget(Asked.Model->Name);
  if (Good && Target != nullptr) {
    const bool FirstInTime =
        FirstToken - Context.Started <= Target->FirstTokenMs;
    const double Gap = Tokens < 2
                           ? 0
                           : static_cast<double>(LastToken - FirstToken) /
                                 static_cast<double>(Tokens - 1);
    Good = FirstInTime && Gap <= Target->GapMs;
  }
  Context.noteOutcome(Asked.Model->Name, Good);
}

} // namespace

void serveModel(call_context &Context, bool Chat) {
  const std::string Body = Context.readBody();
  const model_request Asked =
      readModelRequest(*Context.Configuration, Body, Chat);
  const bool Repeatable = !Context.saysNotRepeatable();
  Context.setKey(Repeatable);
  single_run Run(Context, Repeatable, Body);
  if (Run.answered())
    return;
  paid_call Paid(Context, Asked.Bound);
  completion Completion(Context, Asked, Chat, Run, Paid);
  Completion.serve();
}

} // namespace tamarack::daemon
