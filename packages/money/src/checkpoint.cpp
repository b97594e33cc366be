// The state of a ledger stream as bytes.
//
// Shape: [version, next, now, budgets, grants, keys, claims, writers], each of
// the last five a flat array of rows.
#include "codec.hpp"

#include <xxhash.h>

namespace tamarack::money {

std::uint64_t ledger_fold::digestOf(byte_view State) {
  return XXH3_64bits(State.data(), State.size());
}

byte_string ledger_fold::encodeState() const {
  msgpack::sbuffer Buffer;
  packer Packer(Buffer);
  Packer.pack_array(8);
  Packer.pack(RecordVersion);
  Packer.pack(NextOffset);
  Packer.pack(Now);
  Packer.pack_array(static_cast<std::uint32_t>(Budgets.size()));
  for (const auto &[Name, Budget] : Budgets) {
    Packer.pack_array(6);
    Packer.pack(Name);
    Packer.pack(Budget.Credits);
    Packer.pack(Budget.Committed);
    Packer.pack(Budget.Billed);
    Packer.pack(Budget.PendingReduction);
    Packer.pack(Budget.OpenGrants);
  }
  Packer.pack_array(static_cast<std::uint32_t>(Grants.size()));
  for (const auto &[Id, Grant] : Grants) {
    Packer.pack_array(7);
    packGrant(Packer, Id);
    Packer.pack(Grant.Budget);
    Packer.pack(Grant.Witness);
    Packer.pack(Grant.Amount);
    Packer.pack(Grant.Billed);
    Packer.pack(Grant.OpenedAt);
  }
  Packer.pack_array(static_cast<std::uint32_t>(KeyQueue.size()));
  for (const seen_key &Seen : KeyQueue) {
    Packer.pack_array(3);
    Packer.pack(Seen.Seen);
    packKey(Packer, Seen.Key);
  }
  Packer.pack_array(static_cast<std::uint32_t>(ClaimQueue.size()));
  for (const seen_key &Seen : ClaimQueue) {
    const executor_id &Executor = Claims.at(Seen.Key);
    Packer.pack_array(5);
    Packer.pack(Seen.Seen);
    packKey(Packer, Seen.Key);
    Packer.pack(Executor.Incarnation);
    Packer.pack(Executor.Instance);
  }
  Packer.pack_array(static_cast<std::uint32_t>(Writers.size()));
  for (const auto &[Id, Writer] : Writers) {
    Packer.pack_array(3);
    Packer.pack(Id);
    Packer.pack(Writer.Number);
    Packer.pack(Writer.Seen);
  }
  return toBytes(Buffer);
}

checkpoint_entry ledger_fold::makeCheckpoint() const {
  checkpoint_entry Checkpoint;
  Checkpoint.NextOffset = NextOffset;
  Checkpoint.State = encodeState();
  Checkpoint.Digest = digestOf(Checkpoint.State);
  return Checkpoint;
}

bool ledger_fold::restore(const checkpoint_entry &Checkpoint) {
  if (Checkpoint.Digest != digestOf(Checkpoint.State))
    return false;
  ledger_fold Fresh(Listener);
  try {
    const msgpack::object_handle Handle = unpackBounded(Checkpoint.State);
    array_reader Reader(Handle.get());
    if (Reader.nextUnsigned() != RecordVersion)
      return false;
    Fresh.NextOffset = Reader.nextUnsigned();
    Fresh.Now = Reader.nextSigned();
    array_reader Rows = Reader.nextArray();
    while (!Rows.atEnd()) {
      array_reader Row = Rows.nextArray();
      const std::string Name = Row.nextString();
      budget_state &Budget = Fresh.Budgets[Name];
      Budget.Credits = Row.nextSigned();
      Budget.Committed = Row.nextSigned();
      Budget.Billed = Row.nextSigned();
      Budget.PendingReduction = Row.nextSigned();
      Budget.OpenGrants = static_cast<std::uint32_t>(Row.nextUnsigned());
    }
    Rows = Reader.nextArray();
    while (!Rows.atEnd()) {
      array_reader Row = Rows.nextArray();
      const grant_id Id = readGrant(Row);
      grant_state &Grant = Fresh.Grants[Id];
      Grant.Budget = Row.nextString();
      Grant.Witness = Row.nextUnsigned();
      Grant.Amount = Row.nextSigned();
      Grant.Billed = Row.nextSigned();
      Grant.OpenedAt = Row.nextSigned();
      Fresh.OpenTimes.insert(Grant.OpenedAt);
      if (!Fresh.Budgets.contains(Grant.Budget))
        return false;
    }
    Rows = Reader.nextArray();
    while (!Rows.atEnd()) {
      array_reader Row = Rows.nextArray();
      seen_key Seen;
      Seen.Seen = Row.nextSigned();
      Seen.Key = readKey(Row);
      Fresh.Keys.insert(Seen.Key);
      Fresh.KeyQueue.push_back(Seen);
    }
    Rows = Reader.nextArray();
    while (!Rows.atEnd()) {
      array_reader Row = Rows.nextArray();
      seen_key Seen;
      Seen.Seen = Row.nextSigned();
      Seen.Key = readKey(Row);
      executor_id &Executor = Fresh.Claims[Seen.Key];
      Executor.Incarnation = Row.nextUnsigned();
      Executor.Instance = Row.nextString();
      Fresh.ClaimQueue.push_back(Seen);
    }
    Rows = Reader.nextArray();
    while (!Rows.atEnd()) {
      array_reader Row = Rows.nextArray();
      const incarnation_id Id = Row.nextUnsigned();
      writer_state &Writer = Fresh.Writers[Id];
      Writer.Number = Row.nextUnsigned();
      Writer.Seen = Row.nextSigned();
    }
  } catch (const bad_record &) {
    return false;
  } catch (const msgpack::unpack_error &) {
    return false;
  }
  if (Fresh.NextOffset != Checkpoint.NextOffset)
    return false;
  Budgets = std::move(Fresh.Budgets);
  Grants = std::move(Fresh.Grants);
  Keys = std::move(Fresh.Keys);
  KeyQueue = std::move(Fresh.KeyQueue);
  OpenTimes = std::move(Fresh.OpenTimes);
  Claims = std::move(Fresh.Claims);
  ClaimQueue = std::move(Fresh.ClaimQueue);
  Writers = std::move(Fresh.Writers);
  NextOffset = Fresh.NextOffset;
  LastCheckpoint = Fresh.NextOffset;
  Now = Fresh.Now;
  return true;
}

} // namespace tamarack::money
