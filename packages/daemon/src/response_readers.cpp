// Answers of models in the OpenAI form and of plain services.
#include "response_readers.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace tamarack::daemon {

namespace {

using calls::event_check_result;
using relay::event_use;

constexpr int FirstClientError = 400;
constexpr int FirstServerError = 500;
constexpr int StatusOk = 200;

std::string_view fieldOf(const relay::answer_head &Head,
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
    const model_request &Asked, std::string RequestId, const clock &Clock,
    report::metrics_registry &Metrics)
    : Asked(Asked), RequestId(std::move(RequestId)), Clock(Clock),
      Metrics(Metrics), Checker(this->RequestId) {}

void completion_response_reader::restart() {
  Checker = calls::stream_validator(RequestId);
}

bool completion_response_reader::onHead(const relay::answer_head &Head,
                                        std::string_view Endpoint) {
  Failed = Head.Status != StatusOk;
  if (Failed)
    return true;
  const std::string_view Echo = fieldOf(Head, "X-Request-Id");
  if (!Asked.Stream)
    return Echo == RequestId;
  return Checker.checkHead(Endpoint, Echo, fieldOf(Head, "X-Stream-Id"));
}

event_use
completion_response_reader::onEvent(const relay::stream_event &Event) {
  switch (Checker.checkEvent(Event.Id, Event.Data)) {
  case event_check_result::Duplicate:
    return event_use::Drop;
  case event_check_result::Foreign:
    Metrics.counterOf("tamarack_foreign_events_total").add();
    return event_use::Foreign;
  case event_check_result::EndOfStream:
    return event_use::Last;
  case event_check_result::Valid:
    break;
  }
  if (calls::isUsageOnlyEvent(Event.Data) && !Asked.WantsUsage)
    return event_use::Drop;
  LastToken = Clock.monotonic();
  if (Tokens++ == 0)
    FirstToken = LastToken;
  return event_use::Pass;
}

// The usage of a whole answer tells its cost; without one it is the bound.
bool completion_response_reader::onWhole(const relay::answer_head &Head,
                                         std::string_view Body) {
  if (Head.Status != StatusOk)
    return Head.Status < FirstServerError;
  try {
    Poco::JSON::Parser Parser;
    const Poco::JSON::Object::Ptr Top =
        Parser.parse(std::string(Body)).extract<Poco::JSON::Object::Ptr>();
    const Poco::JSON::Object::Ptr Usage = Top->getObject("usage");
    WholeCost =
        Usage.isNull()
            ? Asked.Bound
            : calls::costOf(
                  Usage->optValue<Poco::Int64>("prompt_tokens", 0),
                  Usage->optValue<Poco::Int64>("completion_tokens", 0),
                  Asked.Model->PromptPrice, Asked.Model->CompletionPrice);
    return true;
  } catch (const Poco::Exception &) { // Not an answer in this form.
    return false;
  }
}

bool completion_response_reader::canResume(relay::call_kind) const {
  return !Checker.streamId().empty() && Checker.nextPosition() > 0;
}

std::string completion_response_reader::resumeAfter() const {
  return std::to_string(Checker.nextPosition() - 1);
}

std::optional<endpoint_request> completion_response_reader::resumption() const {
  endpoint_request Request;
  Request.Method = "GET";
  Request.Path = "/v1/streams/" + std::string(Checker.streamId());
  Request.Headers.push_back({"X-Request-Id", RequestId});
  Request.Headers.push_back({"Last-Event-ID", resumeAfter()});
  return Request;
}

// What broke off is free; a caller that left pays for what it was sent.
std::int64_t completion_response_reader::used(const relay::call &,
                                              relay::delivery How) const {
  if (Failed || How == relay::delivery::Incomplete)
    return 0;
  if (!Asked.Stream)
    return WholeCost.value_or(0);
  return How == relay::delivery::CallerGone && Tokens == 0 ? 0 : streamCost();
}

// Usage as the endpoint told it, else one token for each event and the bound
// of the prompt.
money::amount completion_response_reader::streamCost() const {
  const config::model &Model = *Asked.Model;
  if (Checker.hasUsage())
    return calls::costOf(Checker.promptTokens(), Checker.completionTokens(),
                         Model.PromptPrice, Model.CompletionPrice);
  const std::int64_t Completion =
      static_cast<std::int64_t>(Checker.contentEventCount());
  const money::amount PromptBound =
      Asked.Bound - Asked.MaxTokens * Model.CompletionPrice;
  return PromptBound + Completion * Model.CompletionPrice;
}

double completion_response_reader::meanGapMs() const {
  if (Tokens < 2)
    return 0;
  return static_cast<double>(LastToken - FirstToken) /
         static_cast<double>(Tokens - 1);
}

//---------------------------------------------------------------------------
// Plain services
//---------------------------------------------------------------------------

service_response_reader::service_response_reader(std::string RequestId,
                                                 money::amount Price)
    : RequestId(std::move(RequestId)), Price(Price) {}

bool service_response_reader::onHead(const relay::answer_head &Head,
                                     std::string_view) {
  const std::string_view Echo = fieldOf(Head, "X-Request-Id");
  return Echo.empty() || Echo == RequestId;
}

// Not reached: services are never called for a stream.
event_use service_response_reader::onEvent(const relay::stream_event &) {
  return event_use::Foreign;
}

// What the service refused is passed on and not billed.
bool service_response_reader::onWhole(const relay::answer_head &Head,
                                      std::string_view) {
  Charged = Head.Status < FirstClientError;
  return true;
}

std::int64_t service_response_reader::used(const relay::call &,
                                           relay::delivery How) const {
  return Charged && How == relay::delivery::Whole ? Price : 0;
}

} // namespace tamarack::daemon
