// Follows the config stream from the log and from peers.
#include "config_service.hpp"

namespace tamarack::daemon {

namespace {

constexpr int PollMs = 2000;                   // Long poll of the log.
constexpr int RetryMs = 300;                   // After a failed read.
constexpr std::size_t KeptRecords = 512;       // For peers.
constexpr std::size_t SentRecords = 64;        // In one answer to a peer.
constexpr std::uint64_t CheckpointEvery = 256; // Records, at the least.

} // namespace

config_service::config_service(append_log &Log, random_source &Random)
    : Log(Log), Part("config") {
  CheckpointAfter = CheckpointEvery + Random.next() % CheckpointEvery;
}

config_service::~config_service() { stop(); }

void config_service::start() {
  Follower = std::thread([this] { followLoop(); });
}

void config_service::stop() {
  {
    const std::lock_guard Guard(Lock);
    Stopping = true;
    Wake.notify_all();
  }
  if (Follower.joinable())
    Follower.join();
}

std::shared_ptr<const config::configuration> config_service::current() {
  const std::lock_guard Guard(Lock);
  return Fold.activeConfiguration();
}

bool config_service::isReady() {
  const std::lock_guard Guard(Lock);
  return Ready;
}

std::uint64_t config_service::next() {
  const std::lock_guard Guard(Lock);
  return Fold.nextOffset();
}

std::uint64_t config_service::unreadable() {
  const std::lock_guard Guard(Lock);
  return Fold.unreadableRecords();
}

std::vector<byte_string> config_service::recordsFrom(std::uint64_t From,
                                                     std::uint64_t &First) {
  const std::lock_guard Guard(Lock);
  std::vector<byte_string> Result;
  First = From;
  if (From >= Fold.nextOffset())
    return Result;
  if (From < KeptFirst) {
    First = Fold.nextOffset();
    Result.push_back(config::encodeCheckpoint(Fold.makeCheckpoint()));
    return Result;
  }
  for (std::uint64_t At = From; At < Fold.nextOffset(); ++At) {
    Result.push_back(Kept[At - KeptFirst]);
    if (Result.size() == SentRecords)
      break;
  }
  return Result;
}

void config_service::offer(std::uint64_t First,
                           std::span<const byte_string> Records) {
  const std::lock_guard Guard(Lock);
  if (Records.empty())
    return;
  if (First > Fold.nextOffset()) {
    if (Fold.restore(Records.front())) {
      KeptFirst = Fold.nextOffset();
      Kept.clear();
      Ready = true;
      Part.info("A peer sent version " + std::to_string(Fold.version()) + ".");
    }
    return;
  }
  std::uint64_t Offset = First;
  for (const byte_string &Record : Records)
    applyRecord(Offset++, Record);
  Ready = true;
}

// Called with the lock held.
void config_service::applyRecord(std::uint64_t Offset, byte_view Body) {
  if (Offset != Fold.nextOffset())
    return;
  const config::change_result Result = Fold.apply(Offset, Body);
  Kept.emplace_back(Body.begin(), Body.end());
  if (Kept.size() > KeptRecords) {
    Kept.pop_front();
    ++KeptFirst;
  }
  ++SinceCheckpoint;
  if (Result == config::change_result::Checkpoint)
    SinceCheckpoint = 0;
  if (Result == config::change_result::Accepted)
    Part.info("Version " + std::to_string(Fold.version()) + " is in force.");
  else if (Result != config::change_result::Checkpoint)
    Part.warn("A change was not accepted: " +
              std::string(config::toString(Result)) + ".");
}

void config_service::followLoop() {
  while (!stopped()) {
    try {
      readPage();
    } catch (const log_unavailable &Error) {
      Part.warn(std::string("The log can't be read: ") + Error.what() + ".");
      pause();
    }
  }
}

void config_service::readPage() {
  std::uint64_t From = 0;
  int WaitMs = 0;
  {
    const std::lock_guard Guard(Lock);
    From = Fold.nextOffset();
    WaitMs = Ready ? PollMs : 0;
  }
  const log_page Page = Log.read(config::ConfigStream, From, WaitMs);
  if (Page.Trimmed)
    return startFromCheckpoint(Page.First);
  const std::lock_guard Guard(Lock);
  for (const log_record &Record : Page.Records)
    applyRecord(Record.Offset, Record.Body);
  if (Fold.nextOffset() >= Page.Next)
    Ready = true;
  maybeCheckpoint();
}

// Takes the first checkpoint that is newer than the state.
void config_service::startFromCheckpoint(std::uint64_t First) {
  std::uint64_t From = First;
  for (;;) {
    const log_page Page = Log.read(config::ConfigStream, From, 0);
    for (const log_record &Record : Page.Records) {
      From = Record.Offset + 1;
      const std::lock_guard Guard(Lock);
      if (Fold.nextOffset() >= Page.First)
        return; // A peer was faster.
      if (!Fold.restore(Record.Body))
        continue;
      KeptFirst = Fold.nextOffset();
      Kept.clear();
      Part.info("Version " + std::to_string(Fold.version()) +
                " comes from a checkpoint.");
      return;
    }
    if (Page.Records.empty())
      throw log_unavailable("the config stream is trimmed and holds no "
                            "checkpoint");
  }
}

// Called with the lock held.
void config_service::maybeCheckpoint() {
  if (!Ready || SinceCheckpoint < CheckpointAfter)
    return;
  SinceCheckpoint = 0;
  const byte_string Body = config::encodeCheckpoint(Fold.makeCheckpoint());
  try {
    Log.append(config::ConfigStream, Body);
  } catch (const log_unavailable &) { // Another reader or a later try does it.
  }
}

void config_service::pause() {
  std::unique_lock Guard(Lock);
  Wake.wait_for(Guard, std::chrono::milliseconds(RetryMs),
                [this] { return Stopping; });
}

bool config_service::stopped() {
  const std::lock_guard Guard(Lock);
  return Stopping;
}

} // namespace tamarack::daemon
