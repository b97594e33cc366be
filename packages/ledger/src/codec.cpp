// Encodes ledger batches as MessagePack arrays.
//
// Format: [version, writer, number, created at, [entry...]] with
// entry = [kind, fields...].
#include "codec.hpp"

#include <limits>

namespace tamarack::ledger {

namespace {

// Kind of an entry on the wire: its position in the variant `entry`.
enum class entry_kind : std::uint64_t {
  Credit = 0,
  Grant = 1,
  Bill = 2,
  Return = 3,
  Close = 4,
  Checkpoint = 5,
  Claim = 6,
};

void packKind(packer &Packer, entry_kind Kind, std::uint32_t Fields) {
  Packer.pack_array(Fields + 1);
  Packer.pack(static_cast<std::uint64_t>(Kind));
}

void packLines(packer &Packer, std::span<const bill_line> Lines) {
  Packer.pack_array(static_cast<std::uint32_t>(Lines.size()));
  for (const bill_line &Line : Lines) {
    Packer.pack_array(4);
    packKey(Packer, Line.Key);
    Packer.pack(Line.CreatedAt);
    Packer.pack(Line.Amount);
  }
}

std::vector<bill_line> readLines(array_reader Reader) {
  std::vector<bill_line> Lines;
  while (!Reader.atEnd()) {
    array_reader Item = Reader.nextArray();
    bill_line Line;
    Line.Key = readKey(Item);
    Line.CreatedAt = Item.nextSigned();
    Line.Amount = Item.nextSigned();
    Lines.push_back(Line);
  }
  return Lines;
}

struct entry_packer {
  packer &Packer;

  void operator()(const credit_entry &Entry) const {
    packKind(Packer, entry_kind::Credit, 5);
    packKey(Packer, Entry.Id);
    Packer.pack(Entry.CreatedAt);
    Packer.pack(Entry.Budget);
    Packer.pack(Entry.Delta);
  }
  void operator()(const grant_entry &Entry) const {
    packKind(Packer, entry_kind::Grant, 6);
    packGrant(Packer, Entry.Grant);
    Packer.pack(Entry.Budget);
    Packer.pack(Entry.Witness);
    Packer.pack(Entry.Maximum);
    Packer.pack(Entry.Minimum);
  }
  void operator()(const bill_entry &Entry) const {
    packKind(Packer, entry_kind::Bill, 3);
    packGrant(Packer, Entry.Grant);
    packLines(Packer, Entry.Lines);
  }
  void operator()(const return_entry &Entry) const {
    packKind(Packer, entry_kind::Return, 3);
    packGrant(Packer, Entry.Grant);
    Packer.pack(Entry.Amount);
  }
  void operator()(const close_entry &Entry) const {
    packKind(Packer, entry_kind::Close, 4);
    packGrant(Packer, Entry.Grant);
    packLines(Packer, Entry.Lines);
    Packer.pack(static_cast<std::uint64_t>(Entry.WriteOff ? 1 : 0));
  }
  void operator()(const checkpoint_entry &Entry) const {
    packKind(Packer, entry_kind::Checkpoint, 3);
    Packer.pack(Entry.NextOffset);
    Packer.pack(Entry.Digest);
    packBytes(Packer, Entry.State);
  }
  void operator()(const claim_entry &Entry) const {
    packKind(Packer, entry_kind::Claim, 5);
    packKey(Packer, Entry.Key);
    Packer.pack(Entry.CreatedAt);
    Packer.pack(Entry.Executor.Incarnation);
    Packer.pack(Entry.Executor.Instance);
  }
};

entry readCredit(array_reader &Reader) {
  credit_entry Entry;
  Entry.Id = readKey(Reader);
  Entry.CreatedAt = Reader.nextSigned();
  Entry.Budget = Reader.nextString();
  Entry.Delta = Reader.nextSigned();
  return Entry;
}

entry readGrantEntry(array_reader &Reader) {
  grant_entry Entry;
  Entry.Grant = readGrant(Reader);
  Entry.Budget = Reader.nextString();
  Entry.Witness = Reader.nextUnsigned();
  Entry.Maximum = Reader.nextSigned();
  Entry.Minimum = Reader.nextSigned();
  return Entry;
}

entry readBill(array_reader &Reader) {
  bill_entry Entry;
  Entry.Grant = readGrant(Reader);
  Entry.Lines = readLines(Reader.nextArray());
  return Entry;
}

entry readReturn(array_reader &Reader) {
  return_entry Entry;
  Entry.Grant = readGrant(Reader);
  Entry.Amount = Reader.nextSigned();
  return Entry;
}

entry readClose(array_reader &Reader) {
  close_entry Entry;
  Entry.Grant = readGrant(Reader);
  Entry.Lines = readLines(Reader.nextArray());
  Entry.WriteOff = Reader.nextUnsigned() != 0;
  return Entry;
}

entry readCheckpoint(array_reader &Reader) {
  checkpoint_entry Entry;
  Entry.NextOffset = Reader.nextUnsigned();
  Entry.Digest = Reader.nextUnsigned();
  Entry.State = Reader.nextBytes();
  return Entry;
}

entry readClaim(array_reader &Reader) {
  claim_entry Entry;
  Entry.Key = readKey(Reader);
  Entry.CreatedAt = Reader.nextSigned();
  Entry.Executor.Incarnation = Reader.nextUnsigned();
  Entry.Executor.Instance = Reader.nextString();
  return Entry;
}

entry readEntry(array_reader Reader) {
  switch (static_cast<entry_kind>(Reader.nextUnsigned())) {
  case entry_kind::Credit:
    return readCredit(Reader);
  case entry_kind::Grant:
    return readGrantEntry(Reader);
  case entry_kind::Bill:
    return readBill(Reader);
  case entry_kind::Return:
    return readReturn(Reader);
  case entry_kind::Close:
    return readClose(Reader);
  case entry_kind::Checkpoint:
    return readCheckpoint(Reader);
  case entry_kind::Claim:
    return readClaim(Reader);
  }
  throw malformed_record("unknown entry kind");
}

ledger_batch readBatch(byte_view Bytes) {
  const msgpack::object_handle Handle = unpackBounded(Bytes);
  array_reader Reader(Handle.get());
  if (Reader.nextUnsigned() != RecordVersion)
    throw malformed_record("unknown record version");
  ledger_batch Batch;
  Batch.Writer = Reader.nextUnsigned();
  Batch.Number = Reader.nextUnsigned();
  Batch.CreatedAt = Reader.nextSigned();
  array_reader Entries = Reader.nextArray();
  while (!Entries.atEnd())
    Batch.Entries.push_back(readEntry(Entries.nextArray()));
  return Batch;
}

} // namespace

msgpack::object_handle unpackBounded(byte_view Bytes) {
  const std::size_t Size = Bytes.size();
  const msgpack::unpack_limit Limit(Size, Size, Size, Size, Size);
  return msgpack::unpack(reinterpret_cast<const char *>(Bytes.data()), Size,
                         nullptr, nullptr, Limit);
}

array_reader::array_reader(const msgpack::object &Object) {
  if (Object.type != msgpack::type::ARRAY)
    throw malformed_record("array expected");
  Items = Object.via.array.ptr;
  Count = Object.via.array.size;
}

const msgpack::object &array_reader::next() {
  if (Index == Count)
    throw malformed_record("field missing");
  return Items[Index++];
}

std::uint64_t array_reader::nextUnsigned() {
  const msgpack::object &Item = next();
  if (Item.type != msgpack::type::POSITIVE_INTEGER)
    throw malformed_record("unsigned number expected");
  return Item.via.u64;
}

std::int64_t array_reader::nextSigned() {
  const msgpack::object &Item = next();
  if (Item.type == msgpack::type::NEGATIVE_INTEGER)
    return Item.via.i64;
  const std::uint64_t Max = std::numeric_limits<std::int64_t>::max();
  if (Item.type != msgpack::type::POSITIVE_INTEGER || Item.via.u64 > Max)
    throw malformed_record("signed number expected");
  return static_cast<std::int64_t>(Item.via.u64);
}

std::string array_reader::nextString() {
  const msgpack::object &Item = next();
  if (Item.type != msgpack::type::STR)
    throw malformed_record("string expected");
  return std::string(Item.via.str.ptr, Item.via.str.size);
}

byte_string array_reader::nextBytes() {
  const msgpack::object &Item = next();
  if (Item.type != msgpack::type::BIN)
    throw malformed_record("bytes expected");
  return byte_string(Item.via.bin.ptr, Item.via.bin.ptr + Item.via.bin.size);
}

array_reader array_reader::nextArray() { return array_reader(next()); }

void packKey(packer &Packer, const request_key &Key) {
  Packer.pack(Key.High);
  Packer.pack(Key.Low);
}

request_key readKey(array_reader &Reader) {
  request_key Key;
  Key.High = Reader.nextUnsigned();
  Key.Low = Reader.nextUnsigned();
  return Key;
}

void packGrant(packer &Packer, const grant_id &Grant) {
  Packer.pack(Grant.Holder);
  Packer.pack(Grant.Number);
}

grant_id readGrant(array_reader &Reader) {
  grant_id Grant;
  Grant.Holder = Reader.nextUnsigned();
  const std::uint64_t Number = Reader.nextUnsigned();
  if (Number > std::numeric_limits<std::uint32_t>::max())
    throw malformed_record("grant number too large");
  Grant.Number = static_cast<std::uint32_t>(Number);
  return Grant;
}

void packBytes(packer &Packer, byte_view Bytes) {
  const std::uint32_t Size = static_cast<std::uint32_t>(Bytes.size());
  Packer.pack_bin(Size);
  Packer.pack_bin_body(reinterpret_cast<const char *>(Bytes.data()), Size);
}

byte_string toBytes(const msgpack::sbuffer &Buffer) {
  const std::uint8_t *Data =
      reinterpret_cast<const std::uint8_t *>(Buffer.data());
  return byte_string(Data, Data + Buffer.size());
}

byte_string encodeBatch(const ledger_batch &Batch) {
  msgpack::sbuffer Buffer;
  packer Packer(Buffer);
  Packer.pack_array(5);
  Packer.pack(RecordVersion);
  Packer.pack(Batch.Writer);
  Packer.pack(Batch.Number);
  Packer.pack(Batch.CreatedAt);
  Packer.pack_array(static_cast<std::uint32_t>(Batch.Entries.size()));
  for (const entry &Entry : Batch.Entries)
    std::visit(entry_packer{Packer}, Entry);
  return toBytes(Buffer);
}

std::optional<ledger_batch> decodeBatch(byte_view Bytes) {
  try {
    return readBatch(Bytes);
  } catch (const malformed_record &) {
    return std::nullopt;
  } catch (const msgpack::unpack_error &) {
    return std::nullopt;
  } catch (const std::bad_alloc &) { // A length field is damaged.
    return std::nullopt;
  }
}

} // namespace tamarack::ledger
