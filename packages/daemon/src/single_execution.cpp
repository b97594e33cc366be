// At most one execution of a not-repeatable request.
#include "single_execution.hpp"

namespace tamarack::daemon {

namespace {

using calls::call_error;
using calls::error_kind;

// Longer than the timeouts of the executor, which then end the call first.
constexpr int ForwardReadTimeoutMs = 60'000;
constexpr std::string_view ForwardedHeaders[] = {
    "Authorization", "Content-Type", "X-Repeatable", "X-Deadline-Ms"};
constexpr std::string_view ReturnedHeaders[] = {
    "X-Request-Id", "X-Tamarack-Ran", "Retry-After"};

} // namespace

single_execution::single_execution(call_context &Context, bool Repeatable,
                                   std::string_view Body)
    : Context(Context), Repeatable(Repeatable) {
  if (Repeatable)
    return;
  const ledger::executor_id Executor = determineExecutor();
  if (Executor.Incarnation == Context.Services.SelfExecutor.Incarnation)
    startLocally();
  else
    forwardToExecutor(Executor, Body);
}

single_execution::~single_execution() {
  if (!Started || ResponseStored)
    return;
  if (Dispatched)
    Context.Services.ExecutionRegistry.finishWithUnknownOutcome(
        Context.RequestKey);
  else
    Context.Services.ExecutionRegistry.cancelStart(Context.RequestKey);
}

ledger::executor_id single_execution::determineExecutor() {
  const calls::idempotency_key &Key = Context.IdempotencyKey;
  if (Key.Form == calls::key_form::Opaque)
    throw call_error(error_kind::KeyWithoutTime);
  if (Key.Form == calls::key_form::Ticket)
    return Key.Executor;
  if (Context.isForwarded())
    return Context.Services
        .SelfExecutor; // Named by the claim that the sender read.
  if (Context.Services.Clock.now() - Key.MintedAt > ledger::KeyWindowMs)
    throw call_error(error_kind::KeyExpired);
  return Context.Services.BudgetClient.claimExecution(
      Context.Account->Budget, Context.RequestKey, Key.MintedAt,
      Context.Services.SelfExecutor);
}

void single_execution::startLocally() {
  const calls::begin_result Result = Context.Services.ExecutionRegistry.begin(
      Context.RequestKey, Context.IdempotencyKey.MintedAt,
      Context.Services.Clock.now());
  switch (Result.State) {
  case calls::execution_state::New:
    Started = true;
    return;
  case calls::execution_state::Running:
    throw call_error(error_kind::AlreadyRunning);
  case calls::execution_state::OutcomeUnknown:
    throw call_error(error_kind::OutcomeUnknown);
  case calls::execution_state::KeyExpired:
    throw call_error(error_kind::KeyExpired);
  case calls::execution_state::Finished:
    break;
  }
  if (!Result.Response)
    throw call_error(error_kind::AnswerGone);
  ResponseSent = true;
  Context.Response.set("X-Tamarack-Repeat", "true");
  Context.sendCompleteResponse(Result.Response->Status,
                               Result.Response->ContentType,
                               Result.Response->Body);
}

// Only the executor knows whether it executed the request. If the executor
// can't be reached, the outcome is unknown; "not run" is never reported.
void single_execution::forwardToExecutor(const ledger::executor_id &Executor,
                                         std::string_view Body) {
  const std::optional<std::string> Url =
      Context.Services.Members.httpUrl(Executor.Instance);
  if (!Url || Context.isForwarded())
    throw call_error(error_kind::OutcomeUnknown);
  endpoint_request Request;
  Request.Method = Context.Request.getMethod();
  Request.Path = Context.Request.getURI();
  Request.Body = std::string(Body);
  Request.ReadTimeoutMs = ForwardReadTimeoutMs;
  for (std::string_view Name : ForwardedHeaders)
    if (Context.Request.has(std::string(Name)))
      Request.Headers.push_back(
          {std::string(Name), Context.Request.get(std::string(Name))});
  Request.Headers.push_back({"Idempotency-Key", Context.IdempotencyKey.Text});
  Request.Headers.push_back(
      {"X-Tamarack-Forwarded", std::to_string(Executor.Incarnation)});
  try {
    const std::unique_ptr<response_source> Source =
        Context.Services.EndpointClient.send(*Url, Request);
    const std::string ResponseBody = readCompleteBody(*Source);
    for (std::string_view Name : ReturnedHeaders)
      if (!Source->header(Name).empty())
        Context.Response.set(std::string(Name), Source->header(Name));
    Context.sendCompleteResponse(Source->status(),
                                 Source->header("Content-Type"), ResponseBody);
  } catch (const endpoint_unreached &) {
    throw call_error(error_kind::OutcomeUnknown);
  } catch (const endpoint_disconnected &) {
    throw call_error(error_kind::OutcomeUnknown);
  }
  ResponseSent = true;
}

void single_execution::storeResponse(int Status, std::string ContentType,
                                     std::string Body) {
  if (!Started)
    return;
  ResponseStored = true;
  Context.Services.ExecutionRegistry.finish(
      Context.RequestKey, {Status, std::move(ContentType), std::move(Body)});
}

} // namespace tamarack::daemon
