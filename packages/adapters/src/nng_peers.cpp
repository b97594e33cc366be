// Links between daemons: nng request/reply, optionally over TLS.
#include "tamarack/adapters.hpp"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>
#include <nng/supplemental/tls/tls.h>

#include <fstream>
#include <sstream>

namespace tamarack::adapters {

namespace {

constexpr std::size_t LargestMessage = 4 * 1024 * 1024; // Bytes.
constexpr int AnswerSendMs = 5000; // Longest wait for a slow peer.
constexpr int ConnectWaitMs = 300; // For a connection, before giving up.
constexpr int ReconnectLeastMs = 50;
constexpr int ReconnectMostMs = 1000;

void require(int Result, const std::string &What) {
  if (Result != 0)
    throw std::runtime_error(What + ": " + nng_strerror(Result));
}

std::string contentsOf(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  if (!File)
    throw settings_error("can't read " + Path);
  return Text.str();
}

// Both sides must show a certificate signed by the configured authority.
nng_tls_config *makeTls(nng_tls_mode Mode, const tls_files &Files) {
  nng_tls_config *Config = nullptr;
  require(nng_tls_config_alloc(&Config, Mode), "peer TLS");
  const std::string Authority = contentsOf(Files.CaFile);
  const std::string Certificate = contentsOf(Files.CertificateFile);
  const std::string Key = contentsOf(Files.KeyFile);
  require(nng_tls_config_ca_chain(Config, Authority.c_str(), nullptr),
          "peer TLS authority");
  require(nng_tls_config_own_cert(Config, Certificate.c_str(), Key.c_str(),
                                  nullptr),
          "peer TLS certificate");
  require(nng_tls_config_auth_mode(Config, NNG_TLS_AUTH_MODE_REQUIRED),
          "peer TLS mode");
  return Config;
}

// tls+tcp://127.0.0.1:1 -> 127.0.0.1, the name the certificate must carry.
std::string hostOf(const std::string &Url) {
  const std::size_t Start = Url.find("//") + 2;
  return Url.substr(Start, Url.rfind(':') - Start);
}

struct message_deleter {
  void operator()(nng_msg *Message) const { nng_msg_free(Message); }
};
using message_ptr = std::unique_ptr<nng_msg, message_deleter>;

message_ptr messageOf(byte_view Bytes) {
  nng_msg *Message = nullptr;
  require(nng_msg_alloc(&Message, 0), "peer message");
  nng_msg_append(Message, Bytes.data(), Bytes.size());
  return message_ptr(Message);
}

byte_view bytesOf(const message_ptr &Message) {
  return byte_view(
      static_cast<const std::uint8_t *>(nng_msg_body(Message.get())),
      nng_msg_len(Message.get()));
}

struct aio_deleter {
  void operator()(nng_aio *Aio) const { nng_aio_free(Aio); }
};
using aio_ptr = std::unique_ptr<nng_aio, aio_deleter>;

// Sends Message and waits until the socket has taken it.
bool sendOn(nng_ctx Context, message_ptr Message, int TimeoutMs) {
  nng_aio *Raw = nullptr;
  require(nng_aio_alloc(&Raw, nullptr, nullptr), "peer operation");
  const aio_ptr Aio(Raw);
  nng_aio_set_timeout(Raw, TimeoutMs);
  nng_aio_set_msg(Raw, Message.get());
  nng_ctx_send(Context, Raw);
  nng_aio_wait(Raw);
  if (nng_aio_result(Raw) != 0)
    return false;
  static_cast<void>(Message.release()); // The socket owns it now.
  return true;
}

// Waits for a message. Null if the socket was closed.
message_ptr receiveOn(nng_ctx Context) {
  nng_aio *Raw = nullptr;
  require(nng_aio_alloc(&Raw, nullptr, nullptr), "peer operation");
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

// A socket to one daemon, and whether it is connected. A call ends as soon as
// the connection breaks, so a dead daemon is noticed at once.
struct nng_client::connection {
  nng_socket Socket = NNG_SOCKET_INITIALIZER;
  std::mutex Lock; // Guards the two counts.
  std::condition_variable Changed;
  int Connected = 0;        // Open pipes.
  std::uint64_t Broken = 0; // Pipes that have closed.

  connection(const std::string &Url, const tls_files &Tls);
  ~connection() { nng_close(Socket); }
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  static void onPipe(nng_pipe, nng_pipe_ev Event, void *Argument);
  // Waits for a connection; false if there was none in time.
  bool waitConnected(int TimeoutMs);
  message_ptr receive(nng_ctx Context, std::uint64_t BrokenBefore,
                      int TimeoutMs);
};

nng_client::connection::connection(const std::string &Url,
                                   const tls_files &Tls) {
  require(nng_req0_open(&Socket), "peer socket");
  nng_pipe_notify(Socket, NNG_PIPE_EV_ADD_POST, onPipe, this);
  nng_pipe_notify(Socket, NNG_PIPE_EV_REM_POST, onPipe, this);
  nng_socket_set_ms(Socket, NNG_OPT_RECONNMINT, ReconnectLeastMs);
  nng_socket_set_ms(Socket, NNG_OPT_RECONNMAXT, ReconnectMostMs);
  nng_socket_set_ms(Socket, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
  nng_socket_set_size(Socket, NNG_OPT_RECVMAXSZ, LargestMessage);
  nng_dialer Dialer = NNG_DIALER_INITIALIZER;
  require(nng_dialer_create(&Dialer, Socket, Url.c_str()), "peer address");
  if (Tls.enabled()) {
    nng_tls_config *Config = makeTls(NNG_TLS_MODE_CLIENT, Tls);
    nng_tls_config_server_name(Config, hostOf(Url).c_str());
    nng_dialer_set_ptr(Dialer, NNG_OPT_TLS_CONFIG, Config);
    nng_tls_config_free(Config);
  }
  require(nng_dialer_start(Dialer, NNG_FLAG_NONBLOCK), "peer dial");
}

void nng_client::connection::onPipe(nng_pipe, nng_pipe_ev Event,
                                    void *Argument) {
  connection &Self = *static_cast<connection *>(Argument);
  const std::lock_guard Guard(Self.Lock);
  if (Event == NNG_PIPE_EV_ADD_POST) {
    ++Self.Connected;
  } else {
    --Self.Connected;
    ++Self.Broken;
  }
  Self.Changed.notify_all();
}

bool nng_client::connection::waitConnected(int TimeoutMs) {
  std::unique_lock Guard(Lock);
  return Changed.wait_for(Guard, std::chrono::milliseconds(TimeoutMs),
                          [this] { return Connected > 0; });
}

namespace {

// Tells the waiting thread that an operation has ended.
struct receive_end {
  std::mutex &Lock;
  std::condition_variable &Changed;
  bool Done = false;

  static void onDone(void *Argument) {
    receive_end &Self = *static_cast<receive_end *>(Argument);
    const std::lock_guard Guard(Self.Lock);
    Self.Done = true;
    Self.Changed.notify_all();
  }
};

} // namespace

message_ptr nng_client::connection::receive(nng_ctx Context,
                                            std::uint64_t BrokenBefore,
                                            int TimeoutMs) {
  receive_end End{Lock, Changed};
  nng_aio *Raw = nullptr;
  require(nng_aio_alloc(&Raw, receive_end::onDone, &End), "peer operation");
  const aio_ptr Aio(Raw);
  nng_ctx_recv(Context, Raw);
  {
    std::unique_lock Guard(Lock);
    Changed.wait_for(Guard, std::chrono::milliseconds(TimeoutMs),
                     [&] { return End.Done || Broken != BrokenBefore; });
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
  std::shared_ptr<connection> &Item = Connections[Url];
  if (!Item)
    Item = std::make_shared<connection>(Url, Tls);
  return Item;
}

std::optional<fleet::peer_answer>
nng_client::call(std::string_view PeerUrl, const fleet::peer_request &Request,
                 int TimeoutMs) {
  const std::shared_ptr<connection> Connection =
      connectionTo(std::string(PeerUrl));
  if (!Connection->waitConnected(std::min(TimeoutMs, ConnectWaitMs)))
    return std::nullopt;
  std::uint64_t BrokenBefore = 0;
  {
    const std::lock_guard Guard(Connection->Lock);
    BrokenBefore = Connection->Broken;
  }
  nng_ctx Context = NNG_CTX_INITIALIZER;
  if (nng_ctx_open(&Context, Connection->Socket) != 0)
    return std::nullopt;
  message_ptr Message = messageOf(fleet::encodePeer(Request));
  Traffic.SentBytes += nng_msg_len(Message.get());
  std::optional<fleet::peer_answer> Answer;
  if (sendOn(Context, std::move(Message), TimeoutMs)) {
    const message_ptr Reply =
        Connection->receive(Context, BrokenBefore, TimeoutMs);
    if (Reply) {
      Traffic.ReceivedBytes += nng_msg_len(Reply.get());
      Answer = fleet::decodeAnswer(bytesOf(Reply));
    }
  }
  nng_ctx_close(Context);
  return Answer;
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

  void serve();
  message_ptr answer(const message_ptr &Request);
};

nng_server::nng_server(const std::string &Url, const tls_files &Tls,
                       peer_handler &Handler, int Workers,
                       peer_traffic &Traffic)
    : Impl(std::make_unique<impl>(Handler, Traffic)) {
  require(nng_rep0_open(&Impl->Socket), "peer socket");
  nng_socket_set_size(Impl->Socket, NNG_OPT_RECVMAXSZ, LargestMessage);
  nng_listener Listener = NNG_LISTENER_INITIALIZER;
  require(nng_listener_create(&Listener, Impl->Socket, Url.c_str()),
          "peer address " + Url);
  if (Tls.enabled()) {
    nng_tls_config *Config = makeTls(NNG_TLS_MODE_SERVER, Tls);
    nng_listener_set_ptr(Listener, NNG_OPT_TLS_CONFIG, Config);
    nng_tls_config_free(Config);
  }
  require(nng_listener_start(Listener, 0), "peer address " + Url);
  for (int Index = 0; Index < Workers; ++Index)
    Impl->Workers.emplace_back([this] { Impl->serve(); });
}

nng_server::~nng_server() {
  nng_close(Impl->Socket);
  for (std::thread &Worker : Impl->Workers)
    Worker.join();
}

void nng_server::impl::serve() {
  nng_ctx Context = NNG_CTX_INITIALIZER;
  if (nng_ctx_open(&Context, Socket) != 0)
    return;
  while (const message_ptr Request = receiveOn(Context))
    sendOn(Context, answer(Request), AnswerSendMs);
  nng_ctx_close(Context);
}

message_ptr nng_server::impl::answer(const message_ptr &Request) {
  Traffic.ReceivedBytes += nng_msg_len(Request.get());
  fleet::peer_answer Answer = fleet::error_answer{"unreadable request"};
  const std::optional<fleet::peer_request> Decoded =
      fleet::decodeRequest(bytesOf(Request));
  if (Decoded) {
    try {
      Answer = Handler.handle(*Decoded);
    } catch (const std::exception &Error) {
      Answer = fleet::error_answer{Error.what()};
    }
  }
  message_ptr Reply = messageOf(fleet::encodePeer(Answer));
  Traffic.SentBytes += nng_msg_len(Reply.get());
  return Reply;
}

} // namespace tamarack::adapters
