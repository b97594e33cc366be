// Keeps the operators' configuration up to date from the log and from peers.
#include "config_service.hpp"

namespace tamarack::daemon {

namespace {

constexpr int LongPollMs = 2000;              // Longest wait for new records.
constexpr int RetryMs = 300;                  // Pause after a failed read.
constexpr std::size_t MaxCachedRecords = 512; // For peers.
constexpr std::size_t MaxRecordsPerMessage = 64; // In one response to a peer.
// Records; the interval of a process is random, up to twice as many.
constexpr std::uint64_t MinCheckpointInterval = 256;

} // namespace

config_service::config_service(append_log &Log, random_source &Random)
    : Log(Log), Logger("config") {
  CheckpointInterval =
      MinCheckpointInterval + Random.next() % MinCheckpointInterval;
}

config_service::~config_service() { stop(); }

void config_service::start() {
  FollowerThread = std::thread([this] { followLoop(); });
}

void config_service::stop() {
  {
    const std::lock_guard Guard(Lock);
    Stopping = true;
    StopCondition.notify_all();
  }
  if (FollowerThread.joinable())
    FollowerThread.join();
}

std::shared_ptr<const config::configuration>
config_service::activeConfiguration() {
  const std::lock_guard Guard(Lock);
  return ConfigFold.activeConfiguration();
}

bool config_service::isReady() {
  const std::lock_guard Guard(Lock);
  return Ready;
}

std::uint64_t config_service::nextOffset() {
  const std::lock_guard Guard(Lock);
  return ConfigFold.nextOffset();
}

std::uint64_t config_service::unreadableCount() {
  const std::lock_guard Guard(Lock);
  return ConfigFold.unreadableRecords();
}

std::vector<byte_string> config_service::recordsFrom(std::uint64_t From,
                                                     std::uint64_t &First) {
  const std::lock_guard Guard(Lock);
  std::vector<byte_string> Result;
  First = From;
  if (From >= ConfigFold.nextOffset())
    return Result;
  if (From < FirstCachedOffset) {
    First = ConfigFold.nextOffset();
    Result.push_back(config::encodeCheckpoint(ConfigFold.makeCheckpoint()));
    return Result;
  }
  for (std::uint64_t Offset = From; Offset < ConfigFold.nextOffset();
       ++Offset) {
    Result.push_back(CachedRecords[Offset - FirstCachedOffset]);
    if (Result.size() == MaxRecordsPerMessage)
      break;
  }
  return Result;
}

void config_service::mergePeerRecords(std::uint64_t First,
                                      std::span<const byte_string> Records) {
  const std::lock_guard Guard(Lock);
  if (Records.empty())
    return;
  if (First > ConfigFold.nextOffset()) {
    if (ConfigFold.restore(Records.front())) {
      FirstCachedOffset = ConfigFold.nextOffset();
      CachedRecords.clear();
      Ready = true;
      Logger.info("Restored version " + std::to_string(ConfigFold.version()) +
                  " from a peer's checkpoint.");
    }
    return;
  }
  std::uint64_t Offset = First;
  for (const byte_string &Record : Records)
    applyRecord(Offset++, Record);
  Ready = true;
}

// Called with Lock held.
void config_service::applyRecord(std::uint64_t Offset, byte_view Body) {
  if (Offset != ConfigFold.nextOffset())
    return;
  const config::change_result Result = ConfigFold.apply(Offset, Body);
  CachedRecords.emplace_back(Body.begin(), Body.end());
  if (CachedRecords.size() > MaxCachedRecords) {
    CachedRecords.pop_front();
    ++FirstCachedOffset;
  }
  ++RecordsSinceCheckpoint;
  if (Result == config::change_result::Checkpoint)
    RecordsSinceCheckpoint = 0;
  if (Result == config::change_result::Accepted)
    logActiveVersion();
  else if (Result != config::change_result::Checkpoint)
    Logger.warn("A configuration change was not accepted: " +
                std::string(config::toString(Result)) + ".");
}

// Called with Lock held.
void config_service::logActiveVersion() {
  const std::string Version = std::to_string(ConfigFold.version());
  Logger.info("Version " + Version + " is active.");
  const std::vector<config::config_warning> Warnings =
      config::findWarnings(*ConfigFold.activeConfiguration());
  if (!Warnings.empty())
    Logger.warn(
        "Version " + Version + " has " + std::to_string(Warnings.size()) +
        " warnings, see \"tamarackctl check\"; the first: " +
        Warnings.front().Location + " " + Warnings.front().Message + ".");
}

void config_service::followLoop() {
  while (!isStopped()) {
    try {
      readPage();
    } catch (const log_unavailable &Error) {
      Logger.warn(std::string("Reading the config stream failed: ") +
                  Error.what() + ".");
      waitBeforeRetry();
    }
  }
}

void config_service::readPage() {
  std::uint64_t From = 0;
  int WaitMs = 0;
  {
    const std::lock_guard Guard(Lock);
    From = ConfigFold.nextOffset();
    WaitMs = Ready ? LongPollMs : 0;
  }
  const log_page Page = Log.read(config::ConfigStream, From, WaitMs);
  if (Page.Trimmed)
    return startFromCheckpoint(Page.OldestOffset);
  const std::lock_guard Guard(Lock);
  for (const log_record &Record : Page.Records)
    applyRecord(Record.Offset, Record.Body);
  if (ConfigFold.nextOffset() >= Page.NextOffset)
    Ready = true;
  checkpointIfDue();
}

// Called if the log no longer has the next record. Restores the first
// checkpoint in the log that is newer than the state and lacks no deleted
// record.
void config_service::startFromCheckpoint(std::uint64_t First) {
  std::uint64_t From = First;
  for (;;) {
    const log_page Page = Log.read(config::ConfigStream, From, 0);
    for (const log_record &Record : Page.Records) {
      From = Record.Offset + 1;
      const std::lock_guard Guard(Lock);
      if (ConfigFold.nextOffset() >= Page.OldestOffset)
        return; // A peer has sent the missing records in the meantime.
      if (!ConfigFold.restore(Record.Body, Page.OldestOffset))
        continue;
      FirstCachedOffset = ConfigFold.nextOffset();
      CachedRecords.clear();
      Logger.info("Restored version " + std::to_string(ConfigFold.version()) +
                  " from a checkpoint in the log.");
      return;
    }
    if (Page.Records.empty())
      throw log_unavailable("the config stream is trimmed and has no "
                            "checkpoint");
  }
}

// Called with Lock held.
void config_service::checkpointIfDue() {
  if (!Ready || RecordsSinceCheckpoint < CheckpointInterval)
    return;
  RecordsSinceCheckpoint = 0;
  const byte_string Body =
      config::encodeCheckpoint(ConfigFold.makeCheckpoint());
  try {
    Log.append(config::ConfigStream, Body);
  } catch (const log_unavailable &) {
    // Another daemon writes one, or this one after the next interval.
  }
}

void config_service::waitBeforeRetry() {
  std::unique_lock Guard(Lock);
  StopCondition.wait_for(Guard, std::chrono::milliseconds(RetryMs),
                         [this] { return Stopping; });
}

bool config_service::isStopped() {
  const std::lock_guard Guard(Lock);
  return Stopping;
}

} // namespace tamarack::daemon
