// Accepts callers' connections.
#include "frontend_session.hpp"

namespace tamarack::edge {

namespace {

// For a head and a small body; see frontend_session::widenWindow.
constexpr std::size_t NewConnectionReceiveBytes = 16 * 1024;
constexpr int AcceptRetryMs = 50; // Pause after a failed accept.
// Range of Retry-After for callers that this instance has no memory for.
constexpr int MinMemoryRetryAfterMs = 100;
constexpr int MemoryRetrySpreadMs = 500;
// After a search for slow requests that found none.
constexpr int SlowSearchPauseMs = 50;
// A connection that has been idle for less is not closed for a new one.
constexpr int MinIdleMs = 1'000;

} // namespace

frontend_server::frontend_server(
    net::io_context &Context, const clock &Clock, exchange_codec &Codec,
    relay::placement &Placement, relay::token_budget &Allowance,
    relay::stream_origins &Origins, frontend_observer &Observer,
    connection_pool &Pool, memory::memory_budget &Memory, random_source &Random,
    frontend_settings Settings)
    : Context(Context), Clock(Clock), Codec(Codec), Placement(Placement),
      Allowance(Allowance), Origins(Origins), Observer(Observer), Pool(Pool),
      Memory(Memory), Random(Random),
      Settings(Settings), Callers{tcp::acceptor(Context),
                                  net::steady_timer(Context), false},
      Instances{tcp::acceptor(Context), net::steady_timer(Context), true} {}

frontend_server::~frontend_server() = default;

void frontend_server::listen(const tcp::endpoint &Address) {
  openAcceptor(Callers.Acceptor, Address);
  // Connections begin with it. Those that wait in the kernel count too.
  setReceiveBuffer(Callers.Acceptor.native_handle(), NewConnectionReceiveBytes);
  accept(Callers);
}

void frontend_server::listenForInstances(const tcp::endpoint &Address) {
  openAcceptor(Instances.Acceptor, Address);
  setReceiveBuffer(Instances.Acceptor.native_handle(),
                   NewConnectionReceiveBytes);
  accept(Instances);
}

void frontend_server::accept(listener &From) {
  From.Acceptor.async_accept([this, &From](const error_code &Error,
                                           tcp::socket Socket) {
    // The acceptor may have been closed since the accept succeeded.
    if (!Error)
      startSession(std::move(Socket), From.IsForInstances);
    if (Error == net::error::operation_aborted || !From.Acceptor.is_open())
      return;
    if (Error) {
      closeIdle();
      // For example, the process has no free file descriptor until another
      // connection closes.
      From.RetryTimer.expires_after(std::chrono::milliseconds(AcceptRetryMs));
      From.RetryTimer.async_wait([this, &From](const error_code &Waited) {
        if (!Waited)
          accept(From);
      });
      return;
    }
    accept(From);
  });
}

void frontend_server::startSession(tcp::socket Socket, bool IsFromInstance) {
  if (Sessions.size() >= Settings.MaxSessions && !closeIdle()) {
    giveUpSlowest(nullptr); // For the connections that follow.
    ++Counts.ClosedNew;
    return;
  }
  const std::shared_ptr<frontend_session> Session =
      std::make_shared<frontend_session>(*this, std::move(Socket),
                                         IsFromInstance);
  Sessions.insert(Session);
  Session->start();
}

// Closing the listener resets the connections that wait in the kernel, although
// their callers may have sent requests.
void frontend_server::acceptWaiting(listener &From) {
  error_code Error;
  From.Acceptor.non_blocking(true, Error);
  while (!Error) {
    tcp::socket Socket = From.Acceptor.accept(Error);
    if (!Error)
      startSession(std::move(Socket), From.IsForInstances);
  }
}

void frontend_server::beginDrain() { IsDraining = true; }

void frontend_server::stopAccepting() {
  for (listener *From : {&Callers, &Instances}) {
    acceptWaiting(*From);
    error_code Ignored;
    From->Acceptor.close(Ignored);
  }
  forEachSession([](frontend_session &Session) { Session.closeIfIdle(); });
}

// Goes through a copy, because sessions remove themselves from Sessions when
// they close.
void frontend_server::forEachSession(
    const std::function<void(frontend_session &)> &Action) {
  const std::set<std::shared_ptr<frontend_session>> SessionsCopy = Sessions;
  for (const std::shared_ptr<frontend_session> &Session : SessionsCopy)
    Action(*Session);
}

void frontend_server::giveUpCalls() {
  forEachSession([](frontend_session &Session) { Session.giveUp(); });
}

void frontend_server::onGrantsChanged() {
  forEachSession([](frontend_session &Session) { Session.onGrantsChanged(); });
}

void frontend_server::onOriginsRead() {
  forEachSession([](frontend_session &Session) { Session.onOriginsRead(); });
}

void frontend_server::onListRead() {
  forEachSession([](frontend_session &Session) { Session.onListRead(); });
}

void frontend_server::onMemoryFreed() {
  forEachSession([](frontend_session &Session) { Session.onMemoryFreed(); });
}

bool frontend_server::giveUpSlowest(const frontend_session *Except) {
  const time_ms Now = Clock.monotonic();
  if (Now < NoSlowUntil)
    return false;
  std::shared_ptr<frontend_session> Found;
  for (const std::shared_ptr<frontend_session> &Session : Sessions) {
    if (Session.get() == Except || !Session->isSlow(Now))
      continue;
    if (!Found ||
        givesWayBefore(Session->unfinished(Now), Found->unfinished(Now)))
      Found = Session;
  }
  if (!Found) {
    NoSlowUntil = Now + SlowSearchPauseMs;
    return false;
  }
  ++Counts.SlowRequests;
  Found->giveUpRequest();
  return true;
}

bool frontend_server::closeIdle() {
  const time_ms Now = Clock.monotonic();
  time_ms Since = Now - MinIdleMs;
  std::shared_ptr<frontend_session> Found;
  for (const std::shared_ptr<frontend_session> &Session : Sessions) {
    const std::optional<time_ms> IdleSince = Session->idleSince();
    if (!IdleSince || *IdleSince > Since)
      continue;
    Since = *IdleSince;
    Found = Session;
  }
  if (!Found)
    return false;
  ++Counts.ClosedIdle;
  Found->close();
  return true;
}

int frontend_server::memoryRetryAfterMs() {
  return MinMemoryRetryAfterMs +
         static_cast<int>(Random.next() % MemoryRetrySpreadMs);
}

std::size_t frontend_server::busySessionCount() const {
  std::size_t Count = 0;
  for (const std::shared_ptr<frontend_session> &Session : Sessions)
    Count += Session->isBusy() ? 1 : 0;
  return Count;
}

} // namespace tamarack::edge
