// Load and experiment tool: sends requests, checks that every answer is whole
// and the caller's own, and prints one JSON object with counts and times.
#include "http_program.hpp"

#include "tamarack/calls.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iostream>
#include <sstream>

namespace tamarack::stand_ins {

namespace {

constexpr std::size_t ReadBytes = 16 * 1024;
constexpr int ReadMs = 60'000;
constexpr int BytesPerToken = 4; // As the engine stand-in counts prompts.

struct load_plan {
  std::vector<std::string> Urls; // Used in turn.
  std::string Mode;              // "stream", "whole" or "service".
  std::string Subject;           // Model or service.
  std::string Key;               // Bearer key; empty: endpoint called directly.
  std::string Path;              // Of a service call.
  int Streams = 1;               // Requests at once.
  double Rate = 0;               // Requests a second, 0: as fast as answered.
  std::int64_t Requests = 0;     // Largest number, 0: until Seconds.
  int Seconds = 10;
  int Tokens = 20;
  int PromptBytes = 64;
  int Prefixes = 0;     // Shared prompt beginnings, 0: none.
  int Retries = 0;      // With the same key, if the table allows it.
  bool Tickets = false; // Mint a ticket before each call.
  bool Repeatable = true;
  std::uint64_t Seed = 1;
};

struct load_result {
  std::map<std::string, std::uint64_t> Outcomes; // "ok" or the error kind.
  std::uint64_t Broken = 0;    // Answers that were not whole or not our own.
  std::uint64_t Tokens = 0;    // Prompt and completion of whole answers.
  std::vector<double> FirstMs; // Time to the first token or byte.
  std::vector<double> GapMs;   // Mean gap of each answer.
  std::vector<std::string> OkKeys;
  std::vector<std::string> UnknownKeys;
  std::vector<std::string> NotRunKeys;
};

double since(std::chrono::steady_clock::time_point Start) {
  const auto Took = std::chrono::steady_clock::now() - Start;
  return std::chrono::duration<double, std::milli>(Took).count();
}

struct attempt_outcome {
  std::string Kind; // "ok", an error kind, or "unreached", "broken".
  std::string Ran = "unknown";
  std::string Advice = "never";
  int RetryAfterMs = 0;
  double FirstMs = 0;
  double GapMs = 0;
  std::string Key;
  std::int64_t PromptTokens = 0;
};

class worker {
public:
  worker(const load_plan &Plan, endpoint_client &Link, std::uint64_t Seed)
      : Plan(Plan), Link(Link), Engine(Seed),
        NextUrl(static_cast<std::size_t>(Seed)) {}

  void request(load_result &Result);

private:
  std::string makeKey();
  std::string makeBody();
  attempt_outcome attempt(const std::string &Url, const std::string &Key);
  attempt_outcome readStream(response_source &Source, attempt_outcome Outcome,
                             std::chrono::steady_clock::time_point Start);
  static void readError(const std::string &Body, attempt_outcome &Outcome);
  std::string expectedText() const;

  const load_plan &Plan;
  endpoint_client &Link;
  std::mt19937_64 Engine;
  std::size_t NextUrl;
  std::string Prompt;
};

std::string worker::expectedText() const {
  std::string Text;
  for (int At = 0; At < Plan.Tokens; ++At)
    Text += (At == 0 ? "w" : " w") + std::to_string(At);
  return Text;
}

std::string worker::makeKey() {
  adapters::system_clock Clock;
  if (!Plan.Tickets)
    return calls::mintKey(Clock.now(), Engine());
  endpoint_request Request;
  Request.Path = "/v1/tickets";
  Request.Headers.push_back({"Authorization", "Bearer " + Plan.Key});
  try {
    const adapters::http_response Answer =
        adapters::fetch(Link, Plan.Urls[NextUrl % Plan.Urls.size()], Request);
    Poco::JSON::Parser Parser;
    const Poco::JSON::Object::Ptr Top =
        Parser.parse(Answer.Body).extract<Poco::JSON::Object::Ptr>();
    return Top->getArray("tickets")->getElement<std::string>(0);
  } catch (const std::exception &) { // The daemon is gone: any key will do.
    return calls::mintKey(Clock.now(), Engine());
  }
}

std::string worker::makeBody() {
  if (Plan.Mode == "service")
    return "{\"lot\":" + std::to_string(Engine() % 1000) + "}";
  const std::uint64_t Which =
      Plan.Prefixes > 0 ? Engine() % static_cast<std::uint64_t>(Plan.Prefixes)
                        : Engine();
  Prompt = "p" + std::to_string(Which) + " ";
  Prompt.resize(static_cast<std::size_t>(Plan.PromptBytes), 'x');
  return "{\"model\":\"" + Plan.Subject +
         "\",\"stream\":" + (Plan.Mode == "stream" ? "true" : "false") +
         ",\"max_tokens\":" + std::to_string(Plan.Tokens) +
         ",\"messages\":[{\"role\":\"user\",\"content\":\"" + Prompt + "\"}]}";
}

void worker::readError(const std::string &Body, attempt_outcome &Outcome) {
  Outcome.Kind = "unreadable_error";
  try {
    Poco::JSON::Parser Parser;
    const Poco::JSON::Object::Ptr Inner =
        Parser.parse(Body).extract<Poco::JSON::Object::Ptr>()->getObject(
            "error");
    if (Inner.isNull())
      return;
    Outcome.Kind = Inner->getValue<std::string>("kind");
    Outcome.Ran = Inner->getValue<std::string>("ran");
    Outcome.Advice = Inner->getValue<std::string>("retry");
    Outcome.RetryAfterMs = Inner->getValue<int>("retry_after_ms");
  } catch (const Poco::Exception &) { // Stays unreadable.
  }
}

// Checks words, order, the answer's id and the end marker.
attempt_outcome
worker::readStream(response_source &Source, attempt_outcome Outcome,
                   std::chrono::steady_clock::time_point Start) {
  std::string Text;
  std::string All;
  std::vector<char> Buffer(ReadBytes);
  double LastMs = 0;
  int Events = 0;
  while (const std::size_t Count = Source.read(Buffer)) {
    LastMs = since(Start);
    if (Events == 0)
      Outcome.FirstMs = LastMs;
    ++Events;
    All.append(Buffer.data(), Count);
  }
  const std::string Id = "\"id\":\"cmpl-" + Outcome.Key + "\"";
  std::istringstream Lines(All);
  std::string Line;
  bool Done = false;
  while (std::getline(Lines, Line)) {
    if (Line == "data: [DONE]") {
      Done = true;
      continue;
    }
    const std::size_t Content = Line.find("\"content\":\"");
    if (!Line.starts_with("data: {\"id\"")) {
      if (Line.starts_with("data: {\"error\"")) {
        readError(Line.substr(6), Outcome);
        return Outcome;
      }
      continue;
    }
    if (Line.find(Id) == std::string::npos) {
      Outcome.Kind = "foreign";
      return Outcome;
    }
    if (Content != std::string::npos) {
      const std::string Rest = Line.substr(Content + 11);
      Text += Rest.substr(0, Rest.find('"'));
    }
  }
  if (!Done)
    Outcome.Kind = "broken";
  else
    Outcome.Kind = Text == expectedText() ? "ok" : "wrong_text";
  if (Plan.Tokens > 1)
    Outcome.GapMs = (LastMs - Outcome.FirstMs) / (Plan.Tokens - 1);
  return Outcome;
}

attempt_outcome worker::attempt(const std::string &Url,
                                const std::string &Key) {
  attempt_outcome Outcome;
  Outcome.Key = Key;
  endpoint_request Request;
  Request.Body = makeBody();
  Request.Path =
      Plan.Mode == "service"
          ? (Plan.Key.empty() ? Plan.Path
                              : "/services/" + Plan.Subject + Plan.Path)
          : "/v1/chat/completions";
  Request.ReadTimeoutMs = ReadMs;
  if (Plan.Key.empty())
    Request.Headers.push_back({"X-Request-Id", Key});
  else {
    Request.Headers.push_back({"Authorization", "Bearer " + Plan.Key});
    Request.Headers.push_back({"Idempotency-Key", Key});
  }
  if (!Plan.Repeatable)
    Request.Headers.push_back({"X-Repeatable", "false"});
  const auto Start = std::chrono::steady_clock::now();
  try {
    const std::unique_ptr<response_source> Source = Link.send(Url, Request);
    if (Source->status() == 200 && Plan.Mode == "stream")
      return readStream(*Source, Outcome, Start);
    std::string Body;
    std::vector<char> Buffer(ReadBytes);
    while (const std::size_t Count = Source->read(Buffer))
      Body.append(Buffer.data(), Count);
    Outcome.FirstMs = since(Start);
    if (Source->status() != 200) {
      readError(Body, Outcome);
      return Outcome;
    }
    const std::string Own = Plan.Mode == "service"
                                ? "\"key\":\"" + Key + "\""
                                : "\"id\":\"cmpl-" + Key + "\"";
    const bool Text =
        Plan.Mode == "service" ||
        Body.find("\"" + expectedText() + "\"") != std::string::npos;
    Outcome.Kind = Body.find(Own) == std::string::npos ? "foreign"
                   : Text                              ? "ok"
                                                       : "wrong_text";
  } catch (const endpoint_unreached &) {
    Outcome.Kind = "unreached";
    Outcome.Advice = "later";
    Outcome.Ran = "no";
  } catch (const endpoint_disconnected &) {
    Outcome.Kind = "broken";
    Outcome.Advice = "same_key";
  }
  return Outcome;
}

void worker::request(load_result &Result) {
  const std::string Key = makeKey();
  attempt_outcome Outcome;
  for (int Try = 0; Try <= Plan.Retries; ++Try) {
    Outcome = attempt(Plan.Urls[NextUrl++ % Plan.Urls.size()], Key);
    if (Outcome.Kind == "ok" || Outcome.Advice == "never")
      break;
    if (Try < Plan.Retries)
      std::this_thread::sleep_for(
          std::chrono::milliseconds(std::min(Outcome.RetryAfterMs, 2000)));
  }
  ++Result.Outcomes[Outcome.Kind];
  const bool Broken = Outcome.Kind == "foreign" || Outcome.Kind == "wrong_text";
  Result.Broken += Broken ? 1 : 0;
  if (Outcome.Kind == "ok") {
    Result.FirstMs.push_back(Outcome.FirstMs);
    Result.GapMs.push_back(Outcome.GapMs);
    Result.OkKeys.push_back(Key);
    if (Plan.Mode == "service")
      Result.Tokens += 1;
    else
      Result.Tokens += static_cast<std::uint64_t>(Plan.Tokens) +
                       Prompt.size() / BytesPerToken + 1;
  } else if (Outcome.Ran == "no") {
    Result.NotRunKeys.push_back(Key);
  } else {
    Result.UnknownKeys.push_back(Key);
  }
}

void merge(load_result &Into, const load_result &From) {
  for (const auto &[Kind, Count] : From.Outcomes)
    Into.Outcomes[Kind] += Count;
  Into.Broken += From.Broken;
  Into.Tokens += From.Tokens;
  const auto Add = [](auto &To, const auto &Items) {
    To.insert(To.end(), Items.begin(), Items.end());
  };
  Add(Into.FirstMs, From.FirstMs);
  Add(Into.GapMs, From.GapMs);
  Add(Into.OkKeys, From.OkKeys);
  Add(Into.UnknownKeys, From.UnknownKeys);
  Add(Into.NotRunKeys, From.NotRunKeys);
}

double quantile(std::vector<double> &Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const std::size_t At = static_cast<std::size_t>(
      std::lround(Share * static_cast<double>(Values.size() - 1)));
  return Values[At];
}

load_result generate(const load_plan &Plan) {
  using clock_type = std::chrono::steady_clock;
  adapters::http_client Link;
  const auto Start = clock_type::now();
  const auto End = Start + std::chrono::seconds(Plan.Seconds);
  std::atomic<std::int64_t> Taken = 0;
  std::vector<load_result> Results(static_cast<std::size_t>(Plan.Streams));
  std::vector<std::thread> Threads;
  Threads.reserve(Results.size());
  for (int Index = 0; Index < Plan.Streams; ++Index)
    Threads.emplace_back([&, Index] {
      worker Worker(Plan, Link,
                    Plan.Seed * 1000003 + static_cast<std::uint64_t>(Index));
      for (;;) {
        const std::int64_t Number = Taken++;
        if (Plan.Requests > 0 && Number >= Plan.Requests)
          return;
        if (Plan.Rate > 0) {
          const auto Due =
              Start + std::chrono::duration_cast<clock_type::duration>(
                          std::chrono::duration<double>(
                              static_cast<double>(Number) / Plan.Rate));
          std::this_thread::sleep_until(std::min(Due, End));
        }
        if (clock_type::now() >= End)
          return;
        Worker.request(Results[static_cast<std::size_t>(Index)]);
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  load_result Total;
  for (const load_result &Result : Results)
    merge(Total, Result);
  return Total;
}

Poco::JSON::Array::Ptr arrayOf(const std::vector<std::string> &Items) {
  Poco::JSON::Array::Ptr Result = new Poco::JSON::Array;
  for (const std::string &Item : Items)
    Result->add(Item);
  return Result;
}

void print(load_result &Result, bool Keys) {
  Poco::JSON::Object Top;
  Poco::JSON::Object::Ptr Outcomes = new Poco::JSON::Object;
  for (const auto &[Kind, Count] : Result.Outcomes)
    Outcomes->set(Kind, Count);
  Top.set("outcomes", Outcomes);
  Top.set("broken_answers", Result.Broken);
  Top.set("tokens", Result.Tokens);
  Top.set("first_ms_p50", quantile(Result.FirstMs, 0.5));
  Top.set("first_ms_p95", quantile(Result.FirstMs, 0.95));
  Top.set("first_ms_p99", quantile(Result.FirstMs, 0.99));
  Top.set("gap_ms_p95", quantile(Result.GapMs, 0.95));
  if (Keys) {
    Top.set("ok_keys", arrayOf(Result.OkKeys));
    Top.set("unknown_keys", arrayOf(Result.UnknownKeys));
    Top.set("not_run_keys", arrayOf(Result.NotRunKeys));
  }
  Top.stringify(std::cout);
  std::cout << "\n";
}

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Result;
  std::istringstream In(Text);
  std::string Item;
  while (std::getline(In, Item, ','))
    Result.push_back(Item);
  return Result;
}

bool readPlan(int Count, char **Arguments, load_plan &Plan, bool &Keys) {
  adapters::program_settings Settings("standin-load",
                                      "load and experiment tool");
  Settings.addText("urls", nullptr, "servers, separated by commas");
  Settings.addText("mode", "stream", "stream, whole or service");
  Settings.addText("subject", nullptr, "model or service");
  Settings.addText("key", "", "bearer key; empty: call endpoints directly");
  Settings.addText("path", "/", "path of a service call");
  Settings.addNumber("streams", "1", 1, 4096, "requests at once");
  Settings.addNumber("rate", "0", 0, 1000000, "requests a second, 0: no limit");
  Settings.addNumber("requests", "0", 0, 100000000, "largest number");
  Settings.addNumber("seconds", "10", 1, 86400, "longest run");
  Settings.addNumber("tokens", "20", 1, 100000, "completion length");
  Settings.addNumber("prompt-bytes", "64", 8, 1000000, "prompt length");
  Settings.addNumber("prefixes", "0", 0, 1000000, "shared prompt beginnings");
  Settings.addNumber("retries", "0", 0, 100, "repeats with the same key");
  Settings.addNumber("seed", "1", 0, 1000000000, "seed of the choices");
  Settings.addFlag("tickets", "mint a ticket before each call");
  Settings.addFlag("not-repeatable", "mark calls as not repeatable");
  Settings.addFlag("keys", "print the request keys by outcome");
  if (!Settings.read(Count, Arguments))
    return false;
  Plan.Urls = splitList(Settings.getText("urls"));
  Plan.Mode = Settings.getText("mode");
  Plan.Subject = Settings.getText("subject");
  Plan.Key = Settings.getText("key");
  Plan.Path = Settings.getText("path");
  Plan.Streams = static_cast<int>(Settings.getNumber("streams"));
  Plan.Rate = static_cast<double>(Settings.getNumber("rate"));
  Plan.Requests = Settings.getNumber("requests");
  Plan.Seconds = static_cast<int>(Settings.getNumber("seconds"));
  Plan.Tokens = static_cast<int>(Settings.getNumber("tokens"));
  Plan.PromptBytes = static_cast<int>(Settings.getNumber("prompt-bytes"));
  Plan.Prefixes = static_cast<int>(Settings.getNumber("prefixes"));
  Plan.Retries = static_cast<int>(Settings.getNumber("retries"));
  Plan.Seed = static_cast<std::uint64_t>(Settings.getNumber("seed"));
  Plan.Tickets = Settings.getFlag("tickets");
  Plan.Repeatable = !Settings.getFlag("not-repeatable");
  Keys = Settings.getFlag("keys");
  return true;
}

int run(int Count, char **Arguments) {
  load_plan Plan;
  bool Keys = false;
  if (!readPlan(Count, Arguments, Plan, Keys))
    return 0;
  load_result Result = generate(Plan);
  print(Result, Keys);
  return Result.Broken == 0 ? 0 : 1;
}

} // namespace

} // namespace tamarack::stand_ins

int main(int Count, char **Arguments) {
  using namespace tamarack::stand_ins;
  return runProgram(run, Count, Arguments);
}
