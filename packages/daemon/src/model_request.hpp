// Parses and validates the body of a completion request.
#pragma once

#include "call_context.hpp"

namespace tamarack::daemon {

// A valid completion request.
struct model_request {
  const config::model *Model = nullptr;
  bool IsStream = false;
  bool WantsUsageEvent = false;         // The caller requested the usage event.
  std::int64_t MaxCompletionTokens = 0; // Default: the model's DefaultTokens.
  std::uint64_t PromptPrefixHash = 0;   // 0 if the prompt is too short.
  ledger::amount MaxCost = 0;           // Upper bound in prepaid tokens.
  std::string EndpointBody;             // JSON to send to the endpoint.
};

// IsChat: the prompt is in "messages", otherwise in "prompt". Throws
// InvalidRequest or UnknownModel.
model_request readModelRequest(const config::configuration &Configuration,
                               const std::string &Body, bool IsChat);

} // namespace tamarack::daemon
