// Options of sockets.
#pragma once

#include "tamarack/edge.hpp"

namespace tamarack::edge {

struct socket_options {
  int TcpUserTimeoutMs =
      2'500; // Unacknowledged bytes or probes break a connection.
};

// Small packets at once, and a peer that has gone silent is noticed.
void applySocketOptions(tcp::socket &Socket, const socket_options &Options);

// Opens, binds and listens. Throws boost::system::system_error.
void openAcceptor(tcp::acceptor &Acceptor, const tcp::endpoint &Address);

} // namespace tamarack::edge
