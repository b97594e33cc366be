// Interfaces between the decision logic and the outside world.
//
// Contents:
//   time and randomness    clock, random_source
//   append-only log        log_record, log_page, append_log
//   keyed topics           store_topic, keyed_record, keyed_page, keyed_store,
//                          store_era, store_era_listener
//   instance list          instance_info, instance_list
//   endpoints              endpoint_request, response_source, endpoint_client
//
// Most decision logic does not call these interfaces: the daemon calls them and
// passes the time and the results in as arguments. Implementations are in
// packages/adapters and platform, fakes for tests in tests/unit.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

using time_ms = std::int64_t; // Milliseconds; the origin depends on the clock.

using byte_view = std::span<const std::uint8_t>;
using byte_string = std::vector<std::uint8_t>;

//---------------------------------------------------------------------------
// Time and randomness
//---------------------------------------------------------------------------

// Source of the time, in ms. Budget limits and at-most-once execution must not
// depend on a clock.
class clock {
public:
  virtual ~clock() = default;
  virtual time_ms now() const = 0;       // Wall clock since the Unix epoch.
  virtual time_ms monotonic() const = 0; // Never decreases, arbitrary origin.
  // Time since the machine booted, including suspension. Restarts of the
  // process do not reset this clock.
  virtual time_ms sinceBoot() const = 0;
};

// Source of random numbers. Thread-safe.
class random_source {
public:
  virtual ~random_source() = default;
  virtual std::uint64_t next() = 0; // Uniform over all 64-bit values.
};

//---------------------------------------------------------------------------
// The platform's append-only log
//---------------------------------------------------------------------------

// One stored record of a stream.
struct log_record {
  std::uint64_t Offset = 0; // Position in the stream, from 0, without gaps.
  time_ms Time = 0;         // When the log stored the record, by its own clock.
  byte_string Body;         // Opaque bytes.
};

// Result of one read of a stream.
struct log_page {
  std::uint64_t OldestOffset = 0;  // Oldest offset that the log still has.
  std::uint64_t NextOffset = 0;    // Offset that the next append will get.
  bool Trimmed = false;            // True if the requested offset is deleted.
  std::vector<log_record> Records; // In offset order, possibly empty.
};

// The log did not respond. An append may or may not have been stored.
struct log_unavailable : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Ordered streams of records shared by the whole fleet. Thread-safe.
class append_log {
public:
  virtual ~append_log() = default;

  // Stores Body at the end of Stream and returns the record's offset.
  // Throws log_unavailable; the record may have been stored nevertheless.
  virtual std::uint64_t append(std::string_view Stream, byte_view Body) = 0;

  // Reads records from offset From on. Waits up to WaitMs for the first record.
  // Throws log_unavailable.
  virtual log_page read(std::string_view Stream, std::uint64_t From,
                        int WaitMs) = 0;
};

//---------------------------------------------------------------------------
// The platform's keyed topics
//---------------------------------------------------------------------------

// A topic is a compacted log: the newest record of each key is retained
// forever, superseded records only for a limited time.
enum class store_topic {
  Configuration, // Written by operators.
  Endpoints,     // Written by the endpoints.
  Grants,        // Written by the instances of this system.
  Watermarks,    // Written by the instances: how far their spending may come.
  Streams,       // Written by the instances: which version began a stream.
};

// Identity of one writer of a topic. The store rejects every record whose epoch
// is lower than the highest epoch seen from the writer of that name, however
// late the record arrives.
struct store_writer {
  std::string Name;
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0; // Number of the append in this epoch, from 0.
};

enum class store_status {
  Ok,
  Conflict,    // The writer is fenced or out of sequence; nothing was stored.
  Trimmed,     // The requested records are deleted; read a snapshot instead.
  Refused,     // The store did nothing; try again later.
  Unavailable, // No response; an append may be stored now or later.
};

struct keyed_record {
  std::uint64_t Offset = 0;
  std::string Key;
  std::string Value;
  bool Removed = false; // The record deletes its key.
};

struct keyed_page {
  store_status Status = store_status::Unavailable;
  std::uint64_t Era = 0;        // See store_era.
  std::uint64_t NextOffset = 0; // Offset that the next append will get.
  std::vector<keyed_record> Records;
  bool More = false; // Of a snapshot: further keys follow the last record's.
  // The page shows all that was stored when the read was started, or this much
  // earlier (ms): above 0 if the read was joined to one that had begun before.
  int StaleMs = 0;
  // An empty page shows that nothing was stored for this long (ms) after the
  // start of the read: the time that the store waited for records.
  int WaitedMs = 0;
};

// Notified of what responses of the store say about its era.
class store_era_listener {
public:
  virtual ~store_era_listener() = default;
  // Before is 0 for the first era that this process knows.
  virtual void onEraChanged(std::uint64_t Before, std::uint64_t Era) = 0;
  // A response of a former era was dropped.
  virtual void onFormerEra(std::uint64_t Stated, std::uint64_t Era) = 0;
  // A response states no era, or none that can be read.
  virtual void onEraMissing(std::string_view Text) = 0;
};

// The era of the store. It rises when the store comes back from an older copy:
// records are gone then, and their offsets are given to others. Eras count from
// 1; 0 while no response has stated an era.
class store_era {
public:
  explicit store_era(store_era_listener &Listener) : Listener(Listener) {}

  // False for a response of a former era, which must be dropped.
  bool observe(std::uint64_t Stated) {
    if (Stated < Era) {
      Listener.onFormerEra(Stated, Era);
      return false;
    }
    if (Stated > Era) {
      const std::uint64_t Before = Era;
      Era = Stated;
      Listener.onEraChanged(Before, Era);
    }
    return true;
  }
  // A response states no era that can be read: the last one stays in force.
  void observeMissing(std::string_view Text) {
    if (Era != 0 || !Text.empty())
      Listener.onEraMissing(Text);
  }
  std::uint64_t current() const { return Era; }

private:
  store_era_listener &Listener;
  std::uint64_t Era = 0;
};

using page_handler = std::function<void(keyed_page)>;
using append_handler = std::function<void(store_status)>;

// The platform's store of keyed topics. Asynchronous: each handler is called
// exactly once, on the thread that started the operation.
class keyed_store {
public:
  virtual ~keyed_store() = default;
  // Reads the newest records of the keys that follow After in the store's order
  // of keys, or of the first keys without After; a key may be empty. Records
  // that are appended after the read may be missing; read() from the page's
  // NextOffset on returns them. follow::readSnapshot reads all pages.
  virtual void readSnapshotPage(store_topic Topic,
                                const std::optional<std::string> &After,
                                page_handler Handler) = 0;
  // Reads records from offset From on. Waits up to WaitMs for the first record.
  virtual void read(store_topic Topic, std::uint64_t From, int WaitMs,
                    page_handler Handler) = 0;
  // Appends one record. Conflict if the store knows a higher epoch of Writer or
  // Writer.Sequence is not the next number of the epoch.
  virtual void appendAs(store_topic Topic, const store_writer &Writer,
                        std::string_view Key, std::string_view Value,
                        append_handler Handler) = 0;
  // Raises the epoch of Writer without an append. After Ok the store accepts no
  // record of a lower epoch.
  virtual void fence(store_topic Topic, const store_writer &Writer,
                     append_handler Handler) = 0;
};

//---------------------------------------------------------------------------
// The platform's instance list
//---------------------------------------------------------------------------

// One row of the instance list. The list lags behind and may have gaps.
struct instance_info {
  std::string Name;     // Unique name of the instance.
  std::string Zone;     // Availability zone.
  std::string PeerUrl;  // nng address of the daemon, empty for endpoints.
  std::string HttpUrl;  // HTTP address.
  bool Leaving = false; // True once the instance has been asked to shut down.
};

class instance_list {
public:
  virtual ~instance_list() = default;

  // Returns the platform's latest known list. Throws log_unavailable.
  virtual std::vector<instance_info> list() = 0;

  // Creates or refreshes this instance's own row. Throws log_unavailable.
  virtual void announce(const instance_info &Self) = 0;
};

//---------------------------------------------------------------------------
// Endpoints
//---------------------------------------------------------------------------

struct header_field {
  std::string Name;
  std::string Value;
};

// An HTTP request to an endpoint.
struct endpoint_request {
  std::string Method = "POST";
  std::string Path = "/"; // With query.
  std::vector<header_field> Headers;
  std::string Body;
  bool FreshConnection = false; // Never an idle connection, which the endpoint
                                // may have closed unnoticed.
  int ConnectTimeoutMs = 1000;  // Longest wait for the connection.
  int ReadTimeoutMs = 30'000;   // Longest wait for the next bytes.
};

// The endpoint received nothing of the request.
struct endpoint_unreached : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The connection broke after bytes of the request had been sent. The endpoint
// may have executed the request.
struct endpoint_disconnected : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A response that is being received. The destructor closes the connection if
// the body has not been read to its end.
class response_source {
public:
  virtual ~response_source() = default;
  virtual int status() const = 0;
  virtual std::string header(std::string_view Name) const = 0; // "" if absent.
  // False if the connection may have carried an earlier request, of which a
  // late copy of a response may come.
  virtual bool isFirstOnConnection() const = 0;
  // Returns the number of bytes received into Buffer, 0 at the end of a
  // complete body. Throws endpoint_disconnected.
  virtual std::size_t read(std::span<char> Buffer) = 0;
};

// Sends requests to endpoints. Thread-safe.
class endpoint_client {
public:
  virtual ~endpoint_client() = default;
  // Returns once the response's head has been received. Throws
  // endpoint_unreached or endpoint_disconnected.
  virtual std::unique_ptr<response_source>
  send(std::string_view Url, const endpoint_request &Request) = 0;
};

} // namespace tamarack
