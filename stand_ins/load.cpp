// Load generator: sends requests to routers or endpoints, checks that every
// response is complete and belongs to its request, and prints counts and times
// as one JSON object. The exit status is 1 if a response was foreign or had the
// wrong text.
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

constexpr std::size_t ReadBufferBytes = 16 * 1024;
constexpr int ReadTimeoutMs = 60'000;
constexpr int MaxRetryDelayMs = 2000;
constexpr int BytesPerToken = 4; // As the engine stand-in counts prompts.

struct load_plan {
  std::vector<std::string> Urls; // Servers, used in turn.
  std::string Mode;              // "stream", "whole" or "service"; "whole" is a
                                 // completion that is not streamed.
  std::string Subject;           // Model or service.
  std::string Key;               // Bearer key; empty: the URLs are endpoints
                                 // that are called without a router.
  std::string Path;              // Path of a service call.
  int Concurrency = 1;           // Requests in flight at once.
  double RequestsPerSecond = 0;  // 0: as fast as responses arrive.
  std::int64_t MaxRequests = 0;  // 0: no limit.
  int MaxSeconds = 10;           // No request starts later.
  int CompletionTokens = 20;     // Of each completion.
  int PromptBytes = 64;          // Of each prompt.
  int SharedPrefixes = 0;        // Number of different prompts, 0: random.
  int MaxRetries = 0;            // Of each request, with the same key.
  bool UseTickets = false;       // Request a ticket as the key of each request.
  bool Repeatable = true;        // False: sends X-Repeatable: false.
  std::uint64_t Seed = 1;        // Of the random numbers.
};

struct load_result {
  // Number of requests by attempt_outcome::Kind of their last attempt.
  std::map<std::string, std::uint64_t> Outcomes;
  std::uint64_t WrongResponses = 0; // Requests with "foreign" or "wrong_text".
  // The following values are about requests with the outcome "ok".
  std::uint64_t Tokens = 0; // Of prompts and completions, 1 per service call.
  std::vector<double> FirstByteMs; // Time until the first chunk of a stream,
                                   // else until the complete body.
  std::vector<double> MeanGapMs;   // Mean time between the tokens of a stream.
  std::vector<std::string> OkKeys;
  // Keys of the other requests.
  std::vector<std::string> UnknownKeys; // May have been executed.
  std::vector<std::string> NotRunKeys;  // Certainly not executed.
};

double elapsedMs(std::chrono::steady_clock::time_point Start) {
  const auto Elapsed = std::chrono::steady_clock::now() - Start;
  return std::chrono::duration<double, std::milli>(Elapsed).count();
}

struct attempt_outcome {
  // "ok", the kind in the error response, or one of:
  //   unreached          no connection
  //   broken             the connection or the stream ended early
  //   foreign            the response has the id of another request
  //   wrong_text         words are missing or wrong
  //   unreadable_error   the body of an error response cannot be parsed
  std::string Kind;
  std::string Ran = "unknown";       // "yes", "no" or "unknown".
  std::string RetryAdvice = "never"; // "never", "later" or "same_key".
  int RetryAfterMs = 0;
  double FirstByteMs = 0;
  double MeanGapMs = 0;
  std::string Key;
  std::int64_t PromptTokens = 0;
};

// Sends requests one after the other, on a thread of its own.
class worker {
public:
  worker(const load_plan &Plan, endpoint_client &Client, std::uint64_t Seed)
      : Plan(Plan), Client(Client), RandomEngine(Seed),
        NextUrlIndex(static_cast<std::size_t>(Seed)) {}

  // Sends one request, with retries, and adds its outcome to Result.
  void sendRequest(load_result &Result);

private:
  std::string makeKey(); // Request key or ticket.
  std::string makeBody();
  attempt_outcome sendAttempt(const std::string &Url, const std::string &Key);
  attempt_outcome readStream(response_source &Source, attempt_outcome Outcome,
                             std::chrono::steady_clock::time_point Start);
  // Fills Outcome from the body of an error response.
  static void parseError(const std::string &Body, attempt_outcome &Outcome);
  // The words that the engine stand-in sends.
  std::string expectedText() const;

  const load_plan &Plan;
  endpoint_client &Client;
  std::mt19937_64 RandomEngine;
  std::size_t NextUrlIndex;
  std::string Prompt; // Of the last request.
};

std::string worker::expectedText() const {
  std::string Text;
  for (int Index = 0; Index < Plan.CompletionTokens; ++Index)
    Text += (Index == 0 ? "w" : " w") + std::to_string(Index);
  return Text;
}

std::string worker::makeKey() {
  adapters::system_clock Clock;
  if (!Plan.UseTickets)
    return calls::mintKey(Clock.now(), RandomEngine());
  endpoint_request Request;
  Request.Path = "/v1/tickets";
  Request.Headers.push_back({"Authorization", "Bearer " + Plan.Key});
  try {
    const adapters::http_response Response = adapters::fetch(
        Client, Plan.Urls[NextUrlIndex % Plan.Urls.size()], Request);
    Poco::JSON::Parser Parser;
    const Poco::JSON::Object::Ptr Top =
        Parser.parse(Response.Body).extract<Poco::JSON::Object::Ptr>();
    return Top->getArray("tickets")->getElement<std::string>(0);
  } catch (const std::exception &) {
    // The daemon is unavailable. Any key will do, since the call is expected to
    // fail as well.
    return calls::mintKey(Clock.now(), RandomEngine());
  }
}

std::string worker::makeBody() {
  if (Plan.Mode == "service")
    return "{\"lot\":" + std::to_string(RandomEngine() % 1000) + "}";
  const std::uint64_t PrefixNumber =
      Plan.SharedPrefixes > 0
          ? RandomEngine() % static_cast<std::uint64_t>(Plan.SharedPrefixes)
          : RandomEngine();
  Prompt = "p" + std::to_string(PrefixNumber) + " ";
  Prompt.resize(static_cast<std::size_t>(Plan.PromptBytes), 'x');
  return "{\"model\":\"" + Plan.Subject +
         "\",\"stream\":" + (Plan.Mode == "stream" ? "true" : "false") +
         ",\"max_tokens\":" + std::to_string(Plan.CompletionTokens) +
         ",\"messages\":[{\"role\":\"user\",\"content\":\"" + Prompt + "\"}]}";
}

void worker::parseError(const std::string &Body, attempt_outcome &Outcome) {
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
    Outcome.RetryAdvice = Inner->getValue<std::string>("retry");
    Outcome.RetryAfterMs = Inner->getValue<int>("retry_after_ms");
  } catch (const Poco::Exception &) {
    // The kind remains "unreadable_error".
  }
}

// Reads a stream and checks its words and their order, the id in every event
// and the end marker.
attempt_outcome
worker::readStream(response_source &Source, attempt_outcome Outcome,
                   std::chrono::steady_clock::time_point Start) {
  std::string Text;
  std::string Body;
  std::vector<char> Buffer(ReadBufferBytes);
  double LastMs = 0;
  int Chunks = 0;
  while (const std::size_t Count = Source.read(Buffer)) {
    LastMs = elapsedMs(Start);
    if (Chunks == 0)
      Outcome.FirstByteMs = LastMs;
    ++Chunks;
    Body.append(Buffer.data(), Count);
  }
  const std::string Id = "\"id\":\"cmpl-" + Outcome.Key + "\"";
  std::istringstream Lines(Body);
  std::string Line;
  bool HasEndMarker = false;
  while (std::getline(Lines, Line)) {
    if (Line == "data: [DONE]") {
      HasEndMarker = true;
      continue;
    }
    const std::size_t ContentStart = Line.find("\"content\":\"");
    if (!Line.starts_with("data: {\"id\"")) {
      if (Line.starts_with("data: {\"error\"")) {
        parseError(Line.substr(6), Outcome);
        return Outcome;
      }
      continue;
    }
    if (Line.find(Id) == std::string::npos) {
      Outcome.Kind = "foreign";
      return Outcome;
    }
    if (ContentStart != std::string::npos) {
      const std::string Rest = Line.substr(ContentStart + 11);
      Text += Rest.substr(0, Rest.find('"'));
    }
  }
  if (!HasEndMarker)
    Outcome.Kind = "broken";
  else
    Outcome.Kind = Text == expectedText() ? "ok" : "wrong_text";
  if (Plan.CompletionTokens > 1)
    Outcome.MeanGapMs =
        (LastMs - Outcome.FirstByteMs) / (Plan.CompletionTokens - 1);
  return Outcome;
}

attempt_outcome worker::sendAttempt(const std::string &Url,
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
  Request.ReadTimeoutMs = ReadTimeoutMs;
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
    const std::unique_ptr<response_source> Source = Client.send(Url, Request);
    if (Source->status() == 200 && Plan.Mode == "stream")
      return readStream(*Source, Outcome, Start);
    std::string Body;
    std::vector<char> Buffer(ReadBufferBytes);
    while (const std::size_t Count = Source->read(Buffer))
      Body.append(Buffer.data(), Count);
    Outcome.FirstByteMs = elapsedMs(Start);
    if (Source->status() != 200) {
      parseError(Body, Outcome);
      return Outcome;
    }
    const std::string OwnId = Plan.Mode == "service"
                                  ? "\"key\":\"" + Key + "\""
                                  : "\"id\":\"cmpl-" + Key + "\"";
    const bool TextMatches =
        Plan.Mode == "service" ||
        Body.find("\"" + expectedText() + "\"") != std::string::npos;
    Outcome.Kind = Body.find(OwnId) == std::string::npos ? "foreign"
                   : TextMatches                         ? "ok"
                                                         : "wrong_text";
  } catch (const endpoint_unreached &) {
    Outcome.Kind = "unreached";
    Outcome.RetryAdvice = "later";
    Outcome.Ran = "no";
  } catch (const endpoint_disconnected &) {
    Outcome.Kind = "broken";
    Outcome.RetryAdvice = "same_key";
  }
  return Outcome;
}

void worker::sendRequest(load_result &Result) {
  const std::string Key = makeKey();
  attempt_outcome Outcome;
  for (int Attempt = 0; Attempt <= Plan.MaxRetries; ++Attempt) {
    Outcome = sendAttempt(Plan.Urls[NextUrlIndex++ % Plan.Urls.size()], Key);
    if (Outcome.Kind == "ok" || Outcome.RetryAdvice == "never")
      break;
    if (Attempt < Plan.MaxRetries)
      std::this_thread::sleep_for(std::chrono::milliseconds(
          std::min(Outcome.RetryAfterMs, MaxRetryDelayMs)));
  }
  ++Result.Outcomes[Outcome.Kind];
  const bool IsWrong =
      Outcome.Kind == "foreign" || Outcome.Kind == "wrong_text";
  Result.WrongResponses += IsWrong ? 1 : 0;
  if (Outcome.Kind == "ok") {
    Result.FirstByteMs.push_back(Outcome.FirstByteMs);
    Result.MeanGapMs.push_back(Outcome.MeanGapMs);
    Result.OkKeys.push_back(Key);
    if (Plan.Mode == "service")
      Result.Tokens += 1;
    else
      Result.Tokens += static_cast<std::uint64_t>(Plan.CompletionTokens) +
                       Prompt.size() / BytesPerToken + 1;
  } else if (Outcome.Ran == "no") {
    Result.NotRunKeys.push_back(Key);
  } else {
    Result.UnknownKeys.push_back(Key);
  }
}

void addResult(load_result &Total, const load_result &Result) {
  for (const auto &[Kind, Count] : Result.Outcomes)
    Total.Outcomes[Kind] += Count;
  Total.WrongResponses += Result.WrongResponses;
  Total.Tokens += Result.Tokens;
  const auto Append = [](auto &Target, const auto &Items) {
    Target.insert(Target.end(), Items.begin(), Items.end());
  };
  Append(Total.FirstByteMs, Result.FirstByteMs);
  Append(Total.MeanGapMs, Result.MeanGapMs);
  Append(Total.OkKeys, Result.OkKeys);
  Append(Total.UnknownKeys, Result.UnknownKeys);
  Append(Total.NotRunKeys, Result.NotRunKeys);
}

// Fraction: for example 0.95 for the 95th percentile.
double quantile(std::vector<double> &Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const std::size_t Index = static_cast<std::size_t>(
      std::lround(Fraction * static_cast<double>(Values.size() - 1)));
  return Values[Index];
}

load_result runLoad(const load_plan &Plan) {
  using clock_type = std::chrono::steady_clock;
  adapters::http_client Client;
  const auto Start = clock_type::now();
  const auto End = Start + std::chrono::seconds(Plan.MaxSeconds);
  std::atomic<std::int64_t> NextNumber = 0;
  std::vector<load_result> Results(static_cast<std::size_t>(Plan.Concurrency));
  std::vector<std::thread> Threads;
  Threads.reserve(Results.size());
  for (int Index = 0; Index < Plan.Concurrency; ++Index)
    Threads.emplace_back([&, Index] {
      worker Worker(Plan, Client,
                    Plan.Seed * 1000003 + static_cast<std::uint64_t>(Index));
      for (;;) {
        const std::int64_t RequestNumber = NextNumber++;
        if (Plan.MaxRequests > 0 && RequestNumber >= Plan.MaxRequests)
          return;
        if (Plan.RequestsPerSecond > 0) {
          const auto StartTime =
              Start + std::chrono::duration_cast<clock_type::duration>(
                          std::chrono::duration<double>(
                              static_cast<double>(RequestNumber) /
                              Plan.RequestsPerSecond));
          std::this_thread::sleep_until(std::min(StartTime, End));
        }
        if (clock_type::now() >= End)
          return;
        Worker.sendRequest(Results[static_cast<std::size_t>(Index)]);
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  load_result Total;
  for (const load_result &Result : Results)
    addResult(Total, Result);
  return Total;
}

Poco::JSON::Array::Ptr arrayOf(const std::vector<std::string> &Items) {
  Poco::JSON::Array::Ptr Result = new Poco::JSON::Array;
  for (const std::string &Item : Items)
    Result->add(Item);
  return Result;
}

void printResult(load_result &Result, bool PrintKeys) {
  Poco::JSON::Object Top;
  Poco::JSON::Object::Ptr Outcomes = new Poco::JSON::Object;
  for (const auto &[Kind, Count] : Result.Outcomes)
    Outcomes->set(Kind, Count);
  Top.set("outcomes", Outcomes);
  Top.set("broken_answers", Result.WrongResponses);
  Top.set("tokens", Result.Tokens);
  Top.set("first_ms_p50", quantile(Result.FirstByteMs, 0.5));
  Top.set("first_ms_p95", quantile(Result.FirstByteMs, 0.95));
  Top.set("first_ms_p99", quantile(Result.FirstByteMs, 0.99));
  Top.set("gap_ms_p95", quantile(Result.MeanGapMs, 0.95));
  if (PrintKeys) {
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

// Returns false if --help was given. Throws settings_error.
bool readPlan(int ArgumentCount, char **Arguments, load_plan &Plan,
              bool &PrintKeys) {
  adapters::program_settings Settings("standin-load", "load generator");
  Settings.addText("urls", nullptr, "servers, separated by commas");
  Settings.addText("mode", "stream", "stream, whole or service");
  Settings.addText("subject", nullptr, "model or service");
  Settings.addText("key", "", "bearer key; empty: call endpoints directly");
  Settings.addText("path", "/", "path of a service call");
  Settings.addNumber("streams", "1", 1, 4096, "requests in flight at once");
  Settings.addNumber("rate", "0", 0, 1000000, "requests a second, 0: no limit");
  Settings.addNumber("requests", "0", 0, 100000000,
                     "maximum number of requests, 0: no limit");
  Settings.addNumber("seconds", "10", 1, 86400, "maximum duration");
  Settings.addNumber("tokens", "20", 1, 100000, "tokens of each completion");
  Settings.addNumber("prompt-bytes", "64", 8, 1000000, "bytes of each prompt");
  Settings.addNumber("prefixes", "0", 0, 1000000,
                     "number of different prompts, 0: random");
  Settings.addNumber("retries", "0", 0, 100,
                     "maximum retries of a request, with the same key");
  Settings.addNumber("seed", "1", 0, 1000000000, "seed of the random numbers");
  Settings.addFlag("tickets", "request a ticket before each call");
  Settings.addFlag("not-repeatable", "mark calls as not repeatable");
  Settings.addFlag("keys", "print the request keys by outcome");
  if (!Settings.read(ArgumentCount, Arguments))
    return false;
  Plan.Urls = splitList(Settings.getText("urls"));
  Plan.Mode = Settings.getText("mode");
  Plan.Subject = Settings.getText("subject");
  Plan.Key = Settings.getText("key");
  Plan.Path = Settings.getText("path");
  Plan.Concurrency = static_cast<int>(Settings.getNumber("streams"));
  Plan.RequestsPerSecond = static_cast<double>(Settings.getNumber("rate"));
  Plan.MaxRequests = Settings.getNumber("requests");
  Plan.MaxSeconds = static_cast<int>(Settings.getNumber("seconds"));
  Plan.CompletionTokens = static_cast<int>(Settings.getNumber("tokens"));
  Plan.PromptBytes = static_cast<int>(Settings.getNumber("prompt-bytes"));
  Plan.SharedPrefixes = static_cast<int>(Settings.getNumber("prefixes"));
  Plan.MaxRetries = static_cast<int>(Settings.getNumber("retries"));
  Plan.Seed = static_cast<std::uint64_t>(Settings.getNumber("seed"));
  Plan.UseTickets = Settings.getFlag("tickets");
  Plan.Repeatable = !Settings.getFlag("not-repeatable");
  PrintKeys = Settings.getFlag("keys");
  return true;
}

} // namespace

int run(int ArgumentCount, char **Arguments) {
  load_plan Plan;
  bool PrintKeys = false;
  if (!readPlan(ArgumentCount, Arguments, Plan, PrintKeys))
    return 0;
  load_result Result = runLoad(Plan);
  printResult(Result, PrintKeys);
  return Result.WrongResponses == 0 ? 0 : 1;
}

} // namespace tamarack::stand_ins
