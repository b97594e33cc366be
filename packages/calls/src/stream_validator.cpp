// Checks that a streamed response is complete and belongs to the request.
#include "tamarack/calls.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/URI.h>

namespace tamarack::calls {

namespace {

constexpr std::string_view EndOfStreamData = "[DONE]";
// Upper bound of what a chat template adds to each message.
constexpr std::int64_t ExtraTokensPerMessage = 16;

// Returns the value of the first "id" field. Quotes inside a JSON string are
// escaped, so the text of a response can't contain the pattern.
std::string_view responseIdOf(std::string_view Data) {
  constexpr std::string_view Pattern = "\"id\":\"";
  const std::size_t Found = Data.find(Pattern);
  if (Found == std::string_view::npos)
    return {};
  const std::string_view Value = Data.substr(Found + Pattern.size());
  return Value.substr(0, Value.find('"'));
}

} // namespace

bool isRefusalOf(std::string_view RequestId, std::string_view EchoedId,
                 bool IsFirstOnConnection) {
  return EchoedId.empty() ? IsFirstOnConnection : EchoedId == RequestId;
}

std::string resumptionPath(std::string_view StreamId) {
  constexpr const char *Reserved = "!#$&'()*+,/:;=?@[]"; // RFC 3986.
  std::string Path = "/v1/streams/";
  Poco::URI::encode(std::string(StreamId), Reserved, Path);
  return Path;
}

stream_validator::stream_validator(std::string RequestId)
    : RequestId(std::move(RequestId)) {}

bool stream_validator::checkHead(std::string_view FromEndpoint,
                                 std::string_view EchoedRequestId,
                                 std::string_view FromStream) {
  if (EchoedRequestId != RequestId)
    return false;
  if (!HeadSeen) {
    HeadSeen = true;
    Endpoint = FromEndpoint;
    StreamId = FromStream;
    return true;
  }
  return Endpoint == FromEndpoint && StreamId == FromStream &&
         !StreamId.empty();
}

event_check_result stream_validator::checkEvent(std::int64_t Position,
                                                std::string_view Data) {
  if (!HeadSeen || Complete)
    return event_check_result::Foreign;
  if (Position >= 0) {
    if (Position < NextPosition)
      return event_check_result::Duplicate;
    if (Position > NextPosition)
      return event_check_result::Foreign;
  }
  if (Data == EndOfStreamData) {
    if (ContentEventCount == 0)
      return event_check_result::Foreign;
    ++NextPosition;
    Complete = true;
    return event_check_result::EndOfStream;
  }
  const std::string_view Id = responseIdOf(Data);
  if (ResponseId.empty())
    ResponseId = Id;
  if (Id != ResponseId)
    return event_check_result::Foreign;
  ++NextPosition;
  if (Data.find("\"usage\":{") != std::string_view::npos)
    readUsage(Data);
  if (!isUsageOnlyEvent(Data))
    ++ContentEventCount;
  return event_check_result::Valid;
}

void stream_validator::readUsage(std::string_view Data) {
  try {
    Poco::JSON::Parser Parser;
    const Poco::JSON::Object::Ptr Top =
        Parser.parse(std::string(Data)).extract<Poco::JSON::Object::Ptr>();
    const Poco::JSON::Object::Ptr Usage = Top->getObject("usage");
    if (Usage.isNull())
      return;
    PromptTokens = Usage->optValue<Poco::Int64>("prompt_tokens", 0);
    CompletionTokens = Usage->optValue<Poco::Int64>("completion_tokens", 0);
    HasUsage = true;
  } catch (const Poco::Exception &) { // No usage: the upper bound is charged.
  }
}

bool isUsageOnlyEvent(std::string_view Data) {
  return Data.find("\"choices\":[]") != std::string_view::npos &&
         Data.find("\"usage\":{") != std::string_view::npos;
}

ledger::amount maxCost(std::size_t PromptBytes, std::size_t MessageCount,
                       std::int64_t MaxCompletionTokens,
                       std::int64_t PromptPrice, std::int64_t CompletionPrice) {
  const std::int64_t PromptTokens =
      static_cast<std::int64_t>(PromptBytes) +
      ExtraTokensPerMessage * static_cast<std::int64_t>(MessageCount);
  return costOf(PromptTokens, MaxCompletionTokens, PromptPrice,
                CompletionPrice);
}

ledger::amount costOf(std::int64_t PromptTokens, std::int64_t CompletionTokens,
                      std::int64_t PromptPrice, std::int64_t CompletionPrice) {
  return PromptTokens * PromptPrice + CompletionTokens * CompletionPrice;
}

} // namespace tamarack::calls
