// Serves calls of plain services.
#include "service_call.hpp"

#include "response_readers.hpp"

namespace tamarack::daemon {

namespace {

using calls::call_error;
using calls::error_kind;

constexpr int ConnectTimeoutMs = 1000;
constexpr int FirstServerError = 500;

exchange_request makeExchangeRequest(const call_context &Context,
                                     const config::service &Service,
                                     const std::string &Path,
                                     std::string Body) {
  exchange_request Request;
  Request.Subject = Service.Name;
  Request.MaxCost = Service.Price;
  endpoint_request &EndpointRequest = Request.EndpointRequest;
  EndpointRequest.Method = Context.Request.getMethod();
  EndpointRequest.Path = Path;
  EndpointRequest.Body = std::move(Body);
  EndpointRequest.ConnectTimeoutMs = ConnectTimeoutMs;
  EndpointRequest.ReadTimeoutMs = Service.TimeoutMs;
  EndpointRequest.Headers.push_back(
      {"X-Request-Id", Context.IdempotencyKey.Text});
  if (Context.Request.has("Content-Type"))
    EndpointRequest.Headers.push_back(
        {"Content-Type", Context.Request.get("Content-Type")});
  return Request;
}

} // namespace

void serveService(call_context &Context, std::string_view Name,
                  const std::string &Path) {
  auto Entry = Context.Configuration->Services.find(Name);
  if (Entry == Context.Configuration->Services.end())
    throw call_error(error_kind::UnknownService);
  const config::service &Service = Entry->second;
  const bool Repeatable =
      Service.Repeatable && !Context.isMarkedNotRepeatable();
  std::string Body = Context.readBody();
  Context.assignRequestKey(Repeatable);
  single_execution Execution(Context, Repeatable, Body);
  if (Execution.isResponseSent())
    return;
  prepaid_admission Admission(Context, Service.Price);
  service_response_reader Reader(Context.IdempotencyKey.Text, Service.Price);
  exchange_driver Driver(
      Context, makeExchangeRequest(Context, Service, Path, std::move(Body)),
      Execution, Admission, Reader);
  const relay::exchange_report Report = Driver.run();
  Context.recordOutcome(Service.Name, Report.Status < FirstServerError);
}

} // namespace tamarack::daemon
