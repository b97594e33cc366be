// One ledger stream of the log in this daemon: the state of the stream and the
// threads that read records, append batches and replicate bill lines to the
// witness.
//
// Lock order: member_service::Lock may be taken while ledger_stream::Lock is
// held, never the other way round. ledger_stream::Lock is not held during a
// call to the log or to a peer.
#pragma once

#include "tamarack/adapters.hpp"
#include "tamarack/fleet.hpp"
#include "tamarack/money.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace tamarack::daemon {

// The view of the fleet that a ledger stream needs. Thread-safe.
class fleet_view {
public:
  virtual ~fleet_view() = default;
  // Witness, holders and suspected daemons for the stream's next batch.
  virtual money::home_view homeView(std::uint32_t Stream) = 0;
  // nng address of a daemon, empty if the incarnation is unknown.
  virtual std::optional<std::string> peerUrl(ledger::incarnation_id Peer) = 0;
  // True if this daemon is home of the stream.
  virtual bool isHome(std::uint32_t Stream) = 0;
  // Suspected incarnations included, forgotten ones not.
  virtual std::set<ledger::incarnation_id> recentlyHeardIncarnations() = 0;
  // Reports that a call to the daemon got no response.
  virtual void markUnresponsive(ledger::incarnation_id Peer) = 0;
};

// Figures for the status page and for metrics.
struct stream_status {
  std::uint32_t Stream = 0;
  bool IsFollowing = false;     // The threads of the stream run.
  bool IsCaughtUp = false;      // All records of the log were read.
  std::uint64_t NextOffset = 0; // First offset not read yet.
  std::size_t BudgetCount = 0;
  std::size_t OpenGrantCount = 0; // Of all holders.
  std::size_t RequestKeyCount = 0;
  std::size_t WitnessLineCount = 0; // Stored here for other holders.
  ledger::fold_counters FoldCounters;
  money::home_counters HomeCounters;
};

// Thread-safe. The threads run only while the stream is followed: from the
// first request or maintenance round that needs the log, until maintenance
// finds that the stream is no longer needed.
class ledger_stream {
public:
  ledger_stream(std::uint32_t Stream, ledger::incarnation_id SelfIncarnation,
                const money::grant_policy &Policy, append_log &Log,
                fleet::peer_client &PeerClient, fleet_view &Fleet, clock &Clock,
                random_source &Random, int CheckpointRecords);
  ~ledger_stream();
  ledger_stream(const ledger_stream &) = delete;
  ledger_stream &operator=(const ledger_stream &) = delete;

  // Calls for requests; they block up to WaitMs of the request ---------------

  // Refusal is Undecided if WaitMs passed without a grant.
  fleet::reserve_response reserve(const fleet::reserve_request &Request);
  // True if the bill line is replicated, stored by holder and witness. False:
  // reserve again and settle on the new grant.
  bool settle(const fleet::settle_request &Request);
  void release(const fleet::release_request &Request);
  // Decided is false if WaitMs passed before the log showed the claim.
  fleet::claim_response claim(const fleet::claim_request &Request);

  // Witness ------------------------------------------------------------------

  // Stores bill lines for their holder. The response names the grants that are
  // sealed here; their lines are not stored.
  fleet::witness_response
  handleWitnessRequest(const fleet::witness_request &Request);

  // Maintenance, about once a second -----------------------------------------

  // Follows the stream if this daemon is home or a holder that named this
  // daemon as witness is suspected; frees reservations made for suspected
  // daemons; stops following the stream when it is no longer needed.
  void runMaintenance();
  // Waits up to WaitMs until the log has the closes of all grants; false if
  // some are missing. The grants close because homeView says Leaving.
  bool waitUntilAllGrantsClosed(int WaitMs);

  stream_status status();

private:
  struct blocked_call;

  void startFollowing();
  void stopFollowing();
  void readLoop();
  void writeLoop();
  void witnessLoop();
  void readPage();
  void startFromCheckpoint(std::uint64_t First);
  void appendBatch(const ledger::ledger_batch &Batch);
  void sendWitnessUpdate(const money::witness_update &Update);
  void checkpointIfDue();
  void dropOldSeals();
  void deliverResults();
  void recordRemoteReservation(const fleet::reserve_request &Request,
                               const money::reservation &Reservation);

  const std::uint32_t Stream;
  const std::string StreamName;
  const ledger::incarnation_id SelfIncarnation;
  const int CheckpointRecords; // Least distance between two checkpoints.
  append_log &Log;
  fleet::peer_client &PeerClient;
  fleet_view &Fleet;
  clock &Clock;
  random_source &Random;
  adapters::component_logger Logger;

  std::mutex Lock; // Guards all members below.
  money::witness_store WitnessedLines;
  money::ledger_home LedgerHome;
  // Holders that named this daemon as witness.
  std::set<ledger::incarnation_id> WitnessedHolders;
  std::map<money::waiter_id, blocked_call *> BlockedReservations;
  std::multimap<ledger::request_key, blocked_call *> BlockedSettlements;
  std::multimap<ledger::request_key, blocked_call *> BlockedClaims;
  // Reservations made for other daemons, by the incarnation that requested
  // them.
  std::multimap<ledger::incarnation_id, money::reservation> RemoteReservations;
  std::condition_variable WriterCondition;
  std::condition_variable WitnessCondition;
  std::uint64_t NextCheckpointOffset = 0;
  std::uint64_t LoggedViolations = 0; // Of the fold's Violations.
  int UnneededMaintenanceRounds = 0;  // In a row.
  time_ms LastSealDropTime = 0;       // Unix ms.
  bool Following = false;
  bool Stopping = false;
  std::thread ReaderThread;
  std::thread WriterThread;
  std::thread WitnessSenderThread;
};

} // namespace tamarack::daemon
