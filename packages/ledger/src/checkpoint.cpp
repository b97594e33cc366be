// Encodes the state of a ledger stream for checkpoints, and finds them.
//
// Format: MessagePack array [version, next offset, latest log time, budgets,
// grants, keys, claims, writers]. Each of the last five is an array of rows.
#include "codec.hpp"

#include <xxhash.h>

namespace tamarack::ledger {

std::uint64_t ledger_fold::digestOf(byte_view State) {
  return XXH3_64bits(State.data(), State.size());
}

byte_string ledger_fold::encodeState() const {
  msgpack::sbuffer Buffer;
  packer Packer(Buffer);
  Packer.pack_array(8);
  Packer.pack(RecordVersion);
  Packer.pack(NextOffset);
  Packer.pack(LatestLogTime);
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
  Packer.pack_array(static_cast<std::uint32_t>(KeyExpiryQueue.size()));
  for (const dated_key &Dated : KeyExpiryQueue) {
    Packer.pack_array(3);
    Packer.pack(Dated.LogTime);
    packKey(Packer, Dated.Key);
  }
  Packer.pack_array(static_cast<std::uint32_t>(ClaimExpiryQueue.size()));
  for (const dated_key &Dated : ClaimExpiryQueue) {
    const executor_id &Executor = Claims.at(Dated.Key);
    Packer.pack_array(5);
    Packer.pack(Dated.LogTime);
    packKey(Packer, Dated.Key);
    Packer.pack(Executor.Incarnation);
    Packer.pack(Executor.Instance);
  }
  Packer.pack_array(static_cast<std::uint32_t>(Writers.size()));
  for (const auto &[Id, Writer] : Writers) {
    Packer.pack_array(3);
    Packer.pack(Id);
    Packer.pack(Writer.LastBatch);
    Packer.pack(Writer.LastBatchTime);
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
  ledger_fold Restored(Listener);
  try {
    const msgpack::object_handle Handle = unpackBounded(Checkpoint.State);
    array_reader Reader(Handle.get());
    if (Reader.nextUnsigned() != RecordVersion)
      return false;
    Restored.NextOffset = Reader.nextUnsigned();
    Restored.LatestLogTime = Reader.nextSigned();
    array_reader Rows = Reader.nextArray();
    while (!Rows.atEnd()) {
      array_reader Row = Rows.nextArray();
      const std::string Name = Row.nextString();
      budget_state &Budget = Restored.Budgets[Name];
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
      grant_state &Grant = Restored.Grants[Id];
      Grant.Budget = Row.nextString();
      Grant.Witness = Row.nextUnsigned();
      Grant.Amount = Row.nextSigned();
      Grant.Billed = Row.nextSigned();
      Grant.OpenedAt = Row.nextSigned();
      Restored.OpenGrantTimes.insert(Grant.OpenedAt);
      if (!Restored.Budgets.contains(Grant.Budget))
        return false;
    }
    Rows = Reader.nextArray();
    while (!Rows.atEnd()) {
      array_reader Row = Rows.nextArray();
      dated_key Dated;
      Dated.LogTime = Row.nextSigned();
      Dated.Key = readKey(Row);
      Restored.SeenKeys.insert(Dated.Key);
      Restored.KeyExpiryQueue.push_back(Dated);
    }
    Rows = Reader.nextArray();
    while (!Rows.atEnd()) {
      array_reader Row = Rows.nextArray();
      dated_key Dated;
      Dated.LogTime = Row.nextSigned();
      Dated.Key = readKey(Row);
      executor_id &Executor = Restored.Claims[Dated.Key];
      Executor.Incarnation = Row.nextUnsigned();
      Executor.Instance = Row.nextString();
      Restored.ClaimExpiryQueue.push_back(Dated);
    }
    Rows = Reader.nextArray();
    while (!Rows.atEnd()) {
      array_reader Row = Rows.nextArray();
      const incarnation_id Id = Row.nextUnsigned();
      writer_state &Writer = Restored.Writers[Id];
      Writer.LastBatch = Row.nextUnsigned();
      Writer.LastBatchTime = Row.nextSigned();
    }
  } catch (const malformed_record &) {
    return false;
  } catch (const msgpack::unpack_error &) {
    return false;
  }
  if (Restored.NextOffset != Checkpoint.NextOffset)
    return false;
  Budgets = std::move(Restored.Budgets);
  Grants = std::move(Restored.Grants);
  SeenKeys = std::move(Restored.SeenKeys);
  KeyExpiryQueue = std::move(Restored.KeyExpiryQueue);
  OpenGrantTimes = std::move(Restored.OpenGrantTimes);
  Claims = std::move(Restored.Claims);
  ClaimExpiryQueue = std::move(Restored.ClaimExpiryQueue);
  Writers = std::move(Restored.Writers);
  NextOffset = Restored.NextOffset;
  LastCheckpointOffset = Restored.NextOffset;
  LatestLogTime = Restored.LatestLogTime;
  return true;
}

std::optional<checkpoint_entry>
findCheckpoint(append_log &Log, std::string_view Stream, std::uint64_t First) {
  std::uint64_t From = First;
  for (;;) {
    const log_page Page = Log.read(Stream, From, 0);
    for (const log_record &Record : Page.Records) {
      From = Record.Offset + 1;
      const std::optional<ledger_batch> Batch = decodeBatch(Record.Body);
      if (!Batch)
        continue;
      for (const entry &Entry : Batch->Entries) {
        const auto *Checkpoint = std::get_if<checkpoint_entry>(&Entry);
        if (Checkpoint != nullptr &&
            Checkpoint->NextOffset >= Page.OldestOffset)
          return *Checkpoint;
      }
    }
    if (Page.Trimmed)
      From = Page.OldestOffset;
    else if (Page.Records.empty())
      return std::nullopt;
  }
}

} // namespace tamarack::ledger
