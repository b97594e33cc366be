// HTTP client sessions on POCO Net.
#include "tamarack/adapters.hpp"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPSClientSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/URI.h>

namespace tamarack::adapters {

namespace {

constexpr std::size_t LargestIdle = 64; // Sessions kept per server.
constexpr int KeepAliveSeconds = 8;     // Shorter than servers' usual 15.
constexpr std::size_t ReadBytes = 16 * 1024;

Poco::Timespan timespanOf(int Ms) {
  return Poco::Timespan(0, 0, 0, Ms / 1000, Ms % 1000 * 1000);
}

} // namespace

class http_client::source final : public response_source {
public:
  source(http_client &Link, std::string Url, session_ptr Session,
         const std::string &Method)
      : Link(Link), Url(std::move(Url)), Session(std::move(Session)) {
    Stream = &this->Session->receiveResponse(Response);
    HasBody = Method != Poco::Net::HTTPRequest::HTTP_HEAD &&
              Response.getStatus() != Poco::Net::HTTPResponse::HTTP_NO_CONTENT;
    if (Response.hasContentLength())
      Remaining = Response.getContentLength64();
  }

  ~source() override {
    if (Ended && Session && Response.getKeepAlive())
      Link.giveBack(Url, std::move(Session));
  }

  int status() const override { return Response.getStatus(); }

  std::string header(std::string_view Name) const override {
    return Response.get(std::string(Name), "");
  }

  std::size_t read(std::span<char> Buffer) override {
    if (Ended || !HasBody) {
      Ended = true;
      return 0;
    }
    try {
      return readSome(Buffer);
    } catch (const Poco::Exception &Error) {
      throw endpoint_disconnected(Error.displayText());
    }
  }

private:
  // Returns what has arrived instead of waiting for a full buffer.
  std::size_t readSome(std::span<char> Buffer) {
    std::streambuf &Bytes = *Stream->rdbuf();
    const int First = Bytes.sgetc();
    if (First == std::char_traits<char>::eof())
      return atEnd();
    const std::streamsize Ready = std::min<std::streamsize>(
        Bytes.in_avail(), static_cast<std::streamsize>(Buffer.size()));
    const std::streamsize Count = Bytes.sgetn(Buffer.data(), Ready);
    if (Remaining >= 0)
      Remaining -= Count;
    return static_cast<std::size_t>(Count);
  }

  // The stream swallows errors; tells a whole body from a broken one.
  std::size_t atEnd() {
    const Poco::Exception *Failure = Session->networkException();
    if (Failure != nullptr)
      throw endpoint_disconnected(Failure->displayText());
    if (Remaining > 0)
      throw endpoint_disconnected("the body is shorter than announced");
    const bool Delimited =
        Remaining == 0 || Response.getChunkedTransferEncoding();
    if (!Delimited)
      throw endpoint_disconnected("the body has no end mark");
    if (Remaining < 0 && closedByPeer())
      throw endpoint_disconnected(
          "the connection closed with the body; whether that "
          "was its end can't be told");
    Ended = true;
    return 0;
  }

  // A chunked stream ends the same way after its last chunk and after a break.
  // Only after a break has the other side closed a connection to be kept.
  bool closedByPeer() {
    Poco::Net::StreamSocket &Socket = Session->socket();
    return Socket.poll(Poco::Timespan(), Poco::Net::Socket::SELECT_READ) &&
           Socket.available() == 0;
  }

  http_client &Link;
  std::string Url;
  session_ptr Session;
  Poco::Net::HTTPResponse Response;
  std::istream *Stream = nullptr;
  std::int64_t Remaining = -1; // Bytes of the body to come, -1 if not told.
  bool HasBody = true;
  bool Ended = false;
};

http_client::http_client(Poco::Net::Context::Ptr Tls) : Tls(std::move(Tls)) {}

http_client::~http_client() = default;

http_client::session_ptr http_client::open(const std::string &Url) {
  const Poco::URI Uri(Url);
  if (Uri.getScheme() != "https")
    return std::make_unique<Poco::Net::HTTPClientSession>(Uri.getHost(),
                                                          Uri.getPort());
  if (Tls.isNull())
    throw endpoint_unreached("https needs TLS settings");
  return std::make_unique<Poco::Net::HTTPSClientSession>(Uri.getHost(),
                                                         Uri.getPort(), Tls);
}

http_client::session_ptr http_client::take(const std::string &Url, bool Fresh) {
  if (!Fresh) {
    const std::lock_guard Guard(Lock);
    auto Found = Idle.find(Url);
    if (Found != Idle.end() && !Found->second.empty()) {
      session_ptr Session = std::move(Found->second.back());
      Found->second.pop_back();
      return Session;
    }
  }
  session_ptr Session = open(Url);
  Session->setKeepAlive(true);
  Session->setKeepAliveTimeout(Poco::Timespan(KeepAliveSeconds, 0));
  return Session;
}

void http_client::giveBack(const std::string &Url, session_ptr Session) {
  const std::lock_guard Guard(Lock);
  std::vector<session_ptr> &Sessions = Idle[Url];
  if (Sessions.size() < LargestIdle)
    Sessions.push_back(std::move(Session));
}

std::unique_ptr<response_source>
http_client::send(std::string_view Url, const endpoint_request &Request) {
  const std::string Server(Url);
  bool HandedOver = false;
  try {
    session_ptr Session = take(Server, Request.FreshConnection);
    Session->setTimeout(timespanOf(Request.ConnectTimeoutMs),
                        timespanOf(Request.ReadTimeoutMs),
                        timespanOf(Request.ReadTimeoutMs));
    Poco::Net::HTTPRequest Head(Request.Method, Request.Path,
                                Poco::Net::HTTPMessage::HTTP_1_1);
    for (const header_field &Field : Request.Headers)
      Head.set(Field.Name, Field.Value);
    Head.setContentLength64(static_cast<Poco::Int64>(Request.Body.size()));
    HandedOver = Session->connected();
    std::ostream &Out = Session->sendRequest(Head);
    HandedOver = true;
    Out.write(Request.Body.data(),
              static_cast<std::streamsize>(Request.Body.size()));
    Out.flush();
    return std::make_unique<source>(*this, Server, std::move(Session),
                                    Request.Method);
  } catch (const Poco::Exception &Error) {
    if (HandedOver)
      throw endpoint_disconnected(Error.displayText());
    throw endpoint_unreached(Error.displayText());
  }
}

http_response fetch(endpoint_client &Link, std::string_view Url,
                    const endpoint_request &Request) {
  const std::unique_ptr<response_source> Source = Link.send(Url, Request);
  http_response Answer;
  Answer.Status = Source->status();
  std::vector<char> Buffer(ReadBytes);
  while (const std::size_t Count = Source->read(Buffer))
    Answer.Body.append(Buffer.data(), Count);
  return Answer;
}

} // namespace tamarack::adapters
