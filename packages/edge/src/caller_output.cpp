// Writes to a caller's connection.
#include "caller_output.hpp"

#include <sstream>

namespace tamarack::edge {

namespace {

constexpr std::size_t MaxJoinedBytes = 16 * 1024; // Of pieces that are joined.

} // namespace

std::string formatHead(const relay::response_head &Head, bool Chunked,
                       std::size_t Length, bool KeepAlive) {
  http::response_header<> Fields;
  Fields.version(11);
  Fields.result(static_cast<unsigned>(Head.Status));
  for (const header_field &Field : Head.Fields)
    Fields.insert(Field.Name, Field.Value);
  if (Chunked)
    Fields.set(http::field::transfer_encoding, "chunked");
  else
    Fields.set(http::field::content_length, std::to_string(Length));
  if (!KeepAlive)
    Fields.set(http::field::connection, "close");
  std::ostringstream Out;
  Out << Fields;
  return std::move(Out).str();
}

std::string formatChunk(std::string_view Bytes) {
  return boost::beast::buffers_to_string(
      http::make_chunk(net::const_buffer(Bytes.data(), Bytes.size())));
}

std::string formatLastChunk() {
  return boost::beast::buffers_to_string(http::make_chunk_last());
}

std::string formatMessage(response_message Message, bool KeepAlive,
                          bool WithBody) {
  Message.keep_alive(KeepAlive);
  Message.prepare_payload();
  std::ostringstream Out;
  Out << Message.base();
  if (WithBody)
    Out << Message.body();
  return std::move(Out).str();
}

// Large pieces are not copied.
void caller_output::append(std::string Bytes) {
  if (Bytes.empty())
    return;
  UnsentBytes += Bytes.size();
  Held.set(Held.bytes() + Bytes.size());
  const bool MayJoin = !Unsent.empty() && Bytes.size() < MaxJoinedBytes &&
                       Unsent.back().size() < MaxJoinedBytes;
  if (MayJoin)
    Unsent.back().append(Bytes);
  else
    Unsent.push_back(std::move(Bytes));
}

void caller_output::onWriteEnded() {
  pieces().swap(BeingSent);
  Held.set(UnsentBytes);
}

void caller_output::startWrite(std::shared_ptr<void> Owner,
                               sent_handler OnSent) {
  if (!BeingSent.empty() || Unsent.empty())
    return;
  BeingSent.swap(Unsent);
  UnsentBytes = 0;
  std::vector<net::const_buffer> Buffers;
  for (const std::string &Piece : BeingSent)
    Buffers.push_back(net::buffer(Piece));
  net::async_write(
      Socket, Buffers,
      [Owner = std::move(Owner), OnSent = std::move(OnSent)](
          const error_code &Error, std::size_t) { OnSent(Error); });
}

} // namespace tamarack::edge
