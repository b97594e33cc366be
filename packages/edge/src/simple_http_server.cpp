// HTTP server for readiness checks, metrics and peers.
#include "sockets.hpp"

namespace tamarack::edge {

namespace {

// Of a request. The largest one holds a record of the store.
constexpr std::uint64_t MaxBodyBytes = 1u << 20;
// Longest time from the start of waiting for a request to its last byte.
constexpr int ReadTimeoutMs = 30'000;

} // namespace

// One connection. Owned by the server's set and by pending handlers.
class simple_http_session
    : public std::enable_shared_from_this<simple_http_session> {
public:
  simple_http_session(simple_http_server &Server, tcp::socket Socket)
      : Server(Server), Socket(std::move(Socket)), Timer(Server.Context),
        Buffer(MaxUnparsedBytes), ResponseCharge(Server.Memory) {}

  void readRequest() {
    Parser.emplace();
    Parser->body_limit(MaxBodyBytes);
    const std::shared_ptr<simple_http_session> Self = shared_from_this();
    Timer.expires_after(std::chrono::milliseconds(ReadTimeoutMs));
    Timer.async_wait([Self](const error_code &Error) {
      if (!Error)
        Self->close();
    });
    http::async_read_header(Socket, Buffer, *Parser,
                            [Self](const error_code &Error, std::size_t) {
                              // Instances state the lengths of their bodies.
                              if (Error || Self->Parser->chunked())
                                return Self->close();
                              Self->readBody();
                            });
  }

  void close() {
    Timer.cancel();
    error_code Ignored;
    Socket.close(Ignored);
    Server.Sessions.erase(shared_from_this());
  }

private:
  void readBody() {
    const std::shared_ptr<simple_http_session> Self = shared_from_this();
    http::async_read(Socket, Buffer, *Parser,
                     [Self](const error_code &Error, std::size_t) {
                       if (Error)
                         return Self->close();
                       Self->handleRequest();
                     });
  }

  void handleRequest() {
    Timer.cancel();
    request_message Request = Parser->release();
    const bool KeepAlive = Request.keep_alive();
    const std::shared_ptr<simple_http_session> Self = shared_from_this();
    Server.Handler(std::move(Request), [Self, KeepAlive](
                                           response_message NewResponse) {
      const bool Fits = Self->ResponseCharge.trySet(NewResponse.body().size());
      Self->Response =
          Fits ? std::move(NewResponse)
               : response_message(http::status::service_unavailable, 11);
      Self->Response.keep_alive(KeepAlive);
      Self->Response.prepare_payload();
      http::async_write(
          Self->Socket, Self->Response,
          [Self, KeepAlive](const error_code &Error, std::size_t) {
            Self->Response = {};
            Self->ResponseCharge.set(0);
            if (Error || !KeepAlive)
              return Self->close();
            Self->readRequest();
          });
    });
  }

  simple_http_server &Server;
  tcp::socket Socket;
  net::steady_timer Timer;
  boost::beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::string_body>> Parser;
  response_message Response; // Being written.
  memory::memory_charge ResponseCharge;
};

simple_http_server::simple_http_server(net::io_context &Context,
                                       memory::memory_budget &Memory,
                                       http_request_handler Handler)
    : Context(Context), Memory(Memory), Handler(std::move(Handler)),
      Acceptor(Context) {}

simple_http_server::~simple_http_server() = default;

void simple_http_server::listen(const tcp::endpoint &Address) {
  openAcceptor(Acceptor, Address);
  accept();
}

void simple_http_server::accept() {
  Acceptor.async_accept([this](const error_code &Error, tcp::socket Socket) {
    if (Error == net::error::operation_aborted || !Acceptor.is_open())
      return;
    if (!Error) {
      applySocketOptions(Socket, {});
      const std::shared_ptr<simple_http_session> Session =
          std::make_shared<simple_http_session>(*this, std::move(Socket));
      Sessions.insert(Session);
      Session->readRequest();
    }
    accept();
  });
}

} // namespace tamarack::edge
