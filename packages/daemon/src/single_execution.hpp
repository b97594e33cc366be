// At most one run of a not-repeatable request.
#pragma once

#include "call_context.hpp"

namespace tamarack::daemon {

// Decides whether this daemon may run the request, and keeps what came of it.
//
// A ticket names the one incarnation that may run it. Another key is claimed
// in the log first. A repeat is answered by the incarnation that ran it.
class single_execution {
public:
  // Repeatable requests pass at once. Body is needed to forward the request.
  // Throws KeyWithoutTime, KeyExpired, ClaimUnavailable, AlreadyRunning,
  // AnswerGone or OutcomeUnknown.
  single_execution(call_context &Context, bool Repeatable,
                   std::string_view Body);
  // Not dispatched: the key may be used again. Dispatched and not finished:
  // the outcome is unknown for ever.
  ~single_execution();
  single_execution(const single_execution &) = delete;
  single_execution &operator=(const single_execution &) = delete;

  // True if a repeat has been answered already: nothing is left to do.
  bool isResponseSent() const { return ResponseSent; }
  bool isRepeatable() const { return Repeatable; }

  // Call it before the first byte goes to an endpoint, and the second only if
  // the endpoint said that it did not run the request.
  void markDispatched() { Dispatched = true; }
  void markNotExecuted() { Dispatched = false; }
  void storeResponse(int Status, std::string ContentType, std::string Body);

private:
  money::runner_id determineExecutor();
  void startLocally();
  void forwardToExecutor(const money::runner_id &Executor,
                         std::string_view Body);

  call_context &Context;
  bool Repeatable;
  bool ResponseSent = false;
  bool Started = false;
  bool Dispatched = false;
  bool ResponseStored = false;
};

} // namespace tamarack::daemon
