// Schedules requests on endpoints: account limits, choice of an endpoint,
// queueing for capacity, retry budgets.
#include "request_scheduler.hpp"

#include <algorithm>

namespace tamarack::daemon {

namespace {
constexpr std::size_t MaxReportsPerMessage = 32; // In one gossip message.
} // namespace

// A request that waits for capacity, on the stack of its thread. Guarded by
// request_scheduler::Lock.
struct request_scheduler::waiting_request {
  const scheduling_request &Request;
  const std::set<std::string> &Tried;
  std::condition_variable DecidedCondition;
  std::optional<config::endpoint> Endpoint;
  std::optional<routing::queue_refusal> Refusal;

  bool isDecided() const { return Endpoint || Refusal; }
};

request_scheduler::request_scheduler(std::string Zone,
                                     routing::balancing_policy &ChoicePolicy,
                                     std::size_t MaxQueueLength,
                                     config_service &Config, clock &Clock,
                                     random_source &Random)
    : Zone(std::move(Zone)), ChoicePolicy(ChoicePolicy),
      MaxQueueLength(MaxQueueLength), Config(Config), Clock(Clock),
      Random(Random), EndpointTracker(this->Zone) {}

void request_scheduler::admit(const config::account &Account, double Tokens) {
  const std::lock_guard Guard(Lock);
  const int WaitMs = AccountLimiter.admit(Account, Tokens, Clock.monotonic());
  if (WaitMs > 0)
    throw calls::call_error(calls::error_kind::RateLimited, {}, WaitMs);
}

void request_scheduler::releaseAdmission(std::string_view Account,
                                         double Unused) {
  const std::lock_guard Guard(Lock);
  AccountLimiter.release(Account, Unused);
}

// Called with Lock held. Empty if every endpoint of the pool is full; throws
// NoEndpoint if none takes work at all.
std::optional<config::endpoint>
request_scheduler::tryChooseEndpoint(const scheduling_request &Request,
                                     const std::set<std::string> &Tried) {
  const std::shared_ptr<const config::configuration> Configuration =
      Config.activeConfiguration();
  const std::span<const config::endpoint *const> PoolMembers =
      Configuration->members(Request.Pool);
  const time_ms Now = Clock.monotonic();
  const std::span<const config::endpoint *const> SameZoneMembers =
      Configuration->membersInZone(Request.Pool, Zone);
  const std::vector<const config::endpoint *> SampledMembers =
      routing::sampleMembers(SameZoneMembers, PoolMembers, Random);
  const std::vector<routing::candidate> Candidates =
      EndpointTracker.eligibleCandidates(SameZoneMembers, SampledMembers, Tried,
                                         Now);
  if (Candidates.empty() &&
      EndpointTracker.candidates(PoolMembers, Now).empty())
    throw calls::call_error(calls::error_kind::NoEndpoint);
  if (Candidates.empty())
    return std::nullopt;
  const std::size_t Index =
      ChoicePolicy.choose(Candidates, Request.PromptPrefixHash, Random);
  const config::endpoint &Chosen = *Candidates[Index].Endpoint;
  EndpointTracker.onRequestSent(Chosen.Name);
  return Chosen;
}

config::endpoint
request_scheduler::acquireEndpoint(const scheduling_request &Request,
                                   const std::set<std::string> &Tried) {
  std::unique_lock Guard(Lock);
  auto Pool = PoolQueues.find(Request.Pool);
  if (Pool == PoolQueues.end())
    Pool = PoolQueues.try_emplace(Request.Pool, MaxQueueLength).first;
  if (Pool->second.Queue.size() == 0) {
    std::optional<config::endpoint> Endpoint =
        tryChooseEndpoint(Request, Tried);
    if (Endpoint)
      return std::move(*Endpoint);
  }
  return waitForCapacity(Request, Tried, Guard);
}

config::endpoint
request_scheduler::waitForCapacity(const scheduling_request &Request,
                                   const std::set<std::string> &Tried,
                                   std::unique_lock<std::mutex> &Guard) {
  pool_queue &Pool = PoolQueues.find(Request.Pool)->second;
  waiting_request Waiter{Request, Tried, {}, {}, {}};
  const routing::admission_id Id = ++LastStartId;
  routing::queued_request StartRequest;
  StartRequest.Account = Request.Account->Name;
  StartRequest.Priority = Request.Account->Priority;
  StartRequest.Cost = Request.MaxCost;
  StartRequest.Deadline = Request.LatestStart;
  Waiter.Refusal = Pool.Queue.push(Id, StartRequest, Clock.monotonic());
  if (!Waiter.Refusal) {
    Pool.WaitingRequests.emplace(Id, &Waiter);
    serveQueue(Pool);
    const time_ms RemainingMs = Request.LatestStart - Clock.monotonic();
    Waiter.DecidedCondition.wait_for(Guard,
                                     std::chrono::milliseconds(RemainingMs),
                                     [&Waiter] { return Waiter.isDecided(); });
    Pool.WaitingRequests.erase(Id);
    Pool.Queue.cancel(Id);
  }
  if (Waiter.Endpoint)
    return *Waiter.Endpoint;
  const int RetryAfterMs =
      Waiter.Refusal ? Waiter.Refusal->RetryAfterMs
                     : Pool.Queue.expectedWaitMs(Request.Account->Priority);
  const bool Expired = !Waiter.Refusal || Waiter.Refusal->DeadlineUnreachable;
  throw calls::call_error(Expired ? calls::error_kind::DeadlineTooShort
                                  : calls::error_kind::Overloaded,
                          {}, RetryAfterMs);
}

// Called with Lock held after endpoints may have gained capacity. Starts as
// many waiting requests as fit.
void request_scheduler::serveAllQueues() {
  for (auto &[Name, Pool] : PoolQueues)
    serveQueue(Pool);
}

// Called with Lock held. Refuses expired requests of the queue, then starts
// waiting ones in order until the endpoints are full.
void request_scheduler::serveQueue(pool_queue &Pool) {
  const time_ms Now = Clock.monotonic();
  for (const routing::queue_refusal &Refusal : Pool.Queue.takeRefusals(Now)) {
    auto Found = Pool.WaitingRequests.find(Refusal.Id);
    if (Found == Pool.WaitingRequests.end())
      continue;
    Found->second->Refusal = Refusal;
    Found->second->DecidedCondition.notify_one();
  }
  while (const std::optional<routing::admission_id> Id = Pool.Queue.peek(Now)) {
    waiting_request &Waiter = *Pool.WaitingRequests.find(*Id)->second;
    try {
      Waiter.Endpoint = tryChooseEndpoint(Waiter.Request, Waiter.Tried);
    } catch (const calls::call_error &) { // No endpoint takes work any longer.
      Waiter.Refusal = routing::queue_refusal{*Id, false, 0};
    }
    if (!Waiter.isDecided())
      return;
    Pool.Queue.pop(Now);
    Waiter.DecidedCondition.notify_one();
  }
}

void request_scheduler::onAttemptEnded(std::string_view Endpoint,
                                       routing::attempt_result Result,
                                       double FirstTokenMs) {
  const std::lock_guard Guard(Lock);
  EndpointTracker.onRequestEnded(Endpoint, Result, FirstTokenMs,
                                 Clock.monotonic());
  serveAllQueues();
}

void request_scheduler::creditRetryBudget(std::string_view Subject) {
  const std::lock_guard Guard(Lock);
  RetryBudgets[std::string(Subject)].onRequest();
}

bool request_scheduler::tryRetry(std::string_view Subject) {
  const std::lock_guard Guard(Lock);
  return RetryBudgets[std::string(Subject)].tryRetry();
}

void request_scheduler::onLoadReport(std::string_view Endpoint,
                                     const routing::load_report &Report) {
  const std::lock_guard Guard(Lock);
  EndpointTracker.onLoadReport(Endpoint, Report, Clock.monotonic());
  serveAllQueues();
}

void request_scheduler::applyConfiguration(
    const config::configuration &Configuration, int Daemons) {
  const std::lock_guard Guard(Lock);
  EndpointTracker.setZoneDaemonCount(Daemons);
  if (Configuration.Version == ConfigurationVersion)
    return;
  ConfigurationVersion = Configuration.Version;
  EndpointTracker.removeUnconfigured(Configuration);
  EndpointNamesByHash.clear();
  for (const auto &[Name, Endpoint] : Configuration.Endpoints)
    if (Endpoint.Zone == Zone)
      EndpointNamesByHash[fleet::endpointHash(Name)] = Name;
  serveAllQueues();
}

std::vector<fleet::endpoint_load> request_scheduler::freshestLoads() {
  const std::lock_guard Guard(Lock);
  std::vector<fleet::endpoint_load> Result;
  for (const routing::endpoint_report &Known :
       EndpointTracker.newestReports(MaxReportsPerMessage, Clock.monotonic()))
    Result.push_back({fleet::endpointHash(Known.Endpoint), Known.Report.Running,
                      Known.Report.Waiting, Known.Report.AgeMs,
                      Known.Report.Leaving});
  return Result;
}

void request_scheduler::onPeerLoads(
    std::span<const fleet::endpoint_load> Loads) {
  const std::lock_guard Guard(Lock);
  const time_ms Now = Clock.monotonic();
  for (const fleet::endpoint_load &Load : Loads) {
    auto Name = EndpointNamesByHash.find(Load.EndpointHash);
    if (Name != EndpointNamesByHash.end())
      EndpointTracker.onLoadReport(
          Name->second, {Load.Running, Load.Waiting, Load.Leaving, Load.AgeMs},
          Now);
  }
  serveAllQueues();
}

std::vector<std::string> request_scheduler::leavingEndpoints() {
  const std::lock_guard Guard(Lock);
  return EndpointTracker.leavingEndpoints(Clock.monotonic());
}

void request_scheduler::onPeerLeaving(std::span<const std::string> Endpoints) {
  const std::lock_guard Guard(Lock);
  for (const std::string &Endpoint : Endpoints)
    EndpointTracker.onPeerReportedLeaving(Endpoint, Clock.monotonic());
}

} // namespace tamarack::daemon
