// Error kinds, idempotency keys, single execution, streamed responses.
#include "tamarack/calls.hpp"

#include "tamarack/relay.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace tamarack;
using namespace tamarack::calls;

TEST_CASE("the error table has one entry per kind, in order", "[calls]") {
  std::set<std::string_view> Names;
  std::size_t Index = 0;
  for (const error_definition &Row : allErrors()) {
    CHECK(static_cast<std::size_t>(Row.Kind) == Index++);
    CHECK(&definitionOf(Row.Kind) == &Row);
    CHECK(Names.insert(Row.Name).second);
    CHECK(Row.Status >= 400);
    CHECK((Row.RetryAdvice == retry_advice::Never) == (Row.RetryAfterMs == 0));
  }
  CHECK(Index == static_cast<std::size_t>(error_kind::Internal) + 1);
}

TEST_CASE("an error body says whether the request ran and when to retry",
          "[calls]") {
  const std::string Body =
      errorBody(call_error(error_kind::RateLimited, {}, 250));
  CHECK(Body.find("\"ran\":\"no\"") != std::string::npos);
  CHECK(Body.find("\"retry_after_ms\":250") != std::string::npos);
}

TEST_CASE("parseKey recognises the forms of keys", "[calls]") {
  const idempotency_key Ticket =
      parseKey(mintTicket({0xabcdef, "sul-a-1"}, 1234567, 9));
  CHECK(Ticket.Form == key_form::Ticket);
  CHECK(Ticket.Executor == ledger::executor_id{0xabcdef, "sul-a-1"});
  CHECK(Ticket.MintedAt == 1234567);
  const idempotency_key Minted = parseKey(mintKey(1234567, 77));
  CHECK(Minted.Form == key_form::Timestamped);
  CHECK(Minted.MintedAt == 1234567);
  const idempotency_key Uuid = parseKey("018f3a1e-7b2c-7def-8abc-0123456789ab");
  CHECK(Uuid.Form == key_form::Timestamped);
  CHECK(Uuid.MintedAt == 0x018f3a1e7b2c);
  for (std::string_view Text :
       {"", "abc", "t1-1-1-1", "t1-1-1-1-", "t1-", "t1-zz-1-1", "t1-1-1",
        "k1-0-0", "k1-12", "018f3a1e-7b2c-4def-8abc-0123456789ab",
        "018f3a1e-7b2c-7def-8abc-01234567890g", "t1-1-99999999999999999999-1"})
    CHECK(parseKey(Text).Form == key_form::Opaque);
}

TEST_CASE("a key starts at most once", "[calls][property]") {
  CHECK(rc::check("random begins, ends and time steps", [] {
    execution_registry Registry(64);
    std::map<int, int> Starts;
    std::map<int, time_ms> MintedAt;
    std::set<int> Dispatched;
    time_ms Now = 1'000'000'000;
    const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 5)));
    for (const auto &[Step, KeyNumber] : Steps) {
      const ledger::request_key Key{1, static_cast<std::uint64_t>(KeyNumber)};
      MintedAt.try_emplace(KeyNumber, Now);
      switch (Step) {
      case 0:
      case 1:
        if (Registry.begin(Key, MintedAt[KeyNumber], Now).State ==
            execution_state::New) {
          ++Starts[KeyNumber]; // The request is dispatched at once.
          Dispatched.insert(KeyNumber);
        }
        break;
      case 2:
        if (Dispatched.contains(KeyNumber))
          Registry.finish(Key, {200, "text/plain", std::string(30, 'x')});
        break;
      case 3:
        if (Dispatched.contains(KeyNumber))
          Registry.finishWithUnknownOutcome(Key);
        break;
      case 4:
        Now += ledger::KeyWindowMs / 2;
        break;
      case 5:
        Now += 3 * ledger::KeyWindowMs;
        break;
      }
      for (const auto &[Number, Count] : Starts)
        RC_ASSERT(Count == 1);
    }
  }));
}

TEST_CASE("a cancelled start may be started again", "[calls]") {
  execution_registry Registry(1000);
  const ledger::request_key Key{1, 1};
  CHECK(Registry.begin(Key, 5, 5).State == execution_state::New);
  CHECK(Registry.begin(Key, 5, 5).State == execution_state::Running);
  Registry.cancelStart(Key);
  CHECK(Registry.begin(Key, 5, 5).State == execution_state::New);
  Registry.finish(Key, {200, "t", "body"});
  const begin_result Again = Registry.begin(Key, 5, 5);
  CHECK(Again.State == execution_state::Finished);
  CHECK(Again.Response->Body == "body");
  CHECK(Registry.begin({1, 2}, 5, 6 + ledger::KeyWindowMs).State ==
        execution_state::KeyExpired);
}

namespace {

std::string event(int Number) {
  return "{\"id\":\"own\",\"choices\":[{\"delta\":{\"content\":\"w" +
         std::to_string(Number) + "\"}}]}";
}

} // namespace

TEST_CASE("only the response's own events are valid, in order", "[calls]") {
  stream_validator Validator("req");
  CHECK(Validator.checkEvent(0, event(0)) == event_check_result::Foreign);
  CHECK_FALSE(Validator.checkHead("e1", "other", "s1"));
  CHECK(Validator.checkHead("e1", "req", "s1"));
  CHECK(Validator.checkEvent(0, event(0)) == event_check_result::Valid);
  CHECK(Validator.checkEvent(2, event(2)) == event_check_result::Foreign);
  CHECK(Validator.checkEvent(1, "{\"id\":\"other\"}") ==
        event_check_result::Foreign);
  CHECK(Validator.checkEvent(0, event(0)) == event_check_result::Duplicate);
  CHECK(Validator.checkEvent(1, event(1)) == event_check_result::Valid);
  CHECK_FALSE(Validator.checkHead("e2", "req", "s1"));
  CHECK_FALSE(Validator.checkHead("e1", "req", "s2"));
  CHECK_FALSE(Validator.checkHead("e1", "req2", "s1"));
  CHECK(Validator.checkHead("e1", "req", "s1"));
  CHECK(Validator.checkEvent(2, "[DONE]") == event_check_result::EndOfStream);
  CHECK(Validator.isComplete());
  CHECK(Validator.checkEvent(3, event(3)) == event_check_result::Foreign);
}

// Guards against "not run" for a request that runs, because an endpoint has
// written an earlier refusal once more.
TEST_CASE("a refusal on a used connection must name its request", "[calls]") {
  CHECK(isRefusalOf("a", "a", true));
  CHECK(isRefusalOf("a", "a", false));
  CHECK(isRefusalOf("a", "", true));
  CHECK_FALSE(isRefusalOf("a", "", false));
  CHECK_FALSE(isRefusalOf("a", "b", true));
  CHECK_FALSE(isRefusalOf("a", "b", false));
}

// Guards against a resumption that asks for another path, or is no request,
// because of what the endpoint calls its stream.
TEST_CASE("an odd stream id is one segment of the path", "[calls]") {
  CHECK(resumptionPath("engine-0.7_~") == "/v1/streams/engine-0.7_~");
  CHECK(resumptionPath("a/../b?c#d e%2F\xe9") ==
        "/v1/streams/a%2F..%2Fb%3Fc%23d%20e%252F%E9");
}

TEST_CASE("an end marker without content is not valid", "[calls]") {
  stream_validator Validator("req");
  CHECK(Validator.checkHead("e", "req", "s"));
  CHECK(Validator.checkEvent(0, "[DONE]") == event_check_result::Foreign);
}

TEST_CASE("a complete stream has each event of the response once",
          "[calls][property]") {
  CHECK(rc::check("random positions, duplicates and foreign events", [] {
    constexpr int EventCount = 6;
    stream_validator Validator("req");
    RC_ASSERT(Validator.checkHead("e", "req", "s"));
    std::string PassedOn;
    bool Complete = false;
    const auto Events =
        *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
            rc::gen::inRange(0, EventCount + 1), rc::gen::inRange(0, 9)));
    for (const auto &[Position, Kind] : Events) {
      const bool Foreign = Kind == 0;
      const std::string Data = Foreign                  ? "{\"id\":\"stray\"}"
                               : Position == EventCount ? "[DONE]"
                                                        : event(Position);
      const event_check_result Result = Validator.checkEvent(Position, Data);
      if (Result == event_check_result::Valid)
        PassedOn += Data;
      if (Result == event_check_result::EndOfStream)
        Complete = true;
    }
    std::string Expected;
    for (int Number = 0; Number < EventCount; ++Number)
      Expected += event(Number);
    RC_ASSERT(PassedOn == Expected.substr(0, PassedOn.size()) ||
              PassedOn.find("stray") != std::string::npos);
    if (Complete)
      RC_ASSERT(PassedOn == Expected);
  }));
}

TEST_CASE("usage is read from the stream", "[calls]") {
  stream_validator Validator("req");
  Validator.checkHead("e", "req", "s");
  Validator.checkEvent(0, event(0));
  const std::string Usage =
      "{\"id\":\"own\",\"choices\":[],\"usage\":{\"prompt_tokens\":7,"
      "\"completion_tokens\":3}}";
  CHECK(isUsageOnlyEvent(Usage));
  CHECK(Validator.checkEvent(1, Usage) == event_check_result::Valid);
  CHECK(Validator.hasUsage());
  CHECK(Validator.promptTokens() == 7);
  CHECK(Validator.completionTokens() == 3);
  CHECK(Validator.contentEventCount() == 1);
}

TEST_CASE("events may end with CR LF", "[calls]") {
  relay::event_stream_parser Splitter;
  Splitter.push("id: 0\r\ndata: a\r\n\r\ndata: b\r\n\r");
  const auto First = Splitter.next();
  REQUIRE(First);
  CHECK(First->Data == "a");
  CHECK_FALSE(Splitter.next());
  Splitter.push("\n");
  CHECK(Splitter.next()->Data == "b");
}

TEST_CASE("events are split the same however the bytes arrive",
          "[calls][property]") {
  const std::string Text = "id: 0\ndata: a\n\ndata: b\ndata: c\n\nid: x\r\n"
                           "data: d\r\n\n\n: note\n\n";
  relay::event_stream_parser AtOnce;
  AtOnce.push(Text);
  std::vector<std::string> Expected;
  while (const auto Event = AtOnce.next())
    Expected.push_back(std::to_string(Event->Id) + Event->Data);
  REQUIRE(Expected.size() == 4);
  CHECK(Expected[0] == "0a");
  CHECK(Expected[1] == "-1b\nc");
  CHECK(Expected[2] == "-1d");
  CHECK(rc::check("random chunks", [&Text, &Expected] {
    relay::event_stream_parser Splitter;
    std::vector<std::string> Events;
    std::size_t Offset = 0;
    while (Offset < Text.size()) {
      const std::size_t Size = *rc::gen::inRange<std::size_t>(1, 9);
      Splitter.push(std::string_view(Text).substr(Offset, Size));
      Offset += Size;
      while (const auto Event = Splitter.next())
        Events.push_back(std::to_string(Event->Id) + Event->Data);
    }
    RC_ASSERT(Events == Expected);
  }));
}
