// Admission of one request: account limits and reserved prepaid tokens, both
// released by the destructor.
#pragma once

#include "call_context.hpp"

namespace tamarack::daemon {

// Holds the admission of a request within the limits of its client account, and
// a reservation of MaxCost prepaid tokens in the account's budget. A MaxCost of
// 0 reserves nothing. Not thread-safe.
class prepaid_admission {
public:
  // Blocks until the home of the budget has decided. Throws RateLimited,
  // BudgetExhausted or BudgetUnavailable.
  prepaid_admission(call_context &Context, ledger::amount MaxCost);
  // Releases the admission, and the reservation if settle was not called.
  ~prepaid_admission();
  prepaid_admission(const prepaid_admission &) = delete;
  prepaid_admission &operator=(const prepaid_admission &) = delete;

  // Bills ActualTokens, at most MaxCost, and returns once the bill line is
  // replicated, stored by holder and witness. False: the bill line could not be
  // stored, so the response must not be completed. Call at most once.
  bool settle(ledger::amount ActualTokens);

  ledger::amount maxCost() const { return MaxCost; }

private:
  call_context &Context;
  ledger::amount MaxCost;
  ledger::amount BilledTokens = 0;
  bool IsSettled = false;
  budget_reservation Reservation;
};

} // namespace tamarack::daemon
