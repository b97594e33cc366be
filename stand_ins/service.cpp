// Stand-in for a plain service: counts every run by request key.
//
//   any method, any path                  {"run":N,"key":"..."}
//   GET  /load                            load as JSON
//   POST /control?delay_ms=N&cut_percent=N&chunk_cut_percent=N
//                &fail_percent=N&leaving=0|1
//   GET  /stats                           runs, keys and keys run twice
#include "http_program.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServerRequestImpl.h>

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
      return control(Uri, Response);
    if (Path == "/stats")
      return sendText(Response, 200, stats());
    if (Path == "/load")
      return sendText(Response, 200, load());
    run(Request, Response);
  }

private:
  void control(const Poco::URI &Uri, Poco::Net::HTTPServerResponse &Response) {
    const std::lock_guard Guard(Lock);
    DelayMs = queryNumber(Uri, "delay_ms", DelayMs);
    CutPercent = queryNumber(Uri, "cut_percent", CutPercent);
    ChunkCutPercent = queryNumber(Uri, "chunk_cut_percent", ChunkCutPercent);
    FailPercent = queryNumber(Uri, "fail_percent", FailPercent);
    Leaving = queryNumber(Uri, "leaving", Leaving ? 1 : 0) != 0;
    sendText(Response, 200, "{}");
  }

  std::string load() {
    const std::lock_guard Guard(Lock);
    Poco::JSON::Object Top;
    Top.set("running", Running);
    Top.set("waiting", 0);
    Top.set("leaving", Leaving);
    std::ostringstream Out;
    Top.stringify(Out);
    return Out.str();
  }

  std::string stats() {
    const std::lock_guard Guard(Lock);
    std::uint64_t Twice = 0;
    for (const auto &[Key, Count] : RunsOfKey)
      Twice += Count > 1 ? 1 : 0;
    Poco::JSON::Object Top;
    Top.set("runs", Runs);
    Top.set("keys", static_cast<Poco::UInt64>(RunsOfKey.size()));
    Top.set("twice", Twice);
    Poco::JSON::Object::Ptr Each = new Poco::JSON::Object;
    for (const auto &[Key, Count] : RunsOfKey)
      Each->set(Key, Count);
    Top.set("each", Each);
    std::ostringstream Out;
    Top.stringify(Out);
    return Out.str();
  }

  void run(Poco::Net::HTTPServerRequest &Request,
           Poco::Net::HTTPServerResponse &Response) {
    readBody(Request);
    const std::string Key = Request.get("X-Request-Id", "");
    std::uint64_t Number = 0;
    std::int64_t Delay = 0;
    bool Cut = false;
    bool ChunkCut = false;
    bool Fail = false;
    {
      const std::lock_guard Guard(Lock);
      if (Leaving) {
        Response.set("X-Leaving", "true");
        return sendText(Response, 503, "{\"error\":\"leaving\"}");
      }
      Number = ++Runs;
      ++RunsOfKey[Key];
      ++Running;
      Delay = DelayMs;
      Cut = static_cast<std::int64_t>(Random.next() % 100) < CutPercent;
      ChunkCut =
          static_cast<std::int64_t>(Random.next() % 100) < ChunkCutPercent;
      Fail = static_cast<std::int64_t>(Random.next() % 100) < FailPercent;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(Delay));
    {
      const std::lock_guard Guard(Lock);
      --Running;
    }
    Response.set("X-Request-Id", Key);
    if (Cut) { // Announces more than it sends.
      Response.setContentLength64(100);
      Response.send() << "{" << std::flush;
      return;
    }
    if (ChunkCut) { // Closes in the middle of a chunked body.
      Response.setChunkedTransferEncoding(true);
      Response.send() << "{\"run\":" << std::flush;
      static_cast<Poco::Net::HTTPServerRequestImpl &>(Request)
          .socket()
          .shutdown();
      return;
    }
    if (Fail)
      return sendText(Response, 500, "{\"error\":\"failed\"}");
    sendText(Response, 200,
             "{\"run\":" + std::to_string(Number) + ",\"key\":\"" + Key +
                 "\"}");
  }

  adapters::system_random Random;
  std::mutex Lock; // Guards all below.
  std::int64_t DelayMs = 2;
  std::int64_t CutPercent = 0;
  std::int64_t ChunkCutPercent = 0;
  std::int64_t FailPercent = 0;
  bool Leaving = false;
  std::int64_t Running = 0;
  std::uint64_t Runs = 0;
  std::map<std::string, std::uint64_t> RunsOfKey;
};

int run(int Count, char **Arguments) {
  adapters::program_settings Settings("standin-service",
                                      "plain service that counts its runs");
  Settings.addText("host", "127.0.0.1", "address to listen on");
  Settings.addNumber("port", "7200", 1, 65535, "port to listen on");
  if (!Settings.read(Count, Arguments))
    return 0;
  plain_service Service;
  serveUntilSignal(Service, Settings.getText("host"),
                   static_cast<int>(Settings.getNumber("port")));
  return 0;
}

} // namespace

} // namespace tamarack::stand_ins

int main(int Count, char **Arguments) {
  using namespace tamarack::stand_ins;
  return runProgram(run, Count, Arguments);
}
