// Options of sockets.
#pragma once

#include "tamarack/edge.hpp"

namespace tamarack::edge {

struct liveness {
  int SilentMs = 2'500; // Unacknowledged bytes or probes break a connection.
};

// Small packets at once, and a peer that has gone silent is noticed.
void tune(tcp::socket &Socket, const liveness &Liveness);

// Opens, binds and listens. Throws boost::system::system_error.
void openAcceptor(tcp::acceptor &Acceptor, const tcp::endpoint &Address);

} // namespace tamarack::edge
