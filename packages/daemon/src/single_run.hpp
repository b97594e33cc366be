// At most one run of a not-repeatable request.
#pragma once

#include "call_context.hpp"

namespace tamarack::daemon {

// Decides whether this daemon may run the request, and keeps what came of it.
//
// A ticket names the one incarnation that may run it. Another key is claimed
// in the log first. A repeat is answered by the incarnation that ran it.
class single_run {
public:
  // Repeatable requests pass at once. Body is needed to forward the request.
  // Throws KeyWithoutTime, KeyExpired, ClaimUnavailable, AlreadyRunning,
  // AnswerGone or OutcomeUnknown.
  single_run(call_context &Context, bool Repeatable, std::string_view Body);
  // Not dispatched: the key may be used again. Dispatched and not finished:
  // the outcome is unknown for ever.
  ~single_run();
  single_run(const single_run &) = delete;
  single_run &operator=(const single_run &) = delete;

  // True if a repeat has been answered already: nothing is left to do.
  bool answered() const { return Answered; }
  bool repeatable() const { return Repeatable; }

  // Call it before the first byte goes to an endpoint, and the second only if
  // the endpoint said that it did not run the request.
  void dispatching() { Dispatched = true; }
  void didNotRun() { Dispatched = false; }
  void finished(int Status, std::string ContentType, std::string Body);

private:
  money::executor_id runner();
  void beginHere();
  void forward(const money::executor_id &Runner, std::string_view Body);

  call_context &Context;
  bool Repeatable;
  bool Answered = false;
  bool Began = false;
  bool Dispatched = false;
  bool Finished = false;
};

} // namespace tamarack::daemon
