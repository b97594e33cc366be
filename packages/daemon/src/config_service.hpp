// Follows the config stream from the log and from peers.
#pragma once

#include "tamarack/adapters.hpp"
#include "tamarack/config.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace tamarack::daemon {

class config_service {
public:
  config_service(append_log &Log, random_source &Random);
  ~config_service();

  void start();
  void stop();

  // What is in force. Never null; version 0 before the first change.
  std::shared_ptr<const config::configuration> activeConfiguration();
  // True once the state came from the log or a peer.
  bool isReady();

  std::uint64_t nextOffset();
  // Records from offset From on, as far as kept; one checkpoint and what
  // follows it if From is too old. First gets the offset of the first.
  std::vector<byte_string> recordsFrom(std::uint64_t From,
                                       std::uint64_t &First);
  // Records that a peer sent. Gaps and old ones are ignored.
  void mergePeerRecords(std::uint64_t First,
                        std::span<const byte_string> Records);

  std::uint64_t unreadableCount();

private:
  void followLoop();
  void readPage();
  void applyRecord(std::uint64_t Offset, byte_view Body);
  void startFromCheckpoint(std::uint64_t First);
  void checkpointIfDue();
  void waitBeforeRetry();
  bool isStopped();

  append_log &Log;
  adapters::log_part Logger;

  std::mutex Lock; // Guards all below; no other lock is taken under it.
  std::condition_variable StopCondition;
  config::config_fold ConfigFold;
  std::uint64_t FirstCachedOffset = 0; // Offset of the first record in Kept.
  std::deque<byte_string> CachedRecords;
  std::uint64_t RecordsSinceCheckpoint = 0;
  std::uint64_t CheckpointInterval = 0;
  bool Ready = false;
  bool Stopping = false;
  std::thread FollowerThread;
};

} // namespace tamarack::daemon
