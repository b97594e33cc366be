// Whether what this instance knows of the endpoints may still decide where
// calls go.
//
// Contents:
//   this instance   backlog_settings, backlog_sample, backlog_monitor
//   the list        freshness_settings, list_reads, list_freshness
//   placement       freshness_gate
//
// An endpoint serves for some time after the store has accepted that it leaves,
// and no call may reach it later. A list that is older than that proves
// nothing. It is used nevertheless by an instance that is cut off from the
// store: that one serves what it can. An instance that could read the list, but
// has fallen behind, must not take its own delay for a cut.
//
// Not thread-safe. Times are in ms; those named "since boot" are by
// clock::sinceBoot, which counts while the machine is suspended.
#pragma once

#include "tamarack/edge.hpp"
#include "tamarack/relay.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <utility>

namespace tamarack::freshness {

//---------------------------------------------------------------------------
// This instance
//---------------------------------------------------------------------------

struct backlog_settings {
  double LinkBytesPerS = 0; // Of the machine's link in each direction, 0 if it
                            // is not known.
  // Bytes of messages, as a share of the link's rate, from which on the link
  // may be full. The rest is taken by headers of packets, connections that are
  // opened, and messages that are dropped.
  double FullLinkShare = 0.7;
  int WindowMs = 1'000; // For bytes and quick connections.
  int TickMs = 100;     // Between two calls of onTick.
  int MaxDelayMs = 150; // Of the event loop; it is late beyond that.
  int HoldMs = 1'000;   // A sign of a backlog counts for so long.
};

// What an instance has seen of itself up to now.
struct backlog_sample {
  // Bytes of messages on all connections since the start.
  std::uint64_t Received = 0;
  std::uint64_t Sent = 0;
  // Longest time, since the last sample, that a socket which was ready waited
  // for the event loop.
  time_ms ReadyWaitMs = 0;
  // When a connection was last opened quickly, since boot; -1 if never.
  time_ms LastQuickConnectAt = -1;
};

// Whether this instance has more to do than it can: its link is full, or its
// event loop is late. Either delays what the store sends. A link that carries
// much is not full as long as endpoints respond over it quickly: the store
// would too.
class backlog_monitor final : public edge::response_patience {
public:
  backlog_monitor(const clock &Clock, backlog_settings Settings)
      : Clock(Clock), Settings(Settings) {}

  // Called every TickMs.
  void onTick(const backlog_sample &Sample);
  bool isLinkFull() const;
  // Also true before the first tick after a standstill.
  bool isLoopLate() const;

  // When the last sign of either was seen, since boot; -1 if never.
  time_ms lastSignAt() const { return std::max(LastFullAt, LastLateAt); }

  // edge::response_patience: what the store sends waits in the same queue as
  // the bytes that fill the link.
  bool isHeldUp() const override { return isLinkFull(); }

private:
  struct timed_sample {
    time_ms At = 0; // Since boot.
    backlog_sample Sample;
  };

  bool isLinkBusy(time_ms Now) const; // By the samples.

  bool isTickLate(time_ms Now) const;
  bool isHeld(time_ms SignAt, time_ms Now) const; // The sign still counts.

  const clock &Clock;
  backlog_settings Settings;
  std::deque<timed_sample> Samples; // Of the window, oldest first.
  time_ms LastFullAt = -1; // Sign of a full link, since boot; -1 if never.
  time_ms LastLateAt = -1; // The same, of a late event loop.
  time_ms LastTickAt = -1; // The same.
};

//---------------------------------------------------------------------------
// The list
//---------------------------------------------------------------------------

struct freshness_settings {
  // The list may decide for so long after the time that it is known of.
  int MaxListAgeMs = 1'500;
  // A read that is unanswered for so long shows that the store is out of reach,
  // if this instance has had no backlog since it was started.
  int SilenceMs = 400;
};

// How the reads of the list go.
class list_reads {
public:
  virtual ~list_reads() = default;
  // The list has all records that were stored before this time, since boot; -1
  // if it was never read.
  virtual time_ms listKnownAsOf() const = 0;
  // Since when the read in progress has no answer, since boot; -1 if there is
  // none in progress.
  virtual time_ms readUnansweredSince() const = 0;
  // When the last read was started, since boot, if it has failed; -1 if it was
  // answered, or if none has ended.
  virtual time_ms failedReadStartedAt() const = 0;
};

// Whether the list may decide. Once it is certain that this instance is cut off
// from the store, a link that gets full changes nothing about that until a read
// is answered.
class list_freshness {
public:
  list_freshness(const list_reads &Reads, const backlog_monitor &Backlog,
                 const clock &Clock, freshness_settings Settings)
      : Reads(Reads), Backlog(Backlog), Clock(Clock), Settings(Settings) {}

  relay::list_state state();

private:
  // The reads since the last backlog show it.
  bool looksCutOff(time_ms Now) const;

  const list_reads &Reads;
  const backlog_monitor &Backlog;
  const clock &Clock;
  freshness_settings Settings;
  bool IsCutOff = false;
};

//---------------------------------------------------------------------------
// Placement
//---------------------------------------------------------------------------

// Decorates a placement: endpoints are chosen, and requests sent to them, only
// by a list that may decide.
class freshness_gate final : public relay::placement_decorator {
public:
  freshness_gate(relay::placement &Inner, list_freshness &List)
      : placement_decorator(Inner), List(List) {}

  // True if a call may have begun to wait for the list since the last call.
  bool takeWaiting() { return std::exchange(HasWaiting, false); }

  relay::list_state listState(const relay::call &Call,
                              time_ms Now) const override;
  bool mayStillSend(const relay::call &Call,
                    const relay::endpoint_choice &Target, time_ms ConnectedAt,
                    time_ms Now) const override;

private:
  list_freshness &List;
  mutable bool HasWaiting = false;
};

} // namespace tamarack::freshness
