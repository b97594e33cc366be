// Responses of faulty endpoints, over loopback.
#include "endpoint_attempt.hpp"
#include "sockets.hpp"

#include "tamarack/adapters.hpp"

#include <catch2/catch.hpp>

#include <ctime>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>

using namespace tamarack;
using namespace tamarack::edge;

namespace {

// Bytes after which a server that sends without end stops and stays silent.
constexpr std::size_t MaxServedBytes = 32u << 20;
// Longest run of a test. An attempt that has not ended by then waits forever.
constexpr std::chrono::seconds MaxRun(2);

enum class server_end { Silence, Close, Reset };

// Sends Begin and then Repeated without end, or ends as Last says if there is
// nothing to repeat.
struct response_script {
  std::string Begin;
  std::string Repeated;
  server_end Last = server_end::Silence;
};

// Sends one scripted response to the first bytes of a request.
class scripted_server {
public:
  scripted_server(net::io_context &Context, response_script Script)
      : Acceptor(Context, {net::ip::make_address("127.0.0.1"), 0}),
        Socket(Context), Script(std::move(Script)) {
    Acceptor.async_accept(Socket, [this](const error_code &Error) {
      if (!Error)
        readRequest();
    });
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

private:
  void readRequest() {
    Socket.async_read_some(net::buffer(RequestBytes),
                           [this](const error_code &Error, std::size_t) {
                             if (!Error)
                               write(Script.Begin);
                           });
  }
  void write(const std::string &Bytes) {
    net::async_write(Socket, net::buffer(Bytes),
                     [this](const error_code &Error, std::size_t Count) {
                       ServedBytes += Count;
                       if (!Error)
                         continueResponse();
                     });
  }
  void continueResponse() {
    if (!Script.Repeated.empty() && ServedBytes < MaxServedBytes)
      return write(Script.Repeated);
    if (Script.Last == server_end::Silence)
      return;
    if (Script.Last == server_end::Reset)
      Socket.set_option(net::socket_base::linger(true, 0));
    Socket.close();
  }

  tcp::acceptor Acceptor;
  tcp::socket Socket;
  response_script Script;
  std::array<char, 4096> RequestBytes;
  std::size_t ServedBytes = 0;
};

// Attempt-Id tells which request a response belongs to.
class attempt_id_codec final : public exchange_codec {
public:
  decoded_request decodeRequest(request_message, time_ms) override {
    return {};
  }
  void prepareAttempt(const relay::call &, const relay::endpoint_choice &,
                      const relay::send_options &, time_ms,
                      request_message &) override {}
  response_match matchResponse(const relay::call &Call,
                               const response_fields &Fields) override {
    if (Fields.result_int() >= 400 && Fields.count("Attempt-Id") == 0)
      return response_match::Unmarked;
    return Fields["Attempt-Id"] == Call.Id ? response_match::Own
                                           : response_match::Other;
  }
  relay::response_head
  decodeResponseHead(const response_fields &Fields) override {
    relay::response_head Head;
    Head.Status = static_cast<int>(Fields.result_int());
    return Head;
  }
  void recordEndpointState(const relay::endpoint_choice &,
                           const response_fields &, time_ms) override {}
  response_message makeErrorResponse(relay::error_kind, int,
                                     std::string_view) override {
    return {};
  }
};

enum class attempt_end { None, Unreached, Withdrawn, Complete, Broken };

class recording_listener final : public attempt_listener {
public:
  void onUnreached(const endpoint_attempt *) override {
    End = attempt_end::Unreached;
  }
  bool maySend(const endpoint_attempt *, time_ms At) override {
    ConnectedAt = At;
    return MaySend;
  }
  void onWithdrawn(const endpoint_attempt *) override {
    End = attempt_end::Withdrawn;
  }
  bool mayDeliver(const endpoint_attempt *, time_ms) override {
    return MayDeliver;
  }
  void onHead(const endpoint_attempt *, relay::response_head Head) override {
    Status = Head.Status;
    HeadConnectedAt = Head.ConnectedAt;
  }
  void onBody(const endpoint_attempt *, std::string_view Bytes) override {
    Body.append(Bytes);
  }
  void onEnd(const endpoint_attempt *) override { End = attempt_end::Complete; }
  void onBroken(const endpoint_attempt *) override {
    End = attempt_end::Broken;
  }
  bool canAcceptBody() override { return true; }

  bool MaySend = true;
  bool MayDeliver = true;
  attempt_end End = attempt_end::None;
  int Status = 0;
  time_ms ConnectedAt = 0;     // As of maySend.
  time_ms HeadConnectedAt = 0; // As of the head.
  std::string Body;
};

// One attempt of the call "a" at a scripted_server.
struct attempt_fixture {
  explicit attempt_fixture(response_script Script)
      : Server(Context, std::move(Script)), Pool(Context, Clock, {}) {
    relay::call Call;
    Call.Id = "a";
    request_message Request(http::verb::get, "/x", 11);
    Request.set(http::field::host, "h");
    Attempt = std::make_shared<endpoint_attempt>(
        Context, Clock, Pool, Codec, Listener, Memory, Call,
        relay::endpoint_choice{"e", Server.address()}, std::move(Request));
    Attempt->start(false);
  }

  attempt_end run() {
    const std::chrono::steady_clock::time_point Until =
        std::chrono::steady_clock::now() + MaxRun;
    while (Listener.End == attempt_end::None &&
           std::chrono::steady_clock::now() < Until)
      Context.run_one_for(std::chrono::milliseconds(50));
    return Listener.End;
  }

  memory::memory_budget Memory{16u << 20};
  net::io_context Context;
  adapters::system_clock Clock;
  scripted_server Server;
  connection_pool Pool;
  attempt_id_codec Codec;
  recording_listener Listener;
  std::shared_ptr<endpoint_attempt> Attempt;
};

const std::string ChunkedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";
const std::string UnframedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n\r\n";

} // namespace

// Guards against a head that an attempt buffers without limit.
TEST_CASE("a head without end breaks the attempt", "[edge]") {
  const std::string Padding(64 * 1024, 'x');
  CHECK(attempt_fixture({"HTTP/1.1 200 OK\r\nX: ", Padding}).run() ==
        attempt_end::Broken);
  CHECK(attempt_fixture({"", Padding}).run() == attempt_end::Broken);
}

// Guards against a chunk extension or trailer that an attempt buffers without
// limit.
TEST_CASE("a chunk extension or a trailer without end breaks the attempt",
          "[edge]") {
  const std::string Padding(64 * 1024, 'x');
  CHECK(attempt_fixture({ChunkedHead + "1;", Padding}).run() ==
        attempt_end::Broken);
  CHECK(attempt_fixture({ChunkedHead + "0\r\nX: ", Padding}).run() ==
        attempt_end::Broken);
}

// Guards against a field that the library throws for, which ended the process.
TEST_CASE("a field of any size in a response ends no process", "[edge]") {
  const std::size_t Size =
      GENERATE(100u, 16'000u, 61'000u, 63'400u, 64'000u, 65'540u, 130'000u);
  const std::string Field = "X: " + std::string(Size, 'x') + "\r\n\r\n";
  attempt_fixture InHead({"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n"
                          "Content-Length: 4\r\n" +
                              Field + "body",
                          ""});
  CHECK(InHead.run() ==
        (Size <= 63'400 ? attempt_end::Complete : attempt_end::Broken));
  attempt_fixture InTrailer({ChunkedHead + "4\r\nbody\r\n0\r\n" + Field, ""});
  CHECK(InTrailer.run() ==
        (Size <= 16'000 ? attempt_end::Complete : attempt_end::Broken));
}

// Guards against interim responses that are read until the call's deadline.
TEST_CASE("interim responses without end break the attempt", "[edge]") {
  CHECK(attempt_fixture({"", "HTTP/1.1 102 Processing\r\n\r\n"}).run() ==
        attempt_end::Broken);
}

// Guards against a limit that breaks off an endpoint that reports progress.
TEST_CASE("a few interim responses precede a response", "[edge]") {
  std::string Begin;
  for (int Count = 0; Count < 20; ++Count)
    Begin += "HTTP/1.1 102 Processing\r\n\r\n";
  attempt_fixture Fixture(
      {Begin + UnframedHead + "body", "", server_end::Close});
  CHECK(Fixture.run() == attempt_end::Complete);
  CHECK(Fixture.Listener.Body == "body");
}

// Guards against an extra response that is skipped until the call's deadline.
TEST_CASE("an extra response without end breaks the attempt", "[edge]") {
  const std::string Chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
  CHECK(attempt_fixture({"HTTP/1.1 200 OK\r\nAttempt-Id: b\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n",
                         Chunk})
            .run() == attempt_end::Broken);
}

// Guards against a limit that breaks the response behind a large extra one.
TEST_CASE("a large extra response is skipped", "[edge]") {
  const std::string Extra(1u << 20, 'x');
  attempt_fixture Fixture(
      {"HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nContent-Length: " +
           std::to_string(Extra.size()) + "\r\n\r\n" + Extra +
           "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 4\r\n\r\nbody",
       ""});
  CHECK(Fixture.run() == attempt_end::Complete);
  CHECK(Fixture.Listener.Body == "body");
}

// Guards against a response that ends early and looks complete.
TEST_CASE("a response without length or chunks ends with its connection",
          "[edge]") {
  attempt_fixture Closed({UnframedHead + "id: 1\n\n", "", server_end::Close});
  CHECK(Closed.run() == attempt_end::Complete);
  CHECK(Closed.Listener.Body == "id: 1\n\n");
  CHECK(attempt_fixture({UnframedHead + "id: 1\n\n", "", server_end::Reset})
            .run() == attempt_end::Broken);
  CHECK(attempt_fixture(
            {ChunkedHead + "7\r\nid: 1\n\n\r\n", "", server_end::Close})
            .run() == attempt_end::Broken);
}

// Guards against a request that goes out although its endpoint may not get it
// any more when the connection is ready.
TEST_CASE("a request that may not be sent any more is withdrawn", "[edge]") {
  attempt_fixture Fixture({UnframedHead, "", server_end::Close});
  Fixture.Listener.MaySend = false;
  CHECK(Fixture.run() == attempt_end::Withdrawn);
  CHECK(Fixture.Listener.Status == 0);
  CHECK(Fixture.Pool.idleCount() == 0);
}

// Guards against a late copy of "not run" that names no request and is taken
// for the response to the next one, which then runs twice.
TEST_CASE("a connection with a response to no named request is not reused",
          "[edge]") {
  const std::string Rest = "Content-Length: 2\r\n\r\n{}";
  attempt_fixture Unmarked({"HTTP/1.1 500 Error\r\n" + Rest, ""});
  CHECK(Unmarked.run() == attempt_end::Complete);
  CHECK(Unmarked.Pool.idleCount() == 0);
  attempt_fixture Marked(
      {"HTTP/1.1 500 Error\r\nAttempt-Id: a\r\n" + Rest, ""});
  CHECK(Marked.run() == attempt_end::Complete);
  CHECK(Marked.Pool.idleCount() == 1);
}

// Guards against a request on a connection that its endpoint closes at once.
TEST_CASE("a connection that is kept for no time is not reused", "[edge]") {
  const auto IdleAfter = [](const std::string &KeepAlive) {
    attempt_fixture Fixture(
        {"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 0\r\n" +
             KeepAlive + "\r\n",
         ""});
    CHECK(Fixture.run() == attempt_end::Complete);
    return Fixture.Pool.idleCount();
  };
  CHECK(IdleAfter("") == 1);
  CHECK(IdleAfter("Keep-Alive: max=5\r\n") == 1);
  CHECK(IdleAfter("Keep-Alive: timeout=5\r\n") == 1);
  CHECK(IdleAfter("Keep-Alive: timeout=2000000000\r\n") == 1);
  CHECK(IdleAfter("Keep-Alive: timeout=1\r\n") == 0);
  CHECK(IdleAfter("Keep-Alive: timeout=0\r\n") == 0);
  CHECK(IdleAfter("Keep-Alive: timeout=-3\r\n") == 0);
}

namespace {

// An attempt at an endpoint that takes nothing of its request.
struct untaken_fixture {
  untaken_fixture() : Pool(Context, Clock, {}), Acceptor(Context) {
    openAcceptor(Acceptor, {net::ip::make_address("127.0.0.1"), 0});
    setReceiveBuffer(Acceptor.native_handle(), 4'096);
    request_message Request(http::verb::post, "/x", 11);
    Request.body().assign(8u << 20,
                          'x'); // More than the buffers of sockets hold.
    Request.prepare_payload();
    relay::call Call;
    Call.Id = "a";
    Attempt = std::make_shared<endpoint_attempt>(
        Context, Clock, Pool, Codec, Listener, Memory, Call,
        relay::endpoint_choice{
            "e",
            "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port())},
        std::move(Request));
  }

  // Runs the attempt to its end; returns how long that took, in ms.
  time_ms run() {
    const time_ms Begin = Clock.monotonic();
    Attempt->start(false);
    while (Listener.End == attempt_end::None &&
           Clock.monotonic() < Begin + 10'000)
      Context.run_one_for(std::chrono::milliseconds(50));
    return Clock.monotonic() - Begin;
  }

  net::io_context Context;
  adapters::system_clock Clock;
  memory::memory_budget Memory{16u << 20};
  connection_pool Pool;
  attempt_id_codec Codec;
  recording_listener Listener;
  tcp::acceptor Acceptor;
  std::shared_ptr<endpoint_attempt> Attempt;
};

} // namespace

// Guards against a request that its endpoint gets long after another one has
// answered it: the kernel ends a connection over a path that has gone silent,
// but what it has sent may still be on its way.
TEST_CASE("a request that is not taken is given up before the kernel does",
          "[edge]") {
  untaken_fixture Fixture;
  Fixture.run();
  REQUIRE(Fixture.Listener.End == attempt_end::Broken);
  REQUIRE(Fixture.Attempt->dropped());
  CHECK(Fixture.Attempt->dropped()->UnacknowledgedBytes > 0);
  CHECK(Fixture.Attempt->dropped()->Error.empty());
}

// Guards against a request that is on its way for seconds to an endpoint that
// has begun to leave.
TEST_CASE("a request that is not taken is given up as its endpoint leaves",
          "[edge]") {
  constexpr time_ms UsualMs = 2'000; // For which it is kept otherwise.
  untaken_fixture Fixture;
  Fixture.Listener.MayDeliver = false;
  CHECK(Fixture.run() < UsualMs);
  CHECK(Fixture.Listener.End == attempt_end::Broken);
}

// Guards against probes that end a connection on which a request is on its way:
// TCP_USER_TIMEOUT decides when they give up, whatever their count.
TEST_CASE("a connection to an endpoint is probed only on demand", "[edge]") {
  net::io_context Context;
  adapters::system_clock Clock;
  connection_pool Pool(Context, Clock, {});
  tcp::acceptor Acceptor(Context);
  openAcceptor(Acceptor, {net::ip::make_address("127.0.0.1"), 0});
  const std::shared_ptr<endpoint_connection> Connection =
      Pool.createConnection("127.0.0.1:1");
  Connection->Socket.connect(Acceptor.local_endpoint());
  Connection->onConnected(0);
  const auto OptionOf = [&Connection](int Level, int Name) {
    int Value = -1;
    socklen_t Size = sizeof Value;
    ::getsockopt(Connection->Socket.native_handle(), Level, Name, &Value,
                 &Size);
    return Value;
  };
  CHECK(OptionOf(IPPROTO_TCP, TCP_USER_TIMEOUT) ==
        Pool.settings().TcpUserTimeoutMs);
  CHECK(OptionOf(SOL_SOCKET, SO_KEEPALIVE) == 0);
  Connection->startProbing();
  CHECK(OptionOf(SOL_SOCKET, SO_KEEPALIVE) == 1);
  // What the probes wait for must not outlast the user timeout.
  CHECK(1'000 * OptionOf(IPPROTO_TCP, TCP_KEEPIDLE) +
            1'000 * OptionOf(IPPROTO_TCP, TCP_KEEPINTVL) <=
        Pool.settings().TcpUserTimeoutMs);
}

TEST_CASE("a head tells when its connection was opened", "[edge]") {
  attempt_fixture Fixture({UnframedHead, "", server_end::Close});
  const time_ms Before = Fixture.Clock.sinceBoot();
  REQUIRE(Fixture.run() == attempt_end::Complete);
  CHECK(Fixture.Listener.HeadConnectedAt >= Before);
  CHECK(Fixture.Listener.HeadConnectedAt == Fixture.Listener.ConnectedAt);
}

namespace {

// Responds to each request with its body, on any number of connections. Further
// requests of a connection are first answered with Extra or, if that is empty,
// with a copy of the response to the one before.
class copying_server {
public:
  explicit copying_server(net::io_context &Context, std::string Extra = {})
      : Extra(std::move(Extra)),
        Acceptor(Context, {net::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

private:
  struct connection {
    explicit connection(tcp::socket Socket) : Socket(std::move(Socket)) {}
    tcp::socket Socket;
    boost::beast::flat_buffer Buffer;
    request_message Request;
    std::string Former; // What precedes the next response.
    std::string Response;
  };

  void accept() {
    Acceptor.async_accept([this](const error_code &Error, tcp::socket Socket) {
      if (Error)
        return;
      serve(std::make_shared<connection>(std::move(Socket)));
      accept();
    });
  }
  void serve(const std::shared_ptr<connection> &Connection) {
    Connection->Request = {};
    http::async_read(Connection->Socket, Connection->Buffer,
                     Connection->Request,
                     [this, Connection](const error_code &Error, std::size_t) {
                       if (!Error)
                         respond(Connection);
                     });
  }
  void respond(const std::shared_ptr<connection> &Connection) {
    const std::string &Body = Connection->Request.body();
    Connection->Response =
        Connection->Former + "HTTP/1.1 200 OK\r\nAttempt-Id: " +
        std::string(Connection->Request["Attempt-Id"]) +
        "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
        Body;
    Connection->Former = Extra.empty() ? Connection->Response : Extra;
    net::async_write(Connection->Socket, net::buffer(Connection->Response),
                     [this, Connection](const error_code &Error, std::size_t) {
                       if (!Error)
                         serve(Connection);
                     });
  }

  std::string Extra;
  tcp::acceptor Acceptor;
};

// Sends one request after the other to a server, on kept connections.
struct repeated_fixture {
  explicit repeated_fixture(std::string Extra = {})
      : Pool(Context, Clock, {}), Server(Context, std::move(Extra)) {}

  recording_listener fetch(const std::string &Id, const std::string &Body) {
    recording_listener Listener;
    relay::call Call;
    Call.Id = Id;
    request_message Request(http::verb::post, "/x", 11);
    Request.set("Attempt-Id", Id);
    Request.body() = Body;
    Request.prepare_payload();
    const std::shared_ptr<endpoint_attempt> Attempt =
        std::make_shared<endpoint_attempt>(
            Context, Clock, Pool, Codec, Listener, Memory, Call,
            relay::endpoint_choice{"e", Server.address()}, std::move(Request));
    Attempt->start(false);
    while (Listener.End == attempt_end::None)
      Context.run_one_for(std::chrono::milliseconds(50));
    return Listener;
  }

  memory::memory_budget Memory{16u << 20};
  net::io_context Context;
  adapters::system_clock Clock;
  connection_pool Pool;
  attempt_id_codec Codec;
  copying_server Server;
};

} // namespace

// Guards against a late copy of a response that a later caller gets for its
// own, because both callers chose the same id for their requests.
TEST_CASE("a late copy of a response never reaches another caller", "[edge]") {
  repeated_fixture Fixture;
  CHECK(Fixture.fetch("a", "of the first caller").Body ==
        "of the first caller");
  CHECK(Fixture.fetch(GENERATE("a", "b"), "of the second").Body ==
        "of the second");
}

// Guards against a refusal that is written once more and taken for the one of
// the next request, which is then told that it has not run, or runs twice.
TEST_CASE("an unmarked response on a kept connection is no answer", "[edge]") {
  const std::string Rest = "Not-Executed: 1\r\nContent-Length: 2\r\n\r\n{}";
  SECTION("it names no request") {
    repeated_fixture Fixture("HTTP/1.1 503 Busy\r\n" + Rest);
    CHECK(Fixture.fetch("a", "x").End == attempt_end::Complete);
    const recording_listener Second = Fixture.fetch("b", "y");
    CHECK(Second.End == attempt_end::Broken);
    CHECK(Second.Status == 0);
    CHECK(Fixture.Pool.idleCount() == 0);
  }
  SECTION("it names another one") {
    repeated_fixture Fixture("HTTP/1.1 503 Busy\r\nAttempt-Id: z\r\n" + Rest);
    CHECK(Fixture.fetch("a", "x").End == attempt_end::Complete);
    CHECK(Fixture.fetch("b", "y").Body == "y");
  }
}

// Guards against idle connections that keep the buffer of a large head.
TEST_CASE("an idle connection keeps no buffer", "[edge]") {
  attempt_fixture Fixture(
      {"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nX: " + std::string(60'000, 'x') +
           "\r\nContent-Length: 0\r\n\r\n",
       ""});
  REQUIRE(Fixture.run() == attempt_end::Complete);
  const std::shared_ptr<endpoint_connection> Idle =
      Fixture.Pool.acquireIdle(Fixture.Server.address(), false);
  REQUIRE(Idle);
  CHECK(Idle->Buffer.capacity() == 0);
}

// Guards against waiting for the end of a head that can't be one.
TEST_CASE("bytes that are no response break the attempt at once", "[edge]") {
  CHECK(attempt_fixture({"garbage", ""}).run() == attempt_end::Broken);
  CHECK(attempt_fixture({"HTTQ", ""}).run() == attempt_end::Broken);
}

// Guards against a search of the whole incomplete event for every byte of it,
// which would occupy the thread of the instance for many seconds.
TEST_CASE("the cost of an event grows linearly with its length", "[relay]") {
  constexpr int EventBytes = 512 * 1024;
  constexpr std::clock_t MaxSeconds = 1;
  relay::event_stream_parser Parser;
  const std::clock_t Begin = std::clock();
  for (int Count = 0; Count < EventBytes; ++Count) {
    Parser.push("x");
    REQUIRE_FALSE(Parser.next());
  }
  CHECK(std::clock() - Begin < MaxSeconds * CLOCKS_PER_SEC);
  Parser.push("\n\n");
  CHECK(Parser.next()->Raw.size() == EventBytes + 2);
}

// Guards against events that are split at other places if they arrive in parts.
TEST_CASE("events are the same however their bytes arrive", "[relay]") {
  const std::string Stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
                             "\n\ndata: c\n\r\n\ndata: d\r\n\n\r\n\r\nid: 3";
  const std::vector<std::string> Expected = {"id: 1\ndata: a\n\n",
                                             "id: 2\r\ndata: b\r\n\r\n",
                                             "\n\n",
                                             "data: c\n\r\n\n",
                                             "data: d\r\n\n",
                                             "\r\n\r\n"};
  for (std::size_t PartBytes = 1; PartBytes <= Stream.size(); ++PartBytes) {
    relay::event_stream_parser Parser;
    std::vector<std::string> Events;
    for (std::size_t At = 0; At < Stream.size(); At += PartBytes) {
      Parser.push(std::string_view(Stream).substr(At, PartBytes));
      while (std::optional<relay::stream_event> Event = Parser.next())
        Events.push_back(Event->Raw);
    }
    CHECK(Events == Expected);
    CHECK(Parser.pending() == 5);
  }
}

// Guards against a chunk extension that a channel buffers without limit, and
// against a trailer that the library throws for, which ended the process.
TEST_CASE("a chunk extension without end breaks a request on a channel",
          "[edge]") {
  net::io_context Context;
  const std::string Padding(64 * 1024, 'x');
  const response_script Script =
      GENERATE_COPY(response_script{ChunkedHead + "1;", Padding},
                    response_script{ChunkedHead + "0\r\nX: " + Padding +
                                        Padding.substr(100) + "\r\n\r\n",
                                    ""});
  scripted_server Server(Context, Script);
  const std::shared_ptr<http_channel> Channel =
      std::make_shared<http_channel>(Context, Server.address());
  channel_request Request;
  Request.Message = request_message(http::verb::get, "/x", 11);
  Request.InactivityTimeoutMs = 10'000;
  bool IsFinished = false;
  Channel->request(
      std::move(Request),
      [&IsFinished](const std::optional<response_message> &Response,
                    const channel_timing &) {
        IsFinished = true;
        CHECK_FALSE(Response);
      });
  const std::chrono::steady_clock::time_point Until =
      std::chrono::steady_clock::now() + MaxRun;
  while (!IsFinished && std::chrono::steady_clock::now() < Until)
    Context.run_one_for(std::chrono::milliseconds(50));
  CHECK(IsFinished);
}

TEST_CASE("a fetched response tells whether its connection was used before",
          "[edge]") {
  net::io_context Context;
  copying_server Server(Context);
  std::thread ServerThread([&Context] { Context.run(); });
  adapters::http_client Client;
  const auto IsFirst = [&Client, &Server](bool FreshConnection) {
    endpoint_request Request;
    Request.FreshConnection = FreshConnection;
    const std::unique_ptr<response_source> Source =
        Client.send("http://" + Server.address(), Request);
    std::array<char, 64> Buffer;
    while (Source->read(Buffer) > 0) {
    }
    return Source->isFirstOnConnection();
  };
  CHECK(IsFirst(false));
  CHECK_FALSE(IsFirst(false));
  CHECK(IsFirst(true));
  Context.stop();
  ServerThread.join();
}

// Guards against a response that fills the memory of the instance.
TEST_CASE("a fetched body without end breaks the fetch", "[edge]") {
  net::io_context Context;
  scripted_server Server(
      Context, {ChunkedHead, "1000\r\n" + std::string(4096, 'x') + "\r\n"});
  std::thread ServerThread([&Context] { Context.run(); });
  adapters::http_client Client;
  endpoint_request Request;
  Request.Method = "GET";
  Request.ReadTimeoutMs = 1'000;
  std::string Failure;
  try {
    adapters::fetch(Client, "http://" + Server.address(), Request);
  } catch (const endpoint_disconnected &Error) {
    Failure = Error.what();
  }
  Context.stop();
  ServerThread.join();
  CHECK(Failure == "the body is too large");
}
