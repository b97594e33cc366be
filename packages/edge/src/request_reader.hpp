// Takes in one request from the received bytes of a connection, within the
// memory budget.
#pragma once

#include "request_progress.hpp"
#include "sockets.hpp"

namespace tamarack::edge {

// A request that is received or served: its body, and what it counts for. Also
// kept by an attempt that still writes the body.
struct held_request {
  explicit held_request(memory::memory_budget &Memory)
      : Charge(Memory, memory::holder_kind::Request) {}

  std::string Body;
  memory::memory_charge Charge; // Of Body, by its capacity, and a large head.
};

enum class reading_state {
  Head,     // The head is incomplete.
  Body,     // The body is incomplete.
  Complete, // release() returns the request.
  Refused,  // refusal() tells why.
  Full,     // Does not fit into the budget. parse() tries again.
};

class request_reader {
public:
  request_reader(memory::memory_budget &Memory, const slow_request_rule &Rule);

  void begin(const relay::caller_limits &Limits, time_ms Now);
  // Takes what it can from Buffer. Received: number of bytes that are new in
  // it.
  reading_state parse(boost::beast::flat_buffer &Buffer, std::size_t Received,
                      time_ms Now);
  // The request without its body, which is in held().
  request_message release();
  std::shared_ptr<held_request> held() { return std::move(Held); }
  // Forgets the request.
  void reset();

  bool hasHead() const { return Parser && Parser->is_header_done(); }
  const request_message &head() const { return Parser->get(); }
  relay::error_kind refusal() const { return Refusal; }
  bool isSlow(time_ms Now) const { return Progress.isSlow(Now); }
  unfinished_request unfinished(time_ms Now) const;

private:
  using parser = http::request_parser<http::string_body>;

  bool hasUnambiguousFraming() const;
  reading_state refuse(relay::error_kind Kind);
  reading_state parseHead(boost::beast::flat_buffer &Buffer);
  reading_state parseBody(boost::beast::flat_buffer &Buffer);
  bool holdStatedBody();
  bool holdNextBytes(std::size_t Bytes);
  bool hold(std::size_t BodyBytes);

  memory::memory_budget &Memory;
  request_progress Progress;
  std::uint64_t MaxBodyBytes = 0;
  std::optional<parser> Parser;
  std::shared_ptr<held_request> Held;
  std::size_t HeadBytes = 0;   // That count; 0 for a head of the usual size.
  bool IsBodyExpected = false; // The head is checked and its body is held.
  relay::error_kind Refusal = relay::error_kind::InvalidRequest;
};

} // namespace tamarack::edge
