// The money and the limits of one request, given back on every way out.
#pragma once

#include "call_context.hpp"

namespace tamarack::daemon {

// Holds an account's admission and a reservation of Bound prepaid tokens.
class prepaid_admission {
public:
  // Throws RateLimited, BudgetExhausted or BudgetUnavailable.
  prepaid_admission(call_context &Context, money::amount Bound);
  // Releases what was not settled.
  ~prepaid_admission();
  prepaid_admission(const prepaid_admission &) = delete;
  prepaid_admission &operator=(const prepaid_admission &) = delete;

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
