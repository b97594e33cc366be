// Operators' configuration: its JSON form, checks, plans and the fold.
//
// Contents:
//   labels and selectors     label_set, selector
//   typed configuration      account, model, service, endpoint, pool, rule ...
//   reading and checking     readDocument, document, config_error
//   plans                    makePlan, plan
//   the fold                 config_change, config_fold
//
// A document is a set of objects, each of one kind with a unique name. A
// change adds, replaces or removes objects against the version its author
// reviewed. All readers fold the log stream "config" by the same rules, so
// of two racing changes the same one wins everywhere.
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
  std::vector<std::string> Values; // One of them, or none of them if Negated.
  bool Negated = false;            // True for {"not": ...}.
  bool MustExist = false;          // For {"exists": true}.
  bool MustBeAbsent = false;       // For {"exists": false}.
};

// All requirements must hold. An empty selector matches everything.
struct selector {
  std::vector<requirement> Requirements;

  bool matches(const label_set &Labels) const;
};

//---------------------------------------------------------------------------
// Typed configuration
//---------------------------------------------------------------------------

// Admission limits. 0 means unlimited.
struct limits {
  double RequestsPerSecond = 0; // Smoothed over a burst of one second.
  double TokensPerSecond = 0;   // Upper bounds count until the bill is known.
  int Concurrency = 0;          // Requests in flight per daemon.
};

struct account {
  std::string Name;
  label_set Labels;
  std::vector<std::string> KeyDigests; // SHA-256 of the bearer keys, hex.
  std::string Budget;                  // Budget charged, default: the name.
  limits Limits;
  int Priority = 5; // 0 (first) to 9 (last).
};

struct model {
  std::string Name;
  label_set Labels;
  std::int64_t PromptPrice = 1;     // Prepaid tokens per prompt token.
  std::int64_t CompletionPrice = 1; // Prepaid tokens per completion token.
  int MaxTokens = 4096;             // Largest completion, tokens.
  int DefaultTokens = 512;          // Completion bound if the caller has none.
};

struct service {
  std::string Name;
  label_set Labels;
  std::int64_t Price = 1; // Prepaid tokens per call.
  bool Repeatable = true; // False: every call runs at most once.
  int TimeoutMs = 10000;  // Longest wait for an answer.
};

enum class endpoint_kind { Model, Service };

struct endpoint {
  std::string Name;
  std::string Url; // http://host:port
  std::string Zone;
  endpoint_kind Kind = endpoint_kind::Model;
  label_set Labels;      // "zone" and "kind" are added.
  int Slots = 16;        // Requests that it works on at once.
  bool Draining = false; // Takes no new work.
  bool Fencing = false;  // Refuses orders with an old fencing number.
};

struct pool {
  std::string Name;
  endpoint_kind Kind = endpoint_kind::Model;
  selector Endpoints; // Which endpoints belong to it.
};

// Sends requests to a pool. The rule with the lowest Order that matches wins.
struct rule {
  std::string Name;
  int Order = 100;
  std::string Target; // Model or service name, "*" for any.
  selector Account;   // Over labels of the client account.
  selector Request;   // Over labels of the request (header X-Label-<name>).
  std::string Pool;
};

// Service-level target.
struct latency_target {
  std::string Name;
  std::string Subject;     // Model or service name, "*" for any.
  int FirstTokenMs = 1800; // Time to the first token or byte.
  int GapMs = 59;          // Largest gap between tokens.
  double Objective = 0.95; // Share of requests that must meet both.
};

// The endpoints that a pool's selector picks.
struct pool_members {
  using endpoint_list = std::vector<const endpoint *>;
  endpoint_list All;
  std::map<std::string, endpoint_list, std::less<>> ByZone;
};

// Everything in force at one version, checked and with lookups.
struct configuration {
  std::uint64_t Version = 0; // Accepted changes so far.
  std::string Digest;        // Of the whole document.
  std::map<std::string, account, std::less<>> Accounts;
  std::map<std::string, model, std::less<>> Models;
  std::map<std::string, service, std::less<>> Services;
  std::map<std::string, endpoint, std::less<>> Endpoints;
  std::map<std::string, pool, std::less<>> Pools;
  std::vector<rule> Rules; // In order of precedence.
  std::vector<latency_target> LatencyTargets;
  std::map<std::string, std::string, std::less<>>
      AccountByKeyDigest;                                         // By digest.
  std::map<std::string, pool_members, std::less<>> MembersByPool; // By pool.

  const account *findAccount(std::string_view KeyDigest) const;
  // The first rule that matches, or null.
  const rule *findRule(std::string_view Target, const label_set &Account,
                       const label_set &Request) const;
  // Members of a pool in name order, draining ones included. Views stay valid
  // as long as the configuration.
  std::span<const endpoint *const> members(std::string_view Pool) const;
  // Those of one availability zone.
  std::span<const endpoint *const> membersInZone(std::string_view Pool,
                                                 std::string_view Zone) const;
  const latency_target *findLatencyTarget(std::string_view Subject) const;
};

// SHA-256 of a bearer key as lower-case hex.
std::string digestOfKey(std::string_view Key);

//---------------------------------------------------------------------------
// Reading and checking
//---------------------------------------------------------------------------

// One mistake in a document and where it is.
struct config_error {
  std::string Location; // JSON pointer, for example /pools/0/selector/tier.
  std::string Message;  // What is wrong and what is expected.
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

// Parses and checks the JSON form. Finds every error, not only the first.
read_result readDocument(std::string_view Json);

// Checks a document and builds lookups. Null if there are errors.
std::shared_ptr<const configuration>
buildConfiguration(const document &Document, std::uint64_t Version,
                   std::vector<config_error> &Errors);

// The whole document in the JSON form, indented.
std::string writeDocument(const document &Document);

//---------------------------------------------------------------------------
// Plans
//---------------------------------------------------------------------------

enum class change_kind { Add, Replace, Remove };

struct object_change {
  change_kind Kind = change_kind::Add;
  std::string ObjectKind; // "accounts", "pools" ...
  std::string Name;
  std::string Json; // New canonical object; empty for Remove.
};

// What a change would do.
struct plan {
  std::uint64_t BaseVersion = 0; // Version it was made against.
  std::string Digest;            // Of the document after the change.
  std::vector<object_change> Changes;
  std::vector<std::string> SummaryLines; // One sentence per visible effect.
};

plan makePlan(const document &Current, std::uint64_t Version,
              const document &Wanted);

//---------------------------------------------------------------------------
// The fold
//---------------------------------------------------------------------------

// One published change, as stored in the log.
struct config_change {
  std::string Id;                // Unique; a repeat is dropped.
  std::string Author;            // Who published it.
  std::uint64_t BaseVersion = 0; // Version that was reviewed.
  std::string Digest;            // Document digest that was approved.
  std::vector<object_change> Changes;
};

// The whole document at a version; lets readers start after a trim.
struct config_checkpoint {
  std::uint64_t NextOffset = 0; // First offset that is not contained.
  std::uint64_t Version = 0;
  std::string LastId; // Last accepted change.
  document Document;
};

byte_string encodeChange(const config_change &Change);
byte_string encodeCheckpoint(const config_checkpoint &Checkpoint);

enum class change_result {
  Accepted,
  Duplicate,   // Same id as before.
  StaleBase,   // Another change came first.
  WrongDigest, // The effect is not what was approved.
  Invalid,     // The result would not be a valid document.
  Unreadable,  // Not a change.
  Checkpoint,  // Not a change but a checkpoint.
};

std::string_view toString(change_result Result);

// Deterministic state of the config stream. Not thread-safe.
class config_fold {
public:
  config_fold();

  // Applies the record at nextOffset(). Older offsets are ignored, so a record
  // may come from a peer and from the log. Asserts that there is no gap.
  change_result apply(std::uint64_t Offset, byte_view Body);

  // Starts from a checkpoint record. False if Body is not one or is older
  // than the state.
  bool restore(byte_view Body);

  std::uint64_t nextOffset() const { return NextOffset; }
  std::uint64_t version() const { return Version; }
  const document &currentDocument() const { return CurrentDocument; }
  std::shared_ptr<const configuration> activeConfiguration() const {
    return ActiveConfiguration;
  }
  std::uint64_t unreadableRecords() const { return UnreadableRecords; }
  config_checkpoint makeCheckpoint() const;

  // Result of each change of this run by id, newest 1024.
  std::optional<change_result> resultOf(std::string_view Id) const;

private:
  change_result applyChange(const config_change &Change);
  change_result decide(const config_change &Change);

  document CurrentDocument;
  std::uint64_t Version = 0;
  std::uint64_t NextOffset = 0;
  std::uint64_t UnreadableRecords = 0;
  std::string LastId;
  std::shared_ptr<const configuration> ActiveConfiguration;
  std::map<std::string, change_result, std::less<>> ResultById;
  std::vector<std::string> ResultIds;
};

} // namespace tamarack::config
