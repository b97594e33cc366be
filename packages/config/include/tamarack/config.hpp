// Operators' configuration: its JSON form, validation, plans and log records.
//
// Contents:
//   labels and selectors     label_set, requirement, selector
//   typed configuration      account, model, service, endpoint, pool, rule,
//                            latency_target, configuration, digestOfKey
//   reading and checking     readDocument, document, config_error,
//                            buildConfiguration, writeDocument
//   warnings                 config_warning, findWarnings
//   plans                    makePlan, plan, object_change
//   the fold                 config_change, config_checkpoint, config_fold
//
// A document is a set of objects, each with a kind and a name that is unique
// within the kind. A change adds, replaces or removes objects; it names the
// version that its author reviewed and is refused if another change was
// accepted since. All daemons fold the log stream "config" by the same rules,
// so that all of them accept the same one of two concurrent changes.
#pragma once

#include "tamarack/ports.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tamarack::config {

inline constexpr std::string_view ConfigStream = "config";

//---------------------------------------------------------------------------
// Labels and selectors
//---------------------------------------------------------------------------

using label_set = std::map<std::string, std::string, std::less<>>;

// One condition on one label.
struct requirement {
  std::string Label;
  std::vector<std::string> Values; // Accepted values; refused ones if Negated.
  bool Negated = false;            // True for {"not": ...}.
  bool MustExist = false;          // For {"exists": true}.
  bool MustBeAbsent = false;       // For {"exists": false}.
};

// A conjunction of requirements. An empty selector matches every label set.
struct selector {
  std::vector<requirement> Requirements;

  bool matches(const label_set &Labels) const;
};

//---------------------------------------------------------------------------
// Typed configuration
//---------------------------------------------------------------------------

// Admission limits of a client account. 0 means unlimited.
struct limits {
  double RequestsPerSecond = 0; // Token bucket, holds one second's worth.
  double TokensPerSecond = 0;   // Upper bounds count until the bill is known.
  int Concurrency = 0;          // Requests in flight per daemon.
};

// A client account.
struct account {
  std::string Name;
  label_set Labels;
  std::vector<std::string> KeyDigests; // SHA-256 of the bearer keys, hex.
  std::string Budget;                  // Budget charged, default: the name.
  limits Limits;
  int Priority = 5; // 0 (served first) to 9 (served last).
};

struct model {
  std::string Name;
  label_set Labels;
  std::int64_t PromptPrice = 1;     // Prepaid tokens per prompt token.
  std::int64_t CompletionPrice = 1; // Prepaid tokens per completion token.
  int MaxTokens = 4096;             // Longest completion, tokens.
  int DefaultTokens = 512;          // Completion limit if the caller sets none.
};

struct service {
  std::string Name;
  label_set Labels;
  std::int64_t Price = 1; // Prepaid tokens per call.
  bool Repeatable = true; // False: every call is executed at most once.
  int TimeoutMs = 10000;  // Longest wait for a response.
};

enum class endpoint_kind { Model, Service };

struct endpoint {
  std::string Name;
  std::string Url;  // http://host:port or https://host:port
  std::string Zone; // Availability zone.
  endpoint_kind Kind = endpoint_kind::Model;
  label_set Labels;      // The labels "zone" and "kind" are always added.
  int Slots = 16;        // Requests that the endpoint processes concurrently.
  bool Draining = false; // Takes no new work.
  bool Fencing = false;  // Rejects requests with an outdated fencing number.
};

// The endpoints of one kind whose labels match a selector.
struct pool {
  std::string Name;
  endpoint_kind Kind = endpoint_kind::Model;
  selector Endpoints; // Over labels of the endpoint.
};

// Routes requests to a pool. Of all matching rules the one with the lowest
// Order applies.
struct rule {
  std::string Name;
  int Order = 100;
  std::string Target; // Model or service name, "*" for any.
  selector Account;   // Over labels of the client account.
  selector Request;   // Over labels of the request (header X-Label-<name>).
  std::string Pool;
};

// Service-level objective for the latency of a model or service.
struct latency_target {
  std::string Name;
  std::string Subject;     // Model or service name, "*" for any.
  int FirstTokenMs = 1800; // Longest time to the first token or byte.
  int GapMs = 59;          // Longest mean gap between tokens of a response.
  double Objective = 0.95; // Share of requests that must meet both bounds.
};

// The endpoints of a pool, in order of their names.
struct pool_members {
  using endpoint_list = std::vector<const endpoint *>;
  endpoint_list All;
  std::map<std::string, endpoint_list, std::less<>> ByZone;
};

// A validated document of one version as typed objects, with lookup tables.
struct configuration {
  std::uint64_t Version = 0; // Number of changes accepted so far.
  std::string Digest;        // document::digest() of the document.
  std::map<std::string, account, std::less<>> Accounts;
  std::map<std::string, model, std::less<>> Models;
  std::map<std::string, service, std::less<>> Services;
  std::map<std::string, endpoint, std::less<>> Endpoints;
  std::map<std::string, pool, std::less<>> Pools;
  std::vector<rule> Rules; // In order of rule::Order, then of the name.
  std::vector<latency_target> LatencyTargets;
  std::map<std::string, std::string, std::less<>> AccountByKeyDigest; // Names.
  std::map<std::string, pool_members, std::less<>> MembersByPool;

  // The client account that owns the bearer key, null if there is none.
  const account *findAccount(std::string_view KeyDigest) const;
  // The first rule that matches, null if there is none.
  const rule *findRule(std::string_view Target, const label_set &Account,
                       const label_set &Request) const;
  // Members of a pool in name order, draining ones included. Views stay valid
  // as long as the configuration.
  std::span<const endpoint *const> members(std::string_view Pool) const;
  // Members of a pool in one availability zone.
  std::span<const endpoint *const> membersInZone(std::string_view Pool,
                                                 std::string_view Zone) const;
  // The target that names Subject, otherwise the one for "*", otherwise null.
  const latency_target *findLatencyTarget(std::string_view Subject) const;
};

// SHA-256 of a bearer key as lower-case hex.
std::string digestOfKey(std::string_view Key);

//---------------------------------------------------------------------------
// Reading and checking
//---------------------------------------------------------------------------

// One error in a document. An operator reads "FILE: LOCATION MESSAGE".
struct config_error {
  // JSON pointer with names of objects in place of their indexes, for example
  // /pools/p/selector/tier. The index if an object has no valid name or a
  // duplicate one. "line N" for a syntax error.
  std::string Location;
  std::string Message; // Continues the location: "must be a string".
};

// Objects by kind and name, each as canonical JSON: keys sorted, no spaces.
struct document {
  using object_map = std::map<std::string, std::string, std::less<>>;
  std::map<std::string, object_map, std::less<>> ObjectsByKind;

  bool operator==(const document &) const = default;
  std::string digest() const; // XXH3-128 of the canonical form, hex.
};

struct read_result {
  document Document;
  std::vector<config_error> Errors; // Empty if the text is valid.
};

// Parses and validates the JSON form. Reports every error, not only the first;
// a syntax error ends the check.
read_result readDocument(std::string_view Json);

// Validates a document and builds the lookup tables. Appends to Errors and
// returns null if there are errors. Throws Poco::Exception if an object is not
// valid JSON.
std::shared_ptr<const configuration>
buildConfiguration(const document &Document, std::uint64_t Version,
                   std::vector<config_error> &Errors);

// The document in its JSON form, indented.
std::string writeDocument(const document &Document);

//---------------------------------------------------------------------------
// Warnings
//---------------------------------------------------------------------------

// A part of a valid configuration that has no effect or contradicts another.
struct config_warning {
  std::string Location; // As of config_error.
  std::string Message;  // Continues the location: "matches no endpoint".
};

// In order of the kinds, and of the names or the rules of a kind. A rule is
// said never to apply only if that is certain: one rule before it matches
// everything that it matches, each condition by a condition on the same label.
std::vector<config_warning> findWarnings(const configuration &Configuration);

//---------------------------------------------------------------------------
// Plans
//---------------------------------------------------------------------------

enum class change_kind { Add, Replace, Remove };

struct object_change {
  change_kind Kind = change_kind::Add;
  std::string ObjectKind; // "accounts", "pools" ...
  std::string Name;
  std::string Json; // The new object, canonical JSON; empty for Remove.
};

// The difference between the active document and a proposed one.
struct plan {
  std::uint64_t BaseVersion = 0; // Version that the plan starts from.
  std::string Digest;            // document::digest() after the changes.
  std::vector<object_change> Changes;
  std::vector<std::string> SummaryLines; // Description for the operator.
};

plan makePlan(const document &Current, std::uint64_t Version,
              const document &Proposed);

//---------------------------------------------------------------------------
// The fold
//---------------------------------------------------------------------------

// One published change, as stored in the log.
struct config_change {
  std::string Id;                // Unique; recognizes duplicate records.
  std::string Author;            // Who published the change.
  std::uint64_t BaseVersion = 0; // Version that the author reviewed.
  std::string Digest;            // Approved digest of the resulting document.
  std::vector<object_change> Changes;
};

// The complete document at a version. Readers start from a checkpoint when
// the log no longer holds the first records.
struct config_checkpoint {
  std::uint64_t NextOffset = 0; // Offset of the first record not included.
  std::uint64_t Version = 0;
  std::string LastId; // Id of the last accepted change.
  document Document;
};

byte_string encodeChange(const config_change &Change);
byte_string encodeCheckpoint(const config_checkpoint &Checkpoint);

enum class change_result {
  Accepted,
  Duplicate,   // Offset already applied, or id of the last accepted change.
  StaleBase,   // The base version is not the current version.
  WrongDigest, // The resulting document is not the approved one.
  Invalid,     // The resulting document would be invalid.
  Unreadable,  // The record is neither a valid change nor a checkpoint.
  Checkpoint,  // The record is a checkpoint; apply() ignores its content.
};

// Text for operators, for example "stale base"; "repeated" for Duplicate.
std::string_view toString(change_result Result);

// Deterministic state of the config stream. Not thread-safe.
class config_fold {
public:
  config_fold();

  // Applies the record at nextOffset(). Lower offsets are ignored, because a
  // record may come both from a peer and from the log. Asserts that no offset
  // is skipped.
  change_result apply(std::uint64_t Offset, byte_view Body);

  // Replaces the state by that of a checkpoint record. False if Body is no
  // valid checkpoint, is older than the state, or lacks records before
  // OldestOffset, which the log has deleted.
  bool restore(byte_view Body, std::uint64_t OldestOffset = 0);

  // Offset of the next record to apply.
  std::uint64_t nextOffset() const { return NextOffset; }
  std::uint64_t version() const { return Version; }
  const document &currentDocument() const { return CurrentDocument; }
  // Never null. Empty before the first accepted change or checkpoint.
  std::shared_ptr<const configuration> activeConfiguration() const {
    return ActiveConfiguration;
  }
  // Number of records that could not be decoded.
  std::uint64_t unreadableRecords() const { return UnreadableRecords; }
  config_checkpoint makeCheckpoint() const;

  // Result of a change that this object has applied, by the id of the change.
  // Only the newest 1024 are kept.
  std::optional<change_result> resultOf(std::string_view Id) const;

private:
  // Calls tryAccept() and stores the result for resultOf().
  change_result applyChange(const config_change &Change);
  // Applies the change if it is acceptable, otherwise returns the reason.
  change_result tryAccept(const config_change &Change);

  document CurrentDocument;
  std::uint64_t Version = 0;
  std::uint64_t NextOffset = 0;
  std::uint64_t UnreadableRecords = 0;
  std::string LastId; // Id of the last accepted change.
  std::shared_ptr<const configuration> ActiveConfiguration;
  std::map<std::string, change_result, std::less<>> ResultById;
  std::vector<std::string> ResultIds; // Keys of ResultById, oldest first.
};

} // namespace tamarack::config
