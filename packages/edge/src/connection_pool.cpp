// Idle connections to endpoints.
#include "endpoint_attempt.hpp"

#include <algorithm>

namespace tamarack::edge {

namespace {

// Requests on a connection until no copy of a response is expected any more.
constexpr std::size_t MaxRecentIds = 16;

std::size_t hashOf(std::string_view Id) {
  return std::hash<std::string_view>()(Id);
}

} // namespace

endpoint_connection::endpoint_connection(net::io_context &Context,
                                         connection_pool &Pool,
                                         std::string Address)
    : Socket(Context), Pool(Pool), Address(std::move(Address)) {}

void endpoint_connection::watchWhileIdle() {
  const std::weak_ptr<endpoint_connection> Weak = weak_from_this();
  Socket.async_wait(
      tcp::socket::wait_read,
      [Weak, OldRequestCount = RequestCount](const error_code &) {
        const std::shared_ptr<endpoint_connection> Self = Weak.lock();
        if (!Self || !Self->IsIdle || Self->RequestCount != OldRequestCount)
          return;
        Self->close();
        Self->Pool.removeIdle(Self.get());
      });
}

bool endpoint_connection::hasCarried(std::string_view Id) const {
  return std::find(RecentIds.begin(), RecentIds.end(), hashOf(Id)) !=
         RecentIds.end();
}

void endpoint_connection::addRequest(std::string_view Id) {
  ++RequestCount;
  IsAnswered = false;
  RecentIds.push_back(hashOf(Id));
  if (RecentIds.size() > MaxRecentIds)
    RecentIds.erase(RecentIds.begin());
}

void endpoint_connection::onConnected(time_ms Now) {
  ConnectedAt = Now;
  applySocketOptions(Socket, {Pool.settings().TcpUserTimeoutMs, false});
  setResetOnClose(Socket, true);
}

void endpoint_connection::startProbing() {
  setKeepAlive(Socket, true);
  IsProbing = true;
}

void endpoint_connection::close() {
  if (IsAnswered)
    setResetOnClose(Socket, false);
  error_code Ignored; // The connection is not used any more.
  Socket.close(Ignored);
}

connection_pool::connection_pool(net::io_context &Context, const clock &Clock,
                                 connection_pool_settings Settings)
    : Context(Context), Clock(Clock), Settings(Settings) {}

connection_pool::~connection_pool() = default;

std::shared_ptr<endpoint_connection>
connection_pool::acquireIdle(const std::string &Address, bool OnlyRecent) {
  const auto Found = IdleConnections.find(Address);
  if (Found == IdleConnections.end())
    return nullptr;
  std::vector<std::shared_ptr<endpoint_connection>> &Connections =
      Found->second;
  const time_ms Now = Clock.monotonic();
  while (!Connections.empty()) {
    std::shared_ptr<endpoint_connection> Connection = Connections.back();
    if (Connection->ExpiresAt <= Now) {
      Connection->IsIdle = false;
      Connection->close();
      Connections.pop_back();
      continue;
    }
    if (OnlyRecent && Now - Connection->LastUsed > Settings.RecentUseMs)
      return nullptr; // All other connections were used earlier.
    Connections.pop_back();
    Connection->IsIdle = false;
    return Connection;
  }
  return nullptr;
}

std::shared_ptr<endpoint_connection>
connection_pool::createConnection(const std::string &Address) {
  ++CreatedConnections;
  return std::make_shared<endpoint_connection>(Context, *this, Address);
}

void connection_pool::onConnected(time_ms ElapsedMs) {
  if (ElapsedMs <= Settings.QuickConnectMs)
    LastQuickConnectAt = Clock.sinceBoot();
}

void connection_pool::release(std::shared_ptr<endpoint_connection> Connection,
                              time_ms ExpiresAt) {
  std::vector<std::shared_ptr<endpoint_connection>> &Connections =
      IdleConnections[Connection->Address];
  if (Connections.size() >= Settings.MaxIdlePerEndpoint)
    return Connection->close();
  Connection->Buffer.shrink_to_fit();
  Connection->LastUsed = Clock.monotonic();
  Connection->ExpiresAt = ExpiresAt;
  Connection->IsIdle = true;
  Connection->watchWhileIdle();
  Connections.push_back(std::move(Connection));
}

void connection_pool::closeExpired() {
  const time_ms Now = Clock.monotonic();
  for (auto &[Address, Connections] : IdleConnections)
    std::erase_if(Connections, [Now](const auto &Connection) {
      if (Connection->ExpiresAt > Now)
        return false;
      Connection->IsIdle = false;
      Connection->close();
      return true;
    });
  std::erase_if(IdleConnections,
                [](const auto &Item) { return Item.second.empty(); });
}

void connection_pool::removeIdle(const endpoint_connection *Connection) {
  const auto Found = IdleConnections.find(Connection->Address);
  if (Found == IdleConnections.end())
    return;
  std::erase_if(Found->second, [Connection](const auto &Item) {
    return Item.get() == Connection;
  });
}

std::size_t connection_pool::idleCount() const {
  std::size_t Count = 0;
  for (const auto &[Address, Connections] : IdleConnections)
    Count += Connections.size();
  return Count;
}

} // namespace tamarack::edge
