// Schedules requests on endpoints: account limits, choice of an endpoint,
// queueing for capacity, retry budgets.
//
// Lock order: request_scheduler::Lock before that of config_service. No other
// lock is taken and no call to an endpoint or a peer is made while it is held.
#pragma once

#include "config_service.hpp"
#include "member_service.hpp"

#include "tamarack/calls.hpp"
#include "tamarack/config.hpp"
#include "tamarack/routing.hpp"

#include <condition_variable>
#include <mutex>
#include <set>

namespace tamarack::daemon {

// One request that needs an endpoint.
struct scheduling_request {
  const config::account *Account = nullptr;
  std::string Pool;
  std::string Subject;                // Model or service.
  std::uint64_t PromptPrefixHash = 0; // 0 if there is no prompt.
  double MaxCost = 1;                 // Upper bound in prepaid tokens; weighs
                                      // the account's turn in the queue.
  time_ms LatestStart = 0;            // Monotonic; refused afterwards.
};

// Admits requests by account limits, places them on endpoints, and queues them
// while all endpoints of a pool are full. The configuration that is in force
// when an endpoint is chosen decides which ones a pool has, not the one in
// force when the request came. Thread-safe.
class request_scheduler final : public endpoint_gossip {
public:
  request_scheduler(std::string Zone, routing::balancing_policy &ChoicePolicy,
                    std::size_t MaxQueueLength, config_service &Config,
                    clock &Clock, random_source &Random);

  // Admits a request of at most Tokens within the limits of the account. Throws
  // RateLimited.
  void admit(const config::account &Account, double Tokens);
  // Ends an admission and returns Unused tokens to the account's limit.
  void releaseAdmission(std::string_view Account, double Unused);

  // Blocks until an endpoint of the pool has capacity and returns the endpoint,
  // which counts as sent to until onAttemptEnded. Endpoints in Tried are chosen
  // only if there is no other. Throws NoEndpoint, Overloaded or
  // DeadlineTooShort.
  config::endpoint acquireEndpoint(const scheduling_request &Request,
                                   const std::set<std::string> &Tried);
  // Ends an attempt at an endpoint that acquireEndpoint returned. FirstTokenMs
  // is the time from the send to the first byte, 0 if there was none.
  void onAttemptEnded(std::string_view Endpoint, routing::attempt_result Result,
                      double FirstTokenMs);

  // Adds the credit of one request, a fraction of a retry, to the budget of its
  // model or service.
  void creditRetryBudget(std::string_view Subject);
  // Spends one retry; false if the budget has none left.
  bool tryRetry(std::string_view Subject);

  void onLoadReport(std::string_view Endpoint,
                    const routing::load_report &Report);
  // Sets the number of daemons that share the zone's endpoints. If the version
  // is new, drops the state of endpoints that are no longer configured.
  void applyConfiguration(const config::configuration &Configuration,
                          int Daemons);

  // endpoint_gossip
  std::vector<fleet::endpoint_load> freshestLoads() override;
  void onPeerLoads(std::span<const fleet::endpoint_load> Loads) override;
  std::vector<std::string> leavingEndpoints() override;
  void onPeerLeaving(std::span<const std::string> Endpoints) override;

private:
  struct waiting_request;
  // Requests that wait for capacity in one pool.
  struct pool_queue {
    routing::admission_queue Queue;
    std::map<routing::admission_id, waiting_request *> WaitingRequests;
    explicit pool_queue(std::size_t MaxLength) : Queue(MaxLength) {}
  };

  std::optional<config::endpoint>
  tryChooseEndpoint(const scheduling_request &Request,
                    const std::set<std::string> &Tried);
  void serveAllQueues();
  void serveQueue(pool_queue &Pool);
  config::endpoint waitForCapacity(const scheduling_request &Request,
                                   const std::set<std::string> &Tried,
                                   std::unique_lock<std::mutex> &Guard);

  std::string Zone;
  routing::balancing_policy &ChoicePolicy;
  std::size_t MaxQueueLength;
  config_service &Config;
  clock &Clock;
  random_source &Random;
  std::mutex Lock; // Guards all members below.
  routing::endpoint_tracker EndpointTracker;
  std::map<std::uint32_t, std::string> EndpointNamesByHash; // Own zone only.
  std::uint64_t ConfigurationVersion = 0;                   // Last one applied.
  routing::account_limiter AccountLimiter;
  std::map<std::string, pool_queue, std::less<>> PoolQueues; // By pool.
  // By model or service.
  std::map<std::string, routing::retry_budget, std::less<>> RetryBudgets;
  routing::admission_id LastStartId = 0;
};

} // namespace tamarack::daemon
