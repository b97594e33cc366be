// Table of all error kinds.
#include "tamarack/calls.hpp"

#include <Poco/JSON/Object.h>

#include <cassert>
#include <sstream>

namespace tamarack::calls {

namespace {

using enum error_kind;
using enum retry_advice;

constexpr error_definition ErrorTable[] = {
    {InvalidRequest, "invalid_request", 400, ran_at_endpoint::No, Never, 0,
     "The request is malformed."},
    {Unauthorized, "unauthorized", 401, ran_at_endpoint::No, Never, 0,
     "The bearer key is missing or unknown."},
    {NotFound, "not_found", 404, ran_at_endpoint::No, Never, 0,
     "There is no such path."},
    {UnknownModel, "unknown_model", 404, ran_at_endpoint::No, Never, 0,
     "No such model is configured."},
    {UnknownService, "unknown_service", 404, ran_at_endpoint::No, Never, 0,
     "No such service is configured."},
    {NoRule, "no_rule", 403, ran_at_endpoint::No, Never, 0,
     "No routing rule admits this request."},
    {BodyTooLarge, "body_too_large", 413, ran_at_endpoint::No, Never, 0,
     "The body exceeds the limit."},
    {HeadersTooLarge, "headers_too_large", 431, ran_at_endpoint::No, Never, 0,
     "The header fields exceed the limit."},
    {KeyWithoutTime, "key_without_time", 400, ran_at_endpoint::No, Never, 0,
     "A call that may run only once needs a key that carries its mint time: a "
     "ticket, a key minted by the router or a UUID of version 7."},
    {KeyExpired, "key_expired", 409, ran_at_endpoint::Unknown, Never, 0,
     "The key is older than the duplicate window; this attempt did not run, "
     "but an earlier one may have."},
    {BudgetExhausted, "budget_exhausted", 402, ran_at_endpoint::No, Later,
     60'000, "The prepaid budget can't cover the request."},
    {BudgetUnavailable, "budget_unavailable", 503, ran_at_endpoint::No, Later,
     2'000,
     "No prepaid tokens can be obtained while the platform is unavailable."},
    {ClaimUnavailable, "claim_unavailable", 503, ran_at_endpoint::No, Later,
     2'000, "The key can't be claimed while the platform is unavailable."},
    {RateLimited, "rate_limited", 429, ran_at_endpoint::No, Later, 1'000,
     "A limit of the client account is reached."},
    {Overloaded, "overloaded", 503, ran_at_endpoint::No, Later, 1'000,
     "All endpoints are busy and the queue is full."},
    {InstanceFull, "instance_full", 503, ran_at_endpoint::No, Later, 500,
     "The instance can't hold more requests and responses now; another one "
     "may."},
    {DeadlineTooShort, "deadline_too_short", 503, ran_at_endpoint::No, Later,
     1'000, "The request can't be served before its deadline."},
    {PromptQuarantined, "prompt_quarantined", 503, ran_at_endpoint::No, Later,
     600'000,
     "A part of the prompt has crashed endpoints; it is not sent to any for "
     "now."},
    {RequestQuarantined, "request_quarantined", 503, ran_at_endpoint::No, Later,
     600'000,
     "The same request has crashed endpoints; it is not sent to any for now."},
    {NoEndpoint, "no_endpoint", 503, ran_at_endpoint::No, Later, 2'000,
     "No endpoint of the pool takes requests now."},
    {StreamUnknown, "stream_unknown", 503, ran_at_endpoint::No, Later, 300,
     "It is not known which version of the endpoints began the stream."},
    {StreamVersionGone, "stream_version_gone", 503, ran_at_endpoint::No, Never,
     0,
     "No endpoint of the version that began the stream takes requests; begin "
     "it anew."},
    {NotReady, "not_ready", 503, ran_at_endpoint::No, Later, 1'000,
     "The instance is starting, leaving or out of date."},
    {EndpointFailed, "endpoint_failed", 502, ran_at_endpoint::Unknown, SameKey,
     500, "The endpoint failed before its response began."},
    {AnswerIncomplete, "answer_incomplete", 502, ran_at_endpoint::Yes, SameKey,
     500, "The response ended before it was complete."},
    {OutcomeUnknown, "outcome_unknown", 504, ran_at_endpoint::Unknown, Never, 0,
     "The call may have run; its outcome is not known."},
    {AlreadyRunning, "already_running", 409, ran_at_endpoint::Yes, SameKey, 500,
     "A request with the same key is still running."},
    {AnswerGone, "answer_gone", 409, ran_at_endpoint::Yes, Never, 0,
     "The call has run, but its response is no longer stored."},
    {Internal, "internal", 500, ran_at_endpoint::Unknown, SameKey, 1'000,
     "The router failed."},
};

} // namespace

std::span<const error_definition> allErrors() { return ErrorTable; }

const error_definition &definitionOf(error_kind Kind) {
  const error_definition &Definition =
      ErrorTable[static_cast<std::size_t>(Kind)];
  assert(Definition.Kind == Kind &&
         "the table must follow the order of the enum");
  return Definition;
}

std::string_view toString(ran_at_endpoint RanAtEndpoint) {
  switch (RanAtEndpoint) {
  case ran_at_endpoint::No:
    return "no";
  case ran_at_endpoint::Yes:
    return "yes";
  case ran_at_endpoint::Unknown:
    return "unknown";
  }
  return "";
}

std::string_view toString(retry_advice Advice) {
  switch (Advice) {
  case retry_advice::Never:
    return "never";
  case retry_advice::Later:
    return "later";
  case retry_advice::SameKey:
    return "same_key";
  }
  return "";
}

call_error::call_error(error_kind Kind, std::string_view Detail,
                       int RetryAfterMs)
    : std::runtime_error(Detail.empty()
                             ? std::string(definitionOf(Kind).Message)
                             : std::string(Detail)),
      Kind(Kind),
      RetryAfterMs(RetryAfterMs > 0 ? RetryAfterMs
                                    : definitionOf(Kind).RetryAfterMs) {}

std::string errorBody(const call_error &Error) {
  const error_definition &Definition = definitionOf(Error.kind());
  Poco::JSON::Object::Ptr ErrorObject = new Poco::JSON::Object;
  ErrorObject->set("kind", std::string(Definition.Name));
  ErrorObject->set("message", std::string(Error.what()));
  ErrorObject->set("ran", std::string(toString(Definition.RanAtEndpoint)));
  ErrorObject->set("retry", std::string(toString(Definition.RetryAdvice)));
  ErrorObject->set("retry_after_ms", Error.retryAfterMs());
  Poco::JSON::Object Body;
  Body.set("error", ErrorObject);
  std::ostringstream Out;
  Body.stringify(Out);
  return Out.str();
}

} // namespace tamarack::calls
