// Stand-in for a plain service that counts its executions by request key.
//
//   any method, any other path   executes the request, returns its number and
//                                key: {"run":N,"key":"..."}
//   GET  /load                   load as JSON
//   POST /control?delay_ms=N&cut_percent=N&chunk_cut_percent=N
//                &fail_percent=N&leaving=0|1
//   GET  /stats                  runs: executions; keys: different keys;
//                                twice: keys executed more than once;
//                                each: executions by key
#include "http_program.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <iostream>
#include <sstream>

namespace tamarack::stand_ins {

namespace {

class plain_service final : public http_service {
public:
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
    handleCall(Request, Response);
  }

private:
  void handleControl(const Poco::URI &Uri,
                     Poco::Net::HTTPServerResponse &Response) {
    const std::lock_guard Guard(Lock);
    DelayMs = queryNumber(Uri, "delay_ms", DelayMs);
    CutPercent = queryNumber(Uri, "cut_percent", CutPercent);
    ChunkCutPercent = queryNumber(Uri, "chunk_cut_percent", ChunkCutPercent);
    FailPercent = queryNumber(Uri, "fail_percent", FailPercent);
    Leaving = queryNumber(Uri, "leaving", Leaving ? 1 : 0) != 0;
    sendText(Response, 200, "{}");
  }

  std::string loadJson() {
    const std::lock_guard Guard(Lock);
    Poco::JSON::Object Top;
    Top.set("running", Running);
    Top.set("waiting", 0);
    Top.set("leaving", Leaving);
    return textOf(Top);
  }

  std::string statsJson() {
    const std::lock_guard Guard(Lock);
    std::uint64_t DuplicateKeys = 0;
    for (const auto &[Key, Count] : ExecutionsByKey)
      DuplicateKeys += Count > 1 ? 1 : 0;
    Poco::JSON::Object Top;
    Top.set("runs", Executions);
    Top.set("keys", static_cast<Poco::UInt64>(ExecutionsByKey.size()));
    Top.set("twice", DuplicateKeys);
    Top.set("each", objectOf(ExecutionsByKey));
    return textOf(Top);
  }

  void handleCall(Poco::Net::HTTPServerRequest &Request,
                  Poco::Net::HTTPServerResponse &Response) {
    readBody(Request);
    const std::string Key = Request.get("X-Request-Id", "");
    std::uint64_t ExecutionNumber = 0;
    std::int64_t ExecutionMs = 0;
    bool CutBody = false;
    bool CutChunkedBody = false;
    bool MustFail = false;
    {
      const std::lock_guard Guard(Lock);
      if (Leaving) {
        Response.set("X-Leaving", "true");
        Response.set("X-Request-Id", Key);
        return sendText(Response, 503, "{\"error\":\"leaving\"}");
      }
      ExecutionNumber = ++Executions;
      ++ExecutionsByKey[Key];
      ++Running;
      ExecutionMs = DelayMs;
      CutBody = static_cast<std::int64_t>(Random.next() % 100) < CutPercent;
      CutChunkedBody =
          static_cast<std::int64_t>(Random.next() % 100) < ChunkCutPercent;
      MustFail = static_cast<std::int64_t>(Random.next() % 100) < FailPercent;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(ExecutionMs));
    {
      const std::lock_guard Guard(Lock);
      --Running;
    }
    Response.set("X-Request-Id", Key);
    if (CutBody) { // Sends less than Content-Length announces.
      Response.setContentLength64(100);
      Response.send() << "{" << std::flush;
      return;
    }
    if (CutChunkedBody) { // Closes the connection within a chunked body.
      Response.setChunkedTransferEncoding(true);
      Response.send() << "{\"run\":" << std::flush;
      static_cast<Poco::Net::HTTPServerRequestImpl &>(Request)
          .socket()
          .shutdown();
      return;
    }
    if (MustFail)
      return sendText(Response, 500, "{\"error\":\"failed\"}");
    sendText(Response, 200,
             "{\"run\":" + std::to_string(ExecutionNumber) + ",\"key\":\"" +
                 Key + "\"}");
  }

  adapters::system_random Random;
  std::mutex Lock;                  // Guards all members below.
  std::int64_t DelayMs = 2;         // Duration of each execution.
  std::int64_t CutPercent = 0;      // Responses shorter than announced.
  std::int64_t ChunkCutPercent = 0; // Chunked responses without the end.
  std::int64_t FailPercent = 0;     // Responses with status 500.
  bool Leaving = false;             // Refuses new requests.
  std::int64_t Running = 0;         // Requests being executed now.
  std::uint64_t Executions = 0;     // Since the start.
  std::map<std::string, std::uint64_t> ExecutionsByKey;
};

} // namespace

int run(int ArgumentCount, char **Arguments) {
  adapters::program_settings Settings(
      "standin-service", "plain service that counts its executions");
  addListenFlags(Settings, "7200");
  if (!Settings.read(ArgumentCount, Arguments))
    return 0;
  plain_service Service;
  serveUntilSignal(Service, Settings);
  return 0;
}

} // namespace tamarack::stand_ins
