// What a router instance tells: lines of the log, readiness, metrics.
#include "router.hpp"

namespace tamarack::daemon {

void router::onCall(const relay::call &Call) {
  Dispatcher.onRequest(Call.Service);
}

void router::onRefused(const edge::decoded_request &Request) {
  const calls::error_definition &Row = calls::definitionOf(Request.Refusal);
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
  const time_ms Known = GrantFollower.lastAnswer();
  Log.write("money_refused",
            {{"id", std::string_view(Call.Id)},
             {"account", std::string_view(Call.Account)},
             {"bound", Call.bound()},
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
  const std::string_view Error = Report.Error
                                     ? calls::definitionOf(*Report.Error).Name
                                     : std::string_view();
  Metrics
      .counterOf("tamarack_calls_total{kind=\"" +
                 std::string(relay::toString(Call.Kind)) + "\",outcome=\"" +
                 std::string(Report.ClientGone ? "caller_gone"
                             : Error.empty()   ? "answered"
                                               : Error) +
                 "\"}")
      .add();
  if (Report.Error == relay::error_kind::BudgetExhausted ||
      Report.Error == relay::error_kind::BudgetUnavailable)
    logMoneyRefusal(Call);
  if (Report.FirstByte > 0)
    Metrics.histogramOf("tamarack_first_byte_ms")
        .observe(static_cast<double>(Report.FirstByte - Call.Arrived));
  Metrics.histogramOf("tamarack_call_ms")
      .observe(static_cast<double>(Now - Call.Arrived));
  Log.write("call", {{"id", std::string_view(Call.Id)},
                     {"route", std::string_view(Call.RouteName)},
                     {"account", std::string_view(Call.Account)},
                     {"kind", relay::toString(Call.Kind)},
                     {"status", std::int64_t(Report.Status)},
                     {"error", Error},
                     {"attempts", std::int64_t(Report.Attempts)},
                     {"unreached", std::int64_t(Report.Unreached)},
                     {"endpoint", std::string_view(Report.LastEndpoint)},
                     {"last_end", relay::toString(Report.LastEnd)},
                     {"caller_gone", std::int64_t(Report.ClientGone)},
                     {"broken_off", std::int64_t(Report.BrokenOff)},
                     {"first_byte_ms", Report.FirstByte > 0
                                           ? Report.FirstByte - Call.Arrived
                                           : std::int64_t(-1)},
                     {"ms", Now - Call.Arrived},
                     {"left_ms", Call.Deadline - Now},
                     {"used", Report.Used},
                     {"bound", Call.bound()}});
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
