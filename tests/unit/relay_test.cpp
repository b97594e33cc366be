// The state machine of one request, with fakes instead of a network.
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
  std::optional<endpoint_choice> choose(const call &Call,
                                        const std::set<std::string> &Tried,
                                        time_ms) override {
    for (const std::string &Name : Endpoints) {
      const std::string Version = versionOf(Name);
      const bool Fits =
          Call.RequiredVersion.empty() || Call.RequiredVersion == Version;
      if (Fits && !Tried.contains(Name))
        return endpoint_choice{Name, Name + ":1", 0, Version};
    }
    return std::nullopt;
  }
  list_state listState(const call &, time_ms) const override {
    return ListState;
  }
  bool isVersionCertain(const endpoint_choice &Source, time_ms) const override {
    return !Uncertain.contains(Source.Endpoint);
  }
  std::string versionOf(const std::string &Name) const {
    const auto Found = Versions.find(Name);
    return Found == Versions.end() ? "" : Found->second;
  }
  void onSent(const call &, std::string_view, time_ms) override {
    ++SentAttempts;
  }
  void onFirstByte(const call &, std::string_view, time_ms) override {}
  void onEnded(const call &, std::string_view, attempt_outcome Outcome,
               time_ms) override {
    Outcomes.push_back(Outcome);
  }
  bool tryRetry(std::string_view, time_ms) override {
    if (RetriesLeft == 0)
      return false;
    --RetriesLeft;
    return true;
  }
  placement_refusal refusal(const call &) const override {
    return {error_kind::NoEndpoint, 250};
  }

  list_state ListState = list_state::Current;
  std::vector<std::string> Endpoints = {"e1", "e2", "e3"};
  std::map<std::string, std::string> Versions; // By endpoint, as listed.
  std::set<std::string> Uncertain; // Endpoints that may run another version.
  int RetriesLeft = 100;
  int SentAttempts = 0;
  std::vector<attempt_outcome> Outcomes;
};

class fake_token_budget final : public token_budget {
public:
  reserve_result reserve(const call &Call) override {
    if (Result == reserve_result::Reserved)
      Reserved += Call.maxTokens();
    IsAwaited = Result == reserve_result::Pending;
    return Result;
  }
  bool settle(const call &Call, std::int64_t Used) override {
    Reserved -= Call.maxTokens();
    Billed += Used;
    return CanStoreBill;
  }
  void withdraw(const call &) override { IsAwaited = false; }

  bool CanStoreBill = true;

  reserve_result Result = reserve_result::Reserved;
  std::int64_t Reserved = 0;
  std::int64_t Billed = 0;
  bool IsAwaited = false; // The last result was Pending.
};

class fake_host final : public exchange_host {
public:
  void startAttempt(const endpoint_choice &To,
                    const send_options &Options) override {
    AttemptedEndpoints.push_back(To.Endpoint);
    LastOptions = Options;
    InFlight = true;
  }
  void cancelAttempt() override { InFlight = false; }
  void beginResponse(const response_head &Head) override {
    ++ResponsesBegun;
    Status = Head.Status;
  }
  void forwardEvents(std::string_view Bytes) override { Body.append(Bytes); }
  void endResponse() override { ++FinalResponses; }
  void sendCompleteResponse(const response_head &Head,
                            std::string Bytes) override {
    Status = Head.Status;
    Body = Bytes;
    ++FinalResponses;
  }
  void abortResponse() override {
    ++AbortedResponses;
    ++FinalResponses;
  }
  void refuse(error_kind Kind, int RetryAfterMs) override {
    RefusedWith = Kind;
    AdvisedRetryMs = RetryAfterMs;
    ++FinalResponses;
  }

  std::vector<std::string> AttemptedEndpoints;
  send_options LastOptions;
  bool InFlight = false;
  int ResponsesBegun = 0;
  int Status = 0;
  std::string Body;
  int AbortedResponses = 0;
  std::optional<error_kind> RefusedWith;
  int AdvisedRetryMs = 0;
  int FinalResponses = 0;
};

class fake_origins final : public stream_origins {
public:
  stream_origin find(const call &) override { return Origin; }
  void onBegun(const call &, std::string_view Version) override {
    BegunVersions.emplace_back(Version);
  }
  void onDelivered(const call &) override { ++Delivered; }

  stream_origin Origin;
  std::vector<std::string> BegunVersions;
  int Delivered = 0;
};

call takenUpCall() {
  call Call = callOf(call_kind::ResumableStream);
  Call.StreamKey = 7;
  Call.ResumedId = "c0";
  Call.ResumeAfter = "4";
  Call.RouteServices = {{"s", 5}, {"other", 9}};
  return Call;
}

struct exchange_fixture {
  explicit exchange_fixture(call Call)
      : exchange_fixture(std::move(Call), OwnMemory) {}
  exchange_fixture(call Call, memory::memory_budget &Memory)
      : Exchange(std::move(Call), Placement, Budget, Origins, Reader, Host,
                 Memory) {}

  memory::memory_budget OwnMemory{64u << 20};

  fake_placement Placement;
  fake_token_budget Budget;
  fake_origins Origins;
  numbered_event_reader Reader;
  fake_host Host;
  exchange Exchange;
};

response_head headOf(int Status) {
  response_head Head;
  Head.Status = Status;
  return Head;
}

response_head notRunHead() {
  response_head Head = headOf(503);
  Head.NotRun = true;
  return Head;
}

} // namespace

TEST_CASE("a complete response is forwarded and billed", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::NotRepeatable));
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(headOf(200), Start + 10);
  Fixture.Exchange.onBody("abc", Start + 11);
  CHECK(Fixture.Host.FinalResponses == 0);
  Fixture.Exchange.onEnd(Start + 12);
  CHECK(Fixture.Host.Status == 200);
  CHECK(Fixture.Host.Body == "abc");
  CHECK(Fixture.Host.FinalResponses == 1);
  CHECK(Fixture.Budget.Billed == 100);
  CHECK(Fixture.Budget.Reserved == 0);
}

TEST_CASE("a not-repeatable call is not retried after a broken attempt",
          "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::NotRepeatable));
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onBroken(Start + 10);
  CHECK(Fixture.Host.AttemptedEndpoints.size() == 1);
  CHECK(Fixture.Host.RefusedWith == error_kind::EndpointFailed);
}

TEST_CASE("a call that the endpoint did not run goes to another endpoint",
          "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::NotRepeatable));
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(notRunHead(), Start + 10);
  CHECK(Fixture.Host.AttemptedEndpoints == std::vector<std::string>{"e1"});
  Fixture.Exchange.onBody("busy", Start + 11);
  Fixture.Exchange.onEnd(Start + 12);
  CHECK(Fixture.Host.AttemptedEndpoints ==
        std::vector<std::string>{"e1", "e2"});
  Fixture.Exchange.onHead(notRunHead(), Start + 20);
  CHECK(Fixture.Host.FinalResponses == 0);
  Fixture.Exchange.onEnd(Start + 21);
  CHECK(Fixture.Host.RefusedWith == error_kind::Overloaded);
  CHECK(Fixture.Host.AdvisedRetryMs == 250);
  CHECK(Fixture.Budget.Billed == 0);
}

// Guards against "not run" for a call that may have run, and against a second
// attempt, on the word of a response that is not whole.
TEST_CASE("a refusal that breaks off states nothing", "[relay]") {
  const call_kind Kind = GENERATE(call_kind::NotRepeatable, call_kind::Stream);
  exchange_fixture Fixture(callOf(Kind));
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(notRunHead(), Start + 10);
  Fixture.Exchange.onBody("bu", Start + 11);
  SECTION("the connection breaks") { Fixture.Exchange.onBroken(Start + 12); }
  SECTION("the body does not end") {
    const std::string Endless(64 * 1024, 'x');
    Fixture.Exchange.onBody(Endless, Start + 12);
  }
  SECTION("the time is over") { Fixture.Exchange.onTimer(Start + Timeout); }
  CHECK(Fixture.Host.AttemptedEndpoints.size() == 1);
  REQUIRE(Fixture.Host.RefusedWith);
  CHECK((*Fixture.Host.RefusedWith == error_kind::EndpointFailed ||
         *Fixture.Host.RefusedWith == error_kind::OutcomeUnknown));
}

TEST_CASE("an unreached endpoint costs neither an attempt nor a retry",
          "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::NotRepeatable, 1));
  Fixture.Placement.RetriesLeft = 0;
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onUnreached(Start + 10);
  CHECK(Fixture.Host.AttemptedEndpoints ==
        std::vector<std::string>{"e1", "e2"});
}

TEST_CASE("an idempotent call is retried after a failure response", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::Idempotent));
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(headOf(500), Start + 10);
  REQUIRE(Fixture.Host.AttemptedEndpoints.size() == 2);
  Fixture.Exchange.onHead(headOf(200), Start + 20);
  Fixture.Exchange.onEnd(Start + 21);
  CHECK(Fixture.Host.Status == 200);
}

TEST_CASE("a failure response is forwarded if no retry is allowed", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::Idempotent));
  Fixture.Placement.RetriesLeft = 0;
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(headOf(500), Start + 10);
  Fixture.Exchange.onBody("oops", Start + 11);
  Fixture.Exchange.onEnd(Start + 12);
  CHECK(Fixture.Host.Status == 500);
  CHECK(Fixture.Host.Body == "oops");
}

TEST_CASE("a resumable stream continues after the last complete event",
          "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::ResumableStream));
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(headOf(200), Start + 10);
  Fixture.Exchange.onBody("id: 1\ndata: a\n\nid: 2\nda", Start + 11);
  CHECK(Fixture.Host.Body == "id: 1\ndata: a\n\n");
  Fixture.Exchange.onBroken(Start + 20);
  REQUIRE(Fixture.Host.AttemptedEndpoints.size() == 2);
  CHECK(Fixture.Host.LastOptions.LastEventId == "1");
  Fixture.Exchange.onHead(headOf(200), Start + 30);
  Fixture.Exchange.onBody("id: 2\ndata: b\n\n", Start + 31);
  Fixture.Exchange.onEnd(Start + 32);
  CHECK(Fixture.Host.Body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(Fixture.Host.ResponsesBegun == 1);
  CHECK(Fixture.Budget.Billed == 100 + 2 * 5);
}

// Guards against a second endpoint's response, or its error page, inside of the
// stream that the first one began, and against a stream that ends too early.
TEST_CASE("a stream goes on only with the events that follow", "[relay]") {
  response_head Begun = headOf(200);
  Begun.Fields = {{"Content-Type", "text/event-stream; charset=utf-8"}};
  response_head Next = headOf(200);
  Next.Fields = {{"content-type", "Text/Event-Stream"}};
  exchange_fixture Fixture(callOf(call_kind::ResumableStream, 2));
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(Begun, Start + 10);
  Fixture.Exchange.onBody("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", Start + 11);
  const std::string Received = Fixture.Host.Body;
  Fixture.Exchange.onBroken(Start + 20);
  REQUIRE(Fixture.Host.AttemptedEndpoints.size() == 2);
  bool IsWhole = false;
  std::string Expected = Received;
  SECTION("they do") {
    IsWhole = true;
    const std::string Rest = "id: 3\ndata: c\n\nid: 4\ndata: d\n\n";
    Expected += Rest;
    Fixture.Exchange.onHead(Next, Start + 30);
    Fixture.Exchange.onBody(": comment\n\n" + Rest, Start + 31);
  }
  SECTION("another media type") {
    Next.Fields[0].Value = "text/html";
    Fixture.Exchange.onHead(Next, Start + 30);
  }
  SECTION("another success") {
    Next.Status = 206;
    Fixture.Exchange.onHead(Next, Start + 30);
  }
  SECTION("a failure") {
    Next.Status = 404;
    Fixture.Exchange.onHead(Next, Start + 30);
  }
  SECTION("no event") { Fixture.Exchange.onHead(Next, Start + 30); }
  SECTION("a comment alone") {
    Fixture.Exchange.onHead(Next, Start + 30);
    Fixture.Exchange.onBody(": comment\n\n", Start + 31);
  }
  SECTION("an event without an id") {
    Fixture.Exchange.onHead(Next, Start + 30);
    Fixture.Exchange.onBody("data: error\n\n", Start + 31);
  }
  SECTION("a page") {
    Fixture.Exchange.onHead(Next, Start + 30);
    Fixture.Exchange.onBody("HTTP/1.1 502 Bad\r\n\r\n<html>\n\n", Start + 31);
  }
  SECTION("an event that the caller has") {
    Fixture.Exchange.onHead(Next, Start + 30);
    Fixture.Exchange.onBody("id: 2\ndata: b\n\n", Start + 31);
  }
  SECTION("an event after a missing one") {
    Fixture.Exchange.onHead(Next, Start + 30);
    Fixture.Exchange.onBody("id: 4\ndata: d\n\n", Start + 31);
  }
  if (!Fixture.Exchange.isDone())
    Fixture.Exchange.onEnd(Start + 32);
  CHECK(Fixture.Host.Body == Expected);
  CHECK(Fixture.Host.FinalResponses == 1);
  CHECK(Fixture.Host.AbortedResponses == (IsWhole ? 0 : 1));
}

// Guards against a sound stream that is cut: its ids need not count its events.
TEST_CASE("a stream whose ids have gaps goes on after any of them", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::ResumableStream, 2));
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(headOf(200), Start + 10);
  Fixture.Exchange.onBody("id: 10\ndata: a\n\nid: 20\ndata: b\n\n", Start + 11);
  Fixture.Exchange.onBroken(Start + 20);
  Fixture.Exchange.onHead(headOf(200), Start + 30);
  Fixture.Exchange.onBody("id: 30\ndata: c\n\n", Start + 31);
  Fixture.Exchange.onEnd(Start + 32);
  CHECK(Fixture.Host.AbortedResponses == 0);
  CHECK(Fixture.Host.Body.ends_with("id: 30\ndata: c\n\n"));
}

// Guards against events that a caller gets twice when it takes a stream up.
TEST_CASE("a stream that is taken up begins after the caller's last event",
          "[relay]") {
  numbered_event_reader Reader(4);
  const auto ActionOf = [&Reader](std::string_view Text) {
    event_stream_parser Parser;
    Parser.push(Text);
    return Reader.onEvent(*Parser.next());
  };
  REQUIRE(Reader.onHead(headOf(200), "e"));
  CHECK(ActionOf("id: 4\ndata: x\n\n") == event_action::Invalid);
  CHECK(ActionOf("id: 1\ndata: x\n\n") == event_action::Invalid);
  CHECK(ActionOf("data: x\n\n") == event_action::Invalid);
  CHECK(ActionOf(": comment\n\n") == event_action::Drop);
  CHECK(ActionOf("id: 5\ndata: x\n\n") == event_action::Forward);
  Reader.restart();
  CHECK(ActionOf("id: 4\ndata: x\n\n") == event_action::Invalid);
  CHECK(ActionOf("id: 5\ndata: x\n\n") == event_action::Forward);
}

// Guards against responses that are joined from two versions.
TEST_CASE("a stream goes on at an endpoint of the version that began it",
          "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::ResumableStream));
  Fixture.Placement.Versions = {{"e1", "v1"}, {"e2", "v2"}, {"e3", "v1"}};
  SECTION("after its first event") {
    Fixture.Exchange.start(Start);
    Fixture.Exchange.onHead(headOf(200), Start + 10);
    Fixture.Exchange.onBody("id: 1\ndata: a\n\n", Start + 11);
    Fixture.Exchange.onBroken(Start + 20);
    CHECK(Fixture.Host.AttemptedEndpoints ==
          std::vector<std::string>{"e1", "e3"});
  }
  SECTION("it breaks before its first event") {
    Fixture.Exchange.start(Start);
    Fixture.Exchange.onHead(headOf(200), Start + 10);
    Fixture.Exchange.onBroken(Start + 20);
    CHECK(Fixture.Host.AttemptedEndpoints ==
          std::vector<std::string>{"e1", "e2"});
  }
  SECTION("no endpoint of the version is left") {
    Fixture.Placement.Endpoints = {"e1", "e2"};
    Fixture.Exchange.start(Start);
    Fixture.Exchange.onHead(headOf(200), Start + 10);
    Fixture.Exchange.onBody("id: 1\ndata: a\n\n", Start + 11);
    Fixture.Exchange.onBroken(Start + 20);
    CHECK(Fixture.Host.AbortedResponses == 1);
  }
}

// Guards against a stream that a caller takes up at another version than the
// one that began it.
TEST_CASE("a stream that is taken up goes on at its version or is refused",
          "[relay]") {
  exchange_fixture Fixture(takenUpCall());
  Fixture.Placement.Versions = {{"e1", "v1"}, {"e2", "v2"}, {"e3", "v1"}};
  SECTION("the version is known") {
    Fixture.Origins.Origin = {origin_state::Known, "s", "v2"};
    Fixture.Exchange.start(Start);
    CHECK(Fixture.Host.AttemptedEndpoints == std::vector<std::string>{"e2"});
    Fixture.Exchange.onHead(headOf(200), Start + 10);
    Fixture.Exchange.onBody("id: 5\ndata: a\n\n", Start + 11);
    Fixture.Exchange.onEnd(Start + 12);
    CHECK(Fixture.Origins.BegunVersions == std::vector<std::string>{"v2"});
    CHECK(Fixture.Origins.Delivered == 1);
  }
  SECTION("no endpoint of the version is left") {
    Fixture.Origins.Origin = {origin_state::Known, "s", "v0"};
    Fixture.Exchange.start(Start);
    CHECK(Fixture.Host.RefusedWith == error_kind::NoEndpoint);
  }
  // Versions of two services have nothing to do with each other.
  SECTION("another service of the route began it") {
    Fixture.Origins.Origin = {origin_state::Known, "other", "v2"};
    Fixture.Exchange.start(Start);
    CHECK(Fixture.Exchange.request().Service == "other");
    CHECK(Fixture.Exchange.request().MaxTokensPerEvent == 9);
    CHECK(Fixture.Host.AttemptedEndpoints == std::vector<std::string>{"e2"});
  }
  SECTION("the route has left the service that began it") {
    Fixture.Origins.Origin = {origin_state::Known, "former", "v2"};
    Fixture.Exchange.start(Start);
    CHECK(Fixture.Host.AttemptedEndpoints.empty());
    CHECK(Fixture.Host.RefusedWith == error_kind::StreamVersionGone);
  }
  SECTION("the version is not known") {
    Fixture.Origins.Origin.State =
        GENERATE(origin_state::Unknown, origin_state::Ambiguous);
    Fixture.Exchange.start(Start);
    CHECK(Fixture.Host.RefusedWith == error_kind::StreamUnknown);
    CHECK(Fixture.Budget.Reserved == 0);
  }
  SECTION("the version is looked up") {
    Fixture.Origins.Origin.State = origin_state::Pending;
    Fixture.Exchange.start(Start);
    Fixture.Exchange.onBudgetChanged(Start + 1);
    CHECK(Fixture.Host.AttemptedEndpoints.empty());
    SECTION("and found") {
      Fixture.Origins.Origin = {origin_state::Known, "s", "v2"};
      Fixture.Exchange.onOriginsRead(Start + 20);
      CHECK(Fixture.Host.AttemptedEndpoints == std::vector<std::string>{"e2"});
    }
    SECTION("and not found in time") {
      Fixture.Exchange.onTimer(Fixture.Exchange.nextTimer());
      CHECK(Fixture.Host.RefusedWith == error_kind::StreamUnknown);
    }
  }
  CHECK(Fixture.Host.FinalResponses <= 1);
}

// Guards against a stream that is taken for one of the listed version although
// its endpoint has started again in another one.
TEST_CASE("a stream of an uncertain version goes on nowhere", "[relay]") {
  call Call = callOf(call_kind::ResumableStream);
  Call.StreamKey = 7;
  exchange_fixture Fixture(Call);
  Fixture.Placement.Uncertain = {"e1"};
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(headOf(200), Start + 10);
  Fixture.Exchange.onBody("id: 1\ndata: a\n\n", Start + 11);
  CHECK(Fixture.Origins.BegunVersions == std::vector<std::string>{""});
  Fixture.Exchange.onBroken(Start + 20);
  CHECK(Fixture.Host.AbortedResponses == 1);
  CHECK_FALSE(Fixture.Exchange.report().IsVersionCertain);
}

// Guards against a call that is lost, or runs twice, because its endpoint may
// not get it any more when its connection is ready.
TEST_CASE("a withdrawn attempt costs neither an attempt nor a retry",
          "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::NotRepeatable, 1));
  Fixture.Placement.RetriesLeft = 0;
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onWithdrawn(Start + 10);
  CHECK(Fixture.Host.AttemptedEndpoints ==
        std::vector<std::string>{"e1", "e2"});
  Fixture.Exchange.onWithdrawn(Start + 20);
  Fixture.Exchange.onWithdrawn(Start + 30);
  CHECK(Fixture.Host.RefusedWith == error_kind::NoEndpoint);
  CHECK(Fixture.Exchange.report().Attempts == 0);
  CHECK(Fixture.Budget.Billed == 0);
}

TEST_CASE("events that don't continue the response are never forwarded",
          "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::ResumableStream));
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(headOf(200), Start + 10);
  Fixture.Exchange.onBody("id: 1\ndata: a\n\nid: 1\ndata: b\n\n", Start + 11);
  CHECK(Fixture.Host.Body == "id: 1\ndata: a\n\n");
  REQUIRE(Fixture.Host.AttemptedEndpoints.size() == 2);
  CHECK(Fixture.Host.LastOptions.LastEventId == "1");
}

TEST_CASE("a stream that ends inside an event is incomplete", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::Stream));
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(headOf(200), Start + 10);
  Fixture.Exchange.onBody("id: 1\ndata: a\n\nid: 2\nda", Start + 11);
  Fixture.Exchange.onEnd(Start + 12);
  CHECK(Fixture.Host.AbortedResponses == 1);
  CHECK(Fixture.Host.Body == "id: 1\ndata: a\n\n");
}

// Guards against an event or a body that an exchange keeps without limit, and
// against a repeatable call that then goes nowhere else.
TEST_CASE("a response without end counts as broken", "[relay]") {
  constexpr int MaxParts = 16 * 256; // 16 MiB
  const std::string Part(4096, 'x');
  struct kind_and_status {
    call_kind Kind;
    int Status;
  };
  for (const kind_and_status &Case :
       {kind_and_status{call_kind::ResumableStream, 200},
        kind_and_status{call_kind::ResumableStream, 404},
        kind_and_status{call_kind::Idempotent, 200}}) {
    exchange_fixture Fixture(callOf(Case.Kind));
    Fixture.Exchange.start(Start);
    Fixture.Exchange.onHead(headOf(Case.Status), Start + 10);
    for (int Count = 0; Count < MaxParts; ++Count)
      Fixture.Exchange.onBody(Part, Start + 11);
    REQUIRE(Fixture.Placement.Outcomes.size() == 1);
    CHECK(Fixture.Placement.Outcomes[0] == attempt_outcome::Broken);
    CHECK(Fixture.Host.AttemptedEndpoints.size() == 2);
    CHECK(Fixture.Host.FinalResponses == 0);
  }
}

TEST_CASE("a response whose bill can't be stored does not end as complete",
          "[relay]") {
  exchange_fixture Stream(callOf(call_kind::Stream));
  Stream.Budget.CanStoreBill = false;
  Stream.Exchange.start(Start);
  Stream.Exchange.onHead(headOf(200), Start + 10);
  Stream.Exchange.onBody("id: 1\ndata: a\n\n", Start + 11);
  Stream.Exchange.onEnd(Start + 12);
  CHECK(Stream.Host.AbortedResponses == 1);

  exchange_fixture Complete(callOf(call_kind::NotRepeatable));
  Complete.Budget.CanStoreBill = false;
  Complete.Exchange.start(Start);
  Complete.Exchange.onHead(headOf(200), Start + 10);
  Complete.Exchange.onEnd(Start + 12);
  CHECK(Complete.Host.RefusedWith == error_kind::OutcomeUnknown);
  CHECK(Complete.Host.FinalResponses == 1);
}

TEST_CASE("a stream that can't be resumed is aborted, not ended", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::Stream));
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(headOf(200), Start + 10);
  Fixture.Exchange.onBody("data: a\n\n", Start + 11);
  Fixture.Exchange.onBroken(Start + 20);
  CHECK(Fixture.Host.AbortedResponses == 1);
  CHECK_FALSE(Fixture.Host.RefusedWith);
}

TEST_CASE("an unusable response counts as broken", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::NotRepeatable));
  response_head Head = headOf(200);
  Head.Unusable = true;
  Fixture.Exchange.start(Start);
  Fixture.Exchange.onHead(Head, Start + 10);
  CHECK(Fixture.Host.RefusedWith == error_kind::EndpointFailed);
}

TEST_CASE("the final response is sent at the deadline", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::NotRepeatable));
  Fixture.Exchange.start(Start);
  CHECK(Fixture.Exchange.nextTimer() == Start + Timeout);
  Fixture.Exchange.onTimer(Start + Timeout);
  CHECK(Fixture.Host.RefusedWith == error_kind::OutcomeUnknown);
  CHECK_FALSE(Fixture.Host.InFlight);
}

TEST_CASE("a caller that disconnects cancels the attempt", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::ResumableStream));
  Fixture.Exchange.start(Start);
  REQUIRE(Fixture.Host.InFlight);
  Fixture.Exchange.onCallerDisconnected(Start + 10);
  CHECK_FALSE(Fixture.Host.InFlight);
  CHECK(Fixture.Host.FinalResponses == 0);
  CHECK(Fixture.Budget.Reserved == 0);
}

TEST_CASE(
    "a call waits briefly for tokens, an exhausted budget refuses at once",
    "[relay]") {
  exchange_fixture Pending(callOf(call_kind::Stream));
  Pending.Budget.Result = reserve_result::Pending;
  Pending.Exchange.start(Start);
  CHECK(Pending.Host.FinalResponses == 0);
  Pending.Budget.Result = reserve_result::Reserved;
  Pending.Exchange.onBudgetChanged(Start + 20);
  CHECK(Pending.Host.AttemptedEndpoints.size() == 1);

  exchange_fixture Exhausted(callOf(call_kind::Stream));
  Exhausted.Budget.Result = reserve_result::Exhausted;
  Exhausted.Exchange.start(Start);
  CHECK(Exhausted.Host.RefusedWith == error_kind::BudgetExhausted);

  exchange_fixture Unavailable(callOf(call_kind::Stream));
  Unavailable.Budget.Result = reserve_result::Unavailable;
  Unavailable.Exchange.start(Start);
  CHECK(Unavailable.Host.RefusedWith == error_kind::BudgetUnavailable);

  exchange_fixture Late(callOf(call_kind::Stream));
  Late.Budget.Result = reserve_result::Pending;
  Late.Exchange.start(Start);
  Late.Exchange.onTimer(Late.Exchange.nextTimer());
  CHECK(Late.Host.RefusedWith == error_kind::BudgetUnavailable);
}

// Guards against an instance that runs out of memory when many endpoints send
// bodies without end at once, each within the limit of one call.
TEST_CASE("all calls together keep a bounded part of their responses",
          "[relay]") {
  constexpr std::size_t Limit = 1u << 20;
  constexpr std::size_t PartBytes = 32u << 10;
  const std::string Part(PartBytes, 'x');
  memory::memory_budget Memory(Limit);
  std::vector<std::unique_ptr<exchange_fixture>> Endless;
  for (int Number = 0; Number < 20; ++Number) {
    Endless.push_back(std::make_unique<exchange_fixture>(
        callOf(call_kind::NotRepeatable), Memory));
    Endless.back()->Exchange.start(Start);
    Endless.back()->Exchange.onHead(headOf(200), Start + 1);
  }
  for (int Round = 0; Round < 64; ++Round)
    for (const std::unique_ptr<exchange_fixture> &Fixture : Endless)
      Fixture->Exchange.onBody(Part, Start + 2);
  CHECK(Memory.used() <= Limit);
  int Broken = 0;
  for (const std::unique_ptr<exchange_fixture> &Fixture : Endless)
    Broken += Fixture->Exchange.isDone() ? 1 : 0;
  CHECK(Broken > 0);
  // A small response is received nevertheless.
  exchange_fixture Small(callOf(call_kind::NotRepeatable), Memory);
  Small.Exchange.start(Start);
  Small.Exchange.onHead(headOf(200), Start + 3);
  Small.Exchange.onBody("small", Start + 3);
  Small.Exchange.onEnd(Start + 4);
  CHECK(Small.Host.Body == "small");
  Endless.clear();
  CHECK(Memory.used() == 0);
}

// Guards against responses that fill the memory together, each within its
// bound, and against one that is given up although memory becomes free.
TEST_CASE("a response that does not fit waits until it does", "[relay]") {
  memory::memory_budget Memory(10u << 20);
  const auto Begin = [](exchange_fixture &Fixture) {
    Fixture.Exchange.start(Start);
    response_head Head = headOf(200);
    Head.BodyBytes = 4u << 20;
    Fixture.Exchange.onHead(Head, Start + 1);
  };
  std::optional<exchange_fixture> First;
  First.emplace(callOf(call_kind::NotRepeatable), Memory);
  exchange_fixture Second(callOf(call_kind::NotRepeatable), Memory);
  Begin(*First);
  Begin(Second);
  CHECK(First->Exchange.canReceiveBody());
  CHECK_FALSE(Second.Exchange.canReceiveBody());
  CHECK(Memory.used() == 4u << 20);
  SECTION("it is received") {
    First.reset();
    CHECK(Second.Exchange.canReceiveBody());
    Second.Exchange.onBody(std::string(4u << 20, 'x'), Start + 2);
    Second.Exchange.onEnd(Start + 3);
    CHECK(Second.Host.Body.size() == 4u << 20);
    CHECK(Memory.used() == 0);
  }
  SECTION("its deadline ends the wait") {
    Second.Exchange.onTimer(Start + Timeout);
    CHECK(Second.Exchange.isDone());
    CHECK(Second.Exchange.report().Error == error_kind::OutcomeUnknown);
  }
}

TEST_CASE("a response that states too great a length is broken", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::NotRepeatable));
  Fixture.Exchange.start(Start);
  response_head Head = headOf(200);
  Head.BodyBytes = 99'999'999'999;
  Fixture.Exchange.onHead(Head, Start + 1);
  CHECK(Fixture.Exchange.isDone());
  CHECK(Fixture.Exchange.report().Error == error_kind::EndpointFailed);
}

// Guards against a connection that ends without a response when the process
// gives a call up.
TEST_CASE("a call that outlasts the process gets a final response",
          "[relay][shutdown]") {
  exchange_fixture Waiting(callOf(call_kind::NotRepeatable));
  Waiting.Budget.Result = reserve_result::Pending;
  Waiting.Exchange.start(Start);
  Waiting.Exchange.onForcedStop(Start + 10);
  CHECK(Waiting.Host.RefusedWith == error_kind::NotReady);

  exchange_fixture Sent(callOf(call_kind::NotRepeatable));
  Sent.Exchange.start(Start);
  Sent.Exchange.onForcedStop(Start + 10);
  CHECK(Sent.Host.RefusedWith == error_kind::OutcomeUnknown);
  CHECK_FALSE(Sent.Host.InFlight);
  CHECK(Sent.Exchange.report().GivenUpAtStop);

  exchange_fixture Begun(callOf(call_kind::Stream));
  Begun.Exchange.start(Start);
  Begun.Exchange.onHead(headOf(200), Start + 5);
  Begun.Exchange.onBody("id: 1\ndata: x\n\n", Start + 6);
  Begun.Exchange.onForcedStop(Start + 10);
  CHECK(Begun.Host.AbortedResponses == 1);
  CHECK(Begun.Budget.Reserved == 0);
}

//---------------------------------------------------------------------------
// Random event sequences
//---------------------------------------------------------------------------

namespace {

enum class step {
  Unreached,
  Head,
  Failure,
  NotRun,
  Event,
  HalfEvent,
  End,
  Broken,
  CallerDisconnected,
  Timer,
  Unusable,
  BudgetChanged,
  ForcedStop,
  Withdrawn
};
constexpr int StepCount = 14;

// What the endpoints did, tracked independently of the exchange.
struct endpoint_model {
  int MayHaveRun = 0;         // Attempts that may have run the call.
  bool Responding = false;    // The current attempt has sent its head.
  bool Refusing = false;      // That head states that the call did not run.
  int Event = 0;              // Id of the last complete event that was sent.
  bool SentHalfEvent = false; // The first half of the next event was sent.
  std::set<std::string> EventVersions; // Of endpoints that sent events.
};

// The version that an endpoint runs: not the listed one if that is uncertain.
std::string actualVersion(const exchange_fixture &Fixture,
                          const std::string &Endpoint) {
  const bool IsListed = !Fixture.Placement.Uncertain.contains(Endpoint);
  return (IsListed ? "" : "other than ") +
         Fixture.Placement.versionOf(Endpoint);
}

// True if placement::mayStillSend would be false: the call is bound to a
// version, and it is not certain that its endpoint runs it.
bool isBoundElsewhere(const exchange_fixture &Fixture) {
  return !Fixture.Exchange.request().RequiredVersion.empty() &&
         Fixture.Placement.Uncertain.contains(
             Fixture.Host.AttemptedEndpoints.back());
}

void apply(exchange_fixture &Fixture, endpoint_model &Model, step Step,
           time_ms Now) {
  exchange &Exchange = Fixture.Exchange;
  bool &Responding = Model.Responding;
  const bool InFlight = Fixture.Host.InFlight;
  switch (Step) {
  case step::Unreached:
    if (InFlight && !Responding) {
      Fixture.Host.InFlight = false; // No connection was made.
      Exchange.onUnreached(Now);
    }
    break;
  case step::Withdrawn:
    if (InFlight && !Responding) {
      Fixture.Host.InFlight = false; // Nothing was sent.
      Exchange.onWithdrawn(Now);
    }
    break;
  case step::Head:
    if (InFlight && !Responding && isBoundElsewhere(Fixture)) {
      Fixture.Host.InFlight = false;
      Exchange.onWithdrawn(Now);
    } else if (InFlight && !Responding) {
      ++Model.MayHaveRun;
      Responding = true;
      Exchange.onHead(headOf(200), Now);
    }
    break;
  case step::Failure:
    if (InFlight && !Responding) {
      ++Model.MayHaveRun;
      Responding = true;
      Exchange.onHead(headOf(500), Now);
    }
    break;
  case step::NotRun:
    if (InFlight && !Responding) {
      Responding = true;
      Model.Refusing = true;
      Exchange.onHead(notRunHead(), Now);
    }
    break;
  case step::Unusable:
    if (InFlight && !Responding) {
      ++Model.MayHaveRun;
      response_head Head = headOf(200);
      Head.Unusable = true;
      Exchange.onHead(Head, Now);
    }
    break;
  case step::Event:
    if (InFlight && Responding && !Model.Refusing) {
      ++Model.Event;
      Model.EventVersions.insert(
          actualVersion(Fixture, Fixture.Host.AttemptedEndpoints.back()));
      Exchange.onBody(Model.SentHalfEvent
                          ? "ta: x\n\n"
                          : "id: " + std::to_string(Model.Event) +
                                "\ndata: x\n\n",
                      Now);
      Model.SentHalfEvent = false;
    }
    break;
  case step::HalfEvent:
    if (InFlight && Responding && !Model.Refusing && !Model.SentHalfEvent) {
      Model.SentHalfEvent = true;
      Exchange.onBody("id: " + std::to_string(Model.Event + 1) + "\nda", Now);
    }
    break;
  case step::End:
    if (InFlight && Responding) {
      Fixture.Host.InFlight = false;
      Exchange.onEnd(Now);
    }
    break;
  case step::Broken:
    if (InFlight) {
      Model.MayHaveRun += Responding && !Model.Refusing ? 0 : 1;
      Fixture.Host.InFlight = false;
      Exchange.onBroken(Now);
    }
    break;
  case step::CallerDisconnected:
    Exchange.onCallerDisconnected(Now);
    break;
  case step::Timer:
    Exchange.onTimer(Now);
    break;
  case step::BudgetChanged:
    Exchange.onBudgetChanged(Now);
    break;
  case step::ForcedStop:
    if (InFlight && (!Responding || Model.Refusing))
      ++Model.MayHaveRun;
    Exchange.onForcedStop(Now);
    break;
  }
}

} // namespace

TEST_CASE("random event sequences keep the guarantees of every call kind",
          "[relay][property]") {
  CHECK(rc::check("promises", [] {
    const call_kind Kind =
        *rc::gen::element(call_kind::Idempotent, call_kind::NotRepeatable,
                          call_kind::Stream, call_kind::ResumableStream);
    const int MaxAttempts = *rc::gen::inRange(1, 4);
    exchange_fixture Fixture(callOf(Kind, MaxAttempts));
    Fixture.Placement.RetriesLeft = *rc::gen::inRange(0, 4);
    Fixture.Placement.Versions = {{"e1", "v1"}, {"e2", "v2"}, {"e3", "v1"}};
    for (const std::string &Endpoint : Fixture.Placement.Endpoints)
      if (*rc::gen::inRange(0, 3) == 0)
        Fixture.Placement.Uncertain.insert(Endpoint);
    if (*rc::gen::inRange(0, 4) == 0)
      Fixture.Budget.Result = reserve_result::Pending;
    const std::vector<int> Schedule =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, StepCount));
    endpoint_model Model;
    time_ms Now = Start;
    Fixture.Exchange.start(Now);
    for (int Item : Schedule) {
      Now += *rc::gen::inRange(0, 300);
      const std::size_t AttemptsBefore = Fixture.Host.AttemptedEndpoints.size();
      apply(Fixture, Model, static_cast<step>(Item), Now);
      if (Fixture.Host.AttemptedEndpoints.size() != AttemptsBefore) {
        Model.Responding = false;
        Model.Refusing = false;
        Model.SentHalfEvent = false;
      }
      // Another attempt only if the call is repeatable or has not run.
      if (!isRepeatable(Kind))
        RC_ASSERT(Model.MayHaveRun <= 1);
      RC_ASSERT(Model.MayHaveRun <= MaxAttempts);
      RC_ASSERT(Fixture.Host.FinalResponses <= 1);
    }
    Fixture.Exchange.onTimer(Start + Timeout + 1);
    RC_ASSERT(Fixture.Exchange.isDone());
    RC_ASSERT(!Fixture.Host.InFlight);
    const bool CallerDisconnected =
        Fixture.Exchange.report().CallerDisconnected;
    RC_ASSERT(Fixture.Host.FinalResponses == (CallerDisconnected ? 0 : 1));
    // These statuses promise that no endpoint ran the call.
    if (Fixture.Host.RefusedWith) {
      const calls::error_definition &Row =
          calls::definitionOf(*Fixture.Host.RefusedWith);
      const bool PromisesNotRun = Row.Status == 503 || Row.Status == 429 ||
                                  Row.Status == 408 || Row.Status == 421;
      if (PromisesNotRun)
        RC_ASSERT(Model.MayHaveRun == 0);
    }
    RC_ASSERT(Fixture.Budget.Reserved == 0);
    RC_ASSERT(!Fixture.Budget.IsAwaited);
    RC_ASSERT(Fixture.Budget.Billed <= 150);
    RC_ASSERT(Fixture.Placement.Outcomes.size() ==
              static_cast<std::size_t>(Fixture.Placement.SentAttempts));
    RC_ASSERT(!isStream(Kind) || Model.EventVersions.size() <= 1);
    // The caller has complete events only, each once, in order.
    if (isStream(Kind) && Fixture.Host.ResponsesBegun > 0) {
      event_stream_parser Parser;
      Parser.push(Fixture.Host.Body);
      std::int64_t Last = 0;
      while (const std::optional<stream_event> Event = Parser.next())
        RC_ASSERT(Event->Id == ++Last);
    }
  }));
}

// Guards against a look-up by length that differs from the rule: the route of
// the host with the longest prefix that the path begins with.
TEST_CASE("the route with the longest matching prefix is found",
          "[relay][property]") {
  CHECK(rc::check("longest prefix", [] {
    const rc::Gen<std::string> Text =
        rc::gen::container<std::string>(rc::gen::element('/', 'a', 'b'));
    const std::vector<std::string> Prefixes =
        *rc::gen::container<std::vector<std::string>>(Text);
    const std::string Path = *Text;
    route_table Table;
    std::optional<std::string> Longest;
    for (const std::string &Prefix : Prefixes) {
      route Route;
      Route.Host = "h";
      Route.PathPrefix = Prefix;
      Table.add(Route);
      if (Path.starts_with(Prefix) &&
          (!Longest || Prefix.size() > Longest->size()))
        Longest = Prefix;
    }
    const route *Found = Table.findRoute("h", Path);
    RC_ASSERT((Found != nullptr) == Longest.has_value());
    if (Found != nullptr)
      RC_ASSERT(Found->PathPrefix == *Longest);
    RC_ASSERT(Table.findRoute("other", Path) == nullptr);
  }));
}

namespace {

// Offers other instances in place of endpoints.
class instance_placement final : public placement {
public:
  std::optional<endpoint_choice>
  choose(const call &, const std::set<std::string> &Tried, time_ms) override {
    for (const char *Name : {"i1", "i2", "i3", "i4", "i5"}) {
      endpoint_choice Choice{Name, std::string(Name) + ":1"};
      Choice.IsInstance = true;
      if (!Tried.contains(Name))
        return Choice;
    }
    return std::nullopt;
  }
  void onSent(const call &, std::string_view, time_ms) override {}
  void onFirstByte(const call &, std::string_view, time_ms) override {}
  void onEnded(const call &, std::string_view, attempt_outcome,
               time_ms) override {}
  bool tryRetry(std::string_view, time_ms) override { return ++Retries > 0; }
  placement_refusal refusal(const call &) const override {
    return {error_kind::NoEndpoint, 250};
  }

  int Retries = 0;
};

struct forwarding_exchange_fixture {
  explicit forwarding_exchange_fixture(call Call)
      : Exchange(std::move(Call), Placement, Budget, Origins, Reader, Host,
                 Memory) {
    Exchange.start(Start);
  }

  // The instance answers with an error of its own.
  void receiveError(error_kind Kind, int RetryAfterMs = 0) {
    response_head Head = headOf(calls::definitionOf(Kind).Status);
    Head.InstanceError = placement_refusal{Kind, RetryAfterMs};
    Head.NotRun =
        calls::definitionOf(Kind).RanAtEndpoint == calls::ran_at_endpoint::No;
    Exchange.onHead(Head, Start + 10);
    Exchange.onEnd(Start + 10);
  }

  memory::memory_budget Memory{64u << 20};
  instance_placement Placement;
  fake_token_budget Budget;
  fake_origins Origins;
  numbered_event_reader Reader;
  fake_host Host;
  exchange Exchange;
};

} // namespace

// Guards against a call that an instance without a path ends, though others
// have one, and against one that goes round among many.
TEST_CASE("a call that another instance did not send goes to the next one",
          "[relay][forwarding]") {
  const error_kind Kind = GENERATE(error_kind::NoEndpoint, error_kind::NotReady,
                                   error_kind::InstanceFull);
  forwarding_exchange_fixture Fixture(callOf(call_kind::NotRepeatable, 1));
  for (int Count = 0; Count < 3; ++Count) {
    CHECK_FALSE(Fixture.Host.RefusedWith);
    Fixture.receiveError(Kind);
  }
  CHECK(Fixture.Host.AttemptedEndpoints.size() == 4);
  Fixture.receiveError(Kind);
  CHECK(Fixture.Host.RefusedWith == error_kind::NoEndpoint);
  CHECK(Fixture.Placement.Retries == 0);
  CHECK(Fixture.Budget.Billed == 0);
  CHECK(Fixture.Budget.Reserved == 0);
}

TEST_CASE("the caller gets what another instance says of its endpoints",
          "[relay][forwarding]") {
  forwarding_exchange_fixture Fixture(callOf(call_kind::NotRepeatable, 1));
  SECTION("they are busy") {
    Fixture.receiveError(error_kind::Overloaded, 77);
    CHECK(Fixture.Host.RefusedWith == error_kind::Overloaded);
    CHECK(Fixture.Host.AdvisedRetryMs == 77);
  }
  SECTION("nobody knows whether it has run") {
    Fixture.receiveError(error_kind::OutcomeUnknown);
    CHECK(Fixture.Host.RefusedWith == error_kind::EndpointFailed);
    CHECK(Fixture.Host.AttemptedEndpoints.size() == 1);
  }
  SECTION("the way to it breaks") {
    Fixture.Exchange.onBroken(Start + 10);
    CHECK(Fixture.Host.RefusedWith == error_kind::EndpointFailed);
    CHECK(Fixture.Host.AttemptedEndpoints.size() == 1);
  }
}

// Guards against a stream that goes on at another version than that of the
// endpoint that another instance has chosen.
TEST_CASE("a forwarded stream is bound to the version that began it",
          "[relay][forwarding]") {
  call Call = callOf(call_kind::ResumableStream);
  Call.StreamKey = 7;
  forwarding_exchange_fixture Fixture(Call);
  const bool IsCertain = GENERATE(true, false);
  response_head Head = headOf(200);
  Head.ForwardedResult = forwarded_result{"e", 1, "v2", IsCertain};
  Fixture.Exchange.onHead(Head, Start + 10);
  Fixture.Exchange.onBody("id: 0\n\n", Start + 11);
  CHECK(Fixture.Exchange.request().RequiredVersion == "v2");
  CHECK(Fixture.Origins.BegunVersions ==
        std::vector<std::string>{IsCertain ? "v2" : ""});
  Fixture.Exchange.onBroken(Start + 12);
  CHECK(Fixture.Host.AttemptedEndpoints.size() == (IsCertain ? 2 : 1));
}

// Guards against tokens that two instances reserve and bill.
TEST_CASE("a call that was forwarded here costs and records nothing",
          "[relay][forwarding]") {
  call Call = takenUpCall();
  Call.ForwardedBy = "i9";
  Call.RequiredVersion = "v1";
  Call.MaxAttempts = 1;
  exchange_fixture Fixture(Call);
  Fixture.Placement.Versions = {{"e1", "v1"}, {"e2", "v1"}};
  Fixture.Budget.Result = reserve_result::Exhausted;
  Fixture.Exchange.start(Start);
  CHECK(Fixture.Host.AttemptedEndpoints == std::vector<std::string>{"e1"});
  Fixture.Exchange.onHead(headOf(200), Start + 10);
  Fixture.Exchange.onBody("id: 5\n\n", Start + 11);
  CHECK(Fixture.Host.Body == "id: 5\n\n");
  CHECK(Fixture.Origins.BegunVersions.empty());
  Fixture.Exchange.onBroken(Start + 12);
  CHECK(Fixture.Host.AttemptedEndpoints.size() == 1);
  CHECK(Fixture.Host.AbortedResponses == 1);
  CHECK(Fixture.Budget.Billed == 0);
}

// Guards against calls that are placed by what an instance knew before it stood
// still, and against refusals of calls that it can place a moment later.
TEST_CASE("a call waits a moment for a list of endpoints that may decide",
          "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::NotRepeatable));
  Fixture.Placement.ListState = list_state::Pending;
  Fixture.Exchange.start(Start);
  CHECK(Fixture.Host.AttemptedEndpoints.empty());
  CHECK(Fixture.Budget.Reserved > 0);
  SECTION("it comes") {
    Fixture.Exchange.onListRead(Start + 10);
    CHECK(Fixture.Host.AttemptedEndpoints.empty());
    Fixture.Placement.ListState = list_state::Current;
    Fixture.Exchange.onListRead(Start + 20);
    CHECK(Fixture.Host.AttemptedEndpoints == std::vector<std::string>{"e1"});
    CHECK(Fixture.Exchange.report().ListWaitMs == 20);
  }
  SECTION("it comes, and no endpoint is left") {
    Fixture.Placement.Endpoints.clear();
    Fixture.Placement.ListState = list_state::Current;
    Fixture.Exchange.onListRead(Start + 20);
    CHECK(Fixture.Host.RefusedWith == error_kind::NoEndpoint);
  }
  SECTION("it does not come") {
    const time_ms Due = Fixture.Exchange.nextTimer();
    CHECK(Due <= Start + 400);
    Fixture.Exchange.onTimer(Due);
    CHECK(Fixture.Host.RefusedWith == error_kind::NotReady);
    CHECK(Fixture.Budget.Reserved == 0);
    CHECK(Fixture.Budget.Billed == 0);
  }
  SECTION("the wait shows that the instance is cut off") {
    Fixture.Placement.ListState = list_state::Current;
    Fixture.Exchange.onTimer(Fixture.Exchange.nextTimer());
    CHECK(Fixture.Host.AttemptedEndpoints == std::vector<std::string>{"e1"});
  }
  SECTION("the caller leaves") {
    Fixture.Exchange.onCallerDisconnected(Start + 10);
    CHECK(Fixture.Exchange.isDone());
    CHECK(Fixture.Budget.Reserved == 0);
  }
}

TEST_CASE("a call is refused at once if the list can't be read soon",
          "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::Idempotent));
  Fixture.Placement.ListState = list_state::Outdated;
  Fixture.Exchange.start(Start);
  CHECK(Fixture.Host.RefusedWith == error_kind::NotReady);
  CHECK(Fixture.Host.AdvisedRetryMs == OtherInstanceRetryAfterMs);
  CHECK(Fixture.Host.AttemptedEndpoints.empty());
}

TEST_CASE("a second attempt is not sent by an old list either", "[relay]") {
  exchange_fixture Fixture(callOf(call_kind::Idempotent));
  Fixture.Exchange.start(Start);
  SECTION("it waits for the list") {
    Fixture.Placement.ListState = list_state::Pending;
    Fixture.Exchange.onBroken(Start + 10);
    CHECK(Fixture.Host.AttemptedEndpoints.size() == 1);
    Fixture.Placement.ListState = list_state::Current;
    Fixture.Placement.Endpoints = {"e3"};
    Fixture.Exchange.onListRead(Start + 20);
    CHECK(Fixture.Host.AttemptedEndpoints.back() == "e3");
  }
  SECTION("it waits in vain: the first attempt may have run") {
    Fixture.Placement.ListState = list_state::Pending;
    Fixture.Exchange.onBroken(Start + 10);
    Fixture.Exchange.onTimer(Fixture.Exchange.nextTimer());
    CHECK(Fixture.Host.RefusedWith == error_kind::EndpointFailed);
  }
  SECTION("there is none by a list that can't be read soon") {
    Fixture.Placement.ListState = list_state::Outdated;
    Fixture.Exchange.onBroken(Start + 10);
    CHECK(Fixture.Host.RefusedWith == error_kind::EndpointFailed);
    CHECK(Fixture.Host.AttemptedEndpoints.size() == 1);
  }
  SECTION("nothing was sent yet, and the list got old") {
    Fixture.Placement.ListState = list_state::Outdated;
    Fixture.Exchange.onWithdrawn(Start + 10);
    CHECK(Fixture.Host.RefusedWith == error_kind::NotReady);
  }
}
