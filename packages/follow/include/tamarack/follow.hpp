// What an instance knows of the platform's keyed topics, kept up to date.
//
// Contents:
//   one topic      topic_listener, topic_follower
//   the endpoints  endpoint_directory
//
// Not thread-safe; times are monotonic ms.
#pragma once

#include "tamarack/dispatch.hpp"
#include "tamarack/ports.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::follow {

//---------------------------------------------------------------------------
// One topic
//---------------------------------------------------------------------------

class topic_listener {
public:
  virtual ~topic_listener() = default;
  virtual void onRecord(const keyed_record &Record) = 0;
  // Around the newest records of all keys: a key that is not among them does
  // not exist.
  virtual void onSnapshotBegin() {}
  virtual void onSnapshotEnd() {}
  // All records before End are known.
  virtual void onCaughtUp(std::uint64_t End) = 0;
  virtual void onStoreResponse() {}    // Before the records of each read.
  virtual void onStoreUnavailable() {} // The store does not answer.
};

struct follower_settings {
  int PollIntervalMs = 1'000;  // Pause between reads that don't wait.
  int LongPollMs = 0;          // Time that the store may hold a read, 0: none.
  int RetryDelayMs = 250;      // Pause after a failed read.
  bool SkipSuperseded = false; // Versions that others have replaced are passed
                               // over, and not even read where they are many.
  int BurstReadIntervalMs = 700; // Pause between reads while versions come
                                 // quickly, with SkipSuperseded.
};

// Reads a topic whole once, then what is new. Reads are planned by tick; one
// is under way at most.
class topic_follower {
public:
  topic_follower(store_topic Topic, keyed_store &Store, const clock &Clock,
                 topic_listener &Listener, follower_settings Settings);

  // Starts the next read if it is due. Returns when to call again.
  time_ms tick(time_ms Now);
  // The next read is due now.
  void scheduleReadNow() { NextRead = 0; }
  bool isStoreUnavailable() const { return Away; }
  time_ms lastResponseAt() const { return LastAnswer; } // -1 if never.

private:
  void onPage(bool Whole, const keyed_page &Page);
  void pass(const keyed_page &Page);
  bool comesQuickly(const keyed_page &Page, time_ms Now);

  store_topic Topic;
  keyed_store &Store;
  const clock &Clock;
  topic_listener &Listener;
  follower_settings Settings;
  bool HasWhole = false;
  bool CaughtUp = false;
  bool UnderWay = false;
  bool Away = false;
  std::uint64_t Next = 0;
  time_ms NextRead = 0;
  time_ms LastAnswer = -1;
  time_ms LastChange = -1; // When records last came.
};

//---------------------------------------------------------------------------
// The endpoints
//---------------------------------------------------------------------------

// The endpoints that the platform lists. Entries that vanished while the store
// was away, or just after, are kept until living endpoints had the time to
// register again; a silence that is too short for entries to lapse does not
// count.
class endpoint_directory {
public:
  static constexpr int LapseMs = 2'000;         // Least time to lapse.
  static constexpr int RegisterAgainMs = 2'500; // After the store's return.
  // Reports sent before the end may still come for so long after it.
  static constexpr int LateReportMs = 60'000;

  // True if the entry tells something new.
  bool onEntry(const dispatch::endpoint_entry &Entry);
  void onRemoved(std::string_view Id, time_ms Now);
  void onStoreUnavailable() { StoreUnavailable = true; }
  void onStoreResponse(time_ms Now);
  // Before and after the newest of all keys were told.
  void beginSnapshot();
  void endSnapshot(time_ms Now);

  // Changes the list by the passing of time. True if it changed since the
  // last call.
  bool update(time_ms Now);
  std::vector<dispatch::endpoint_entry> entries() const;

private:
  struct item {
    dispatch::endpoint_entry Entry;
    bool Seen = false;      // While a whole list is told.
    time_ms GoneAfter = -1; // -1 if listed.
  };

  // The last that was known of an endpoint that is gone.
  struct departed {
    dispatch::endpoint_entry Entry;
    time_ms At = 0;
  };

  bool isUnsettled(time_ms Now) const;
  void erase(const std::string &Id, time_ms Now);

  std::map<std::string, item, std::less<>> Items;
  std::map<std::string, departed, std::less<>> Departed;
  bool Changed = false;
  bool StoreUnavailable = false;
  time_ms AnsweredAt = 0; // Last answer of the store.
  time_ms BackAt = -1;    // Its last return, -1 if it was never away for long.
};

} // namespace tamarack::follow
