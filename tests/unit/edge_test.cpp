// HTTP towards servers and peers, over loopback and against scripted stores.
#include "fakes.hpp"

#include "tamarack/adapters.hpp"
#include "tamarack/edge.hpp"
#include "tamarack/peers.hpp"

#include <catch2/catch.hpp>

using namespace tamarack;
using namespace tamarack::edge;

namespace {

// Accepts connections; those before the first answering one stay silent.
class stubborn_server {
public:
  stubborn_server(net::io_context &Context, int SilentConnections)
      : Acceptor(Context, {net::ip::make_address("127.0.0.1"), 0}),
        Silent(SilentConnections) {
    accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }
  int Connections = 0;

private:
  struct line {
    explicit line(tcp::socket Socket) : Socket(std::move(Socket)) {}
    tcp::socket Socket;
    boost::beast::flat_buffer Buffer;
    request_message Request;
    response_message Response;
  };

  void accept() {
    Acceptor.async_accept([this](const error_code &Error, tcp::socket Socket) {
      if (Error)
        return;
      Lines.push_back(std::make_shared<line>(std::move(Socket)));
      if (++Connections > Silent)
        serve(Lines.back());
      accept();
    });
  }

  void serve(const std::shared_ptr<line> &Line) {
    Line->Request = {};
    http::async_read(Line->Socket, Line->Buffer, Line->Request,
                     [this, Line](const error_code &Error, std::size_t) {
                       if (Error)
                         return;
                       Line->Response = response_message(http::status::ok, 11);
                       Line->Response.body() = "answer";
                       Line->Response.prepare_payload();
                       http::async_write(
                           Line->Socket, Line->Response,
                           [this, Line](const error_code &, std::size_t) {
                             // From now on this connection is silent.
                             (void)this;
                           });
                     });
  }

  tcp::acceptor Acceptor;
  int Silent;
  std::vector<std::shared_ptr<line>> Lines;
};

channel_request requestOf(bool Repeatable) {
  channel_request Request;
  Request.Message = request_message(http::verb::get, "/x", 11);
  Request.InactivityTimeoutMs = 5'000;
  Request.Repeatable = Repeatable;
  Request.RetrySilenceMs = 20;
  return Request;
}

// Answers one request with Pieces bytes, one at a time with a pause between.
class dripping_server {
public:
  dripping_server(net::io_context &Context, int Pieces, int PauseMs)
      : Acceptor(Context, {net::ip::make_address("127.0.0.1"), 0}),
        Socket(Context), Timer(Context), Left(Pieces), PauseMs(PauseMs) {
    Acceptor.async_accept(Socket, [this](const error_code &Error) {
      if (Error)
        return;
      http::async_read(Socket, Buffer, Request,
                       [this](const error_code &, std::size_t) {
                         Text = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                std::to_string(Left) + "\r\n\r\n";
                         write();
                       });
    });
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

private:
  void write() {
    net::async_write(Socket, net::buffer(Text),
                     [this](const error_code &Error, std::size_t) {
                       if (Error || Left-- == 0)
                         return;
                       Text = "x";
                       Timer.expires_after(std::chrono::milliseconds(PauseMs));
                       Timer.async_wait([this](const error_code &Waited) {
                         if (!Waited)
                           write();
                       });
                     });
  }

  tcp::acceptor Acceptor;
  tcp::socket Socket;
  net::steady_timer Timer;
  boost::beast::flat_buffer Buffer;
  request_message Request;
  std::string Text;
  int Left;
  int PauseMs;
};

// Answers every call with one status, and counts.
class constant_store final : public keyed_store {
public:
  explicit constant_store(store_status Status) : Status(Status) {}
  void newest(store_topic, page_handler Handler) override { page(Handler); }
  void read(store_topic, std::uint64_t, int, page_handler Handler) override {
    page(Handler);
  }
  void appendAs(store_topic, const store_writer &, std::string_view,
                std::string_view, append_handler Handler) override {
    ++Calls;
    Handler(Status);
  }
  void fence(store_topic, const store_writer &,
             append_handler Handler) override {
    ++Calls;
    Handler(Status);
  }

  store_status Status;
  int Calls = 0;

private:
  void page(const page_handler &Handler) {
    ++Calls;
    keyed_page Page;
    Page.Status = Status;
    Handler(std::move(Page));
  }
};

class noting_path final : public peers::store_path_listener {
public:
  void onPathChanged(bool) override { ++Changes; }
  int Changes = 0;
};

// An instance that reaches the store only through another one.
struct peer_fixture {
  explicit peer_fixture(store_status Mine, store_status Theirs)
      : Direct(Mine), Helpers(Theirs),
        HelperStore(Context, Helpers, [] { return std::vector<std::string>(); },
                    Clock, Random, Path, {}),
        Service(Helpers, HelperStore),
        Server(Context,
               [this](const request_message &Request,
                      const respond_callback &Respond) {
                 Service.serve(Request, Respond);
               }),
        Store(Context, Direct,
              [this] { return std::vector<std::string>{Address}; }, Clock,
              Random, Path, {}) {
    tcp::acceptor Free(Context, {net::ip::make_address("127.0.0.1"), 0});
    Address = "127.0.0.1:" + std::to_string(Free.local_endpoint().port());
    Free.close();
    Server.listen(parseAddress(Address));
  }

  store_status append() {
    std::optional<store_status> Outcome;
    Store.appendAs(store_topic::Grants, {"w", 1, 7}, "k", "v",
                   [&Outcome](store_status Status) { Outcome = Status; });
    while (!Outcome)
      Context.run_one();
    return *Outcome;
  }
  store_status read() {
    std::optional<store_status> Outcome;
    Store.read(store_topic::Grants, 7, 0,
               [&Outcome](const keyed_page &Page) { Outcome = Page.Status; });
    while (!Outcome)
      Context.run_one();
    return *Outcome;
  }

  net::io_context Context;
  adapters::system_clock Clock;
  tests::seeded_random Random{1};
  noting_path Path;
  std::string Address;
  constant_store Direct;
  constant_store Helpers;
  peers::failover_store HelperStore;
  peers::peer_store_service Service;
  simple_http_server Server;
  peers::failover_store Store;
};

} // namespace

TEST_CASE("a request goes out again when a kept connection is silent",
          "[edge]") {
  net::io_context Context;
  stubborn_server Server(Context, 0);
  const std::shared_ptr<http_channel> Channel =
      std::make_shared<http_channel>(Context, Server.address());
  int Answers = 0;
  const response_handler Count =
      [&Answers](const std::optional<response_message> &Response) {
        REQUIRE(Response);
        ++Answers;
      };
  Channel->request(requestOf(true), Count);
  while (Answers < 1)
    Context.run_one();
  // The server answers once on each connection.
  Channel->request(requestOf(true), Count);
  while (Answers < 2)
    Context.run_one();
  CHECK(Server.Connections == 2);
}

// The pattern: a large answer of the store over a slow link.
TEST_CASE("an answer that keeps coming is waited for", "[edge]") {
  constexpr int Pieces = 8;
  constexpr int PauseMs = 200;
  net::io_context Context;
  dripping_server Server(Context, Pieces, PauseMs);
  const std::shared_ptr<http_channel> Channel =
      std::make_shared<http_channel>(Context, Server.address());
  channel_request Request = requestOf(true);
  Request.InactivityTimeoutMs =
      Pieces * PauseMs * 3 / 4; // Less than the whole takes.
  std::optional<std::size_t> Size;
  Channel->request(std::move(Request),
                   [&Size](const std::optional<response_message> &Response) {
                     Size = Response ? Response->body().size() : 0;
                   });
  while (!Size)
    Context.run_one();
  CHECK(*Size == Pieces);
}

// The pattern: the store takes a request slowly, and the time limit passes
// while a part of it has just gone out. Memory checkers see what is left over.
TEST_CASE("a request may end while it is being written", "[edge]") {
  constexpr std::size_t Large = 32u << 20; // Bytes; more than sockets buffer.
  for (int Round = 0; Round < 20; ++Round) {
    net::io_context Context;
    tcp::acceptor Acceptor(Context, {net::ip::make_address("127.0.0.1"), 0});
    tcp::socket Slow(Context);
    std::vector<char> Bytes(256 * 1024);
    std::function<void()> Read = [&] {
      Slow.async_read_some(net::buffer(Bytes),
                           [&](const error_code &Error, std::size_t) {
                             if (!Error)
                               Read();
                           });
    };
    Acceptor.async_accept(Slow, [&](const error_code &Error) {
      if (!Error)
        Read();
    });
    const std::shared_ptr<http_channel> Channel =
        std::make_shared<http_channel>(
            Context,
            "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port()));
    channel_request Request = requestOf(false);
    Request.Message.body().assign(Large, 'x');
    Request.InactivityTimeoutMs = Round;
    bool Ended = false;
    Channel->request(std::move(Request),
                     [&Ended](const std::optional<response_message> &Response) {
                       CHECK_FALSE(Response);
                       Ended = true;
                     });
    while (!Ended)
      Context.run_one();
    Slow.close();
    Acceptor.close();
    Context.run(); // What was under way ends.
  }
}

TEST_CASE("a request that may not go out twice waits to its end", "[edge]") {
  net::io_context Context;
  stubborn_server Server(Context, 1);
  const std::shared_ptr<http_channel> Channel =
      std::make_shared<http_channel>(Context, Server.address());
  channel_request Request = requestOf(false);
  Request.InactivityTimeoutMs = 50;
  bool Ended = false;
  Channel->request(std::move(Request),
                   [&Ended](const std::optional<response_message> &Response) {
                     CHECK_FALSE(Response);
                     Ended = true;
                   });
  while (!Ended)
    Context.run_one();
  CHECK(Server.Connections == 1);
}

TEST_CASE("a store out of reach is reached through a peer", "[peers]") {
  peer_fixture Fixture(store_status::Refused, store_status::Ok);
  CHECK(Fixture.read() == store_status::Ok);
  CHECK(Fixture.append() == store_status::Ok);
  CHECK(Fixture.Store.peerCallCount() == 2);
  CHECK_FALSE(Fixture.Store.isDirectPathActive());
  CHECK(Fixture.Path.Changes == 1);
}

TEST_CASE("a conflict after an uncertain attempt is uncertain", "[peers]") {
  peer_fixture Uncertain(store_status::Unavailable, store_status::Conflict);
  CHECK(Uncertain.append() == store_status::Unavailable);
  peer_fixture Certain(store_status::Refused, store_status::Conflict);
  CHECK(Certain.append() == store_status::Conflict);
}

TEST_CASE("a peer that can't help says so, and the store is asked again",
          "[peers]") {
  peer_fixture Fixture(store_status::Refused, store_status::Ok);
  REQUIRE(Fixture.read() == store_status::Ok);
  // Now the helper has lost the store, and this instance has it back.
  Fixture.Helpers.Status = store_status::Refused;
  Fixture.Direct.Status = store_status::Ok;
  CHECK(Fixture.read() == store_status::Ok);
}

TEST_CASE("a peer that does not reach the store itself refuses at once",
          "[peers]") {
  peer_fixture Fixture(store_status::Refused, store_status::Refused);
  // The helper finds out that it has lost the store.
  Fixture.HelperStore.read(store_topic::Grants, 0, 0,
                           [](const keyed_page &) {});
  const int Calls = Fixture.Helpers.Calls;
  CHECK(Fixture.append() == store_status::Refused);
  CHECK(Fixture.Helpers.Calls == Calls);
}

TEST_CASE("addresses are numeric", "[edge]") {
  CHECK(parseAddress("10.0.0.1:80").port() == 80);
  for (const char *Wrong : {"", "10.0.0.1", "host:80", "10.0.0.1:0",
                            "10.0.0.1:70000", "10.0.0.1:80x"})
    CHECK_THROWS_AS(parseAddress(Wrong), std::invalid_argument);
}
