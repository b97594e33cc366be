// Prepaid budgets, granted to instances through one shared keyed topic.
//
// Contents:
//   records      account_line, holder_record, mark_record, encode, decode
//   marks        spend_marks
//   the scheme   grant_holder, an implementation of relay::token_budget
//
// Each instance keeps one record under its own name: for each client account
// the ceiling of all that it asks to spend, counted since the budget began and
// over all its incarnations. The order of the topic decides between them: a
// ceiling holds as far as the budget still covers it beside the ceilings of all
// others, once everything before the own record is known. All that come later
// count it in full, so what holds never exceeds the budget, and no write fails
// because another instance wrote at the same time. An instance spends up to
// what it holds without asking anyone, so a cut changes nothing for that.
//
// An instance runs one process at a time, so a new incarnation proves that the
// former one is dead. What that one spent at most is told by its last mark: it
// records ahead, twice a second, how far its spending may come, and keeps to
// the mark until the mark is older than MarkValidMs; only then, cut off from
// the store, it goes on up to its ceiling. A new incarnation that finds the
// mark younger than that, by the machine's own time since boot, frees what is
// above it; otherwise the whole ceiling counts as spent. Time of day plays no
// part, and an instance that is only frozen or cut off keeps its grants.
//
// A late append can't do harm: each incarnation writes in a higher epoch than
// the one before, the store takes nothing of a writer's former epoch, and until
// a later record is seen the lowest ceiling of all that may still come binds.
// Nothing here is thread-safe; times are monotonic ms.
#pragma once

#include "tamarack/ports.hpp"
#include "tamarack/relay.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::grants {

//---------------------------------------------------------------------------
// Records
//---------------------------------------------------------------------------

struct account_line {
  std::string Account;
  std::int64_t Ceiling = 0; // Tokens, over all incarnations of the instance.
  std::int64_t Used = 0;    // Spent or reserved when this was written.
  bool Wanted = false;      // Short of money: others hand back what is idle.
};

struct holder_record {
  std::uint64_t Incarnation = 0; // Never 0 once written.
  std::uint64_t Number = 0;      // Of the writes of this incarnation, from 1.
  std::string PeerAddress;       // Where other instances reach this one.
  bool Left = false;             // Ended in order, ceilings are what was spent.
  std::vector<account_line> Lines;
};

std::string encode(const holder_record &Record);
// Empty if Bytes hold no record.
std::optional<holder_record> decode(std::string_view Bytes);

struct mark_line {
  std::string Account;
  std::int64_t Mark = 0; // Spending of the instance does not pass it.
};

struct mark_record {
  std::uint64_t Incarnation = 0;
  std::uint64_t Epoch = 0; // Of the store's writer.
  std::string BootId;      // Of the machine.
  time_ms Stamp = 0;       // Since that boot, when the mark was sent.
  std::vector<mark_line> Lines;
};

std::string encode(const mark_record &Record);
// Empty if Bytes hold no record.
std::optional<mark_record> decodeMark(std::string_view Bytes);

//---------------------------------------------------------------------------
// Marks
//---------------------------------------------------------------------------

inline constexpr int MarkValidMs = 3'000;

// The marks of one incarnation that the store has, or may have.
class spend_marks {
public:
  void onSent(mark_record Record);
  void onWritten();   // The latest one, for certain.
  void onUncertain(); // The latest one may be stored, now or later.
  void onRefused();   // The latest one is not stored and never will be.
  // Spending of Account up to which a new incarnation would charge, whichever
  // of the marks it finds. Ceiling if a mark no longer binds.
  std::int64_t limitOf(std::string_view Account, std::int64_t Ceiling,
                       time_ms SinceBoot) const;
  bool hasPending() const { return !Uncertain.empty(); }

private:
  std::optional<mark_record> Certain;
  std::vector<mark_record> Uncertain; // Sent after it.
};

// What the former incarnation spent of Account at most.
std::int64_t spentAtMost(const holder_record &Former,
                         const std::optional<mark_record> &Mark,
                         std::string_view Account, std::int64_t Ceiling,
                         std::string_view BootId, time_ms SinceBoot);

//---------------------------------------------------------------------------
// The scheme
//---------------------------------------------------------------------------

struct grant_settings {
  int LeadMs = 10'000;       // Spending that an instance holds ahead.
  int MarkLeadMs = 5'000;    // Spending that a mark leaves room for.
  double MarkShare = 0.35;   // Of what is held, a mark leaves that much room.
  int MarkPauseMs = 500;     // Between two marks.
  int RateMs = 8'000;        // Smoothing of the spending rate.
  double LargestShare = 0.3; // Of what is free, in one grant.
  double EqualShares = 0.25; // Of what is left of a whole budget, held by all
                             // in equal parts; less the more is spent.
  double LeadShares = 0.3;   // Of what is left, held by all as they spend.
};

// What an operator wants to know of one account.
struct account_status {
  std::int64_t Prepaid = 0;
  std::int64_t Ceiling = 0;       // Of this instance.
  std::int64_t Used = 0;          // Of this instance, former incarnations too.
  std::int64_t Reserved = 0;      // By calls under way here.
  std::int64_t OthersCeiling = 0; // Of all other instances.
  std::int64_t OthersUsed = 0;    // As they told last.
  std::int64_t Free = 0;          // Granted to nobody.
};

class grant_holder final : public relay::token_budget {
public:
  grant_holder(std::string Instance, std::uint64_t Incarnation,
               std::string PeerAddress, std::string BootId,
               grant_settings Settings, const clock &Clock);

  void setBudgets(std::shared_ptr<const relay::route_table> Table);

  // The topic, in order. An unreadable record stays out and is counted.
  void onRecord(std::string_view Key, std::string_view Value, bool Removed);
  // The store does not answer; onCaughtUp ends that.
  void onAway() { Away = true; }
  // Everything up to the last record given is known.
  void onCaughtUp();

  // The last mark of the former incarnation, read after its writer was fenced;
  // none if there is none. Nothing can be spent before.
  void onFormerMark(std::optional<mark_record> Mark);

  // The mark to send now, if one is due.
  std::optional<mark_record> planMark(time_ms Now);
  void onMarkWritten();
  void onMarkUncertain();
  void onMarkRefused(); // The store did nothing with it.

  relay::reserve_result reserve(std::string_view Account,
                                std::int64_t Bound) override;
  bool settle(std::string_view Account, std::int64_t Bound,
              std::int64_t Used) override;

  // True if the topic should be read so that a write can be planned.
  bool wantsWrite(time_ms Now);
  // The record to write; none if there is nothing to change, or if the one
  // before is stored and has not been read back.
  std::optional<holder_record> plan(time_ms Now);
  void onWritten(std::uint64_t Number);  // Stored; holds once it is read.
  void onRejected(std::uint64_t Number); // Never will be stored.

  // No more grants; the next plan hands everything back.
  void leave() { Leaving = true; }
  bool hasHandedBack() const { return HandedBack; }

  // Other instances that have not left, with their addresses.
  std::vector<std::pair<std::string, std::string>> peers() const;
  account_status statusOf(std::string_view Account) const;
  int unreadable() const { return Unreadable; }

private:
  struct local_account {
    std::int64_t Base = 0;     // Spent by former incarnations.
    std::int64_t Used = 0;     // Spent by this one.
    std::int64_t Reserved = 0; // By calls under way.
    std::int64_t Granted = 0;  // Ceiling that holds by the topic's order.
    std::int64_t Limit = 0;    // The same, or less while a write is uncertain.
    std::int64_t Waiting = 0;  // Largest bound that waits for money.
    time_ms AskedAt = 0;       // When a call last found too little.
    double UsualBound = 0;     // Smoothed.
    double RawRate = 0;        // Tokens a ms, smoothed from 0.
    double Rate = 0;           // The same without the bias of that start.
    double Weight = 0;         // Of what the smoothing has seen, up to 1.
    std::int64_t Recent = 0;   // Used since the rate was last brought up.
    bool Short = false;        // That call is not in a planned write yet.
  };

  std::int64_t limitOf(std::string_view Name, const local_account &Local) const;
  std::int64_t leftOf(std::string_view Account) const;

  struct pending_write {
    holder_record Record;
    bool Stored = false; // For certain, but not read back.
  };

  // Sums over the records of all other instances.
  struct account_totals {
    std::int64_t Ceiling = 0;
    std::int64_t Used = 0;
    std::int64_t Idle = 0; // Granted and not used, of those that live.
    int Wanting = 0;       // Instances that are short of money.
  };

  void keep(std::string_view Name, holder_record Record);
  void count(const holder_record &Record, int Sign);
  const account_totals &others(std::string_view Account) const;
  std::vector<pending_write>::iterator pendingOf(std::uint64_t Number);
  void onOwnRecord(const holder_record &Record);
  local_account &accountOf(std::string_view Name);
  const holder_record *own() const;
  const account_line *told(std::string_view Name) const;
  std::int64_t prepaidOf(std::string_view Account) const;
  bool isOverGranted(std::string_view Name, const local_account &Local) const;
  std::int64_t wantedCeiling(std::string_view Name, const local_account &Local,
                             bool &Wanted) const;
  std::int64_t equalShare(std::string_view Name, const local_account &Local,
                          double Left) const;
  std::int64_t target(std::string_view Name, const local_account &Local) const;
  bool needsChange(std::string_view Name, const local_account &Local) const;
  void noteWaiting(local_account &Local, std::int64_t Bound) const;
  std::int64_t waiting(const local_account &Local) const;
  bool asksTooMuch(std::string_view Name, const local_account &Local) const;
  bool wasWanting(std::string_view Name, const local_account &Local) const;
  bool isMissedByOthers(std::string_view Name, std::int64_t Left,
                        std::int64_t Target) const;
  bool yieldsToAnother(std::string_view Name) const;
  void adoptOwn();
  void adoptFormer(const holder_record &Record);
  void updateLimits();
  void updateRates(time_ms Now);

  std::string Instance;
  std::uint64_t Incarnation;
  std::string PeerAddress;
  std::string BootId;
  grant_settings Settings;
  const clock &Clock;
  std::shared_ptr<const relay::route_table> Table;
  std::map<std::string, holder_record, std::less<>> Holders;
  std::map<std::string, account_totals, std::less<>> Others; // By account.
  int LivingOthers = 0; // Other instances that have not left.
  std::map<std::string, local_account, std::less<>> Accounts;
  std::vector<pending_write> Pending; // Not read back, oldest first.
  std::uint64_t LastNumber = 0;
  bool CaughtUp = false;
  bool Away = false;
  bool FormerMarkKnown = false;
  std::optional<mark_record> FormerMark;
  bool Adopted = false; // Spending of former incarnations is known.
  spend_marks Marks;
  bool MarkUnderWay = false;
  bool MarkShort = false; // A call waits for a mark.
  time_ms NextMark = 0;
  bool Leaving = false;
  bool HandedBack = false;
  int Unreadable = 0;
  time_ms RatesAt = -1;
};

} // namespace tamarack::grants
