// Log lines, readiness and metrics of a router instance.
#include "router.hpp"

namespace tamarack::daemon {

void router::onCallAccepted(const relay::call &Call) {
  LoadBalancer.onRequest(Call.Service);
}

void router::onRequestRefused(const edge::decoded_request &Request) {
  const calls::error_definition &Row = calls::definitionOf(Request.Refusal);
  Metrics
      .counterOf("tamarack_refused_total{kind=\"" + std::string(Row.Name) +
                 "\"}")
      .add();
  Log.write("refused",
            {{"id", std::string_view(Request.Id)},
             {"error", Row.Name},
             {"why", std::string_view(Request.Detail)},
             {"version", RouteTable ? RouteTable->Version : std::int64_t(-1)}});
}

void router::logBudgetRefusal(const relay::call &Call) {
  const grants::account_status Status = Grants.statusOf(Call.Account);
  const time_ms LastResponseAt = GrantFollower.lastResponseAt();
  Log.write("budget_refused",
            {{"id", std::string_view(Call.Id)},
             {"account", std::string_view(Call.Account)},
             {"bound", Call.maxTokens()},
             {"prepaid", Status.Prepaid},
             {"ceiling", Status.Ceiling},
             {"used", Status.Used},
             {"reserved", Status.Reserved},
             {"others_ceiling", Status.OthersCeiling},
             {"others_used", Status.OthersUsed},
             {"free", Status.Free},
             {"known_ms_ago", LastResponseAt < 0
                                  ? std::int64_t(-1)
                                  : Clock.monotonic() - LastResponseAt}});
}

void router::onCallDone(const relay::call &Call,
                        const relay::exchange_report &Report, time_ms Now) {
  const std::string_view Error = Report.Error
                                     ? calls::definitionOf(*Report.Error).Name
                                     : std::string_view();
  Metrics
      .counterOf("tamarack_calls_total{kind=\"" +
                 std::string(relay::toString(Call.Kind)) + "\",outcome=\"" +
                 std::string(Report.CallerDisconnected ? "caller_gone"
                             : Error.empty()           ? "answered"
                                                       : Error) +
                 "\"}")
      .add();
  if (Report.Error == relay::error_kind::BudgetExhausted ||
      Report.Error == relay::error_kind::BudgetUnavailable)
    logBudgetRefusal(Call);
  if (Report.FirstByteAt > 0)
    Metrics.histogramOf("tamarack_first_byte_ms")
        .observe(static_cast<double>(Report.FirstByteAt - Call.ArrivedAt));
  Metrics.histogramOf("tamarack_call_ms")
      .observe(static_cast<double>(Now - Call.ArrivedAt));
  Log.write("call", {{"id", std::string_view(Call.Id)},
                     {"route", std::string_view(Call.RouteName)},
                     {"account", std::string_view(Call.Account)},
                     {"kind", relay::toString(Call.Kind)},
                     {"status", std::int64_t(Report.Status)},
                     {"error", Error},
                     {"attempts", std::int64_t(Report.Attempts)},
                     {"unreached", std::int64_t(Report.UnreachedEndpoints)},
                     {"endpoint", std::string_view(Report.LastEndpoint)},
                     {"last_end", relay::toString(Report.LastOutcome)},
                     {"caller_gone", std::int64_t(Report.CallerDisconnected)},
                     {"broken_off", std::int64_t(Report.ResponseAborted)},
                     {"first_byte_ms", Report.FirstByteAt > 0
                                           ? Report.FirstByteAt - Call.ArrivedAt
                                           : std::int64_t(-1)},
                     {"ms", Now - Call.ArrivedAt},
                     {"left_ms", Call.Deadline - Now},
                     {"used", Report.TokensCharged},
                     {"bound", Call.maxTokens()}});
}

edge::response_message router::readinessResponse() const {
  return edge::response_message(isReady()
                                    ? edge::http::status::ok
                                    : edge::http::status::service_unavailable,
                                11);
}

edge::response_message router::metricsResponse() {
  Metrics.gaugeOf("tamarack_open_connections").set(Frontend.sessionCount());
  Metrics.gaugeOf("tamarack_idle_endpoint_connections")
      .set(ConnectionPool.idleCount());
  Metrics.counterOf("tamarack_endpoint_connections_total")
      .set(ConnectionPool.openedCount());
  Metrics.counterOf("tamarack_store_calls_total").set(DirectStore.callCount());
  Metrics.counterOf("tamarack_store_calls_through_peers_total")
      .set(Store.peerCallCount());
  edge::response_message Response(edge::http::status::ok, 11);
  Response.set(edge::http::field::content_type, "text/plain; version=0.0.4");
  Response.body() = Metrics.prometheusText();
  return Response;
}

} // namespace tamarack::daemon
