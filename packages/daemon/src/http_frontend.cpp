// The HTTP side: callers, health, metrics and operators' pages.
#include "http_frontend.hpp"

#include "model_call.hpp"
#include "service_call.hpp"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/SecureServerSocket.h>
#include <Poco/URI.h>

#include <array>
#include <charconv>
#include <sstream>

namespace tamarack::daemon {

namespace {

using calls::call_error;
using calls::error_kind;

constexpr std::string_view ServicePrefix = "/services/";
constexpr int LargestTickets = 1000;                   // In one answer.
constexpr std::size_t LargestDrain = 16 * 1024 * 1024; // Bytes read away.
constexpr int ThreadStackBytes = 256 * 1024;
constexpr int LeastThreads = 4;
constexpr int IdleThreadSeconds = 60;
constexpr int ListenBacklog = 1024;
constexpr int KeepAliveSeconds = 15; // An idle connection holds a thread.

class request_handler final : public Poco::Net::HTTPRequestHandler {
public:
  explicit request_handler(http_frontend &Front) : Front(Front) {}
  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    Front.handle(Request, Response);
  }

private:
  http_frontend &Front;
};

class handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit handler_factory(http_frontend &Front) : Front(Front) {}
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new request_handler(Front); // The server deletes it.
  }

private:
  http_frontend &Front;
};

Poco::Net::ServerSocket listenOn(const daemon_settings &Settings) {
  const Poco::Net::SocketAddress Address(
      Settings.HttpHost, static_cast<Poco::UInt16>(Settings.HttpPort));
  if (!Settings.HttpTls.enabled())
    return Poco::Net::ServerSocket(Address, ListenBacklog);
  return Poco::Net::SecureServerSocket(
      Address, ListenBacklog, adapters::makeServerContext(Settings.HttpTls));
}

void sendText(Poco::Net::HTTPServerResponse &Response, int Status,
              const std::string &Text, const std::string &Type) {
  Response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
  Response.setContentType(Type);
  Response.sendBuffer(Text.data(), Text.size());
}

// Reads what is left of a body, so that the next request on the connection
// starts where it should and the caller can read the answer. Closes the
// connection if there is too much.
void drain(Poco::Net::HTTPServerRequest &Request,
           Poco::Net::HTTPServerResponse &Response) {
  std::array<char, 16 * 1024> Buffer;
  std::size_t Left = LargestDrain;
  std::istream &In = Request.stream();
  while (In.good() && Left > 0) {
    In.read(Buffer.data(), static_cast<std::streamsize>(Buffer.size()));
    Left -= std::min(Left, static_cast<std::size_t>(In.gcount()));
  }
  if (Left == 0)
    Response.setKeepAlive(false);
}

// Counts a request for as long as it is served.
class flight {
public:
  explicit flight(std::atomic<int> &Count) : Count(Count) { ++Count; }
  ~flight() { --Count; }
  flight(const flight &) = delete;
  flight &operator=(const flight &) = delete;

private:
  std::atomic<int> &Count;
};

} // namespace

http_frontend::http_frontend(const daemon_settings &Settings,
                             call_services &Services, admin_pages &Pages)
    : Services(Services), Pages(Pages), AdminKeyDigest(Settings.AdminKeyDigest),
      Part("http"), Pool(LeastThreads, Settings.HttpThreads, IdleThreadSeconds,
                         ThreadStackBytes) {
  Poco::Net::HTTPServerParams::Ptr Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(Settings.HttpThreads);
  Params->setMaxQueued(Settings.HttpThreads);
  Params->setKeepAlive(true);
  Params->setKeepAliveTimeout(Poco::Timespan(KeepAliveSeconds, 0));
  Server = std::make_unique<Poco::Net::HTTPServer>(
      new handler_factory(*this), Pool, listenOn(Settings), Params);
  Server->start();
}

http_frontend::~http_frontend() { stop(); }

void http_frontend::stop() {
  if (!Server)
    return;
  Server->stopAll(true);
  Pool.joinAll();
  Server.reset();
}

void http_frontend::handle(Poco::Net::HTTPServerRequest &Request,
                           Poco::Net::HTTPServerResponse &Response) {
  try {
    route(Request, Response);
  } catch (const call_error &Error) {
    const calls::error_definition &Row = calls::definitionOf(Error.kind());
    Services.Metrics
        .counterOf("tamarack_errors_total{kind=\"" + std::string(Row.Name) +
                   "\"}")
        .add();
    try {
      drain(Request, Response);
      sendError(Response, Error);
    } catch (const Poco::Exception &) { // The caller has gone.
    }
  } catch (const Poco::Exception &Error) {
    Part.debug("A caller's connection ended: " + Error.displayText() + ".");
  } catch (const std::exception &Error) {
    Part.error(std::string("A request failed inside the router: ") +
               Error.what() + ".");
    sendError(Response, call_error(error_kind::Internal));
  }
}

void http_frontend::route(Poco::Net::HTTPServerRequest &Request,
                          Poco::Net::HTTPServerResponse &Response) {
  std::string Path;
  try {
    Path = Poco::URI(Request.getURI()).getPath();
  } catch (const Poco::Exception &) {
    throw call_error(error_kind::InvalidRequest, "The path is malformed.");
  }
  if (servePage(Path, Request, Response))
    return;
  const flight Flight(InFlight);
  Services.Metrics.counterOf("tamarack_requests_total").add();
  if (!Pages.isReady())
    throw call_error(error_kind::NotReady);
  call_context Context(Services, Request, Response);
  const bool Post = Request.getMethod() == "POST";
  if (Path == "/v1/chat/completions" && Post)
    return serveModel(Context, true);
  if (Path == "/v1/completions" && Post)
    return serveModel(Context, false);
  if (Path == "/v1/tickets" && Post)
    return serveTickets(Context);
  if (!Path.starts_with(ServicePrefix))
    throw call_error(error_kind::NotFound);
  const std::string Rest = Request.getURI().substr(ServicePrefix.size());
  const std::size_t Slash = Rest.find_first_of("/?");
  const std::string Service = Rest.substr(0, Slash);
  std::string Inner = Slash == std::string::npos ? "/" : Rest.substr(Slash);
  if (Inner.front() == '?')
    Inner.insert(Inner.begin(), '/');
  serveService(Context, Service, Inner);
}

bool http_frontend::servePage(const std::string &Path,
                              Poco::Net::HTTPServerRequest &Request,
                              Poco::Net::HTTPServerResponse &Response) {
  const bool Page = Path == "/healthz" || Path == "/readyz" ||
                    Path == "/metrics" || Path.starts_with("/admin/");
  if (!Page)
    return false;
  drain(Request, Response);
  if (Path == "/healthz") {
    sendText(Response, 200, "ok\n", "text/plain");
    return true;
  }
  if (Path == "/readyz") {
    const bool Ready = Pages.isReady();
    sendText(Response, Ready ? 200 : 503, Ready ? "ready\n" : "not ready\n",
             "text/plain");
    return true;
  }
  if (Path == "/metrics") {
    sendText(Response, 200, Pages.metricsText(), "text/plain; version=0.0.4");
    return true;
  }
  if (Path == "/admin/status") {
    checkAdmin(Request);
    sendText(Response, 200, Pages.statusJson(), "application/json");
    return true;
  }
  if (Path == "/admin/burn") {
    checkAdmin(Request);
    sendText(Response, 200, Pages.burnJson(), "application/json");
    return true;
  }
  return false;
}

void http_frontend::checkAdmin(
    const Poco::Net::HTTPServerRequest &Request) const {
  if (!AdminKeyDigest.empty() && bearerDigest(Request) != AdminKeyDigest)
    throw call_error(error_kind::Unauthorized);
}

// Keys minted ahead: each names this incarnation as the one that may run it.
void http_frontend::serveTickets(call_context &Context) {
  int Count = 1;
  for (const auto &[Name, Value] :
       Poco::URI(Context.Request.getURI()).getQueryParameters()) {
    if (Name != "count")
      continue;
    const char *End = Value.data() + Value.size();
    const std::from_chars_result Read =
        std::from_chars(Value.data(), End, Count);
    const bool Good = Read.ec == std::errc() && Read.ptr == End && Count >= 1 &&
                      Count <= LargestTickets;
    if (!Good)
      throw call_error(error_kind::InvalidRequest,
                       "count must be from 1 to 1000.");
  }
  Poco::JSON::Array::Ptr Tickets = new Poco::JSON::Array;
  for (int Index = 0; Index < Count; ++Index)
    Tickets->add(calls::mintTicket(Services.Self, Services.Clock.now(),
                                   Services.Random.next()));
  Poco::JSON::Object Top;
  Top.set("tickets", Tickets);
  Top.set("valid_ms", money::KeyWindowMs);
  std::ostringstream Out;
  Top.stringify(Out);
  Context.sendWhole(200, "application/json", Out.str());
}

} // namespace tamarack::daemon
