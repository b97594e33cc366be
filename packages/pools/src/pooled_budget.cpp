// Reservations of this instance's calls, here or at other instances.
#include "tamarack/pools.hpp"

#include <algorithm>
#include <cassert>

namespace tamarack::pools {

pooled_budget::pooled_budget(std::string Instance, std::uint64_t Incarnation,
                             token_source &Own, const pool_directory &Directory,
                             pool_transport &Transport, pool_listener &Listener,
                             const clock &Clock)
    : Instance(std::move(Instance)), Incarnation(Incarnation), Own(Own),
      Directory(Directory), Transport(Transport), Listener(Listener),
      Clock(Clock) {}

//---------------------------------------------------------------------------
// Calls
//---------------------------------------------------------------------------

// The best instance that was not tried and is not avoided, nullptr if there is
// none.
const grants::pool_member *pooled_budget::nextCandidate(
    std::string_view Account,
    const std::set<std::string, std::less<>> &Tried) const {
  const time_ms Now = Clock.monotonic();
  for (const grants::pool_member &Candidate :
       Directory.candidatesFor(Account)) {
    const auto Link = Links.find(Candidate.Instance);
    const bool IsAvoided = Link != Links.end() && Now < Link->second.AvoidUntil;
    const bool IsReachable =
        Candidate.Instance == Instance || !Candidate.Address.empty();
    if (IsReachable && !IsAvoided && !Tried.contains(Candidate.Instance))
      return &Candidate;
  }
  return nullptr;
}

reserve_result pooled_budget::reserve(const relay::call &Call) {
  if (Waiting.contains(Call.Number))
    return continueWait(Call);
  if (Own.reserveHeld(Call.Account, Call.maxTokens()))
    return reserve_result::Reserved;
  if (!Own.isLimited(Call.Account))
    return Own.reserve(Call.Account, Call.maxTokens());
  waiting_call Wait;
  Wait.Account = Call.Account;
  Wait.Bound = Call.maxTokens();
  Wait.Since = Clock.monotonic();
  askNext(Wait);
  Waiting[Call.Number] = std::move(Wait);
  return continueWait(Call);
}

// Asks this instance. If it can't tell, the call goes on to the next one.
reserve_result pooled_budget::askOwn(waiting_call &Wait) {
  const reserve_result Result = Own.reserve(Wait.Account, Wait.Bound);
  if (Result != reserve_result::Unavailable)
    return Result;
  askNext(Wait);
  return Wait.State == wait_state::Queued ? reserve_result::Pending
                                          : reserve_result::Unavailable;
}

reserve_result pooled_budget::continueWait(const relay::call &Call) {
  waiting_call &Wait = Waiting.at(Call.Number);
  reserve_result Result = reserve_result::Pending;
  if (Wait.State == wait_state::Own)
    Result = askOwn(Wait);
  if (Wait.State == wait_state::Queued)
    Listener.onRequestQueued();
  if (Wait.State == wait_state::Answered) {
    Result = Wait.Result;
    if (Result == reserve_result::Reserved)
      Reservations[Call.Number] = Wait.Holder.Instance;
  }
  if (Result != reserve_result::Pending)
    Waiting.erase(Call.Number);
  return Result;
}

bool pooled_budget::settle(const relay::call &Call, std::int64_t Used) {
  const auto Found = Reservations.find(Call.Number);
  if (Found == Reservations.end()) {
    Own.settle(Call.Account, Call.maxTokens(), Used);
    return true;
  }
  queueSettlement(Found->second, {Call.Number, Used});
  Reservations.erase(Found);
  return true;
}

void pooled_budget::withdraw(const relay::call &Call) {
  const auto Found = Waiting.find(Call.Number);
  if (Found == Waiting.end())
    return;
  waiting_call &Wait = Found->second;
  if (Wait.State == wait_state::Sent) {
    Wait.IsWithdrawn = true;
    return;
  }
  const bool HoldsTokens = Wait.State == wait_state::Answered &&
                           Wait.Result == reserve_result::Reserved;
  if (HoldsTokens)
    queueSettlement(Wait.Holder.Instance, {Call.Number, 0});
  Waiting.erase(Found);
}

void pooled_budget::queueSettlement(std::string_view Holder,
                                    token_settlement Settlement) {
  holder_link &Link = Links.at(std::string(Holder));
  if (Link.Unsettled.empty())
    Link.SettleAt = Clock.monotonic() + SettleDelayMs;
  Link.Unsettled.push_back(Settlement);
  if (Link.Unsettled.size() <= MaxUnsettled || Link.IsInFlight)
    return;
  Link.Unsettled.erase(Link.Unsettled.begin());
  Listener.onSettlementDropped(Holder);
}

//---------------------------------------------------------------------------
// Responses
//---------------------------------------------------------------------------

// The call is asked for at the next instance. If none is left it is refused.
void pooled_budget::askNext(waiting_call &Wait) {
  if (!Wait.Holder.Instance.empty())
    Wait.Tried.insert(Wait.Holder.Instance);
  const grants::pool_member *Next = nextCandidate(Wait.Account, Wait.Tried);
  Wait.RetryAt = Clock.monotonic();
  Wait.RetryMs = FirstRetryMs;
  if (Next == nullptr) {
    Wait.State = wait_state::Answered;
    Wait.Result = reserve_result::Unavailable;
    return;
  }
  Wait.Holder = *Next;
  Wait.State =
      Next->Instance == Instance ? wait_state::Own : wait_state::Queued;
}

void pooled_budget::onResult(std::uint64_t Number, reserve_result Result) {
  waiting_call &Wait = Waiting.at(Number);
  const time_ms Now = Clock.monotonic();
  Listener.onAnswered(Result, Now - Wait.Since);
  if (Wait.IsWithdrawn) {
    if (Result == reserve_result::Reserved)
      queueSettlement(Wait.Holder.Instance, {Number, 0});
    Waiting.erase(Number);
    return;
  }
  switch (Result) {
  case reserve_result::Reserved:
  case reserve_result::Exhausted:
    Wait.State = wait_state::Answered;
    Wait.Result = Result;
    return;
  case reserve_result::Pending:
    Wait.State = wait_state::Queued;
    Wait.RetryAt = Now + Wait.RetryMs;
    Wait.RetryMs = std::min(2 * Wait.RetryMs, MaxRetryMs);
    return;
  case reserve_result::Unavailable:
    return askNext(Wait);
  }
}

void pooled_budget::avoid(holder_link &Link, bool Responded) {
  const int Doublings = std::min(Link.Failures, 4);
  ++Link.Failures;
  const int AvoidMs = std::min(MinAvoidMs << Doublings, MaxAvoidMs);
  Link.AvoidUntil = Clock.monotonic() + AvoidMs;
  Listener.onHolderAvoided(Link.Holder.Instance, Responded, AvoidMs);
}

// Without a response the holder may have reserved the tokens, or may do so
// later: they are settled as unused, which excludes both.
void pooled_budget::onFailure(holder_link &Link, bool Responded) {
  avoid(Link, Responded);
  const std::vector<std::uint64_t> Numbers =
      std::exchange(Link.SentNumbers, std::vector<std::uint64_t>());
  for (std::uint64_t Number : Numbers) {
    waiting_call &Wait = Waiting.at(Number);
    if (!Responded)
      queueSettlement(Link.Holder.Instance, {Number, 0});
    if (Wait.IsWithdrawn)
      Waiting.erase(Number);
    else
      askNext(Wait);
  }
}

void pooled_budget::onResponse(std::string_view Holder,
                               const std::optional<pool_response> &Response) {
  holder_link &Link = Links.at(std::string(Holder));
  assert(Link.IsInFlight && "a response follows a message");
  const time_ms Now = Clock.monotonic();
  Link.IsInFlight = false;
  const bool MayBeOldConnection = !Response && !Link.IsRepeated &&
                                  Link.Failures == 0 &&
                                  Now - Link.SentAt < FastFailureMs;
  if (MayBeOldConnection) {
    Link.IsRepeated = true;
    return sendTo(Link, std::exchange(Link.SentNumbers, {}), Now);
  }
  Link.IsRepeated = false;
  if (Response) {
    Link.Unsettled.erase(Link.Unsettled.begin(),
                         Link.Unsettled.begin() +
                             static_cast<std::ptrdiff_t>(Link.SentSettlements));
    Link.SettleAt = Now + SettleDelayMs;
  }
  Link.SentSettlements = 0;
  const bool IsComplete = Response && Response->IsServing &&
                          Response->Results.size() == Link.SentNumbers.size();
  if (!IsComplete) {
    onFailure(Link, Response.has_value());
  } else {
    Link.Failures = 0;
    const std::vector<std::uint64_t> Numbers =
        std::exchange(Link.SentNumbers, std::vector<std::uint64_t>());
    for (std::size_t I = 0; I < Numbers.size(); ++I)
      onResult(Numbers[I], Response->Results[I]);
  }
  Listener.onBudgetChanged();
  sendDue(Now);
}

//---------------------------------------------------------------------------
// Sending
//---------------------------------------------------------------------------

void pooled_budget::sendTo(holder_link &Link,
                           std::vector<std::uint64_t> Numbers, time_ms Now) {
  pool_request Request{Instance, Incarnation, {}, {}, {}};
  Link.SentSettlements = std::min(Link.Unsettled.size(), MaxMessageItems);
  Request.Settled.assign(Link.Unsettled.begin(),
                         Link.Unsettled.begin() +
                             static_cast<std::ptrdiff_t>(Link.SentSettlements));
  for (std::uint64_t Number : Numbers) {
    waiting_call &Wait = Waiting.at(Number);
    Wait.State = wait_state::Sent;
    Request.Wanted.push_back({Number, Wait.Account, Wait.Bound});
  }
  Link.SentNumbers = std::move(Numbers);
  Link.IsInFlight = true;
  Link.SentAt = Now;
  Transport.send(Link.Holder, Request);
}

// What is due to a holder that has left will never be confirmed.
void pooled_budget::dropInactive() {
  for (auto Next = Links.begin(); Next != Links.end();) {
    holder_link &Link = Next->second;
    if (Link.IsInFlight || Directory.isActive(Next->first)) {
      ++Next;
      continue;
    }
    for (std::size_t I = 0; I < Link.Unsettled.size(); ++I)
      Listener.onSettlementDropped(Next->first);
    Link.Unsettled.clear();
    ++Next;
  }
}

void pooled_budget::sendDue(time_ms Now) {
  dropInactive();
  std::map<std::string, std::vector<std::uint64_t>, std::less<>> Due;
  for (auto &[Number, Wait] : Waiting) {
    if (Wait.State != wait_state::Queued || Now < Wait.RetryAt)
      continue;
    holder_link &Link = Links[Wait.Holder.Instance];
    Link.Holder = Wait.Holder;
    std::vector<std::uint64_t> &Numbers = Due[Wait.Holder.Instance];
    if (!Link.IsInFlight && Numbers.size() < MaxMessageItems)
      Numbers.push_back(Number);
  }
  for (auto &[Name, Link] : Links) {
    if (Link.IsInFlight)
      continue;
    const auto Numbers = Due.find(Name);
    const bool HasRequests = Numbers != Due.end() && !Numbers->second.empty();
    const bool MustSettle = !Link.Unsettled.empty() && Now >= Link.SettleAt &&
                            Now >= Link.AvoidUntil;
    if (HasRequests)
      sendTo(Link, std::move(Numbers->second), Now);
    else if (MustSettle)
      sendTo(Link, {}, Now);
  }
}

time_ms pooled_budget::nextTimer() const {
  time_ms Next = Clock.monotonic() + SettleDelayMs;
  for (const auto &[Number, Wait] : Waiting) {
    const auto Link = Links.find(Wait.Holder.Instance);
    const bool AwaitsResponse = Link != Links.end() && Link->second.IsInFlight;
    if (Wait.State == wait_state::Queued && !AwaitsResponse)
      Next = std::min(Next, Wait.RetryAt);
  }
  return Next;
}

std::size_t pooled_budget::unsettledCount() const {
  std::size_t Count = 0;
  for (const auto &[Name, Link] : Links)
    if (Clock.monotonic() >= Link.AvoidUntil)
      Count += Link.Unsettled.size();
  return Count;
}

} // namespace tamarack::pools
