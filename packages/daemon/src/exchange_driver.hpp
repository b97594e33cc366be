// Runs one relay::exchange with blocking connections, on the HTTP server's
// thread for the request.
#pragma once

#include "prepaid_admission.hpp"
#include "single_execution.hpp"

#include "tamarack/relay.hpp"

namespace tamarack::daemon {

// The parts of a call that differ between models and services.
struct exchange_request {
  std::string Subject; // Model or service, for routing rules and retries.
  endpoint_request EndpointRequest; // FreshConnection is set for each attempt.
  std::uint64_t PromptPrefixHash = 0; // 0 if there is none.
  ledger::amount MaxCost = 0;         // Prepaid tokens.
  bool IsStream = false;              // The response is an event stream.
};

// Reader of the responses to one call that can also build the request for the
// rest of a stream from the endpoint that sent the first part.
class resuming_response_reader : public relay::response_reader {
public:
  // Empty if the responses are not resumable streams.
  virtual std::optional<endpoint_request> resumptionRequest() const = 0;
};

// Runs one call: relay::exchange decides, this class sends and receives on
// blocking connections. Each attempt waits for an endpoint in the queues of
// request_scheduler, except that a stream whose first part was passed on is
// resumed at the same endpoint only. Not thread-safe.
class exchange_driver final : private relay::placement,
                              private relay::token_budget,
                              private relay::exchange_host {
public:
  exchange_driver(call_context &Context, exchange_request Request,
                  single_execution &Execution, prepaid_admission &Admission,
                  resuming_response_reader &Reader);
  ~exchange_driver() override;
  exchange_driver(const exchange_driver &) = delete;
  exchange_driver &operator=(const exchange_driver &) = delete;

  // Returns once the caller has the final response or is gone. Throws
  // call_error if no part of a response has been passed on.
  relay::exchange_report run();

  // Monotonic time of the first byte that any attempt received, 0 if none.
  time_ms firstByteAt() const { return CallFirstByteAt; }

private:
  struct response {
    int Status = 0;
    std::string ContentType;
    std::string Body;
  };

  // relay::placement
  std::optional<relay::endpoint_choice>
  choose(const relay::call &Call, const std::set<std::string> &Tried,
         time_ms Now) override;
  void onSent(const relay::call &Call, std::string_view Endpoint,
              time_ms Now) override;
  void onFirstByte(const relay::call &Call, std::string_view Endpoint,
                   time_ms Now) override;
  void onEnded(const relay::call &Call, std::string_view Endpoint,
               relay::attempt_outcome End, time_ms Now) override;
  bool tryRetry(std::string_view Service, time_ms Now) override;
  relay::placement_refusal refusal(const relay::call &Call) const override;

  // relay::token_budget: prepaid_admission has reserved the tokens before the
  // exchange starts.
  relay::reserve_result reserve(const relay::call &Call) override;
  bool settle(const relay::call &Call, std::int64_t Used) override;

  // relay::exchange_host
  void startAttempt(const relay::endpoint_choice &To,
                    const relay::send_options &Options) override;
  void cancelAttempt() override;
  void beginResponse(const relay::response_head &Head) override;
  void forwardEvents(std::string_view Bytes) override;
  void endResponse() override {}
  void sendCompleteResponse(const relay::response_head &Head,
                            std::string Body) override;
  void abortResponse() override;
  void refuse(relay::error_kind Kind, int RetryAfterMs) override;

  relay::call makeCall() const;
  void advanceExchange();
  void sendAttempt();
  void readChunk();
  void releaseAcquiredEndpoint();
  relay::response_head makeResponseHead(const response_source &Source) const;
  time_ms monotonicNow() const { return Context.Services.Clock.monotonic(); }

  call_context &Context;
  exchange_request Request;
  single_execution &Execution;
  prepaid_admission &Admission;
  resuming_response_reader &Reader;
  relay::no_stream_origins Origins;     // Callers get the rest of no stream.
  memory::memory_budget ResponseMemory; // Of this call alone.
  relay::exchange Exchange;

  std::optional<config::endpoint> AcquiredEndpoint; // No request was sent yet.
  config::endpoint AttemptEndpoint;                 // Of the latest attempt.
  bool NeedsFreshConnection = false;
  bool IsResuming = false; // The latest attempt resumes a stream.
  bool IsSendDue = false;  // The exchange has requested a send.
  std::unique_ptr<response_source> ResponseSource;
  std::vector<char> ReadBuffer;
  relay::placement_refusal PlacementRefusal;
  relay::attempt_outcome LastAttemptEnd = relay::attempt_outcome::Good;
  int ResumptionCount = 0;
  time_ms AttemptSentAt = 0;            // Monotonic.
  time_ms AttemptFirstByteAt = 0;       // Of the latest attempt, 0 if none.
  time_ms CallFirstByteAt = 0;          // Of all attempts, 0 if none.
  std::ostream *CallerStream = nullptr; // Set once the response head was sent.
  bool IsCallerGone = false;
  std::optional<calls::call_error> FinalError; // Thrown by run.
};

} // namespace tamarack::daemon
