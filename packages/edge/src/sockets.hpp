// Socket options and acceptors.
#pragma once

#include "tamarack/edge.hpp"
#include "tamarack/responses.hpp"

namespace tamarack::edge {

// Bytes that were received and not parsed yet. The parser needs a whole head,
// line of a chunk or trailer at once, and sets no limit for the last two. It
// throws for a field of 64 KB or more, which does not fit here.
constexpr std::size_t MaxUnparsedBytes = responses::MaxUnparsedBytes;
// The same while the body of a message of a caller or endpoint is read.
constexpr std::size_t MaxUnparsedBodyBytes = 16 * 1024;

struct socket_options {
  // A connection breaks when sent bytes or keepalive probes stay
  // unacknowledged, or when the peer takes no bytes, for this time
  // (TCP_USER_TIMEOUT).
  int TcpUserTimeoutMs = 2'500;
  bool HasKeepAlive = true; // See setKeepAlive.
};

// Sends small packets without delay and enables detection of a silent peer.
void applySocketOptions(tcp::socket &Socket, const socket_options &Options);

// Limits the bytes that the kernel holds unread, about twice as many.
void setReceiveBuffer(int Handle, std::size_t Bytes);

// Whether the kernel probes a peer that sends nothing, and ends the connection
// if the probes stay unanswered.
void setKeepAlive(tcp::socket &Socket, bool To);

// Whether close() resets the connection, which discards the bytes that were
// written and not delivered yet. Off, the kernel delivers them after the close,
// and after the end of the process.
void setResetOnClose(tcp::socket &Socket, bool To);

// Bytes that were written and that the other host has not acknowledged; -1 if
// the kernel does not tell.
int unacknowledgedBytes(tcp::socket &Socket);

// True if poll() reports one of Events (POLLIN, POLLOUT) now.
bool isReady(tcp::socket &Socket, short Events);

// Opens Acceptor and listens on Address. Throws boost::system::system_error.
void openAcceptor(tcp::acceptor &Acceptor, const tcp::endpoint &Address);

} // namespace tamarack::edge
