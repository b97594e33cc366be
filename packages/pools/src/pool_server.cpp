// Reservations that other instances have at this one.
#include "tamarack/pools.hpp"

#include <algorithm>

namespace tamarack::pools {

// An instance that has started again will never settle what the process before
// had reserved: all of it is billed.
pool_server::borrower &pool_server::borrowerOf(const pool_request &Request) {
  borrower &Borrower = Borrowers[Request.Instance];
  if (Borrower.Incarnation == Request.Incarnation)
    return Borrower;
  for (const auto &[Number, Open] : Borrower.Open)
    Tokens.settle(Open.Account, Open.Bound, Open.Bound);
  OpenReservations -= Borrower.Open.size();
  Borrower = {};
  Borrower.Incarnation = Request.Incarnation;
  return Borrower;
}

void pool_server::settle(borrower &Borrower,
                         const token_settlement &Settlement) {
  const auto Found = Borrower.Open.find(Settlement.Number);
  if (Found == Borrower.Open.end()) {
    Borrower.SettledEarly.insert(Settlement.Number);
    if (Borrower.SettledEarly.size() > MaxEarlySettlements)
      Borrower.SettledEarly.erase(Borrower.SettledEarly.begin());
    return;
  }
  const reservation &Open = Found->second;
  Tokens.settle(Open.Account, Open.Bound,
                std::min(Settlement.Used, Open.Bound));
  Borrower.Open.erase(Found);
  --OpenReservations;
}

reserve_result pool_server::reserve(borrower &Borrower,
                                    const token_request &Request) {
  // The response to an earlier copy of this request was lost.
  if (Borrower.Open.contains(Request.Number))
    return reserve_result::Reserved;
  // The instance no longer waits for it, or an account that this one does not
  // know yet may be known to another one.
  if (Borrower.SettledEarly.contains(Request.Number) ||
      !Tokens.isLimited(Request.Account))
    return reserve_result::Unavailable;
  const reserve_result Result = Tokens.reserve(Request.Account, Request.Bound);
  if (Result == reserve_result::Reserved) {
    Borrower.Open[Request.Number] = {Request.Account, Request.Bound};
    ++OpenReservations;
  }
  return Result;
}

pool_response pool_server::serve(const pool_request &Request) {
  borrower &Borrower = borrowerOf(Request);
  for (const token_settlement &Settlement : Request.Settled)
    settle(Borrower, Settlement);
  pool_response Response;
  Response.IsServing = !IsStopping;
  if (IsStopping)
    return Response;
  for (const token_request &Wanted : Request.Wanted)
    Response.Results.push_back(reserve(Borrower, Wanted));
  return Response;
}

} // namespace tamarack::pools
