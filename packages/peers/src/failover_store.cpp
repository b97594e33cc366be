// Calls to the store, directly or through a peer.
#include "tamarack/peers.hpp"

#include <algorithm>

namespace tamarack::peers {

namespace {

constexpr char StorePath[] = "/store";

bool isRead(store_call Call) {
  return Call == store_call::SnapshotPage || Call == store_call::Read;
}

bool isStoreReached(store_status Status) {
  return Status != store_status::Unavailable && Status != store_status::Refused;
}

// Random number generator for std::shuffle that draws from a random_source.
struct shuffle_generator {
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
    const std::uint64_t Era = Page.Era;
    Handler({Status, Era, std::move(Page)});
  };
  const append_handler OnAppend = [Handler](store_status Status) {
    Handler({Status, 0, {}});
  };
  switch (Request.Call) {
  case store_call::SnapshotPage:
    return Store.readSnapshotPage(Request.Topic, Request.After, OnPage);
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
                               keyed_store &DirectStore, address_source Peers,
                               const clock &Clock, random_source &Random,
                               store_era &Era, store_path_listener &Listener,
                               failover_settings Settings)
    : Context(Context), DirectStore(DirectStore), Peers(std::move(Peers)),
      Clock(Clock), Random(Random), Era(Era), Listener(Listener),
      Settings(Settings) {}

void failover_store::setPath(bool IsDirect) {
  if (IsPathDirect == IsDirect)
    return;
  IsPathDirect = IsDirect;
  Listener.onPathChanged(IsPathDirect);
}

void failover_store::call(const store_request &Request, int WaitMs,
                          const response_handler &Handler) {
  if (Clock.monotonic() >= PreferPeersUntil || LastGoodPeer.empty())
    return callDirect(Request, WaitMs, true, Handler);
  callPeers(Request, false,
            [this, Request, Handler](store_response StoreResponse) {
              if (isStoreReached(StoreResponse.Status))
                return Handler(std::move(StoreResponse));
              PreferPeersUntil = 0;
              LastGoodPeer.clear();
              // A direct call is safe if nothing was stored, or if the call
              // only reads.
              if (StoreResponse.Status == store_status::Refused ||
                  isRead(Request.Call))
                return callDirect(Request, 0, false, Handler);
              Handler(std::move(StoreResponse));
            });
}

void failover_store::callDirect(const store_request &Request, int WaitMs,
                                bool ThenPeers,
                                const response_handler &Handler) {
  performStoreCall(
      DirectStore, Request, WaitMs,
      [this, Request, ThenPeers, Handler](store_response StoreResponse) {
        HasLastDirectCallFailed = !isStoreReached(StoreResponse.Status);
        if (!HasLastDirectCallFailed) {
          setPath(true);
          return Handler(std::move(StoreResponse));
        }
        PreferPeersUntil = Clock.monotonic() + Settings.PreferPeersMs;
        if (!ThenPeers)
          return Handler(std::move(StoreResponse));
        callPeers(Request, StoreResponse.Status == store_status::Unavailable,
                  Handler);
      });
}

bool failover_store::isCurrent(store_response &Response) {
  Response.Page.Era = Response.Era;
  return !isStoreReached(Response.Status) || Era.observe(Response.Era);
}

void failover_store::callPeers(const store_request &Request, bool MayBeStored,
                               const response_handler &Handler) {
  std::vector<std::string> Addresses = Peers();
  // The peer that made the last successful call goes first, then the others in
  // random order.
  std::shuffle(Addresses.begin(), Addresses.end(), shuffle_generator{Random});
  const auto GoodPeer =
      std::find(Addresses.begin(), Addresses.end(), LastGoodPeer);
  if (GoodPeer != Addresses.end())
    std::iter_swap(Addresses.begin(), GoodPeer);
  if (Addresses.size() > Settings.MaxPeersPerCall)
    Addresses.resize(Settings.MaxPeersPerCall);
  callNextPeer(Request, std::move(Addresses), MayBeStored, Handler);
}

void failover_store::callNextPeer(const store_request &Request,
                                  std::vector<std::string> Addresses,
                                  bool MayBeStored,
                                  const response_handler &Handler) {
  if (Addresses.empty())
    return Handler(
        {MayBeStored ? store_status::Unavailable : store_status::Refused,
         0,
         {}});
  const std::string Address = Addresses.front();
  Addresses.erase(Addresses.begin());
  std::shared_ptr<edge::http_channel> &Channel =
      Channels[{Address, Request.Topic}];
  if (!Channel)
    Channel = std::make_shared<edge::http_channel>(Context, Address);
  edge::request_message Message(edge::http::verb::post, StorePath, 11);
  Message.body() = encode(Request);
  edge::channel_request ChannelRequest{
      std::move(Message), Settings.PeerTimeoutMs, isRead(Request.Call)};
  ChannelRequest.Patience = Settings.Patience;
  Channel->request(
      std::move(ChannelRequest),
      [this, Request, Addresses, Address, MayBeStored,
       Handler](const std::optional<edge::response_message> &Response,
                const edge::channel_timing &) {
        std::optional<store_response> StoreResponse;
        if (Response && Response->result() == edge::http::status::ok)
          StoreResponse = decodeResponse(Response->body());
        // Of a peer that has not heard of the current era yet, as if it had not
        // responded.
        if (!StoreResponse || !isCurrent(*StoreResponse))
          StoreResponse = store_response{};
        if (!isStoreReached(StoreResponse->Status)) {
          const bool MayNowBeStored =
              MayBeStored ||
              (StoreResponse->Status == store_status::Unavailable &&
               !isRead(Request.Call));
          return callNextPeer(Request, Addresses, MayNowBeStored, Handler);
        }
        ++PeerCalls;
        LastGoodPeer = Address;
        setPath(false);
        // The conflict may be with this call's own record, stored by an earlier
        // attempt, so the outcome is unknown.
        if (MayBeStored && StoreResponse->Status == store_status::Conflict)
          StoreResponse->Status = store_status::Unavailable;
        Handler(std::move(*StoreResponse));
      });
}

void failover_store::readPage(const store_request &Request, int WaitMs,
                              page_handler Handler) {
  call(Request, WaitMs,
       [Handler = std::move(Handler)](store_response StoreResponse) {
         StoreResponse.Page.Status = StoreResponse.Status;
         Handler(std::move(StoreResponse.Page));
       });
}

void failover_store::readSnapshotPage(store_topic Topic,
                                      const std::optional<std::string> &After,
                                      page_handler Handler) {
  store_request Request;
  Request.Call = store_call::SnapshotPage;
  Request.Topic = Topic;
  Request.After = After;
  readPage(Request, 0, std::move(Handler));
}

void failover_store::read(store_topic Topic, std::uint64_t From, int WaitMs,
                          page_handler Handler) {
  store_request Request;
  Request.Call = store_call::Read;
  Request.Topic = Topic;
  Request.From = From;
  readPage(Request, WaitMs, std::move(Handler));
}

void failover_store::write(const store_request &Request,
                           append_handler Handler) {
  call(Request, 0,
       [Handler = std::move(Handler)](const store_response &StoreResponse) {
         Handler(StoreResponse.Status);
       });
}

void failover_store::appendAs(store_topic Topic, const store_writer &Writer,
                              std::string_view Key, std::string_view Value,
                              append_handler Handler) {
  store_request Request;
  Request.Call = store_call::AppendAs;
  Request.Topic = Topic;
  Request.Writer = Writer;
  Request.Key = Key;
  Request.Value = Value;
  write(Request, std::move(Handler));
}

void failover_store::fence(store_topic Topic, const store_writer &Writer,
                           append_handler Handler) {
  store_request Request;
  Request.Call = store_call::Fence;
  Request.Topic = Topic;
  Request.Writer = Writer;
  write(Request, std::move(Handler));
}

void peer_store_service::serve(const edge::request_message &Request,
                               const edge::respond_callback &Respond) {
  const std::optional<store_request> Call = decodeRequest(Request.body());
  if (!Call)
    return Respond(edge::response_message(edge::http::status::bad_request, 11));
  if (!OwnStore.isDirectPathActive()) {
    edge::response_message Message(edge::http::status::ok, 11);
    Message.body() = encode(store_response{store_status::Refused, 0, {}});
    return Respond(std::move(Message));
  }
  const time_ms ReceivedAt = Clock.monotonic();
  performStoreCall(DirectStore, *Call, 0,
                   [this, Respond, ReceivedAt, Kind = Call->Call,
                    Topic = Call->Topic](store_response StoreResponse) {
                     // A page may have been read for another instance before.
                     if (StoreResponse.Era == 0)
                       StoreResponse.Era = Era.current();
                     edge::response_message Message(edge::http::status::ok, 11);
                     Message.body() = encode(StoreResponse);
                     Listener.onPeerCallServed({Kind, Topic,
                                                StoreResponse.Status,
                                                Clock.monotonic() - ReceivedAt,
                                                Message.body().size()});
                     Respond(std::move(Message));
                   });
}

} // namespace tamarack::peers
