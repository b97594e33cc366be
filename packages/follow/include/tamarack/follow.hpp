// An instance's up-to-date view of the platform's keyed topics.
//
// Contents:
//   snapshots      snapshot_end, readSnapshot
//   one topic      topic_listener, follower_settings, topic_follower
//   the endpoints  endpoint_directory
//   the zones      zone_change, zone_evacuations
//   own records    report_writer
//
// Not thread-safe; times are in monotonic ms.
#pragma once

#include "tamarack/dispatch.hpp"
#include "tamarack/ports.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::follow {

//---------------------------------------------------------------------------
// Snapshots
//---------------------------------------------------------------------------

// How the read of a snapshot ended.
struct snapshot_end {
  store_status Status = store_status::Unavailable; // Ok: all pages arrived.
  std::uint64_t Era = 0; // Of all pages, see store_era.
  // A read from here on returns all records that the snapshot may lack.
  std::uint64_t NextOffset = 0;
  int StaleMs = 0; // Of the oldest page, see keyed_page.
  int Pages = 0;
  std::uint64_t Records = 0;
  // The store repeats a page instead of sending the next one. Status is then
  // Refused: the keys that follow are out of reach.
  bool IsStuck = false;
};

using snapshot_end_handler = std::function<void(const snapshot_end &)>;

// Reads a snapshot of Topic page by page. Only one page is in memory at a time:
// other writers may have left more than this process can hold. OnPage gets each
// page that arrives; OnEnd is called once, after the last one. Store must
// outlive the read.
void readSnapshot(keyed_store &Store, store_topic Topic, page_handler OnPage,
                  snapshot_end_handler OnEnd);

//---------------------------------------------------------------------------
// One topic
//---------------------------------------------------------------------------

// Receives the records of a topic from a topic_follower.
class topic_listener {
public:
  virtual ~topic_listener() = default;
  virtual void onRecord(const keyed_record &Record) = 0;
  // Called before and after the records of a snapshot. A key that is not in the
  // snapshot does not exist.
  virtual void onSnapshotBegin() {}
  virtual void onSnapshotEnd() {}
  // Instead of onSnapshotEnd: a later page could not be read, so nothing is
  // known of the keys that are missing.
  virtual void onSnapshotAbort() {}
  // After onSnapshotEnd or onSnapshotAbort.
  virtual void onSnapshotRead(const snapshot_end &) {}
  // The listener has got all records before offset NextOffset.
  virtual void onCaughtUp(std::uint64_t NextOffset) = 0;
  virtual void onStoreResponse() {}    // Before the records of each read.
  virtual void onStoreUnavailable() {} // A read failed.
};

struct follower_settings {
  int PollIntervalMs = 1'000; // Pause between reads without long polling.
  int LongPollMs = 0;         // Longest wait at the store for records, 0: none.
  int RetryDelayMs = 250;     // Pause after a failed read.
  // Skips records that newer ones of the same key have superseded, and reads
  // only snapshots while records arrive in a burst or after an outage.
  bool SkipSuperseded = false;
  int BurstReadIntervalMs = 700; // Between snapshots during a burst.
  // Goes on without the keys that a store which is stuck does not send. Only
  // for topics whose live writers repeat their records.
  bool AcceptStuckSnapshot = false;
};

// Follows a topic: reads a snapshot once, then the records appended after it.
// When the era of the store changes, it reads a snapshot again: offsets may
// belong to other records then.
// tick starts the reads; at most one is in progress.
class topic_follower {
public:
  topic_follower(store_topic Topic, keyed_store &Store, const clock &Clock,
                 topic_listener &Listener, follower_settings Settings);

  // Starts the next read if it is due. Returns when to call tick again.
  time_ms tick(time_ms Now);
  // Makes the next read due at once.
  void scheduleReadNow() { NextReadAt = 0; }
  bool isStoreUnavailable() const { return StoreUnavailable; }
  time_ms lastResponseAt() const { return LastResponseAt; } // -1 if never.
  // The listener has got all records that were stored before this time, by
  // clock::sinceBoot. -1 if it has never had them all. The arrival of a page
  // proves nothing: it may have been on its way for seconds.
  time_ms knownAsOf() const { return KnownAsOf; }
  int lastReadMs() const { return LastReadMs; } // Duration, with a long poll.
  // When the last read was started, by clock::sinceBoot, if it has failed; -1
  // if it was answered.
  time_ms failedReadStartedAt() const { return FailedReadStartedAt; }
  // Since when the read in progress has no answer, by clock::sinceBoot; -1 if
  // none is in progress.
  time_ms unansweredSince() const {
    return ReadInProgress ? ReadStartedAt : -1;
  }

private:
  void startSnapshot();
  void onSnapshotPage(const keyed_page &Page);
  void onSnapshotEnd(const snapshot_end &End);
  void onPage(const keyed_page &Page);
  void onReadFailed(time_ms Now);
  void recordResponse(time_ms Now);
  void deliverRecords(const keyed_page &Page);
  void restart(time_ms NextReadTime); // From a snapshot.
  bool detectBurst(const keyed_page &Page, time_ms Now);

  store_topic Topic;
  keyed_store &Store;
  const clock &Clock;
  topic_listener &Listener;
  follower_settings Settings;
  bool HasSnapshot = false;  // False: the next read is a snapshot.
  bool IsInSnapshot = false; // At least one page of a snapshot has arrived.
  std::uint64_t Era = 0;     // Of the store, at the snapshot.
  bool CaughtUp = false;
  bool ReadInProgress = false;
  bool StoreUnavailable = false;
  std::uint64_t NextOffset = 0; // Of the next read.
  time_ms NextReadAt = 0;
  time_ms ReadStartedAt = -1;       // Of the last read, by sinceBoot.
  time_ms LastResponseAt = -1;      // -1 if never.
  time_ms KnownAsOf = -1;           // By sinceBoot, -1 if never.
  time_ms FailedReadStartedAt = -1; // The same.
  int LastReadMs = 0;
  time_ms LastRecordsAt = -1; // When a read last returned records.
};

//---------------------------------------------------------------------------
// The endpoints
//---------------------------------------------------------------------------

// The endpoints that the platform lists, and which of them take no new work.
//
// Entries that disappeared during an outage of the store, or shortly after, are
// kept until live endpoints have had time to register again. An outage that is
// too short for entries to expire does not count, nor does one in which most
// endpoints kept registering, or after which most entries are still there: then
// only this instance could not read. An endpoint that had the store since the
// outage began has left when its entry disappears.
//
// An endpoint that leaves says so in its entry, in its responses, or in both.
// Once a response has said so it is leaving until it starts anew, whatever its
// entries say.
class endpoint_directory {
public:
  static constexpr int MinExpiryMs = 2'000; // Shorter outages expire no entry.
  // After an outage, time for live endpoints to register again.
  static constexpr int ReregistrationMs = 2'500;
  // A report that an endpoint sent before its end may arrive this much later.
  static constexpr int LateReportMs = 60'000;
  // If this share of the endpoints registered during an outage, the store was
  // available to them.
  static constexpr double RegisteringShare = 0.75;
  // An endpoint that registered this often since an outage began had the store
  // after that. One registration may be from before.
  static constexpr int RegistrationsWithStore = 2;
  // Outages of the store that are this long expire the entries of all
  // endpoints. If this share of them is still there after one, only this
  // instance, and perhaps some of the endpoints, did not reach the store.
  static constexpr int FullExpiryMs = 5'000;
  static constexpr double RemainingShare = 0.5;
  // An endpoint that reports this often in a row is alive, and an entry that
  // seems newer than these reports is not its own.
  static constexpr int ReportsOfLife = 3;

  // True if the entry contains something new.
  bool onEntry(const dispatch::endpoint_entry &Entry);
  // A response of the endpoint states that it takes no new work. StartedAt is
  // the start that was known when the request was sent. Returns true if that is
  // news.
  bool onStatedLeaving(std::string_view Id, std::int64_t StartedAt,
                       time_ms Now);
  void onRemoved(std::string_view Id, time_ms Now);
  void onStoreUnavailable() { StoreUnavailable = true; }
  // The store has answered a read that was sent at SentAt.
  void onStoreResponse(time_ms SentAt, time_ms Now);
  // The store has come back from an older copy, which may lack live endpoints
  // and have those that are gone. A snapshot follows.
  void onEraChanged(time_ms Now);
  // All records up to now were passed on.
  void onCaughtUp();
  // Called before and after the entries of a snapshot; abortSnapshot if the
  // rest of it could not be read.
  void beginSnapshot();
  void endSnapshot(time_ms Now);
  void abortSnapshot() { IsReadingSnapshot = false; }

  // Removes entries that are overdue. True if the list has changed since the
  // last call of update.
  bool update(time_ms Now);
  std::vector<dispatch::endpoint_entry> entries() const;
  // True while endpoints may still have to register again after an outage: the
  // store may not list those that have started in the meantime.
  bool isReregistering(time_ms Now) const;

private:
  // An endpoint that is listed, or was until a short time ago.
  struct known_endpoint {
    dispatch::endpoint_entry Entry; // The latest one.
    bool IsListed = false;
    bool StatesLeaving = false; // In a response.
    bool InSnapshot = false;    // Seen since beginSnapshot.
    int Registrations = 0;      // Since the last outage began.
    bool HasReturned = false;   // Registered after a removal, since then.
    time_ms RemoveAt = -1;  // End of the time to register again, -1 if none.
    time_ms RemovedAt = -1; // If it is not listed.
    // The last of the reports in a row that seem older than Entry.
    dispatch::endpoint_entry Contradicting;
    int ContradictingReports = 0;
  };

  // True if the endpoint has published Entry after all that is known of it.
  bool isInOrder(known_endpoint &Known, const dispatch::endpoint_entry &Entry);
  bool isLive(known_endpoint &Known, const dispatch::endpoint_entry &Entry);
  bool markLeaving(known_endpoint &Known);
  // True if its entry has not disappeared because of the last outage.
  static bool hasLeft(const known_endpoint &Known);
  void expectReregistrations(time_ms Now);
  void endReregistrations();
  bool haveMostRegistered() const; // Since the beginning of the last outage.
  bool haveMostRemained() const;   // The same: their entries.
  void unlist(known_endpoint &Known, time_ms Now);

  std::map<std::string, known_endpoint, std::less<>> Endpoints; // By id.
  bool Changed = false; // Since the last call of update.
  bool StoreUnavailable = false;
  time_ms LastAnsweredAt = 0; // When the last read that was answered was sent.
  time_ms OutageEndedAt = -1; // -1 if there was no outage that counts.
  time_ms OutageMs = 0;       // Of that one: the longest that it can have been.
  bool IsCatchingUp = false;  // Records of the time of the outage may follow.
  bool IsReadingSnapshot = false;
};

//---------------------------------------------------------------------------
// The availability zones
//---------------------------------------------------------------------------

// A zone whose endpoints get no work from now on, or do again.
struct zone_change {
  std::string Zone;
  bool IsEvacuated = false;
  std::uint64_t Offset = 0; // Of the record that evacuated the zone.
  time_ms EvacuatedAt = 0;  // Monotonic, when this instance read that record.
};

// The zones that operators have evacuated. A zone is evacuated while its record
// exists.
//
// A page may be older than what is known already: another instance may have
// shared it. What an old page lacks, or still has, changes nothing.
//
// A store that has come back from a copy may lack records that operators write
// again in the next moments. Zones that it lacks stay evacuated until then.
class zone_evacuations {
public:
  static constexpr std::size_t MaxZones = 1'000;
  // From a change of the store's era until operators have written again.
  static constexpr int RewriteMs = 3'000;

  // False if there are too many zones: this one is not evacuated.
  bool onRecord(std::string_view Zone, std::uint64_t Offset, time_ms Now);
  void onRemoved(std::string_view Zone, std::uint64_t Offset);
  void onEraChanged(time_ms Now);
  // Called before and after the records of a snapshot that has all records
  // before NextOffset; abortSnapshot if the rest of it could not be read.
  void beginSnapshot();
  void endSnapshot(std::uint64_t NextOffset, time_ms Now);
  void abortSnapshot() { IsReadingSnapshot = false; }
  // True if a whole snapshot was read at least once.
  bool isKnown() const { return IsKnown; }

  // The changes since the last call of update. Called at least every 100 ms.
  std::vector<zone_change> update(time_ms Now);
  std::vector<std::string> zones() const; // Evacuated, as of the last update.

private:
  struct evacuation {
    std::uint64_t Offset = 0; // Of its record, 0 if that is of a former era.
    time_ms Since = 0;
    bool InSnapshot = false; // Seen since beginSnapshot.
    time_ms EndAt = -1;      // End of the time to write it again, -1 if none.
  };
  using zone_map = std::map<std::string, evacuation, std::less<>>;

  void endMissing(time_ms Now);

  zone_map Zones;
  zone_map UpdatedZones; // As of the last call of update.
  // All records before this offset are taken into account.
  std::uint64_t KnownUpTo = 0;
  time_ms EraChangedAt = -1; // -1 if never.
  bool IsReadingSnapshot = false;
  bool IsKnown = false;
};

//---------------------------------------------------------------------------
// Own records
//---------------------------------------------------------------------------

// Stores what this instance reports to the others, under keys that its callers
// choose. Keeps only the newest value of each key that is not stored yet.
class report_writer {
public:
  // WriterName must differ from the names of all other writers of the topic.
  // WriteIntervalMs: pause between two writes; the appends of a topic wait for
  // each other.
  report_writer(keyed_store &Store, store_topic Topic, std::string WriterName,
                int WriteIntervalMs = 300);

  // Records that this writer may have stored are of this incarnation.
  bool hasWritten() const { return HasWritten; }
  // Allows writes. Epoch is above that of the previous incarnation's writes.
  void allowWrites(std::uint64_t Epoch);
  // Value is to be stored under Key; an empty one removes the record.
  void set(const std::string &Key, std::string Value) {
    Unwritten.insert_or_assign(Key, std::move(Value));
  }
  // Writes what is not stored. Called at least every 100 ms.
  void tick(time_ms Now);

private:
  void onWritten(store_status Status, time_ms StartedAt);

  keyed_store &Store;
  store_topic Topic;
  store_writer Writer;
  int WriteIntervalMs;
  bool MayWrite = false;
  bool IsWriting = false;
  bool HasWritten = false;
  time_ms NextWriteAt = 0;                      // Monotonic.
  std::map<std::string, std::string> Unwritten; // Values by key.
  std::map<std::string, std::string>::node_type BeingWritten;
};

} // namespace tamarack::follow
