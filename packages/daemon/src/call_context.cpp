// What all kinds of calls share.
#include "call_context.hpp"

#include <charconv>

namespace tamarack::daemon {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view LabelPrefix = "x-label-";
constexpr std::size_t ReadBytes = 16 * 1024;
constexpr std::size_t LargestAnswer = 64 * 1024 * 1024; // Bytes.
constexpr int LargestDeadlineMs = 3'600'000;

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

locked_execution_registry::locked_execution_registry(std::size_t LargestBytes)
    : Book(LargestBytes) {}

calls::begin_result
locked_execution_registry::begin(const money::request_key &Key, time_ms Minted,
                                 time_ms Now) {
  const std::lock_guard Guard(Lock);
  return Book.begin(Key, Minted, Now);
}

void locked_execution_registry::undo(const money::request_key &Key) {
  const std::lock_guard Guard(Lock);
  Book.cancelStart(Key);
}

void locked_execution_registry::finish(const money::request_key &Key,
                                       calls::stored_response Answer) {
  const std::lock_guard Guard(Lock);
  Book.finish(Key, std::move(Answer));
}

void locked_execution_registry::finishUnknown(const money::request_key &Key) {
  const std::lock_guard Guard(Lock);
  Book.finishWithUnknownOutcome(Key);
}

//---------------------------------------------------------------------------
// call_context
//---------------------------------------------------------------------------

std::string bearerDigest(const Poco::Net::HTTPServerRequest &Request) {
  const std::string Header = Request.get("Authorization", "");
  if (!Header.starts_with(BearerPrefix))
    return {};
  return config::digestOfKey(
      std::string_view(Header).substr(BearerPrefix.size()));
}

std::string readWhole(answer_source &Source) {
  std::string Body;
  std::vector<char> Buffer(ReadBytes);
  while (const std::size_t Count = Source.read(Buffer)) {
    Body.append(Buffer.data(), Count);
    if (Body.size() > LargestAnswer)
      throw endpoint_broken("the answer is too large");
  }
  return Body;
}

void sendError(Poco::Net::HTTPServerResponse &Response,
               const calls::call_error &Error) {
  if (Response.sent())
    return;
  const calls::error_definition &Row = calls::definitionOf(Error.kind());
  const std::string Body = calls::errorBody(Error);
  Response.setStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Row.Status));
  Response.setContentType("application/json");
  Response.set("X-Tamarack-Ran",
               std::string(calls::toString(Row.RanAtEndpoint)));
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
      Started(Services.Clock.monotonic()) {
  const std::string Digest = bearerDigest(Request);
  if (!Digest.empty())
    Account = Configuration->findAccount(Digest);
  if (Account == nullptr)
    throw calls::call_error(calls::error_kind::Unauthorized);
}

std::string call_context::readBody() {
  const std::int64_t Announced = Request.getContentLength64();
  if (Announced > Services.Limits.LargestBody)
    throw calls::call_error(calls::error_kind::BodyTooLarge);
  std::string Body;
  std::vector<char> Buffer(ReadBytes);
  std::istream &In = Request.stream();
  while (In) {
    In.read(Buffer.data(), static_cast<std::streamsize>(Buffer.size()));
    Body.append(Buffer.data(), static_cast<std::size_t>(In.gcount()));
    if (static_cast<std::int64_t>(Body.size()) > Services.Limits.LargestBody)
      throw calls::call_error(calls::error_kind::BodyTooLarge);
  }
  if (Announced >= 0 && static_cast<std::int64_t>(Body.size()) < Announced)
    throw calls::call_error(calls::error_kind::InvalidRequest,
                            "The body is shorter than announced.");
  return Body;
}

void call_context::setKey(bool Repeatable) {
  std::string Text = Request.get("Idempotency-Key", "");
  if (Text.size() > calls::MaxKeyLength)
    throw calls::call_error(calls::error_kind::InvalidRequest,
                            "Idempotency-Key is too long.");
  const time_ms Now = Services.Clock.now();
  if (Text.empty())
    Text = Repeatable
               ? calls::mintKey(Now, Services.Random.next())
               : calls::mintTicket(Services.Self, Now, Services.Random.next());
  Key = calls::parseKey(Text);
  if (Key.Form == calls::key_form::Opaque)
    Key.MintedAt = Now;
  Hash = money::makeRequestKey(Account->Name, Key.Text);
  Response.set("X-Request-Id", Key.Text);
}

std::string call_context::poolFor(std::string_view Subject) const {
  const config::rule *Rule =
      Configuration->findRule(Subject, Account->Labels, requestLabels(Request));
  if (Rule == nullptr)
    throw calls::call_error(calls::error_kind::NoRule);
  return Rule->Pool;
}

bool call_context::saysNotRepeatable() const {
  return lowerCase(Request.get("X-Repeatable", "true")) == "false";
}

bool call_context::isForwarded() const {
  const std::string Runner = Request.get("X-Tamarack-Forwarded", "");
  if (Runner.empty())
    return false;
  if (Runner != std::to_string(Services.Self.Incarnation))
    throw calls::call_error(calls::error_kind::OutcomeUnknown);
  return true;
}

time_ms call_context::deadline() const {
  const std::string Text = Request.get("X-Deadline-Ms", "");
  if (Text.empty())
    return Started + Services.Limits.QueueMs;
  int Ms = 0;
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Read = std::from_chars(Text.data(), End, Ms);
  const bool Good = Read.ec == std::errc() && Read.ptr == End && Ms > 0 &&
                    Ms <= LargestDeadlineMs;
  if (!Good)
    throw calls::call_error(calls::error_kind::InvalidRequest,
                            "X-Deadline-Ms must be a number of ms.");
  return Started + Ms;
}

void call_context::sendWhole(int Status, const std::string &ContentType,
                             std::string_view Body) {
  Response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
  Response.setContentType(ContentType);
  Response.sendBuffer(Body.data(), Body.size());
}

void call_context::noteOutcome(std::string_view Subject, bool Good) {
  const config::target *Target = Configuration->findTarget(Subject);
  const double Objective = Target == nullptr ? 0.95 : Target->Objective;
  const std::lock_guard Guard(Services.BurnLock);
  Services.Burn.addRequest(Subject, Account->Name, Objective, Good,
                           Services.Clock.now());
}

} // namespace tamarack::daemon
