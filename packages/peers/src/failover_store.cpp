// The store, directly or through a peer.
#include "tamarack/peers.hpp"

#include <algorithm>

namespace tamarack::peers {

namespace {

constexpr char Path[] = "/store";

bool isRead(store_call Call) {
  return Call == store_call::Snapshot || Call == store_call::Read;
}

bool isReached(store_status Status) {
  return Status != store_status::Unavailable && Status != store_status::Refused;
}

// Lets std::shuffle draw from a random_source.
struct shuffler {
  using result_type = std::uint64_t;
  static constexpr result_type min() { return 0; }
  static constexpr result_type max() { return ~result_type{0}; }
  result_type operator()() { return Random.next(); }
  random_source &Random;
};

} // namespace

void performStoreCall(keyed_store &Store, const store_request &Request,
                      int WaitMs,
                      const std::function<void(store_response)> &Handler) {
  const page_handler OnPage = [Handler](keyed_page Page) {
    const store_status Status = Page.Status;
    Handler({Status, std::move(Page)});
  };
  const append_handler OnAppend = [Handler](store_status Status) {
    Handler({Status, {}});
  };
  switch (Request.Call) {
  case store_call::Snapshot:
    return Store.newest(Request.Topic, OnPage);
  case store_call::Read:
    return Store.read(Request.Topic, Request.From, WaitMs, OnPage);
  case store_call::AppendAs:
    return Store.appendAs(Request.Topic, Request.Writer, Request.Key,
                          Request.Value, OnAppend);
  case store_call::Fence:
    return Store.fence(Request.Topic, Request.Writer, OnAppend);
  }
}

failover_store::failover_store(edge::net::io_context &Context,
                               keyed_store &Direct, address_source Peers,
                               const clock &Clock, random_source &Random,
                               store_path_listener &Listener,
                               failover_settings Settings)
    : Context(Context), Direct(Direct), Peers(std::move(Peers)), Clock(Clock),
      Random(Random), Listener(Listener), Settings(Settings) {}

void failover_store::note(bool NowDirect) {
  if (IsDirect == NowDirect)
    return;
  IsDirect = NowDirect;
  Listener.onPathChanged(IsDirect);
}

void failover_store::call(const store_request &Request, int WaitMs,
                          const response_handler &Handler) {
  if (Clock.monotonic() >= PeersFirstUntil || LastHelper.empty())
    return callDirect(Request, WaitMs, true, Handler);
  callPeer(Request, false, [this, Request, Handler](store_response Answer) {
    if (isReached(Answer.Status))
      return Handler(std::move(Answer));
    PeersFirstUntil = 0;
    LastHelper.clear();
    // Nothing was stored, or it does no harm to ask again.
    if (Answer.Status == store_status::Refused || isRead(Request.Call))
      return callDirect(Request, 0, false, Handler);
    Handler(std::move(Answer));
  });
}

void failover_store::callDirect(const store_request &Request, int WaitMs,
                                bool ThenPeers,
                                const response_handler &Handler) {
  performStoreCall(
      Direct, Request, WaitMs,
      [this, Request, ThenPeers, Handler](store_response Answer) {
        LastFailed = !isReached(Answer.Status);
        if (!LastFailed) {
          note(true);
          return Handler(std::move(Answer));
        }
        PeersFirstUntil = Clock.monotonic() + Settings.PreferPeersMs;
        if (!ThenPeers)
          return Handler(std::move(Answer));
        callPeer(Request, Answer.Status == store_status::Unavailable, Handler);
      });
}

void failover_store::callPeer(const store_request &Request, bool Uncertain,
                              const response_handler &Handler) {
  std::vector<std::string> Addresses = Peers();
  // The one that helped last goes first, then others by chance.
  std::shuffle(Addresses.begin(), Addresses.end(), shuffler{Random});
  const auto Helper = std::find(Addresses.begin(), Addresses.end(), LastHelper);
  if (Helper != Addresses.end())
    std::iter_swap(Addresses.begin(), Helper);
  if (Addresses.size() > Settings.MaxPeersPerCall)
    Addresses.resize(Settings.MaxPeersPerCall);
  callNextPeer(Request, std::move(Addresses), Uncertain, Handler);
}

void failover_store::callNextPeer(const store_request &Request,
                                  std::vector<std::string> Addresses,
                                  bool Uncertain,
                                  const response_handler &Handler) {
  if (Addresses.empty())
    return Handler(
        {Uncertain ? store_status::Unavailable : store_status::Refused, {}});
  const std::string Address = Addresses.front();
  Addresses.erase(Addresses.begin());
  std::shared_ptr<edge::http_channel> &Channel = Channels[Address];
  if (!Channel)
    Channel = std::make_shared<edge::http_channel>(Context, Address);
  edge::request_message Message(edge::http::verb::post, Path, 11);
  Message.body() = encode(Request);
  Channel->request(
      {std::move(Message), Settings.PeerTimeoutMs, isRead(Request.Call)},
      [this, Request, Addresses, Address, Uncertain,
       Handler](const std::optional<edge::response_message> &Response) {
        std::optional<store_response> Answer;
        if (Response && Response->result() == edge::http::status::ok)
          Answer = decodeResponse(Response->body());
        if (!Answer)
          Answer = store_response{};
        if (!isReached(Answer->Status)) {
          const bool MayBeStored =
              Uncertain || (Answer->Status == store_status::Unavailable &&
                            !isRead(Request.Call));
          return callNextPeer(Request, Addresses, MayBeStored, Handler);
        }
        ++Relayed;
        LastHelper = Address;
        note(false);
        // What was refused now may have been stored by an attempt before.
        if (Uncertain && Answer->Status == store_status::Conflict)
          Answer->Status = store_status::Unavailable;
        Handler(std::move(*Answer));
      });
}

void failover_store::newest(store_topic Topic, page_handler Handler) {
  call({store_call::Snapshot, Topic, 0, {}, {}, {}}, 0,
       [Handler](store_response Answer) {
         Answer.Page.Status = Answer.Status;
         Handler(std::move(Answer.Page));
       });
}

void failover_store::read(store_topic Topic, std::uint64_t From, int WaitMs,
                          page_handler Handler) {
  call({store_call::Read, Topic, From, {}, {}, {}}, WaitMs,
       [Handler](store_response Answer) {
         Answer.Page.Status = Answer.Status;
         Handler(std::move(Answer.Page));
       });
}

void failover_store::appendAs(store_topic Topic, const store_writer &Writer,
                              std::string_view Key, std::string_view Value,
                              append_handler Handler) {
  call({store_call::AppendAs, Topic, 0, Writer, std::string(Key),
        std::string(Value)},
       0, [Handler](const store_response &Answer) { Handler(Answer.Status); });
}

void failover_store::fence(store_topic Topic, const store_writer &Writer,
                           append_handler Handler) {
  call({store_call::Fence, Topic, 0, Writer, {}, {}}, 0,
       [Handler](const store_response &Answer) { Handler(Answer.Status); });
}

void peer_store_service::serve(const edge::request_message &Request,
                               const edge::respond_callback &Respond) {
  const std::optional<store_request> Call = decodeRequest(Request.body());
  if (!Call)
    return Respond(edge::response_message(edge::http::status::bad_request, 11));
  if (!Own.isDirectPathActive()) {
    edge::response_message Message(edge::http::status::ok, 11);
    Message.body() = encode(store_response{store_status::Refused, {}});
    return Respond(std::move(Message));
  }
  performStoreCall(Direct, *Call, 0, [Respond](const store_response &Answer) {
    edge::response_message Message(edge::http::status::ok, 11);
    Message.body() = encode(Answer);
    Respond(std::move(Message));
  });
}

} // namespace tamarack::peers
