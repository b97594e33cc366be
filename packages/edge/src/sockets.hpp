// Socket options and acceptors.
#pragma once

#include "tamarack/edge.hpp"

namespace tamarack::edge {

struct socket_options {
  // A connection breaks when sent bytes or keepalive probes stay
  // unacknowledged, or when the peer takes no bytes, for this time
  // (TCP_USER_TIMEOUT).
  int TcpUserTimeoutMs = 2'500;
};

// Sends small packets without delay and enables detection of a silent peer.
void applySocketOptions(tcp::socket &Socket, const socket_options &Options);

// Opens Acceptor and listens on Address. Throws boost::system::system_error.
void openAcceptor(tcp::acceptor &Acceptor, const tcp::endpoint &Address);

} // namespace tamarack::edge
