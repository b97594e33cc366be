// The state machine of one request, without a network.
#include "fakes.hpp"

#include "tamarack/relay.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace tamarack;
using namespace tamarack::relay;

namespace {

constexpr time_ms Start = 1'000;
constexpr time_ms Timeout = 3'000;

call callOf(call_kind Kind, int MaxAttempts = 2) {
  call Call;
  Call.Id = "c1";
  Call.Service = "s";
  Call.Account = "a";
  Call.Kind = Kind;
  Call.MaxAttempts = MaxAttempts;
  Call.ArrivedAt = Start;
  Call.Deadline = Start + Timeout;
  Call.PromptTokens = 100;
  Call.MaxOutputTokens = 50;
  Call.MaxTokensPerEvent = 5;
  return Call;
}

class fake_placement final : public placement {
public:
  std::optional<endpoint_choice>
  choose(const call &, const std::set<std::string> &Tried, time_ms) override {
    for (const std::string &Name : Endpoints)
      if (!Tried.contains(Name))
        return endpoint_choice{Name, Name + ":1"};
    return std::nullopt;
  }
  void onSent(const call &, std::string_view, time_ms) override { ++Sent; }
  void onFirstByte(const call &, std::string_view, time_ms) override {}
  void onEnded(const call &, std::string_view, attempt_outcome End,
               time_ms) override {
    Ends.push_back(End);
  }
  bool tryRetry(std::string_view, time_ms) override {
    if (Repeats == 0)
      return false;
    --Repeats;
    return true;
  }
  placement_refusal refusal(const call &) const override {
    return {error_kind::NoEndpoint, 250};
  }

  std::vector<std::string> Endpoints = {"e1", "e2", "e3"};
  int Repeats = 100;
  int Sent = 0;
  std::vector<attempt_outcome> Ends;
};

class fake_allowance final : public token_budget {
public:
  reserve_result reserve(std::string_view, std::int64_t Bound) override {
    if (Result == reserve_result::Reserved)
      Reserved += Bound;
    return Result;
  }
  bool settle(std::string_view, std::int64_t Bound,
              std::int64_t Used) override {
    Reserved -= Bound;
    Spent += Used;
    return Keeps;
  }

  bool Keeps = true;

  reserve_result Result = reserve_result::Reserved;
  std::int64_t Reserved = 0;
  std::int64_t Spent = 0;
};

class fake_host final : public exchange_host {
public:
  void startAttempt(const endpoint_choice &To,
                    const send_options &Options) override {
    Sends.push_back(To.Endpoint);
    LastOptions = Options;
    InFlight = true;
  }
  void cancelAttempt() override { InFlight = false; }
  void beginResponse(const response_head &Head) override {
    ++Begun;
    Status = Head.Status;
  }
  void forwardEvents(std::string_view Bytes) override { Body.append(Bytes); }
  void endResponse() override { ++Finals; }
  void sendCompleteResponse(const response_head &Head,
                            std::string_view Bytes) override {
    Status = Head.Status;
    Body = Bytes;
    ++Finals;
  }
  void abortResponse() override {
    ++ResponseAborted;
    ++Finals;
  }
  void refuse(error_kind Kind, int RetryAfterMs) override {
    Refused = Kind;
    RetryAfter = RetryAfterMs;
    ++Finals;
  }

  std::vector<std::string> Sends;
  send_options LastOptions;
  bool InFlight = false;
  int Begun = 0;
  int Status = 0;
  std::string Body;
  int ResponseAborted = 0;
  std::optional<error_kind> Refused;
  int RetryAfter = 0;
  int Finals = 0;
};

struct exchange_fixture {
  explicit exchange_fixture(call Call)
      : Exchange(std::move(Call), Placement, Allowance, Reader, Host) {}

  fake_placement Placement;
  fake_allowance Allowance;
  numbered_event_reader Reader;
  fake_host Host;
  exchange Exchange;
};

response_head headOf(int Status) {
  response_head Head;
  Head.Status = Status;
  return Head;
}

response_head notRun() {
  response_head Head = headOf(503);
  Head.NotRun = true;
  return Head;
}

} // namespace

TEST_CASE("a whole answer is passed on and billed", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::NotRepeatable));
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(headOf(200), Start + 10);
  Fixture.Exchange.onBody("abc", Start + 11);
  CHECK(Fixture.Host.Finals == 0);
  Fixture.Exchange.onEnd(Start + 12);
  CHECK(Fixture.Host.Status == 200);
  CHECK(Fixture.Host.Body == "abc");
  CHECK(Fixture.Host.Finals == 1);
  CHECK(Fixture.Allowance.Spent == 100);
  CHECK(Fixture.Allowance.Reserved == 0);
}

TEST_CASE("a call that may not repeat is never sent again after a break",
          "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::NotRepeatable));
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onBroken(Start + 10);
  CHECK(Fixture.Host.Sends.size() == 1);
  CHECK(Fixture.Host.Refused == error_kind::EndpointFailed);
}

TEST_CASE("a call that did not run goes to another endpoint", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::NotRepeatable));
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(notRun(), Start + 10);
  CHECK(Fixture.Host.Sends == std::vector<std::string>{"e1", "e2"});
  Fixture.Exchange.onHead(notRun(), Start + 20);
  CHECK(Fixture.Host.Refused == error_kind::Overloaded);
  CHECK(Fixture.Host.RetryAfter == 250);
  CHECK(Fixture.Allowance.Spent == 0);
}

TEST_CASE("an endpoint that was not reached costs no repeat", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::NotRepeatable, 1));
  Fixture.Placement.Repeats = 0;
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onUnreached(Start + 10);
  CHECK(Fixture.Host.Sends == std::vector<std::string>{"e1", "e2"});
}

TEST_CASE("an idempotent call repeats after a failure answer", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::Idempotent));
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(headOf(500), Start + 10);
  REQUIRE(Fixture.Host.Sends.size() == 2);
  Fixture.Exchange.onHead(headOf(200), Start + 20);
  Fixture.Exchange.onEnd(Start + 21);
  CHECK(Fixture.Host.Status == 200);
}

TEST_CASE("the endpoint's failure is passed on if it can't be repeated",
          "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::Idempotent));
  Fixture.Placement.Repeats = 0;
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(headOf(500), Start + 10);
  Fixture.Exchange.onBody("oops", Start + 11);
  Fixture.Exchange.onEnd(Start + 12);
  CHECK(Fixture.Host.Status == 500);
  CHECK(Fixture.Host.Body == "oops");
}

TEST_CASE("a resumable stream goes on after the last whole event", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::ResumableStream));
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(headOf(200), Start + 10);
  Fixture.Exchange.onBody("id: 1\ndata: a\n\nid: 2\nda", Start + 11);
  CHECK(Fixture.Host.Body == "id: 1\ndata: a\n\n");
  Fixture.Exchange.onBroken(Start + 20);
  REQUIRE(Fixture.Host.Sends.size() == 2);
  CHECK(Fixture.Host.LastOptions.LastEventId == "1");
  Fixture.Exchange.onHead(headOf(200), Start + 30);
  Fixture.Exchange.onBody("id: 2\ndata: b\n\n", Start + 31);
  Fixture.Exchange.onEnd(Start + 32);
  CHECK(Fixture.Host.Body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(Fixture.Host.Begun == 1);
  CHECK(Fixture.Allowance.Spent == 100 + 2 * 5);
}

TEST_CASE("events that don't continue the answer are never passed on",
          "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::ResumableStream));
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(headOf(200), Start + 10);
  Fixture.Exchange.onBody("id: 1\ndata: a\n\nid: 1\ndata: b\n\n", Start + 11);
  CHECK(Fixture.Host.Body == "id: 1\ndata: a\n\n");
  REQUIRE(Fixture.Host.Sends.size() == 2);
  CHECK(Fixture.Host.LastOptions.LastEventId == "1");
}

TEST_CASE("a stream that ends inside an event is not whole", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::Stream));
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(headOf(200), Start + 10);
  Fixture.Exchange.onBody("id: 1\ndata: a\n\nid: 2\nda", Start + 11);
  Fixture.Exchange.onEnd(Start + 12);
  CHECK(Fixture.Host.ResponseAborted == 1);
  CHECK(Fixture.Host.Body == "id: 1\ndata: a\n\n");
}

TEST_CASE("an answer that can't be settled is not ended as whole", "[relay]") {
  exchange_fixture Stream(callOf(call_kind::Stream));
  Stream.Allowance.Keeps = false;
  Stream.Exchange.start(Start);
  Stream.Exchange.onHead(headOf(200), Start + 10);
  Stream.Exchange.onBody("id: 1\ndata: a\n\n", Start + 11);
  Stream.Exchange.onEnd(Start + 12);
  CHECK(Stream.Host.ResponseAborted == 1);

  exchange_fixture Whole(callOf(call_kind::NotRepeatable));
  Whole.Allowance.Keeps = false;
  Whole.Exchange.start(Start);
  Whole.Exchange.onHead(headOf(200), Start + 10);
  Whole.Exchange.onEnd(Start + 12);
  CHECK(Whole.Host.Refused == error_kind::OutcomeUnknown);
  CHECK(Whole.Host.Finals == 1);
}

TEST_CASE("a stream that can't go on is broken off, not ended", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::Stream));
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(headOf(200), Start + 10);
  Fixture.Exchange.onBody("data: a\n\n", Start + 11);
  Fixture.Exchange.onBroken(Start + 20);
  CHECK(Fixture.Host.ResponseAborted == 1);
  CHECK_FALSE(Fixture.Host.Refused);
}

TEST_CASE("an answer that may not be passed on counts as broken", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::NotRepeatable));
  response_head Head = headOf(200);
  Head.Unusable = true;
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(Head, Start + 10);
  CHECK(Fixture.Host.Refused == error_kind::EndpointFailed);
}

TEST_CASE("the final answer is due at the deadline", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::NotRepeatable));
  Fixture.Exchange.start(Start);
  CHECK(Fixture.Exchange.nextTimer() == Start + Timeout);
  Fixture.Exchange.onTimer(Start + Timeout);
  CHECK(Fixture.Host.Refused == error_kind::OutcomeUnknown);
  CHECK_FALSE(Fixture.Host.InFlight);
}

TEST_CASE("a caller that leaves stops the endpoint's work", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::ResumableStream));
  Fixture.Exchange.start(Start);
  REQUIRE(Fixture.Host.InFlight);
  Fixture.Exchange.onCallerDisconnected(Start + 10);
  CHECK_FALSE(Fixture.Host.InFlight);
  CHECK(Fixture.Host.Finals == 0);
  CHECK(Fixture.Allowance.Reserved == 0);
}

TEST_CASE("money: waits a moment, refuses at once if there is none",
          "[relay]") {
  exchange_fixture Waiting(callOf(call_kind::Stream));
  Waiting.Allowance.Result = reserve_result::Pending;
  Waiting.Exchange.start(Start);
  CHECK(Waiting.Host.Finals == 0);
  Waiting.Allowance.Result = reserve_result::Reserved;
  Waiting.Exchange.onBudgetChanged(Start + 20);
  CHECK(Waiting.Host.Sends.size() == 1);

  exchange_fixture Exhausted(callOf(call_kind::Stream));
  Exhausted.Allowance.Result = reserve_result::Exhausted;
  Exhausted.Exchange.start(Start);
  CHECK(Exhausted.Host.Refused == error_kind::BudgetExhausted);

  exchange_fixture Away(callOf(call_kind::Stream));
  Away.Allowance.Result = reserve_result::Unavailable;
  Away.Exchange.start(Start);
  CHECK(Away.Host.Refused == error_kind::BudgetUnavailable);

  exchange_fixture Late(callOf(call_kind::Stream));
  Late.Allowance.Result = reserve_result::Pending;
  Late.Exchange.start(Start);
  Late.Exchange.onTimer(Late.Exchange.nextTimer());
  CHECK(Late.Host.Refused == error_kind::BudgetUnavailable);
}

//---------------------------------------------------------------------------
// Random schedules
//---------------------------------------------------------------------------

namespace {

enum class step {
  Unreached,
  Head,
  Failure,
  NotRun,
  Event,
  Part,
  End,
  Broken,
  Gone,
  Timer,
  Unusable,
  Money
};
constexpr int Steps = 12;

// What the endpoints did, apart from what the exchange believes.
struct world_check {
  int MayHaveRun = 0;     // Endpoints that may have run the call.
  bool Answering = false; // The head of this attempt's answer is out.
  int Event = 0;          // Last whole event that was sent.
  bool Half = false;      // The first half of the next one was sent.
};

void apply(exchange_fixture &Fixture, world_check &World, step Step,
           time_ms Now) {
  exchange &Exchange = Fixture.Exchange;
  bool &Answering = World.Answering;
  const bool InFlight = Fixture.Host.InFlight;
  switch (Step) {
  case step::Unreached:
    if (InFlight && !Answering) {
      Fixture.Host.InFlight = false; // There never was a connection.
      Exchange.onUnreached(Now);
    }
    break;
  case step::Head:
    if (InFlight && !Answering) {
      ++World.MayHaveRun;
      Answering = true;
      Exchange.onHead(headOf(200), Now);
    }
    break;
  case step::Failure:
    if (InFlight && !Answering) {
      ++World.MayHaveRun;
      Answering = true;
      Exchange.onHead(headOf(500), Now);
    }
    break;
  case step::NotRun:
    if (InFlight && !Answering)
      Exchange.onHead(notRun(), Now);
    break;
  case step::Unusable:
    if (InFlight && !Answering) {
      ++World.MayHaveRun;
      response_head Head = headOf(200);
      Head.Unusable = true;
      Exchange.onHead(Head, Now);
    }
    break;
  case step::Event:
    if (InFlight && Answering) {
      ++World.Event;
      Exchange.onBody(World.Half ? "ta: x\n\n"
                                 : "id: " + std::to_string(World.Event) +
                                       "\ndata: x\n\n",
                      Now);
      World.Half = false;
    }
    break;
  case step::Part:
    if (InFlight && Answering && !World.Half) {
      World.Half = true;
      Exchange.onBody("id: " + std::to_string(World.Event + 1) + "\nda", Now);
    }
    break;
  case step::End:
    if (InFlight && Answering) {
      Fixture.Host.InFlight = false;
      Exchange.onEnd(Now);
    }
    break;
  case step::Broken:
    if (InFlight) {
      World.MayHaveRun += Answering ? 0 : 1;
      Fixture.Host.InFlight = false;
      Exchange.onBroken(Now);
    }
    break;
  case step::Gone:
    Exchange.onCallerDisconnected(Now);
    break;
  case step::Timer:
    Exchange.onTimer(Now);
    break;
  case step::Money:
    Exchange.onBudgetChanged(Now);
    break;
  }
}

} // namespace

TEST_CASE("random schedules keep the promises of every kind",
          "[relay][property]") {
  CHECK(rc::check("promises", [] {
    const call_kind Kind =
        *rc::gen::element(call_kind::Idempotent, call_kind::NotRepeatable,
                          call_kind::Stream, call_kind::ResumableStream);
    const int MaxAttempts = *rc::gen::inRange(1, 4);
    exchange_fixture Fixture(callOf(Kind, MaxAttempts));
    Fixture.Placement.Repeats = *rc::gen::inRange(0, 4);
    if (*rc::gen::inRange(0, 4) == 0)
      Fixture.Allowance.Result = reserve_result::Pending;
    const std::vector<int> Schedule =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, Steps));
    world_check World;
    time_ms Now = Start;
    Fixture.Exchange.start(Now);
    for (int Item : Schedule) {
      Now += *rc::gen::inRange(0, 300);
      const std::size_t Sends = Fixture.Host.Sends.size();
      apply(Fixture, World, static_cast<step>(Item), Now);
      if (Fixture.Host.Sends.size() != Sends) {
        World.Answering = false;
        World.Half = false;
      }
      // Sent again only if it may run again, or has not run.
      if (!isRepeatable(Kind))
        RC_ASSERT(World.MayHaveRun <= 1);
      RC_ASSERT(World.MayHaveRun <= MaxAttempts);
      RC_ASSERT(Fixture.Host.Finals <= 1);
    }
    Fixture.Exchange.onTimer(Start + Timeout + 1);
    RC_ASSERT(Fixture.Exchange.isDone());
    RC_ASSERT(!Fixture.Host.InFlight);
    const bool Gone = Fixture.Exchange.report().CallerDisconnected;
    RC_ASSERT(Fixture.Host.Finals == (Gone ? 0 : 1));
    // "Not run" only if no endpoint may have run it.
    if (Fixture.Host.Refused) {
      const calls::error_row &Row = calls::rowOf(*Fixture.Host.Refused);
      const bool Promise = Row.Status == 503 || Row.Status == 429 ||
                           Row.Status == 408 || Row.Status == 421;
      if (Promise)
        RC_ASSERT(World.MayHaveRun == 0);
    }
    RC_ASSERT(Fixture.Allowance.Reserved == 0);
    RC_ASSERT(Fixture.Allowance.Spent <= 150);
    RC_ASSERT(Fixture.Placement.Ends.size() ==
              static_cast<std::size_t>(Fixture.Placement.Sent));
    // What the caller has is a row of whole events, each once, in order.
    if (isStream(Kind) && Fixture.Host.Begun > 0) {
      event_stream_parser Splitter;
      Splitter.push(Fixture.Host.Body);
      std::int64_t Last = 0;
      while (const std::optional<stream_event> Event = Splitter.next())
        RC_ASSERT(Event->Id == ++Last);
    }
  }));
}
