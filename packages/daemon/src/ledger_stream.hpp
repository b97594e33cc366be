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
  virtual std::set<money::incarnation_id> recentlyHeardIncarnations() = 0;
  // A call to the daemon got no answer.
  virtual void markUnresponsive(money::incarnation_id Peer) = 0;
};

struct stream_status {
  std::uint32_t Stream = 0;
  bool IsFollowing = false;
  bool IsCaughtUp = false;
  std::uint64_t NextOffset = 0;
  std::size_t BudgetCount = 0;
  std::size_t OpenGrantCount = 0;
  std::size_t RequestKeyCount = 0;
  std::size_t WitnessLineCount = 0;
  money::fold_counters FoldCounters;
  money::home_counters HomeCounters;
};

class ledger_stream {
public:
  ledger_stream(std::uint32_t Stream, money::incarnation_id SelfIncarnation,
                const money::grant_policy &Policy, append_log &Log,
                fleet::peer_link &PeerClient, fleet_view &Fleet, clock &Clock,
                random_source &Random, int CheckpointRecords);
  ~ledger_stream();
  ledger_stream(const ledger_stream &) = delete;
  ledger_stream &operator=(const ledger_stream &) = delete;

  // Calls of requests; they block up to WaitMs ------------------------------

  fleet::reserve_answer reserve(const fleet::reserve_request &Request);
  bool settle(const fleet::settle_request &Request);
  void release(const fleet::release_request &Request);
  fleet::claim_answer claim(const fleet::claim_request &Request);

  // Witness ------------------------------------------------------------------

  fleet::witness_answer
  handleWitnessRequest(const fleet::witness_request &Request);

  // Upkeep, about once a second ----------------------------------------------

  // Starts to follow the log if a holder that named us is suspected; frees
  // reservations of dead entry daemons; stops following when not needed.
  void runMaintenance();
  // Closes every grant and waits until the log has it, up to WaitMs.
  bool closeAllGrants(int WaitMs);

  stream_status status();

private:
  struct blocked_call; // One blocked caller.

  void startFollowing();
  void stopFollowing();
  void readLoop();
  void writeLoop();
  void witnessLoop();
  void readPage();
  void startFromCheckpoint(std::uint64_t First);
  void appendBatch(const money::ledger_batch &Batch);
  void sendWitnessUpdate(const money::witness_update &Update);
  void checkpointIfDue();
  void dropOldSeals();
  void deliverResults();
  void recordRemoteReservation(const fleet::reserve_request &Request,
                               const money::reservation &Reservation);

  const std::uint32_t Stream;
  const std::string StreamName;
  const money::incarnation_id SelfIncarnation;
  const int CheckpointRecords;
  append_log &Log;
  fleet::peer_link &PeerClient;
  fleet_view &Fleet;
  clock &Clock;
  random_source &Random;
  adapters::log_part Logger;

  std::mutex Lock; // Guards all below.
  money::witness_book WitnessedLines;
  money::ledger_home LedgerHome;
  std::set<money::incarnation_id> WitnessedHolders; // That named us as witness.
  std::map<money::waiter_id, blocked_call *> BlockedReservations;
  std::multimap<money::request_key, blocked_call *> BlockedSettlements;
  std::multimap<money::request_key, blocked_call *> BlockedClaims;
  // Reservations made for other daemons, by the asking incarnation.
  std::multimap<money::incarnation_id, money::reservation> RemoteReservations;
  std::condition_variable WriterCondition;
  std::condition_variable WitnessCondition;
  std::uint64_t NextCheckpointOffset = 0; // Offset of the next checkpoint.
  std::uint64_t LoggedViolations = 0;
  int UnneededMaintenanceRounds = 0;
  time_ms LastSealDropTime = 0; // Last time old seals were dropped.
  bool Following = false;
  bool Stopping = false;
  std::thread ReaderThread;
  std::thread WriterThread;
  std::thread WitnessSenderThread;
};

} // namespace tamarack::daemon
