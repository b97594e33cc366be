// State and helpers for one HTTP request of a caller.
#include "call_context.hpp"

#include <charconv>

namespace tamarack::daemon {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view LabelPrefix = "x-label-";
constexpr std::size_t ReadBufferBytes = 16 * 1024;
constexpr std::size_t MaxCompleteBodyBytes = 64 * 1024 * 1024;
constexpr int MaxDeadlineMs = 3'600'000;
constexpr double DefaultObjective = 0.95; // Share of requests.

std::string lowerCase(std::string Text) {
  for (char &Letter : Text)
    Letter =
        static_cast<char>(std::tolower(static_cast<unsigned char>(Letter)));
  return Text;
}

config::label_set requestLabels(const Poco::Net::HTTPServerRequest &Request) {
  config::label_set Labels;
  for (const auto &[Name, Value] : Request) {
    const std::string Lower = lowerCase(Name);
    if (Lower.starts_with(LabelPrefix))
      Labels[Lower.substr(LabelPrefix.size())] = Value;
  }
  return Labels;
}

} // namespace

//---------------------------------------------------------------------------
// locked_execution_registry
//---------------------------------------------------------------------------

locked_execution_registry::locked_execution_registry(
    std::size_t MaxResponseBytes)
    : Registry(MaxResponseBytes) {}

calls::begin_result
locked_execution_registry::begin(const ledger::request_key &Key,
                                 time_ms MintedAt, time_ms Now) {
  const std::lock_guard Guard(Lock);
  return Registry.begin(Key, MintedAt, Now);
}

void locked_execution_registry::cancelStart(const ledger::request_key &Key) {
  const std::lock_guard Guard(Lock);
  Registry.cancelStart(Key);
}

void locked_execution_registry::finish(const ledger::request_key &Key,
                                       calls::stored_response Response) {
  const std::lock_guard Guard(Lock);
  Registry.finish(Key, std::move(Response));
}

void locked_execution_registry::finishWithUnknownOutcome(
    const ledger::request_key &Key) {
  const std::lock_guard Guard(Lock);
  Registry.finishWithUnknownOutcome(Key);
}

//---------------------------------------------------------------------------
// call_context
//---------------------------------------------------------------------------

std::string bearerKeyDigest(const Poco::Net::HTTPServerRequest &Request) {
  const std::string Header = Request.get("Authorization", "");
  if (!Header.starts_with(BearerPrefix))
    return {};
  return config::digestOfKey(
      std::string_view(Header).substr(BearerPrefix.size()));
}

std::string readCompleteBody(response_source &Source) {
  std::string Body;
  std::vector<char> Buffer(ReadBufferBytes);
  while (const std::size_t Count = Source.read(Buffer)) {
    Body.append(Buffer.data(), Count);
    if (Body.size() > MaxCompleteBodyBytes)
      throw endpoint_disconnected("the response body is larger than 64 MiB");
  }
  return Body;
}

void sendError(Poco::Net::HTTPServerResponse &Response,
               const calls::call_error &Error) {
  if (Response.sent())
    return;
  const calls::error_definition &Definition = calls::definitionOf(Error.kind());
  const std::string Body = calls::errorBody(Error);
  Response.setStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Definition.Status));
  Response.setContentType("application/json");
  Response.set("X-Tamarack-Ran",
               std::string(calls::toString(Definition.RanAtEndpoint)));
  if (Error.retryAfterMs() > 0) {
    const int Seconds = (Error.retryAfterMs() + 999) / 1000;
    Response.set("Retry-After", std::to_string(Seconds));
  }
  Response.sendBuffer(Body.data(), Body.size());
}

call_context::call_context(call_services &Services,
                           Poco::Net::HTTPServerRequest &Request,
                           Poco::Net::HTTPServerResponse &Response)
    : Services(Services), Request(Request), Response(Response),
      Configuration(Services.Config.activeConfiguration()),
      StartedAt(Services.Clock.monotonic()) {
  const std::string KeyDigest = bearerKeyDigest(Request);
  if (!KeyDigest.empty())
    Account = Configuration->findAccount(KeyDigest);
  if (Account == nullptr)
    throw calls::call_error(calls::error_kind::Unauthorized);
}

std::string call_context::readBody() {
  const std::int64_t ContentLength = Request.getContentLength64();
  if (ContentLength > Services.Limits.MaxBodyBytes)
    throw calls::call_error(calls::error_kind::BodyTooLarge);
  std::string Body;
  std::vector<char> Buffer(ReadBufferBytes);
  std::istream &Input = Request.stream();
  while (Input) {
    Input.read(Buffer.data(), static_cast<std::streamsize>(Buffer.size()));
    Body.append(Buffer.data(), static_cast<std::size_t>(Input.gcount()));
    if (static_cast<std::int64_t>(Body.size()) > Services.Limits.MaxBodyBytes)
      throw calls::call_error(calls::error_kind::BodyTooLarge);
  }
  if (ContentLength >= 0 &&
      static_cast<std::int64_t>(Body.size()) < ContentLength)
    throw calls::call_error(calls::error_kind::InvalidRequest,
                            "The body is shorter than its Content-Length.");
  return Body;
}

void call_context::assignRequestKey(bool Repeatable) {
  std::string Text = Request.get("Idempotency-Key", "");
  if (Text.size() > calls::MaxKeyLength)
    throw calls::call_error(calls::error_kind::InvalidRequest,
                            "Idempotency-Key is too long.");
  const time_ms Now = Services.Clock.now();
  if (Text.empty())
    Text = Repeatable ? calls::mintKey(Now, Services.Random.next())
                      : calls::mintTicket(Services.SelfExecutor, Now,
                                          Services.Random.next());
  IdempotencyKey = calls::parseKey(Text);
  if (IdempotencyKey.Form == calls::key_form::Opaque)
    IdempotencyKey.MintedAt = Now;
  RequestKey = ledger::makeRequestKey(Account->Name, IdempotencyKey.Text);
  Response.set("X-Request-Id", IdempotencyKey.Text);
}

std::string call_context::findPool(std::string_view Subject) const {
  const config::rule *Rule =
      Configuration->findRule(Subject, Account->Labels, requestLabels(Request));
  if (Rule == nullptr)
    throw calls::call_error(calls::error_kind::NoRule);
  return Rule->Pool;
}

bool call_context::isMarkedNotRepeatable() const {
  return lowerCase(Request.get("X-Repeatable", "true")) == "false";
}

bool call_context::isForwarded() const {
  const std::string ExpectedIncarnation =
      Request.get("X-Tamarack-Forwarded", "");
  if (ExpectedIncarnation.empty())
    return false;
  if (ExpectedIncarnation != std::to_string(Services.SelfExecutor.Incarnation))
    throw calls::call_error(calls::error_kind::OutcomeUnknown);
  return true;
}

time_ms call_context::latestStart() const {
  const std::string Text = Request.get("X-Deadline-Ms", "");
  if (Text.empty())
    return StartedAt + Services.Limits.DefaultQueueWaitMs;
  int Ms = 0;
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Parsed = std::from_chars(Text.data(), End, Ms);
  const bool IsValid = Parsed.ec == std::errc() && Parsed.ptr == End &&
                       Ms > 0 && Ms <= MaxDeadlineMs;
  if (!IsValid)
    throw calls::call_error(
        calls::error_kind::InvalidRequest,
        "X-Deadline-Ms must be a number of ms from 1 to 3600000.");
  return StartedAt + Ms;
}

void call_context::sendCompleteResponse(int Status,
                                        const std::string &ContentType,
                                        std::string_view Body) {
  Response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
  Response.setContentType(ContentType);
  Response.sendBuffer(Body.data(), Body.size());
}

void call_context::recordOutcome(std::string_view Subject,
                                 bool WithinObjective) {
  const config::latency_target *Target =
      Configuration->findLatencyTarget(Subject);
  const double Objective =
      Target == nullptr ? DefaultObjective : Target->Objective;
  const std::lock_guard Guard(Services.BurnTrackerLock);
  Services.BurnTracker.addRequest(Subject, Account->Name, Objective,
                                  WithinObjective, Services.Clock.now());
}

} // namespace tamarack::daemon
