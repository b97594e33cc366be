// Socket options, acceptors and the parser of addresses.
#include "sockets.hpp"

#include <charconv>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace tamarack::edge {

namespace {

constexpr int KeepAliveIdleS = 1;
constexpr int KeepAliveIntervalS = 1;
constexpr int KeepAliveProbes = 2;
constexpr int ListenBacklog = 1'024;

void setOption(tcp::socket &Socket, int Level, int Name, int Value) {
  // Errors are ignored: without the option the socket still works but detects
  // a dead peer later.
  (void)::setsockopt(Socket.native_handle(), Level, Name, &Value, sizeof Value);
}

} // namespace

void applySocketOptions(tcp::socket &Socket, const socket_options &Options) {
  setOption(Socket, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, Options.TcpUserTimeoutMs);
  setKeepAlive(Socket, Options.HasKeepAlive);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleS);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalS);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

void setReceiveBuffer(int Handle, std::size_t Bytes) {
  const int Value = static_cast<int>(Bytes);
  // Errors are ignored: the limit of the system is in force then.
  (void)::setsockopt(Handle, SOL_SOCKET, SO_RCVBUF, &Value, sizeof Value);
}

void setKeepAlive(tcp::socket &Socket, bool To) {
  setOption(Socket, SOL_SOCKET, SO_KEEPALIVE, To ? 1 : 0);
}

void setResetOnClose(tcp::socket &Socket, bool To) {
  error_code Ignored; // The peer may have closed the connection already.
  Socket.set_option(net::socket_base::linger(To, 0), Ignored);
}

int unacknowledgedBytes(tcp::socket &Socket) {
  int Count = 0;
  const bool IsKnown = ::ioctl(Socket.native_handle(), SIOCOUTQ, &Count) == 0;
  return IsKnown ? Count : -1;
}

bool isReady(tcp::socket &Socket, short Events) {
  pollfd Descriptor{Socket.native_handle(), Events, 0};
  return ::poll(&Descriptor, 1, 0) == 1 && (Descriptor.revents & Events) != 0;
}

void openAcceptor(tcp::acceptor &Acceptor, const tcp::endpoint &Address) {
  Acceptor.open(Address.protocol());
  Acceptor.set_option(net::socket_base::reuse_address(true));
  Acceptor.bind(Address);
  Acceptor.listen(ListenBacklog);
}

tcp::endpoint parseAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    throw std::invalid_argument("\"" + std::string(Text) + "\" is not IP:PORT");
  error_code Error;
  const net::ip::address Host =
      net::ip::make_address(std::string(Text.substr(0, Colon)), Error);
  const std::string_view PortText = Text.substr(Colon + 1);
  int Port = 0;
  const std::from_chars_result Parsed =
      std::from_chars(PortText.data(), PortText.data() + PortText.size(), Port);
  if (Error || Parsed.ec != std::errc() ||
      Parsed.ptr != PortText.data() + PortText.size() || Port < 1 ||
      Port > 65'535)
    throw std::invalid_argument("\"" + std::string(Text) + "\" is not IP:PORT");
  return {Host, static_cast<std::uint16_t>(Port)};
}

} // namespace tamarack::edge
