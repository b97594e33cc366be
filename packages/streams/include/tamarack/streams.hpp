// Which software version of an endpoint began a stream, so that a caller can
// take it up at any instance and it goes on at no other version.
//
// Contents:
//   the fleet        exchange_settings, origin_listener, origin_exchange, an
//                    implementation of relay::stream_origins
//   one instance     software, origin, origin_register
//   records          encode, decodeOrigins
//   endpoints        listed_version, listed_versions, version_gate
//
// Each instance stores the streams that it began, and that callers may take up
// still, as one record under its own name, within moments of their first
// events. A stream that this instance did not begin is looked up in the records
// of all instances, which are read for that purpose: callers rarely take
// streams up. The records outlive the processes, and a new incarnation takes
// over the streams in the record of the previous one.
//
// What is not known is refused: a stream that began after its instance's last
// write before it died, and one that is looked up while the store is
// unavailable. That only one version serves now proves nothing, since the
// version that began the stream may have left a moment ago. What is not certain
// is refused too: see version_gate.
//
// Nothing here is thread-safe; times are monotonic ms.
#pragma once

#include "tamarack/follow.hpp"
#include "tamarack/ports.hpp"
#include "tamarack/relay.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace tamarack::streams {

//---------------------------------------------------------------------------
// One instance
//---------------------------------------------------------------------------

// What an endpoint runs. Versions of two services have nothing in common.
struct software {
  std::string Service;
  std::string Version;
  bool operator==(const software &) const = default;
  bool operator<(const software &Other) const {
    return std::tie(Service, Version) < std::tie(Other.Service, Other.Version);
  }
};

// Where one stream began.
struct origin {
  std::uint64_t Key = 0; // See relay::call::StreamKey.
  software Software;     // Empty if two began streams of this key, or if it
                         // is not certain which one did.
  int AgeMs = 0;         // Since the first event.
};

struct register_settings {
  // Longer than callers try to get the rest of a stream.
  int KeepMs = 60'000;
  // After the end of a response, which the caller may not have received.
  int KeepDeliveredMs = 3'000;
  std::size_t MaxStreams = 2'048;
};

// The streams that one instance began or took over. Bounded; when it is full,
// the account with the most streams loses its oldest one, so that no caller
// can push out the streams of others.
class origin_register {
public:
  explicit origin_register(register_settings Settings) : Settings(Settings) {}

  // BegunAt is before Now for a stream of the previous incarnation.
  void add(std::uint64_t Key, std::string_view Account,
           const software &Software, time_ms BegunAt);
  // The response has been sent to its end.
  void onDelivered(std::uint64_t Key, time_ms Now);
  // Empty software if there are two; nothing if the stream is not known.
  std::optional<software> find(std::uint64_t Key) const;
  void removeExpired(time_ms Now);
  std::vector<origin> origins(time_ms Now) const;
  // True if streams of several versions of one service are kept.
  bool isMixed() const;
  std::size_t size() const { return Streams.size(); }

private:
  struct stream {
    std::string Account;
    software Software;
    time_ms BegunAt = 0;
    time_ms ExpiresAt = 0;
    std::list<std::uint64_t>::iterator Position; // In its account's list.
  };
  using stream_map = std::unordered_map<std::uint64_t, stream>;

  void remove(stream_map::iterator Item);
  void uncount(const software &Software);
  void setSoftware(stream &Stream, const software &Software);
  void makeRoom();

  register_settings Settings;
  stream_map Streams; // By key.
  std::map<software, std::size_t> CountBySoftware;
  // Keys by account, oldest first.
  std::map<std::string, std::list<std::uint64_t>, std::less<>> KeysByAccount;
};

//---------------------------------------------------------------------------
// Records
//---------------------------------------------------------------------------

std::string encode(const std::vector<origin> &Origins);
// Empty if Bytes are not a valid record.
std::optional<std::vector<origin>> decodeOrigins(std::string_view Bytes);

//---------------------------------------------------------------------------
// The fleet
//---------------------------------------------------------------------------

struct exchange_settings {
  register_settings Register;
  int WriteIntervalMs = 500; // Between two writes of the own record.
  // The same while streams of several versions are kept: what a kill leaves
  // unrecorded can't go on.
  int MixedWriteIntervalMs = 100;
};

class origin_listener {
public:
  virtual ~origin_listener() = default;
  // A look-up has ended: find may have another result.
  virtual void onOriginsRead() = 0;
  virtual void onSnapshotRead(const follow::snapshot_end &) {}
  virtual void onUnreadableRecord(std::string_view Key) = 0;
};

// Stores the streams of this instance and looks up those of the others.
class origin_exchange final : public relay::stream_origins {
public:
  origin_exchange(std::string_view Instance, keyed_store &Store,
                  const clock &Clock, origin_listener &Listener,
                  exchange_settings Settings);

  // relay::stream_origins
  relay::stream_origin find(const relay::call &Call) override;
  void onBegun(const relay::call &Call, std::string_view Version) override;
  void onDelivered(const relay::call &Call) override;

  // See follow::report_writer::allowWrites.
  void allowWrites(std::uint64_t Epoch) { Writer.allowWrites(Epoch); }
  // The store may lack the record.
  void repeat() { HasUnwritten = true; }
  // Reads and writes what is due. Called at least every 100 ms.
  void tick(time_ms Now);

  std::size_t streamCount() const { return Register.size(); }
  std::uint64_t readCount() const { return Reads; }

private:
  relay::stream_origin lookUp(const relay::call &Call) const;
  void startRead(time_ms Now);
  void onRecords(const keyed_page &Page);
  void onReadEnded(const follow::snapshot_end &End);
  void addOwnRecord(const std::vector<origin> &Origins);
  void addOthersRecord(const std::vector<origin> &Origins);

  std::string Instance;
  keyed_store &Store;
  const clock &Clock;
  origin_listener &Listener;
  exchange_settings Settings;
  origin_register Register;
  follow::report_writer Writer;
  // Software by key, of the streams of other instances in the last read; empty
  // if there are two.
  std::unordered_map<std::uint64_t, software> Others;
  std::unordered_map<std::uint64_t, software> NewOthers; // Read so far.
  bool HasPrevious = false; // The record of the previous incarnation is read.
  bool IsReading = false;
  bool WantsRead = true;       // Once at the start, then for each look-up.
  bool HasUnwritten = false;   // The own record has changed.
  time_ms ReadStartedAt = -1;  // Of the read in progress or the last one.
  time_ms EndedReadStart = -1; // When the last read that has ended was started.
  time_ms WrittenAt = 0;       // When the last write was begun.
  std::uint64_t Reads = 0;
};

//---------------------------------------------------------------------------
// Endpoints
//---------------------------------------------------------------------------

// What the list says about one endpoint.
struct listed_version {
  std::int64_t StartedAt = 0; // Unix ms.
  std::string Version;        // Of its software.
};

// The list of endpoints, as this instance knows it.
class listed_versions {
public:
  virtual ~listed_versions() = default;
  // Nothing if the endpoint is not listed.
  virtual std::optional<listed_version>
  find(std::string_view Endpoint) const = 0;
  // All that was listed before this time is known, by clock::sinceBoot; -1 if
  // nothing is known.
  virtual time_ms knownAsOf() const = 0;
};

// Decorates a placement: knows whether the version that the list names for an
// endpoint is certainly the one that serves there, and sends a stream that is
// bound to a version nowhere else.
//
// An endpoint may start again under its id and address in another version, and
// only its entry tells. An instance that was cut off, or stood still, has an
// old list. A version is certain in two cases:
//   - The list is younger than the time for which an endpoint serves after it
//     is listed as leaving: then the endpoint has not started anew since.
//   - The connection was opened before the list was read that still names the
//     run: a connection ends with the process that accepted it.
class version_gate final : public relay::placement_decorator {
public:
  // LeaveNoticeMs: an endpoint serves at least so long after it is listed as
  // leaving.
  version_gate(relay::placement &Inner, const listed_versions &List,
               const clock &Clock, int LeaveNoticeMs);

  bool mayStillSend(const relay::call &Call,
                    const relay::endpoint_choice &Target, time_ms ConnectedAt,
                    time_ms Now) const override;
  bool isVersionCertain(const relay::endpoint_choice &Source,
                        time_ms ConnectedAt) const override;

private:
  const listed_versions &List;
  const clock &Clock;
  int MaxListAgeMs;
};

} // namespace tamarack::streams
