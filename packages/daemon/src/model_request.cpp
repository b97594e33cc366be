// The body of a completion request: checked, bounded and ready to send on.
#include "model_request.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace tamarack::daemon {

namespace {

using calls::call_error;
using calls::error_kind;

constexpr int LargestDepth = 64;

[[noreturn]] void refuse(std::string_view Text) {
  throw call_error(error_kind::InvalidRequest, Text);
}

Poco::JSON::Object::Ptr parseBody(const std::string &Body) {
  try {
    Poco::JSON::Parser Parser;
    Parser.setDepth(LargestDepth);
    const Poco::Dynamic::Var Value = Parser.parse(Body);
    if (Value.type() == typeid(Poco::JSON::Object::Ptr))
      return Value.extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception &Error) {
    refuse("The body is not valid JSON: " + Error.displayText());
  }
  refuse("The body must be a JSON object.");
}

struct prompt_text {
  std::string Text;         // All parts joined.
  std::size_t Messages = 0; // Parts.
};

prompt_text readMessages(const Poco::JSON::Object::Ptr &Top) {
  prompt_text Prompt;
  const Poco::JSON::Array::Ptr Messages = Top->getArray("messages");
  if (Messages.isNull() || Messages->size() == 0)
    refuse("\"messages\" must be an array with at least one message.");
  for (unsigned Index = 0; Index < Messages->size(); ++Index) {
    const Poco::JSON::Object::Ptr Message = Messages->getObject(Index);
    if (Message.isNull())
      refuse("Each message must be an object.");
    Prompt.Text += Message->get("content").toString();
    ++Prompt.Messages;
  }
  return Prompt;
}

prompt_text readPrompt(const Poco::JSON::Object::Ptr &Top) {
  const Poco::Dynamic::Var Value = Top->get("prompt");
  if (!Value.isString())
    refuse("\"prompt\" must be a string.");
  return {Value.extract<std::string>(), 1};
}

std::int64_t readMaxTokens(const Poco::JSON::Object::Ptr &Top,
                           const config::model &Model) {
  const std::string Field = Top->has("max_completion_tokens")
                                ? "max_completion_tokens"
                                : "max_tokens";
  if (!Top->has(Field))
    return Model.DefaultTokens;
  const Poco::Dynamic::Var Value = Top->get(Field);
  if (!Value.isInteger() || Value.isBoolean())
    refuse("\"max_tokens\" must be a whole number.");
  std::int64_t Tokens = 0;
  try {
    Tokens = Value.convert<std::int64_t>();
  } catch (const Poco::Exception &) { // Stays 0 and is refused below.
  }
  if (Tokens < 1 || Tokens > Model.MaxTokens)
    refuse("\"max_tokens\" must be from 1 to " +
           std::to_string(Model.MaxTokens) + ".");
  return Tokens;
}

bool readFlag(const Poco::JSON::Object::Ptr &Top, const std::string &Field) {
  if (!Top->has(Field))
    return false;
  const Poco::Dynamic::Var Value = Top->get(Field);
  if (!Value.isBoolean())
    refuse("\"" + Field + "\" must be true or false.");
  return Value.convert<bool>();
}

void refuseSeveralAnswers(const Poco::JSON::Object::Ptr &Top) {
  if (Top->has("n") && Top->get("n").toString() != "1")
    refuse("\"n\" must be 1: each request has one answer.");
}

} // namespace

model_request readModelRequest(const config::configuration &Configuration,
                               const std::string &Body, bool Chat) {
  Poco::JSON::Object::Ptr Top = parseBody(Body);
  const Poco::Dynamic::Var Name = Top->get("model");
  if (!Name.isString())
    refuse("\"model\" must be a string.");
  auto Model = Configuration.Models.find(Name.extract<std::string>());
  if (Model == Configuration.Models.end())
    throw call_error(error_kind::UnknownModel);
  refuseSeveralAnswers(Top);
  model_request Request;
  Request.Model = &Model->second;
  Request.Stream = readFlag(Top, "stream");
  Request.MaxTokens = readMaxTokens(Top, Model->second);
  const prompt_text Prompt = Chat ? readMessages(Top) : readPrompt(Top);
  Request.Prefix = routing::prefixHash(Prompt.Text);
  // The whole body bounds the prompt: tools and schemas are prompt too.
  Request.Bound =
      calls::maxCost(Body.size(), Prompt.Messages, Request.MaxTokens,
                     Model->second.PromptPrice, Model->second.CompletionPrice);
  Top->remove("max_completion_tokens");
  Top->set("max_tokens", Request.MaxTokens);
  if (Request.Stream) {
    Poco::JSON::Object::Ptr Options = Top->getObject("stream_options");
    if (Options.isNull())
      Options = new Poco::JSON::Object;
    Request.WantsUsage = Options->optValue<bool>("include_usage", false);
    Options->set("include_usage", true);
    Top->set("stream_options", Options);
  }
  std::ostringstream Out;
  Top->stringify(Out);
  Request.Body = Out.str();
  return Request;
}

} // namespace tamarack::daemon
