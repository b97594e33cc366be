// What all kinds of calls share: one HTTP exchange with a caller, and the
// services of the daemon.
#pragma once

#include "budget_client.hpp"
#include "config_service.hpp"
#include "request_scheduler.hpp"

#include "tamarack/calls.hpp"
#include "tamarack/report.hpp"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace tamarack::daemon {

struct request_limits {
  std::int64_t LargestBody = 1 << 20; // Bytes.
  int QueueMs = 10'000;               // Default wait for a free endpoint.
};

// Runs of not-repeatable calls behind a lock.
class locked_execution_registry {
public:
  explicit locked_execution_registry(std::size_t LargestBytes);
  calls::begin_result begin(const money::request_key &Key, time_ms Minted,
                            time_ms Now);
  void undo(const money::request_key &Key);
  void finish(const money::request_key &Key, calls::stored_response Answer);
  void finishUnknown(const money::request_key &Key);

private:
  std::mutex Lock; // Guards Book; nothing else is taken under it.
  calls::execution_registry Book;
};

// Services shared by all requests. All are thread-safe.
struct call_services {
  money::runner_id Self;
  request_limits Limits;
  config_service &Config;
  request_scheduler &Dispatcher;
  budget_client &Money;
  member_service &Members;
  locked_execution_registry &Runs;
  endpoint_link &Endpoints;
  report::metrics_registry &Metrics;
  std::mutex &BurnLock; // Guards Burn.
  report::burn_tracker &Burn;
  clock &Clock;
  random_source &Random;
};

// One request of a caller: who asks, under which key, with which labels.
class call_context {
public:
  // Checks the bearer key. Throws Unauthorized.
  call_context(call_services &Services, Poco::Net::HTTPServerRequest &Request,
               Poco::Net::HTTPServerResponse &Response);

  // The body, at most LargestBody bytes. Throws BodyTooLarge.
  std::string readBody();

  // Sets the key from Idempotency-Key or mints one, and returns it in
  // X-Request-Id. A minted key of a not-repeatable call is a ticket.
  void setKey(bool Repeatable);

  // The rule's pool. Throws NoRule.
  std::string poolFor(std::string_view Subject) const;

  // True if the header says X-Repeatable: false.
  bool saysNotRepeatable() const;
  // True if another daemon sent the request on to its runner, this one. Throws
  // OutcomeUnknown if it was meant for an earlier incarnation.
  bool isForwarded() const;
  time_ms deadline() const; // Monotonic; X-Deadline-Ms or the default.

  // Sends a whole answer.
  void sendWhole(int Status, const std::string &ContentType,
                 std::string_view Body);

  // Counts the request for the burn report.
  void noteOutcome(std::string_view Subject, bool Good);

  call_services &Services;
  Poco::Net::HTTPServerRequest &Request;
  Poco::Net::HTTPServerResponse &Response;
  std::shared_ptr<const config::configuration> Configuration;
  const config::account *Account = nullptr;
  calls::idempotency_key Key;
  money::request_key Hash; // Of account and key.
  time_ms Started = 0;     // Monotonic.
};

// The whole body of an answer that is not streamed. Throws endpoint_broken if
// it breaks off or is absurdly large.
std::string readWhole(answer_source &Source);

// Key digest of "Authorization: Bearer <key>", empty if there is none.
std::string bearerDigest(const Poco::Net::HTTPServerRequest &Request);

// Sends an error if the head of an answer has not gone out yet.
void sendError(Poco::Net::HTTPServerResponse &Response,
               const calls::call_error &Error);

} // namespace tamarack::daemon
