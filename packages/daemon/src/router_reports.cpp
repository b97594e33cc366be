// Log lines, readiness and metrics of a router instance.
#include "router.hpp"

namespace tamarack::daemon {

namespace {

// Slower store calls are logged. Long polls wait at the store for up to 1 s.
constexpr int LoggedStoreCallMs = 1'500;
// Slower calls for other instances are logged.
constexpr int LoggedPeerCallMs = 500;
// Longer delays of the event loop are logged.
constexpr int LoggedLoopDelayMs = 500;
constexpr std::size_t MaxLoggedTextBytes = 64;

std::string_view nameOf(store_topic Topic) {
  switch (Topic) {
  case store_topic::Configuration:
    return "configuration";
  case store_topic::Endpoints:
    return "endpoints";
  case store_topic::Grants:
    return "grants";
  case store_topic::Watermarks:
    return "watermarks";
  case store_topic::Streams:
    return "streams";
  }
  return "";
}

std::string topicLabel(store_topic Topic) {
  return "{topic=\"" + std::string(nameOf(Topic)) + "\"}";
}

// True if no endpoint could get the call.
bool isUnplaced(const relay::exchange_report &Report) {
  return Report.Error == relay::error_kind::NoEndpoint ||
         Report.Error == relay::error_kind::Overloaded ||
         Report.Error == relay::error_kind::StreamVersionGone;
}

} // namespace

void router::onStoreCall(const platform::store_call_report &Report) {
  const std::string Label = topicLabel(Report.Topic);
  const edge::channel_timing &Timing = Report.Timing;
  StoreReceivedBytes += Report.Bytes;
  Metrics.counterOf("tamarack_store_received_bytes_total" + Label)
      .add(Report.Bytes);
  if (Report.HttpStatus == 0)
    Metrics.counterOf("tamarack_store_calls_unanswered_total" + Label).add();
  Metrics.histogramOf("tamarack_store_queue_ms").observe(Timing.QueuedMs);
  Metrics.histogramOf("tamarack_store_call_ms").observe(Timing.ActiveMs);
  if (Report.After) {
    Metrics.counterOf("tamarack_snapshot_further_pages_total" + Label).add();
    Log.write("snapshot_page",
              {{"calls_for", Report.CallsFor},
               {"topic", nameOf(Report.Topic)},
               {"after", Report.After->substr(0, MaxLoggedTextBytes)},
               {"status", std::int64_t(Report.HttpStatus)},
               {"ms", std::int64_t(Timing.ActiveMs)},
               {"bytes", static_cast<std::int64_t>(Report.Bytes)}});
  }
  if (Timing.QueuedMs + Timing.ActiveMs < LoggedStoreCallMs &&
      Timing.Attempts < 2 && Report.HttpStatus != 0)
    return;
  const edge::channel_rest Rest = Timing.Rest.value_or(edge::channel_rest());
  Log.write("store_call_slow",
            {{"calls_for", Report.CallsFor},
             {"topic", nameOf(Report.Topic)},
             {"call", Report.Call},
             {"status", std::int64_t(Report.HttpStatus)},
             {"queued_ms", std::int64_t(Timing.QueuedMs)},
             {"ms", std::int64_t(Timing.ActiveMs)},
             {"attempts", std::int64_t(Timing.Attempts)},
             {"bytes", static_cast<std::int64_t>(Report.Bytes)},
             {"stage", Timing.Rest ? edge::toString(Rest.Stage) : ""},
             {"was_ready", std::int64_t(Rest.WasReady)},
             {"unacknowledged_bytes", std::int64_t(Rest.UnacknowledgedBytes)}});
}

// Logs what is not the rule: a snapshot of one page that was read to its end.
void router::recordSnapshot(store_topic Topic,
                            const follow::snapshot_end &End) {
  const bool IsComplete = End.Status == store_status::Ok;
  if (End.IsStuck)
    Metrics.counterOf("tamarack_snapshots_stuck_total" + topicLabel(Topic))
        .add();
  if (IsComplete && End.Pages <= 1)
    return;
  Log.write("snapshot", {{"topic", nameOf(Topic)},
                         {"outcome", End.IsStuck  ? "stuck"
                                     : IsComplete ? "complete"
                                                  : "failed"},
                         {"pages", std::int64_t(End.Pages)},
                         {"records", static_cast<std::int64_t>(End.Records)}});
}

void router::onSnapshotRead(const follow::snapshot_end &End) {
  recordSnapshot(store_topic::Streams, End);
}

void router::onPeerCallServed(const peers::served_call &Call) {
  Metrics.counterOf("tamarack_peer_calls_served_total" + topicLabel(Call.Topic))
      .add();
  Metrics.counterOf("tamarack_peer_served_bytes_total" + topicLabel(Call.Topic))
      .add(Call.ResponseBytes);
  if (Call.ElapsedMs < LoggedPeerCallMs)
    return;
  Log.write("peer_call_slow",
            {{"topic", nameOf(Call.Topic)},
             {"ok", std::int64_t(Call.Status == store_status::Ok)},
             {"ms", Call.ElapsedMs},
             {"bytes", static_cast<std::int64_t>(Call.ResponseBytes)}});
}

void router::onEraChanged(std::uint64_t Before, std::uint64_t Era) {
  Metrics.gaugeOf("tamarack_store_era").set(Era);
  Grants.setEra(Era);
  if (Before == 0)
    return;
  Directory.onEraChanged(Clock.monotonic());
  Evacuations.onEraChanged(Clock.monotonic());
  CrashReports.repeat();
  StreamOrigins.repeat();
  Metrics.counterOf("tamarack_store_era_changes_total").add();
  Log.write("store_era", {{"before", static_cast<std::int64_t>(Before)},
                          {"era", static_cast<std::int64_t>(Era)},
                          {"grants_read_ms_ago", ageOf(GrantFollower)}});
}

void router::onFormerEra(std::uint64_t Stated, std::uint64_t Era) {
  Metrics.counterOf("tamarack_store_era_dropped_total").add();
  Log.write("store_era_former", {{"stated", static_cast<std::int64_t>(Stated)},
                                 {"era", static_cast<std::int64_t>(Era)}});
}

void router::onEraMissing(std::string_view Text) {
  Metrics.counterOf("tamarack_store_era_missing_total").add();
  Log.write("store_era_missing",
            {{"text", Text.substr(0, MaxLoggedTextBytes)}});
}

void router::recordLoopDelay(time_ms DelayMs) {
  Metrics.histogramOf("tamarack_loop_delay_ms")
      .observe(static_cast<double>(DelayMs));
  LagLog.onLoopDelay(DelayMs);
  ForwardingGate.onLoopDelay(DelayMs, Clock.monotonic());
  if (DelayMs >= LoggedLoopDelayMs)
    Log.write("loop_delayed", {{"ms", DelayMs}});
}

void router::recordBacklog(time_ms Now) {
  lag_sample Sample;
  Sample.ReadyWaitMs = ReadinessProbe.takeLongestWait();
  ReadinessProbe.tick();
  Sample.Callers = Frontend.counts().Traffic;
  Sample.Endpoints = ConnectionPool.traffic();
  Backlog.onTick(
      {Sample.Callers.Received + Sample.Endpoints.Received + StoreReceivedBytes,
       Sample.Callers.Sent + Sample.Endpoints.Sent, Sample.ReadyWaitMs,
       std::max(ConnectionPool.lastQuickConnectAt(), LastQuickLinkProbeAt)});
  Sample.IsLinkFull = Backlog.isLinkFull();
  Sample.IsLoopLate = Backlog.isLoopLate();
  Sample.ConfigurationAgeMs = ageOf(ConfigurationFollower);
  Sample.EndpointsAgeMs = ageOf(EndpointFollower);
  Sample.GrantsAgeMs = ageOf(GrantFollower);
  LagLog.tick(Now, Sample);
}

time_ms router::ageOf(const follow::topic_follower &Follower) const {
  const time_ms KnownAsOf = Follower.knownAsOf();
  return KnownAsOf < 0 ? -1 : Clock.sinceBoot() - KnownAsOf;
}

void router::recordConfigurationRead() {
  const int ElapsedMs = ConfigurationFollower.lastReadMs();
  Metrics.histogramOf("tamarack_configuration_read_ms").observe(ElapsedMs);
  if (ElapsedMs >= LoggedStoreCallMs)
    Log.write("configuration_read_slow",
              {{"ms", std::int64_t(ElapsedMs)},
               {"direct", std::int64_t(Store.isDirectPathActive())}});
}

void router::setTopicAge(std::string_view Topic,
                         const follow::topic_follower &Follower) {
  const time_ms AgeMs = ageOf(Follower);
  if (AgeMs >= 0)
    Metrics
        .gaugeOf("tamarack_topic_age_ms{topic=\"" + std::string(Topic) + "\"}")
        .set(static_cast<std::uint64_t>(AgeMs));
}

// A forwarded call has earned its retry at the instance that it came to.
void router::onCallAccepted(const relay::call &Call) {
  LagLog.onCall();
  countForwardedCall(Call, 1);
  if (Call.ForwardedBy.empty())
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
             {"version", RouteTable ? RouteTable->Version : std::int64_t(-1)},
             {"version_known_ms_ago", ageOf(ConfigurationFollower)}});
}

void router::logBudgetRefusal(const relay::call &Call) {
  const grants::account_status Status = Grants.statusOf(Call.Account);
  const std::vector<grants::pool_member> &Candidates =
      Grants.pools().candidatesFor(Call.Account);
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
             {"holder", std::string_view(Candidates.front().Instance)},
             {"known_ms_ago", ageOf(GrantFollower)}});
}

namespace {

std::string_view nameOf(relay::reserve_result Result) {
  switch (Result) {
  case relay::reserve_result::Reserved:
    return "reserved";
  case relay::reserve_result::Pending:
    return "pending";
  case relay::reserve_result::Unavailable:
    return "unavailable";
  case relay::reserve_result::Exhausted:
    return "exhausted";
  }
  return "";
}

} // namespace

void router::onAnswered(relay::reserve_result Result, time_ms WaitedMs) {
  Metrics
      .counterOf("tamarack_pool_answers_total{result=\"" +
                 std::string(nameOf(Result)) + "\"}")
      .add();
  Metrics.histogramOf("tamarack_pool_wait_ms")
      .observe(static_cast<double>(WaitedMs));
}

void router::onHolderAvoided(std::string_view Holder, bool Responded,
                             int AvoidMs) {
  Metrics.counterOf("tamarack_pool_failures_total").add();
  Log.write("pool_holder_avoided", {{"holder", Holder},
                                    {"responded", std::int64_t(Responded)},
                                    {"avoid_ms", std::int64_t(AvoidMs)}});
}

void router::onSettlementDropped(std::string_view Holder) {
  Metrics.counterOf("tamarack_pool_settlements_dropped_total").add();
  Log.write("pool_settlement_dropped", {{"holder", Holder}});
}

// One line for each change of who holds tokens for whom.
void router::logPools() {
  const std::uint64_t Version = Grants.holders().membersVersion();
  if (!RouteTable || Version == LoggedPools)
    return;
  LoggedPools = Version;
  std::int64_t Held = 0;
  std::int64_t Limited = 0;
  for (const auto &[Name, Account] : RouteTable->accounts()) {
    const bool IsLimited = Grants.isLimited(Name);
    Limited += IsLimited ? 1 : 0;
    Held += IsLimited && Grants.pools().isHolder(Name) ? 1 : 0;
  }
  Log.write("pools",
            {{"members",
              static_cast<std::int64_t>(Grants.holders().members().size())},
             {"zone_shared", std::int64_t(Grants.pools().isZoneShared())},
             {"accounts", Limited},
             {"held_here", Held},
             {"holders_each", std::int64_t(Grants.pools().holderCount())}});
}

void router::onOriginsRead() { Frontend.onOriginsRead(); }

void router::onUnreadableRecord(std::string_view Key) {
  Metrics.counterOf("tamarack_unreadable_records_total").add();
  Log.write("stream_record_unreadable", {{"key", Key}});
}

void router::logTakeUp(const relay::call &Call,
                       const relay::exchange_report &Report) {
  const std::string_view Origin = relay::toString(*Report.Origin);
  Metrics
      .counterOf("tamarack_streams_taken_up_total{origin=\"" +
                 std::string(Origin) + "\"}")
      .add();
  Log.write("stream_taken_up",
            {{"id", std::string_view(Call.Id)},
             {"resumed_id", std::string_view(Call.ResumedId)},
             {"resume_after", std::string_view(Call.ResumeAfter)},
             {"origin", Origin},
             {"version", std::string_view(Call.RequiredVersion)},
             {"looked_up_ms", Report.OriginFoundAt > 0
                                  ? Report.OriginFoundAt - Call.ArrivedAt
                                  : std::int64_t(-1)},
             {"endpoint", std::string_view(Report.LastEndpoint)},
             {"endpoint_version", std::string_view(Report.LastVersion)}});
}

void router::onAttemptSent(const relay::call &Call,
                           const relay::endpoint_choice &Target) {
  if (Target.IsInstance)
    return;
  const time_ms AgeMs = ageOf(EndpointFollower);
  Metrics.histogramOf("tamarack_list_age_at_send_ms")
      .observe(static_cast<double>(AgeMs));
  ListAgeAtSend.insert_or_assign(Call.Number, AgeMs);
}

void router::onCallDone(const relay::call &Call,
                        const relay::exchange_report &Report, time_ms Now) {
  countForwardedCall(Call, -1);
  const auto SentWith = ListAgeAtSend.extract(Call.Number);
  if (!Call.ForwardedBy.empty())
    Metrics.counterOf("tamarack_forwarded_calls_total{way=\"in\"}").add();
  if (!Report.ForwardedTo.empty())
    Metrics.counterOf("tamarack_forwarded_calls_total{way=\"out\"}").add();
  const std::string_view Error = Report.Error
                                     ? calls::definitionOf(*Report.Error).Name
                                     : std::string_view();
  Metrics
      .counterOf("tamarack_calls_total{kind=\"" +
                 std::string(relay::toString(Call.Kind)) + "\",outcome=\"" +
                 std::string(Report.CallerDisconnected ? "caller_gone"
                             : Report.GivenUpAtStop    ? "given_up_at_stop"
                             : Error.empty()           ? "answered"
                                                       : Error) +
                 "\"}")
      .add();
  if (Report.Error == relay::error_kind::BudgetExhausted ||
      Report.Error == relay::error_kind::BudgetUnavailable)
    logBudgetRefusal(Call);
  if (isUnplaced(Report))
    AvailabilityLog.writeUnplaced(Call, LoadBalancer.survey(Call, Now), Now);
  if (Report.Origin)
    logTakeUp(Call, Report);
  if (Report.FirstByteAt > 0)
    Metrics.histogramOf("tamarack_first_byte_ms")
        .observe(static_cast<double>(Report.FirstByteAt - Call.ArrivedAt));
  Metrics.histogramOf("tamarack_call_ms")
      .observe(static_cast<double>(Now - Call.ArrivedAt));
  Log.write("call",
            {{"id", std::string_view(Call.Id)},
             {"route", std::string_view(Call.RouteName)},
             {"account", std::string_view(Call.Account)},
             {"kind", relay::toString(Call.Kind)},
             {"status", std::int64_t(Report.Status)},
             {"error", Error},
             {"attempts", std::int64_t(Report.Attempts)},
             {"unreached", std::int64_t(Report.UnreachedEndpoints)},
             {"unreached_instances", std::int64_t(Report.UnreachedInstances)},
             {"endpoint", std::string_view(Report.LastEndpoint)},
             {"forwarded_by", std::string_view(Call.ForwardedBy)},
             {"last_end", relay::toString(Report.LastOutcome)},
             {"first_version", std::string_view(Report.FirstVersion)},
             {"last_version", std::string_view(Report.LastVersion)},
             {"version_certain", std::int64_t(Report.IsVersionCertain)},
             {"caller_gone", std::int64_t(Report.CallerDisconnected)},
             {"broken_off", std::int64_t(Report.ResponseAborted)},
             {"given_up_at_stop", std::int64_t(Report.GivenUpAtStop)},
             {"first_byte_ms", Report.FirstByteAt > 0
                                   ? Report.FirstByteAt - Call.ArrivedAt
                                   : std::int64_t(-1)},
             {"ms", Now - Call.ArrivedAt},
             {"left_ms", Call.Deadline - Now},
             {"endpoints_read_ms_ago", ageOf(EndpointFollower)},
             {"waited_for_list_ms", Report.ListWaitMs},
             {"sent_by_list_of_ms",
              SentWith.empty() ? std::int64_t(-1) : SentWith.mapped()},
             {"used", Report.TokensCharged},
             {"bound", Call.maxTokens()}});
}

void router::onResponseBroken(const relay::call &Call,
                              const relay::endpoint_choice &Source,
                              responses::defect Why) {
  const std::string Reason(responses::toString(Why));
  Metrics.counterOf("tamarack_responses_broken_total{why=\"" + Reason + "\"}")
      .add();
  Log.write("response_broken", {{"id", std::string_view(Call.Id)},
                                {"endpoint", std::string_view(Source.Endpoint)},
                                {"why", std::string_view(Reason)}});
}

void router::onAttemptDropped(const relay::call &Call,
                              const relay::endpoint_choice &Target,
                              const edge::dropped_attempt &Attempt) {
  const bool IsAcknowledged = Attempt.UnacknowledgedBytes == 0;
  Metrics
      .counterOf(
          std::string("tamarack_attempts_dropped_total{acknowledged=\"") +
          (IsAcknowledged ? "1" : "0") + "\"}")
      .add();
  Log.write(
      "attempt_dropped",
      {{"id", std::string_view(Call.Id)},
       {"endpoint", std::string_view(Target.Endpoint)},
       {"connection", Attempt.IsKeptConnection ? "kept" : "new"},
       {"connection_age_ms", Attempt.ConnectionAgeMs},
       {"silent_ms", Attempt.SilentMs},
       {"unacknowledged_bytes", std::int64_t(Attempt.UnacknowledgedBytes)},
       {"error", std::string_view(Attempt.Error)}});
}

void router::onRequestWhileDraining(const edge::drain_arrival &Request) {
  const bool IsNewConnection = Request.EarlierRequests == 0;
  Metrics
      .counterOf(
          std::string("tamarack_requests_while_stopping_total") +
          (IsNewConnection ? "{connection=\"new\"}" : "{connection=\"kept\"}"))
      .add();
  Log.write("request_while_stopping",
            {{"id", Request.Id},
             {"stop_age_ms", Clock.monotonic() - StopRequestedAt},
             {"connection", IsNewConnection ? "new" : "kept"},
             {"connection_age_ms", Request.ConnectionAgeMs},
             {"earlier_requests", std::int64_t(Request.EarlierRequests)},
             {"until_cut_ms", StopTimes.CutAt - Clock.monotonic()}});
}

edge::response_message router::readinessResponse() {
  return edge::response_message(isReady()
                                    ? edge::http::status::ok
                                    : edge::http::status::service_unavailable,
                                11);
}

// What callers hold, and what was refused to them for it.
void router::setCrowdMetrics() {
  using memory::holder_kind;
  const std::pair<const char *, holder_kind> Kinds[] = {
      {"connection", holder_kind::Connection},
      {"request", holder_kind::Request},
      {"call", holder_kind::Call},
      {"response", holder_kind::Response},
      {"other", holder_kind::Other}};
  for (const auto &[Name, Kind] : Kinds)
    Metrics
        .gaugeOf("tamarack_held_bytes_by_kind{kind=\"" + std::string(Name) +
                 "\"}")
        .set(Memory.usedBy(Kind));
  const edge::frontend_counts &Counts = Frontend.counts();
  const std::pair<const char *, std::uint64_t> Reasons[] = {
      {"full", Counts.FullRequests},
      {"slow", Counts.SlowRequests},
      {"idle_connection", Counts.ClosedIdle},
      {"new_connection", Counts.ClosedNew}};
  for (const auto &[Name, Count] : Reasons)
    Metrics
        .counterOf("tamarack_callers_given_up_total{reason=\"" +
                   std::string(Name) + "\"}")
        .set(Count);
}

edge::response_message router::metricsResponse() {
  Metrics.gaugeOf("tamarack_open_connections").set(Frontend.sessionCount());
  Metrics.gaugeOf("tamarack_idle_endpoint_connections")
      .set(ConnectionPool.idleCount());
  Metrics.counterOf("tamarack_endpoint_connections_total")
      .set(ConnectionPool.openedCount());
  Metrics.gaugeOf("tamarack_held_bytes").set(Memory.used());
  Metrics.gaugeOf("tamarack_held_bytes_limit").set(Memory.limit());
  Metrics.counterOf("tamarack_memory_refusals_total").set(Memory.refusals());
  setCrowdMetrics();
  setTopicAge("configuration", ConfigurationFollower);
  setTopicAge("endpoints", EndpointFollower);
  setTopicAge("grants", GrantFollower);
  Metrics.gaugeOf("tamarack_pool_reservations")
      .set(PoolServer.openReservations());
  Metrics.gaugeOf("tamarack_pool_unsettled").set(Budget.unsettledCount());
  Metrics.gaugeOf("tamarack_streams_kept").set(StreamOrigins.streamCount());
  Metrics.counterOf("tamarack_stream_lookups_total")
      .set(StreamOrigins.readCount());
  Metrics.counterOf("tamarack_store_calls_total")
      .set(DirectStore.callCount() + PeerCallStore.callCount());
  Metrics.counterOf("tamarack_store_calls_through_peers_total")
      .set(Store.peerCallCount());
  edge::response_message Response(edge::http::status::ok, 11);
  Response.set(edge::http::field::content_type, "text/plain; version=0.0.4");
  Response.body() = Metrics.prometheusText();
  return Response;
}

} // namespace tamarack::daemon
