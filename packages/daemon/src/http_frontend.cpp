// HTTP server for callers, health checks, metrics and admin pages.
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

constexpr std::string_view ServicePathPrefix = "/services/";
constexpr int MaxTicketsPerRequest = 1000;
constexpr std::size_t MaxDiscardedBytes = 16 * 1024 * 1024;
constexpr int ThreadStackBytes = 256 * 1024;
constexpr int MinThreads = 4;
constexpr int IdleThreadSeconds = 60;
constexpr int ListenBacklog = 1024;
constexpr int KeepAliveSeconds = 15; // Each idle connection occupies a thread.

class request_handler final : public Poco::Net::HTTPRequestHandler {
public:
  explicit request_handler(http_frontend &Frontend) : Frontend(Frontend) {}
  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    Frontend.handleRequest(Request, Response);
  }

private:
  http_frontend &Frontend;
};

class handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit handler_factory(http_frontend &Frontend) : Frontend(Frontend) {}
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new request_handler(Frontend); // The server deletes it.
  }

private:
  http_frontend &Frontend;
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

// Reads and discards the rest of the request body, so that the caller can read
// the response and the next request on the connection starts at the right byte.
// Closes the connection after the response if more than MaxDiscardedBytes are
// left.
void discardRequestBody(Poco::Net::HTTPServerRequest &Request,
                        Poco::Net::HTTPServerResponse &Response) {
  std::array<char, 16 * 1024> Buffer;
  std::size_t RemainingBytes = MaxDiscardedBytes;
  std::istream &Input = Request.stream();
  while (Input.good() && RemainingBytes > 0) {
    Input.read(Buffer.data(), static_cast<std::streamsize>(Buffer.size()));
    RemainingBytes -=
        std::min(RemainingBytes, static_cast<std::size_t>(Input.gcount()));
  }
  if (RemainingBytes == 0)
    Response.setKeepAlive(false);
}

// Counts a request as in flight during the guard's lifetime.
class in_flight_guard {
public:
  explicit in_flight_guard(std::atomic<int> &Count) : Count(Count) { ++Count; }
  ~in_flight_guard() { --Count; }
  in_flight_guard(const in_flight_guard &) = delete;
  in_flight_guard &operator=(const in_flight_guard &) = delete;

private:
  std::atomic<int> &Count;
};

} // namespace

http_frontend::http_frontend(const daemon_settings &Settings,
                             call_services &Services, admin_pages &Pages)
    : Services(Services), Pages(Pages), AdminKeyDigest(Settings.AdminKeyDigest),
      Logger("http"), ThreadPool(MinThreads, Settings.MaxHttpThreads,
                                 IdleThreadSeconds, ThreadStackBytes) {
  Poco::Net::HTTPServerParams::Ptr Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(Settings.MaxHttpThreads);
  Params->setMaxQueued(Settings.MaxHttpThreads);
  Params->setKeepAlive(true);
  Params->setKeepAliveTimeout(Poco::Timespan(KeepAliveSeconds, 0));
  Server = std::make_unique<Poco::Net::HTTPServer>(
      new handler_factory(*this), ThreadPool, listenOn(Settings), Params);
  Server->start();
}

http_frontend::~http_frontend() { stop(); }

void http_frontend::stop() {
  if (!Server)
    return;
  Server->stopAll(true);
  ThreadPool.joinAll();
  Server.reset();
}

void http_frontend::handleRequest(Poco::Net::HTTPServerRequest &Request,
                                  Poco::Net::HTTPServerResponse &Response) {
  try {
    routeRequest(Request, Response);
  } catch (const call_error &Error) {
    const calls::error_definition &Definition =
        calls::definitionOf(Error.kind());
    Services.Metrics
        .counterOf("tamarack_errors_total{kind=\"" +
                   std::string(Definition.Name) + "\"}")
        .add();
    try {
      discardRequestBody(Request, Response);
      sendError(Response, Error);
    } catch (const Poco::Exception &) { // The caller has disconnected.
    }
  } catch (const Poco::Exception &Error) {
    Logger.debug("Connection of a caller closed: " + Error.displayText() + ".");
  } catch (const std::exception &Error) {
    Logger.error(std::string("Request failed with an internal error: ") +
                 Error.what() + ".");
    sendError(Response, call_error(error_kind::Internal));
  }
}

void http_frontend::routeRequest(Poco::Net::HTTPServerRequest &Request,
                                 Poco::Net::HTTPServerResponse &Response) {
  std::string Path;
  try {
    Path = Poco::URI(Request.getURI()).getPath();
  } catch (const Poco::Exception &) {
    throw call_error(error_kind::InvalidRequest,
                     "The request URI is malformed.");
  }
  if (tryServePage(Path, Request, Response))
    return;
  const in_flight_guard InFlightGuard(InFlightCount);
  Services.Metrics.counterOf("tamarack_requests_total").add();
  if (!Pages.isReady())
    throw call_error(error_kind::NotReady);
  call_context Context(Services, Request, Response);
  const bool IsPost = Request.getMethod() == "POST";
  if (Path == "/v1/chat/completions" && IsPost)
    return serveCompletionRequest(Context, true);
  if (Path == "/v1/completions" && IsPost)
    return serveCompletionRequest(Context, false);
  if (Path == "/v1/tickets" && IsPost)
    return serveMintedTickets(Context);
  if (!Path.starts_with(ServicePathPrefix))
    throw call_error(error_kind::NotFound);
  const std::string ServiceUri =
      Request.getURI().substr(ServicePathPrefix.size());
  const std::size_t Slash = ServiceUri.find_first_of("/?");
  const std::string Service = ServiceUri.substr(0, Slash);
  std::string ServicePath =
      Slash == std::string::npos ? "/" : ServiceUri.substr(Slash);
  if (ServicePath.front() == '?')
    ServicePath.insert(ServicePath.begin(), '/');
  serveService(Context, Service, ServicePath);
}

bool http_frontend::tryServePage(const std::string &Path,
                                 Poco::Net::HTTPServerRequest &Request,
                                 Poco::Net::HTTPServerResponse &Response) {
  const bool IsPage = Path == "/healthz" || Path == "/readyz" ||
                      Path == "/metrics" || Path.starts_with("/admin/");
  if (!IsPage)
    return false;
  discardRequestBody(Request, Response);
  if (Path == "/healthz") {
    sendText(Response, 200, "ok\n", "text/plain");
    return true;
  }
  if (Path == "/readyz") {
    const bool IsReady = Pages.isReady();
    sendText(Response, IsReady ? 200 : 503, IsReady ? "ready\n" : "not ready\n",
             "text/plain");
    return true;
  }
  if (Path == "/metrics") {
    sendText(Response, 200, Pages.metricsText(), "text/plain; version=0.0.4");
    return true;
  }
  if (Path == "/admin/status") {
    requireAdminKey(Request);
    sendText(Response, 200, Pages.statusJson(), "application/json");
    return true;
  }
  if (Path == "/admin/burn") {
    requireAdminKey(Request);
    sendText(Response, 200, Pages.burnJson(), "application/json");
    return true;
  }
  return false;
}

void http_frontend::requireAdminKey(
    const Poco::Net::HTTPServerRequest &Request) const {
  if (!AdminKeyDigest.empty() && bearerKeyDigest(Request) != AdminKeyDigest)
    throw call_error(error_kind::Unauthorized);
}

// Sends request keys that are minted in advance. Each ticket names this
// incarnation as the only one that may execute the request.
void http_frontend::serveMintedTickets(call_context &Context) {
  int Count = 1;
  for (const auto &[Name, Value] :
       Poco::URI(Context.Request.getURI()).getQueryParameters()) {
    if (Name != "count")
      continue;
    const char *End = Value.data() + Value.size();
    const std::from_chars_result Parsed =
        std::from_chars(Value.data(), End, Count);
    const bool IsValid = Parsed.ec == std::errc() && Parsed.ptr == End &&
                         Count >= 1 && Count <= MaxTicketsPerRequest;
    if (!IsValid)
      throw call_error(error_kind::InvalidRequest,
                       "count must be from 1 to 1000.");
  }
  Poco::JSON::Array::Ptr Tickets = new Poco::JSON::Array;
  for (int Index = 0; Index < Count; ++Index)
    Tickets->add(calls::mintTicket(Services.SelfExecutor, Services.Clock.now(),
                                   Services.Random.next()));
  Poco::JSON::Object Root;
  Root.set("tickets", Tickets);
  Root.set("valid_ms", ledger::KeyWindowMs);
  std::ostringstream Json;
  Root.stringify(Json);
  Context.sendCompleteResponse(200, "application/json", Json.str());
}

} // namespace tamarack::daemon
