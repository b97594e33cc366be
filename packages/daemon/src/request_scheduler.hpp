// Starts requests on endpoints: choice, waiting for room, limits, retries.
//
// Lock is never held while another lock is taken or a call is made.
#pragma once

#include "member_service.hpp"

#include "tamarack/calls.hpp"
#include "tamarack/config.hpp"
#include "tamarack/routing.hpp"

#include <condition_variable>
#include <mutex>
#include <set>

namespace tamarack::daemon {

// What a request tells about itself before it is dispatched.
struct scheduling_request {
  const config::configuration *Configuration = nullptr; // Kept by the caller.
  const config::account *Account = nullptr;
  std::string Pool;
  std::string Subject;                // Model or service, for the retry budget.
  std::uint64_t PromptPrefixHash = 0; // Hash of the prompt's beginning.
  double MaxCost = 1;                 // Prepaid tokens at most.
  time_ms LatestStart = 0;            // Monotonic: the latest start.
};

class request_scheduler final : public endpoint_gossip {
public:
  request_scheduler(std::string Zone, routing::choice_policy &ChoicePolicy,
                    std::size_t MaxQueueLength, clock &Clock,
                    random_source &Random);

  // Admits by the account's limits or throws RateLimited.
  void admit(const config::account &Account, double Tokens);
  void releaseAdmission(std::string_view Account, double Unused);

  // Waits for room and returns the endpoint to use; it counts as sent. Tried
  // endpoints are used again only if there is no other. Throws NoEndpoint,
  // Overloaded or DeadlineTooShort.
  config::endpoint acquireEndpoint(const scheduling_request &Request,
                                   const std::set<std::string> &Tried);
  void onAttemptEnded(std::string_view Endpoint, routing::attempt_result Result,
                      double FirstTokenMs);

  // Every request earns a part of a retry for its subject.
  void creditRetryBudget(std::string_view Subject);
  bool tryRetry(std::string_view Subject);

  void onLoadReport(std::string_view Endpoint,
                    const routing::load_report &Report);
  // Takes over the endpoints of a new configuration and the number of daemons
  // in the zone.
  void applyConfiguration(const config::configuration &Configuration,
                          int Daemons);

  std::vector<fleet::endpoint_load> freshestLoads() override;
  void onPeerLoads(std::span<const fleet::endpoint_load> Loads) override;

  std::vector<std::string> leavingEndpoints() override;
  void onPeerLeaving(std::span<const std::string> Endpoints) override;

private:
  struct waiting_request;
  struct pool_queue {
    routing::start_queue Queue;
    std::map<routing::start_id, waiting_request *> WaitingRequests;
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
  routing::choice_policy &ChoicePolicy;
  std::size_t MaxQueueLength;
  clock &Clock;
  random_source &Random;
  std::mutex Lock; // Guards all below.
  routing::endpoint_board EndpointTracker;
  std::map<std::uint32_t, std::string> EndpointNamesByHash; // Of the own zone.
  std::uint64_t ConfigurationVersion = 0; // Of the configuration taken over.
  routing::account_gate AccountLimiter;
  std::map<std::string, pool_queue, std::less<>> PoolQueues;
  std::map<std::string, routing::retry_budget, std::less<>> RetryBudgets;
  routing::start_id LastStartId = 0;
};

} // namespace tamarack::daemon
