// The money and the limits of one request, given back on every way out.
#pragma once

#include "call_context.hpp"

namespace tamarack::daemon {

// Holds an account's admission and a reservation of Bound prepaid tokens.
class paid_call {
public:
  // Throws RateLimited, BudgetExhausted or BudgetUnavailable.
  paid_call(call_context &Context, money::amount Bound);
  // Releases what was not settled.
  ~paid_call();
  paid_call(const paid_call &) = delete;
  paid_call &operator=(const paid_call &) = delete;

  // Bills Actual. Returns once the bill is kept twice; false if that failed,
  // then the answer must not be ended.
  bool settle(money::amount Actual);

  money::amount bound() const { return Bound; }

private:
  call_context &Context;
  money::amount Bound;
  money::amount Billed = 0;
  bool Settled = false;
  budget_reservation Held;
};

} // namespace tamarack::daemon
