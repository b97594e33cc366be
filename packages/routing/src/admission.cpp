// Limits of client accounts, the admission queue and the retry budget.
#include "tamarack/routing.hpp"

#include <algorithm>
#include <cmath>

namespace tamarack::routing {

namespace {

constexpr double MsPerSecond = 1000.0;
constexpr int ConcurrencyRetryAfterMs = 250; // Too many in flight.
constexpr int MinRetryAfterMs = 50;
constexpr double StartRateSmoothing = 0.1; // Weight of the newest interval.
constexpr int DefaultExpectedWaitMs = 500; // While the start rate is unknown.
constexpr double RetriesPerRequest = 0.1;  // Earned by each request.
constexpr double MaxAvailableRetries = 20;

// Time until a bucket has gained MissingTokens, at most a minute.
int refillWaitMs(double MissingTokens, double PerSecond) {
  const double WaitMs = std::ceil(MissingTokens / PerSecond * MsPerSecond);
  return std::max(MinRetryAfterMs,
                  static_cast<int>(std::min(WaitMs, 60'000.0)));
}

} // namespace

//---------------------------------------------------------------------------
// account_limiter
//---------------------------------------------------------------------------

void account_limiter::refill(state &State, const config::limits &Limits,
                             time_ms Now) {
  if (State.RefilledAt < 0) {
    State.AvailableRequests = std::max(1.0, Limits.RequestsPerSecond);
    State.AvailableTokens = Limits.TokensPerSecond;
    State.RefilledAt = Now;
    return;
  }
  const double Seconds =
      static_cast<double>(Now - State.RefilledAt) / MsPerSecond;
  State.AvailableRequests =
      std::min(std::max(1.0, Limits.RequestsPerSecond),
               State.AvailableRequests + Seconds * Limits.RequestsPerSecond);
  State.AvailableTokens =
      std::min(Limits.TokensPerSecond,
               State.AvailableTokens + Seconds * Limits.TokensPerSecond);
  State.RefilledAt = Now;
}

// A request may take the token bucket below zero. Otherwise a request with more
// tokens than the bucket holds would always be refused.
int account_limiter::admit(const config::account &Account, double Tokens,
                           time_ms Now) {
  state &State = States[Account.Name];
  const config::limits &Limits = Account.Limits;
  refill(State, Limits, Now);
  if (Limits.Concurrency > 0 && State.InFlight >= Limits.Concurrency)
    return ConcurrencyRetryAfterMs;
  if (Limits.RequestsPerSecond > 0 && State.AvailableRequests < 1)
    return refillWaitMs(1 - State.AvailableRequests, Limits.RequestsPerSecond);
  if (Limits.TokensPerSecond > 0 && State.AvailableTokens <= 0)
    return refillWaitMs(1 - State.AvailableTokens, Limits.TokensPerSecond);
  State.AvailableRequests -= 1;
  State.AvailableTokens -= Tokens;
  ++State.InFlight;
  return 0;
}

void account_limiter::release(std::string_view Account, double UnusedTokens) {
  auto Found = States.find(Account);
  if (Found == States.end())
    return;
  --Found->second.InFlight;
  Found->second.AvailableTokens += UnusedTokens;
}

int account_limiter::inFlight(std::string_view Account) const {
  auto Found = States.find(Account);
  return Found == States.end() ? 0 : Found->second.InFlight;
}

//---------------------------------------------------------------------------
// admission_queue
//---------------------------------------------------------------------------

admission_queue::admission_queue(std::size_t MaxLength)
    : MaxLength(MaxLength) {}

// Fair queueing: the virtual finish of a request is its virtual start plus its
// cost. Its virtual start is the virtual finish of the account's previous
// request, but not before the current virtual time.
bool admission_queue::isOrderedBefore(const item &Left,
                                      const item &Right) const {
  if (Left.Request.Priority != Right.Request.Priority)
    return Left.Request.Priority < Right.Request.Priority;
  if (Left.VirtualFinish != Right.VirtualFinish)
    return Left.VirtualFinish < Right.VirtualFinish;
  return Left.Id < Right.Id;
}

// Counts the queued requests of Priority or a more urgent one.
std::size_t admission_queue::countUpToPriority(int Priority) const {
  return static_cast<std::size_t>(
      std::count_if(Items.begin(), Items.end(), [Priority](const item &Item) {
        return Item.Request.Priority <= Priority;
      }));
}

int admission_queue::expectedWaitMs(int Priority) const {
  if (StartsPerMs <= 0)
    return DefaultExpectedWaitMs;
  const double RequestsAhead =
      static_cast<double>(countUpToPriority(Priority) + 1);
  return static_cast<int>(std::min(RequestsAhead / StartsPerMs, 3'600'000.0));
}

std::optional<queue_refusal>
admission_queue::push(admission_id Id, const queued_request &Request,
                      time_ms Now) {
  const int WaitMs = expectedWaitMs(Request.Priority);
  const bool WaitTooLong = StartsPerMs > 0 && Now + WaitMs > Request.Deadline;
  if (Now >= Request.Deadline || WaitTooLong)
    return queue_refusal{Id, true, std::max(MinRetryAfterMs, WaitMs)};
  item Item{Id, Request, 0};
  const double VirtualStart =
      std::max(VirtualTime, LastVirtualFinish[Request.Account]);
  Item.VirtualFinish = VirtualStart + Request.Cost;
  if (Items.size() >= MaxLength) {
    auto Last = std::max_element(Items.begin(), Items.end(),
                                 [this](const item &Left, const item &Right) {
                                   return isOrderedBefore(Left, Right);
                                 });
    if (!isOrderedBefore(Item, *Last))
      return queue_refusal{Id, false, std::max(MinRetryAfterMs, WaitMs)};
    Refusals.push_back({Last->Id, false, std::max(MinRetryAfterMs, WaitMs)});
    Items.erase(Last);
  }
  LastVirtualFinish[Request.Account] = Item.VirtualFinish;
  Items.push_back(std::move(Item));
  return std::nullopt;
}

std::vector<admission_queue::item>::const_iterator
admission_queue::findNext(time_ms Now) const {
  auto Best = Items.end();
  for (auto Item = Items.begin(); Item != Items.end(); ++Item) {
    if (Item->Request.Deadline <= Now)
      continue;
    if (Best == Items.end() || isOrderedBefore(*Item, *Best))
      Best = Item;
  }
  return Best;
}

std::optional<admission_id> admission_queue::peek(time_ms Now) const {
  auto Best = findNext(Now);
  if (Best == Items.end())
    return std::nullopt;
  return Best->Id;
}

std::optional<admission_id> admission_queue::pop(time_ms Now) {
  auto Best = findNext(Now);
  if (Best == Items.end())
    return std::nullopt;
  const admission_id Id = Best->Id;
  VirtualTime = std::max(VirtualTime, Best->VirtualFinish - Best->Request.Cost);
  Items.erase(Best);
  if (Items.empty()) {
    LastVirtualFinish.clear();
    VirtualTime = 0;
  }
  updateStartRate(Now);
  return Id;
}

// Smooths the intervals between starts and stores their inverse.
void admission_queue::updateStartRate(time_ms Now) {
  if (LastStartAt >= 0) {
    const double GapMs = std::max(0.1, static_cast<double>(Now - LastStartAt));
    const double OldGapMs = StartsPerMs > 0 ? 1 / StartsPerMs : GapMs;
    StartsPerMs = 1 / (OldGapMs + StartRateSmoothing * (GapMs - OldGapMs));
  }
  LastStartAt = Now;
}

void admission_queue::cancel(admission_id Id) {
  std::erase_if(Items, [Id](const item &Item) { return Item.Id == Id; });
}

std::vector<queue_refusal> admission_queue::takeRefusals(time_ms Now) {
  std::vector<queue_refusal> Result = std::move(Refusals);
  Refusals.clear();
  std::erase_if(Items, [&](const item &Item) {
    if (Item.Request.Deadline > Now)
      return false;
    Result.push_back({Item.Id, true, expectedWaitMs(Item.Request.Priority)});
    return true;
  });
  return Result;
}

//---------------------------------------------------------------------------
// retry_budget
//---------------------------------------------------------------------------

void retry_budget::onRequest() {
  AvailableRetries =
      std::min(MaxAvailableRetries, AvailableRetries + RetriesPerRequest);
}

bool retry_budget::tryRetry() {
  if (AvailableRetries < 1)
    return false;
  AvailableRetries -= 1;
  return true;
}

} // namespace tamarack::routing
