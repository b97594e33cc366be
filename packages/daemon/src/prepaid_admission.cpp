// The money and the limits of one request.
#include "prepaid_admission.hpp"

namespace tamarack::daemon {

prepaid_admission::prepaid_admission(call_context &Context, money::amount Bound)
    : Context(Context), Bound(Bound) {
  Context.Services.Dispatcher.admit(*Context.Account,
                                    static_cast<double>(Bound));
  if (Bound == 0)
    return;
  try {
    Held = Context.Services.Money.reserve(Context.Account->Budget, Context.Hash,
                                          Context.Key.MintedAt, Bound);
  } catch (const calls::call_error &) {
    Context.Services.Dispatcher.releaseAdmission(Context.Account->Name,
                                                 static_cast<double>(Bound));
    throw;
  }
}

prepaid_admission::~prepaid_admission() {
  const money::amount Unused = Settled ? Bound - Billed : Bound;
  Context.Services.Dispatcher.releaseAdmission(Context.Account->Name,
                                               static_cast<double>(Unused));
  if (Bound > 0 && !Settled)
    Context.Services.Money.release(Held);
}

bool prepaid_admission::settle(money::amount Actual) {
  if (Bound == 0)
    return true;
  Settled = true; // A failed settlement leaves nothing to release.
  Billed = std::min(Actual, Bound);
  const bool Kept = Context.Services.Money.settle(Held, Billed);
  report::metrics_registry &Metrics = Context.Services.Metrics;
  if (Kept)
    Metrics.counterOf("tamarack_billed_tokens_total")
        .add(static_cast<std::uint64_t>(Billed));
  else
    Metrics.counterOf("tamarack_unsettled_total").add();
  return Kept;
}

} // namespace tamarack::daemon
