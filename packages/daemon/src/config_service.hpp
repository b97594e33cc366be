// Keeps the operators' configuration up to date from the config stream of the
// log and from records that peers send.
#pragma once

#include "tamarack/adapters.hpp"
#include "tamarack/config.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace tamarack::daemon {

// Thread-safe. One thread follows the config stream.
class config_service {
public:
  config_service(append_log &Log, random_source &Random);
  ~config_service();

  void start();
  void stop();

  // Never null; version 0 before the first change.
  std::shared_ptr<const config::configuration> activeConfiguration();
  // True once the log was read to its end or a peer sent records.
  bool isReady();

  // Offset of the first record that is not applied yet.
  std::uint64_t nextOffset();
  // Cached records from offset From on, at most 64, and their first offset in
  // First. If From is older than the cache, one checkpoint of the present state
  // and the next offset in First.
  std::vector<byte_string> recordsFrom(std::uint64_t From,
                                       std::uint64_t &First);
  // Applies records that a peer returned from recordsFrom. Records that are
  // already applied are ignored, and so are records after a gap unless the
  // first of them is a checkpoint.
  void mergePeerRecords(std::uint64_t First,
                        std::span<const byte_string> Records);

  std::uint64_t unreadableCount(); // Records that could not be decoded.

private:
  void followLoop();
  void readPage();
  void applyRecord(std::uint64_t Offset, byte_view Body);
  void logActiveVersion();
  void startFromCheckpoint(std::uint64_t First);
  void checkpointIfDue();
  void waitBeforeRetry();
  bool isStopped();

  append_log &Log;
  adapters::component_logger Logger;

  // Guards all members below. No other lock is taken while Lock is held.
  std::mutex Lock;
  std::condition_variable StopCondition;
  config::config_fold ConfigFold;
  std::uint64_t FirstCachedOffset = 0;   // Of CachedRecords.front().
  std::deque<byte_string> CachedRecords; // For peers that lack them.
  std::uint64_t RecordsSinceCheckpoint = 0;
  std::uint64_t CheckpointInterval = 0; // Records, random for each process.
  bool Ready = false;
  bool Stopping = false;
  std::thread FollowerThread;
};

} // namespace tamarack::daemon
