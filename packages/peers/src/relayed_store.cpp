// The store, directly or through a peer.
#include "tamarack/peers.hpp"

#include <algorithm>

namespace tamarack::peers {

namespace {

constexpr char Path[] = "/store";

bool isRead(store_call Call) {
  return Call == store_call::Newest || Call == store_call::Read;
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

void perform(keyed_store &Store, const store_request &Request, int WaitMs,
             const std::function<void(store_answer)> &Handler) {
  const page_handler OnPage = [Handler](keyed_page Page) {
    const store_status Status = Page.Status;
    Handler({Status, std::move(Page)});
  };
  const append_handler OnAppend = [Handler](store_status Status) {
    Handler({Status, {}});
  };
  switch (Request.Call) {
  case store_call::Newest:
    return Store.readSnapshot(Request.Topic, OnPage);
  case store_call::Read:
    return Store.read(Request.Topic, Request.From, WaitMs, OnPage);
  case store_call::AppendAs:
    return Store.appendAs(Request.Topic, Request.Writer, Request.Key,
                          Request.Value, OnAppend);
  case store_call::Fence:
    return Store.fence(Request.Topic, Request.Writer, OnAppend);
  }
}

relayed_store::relayed_store(edge::net::io_context &Context,
                             keyed_store &Direct, address_source Peers,
                             const clock &Clock, random_source &Random,
                             path_listener &Listener, relay_settings Settings)
    : Context(Context), Direct(Direct), Peers(std::move(Peers)), Clock(Clock),
      Random(Random), Listener(Listener), Settings(Settings) {}

void relayed_store::note(bool NowDirect) {
  if (IsDirect == NowDirect)
    return;
  IsDirect = NowDirect;
  Listener.onPath(IsDirect);
}

void relayed_store::call(const store_request &Request, int WaitMs,
                         const answer_handler &Handler) {
  if (Clock.monotonic() >= PeersFirstUntil || LastHelper.empty())
    return callDirect(Request, WaitMs, true, Handler);
  callPeer(Request, false, [this, Request, Handler](store_answer Answer) {
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

void relayed_store::callDirect(const store_request &Request, int WaitMs,
                               bool ThenPeers, const answer_handler &Handler) {
  perform(Direct, Request, WaitMs,
          [this, Request, ThenPeers, Handler](store_answer Answer) {
            LastFailed = !isReached(Answer.Status);
            if (!LastFailed) {
              note(true);
              return Handler(std::move(Answer));
            }
            PeersFirstUntil = Clock.monotonic() + Settings.DirectPauseMs;
            if (!ThenPeers)
              return Handler(std::move(Answer));
            callPeer(Request, Answer.Status == store_status::Unavailable,
                     Handler);
          });
}

void relayed_store::callPeer(const store_request &Request, bool Uncertain,
                             const answer_handler &Handler) {
  std::vector<std::string> Addresses = Peers();
  // The one that helped last goes first, then others by chance.
  std::shuffle(Addresses.begin(), Addresses.end(), shuffler{Random});
  const auto Helper = std::find(Addresses.begin(), Addresses.end(), LastHelper);
  if (Helper != Addresses.end())
    std::iter_swap(Addresses.begin(), Helper);
  if (Addresses.size() > Settings.MostPeers)
    Addresses.resize(Settings.MostPeers);
  callNextPeer(Request, std::move(Addresses), Uncertain, Handler);
}

void relayed_store::callNextPeer(const store_request &Request,
                                 std::vector<std::string> Addresses,
                                 bool Uncertain,
                                 const answer_handler &Handler) {
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
      {std::move(Message), Settings.PeerMs, isRead(Request.Call)},
      [this, Request, Addresses, Address, Uncertain,
       Handler](const std::optional<edge::response_message> &Response) {
        std::optional<store_answer> Answer;
        if (Response && Response->result() == edge::http::status::ok)
          Answer = decodeAnswer(Response->body());
        if (!Answer)
          Answer = store_answer{};
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

void relayed_store::readSnapshot(store_topic Topic, page_handler Handler) {
  call({store_call::Newest, Topic, 0, {}, {}, {}}, 0,
       [Handler](store_answer Answer) {
         Answer.Page.Status = Answer.Status;
         Handler(std::move(Answer.Page));
       });
}

void relayed_store::read(store_topic Topic, std::uint64_t From, int WaitMs,
                         page_handler Handler) {
  call({store_call::Read, Topic, From, {}, {}, {}}, WaitMs,
       [Handler](store_answer Answer) {
         Answer.Page.Status = Answer.Status;
         Handler(std::move(Answer.Page));
       });
}

void relayed_store::appendAs(store_topic Topic, const store_writer &Writer,
                             std::string_view Key, std::string_view Value,
                             append_handler Handler) {
  call({store_call::AppendAs, Topic, 0, Writer, std::string(Key),
        std::string(Value)},
       0, [Handler](const store_answer &Answer) { Handler(Answer.Status); });
}

void relayed_store::fence(store_topic Topic, const store_writer &Writer,
                          append_handler Handler) {
  call({store_call::Fence, Topic, 0, Writer, {}, {}}, 0,
       [Handler](const store_answer &Answer) { Handler(Answer.Status); });
}

void peer_service::serve(const edge::request_message &Request,
                         const edge::respond &Respond) {
  const std::optional<store_request> Call = decodeRequest(Request.body());
  if (!Call)
    return Respond(edge::response_message(edge::http::status::bad_request, 11));
  if (!Own.isDirect()) {
    edge::response_message Message(edge::http::status::ok, 11);
    Message.body() = encode(store_answer{store_status::Refused, {}});
    return Respond(std::move(Message));
  }
  perform(Direct, *Call, 0, [Respond](const store_answer &Answer) {
    edge::response_message Message(edge::http::status::ok, 11);
    Message.body() = encode(Answer);
    Respond(std::move(Message));
  });
}

} // namespace tamarack::peers
