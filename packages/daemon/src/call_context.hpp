// State and helpers for one HTTP request of a caller, and the services of the
// daemon that all requests share.
#pragma once

#include "budget_client.hpp"
#include "config_service.hpp"
#include "request_scheduler.hpp"

#include "tamarack/calls.hpp"
#include "tamarack/report.hpp"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace tamarack::daemon {

// Limits on the requests of callers, from the settings.
struct request_limits {
  std::int64_t MaxBodyBytes = 1 << 20;
  int DefaultQueueWaitMs = 10'000; // Without X-Deadline-Ms.
};

// An execution_registry behind a lock. Thread-safe.
class locked_execution_registry {
public:
  explicit locked_execution_registry(std::size_t MaxResponseBytes);
  calls::begin_result begin(const ledger::request_key &Key, time_ms MintedAt,
                            time_ms Now);
  void cancelStart(const ledger::request_key &Key);
  void finish(const ledger::request_key &Key, calls::stored_response Response);
  void finishWithUnknownOutcome(const ledger::request_key &Key);

private:
  std::mutex Lock; // Guards Registry. No other lock is taken while Lock is
                   // held.
  calls::execution_registry Registry;
};

// Services of the daemon that all requests share. All are thread-safe, except
// BurnTracker, which BurnTrackerLock guards.
struct call_services {
  ledger::executor_id SelfExecutor; // This daemon, as executor of requests.
  request_limits Limits;
  config_service &Config;
  request_scheduler &Scheduler;
  budget_client &BudgetClient;
  member_service &Members;
  locked_execution_registry &ExecutionRegistry;
  endpoint_client &EndpointClient;
  report::metrics_registry &Metrics;
  std::mutex &BurnTrackerLock; // Guards BurnTracker.
  report::burn_tracker &BurnTracker;
  clock &Clock;
  random_source &Random;
};

// One request of a caller: the HTTP exchange, the client account and the
// request key. Used by the thread that serves the request.
class call_context {
public:
  // Finds the client account by the bearer key. Throws Unauthorized.
  call_context(call_services &Services, Poco::Net::HTTPServerRequest &Request,
               Poco::Net::HTTPServerResponse &Response);

  // Reads the request body. Throws BodyTooLarge above MaxBodyBytes, and
  // InvalidRequest if the body is shorter than its Content-Length.
  std::string readBody();

  // Sets IdempotencyKey from the header Idempotency-Key, or mints a key if
  // there is none, and adds the key to the response as X-Request-Id. The key
  // minted for a not-repeatable request is a ticket. Throws InvalidRequest if
  // the key of the caller is too long.
  void assignRequestKey(bool Repeatable);

  // Name of the pool in the routing rule that matches the subject and the
  // labels. Throws NoRule.
  std::string findPool(std::string_view Subject) const;

  // True if the request has the header X-Repeatable: false.
  bool isMarkedNotRepeatable() const;
  // True if another daemon forwarded the request to this daemon as its
  // executor. Throws OutcomeUnknown if the request was forwarded to an earlier
  // incarnation of this daemon.
  bool isForwarded() const;
  // Monotonic time until which the request may wait for an endpoint: from the
  // header X-Deadline-Ms, else from the default. Throws InvalidRequest.
  time_ms latestStart() const;

  // Sends a complete response with its head.
  void sendCompleteResponse(int Status, const std::string &ContentType,
                            std::string_view Body);

  // Counts the request for the burn rates of the subject. WithinObjective is
  // false for a request that uses up error budget.
  void recordOutcome(std::string_view Subject, bool WithinObjective);

  call_services &Services;
  Poco::Net::HTTPServerRequest &Request;
  Poco::Net::HTTPServerResponse &Response;
  std::shared_ptr<const config::configuration> Configuration;
  const config::account *Account = nullptr;
  calls::idempotency_key IdempotencyKey;
  ledger::request_key RequestKey; // Hash of account and IdempotencyKey.
  time_ms StartedAt = 0;          // Monotonic.
};

// Reads the complete body of a response that is not streamed. Throws
// endpoint_disconnected if the connection breaks or the body is larger than 64
// MiB.
std::string readCompleteBody(response_source &Source);

// Digest of the key in "Authorization: Bearer <key>", empty without that
// header.
std::string bearerKeyDigest(const Poco::Net::HTTPServerRequest &Request);

// Sends an error response. Does nothing if the head of a response was already
// sent.
void sendError(Poco::Net::HTTPServerResponse &Response,
               const calls::call_error &Error);

} // namespace tamarack::daemon
