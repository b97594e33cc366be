// Readers of the responses of models, in the OpenAI format, and of plain
// services.
#include "response_readers.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace tamarack::daemon {

namespace {

using calls::event_check_result;
using relay::event_action;

constexpr int FirstClientError = 400;
constexpr int FirstServerError = 500;
constexpr int StatusOk = 200;

std::string_view headerField(const relay::response_head &Head,
                             std::string_view Name) {
  for (const header_field &Field : Head.Fields)
    if (Field.Name == Name)
      return Field.Value;
  return {};
}

} // namespace

//---------------------------------------------------------------------------
// Completions
//---------------------------------------------------------------------------

completion_response_reader::completion_response_reader(
    const model_request &Request, std::string RequestId, const clock &Clock,
    report::metrics_registry &Metrics)
    : Request(Request), RequestId(std::move(RequestId)), Clock(Clock),
      Metrics(Metrics), Validator(this->RequestId) {}

void completion_response_reader::restart() {
  Validator = calls::stream_validator(RequestId);
}

bool completion_response_reader::onHead(const relay::response_head &Head,
                                        std::string_view Endpoint) {
  const bool IsContinuation = Validator.nextPosition() > 0;
  if (IsContinuation && Head.Status != StatusOk)
    return false;
  IsError = Head.Status != StatusOk;
  if (IsError)
    return true;
  const std::string_view EchoedRequestId = headerField(Head, "X-Request-Id");
  if (!Request.IsStream)
    return EchoedRequestId == RequestId;
  return Validator.checkHead(Endpoint, EchoedRequestId,
                             headerField(Head, "X-Stream-Id"));
}

event_action
completion_response_reader::onEvent(const relay::stream_event &Event) {
  switch (Validator.checkEvent(Event.Id, Event.Data)) {
  case event_check_result::Duplicate:
    return event_action::Drop;
  case event_check_result::Foreign:
    Metrics.counterOf("tamarack_foreign_events_total").add();
    return event_action::Invalid;
  case event_check_result::EndOfStream:
    return event_action::Final;
  case event_check_result::Valid:
    break;
  }
  if (calls::isUsageOnlyEvent(Event.Data) && !Request.WantsUsageEvent)
    return event_action::Drop;
  LastEventAt = Clock.monotonic();
  if (EventCount++ == 0)
    FirstEventAt = LastEventAt;
  return event_action::Forward;
}

// Computes the cost of a complete response from its usage; without usage the
// cost is MaxCost.
bool completion_response_reader::onCompleteBody(
    const relay::response_head &Head, std::string_view Body) {
  if (Head.Status != StatusOk)
    return Head.Status < FirstServerError;
  try {
    Poco::JSON::Parser Parser;
    const Poco::JSON::Object::Ptr Root =
        Parser.parse(std::string(Body)).extract<Poco::JSON::Object::Ptr>();
    const Poco::JSON::Object::Ptr Usage = Root->getObject("usage");
    CompleteBodyCost =
        Usage.isNull()
            ? Request.MaxCost
            : calls::costOf(
                  Usage->optValue<Poco::Int64>("prompt_tokens", 0),
                  Usage->optValue<Poco::Int64>("completion_tokens", 0),
                  Request.Model->PromptPrice, Request.Model->CompletionPrice);
    return true;
  } catch (const Poco::Exception &) { // Not a response in the OpenAI format.
    return false;
  }
}

bool completion_response_reader::canResume(relay::call_kind) const {
  return !Validator.streamId().empty() && Validator.nextPosition() > 0;
}

std::string completion_response_reader::lastEventId() const {
  return std::to_string(Validator.nextPosition() - 1);
}

std::optional<endpoint_request>
completion_response_reader::resumptionRequest() const {
  endpoint_request Resumption;
  Resumption.Method = "GET";
  Resumption.Path = calls::resumptionPath(Validator.streamId());
  Resumption.Headers.push_back({"X-Request-Id", RequestId});
  Resumption.Headers.push_back({"Last-Event-ID", lastEventId()});
  return Resumption;
}

// An incomplete response is not billed. A caller that disconnected is billed
// for the part of the stream that was passed on.
std::int64_t
completion_response_reader::tokensToCharge(const relay::call &,
                                           relay::delivery How) const {
  if (IsError || How == relay::delivery::Incomplete)
    return 0;
  if (!Request.IsStream)
    return CompleteBodyCost.value_or(0);
  return How == relay::delivery::CallerDisconnected && EventCount == 0
             ? 0
             : streamCost();
}

// Cost by the usage that the endpoint reported. Without usage: one completion
// token for each content event, and the upper bound of the prompt's cost.
ledger::amount completion_response_reader::streamCost() const {
  const config::model &Model = *Request.Model;
  if (Validator.hasUsage())
    return calls::costOf(Validator.promptTokens(), Validator.completionTokens(),
                         Model.PromptPrice, Model.CompletionPrice);
  const std::int64_t CompletionTokens =
      static_cast<std::int64_t>(Validator.contentEventCount());
  const ledger::amount MaxPromptCost =
      Request.MaxCost - Request.MaxCompletionTokens * Model.CompletionPrice;
  return MaxPromptCost + CompletionTokens * Model.CompletionPrice;
}

double completion_response_reader::meanEventGapMs() const {
  if (EventCount < 2)
    return 0;
  return static_cast<double>(LastEventAt - FirstEventAt) /
         static_cast<double>(EventCount - 1);
}

//---------------------------------------------------------------------------
// Plain services
//---------------------------------------------------------------------------

service_response_reader::service_response_reader(std::string RequestId,
                                                 ledger::amount Price)
    : RequestId(std::move(RequestId)), Price(Price) {}

bool service_response_reader::onHead(const relay::response_head &Head,
                                     std::string_view) {
  const std::string_view EchoedRequestId = headerField(Head, "X-Request-Id");
  return EchoedRequestId.empty() || EchoedRequestId == RequestId;
}

// Not reached: calls of services are never streams.
event_action service_response_reader::onEvent(const relay::stream_event &) {
  return event_action::Invalid;
}

// Responses with an error status are passed on and not billed.
bool service_response_reader::onCompleteBody(const relay::response_head &Head,
                                             std::string_view) {
  IsBillable = Head.Status < FirstClientError;
  return true;
}

std::int64_t
service_response_reader::tokensToCharge(const relay::call &,
                                        relay::delivery How) const {
  return IsBillable && How == relay::delivery::Complete ? Price : 0;
}

} // namespace tamarack::daemon
