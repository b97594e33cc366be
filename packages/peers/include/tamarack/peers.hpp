// Access to the platform's store through other instances, as a fallback.
//
// Contents:
//   messages      store_request, store_response, encode, decodeRequest,
//                 decodeResponse
//   caller side   failover_settings, store_path_listener, failover_store
//   peer side     shared_read_store, served_call, peer_service_listener,
//                 peer_store_service, performStoreCall
//
// An instance that can't reach the store lets a peer make the call. The peer
// decides nothing and keeps no part of a response, except for a page that other
// instances may ask for within ReuseMs, so this adds no state to the system: an
// append is still accepted by the store alone.
#pragma once

#include "tamarack/edge.hpp"
#include "tamarack/ports.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace tamarack::peers {

//---------------------------------------------------------------------------
// Messages
//---------------------------------------------------------------------------

// Encoded by number; keep the order.
enum class store_call { SnapshotPage, Read, AppendAs, Fence };

// One call of keyed_store. Comments name the calls that use a member.
struct store_request {
  store_call Call = store_call::SnapshotPage;
  store_topic Topic = store_topic::Configuration;
  std::optional<std::string> After; // SnapshotPage.
  std::uint64_t From = 0;           // Read: first offset.
  store_writer Writer;              // AppendAs and Fence.
  std::string Key;                  // AppendAs.
  std::string Value;                // AppendAs.
};

struct store_response {
  store_status Status = store_status::Unavailable;
  std::uint64_t Era = 0; // Of the store, see store_era.
  keyed_page Page;       // SnapshotPage and Read.
};

std::string encode(const store_request &Request);
std::string encode(const store_response &Response);
// Empty if Bytes are not a valid message.
std::optional<store_request> decodeRequest(std::string_view Bytes);
std::optional<store_response> decodeResponse(std::string_view Bytes);

//---------------------------------------------------------------------------
// Caller side
//---------------------------------------------------------------------------

struct failover_settings {
  // After a failed direct call, calls go to peers first for this time, as long
  // as a peer reaches the store.
  int PreferPeersMs = 1'000;
  int PeerTimeoutMs = 500;         // Longest wait for a peer's response.
  std::size_t MaxPeersPerCall = 2; // Peers that one call may be sent to.
  // See edge::channel_request.
  const edge::response_patience *Patience = nullptr;
};

// Notified when the store is reached by another path than before.
class store_path_listener {
public:
  virtual ~store_path_listener() = default;
  virtual void onPathChanged(bool IsDirect) = 0;
};

// Calls the store directly, and through peers while the direct path fails.
class failover_store final : public keyed_store {
public:
  using address_source = std::function<std::vector<std::string>()>;

  // Peers returns the addresses of other instances, without this one.
  failover_store(edge::net::io_context &Context, keyed_store &DirectStore,
                 address_source Peers, const clock &Clock,
                 random_source &Random, store_era &Era,
                 store_path_listener &Listener, failover_settings Settings);

  void readSnapshotPage(store_topic Topic,
                        const std::optional<std::string> &After,
                        page_handler Handler) override;
  void read(store_topic Topic, std::uint64_t From, int WaitMs,
            page_handler Handler) override;
  void appendAs(store_topic Topic, const store_writer &Writer,
                std::string_view Key, std::string_view Value,
                append_handler Handler) override;
  void fence(store_topic Topic, const store_writer &Writer,
             append_handler Handler) override;
  // Calls for which a peer reached the store.
  std::uint64_t peerCallCount() const { return PeerCalls; }
  // False while the store is reached through peers, or not at all.
  bool isDirectPathActive() const {
    return IsPathDirect && !HasLastDirectCallFailed;
  }

private:
  using response_handler = std::function<void(store_response)>;

  void readPage(const store_request &Request, int WaitMs, page_handler Handler);
  void write(const store_request &Request, append_handler Handler);
  void call(const store_request &Request, int WaitMs,
            const response_handler &Handler);
  void callDirect(const store_request &Request, int WaitMs, bool ThenPeers,
                  const response_handler &Handler);
  // MayBeStored: an earlier attempt of this append may have been stored.
  void callPeers(const store_request &Request, bool MayBeStored,
                 const response_handler &Handler);
  void callNextPeer(const store_request &Request,
                    std::vector<std::string> Addresses, bool MayBeStored,
                    const response_handler &Handler);
  // False if the response is of a former era of the store.
  bool isCurrent(store_response &Response);
  // Records the path of a successful call.
  void setPath(bool IsDirect);

  edge::net::io_context &Context;
  keyed_store &DirectStore;
  address_source Peers;
  const clock &Clock;
  random_source &Random;
  store_era &Era;
  store_path_listener &Listener;
  failover_settings Settings;
  bool IsPathDirect = true; // Path of the last successful call.
  bool HasLastDirectCallFailed = false;
  std::string LastGoodPeer; // Address of the peer that reached the store last.
  time_ms PreferPeersUntil = 0; // Monotonic.
  std::uint64_t PeerCalls = 0;
  // By address and topic, so that no topic waits for another.
  std::map<std::pair<std::string, store_topic>,
           std::shared_ptr<edge::http_channel>>
      Channels;
};

//---------------------------------------------------------------------------
// Peer side
//---------------------------------------------------------------------------

// Passes calls on to another store, but makes one read for all instances that
// ask for the same records of a topic at about the same time.
//
// When a large record is slow to arrive, the instances that asked for it give
// up and ask again. Each of these reads would take as long as the first one and
// delay the others. A second request joins the read in progress, or gets its
// result.
//
// A shared page is as of the beginning of the first read, so it may be older
// than the request by the duration of a read and ReuseMs; its StaleMs tells by
// how much. Only the topics that instances do not write are shared: the others
// need a read that begins after the instance's own last write.
class shared_read_store final : public keyed_store {
public:
  static constexpr int ReuseMs = 500; // After the end of a read.
  // Of the pages that are kept for reuse.
  static constexpr std::size_t MaxKeptBytes = 2u << 20;

  shared_read_store(keyed_store &Store, const clock &Clock)
      : Store(Store), Clock(Clock) {}

  void readSnapshotPage(store_topic Topic,
                        const std::optional<std::string> &After,
                        page_handler Handler) override;
  // A read with WaitMs above 0 is not shared.
  void read(store_topic Topic, std::uint64_t From, int WaitMs,
            page_handler Handler) override;
  void appendAs(store_topic Topic, const store_writer &Writer,
                std::string_view Key, std::string_view Value,
                append_handler Handler) override;
  void fence(store_topic Topic, const store_writer &Writer,
             append_handler Handler) override;

private:
  // What is read, as in store_request.
  struct read_key {
    store_topic Topic = store_topic::Configuration;
    store_call Call = store_call::SnapshotPage;
    std::optional<std::string> After;
    std::uint64_t From = 0;

    bool operator<(const read_key &Other) const {
      return std::tie(Topic, Call, After, From) <
             std::tie(Other.Topic, Other.Call, Other.After, Other.From);
    }
  };

  struct waiting_reader {
    page_handler Handler;
    int StaleMs = 0; // Since the beginning of the read.
  };

  struct shared_read {
    std::vector<waiting_reader> Waiting; // Empty once the read has ended.
    keyed_page Page;                     // Of the ended read.
    time_ms StartedAt = 0;               // By clock::sinceBoot.
    time_ms EndedAt = 0;                 // Monotonic.
  };

  // True if the caller has to start the read, false if Handler was called or
  // waits for a read in progress.
  bool joinRead(const read_key &Key, page_handler &Handler);
  page_handler endOf(const read_key &Key);
  std::size_t keptBytes() const;
  void removeExpired();

  keyed_store &Store;
  const clock &Clock;
  std::map<read_key, shared_read> Reads;
};

// One finished call on behalf of another instance.
struct served_call {
  store_call Call = store_call::SnapshotPage;
  store_topic Topic = store_topic::Configuration;
  store_status Status = store_status::Unavailable;
  time_ms ElapsedMs = 0;         // Since the request was received.
  std::size_t ResponseBytes = 0; // Sent to the other instance.
};

// Receives a report of each call that was made for another instance.
class peer_service_listener {
public:
  virtual ~peer_service_listener() = default;
  virtual void onPeerCallServed(const served_call &Call) = 0;
};

// Makes store calls on behalf of other instances, if this instance reaches the
// store directly; refuses them otherwise.
class peer_store_service {
public:
  // OwnStore provides the state of the direct path of this instance. Calls
  // through DirectStore must not delay this instance's own calls.
  peer_store_service(keyed_store &DirectStore, const failover_store &OwnStore,
                     const store_era &Era, const clock &Clock,
                     peer_service_listener &Listener)
      : DirectStore(DirectStore), OwnStore(OwnStore), Era(Era), Clock(Clock),
        Listener(Listener) {}
  void serve(const edge::request_message &Request,
             const edge::respond_callback &Respond);

private:
  keyed_store &DirectStore;
  const failover_store &OwnStore;
  const store_era &Era;
  const clock &Clock;
  peer_service_listener &Listener;
};

// Makes the call that Request describes. WaitMs is the long-poll time of Read.
void performStoreCall(keyed_store &Store, const store_request &Request,
                      int WaitMs,
                      const std::function<void(store_response)> &Handler);

} // namespace tamarack::peers
