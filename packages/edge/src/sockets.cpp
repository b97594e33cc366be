// Options of sockets and addresses.
#include "sockets.hpp"

#include <charconv>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>

namespace tamarack::edge {

namespace {

constexpr int KeepAliveIdleS = 1;
constexpr int KeepAlivePauseS = 1;
constexpr int KeepAliveProbes = 2;
constexpr int Backlog = 1'024;

void setOption(tcp::socket &Socket, int Level, int Name, int Value) {
  // A socket without the option still works; it notices a dead peer later.
  (void)::setsockopt(Socket.native_handle(), Level, Name, &Value, sizeof Value);
}

} // namespace

void applySocketOptions(tcp::socket &Socket, const socket_options &Options) {
  setOption(Socket, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, Options.TcpUserTimeoutMs);
  setOption(Socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleS);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAlivePauseS);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

void openAcceptor(tcp::acceptor &Acceptor, const tcp::endpoint &Address) {
  Acceptor.open(Address.protocol());
  Acceptor.set_option(net::socket_base::reuse_address(true));
  Acceptor.bind(Address);
  Acceptor.listen(Backlog);
}

tcp::endpoint parseAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    throw std::invalid_argument("\"" + std::string(Text) +
                                "\" is not HOST:PORT");
  error_code Error;
  const net::ip::address Host =
      net::ip::make_address(std::string(Text.substr(0, Colon)), Error);
  const std::string_view PortText = Text.substr(Colon + 1);
  int Port = 0;
  const std::from_chars_result Read =
      std::from_chars(PortText.data(), PortText.data() + PortText.size(), Port);
  if (Error || Read.ec != std::errc() ||
      Read.ptr != PortText.data() + PortText.size() || Port < 1 ||
      Port > 65'535)
    throw std::invalid_argument("\"" + std::string(Text) + "\" is not IP:PORT");
  return {Host, static_cast<std::uint16_t>(Port)};
}

} // namespace tamarack::edge
