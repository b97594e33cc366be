// Stand-in of an endpoint in the platform's form. Registers itself in the
// store and counts what it runs.
//
// A path that contains /stream/ is answered by events, as many as the largest
// output of Token-Count says divided by --tokens-per-event; any other path by
// one whole body.
//
//   POST /control   shed=N, cut=N, lose=N, alien=N, unsigned=N, fail=N for the
//                   next N requests, delay_ms=N, leave=1
//   GET  /stats     runs by request id, requests seen, tokens by account
#include "http_program.hpp"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/StreamCopier.h>

#include <atomic>
#include <sstream>
#include <thread>

namespace tamarack::stand_ins {

namespace {

constexpr int BeatMs = 400;

struct runner_settings {
  std::string Id;
  std::string Service;
  std::string Zone;
  std::string Host;
  int Port = 0;
  std::string StoreHost;
  int StorePort = 0;
  int Slots = 8;
  int TokensPerEvent = 1;
};

std::string bigEndian(std::size_t Value) {
  std::string Text;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Text.push_back(static_cast<char>(Value >> Shift & 0xFF));
  return Text;
}

class runner_service final : public http_service {
public:
  explicit runner_service(runner_settings Settings)
      : Settings(std::move(Settings)), Beats([this] { beat(); }) {}
  ~runner_service() override {
    Ending = true;
    Beats.join();
  }

  void handle(Poco::Net::HTTPServerRequest &Request,
              Poco::Net::HTTPServerResponse &Response) override {
    const Poco::URI Uri(Request.getURI());
    if (Uri.getPath() == "/control")
      return control(Uri, Response);
    if (Uri.getPath() == "/stats")
      return sendText(Response, 200, stats());
    serve(Request, Response);
  }

private:
  void control(const Poco::URI &Uri, Poco::Net::HTTPServerResponse &Response) {
    const std::lock_guard Guard(Lock);
    for (const auto &[Name, Value] : Uri.getQueryParameters())
      Faults[Name] = queryNumber(Uri, Name, 0);
    sendText(Response, 200, "{}");
  }

  // True for the next requests that a control call has named.
  bool take(const std::string &Name) {
    const std::lock_guard Guard(Lock);
    std::int64_t &Left = Faults[Name];
    if (Left <= 0)
      return false;
    --Left;
    return true;
  }

  std::string stats() {
    const std::lock_guard Guard(Lock);
    Poco::JSON::Object Top;
    Top.set("seen", Seen);
    Poco::JSON::Object::Ptr Each = new Poco::JSON::Object;
    for (const auto &[Id, Count] : RunsOfId)
      Each->set(Id, Count);
    Top.set("each", Each);
    Poco::JSON::Object::Ptr Tokens = new Poco::JSON::Object;
    for (const auto &[Account, Count] : TokensOfAccount)
      Tokens->set(Account, Count);
    Top.set("tokens", Tokens);
    std::ostringstream Out;
    Top.stringify(Out);
    return Out.str();
  }

  void serve(Poco::Net::HTTPServerRequest &Request,
             Poco::Net::HTTPServerResponse &Response) {
    const std::string Id = Request.get("Attempt-Id", "");
    readBody(Request);
    std::int64_t DelayMs = 0;
    {
      const std::lock_guard Guard(Lock);
      ++Seen;
      DelayMs = Faults["delay_ms"];
    }
    Response.set("Attempt-Id", Id);
    if (Request.get("Expect-Instance", Settings.Id) != Settings.Id) {
      Response.set("Instance-Id", Settings.Id);
      return sendText(Response, 421, "{}");
    }
    if (take("shed")) {
      Response.set("Not-Executed", "1");
      return sendText(Response, 503, "{}");
    }
    countRun(Request, Id);
    std::this_thread::sleep_for(std::chrono::milliseconds(DelayMs));
    if (take("lose"))
      return drop(Request);
    Response.set("Server-Load", "1,0," + std::to_string(Settings.Slots));
    if (!take("unsigned"))
      Response.set("Server-Stamp", Settings.Id + "." + Id);
    if (take("alien"))
      Response.set("Attempt-Id", "of-another");
    if (take("fail"))
      return sendText(Response, 500, "{\"error\":\"failed\"}");
    if (Request.getURI().find("/stream/") == std::string::npos)
      return sendText(Response, 200, "{\"by\":\"" + Settings.Id + "\"}");
    sendEvents(Request, Response);
  }

  void countRun(Poco::Net::HTTPServerRequest &Request, const std::string &Id) {
    const std::lock_guard Guard(Lock);
    ++RunsOfId[Id];
    if (Request.has("Key"))
      ++RunsOfId["key passed on"];
  }

  static void drop(Poco::Net::HTTPServerRequest &Request) {
    static_cast<Poco::Net::HTTPServerRequestImpl &>(Request)
        .socket()
        .shutdown();
  }

  void sendEvents(Poco::Net::HTTPServerRequest &Request,
                  Poco::Net::HTTPServerResponse &Response) {
    std::int64_t Prompt = 0;
    std::int64_t Output = 0;
    char Comma = 0;
    std::istringstream Counts(Request.get("Token-Count", "0,10"));
    Counts >> Prompt >> Comma >> Output;
    std::int64_t From = 0;
    std::istringstream(Request.get("Last-Event-Id", "0")) >> From;
    const std::int64_t Events = Output / Settings.TokensPerEvent;
    const bool Cut = take("cut");
    Response.setContentType("text/event-stream");
    Response.setChunkedTransferEncoding(true);
    std::ostream &Out = Response.send();
    for (std::int64_t Event = From + 1; Event <= Events; ++Event) {
      if (Cut && Event == From + 3) {
        Out << "id: " << Event << "\nda" << std::flush;
        return drop(Request);
      }
      Out << "id: " << Event << "\ndata: piece " << Event << "\n\n"
          << std::flush;
      if (!Out.good())
        return;
    }
    const std::lock_guard Guard(Lock);
    TokensOfAccount[Request.get("Tenant", "")] += Prompt + Output;
  }

  std::string entry(std::int64_t Sequence) {
    const std::lock_guard Guard(Lock);
    Poco::JSON::Object Entry;
    Entry.set("service", Settings.Service);
    Entry.set("address", Settings.Host + ":" + std::to_string(Settings.Port));
    Entry.set("zone", Settings.Zone);
    Entry.set("version", std::string("v1"));
    Entry.set("slots", Settings.Slots);
    Entry.set("state", std::string(Faults["leave"] > 0 ? "draining" : "ready"));
    Entry.set("coldLeftMs", 0);
    Entry.set("sequence", static_cast<Poco::Int64>(Sequence));
    Entry.set("born", static_cast<Poco::Int64>(Born));
    std::ostringstream Out;
    Entry.stringify(Out);
    return Out.str();
  }

  // Registers again and again; a store that is away is tried at the next beat.
  void beat() {
    for (std::int64_t Sequence = 1; !Ending; ++Sequence) {
      const std::string Value = entry(Sequence);
      const std::string Content =
          std::string(1, static_cast<char>(Settings.Id.size())) + Settings.Id +
          Value;
      const std::string Body = bigEndian(Content.size()) + Content;
      try {
        Poco::Net::HTTPClientSession Session(
            Settings.StoreHost, static_cast<Poco::UInt16>(Settings.StorePort));
        Poco::Net::HTTPRequest Request(
            "POST", "/-/log-append?topic=keyed.servers&part=0", "HTTP/1.1");
        Request.set("X-Operator", "1");
        Request.setContentLength64(static_cast<std::int64_t>(Body.size()));
        Session.sendRequest(Request) << Body;
        Poco::Net::HTTPResponse Response;
        Poco::StreamCopier::copyToString(Session.receiveResponse(Response),
                                         LastAnswer);
      } catch (const Poco::Exception &Error) {
        LastAnswer = Error.displayText();
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(BeatMs));
    }
  }

  runner_settings Settings;
  const std::int64_t Born = adapters::system_clock().now();
  std::mutex Lock; // Guards Faults, Seen, RunsOfId and TokensOfAccount.
  std::map<std::string, std::int64_t> Faults;
  std::int64_t Seen = 0;
  std::map<std::string, std::int64_t> RunsOfId;
  std::map<std::string, std::int64_t> TokensOfAccount;
  std::string LastAnswer; // Of the store, for a debugger.
  std::atomic<bool> Ending = false;
  std::thread Beats;
};

int run(int Count, char **Arguments) {
  adapters::program_settings Flags(
      "standin-runner", "endpoint that registers itself in the store");
  Flags.addText("host", "127.0.0.1", "address to listen on");
  Flags.addNumber("port", "7400", 1, 65535, "port to listen on");
  Flags.addText("id", nullptr, "unique id");
  Flags.addText("service", nullptr, "service that it belongs to");
  Flags.addText("zone", "zone-a", "availability zone");
  Flags.addText("store-host", "127.0.0.1", "address of the store");
  Flags.addNumber("store-port", "7300", 1, 65535, "port of the store");
  Flags.addNumber("slots", "8", 1, 1000, "requests worked on at once");
  Flags.addNumber("tokens-per-event", "1", 1, 1000, "tokens in one event");
  if (!Flags.read(Count, Arguments))
    return 0;
  runner_settings Settings;
  Settings.Id = Flags.getText("id");
  Settings.Service = Flags.getText("service");
  Settings.Zone = Flags.getText("zone");
  Settings.Host = Flags.getText("host");
  Settings.Port = static_cast<int>(Flags.getNumber("port"));
  Settings.StoreHost = Flags.getText("store-host");
  Settings.StorePort = static_cast<int>(Flags.getNumber("store-port"));
  Settings.Slots = static_cast<int>(Flags.getNumber("slots"));
  Settings.TokensPerEvent =
      static_cast<int>(Flags.getNumber("tokens-per-event"));
  runner_service Service(Settings);
  serveUntilSignal(Service, Settings.Host, Settings.Port);
  return 0;
}

} // namespace

} // namespace tamarack::stand_ins

int main(int Count, char **Arguments) {
  using namespace tamarack::stand_ins;
  return runProgram(run, Count, Arguments);
}
