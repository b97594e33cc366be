// Requests to one server, one at a time over one persistent connection.
#include "sockets.hpp"

#include <poll.h>

namespace tamarack::edge {

std::string_view toString(channel_stage Stage) {
  switch (Stage) {
  case channel_stage::Queued:
    return "queued";
  case channel_stage::Connecting:
    return "connecting";
  case channel_stage::Sent:
    return "sent";
  case channel_stage::Receiving:
    return "receiving";
  }
  return "";
}

namespace {

// A page of the store has up to 1 MB, and more in JSON or as a message.
constexpr std::uint64_t MaxBodyBytes = 4u << 20;
constexpr std::uint32_t MaxHeadBytes = 8'192;
constexpr std::size_t ReadBytes = 8 * 1024; // Per read operation.
// A timer that runs out later than this shows that the process stood still.
constexpr int MaxTimerDelayMs = 50;
// Time to read what has arrived while the process stood still.
constexpr int CatchUpMs = 100;
// A timeout is extended by this much at a time while responses are held up.
constexpr int PatienceStepMs = 250;

int millisecondsBetween(std::chrono::steady_clock::time_point Begin,
                        std::chrono::steady_clock::time_point End) {
  return static_cast<int>(
      std::chrono::duration_cast<std::chrono::milliseconds>(End - Begin)
          .count());
}

} // namespace

struct http_channel::connection {
  explicit connection(net::io_context &Context)
      : Socket(Context), Buffer(MaxUnparsedBytes) {}

  void beginResponse() {
    responses::parser_settings Expected;
    Expected.NeedsStatedEnd = true;
    Expected.MaxHeadBytes = MaxHeadBytes;
    Expected.MaxBodyBytes = MaxBodyBytes;
    Parser.emplace(Expected);
    Body.clear();
  }

  // True if the server has sent bytes since the last response: they can't be
  // the response to a request that is yet to be sent.
  bool hasUnaskedBytes() const {
    error_code Error; // Without an answer of the system, nothing is known.
    return Socket.available(Error) > 0 && !Error;
  }

  // Parses what was received up to the end of the response or to a defect.
  responses::part parseReceived() {
    for (;;) {
      const net::const_buffer Received = Buffer.cdata();
      const responses::parsed Next = Parser->next(
          {static_cast<const char *>(Received.data()), Received.size()});
      Body.append(Next.Body);
      Buffer.consume(Next.Consumed);
      const bool IsOngoing = Next.Kind == responses::part::Head ||
                             Next.Kind == responses::part::Body;
      if (!IsOngoing)
        return Next.Kind;
    }
  }

  tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  std::optional<responses::response_parser> Parser;
  std::string Body; // Of the response.
  bool IsConnected = false;
};

http_channel::http_channel(net::io_context &Context, std::string Address)
    : Context(Context), Address(std::move(Address)), Timer(Context) {}

void http_channel::request(channel_request Request, response_handler Handler) {
  Request.Message.set(http::field::host, Address);
  Request.Message.prepare_payload();
  queued_request Queued;
  Queued.Message =
      std::make_shared<const request_message>(std::move(Request.Message));
  Queued.InactivityTimeoutMs = Request.InactivityTimeoutMs;
  Queued.Repeatable = Request.Repeatable;
  Queued.RetrySilenceMs = Request.RetrySilenceMs;
  Queued.MaxQueuedMs = Request.MaxQueuedMs;
  Queued.Patience = Request.Patience;
  Queued.Handler = std::move(Handler);
  Queued.QueuedAt = std::chrono::steady_clock::now();
  Queue.push_back(std::move(Queued));
  if (!HasActive)
    startNextRequest();
}

bool http_channel::isOverdue(const queued_request &Request) {
  return Request.MaxQueuedMs > 0 &&
         millisecondsBetween(Request.QueuedAt,
                             std::chrono::steady_clock::now()) >
             Request.MaxQueuedMs;
}

void http_channel::startNextRequest() {
  // The handler of an overdue request may queue and start another request.
  while (!HasActive && !Queue.empty() && isOverdue(Queue.front()))
    completeFront(std::nullopt, {});
  if (HasActive || Queue.empty())
    return;
  HasActive = true;
  Queue.front().StartedAt = std::chrono::steady_clock::now();
  startAttempt();
}

void http_channel::startAttempt() {
  ++AttemptNumber;
  queued_request &Active = Queue.front();
  ++Active.Attempts;
  HasCaughtUp = false;
  PatienceMs = 0;
  if (Connection && Connection->hasUnaskedBytes())
    close();
  // A reused connection may have died unnoticed, so a repeatable request gets a
  // shorter timeout and is sent once more.
  const bool IsRetryable = Connection && Active.Repeatable;
  startTimer(IsRetryable
                 ? std::min(Active.RetrySilenceMs, Active.InactivityTimeoutMs)
                 : Active.InactivityTimeoutMs);
  if (Connection)
    send();
  else
    connect();
}

void http_channel::startTimer(int TimeoutMs) {
  const std::shared_ptr<http_channel> Self = shared_from_this();
  Timer.expires_after(std::chrono::milliseconds(TimeoutMs));
  Timer.async_wait([Self, OwnAttempt = AttemptNumber](const error_code &Error) {
    if (!Error && Self->HasActive && Self->AttemptNumber == OwnAttempt)
      Self->onTimer();
  });
}

void http_channel::onTimer() {
  const int DelayMs =
      millisecondsBetween(Timer.expiry(), std::chrono::steady_clock::now());
  // Restarted while the handler of the previous wait was already due.
  if (DelayMs < 0)
    return;
  if (DelayMs > MaxTimerDelayMs && !HasCaughtUp) {
    HasCaughtUp = true;
    return startTimer(CatchUpMs);
  }
  const response_patience *Patience = Queue.front().Patience;
  const bool IsHeldUp = Patience != nullptr && Patience->isHeldUp();
  if (IsHeldUp && PatienceMs < channel_request::MaxPatienceMs) {
    PatienceMs += PatienceStepMs;
    return startTimer(PatienceStepMs);
  }
  onTimeout();
}

void http_channel::connect() {
  const std::shared_ptr<http_channel> Self = shared_from_this();
  tcp::endpoint Target;
  try {
    Target = parseAddress(Address);
  } catch (const std::invalid_argument &) {
    net::post(Context, [Self, OwnAttempt = AttemptNumber] {
      if (Self->HasActive && Self->AttemptNumber == OwnAttempt)
        Self->finishRequest(std::nullopt);
    });
    return;
  }
  const std::shared_ptr<connection> NewConnection =
      std::make_shared<connection>(Context);
  Connection = NewConnection;
  NewConnection->Socket.async_connect(
      Target, [Self, NewConnection,
               OwnAttempt = AttemptNumber](const error_code &Error) {
        if (!Self->HasActive || Self->AttemptNumber != OwnAttempt)
          return;
        if (Error)
          return Self->finishRequest(std::nullopt);
        NewConnection->IsConnected = true;
        applySocketOptions(NewConnection->Socket, {});
        Self->send();
      });
}

void http_channel::send() {
  const std::shared_ptr<http_channel> Self = shared_from_this();
  const std::shared_ptr<connection> UsedConnection = Connection;
  const std::shared_ptr<const request_message> Message = Queue.front().Message;
  UsedConnection->beginResponse();
  http::async_write(UsedConnection->Socket, *Message,
                    [Self, UsedConnection, Message, OwnAttempt = AttemptNumber](
                        const error_code &Error, std::size_t) {
                      if (!Self->HasActive || Self->AttemptNumber != OwnAttempt)
                        return;
                      if (Error)
                        return Self->finishRequest(std::nullopt);
                      Self->readSome();
                    });
}

// The timeout restarts with every part that arrives, so a long response over a
// slow connection is received completely.
void http_channel::readSome() {
  const std::shared_ptr<http_channel> Self = shared_from_this();
  const std::shared_ptr<connection> UsedConnection = Connection;
  boost::beast::flat_buffer &Buffer = UsedConnection->Buffer;
  // Never 0: the parser fails before the buffer is full.
  const std::size_t Size =
      std::min(ReadBytes, Buffer.max_size() - Buffer.size());
  UsedConnection->Socket.async_read_some(
      Buffer.prepare(Size), [Self, UsedConnection, OwnAttempt = AttemptNumber](
                                const error_code &Error, std::size_t Count) {
        if (!Self->HasActive || Self->AttemptNumber != OwnAttempt)
          return;
        if (Error)
          return Self->finishRequest(std::nullopt);
        UsedConnection->Buffer.commit(Count);
        Self->onReceived();
      });
}

void http_channel::onReceived() {
  switch (Connection->parseReceived()) {
  case responses::part::End:
    return finishRequest(response_message(Connection->Parser->head(),
                                          std::move(Connection->Body)));
  case responses::part::Defect:
    return finishRequest(std::nullopt);
  default:
    HasCaughtUp = false;
    PatienceMs = 0;
    startTimer(Queue.front().InactivityTimeoutMs);
    readSome();
  }
}

void http_channel::onTimeout() {
  const bool IsSilent =
      Connection && Connection->IsConnected && !Connection->Parser->hasBegun();
  queued_request &Active = Queue.front();
  if (!IsSilent || !Active.Repeatable)
    return finishRequest(std::nullopt);
  Active.Repeatable = false; // The request is sent at most twice.
  close();
  startAttempt();
}

void http_channel::close() {
  if (!Connection)
    return;
  error_code Ignored;
  Connection->Socket.close(Ignored);
  Connection.reset();
}

void http_channel::finishRequest(std::optional<response_message> Response) {
  Timer.cancel();
  HasActive = false;
  ++AttemptNumber;
  const bool CanReuse = Response && Connection->Parser->keepsConnection() &&
                        Connection->Buffer.size() == 0;
  const channel_rest Rest = Response ? channel_rest() : rest();
  if (!CanReuse)
    close();
  const std::shared_ptr<http_channel> Self = shared_from_this();
  completeFront(std::move(Response), Rest);
  if (!HasActive)
    startNextRequest();
}

channel_rest http_channel::rest() const {
  channel_rest Rest;
  if (!Connection)
    return Rest;
  const bool IsOpen = Connection->Socket.is_open();
  Rest.Stage = !Connection->IsConnected         ? channel_stage::Connecting
               : Connection->Parser->hasBegun() ? channel_stage::Receiving
                                                : channel_stage::Sent;
  const short Event = Connection->IsConnected ? POLLIN : POLLOUT;
  Rest.WasReady = IsOpen && isReady(Connection->Socket, Event);
  Rest.UnacknowledgedBytes =
      IsOpen ? unacknowledgedBytes(Connection->Socket) : -1;
  return Rest;
}

void http_channel::completeFront(std::optional<response_message> Response,
                                 const channel_rest &Rest) {
  const queued_request Finished = std::move(Queue.front());
  Queue.pop_front();
  const steady_time Now = std::chrono::steady_clock::now();
  const steady_time StartedAt =
      Finished.Attempts > 0 ? Finished.StartedAt : Now;
  channel_timing Timing{millisecondsBetween(Finished.QueuedAt, StartedAt),
                        millisecondsBetween(StartedAt, Now), Finished.Attempts,
                        std::nullopt};
  if (!Response)
    Timing.Rest = Rest;
  Finished.Handler(std::move(Response), Timing);
}

} // namespace tamarack::edge
