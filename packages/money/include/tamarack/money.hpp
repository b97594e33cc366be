// The grants of one daemon on prepaid budgets, and their bill lines.
//
// Contents:
//   size of grant requests     grant_policy and its implementations
//   grants of one holder       held_grants
//   bill lines of a witness    witness_store
//   one daemon, one stream     ledger_home
//
// The records and the fold are those of tamarack/ledger.hpp. Nothing in this
// package reads a clock or a socket.
//
// Safety rule: a daemon sends the end of a response only after the bill line of
// the request is stored by the holder and by the witness (or is in the log).
// A close entry written by the witness therefore contains the bill line of
// every delivered response, and the unbilled rest of the grant can be released
// at once.
#pragma once

#include "tamarack/ledger.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tamarack::money {

// Types of the ledger that this header uses.
using ledger::amount;
using ledger::bill_entry;
using ledger::bill_line;
using ledger::budget_state;
using ledger::checkpoint_entry;
using ledger::close_entry;
using ledger::entry;
using ledger::executor_id;
using ledger::grant_entry;
using ledger::grant_id;
using ledger::grant_state;
using ledger::incarnation_id;
using ledger::ledger_batch;
using ledger::ledger_fold;
using ledger::ledger_listener;
using ledger::request_key;
using ledger::return_entry;

//---------------------------------------------------------------------------
// Size of grant requests
//---------------------------------------------------------------------------

// Input of a grant policy, for one budget and one holder. Amounts in prepaid
// tokens.
struct grant_demand {
  amount WaitingTotal = 0;      // Sum of the waiting reservations, >= 0.
  amount NextWaiting = 0;       // The waiting reservation that is served next.
  amount Unreserved = 0;        // Neither billed nor reserved in open grants.
  amount OpenGrantTotal = 0;    // Sum of open grants, billed parts included.
  double ReservedPerSecond = 0; // Smoothed rate of the holder's reservations.
  amount Available = 0;         // Free in the budget as last folded.
  amount Credits = 0;           // Prepaid in total.
  amount Unbilled = 0;          // Prepaid and not billed, granted or not.
  bool RecentShortage = false;  // The budget could not cover a recent request.
  int HolderCount = 1;          // Daemons that may hold grants of the budget.
};

struct grant_request_size {
  amount Maximum = 0; // 0 means: request no grant now.
  amount Minimum = 0; // Smallest useful amount.
};

class grant_policy {
public:
  virtual ~grant_policy() = default;
  virtual std::string_view name() const = 0;
  virtual grant_request_size requestSize(const grant_demand &Demand) const = 0;
  // How many unreserved tokens to return to the budget. Called when another
  // holder is short of tokens, and before a new grant request, so that small
  // rests of several grants can become one grant.
  virtual amount returnAmount(const grant_demand &Demand) const = 0;
};

// Requests the demand of a fixed time ahead, less when the budget runs low.
std::unique_ptr<grant_policy> makeDemandPolicy();
// Requests a fixed amount when reservations wait; returns nothing.
std::unique_ptr<grant_policy> makeFixedPolicy(amount Size);
// Requests credits / holders once and never again; returns nothing.
std::unique_ptr<grant_policy> makeEqualSharePolicy();

//---------------------------------------------------------------------------
// Grants of one holder
//---------------------------------------------------------------------------

enum class settle_result {
  Billed,             // Bill line added; the witness has to acknowledge it.
  UnknownReservation, // For example released, or the grant was sealed.
};

// A reservation of the upper bound of one request's cost.
struct reservation {
  grant_id Grant;
  std::uint64_t Id = 0; // Unique within the holder's incarnation.
  request_key Key;
  amount Amount = 0;
};

// Reservations of one budget that wait for a grant.
struct waiting_demand {
  amount Total = 0; // Sum of all waiting reservations.
  amount Next = 0;  // The waiting reservation that is served next.
};

// Grants held by this incarnation, for the budgets of one stream. Not
// thread-safe.
//
// Invariant of each grant: billed + reserved <= amount.
class held_grants {
public:
  held_grants(incarnation_id Self, const grant_policy &Policy);

  // Reserves Amount from one open grant of Budget. Returns nullopt if no grant
  // has enough unreserved tokens. Now, in ms, is used only to measure the
  // demand.
  std::optional<reservation> reserve(std::string_view Budget,
                                     const request_key &Key, amount Amount,
                                     time_ms Now);

  // Turns a reservation into a bill line of Actual <= reserved amount and
  // frees the rest of the reservation.
  settle_result settle(const reservation &Reservation, time_ms CreatedAt,
                       amount Actual);

  // Frees a reservation without a bill line. Ignores unknown reservations.
  void release(const reservation &Reservation);

  // Returns the grant request to append for Budget, if any. At most one
  // request per budget is undecided at a time.
  std::optional<grant_entry> makeGrantRequest(std::string_view Budget,
                                              const waiting_demand &Waiting,
                                              const budget_state &BudgetState,
                                              incarnation_id Witness,
                                              int HolderCount, time_ms Now);

  // Lowers grants of Budget by the amount that the policy returns to the
  // budget. The returned entries must be appended.
  std::vector<return_entry> returnIdleTokens(std::string_view Budget,
                                             const waiting_demand &Waiting,
                                             const budget_state &BudgetState,
                                             int HolderCount, time_ms Now);
  // Records that the budget could not cover a request of some holder. The
  // policy sees a recent shortage for some seconds.
  void recordShortage(std::string_view Budget, time_ms Now);

  // Returns the bill lines that are not in any batch yet. The caller must
  // append them; they are not returned again.
  std::vector<bill_entry> drainBills();

  // The fold counted bill lines of an own grant; State is its folded state.
  void onBillsLogged(const grant_id &Grant, const grant_state &State);

  // Decisions of the fold on this incarnation's own grants.
  void onOpened(const grant_id &Grant, const grant_state &State);
  void onVoided(const grant_id &Grant);
  void onClosed(const grant_id &Grant);

  // Stops the use of a grant: no new reservation and no new bill line.
  void seal(const grant_id &Grant);

  // Retires the grants opened before Before: they serve reservations only if
  // no other grant can, and close once their reservations have ended.
  void retireOpenedBefore(time_ms Before);

  // Returns the close entries to append: for sealed grants, and for fully
  // billed or retired grants without reservations. With CloseAll also for
  // every other grant without reservations.
  std::vector<close_entry> drainCloses(bool CloseAll);

  // Removes a bill line that drainBills and drainCloses have not returned yet.
  // False if there is no such line.
  bool withdrawLine(const grant_id &Grant, const request_key &Key);

  // Open grants with this witness.
  std::vector<grant_id> grantsWitnessedBy(incarnation_id Witness) const;

  // True if a reservation of the budget was ever requested.
  bool isInUse(std::string_view Budget) const {
    return Demands.contains(Budget);
  }

  // Sums over the open grants of Budget.
  amount unreserved(std::string_view Budget) const;
  amount reserved(std::string_view Budget) const;
  // Part of the billed tokens that the fold has not counted yet.
  amount billedNotLogged(std::string_view Budget) const;
  std::size_t openGrantCount() const { return OpenGrants.size(); }
  incarnation_id witnessOf(const grant_id &Grant) const;

private:
  struct held_grant {
    std::string Budget;
    incarnation_id Witness = 0;
    amount Amount = 0;
    amount Billed = 0;
    amount Reserved = 0;
    amount BilledLogged = 0; // Part of Billed that the fold has counted.
    time_ms OpenedAt = 0;    // Log time.
    bool Sealed = false;     // Witness refused a line or is lost.
    bool Retiring = false;   // Used only if no other grant can serve.
    bool CloseSent = false;  // drainCloses has returned the close.
    std::vector<bill_line> UnsentLines; // Not yet in any batch.
    std::unordered_map<std::uint64_t, amount> Reservations; // By id.

    amount unreserved() const { return Amount - Billed - Reserved; }
  };

  struct budget_demand {
    std::vector<grant_id> Grants;           // Open, in the order of opening.
    std::optional<grant_id> PendingRequest; // Not yet decided by the fold.
    double ReservedPerSecond = 0;           // Smoothed.
    time_ms LastShortage = 0;               // See recordShortage.
    amount SampleAmount = 0;                // Reserved since SampleStart.
    time_ms SampleStart = 0;
  };

  held_grant *findGrantFor(const budget_demand &Demand, amount Amount,
                           grant_id &Found);
  // Sum of a part of each open grant of Budget.
  amount sumOver(std::string_view Budget,
                 amount (*Part)(const held_grant &)) const;
  void updateRate(budget_demand &Demand, amount Amount, time_ms Now);
  grant_demand makeDemand(std::string_view Budget,
                          const waiting_demand &Waiting,
                          const budget_state &BudgetState, int HolderCount,
                          time_ms Now);

  incarnation_id Self;
  const grant_policy &Policy;
  std::uint32_t LastGrantNumber = 0;
  std::uint64_t LastReservationId = 0;
  std::map<grant_id, held_grant> OpenGrants;
  std::map<std::string, budget_demand, std::less<>> Demands; // By budget.
};

//---------------------------------------------------------------------------
// Bill lines of a witness
//---------------------------------------------------------------------------

// A bill line that a holder asks its witness to store.
struct witness_line {
  grant_id Grant;
  bill_line Line;
};

// Bill lines stored for other holders until they are in the log. Not
// thread-safe.
class witness_store {
public:
  // Stores the line. Returns false and stores nothing if the grant is sealed:
  // the holder must not end the response with a bill on this grant.
  bool storeLine(const witness_line &Line);

  // Removes a line that is in the log.
  void eraseLine(const grant_id &Grant, const request_key &Key);

  // Seals a grant and returns the close entry with all stored lines. A second
  // call returns the same entry.
  close_entry seal(const grant_id &Grant, time_ms Now);
  bool isSealed(const grant_id &Grant) const;

  // Removes the lines of a grant that is closed in the log. A seal stays.
  void onClosed(const grant_id &Grant);

  // Removes the seals made before Before, except for grants of LiveHolders.
  void expireSeals(time_ms Before, const std::set<incarnation_id> &LiveHolders);

  std::size_t lineCount() const;

private:
  std::map<grant_id, std::map<request_key, bill_line>> LinesByGrant;
  std::map<grant_id, time_ms> SealTimes;
};

//---------------------------------------------------------------------------
// One daemon, one ledger stream
//---------------------------------------------------------------------------

using waiter_id = std::uint64_t; // A reservation that may have to wait.

enum class refusal {
  None,
  Exhausted,   // The budget cannot cover the amount.
  Unavailable, // No open grant can cover it and the log is unavailable.
  Undecided,   // No decision within the requested wait: retry.
};

enum class settlement {
  Pending,    // Bill line sent, neither witness nor log has confirmed it.
  Replicated, // Stored by holder and witness or in the log, or the grant has
              // no witness: the response may end.
  Failed,     // Grant closed without the bill line: settle on another grant.
};

// Result of a waiting reservation.
struct reserve_event {
  waiter_id Waiter = 0;
  refusal Refusal = refusal::None;
  reservation Reservation; // Set if Refusal is None.
};

// Result of a pending settlement.
struct settle_event {
  request_key Key;
  settlement State = settlement::Pending;
};

// Result of a claim.
struct claim_event {
  request_key Key;
  executor_id Executor; // Winner; nobody if the key is too old.
};

// One message from a holder to its witness.
struct witness_update {
  incarnation_id Witness = 0;
  std::vector<grant_id> OpenedGrants;    // Newly opened grants.
  std::vector<witness_line> Lines;       // Lines to store.
  std::vector<witness_line> LoggedLines; // Lines in the log, to erase.

  bool empty() const {
    return OpenedGrants.empty() && Lines.empty() && LoggedLines.empty();
  }
};

// The membership data that the next batch depends on.
struct home_view {
  incarnation_id Witness = 0; // For new grants; 0 if no peer is reachable.
  int HolderCount = 1;        // Daemons that hold grants of this stream.
  bool Leaving = false;       // Close grants without reservations, open none.
  bool NotHome = false;       // Another daemon is home now: close grants
                              // without reservations, but open new ones for
                              // reservations that still arrive.
  // Peers that may be dead. Witnessed grants that they hold are closed, own
  // grants that they witness are sealed.
  std::set<incarnation_id> Suspected;
};

// Counters for metrics and reports.
struct home_counters {
  std::uint64_t Reserved = 0;      // Reservations made.
  std::uint64_t Settled = 0;       // Bill lines replicated.
  std::uint64_t Resettled = 0;     // Failed settlements: need another grant.
  std::uint64_t Exhausted = 0;     // Refusals because of the budget.
  std::uint64_t Unavailable = 0;   // Refusals while the log was unavailable.
  std::uint64_t FalseRefusals = 0; // Exhausted although others held enough.
  std::uint64_t Batches = 0;       // Batches created.
  std::uint64_t Grants = 0;        // Grants opened.
};

// Folds one stream, holds this daemon's grants of the stream and makes the
// batches to append. Not thread-safe. Reads no clock; callers pass the time.
//
// The drain functions return the results since the last call and forget them.
class ledger_home final : private ledger_listener {
public:
  ledger_home(incarnation_id Self, const grant_policy &Policy,
              witness_store &WitnessStore);

  // Requests ----------------------------------------------------------------

  // Queues a reservation and serves it at once if a grant can cover it. The
  // result comes from drainReserveEvents.
  waiter_id reserve(std::string_view Budget, const request_key &Key,
                    amount Amount, time_ms Now);
  // Removes a waiting reservation. If the reservation was already made, the
  // caller must release it.
  void cancel(waiter_id Waiter);
  // Bills a reservation. Pending: a settle event follows. Failed: reserve
  // again and settle the new reservation.
  settlement settle(const reservation &Reservation, time_ms CreatedAt,
                    amount Actual);
  // Removes a pending bill line that was sent neither to the witness nor to
  // the log. False otherwise.
  bool withdraw(const request_key &Key);
  void release(const reservation &Reservation, time_ms Now);
  // Claims the execution of a not-repeatable request. The result is a claim
  // event, available at once if the key was claimed before.
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
  // Records a failed call to the log. If calls keep failing, the log counts as
  // unavailable and waiting reservations are refused.
  void onLogFailure(time_ms Now);
  // Replaces the fold. Must not be called while this daemon has open grants.
  bool restore(const checkpoint_entry &Checkpoint);

  // Returns the batch to append now, if any: the same batch until onStored is
  // called or the fold has read it. Appending a batch twice does no harm.
  std::optional<ledger_batch> nextBatch(const home_view &View, time_ms Now);
  void onStored(std::uint64_t Number);

  // True if the outstanding batch is so old that the fold may soon drop it.
  // The daemon must then end; a new incarnation starts with new numbers.
  bool isBatchExpired(time_ms Now) const;

  // Queues the entry of an operator or a checkpoint for the next batch.
  void submit(entry Entry);

  const ledger_fold &fold() const { return Fold; }
  const home_counters &counters() const { return Counters; }
  // True if nothing is open, waiting or left to append.
  bool isIdle() const;
  bool isCaughtUp() const { return CaughtUp; }

private:
  struct waiter {
    waiter_id Id = 0;
    request_key Key;
    amount Amount = 0;
    time_ms WaitingSince = 0;
  };

  struct pending_settlement {
    grant_id Grant;
    bill_line Line;
    bool Sent = false; // To the witness or the log.
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
  bool mustRefuse(const std::string &Budget, const waiter &Waiter,
                  time_ms Now) const;
  void refuseWaiter(const waiter &Waiter, refusal Reason);
  amount returnableTokens(std::string_view Budget) const;
  void finishSettlement(const request_key &Key, settlement State);
  void finishLoggedSettlements();
  void addGrantRequests(const home_view &View, time_ms Now,
                        std::vector<entry> &Entries);
  waiting_demand waitingDemand(const std::string &Budget) const;
  void addReturns(const home_view &View, time_ms Now,
                  std::vector<entry> &Entries);
  void addWitnessCloses(const home_view &View, std::vector<entry> &Entries);
  void addBills(time_ms Now, bool Immediately, std::vector<entry> &Entries);
  void addCloses(const home_view &View, time_ms Now,
                 std::vector<entry> &Entries);
  void updateLostWitnesses(const home_view &View);
  void markLinesSent(std::span<const entry> Entries);

  incarnation_id Self;
  ledger_fold Fold;
  held_grants OwnGrants;
  witness_store &WitnessStore;
  waiter_id LastWaiter = 0;
  std::map<std::string, std::deque<waiter>, std::less<>> Waiters; // By budget.
  // By budget: time of the first void own grant request since tokens became
  // available or a grant was opened.
  std::map<std::string, time_ms, std::less<>> ShortageStart;
  // By budget: time of the last own grant request.
  std::map<std::string, time_ms, std::less<>> LastGrantRequest;
  // Budgets whose grants or demand changed since the last batch. Grant requests
  // are considered only for these budgets and for those with waiters.
  std::set<std::string, std::less<>> ChangedBudgets;
  // Budgets of which another holder is short: idle tokens must be returned.
  std::set<std::string, std::less<>> BudgetsToReturn;
  std::map<request_key, pending_settlement> PendingSettlements;
  // Keys whose bill lines are replicated but not yet in the fold.
  std::set<request_key> ReplicatedKeys;
  std::map<incarnation_id, witness_update> WitnessUpdates; // By witness.
  // Open grants of other holders that name this daemon as their witness.
  std::set<grant_id> WitnessedGrants;
  // Suspected witnesses whose grants have been sealed here.
  std::set<incarnation_id> LostWitnesses;
  // Witnessed grants of suspected holders for which a close is under way.
  std::set<grant_id> ClosingWitnessedGrants;
  std::set<request_key> PendingClaims;
  std::vector<entry> SubmittedEntries;
  std::vector<reserve_event> ReserveEvents;
  std::vector<settle_event> SettleEvents;
  std::vector<claim_event> ClaimEvents;
  std::optional<ledger_batch> OutstandingBatch;
  std::uint64_t LastBatchNumber = 0;
  time_ms LastBillFlush = 0;
  time_ms LastCloseCheck = 0;
  bool CloseCheckDue = false;   // A grant was sealed.
  time_ms CallTime = 0;         // Now of the running call, for the listener.
  time_ms LogFailingSince = -1; // First of the failed calls in a row, -1 none.
  bool CaughtUp = false;
  bool LogUnavailable = false;
  home_counters Counters;
};

} // namespace tamarack::money
