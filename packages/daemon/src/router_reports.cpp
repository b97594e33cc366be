// What a router instance tells: lines of the log, readiness, metrics.
#include "router.hpp"

namespace tamarack::daemon {

void router::onCall(const relay::call &Call) {
  Dispatcher.onRequest(Call.Service);
}

void router::onRefused(const edge::decoded_request &Request) {
  const calls::error_row &Row = calls::rowOf(Request.Refusal);
  Metrics
      .counterOf("tamarack_refused_total{kind=\"" + std::string(Row.Name) +
                 "\"}")
      .add();
  Log.write("refused",
            {{"id", std::string_view(Request.Id)},
             {"error", Row.Name},
             {"why", std::string_view(Request.Detail)},
             {"version", Table ? Table->Version : std::int64_t(-1)}});
}

void router::logMoneyRefusal(const relay::call &Call) {
  const grants::account_status Status = Grants.statusOf(Call.Account);
  const time_ms Known = GrantFollower.lastResponseAt();
  Log.write("money_refused",
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
             {"known_ms_ago",
              Known < 0 ? std::int64_t(-1) : Clock.monotonic() - Known}});
}

void router::onDone(const relay::call &Call,
                    const relay::exchange_report &Report, time_ms Now) {
  const std::string_view Error =
      Report.Error ? calls::rowOf(*Report.Error).Name : std::string_view();
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
    logMoneyRefusal(Call);
  if (Report.FirstByteAt > 0)
    Metrics.timingOf("tamarack_first_byte_ms")
        .add(static_cast<double>(Report.FirstByteAt - Call.ArrivedAt));
  Metrics.timingOf("tamarack_call_ms")
      .add(static_cast<double>(Now - Call.ArrivedAt));
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

edge::response_message router::readyAnswer() const {
  return edge::response_message(isReady()
                                    ? edge::http::status::ok
                                    : edge::http::status::service_unavailable,
                                11);
}

edge::response_message router::metricsAnswer() {
  Metrics.gaugeOf("tamarack_open_connections").set(Front.sessionCount());
  Metrics.gaugeOf("tamarack_idle_endpoint_connections").set(Pool.idleCount());
  Metrics.counterOf("tamarack_endpoint_connections_total")
      .set(Pool.openedCount());
  Metrics.counterOf("tamarack_store_calls_total").set(DirectStore.callCount());
  Metrics.counterOf("tamarack_store_calls_through_peers_total")
      .set(Store.relayedCount());
  edge::response_message Answer(edge::http::status::ok, 11);
  Answer.set(edge::http::field::content_type, "text/plain; version=0.0.4");
  Answer.body() = Metrics.prometheusText();
  return Answer;
}

} // namespace tamarack::daemon
