// Records of prepaid budgets, and the fold that every reader applies to them.
//
// Contents:
//   amounts and identifiers    amount, incarnation_id, grant_id, request_key
//   ledger records             entry, ledger_batch, encodeBatch, decodeBatch
//   the fold                   ledger_fold, findCheckpoint
//
// Every budget belongs to one stream of the platform's log. All readers fold
// the stream by the same rules, so they agree on which grants were accepted and
// which bill lines count. Nothing in this package reads a clock or a socket.
#pragma once

#include "tamarack/ports.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace tamarack::ledger {

//---------------------------------------------------------------------------
// Amounts and identifiers
//---------------------------------------------------------------------------

using amount = std::int64_t; // Prepaid tokens, weighted by price.

// One start of one daemon process. The upper 42 bits are the start time in ms
// since the epoch, the lower 22 bits are random. 0 means none.
using incarnation_id = std::uint64_t;

inline constexpr int IncarnationRandomBits = 22;

incarnation_id makeIncarnation(time_ms Start, std::uint64_t Random);
time_ms incarnationStart(incarnation_id Id);

// The daemon that may execute a not-repeatable request.
struct executor_id {
  incarnation_id Incarnation = 0; // 0 means nobody.
  std::string Instance;           // Instance name, by which peers reach it.
  bool operator==(const executor_id &) const = default;
};

// Identifies a grant: its holder and a number that the holder increments.
struct grant_id {
  incarnation_id Holder = 0; // Incarnation that may spend the grant.
  std::uint32_t Number = 0;  // From 1, never reused by the holder.
  bool operator==(const grant_id &) const = default;
  bool operator<(const grant_id &Other) const {
    return std::tie(Holder, Number) < std::tie(Other.Holder, Other.Number);
  }
};

// Identifies a request within its budget: 128-bit hash of the client account
// and the caller's key.
struct request_key {
  std::uint64_t High = 0; // Upper half of the hash.
  std::uint64_t Low = 0;  // Lower half of the hash.
  bool operator==(const request_key &) const = default;
  bool operator<(const request_key &Other) const {
    return std::tie(High, Low) < std::tie(Other.High, Other.Low);
  }
};

request_key makeRequestKey(std::string_view Account, std::string_view Key);

struct request_key_hash {
  std::size_t operator()(const request_key &Key) const { return Key.Low; }
};

// Returns the ledger stream of a budget. Streams is the fixed stream count.
std::uint32_t streamOf(std::string_view Budget, std::uint32_t Streams);
std::string streamName(std::uint32_t Stream); // "ledger-<n>"

//---------------------------------------------------------------------------
// Ledger records
//---------------------------------------------------------------------------

// Adds prepaid tokens to a budget or, with a negative Delta, removes some. The
// first credit of a budget creates the budget.
struct credit_entry {
  request_key Id;        // Unique; a credit with a known Id is dropped.
  time_ms CreatedAt = 0; // When Id was created; too old a credit is dropped.
  std::string Budget;    // Budget name.
  amount Delta = 0;      // Prepaid tokens.
};

// Requests a grant. The fold accepts the request if at least Minimum is
// available and grants min(Maximum, available).
struct grant_entry {
  grant_id Grant;             // Its holder must be the writer of the batch.
  std::string Budget;         // Budget name.
  incarnation_id Witness = 0; // Acknowledges bill lines; 0 if no witness.
  amount Maximum = 0;         // Largest amount that the holder can use.
  amount Minimum = 0;         // Smallest amount that helps the holder, > 0.
};

// The cost of one request.
struct bill_line {
  request_key Key;       // Identifies the request.
  time_ms CreatedAt = 0; // When the request key was created.
  amount Amount = 0;     // Actual cost, >= 0.
};

// Bill lines of a grant, written by its holder.
struct bill_entry {
  grant_id Grant;
  std::vector<bill_line> Lines;
};

// Returns a part of a grant to the budget. Written by the holder only, after it
// has lowered its own limit.
struct return_entry {
  grant_id Grant;
  amount Amount = 0; // > 0.
};

// Ends a grant: Lines are billed, the rest of the grant becomes available
// again. The fold applies only the first close of a grant. Written by the
// holder, the witness or an operator (write-off).
struct close_entry {
  grant_id Grant;
  std::vector<bill_line> Lines;
  bool WriteOff = false; // True if written by an operator.
};

// The folded state of the stream before NextOffset, see ledger_fold.
struct checkpoint_entry {
  std::uint64_t NextOffset = 0; // First offset that State does not cover.
  std::uint64_t Digest = 0;     // Digest of State.
  byte_string State;            // Encoded by ledger_fold::encodeState.
};

// Claims the only execution of a not-repeatable request. The first claim of a
// key wins.
struct claim_entry {
  request_key Key;       // Identifies the request.
  time_ms CreatedAt = 0; // When Key was created; too old a claim is rejected.
  executor_id Executor;  // Who may execute the request.
};

// The codec writes the position of the alternative: append new kinds only.
using entry = std::variant<credit_entry, grant_entry, bill_entry, return_entry,
                           close_entry, checkpoint_entry, claim_entry>;

// The entries of one append to a stream. A writer numbers its batches per
// stream from 1 and appends batch n+1 only once batch n is stored, so that the
// fold can drop a duplicate append by its number.
//
// The fold forgets a writer after WriterWindowMs. A batch of a forgotten writer
// is accepted only if it is younger than half of WriterWindowMs; otherwise a
// delayed duplicate of an old batch would count as a new one.
struct ledger_batch {
  incarnation_id Writer = 0;
  std::uint64_t Number = 0;
  time_ms CreatedAt = 0; // Unchanged when the batch is appended again.
  std::vector<entry> Entries;
};

byte_string encodeBatch(const ledger_batch &Batch);

// Returns nullopt if the bytes are not a batch. Never throws on bad input.
std::optional<ledger_batch> decodeBatch(byte_view Bytes);

//---------------------------------------------------------------------------
// The fold
//---------------------------------------------------------------------------

// All readers must use the same values of these constants; a change needs a new
// RecordVersion.

// Age up to which a request key is accepted and duplicates of it are detected.
inline constexpr time_ms KeyWindowMs = 10 * 60 * 1000;
// Time for which the batch numbers of a silent writer are remembered.
inline constexpr time_ms WriterWindowMs = 24 * 60 * 60 * 1000;
inline constexpr int RecordVersion = 1;

struct budget_state {
  amount Credits = 0;           // Prepaid in total.
  amount Committed = 0;         // Open grants in full, bills of closed grants.
  amount Billed = 0;            // Sum of the bill lines that count.
  amount PendingReduction = 0;  // Reduction that waits for granted tokens.
  std::uint32_t OpenGrants = 0; // Number of open grants.

  amount available() const { return Credits - Committed; }
};

struct grant_state {
  std::string Budget;         // Budget name.
  incarnation_id Witness = 0; // 0 if no witness.
  amount Amount = 0;          // Size of the grant, billed part included.
  amount Billed = 0;          // Sum of the bill lines that count.
  time_ms OpenedAt = 0;       // Log time at which the grant was accepted.
};

struct fold_counters {
  std::uint64_t Unreadable = 0;       // Records that are not batches.
  std::uint64_t DuplicateBatches = 0; // Duplicate or outdated batches: void.
  std::uint64_t DuplicateKeys = 0;    // Further bill lines of a key: void.
  std::uint64_t LateLines = 0;        // Bill lines after the close: void.
  std::uint64_t Rejected = 0;         // Entries that break a rule.
  std::uint64_t DigestMismatches = 0; // Checkpoints that differ from the fold.
  std::uint64_t Violations = 0;       // Broken invariants; must stay 0.
};

// Receives the decisions of the fold, in stream order. Called under the lock of
// the caller of ledger_fold::apply; must not call back into the fold.
class ledger_listener {
public:
  virtual ~ledger_listener() = default;
  virtual void onGrantOpened(const grant_id &Grant,
                             const grant_state &State) = 0;
  // Called if the budget cannot cover a grant request and, with an empty Grant,
  // if a reduction has to wait for granted tokens.
  virtual void onGrantVoided(const grant_id &Grant,
                             std::string_view Budget) = 0;
  virtual void onGrantClosed(const grant_id &Grant,
                             const grant_state &State) = 0;
  // Called after a credit, a return or a close that leaves tokens available.
  virtual void onTokensAvailable(std::string_view Budget) = 0;
  virtual void onGrantBilled(const grant_id &Grant,
                             const grant_state &State) = 0;
  // Executor is the winner of Key, or nobody if the claim was too old.
  virtual void onClaimDecided(const request_key &Key,
                              const executor_id &Executor) = 0;
};

// Ignores all decisions; for readers that need the folded state only.
class null_listener final : public ledger_listener {
public:
  void onGrantOpened(const grant_id &, const grant_state &) override {}
  void onGrantVoided(const grant_id &, std::string_view) override {}
  void onGrantClosed(const grant_id &, const grant_state &) override {}
  void onTokensAvailable(std::string_view) override {}
  void onGrantBilled(const grant_id &, const grant_state &) override {}
  void onClaimDecided(const request_key &, const executor_id &) override {}
};

// Deterministic state of one ledger stream. Not thread-safe.
class ledger_fold {
public:
  explicit ledger_fold(ledger_listener &Listener);

  // Applies the record at Offset == nextOffset(). Unreadable records are
  // counted and skipped. Asserts that offsets have no gaps.
  void apply(const log_record &Record);

  std::uint64_t nextOffset() const { return NextOffset; }
  const fold_counters &counters() const { return Counters; }

  // Both return nullptr if the stream has no such budget or open grant.
  const budget_state *findBudget(std::string_view Budget) const;
  const grant_state *findGrant(const grant_id &Grant) const;
  bool isBilled(const request_key &Key) const { return SeenKeys.contains(Key); }

  // Winner of the claims of Key, nobody if Key is not claimed.
  executor_id claimWinner(const request_key &Key) const;

  // Number of the last batch of Writer in the stream, 0 if none.
  std::uint64_t lastBatchNumber(incarnation_id Writer) const;

  const std::map<std::string, budget_state, std::less<>> &budgets() const {
    return Budgets;
  }
  const std::map<grant_id, grant_state> &grants() const { return Grants; }
  std::size_t keyCount() const { return SeenKeys.size(); }
  // NextOffset of the latest checkpoint in the stream, 0 if none.
  std::uint64_t lastCheckpointOffset() const { return LastCheckpointOffset; }

  // Encodes the state. Readers at the same offset get the same bytes.
  byte_string encodeState() const;
  static std::uint64_t digestOf(byte_view State);
  checkpoint_entry makeCheckpoint() const;

  // Replaces the state by a checkpoint. Returns false and changes nothing if
  // the checkpoint is damaged. The next record to apply is the one at
  // Checkpoint.NextOffset.
  bool restore(const checkpoint_entry &Checkpoint);

private:
  struct writer_state {
    std::uint64_t LastBatch = 0; // Number of the last accepted batch.
    time_ms LastBatchTime = 0;   // Log time of the last accepted batch.
  };

  struct dated_key {
    time_ms LogTime = 0; // When the entry with Key was accepted.
    request_key Key;
  };

  bool acceptBatchNumber(const ledger_batch &Batch);
  void applyEntry(const ledger_batch &Batch, const credit_entry &Entry);
  void applyEntry(const ledger_batch &Batch, const grant_entry &Entry);
  void applyEntry(const ledger_batch &Batch, const bill_entry &Entry);
  void applyEntry(const ledger_batch &Batch, const return_entry &Entry);
  void applyEntry(const ledger_batch &Batch, const close_entry &Entry);
  void applyEntry(const ledger_batch &Batch, const checkpoint_entry &Entry);
  void applyEntry(const ledger_batch &Batch, const claim_entry &Entry);
  void verifyCheckpoints(const ledger_batch &Batch);
  void applyLine(grant_state &Grant, budget_state &Budget,
                 const bill_line &Line);
  void releaseCommitted(const std::string &Name, budget_state &Budget,
                        amount Amount);
  void storeKey(const request_key &Key);
  bool isNewKey(const request_key &Key, time_ms CreatedAt);
  void expireKeysAndClaims();
  void checkInvariants(const budget_state &Budget);
  time_ms oldestAcceptedKeyTime() const;

  ledger_listener &Listener;
  std::map<std::string, budget_state, std::less<>> Budgets;
  std::map<grant_id, grant_state> Grants; // Open grants.
  // Keys of bill lines and ids of credits that must not be applied again.
  std::unordered_set<request_key, request_key_hash> SeenKeys;
  std::deque<dated_key> KeyExpiryQueue; // Oldest first.
  std::unordered_map<request_key, executor_id, request_key_hash> Claims;
  std::deque<dated_key> ClaimExpiryQueue; // Oldest first.
  std::multiset<time_ms> OpenGrantTimes;  // OpenedAt of each open grant.
  std::map<incarnation_id, writer_state> Writers;
  std::uint64_t NextOffset = 0;
  std::uint64_t LastCheckpointOffset = 0;
  time_ms LatestLogTime = 0; // Largest time of all applied records.
  fold_counters Counters;
};

// Finds the oldest checkpoint of Stream from which a reader can continue
// without a gap. First is the oldest offset that the log still stores. Throws
// log_unavailable.
std::optional<checkpoint_entry>
findCheckpoint(append_log &Log, std::string_view Stream, std::uint64_t First);

} // namespace tamarack::ledger
