// The bytes that are sent to a caller, and the texts of responses.
#pragma once

#include "tamarack/edge.hpp"

namespace tamarack::edge {

// The status line and fields of Head. Length counts only if the body is not
// sent in chunks.
std::string formatHead(const relay::response_head &Head, bool Chunked,
                       std::size_t Length, bool KeepAlive);
std::string formatChunk(std::string_view Bytes);
std::string formatLastChunk();
// Message with its length. WithBody is false for the response to HEAD.
std::string formatMessage(response_message Message, bool KeepAlive,
                          bool WithBody);

// Sends bytes on a connection, one write at a time. Its owner stays alive while
// a write is pending: Owner is kept by the handler.
class caller_output {
public:
  using sent_handler = std::function<void(const error_code &)>;

  // All bytes that are not sent count in Memory.
  caller_output(tcp::socket &Socket, memory::memory_budget &Memory)
      : Socket(Socket), Held(Memory, memory::holder_kind::Response) {}

  void append(std::string Bytes);
  // Starts a write unless one is pending or there is nothing to send. OnSent is
  // called at its end, with Owner still alive.
  void startWrite(std::shared_ptr<void> Owner, sent_handler OnSent);
  // Called first by OnSent: the bytes of that write are sent or lost.
  void onWriteEnded();
  bool isSent() const { return BeingSent.empty() && Unsent.empty(); }
  bool hasUnsent() const { return !Unsent.empty(); }
  std::size_t unsentSize() const { return UnsentBytes; }

private:
  using pieces = std::vector<std::string>;

  tcp::socket &Socket;
  pieces Unsent;               // Not passed to the socket yet.
  std::size_t UnsentBytes = 0; // Of Unsent.
  pieces BeingSent;            // Of the pending write, else empty.
  memory::memory_charge Held;  // All pieces.
};

} // namespace tamarack::edge
