// Drives the request engine from a thread of the HTTP server.
#pragma once

#include "prepaid_admission.hpp"
#include "single_execution.hpp"

#include "tamarack/relay.hpp"

namespace tamarack::daemon {

// What differs between models and services.
struct exchange_request {
  std::string Subject;      // Model or service, for rules and retries.
  endpoint_request Send;    // To endpoints, but for the connection's choice.
  std::uint64_t Prefix = 0; // Hash of the prompt's beginning, 0 if none.
  money::amount Bound = 0;  // Most prepaid tokens that it may cost.
  bool Stream = false;      // The answer is a stream of events.
};

// Understands answers of one form, and knows how a stream is continued at the
// endpoint that sent it.
class resuming_response_reader : public relay::answer_reader {
public:
  // Empty if the stream can't be continued.
  virtual std::optional<endpoint_request> resumption() const = 0;
};

// One call: the engine decides, this carries it out on blocking connections.
// An attempt goes through the daemon's queues and limits; a stream that has
// begun is continued at its own endpoint only.
class exchange_driver final : private relay::placement,
                              private relay::allowance,
                              private relay::exchange_host {
public:
  exchange_driver(call_context &Context, exchange_request Request,
                  single_execution &Run, prepaid_admission &Paid,
                  resuming_response_reader &Reader);
  ~exchange_driver() override;
  exchange_driver(const exchange_driver &) = delete;
  exchange_driver &operator=(const exchange_driver &) = delete;

  // Returns once the caller has its final answer or is gone. Throws
  // call_error if nothing of an answer has been passed on.
  relay::exchange_report run();

  time_ms firstByte() const { return FirstByte; } // Monotonic, 0 if none.

private:
  struct answer {
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
               relay::attempt_end End, time_ms Now) override;
  bool tryRepeat(std::string_view Service, time_ms Now) override;
  relay::placement_refusal refusal(const relay::call &Call) const override;

  // relay::allowance: reserved before the engine starts.
  relay::reserve_result reserve(std::string_view Account,
                                std::int64_t Bound) override;
  bool settle(std::string_view Account, std::int64_t Bound,
              std::int64_t Used) override;

  // relay::exchange_host
  void send(const relay::endpoint_choice &To,
            const relay::send_options &Options) override;
  void cancelSend() override;
  void beginAnswer(const relay::answer_head &Head) override;
  void passOn(std::string_view Bytes) override;
  void endAnswer() override {}
  void wholeAnswer(const relay::answer_head &Head,
                   std::string_view Body) override;
  void breakOff() override;
  void refuse(relay::error_kind Kind, int RetryAfterMs) override;

  relay::call makeCall() const;
  void step();
  void openAttempt();
  void readSome();
  void releaseChoice();
  relay::answer_head headOf(const answer_source &Source) const;
  time_ms now() const { return Context.Services.Clock.monotonic(); }

  call_context &Context;
  exchange_request Request;
  single_execution &Run;
  prepaid_admission &Paid;
  resuming_response_reader &Reader;
  relay::exchange Exchange;

  std::optional<config::endpoint> Chosen; // Counted as sent, not sent yet.
  config::endpoint Current;               // Of the attempt under way.
  bool FreshConnection = false;
  bool Resuming = false; // The attempt continues a stream.
  bool Opening = false;  // The attempt is to be opened.
  std::unique_ptr<answer_source> Source;
  std::vector<char> Buffer;
  relay::placement_refusal Unplaced;
  relay::attempt_end LastEnd = relay::attempt_end::Good;
  int Resumptions = 0;
  time_ms SentAt = 0;
  time_ms FirstByteAt = 0;     // Of the attempt under way, 0 if none.
  time_ms FirstByte = 0;       // Of the call, 0 if none.
  std::ostream *Out = nullptr; // Set once the head has gone out.
  bool CallerLeft = false;
  std::optional<calls::call_error> Failure; // Instead of an answer.
};

} // namespace tamarack::daemon
