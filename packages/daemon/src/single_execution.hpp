// At most one execution of a not-repeatable request.
#pragma once

#include "call_context.hpp"

namespace tamarack::daemon {

// Decides whether this daemon may execute a request, and records the outcome.
//
// Only the executor, one incarnation of one daemon, may execute a
// not-repeatable request. A ticket names its executor; any other key with a
// mint time is first claimed in the ledger. Duplicates of a request are
// forwarded to the executor, which sends the stored response.
class single_execution {
public:
  // Does nothing for repeatable requests. Otherwise registers the execution in
  // this daemon or forwards the request, with Body, to its executor and sends
  // the response. Throws KeyWithoutTime, KeyExpired, ClaimUnavailable,
  // AlreadyRunning, AnswerGone or OutcomeUnknown.
  single_execution(call_context &Context, bool Repeatable,
                   std::string_view Body);
  // If the request was not dispatched, its key may be used again. If a
  // dispatched request got no stored response, its outcome stays unknown
  // forever.
  ~single_execution();
  single_execution(const single_execution &) = delete;
  single_execution &operator=(const single_execution &) = delete;

  // True if the caller already has the response of an earlier execution or of
  // another daemon; the request must not be dispatched then.
  bool isResponseSent() const { return ResponseSent; }
  bool isRepeatable() const { return Repeatable; }

  // Call before the first byte goes to an endpoint.
  void markDispatched() { Dispatched = true; }
  // Call only if nothing reached the endpoint, or if the endpoint said that it
  // did not execute the request.
  void markNotExecuted() { Dispatched = false; }
  // Records the complete response for duplicates of the request.
  void storeResponse(int Status, std::string ContentType, std::string Body);

private:
  ledger::executor_id determineExecutor();
  void startLocally();
  void forwardToExecutor(const ledger::executor_id &Executor,
                         std::string_view Body);

  call_context &Context;
  bool Repeatable;
  bool ResponseSent = false;
  bool Started = false;    // Registered in this daemon's execution registry.
  bool Dispatched = false; // An endpoint may have executed the request.
  bool ResponseStored = false;
};

} // namespace tamarack::daemon
