// One ledger stream at work: threads that read, append and reach the witness.
//
// Locks: Lock guards the stream's whole state. It is never held during a call
// to the log or a peer, and the members' lock may be taken while it is held,
// not the other way round.
#pragma once

#include "tamarack/adapters.hpp"
#include "tamarack/fleet.hpp"
#include "tamarack/money.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace tamarack::daemon {

// What a stream asks about the fleet. Thread-safe.
class fleet_view {
public:
  virtual ~fleet_view() = default;
  virtual money::home_view homeView(std::uint32_t Stream) = 0;
  virtual std::optional<std::string> peerUrl(money::incarnation_id Peer) = 0;
  virtual bool isHome(std::uint32_t Stream) = 0;
  virtual std::set<money::incarnation_id> livingIncarnations() = 0;
  // A call to the daemon got no answer.
  virtual void noteSilent(money::incarnation_id Peer) = 0;
};

struct stream_status {
  std::uint32_t Stream = 0;
  bool Following = false;
  bool CaughtUp = false;
  std::uint64_t Next = 0;
  std::size_t Budgets = 0;
  std::size_t Grants = 0;
  std::size_t Keys = 0;
  std::size_t WitnessLines = 0;
  money::fold_counters Fold;
  money::home_counters Home;
};

class ledger_stream {
public:
  ledger_stream(std::uint32_t Stream, money::incarnation_id Self,
                const money::grant_policy &Policy, append_log &Log,
                fleet::peer_client &Peers, fleet_view &Fleet, clock &Clock,
                random_source &Random, int CheckpointRecords);
  ~ledger_stream();
  ledger_stream(const ledger_stream &) = delete;
  ledger_stream &operator=(const ledger_stream &) = delete;

  // Calls of requests; they block up to WaitMs ------------------------------

  fleet::reserve_response reserve(const fleet::reserve_request &Request);
  bool settle(const fleet::settle_request &Request);
  void release(const fleet::release_request &Request);
  fleet::claim_response claim(const fleet::claim_request &Request);

  // Witness ------------------------------------------------------------------

  fleet::witness_response witness(const fleet::witness_request &Request);

  // Upkeep, about once a second ----------------------------------------------

  // Starts to follow the log if a holder that named us is suspected; frees
  // reservations of dead entry daemons; stops following when not needed.
  void maintain();
  // Closes every grant and waits until the log has it, up to WaitMs.
  bool leave(int WaitMs);

  stream_status status();

private:
  struct pending; // One blocked caller.

  void follow();
  void stopFollowing();
  void readLoop();
  void writeLoop();
  void witnessLoop();
  void readPage();
  void startFromCheckpoint(std::uint64_t First);
  void appendBatch(const money::ledger_batch &Batch);
  void sendUpdate(const money::witness_update &Update);
  void maybeCheckpoint();
  void expireSeals();
  void deliver();
  void noteEntry(const fleet::reserve_request &Request,
                 const money::reservation &Reservation);

  const std::uint32_t Stream;
  const std::string Name;
  const money::incarnation_id Self;
  const int CheckpointRecords;
  append_log &Log;
  fleet::peer_client &Peers;
  fleet_view &Fleet;
  clock &Clock;
  random_source &Random;
  adapters::log_part Part;

  std::mutex Lock; // Guards all below.
  money::witness_book Witnessed;
  money::ledger_home Home;
  std::set<money::incarnation_id> Holders; // That named us as witness.
  std::map<money::waiter_id, pending *> Reserving;
  std::multimap<money::request_key, pending *> Settling;
  std::multimap<money::request_key, pending *> Claiming;
  // Reservations made for other daemons, by the asking incarnation.
  std::multimap<money::incarnation_id, money::reservation> Entries;
  std::condition_variable WriterWake;
  std::condition_variable WitnessWake;
  std::uint64_t CheckpointAt = 0; // Offset of the next checkpoint.
  std::uint64_t ViolationsLogged = 0;
  int UnneededRounds = 0;
  time_ms SealsExpired = 0; // Last time old seals were dropped.
  bool Following = false;
  bool Stopping = false;
  std::thread Reader;
  std::thread Writer;
  std::thread WitnessSender;
};

} // namespace tamarack::daemon
