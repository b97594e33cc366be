// Starts requests on endpoints: choice, waiting for room, limits, retries.
#include "dispatcher.hpp"

#include <algorithm>

namespace tamarack::daemon {

namespace {
constexpr std::size_t LoadsTold = 32; // Reports in one message to a peer.
} // namespace

// Lives on the stack of the waiting request; guarded by the lock.
struct dispatcher::waiter {
  const dispatch_request &Request;
  const std::set<std::string> &Tried;
  std::condition_variable Wake;
  std::optional<config::endpoint> Endpoint;
  std::optional<routing::start_refusal> Refusal;

  bool done() const { return Endpoint || Refusal; }
};

dispatcher::dispatcher(std::string Zone, routing::choice_policy &Policy,
                       std::size_t QueueLength, clock &Clock,
                       random_source &Random)
    : Zone(std::move(Zone)), Policy(Policy), QueueLength(QueueLength),
      Clock(Clock), Random(Random), Board(this->Zone) {}

void dispatcher::enter(const config::account &Account, double Tokens) {
  const std::lock_guard Guard(Lock);
  const int WaitMs = Gate.enter(Account, Tokens, Clock.monotonic());
  if (WaitMs > 0)
    throw calls::call_error(calls::error_kind::RateLimited, {}, WaitMs);
}

void dispatcher::leave(std::string_view Account, double Unused) {
  const std::lock_guard Guard(Lock);
  Gate.leave(Account, Unused);
}

// Called with the lock held. Nothing if every endpoint is full.
std::optional<config::endpoint>
dispatcher::pick(const dispatch_request &Request,
                 const std::set<std::string> &Tried) {
  const config::configuration &Configuration = *Request.Configuration;
  const std::span<const config::endpoint *const> All =
      Configuration.members(Request.Pool);
  const time_ms Now = Clock.monotonic();
  const std::span<const config::endpoint *const> Near =
      Configuration.membersInZone(Request.Pool, Zone);
  const std::vector<const config::endpoint *> Wide =
      routing::sampleMembers(Near, All, Random);
  const std::vector<routing::candidate> Candidates =
      Board.startable(Near, Wide, Tried, Now);
  if (Candidates.empty() && Board.candidates(All, Now).empty())
    throw calls::call_error(calls::error_kind::NoEndpoint);
  if (Candidates.empty())
    return std::nullopt;
  const std::size_t Index = Policy.choose(Candidates, Request.Prefix, Random);
  const config::endpoint &Chosen = *Candidates[Index].Endpoint;
  Board.onSent(Chosen.Name);
  return Chosen;
}

config::endpoint dispatcher::start(const dispatch_request &Request,
                                   const std::set<std::string> &Tried) {
  std::unique_lock Guard(Lock);
  auto Pool = Pools.find(Request.Pool);
  if (Pool == Pools.end())
    Pool = Pools.try_emplace(Request.Pool, QueueLength).first;
  if (Pool->second.Queue.size() == 0) {
    std::optional<config::endpoint> Endpoint = pick(Request, Tried);
    if (Endpoint)
      return std::move(*Endpoint);
  }
  return waitForRoom(Request, Tried, Guard);
}

config::endpoint dispatcher::waitForRoom(const dispatch_request &Request,
                                         const std::set<std::string> &Tried,
                                         std::unique_lock<std::mutex> &Guard) {
  pool_queue &Pool = Pools.find(Request.Pool)->second;
  waiter Waiter{Request, Tried, {}, {}, {}};
  const routing::start_id Id = ++LastStart;
  routing::start_request Start;
  Start.Account = Request.Account->Name;
  Start.Priority = Request.Account->Priority;
  Start.Cost = Request.Cost;
  Start.Deadline = Request.Deadline;
  Waiter.Refusal = Pool.Queue.push(Id, Start, Clock.monotonic());
  if (!Waiter.Refusal) {
    Pool.Waiters.emplace(Id, &Waiter);
    pumpPool(Pool);
    const time_ms Left = Request.Deadline - Clock.monotonic();
    Waiter.Wake.wait_for(Guard, std::chrono::milliseconds(Left),
                         [&Waiter] { return Waiter.done(); });
    Pool.Waiters.erase(Id);
    Pool.Queue.cancel(Id);
  }
  if (Waiter.Endpoint)
    return *Waiter.Endpoint;
  const int RetryMs =
      Waiter.Refusal ? Waiter.Refusal->RetryAfterMs
                     : Pool.Queue.expectedWaitMs(Request.Account->Priority);
  const bool Expired = !Waiter.Refusal || Waiter.Refusal->Expired;
  throw calls::call_error(Expired ? calls::error_kind::DeadlineTooShort
                                  : calls::error_kind::Overloaded,
                          {}, RetryMs);
}

// Called with the lock held: room may have come up.
void dispatcher::pump() {
  for (auto &[Name, Pool] : Pools)
    pumpPool(Pool);
}

void dispatcher::pumpPool(pool_queue &Pool) {
  const time_ms Now = Clock.monotonic();
  for (const routing::start_refusal &Refusal : Pool.Queue.takeRefused(Now)) {
    auto Found = Pool.Waiters.find(Refusal.Id);
    if (Found == Pool.Waiters.end())
      continue;
    Found->second->Refusal = Refusal;
    Found->second->Wake.notify_one();
  }
  while (const std::optional<routing::start_id> Id = Pool.Queue.peek(Now)) {
    waiter &Waiter = *Pool.Waiters.find(*Id)->second;
    try {
      Waiter.Endpoint = pick(Waiter.Request, Waiter.Tried);
    } catch (const calls::call_error &) { // No endpoint takes work any more.
      Waiter.Refusal = routing::start_refusal{*Id, false, 0};
    }
    if (!Waiter.done())
      return;
    Pool.Queue.pop(Now);
    Waiter.Wake.notify_one();
  }
}

void dispatcher::ended(std::string_view Endpoint,
                       routing::attempt_result Result, double FirstTokenMs) {
  const std::lock_guard Guard(Lock);
  Board.onEnded(Endpoint, Result, FirstTokenMs, Clock.monotonic());
  pump();
}

void dispatcher::earnRetry(std::string_view Subject) {
  const std::lock_guard Guard(Lock);
  Retries[std::string(Subject)].onRequest();
}

bool dispatcher::tryRetry(std::string_view Subject) {
  const std::lock_guard Guard(Lock);
  return Retries[std::string(Subject)].tryRetry();
}

void dispatcher::onReport(std::string_view Endpoint,
                          const routing::load_report &Report) {
  const std::lock_guard Guard(Lock);
  Board.onReport(Endpoint, Report, Clock.monotonic());
  pump();
}

void dispatcher::useConfiguration(const config::configuration &Configuration,
                                  int Daemons) {
  const std::lock_guard Guard(Lock);
  Board.setDaemons(Daemons);
  if (Configuration.Version == Version)
    return;
  Version = Configuration.Version;
  Board.keepOnly(Configuration);
  NameOfHash.clear();
  for (const auto &[Name, Endpoint] : Configuration.Endpoints)
    if (Endpoint.Zone == Zone)
      NameOfHash[fleet::endpointHash(Name)] = Name;
  pump();
}

std::vector<fleet::endpoint_load> dispatcher::loads() {
  const std::lock_guard Guard(Lock);
  std::vector<fleet::endpoint_load> Result;
  for (const routing::known_report &Known :
       Board.freshest(LoadsTold, Clock.monotonic()))
    Result.push_back({fleet::endpointHash(Known.Endpoint), Known.Report.Running,
                      Known.Report.Waiting, Known.Report.AgeMs,
                      Known.Report.Leaving});
  return Result;
}

void dispatcher::onLoads(std::span<const fleet::endpoint_load> Loads) {
  const std::lock_guard Guard(Lock);
  const time_ms Now = Clock.monotonic();
  for (const fleet::endpoint_load &Load : Loads) {
    auto Name = NameOfHash.find(Load.EndpointHash);
    if (Name != NameOfHash.end())
      Board.onReport(Name->second,
                     {Load.Running, Load.Waiting, Load.Leaving, Load.AgeMs},
                     Now);
  }
  pump();
}

std::vector<std::string> dispatcher::leaving() {
  const std::lock_guard Guard(Lock);
  return Board.leaving(Clock.monotonic());
}

void dispatcher::onLeaving(std::span<const std::string> Endpoints) {
  const std::lock_guard Guard(Lock);
  for (const std::string &Endpoint : Endpoints)
    Board.onHeardLeaving(Endpoint, Clock.monotonic());
}

} // namespace tamarack::daemon
