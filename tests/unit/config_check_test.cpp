// Tests of what has no effect in a valid configuration.
#include "tamarack/config.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace tamarack;
using namespace tamarack::config;

namespace {

// Nothing to warn of.
constexpr std::string_view SoundJson = R"({
  "tamarackhall": 1,
  "accounts": [{"name": "a", "labels": {"team": "ring"}, "key_sha256": [
    "b5b4d6c330949dedc575342160939b1b486ab87a7046088848c10dc141672a34"]}],
  "models": [{"name": "m"}],
  "services": [{"name": "s", "timeout_ms": 2000}],
  "endpoints": [
    {"name": "e1", "url": "http://h:1", "zone": "z1", "labels": {"use": "x"}},
    {"name": "e2", "url": "http://h:2", "zone": "z1", "kind": "service"}],
  "pools": [{"name": "p", "selector": {"use": "x"}},
            {"name": "q", "kind": "service"}],
  "rules": [
    {"name": "first", "order": 10, "target": "m", "pool": "p",
     "account": {"team": ["ring", "hall"]}},
    {"name": "second", "order": 20, "target": "s", "pool": "q"}],
  "targets": [{"name": "t", "subject": "s", "first_token_ms": 500}]
})";

std::string replaced(std::string_view From, std::string_view To) {
  std::string Text(SoundJson);
  const std::size_t At = Text.find(From);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, From.size(), To);
}

// Each as "LOCATION MESSAGE".
std::vector<std::string> warningsOf(const std::string &Json) {
  const read_result Result = readDocument(Json);
  std::vector<config_error> Errors;
  const std::shared_ptr<const configuration> Built =
      buildConfiguration(Result.Document, 1, Errors);
  REQUIRE(Built);
  std::vector<std::string> Texts;
  for (const config_warning &Warning : findWarnings(*Built))
    Texts.push_back(Warning.Location + " " + Warning.Message);
  return Texts;
}

std::vector<std::string> warningsAfter(std::string_view From,
                                       std::string_view To) {
  return warningsOf(replaced(From, To));
}

using texts = std::vector<std::string>;

// Warnings if the second rule for model m has these selectors and the first one
// those.
bool isShadowed(const std::string &First, const std::string &Second) {
  const texts Warnings = warningsAfter(
      R"({"name": "second",)",
      R"({"name": "w", "order": 11, "target": "*", "pool": "p", "request": )" +
          First +
          R"(}, {"name": "n", "order": 12, "target": "m", "pool": "p",
              "request": )" +
          Second + R"(}, {"name": "second",)");
  return std::any_of(Warnings.begin(), Warnings.end(),
                     [](const std::string &Text) {
                       return Text.starts_with("/rules/n never applies");
                     });
}

} // namespace

// Guards against a check that operators ignore because it warns of what is
// right.
TEST_CASE("a sound configuration has no warnings", "[config_check]") {
  CHECK(warningsOf(std::string(SoundJson)).empty());
}

TEST_CASE("what nothing leads to is a warning", "[config_check]") {
  CHECK(warningsAfter(R"("models": [{"name": "m"}])",
                      R"("models": [{"name": "m"}, {"name": "n"}])") ==
        texts{"/models/n is the target of no rule"});
  CHECK(warningsAfter(R"("services": [)", R"("services": [{"name": "r"}, )") ==
        texts{"/services/r is the target of no rule"});
  CHECK(warningsAfter(R"({"name": "q", "kind": "service"})",
                      R"({"name": "q", "kind": "service"}, {"name": "r"})") ==
        texts{"/pools/r is the pool of no rule"});
  CHECK(warningsAfter(R"("endpoints": [)",
                      R"("endpoints": [{"name": "e0", "zone": "z1",
                         "url": "http://h:3", "labels": {"use": "y"}}, )") ==
        texts{"/endpoints/e0 belongs to no pool"});
  CHECK(warningsAfter(R"("target": "s", "pool": "q")",
                      R"("target": "s", "pool": "q",
                         "account": {"team": {"not": "ring"}})") ==
        texts{"/rules/second/account matches no account"});
}

TEST_CASE("an account that nobody can use is a warning", "[config_check]") {
  CHECK(warningsAfter(R"("accounts": [)", R"("accounts": [{"name": "b"}, )") ==
        texts{"/accounts/b/key_sha256 is missing, so nobody can use it"});
  const texts Warnings = warningsAfter(
      R"({"name": "second", "order": 20, "target": "s", "pool": "q"})",
      R"({"name": "second", "order": 20, "target": "s", "pool": "q",
          "account": {"team": "hall"}})");
  CHECK(Warnings == texts{"/rules/second/account matches no account"});
  CHECK(warningsAfter(R"({"team": "ring"})", R"({"team": "bell"})") ==
        texts{"/rules/first/account matches no account"});
}

TEST_CASE("a selector that matches nothing is a warning", "[config_check]") {
  CHECK(warningsAfter(R"("selector": {"use": "x"})",
                      R"("selector": {"usage": "x"})") ==
        texts{"/endpoints/e1 belongs to no pool",
              "/pools/p/selector needs the label \"usage\", which no endpoint "
              "has"});
  CHECK(warningsAfter(R"("selector": {"use": "x"})",
                      R"("selector": {"use": "y"})") ==
        texts{"/endpoints/e1 belongs to no pool",
              "/pools/p/selector matches no endpoint"});
  CHECK(
      warningsAfter(R"({"team": ["ring", "hall"]})", R"({"group": "ring"})") ==
      texts{"/rules/first/account needs the label \"group\", which no account "
            "has"});
  CHECK(warningsAfter(R"("labels": {"use": "x"})",
                      R"("labels": {"use": "x"}, "draining": true)") ==
        texts{"/pools/p has only endpoints that are draining"});
}

TEST_CASE("values that contradict each other are warnings", "[config_check]") {
  CHECK(
      warningsAfter(R"("first_token_ms": 500)", R"("first_token_ms": 2500)") ==
      texts{"/services/s/timeout_ms is below first_token_ms of target \"t\": "
            "a request that may still meet it is given up"});
  CHECK(warningsAfter(R"("subject": "s")", R"("subject": "r")") ==
        texts{"/targets/t/subject is not the name of a model or service"});
  CHECK(warningsAfter(R"("targets": [)",
                      R"("targets": [{"name": "r", "subject": "s"}, )") ==
        texts{"/targets/t/subject is that of another target too; only one of "
              "them counts"});
  CHECK(warningsAfter(R"("target": "s", "pool": "q")",
                      R"("target": "s", "pool": "p")") ==
        texts{"/pools/q is the pool of no rule",
              "/rules/second/pool has endpoints of another kind than the "
              "target"});
}

// Guards against a rule that is called useless although it applies to some
// requests.
TEST_CASE("a rule behind a wider one never applies", "[config_check]") {
  const char *Shadowed[][2] = {
      {"{}", "{}"},
      {"{}", R"({"l": "x"})"},
      {R"({"l": "x"})", R"({"l": "x"})"},
      {R"({"l": ["x", "y"]})", R"({"l": "y"})"},
      {R"({"l": {"exists": true}})", R"({"l": "x"})"},
      {R"({"l": {"not": "x"}})", R"({"l": "y"})"},
      {R"({"l": {"not": "x"}})", R"({"l": {"not": ["x", "y"]}})"},
      {R"({"l": {"not": "x"}})", R"({"l": {"exists": false}})"},
      {R"({"l": "x"})", R"({"l": "x", "k": "y"})"}};
  for (const auto &[First, Second] : Shadowed) {
    CAPTURE(First, Second);
    CHECK(isShadowed(First, Second));
  }
  const char *Needed[][2] = {
      {R"({"l": "x"})", "{}"},
      {R"({"l": "x"})", R"({"l": "y"})"},
      {R"({"l": "x"})", R"({"l": ["x", "y"]})"},
      {R"({"l": "x"})", R"({"k": "x"})"},
      {R"({"l": "x"})", R"({"l": {"exists": true}})"},
      {R"({"l": {"exists": true}})", R"({"l": {"not": "x"}})"},
      {R"({"l": {"not": "x"}})", R"({"l": {"exists": true}})"},
      {R"({"l": {"not": ["x", "y"]}})", R"({"l": {"not": "x"}})"},
      {R"({"l": {"exists": false}})", R"({"l": {"not": "x"}})"},
      {R"({"l": {"exists": false}})", R"({"l": {"exists": true}})"},
      {R"({"l": "x", "k": "y"})", R"({"l": "x"})"}};
  for (const auto &[First, Second] : Needed) {
    CAPTURE(First, Second);
    CHECK_FALSE(isShadowed(First, Second));
  }
}
