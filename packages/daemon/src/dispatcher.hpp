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
struct dispatch_request {
  const config::configuration *Configuration = nullptr; // Kept by the caller.
  const config::account *Account = nullptr;
  std::string Pool;
  std::string Subject;      // Model or service, for the retry budget.
  std::uint64_t Prefix = 0; // Hash of the prompt's beginning.
  double Cost = 1;          // Prepaid tokens at most.
  time_ms Deadline = 0;     // Monotonic: the latest start.
};

class dispatcher final : public endpoint_exchange {
public:
  dispatcher(std::string Zone, routing::balancing_policy &Policy,
             std::size_t QueueLength, clock &Clock, random_source &Random);

  // Admits by the account's limits or throws RateLimited.
  void enter(const config::account &Account, double Tokens);
  void leave(std::string_view Account, double Unused);

  // Waits for room and returns the endpoint to use; it counts as sent. Tried
  // endpoints are used again only if there is no other. Throws NoEndpoint,
  // Overloaded or DeadlineTooShort.
  config::endpoint start(const dispatch_request &Request,
                         const std::set<std::string> &Tried);
  void ended(std::string_view Endpoint, routing::attempt_result Result,
             double FirstTokenMs);

  // Every request earns a part of a retry for its subject.
  void earnRetry(std::string_view Subject);
  bool tryRetry(std::string_view Subject);

  void onReport(std::string_view Endpoint, const routing::load_report &Report);
  // Takes over the endpoints of a new configuration and the number of daemons
  // in the zone.
  void useConfiguration(const config::configuration &Configuration,
                        int Daemons);

  std::vector<fleet::endpoint_load> loads() override;
  void onLoads(std::span<const fleet::endpoint_load> Loads) override;

  std::vector<std::string> leaving() override;
  void onLeaving(std::span<const std::string> Endpoints) override;

private:
  struct waiter;
  struct pool_queue {
    routing::admission_queue Queue;
    std::map<routing::admission_id, waiter *> Waiters;
    explicit pool_queue(std::size_t Largest) : Queue(Largest) {}
  };

  std::optional<config::endpoint> pick(const dispatch_request &Request,
                                       const std::set<std::string> &Tried);
  void pump();
  void pumpPool(pool_queue &Pool);
  config::endpoint waitForRoom(const dispatch_request &Request,
                               const std::set<std::string> &Tried,
                               std::unique_lock<std::mutex> &Guard);

  std::string Zone;
  routing::balancing_policy &Policy;
  std::size_t QueueLength;
  clock &Clock;
  random_source &Random;
  std::mutex Lock; // Guards all below.
  routing::endpoint_tracker Board;
  std::map<std::uint32_t, std::string> NameOfHash; // Of the own zone.
  std::uint64_t Version = 0; // Of the configuration taken over.
  routing::account_limiter Gate;
  std::map<std::string, pool_queue, std::less<>> Pools;
  std::map<std::string, routing::retry_budget, std::less<>> Retries;
  routing::admission_id LastStart = 0;
};

} // namespace tamarack::daemon
