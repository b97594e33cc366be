// Rules of the ledger fold, one by one.
#include "tamarack/money.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace tamarack;
using namespace tamarack::money;

namespace {

struct recorder final : ledger_listener {
  std::vector<std::string> Events;
  void onGrantOpened(const grant_id &, const grant_state &State) override {
    Events.push_back("opened " + std::to_string(State.Amount));
  }
  void onGrantVoided(const grant_id &, std::string_view) override {
    Events.emplace_back("voided");
  }
  void onGrantClosed(const grant_id &, const grant_state &) override {
    Events.emplace_back("closed");
  }
  void onTokensAvailable(std::string_view) override {}
  void onGrantBilled(const grant_id &, const grant_state &) override {}
  void onClaimDecided(const request_key &,
                      const executor_id &Executor) override {
    Events.push_back("claim " + Executor.Instance);
  }
};

constexpr time_ms Start = 1'700'000'000'000;

// A stream with one writer's convenience.
struct stream {
  recorder Listener;
  ledger_fold Fold{Listener};
  std::vector<log_record> Log;
  time_ms Now = Start;
  std::map<incarnation_id, std::uint64_t> Numbers;

  void put(incarnation_id Writer, entry Entry) {
    putBatch({Writer, ++Numbers[Writer], Now, {std::move(Entry)}});
  }
  void putBatch(const ledger_batch &Batch) { putBytes(encodeBatch(Batch)); }
  void putBytes(byte_string Body) {
    Log.push_back({Log.size(), Now, std::move(Body)});
    Fold.apply(Log.back());
  }
  const budget_state &budget() { return *Fold.findBudget("b"); }
};

const incarnation_id Operator = makeIncarnation(Start, 1);
const incarnation_id Holder = makeIncarnation(Start, 2);
const incarnation_id Witness = makeIncarnation(Start, 3);
const incarnation_id Other = makeIncarnation(Start, 4);

credit_entry credit(amount Delta, std::uint64_t Id, time_ms CreatedAt = Start) {
  return {{1, Id}, CreatedAt, "b", Delta};
}

grant_entry grant(std::uint32_t Number, amount Maximum, amount Minimum) {
  return {{Holder, Number}, "b", Witness, Maximum, Minimum};
}

bill_line line(std::uint64_t Key, amount Amount, time_ms CreatedAt = Start) {
  return {{2, Key}, CreatedAt, Amount};
}

} // namespace

TEST_CASE("a grant takes what is free, at least its minimum", "[fold]") {
  stream S;
  S.put(Operator, credit(100, 1));
  S.put(Holder, grant(1, 70, 70));
  S.put(Holder, grant(2, 70, 10));
  S.put(Holder, grant(3, 70, 1));
  CHECK(S.Listener.Events ==
        std::vector<std::string>{"opened 70", "opened 30", "voided"});
  CHECK(S.budget().available() == 0);
}

TEST_CASE("a repeated batch counts once", "[fold]") {
  stream S;
  const ledger_batch Batch{Operator, 1, Start, {credit(100, 1)}};
  S.putBatch(Batch);
  S.putBatch(Batch);
  CHECK(S.budget().Credits == 100);
  CHECK(S.Fold.counters().DuplicateBatches == 1);
}

TEST_CASE("a credit with the same id counts once from any writer", "[fold]") {
  stream S;
  S.put(Operator, credit(100, 1));
  S.put(Other, credit(100, 1));
  CHECK(S.budget().Credits == 100);
}

TEST_CASE("a key is billed once, whoever bills it", "[fold]") {
  stream S;
  S.put(Operator, credit(100, 1));
  S.put(Holder, grant(1, 50, 1));
  S.put(Other, grant_entry{{Other, 1}, "b", 0, 50, 1});
  S.put(Holder, bill_entry{{Holder, 1}, {line(1, 10)}});
  S.put(Other, bill_entry{{Other, 1}, {line(1, 10)}});
  S.put(Holder, bill_entry{{Holder, 1}, {line(1, 10)}});
  CHECK(S.budget().Billed == 10);
  CHECK(S.Fold.counters().DuplicateKeys == 2);
}

TEST_CASE("the first close wins and frees the rest", "[fold]") {
  stream S;
  S.put(Operator, credit(100, 1));
  S.put(Holder, grant(1, 50, 1));
  S.put(Witness, close_entry{{Holder, 1}, {line(1, 10)}, false});
  CHECK(S.budget().available() == 90);
  S.put(Holder, close_entry{{Holder, 1}, {line(2, 10)}, false});
  S.put(Holder, bill_entry{{Holder, 1}, {line(3, 10)}});
  CHECK(S.budget().Billed == 10);
  CHECK(S.Fold.counters().LateLines == 2);
}

TEST_CASE("only holder, witness or an operator close a grant", "[fold]") {
  stream S;
  S.put(Operator, credit(100, 1));
  S.put(Holder, grant(1, 50, 1));
  S.put(Other, close_entry{{Holder, 1}, {}, false});
  CHECK(S.budget().available() == 50);
  S.put(Operator, close_entry{{Holder, 1}, {}, true});
  CHECK(S.budget().available() == 100);
}

TEST_CASE("nobody bills more than a grant", "[fold]") {
  stream S;
  S.put(Operator, credit(100, 1));
  S.put(Holder, grant(1, 50, 1));
  S.put(Holder, bill_entry{{Holder, 1}, {line(1, 40), line(2, 11)}});
  S.put(Other, bill_entry{{Holder, 1}, {line(3, 1)}});
  S.put(Holder, bill_entry{{Holder, 1}, {line(4, -5)}});
  CHECK(S.budget().Billed == 40);
  CHECK(S.Fold.counters().Rejected == 3);
  CHECK(S.Fold.counters().Violations == 0);
}

TEST_CASE("a reduction below what is granted waits for the rest", "[fold]") {
  stream S;
  S.put(Operator, credit(100, 1));
  S.put(Holder, grant(1, 80, 1));
  S.put(Operator, credit(-60, 2));
  CHECK(S.budget().Credits == 80);
  CHECK(S.budget().PendingReduction == 40);
  S.put(Holder, bill_entry{{Holder, 1}, {line(1, 30)}});
  S.put(Holder, close_entry{{Holder, 1}, {}, false});
  CHECK(S.budget().Credits == 40);
  CHECK(S.budget().PendingReduction == 0);
  CHECK(S.budget().available() == 10);
}

TEST_CASE("the first claim wins for every reader", "[fold]") {
  stream S;
  S.put(Holder, claim_entry{{5, 5}, Start, {Holder, "h"}});
  S.put(Other, claim_entry{{5, 5}, Start, {Other, "o"}});
  S.put(Other, claim_entry{{5, 6}, Start - 2 * KeyWindowMs, {Other, "o"}});
  CHECK(S.Listener.Events ==
        std::vector<std::string>{"claim h", "claim h", "claim "});
}

TEST_CASE("unreadable records are skipped and counted", "[fold]") {
  stream S;
  S.putBytes({0xff, 0x00, 0x13});
  S.putBytes({});
  S.putBytes(byte_string(4096, 0xdd)); // Array lengths that can't be true.
  S.put(Operator, credit(100, 1));
  CHECK(S.Fold.counters().Unreadable == 3);
  CHECK(S.budget().Credits == 100);
}

TEST_CASE("keys stay known while an old grant is open", "[fold]") {
  stream S;
  S.put(Operator, credit(1000, 1));
  S.put(Holder, grant(1, 50, 1));
  S.put(Holder, grant(2, 50, 1));
  S.put(Holder, bill_entry{{Holder, 2}, {line(7, 10)}});
  S.Now += 10 * KeyWindowMs; // A long cut: grant 1 is still open.
  S.put(Holder, bill_entry{{Holder, 1}, {line(7, 10)}});
  S.put(Holder, bill_entry{{Holder, 1}, {line(8, 10)}});
  CHECK(S.budget().Billed == 20);
  S.put(Holder, close_entry{{Holder, 1}, {}, false});
  S.put(Holder, close_entry{{Holder, 2}, {}, false});
  S.Now += 2 * KeyWindowMs;
  S.put(Operator, credit(1, 9, S.Now));
  CHECK(S.Fold.keyCount() == 1);
}

TEST_CASE("a checkpoint restores the very same state", "[fold]") {
  stream S;
  S.put(Operator, credit(100, 1));
  S.put(Holder, grant(1, 50, 1));
  S.put(Holder, bill_entry{{Holder, 1}, {line(1, 10)}});
  S.put(Holder, claim_entry{{5, 5}, Start, {Holder, "h"}});
  const checkpoint_entry Checkpoint = S.Fold.makeCheckpoint();
  recorder Listener;
  ledger_fold Restored(Listener);
  REQUIRE(Restored.restore(Checkpoint));
  CHECK(Restored.encodeState() == S.Fold.encodeState());
  S.put(Holder, bill_entry{{Holder, 1}, {line(1, 10), line(2, 5)}});
  Restored.apply(S.Log.back());
  CHECK(Restored.encodeState() == S.Fold.encodeState());
}

TEST_CASE("a damaged checkpoint is refused and changes nothing", "[fold]") {
  stream S;
  S.put(Operator, credit(100, 1));
  checkpoint_entry Checkpoint = S.Fold.makeCheckpoint();
  Checkpoint.State[Checkpoint.State.size() / 2] ^= 1;
  recorder Listener;
  ledger_fold Restored(Listener);
  CHECK_FALSE(Restored.restore(Checkpoint));
  CHECK(Restored.nextOffset() == 0);
}

TEST_CASE("a reader with the whole prefix checks checkpoints", "[fold]") {
  stream S;
  S.put(Operator, credit(100, 1));
  checkpoint_entry Good = S.Fold.makeCheckpoint();
  S.put(Holder, Good);
  CHECK(S.Fold.counters().DigestMismatches == 0);
  checkpoint_entry Bad = S.Fold.makeCheckpoint();
  Bad.Digest ^= 1;
  S.put(Holder, Bad);
  CHECK(S.Fold.counters().DigestMismatches == 1);
}

TEST_CASE("no bytes break the record decoder", "[fold][property]") {
  CHECK(rc::check("random bytes", [](const byte_string &Bytes) {
    const std::optional<ledger_batch> Batch = decodeBatch(Bytes);
    if (Batch)
      RC_ASSERT(decodeBatch(encodeBatch(*Batch)).has_value());
  }));
  CHECK(rc::check("damaged records", [](std::uint32_t At, std::uint8_t With) {
    ledger_batch Batch{Holder, 1, Start, {grant(1, 5, 1)}};
    Batch.Entries.emplace_back(bill_entry{{Holder, 1}, {line(1, 10)}});
    Batch.Entries.emplace_back(close_entry{{Holder, 1}, {line(2, 3)}, true});
    byte_string Bytes = encodeBatch(Batch);
    Bytes[At % Bytes.size()] = With;
    stream S;
    S.put(Operator, credit(100, 1));
    S.putBytes(Bytes);
    RC_ASSERT(S.Fold.counters().Violations == 0U);
  }));
}

TEST_CASE("a writer that was idle for days may go on", "[fold]") {
  stream S;
  S.put(Operator, credit(100, 1));
  S.put(Holder, grant(1, 10, 1));
  S.Now += 3 * WriterWindowMs;
  S.put(Operator, credit(1, 2, S.Now)); // Forgets both by now.
  S.put(Holder, grant(2, 10, 1));
  CHECK(S.Fold.findGrant({Holder, 2}) != nullptr);
}

TEST_CASE("a batch that was under way for a day is dropped", "[fold]") {
  stream S;
  const ledger_batch Old{Holder, 1, S.Now, {credit(100, 1)}};
  S.putBatch(Old);
  S.Now += 2 * WriterWindowMs;
  S.put(Operator, credit(1, 2, S.Now));
  S.putBatch(Old); // Its writer is forgotten, its age is not.
  CHECK(S.budget().Credits == 101);
  CHECK(S.Fold.counters().DuplicateBatches == 1);
}
