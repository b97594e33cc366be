// Kept connections to endpoints.
#include "endpoint_attempt.hpp"

namespace tamarack::edge {

endpoint_connection::endpoint_connection(net::io_context &Context,
                                         connection_pool &Pool,
                                         std::string Address)
    : Socket(Context), Pool(Pool), Address(std::move(Address)) {}

void endpoint_connection::watch() {
  const std::weak_ptr<endpoint_connection> Weak = weak_from_this();
  Socket.async_wait(
      tcp::socket::wait_read, [Weak, Use = Uses](const error_code &) {
        const std::shared_ptr<endpoint_connection> Self = Weak.lock();
        if (!Self || !Self->Idle || Self->Uses != Use)
          return;
        Self->close();
        Self->Pool.removeIdle(Self.get());
      });
}

void endpoint_connection::close() {
  error_code Ignored; // Nothing is owed on a connection that is given up.
  Socket.close(Ignored);
}

connection_pool::connection_pool(net::io_context &Context, const clock &Clock,
                                 connection_pool_settings Settings)
    : Context(Context), Clock(Clock), Settings(Settings) {}

connection_pool::~connection_pool() = default;

std::shared_ptr<endpoint_connection>
connection_pool::acquireIdle(const std::string &Address, bool OnlyRecent) {
  const auto Found = Idle.find(Address);
  if (Found == Idle.end())
    return nullptr;
  std::vector<std::shared_ptr<endpoint_connection>> &Kept = Found->second;
  const time_ms Now = Clock.monotonic();
  while (!Kept.empty()) {
    std::shared_ptr<endpoint_connection> Connection = Kept.back();
    if (Connection->KeepUntil <= Now) {
      Connection->Idle = false;
      Connection->close();
      Kept.pop_back();
      continue;
    }
    if (OnlyRecent && Now - Connection->LastUsed > Settings.RecentUseMs)
      return nullptr; // The last one given back is the most recent one.
    Kept.pop_back();
    Connection->Idle = false;
    return Connection;
  }
  return nullptr;
}

std::shared_ptr<endpoint_connection>
connection_pool::createConnection(const std::string &Address) {
  ++Opened;
  return std::make_shared<endpoint_connection>(Context, *this, Address);
}

void connection_pool::release(std::shared_ptr<endpoint_connection> Connection,
                              time_ms KeepUntil) {
  std::vector<std::shared_ptr<endpoint_connection>> &Kept =
      Idle[Connection->Address];
  if (Kept.size() >= Settings.MaxIdlePerEndpoint)
    return Connection->close();
  Connection->LastUsed = Clock.monotonic();
  Connection->KeepUntil = KeepUntil;
  Connection->Idle = true;
  Connection->watch();
  Kept.push_back(std::move(Connection));
}

void connection_pool::closeExpired() {
  const time_ms Now = Clock.monotonic();
  for (auto &[Address, Kept] : Idle)
    std::erase_if(Kept, [Now](const auto &Connection) {
      if (Connection->KeepUntil > Now)
        return false;
      Connection->Idle = false;
      Connection->close();
      return true;
    });
  std::erase_if(Idle, [](const auto &Item) { return Item.second.empty(); });
}

void connection_pool::removeIdle(const endpoint_connection *Connection) {
  const auto Found = Idle.find(Connection->Address);
  if (Found == Idle.end())
    return;
  std::erase_if(Found->second, [Connection](const auto &Item) {
    return Item.get() == Connection;
  });
}

std::size_t connection_pool::idleCount() const {
  std::size_t Count = 0;
  for (const auto &[Address, Kept] : Idle)
    Count += Kept.size();
  return Count;
}

} // namespace tamarack::edge
