// What counts as a response of an HTTP/1 server. Every part of the program that
// reads responses uses this parser, so that none applies its own idea of it.
//
// Contents:
//   defect             why received bytes are no response
//   connection_end     how a connection ended
//   parsed             what the next received bytes are
//   mayParseChunks     a guard for the library's parsers
//   parser_settings    what the reader of one response expects
//   response_parser    the parser
//
// A response has
//   - a status line of HTTP/1.0 or HTTP/1.1, with a status from 200 to 599.
//     Interim responses may come before it (1xx other than 101).
//   - fields whose names are tokens and whose values hold no control bytes,
//     without folded lines (RFC 9112, 5.2).
//   - a body whose framing is understood: a length, chunks, or neither. In the
//     last case it ends with its connection. Any other transfer coding, and any
//     content coding, is a defect: nobody here asks for one or would undo it.
//   - an end: all bytes of the length, the last chunk with its trailer, or the
//     end of the connection, if the server closed it and no bytes were lost.
// Bytes after the end belong to no response to this request.
//
// The grammar is Boost.Beast's. Nothing here is thread-safe.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string_view>

namespace tamarack::responses {

namespace http = boost::beast::http;
using response_fields = http::response_header<>;

enum class defect {
  None,
  StartLine, // Not one of HTTP/1.0 or HTTP/1.1.
  Status,    // No status of a response, or a protocol that nobody asked for.
  Field,     // A malformed or folded line of the head or of the trailer.
  Framing,   // The end of the body can't be known for certain.
  ContentCoding, // The body is encoded.
  TooLarge,      // A head, line or body beyond the limits.
  Incomplete,    // The connection ended before the response.
};

std::string_view toString(defect Defect);

enum class connection_end {
  Closed, // The server closed its side after all that it had sent was received.
  Broken, // Reset, timed out or closed from here; bytes may be lost.
};

enum class part {
  NeedsBytes, // Nothing yet: more bytes are needed.
  Head,       // The head is complete, see response_parser::head().
  Body,       // Bytes of the body.
  End,        // The response is complete.
  Defect,     // The bytes are no response, see response_parser::whyBroken().
};

struct parsed {
  part Kind = part::NeedsBytes;
  std::size_t Consumed = 0; // Bytes that the reader drops, after it has used
                            // Body.
  std::string_view Body;    // Of part::Body; points into the received bytes.
};

// Received bytes that a parser may need at once. A reader keeps no more.
constexpr std::size_t MaxUnparsedBytes = (1u << 16) - 1;

// False if Received, of a message in chunks, must wait for more bytes: the
// library's parsers, of requests too, assert that they never get a shorter part
// of the last chunk twice.
bool mayParseChunks(std::string_view Received);

struct parser_settings {
  bool IsToHead = false; // The request's method is HEAD: there is no body.
  // A body that ends with its connection is a defect. For servers that always
  // state the end: such a body may have lost its rest unnoticed.
  bool NeedsStatedEnd = false;
  std::uint32_t MaxHeadBytes = MaxUnparsedBytes; // Of one head.
  std::uint64_t MaxBodyBytes = std::numeric_limits<std::uint64_t>::max();
};

// Parses one response.
class response_parser {
public:
  explicit response_parser(parser_settings Settings);
  ~response_parser();

  // Parses what was received and not consumed yet. Returns the first part of it
  // that a reader acts on; Consumed bytes come before its end.
  parsed next(std::string_view Received);
  // No further bytes can be received. Returns End or Defect.
  parsed onConnectionEnd(connection_end How);

  // True once bytes of the response, or of an interim one, were parsed.
  bool hasBegun() const { return HasBegun; }
  bool hasHead() const { return HasHead; }
  bool isComplete() const;
  // The following ones may be called once hasHead() is true.
  const response_fields &head() const;
  std::optional<std::uint64_t> statedLength() const; // Bytes of the body.
  bool endsWithConnection() const; // Neither a length nor chunks.
  // True if the connection can carry another request after this response.
  bool keepsConnection() const;
  defect whyBroken() const { return Defect; }

private:
  class message_parser;

  void startMessage();
  std::size_t parsePiece(std::string_view Rest);
  bool canParse(std::string_view Rest) const;
  void onHeadComplete();
  defect headDefect() const;
  bool isInterim() const;

  parser_settings Settings;
  std::unique_ptr<message_parser> Message; // The interim or final response.
  int InterimResponses = 0;
  bool HasBegun = false;
  bool HasHead = false;      // Of the final response.
  bool NeedsBytes = false;   // Nothing more can be parsed of what was received.
  bool EndedByClose = false; // The connection's end was the response's end.
  defect Defect = defect::None;
};

} // namespace tamarack::responses
