// Readers of the responses of models, in the OpenAI format, and of plain
// services.
#pragma once

#include "exchange_driver.hpp"
#include "model_request.hpp"

namespace tamarack::daemon {

// Reads a completion, either an event stream or one JSON object. A stream is
// complete once its end marker has been received, and can be resumed only at
// the endpoint that started the stream.
class completion_response_reader final : public resuming_response_reader {
public:
  completion_response_reader(const model_request &Request,
                             std::string RequestId, const clock &Clock,
                             report::metrics_registry &Metrics);

  void restart() override;
  bool onHead(const relay::response_head &Head,
              std::string_view Endpoint) override;
  relay::event_action onEvent(const relay::stream_event &Event) override;
  bool onCompleteBody(const relay::response_head &Head,
                      std::string_view Body) override;
  bool isComplete() const override { return Validator.isComplete(); }
  bool canResume(relay::call_kind Kind) const override;
  std::string lastEventId() const override;
  std::int64_t tokensToCharge(const relay::call &Call,
                              relay::delivery How) const override;
  std::optional<endpoint_request> resumptionRequest() const override;

  // True if the endpoint responded with another status than 200.
  bool isErrorResponse() const { return IsError; }
  // Mean time in ms between the events that were passed on, 0 for less than
  // two events.
  double meanEventGapMs() const;

private:
  ledger::amount streamCost() const;

  const model_request &Request;
  std::string RequestId;
  const clock &Clock;
  report::metrics_registry &Metrics;
  calls::stream_validator Validator;
  // Cost of a response that is not a stream, once received.
  std::optional<ledger::amount> CompleteBodyCost;
  bool IsError = false;         // Status other than 200: not billed.
  time_ms FirstEventAt = 0;     // Monotonic.
  time_ms LastEventAt = 0;      // Monotonic.
  std::uint64_t EventCount = 0; // Events passed on.
};

// Reads the response of a plain service, whatever its format. Billed at a fixed
// price.
class service_response_reader final : public resuming_response_reader {
public:
  service_response_reader(std::string RequestId, ledger::amount Price);

  void restart() override {}
  bool onHead(const relay::response_head &Head,
              std::string_view Endpoint) override;
  relay::event_action onEvent(const relay::stream_event &) override;
  bool onCompleteBody(const relay::response_head &Head,
                      std::string_view Body) override;
  bool isComplete() const override { return true; }
  bool canResume(relay::call_kind) const override { return false; }
  std::string lastEventId() const override { return {}; }
  std::int64_t tokensToCharge(const relay::call &Call,
                              relay::delivery How) const override;
  std::optional<endpoint_request> resumptionRequest() const override {
    return {};
  }

private:
  std::string RequestId;
  ledger::amount Price;
  bool IsBillable = false; // The response has no error status.
};

} // namespace tamarack::daemon
