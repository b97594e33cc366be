// nng_client and nng_server: request/reply between daemons over nng, optionally
// with TLS.
#include "tamarack/adapters.hpp"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>
#include <nng/supplemental/tls/tls.h>

#include <fstream>
#include <sstream>

namespace tamarack::adapters {

namespace {

constexpr std::size_t MaxMessageBytes = 4 * 1024 * 1024;
// Longest wait of a server until a slow peer accepts a response.
constexpr int ResponseSendTimeoutMs = 5000;
// Longest wait of a call for an open connection.
constexpr int ConnectTimeoutMs = 300;
constexpr int MinReconnectMs = 50;   // First delay of a reconnection.
constexpr int MaxReconnectMs = 1000; // The delay grows up to this maximum.

// Throws std::runtime_error if Result is an error code of nng. Message is the
// beginning of the error text.
void checkResult(int Result, const std::string &Message) {
  if (Result != 0)
    throw std::runtime_error(Message + ": " + nng_strerror(Result));
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  if (!File)
    throw settings_error("can't read " + Path);
  return Text.str();
}

// Both sides must present a certificate signed by an authority in CaFile.
nng_tls_config *makeTlsConfig(nng_tls_mode Mode, const tls_files &Files) {
  nng_tls_config *Config = nullptr;
  checkResult(nng_tls_config_alloc(&Config, Mode),
              "cannot create the TLS configuration for peers");
  const std::string Authority = readFile(Files.CaFile);
  const std::string Certificate = readFile(Files.CertificateFile);
  const std::string Key = readFile(Files.KeyFile);
  checkResult(nng_tls_config_ca_chain(Config, Authority.c_str(), nullptr),
              "cannot use the CA file for peers");
  checkResult(nng_tls_config_own_cert(Config, Certificate.c_str(), Key.c_str(),
                                      nullptr),
              "cannot use the certificate and key for peers");
  checkResult(nng_tls_config_auth_mode(Config, NNG_TLS_AUTH_MODE_REQUIRED),
              "cannot require certificates from peers");
  return Config;
}

// Returns the host of a peer address, which the peer's certificate must name:
// "tls+tcp://127.0.0.1:1" -> "127.0.0.1".
std::string hostOf(const std::string &Url) {
  const std::size_t Start = Url.find("//") + 2;
  return Url.substr(Start, Url.rfind(':') - Start);
}

struct message_deleter {
  void operator()(nng_msg *Message) const { nng_msg_free(Message); }
};
using message_ptr = std::unique_ptr<nng_msg, message_deleter>;

message_ptr makeMessage(byte_view Bytes) {
  nng_msg *Message = nullptr;
  checkResult(nng_msg_alloc(&Message, 0), "cannot allocate a peer message");
  nng_msg_append(Message, Bytes.data(), Bytes.size());
  return message_ptr(Message);
}

byte_view bodyOf(const message_ptr &Message) {
  return byte_view(
      static_cast<const std::uint8_t *>(nng_msg_body(Message.get())),
      nng_msg_len(Message.get()));
}

struct aio_deleter {
  void operator()(nng_aio *Aio) const { nng_aio_free(Aio); }
};
using aio_ptr = std::unique_ptr<nng_aio, aio_deleter>;

// Sends Message and waits until the socket has accepted it. Returns false after
// TimeoutMs or an error.
bool sendOn(nng_ctx Context, message_ptr Message, int TimeoutMs) {
  nng_aio *Raw = nullptr;
  checkResult(nng_aio_alloc(&Raw, nullptr, nullptr),
              "cannot allocate a peer operation");
  const aio_ptr Aio(Raw);
  nng_aio_set_timeout(Raw, TimeoutMs);
  nng_aio_set_msg(Raw, Message.get());
  nng_ctx_send(Context, Raw);
  nng_aio_wait(Raw);
  if (nng_aio_result(Raw) != 0)
    return false;
  static_cast<void>(Message.release()); // The socket owns the message now.
  return true;
}

// Waits for a message. Returns null if the socket was closed.
message_ptr receiveOn(nng_ctx Context) {
  nng_aio *Raw = nullptr;
  checkResult(nng_aio_alloc(&Raw, nullptr, nullptr),
              "cannot allocate a peer operation");
  const aio_ptr Aio(Raw);
  nng_ctx_recv(Context, Raw);
  nng_aio_wait(Raw);
  if (nng_aio_result(Raw) != 0)
    return nullptr;
  return message_ptr(nng_aio_get_msg(Raw));
}

} // namespace

//---------------------------------------------------------------------------
// nng_client
//---------------------------------------------------------------------------

// A socket to one daemon that reconnects by itself. A call fails as soon as the
// connection breaks, so that a dead daemon is noticed before the call's
// timeout.
struct nng_client::connection {
  nng_socket Socket = NNG_SOCKET_INITIALIZER;
  std::mutex Lock; // Guards OpenPipes, ClosedPipes and receive_operation::Done.
  std::condition_variable Changed; // Notified when one of them changes.
  int OpenPipes = 0;               // Connections that are open now.
  std::uint64_t ClosedPipes = 0;   // Connections closed since the start.

  connection(const std::string &Url, const tls_files &Tls);
  ~connection() { nng_close(Socket); }
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  // Called by nng when a connection is opened or closed.
  static void onPipeEvent(nng_pipe, nng_pipe_ev Event, void *Argument);
  // Returns false if no connection was open within TimeoutMs.
  bool waitConnected(int TimeoutMs);
  // Waits for the response to the request sent on Context. Returns null after
  // TimeoutMs or as soon as ClosedPipes differs from ClosedBefore, its value
  // before the request was sent.
  message_ptr receive(nng_ctx Context, std::uint64_t ClosedBefore,
                      int TimeoutMs);
};

nng_client::connection::connection(const std::string &Url,
                                   const tls_files &Tls) {
  checkResult(nng_req0_open(&Socket), "cannot open a peer socket");
  nng_pipe_notify(Socket, NNG_PIPE_EV_ADD_POST, onPipeEvent, this);
  nng_pipe_notify(Socket, NNG_PIPE_EV_REM_POST, onPipeEvent, this);
  nng_socket_set_ms(Socket, NNG_OPT_RECONNMINT, MinReconnectMs);
  nng_socket_set_ms(Socket, NNG_OPT_RECONNMAXT, MaxReconnectMs);
  // nng must not send a request again by itself.
  nng_socket_set_ms(Socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
  nng_socket_set_size(Socket, NNG_OPT_RECVMAXSZ, MaxMessageBytes);
  nng_dialer Dialer = NNG_DIALER_INITIALIZER;
  checkResult(nng_dialer_create(&Dialer, Socket, Url.c_str()),
              "cannot use the peer address " + Url);
  if (Tls.enabled()) {
    nng_tls_config *Config = makeTlsConfig(NNG_TLS_MODE_CLIENT, Tls);
    nng_tls_config_server_name(Config, hostOf(Url).c_str());
    nng_dialer_set_ptr(Dialer, NNG_OPT_TLS_CONFIG, Config);
    nng_tls_config_free(Config);
  }
  checkResult(nng_dialer_start(Dialer, NNG_FLAG_NONBLOCK),
              "cannot connect to the peer address " + Url);
}

void nng_client::connection::onPipeEvent(nng_pipe, nng_pipe_ev Event,
                                         void *Argument) {
  connection &Self = *static_cast<connection *>(Argument);
  const std::lock_guard Guard(Self.Lock);
  if (Event == NNG_PIPE_EV_ADD_POST) {
    ++Self.OpenPipes;
  } else {
    --Self.OpenPipes;
    ++Self.ClosedPipes;
  }
  Self.Changed.notify_all();
}

bool nng_client::connection::waitConnected(int TimeoutMs) {
  std::unique_lock Guard(Lock);
  return Changed.wait_for(Guard, std::chrono::milliseconds(TimeoutMs),
                          [this] { return OpenPipes > 0; });
}

namespace {

// Notifies the waiting thread when a receive operation of nng has ended.
struct receive_operation {
  std::mutex &Lock;
  std::condition_variable &Changed;
  bool Done = false;

  static void onDone(void *Argument) {
    receive_operation &Self = *static_cast<receive_operation *>(Argument);
    const std::lock_guard Guard(Self.Lock);
    Self.Done = true;
    Self.Changed.notify_all();
  }
};

} // namespace

message_ptr nng_client::connection::receive(nng_ctx Context,
                                            std::uint64_t ClosedBefore,
                                            int TimeoutMs) {
  receive_operation Operation{Lock, Changed};
  nng_aio *Raw = nullptr;
  checkResult(nng_aio_alloc(&Raw, receive_operation::onDone, &Operation),
              "cannot allocate a peer operation");
  const aio_ptr Aio(Raw);
  nng_ctx_recv(Context, Raw);
  {
    std::unique_lock Guard(Lock);
    Changed.wait_for(Guard, std::chrono::milliseconds(TimeoutMs), [&] {
      return Operation.Done || ClosedPipes != ClosedBefore;
    });
  }
  nng_aio_cancel(Raw);
  nng_aio_wait(Raw);
  if (nng_aio_result(Raw) != 0)
    return nullptr;
  return message_ptr(nng_aio_get_msg(Raw));
}

nng_client::nng_client(tls_files Tls, peer_traffic &Traffic)
    : Tls(std::move(Tls)), Traffic(Traffic) {}

nng_client::~nng_client() = default;

std::shared_ptr<nng_client::connection>
nng_client::connectionTo(const std::string &Url) {
  const std::lock_guard Guard(Lock);
  std::shared_ptr<connection> &Connection = Connections[Url];
  if (!Connection)
    Connection = std::make_shared<connection>(Url, Tls);
  return Connection;
}

std::optional<fleet::peer_response>
nng_client::call(std::string_view PeerUrl, const fleet::peer_request &Request,
                 int TimeoutMs) {
  const std::shared_ptr<connection> Connection =
      connectionTo(std::string(PeerUrl));
  if (!Connection->waitConnected(std::min(TimeoutMs, ConnectTimeoutMs)))
    return std::nullopt;
  std::uint64_t ClosedBefore = 0;
  {
    const std::lock_guard Guard(Connection->Lock);
    ClosedBefore = Connection->ClosedPipes;
  }
  nng_ctx Context = NNG_CTX_INITIALIZER;
  if (nng_ctx_open(&Context, Connection->Socket) != 0)
    return std::nullopt;
  message_ptr Message = makeMessage(fleet::encodeRequest(Request));
  Traffic.SentBytes += nng_msg_len(Message.get());
  std::optional<fleet::peer_response> Response;
  if (sendOn(Context, std::move(Message), TimeoutMs)) {
    const message_ptr ReplyMessage =
        Connection->receive(Context, ClosedBefore, TimeoutMs);
    if (ReplyMessage) {
      Traffic.ReceivedBytes += nng_msg_len(ReplyMessage.get());
      Response = fleet::decodeResponse(bodyOf(ReplyMessage));
    }
  }
  nng_ctx_close(Context);
  return Response;
}

//---------------------------------------------------------------------------
// nng_server
//---------------------------------------------------------------------------

struct nng_server::impl {
  nng_socket Socket = NNG_SOCKET_INITIALIZER;
  peer_handler &Handler;
  peer_traffic &Traffic;
  std::vector<std::thread> Workers;

  impl(peer_handler &Handler, peer_traffic &Traffic)
      : Handler(Handler), Traffic(Traffic) {}

  // Body of each worker thread: handles requests until the socket is closed.
  void serveRequests();
  // Returns the encoded response. A request that cannot be decoded or whose
  // handler throws gets an error_answer.
  message_ptr handleMessage(const message_ptr &RequestMessage);
};

nng_server::nng_server(const std::string &Url, const tls_files &Tls,
                       peer_handler &Handler, int Workers,
                       peer_traffic &Traffic)
    : Impl(std::make_unique<impl>(Handler, Traffic)) {
  checkResult(nng_rep0_open(&Impl->Socket), "cannot open a peer socket");
  nng_socket_set_size(Impl->Socket, NNG_OPT_RECVMAXSZ, MaxMessageBytes);
  nng_listener Listener = NNG_LISTENER_INITIALIZER;
  checkResult(nng_listener_create(&Listener, Impl->Socket, Url.c_str()),
              "cannot use the peer address " + Url);
  if (Tls.enabled()) {
    nng_tls_config *Config = makeTlsConfig(NNG_TLS_MODE_SERVER, Tls);
    nng_listener_set_ptr(Listener, NNG_OPT_TLS_CONFIG, Config);
    nng_tls_config_free(Config);
  }
  checkResult(nng_listener_start(Listener, 0),
              "cannot listen on the peer address " + Url);
  for (int Index = 0; Index < Workers; ++Index)
    Impl->Workers.emplace_back([this] { Impl->serveRequests(); });
}

nng_server::~nng_server() {
  nng_close(Impl->Socket);
  for (std::thread &Worker : Impl->Workers)
    Worker.join();
}

void nng_server::impl::serveRequests() {
  nng_ctx Context = NNG_CTX_INITIALIZER;
  if (nng_ctx_open(&Context, Socket) != 0)
    return;
  while (const message_ptr RequestMessage = receiveOn(Context))
    sendOn(Context, handleMessage(RequestMessage), ResponseSendTimeoutMs);
  nng_ctx_close(Context);
}

message_ptr nng_server::impl::handleMessage(const message_ptr &RequestMessage) {
  Traffic.ReceivedBytes += nng_msg_len(RequestMessage.get());
  fleet::peer_response Response = fleet::error_response{"unreadable request"};
  const std::optional<fleet::peer_request> Request =
      fleet::decodeRequest(bodyOf(RequestMessage));
  if (Request) {
    try {
      Response = Handler.handle(*Request);
    } catch (const std::exception &Error) {
      Response = fleet::error_response{Error.what()};
    }
  }
  message_ptr ReplyMessage = makeMessage(fleet::encodeResponse(Response));
  Traffic.SentBytes += nng_msg_len(ReplyMessage.get());
  return ReplyMessage;
}

} // namespace tamarack::adapters
