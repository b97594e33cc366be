// At most one run of a not-repeatable request.
#include "single_run.hpp"

namespace tamarack::daemon {

namespace {

using calls::call_error;
using calls::error_kind;

constexpr int ForwardReadMs = 60'000; // The runner's own timeouts end first.
constexpr std::string_view PassedHeaders[] = {"Authorization", "Content-Type",
                                              "X-Repeatable", "X-Deadline-Ms"};
constexpr std::string_view ReturnedHeaders[] = {
    "X-Request-Id", "X-Tamarack-Ran", "Retry-After"};

} // namespace

single_run::single_run(call_context &Context, bool Repeatable,
                       std::string_view Body)
    : Context(Context), Repeatable(Repeatable) {
  if (Repeatable)
    return;
  const money::executor_id Runner = runner();
  if (Runner.Incarnation == Context.Services.Self.Incarnation)
    beginHere();
  else
    forward(Runner, Body);
}

single_run::~single_run() {
  if (!Began || Finished)
    return;
  if (Dispatched)
    Context.Services.Runs.finishUnknown(Context.Hash);
  else
    Context.Services.Runs.undo(Context.Hash);
}

money::executor_id single_run::runner() {
  const calls::call_key &Key = Context.Key;
  if (Key.Form == calls::key_form::Opaque)
    throw call_error(error_kind::KeyWithoutTime);
  if (Key.Form == calls::key_form::Ticket)
    return Key.Runner;
  if (Context.isForwarded())
    return Context.Services.Self; // The sender read the claim.
  if (Context.Services.Clock.now() - Key.Minted > money::KeyWindowMs)
    throw call_error(error_kind::KeyExpired);
  return Context.Services.Money.claim(Context.Account->Budget, Context.Hash,
                                      Key.Minted, Context.Services.Self);
}

void single_run::beginHere() {
  const calls::run_result Result = Context.Services.Runs.begin(
      Context.Hash, Context.Key.Minted, Context.Services.Clock.now());
  switch (Result.State) {
  case calls::run_state::Start:
    Began = true;
    return;
  case calls::run_state::Running:
    throw call_error(error_kind::AlreadyRunning);
  case calls::run_state::Unknown:
    throw call_error(error_kind::OutcomeUnknown);
  case calls::run_state::Expired:
    throw call_error(error_kind::KeyExpired);
  case calls::run_state::Done:
    break;
  }
  if (!Result.Answer)
    throw call_error(error_kind::AnswerGone);
  Answered = true;
  Context.Response.set("X-Tamarack-Repeat", "true");
  Context.sendWhole(Result.Answer->Status, Result.Answer->ContentType,
                    Result.Answer->Body);
}

// Only the runner knows whether it ran the request. If it can't be asked, the
// outcome is unknown; it is never called not run.
void single_run::forward(const money::executor_id &Runner,
                         std::string_view Body) {
  const std::optional<std::string> Url =
      Context.Services.Members.httpUrl(Runner.Instance);
  if (!Url || Context.isForwarded())
    throw call_error(error_kind::OutcomeUnknown);
  endpoint_request Request;
  Request.Method = Context.Request.getMethod();
  Request.Path = Context.Request.getURI();
  Request.Body = std::string(Body);
  Request.ReadMs = ForwardReadMs;
  for (std::string_view Name : PassedHeaders)
    if (Context.Request.has(std::string(Name)))
      Request.Headers.push_back(
          {std::string(Name), Context.Request.get(std::string(Name))});
  Request.Headers.push_back({"Idempotency-Key", Context.Key.Text});
  Request.Headers.push_back(
      {"X-Tamarack-Forwarded", std::to_string(Runner.Incarnation)});
  try {
    const std::unique_ptr<answer_source> Source =
        Context.Services.Endpoints.send(*Url, Request);
    const std::string Answer = readWhole(*Source);
    for (std::string_view Name : ReturnedHeaders)
      if (!Source->header(Name).empty())
        Context.Response.set(std::string(Name), Source->header(Name));
    Context.sendWhole(Source->status(), Source->header("Content-Type"), Answer);
  } catch (const endpoint_unreached &) {
    throw call_error(error_kind::OutcomeUnknown);
  } catch (const endpoint_broken &) {
    throw call_error(error_kind::OutcomeUnknown);
  }
  Answered = true;
}

void single_run::finished(int Status, std::string ContentType,
                          std::string Body) {
  if (!Began)
    return;
  Finished = true;
  Context.Services.Runs.finish(
      Context.Hash, {Status, std::move(ContentType), std::move(Body)});
}

} // namespace tamarack::daemon
