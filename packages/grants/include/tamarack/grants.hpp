// Prepaid budgets, granted to instances through one shared keyed topic.
//
// Contents:
//   records      account_line, record_id, holder_record, watermark_record,
//                encode, decodeHolder, decodeWatermark
//   pools        pool_member, pool_layout
//   table        account_totals, holder_table
//   watermarks   spend_watermarks, maxPreviousSpending
//   grants       holder_identity, smoothed_rate, grant_holder
//
// Ceilings. Each instance stores one record under its own name. For each client
// account the record contains a ceiling: the cumulative limit on the instance's
// spending since the budget began, over all of its incarnations. The order of
// records in the topic decides between instances. Once an instance has read all
// records before its own, its ceiling is granted as far as the budget covers it
// in addition to the ceilings of all other instances. Every later record has to
// count that ceiling in full. The granted ceilings therefore never add up to
// more than the budget, and no write fails because another instance wrote at
// the same time. An instance spends up to its granted ceiling without
// contacting anyone, so a network partition does not affect that spending.
//
// Pools. In a zone with many instances a ceiling for each of them would be too
// small for a single call. One instance of the zone then holds the tokens of an
// account ahead of calls, chosen by hash, and the others reserve from it (see
// packages/pools). This changes only who requests tokens: any instance may
// request a ceiling, and does so if no other one of its zone responds.
//
// Watermarks. An instance runs one process at a time, so a new incarnation
// proves that the previous one is dead. The previous incarnation's last
// watermark bounds what it spent: twice a second an incarnation stores, ahead
// of its spending, a watermark that it will not exceed. An incarnation respects
// a watermark for WatermarkValidMs; only after that time, while the store is
// unavailable, does it spend up to its ceiling. A new incarnation that finds a
// watermark younger than WatermarkValidMs, by the machine's time since boot,
// releases the tokens above the watermark; otherwise the complete ceiling
// counts as spent. Wall-clock time is not used, and an instance that is only
// frozen or partitioned keeps its grants.
//
// Drills. The store may come back from an older copy, in a higher era. A record
// that is older than one read before is ignored, so no instance forgets a
// ceiling of another one that it knew, nor gets back one that it had lowered.
// Each instance writes its record again; until the others have done so, or for
// RestateWaitMs, it requests no higher ceiling. A watermark of a former era
// releases nothing. A record that its holder does not write again, since it is
// dead or has started without it, is written by an instance that remembers it,
// under a key of its own (see lostRecordKey): instances that start afterwards
// count it, and a new incarnation charges it to itself. Not covered: a ceiling
// raised within the last read period before the drill, if its holder dies or is
// cut off; ceilings that no running instance in touch remembers; and ceilings
// of an instance that began after the copy, as long as it has not written
// again.
//
// Late appends. An append that reaches the store late is harmless. Each
// incarnation writes in a higher epoch than the previous one, and the store
// rejects appends from a writer's previous epochs. While the outcome of appends
// is unknown, the lowest ceiling among them limits spending, until a newer
// record of the same writer has been read back.
//
// Nothing here is thread-safe; times are monotonic ms.
#pragma once

#include "tamarack/ports.hpp"
#include "tamarack/relay.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::grants {

//---------------------------------------------------------------------------
// Records
//---------------------------------------------------------------------------

// Of one ceiling, so that sums over all instances stay in range. A larger
// budget counts as unlimited: it can't be spent.
inline constexpr std::int64_t MaxTokens = std::int64_t{1} << 53;

// Grant of one client account to one instance.
struct account_line {
  std::string Account;
  std::int64_t Ceiling = 0; // Tokens, over all incarnations of the instance.
  std::int64_t Used = 0;    // Tokens spent or reserved at the time of writing.
  bool ShortOfTokens = false; // A call waits for tokens: other instances should
                              // return idle ones.
  std::int64_t Previous = 0;  // Tokens charged for previous incarnations.
};

// Identifies one record of an instance.
struct record_id {
  std::uint64_t Incarnation = 0; // 0 means none.
  std::uint64_t WriteNumber = 0;
  bool operator==(const record_id &) const = default;
};

// All grants of one instance.
struct holder_record {
  std::uint64_t Incarnation = 0;   // Never 0 once written.
  std::uint64_t WriteNumber = 0;   // Rises with this incarnation's writes. The
                                   // upper half is the store's era, see eraOf.
  std::string PeerAddress;         // Where other instances reach this one.
  bool HasLeft = false;            // Shut down in order: each ceiling is the
                                   // amount that was spent.
  std::vector<account_line> Lines; // An account without a line has no ceiling.
  record_id Base;      // Record that the incarnation found of the previous one.
  record_id Recovered; // Newest record that was lost and then charged.
  std::string Zone;    // Availability zone, empty if not known.
  std::int64_t ConfigurationVersion = -1; // In force when written, -1: none.
  std::string ForwardAddress; // Where it takes calls that others forward, empty
                              // if it takes none.
};

inline constexpr int EraShift = 32; // Of the era in a write number.
// Era of the store in which the record was written, 0 if not known.
std::uint64_t eraOf(const holder_record &Record);

std::string encode(const holder_record &Record);
// Empty if Bytes are not a valid holder record.
std::optional<holder_record> decodeHolder(std::string_view Bytes);

record_id idOf(const holder_record &Record);
// Key of the newest record of Instance that the store may have lost.
std::string lostRecordKey(std::string_view Instance);
// The instance, empty if Key is not such a key.
std::optional<std::string_view> holderOfLostRecord(std::string_view Key);
// True if the ceilings of Record count those of Other, a record of the same
// instance. False if that is not known.
bool covers(const holder_record &Record, const holder_record &Other);
// Tokens of Line, of the record Lost, that an incarnation has not counted. Base
// and Previous: those of the incarnation.
std::int64_t lostTokens(const holder_record &Lost, const account_line &Line,
                        record_id Base, std::int64_t Previous);

struct watermark_line {
  std::string Account;
  std::int64_t Watermark = 0; // Tokens that the instance's spending, over all
                              // its incarnations, will not exceed.
};

// Upper bounds of an instance's spending, stored ahead of that spending.
struct watermark_record {
  std::uint64_t Incarnation = 0;
  std::uint64_t Epoch = 0; // Store epoch of the writer.
  std::string BootId;      // Identifies the boot of the machine and the era of
                           // the store.
  time_ms SentAt = 0;      // Time since that boot when the record was sent, ms.
  std::vector<watermark_line> Lines;
};

std::string encode(const watermark_record &Record);
// Empty if Bytes are not a valid watermark record.
std::optional<watermark_record> decodeWatermark(std::string_view Bytes);

//---------------------------------------------------------------------------
// Pools
//---------------------------------------------------------------------------

// An instance that has not left.
struct pool_member {
  std::string Instance;
  std::string Zone;
  std::string Address;             // host:port for other instances.
  std::string ForwardAddress = {}; // See holder_record.
  bool operator==(const pool_member &) const = default;
};

// Which instances hold the tokens of an account ahead of calls. All instances
// with the same list of members agree without a message.
class pool_layout {
public:
  // In a zone of fewer instances each one holds tokens itself.
  static constexpr std::size_t MinSharedZoneSize = 3;
  // One instance of so many holds tokens for accounts, so that records and
  // watermarks of few instances change. MinHolders: at least, in a zone.
  static constexpr std::size_t InstancesPerHolder = 4;
  static constexpr std::size_t MinHolders = 2;
  // Instances of the own zone, and of other zones, that are asked for tokens.
  static constexpr std::size_t ZoneCandidates = 2;
  static constexpr std::size_t RemoteCandidates = 3;

  pool_layout(std::string Instance, std::string Zone)
      : Own(std::move(Instance)), Zone(std::move(Zone)) {
    setMembers({});
  }

  void setMembers(std::span<const pool_member> Members);
  // Instances to ask for tokens of Account, best first, this one among them:
  // the holder of the own zone and the one that replaces it, then holders of
  // other zones, which may have tokens while the store is away.
  const std::vector<pool_member> &candidatesFor(std::string_view Account) const;
  // False if each instance of the own zone holds tokens itself.
  bool isZoneShared() const { return isShared(Zones.at(Zone)); }
  // True if this instance holds tokens of Account ahead of calls.
  bool isHolder(std::string_view Account) const;
  // Instances of all zones that hold tokens of one account ahead of calls.
  int holderCount() const { return HolderCount; }

private:
  // The members of one zone; in a shared one those that may be holders.
  struct zone_members {
    std::size_t Size = 0;
    std::vector<pool_member> Holders;
  };

  static bool isShared(const zone_members &Members) {
    return Members.Size >= MinSharedZoneSize;
  }
  void addZoneCandidates(std::vector<pool_member> &List,
                         std::uint64_t AccountHash) const;
  void addRemoteCandidates(std::vector<pool_member> &List,
                           std::uint64_t AccountHash) const;

  std::string Own;
  std::string Zone;
  std::map<std::string, zone_members, std::less<>> Zones;
  int HolderCount = 1;
  // By account, computed when first asked for.
  mutable std::map<std::string, std::vector<pool_member>, std::less<>>
      Candidates;
};

//---------------------------------------------------------------------------
// The records of all instances
//---------------------------------------------------------------------------

// Sums over the records of all instances but one, in tokens unless said
// otherwise.
struct account_totals {
  std::int64_t Ceiling = 0;
  std::int64_t Used = 0;
  std::int64_t IdleTokens = 0; // Granted to active instances and unused.
  int ShortInstances = 0;      // Instances that are short of tokens.
};

// The newest record of each instance, and those that a new incarnation has not
// counted because the store had lost them.
class holder_table {
public:
  // Own: the instance that the totals leave out.
  explicit holder_table(std::string Own) : Own(std::move(Own)) {}

  // False if the record is older than the one known, which then stays: the
  // store has come back from a copy.
  bool store(std::string_view Instance, holder_record Record);
  // Takes a record that another instance remembers and has written again.
  void storeLost(std::string_view Instance, holder_record Record);
  // The store has come back from a copy and may have lost any record.
  void onStoreRestored();
  // False as long as the store has lost no record.
  bool mayMissRecords() const { return MayMissRecords; }
  // Record of another instance that the store may have lost, nullptr if there
  // is none.
  const holder_record *missingRecord(std::string_view Instance) const;
  void onRestored(std::string_view Instance); // It is written again.
  std::vector<std::string> others() const;    // Names, also those that left.

  // True if the newest record of another active instance is known to be from
  // before this era.
  bool hasRecordBefore(std::uint64_t Era) const;
  const holder_record *ownRecord() const; // Nullptr if there is none.
  const account_totals &totalsOfOthers(std::string_view Account) const;
  // Other instances that have not left.
  int activeOthers() const { return ActiveOthers; }
  int activeOthersBefore() const; // Those of them with a lower name.
  // Their names and addresses.
  std::vector<std::pair<std::string, std::string>> peers() const;
  // Active instances, with this one if it has a record.
  std::vector<pool_member> members() const;
  // Rises when members() changes.
  std::uint64_t membersVersion() const { return MembersVersion; }
  // Incarnation of an active instance, 0 if there is none.
  std::uint64_t incarnationOf(std::string_view Instance) const;
  // The newest one that an active instance states, -1 if none does.
  std::int64_t newestConfigurationVersion() const;
  // True if an active instance with a lower name is short of tokens.
  bool isPrecededByShortInstance(std::string_view Account) const;

private:
  // Where a record stands since the store has come back.
  enum class stored_state {
    Stored,   // Under the instance's own key.
    Missing,  // The store may lack it.
    Restored, // Under lostRecordKey, written by another instance.
  };

  // What is known of one instance.
  struct holder {
    holder_record Record;                       // The newest one.
    std::optional<holder_record> Lost;          // Not covered by Record.
    std::set<std::uint64_t> Incarnations;       // Before that of Record.
    stored_state Stored = stored_state::Stored; // Of Lost, else of Record.
  };

  static bool isOlder(const holder &Known, const holder_record &Record);
  void replaceRecord(std::string_view Instance, holder &Known,
                     holder_record Record);
  void addToTotals(std::string_view Instance, const holder &Known, int Sign);

  std::string Own;
  std::map<std::string, holder, std::less<>> Holders; // By instance.
  std::map<std::string, account_totals, std::less<>>
      TotalsOfOthers; // By account.
  int ActiveOthers = 0;
  std::uint64_t MembersVersion = 0;
  bool MayMissRecords = false;
};

// Line of Record for Account, nullptr if there is none.
const account_line *findLine(const holder_record &Record,
                             std::string_view Account);

//---------------------------------------------------------------------------
// Watermarks
//---------------------------------------------------------------------------

// Age from which a watermark no longer limits spending, and from which a new
// incarnation no longer relies on it.
inline constexpr int WatermarkValidMs = 3'000;
// Time for instances to write their records again after a drill.
inline constexpr int RestateWaitMs = 3'000;
// Time after which another instance writes a record that is not written again.
// Instances wait for those with lower names, which may do it first.
inline constexpr int RestoreAfterMs = 1'500;
inline constexpr int RestoreStaggerMs = 200;

// The watermarks of one incarnation that are, or may be, in the store.
class spend_watermarks {
public:
  void onSent(watermark_record Record);
  void onWritten();   // The last one sent is stored.
  void onUncertain(); // The last one sent may be stored, now or later.
  void onRefused();   // The last one sent is not stored and never will be.
  // Cumulative spending of Account that is allowed, tokens. A new incarnation
  // charges at least that much, whichever of the watermarks it finds. Ceiling
  // if no watermark is valid any more.
  std::int64_t limitOf(std::string_view Account, std::int64_t Ceiling,
                       time_ms SinceBoot) const;
  bool hasPending() const { return !Unconfirmed.empty(); }

private:
  std::optional<watermark_record> Stored;
  std::vector<watermark_record> Unconfirmed; // Sent after Stored.
};

// Upper bound on the tokens of Account that the previous incarnation spent:
// its watermark if that is valid, otherwise Ceiling.
std::int64_t
maxPreviousSpending(const holder_record &Previous,
                    const std::optional<watermark_record> &Watermark,
                    std::string_view Account, std::int64_t Ceiling,
                    std::string_view BootId, time_ms SinceBoot);

//---------------------------------------------------------------------------
// Grants
//---------------------------------------------------------------------------

// Committed tokens are those that an instance has spent or reserved. Its
// headroom is the difference between its ceiling and its committed tokens.
struct grant_settings {
  int HeadroomMs = 10'000;           // Spending at the current rate that the
                                     // headroom should last for.
  int WatermarkHeadroomMs = 5'000;   // Spending at the current rate for which
                                     // a watermark is set ahead.
  double WatermarkShare = 0.35;      // Share of the headroom that a watermark
                                     // allows at least.
  int WatermarkIntervalMs = 500;     // Between two watermarks.
  int RateSmoothingMs = 8'000;       // Time constant of the spending rate.
  double MaxGrantShare = 0.3;        // Share of the ungranted tokens that one
                                     // grant may take.
  double EqualHeadroomShare = 0.25;  // Share of an entirely unspent budget that
                                     // all instances hold in equal parts. Falls
                                     // to 0 as the budget is spent.
  double MaxRateHeadroomShare = 0.3; // Share of the unspent tokens that all
                                     // instances together hold at most for
                                     // HeadroomMs, divided by past spending.
};

// The instance and the process that runs as it.
struct holder_identity {
  std::string Instance;
  std::string Zone;
  std::uint64_t Incarnation = 0;   // Never 0.
  std::string PeerAddress;         // host:port for other instances.
  std::string BootId;              // Of the machine, empty if it is not known.
  std::string ForwardAddress = {}; // See holder_record.
};

// Rate of spending, smoothed. Corrected for its start at 0.
class smoothed_rate {
public:
  void add(std::int64_t Tokens) { TokensSinceUpdate += Tokens; }
  // Decay: weight that the former samples keep after ElapsedMs.
  void update(double ElapsedMs, double Decay);
  double perMs() const { return PerMs; } // As of the last update.

private:
  double Biased = 0; // Tokens per ms, smoothed from 0.
  double Weight = 0; // Total weight of the samples in Biased, up to 1.
  double PerMs = 0;
  std::int64_t TokensSinceUpdate = 0;
};

// State of one account for operators. All members are tokens.
struct account_status {
  std::int64_t Prepaid = 0;
  std::int64_t Ceiling = 0;       // Of this instance.
  std::int64_t Used = 0;          // By all incarnations of this instance.
  std::int64_t Reserved = 0;      // By calls in progress at this instance.
  std::int64_t OthersCeiling = 0; // Sum over all other instances.
  std::int64_t OthersUsed = 0;    // Sum over all other instances, as last
                                  // published.
  std::int64_t Free = 0;          // Not granted to any instance.
};

// Grants of this instance: how much it may spend of each account, and which
// record to write in order to request or return tokens.
class grant_holder {
public:
  grant_holder(holder_identity Identity, grant_settings Settings,
               const clock &Clock);

  void setBudgets(std::shared_ptr<const relay::route_table> Table);
  // The era of the store, from its first response on and when it changes. The
  // topic must then be read from a snapshot again.
  void setEra(std::uint64_t NewEra);

  // Takes the records of the topic in their order. An unreadable record is
  // counted and otherwise ignored.
  void onRecord(std::string_view Key, std::string_view Value, bool Removed);
  // The store does not respond; onCaughtUp ends this state.
  void onStoreUnavailable() { IsStoreUnavailable = true; }
  // All records of the topic so far have been passed to onRecord.
  void onCaughtUp();

  // The previous incarnation's last watermark, read after that writer was
  // fenced; empty if there is none. Nothing can be spent before this call.
  void onPreviousWatermark(std::optional<watermark_record> Watermark);

  // The watermark to send now; empty if none is due.
  std::optional<watermark_record> planWatermark(time_ms Now);
  void onWatermarkWritten();
  void onWatermarkUncertain();
  void onWatermarkRefused(); // The store did not process the append.

  // Reserves Bound tokens, the upper bound of a call's cost. If the result is
  // Pending, more tokens are requested.
  relay::reserve_result reserve(std::string_view Account, std::int64_t Bound);
  // Reserves Bound tokens if they are held already; requests none.
  bool reserveHeld(std::string_view Account, std::int64_t Bound);
  // Ends a reservation of Bound tokens and bills Used of them.
  void settle(std::string_view Account, std::int64_t Bound, std::int64_t Used);
  // False for an account without a limit, or one that is not configured.
  bool isLimited(std::string_view Account) const;

  // True if the topic should be read so that a write can be planned.
  bool needsWrite(time_ms Now);
  // The record to write. Empty if there is nothing to change, or while the
  // last write is stored but not read back.
  std::optional<holder_record> planWrite(time_ms Now);
  void onWriteStored(std::uint64_t Number);   // Granted once it is read back.
  void onWriteRejected(std::uint64_t Number); // Will never be stored.

  // Lost records of other instances to write, by key, and with an empty value
  // the key of one to remove. Each is returned once. Called about every 100 ms.
  std::vector<std::pair<std::string, std::string>> planRestores(time_ms Now);

  // Requests no more grants; the next planned write returns all unspent tokens.
  void leave() { IsLeaving = true; }
  bool hasReturnedGrants() const { return HasReturnedGrants; }

  // Names and addresses of the other instances that have not left.
  std::vector<std::pair<std::string, std::string>> peers() const {
    return Holders.peers();
  }
  const pool_layout &pools() const { return Pools; }
  const holder_table &holders() const { return Holders; }
  account_status statusOf(std::string_view Account) const;
  int unreadableRecords() const { return UnreadableRecords; }

private:
  // State of one account at this instance.
  struct local_account {
    std::int64_t UsedByPrevious = 0;   // Tokens spent by previous incarnations.
    std::int64_t UsedByCurrent = 0;    // Tokens spent by this incarnation.
    std::int64_t Reserved = 0;         // Tokens reserved by calls in progress.
    std::int64_t GrantedCeiling = 0;   // Granted by the topic's order, tokens.
    std::int64_t EffectiveCeiling = 0; // GrantedCeiling, or less while a write
                                       // is uncertain.
    std::int64_t MaxWaitingBound = 0;  // Largest bound of a call that waits for
                                       // tokens.
    std::int64_t MissingTokens = 0;    // Bounds of the calls that lacked tokens
                                       // since the last planned write.
    time_ms LastShortageAt = 0;        // When a call last lacked tokens.
    double AverageBound = 0;           // Tokens per call, smoothed.
    smoothed_rate Rate;                // Of spending.
    bool HasNewShortage = false;       // A call lacked tokens since the last
                                       // planned write.
  };

  std::int64_t spendingLimit(std::string_view Name,
                             const local_account &Local) const;
  std::int64_t unspentTokens(std::string_view Account) const;

  struct pending_write {
    holder_record Record;
    bool IsStored = false; // Confirmed by the store, but not read back.
  };

  std::vector<pending_write>::iterator findPending(std::uint64_t Number);
  void onOwnRecord(const holder_record &Record);
  local_account &accountOf(std::string_view Name);
  const account_line *publishedLine(std::string_view Name) const;
  std::int64_t prepaidOf(std::string_view Account) const;
  bool isUnlimited(std::string_view Account) const;
  bool exceedsBudget(std::string_view Account, const local_account &Local,
                     std::int64_t Bound) const;
  bool isOverGranted(std::string_view Name, const local_account &Local) const;
  std::int64_t ceilingToRequest(std::string_view Name,
                                const local_account &Local,
                                bool &ShortOfTokens) const;
  std::int64_t equalShare(std::string_view Name, const local_account &Local,
                          double Unspent) const;
  std::int64_t targetHeadroom(std::string_view Name,
                              const local_account &Local) const;
  bool needsLine(const local_account &Local, const account_line &Line) const;
  bool differs(const account_line *Published, const account_line &Line) const;
  account_line lineFor(const std::string &Name, local_account &Local) const;
  std::int64_t watermarkFor(const local_account &Local) const;
  static std::int64_t committedTokens(const local_account &Local) {
    return Local.UsedByPrevious + Local.UsedByCurrent + Local.Reserved;
  }
  bool hasHeadroom() const;
  void updatePools();
  bool awaitsMembers() const;
  bool needsChange(std::string_view Name, const local_account &Local) const;
  void recordWaiting(local_account &Local, std::int64_t Bound) const;
  std::int64_t waitingBound(const local_account &Local) const;
  bool publishesUngrantedCeiling(std::string_view Name,
                                 const local_account &Local) const;
  bool publishesEndedShortage(std::string_view Name,
                              const local_account &Local) const;
  bool shouldUpdateForShortInstances(std::string_view Name,
                                     std::int64_t Headroom,
                                     std::int64_t Target) const;
  bool awaitsRestatements() const;
  std::string watermarkScope() const; // See watermark_record::BootId.
  void applyOwnRecord();
  void chargePreviousIncarnation(const holder_record &Record);
  std::vector<std::pair<std::string, std::string>> restoreRecords(time_ms Now);
  void onLostRecord(std::string_view Holder, std::string_view Value,
                    bool Removed);
  void chargeLostRecord();
  bool isLostRecordCounted() const;
  bool mayLackOwnRecord() const;
  void updateEffectiveCeilings();
  void updateRates(time_ms Now);

  holder_identity Identity;
  grant_settings Settings;
  const clock &Clock;
  std::shared_ptr<const relay::route_table> Table;
  holder_table Holders;
  pool_layout Pools;
  std::uint64_t PoolsVersion = 0; // holder_table::membersVersion of Pools.
  std::size_t PoolMembers = 0;    // Their number.
  time_ms MemberJoinedAt = 0;     // When the number last rose, monotonic.
  std::map<std::string, local_account, std::less<>> Accounts;
  std::vector<pending_write> PendingWrites; // Not read back, oldest first.
  std::uint64_t LastWriteNumber = 0;
  std::uint64_t Era = 0;    // Of the store, 0 if not known.
  time_ms EraKnownAt = 0;   // Monotonic.
  bool MustRestate = false; // The store may lack the own record.
  record_id Base;           // See holder_record.
  record_id Recovered;      // See holder_record.
  std::optional<holder_record> OwnLostRecord; // Written by another instance.
  time_ms OwnRecordAt =
      -1; // When the first own record was read back, -1 before.
  std::map<std::string, time_ms> MissingSince; // By instance, see planRestores.
  bool IsCaughtUp = false;
  bool IsStoreUnavailable = false;
  bool IsPreviousWatermarkKnown = false;
  std::optional<watermark_record> PreviousWatermark;
  bool IsPreviousSpendingKnown = false;
  spend_watermarks Watermarks;
  bool IsWatermarkInFlight = false;
  bool CallWaitsForWatermark = false;
  time_ms NextWatermarkAt = 0;
  bool IsLeaving = false;
  bool HasReturnedGrants = false;
  int UnreadableRecords = 0;
  time_ms RatesUpdatedAt = -1; // -1 before the first update.
};

} // namespace tamarack::grants
