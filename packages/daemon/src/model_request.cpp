// Parses and validates the body of a completion request.
#include "model_request.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace tamarack::daemon {

namespace {

using calls::call_error;
using calls::error_kind;

constexpr int MaxJsonDepth = 64;

[[noreturn]] void throwInvalidRequest(std::string_view Text) {
  throw call_error(error_kind::InvalidRequest, Text);
}

Poco::JSON::Object::Ptr parseBody(const std::string &Body) {
  try {
    Poco::JSON::Parser Parser;
    Parser.setDepth(MaxJsonDepth);
    const Poco::Dynamic::Var Value = Parser.parse(Body);
    if (Value.type() == typeid(Poco::JSON::Object::Ptr))
      return Value.extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception &Error) {
    throwInvalidRequest("The body is not valid JSON: " + Error.displayText());
  }
  throwInvalidRequest("The body must be a JSON object.");
}

struct parsed_prompt {
  std::string Text; // All messages concatenated.
  std::size_t MessageCount = 0;
};

parsed_prompt readMessages(const Poco::JSON::Object::Ptr &Root) {
  parsed_prompt Prompt;
  const Poco::JSON::Array::Ptr Messages = Root->getArray("messages");
  if (Messages.isNull() || Messages->size() == 0)
    throwInvalidRequest(
        "\"messages\" must be an array with at least one message.");
  for (unsigned Index = 0; Index < Messages->size(); ++Index) {
    const Poco::JSON::Object::Ptr Message = Messages->getObject(Index);
    if (Message.isNull())
      throwInvalidRequest("Each message must be an object.");
    Prompt.Text += Message->get("content").toString();
    ++Prompt.MessageCount;
  }
  return Prompt;
}

parsed_prompt readPrompt(const Poco::JSON::Object::Ptr &Root) {
  const Poco::Dynamic::Var Value = Root->get("prompt");
  if (!Value.isString())
    throwInvalidRequest("\"prompt\" must be a string.");
  return {Value.extract<std::string>(), 1};
}

std::int64_t readMaxTokens(const Poco::JSON::Object::Ptr &Root,
                           const config::model &Model) {
  const std::string Field = Root->has("max_completion_tokens")
                                ? "max_completion_tokens"
                                : "max_tokens";
  if (!Root->has(Field))
    return Model.DefaultTokens;
  const Poco::Dynamic::Var Value = Root->get(Field);
  if (!Value.isInteger() || Value.isBoolean())
    throwInvalidRequest("\"max_tokens\" must be an integer.");
  std::int64_t Tokens = 0;
  try {
    Tokens = Value.convert<std::int64_t>();
  } catch (const Poco::Exception &) { // Tokens stays 0, which is refused below.
  }
  if (Tokens < 1 || Tokens > Model.MaxTokens)
    throwInvalidRequest("\"max_tokens\" must be from 1 to " +
                        std::to_string(Model.MaxTokens) + ".");
  return Tokens;
}

bool readBoolean(const Poco::JSON::Object::Ptr &Root,
                 const std::string &Field) {
  if (!Root->has(Field))
    return false;
  const Poco::Dynamic::Var Value = Root->get(Field);
  if (!Value.isBoolean())
    throwInvalidRequest("\"" + Field + "\" must be true or false.");
  return Value.convert<bool>();
}

void requireSingleChoice(const Poco::JSON::Object::Ptr &Root) {
  if (Root->has("n") && Root->get("n").toString() != "1")
    throwInvalidRequest(
        "\"n\" must be 1: only one choice per request is supported.");
}

} // namespace

model_request readModelRequest(const config::configuration &Configuration,
                               const std::string &Body, bool IsChat) {
  Poco::JSON::Object::Ptr Root = parseBody(Body);
  const Poco::Dynamic::Var Name = Root->get("model");
  if (!Name.isString())
    throwInvalidRequest("\"model\" must be a string.");
  auto Model = Configuration.Models.find(Name.extract<std::string>());
  if (Model == Configuration.Models.end())
    throw call_error(error_kind::UnknownModel);
  requireSingleChoice(Root);
  model_request Request;
  Request.Model = &Model->second;
  Request.IsStream = readBoolean(Root, "stream");
  Request.MaxCompletionTokens = readMaxTokens(Root, Model->second);
  const parsed_prompt Prompt = IsChat ? readMessages(Root) : readPrompt(Root);
  Request.PromptPrefixHash = routing::prefixHash(Prompt.Text);
  // The size of the complete body is the bound of the prompt, because engines
  // also count tools and schemas as prompt.
  Request.MaxCost = calls::maxCost(
      Body.size(), Prompt.MessageCount, Request.MaxCompletionTokens,
      Model->second.PromptPrice, Model->second.CompletionPrice);
  Root->remove("max_completion_tokens");
  Root->set("max_tokens", Request.MaxCompletionTokens);
  if (Request.IsStream) {
    Poco::JSON::Object::Ptr Options = Root->getObject("stream_options");
    if (Options.isNull())
      Options = new Poco::JSON::Object;
    Request.WantsUsageEvent = Options->optValue<bool>("include_usage", false);
    Options->set("include_usage", true);
    Root->set("stream_options", Options);
  }
  std::ostringstream Json;
  Root->stringify(Json);
  Request.EndpointBody = Json.str();
  return Request;
}

} // namespace tamarack::daemon
