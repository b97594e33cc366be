// Stand-in for a model engine with continuous batching.
//
//   POST /v1/chat/completions, /v1/completions   OpenAI form, SSE if streamed
//   GET  /v1/streams/<id>                        resume after Last-Event-ID
//   GET  /load                                   load, as of some time ago
//   POST /control?first_ms=N&gap_ms=N&slots=N&fail_percent=N&cut_after=N
//                &report_lag_ms=N&leaving=0|1&foreign=0|1&slow_factor=N
//   GET  /stats                                  what it ran, as JSON
//
// Answers are "w0 w1 w2 ..." with as many words as max_tokens asks for, so
// that a caller can check that an answer is whole and its own.
#include "http_program.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <xxhash.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <iostream>
#include <list>
#include <sstream>

namespace tamarack::stand_ins {

namespace {

constexpr int BytesPerToken = 4;          // Of a prompt.
constexpr std::size_t PrefixBytes = 256;  // Cached beginning of a prompt.
constexpr std::size_t KeptStreams = 4096; // For resumption.

struct behaviour {
  std::int64_t FirstMs = 20;    // To the first token without a prefix hit.
  std::int64_t GapMs = 5;       // Between tokens.
  std::int64_t Slots = 16;      // Requests worked on at once.
  std::int64_t FailPercent = 0; // Requests answered with status 500.
  std::int64_t CutAfter = 0;    // Tokens before a connection is cut, 0 never.
  std::int64_t ReportLagMs = 0; // Age of the load shown.
  std::int64_t CachePrefixes = 64; // Prefixes kept.
  bool Leaving = false;            // Refuses new work.
  bool Foreign = false;            // Sends another answer's id half way.
};

struct stream_note {
  std::string RequestId;
  std::int64_t Tokens = 0;
  std::int64_t PromptTokens = 0;
};

struct generation {
  std::string StreamId;
  std::string RequestId;
  std::int64_t Tokens = 0;
  std::int64_t PromptTokens = 0;
  std::int64_t From = 0; // First event to send.
  bool Chat = true;
};

class engine final : public http_service {
public:
  engine(std::string Name, const behaviour &Behaviour)
      : Name(std::move(Name)), Behaviour(Behaviour) {}

  void handle(Poco::Net::HTTPServerRequest &Request,
              Poco::Net::HTTPServerResponse &Response) override {
    const Poco::URI Uri(Request.getURI());
    const std::string &Path = Uri.getPath();
    if (Path == "/control")
      return control(Uri, Response);
    if (Path == "/stats")
      return sendText(Response, 200, stats());
    if (Path == "/load")
      return sendText(Response, 200, load());
    if (Path.starts_with("/v1/streams/"))
      return resume(Path.substr(12), Request, Response);
    if (Path == "/v1/chat/completions" || Path == "/v1/completions")
      return complete(Path == "/v1/chat/completions", Request, Response);
    sendText(Response, 404, "{}");
  }

private:
  void control(const Poco::URI &Uri, Poco::Net::HTTPServerResponse &Response) {
    const std::lock_guard Guard(Lock);
    behaviour &B = Behaviour;
    B.FirstMs = queryNumber(Uri, "first_ms", B.FirstMs);
    B.GapMs = queryNumber(Uri, "gap_ms", B.GapMs);
    B.Slots = queryNumber(Uri, "slots", B.Slots);
    B.FailPercent = queryNumber(Uri, "fail_percent", B.FailPercent);
    B.CutAfter = queryNumber(Uri, "cut_after", B.CutAfter);
    B.ReportLagMs = queryNumber(Uri, "report_lag_ms", B.ReportLagMs);
    B.Leaving = queryNumber(Uri, "leaving", B.Leaving ? 1 : 0) != 0;
    B.Foreign = queryNumber(Uri, "foreign", B.Foreign ? 1 : 0) != 0;
    SlotFree.notify_all();
    sendText(Response, 200, "{}");
  }

  std::string stats() {
    const std::lock_guard Guard(Lock);
    Poco::JSON::Object Top;
    Top.set("name", Name);
    Top.set("runs", Runs);
    Top.set("tokens", TokensSent);
    Top.set("prefix_hits", PrefixHits);
    Top.set("cancelled", Cancelled);
    Top.set("resumed", Resumed);
    Top.set("most_running", MostRunning);
    Top.set("refused", Refused);
    Top.set("last_asked_ms", LastAsked);
    std::ostringstream Out;
    Top.stringify(Out);
    return Out.str();
  }

  // Load as it was when the report was last made.
  std::string load() {
    const std::lock_guard Guard(Lock);
    const time_ms Now = Clock.monotonic();
    if (Report.empty() || Now - Reported >= Behaviour.ReportLagMs) {
      Poco::JSON::Object Top;
      Top.set("running", Running);
      Top.set("waiting", Waiting);
      Top.set("slots", Behaviour.Slots);
      Top.set("leaving", Behaviour.Leaving);
      std::ostringstream Out;
      Top.stringify(Out);
      Report = Out.str();
      Reported = Now;
    }
    std::string Text = Report;
    Text.back() = ',';
    return Text + "\"age_ms\":" + std::to_string(Now - Reported) + "}";
  }

  void complete(bool Chat, Poco::Net::HTTPServerRequest &Request,
                Poco::Net::HTTPServerResponse &Response) {
    const std::string Body = readBody(Request);
    Poco::JSON::Parser Parser;
    const Poco::JSON::Object::Ptr Asked =
        Parser.parse(Body).extract<Poco::JSON::Object::Ptr>();
    generation Job;
    Job.Chat = Chat;
    Job.RequestId = Request.get("X-Request-Id", "");
    Job.Tokens = Asked->optValue<std::int64_t>("max_tokens", 16);
    const std::string Prompt = promptOf(Asked);
    Job.PromptTokens =
        static_cast<std::int64_t>(Prompt.size()) / BytesPerToken + 1;
    behaviour Current;
    bool Fails = false;
    {
      const std::lock_guard Guard(Lock);
      Current = Behaviour;
      LastAsked = Clock.now();
      Refused += Current.Leaving ? 1 : 0;
      Fails =
          static_cast<std::int64_t>(Random.next() % 100) < Current.FailPercent;
      if (!Current.Leaving && !Fails) {
        ++Runs;
        Job.StreamId = Name + "-" + std::to_string(Runs);
        noteStream(Job);
      }
    }
    if (Current.Leaving) {
      Response.set("X-Leaving", "true");
      return sendText(Response, 503, "{\"error\":\"leaving\"}");
    }
    if (Fails)
      return sendText(Response, 500, "{\"error\":\"failed\"}");
    takeSlot();
    const bool Hit = touchPrefix(Prompt);
    const std::int64_t FirstMs = Hit ? Current.FirstMs / 4 : Current.FirstMs;
    std::this_thread::sleep_for(std::chrono::milliseconds(FirstMs));
    try {
      if (Asked->optValue<bool>("stream", false))
        sendStream(Job, Current, Response);
      else
        sendWhole(Job, Current, Response);
    } catch (const Poco::Exception &) {
      const std::lock_guard Guard(Lock);
      ++Cancelled;
    }
    freeSlot();
  }

  static std::string promptOf(const Poco::JSON::Object::Ptr &Asked) {
    if (Asked->has("prompt"))
      return Asked->getValue<std::string>("prompt");
    std::string Prompt;
    const Poco::JSON::Array::Ptr Messages = Asked->getArray("messages");
    for (unsigned Index = 0; !Messages.isNull() && Index < Messages->size();
         ++Index)
      Prompt +=
          Messages->getObject(Index)->optValue<std::string>("content", "");
    return Prompt;
  }

  void noteStream(const generation &Job) {
    Streams[Job.StreamId] = {Job.RequestId, Job.Tokens, Job.PromptTokens};
    StreamOrder.push_back(Job.StreamId);
    if (StreamOrder.size() <= KeptStreams)
      return;
    Streams.erase(StreamOrder.front());
    StreamOrder.pop_front();
  }

  void takeSlot() {
    std::unique_lock Guard(Lock);
    ++Waiting;
    SlotFree.wait(Guard, [this] { return Running < Behaviour.Slots; });
    --Waiting;
    ++Running;
    MostRunning = std::max(MostRunning, Running);
  }

  void freeSlot() {
    const std::lock_guard Guard(Lock);
    --Running;
    SlotFree.notify_one();
  }

  bool touchPrefix(const std::string &Prompt) {
    if (Prompt.size() < PrefixBytes)
      return false;
    const std::uint64_t Hash = XXH3_64bits(Prompt.data(), PrefixBytes);
    const std::lock_guard Guard(Lock);
    auto Found = std::find(Prefixes.begin(), Prefixes.end(), Hash);
    const bool Hit = Found != Prefixes.end();
    if (Hit)
      Prefixes.erase(Found);
    Prefixes.push_front(Hash);
    if (static_cast<std::int64_t>(Prefixes.size()) > Behaviour.CachePrefixes)
      Prefixes.pop_back();
    PrefixHits += Hit ? 1 : 0;
    return Hit;
  }

  static std::string chunkOf(const generation &Job, const std::string &AnswerId,
                             const std::string &Text, bool Finish) {
    const std::string Part = Job.Chat
                                 ? "\"delta\":{\"content\":\"" + Text + "\"}"
                                 : "\"text\":\"" + Text + "\"";
    return "{\"id\":\"" + AnswerId +
           "\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":"
           "0," +
           Part + ",\"finish_reason\":" + (Finish ? "\"stop\"" : "null") +
           "}]}";
  }

  static std::string usageOf(const generation &Job,
                             const std::string &AnswerId) {
    return "{\"id\":\"" + AnswerId + "\",\"choices\":[],\"usage\":{" +
           usageFields(Job) + "}}";
  }

  static std::string usageFields(const generation &Job) {
    return "\"prompt_tokens\":" + std::to_string(Job.PromptTokens) +
           ",\"completion_tokens\":" + std::to_string(Job.Tokens) +
           ",\"total_tokens\":" + std::to_string(Job.PromptTokens + Job.Tokens);
  }

  // Event n < Tokens is word n; then usage, then the end marker.
  void sendStream(const generation &Job, const behaviour &Current,
                  Poco::Net::HTTPServerResponse &Response) {
    const std::string AnswerId = "cmpl-" + Job.RequestId;
    Response.setContentType("text/event-stream");
    Response.setChunkedTransferEncoding(true);
    Response.set("X-Request-Id", Job.RequestId);
    Response.set("X-Stream-Id", Job.StreamId);
    std::ostream &Out = Response.send();
    for (std::int64_t At = Job.From; At < Job.Tokens; ++At) {
      if (At > Job.From)
        std::this_thread::sleep_for(std::chrono::milliseconds(Current.GapMs));
      if (Current.CutAfter > 0 && At - Job.From >= Current.CutAfter)
        throw Poco::IOException("cut on request");
      const bool Stray = Current.Foreign && At >= Job.Tokens / 2;
      const std::string Word = (At == 0 ? "w" : " w") + std::to_string(At);
      const std::string &Id = Stray ? "cmpl-other" : AnswerId;
      Out << "id: " << At
          << "\ndata: " << chunkOf(Job, Id, Word, At + 1 == Job.Tokens)
          << "\n\n"
          << std::flush;
      if (!Out)
        throw Poco::IOException("the caller left");
      const std::lock_guard Guard(Lock);
      ++TokensSent;
    }
    Out << "id: " << Job.Tokens << "\ndata: " << usageOf(Job, AnswerId)
        << "\n\nid: " << Job.Tokens + 1 << "\ndata: [DONE]\n\n"
        << std::flush;
  }

  void sendWhole(const generation &Job, const behaviour &Current,
                 Poco::Net::HTTPServerResponse &Response) {
    std::string Text;
    for (std::int64_t At = 0; At < Job.Tokens; ++At)
      Text += (At == 0 ? "w" : " w") + std::to_string(At);
    std::this_thread::sleep_for(
        std::chrono::milliseconds(Current.GapMs * Job.Tokens));
    const std::string Part =
        Job.Chat ? "\"message\":{\"role\":\"assistant\",\"content\":\"" + Text +
                       "\"}"
                 : "\"text\":\"" + Text + "\"";
    Response.set("X-Request-Id", Job.RequestId);
    sendText(Response, 200,
             "{\"id\":\"cmpl-" + Job.RequestId +
                 "\",\"choices\":[{\"index\":0," + Part +
                 ",\"finish_reason\":\"stop\"}],\"usage\":{" +
                 usageFields(Job) + "}}");
    const std::lock_guard Guard(Lock);
    TokensSent += static_cast<std::uint64_t>(Job.Tokens);
  }

  void resume(const std::string &StreamId,
              Poco::Net::HTTPServerRequest &Request,
              Poco::Net::HTTPServerResponse &Response) {
    generation Job;
    behaviour Current;
    {
      const std::lock_guard Guard(Lock);
      auto Found = Streams.find(StreamId);
      if (Found == Streams.end())
        return sendText(Response, 404, "{}");
      Job.StreamId = StreamId;
      Job.RequestId = Found->second.RequestId;
      Job.Tokens = Found->second.Tokens;
      Job.PromptTokens = Found->second.PromptTokens;
      Job.From = std::stoll(Request.get("Last-Event-ID", "-1")) + 1;
      Current = Behaviour;
      ++Resumed;
    }
    takeSlot();
    try {
      sendStream(Job, Current, Response);
    } catch (const Poco::Exception &) {
      const std::lock_guard Guard(Lock);
      ++Cancelled;
    }
    freeSlot();
  }

  std::string Name;
  adapters::system_clock Clock;
  adapters::system_random Random;
  std::mutex Lock; // Guards all below.
  std::condition_variable SlotFree;
  behaviour Behaviour;
  std::int64_t Running = 0;
  std::int64_t Waiting = 0;
  std::int64_t MostRunning = 0;
  std::uint64_t Runs = 0;
  std::uint64_t TokensSent = 0;
  std::uint64_t PrefixHits = 0;
  std::uint64_t Cancelled = 0;
  std::uint64_t Resumed = 0;
  std::uint64_t Refused = 0; // Asked while leaving.
  time_ms LastAsked = 0;     // Last completion request, refused ones included.
  std::list<std::uint64_t> Prefixes; // Most recent first.
  std::map<std::string, stream_note> Streams;
  std::deque<std::string> StreamOrder;
  std::string Report;
  time_ms Reported = 0;
};

int run(int Count, char **Arguments) {
  adapters::program_settings Settings(
      "standin-engine", "model engine that streams made-up words");
  Settings.addText("host", "127.0.0.1", "address to listen on");
  Settings.addNumber("port", "7100", 1, 65535, "port to listen on");
  Settings.addText("name", "engine", "name, part of stream ids");
  Settings.addNumber("first-ms", "20", 0, 60000, "time to the first token");
  Settings.addNumber("gap-ms", "5", 0, 60000, "time between tokens");
  Settings.addNumber("slots", "16", 1, 100000, "requests worked on at once");
  Settings.addNumber("report-lag-ms", "0", 0, 60000, "age of the load shown");
  if (!Settings.read(Count, Arguments))
    return 0;
  behaviour Behaviour;
  Behaviour.FirstMs = Settings.getNumber("first-ms");
  Behaviour.GapMs = Settings.getNumber("gap-ms");
  Behaviour.Slots = Settings.getNumber("slots");
  Behaviour.ReportLagMs = Settings.getNumber("report-lag-ms");
  engine Engine(Settings.getText("name"), Behaviour);
  serveUntilSignal(Engine, Settings.getText("host"),
                   static_cast<int>(Settings.getNumber("port")));
  return 0;
}

} // namespace

} // namespace tamarack::stand_ins

int main(int Count, char **Arguments) {
  using namespace tamarack::stand_ins;
  return runProgram(run, Count, Arguments);
}
