// Calls of plain services at /services/<service>/<path>.
#include "service_call.hpp"

#include "response_readers.hpp"

namespace tamarack::daemon {

namespace {

using calls::call_error;
using calls::error_kind;

constexpr int ConnectMs = 1000;
constexpr int FirstServerError = 500;

exchange_request requestOf(const call_context &Context,
                           const config::service &Service,
                           const std::string &Path, std::string Body) {
  exchange_request Request;
  Request.Subject = Service.Name;
  Request.Bound = Service.Price;
  endpoint_request &Send = Request.Send;
  Send.Method = Context.Request.getMethod();
  Send.Path = Path;
  Send.Body = std::move(Body);
  Send.ConnectMs = ConnectMs;
  Send.ReadMs = Service.TimeoutMs;
  Send.Headers.push_back({"X-Request-Id", Context.Key.Text});
  if (Context.Request.has("Content-Type"))
    Send.Headers.push_back(
        {"Content-Type", Context.Request.get("Content-Type")});
  return Request;
}

} // namespace

void serveService(call_context &Context, std::string_view Name,
                  const std::string &Path) {
  auto Found = Context.Configuration->Services.find(Name);
  if (Found == Context.Configuration->Services.end())
    throw call_error(error_kind::UnknownService);
  const config::service &Service = Found->second;
  const bool Repeatable = Service.Repeatable && !Context.saysNotRepeatable();
  std::string Body = Context.readBody();
  Context.setKey(Repeatable);
  single_execution Run(Context, Repeatable, Body);
  if (Run.isResponseSent())
    return;
  prepaid_admission Paid(Context, Service.Price);
  service_response_reader Reader(Context.Key.Text, Service.Price);
  exchange_driver Engine(Context,
                         requestOf(Context, Service, Path, std::move(Body)),
                         Run, Paid, Reader);
  const relay::exchange_report Report = Engine.run();
  Context.noteOutcome(Service.Name, Report.Status < FirstServerError);
}

} // namespace tamarack::daemon
