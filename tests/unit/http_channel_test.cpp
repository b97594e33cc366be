// Broken responses of the store and of peers, over loopback.
#include "tamarack/adapters.hpp"
#include "tamarack/edge.hpp"

#include <catch2/catch.hpp>
#include <thread>

using namespace tamarack;
using namespace tamarack::edge;

namespace {

enum class after_response { Stay, Close, Reset };

// What a server sends in response to one request.
struct scripted_response {
  std::string Bytes;
  after_response Then = after_response::Stay;
};

// Responds to the requests of all connections, in order, by a script.
class scripted_server {
public:
  scripted_server(net::io_context &Context,
                  std::vector<scripted_response> Script)
      : Acceptor(Context, {net::ip::make_address("127.0.0.1"), 0}),
        Script(std::move(Script)) {
    accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }
  // Sends Bytes that no request has asked for on the newest connection.
  void sendUnasked(std::string_view Bytes) {
    net::write(Sessions.back()->Socket,
               net::buffer(Bytes.data(), Bytes.size()));
  }
  int connectionCount() const { return static_cast<int>(Sessions.size()); }

private:
  struct session {
    explicit session(tcp::socket Socket) : Socket(std::move(Socket)) {}
    tcp::socket Socket;
    boost::beast::flat_buffer Buffer;
    request_message Request;
  };

  void accept() {
    Acceptor.async_accept([this](const error_code &Error, tcp::socket Socket) {
      if (Error)
        return;
      Sessions.push_back(std::make_shared<session>(std::move(Socket)));
      serve(Sessions.back());
      accept();
    });
  }

  void serve(const std::shared_ptr<session> &Session) {
    Session->Request = {};
    http::async_read(Session->Socket, Session->Buffer, Session->Request,
                     [this, Session](const error_code &Error, std::size_t) {
                       if (!Error && NextResponse < Script.size())
                         respond(Session, Script[NextResponse++]);
                     });
  }

  void respond(const std::shared_ptr<session> &Session,
               const scripted_response &Response) {
    net::write(Session->Socket, net::buffer(Response.Bytes));
    if (Response.Then == after_response::Stay)
      return serve(Session);
    if (Response.Then == after_response::Reset)
      Session->Socket.set_option(net::socket_base::linger(true, 0));
    Session->Socket.close();
  }

  tcp::acceptor Acceptor;
  std::vector<scripted_response> Script;
  std::size_t NextResponse = 0;
  std::vector<std::shared_ptr<session>> Sessions;
};

struct channel_fixture {
  explicit channel_fixture(std::vector<scripted_response> Script)
      : Server(Context, std::move(Script)),
        Channel(std::make_shared<http_channel>(Context, Server.address())) {}

  // Body of the response to a new request, nothing if there is none.
  std::optional<std::string> request() {
    constexpr int TimeoutMs = 1'000;
    channel_request Request;
    Request.Message = request_message(http::verb::get, "/x", 11);
    Request.InactivityTimeoutMs = TimeoutMs;
    Request.Patience = Patience;
    bool IsDone = false;
    std::optional<std::string> Body;
    Channel->request(std::move(Request),
                     [&](const std::optional<response_message> &Response,
                         const channel_timing &Timing) {
                       IsDone = true;
                       ActiveMs = Timing.ActiveMs;
                       Rest = Timing.Rest;
                       if (Response)
                         Body = Response->body();
                     });
    while (!IsDone)
      Context.run_one();
    return Body;
  }

  net::io_context Context;
  scripted_server Server;
  std::shared_ptr<http_channel> Channel;
  int ActiveMs = 0; // Of the last request.
  std::optional<channel_rest> Rest;
  const response_patience *Patience = nullptr;
};

std::string whole(const std::string &Body, const std::string &Line = "X: y") {
  return "HTTP/1.1 200 OK\r\n" + Line +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

} // namespace

// Guards against a store or peer whose broken response is acted on, and against
// its rest, which would be the response to the next request.
TEST_CASE("a broken response is none, and the next request gets its own",
          "[edge]") {
  const std::string Head = "HTTP/1.1 200 OK\r\n";
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<scripted_response> Broken = {
      {"HTTP/1.1 000 OK\r\nContent-Length: 1\r\n\r\nx"},
      {"HTTP/1.1 600 OK\r\nContent-Length: 1\r\n\r\nx"},
      {"HTTP/1.1 101 Switching\r\n\r\n"},
      {"ICY 200 OK\r\nContent-Length: 1\r\n\r\nx"},
      {whole("x", "X Y: z")},
      {whole("x", "X: y\r\n Content-Length: 1")},
      {whole("x", "Content-Encoding: gzip")},
      {whole("x", "Transfer-Encoding: gzip")},
      {Head + "Transfer-Encoding: gzip\r\n\r\nx", after_response::Close},
      {Head + "\r\nx", after_response::Close},
      {Head + "\r\nx", after_response::Reset},
      {Head + "Content-Len", after_response::Close},
      {Head + "Content-Length: 2\r\n\r\nx", after_response::Close},
      {Chunked + "1\r\nx\r\n", after_response::Close},
      {Chunked + "1\r\nx\r\n0\r\n", after_response::Close},
      {Chunked + "zz\r\n\r\n"},
      {"", after_response::Close},
      {"", after_response::Reset}};
  for (const scripted_response &Response : Broken) {
    INFO(Response.Bytes);
    channel_fixture Fixture({Response, {whole("own")}});
    CHECK_FALSE(Fixture.request().has_value());
    CHECK(Fixture.request() == "own");
    CHECK(Fixture.Server.connectionCount() == 2);
  }
}

// Guards against an interim response that is taken for the response, and
// against a response that then goes to the next request.
TEST_CASE("a channel skips interim responses", "[edge]") {
  const std::string Interim = "HTTP/1.1 100 Continue\r\n\r\n"
                              "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  channel_fixture Fixture({{Interim + whole("first")}, {whole("second")}});
  CHECK(Fixture.request() == "first");
  CHECK(Fixture.request() == "second");
  CHECK(Fixture.Server.connectionCount() == 1);
}

// Guards against a second copy of a response that is taken for the response to
// a request that was sent later.
TEST_CASE("bytes that came before a request are no response to it", "[edge]") {
  channel_fixture Fixture({{whole("first")}, {whole("second")}});
  CHECK(Fixture.request() == "first");
  Fixture.Server.sendUnasked(whole("first"));
  CHECK(Fixture.request() == "second");
  CHECK(Fixture.Server.connectionCount() == 2);
}

TEST_CASE("a request without a response tells how far it had come", "[edge]") {
  SECTION("it was sent, and nothing came") {
    channel_fixture Fixture({});
    CHECK_FALSE(Fixture.request());
    REQUIRE(Fixture.Rest);
    CHECK(Fixture.Rest->Stage == channel_stage::Sent);
    CHECK_FALSE(Fixture.Rest->WasReady);
    CHECK(Fixture.Rest->UnacknowledgedBytes == 0);
  }
  SECTION("a part of the response came") {
    channel_fixture Fixture(
        {{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"}});
    CHECK_FALSE(Fixture.request());
    REQUIRE(Fixture.Rest);
    CHECK(Fixture.Rest->Stage == channel_stage::Receiving);
  }
  SECTION("there was a response") {
    channel_fixture Fixture({{whole("a")}});
    CHECK(Fixture.request() == "a");
    CHECK_FALSE(Fixture.Rest);
  }
}

// Guards against a measure that looks at timers: these are served in each turn
// of the event loop, so they hide that sockets wait.
TEST_CASE("the wait of a ready socket for the event loop is measured",
          "[edge]") {
  constexpr std::chrono::milliseconds StandstillMs(40);
  adapters::system_clock Clock;
  net::io_context Context;
  readiness_probe Probe(Context, Clock);
  Probe.tick();
  std::this_thread::sleep_for(StandstillMs);
  CHECK(Probe.takeLongestWait() >= StandstillMs.count());
  Context.poll();
  CHECK(Probe.takeLongestWait() >= StandstillMs.count());
  CHECK(Probe.takeLongestWait() == 0);
  Probe.tick();
  Context.poll();
  CHECK(Probe.takeLongestWait() < StandstillMs.count());
}

// Guards against an instance that gives up each answer which is late for its
// own fault, and asks again over the same full link.
TEST_CASE("a response is waited for while this instance holds it up",
          "[edge]") {
  class timed_patience final : public response_patience {
  public:
    bool isHeldUp() const override { return Clock.monotonic() < Until; }
    adapters::system_clock Clock;
    time_ms Until = Clock.monotonic() + 1'400;
  };
  timed_patience Patience;
  channel_fixture Fixture({});
  Fixture.Patience = &Patience;
  CHECK_FALSE(Fixture.request());
  CHECK(Fixture.ActiveMs >= 1'400);
  CHECK(Fixture.ActiveMs < 1'000 + channel_request::MaxPatienceMs);
}
