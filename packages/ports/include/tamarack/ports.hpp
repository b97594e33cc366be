// Abstract interfaces between the decision code and the outside.
//
// Contents:
//   time and randomness    clock, random_source
//   the platform           append_log, keyed_store, instance_list
//   endpoints              endpoint_client, response_source
//
// Decision code takes the time as an argument and never calls these itself;
// the daemon does and passes results in. Implementations live in
// packages/adapters, fakes in tests/unit/fakes.hpp.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

using time_ms = std::int64_t; // Milliseconds since the Unix epoch.

using byte_view = std::span<const std::uint8_t>;
using byte_string = std::vector<std::uint8_t>;

//---------------------------------------------------------------------------
// Time and randomness
//---------------------------------------------------------------------------

// Source of the time. Not used to guard money or single execution.
class clock {
public:
  virtual ~clock() = default;
  virtual time_ms now() const = 0; // Wall clock, ms since the epoch.
  virtual time_ms
  monotonic() const = 0; // Never goes back, arbitrary origin, ms.
  // Since the machine booted, time in suspension included; goes on over
  // restarts of the process.
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

// One stored record.
struct log_record {
  std::uint64_t Offset = 0; // Position in its stream, from 0, without gaps.
  time_ms Time = 0;         // When the log stored it, by the log's own clock.
  byte_string Body;         // Opaque bytes.
};

// The answer to one read.
struct log_page {
  std::uint64_t OldestOffset = 0;  // Oldest offset still kept.
  std::uint64_t NextOffset = 0;    // Offset that the next append will get.
  bool Trimmed = false;            // True if the asked offset is gone.
  std::vector<log_record> Records; // In offset order, possibly empty.
};

// The log did not answer. An append may or may not have been stored.
struct log_unavailable : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Ordered streams of records shared by the whole fleet. Thread-safe.
class append_log {
public:
  virtual ~append_log() = default;

  // Stores Body at the end of Stream and returns its offset.
  // Throws log_unavailable; the record may have been stored all the same.
  virtual std::uint64_t append(std::string_view Stream, byte_view Body) = 0;

  // Reads from offset From on. Waits up to WaitMs for a first record.
  // Throws log_unavailable.
  virtual log_page read(std::string_view Stream, std::uint64_t From,
                        int WaitMs) = 0;
};

//---------------------------------------------------------------------------
// The platform's keyed topics
//---------------------------------------------------------------------------

// A topic keeps the newest record of each key for good, and the records
// between for a limited time.
enum class store_topic {
  Configuration, // Written by operators.
  Endpoints,     // Written by the endpoints themselves.
  Grants,        // Written by the instances of this system.
  Watermarks,    // Likewise: how far their spending may have come.
};

// One writer of a topic. The store refuses what comes from a lower epoch than
// it has seen of the same writer, however late it arrives.
struct store_writer {
  std::string Name;
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0; // Of its appends in this epoch, from 0.
};

enum class store_status {
  Ok,
  Conflict,    // The writer was overtaken; nothing was stored.
  Trimmed,     // The records asked for are gone; read the newest instead.
  Refused,     // The store did nothing; ask again later.
  Unavailable, // No answer; an append may be stored now or later.
};

struct keyed_record {
  std::uint64_t Offset = 0;
  std::string Key;
  std::string Value;
  bool Removed = false; // The key was dropped.
};

struct keyed_page {
  store_status Status = store_status::Unavailable;
  std::uint64_t NextOffset = 0; // Offset that the next append will get.
  std::vector<keyed_record> Records;
};

using page_handler = std::function<void(keyed_page)>;
using append_handler = std::function<void(store_status)>;

// The platform's store. Answers come later through the handlers, always and
// once, from the thread that asked.
class keyed_store {
public:
  virtual ~keyed_store() = default;
  // The newest record of each key. Records that are appended meanwhile may be
  // missing; a read from NextOffset on brings them.
  virtual void readSnapshot(store_topic Topic, page_handler Handler) = 0;
  // Records from offset From on. Waits up to WaitMs for a first one.
  virtual void read(store_topic Topic, std::uint64_t From, int WaitMs,
                    page_handler Handler) = 0;
  // Appends one record in the order of its writer's sequence. Conflict if the
  // writer has a higher epoch or the sequence does not follow.
  virtual void appendAs(store_topic Topic, const store_writer &Writer,
                        std::string_view Key, std::string_view Value,
                        append_handler Handler) = 0;
  // Appends nothing; after Ok nothing of a lower epoch can be stored.
  virtual void fence(store_topic Topic, const store_writer &Writer,
                     append_handler Handler) = 0;
};

//---------------------------------------------------------------------------
// The platform's instance list
//---------------------------------------------------------------------------

// One row of the instance list. The list lags and may have gaps.
struct instance_info {
  std::string Name;     // Unique name of the instance.
  std::string Zone;     // Availability zone.
  std::string PeerUrl;  // nng address of the daemon, empty for endpoints.
  std::string HttpUrl;  // HTTP address.
  bool Leaving = false; // True once the instance has been told to go.
};

class instance_list {
public:
  virtual ~instance_list() = default;

  // Returns the list as last known by the platform. Throws log_unavailable.
  virtual std::vector<instance_info> list() = 0;

  // Announces or refreshes this instance's own row. Throws log_unavailable.
  virtual void announce(const instance_info &Self) = 0;
};

//---------------------------------------------------------------------------
// Endpoints
//---------------------------------------------------------------------------

struct header_field {
  std::string Name;
  std::string Value;
};

// What is sent to an endpoint.
struct endpoint_request {
  std::string Method = "POST";
  std::string Path = "/"; // With query.
  std::vector<header_field> Headers;
  std::string Body;
  bool FreshConnection = false; // Never a kept-alive connection, which may
                                // have died unnoticed.
  int ConnectTimeoutMs = 1000;  // Longest wait for the connection.
  int ReadTimeoutMs = 30'000;   // Longest silence while reading.
};

// Nothing of the request has reached the endpoint.
struct endpoint_unreached : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The connection broke after bytes of the request were handed over.
struct endpoint_disconnected : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// An answer being received. Destroying it early closes the connection.
class response_source {
public:
  virtual ~response_source() = default;
  virtual int status() const = 0;
  virtual std::string header(std::string_view Name) const = 0; // "" if absent.
  // Bytes received into Buffer, 0 at the end of a complete body.
  // Throws endpoint_disconnected.
  virtual std::size_t read(std::span<char> Buffer) = 0;
};

// Sends requests to endpoints. Thread-safe.
class endpoint_client {
public:
  virtual ~endpoint_client() = default;
  // Returns once the head of the answer is there. Throws endpoint_unreached
  // or endpoint_disconnected.
  virtual std::unique_ptr<response_source>
  send(std::string_view Url, const endpoint_request &Request) = 0;
};

} // namespace tamarack
