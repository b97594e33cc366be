// Serves completions of models in the OpenAI format.
#pragma once

#include "call_context.hpp"

namespace tamarack::daemon {

// Serves one request for a completion, streamed or not. IsChat: the prompt is a
// list of messages. Throws calls::call_error if no part of a response was sent.
void serveCompletionRequest(call_context &Context, bool IsChat);

} // namespace tamarack::daemon
