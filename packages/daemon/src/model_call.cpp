// Serves completions of models in the OpenAI format.
#include "model_call.hpp"

#include "response_readers.hpp"

namespace tamarack::daemon {

namespace {

using calls::call_error;

constexpr int ConnectTimeoutMs = 1000;
constexpr int ReadTimeoutMs = 30'000; // Longest wait for the next bytes.

exchange_request makeExchangeRequest(const call_context &Context,
                                     const model_request &ModelRequest,
                                     bool IsChat) {
  exchange_request Request;
  Request.Subject = ModelRequest.Model->Name;
  Request.PromptPrefixHash = ModelRequest.PromptPrefixHash;
  Request.MaxCost = ModelRequest.MaxCost;
  Request.IsStream = ModelRequest.IsStream;
  endpoint_request &EndpointRequest = Request.EndpointRequest;
  EndpointRequest.Path = IsChat ? "/v1/chat/completions" : "/v1/completions";
  EndpointRequest.ConnectTimeoutMs = ConnectTimeoutMs;
  EndpointRequest.ReadTimeoutMs = ReadTimeoutMs;
  EndpointRequest.Body = ModelRequest.EndpointBody;
  EndpointRequest.Headers.push_back(
      {"X-Request-Id", Context.IdempotencyKey.Text});
  EndpointRequest.Headers.push_back({"Content-Type", "application/json"});
  EndpointRequest.Headers.push_back(
      {"X-Priority", std::to_string(Context.Account->Priority)});
  return Request;
}

// Counts the request for the burn rates of its model. The request is within the
// objective if the response was complete and met the latency target.
void recordCompletionOutcome(call_context &Context,
                             const model_request &ModelRequest,
                             const completion_response_reader &Reader,
                             time_ms FirstByteAt, bool IsComplete) {
  const std::string &Name = ModelRequest.Model->Name;
  if (FirstByteAt > 0)
    Context.Services.Metrics.histogramOf("tamarack_first_token_ms")
        .observe(static_cast<double>(FirstByteAt - Context.StartedAt));
  const config::latency_target *Target =
      Context.Configuration->findLatencyTarget(Name);
  const bool IsInTime =
      Target == nullptr ||
      (FirstByteAt - Context.StartedAt <= Target->FirstTokenMs &&
       Reader.meanEventGapMs() <= Target->GapMs);
  Context.recordOutcome(Name, IsComplete && IsInTime);
}

void runCompletion(call_context &Context, const model_request &ModelRequest,
                   bool IsChat, single_execution &Execution) {
  prepaid_admission Admission(Context, ModelRequest.MaxCost);
  completion_response_reader Reader(ModelRequest, Context.IdempotencyKey.Text,
                                    Context.Services.Clock,
                                    Context.Services.Metrics);
  exchange_driver Driver(Context,
                         makeExchangeRequest(Context, ModelRequest, IsChat),
                         Execution, Admission, Reader);
  try {
    const relay::exchange_report Report = Driver.run();
    if (Report.CallerDisconnected) {
      Context.Services.Metrics.counterOf("tamarack_callers_left_total").add();
      return;
    }
    const bool IsComplete = !Report.ResponseAborted;
    if (IsComplete && ModelRequest.IsStream && !Reader.isErrorResponse())
      Execution.storeResponse(Report.Status, "text/event-stream", {});
    recordCompletionOutcome(Context, ModelRequest, Reader, Driver.firstByteAt(),
                            IsComplete);
  } catch (const call_error &) {
    recordCompletionOutcome(Context, ModelRequest, Reader, Driver.firstByteAt(),
                            false);
    throw;
  }
}

} // namespace

void serveCompletionRequest(call_context &Context, bool IsChat) {
  const std::string Body = Context.readBody();
  const model_request ModelRequest =
      readModelRequest(*Context.Configuration, Body, IsChat);
  const bool Repeatable = !Context.isMarkedNotRepeatable();
  Context.assignRequestKey(Repeatable);
  single_execution Execution(Context, Repeatable, Body);
  if (!Execution.isResponseSent())
    runCompletion(Context, ModelRequest, IsChat, Execution);
}

} // namespace tamarack::daemon
