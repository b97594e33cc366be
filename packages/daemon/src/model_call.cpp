// Completions of models in the OpenAI form, streamed or whole.
#include "model_call.hpp"

#include "response_readers.hpp"

namespace tamarack::daemon {

namespace {

using calls::call_error;

constexpr int ConnectMs = 1000;
constexpr int SilenceMs = 30'000; // Longest gap in an endpoint's answer.

exchange_request requestOf(const call_context &Context,
                           const model_request &Asked, bool Chat) {
  exchange_request Request;
  Request.Subject = Asked.Model->Name;
  Request.Prefix = Asked.Prefix;
  Request.Bound = Asked.Bound;
  Request.Stream = Asked.Stream;
  endpoint_request &Send = Request.Send;
  Send.Path = Chat ? "/v1/chat/completions" : "/v1/completions";
  Send.ConnectMs = ConnectMs;
  Send.ReadMs = SilenceMs;
  Send.Body = Asked.Body;
  Send.Headers.push_back({"X-Request-Id", Context.Key.Text});
  Send.Headers.push_back({"Content-Type", "application/json"});
  Send.Headers.push_back(
      {"X-Priority", std::to_string(Context.Account->Priority)});
  return Request;
}

// Counts the call for the burn report: good if it was whole and in time.
void noteOutcome(call_context &Context, const model_request &Asked,
                 const completion_response_reader &Reader, time_ms FirstByte,
                 bool Whole) {
  const std::string &Name = Asked.Model->Name;
  if (FirstByte > 0)
    Context.Services.Metrics.histogramOf("tamarack_first_token_ms")
        .observe(static_cast<double>(FirstByte - Context.Started));
  const config::target *Target = Context.Configuration->findTarget(Name);
  const bool InTime = Target == nullptr ||
                      (FirstByte - Context.Started <= Target->FirstTokenMs &&
                       Reader.meanGapMs() <= Target->GapMs);
  Context.noteOutcome(Name, Whole && InTime);
}

void serveCompletion(call_context &Context, const model_request &Asked,
                     bool Chat, single_execution &Run) {
  prepaid_admission Paid(Context, Asked.Bound);
  completion_response_reader Reader(Asked, Context.Key.Text,
                                    Context.Services.Clock,
                                    Context.Services.Metrics);
  exchange_driver Engine(Context, requestOf(Context, Asked, Chat), Run, Paid,
                         Reader);
  try {
    const relay::exchange_report Report = Engine.run();
    if (Report.ClientGone) {
      Context.Services.Metrics.counterOf("tamarack_callers_left_total").add();
      return;
    }
    const bool Whole = !Report.BrokenOff;
    if (Whole && Asked.Stream && !Reader.isFailure())
      Run.storeResponse(Report.Status, "text/event-stream", {});
    noteOutcome(Context, Asked, Reader, Engine.firstByte(), Whole);
  } catch (const call_error &) {
    noteOutcome(Context, Asked, Reader, Engine.firstByte(), false);
    throw;
  }
}

} // namespace

void serveModel(call_context &Context, bool Chat) {
  const std::string Body = Context.readBody();
  const model_request Asked =
      readModelRequest(*Context.Configuration, Body, Chat);
  const bool Repeatable = !Context.saysNotRepeatable();
  Context.setKey(Repeatable);
  single_execution Run(Context, Repeatable, Body);
  if (!Run.isResponseSent())
    serveCompletion(Context, Asked, Chat, Run);
}

} // namespace tamarack::daemon
