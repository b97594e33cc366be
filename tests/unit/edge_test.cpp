// HTTP channels and calls through peers, over loopback and with fake stores.
#include "fakes.hpp"

#include "tamarack/adapters.hpp"
#include "tamarack/edge.hpp"
#include "tamarack/peers.hpp"

#include <catch2/catch.hpp>

#include <thread>

using namespace tamarack;
using namespace tamarack::edge;

namespace {

// The first SilentConnections connections get no response. Every later one gets
// one response and then stays silent.
class one_response_server {
public:
  one_response_server(net::io_context &Context, int SilentConnections)
      : Acceptor(Context, {net::ip::make_address("127.0.0.1"), 0}),
        SilentConnections(SilentConnections) {
    accept();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }
  int Connections = 0;

private:
  struct server_session {
    explicit server_session(tcp::socket Socket) : Socket(std::move(Socket)) {}
    tcp::socket Socket;
    boost::beast::flat_buffer Buffer;
    request_message Request;
    response_message Response;
  };

  void accept() {
    Acceptor.async_accept([this](const error_code &Error, tcp::socket Socket) {
      if (Error)
        return;
      Sessions.push_back(std::make_shared<server_session>(std::move(Socket)));
      if (++Connections > SilentConnections)
        serve(Sessions.back());
      accept();
    });
  }

  void serve(const std::shared_ptr<server_session> &Session) {
    Session->Request = {};
    http::async_read(
        Session->Socket, Session->Buffer, Session->Request,
        [this, Session](const error_code &Error, std::size_t) {
          if (Error)
            return;
          Session->Response = response_message(http::status::ok, 11);
          Session->Response.body() = "answer";
          Session->Response.prepare_payload();
          http::async_write(Session->Socket, Session->Response,
                            [this, Session](const error_code &, std::size_t) {
                              // Nothing more is read on this connection.
                              (void)this;
                            });
        });
  }

  tcp::acceptor Acceptor;
  int SilentConnections;
  std::vector<std::shared_ptr<server_session>> Sessions;
};

channel_request makeRequest(bool Repeatable) {
  channel_request Request;
  Request.Message = request_message(http::verb::get, "/x", 11);
  Request.InactivityTimeoutMs = 5'000;
  Request.Repeatable = Repeatable;
  Request.RetrySilenceMs = 20;
  return Request;
}

// Sends a response of Chunks bytes to one request, one byte at a time, PauseMs
// apart.
class slow_chunk_server {
public:
  slow_chunk_server(net::io_context &Context, int Chunks, int PauseMs)
      : Acceptor(Context, {net::ip::make_address("127.0.0.1"), 0}),
        Socket(Context), Timer(Context), RemainingChunks(Chunks),
        PauseMs(PauseMs) {
    Acceptor.async_accept(Socket, [this](const error_code &Error) {
      if (Error)
        return;
      http::async_read(
          Socket, Buffer, Request, [this](const error_code &, std::size_t) {
            OutputBytes = "HTTP/1.1 200 OK\r\nContent-Length: " +
                          std::to_string(RemainingChunks) + "\r\n\r\n";
            write();
          });
    });
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

private:
  void write() {
    net::async_write(Socket, net::buffer(OutputBytes),
                     [this](const error_code &Error, std::size_t) {
                       if (Error || RemainingChunks-- == 0)
                         return;
                       OutputBytes = "x";
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
  std::string OutputBytes;
  int RemainingChunks;
  int PauseMs;
};

// Responds to every call with Status and counts the calls.
class fixed_status_store final : public keyed_store {
public:
  explicit fixed_status_store(store_status Status) : Status(Status) {}
  void readSnapshotPage(store_topic Topic, const std::optional<std::string> &,
                        page_handler Handler) override {
    page(Topic, Handler);
  }
  void read(store_topic Topic, std::uint64_t, int,
            page_handler Handler) override {
    page(Topic, Handler);
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
  std::optional<store_topic> SilentTopic; // Its reads never end.

private:
  void page(store_topic Topic, const page_handler &Handler) {
    ++Calls;
    if (Topic == SilentTopic)
      return;
    keyed_page Page;
    Page.Status = Status;
    Handler(std::move(Page));
  }
};

// Keeps the handlers of reads until complete() is called.
class pending_store final : public keyed_store {
public:
  void readSnapshotPage(store_topic, const std::optional<std::string> &,
                        page_handler Handler) override {
    Handlers.push_back(std::move(Handler));
  }
  void read(store_topic, std::uint64_t, int, page_handler Handler) override {
    Handlers.push_back(std::move(Handler));
  }
  void appendAs(store_topic, const store_writer &, std::string_view,
                std::string_view, append_handler Handler) override {
    Handler(store_status::Ok);
  }
  void fence(store_topic, const store_writer &,
             append_handler Handler) override {
    Handler(store_status::Ok);
  }
  // Ends the oldest read.
  void complete(store_status Status, std::size_t Bytes = 0) {
    const page_handler Handler = std::move(Handlers.front());
    Handlers.pop_front();
    keyed_page Page;
    Page.Status = Status;
    Page.NextOffset = 9;
    if (Bytes > 0)
      Page.Records.push_back({8, "k", std::string(Bytes, 'x'), false});
    Handler(std::move(Page));
  }

  std::deque<page_handler> Handlers;
};

class path_change_counter final : public peers::store_path_listener {
public:
  void onPathChanged(bool) override { ++Changes; }
  int Changes = 0;
};

class served_call_counter final : public peers::peer_service_listener {
public:
  void onPeerCallServed(const peers::served_call &) override { ++Calls; }
  int Calls = 0;
};

// An instance with one peer. Calls to the store get DirectStatus when made
// directly, PeerStatus when made by the peer.
struct peer_fixture {
  explicit peer_fixture(store_status DirectStatus, store_status PeerStatus)
      : DirectStore(DirectStatus), PeerDirectStore(PeerStatus),
        PeerStore(Context, PeerDirectStore,
                  [] { return std::vector<std::string>(); }, Clock, Random,
                  PeerEra, Listener, {}),
        Service(PeerDirectStore, PeerStore, PeerEra, Clock, ServiceListener),
        Server(Context, Memory,
               [this](const request_message &Request,
                      const respond_callback &Respond) {
                 Service.serve(Request, Respond);
               }),
        Store(Context, DirectStore,
              [this] { return std::vector<std::string>{Address}; }, Clock,
              Random, Era, Listener, {}) {
    tcp::acceptor PortFinder(Context, {net::ip::make_address("127.0.0.1"), 0});
    Address = "127.0.0.1:" + std::to_string(PortFinder.local_endpoint().port());
    PortFinder.close();
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

  memory::memory_budget Memory{16u << 20};
  net::io_context Context;
  adapters::system_clock Clock;
  tests::seeded_random Random{1};
  path_change_counter Listener;
  served_call_counter ServiceListener;
  std::string Address;
  tests::recording_era_listener EraListener;
  store_era Era{EraListener};
  store_era PeerEra{EraListener};
  fixed_status_store DirectStore;
  fixed_status_store PeerDirectStore;
  peers::failover_store PeerStore;
  peers::peer_store_service Service;
  simple_http_server Server;
  peers::failover_store Store;
};

} // namespace

TEST_CASE("a repeatable request is retried when a reused connection is silent",
          "[edge]") {
  net::io_context Context;
  one_response_server Server(Context, 0);
  const std::shared_ptr<http_channel> Channel =
      std::make_shared<http_channel>(Context, Server.address());
  int Responses = 0;
  const response_handler CountResponse =
      [&Responses](const std::optional<response_message> &Response,
                   const channel_timing &) {
        REQUIRE(Response);
        ++Responses;
      };
  Channel->request(makeRequest(true), CountResponse);
  while (Responses < 1)
    Context.run_one();
  // The server stays silent on the reused connection, so this request needs a
  // new one.
  Channel->request(makeRequest(true), CountResponse);
  while (Responses < 2)
    Context.run_one();
  CHECK(Server.Connections == 2);
}

// Guards against a timeout for the complete response: a large response of the
// store over a slow connection would never be received.
TEST_CASE("the timeout restarts with every part of a response", "[edge]") {
  constexpr int Chunks = 8;
  constexpr int PauseMs = 200;
  net::io_context Context;
  slow_chunk_server Server(Context, Chunks, PauseMs);
  const std::shared_ptr<http_channel> Channel =
      std::make_shared<http_channel>(Context, Server.address());
  channel_request Request = makeRequest(true);
  Request.InactivityTimeoutMs =
      Chunks * PauseMs * 3 / 4; // Less than the response takes.
  std::optional<std::size_t> Size;
  Channel->request(std::move(Request),
                   [&Size](const std::optional<response_message> &Response,
                           const channel_timing &) {
                     Size = Response ? Response->body().size() : 0;
                   });
  while (!Size)
    Context.run_one();
  CHECK(*Size == Chunks);
}

// Guards against a use after free: the store reads a request slowly, and the
// request times out while the socket still writes it. Memory checkers find a
// write operation that outlives its message.
TEST_CASE("a request may time out while it is being written", "[edge]") {
  constexpr std::size_t BodyBytes = 32u << 20; // More than sockets buffer.
  for (int TimeoutMs = 0; TimeoutMs < 20; ++TimeoutMs) {
    net::io_context Context;
    tcp::acceptor Acceptor(Context, {net::ip::make_address("127.0.0.1"), 0});
    tcp::socket ServerSocket(Context);
    std::vector<char> Bytes(256 * 1024);
    std::function<void()> Read = [&] {
      ServerSocket.async_read_some(net::buffer(Bytes),
                                   [&](const error_code &Error, std::size_t) {
                                     if (!Error)
                                       Read();
                                   });
    };
    Acceptor.async_accept(ServerSocket, [&](const error_code &Error) {
      if (!Error)
        Read();
    });
    const std::shared_ptr<http_channel> Channel =
        std::make_shared<http_channel>(
            Context,
            "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port()));
    channel_request Request = makeRequest(false);
    Request.Message.body().assign(BodyBytes, 'x');
    Request.InactivityTimeoutMs = TimeoutMs;
    bool Ended = false;
    Channel->request(std::move(Request),
                     [&Ended](const std::optional<response_message> &Response,
                              const channel_timing &) {
                       CHECK_FALSE(Response);
                       Ended = true;
                     });
    while (!Ended)
      Context.run_one();
    ServerSocket.close();
    Acceptor.close();
    Context.run(); // Completes the pending operations.
  }
}

// Guards against a process that ends because another instance has stated an
// address that can't be read.
TEST_CASE("a channel to no address fails its requests", "[edge]") {
  net::io_context Context;
  for (const char *Address :
       {"", "x", "host:1", "127.0.0.1:65536", "127.0.0.1:1\r\nX: y"}) {
    const std::shared_ptr<http_channel> Channel =
        std::make_shared<http_channel>(Context, Address);
    int Failures = 0;
    for (int Count = 0; Count < 2; ++Count) {
      channel_request Request;
      Request.Message = request_message(http::verb::get, "/", 11);
      Request.Repeatable = true;
      Channel->request(std::move(Request),
                       [&Failures](const std::optional<response_message> &Got,
                                   const channel_timing &) {
                         CHECK_FALSE(Got);
                         ++Failures;
                       });
    }
    CHECK(Failures == 0); // Not from within request().
    Context.restart();
    Context.run();
    CHECK(Failures == 2);
  }
}

TEST_CASE("a not repeatable request is not retried", "[edge]") {
  net::io_context Context;
  one_response_server Server(Context, 1);
  const std::shared_ptr<http_channel> Channel =
      std::make_shared<http_channel>(Context, Server.address());
  channel_request Request = makeRequest(false);
  Request.InactivityTimeoutMs = 50;
  bool Ended = false;
  Channel->request(std::move(Request),
                   [&Ended](const std::optional<response_message> &Response,
                            const channel_timing &) {
                     CHECK_FALSE(Response);
                     Ended = true;
                   });
  while (!Ended)
    Context.run_one();
  CHECK(Server.Connections == 1);
}

// Guards against a response that is dropped although it arrived in time: the
// process stood still until the timeout was over, so the timeout is handled
// before the response is read.
TEST_CASE("a response that arrived while the process stood still is received",
          "[edge]") {
  constexpr std::size_t BodyBytes = 200'000; // Takes several reads.
  constexpr int TimeoutMs = 200;
  constexpr int ResponseDelayMs = 100; // Less than the timeout.
  net::io_context ServerContext;
  tcp::acceptor Acceptor(ServerContext,
                         {net::ip::make_address("127.0.0.1"), 0});
  const std::string Address =
      "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  std::thread Server([&] {
    tcp::socket Socket(ServerContext);
    Acceptor.accept(Socket);
    boost::beast::flat_buffer Buffer;
    request_message Request;
    http::read(Socket, Buffer, Request);
    response_message Response(http::status::ok, 11);
    Response.body().assign(BodyBytes, 'x');
    Response.prepare_payload();
    std::this_thread::sleep_for(std::chrono::milliseconds(ResponseDelayMs));
    http::write(Socket, Response);
  });
  net::io_context Context;
  const std::shared_ptr<http_channel> Channel =
      std::make_shared<http_channel>(Context, Address);
  channel_request Request = makeRequest(false);
  Request.InactivityTimeoutMs = TimeoutMs;
  std::optional<std::size_t> Size;
  Channel->request(std::move(Request),
                   [&Size](const std::optional<response_message> &Response,
                           const channel_timing &) {
                     Size = Response ? Response->body().size() : 0;
                   });
  Context.run_for(std::chrono::milliseconds(ResponseDelayMs / 2));
  REQUIRE_FALSE(Size);
  std::this_thread::sleep_for(std::chrono::milliseconds(5 * TimeoutMs));
  while (!Size)
    Context.run_one();
  Server.join();
  CHECK(*Size == BodyBytes);
}

// Guards against calls for others that are made although their askers have
// given up, so that all later calls are late too.
TEST_CASE("a request that waited too long behind others is not sent",
          "[edge]") {
  net::io_context Context;
  one_response_server Server(Context, 1); // The first connection is silent.
  const std::shared_ptr<http_channel> Channel =
      std::make_shared<http_channel>(Context, Server.address());
  std::vector<int> Attempts;
  const response_handler Record =
      [&Attempts](const std::optional<response_message> &,
                  const channel_timing &Timing) {
        Attempts.push_back(Timing.Attempts);
      };
  channel_request Silent = makeRequest(false);
  Silent.InactivityTimeoutMs = 100;
  Channel->request(std::move(Silent), Record);
  channel_request Overdue = makeRequest(false);
  Overdue.MaxQueuedMs = 20;
  Channel->request(std::move(Overdue), Record);
  Channel->request(makeRequest(false), Record);
  while (Attempts.size() < 3)
    Context.run_one();
  CHECK(Attempts == std::vector<int>{1, 0, 1});
  CHECK(Server.Connections == 2);
}

TEST_CASE("instances that ask for the same records share one read", "[peers]") {
  pending_store Store;
  tests::manual_clock Clock;
  peers::shared_read_store Shared(Store, Clock);
  int Pages = 0;
  const page_handler CountPage = [&Pages](const keyed_page &Page) {
    CHECK(Page.NextOffset == 9);
    ++Pages;
  };
  Shared.readSnapshotPage(store_topic::Configuration, std::nullopt, CountPage);
  Shared.readSnapshotPage(store_topic::Configuration, std::nullopt, CountPage);
  Shared.read(store_topic::Configuration, 7, 0, CountPage);
  CHECK(Store.Handlers.size() == 2);
  Store.complete(store_status::Ok);
  CHECK(Pages == 2);
  // Once the read has ended, its result is used for a short time only.
  Shared.readSnapshotPage(store_topic::Configuration, std::nullopt, CountPage);
  CHECK(Pages == 3);
  Clock.Time += peers::shared_read_store::ReuseMs + 1;
  Shared.readSnapshotPage(store_topic::Configuration, std::nullopt, CountPage);
  CHECK(Pages == 3);
  CHECK(Store.Handlers.size() == 2);
}

// Guards against a shared page that looks as new as the request for it.
TEST_CASE("a shared page tells how old it is", "[peers]") {
  pending_store Store;
  tests::manual_clock Clock;
  peers::shared_read_store Shared(Store, Clock);
  std::vector<int> StaleMs;
  const page_handler Record = [&StaleMs](const keyed_page &Page) {
    StaleMs.push_back(Page.StaleMs);
  };
  Shared.readSnapshotPage(store_topic::Configuration, std::nullopt, Record);
  Clock.Time += 3'000;
  Shared.readSnapshotPage(store_topic::Configuration, std::nullopt, Record);
  Clock.Time += 200;
  Store.complete(store_status::Ok);
  Clock.Time += 100;
  Shared.readSnapshotPage(store_topic::Configuration, std::nullopt, Record);
  CHECK(StaleMs == std::vector<int>{0, 3'000, 3'300});
  peers::store_response Response;
  Response.Page.StaleMs = 3'300;
  CHECK(peers::decodeResponse(peers::encode(Response))->Page.StaleMs == 3'300);
  Response.Page.StaleMs = -1;
  CHECK_FALSE(peers::decodeResponse(peers::encode(Response)));
}

TEST_CASE("a failed read is not reused, and money is never shared", "[peers]") {
  pending_store Store;
  tests::manual_clock Clock;
  peers::shared_read_store Shared(Store, Clock);
  int Pages = 0;
  const page_handler CountPage = [&Pages](const keyed_page &) { ++Pages; };
  Shared.read(store_topic::Endpoints, 7, 0, CountPage);
  Store.complete(store_status::Unavailable);
  CHECK(Pages == 1);
  Shared.read(store_topic::Endpoints, 7, 0, CountPage);
  CHECK(Store.Handlers.size() == 1);
  for (const store_topic Topic :
       {store_topic::Grants, store_topic::Watermarks}) {
    const std::size_t Before = Store.Handlers.size();
    Shared.readSnapshotPage(Topic, std::nullopt, CountPage);
    Shared.readSnapshotPage(Topic, std::nullopt, CountPage);
    Shared.read(Topic, 7, 0, CountPage);
    Shared.read(Topic, 7, 0, CountPage);
    CHECK(Store.Handlers.size() == Before + 4);
  }
}

TEST_CASE("an unreachable store is called through a peer", "[peers]") {
  peer_fixture Fixture(store_status::Refused, store_status::Ok);
  CHECK(Fixture.read() == store_status::Ok);
  CHECK(Fixture.append() == store_status::Ok);
  CHECK(Fixture.Store.peerCallCount() == 2);
  CHECK(Fixture.ServiceListener.Calls == 2);
  CHECK_FALSE(Fixture.Store.isDirectPathActive());
  CHECK(Fixture.Listener.Changes == 1);
}

// Guards against a large read of one topic that delays the reads of all others
// through the same peer.
TEST_CASE("topics do not wait for each other at a peer", "[peers]") {
  peer_fixture Fixture(store_status::Refused, store_status::Ok);
  REQUIRE(Fixture.read() == store_status::Ok); // The peer is known to be good.
  Fixture.PeerDirectStore.SilentTopic = store_topic::Configuration;
  bool ConfigurationEnded = false;
  Fixture.Store.readSnapshotPage(
      store_topic::Configuration, std::nullopt,
      [&ConfigurationEnded](const keyed_page &) { ConfigurationEnded = true; });
  CHECK(Fixture.read() == store_status::Ok);
  CHECK_FALSE(ConfigurationEnded);
  while (!ConfigurationEnded)
    Fixture.Context.run_one();
}

// After an attempt that may have been stored, the conflict may be with the
// record of that attempt.
TEST_CASE("a conflict after an attempt that may be stored is unavailable",
          "[peers]") {
  peer_fixture MayBeStored(store_status::Unavailable, store_status::Conflict);
  CHECK(MayBeStored.append() == store_status::Unavailable);
  peer_fixture NotStored(store_status::Refused, store_status::Conflict);
  CHECK(NotStored.append() == store_status::Conflict);
}

TEST_CASE("when the peer refuses a read, the store is called directly again",
          "[peers]") {
  peer_fixture Fixture(store_status::Refused, store_status::Ok);
  REQUIRE(Fixture.read() == store_status::Ok);
  // Now the store refuses the peer and accepts this instance.
  Fixture.PeerDirectStore.Status = store_status::Refused;
  Fixture.DirectStore.Status = store_status::Ok;
  CHECK(Fixture.read() == store_status::Ok);
}

TEST_CASE("a peer that does not reach the store directly refuses at once",
          "[peers]") {
  peer_fixture Fixture(store_status::Refused, store_status::Refused);
  // A failed call tells the peer that it does not reach the store.
  Fixture.PeerStore.read(store_topic::Grants, 0, 0, [](const keyed_page &) {});
  const int Calls = Fixture.PeerDirectStore.Calls;
  CHECK(Fixture.append() == store_status::Refused);
  CHECK(Fixture.PeerDirectStore.Calls == Calls);
}

// Guards against pages that are kept for other instances without a bound.
TEST_CASE("few bytes of pages are kept for reuse", "[peers]") {
  constexpr int Pages = 10;
  tests::manual_clock Clock;
  pending_store Store;
  peers::shared_read_store Shared(Store, Clock);
  const auto ReadAll = [&] {
    for (int Page = 0; Page < Pages; ++Page)
      Shared.readSnapshotPage(store_topic::Endpoints, std::to_string(Page),
                              [](const keyed_page &) {});
    const std::size_t Started = Store.Handlers.size();
    while (!Store.Handlers.empty())
      Store.complete(store_status::Ok, 500'000);
    return Started;
  };
  CHECK(ReadAll() == Pages);
  const std::size_t ReadAgain = ReadAll();
  CHECK(ReadAgain >= Pages - 4);
  CHECK(ReadAgain < Pages);
}

// Guards against responses to many instances that fill the memory together.
TEST_CASE("a response that does not fit into the memory is refused", "[edge]") {
  memory::memory_budget Memory(64 * 1024);
  net::io_context Context;
  tcp::acceptor PortFinder(Context, {net::ip::make_address("127.0.0.1"), 0});
  const tcp::endpoint Address = PortFinder.local_endpoint();
  PortFinder.close();
  std::size_t Bytes = 0;
  simple_http_server Server(
      Context, Memory,
      [&Bytes](const request_message &, const respond_callback &Respond) {
        response_message Message(http::status::ok, 11);
        Message.body().assign(Bytes, 'x');
        Respond(std::move(Message));
      });
  Server.listen(Address);
  const std::shared_ptr<http_channel> Channel = std::make_shared<http_channel>(
      Context, "127.0.0.1:" + std::to_string(Address.port()));
  const auto StatusOf = [&](std::size_t Size) {
    Bytes = Size;
    std::optional<unsigned> Status;
    channel_request Request;
    Request.Message = request_message(http::verb::get, "/", 11);
    Channel->request(std::move(Request),
                     [&Status](const std::optional<response_message> &Got,
                               const channel_timing &) {
                       Status = Got ? Got->result_int() : 0;
                     });
    while (!Status)
      Context.run_one();
    return *Status;
  };
  CHECK(StatusOf(1'000) == 200);
  CHECK(StatusOf(100'000) == 503);
  CHECK(StatusOf(1'000) == 200);
}

TEST_CASE("addresses must be numeric", "[edge]") {
  CHECK(parseAddress("10.0.0.1:80").port() == 80);
  for (const char *Wrong : {"", "10.0.0.1", "host:80", "10.0.0.1:0",
                            "10.0.0.1:70000", "10.0.0.1:80x"})
    CHECK_THROWS_AS(parseAddress(Wrong), std::invalid_argument);
}
