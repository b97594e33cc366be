// Answers of models in the OpenAI form and of plain services.
#pragma once

#include "exchange_driver.hpp"
#include "model_request.hpp"

namespace tamarack::daemon {

// A completion, streamed or whole. A streamed one ends with its end marker;
// only its own endpoint can continue it.
class completion_response_reader final : public resuming_response_reader {
public:
  completion_response_reader(const model_request &Asked, std::string RequestId,
                             const clock &Clock,
                             report::metrics_registry &Metrics);

  void restart() override;
  bool onHead(const relay::answer_head &Head,
              std::string_view Endpoint) override;
  relay::event_use onEvent(const relay::stream_event &Event) override;
  bool onWhole(const relay::answer_head &Head, std::string_view Body) override;
  bool isWhole() const override { return Checker.isComplete(); }
  bool canResume(relay::call_kind Kind) const override;
  std::string resumeAfter() const override;
  std::int64_t used(const relay::call &Call,
                    relay::delivery How) const override;
  std::optional<endpoint_request> resumption() const override;

  bool isFailure() const { return Failed; }
  // Monotonic ms between the events that were passed on, 0 if too few.
  double meanGapMs() const;

private:
  money::amount streamCost() const;

  const model_request &Asked;
  std::string RequestId;
  const clock &Clock;
  report::metrics_registry &Metrics;
  calls::stream_validator Checker;
  std::optional<money::amount> WholeCost; // Of an answer that is no stream.
  bool Failed = false; // The endpoint's own refusal or failure: not billed.
  time_ms FirstToken = 0;
  time_ms LastToken = 0;
  std::uint64_t Tokens = 0;
};

// Any whole answer of a plain service, billed at a fixed price.
class service_response_reader final : public resuming_response_reader {
public:
  service_response_reader(std::string RequestId, money::amount Price);

  void restart() override {}
  bool onHead(const relay::answer_head &Head,
              std::string_view Endpoint) override;
  relay::event_use onEvent(const relay::stream_event &) override;
  bool onWhole(const relay::answer_head &Head, std::string_view Body) override;
  bool isWhole() const override { return true; }
  bool canResume(relay::call_kind) const override { return false; }
  std::string resumeAfter() const override { return {}; }
  std::int64_t used(const relay::call &Call,
                    relay::delivery How) const override;
  std::optional<endpoint_request> resumption() const override { return {}; }

private:
  std::string RequestId;
  money::amount Price;
  bool Charged = false;
};

} // namespace tamarack::daemon
