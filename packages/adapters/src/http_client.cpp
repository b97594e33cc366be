// http_client: HTTP client with idle connections on POCO Net.
#include "tamarack/adapters.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPSClientSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/URI.h>

namespace tamarack::adapters {

namespace {

constexpr std::size_t MaxIdleSessions = 64; // Per server.
// An idle connection is not used again after this time. Shorter than the usual
// keep-alive timeout of servers, 15 s, so that the server does not close the
// connection while the client sends a request.
constexpr int KeepAliveSeconds = 8;
constexpr std::size_t ReadBufferBytes = 16 * 1024;
constexpr std::size_t MaxFetchedBytes = 16u << 20; // Of a body.

Poco::Timespan toTimespan(int Ms) {
  return Poco::Timespan(0, 0, 0, Ms / 1000, Ms % 1000 * 1000);
}

} // namespace

// A response that is being received on a session.
class http_client::response final : public response_source {
public:
  // Waits for the head of the response. Throws Poco::Exception.
  response(http_client &Client, std::string Url, session_ptr Session,
           const std::string &Method, bool IsFirst)
      : Client(Client), Url(std::move(Url)), Session(std::move(Session)),
        IsFirst(IsFirst) {
    BodyStream = &this->Session->receiveResponse(Head);
    HasBody = Method != Poco::Net::HTTPRequest::HTTP_HEAD &&
              Head.getStatus() != Poco::Net::HTTPResponse::HTTP_NO_CONTENT;
    if (Head.hasContentLength())
      RemainingBytes = Head.getContentLength64();
  }

  // A session can be used again only after the complete body has been read.
  ~response() override {
    if (BodyComplete && Session && Head.getKeepAlive())
      Client.releaseSession(Url, std::move(Session));
  }

  int status() const override { return Head.getStatus(); }

  std::string header(std::string_view Name) const override {
    return Head.get(std::string(Name), "");
  }

  bool isFirstOnConnection() const override { return IsFirst; }

  std::size_t read(std::span<char> Buffer) override {
    if (BodyComplete || !HasBody) {
      BodyComplete = true;
      return 0;
    }
    try {
      return readAvailable(Buffer);
    } catch (const Poco::Exception &Error) {
      throw endpoint_disconnected(Error.displayText());
    }
  }

private:
  // Waits for at least one byte, then returns the bytes that have arrived so
  // far instead of waiting until Buffer is full.
  std::size_t readAvailable(std::span<char> Buffer) {
    std::streambuf &Bytes = *BodyStream->rdbuf();
    const int NextByte = Bytes.sgetc();
    if (NextByte == std::char_traits<char>::eof())
      return finishBody();
    const std::streamsize Available = std::min<std::streamsize>(
        Bytes.in_avail(), static_cast<std::streamsize>(Buffer.size()));
    const std::streamsize Count = Bytes.sgetn(Buffer.data(), Available);
    if (RemainingBytes >= 0)
      RemainingBytes -= Count;
    return static_cast<std::size_t>(Count);
  }

  // Called when the body stream has ended. The stream ends in the same way
  // after a complete body and after a network error, so this function checks
  // which of them happened. Returns 0 for a complete body, else throws
  // endpoint_disconnected.
  std::size_t finishBody() {
    const Poco::Exception *Failure = Session->networkException();
    if (Failure != nullptr)
      throw endpoint_disconnected(Failure->displayText());
    if (RemainingBytes > 0)
      throw endpoint_disconnected("the body is shorter than announced");
    const bool HasKnownEnd =
        RemainingBytes == 0 || Head.getChunkedTransferEncoding();
    if (!HasKnownEnd)
      throw endpoint_disconnected("the body has neither a Content-Length nor "
                                  "chunks, so its end is unknown");
    if (RemainingBytes < 0 && isClosedByServer())
      throw endpoint_disconnected("the connection closed at the end of the "
                                  "chunks; the body may be incomplete");
    BodyComplete = true;
    return 0;
  }

  // POCO's chunked stream ends in the same way after the last chunk and after a
  // broken connection. The two are distinguished by the socket: after a
  // complete body the server keeps the connection open, after a break it is
  // closed.
  bool isClosedByServer() {
    Poco::Net::StreamSocket &Socket = Session->socket();
    return Socket.poll(Poco::Timespan(), Poco::Net::Socket::SELECT_READ) &&
           Socket.available() == 0;
  }

  http_client &Client;
  std::string Url;
  session_ptr Session;
  Poco::Net::HTTPResponse Head;
  std::istream *BodyStream = nullptr; // Owned by Session.
  std::int64_t RemainingBytes = -1;   // Not yet read, -1 if unknown.
  bool IsFirst = true;                // See isFirstOnConnection.
  bool HasBody = true;
  bool BodyComplete = false;
};

http_client::http_client(Poco::Net::Context::Ptr Tls) : Tls(std::move(Tls)) {}

http_client::~http_client() = default;

http_client::session_ptr http_client::createSession(const std::string &Url) {
  const Poco::URI Uri(Url);
  if (Uri.getScheme() != "https")
    return std::make_unique<Poco::Net::HTTPClientSession>(Uri.getHost(),
                                                          Uri.getPort());
  if (Tls.isNull())
    throw endpoint_unreached("an https URL needs TLS settings");
  return std::make_unique<Poco::Net::HTTPSClientSession>(Uri.getHost(),
                                                         Uri.getPort(), Tls);
}

http_client::session_ptr http_client::acquireSession(const std::string &Url,
                                                     bool FreshConnection) {
  if (!FreshConnection) {
    const std::lock_guard Guard(Lock);
    auto Found = IdleSessions.find(Url);
    if (Found != IdleSessions.end() && !Found->second.empty()) {
      session_ptr Session = std::move(Found->second.back());
      Found->second.pop_back();
      return Session;
    }
  }
  session_ptr Session = createSession(Url);
  Session->setKeepAlive(true);
  Session->setKeepAliveTimeout(Poco::Timespan(KeepAliveSeconds, 0));
  return Session;
}

void http_client::releaseSession(const std::string &Url, session_ptr Session) {
  const std::lock_guard Guard(Lock);
  std::vector<session_ptr> &Sessions = IdleSessions[Url];
  if (Sessions.size() < MaxIdleSessions)
    Sessions.push_back(std::move(Session));
}

std::unique_ptr<response_source>
http_client::send(std::string_view Url, const endpoint_request &Request) {
  const std::string Server(Url);
  // True if the server may have received bytes of the request. On a reused
  // connection an error while sending may come after some bytes were sent.
  bool MayHaveSent = false;
  try {
    session_ptr Session = acquireSession(Server, Request.FreshConnection);
    Session->setTimeout(toTimespan(Request.ConnectTimeoutMs),
                        toTimespan(Request.ReadTimeoutMs),
                        toTimespan(Request.ReadTimeoutMs));
    Poco::Net::HTTPRequest Head(Request.Method, Request.Path,
                                Poco::Net::HTTPMessage::HTTP_1_1);
    for (const header_field &Field : Request.Headers)
      Head.set(Field.Name, Field.Value);
    Head.setContentLength64(static_cast<Poco::Int64>(Request.Body.size()));
    const bool IsFirst = !Session->connected();
    MayHaveSent = !IsFirst;
    std::ostream &Out = Session->sendRequest(Head);
    MayHaveSent = true;
    Out.write(Request.Body.data(),
              static_cast<std::streamsize>(Request.Body.size()));
    Out.flush();
    return std::make_unique<response>(*this, Server, std::move(Session),
                                      Request.Method, IsFirst);
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
