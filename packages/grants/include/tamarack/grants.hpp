// Prepaid budgets, granted to instances through one shared keyed topic.
//
// Contents:
//   records      account_line, holder_record, encode, decode
//   the scheme   grant_holder, an implementation of relay::allowance
//
// Each instance keeps one record under its own name: for each client account
// the ceiling of all that it may spend, counted since the budget began and over
// all its incarnations. The sum of all ceilings of an account never exceeds its
// prepaid budget, since a record is appended only on the condition that the
// topic has not changed since it was read. An instance spends up to its ceiling
// without asking anyone, so a cut changes nothing for what it holds.
//
// An instance runs one process at a time, so a new incarnation proves that the
// former one is dead. What that one had left can't be known and counts as
// spent. No clock ever frees money.
//
// A late append can't do harm: it lands only where its condition still holds,
// and until it is certain that it can't, the lower of the two ceilings binds.
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
  std::uint64_t Incarnation = 0;
  std::string PeerAddress; // Where other instances reach this one.
  bool Left = false;       // Ended in order, ceilings are what was spent.
  std::vector<account_line> Lines;
};

std::string encode(const holder_record &Record);
// Empty if Bytes hold no record.
std::optional<holder_record> decode(std::string_view Bytes);

//---------------------------------------------------------------------------
// The scheme
//---------------------------------------------------------------------------

struct grant_settings {
  int LeadMs = 10'000;       // Spending that an instance holds ahead.
  int RateMs = 3'000;        // Smoothing of the spending rate.
  double LargestShare = 0.3; // Of what is free, in one grant.
  double FirstShare = 0.03;  // Of the budget, before a rate is known.
  double FirstShares = 0.25; // Of the budget, all instances' first grants.
};

// A record to be appended if the topic still ends at At.
struct grant_write {
  std::uint64_t At = 0;
  std::string Value;
};

// What an operator wants to know of one account.
struct account_status {
  std::int64_t Ceiling = 0;
  std::int64_t Used = 0;
  std::int64_t Reserved = 0;
  std::int64_t Free = 0; // Granted to nobody.
};

class grant_holder final : public relay::allowance {
public:
  grant_holder(std::string Instance, std::uint64_t Incarnation,
               std::string PeerAddress, grant_settings Settings);

  void setBudgets(std::shared_ptr<const relay::route_table> Table);

  // The topic, in order. An unreadable record stays out and is counted.
  void onRecord(std::uint64_t Offset, std::string_view Key,
                std::string_view Value, bool Removed);
  // All records before End are known.
  void onCaughtUp(std::uint64_t End);

  relay::reserve_result reserve(std::string_view Account,
                                std::int64_t Bound) override;
  void settle(std::string_view Account, std::int64_t Bound,
              std::int64_t Used) override;

  // True if the topic should be read so that a write can be planned.
  bool wantsWrite(time_ms Now);
  // The write that fits what is known; none if there is nothing to change.
  std::optional<grant_write> plan(time_ms Now);
  void onWritten(std::uint64_t At); // Certain.
  void onRejected(std::uint64_t At); // Certain not to have been stored.

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
    std::int64_t Limit = 0;    // Base + this incarnation's spending at most.
    std::int64_t LargestBound = 0;
    double Rate = 0;           // Tokens a ms, smoothed.
    std::int64_t Recent = 0;   // Used since the rate was last brought up.
    bool Short = false;        // A call waits for money.
  };

  struct pending_write {
    std::uint64_t At = 0;
    holder_record Record;
  };

  local_account &accountOf(std::string_view Name);
  const holder_record *own() const;
  std::int64_t prepaidOf(std::string_view Account) const;
  std::int64_t othersCeiling(std::string_view Account) const;
  std::int64_t othersUsed(std::string_view Account) const;
  std::int64_t othersIdle(std::string_view Account) const;
  bool isOverGranted(std::string_view Name, const local_account &Local) const;
  bool othersWant(std::string_view Account) const;
  std::int64_t wantedCeiling(std::string_view Name, const local_account &Local,
                             bool &Wanted) const;
  std::int64_t target(std::string_view Name, const local_account &Local) const;
  bool needsChange(std::string_view Name, const local_account &Local) const;
  void adoptOwn();
  void updateRates(time_ms Now);

  std::string Instance;
  std::uint64_t Incarnation;
  std::string PeerAddress;
  grant_settings Settings;
  std::shared_ptr<const relay::route_table> Table;
  std::map<std::string, holder_record, std::less<>> Holders;
  std::map<std::string, local_account, std::less<>> Accounts;
  std::vector<pending_write> Pending; // Outcome not certain.
  std::uint64_t End = 0;
  bool CaughtUp = false;
  bool Adopted = false; // Spending of former incarnations is known.
  bool Leaving = false;
  bool HandedBack = false;
  int Unreadable = 0;
  time_ms RatesAt = -1;
};

} // namespace tamarack::grants
