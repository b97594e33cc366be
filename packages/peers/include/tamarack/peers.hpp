// The store reached through other instances.
//
// Contents:
//   messages      store_request, store_response, encode, decode
//   both sides    failover_store, peer_store_service
//
// An instance that can't reach the store asks another one to make the call for
// it. The other one holds nothing of the answer and decides nothing, so this
// adds no state: an append is still accepted by the store alone.
#pragma once

#include "tamarack/edge.hpp"
#include "tamarack/ports.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::peers {

//---------------------------------------------------------------------------
// Messages
//---------------------------------------------------------------------------

enum class store_call { Snapshot, Read, AppendAs, Fence };

struct store_request {
  store_call Call = store_call::Snapshot;
  store_topic Topic = store_topic::Configuration;
  std::uint64_t From = 0; // Read: first offset.
  store_writer Writer;    // AppendAs and Fence.
  std::string Key;        // AppendAs.
  std::string Value;      // AppendAs.
};

struct store_response {
  store_status Status = store_status::Unavailable;
  keyed_page Page; // Of Newest and Read.
};

std::string encode(const store_request &Request);
std::string encode(const store_response &Answer);
// Empty if Bytes hold no message.
std::optional<store_request> decodeRequest(std::string_view Bytes);
std::optional<store_response> decodeResponse(std::string_view Bytes);

//---------------------------------------------------------------------------
// Both sides
//---------------------------------------------------------------------------

struct failover_settings {
  int PreferPeersMs = 1'000; // Peers go first for so long after a failure.
  int PeerTimeoutMs = 500;   // Longest wait for a peer's answer.
  std::size_t MaxPeersPerCall = 2; // Asked for one call.
};

// Told when the store is reached another way than before.
class store_path_listener {
public:
  virtual ~store_path_listener() = default;
  virtual void onPathChanged(bool Direct) = 0;
};

// The store, directly or through a peer.
class failover_store final : public keyed_store {
public:
  using address_source = std::function<std::vector<std::string>()>;

  // Peers returns the addresses of other instances, without this one.
  failover_store(edge::net::io_context &Context, keyed_store &Direct,
                 address_source Peers, const clock &Clock,
                 random_source &Random, store_path_listener &Listener,
                 failover_settings Settings);

  void newest(store_topic Topic, page_handler Handler) override;
  void read(store_topic Topic, std::uint64_t From, int WaitMs,
            page_handler Handler) override;
  void appendAs(store_topic Topic, const store_writer &Writer,
                std::string_view Key, std::string_view Value,
                append_handler Handler) override;
  void fence(store_topic Topic, const store_writer &Writer,
             append_handler Handler) override;
  std::uint64_t peerCallCount() const { return Relayed; }
  // False while the store is reached through peers, or not at all.
  bool isDirectPathActive() const { return IsDirect && !LastFailed; }

private:
  using response_handler = std::function<void(store_response)>;

  void call(const store_request &Request, int WaitMs,
            const response_handler &Handler);
  void callDirect(const store_request &Request, int WaitMs, bool ThenPeers,
                  const response_handler &Handler);
  // Uncertain: an attempt before may have been stored.
  void callPeer(const store_request &Request, bool Uncertain,
                const response_handler &Handler);
  void callNextPeer(const store_request &Request,
                    std::vector<std::string> Addresses, bool Uncertain,
                    const response_handler &Handler);
  void note(bool Direct);

  edge::net::io_context &Context;
  keyed_store &Direct;
  address_source Peers;
  const clock &Clock;
  random_source &Random;
  store_path_listener &Listener;
  failover_settings Settings;
  bool IsDirect = true;
  bool LastFailed = false; // The last direct call.
  std::string LastHelper;  // Address of the peer that reached the store last.
  time_ms PeersFirstUntil = 0;
  std::uint64_t Relayed = 0;
  std::map<std::string, std::shared_ptr<edge::http_channel>> Channels;
};

// Makes calls to the store for other instances.
class peer_store_service {
public:
  // Own tells whether this instance reaches the store itself.
  peer_store_service(keyed_store &Direct, const failover_store &Own)
      : Direct(Direct), Own(Own) {}
  void serve(const edge::request_message &Request,
             const edge::respond_callback &Respond);

private:
  keyed_store &Direct;
  const failover_store &Own;
};

// Makes the call that Request tells of; WaitMs is for Read.
void performStoreCall(keyed_store &Store, const store_request &Request,
                      int WaitMs,
                      const std::function<void(store_response)> &Handler);

} // namespace tamarack::peers
