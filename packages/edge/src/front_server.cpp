// Accepts callers' connections.
#include "front_session.hpp"

namespace tamarack::edge {

namespace {

constexpr int AcceptPauseMs = 50; // After accepting failed.

} // namespace

front_server::front_server(net::io_context &Context, const clock &Clock,
                           exchange_codec &Codec, relay::placement &Placement,
                           relay::token_budget &Allowance,
                           front_observer &Observer, endpoint_pool &Pool,
                           front_settings Settings)
    : Context(Context), Clock(Clock), Codec(Codec), Placement(Placement),
      Allowance(Allowance), Observer(Observer), Pool(Pool), Settings(Settings),
      Acceptor(Context), AcceptTimer(Context) {}

front_server::~front_server() = default;

void front_server::listen(const tcp::endpoint &Address) {
  openAcceptor(Acceptor, Address);
  accept();
}

void front_server::accept() {
  Acceptor.async_accept([this](const error_code &Error, tcp::socket Socket) {
    if (Error == net::error::operation_aborted || !Acceptor.is_open())
      return;
    if (Error) {
      // Out of descriptors, for example: others must end first.
      AcceptTimer.expires_after(std::chrono::milliseconds(AcceptPauseMs));
      AcceptTimer.async_wait([this](const error_code &Waited) {
        if (!Waited)
          accept();
      });
      return;
    }
    if (Sessions.size() < Settings.MostSessions) {
      const std::shared_ptr<front_session> Session =
          std::make_shared<front_session>(*this, std::move(Socket));
      Sessions.insert(Session);
      Session->start();
    }
    accept();
  });
}

void front_server::beginDrain() { Draining = true; }

void front_server::stopAccepting() {
  error_code Ignored;
  Acceptor.close(Ignored);
  const std::set<std::shared_ptr<front_session>> Copy = Sessions;
  for (const std::shared_ptr<front_session> &Session : Copy)
    Session->closeIfIdle();
}

void front_server::breakOffAll() {
  const std::set<std::shared_ptr<front_session>> Copy = Sessions;
  for (const std::shared_ptr<front_session> &Session : Copy)
    Session->endNow();
}

void front_server::onMoney() {
  const std::set<std::shared_ptr<front_session>> Copy = Sessions;
  for (const std::shared_ptr<front_session> &Session : Copy)
    Session->onMoney();
}

std::size_t front_server::busyCount() const {
  std::size_t Count = 0;
  for (const std::shared_ptr<front_session> &Session : Sessions)
    Count += Session->isBusy() ? 1 : 0;
  return Count;
}

} // namespace tamarack::edge
