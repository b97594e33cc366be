// Stand-in for a model engine with continuous batching, which generates several
// responses at once and queues further requests.
//
//   POST /v1/chat/completions, /v1/completions   OpenAI API; SSE if "stream" is
//                                                true
//   GET  /v1/streams/<id>                        resumes a stream after the
//                                                event Last-Event-ID
//   GET  /load                                   load, up to report_lag_ms old
//   POST /control?first_ms=N&gap_ms=N&slots=N&fail_percent=N&cut_after=N
//                &report_lag_ms=N&leaving=0|1&foreign=0|1
//                                                see struct behaviour
//   GET  /stats                                  counters as JSON
//
// The text of a response is "w0 w1 w2 ..." with max_tokens words, so that a
// client can check that a response is complete and belongs to its request.
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

constexpr int BytesPerToken = 4; // Of a prompt.
// Prompts that share this many leading bytes share a cached prefix.
constexpr std::size_t PrefixBytes = 256;
constexpr std::size_t MaxStoredStreams = 4096; // Streams that can be resumed.

// Behaviour that tests change by /control, except MaxCachedPrefixes.
struct behaviour {
  std::int64_t FirstTokenMs = 20; // Until the first token; a quarter of that if
                                  // the prefix of the prompt is cached.
  std::int64_t TokenGapMs = 5;    // Between two tokens.
  std::int64_t Slots = 16;        // Most responses generated at once.
  std::int64_t FailPercent = 0;   // Requests that get status 500.
  std::int64_t CutAfterTokens = 0; // Tokens until the connection of a stream is
                                   // closed, 0: never.
  std::int64_t LoadReportLagMs = 0;    // Maximum age of the reported load.
  std::int64_t MaxCachedPrefixes = 64; // Least recently used ones are dropped.
  bool Leaving = false;                // Refuses new requests.
  bool SendForeignEvents = false; // The second half of each stream carries the
                                  // id of another response.
};

// Data that is needed to resume a stream.
struct stored_stream {
  std::string RequestId;
  std::int64_t CompletionTokens = 0;
  std::int64_t PromptTokens = 0;
};

// One response that is being generated.
struct generation {
  std::string StreamId;
  std::string RequestId;
  std::int64_t CompletionTokens = 0;
  std::int64_t PromptTokens = 0;
  std::int64_t FirstEvent = 0; // Above 0 for a resumed stream.
  bool IsChat = true;          // Chat completion, else text completion.
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
      return handleControl(Uri, Response);
    if (Path == "/stats")
      return sendText(Response, 200, statsJson());
    if (Path == "/load")
      return sendText(Response, 200, loadJson());
    if (Path.starts_with("/v1/streams/"))
      return handleResume(Path.substr(12), Request, Response);
    if (Path == "/v1/chat/completions" || Path == "/v1/completions")
      return handleCompletion(Path == "/v1/chat/completions", Request,
                              Response);
    sendText(Response, 404, "{}");
  }

private:
  void handleControl(const Poco::URI &Uri,
                     Poco::Net::HTTPServerResponse &Response) {
    const std::lock_guard Guard(Lock);
    behaviour &B = Behaviour;
    B.FirstTokenMs = queryNumber(Uri, "first_ms", B.FirstTokenMs);
    B.TokenGapMs = queryNumber(Uri, "gap_ms", B.TokenGapMs);
    B.Slots = queryNumber(Uri, "slots", B.Slots);
    B.FailPercent = queryNumber(Uri, "fail_percent", B.FailPercent);
    B.CutAfterTokens = queryNumber(Uri, "cut_after", B.CutAfterTokens);
    B.LoadReportLagMs = queryNumber(Uri, "report_lag_ms", B.LoadReportLagMs);
    B.Leaving = queryNumber(Uri, "leaving", B.Leaving ? 1 : 0) != 0;
    B.SendForeignEvents =
        queryNumber(Uri, "foreign", B.SendForeignEvents ? 1 : 0) != 0;
    SlotFree.notify_all();
    sendText(Response, 200, "{}");
  }

  std::string statsJson() {
    const std::lock_guard Guard(Lock);
    Poco::JSON::Object Top;
    Top.set("name", Name);
    Top.set("runs", StartedRequests);
    Top.set("tokens", TokensSent);
    Top.set("prefix_hits", CachedPrefixHits);
    Top.set("cancelled", CancelledRequests);
    Top.set("resumed", ResumedStreams);
    Top.set("most_running", MaxRunning);
    Top.set("refused", RefusedRequests);
    Top.set("last_asked_ms", LastRequestTime);
    return textOf(Top);
  }

  // Returns the load as of the last report, which is renewed once it is older
  // than LoadReportLagMs.
  std::string loadJson() {
    const std::lock_guard Guard(Lock);
    const time_ms Now = Clock.monotonic();
    if (LoadReport.empty() ||
        Now - LoadReportTime >= Behaviour.LoadReportLagMs) {
      Poco::JSON::Object Top;
      Top.set("running", Running);
      Top.set("waiting", Waiting);
      Top.set("slots", Behaviour.Slots);
      Top.set("leaving", Behaviour.Leaving);
      LoadReport = textOf(Top);
      LoadReportTime = Now;
    }
    std::string Text = LoadReport;
    Text.back() = ','; // Replaces the closing brace to append age_ms.
    return Text + "\"age_ms\":" + std::to_string(Now - LoadReportTime) + "}";
  }

  void handleCompletion(bool IsChat, Poco::Net::HTTPServerRequest &Request,
                        Poco::Net::HTTPServerResponse &Response) {
    const std::string Body = readBody(Request);
    Poco::JSON::Parser Parser;
    const Poco::JSON::Object::Ptr Fields =
        Parser.parse(Body).extract<Poco::JSON::Object::Ptr>();
    generation Job;
    Job.IsChat = IsChat;
    Job.RequestId = Request.get("X-Request-Id", "");
    Job.CompletionTokens = Fields->optValue<std::int64_t>("max_tokens", 16);
    const std::string Prompt = promptOf(Fields);
    Job.PromptTokens =
        static_cast<std::int64_t>(Prompt.size()) / BytesPerToken + 1;
    behaviour ActiveBehaviour;
    bool MustFail = false;
    {
      const std::lock_guard Guard(Lock);
      ActiveBehaviour = Behaviour;
      LastRequestTime = Clock.now();
      RefusedRequests += ActiveBehaviour.Leaving ? 1 : 0;
      MustFail = static_cast<std::int64_t>(Random.next() % 100) <
                 ActiveBehaviour.FailPercent;
      if (!ActiveBehaviour.Leaving && !MustFail) {
        ++StartedRequests;
        Job.StreamId = Name + "-" + std::to_string(StartedRequests);
        storeStream(Job);
      }
    }
    if (ActiveBehaviour.Leaving) {
      Response.set("X-Leaving", "true");
      Response.set("X-Request-Id", Job.RequestId);
      return sendText(Response, 503, "{\"error\":\"leaving\"}");
    }
    if (MustFail)
      return sendText(Response, 500, "{\"error\":\"failed\"}");
    acquireSlot();
    const bool IsCached = usePrefix(Prompt);
    const std::int64_t FirstTokenMs = IsCached
                                          ? ActiveBehaviour.FirstTokenMs / 4
                                          : ActiveBehaviour.FirstTokenMs;
    std::this_thread::sleep_for(std::chrono::milliseconds(FirstTokenMs));
    try {
      if (Fields->optValue<bool>("stream", false))
        sendStream(Job, ActiveBehaviour, Response);
      else
        sendCompleteResponse(Job, ActiveBehaviour, Response);
    } catch (const Poco::Exception &) {
      const std::lock_guard Guard(Lock);
      ++CancelledRequests;
    }
    releaseSlot();
  }

  // Returns the prompt, or the joined contents of the messages of a chat.
  static std::string promptOf(const Poco::JSON::Object::Ptr &Fields) {
    if (Fields->has("prompt"))
      return Fields->getValue<std::string>("prompt");
    std::string Prompt;
    const Poco::JSON::Array::Ptr Messages = Fields->getArray("messages");
    for (unsigned Index = 0; !Messages.isNull() && Index < Messages->size();
         ++Index)
      Prompt +=
          Messages->getObject(Index)->optValue<std::string>("content", "");
    return Prompt;
  }

  // Makes the stream resumable; drops the oldest one if there are too many.
  void storeStream(const generation &Job) {
    Streams[Job.StreamId] = {Job.RequestId, Job.CompletionTokens,
                             Job.PromptTokens};
    StreamOrder.push_back(Job.StreamId);
    if (StreamOrder.size() <= MaxStoredStreams)
      return;
    Streams.erase(StreamOrder.front());
    StreamOrder.pop_front();
  }

  // Waits for a free slot.
  void acquireSlot() {
    std::unique_lock Guard(Lock);
    ++Waiting;
    SlotFree.wait(Guard, [this] { return Running < Behaviour.Slots; });
    --Waiting;
    ++Running;
    MaxRunning = std::max(MaxRunning, Running);
  }

  void releaseSlot() {
    const std::lock_guard Guard(Lock);
    --Running;
    SlotFree.notify_one();
  }

  // Returns whether the prefix of Prompt was cached, and makes it the most
  // recently used one. Prompts shorter than PrefixBytes are never cached.
  bool usePrefix(const std::string &Prompt) {
    if (Prompt.size() < PrefixBytes)
      return false;
    const std::uint64_t Hash = XXH3_64bits(Prompt.data(), PrefixBytes);
    const std::lock_guard Guard(Lock);
    auto Found = std::find(CachedPrefixes.begin(), CachedPrefixes.end(), Hash);
    const bool IsCached = Found != CachedPrefixes.end();
    if (IsCached)
      CachedPrefixes.erase(Found);
    CachedPrefixes.push_front(Hash);
    if (static_cast<std::int64_t>(CachedPrefixes.size()) >
        Behaviour.MaxCachedPrefixes)
      CachedPrefixes.pop_back();
    CachedPrefixHits += IsCached ? 1 : 0;
    return IsCached;
  }

  static std::string eventJson(const generation &Job,
                               const std::string &ResponseId,
                               const std::string &Text, bool IsLast) {
    const std::string Content = Job.IsChat
                                    ? "\"delta\":{\"content\":\"" + Text + "\"}"
                                    : "\"text\":\"" + Text + "\"";
    return "{\"id\":\"" + ResponseId +
           "\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":"
           "0," +
           Content + ",\"finish_reason\":" + (IsLast ? "\"stop\"" : "null") +
           "}]}";
  }

  static std::string usageEventJson(const generation &Job,
                                    const std::string &ResponseId) {
    return "{\"id\":\"" + ResponseId + "\",\"choices\":[],\"usage\":{" +
           usageJsonFields(Job) + "}}";
  }

  static std::string usageJsonFields(const generation &Job) {
    return "\"prompt_tokens\":" + std::to_string(Job.PromptTokens) +
           ",\"completion_tokens\":" + std::to_string(Job.CompletionTokens) +
           ",\"total_tokens\":" +
           std::to_string(Job.PromptTokens + Job.CompletionTokens);
  }

  // Sends the events from Job.FirstEvent on. Event n with n < CompletionTokens
  // carries word n, the next event the usage, the last one the end marker.
  void sendStream(const generation &Job, const behaviour &ActiveBehaviour,
                  Poco::Net::HTTPServerResponse &Response) {
    const std::string ResponseId = "cmpl-" + Job.RequestId;
    Response.setContentType("text/event-stream");
    Response.setChunkedTransferEncoding(true);
    Response.set("X-Request-Id", Job.RequestId);
    Response.set("X-Stream-Id", Job.StreamId);
    std::ostream &Out = Response.send();
    for (std::int64_t WordIndex = Job.FirstEvent;
         WordIndex < Job.CompletionTokens; ++WordIndex) {
      if (WordIndex > Job.FirstEvent)
        std::this_thread::sleep_for(
            std::chrono::milliseconds(ActiveBehaviour.TokenGapMs));
      if (ActiveBehaviour.CutAfterTokens > 0 &&
          WordIndex - Job.FirstEvent >= ActiveBehaviour.CutAfterTokens)
        throw Poco::IOException("connection closed by cut_after");
      const bool IsForeign = ActiveBehaviour.SendForeignEvents &&
                             WordIndex >= Job.CompletionTokens / 2;
      const std::string Word =
          (WordIndex == 0 ? "w" : " w") + std::to_string(WordIndex);
      const std::string &Id = IsForeign ? "cmpl-other" : ResponseId;
      Out << "id: " << WordIndex << "\ndata: "
          << eventJson(Job, Id, Word, WordIndex + 1 == Job.CompletionTokens)
          << "\n\n"
          << std::flush;
      if (!Out)
        throw Poco::IOException("the caller closed the connection");
      const std::lock_guard Guard(Lock);
      ++TokensSent;
    }
    Out << "id: " << Job.CompletionTokens
        << "\ndata: " << usageEventJson(Job, ResponseId)
        << "\n\nid: " << Job.CompletionTokens + 1 << "\ndata: [DONE]\n\n"
        << std::flush;
  }

  void sendCompleteResponse(const generation &Job,
                            const behaviour &ActiveBehaviour,
                            Poco::Net::HTTPServerResponse &Response) {
    std::string Text;
    for (std::int64_t WordIndex = 0; WordIndex < Job.CompletionTokens;
         ++WordIndex)
      Text += (WordIndex == 0 ? "w" : " w") + std::to_string(WordIndex);
    std::this_thread::sleep_for(std::chrono::milliseconds(
        ActiveBehaviour.TokenGapMs * Job.CompletionTokens));
    const std::string Content =
        Job.IsChat ? "\"message\":{\"role\":\"assistant\",\"content\":\"" +
                         Text + "\"}"
                   : "\"text\":\"" + Text + "\"";
    Response.set("X-Request-Id", Job.RequestId);
    sendText(Response, 200,
             "{\"id\":\"cmpl-" + Job.RequestId +
                 "\",\"choices\":[{\"index\":0," + Content +
                 ",\"finish_reason\":\"stop\"}],\"usage\":{" +
                 usageJsonFields(Job) + "}}");
    const std::lock_guard Guard(Lock);
    TokensSent += static_cast<std::uint64_t>(Job.CompletionTokens);
  }

  void handleResume(const std::string &StreamId,
                    Poco::Net::HTTPServerRequest &Request,
                    Poco::Net::HTTPServerResponse &Response) {
    generation Job;
    behaviour ActiveBehaviour;
    {
      const std::lock_guard Guard(Lock);
      auto Found = Streams.find(StreamId);
      if (Found == Streams.end())
        return sendText(Response, 404, "{}");
      Job.StreamId = StreamId;
      Job.RequestId = Found->second.RequestId;
      Job.CompletionTokens = Found->second.CompletionTokens;
      Job.PromptTokens = Found->second.PromptTokens;
      Job.FirstEvent = std::stoll(Request.get("Last-Event-ID", "-1")) + 1;
      ActiveBehaviour = Behaviour;
      ++ResumedStreams;
    }
    acquireSlot();
    try {
      sendStream(Job, ActiveBehaviour, Response);
    } catch (const Poco::Exception &) {
      const std::lock_guard Guard(Lock);
      ++CancelledRequests;
    }
    releaseSlot();
  }

  std::string Name;
  adapters::system_clock Clock;
  adapters::system_random Random;
  std::mutex Lock; // Guards all members below.
  std::condition_variable SlotFree;
  behaviour Behaviour;
  std::int64_t Running = 0;    // Responses generated now.
  std::int64_t Waiting = 0;    // Requests that wait for a slot.
  std::int64_t MaxRunning = 0; // Highest value of Running so far.
  std::uint64_t StartedRequests = 0;
  std::uint64_t TokensSent = 0;
  std::uint64_t CachedPrefixHits = 0;
  std::uint64_t CancelledRequests = 0; // Connection closed before the end.
  std::uint64_t ResumedStreams = 0;
  std::uint64_t RefusedRequests = 0; // Received while leaving.
  time_ms LastRequestTime = 0;       // Of completions, refused ones included.
  std::list<std::uint64_t> CachedPrefixes; // Hashes, most recently used first.
  std::map<std::string, stored_stream> Streams; // By stream id.
  std::deque<std::string> StreamOrder;          // Stream ids, oldest first.
  std::string LoadReport;                       // JSON without age_ms.
  time_ms LoadReportTime = 0;                   // Monotonic time.
};

} // namespace

int run(int ArgumentCount, char **Arguments) {
  adapters::program_settings Settings(
      "standin-engine", "model engine that streams made-up words");
  addListenFlags(Settings, "7100");
  Settings.addText("name", "engine", "name, part of stream ids");
  Settings.addNumber("first-ms", "20", 0, 60000, "time to the first token");
  Settings.addNumber("gap-ms", "5", 0, 60000, "time between tokens");
  Settings.addNumber("slots", "16", 1, 100000, "responses generated at once");
  Settings.addNumber("report-lag-ms", "0", 0, 60000,
                     "maximum age of the reported load");
  if (!Settings.read(ArgumentCount, Arguments))
    return 0;
  behaviour Behaviour;
  Behaviour.FirstTokenMs = Settings.getNumber("first-ms");
  Behaviour.TokenGapMs = Settings.getNumber("gap-ms");
  Behaviour.Slots = Settings.getNumber("slots");
  Behaviour.LoadReportLagMs = Settings.getNumber("report-lag-ms");
  engine Engine(Settings.getText("name"), Behaviour);
  serveUntilSignal(Engine, Settings);
  return 0;
}

} // namespace tamarack::stand_ins
