// http_client: HTTP client with idle connections on POCO's sockets.
#include "tamarack/adapters.hpp"
#include "tamarack/responses.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SecureStreamSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timestamp.h>
#include <Poco/URI.h>

#include <sstream>
#include <sys/socket.h>

namespace tamarack::adapters {

namespace {

constexpr std::size_t MaxIdleConnections = 64; // Per server.
// An idle connection is not used again after this time. Shorter than the usual
// keep-alive timeout of servers, 15 s, so that the server does not close the
// connection while the client sends a request.
constexpr Poco::Timestamp::TimeDiff MaxIdleUs = 8'000'000;
constexpr std::size_t ReadBufferBytes = 16 * 1024;
constexpr std::size_t SendBytes = 16 * 1024;       // Per send operation.
constexpr std::size_t MaxFetchedBytes = 16u << 20; // Of a body.
constexpr std::uint32_t MaxHeadBytes = 32 * 1024;

Poco::Timespan toTimespan(int Ms) {
  return Poco::Timespan(0, 0, 0, Ms / 1000, Ms % 1000 * 1000);
}

std::string formatHead(const Poco::URI &Server,
                       const endpoint_request &Request) {
  Poco::Net::HTTPRequest Head(Request.Method, Request.Path,
                              Poco::Net::HTTPMessage::HTTP_1_1);
  for (const header_field &Field : Request.Headers)
    Head.set(Field.Name, Field.Value);
  Head.setHost(Server.getHost(), Server.getPort());
  Head.setKeepAlive(true);
  Head.setContentLength64(static_cast<Poco::Int64>(Request.Body.size()));
  std::ostringstream Out;
  Head.write(Out);
  return Out.str();
}

} // namespace

// A connection to a server.
struct http_client::connection {
  // True if the server closed it or sent bytes that no request has asked for.
  bool hasEnded() {
    return Socket.poll(Poco::Timespan(), Poco::Net::Socket::SELECT_READ);
  }

  // Whether the end of this object resets the connection: what the kernel holds
  // of a request that was given up must not be delivered later.
  void setResetOnClose(bool To) {
    // The server may have closed the connection already.
    const linger Option{To ? 1 : 0, 0};
    (void)::setsockopt(Socket.impl()->sockfd(), SOL_SOCKET, SO_LINGER, &Option,
                       sizeof Option);
  }

  Poco::Net::StreamSocket Socket;
  bool IsFirst = true; // It has carried no request.
  Poco::Timestamp IdleSince;
};

// A response that is being received, while the rest of its request may still be
// sent: a server may respond before it has read a long body.
class http_client::response final : public response_source {
public:
  // Sends the request and waits for the head of the response. Throws
  // Poco::Exception or endpoint_disconnected.
  response(http_client &Client, std::string Url, connection_ptr Connection,
           const endpoint_request &Request)
      : Client(Client), Url(std::move(Url)), Connection(std::move(Connection)),
        IsFirst(this->Connection->IsFirst),
        ReadTimeoutMs(Request.ReadTimeoutMs),
        Unsent(formatHead(Poco::URI(this->Url), Request) + Request.Body),
        Parser(settingsFor(Request)) {
    Poco::Net::StreamSocket &Socket = this->Connection->Socket;
    Socket.setReceiveTimeout(toTimespan(ReadTimeoutMs));
    Socket.setSendTimeout(toTimespan(ReadTimeoutMs));
    this->Connection->IsFirst = false;
    this->Connection->setResetOnClose(true);
    while (!Parser.hasHead())
      receivePart();
  }

  // The connection can carry another request only after the complete response,
  // and if the server has the complete request.
  ~response() override {
    const bool IsAnswered = Parser.isComplete() && Unsent.empty();
    if (IsAnswered)
      Connection->setResetOnClose(false);
    const bool CanReuse =
        IsAnswered && Parser.keepsConnection() && Received.empty();
    if (CanReuse)
      Client.releaseConnection(Url, std::move(Connection));
  }

  int status() const override {
    return static_cast<int>(Parser.head().result_int());
  }

  std::string header(std::string_view Name) const override {
    const boost::beast::string_view Value =
        Parser.head()[boost::beast::string_view(Name.data(), Name.size())];
    return std::string(Value.data(), Value.size());
  }

  bool isFirstOnConnection() const override { return IsFirst; }

  std::size_t read(std::span<char> Buffer) override {
    try {
      while (Body.empty() && !Parser.isComplete())
        receivePart();
    } catch (const Poco::Exception &Error) {
      throw endpoint_disconnected(Error.displayText());
    }
    const std::size_t Count = Body.copy(Buffer.data(), Buffer.size());
    Body.erase(0, Count);
    return Count;
  }

private:
  static responses::parser_settings
  settingsFor(const endpoint_request &Request) {
    responses::parser_settings Settings;
    Settings.IsToHead = Request.Method == Poco::Net::HTTPRequest::HTTP_HEAD;
    Settings.NeedsStatedEnd = true;
    Settings.MaxHeadBytes = MaxHeadBytes;
    return Settings;
  }

  // Parses the next part of the response; receives more for it, if needed.
  void receivePart() {
    const responses::parsed Next = Parser.next(Received);
    Body.append(Next.Body);
    Received.erase(0, Next.Consumed);
    if (Next.Kind == responses::part::Defect)
      throw endpoint_disconnected("the server sent no response: " +
                                  std::string(toString(Parser.whyBroken())));
    if (Next.Kind != responses::part::NeedsBytes)
      return;
    sendUntilReadable();
    receive();
  }

  void receive() {
    std::array<char, ReadBufferBytes> Bytes;
    const int Count = Connection->Socket.receiveBytes(
        Bytes.data(), static_cast<int>(Bytes.size()));
    if (Count > 0)
      Received.append(Bytes.data(), static_cast<std::size_t>(Count));
    else
      Parser.onConnectionEnd(responses::connection_end::Closed);
  }

  // Sends the rest of the request, or as much of it as the server takes before
  // it responds.
  void sendUntilReadable() {
    Poco::Net::StreamSocket &Socket = Connection->Socket;
    while (!Unsent.empty() && Socket.available() == 0) {
      Poco::Net::Socket::SocketList Readable{Socket};
      Poco::Net::Socket::SocketList Writable{Socket};
      Poco::Net::Socket::SocketList Failed;
      if (Poco::Net::Socket::select(Readable, Writable, Failed,
                                    toTimespan(ReadTimeoutMs)) == 0)
        throw Poco::TimeoutException("the server does not take the request");
      if (!Readable.empty() || !sendSome())
        return;
    }
  }

  // False if the connection broke. What the server sent before can still be
  // received.
  bool sendSome() {
    const std::size_t Size = std::min(SendBytes, Unsent.size() - SentBytes);
    try {
      const int Count = Connection->Socket.sendBytes(
          Unsent.data() + SentBytes, static_cast<int>(Size), MSG_DONTWAIT);
      SentBytes += static_cast<std::size_t>(std::max(Count, 0));
      if (SentBytes == Unsent.size())
        Unsent.clear();
      return true;
    } catch (const Poco::TimeoutException &) { // No room after all.
      return true;
    } catch (const Poco::Exception &) {
      return false;
    }
  }

  http_client &Client;
  std::string Url;
  connection_ptr Connection;
  bool IsFirst; // See isFirstOnConnection.
  int ReadTimeoutMs;
  std::string Unsent;        // The request, empty once all of it is sent.
  std::size_t SentBytes = 0; // Of Unsent.
  responses::response_parser Parser;
  std::string Received; // Not parsed yet.
  std::string Body;     // Parsed and not read yet.
};

http_client::http_client(Poco::Net::Context::Ptr Tls) : Tls(std::move(Tls)) {}

http_client::~http_client() = default;

http_client::connection_ptr http_client::connect(const std::string &Url,
                                                 int TimeoutMs) {
  const Poco::URI Uri(Url);
  const Poco::Net::SocketAddress Address(Uri.getHost(), Uri.getPort());
  connection_ptr Connection = std::make_unique<connection>();
  if (Uri.getScheme() == "https") {
    if (Tls.isNull())
      throw endpoint_unreached("an https URL needs TLS settings");
    Poco::Net::SecureStreamSocket Secure(Tls);
    Secure.setPeerHostName(Uri.getHost());
    Connection->Socket = Secure;
  }
  Connection->Socket.connect(Address, toTimespan(TimeoutMs));
  Connection->Socket.setNoDelay(true);
  return Connection;
}

// An idle connection that can be used, null if there is none.
http_client::connection_ptr
http_client::takeIdleConnection(const std::string &Url) {
  const std::lock_guard Guard(Lock);
  std::vector<connection_ptr> &Connections = IdleConnections[Url];
  while (!Connections.empty()) {
    connection_ptr Connection = std::move(Connections.back());
    Connections.pop_back();
    if (!Connection->IdleSince.isElapsed(MaxIdleUs) && !Connection->hasEnded())
      return Connection;
  }
  return nullptr;
}

void http_client::releaseConnection(const std::string &Url,
                                    connection_ptr Connection) {
  const std::lock_guard Guard(Lock);
  std::vector<connection_ptr> &Connections = IdleConnections[Url];
  Connection->IdleSince.update();
  if (Connections.size() < MaxIdleConnections)
    Connections.push_back(std::move(Connection));
}

std::unique_ptr<response_source>
http_client::send(std::string_view Url, const endpoint_request &Request) {
  const std::string Server(Url);
  bool MayHaveSent = false;
  try {
    connection_ptr Connection =
        Request.FreshConnection ? nullptr : takeIdleConnection(Server);
    if (!Connection)
      Connection = connect(Server, Request.ConnectTimeoutMs);
    MayHaveSent = true;
    return std::make_unique<response>(*this, Server, std::move(Connection),
                                      Request);
  } catch (const Poco::Exception &Error) {
    if (MayHaveSent)
      throw endpoint_disconnected(Error.displayText());
    throw endpoint_unreached(Error.displayText());
  }
}

http_response fetch(endpoint_client &Client, std::string_view Url,
                    const endpoint_request &Request) {
  const std::unique_ptr<response_source> Source = Client.send(Url, Request);
  http_response Response;
  Response.Status = Source->status();
  std::vector<char> Buffer(ReadBufferBytes);
  while (const std::size_t Count = Source->read(Buffer)) {
    if (Response.Body.size() + Count > MaxFetchedBytes)
      throw endpoint_disconnected("the body is too large");
    Response.Body.append(Buffer.data(), Count);
  }
  return Response;
}

} // namespace tamarack::adapters
