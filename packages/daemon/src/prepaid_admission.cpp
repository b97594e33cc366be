// Admission of one request: account limits and reserved prepaid tokens.
#include "prepaid_admission.hpp"

namespace tamarack::daemon {

prepaid_admission::prepaid_admission(call_context &Context,
                                     ledger::amount MaxCost)
    : Context(Context), MaxCost(MaxCost) {
  Context.Services.Scheduler.admit(*Context.Account,
                                   static_cast<double>(MaxCost));
  if (MaxCost == 0)
    return;
  try {
    Reservation = Context.Services.BudgetClient.reserve(
        Context.Account->Budget, Context.RequestKey,
        Context.IdempotencyKey.MintedAt, MaxCost);
  } catch (const calls::call_error &) {
    Context.Services.Scheduler.releaseAdmission(Context.Account->Name,
                                                static_cast<double>(MaxCost));
    throw;
  }
}

prepaid_admission::~prepaid_admission() {
  const ledger::amount UnusedTokens =
      IsSettled ? MaxCost - BilledTokens : MaxCost;
  Context.Services.Scheduler.releaseAdmission(
      Context.Account->Name, static_cast<double>(UnusedTokens));
  if (MaxCost > 0 && !IsSettled)
    Context.Services.BudgetClient.release(Reservation);
}

bool prepaid_admission::settle(ledger::amount ActualTokens) {
  if (MaxCost == 0)
    return true;
  IsSettled = true; // Also if the call fails: nothing is left to release then.
  BilledTokens = std::min(ActualTokens, MaxCost);
  const bool IsReplicated =
      Context.Services.BudgetClient.settle(Reservation, BilledTokens);
  report::metrics_registry &Metrics = Context.Services.Metrics;
  if (IsReplicated)
    Metrics.counterOf("tamarack_billed_tokens_total")
        .add(static_cast<std::uint64_t>(BilledTokens));
  else
    Metrics.counterOf("tamarack_unsettled_total").add();
  return IsReplicated;
}

} // namespace tamarack::daemon
