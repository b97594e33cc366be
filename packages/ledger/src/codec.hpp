// MessagePack helpers shared by the record codec and the checkpoint codec.
#pragma once

#include "tamarack/ledger.hpp"

#include <msgpack.hpp>

namespace tamarack::ledger {

using packer = msgpack::packer<msgpack::sbuffer>;

// Thrown and caught within the codecs; their callers get an empty result.
struct malformed_record : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Reads the elements of one MessagePack array in order.
class array_reader {
public:
  // Throws malformed_record if Object is not an array.
  explicit array_reader(const msgpack::object &Object);

  std::uint64_t nextUnsigned();
  std::int64_t nextSigned();
  std::string nextString();
  byte_string nextBytes();
  array_reader nextArray();
  bool atEnd() const { return Index == Count; }
  std::size_t size() const { return Count; }

private:
  const msgpack::object &next();

  const msgpack::object *Items = nullptr;
  std::size_t Count = 0;
  std::size_t Index = 0;
};

// Unpacks one object. Rejects lists that claim more items than there are bytes,
// so that damaged lengths allocate no memory. Throws msgpack::unpack_error.
msgpack::object_handle unpackBounded(byte_view Bytes);

void packKey(packer &Packer, const request_key &Key);
request_key readKey(array_reader &Reader);
void packGrant(packer &Packer, const grant_id &Grant);
grant_id readGrant(array_reader &Reader);
void packBytes(packer &Packer, byte_view Bytes);
byte_string toBytes(const msgpack::sbuffer &Buffer);

} // namespace tamarack::ledger
