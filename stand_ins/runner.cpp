// Stand-in for an endpoint that works with the platform's store: it registers
// itself there and counts the requests that it executes.
//
// A request whose path contains /stream/ gets a stream of events: the maximum
// output in Token-Count divided by --tokens-per-event. Any other request gets
// one complete body. The events of a runner whose --software is not v1 name it;
// Last-Event-Id is obeyed whichever software sent that event.
//
//   POST /control   sets a value, see below
//   GET  /stats     seen: requests received; arrivals: the Unix ms at which
//                   they came; running: requests without a complete response;
//                   each: executions by Attempt-Id; tokens: tokens by client
//                   account; control: the values of /control, of which
//                   requests have used up some
//
// Values of /control that give the number of requests affected next:
//   shed       gets 503 with Not-Executed, without an execution; see pause_ms
//   lose       is executed, but the connection is closed without a response
//   unsigned   gets a response without Server-Stamp
//   alien      gets a response with a different Attempt-Id
//   fail       is executed, but gets 500
//   cut        gets a stream that breaks off within the third event
//   stale_refusal  of requests on a connection that has carried another one:
//              a refusal (503, Not-Executed) that names no request is written
//              first; the request is executed and answered behind it
//   stale_refusal_of_other  the same, and the refusal names another request
//   endless_head, endless_body, endless_event  is answered by a head, a body of
//              no stated length, or an event that does not end: a large part at
//              once, then a byte now and then until the caller closes
// Other values:
//   delay_ms   duration of each execution
//   event_ms   pause before each event of a stream
//   leave      above 0: registers as draining
//   mute       above 0: does not register
//   pause_ms   above 0: 503 of shed has Retry-After
//   say_leaving above 0: responses have Server-Leaving
//   limit_milli limit that responses state in Server-Limit, in requests per
//              1,000 s; 0 for none
//   crash_part id of a prompt part, in decimal; 0 for none. On a request with
//              this part in Prompt-Prefix, anywhere but last, the process sends
//              the head of the response and ends with CrashExitStatus.
//   crash_body a number; 0 for none. On a request whose body is this number in
//              decimal, the process ends with CrashExitStatus instead of a
//              response, after the duration of an execution.
#include "http_program.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/StreamCopier.h>

#include <atomic>
#include <charconv>
#include <cstdlib>
#include <set>
#include <sstream>
#include <thread>

namespace tamarack::stand_ins {

namespace {

constexpr char FirstSoftware[] = "v1";
constexpr int HeartbeatMs = 400;    // Between two registrations.
constexpr int CrashExitStatus = 86; // Of a crash by crash_part; tests know it.
// Of a response without end: sent at once, and the pause before each byte more.
constexpr std::size_t EndlessBytes = 60'000;
constexpr std::chrono::milliseconds EndlessPause(200);

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
  std::string Software; // Version that it registers.
};

std::string encodeBigEndian(std::size_t Value) {
  std::string Text;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Text.push_back(static_cast<char>(Value >> Shift & 0xFF));
  return Text;
}

// Returns true if the part with this id is in a Prompt-Prefix header
// (HEX_ID:TOKENS,...) and is not the last part.
bool hasPartBeforeLast(const std::string &PromptPrefix, std::int64_t Part) {
  std::size_t Begin = 0;
  for (std::size_t Comma = PromptPrefix.find(','); Comma != std::string::npos;
       Comma = PromptPrefix.find(',', Begin)) {
    std::uint64_t Id = 0;
    const auto [End, Error] = std::from_chars(
        PromptPrefix.data() + Begin, PromptPrefix.data() + Comma, Id, 16);
    if (Error == std::errc() && *End == ':' &&
        Id == static_cast<std::uint64_t>(Part))
      return true;
    Begin = Comma + 1;
  }
  return false;
}

// Counts while it exists.
class scoped_count {
public:
  explicit scoped_count(std::atomic<int> &Count) : Count(Count) { ++Count; }
  ~scoped_count() { --Count; }
  scoped_count(const scoped_count &) = delete;
  scoped_count &operator=(const scoped_count &) = delete;

private:
  std::atomic<int> &Count;
};

class runner_service final : public http_service {
public:
  explicit runner_service(runner_settings Settings)
      : Settings(std::move(Settings)),
        HeartbeatThread([this] { sendHeartbeats(); }) {}
  ~runner_service() override {
    Stopping = true;
    HeartbeatThread.join();
  }

  void handle(Poco::Net::HTTPServerRequest &Request,
              Poco::Net::HTTPServerResponse &Response) override {
    const Poco::URI Uri(Request.getURI());
    if (Uri.getPath() == "/control")
      return handleControl(Uri, Response);
    if (Uri.getPath() == "/stats")
      return sendText(Response, 200, statsJson());
    const scoped_count Count(Running);
    handleCall(Request, Response);
  }

private:
  void handleControl(const Poco::URI &Uri,
                     Poco::Net::HTTPServerResponse &Response) {
    const std::lock_guard Guard(Lock);
    for (const auto &[Name, Value] : Uri.getQueryParameters())
      ControlValues[Name] = queryNumber(Uri, Name, 0);
    sendText(Response, 200, "{}");
  }

  // Returns true and decrements the value if the fault Name applies to this
  // request.
  bool consumeFault(const std::string &Name) {
    const std::lock_guard Guard(Lock);
    std::int64_t &RemainingRequests = ControlValues[Name];
    if (RemainingRequests <= 0)
      return false;
    --RemainingRequests;
    return true;
  }

  std::int64_t controlValue(const std::string &Name) {
    const std::lock_guard Guard(Lock);
    return ControlValues[Name];
  }

  std::string statsJson() {
    const std::lock_guard Guard(Lock);
    Poco::JSON::Object Top;
    Top.set("seen", static_cast<std::int64_t>(Arrivals.size()));
    Poco::JSON::Array::Ptr Times = new Poco::JSON::Array;
    for (const std::int64_t Time : Arrivals)
      Times->add(Time);
    Top.set("arrivals", Times);
    Top.set("running", Running.load());
    Top.set("each", objectOf(ExecutionsById));
    Top.set("tokens", objectOf(TokensByAccount));
    Top.set("control", objectOf(ControlValues));
    return textOf(Top);
  }

  void handleCall(Poco::Net::HTTPServerRequest &Request,
                  Poco::Net::HTTPServerResponse &Response) {
    const std::string AttemptId = Request.get("Attempt-Id", "");
    const std::string Body = readBody(Request);
    const std::int64_t DelayMs = controlValue("delay_ms");
    {
      const std::lock_guard Guard(Lock);
      Arrivals.push_back(adapters::system_clock().now());
    }
    Response.set("Attempt-Id", AttemptId);
    stateLimit(Response);
    if (controlValue("say_leaving") > 0)
      Response.set("Server-Leaving", "1");
    if (Request.get("Expect-Instance", Settings.Id) != Settings.Id) {
      Response.set("Instance-Id", Settings.Id);
      return sendText(Response, 421, "{}");
    }
    repeatRefusal(Request);
    if (consumeFault("shed")) {
      Response.set("Not-Executed", "1");
      if (const std::int64_t PauseMs = controlValue("pause_ms"); PauseMs > 0)
        Response.set("Retry-After", std::to_string(PauseMs / 1'000.0));
      return sendText(Response, 503, "{}");
    }
    countExecution(Request, AttemptId);
    if (sendWithoutEnd(Request, AttemptId))
      return;
    std::this_thread::sleep_for(std::chrono::milliseconds(DelayMs));
    crashOnBody(Body);
    if (consumeFault("lose"))
      return closeConnection(Request);
    Response.set("Server-Load", "1,0," + std::to_string(Settings.Slots));
    if (!consumeFault("unsigned"))
      Response.set("Server-Stamp", Settings.Id + "." + AttemptId);
    crashOnPart(Request, Response);
    if (consumeFault("alien"))
      Response.set("Attempt-Id", "of-another");
    if (consumeFault("fail"))
      return sendText(Response, 500, "{\"error\":\"failed\"}");
    if (Request.getURI().find("/stream/") == std::string::npos)
      return sendText(Response, 200, "{\"by\":\"" + Settings.Id + "\"}");
    sendEvents(Request, Response);
  }

  // Answers by bytes without end if a fault says so.
  bool sendWithoutEnd(Poco::Net::HTTPServerRequest &Request,
                      const std::string &AttemptId) {
    std::string Begin = "HTTP/1.1 200 OK\r\nAttempt-Id: " + AttemptId +
                        "\r\nServer-Stamp: s\r\n";
    if (consumeFault("endless_head"))
      Begin += "X: ";
    else if (consumeFault("endless_body"))
      Begin += "\r\n";
    else if (consumeFault("endless_event"))
      Begin += "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ";
    else
      return false;
    Begin.append(EndlessBytes, 'x');
    Poco::Net::StreamSocket &Socket =
        static_cast<Poco::Net::HTTPServerRequestImpl &>(Request).socket();
    Socket.sendBytes(Begin.data(), static_cast<int>(Begin.size()));
    // Ends with the exception of a connection that the caller has closed.
    for (;;) {
      std::this_thread::sleep_for(EndlessPause);
      Socket.sendBytes("x", 1);
    }
  }

  // Writes a refusal of an earlier request once more, if a fault says so.
  void repeatRefusal(Poco::Net::HTTPServerRequest &Request) {
    if (!hasCarriedRequest(Request))
      return;
    std::string Named;
    if (consumeFault("stale_refusal_of_other"))
      Named = "Attempt-Id: of-another\r\n";
    else if (!consumeFault("stale_refusal"))
      return;
    const std::string Refusal = "HTTP/1.1 503 Service Unavailable\r\n" + Named +
                                "Not-Executed: 1\r\nContent-Length: 2\r\n\r\n"
                                "{}";
    static_cast<Poco::Net::HTTPServerRequestImpl &>(Request).socket().sendBytes(
        Refusal.data(), static_cast<int>(Refusal.size()));
  }

  // True if another request came before on this connection.
  bool hasCarriedRequest(Poco::Net::HTTPServerRequest &Request) {
    const std::lock_guard Guard(Lock);
    return !UsedConnections.insert(Request.clientAddress().toString()).second;
  }

  // Ends the process if crash_body says so. The connections of all other
  // requests in flight end with it.
  void crashOnBody(const std::string &Body) {
    const std::int64_t Number = controlValue("crash_body");
    if (Number != 0 && Body == std::to_string(Number))
      std::_Exit(CrashExitStatus);
  }

  // Ends the process in the middle of a response if crash_part says so. The
  // connections of all other requests in flight end with it.
  void crashOnPart(Poco::Net::HTTPServerRequest &Request,
                   Poco::Net::HTTPServerResponse &Response) {
    const std::int64_t Part = controlValue("crash_part");
    if (Part == 0 || !hasPartBeforeLast(Request.get("Prompt-Prefix", ""), Part))
      return;
    Response.setContentType("text/event-stream");
    Response.setChunkedTransferEncoding(true);
    Response.send() << std::flush;
    std::_Exit(CrashExitStatus);
  }

  void stateLimit(Poco::Net::HTTPServerResponse &Response) {
    const std::int64_t LimitMilli = controlValue("limit_milli");
    if (LimitMilli > 0)
      Response.set("Server-Limit", std::to_string(LimitMilli / 1'000.0));
  }

  void countExecution(Poco::Net::HTTPServerRequest &Request,
                      const std::string &AttemptId) {
    const std::lock_guard Guard(Lock);
    ++ExecutionsById[AttemptId];
    // The caller's key must not reach endpoints: tests require that this entry
    // is absent.
    if (Request.has("Key"))
      ++ExecutionsById["key passed on"];
  }

  static void closeConnection(Poco::Net::HTTPServerRequest &Request) {
    static_cast<Poco::Net::HTTPServerRequestImpl &>(Request)
        .socket()
        .shutdown();
  }

  void sendEvents(Poco::Net::HTTPServerRequest &Request,
                  Poco::Net::HTTPServerResponse &Response) {
    std::int64_t PromptTokens = 0;
    std::int64_t MaxOutputTokens = 0;
    char Comma = 0;
    std::istringstream Counts(Request.get("Token-Count", "0,10"));
    Counts >> PromptTokens >> Comma >> MaxOutputTokens;
    std::int64_t LastEvent = 0; // The caller has received events up to this.
    std::istringstream(Request.get("Last-Event-Id", "0")) >> LastEvent;
    const std::int64_t Events = MaxOutputTokens / Settings.TokensPerEvent;
    const std::chrono::milliseconds EventPause(controlValue("event_ms"));
    const bool Cut = consumeFault("cut");
    const std::string Mark =
        Settings.Software == FirstSoftware ? "" : " " + Settings.Software;
    Response.setContentType("text/event-stream");
    Response.setChunkedTransferEncoding(true);
    std::ostream &Out = Response.send();
    for (std::int64_t Event = LastEvent + 1; Event <= Events; ++Event) {
      if (Cut && Event == LastEvent + 3) {
        Out << "id: " << Event << "\nda" << std::flush;
        return closeConnection(Request);
      }
      std::this_thread::sleep_for(EventPause);
      Out << "id: " << Event << "\ndata: piece " << Event << Mark << "\n\n"
          << std::flush;
      if (!Out.good())
        return;
    }
    const std::lock_guard Guard(Lock);
    TokensByAccount[Request.get("Tenant", "")] +=
        PromptTokens + MaxOutputTokens;
  }

  // Returns the value of the registration record.
  std::string registrationJson(std::int64_t Sequence) {
    const std::lock_guard Guard(Lock);
    Poco::JSON::Object Entry;
    Entry.set("service", Settings.Service);
    Entry.set("address", Settings.Host + ":" + std::to_string(Settings.Port));
    Entry.set("zone", Settings.Zone);
    Entry.set("version", Settings.Software);
    Entry.set("slots", Settings.Slots);
    Entry.set("state",
              std::string(ControlValues["leave"] > 0 ? "draining" : "ready"));
    Entry.set("coldLeftMs", 0);
    Entry.set("sequence", static_cast<Poco::Int64>(Sequence));
    Entry.set("born", static_cast<Poco::Int64>(StartTime));
    return textOf(Entry);
  }

  // Registers every HeartbeatMs. If the store is unavailable, the next
  // registration is tried as usual.
  void sendHeartbeats() {
    for (std::int64_t Sequence = 1; !Stopping; ++Sequence) {
      if (controlValue("mute") > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(HeartbeatMs));
        continue;
      }
      const std::string Value = registrationJson(Sequence);
      const std::string Content =
          std::string(1, static_cast<char>(Settings.Id.size())) + Settings.Id +
          Value;
      const std::string Body = encodeBigEndian(Content.size()) + Content;
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
                                         LastStoreResponse);
      } catch (const Poco::Exception &Error) {
        LastStoreResponse = Error.displayText();
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(HeartbeatMs));
    }
  }

  runner_settings Settings;
  const std::int64_t StartTime = adapters::system_clock().now();
  std::mutex Lock; // Guards ControlValues, Arrivals, ExecutionsById,
                   // TokensByAccount and UsedConnections.
  std::map<std::string, std::int64_t> ControlValues; // By name.
  std::vector<std::int64_t> Arrivals; // Unix ms, one for each request.
  std::map<std::string, std::int64_t> ExecutionsById; // By Attempt-Id.
  std::map<std::string, std::int64_t> TokensByAccount;
  std::set<std::string> UsedConnections; // By the caller's address and port.
  std::string LastStoreResponse;         // Only for debugging.
  std::atomic<int> Running = 0;          // Requests.
  std::atomic<bool> Stopping = false;
  std::thread HeartbeatThread;
};

} // namespace

int run(int ArgumentCount, char **Arguments) {
  adapters::program_settings Flags(
      "standin-runner", "endpoint that registers itself in the store");
  addListenFlags(Flags, "7400");
  Flags.addText("id", nullptr, "unique id of the endpoint");
  Flags.addText("service", nullptr, "service that the endpoint belongs to");
  Flags.addText("zone", "zone-a", "availability zone");
  Flags.addText("store-host", "127.0.0.1", "address of the store");
  Flags.addNumber("store-port", "7300", 1, 65535, "port of the store");
  Flags.addNumber("slots", "8", 1, 1000,
                  "requests executed at once, as registered");
  Flags.addNumber("tokens-per-event", "1", 1, 1000, "tokens in one event");
  Flags.addText("software", FirstSoftware, "version of the software");
  if (!Flags.read(ArgumentCount, Arguments))
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
  Settings.Software = Flags.getText("software");
  runner_service Service(Settings);
  serveUntilSignal(Service, Flags);
  return 0;
}

} // namespace tamarack::stand_ins
