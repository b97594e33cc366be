// Tests of validation, plans and the fold of the configuration.
#include "tamarack/config.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace tamarack;
using namespace tamarack::config;

namespace {

constexpr std::string_view SmallJson = R"({
  "tamarackhall": 1,
  "accounts": [{"name": "a", "labels": {"team": "ring"}}],
  "models": [{"name": "m"}],
  "endpoints": [
    {"name": "e1", "url": "http://h:1", "zone": "z1", "labels": {"use": "x"}},
    {"name": "e2", "url": "http://h:2", "zone": "z2", "labels": {"use": "y"}}],
  "pools": [{"name": "p", "selector": {"use": ["x", "y"]}},
            {"name": "q", "selector": {"use": {"not": "x"}}}],
  "rules": [
    {"name": "late", "order": 20, "target": "*", "pool": "p"},
    {"name": "early", "order": 10, "target": "m", "pool": "q",
     "account": {"team": "ring"}, "request": {"urgent": {"exists": true}}}]
})";

document smallDocument() { return readDocument(SmallJson).Document; }

bool hasErrorAt(const read_result &Result, std::string_view Location) {
  for (const config_error &Error : Result.Errors)
    if (Error.Location == Location)
      return true;
  return false;
}

byte_string encodeChangeTo(const config_fold &Fold, const document &Proposed,
                           std::string Id) {
  const plan Plan = makePlan(Fold.currentDocument(), Fold.version(), Proposed);
  return encodeChange(
      {std::move(Id), "op", Plan.BaseVersion, Plan.Digest, Plan.Changes});
}

document smallDocumentWithModel(const std::string &Name) {
  document Document = smallDocument();
  Document.ObjectsByKind["models"][Name] = "{\"name\":\"" + Name + "\"}";
  return Document;
}

} // namespace

TEST_CASE("a valid document has no errors and complete lookup tables",
          "[config]") {
  const read_result Result = readDocument(SmallJson);
  CHECK(Result.Errors.empty());
  std::vector<config_error> Errors;
  const auto Built = buildConfiguration(Result.Document, 3, Errors);
  REQUIRE(Built);
  CHECK(Built->members("p").size() == 2);
  CHECK(Built->members("q").size() == 1);
  const label_set Ring{{"team", "ring"}};
  CHECK(Built->findRule("m", Ring, {{"urgent", "1"}})->Name == "early");
  CHECK(Built->findRule("m", Ring, {})->Name == "late");
  CHECK(Built->findRule("m", {}, {{"urgent", "1"}})->Name == "late");
}

TEST_CASE("every error is reported with its location", "[config]") {
  const read_result Result = readDocument(R"({
    "tamarackhall": 1, "horses": [],
    "accounts": [{"name": "a", "key_sha256": ["xyz"], "speed": 1},
                 {"name": "a"}, {"labels": {}}],
    "models": [{"name": "m", "max_tokens": -4}],
    "endpoints": [{"name": "e", "url": "ftp://x", "zone": "z"}],
    "pools": [{"name": "p", "selector": {"use": 7}}],
    "rules": [{"name": "r", "target": "none", "pool": "gone"}]})");
  CHECK(hasErrorAt(Result, "/horses"));
  CHECK(hasErrorAt(Result, "/accounts/a/key_sha256"));
  CHECK(hasErrorAt(Result, "/accounts/a/speed"));
  CHECK(hasErrorAt(Result, "/accounts/1/name"));
  CHECK(hasErrorAt(Result, "/accounts/2/name"));
  CHECK(hasErrorAt(Result, "/models/m/max_tokens"));
  CHECK(hasErrorAt(Result, "/endpoints/e/url"));
  CHECK(hasErrorAt(Result, "/pools/p/selector/use"));
  CHECK(hasErrorAt(Result, "/rules/r/target"));
  CHECK(hasErrorAt(Result, "/rules/r/pool"));
}

// Guards against an account that everybody can use, with a key of no
// characters.
TEST_CASE("the digest of an empty key is an error", "[config]") {
  const auto HasError = [](std::string_view Key) {
    return hasErrorAt(
        readDocument(R"({"tamarackhall": 1, "accounts": [{"name": "a",
                         "key_sha256": [")" +
                     digestOfKey(Key) + "\"]}]}"),
        "/accounts/a/key_sha256");
  };
  CHECK(HasError(""));
  CHECK_FALSE(HasError("x"));
}

TEST_CASE("malformed documents are reported as errors", "[config]") {
  for (std::string_view Text :
       {"", "{", "[]", "{\"tamarackhall\": 1", "{\"tamarackhall\": 2}",
        "nonsense", "{\"tamarackhall\": 1, \"accounts\": {}}"})
    CHECK_FALSE(readDocument(Text).Errors.empty());
}

TEST_CASE("a written document reads back with the same digest", "[config]") {
  const document Document = smallDocument();
  const read_result Again = readDocument(writeDocument(Document));
  CHECK(Again.Errors.empty());
  CHECK(Again.Document.digest() == Document.digest());
}

TEST_CASE("a plan lists changed fields and endpoints that leave a pool",
          "[config]") {
  document Proposed = smallDocument();
  std::string &Endpoint = Proposed.ObjectsByKind["endpoints"]["e2"];
  Endpoint.insert(1, "\"draining\":true,");
  const plan Plan = makePlan(smallDocument(), 4, Proposed);
  CHECK(Plan.BaseVersion == 4);
  REQUIRE(Plan.Changes.size() == 1);
  CHECK(Plan.SummaryLines ==
        std::vector<std::string>{
            "replaces endpoints e2", "  draining: null -> true",
            "pool p loses endpoint e2", "pool q loses endpoint e2",
            "pool q has no endpoint that takes work"});
}

TEST_CASE("only the first of two concurrent changes is accepted", "[config]") {
  config_fold Fold;
  Fold.apply(0, encodeChangeTo(Fold, smallDocument(), "first"));
  const byte_string One =
      encodeChangeTo(Fold, smallDocumentWithModel("one"), "one");
  const byte_string Two =
      encodeChangeTo(Fold, smallDocumentWithModel("two"), "two");
  CHECK(Fold.apply(1, One) == change_result::Accepted);
  CHECK(Fold.apply(2, Two) == change_result::StaleBase);
  CHECK(Fold.apply(3, One) == change_result::Duplicate);
  CHECK(Fold.version() == 2);
  CHECK(Fold.activeConfiguration()->Models.contains("one"));
}

TEST_CASE("a change whose result was not approved is refused", "[config]") {
  config_fold Fold;
  const plan Plan = makePlan(Fold.currentDocument(), 0, smallDocument());
  const config_change Change{"x", "op", 0, "0123", Plan.Changes};
  CHECK(Fold.apply(0, encodeChange(Change)) == change_result::WrongDigest);
  CHECK(Fold.version() == 0);
}

TEST_CASE("changes to an invalid document and unreadable records are refused",
          "[config]") {
  config_fold Fold;
  Fold.apply(0, encodeChangeTo(Fold, smallDocument(), "first"));
  document InvalidDocument = smallDocument();
  // The rules still refer to the pools.
  InvalidDocument.ObjectsByKind["pools"].clear();
  CHECK(Fold.apply(1, encodeChangeTo(Fold, InvalidDocument, "x")) ==
        change_result::Invalid);
  const byte_string Garbage{'{', '}', '!'};
  CHECK(Fold.apply(2, Garbage) == change_result::Unreadable);
  CHECK(Fold.unreadableRecords() == 1);
  CHECK(Fold.version() == 1);
}

TEST_CASE("a reader starts from a checkpoint and ignores an older one",
          "[config]") {
  config_fold Fold;
  Fold.apply(0, encodeChangeTo(Fold, smallDocument(), "first"));
  const byte_string Old = encodeCheckpoint(Fold.makeCheckpoint());
  Fold.apply(1, encodeChangeTo(Fold, smallDocumentWithModel("n"), "second"));
  const byte_string Newer = encodeCheckpoint(Fold.makeCheckpoint());
  config_fold Reader;
  REQUIRE(Reader.restore(Newer));
  CHECK(Reader.version() == 2);
  CHECK(Reader.currentDocument().digest() == Fold.currentDocument().digest());
  CHECK_FALSE(Reader.restore(Old));
  CHECK(Reader.version() == 2);
  const byte_string Third = encodeChangeTo(Fold, smallDocument(), "third");
  CHECK(Fold.apply(2, Third) == Reader.apply(2, Third));
  CHECK(Reader.currentDocument().digest() == Fold.currentDocument().digest());
}

// Guards against a reader that starts from the same checkpoint without end: the
// records that it would need next are deleted.
TEST_CASE("a reader starts from no checkpoint that lacks deleted records",
          "[config]") {
  config_fold Fold;
  Fold.apply(0, encodeChangeTo(Fold, smallDocument(), "first"));
  const byte_string Checkpoint = encodeCheckpoint(Fold.makeCheckpoint());
  CHECK_FALSE(config_fold().restore(Checkpoint, 2));
  CHECK(config_fold().restore(Checkpoint, 1));
}

TEST_CASE("readers that get records twice reach the same state",
          "[config][property]") {
  CHECK(rc::check("concurrent changes, duplicates and checkpoints", [] {
    const auto Choices =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
    config_fold Log;
    std::vector<byte_string> Records{encodeChangeTo(Log, smallDocument(), "0")};
    Log.apply(0, Records[0]);
    byte_string Stale = Records[0];
    int Id = 0;
    for (int Choice : Choices) {
      byte_string Record;
      switch (Choice % 4) {
      case 0:
        Record = Stale; // A duplicate, or a change with a stale base version.
        break;
      case 1:
        Record = encodeCheckpoint(Log.makeCheckpoint());
        break;
      default:
        Record = encodeChangeTo(
            Log, smallDocumentWithModel("m" + std::to_string(Choice % 7)),
            std::to_string(++Id));
        Stale = Choice % 3 == 0 ? Record : Stale;
      }
      const std::uint64_t Before = Log.version();
      Log.apply(Records.size(), Record);
      Records.push_back(Record);
      RC_ASSERT(Log.version() >= Before);
    }
    // Gets every record twice, as if from a peer and from the log.
    config_fold Reader;
    std::uint64_t Version = 0;
    for (std::size_t Offset = 0; Offset < Records.size(); ++Offset) {
      Reader.apply(Offset, Records[Offset]);
      Reader.apply(Offset, Records[Offset]);
      RC_ASSERT(Reader.version() >= Version);
      Version = Reader.version();
    }
    RC_ASSERT(Reader.version() == Log.version());
    RC_ASSERT(Reader.currentDocument().digest() ==
              Log.currentDocument().digest());
  }));
}
