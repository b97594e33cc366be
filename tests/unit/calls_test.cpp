// Error kinds, keys, single execution and whole answers.
#include "tamarack/calls.hpp"

#include "tamarack/relay.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace tamarack;
using namespace tamarack::calls;

TEST_CASE("the error table is closed and in order", "[calls]") {
  std::set<std::string_view> Names;
  std::size_t Index = 0;
  for (const error_row &Row : allErrors()) {
    CHECK(static_cast<std::size_t>(Row.Kind) == Index++);
    CHECK(&rowOf(Row.Kind) == &Row);
    CHECK(Names.insert(Row.Name).second);
    CHECK(Row.Status >= 400);
    CHECK((Row.Advice == retry_advice::Never) == (Row.RetryAfterMs == 0));
  }
  CHECK(Index == static_cast<std::size_t>(error_kind::Internal) + 1);
}

TEST_CASE("an error body says whether the request ran and when to return",
          "[calls]") {
  const std::string Body =
      errorBody(call_error(error_kind::RateLimited, {}, 250));
  CHECK(Body.find("\"ran\":\"no\"") != std::string::npos);
  CHECK(Body.find("\"retry_after_ms\":250") != std::string::npos);
}

TEST_CASE("key forms", "[calls]") {
  const call_key Ticket =
      parseKey(mintTicket({0xabcdef, "sul-a-1"}, 1234567, 9));
  CHECK(Ticket.Form == key_form::Ticket);
  CHECK(Ticket.Runner == money::executor_id{0xabcdef, "sul-a-1"});
  CHECK(Ticket.Minted == 1234567);
  const call_key Minted = parseKey(mintKey(1234567, 77));
  CHECK(Minted.Form == key_form::Timed);
  CHECK(Minted.Minted == 1234567);
  const call_key Uuid = parseKey("018f3a1e-7b2c-7def-8abc-0123456789ab");
  CHECK(Uuid.Form == key_form::Timed);
  CHECK(Uuid.Minted == 0x018f3a1e7b2c);
  for (std::string_view Text :
       {"", "abc", "t1-1-1-1", "t1-1-1-1-", "t1-", "t1-zz-1-1", "t1-1-1",
        "k1-0-0", "k1-12", "018f3a1e-7b2c-4def-8abc-0123456789ab",
        "018f3a1e-7b2c-7def-8abc-01234567890g", "t1-1-99999999999999999999-1"})
    CHECK(parseKey(Text).Form == key_form::Opaque);
}

TEST_CASE("a key starts at most once", "[calls][property]") {
  CHECK(rc::check("random begins, ends, undos and time", [] {
    run_book Book(64);
    std::map<int, int> Runs;
    std::map<int, time_ms> Minted;
    std::set<int> Dispatched;
    time_ms Now = 1'000'000'000;
    const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 5)));
    for (const auto &[Kind, Which] : Steps) {
      const money::request_key Key{1, static_cast<std::uint64_t>(Which)};
      Minted.try_emplace(Which, Now);
      switch (Kind) {
      case 0:
      case 1:
        if (Book.begin(Key, Minted[Which], Now).State == run_state::Start) {
          ++Runs[Which]; // Dispatched at once.
          Dispatched.insert(Which);
        }
        break;
      case 2:
        if (Dispatched.contains(Which))
          Book.finish(Key, {200, "text/plain", std::string(30, 'x')});
        break;
      case 3:
        if (Dispatched.contains(Which))
          Book.finishUnknown(Key);
        break;
      case 4:
        Now += money::KeyWindowMs / 2;
        break;
      case 5:
        Now += 3 * money::KeyWindowMs;
        break;
      }
      for (const auto &[Number, Count] : Runs)
        RC_ASSERT(Count == 1);
    }
  }));
}

TEST_CASE("an undone start may be started again", "[calls]") {
  run_book Book(1000);
  const money::request_key Key{1, 1};
  CHECK(Book.begin(Key, 5, 5).State == run_state::Start);
  CHECK(Book.begin(Key, 5, 5).State == run_state::Running);
  Book.undo(Key);
  CHECK(Book.begin(Key, 5, 5).State == run_state::Start);
  Book.finish(Key, {200, "t", "body"});
  const run_result Again = Book.begin(Key, 5, 5);
  CHECK(Again.State == run_state::Done);
  CHECK(Again.Answer->Body == "body");
  CHECK(Book.begin({1, 2}, 5, 6 + money::KeyWindowMs).State ==
        run_state::Expired);
}

namespace {

std::string event(int Number) {
  return "{\"id\":\"own\",\"choices\":[{\"delta\":{\"content\":\"w" +
         std::to_string(Number) + "\"}}]}";
}

} // namespace

TEST_CASE("only an answer's own events in order pass", "[calls]") {
  answer_checker Checker("req");
  CHECK(Checker.onEvent(0, event(0)) == event_verdict::Foreign);
  CHECK_FALSE(Checker.onHead("e1", "other", "s1"));
  CHECK(Checker.onHead("e1", "req", "s1"));
  CHECK(Checker.onEvent(0, event(0)) == event_verdict::Pass);
  CHECK(Checker.onEvent(2, event(2)) == event_verdict::Foreign);
  CHECK(Checker.onEvent(1, "{\"id\":\"other\"}") == event_verdict::Foreign);
  CHECK(Checker.onEvent(0, event(0)) == event_verdict::Repeat);
  CHECK(Checker.onEvent(1, event(1)) == event_verdict::Pass);
  CHECK_FALSE(Checker.onHead("e2", "req", "s1"));
  CHECK_FALSE(Checker.onHead("e1", "req", "s2"));
  CHECK_FALSE(Checker.onHead("e1", "req2", "s1"));
  CHECK(Checker.onHead("e1", "req", "s1"));
  CHECK(Checker.onEvent(2, "[DONE]") == event_verdict::Last);
  CHECK(Checker.isWhole());
  CHECK(Checker.onEvent(3, event(3)) == event_verdict::Foreign);
}

TEST_CASE("an end mark alone is no answer", "[calls]") {
  answer_checker Checker("req");
  CHECK(Checker.onHead("e", "req", "s"));
  CHECK(Checker.onEvent(0, "[DONE]") == event_verdict::Foreign);
}

TEST_CASE("any mix of attempts gives the own answer whole or not at all",
          "[calls][property]") {
  CHECK(rc::check("cuts, resumptions, repeats and strays", [] {
    constexpr int Length = 6;
    answer_checker Checker("req");
    RC_ASSERT(Checker.onHead("e", "req", "s"));
    std::string Passed;
    bool Whole = false;
    const auto Events = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, Length + 1), rc::gen::inRange(0, 9)));
    for (const auto &[Position, Kind] : Events) {
      const bool Stray = Kind == 0;
      const std::string Data = Stray                ? "{\"id\":\"stray\"}"
                               : Position == Length ? "[DONE]"
                                                    : event(Position);
      const event_verdict Verdict = Checker.onEvent(Position, Data);
      if (Verdict == event_verdict::Pass)
        Passed += Data;
      if (Verdict == event_verdict::Last)
        Whole = true;
    }
    std::string Expected;
    for (int At = 0; At < Length; ++At)
      Expected += event(At);
    RC_ASSERT(Passed == Expected.substr(0, Passed.size()) ||
              Passed.find("stray") != std::string::npos);
    if (Whole)
      RC_ASSERT(Passed == Expected);
  }));
}

TEST_CASE("usage is read and recognised", "[calls]") {
  answer_checker Checker("req");
  Checker.onHead("e", "req", "s");
  Checker.onEvent(0, event(0));
  const std::string Usage =
      "{\"id\":\"own\",\"choices\":[],\"usage\":{\"prompt_tokens\":7,"
      "\"completion_tokens\":3}}";
  CHECK(isUsageOnly(Usage));
  CHECK(Checker.onEvent(1, Usage) == event_verdict::Pass);
  CHECK(Checker.hasUsage());
  CHECK(Checker.promptTokens() == 7);
  CHECK(Checker.completionTokens() == 3);
  CHECK(Checker.contentEvents() == 1);
}

TEST_CASE("events may end with CR LF", "[calls]") {
  relay::event_splitter Splitter;
  Splitter.push("id: 0\r\ndata: a\r\n\r\ndata: b\r\n\r");
  const auto First = Splitter.next();
  REQUIRE(First);
  CHECK(First->Data == "a");
  CHECK_FALSE(Splitter.next());
  Splitter.push("\n");
  CHECK(Splitter.next()->Data == "b");
}

TEST_CASE("events are cut the same however bytes arrive", "[calls][property]") {
  const std::string Text = "id: 0\ndata: a\n\ndata: b\ndata: c\n\nid: x\r\n"
                           "data: d\r\n\n\n: note\n\n";
  relay::event_splitter Whole;
  Whole.push(Text);
  std::vector<std::string> Expected;
  while (const auto Event = Whole.next())
    Expected.push_back(std::to_string(Event->Id) + Event->Data);
  REQUIRE(Expected.size() == 4);
  CHECK(Expected[0] == "0a");
  CHECK(Expected[1] == "-1b\nc");
  CHECK(Expected[2] == "-1d");
  CHECK(rc::check("random pieces", [&Text, &Expected] {
    relay::event_splitter Splitter;
    std::vector<std::string> Got;
    std::size_t At = 0;
    while (At < Text.size()) {
      const std::size_t Size = *rc::gen::inRange<std::size_t>(1, 9);
      Splitter.push(std::string_view(Text).substr(At, Size));
      At += Size;
      while (const auto Event = Splitter.next())
        Got.push_back(std::to_string(Event->Id) + Event->Data);
    }
    RC_ASSERT(Got == Expected);
  }));
}
