// Prepaid budgets: ledger records, the fold every reader runs, and grants.
//
// Contents:
//   amounts and identifiers    amount, incarnation_id, grant_id, request_key
//   ledger records             entry, ledger_batch, encodeBatch, decodeBatch
//   the fold                   ledger_fold
//   how much to ask for        grant_policy and its implementations
//   holder of grants           held_grants
//   witness of grants          witness_store
//   both together, per stream  ledger_home
//
// Every budget belongs to one stream of the platform's log. Each reader folds
// the stream by the same rules, so all agree on which grant was accepted and
// which bill counts. Nothing here reads a clock or a socket.
//
// Safety rule: the end of an answer goes out only after its bill line is kept
// by the holder and by the witness (or by the log). A close written by the
// witness therefore holds every bill of a delivered answer, and the rest of
// the grant is free again at once.
#pragma once

#include "tamarack/ports.hpp"

#include <cassert>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

namespace tamarack::money {

//---------------------------------------------------------------------------
// Amounts and identifiers
//---------------------------------------------------------------------------

using amount = std::int64_t; // Prepaid tokens, weighted by price.

// One run of one daemon. The upper 42 bits are its start in ms since the
// epoch, the lower 22 bits are random. 0 means none.
using incarnation_id = std::uint64_t;

inline constexpr int IncarnationRandomBits = 22;

incarnation_id makeIncarnation(time_ms Start, std::uint64_t Random);
time_ms incarnationStart(incarnation_id Id);

// Who may run a not-repeatable request.
struct executor_id {
  incarnation_id Incarnation = 0; // 0 means nobody.
  std::string Instance;           // Its name, by which others reach it.
  bool operator==(const executor_id &) const = default;
};

// A grant, unique for ever: its holder and a number that the holder counts up.
struct grant_id {
  incarnation_id Holder = 0; // Incarnation that may spend it.
  std::uint32_t Number = 0;  // From 1, never reused by that holder.
  bool operator==(const grant_id &) const = default;
  bool operator<(const grant_id &Other) const {
    return std::tie(Holder, Number) < std::tie(Other.Holder, Other.Number);
  }
};

// A request, unique within its budget. 128-bit hash of the caller's key.
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

// Ledger stream of a budget. Streams is the fixed number of streams.
std::uint32_t streamOf(std::string_view Budget, std::uint32_t Streams);
std::string streamName(std::uint32_t Stream); // "ledger-<n>"

//---------------------------------------------------------------------------
// Ledger records
//---------------------------------------------------------------------------

// Adds to a budget or, with a negative delta, reduces it. A first credit
// creates the budget.
struct credit_entry {
  request_key Id;        // Unique; a repeat is dropped.
  time_ms CreatedAt = 0; // When Id was made; too old is dropped.
  std::string Budget;    // Budget name.
  amount Delta = 0;      // Prepaid tokens.
};

// Asks for a grant. Accepted with min(Maximum, free) if that is >= Minimum.
struct grant_entry {
  grant_id Grant;             // Its holder must be the batch's writer.
  std::string Budget;         // Budget name.
  incarnation_id Witness = 0; // Acknowledges bill lines; 0 if unwitnessed.
  amount Maximum = 0;         // Largest useful amount.
  amount Minimum = 0;         // Least useful amount, > 0.
};

// One charge for one request.
struct bill_line {
  request_key Key;       // The request.
  time_ms CreatedAt = 0; // When the request key was made.
  amount Amount = 0;     // Actual cost, >= 0.
};

// Bill lines of a grant, written by its holder.
struct bill_entry {
  grant_id Grant;
  std::vector<bill_line> Lines;
};

// Hands a part of a grant back. Written by the holder only, after it has
// lowered its own limit.
struct return_entry {
  grant_id Grant;
  amount Amount = 0; // > 0.
};

// Ends a grant: Lines are added, the rest is free. First close wins.
// Written by the holder, the witness or an operator (write-off).
struct close_entry {
  grant_id Grant;
  std::vector<bill_line> Lines;
  bool WriteOff = false; // True if written by an operator.
};

// The folded state of the stream before offset NextOffset, see ledger_fold.
struct checkpoint_entry {
  std::uint64_t NextOffset = 0; // First offset that is not contained.
  std::uint64_t Digest = 0;     // Digest of State.
  byte_string State;            // Encoded by ledger_fold::encodeState.
};

// Claims the one run of a not-repeatable request. First claim wins.
struct claim_entry {
  request_key Key;       // The request.
  time_ms CreatedAt = 0; // When the key was made; too old is rejected.
  executor_id Executor;  // Who may run it.
};

using entry = std::variant<credit_entry, grant_entry, bill_entry, return_entry,
                           close_entry, checkpoint_entry, claim_entry>;

// What one append carries. A writer numbers its batches per stream from 1 and
// appends number n+1 only once n is stored, so a repeated append is dropped
// by its number.
//
// The fold forgets writers after WriterWindowMs. A batch of a forgotten writer
// counts only if it is younger than half of that, so that a late copy of an old
// batch can't pass for a new one.
struct ledger_batch {
  incarnation_id Writer = 0;
  std::uint64_t Number = 0;
  time_ms CreatedAt = 0; // When it was made; a repeat keeps it.
  std::vector<entry> Entries;
};

byte_string encodeBatch(const ledger_batch &Batch);

// Returns nothing if the bytes are not a batch. Never throws on bad input.
std::optional<ledger_batch> decodeBatch(byte_view Bytes);

//---------------------------------------------------------------------------
// The fold
//---------------------------------------------------------------------------

// Constants of the fold. All readers must agree on them; a change needs a new
// record version.
inline constexpr time_ms KeyWindowMs = 10 * 60 * 1000;
inline constexpr time_ms WriterWindowMs = 24 * 60 * 60 * 1000;
inline constexpr int RecordVersion = 1;

struct budget_state {
  amount Credits = 0;          // Prepaid in total.
  amount Committed = 0;        // Open grants in full plus bills of closed ones.
  amount Billed = 0;           // Sum of the bill lines that count.
  amount PendingReduction = 0; // Reduction that waits for granted money.
  std::uint32_t OpenGrants = 0;

  amount available() const { return Credits - Committed; }
};

struct grant_state {
  std::string Budget;
  incarnation_id Witness = 0;
  amount Amount = 0;    // Set aside, billed part included.
  amount Billed = 0;    // Sum of its lines that count.
  time_ms OpenedAt = 0; // Log time of its acceptance.
};

struct fold_counters {
  std::uint64_t Unreadable = 0;       // Records that are not batches.
  std::uint64_t DuplicateBatches = 0; // Appends stored twice.
  std::uint64_t DuplicateKeys = 0;    // Second bills of one request: void.
  std::uint64_t LateLines = 0;        // Bill lines after the close: void.
  std::uint64_t Rejected = 0;         // Entries against the rules.
  std::uint64_t DigestMismatches = 0; // Checkpoints that differ from the fold.
  std::uint64_t Violations = 0;       // Broken invariants; must stay 0.
};

// Receives what the fold decides, in stream order. Called under the caller's
// own lock; must not call back into the fold.
class ledger_listener {
public:
  virtual ~ledger_listener() = default;
  virtual void onGrantOpened(const grant_id &Grant,
                             const grant_state &State) = 0;
  virtual void onGrantVoided(const grant_id &Grant,
                             std::string_view Budget) = 0;
  virtual void onGrantClosed(const grant_id &Grant,
                             const grant_state &State) = 0;
  virtual void
  onTokensAvailable(std::string_view Budget) = 0; // More is available.
  virtual void onGrantBilled(const grant_id &Grant,
                             const grant_state &State) = 0;
  // Executor is the winner, or nobody if the claim was rejected as too old.
  virtual void onClaimDecided(const request_key &Key,
                              const executor_id &Executor) = 0;
};

// For readers that only look at the folded state.
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

  // Applies the record at Offset == nextOffset(). Unreadable bytes are skipped
  // and counted. Asserts that offsets come without gaps.
  void apply(const log_record &Record);

  std::uint64_t nextOffset() const { return NextOffset; }
  const fold_counters &counters() const { return Counters; }

  const budget_state *findBudget(std::string_view Budget) const;
  const grant_state *findGrant(const grant_id &Grant) const;
  bool isBilled(const request_key &Key) const { return Keys.contains(Key); }

  executor_id claimedBy(const request_key &Key) const;

  // Number of the last batch of Writer in the stream, 0 if none.
  std::uint64_t lastBatchNumber(incarnation_id Writer) const;

  const std::map<std::string, budget_state, std::less<>> &budgets() const {
    return Budgets;
  }
  const std::map<grant_id, grant_state> &grants() const { return Grants; }
  std::size_t keyCount() const { return Keys.size(); }
  std::uint64_t lastCheckpointOffset() const {
    return LastCheckpoint;
  } // Its NextOffset.

  // State as bytes, equal on all readers at the same offset.
  byte_string encodeState() const;
  static std::uint64_t digestOf(byte_view State);
  checkpoint_entry makeCheckpoint() const;

  // Replaces the state by a checkpoint. Returns false and changes nothing if
  // the bytes are damaged. The next record must be Checkpoint.NextOffset.
  bool restore(const checkpoint_entry &Checkpoint);

private:
  struct writer_state {
    std::uint64_t Number = 0; // Last batch seen.
    time_ms Seen = 0;         // Log time of that batch.
  };

  struct seen_key {
    time_ms Seen = 0; // Log time of the line that counted.
    request_key Key;
  };

  bool acceptWriter(const ledger_batch &Batch);
  void applyEntry(const ledger_batch &Batch, const credit_entry &Entry);
  void applyEntry(const ledger_batch &Batch, const grant_entry &Entry);
  void applyEntry(const ledger_batch &Batch, const bill_entry &Entry);
  void applyEntry(const ledger_batch &Batch, const return_entry &Entry);
  void applyEntry(const ledger_batch &Batch, const close_entry &Entry);
  void applyEntry(const ledger_batch &Batch, const checkpoint_entry &Entry);
  void applyEntry(const ledger_batch &Batch, const claim_entry &Entry);
  void compareCheckpoints(const ledger_batch &Batch);
  void applyLine(grant_state &Grant, budget_state &Budget,
                 const bill_line &Line);
  void release(const std::string &Name, budget_state &Budget, amount Amount);
  void rememberKey(const request_key &Key);
  bool isNewKey(const request_key &Key, time_ms CreatedAt);
  void expire();
  void checkBudget(const budget_state &Budget);
  time_ms keyHorizon() const;

  ledger_listener &Listener;
  std::map<std::string, budget_state, std::less<>> Budgets;
  std::map<grant_id, grant_state> Grants;
  std::unordered_set<request_key, request_key_hash> Keys;
  std::deque<seen_key> KeyQueue; // Keys in the order of expiry.
  std::unordered_map<request_key, executor_id, request_key_hash> Claims;
  std::deque<seen_key> ClaimQueue;  // Claims in the order of expiry.
  std::multiset<time_ms> OpenTimes; // Opened of each open grant.
  std::map<incarnation_id, writer_state> Writers;
  std::uint64_t NextOffset = 0;
  std::uint64_t LastCheckpoint = 0;
  time_ms Now = 0; // Largest log time seen.
  fold_counters Counters;
};

//---------------------------------------------------------------------------
// How much to ask for
//---------------------------------------------------------------------------

// What a policy may look at. Amounts in prepaid tokens.
struct grant_demand {
  amount WaitingTotal = 0;      // Sum of the waiting reservations, >= 0.
  amount NextWaiting = 0;       // The waiting reservation that is served next.
  amount Unreserved = 0;        // Unreserved rest of open grants.
  amount OpenGrantTotal = 0;    // Sum of open grants, spent parts included.
  double ReservedPerSecond = 0; // Smoothed reservations of this holder.
  amount Available = 0;         // Free in the budget as last folded.
  amount Credits = 0;           // Prepaid in total.
  amount Unbilled = 0;          // Prepaid and not billed, granted or not.
  bool RecentShortage = false;  // A holder went short a moment ago.
  int HolderCount = 1;          // Daemons that may hold grants of the budget.
};

struct grant_request_size {
  amount Maximum = 0; // 0 means: ask for nothing now.
  amount Minimum = 0; // Least useful amount.
};

class grant_policy {
public:
  virtual ~grant_policy() = default;
  virtual std::string_view name() const = 0;
  virtual grant_request_size requestSize(const grant_demand &Demand) const = 0;
  // How much of the idle rest to hand back: once another holder went short,
  // or before a new request, to make one grant of several small rests.
  virtual amount returnAmount(const grant_demand &Demand) const = 0;
};

// Asks for the demand of a fixed horizon, less when the budget runs low.
std::unique_ptr<grant_policy> makeDemandPolicy();
// Asks for one fixed amount whenever it has run out; hands nothing back.
std::unique_ptr<grant_policy> makeFixedPolicy(amount Size);
// Takes credits / holders once and never more; hands nothing back.
std::unique_ptr<grant_policy> makeEqualSharePolicy();

//---------------------------------------------------------------------------
// Holder of grants
//---------------------------------------------------------------------------

enum class settle_result {
  Billed, // Bill line added to the grant; the witness must acknowledge it.
  UnknownReservation, // No such reservation, for example released after a seal.
};

// A reservation of the upper bound of one request's cost.
struct reservation {
  grant_id Grant;
  std::uint64_t Id = 0; // Unique within the holder's run.
  request_key Key;
  amount Amount = 0;
};

// Reservations of one budget that wait for a grant.
struct waiting_demand {
  amount Total = 0; // Sum of all.
  amount Next = 0;  // The one served next.
};

// Grants held by this incarnation, for the budgets of one stream. Not
// thread-safe.
//
// Invariant of each grant: billed + reserved <= amount.
class held_grants {
public:
  held_grants(incarnation_id Self, const grant_policy &Policy);

  // Reserves Amount from one open grant of Budget. Nothing if none fits.
  // Time in ms, used to smooth the demand only.
  std::optional<reservation> reserve(std::string_view Budget,
                                     const request_key &Key, amount Amount,
                                     time_ms Now);

  // Turns a reservation into a bill line of Actual <= reserved amount and
  // frees the rest.
  settle_result settle(const reservation &Reservation, time_ms CreatedAt,
                       amount Actual);

  // Frees a reservation without a bill. Does nothing if it is gone.
  void release(const reservation &Reservation);

  // What to append now for Budget: at most one open request at a time.
  std::optional<grant_entry> makeGrantRequest(std::string_view Budget,
                                              const waiting_demand &Need,
                                              const budget_state &Budgeted,
                                              incarnation_id Witness,
                                              int HolderCount, time_ms Now);

  // Hands back idle money of Budget after another holder went short.
  std::vector<return_entry> returnIdleTokens(std::string_view Budget,
                                             const waiting_demand &Need,
                                             const budget_state &Budgeted,
                                             int HolderCount, time_ms Now);
  // A holder of Budget went short: asks for nothing ahead for a while.
  void recordShortage(std::string_view Budget, time_ms Now);

  // Bill lines that are not yet in an appended batch; marks them as taken.
  std::vector<bill_entry> drainBills();

  // The fold counted lines of an own grant; State is its folded state.
  void onBillsLogged(const grant_id &Grant, const grant_state &State);

  // Results of the fold for this incarnation's own grants.
  void onOpened(const grant_id &Grant, const grant_state &State);
  void onVoided(const grant_id &Grant);
  void onClosed(const grant_id &Grant);

  // Stops using a grant: no new reservation and no new bill line fit it.
  void seal(const grant_id &Grant);

  // Takes no more reservations from grants opened before Before, unless no
  // other grant fits; they close once their reservations have ended.
  void retireOpenedBefore(time_ms Before);

  // Closes what can be closed: sealed grants, and spent or retired ones
  // without reservations. With All true: every grant without reservations.
  std::vector<close_entry> drainCloses(bool All);

  // Removes a line that has not been taken for an append. False if it has.
  bool withdrawLine(const grant_id &Grant, const request_key &Key);

  // Open grants with this witness.
  std::vector<grant_id> grantsWitnessedBy(incarnation_id Witness) const;

  // True if the budget has been reserved from.
  bool isInUse(std::string_view Budget) const {
    return Demands.contains(Budget);
  }

  amount unreserved(std::string_view Budget) const;
  amount reserved(std::string_view Budget) const;
  amount
  billedNotLogged(std::string_view Budget) const; // Billed, not yet folded.
  std::size_t openGrantCount() const { return Open.size(); }
  incarnation_id witnessOf(const grant_id &Grant) const;

private:
  struct held_grant {
    std::string Budget;
    incarnation_id Witness = 0;
    amount Amount = 0;
    amount Billed = 0;
    amount Reserved = 0;
    amount BilledLogged = 0;      // Part of Billed that the fold has counted.
    time_ms OpenedAt = 0;         // Log time.
    bool Sealed = false;          // Witness refused or is lost.
    bool Retiring = false;        // Used only if nothing else fits.
    bool Closing = false;         // Close taken for an append.
    std::vector<bill_line> Lines; // Not yet taken for an append.
    std::unordered_map<std::uint64_t, amount> Live; // Reservations by id.

    amount free() const { return Amount - Billed - Reserved; }
  };

  struct budget_demand {
    std::vector<grant_id> Grants;    // Open, in order of opening.
    std::optional<grant_id> Pending; // Asked for, not yet decided.
    double RatePerSecond = 0;        // Smoothed.
    time_ms ScarceSince = 0;         // Last time a holder went short.
    amount Recent = 0;               // Since Since.
    time_ms Since = 0;
  };

  held_grant *findFitting(const budget_demand &Demand, amount Amount,
                          grant_id &Found);
  void noteDemand(budget_demand &Demand, amount Amount, time_ms Now);
  grant_demand demandOf(std::string_view Budget, const waiting_demand &Need,
                        const budget_state &Budgeted, int HolderCount,
                        time_ms Now);

  incarnation_id Self;
  const grant_policy &Policy;
  std::uint32_t LastNumber = 0;
  std::uint64_t LastReservation = 0;
  std::map<grant_id, held_grant> Open;
  std::map<std::string, budget_demand, std::less<>> Demands;
};

//---------------------------------------------------------------------------
// Witness of grants
//---------------------------------------------------------------------------

// One line that a holder asks its witness to keep.
struct witness_line {
  grant_id Grant;
  bill_line Line;
};

// Lines kept for other holders until they are in the log. Not thread-safe.
class witness_store {
public:
  // Keeps the line. False if the grant is sealed: then nothing is kept and
  // the holder must not finish the answer on this grant.
  bool storeLine(const witness_line &Line);

  // The line is in the log; it need not be kept longer.
  void eraseLine(const grant_id &Grant, const request_key &Key);

  // Seals a grant and returns its close. Called again, it returns the same
  // close.
  close_entry seal(const grant_id &Grant, time_ms Now);
  bool isSealed(const grant_id &Grant) const;

  // The grant is closed in the log: its lines may go. A seal stays.
  void onClosed(const grant_id &Grant);

  // Forgets seals made before Before, but never those of a living holder.
  void expireSeals(time_ms Before, const std::set<incarnation_id> &Living);

  std::size_t lineCount() const;

private:
  std::map<grant_id, std::map<request_key, bill_line>> Kept;
  std::map<grant_id, time_ms> Sealed; // When it was sealed.
};

//---------------------------------------------------------------------------
// One daemon's part in one ledger stream
//---------------------------------------------------------------------------

using waiter_id = std::uint64_t;

enum class refusal {
  None,
  Exhausted,   // The budget cannot cover the amount.
  Unavailable, // No grant in hand and the log is away.
  Undecided,   // Not decided within the wait asked for: ask again.
};

// Finds the oldest checkpoint of Stream from which a reader can go on without
// a gap. First is the oldest offset still kept. Throws log_unavailable.
std::optional<checkpoint_entry>
findCheckpoint(append_log &Log, std::string_view Stream, std::uint64_t First);

enum class settlement {
  Pending,    // Bill line sent, not yet kept twice.
  Replicated, // Bill line is kept twice: the answer may end.
  Failed,     // The grant was closed without this line: settle it elsewhere.
};

// Result of a waiting reservation.
struct reserve_event {
  waiter_id Waiter = 0;
  refusal Refusal = refusal::None;
  reservation Reservation; // Set if Refusal is None.
};

struct settle_event {
  request_key Key;
  settlement State = settlement::Pending;
};

struct claim_event {
  request_key Key;
  executor_id Executor; // Winner; nobody if the key is too old.
};

// What the holder tells its witness in one message.
struct witness_update {
  incarnation_id Witness = 0;
  std::vector<grant_id> OpenedGrants;    // Newly opened grants.
  std::vector<witness_line> Lines;       // To keep.
  std::vector<witness_line> LoggedLines; // In the log, to forget.

  bool empty() const {
    return OpenedGrants.empty() && Lines.empty() && LoggedLines.empty();
  }
};

// What the next batch may contain and whom it may name.
struct home_view {
  incarnation_id Witness = 0; // For new grants; 0 if no peer is in reach.
  int HolderCount = 1;        // Daemons that hold grants of this stream.
  bool Leaving = false;       // Close every grant that has no reservation.
  bool NotHome = false;       // Another daemon is home now: the same, but
                              // reservations that still come are served.
  std::set<incarnation_id> Suspected; // Holders whose grants we may close.
};

// Figures for metrics and reports.
struct home_counters {
  std::uint64_t Reserved = 0;      // Reservations made.
  std::uint64_t Settled = 0;       // Bill lines kept twice.
  std::uint64_t Resettled = 0;     // Settlements that failed and had to move.
  std::uint64_t Exhausted = 0;     // Refusals for budget.
  std::uint64_t Unavailable = 0;   // Refusals because the log was away.
  std::uint64_t FalseRefusals = 0; // Exhausted although others held enough.
  std::uint64_t Batches = 0;       // Batches made.
  std::uint64_t Grants = 0;        // Grants opened.
};

// Folds one stream, holds this daemon's grants of it and writes its batches.
// Not thread-safe. Reads no clock; the caller passes the time.
class ledger_home final : private ledger_listener {
public:
  ledger_home(incarnation_id Self, const grant_policy &Policy,
              witness_store &Witnessed);

  // Callers of requests ------------------------------------------------------

  // Reserves now, or queues. The result comes from drainReserveEvents.
  waiter_id reserve(std::string_view Budget, const request_key &Key,
                    amount Amount, time_ms Now);
  // The caller has gone; a reservation already made must be released.
  void cancel(waiter_id Waiter);
  // Records the bill. Pending and Kept: a settle event follows or has come.
  // Failed: reserve again and settle there.
  settlement settle(const reservation &Reservation, time_ms CreatedAt,
                    amount Actual);
  // Takes a pending bill back if no one else has seen it. False otherwise.
  bool withdraw(const request_key &Key);
  void release(const reservation &Reservation, time_ms Now);
  // The answer is a claim event, at once if the key has been claimed before.
  void claim(const request_key &Key, time_ms CreatedAt,
             const executor_id &Executor);

  std::vector<reserve_event> drainReserveEvents();
  std::vector<settle_event> drainSettleEvents();
  std::vector<claim_event> drainClaimEvents();

  // Witness -----------------------------------------------------------------

  std::vector<witness_update> drainWitnessUpdates();
  void onWitnessAcknowledged(const witness_line &Line);
  void onWitnessRefused(const grant_id &Grant);
  void onWitnessLost(incarnation_id Witness);

  // Log ---------------------------------------------------------------------

  std::uint64_t nextOffset() const { return Fold.nextOffset(); }
  void onRecord(const log_record &Record, time_ms Now);
  void onCaughtUp(time_ms Now);
  // A call to the log failed. Waiters are refused once that has lasted.
  void onLogFailure(time_ms Now);
  // Replaces the fold. Only while no grant is open.
  bool restore(const checkpoint_entry &Checkpoint);

  // The batch to append now, if any. The same batch again until onStored or
  // until the fold shows it. Appending it twice does no harm.
  std::optional<ledger_batch> nextBatch(const home_view &View, time_ms Now);
  void onStored(std::uint64_t Number);

  // True if the present batch got so old that the fold may drop it. The
  // incarnation must end; a new one starts afresh.
  bool isBatchExpired(time_ms Now) const;

  // Queues an operator's or a checkpoint entry for the next batch.
  void submit(entry Entry);

  const ledger_fold &fold() const { return Fold; }
  const home_counters &counters() const { return Counters; }
  bool isIdle() const; // No grants, no waiters, nothing to append.
  bool isCaughtUp() const { return CaughtUp; }

private:
  struct waiter {
    waiter_id Id = 0;
    request_key Key;
    amount Amount = 0;
    time_ms Since = 0;
  };

  struct settling {
    grant_id Grant;
    bill_line Line;
    bool Sent = false; // Handed to the witness or the log.
  };

  void onGrantOpened(const grant_id &Grant, const grant_state &State) override;
  void onGrantVoided(const grant_id &Grant, std::string_view Budget) override;
  void onGrantClosed(const grant_id &Grant, const grant_state &State) override;
  void onTokensAvailable(std::string_view Budget) override;
  void onGrantBilled(const grant_id &Grant, const grant_state &State) override;
  void onClaimDecided(const request_key &Key,
                      const executor_id &Executor) override;

  void serveWaiters(const std::string &Budget, time_ms Now);
  void refuseWaiters(const std::string &Budget, time_ms Now);
  bool isHopeless(const std::string &Budget, const waiter &Waiter,
                  time_ms Now) const;
  void refuse(const waiter &Waiter, refusal Reason);
  amount recallable(std::string_view Budget) const;
  void finish(const request_key &Key, settlement State);
  void finishRecorded();
  void addGrantRequests(const home_view &View, time_ms Now,
                        std::vector<entry> &Entries);
  waiting_demand needOf(const std::string &Budget) const;
  void addReturns(const home_view &View, time_ms Now,
                  std::vector<entry> &Entries);
  void addWitnessCloses(const home_view &View, std::vector<entry> &Entries);
  void addBills(time_ms Now, bool Urgent, std::vector<entry> &Entries);
  void addCloses(const home_view &View, time_ms Now,
                 std::vector<entry> &Entries);
  void noteSuspects(const home_view &View);
  void noteSent(std::span<const entry> Entries);

  incarnation_id Self;
  ledger_fold Fold;
  held_grants Book;
  witness_store &Witnessed;
  waiter_id LastWaiter = 0;
  std::map<std::string, std::deque<waiter>, std::less<>> Waiters;
  std::map<std::string, time_ms, std::less<>> ShortSince; // Own void seen.
  std::map<std::string, time_ms, std::less<>> LastAsk;    // Last grant request.
  // Budgets whose holdings or demand changed since the last batch: only these
  // and the waiting ones are looked at.
  std::set<std::string, std::less<>> Touched;
  std::set<std::string, std::less<>> Recalled; // Another holder went short.
  std::map<request_key, settling> Settling;
  std::set<request_key> KeptKeys; // Kept, not yet seen in the fold.
  std::map<incarnation_id, witness_update> Updates;
  std::set<grant_id> WitnessedOpen; // Open grants of others with us as witness.
  std::set<incarnation_id> LostWitnesses; // Their grants have been sealed.
  std::set<grant_id> Closing; // Closes appended for suspected holders.
  std::set<request_key> Claiming;
  std::vector<entry> Submitted;
  std::vector<reserve_event> ReserveEvents;
  std::vector<settle_event> SettleEvents;
  std::vector<claim_event> ClaimEvents;
  std::optional<ledger_batch> Outstanding;
  std::uint64_t LastBatch = 0;
  time_ms LastFlush = 0;
  time_ms LastUpkeep = 0;
  bool CloseSoon = false;    // A grant was sealed.
  time_ms Time = 0;          // Of the running call.
  time_ms FailingSince = -1; // First failed call in a row, -1 if none.
  bool CaughtUp = false;
  bool LogAway = false;
  home_counters Counters;
};

} // namespace tamarack::money
