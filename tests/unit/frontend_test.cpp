// Callers' connections, over loopback and with a codec that refuses every
// request.
#include "fakes.hpp"

#include "tamarack/adapters.hpp"
#include "tamarack/edge.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <set>

using namespace tamarack;
using namespace tamarack::edge;

namespace {

constexpr int DrainIdleTimeoutMs = 100;
constexpr int SlowWindowMs = 200;
constexpr std::chrono::seconds LongestWait(5);
const tcp::endpoint AnyPort(net::ip::make_address("127.0.0.1"), 0);

// Refuses every request with a body of ResponseBytes bytes, or accepts it as a
// call for which there is no endpoint.
class refusing_codec final : public exchange_codec {
public:
  decoded_request decodeRequest(request_message Request, time_ms Now) override {
    Targets.emplace_back(Request.target());
    BodyBytes += Request.body().size();
    decoded_request Decoded;
    if (AcceptsCalls)
      Decoded.Call.emplace().Deadline = Now + CallMs;
    return Decoded;
  }
  void prepareAttempt(const relay::call &, const relay::endpoint_choice &,
                      const relay::send_options &, time_ms,
                      request_message &) override {}
  response_match matchResponse(const relay::call &,
                               const response_fields &) override {
    return response_match::Own;
  }
  relay::response_head decodeResponseHead(const response_fields &) override {
    return {};
  }
  void recordEndpointState(const relay::endpoint_choice &,
                           const response_fields &, time_ms) override {}
  response_message makeErrorResponse(relay::error_kind Kind, int RetryAfterMs,
                                     std::string_view) override {
    Refusals.push_back(Kind);
    RetriesAfterMs.push_back(RetryAfterMs);
    response_message Response(http::status::service_unavailable, 11);
    Response.body().assign(ResponseBytes, 'x');
    return Response;
  }

  bool AcceptsCalls = false;
  time_ms CallMs = 0; // Until the deadline of a call.
  std::size_t ResponseBytes = 0;
  std::vector<relay::error_kind> Refusals; // In order.
  std::vector<int> RetriesAfterMs;         // Of the refusals.
  std::vector<std::string> Targets;        // Of the requests, in order.
  std::size_t BodyBytes = 0;               // Of all requests.
};

class no_budget final : public relay::token_budget {
public:
  relay::reserve_result reserve(const relay::call &) override {
    return relay::reserve_result::Exhausted;
  }
  bool settle(const relay::call &, std::int64_t) override { return true; }
};

class silent_observer final : public frontend_observer {
public:
  void onCallAccepted(const relay::call &) override {}
  void onRequestRefused(const decoded_request &) override {}
  void onCallDone(const relay::call &, const relay::exchange_report &,
                  time_ms) override {}
  void onRequestWhileDraining(const drain_arrival &) override {}
};

frontend_settings makeSettings(std::size_t MaxSessions) {
  frontend_settings Settings;
  Settings.MaxSessions = MaxSessions;
  Settings.DrainIdleTimeoutMs = DrainIdleTimeoutMs;
  Settings.LingeringCloseMs = 20;
  Settings.SlowRequests.WindowMs = SlowWindowMs;
  return Settings;
}

struct frontend_fixture {
  explicit frontend_fixture(std::size_t MaxSessions = 100,
                            std::size_t MemoryLimit = 64u << 20)
      : Memory(MemoryLimit),
        Server(Context, Clock, Codec, Placement, Budget, Origins, Observer,
               Pool, Memory, Random, makeSettings(MaxSessions)) {
    tcp::acceptor PortFinder(Context, AnyPort);
    Address = PortFinder.local_endpoint();
    PortFinder.close();
    Server.listen(Address);
  }

  // False if Condition does not hold within Limit.
  template <typename condition>
  bool runUntil(condition Condition,
                std::chrono::milliseconds Limit = LongestWait) {
    const std::chrono::steady_clock::time_point End =
        std::chrono::steady_clock::now() + Limit;
    while (!Condition()) {
      if (std::chrono::steady_clock::now() > End)
        return false;
      Context.run_for(std::chrono::milliseconds(1));
    }
    return true;
  }
  void runFor(std::chrono::milliseconds Time) {
    runUntil([] { return false; }, Time);
  }

  memory::memory_budget Memory;
  net::io_context Context;
  net::executor_work_guard<net::io_context::executor_type> Work{
      Context.get_executor()};
  adapters::system_clock Clock;
  refusing_codec Codec;
  tests::empty_placement Placement;
  no_budget Budget;
  silent_observer Observer;
  connection_pool Pool{Context, Clock, {}};
  relay::no_stream_origins Origins;
  tests::seeded_random Random{1};
  frontend_server Server;
  tcp::endpoint Address;
};

class test_caller {
public:
  explicit test_caller(frontend_fixture &Frontend) : Socket(Frontend.Context) {
    Socket.connect(Frontend.Address);
  }

  void send(const std::string &Text) {
    Socket.non_blocking(false);
    net::write(Socket, net::buffer(Text));
  }
  // Reads what has arrived.
  void receive() {
    Socket.non_blocking(true);
    std::array<char, 65'536> Bytes;
    error_code Error;
    while (!Error) {
      const std::size_t Size = Socket.read_some(net::buffer(Bytes), Error);
      Received.append(Bytes.data(), Size);
    }
    IsClosed = Error != net::error::would_block;
  }
  std::size_t responseCount() {
    receive();
    std::size_t Count = 0;
    for (std::size_t At = Received.find("HTTP/1.1 "); At != std::string::npos;
         At = Received.find("HTTP/1.1 ", At + 1))
      ++Count;
    return Count;
  }
  // Of the first response.
  std::size_t bodyBytes() const {
    const std::size_t EndOfHead = Received.find("\r\n\r\n");
    return EndOfHead == std::string::npos ? 0 : Received.size() - EndOfHead - 4;
  }
  void close() { Socket.close(); }

  std::string Received;
  bool IsClosed = false; // By the server.

private:
  tcp::socket Socket;
};

std::string formatRequest(const std::string &Target,
                          const std::string &Body = {}) {
  return "POST " + Target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::size_t countAnswered(std::list<test_caller> &Callers) {
  std::size_t Count = 0;
  for (test_caller &Caller : Callers)
    Count += Caller.responseCount();
  return Count;
}

} // namespace

// Guards against callers whose connection the kernel has established and whose
// request it has taken, and who get a closed connection for an answer.
TEST_CASE("connections that wait when the listener closes are served",
          "[edge][shutdown]") {
  constexpr std::size_t CallerCount = 6;
  frontend_fixture Frontend;
  std::list<test_caller> Callers;
  for (std::size_t Number = 0; Number < CallerCount; ++Number) {
    Callers.emplace_back(Frontend);
    Callers.back().send(formatRequest("/x"));
  }
  Frontend.Server.beginDrain();
  SECTION("none is accepted yet") { Frontend.Server.stopAccepting(); }
  SECTION("one accept has succeeded but its handler has not run yet") {
    net::post(Frontend.Context, [&] { Frontend.Server.stopAccepting(); });
    Frontend.Context.poll();
  }
  SECTION("one is accepted but its request is not read yet") {
    while (Frontend.Server.sessionCount() == 0)
      Frontend.Context.run_one();
    Frontend.Server.stopAccepting();
  }
  CHECK(
      Frontend.runUntil([&] { return countAnswered(Callers) == CallerCount; }));
  CHECK(countAnswered(Callers) == CallerCount);
  CHECK_THROWS(test_caller(Frontend));
  CHECK(Frontend.runUntil([&] { return Frontend.Server.sessionCount() == 0; }));
}

// Guards against a connection that is closed before its request, which is on
// its way, has arrived.
TEST_CASE("a new connection has time to send a request when the listener "
          "closes",
          "[edge][shutdown]") {
  frontend_fixture Frontend;
  Frontend.Server.beginDrain();
  test_caller Early(Frontend);
  REQUIRE(
      Frontend.runUntil([&] { return Frontend.Server.sessionCount() == 1; }));
  test_caller Waiting(Frontend);
  Frontend.Server.stopAccepting();
  Frontend.runFor(std::chrono::milliseconds(DrainIdleTimeoutMs / 4));
  Early.send(formatRequest("/early"));
  Waiting.send(formatRequest("/waiting"));
  CHECK(Frontend.runUntil([&] {
    return Early.responseCount() == 1 && Waiting.responseCount() == 1;
  }));
}

// Guards against more sessions than allowed when the listener closes.
TEST_CASE("connections beyond the limit are closed when the listener closes",
          "[edge][shutdown]") {
  constexpr std::size_t MaxSessions = 2;
  frontend_fixture Frontend(MaxSessions);
  std::list<test_caller> Callers;
  for (std::size_t Number = 0; Number < 5; ++Number) {
    Callers.emplace_back(Frontend);
    Callers.back().send(formatRequest("/x"));
  }
  Frontend.Server.beginDrain();
  Frontend.Server.stopAccepting();
  CHECK(Frontend.Server.sessionCount() == MaxSessions);
  Frontend.runUntil([&] { return countAnswered(Callers) == MaxSessions; });
  CHECK(countAnswered(Callers) == MaxSessions);
}

// Guards against a response that ends in its middle because the session counts
// as idle once the response is complete on this side.
TEST_CASE("a session is not idle until its response is sent",
          "[edge][shutdown]") {
  constexpr std::size_t ResponseBytes = 32u << 20; // More than sockets buffer.
  frontend_fixture Frontend;
  relay::caller_limits Limits;
  Limits.IdleTimeoutMs = DrainIdleTimeoutMs;
  Frontend.Server.setLimits(Limits);
  Frontend.Codec.ResponseBytes = ResponseBytes;
  test_caller Caller(Frontend);
  Caller.send(formatRequest("/x"));
  REQUIRE(
      Frontend.runUntil([&] { return Frontend.Codec.Targets.size() == 1; }));
  SECTION("the idle timeout passes") {}
  SECTION("the idle timeout of a drain passes") {
    Frontend.Server.beginDrain();
  }
  SECTION("the listener closes") {
    Frontend.Server.beginDrain();
    Frontend.Server.stopAccepting();
  }
  SECTION("the stop is forced") {
    Frontend.Server.beginDrain();
    Frontend.Server.stopAccepting();
    Frontend.Server.giveUpCalls();
  }
  Frontend.runFor(std::chrono::milliseconds(2 * DrainIdleTimeoutMs));
  CHECK(Frontend.Server.busySessionCount() == 1);
  Frontend.runUntil([&] {
    Caller.receive();
    return Caller.IsClosed || Caller.bodyBytes() == ResponseBytes;
  });
  CHECK(Caller.bodyBytes() == ResponseBytes);
  // Then it is idle and ends as every idle session.
  CHECK(Frontend.runUntil([&] { return Frontend.Server.sessionCount() == 0; }));
}

// Guards against a response that is cut because its caller pauses: with a full
// window, TCP counts the pause as silence.
TEST_CASE("a caller that pauses while it reads gets the whole response",
          "[edge]") {
  constexpr std::size_t ResponseBytes = 32u << 20; // More than sockets buffer.
  constexpr std::chrono::seconds Pause(4);
  frontend_fixture Frontend;
  Frontend.Codec.ResponseBytes = ResponseBytes;
  test_caller Caller(Frontend);
  Caller.send(formatRequest("/x"));
  REQUIRE(
      Frontend.runUntil([&] { return Frontend.Codec.Targets.size() == 1; }));
  Frontend.runFor(Pause);
  Frontend.runUntil([&] {
    Caller.receive();
    return Caller.IsClosed || Caller.bodyBytes() == ResponseBytes;
  });
  CHECK(Caller.bodyBytes() == ResponseBytes);
}

// Guards against a request that has been received whole but is handled only
// when further bytes arrive.
TEST_CASE("requests that arrive together are all answered", "[edge]") {
  frontend_fixture Frontend;
  test_caller Caller(Frontend);
  Caller.send(formatRequest("/1") + formatRequest("/2") + formatRequest("/3"));
  CHECK(Frontend.runUntil([&] { return Caller.responseCount() == 3; }));
  CHECK(Frontend.Codec.Targets == std::vector<std::string>{"/1", "/2", "/3"});
  CHECK(Frontend.Server.sessionCount() == 1);
  CHECK(Frontend.runUntil(
      [&] { return Frontend.Server.busySessionCount() == 0; }));
}

// Guards against bytes that are lost or read twice when a pending read is
// cancelled because the next request has arrived already.
TEST_CASE("requests that arrive in pieces of any size are all answered",
          "[edge]") {
  constexpr std::size_t Requests = 400;
  constexpr std::size_t BodyBytes = 700;
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    INFO("seed " << Seed);
    frontend_fixture Frontend;
    std::string Text;
    std::vector<std::string> Targets;
    for (std::size_t Number = 0; Number < Requests; ++Number) {
      Targets.push_back("/" + std::to_string(Number));
      Text += formatRequest(Targets.back(), std::string(BodyBytes, 'b'));
    }
    test_caller Caller(Frontend);
    std::minstd_rand Random(Seed);
    for (std::size_t Sent = 0; Sent < Text.size();) {
      const std::size_t Size = 1 + Random() % (Seed * 500);
      Caller.send(Text.substr(Sent, Size));
      Sent += Size;
      for (unsigned Steps = Random() % 8; Steps > 0; --Steps)
        Frontend.Context.poll_one();
      Caller.receive();
    }
    CHECK(
        Frontend.runUntil([&] { return Caller.responseCount() == Requests; }));
    CHECK(Frontend.Codec.Targets == Targets);
    CHECK(Frontend.Codec.BodyBytes == Requests * BodyBytes);
  }
}

// Guards against a session that stays open after its caller has gone while the
// next request is incomplete.
TEST_CASE("a caller's close is noticed behind an incomplete request",
          "[edge]") {
  frontend_fixture Frontend;
  test_caller Caller(Frontend);
  Caller.send(formatRequest("/1") + "POST /2 HT");
  CHECK(Frontend.runUntil([&] { return Caller.responseCount() == 1; }));
  Caller.close();
  CHECK(Frontend.runUntil([&] { return Frontend.Server.sessionCount() == 0; }));
}

// Guards against responses that wait for slow callers in no bound.
TEST_CASE("what a caller has not read counts until it has", "[edge]") {
  constexpr std::size_t ResponseBytes = 16u << 20; // More than sockets hold.
  frontend_fixture Frontend;
  Frontend.Codec.ResponseBytes = ResponseBytes;
  test_caller Caller(Frontend);
  Caller.send(formatRequest("/x"));
  CHECK(Frontend.runUntil([&] { return Frontend.Memory.used() > 0; }));
  CHECK(Frontend.Memory.used() >= ResponseBytes);
  CHECK(Frontend.runUntil([&] {
    Caller.receive();
    return Frontend.Memory.usedBy(memory::holder_kind::Response) == 0;
  }));
  // What is left is one connection without anything of its own.
  CHECK(Frontend.Memory.used() == SessionBytes);
  CHECK(Caller.bodyBytes() == ResponseBytes);
}

// Guards against calls in progress that fill the memory, and against callers
// who then all come back at the same moment.
TEST_CASE("a call is refused at once when the memory is full", "[edge]") {
  frontend_fixture Frontend(100, 10 * 1024);
  Frontend.Codec.AcceptsCalls = true;
  test_caller Caller(Frontend);
  for (std::size_t Count = 1; Count <= 20; ++Count) {
    Caller.send(formatRequest("/x"));
    CHECK(Frontend.runUntil([&] { return Caller.responseCount() == Count; }));
  }
  CHECK(Frontend.Codec.Refusals ==
        std::vector<relay::error_kind>(20, relay::error_kind::InstanceFull));
  const std::vector<int> &Waits = Frontend.Codec.RetriesAfterMs;
  CHECK(std::set<int>(Waits.begin(), Waits.end()).size() > 10);
  CHECK(*std::min_element(Waits.begin(), Waits.end()) >= 100);
  CHECK(*std::max_element(Waits.begin(), Waits.end()) <= 600);
  CHECK_FALSE(Caller.IsClosed);
}

// Guards against callers that each send much ahead on many connections.
TEST_CASE("requests that are sent ahead count and stop at a bound", "[edge]") {
  frontend_fixture Frontend(100, 256 * 1024);
  Frontend.Codec.ResponseBytes = 16u << 20; // Nothing is sent of a second one.
  std::list<test_caller> Callers;
  std::string Ahead;
  while (Ahead.size() < 100'000)
    Ahead += formatRequest("/x", std::string(500, 'x'));
  for (int Count = 0; Count < 20; ++Count) {
    Callers.emplace_back(Frontend);
    Callers.back().send(Ahead);
    Frontend.runFor(std::chrono::milliseconds(10));
  }
  const std::size_t Responses = 20 * (Frontend.Codec.ResponseBytes + 1'000);
  CHECK(Frontend.Memory.used() < Responses + 20 * 16 * 1024);
}

// Guards against a caller that fills the memory, or ends the process, with
// bytes of a chunked body that are no data: the library has no limit for them
// and keeps no field of 64 KB or more.
TEST_CASE("bytes between the chunks of a body stay within a bound", "[edge]") {
  constexpr std::size_t PieceBytes = 8 * 1024;
  constexpr std::size_t MaxPieces = 100;
  frontend_fixture Frontend;
  test_caller Caller(Frontend);
  const std::string Start =
      GENERATE("5;", "0\r\nx-trailer: ", "5\r\nbytes\r\n0\r\nx-trailer: ");
  Caller.send("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
              "\r\n" +
              Start);
  std::size_t Pieces = 0;
  while (Pieces < MaxPieces && Caller.responseCount() == 0) {
    Caller.send(std::string(PieceBytes, 'x'));
    ++Pieces;
    Frontend.runFor(std::chrono::milliseconds(2));
  }
  CHECK(Pieces < MaxPieces);
  CHECK(Frontend.Codec.Refusals ==
        std::vector<relay::error_kind>{relay::error_kind::InvalidRequest});
  test_caller Other(Frontend);
  Other.send(formatRequest("/other"));
  CHECK(Frontend.runUntil([&] { return Other.responseCount() == 1; }));
}

// Guards against the same by a whole trailer, also of a request that is sent
// ahead and lies in the buffer before it is parsed.
TEST_CASE("a trailer of any size ends no process", "[edge]") {
  frontend_fixture Frontend;
  test_caller Caller(Frontend);
  const std::size_t Size = GENERATE(100u, 20'000u, 65'400u, 65'540u, 200'000u);
  const std::string Request =
      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
      "x-trailer: " +
      std::string(Size, 'x') + "\r\n\r\n";
  Caller.send(formatRequest("/first") + Request);
  CHECK(Frontend.runUntil([&] { return Caller.responseCount() == 2; }));
  test_caller Other(Frontend);
  Other.send(formatRequest("/other"));
  CHECK(Frontend.runUntil([&] { return Other.responseCount() == 1; }));
}

// Guards against unfinished bodies that keep all others out, and against their
// callers who hear nothing of it.
TEST_CASE("unfinished bodies that no longer come make way", "[edge]") {
  constexpr std::size_t BodyBytes = 200 * 1024;
  frontend_fixture Frontend(100, 1u << 20);
  std::list<test_caller> Callers;
  for (int Count = 0; Count < 10; ++Count) {
    Callers.emplace_back(Frontend);
    const std::string Request =
        formatRequest("/unfinished", std::string(BodyBytes, 'x'));
    Callers.back().send(Request.substr(0, Request.size() - 1));
    Frontend.runFor(std::chrono::milliseconds(5));
    CHECK(Frontend.Memory.used() <= Frontend.Memory.limit());
  }
  const std::size_t Refused = Frontend.Codec.Refusals.size();
  CHECK(Refused >= 6);
  Frontend.runFor(std::chrono::milliseconds(3 * SlowWindowMs));
  test_caller Sound(Frontend);
  Sound.send(formatRequest("/sound", std::string(BodyBytes, 'x')));
  CHECK(Frontend.runUntil([&] { return Sound.responseCount() == 1; }));
  CHECK(Frontend.Codec.Targets == std::vector<std::string>{"/sound"});
  CHECK(countAnswered(Callers) == Refused + 1);
  CHECK(Frontend.Server.counts().SlowRequests == 1);
  // Of the refusals, all but the last are of unfinished requests.
  Frontend.Codec.Refusals.pop_back();
  CHECK(Frontend.Codec.Refusals ==
        std::vector<relay::error_kind>(Refused + 1,
                                       relay::error_kind::InstanceFull));
}

// Guards against a crowd of idle connections that keeps callers out.
TEST_CASE("an idle connection makes way for a new one", "[edge]") {
  constexpr std::size_t MaxSessions = 3;
  frontend_fixture Frontend(MaxSessions);
  std::list<test_caller> Idle;
  for (std::size_t Count = 0; Count < MaxSessions; ++Count)
    Idle.emplace_back(Frontend);
  Frontend.runFor(std::chrono::milliseconds(1'100));
  test_caller Caller(Frontend);
  Caller.send(formatRequest("/x"));
  CHECK(Frontend.runUntil([&] { return Caller.responseCount() == 1; }));
  CHECK(Frontend.Server.sessionCount() == MaxSessions);
  CHECK(Frontend.Server.counts().ClosedIdle == 1);
}

// Guards against callers who stay with an instance that refuses each of their
// calls, and fill its link with them.
TEST_CASE("a caller whose call can't be placed here is sent elsewhere",
          "[edge]") {
  frontend_fixture Frontend;
  Frontend.Codec.AcceptsCalls = true;
  Frontend.Codec.CallMs = 10'000;
  test_caller Caller(Frontend);
  SECTION("the list of endpoints is outdated") {
    Frontend.Placement.ListState = relay::list_state::Outdated;
    Caller.send(formatRequest("/x"));
    CHECK(Frontend.runUntil([&] {
      Caller.receive();
      return Caller.IsClosed;
    }));
    CHECK(Frontend.Codec.Refusals ==
          std::vector<relay::error_kind>{relay::error_kind::NotReady});
    CHECK(Caller.Received.find("Connection: close") != std::string::npos);
  }
  SECTION("there is no endpoint, here as elsewhere") {
    Caller.send(formatRequest("/x"));
    CHECK(Frontend.runUntil([&] { return Caller.responseCount() == 1; }));
    CHECK_FALSE(Caller.IsClosed);
  }
}
