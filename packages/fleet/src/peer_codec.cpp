// Peer messages as a sequence of MessagePack values: the version, the index of
// the message in its variant, and the fields.
//
// Each message has one function `fields` that lists its fields in order. The
// writer and the reader both use the function, so that encoding and decoding
// cannot differ.
#include "tamarack/fleet.hpp"

#include <msgpack.hpp>

namespace tamarack::fleet {

namespace {

constexpr std::uint64_t PeerVersion = 1; // Of the encoding.

struct bad_message : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Archive that encodes fields.
class writer {
public:
  explicit writer(msgpack::packer<msgpack::sbuffer> &Packer) : Packer(Packer) {}

  template <typename number> void scalar(number &Value) { Packer.pack(Value); }
  void text(std::string &Value) { Packer.pack(Value); }
  void bytes(byte_string &Value) {
    const std::uint32_t Size = static_cast<std::uint32_t>(Value.size());
    Packer.pack_bin(Size);
    Packer.pack_bin_body(reinterpret_cast<const char *>(Value.data()), Size);
  }
  // A list is packed as its length, then its items.
  template <typename item> void beginList(std::vector<item> &Items) {
    Packer.pack(static_cast<std::uint32_t>(Items.size()));
  }

private:
  msgpack::packer<msgpack::sbuffer> &Packer;
};

// Archive that decodes fields. Throws bad_message or an exception of msgpack if
// the bytes are no valid message.
class reader {
public:
  explicit reader(byte_view Bytes)
      : Data(reinterpret_cast<const char *>(Bytes.data())), Size(Bytes.size()) {
  }

  template <typename number> void scalar(number &Value) {
    Value = next().as<number>();
  }
  void text(std::string &Value) { Value = next().as<std::string>(); }
  void bytes(byte_string &Value) {
    const msgpack::object Object = next();
    if (Object.type != msgpack::type::BIN)
      throw bad_message("byte string expected");
    Value.assign(Object.via.bin.ptr, Object.via.bin.ptr + Object.via.bin.size);
  }
  template <typename item> void beginList(std::vector<item> &Items) {
    std::uint32_t Count = 0;
    scalar(Count);
    if (Count > Size) // An item takes at least one byte.
      throw bad_message("list is longer than the message");
    Items.resize(Count);
  }
  bool atEnd() const { return Offset == Size; }

private:
  // Messages contain only scalars, strings and byte strings: the limits refuse
  // arrays, maps, extension types and anything longer than the message.
  const msgpack::object &next() {
    const msgpack::unpack_limit Limit(0, 0, Size, Size, 0);
    Handle = msgpack::unpack(Data, Size, Offset, nullptr, nullptr, Limit);
    return Handle.get();
  }

  const char *Data;
  std::size_t Size;
  std::size_t Offset = 0;
  msgpack::object_handle Handle;
};

template <typename archive>
void fields(archive &Archive, ledger::grant_id &Value) {
  Archive.scalar(Value.Holder);
  Archive.scalar(Value.Number);
}

template <typename archive>
void fields(archive &Archive, ledger::request_key &Value) {
  Archive.scalar(Value.High);
  Archive.scalar(Value.Low);
}

template <typename archive>
void fields(archive &Archive, ledger::executor_id &Value) {
  Archive.scalar(Value.Incarnation);
  Archive.text(Value.Instance);
}

template <typename archive>
void fields(archive &Archive, money::reservation &Value) {
  fields(Archive, Value.Grant);
  Archive.scalar(Value.Id);
  fields(Archive, Value.Key);
  Archive.scalar(Value.Amount);
}

template <typename archive>
void fields(archive &Archive, money::witness_line &Value) {
  fields(Archive, Value.Grant);
  fields(Archive, Value.Line.Key);
  Archive.scalar(Value.Line.CreatedAt);
  Archive.scalar(Value.Line.Amount);
}

template <typename archive> void fields(archive &Archive, member_row &Value) {
  Archive.text(Value.Instance);
  Archive.text(Value.Zone);
  Archive.text(Value.PeerUrl);
  Archive.text(Value.HttpUrl);
  Archive.scalar(Value.Incarnation);
  Archive.scalar(Value.Heartbeat);
  Archive.scalar(Value.Leaving);
}

template <typename archive>
void fields(archive &Archive, member_heartbeat &Value) {
  Archive.scalar(Value.Incarnation);
  Archive.scalar(Value.Heartbeat);
  Archive.scalar(Value.Leaving);
}

template <typename archive>
void fields(archive &Archive, endpoint_load &Value) {
  Archive.scalar(Value.EndpointHash);
  Archive.scalar(Value.Running);
  Archive.scalar(Value.Waiting);
  Archive.scalar(Value.AgeMs);
  Archive.scalar(Value.Leaving);
}

template <typename archive> void fields(archive &Archive, std::string &Value) {
  Archive.text(Value);
}

template <typename archive> void fields(archive &Archive, byte_string &Value) {
  Archive.bytes(Value);
}

template <typename archive, typename item>
void list(archive &Archive, std::vector<item> &Items) {
  Archive.beginList(Items);
  for (item &Item : Items)
    fields(Archive, Item);
}

template <typename archive>
void fields(archive &Archive, gossip_request &Value) {
  fields(Archive, Value.Sender);
  list(Archive, Value.Heartbeats);
  Archive.scalar(Value.NextConfigOffset);
  list(Archive, Value.LeavingEndpoints);
  list(Archive, Value.EndpointLoads);
}

template <typename archive>
void fields(archive &Archive, gossip_response &Value) {
  list(Archive, Value.Rows);
  Archive.scalar(Value.NextConfigOffset);
  Archive.scalar(Value.FirstConfigOffset);
  list(Archive, Value.ConfigRecords);
  list(Archive, Value.LeavingEndpoints);
  list(Archive, Value.EndpointLoads);
}

template <typename archive>
void fields(archive &Archive, reserve_request &Value) {
  Archive.text(Value.Budget);
  fields(Archive, Value.Key);
  Archive.scalar(Value.Amount);
  Archive.scalar(Value.WaitMs);
  Archive.scalar(Value.Requester);
}

template <typename archive>
void fields(archive &Archive, reserve_response &Value) {
  std::uint8_t Refusal = static_cast<std::uint8_t>(Value.Refusal);
  Archive.scalar(Refusal);
  if (Refusal > static_cast<std::uint8_t>(money::refusal::Undecided))
    throw bad_message("unknown refusal");
  Value.Refusal = static_cast<money::refusal>(Refusal);
  fields(Archive, Value.Reservation);
}

template <typename archive>
void fields(archive &Archive, settle_request &Value) {
  Archive.text(Value.Budget);
  fields(Archive, Value.Reservation);
  Archive.scalar(Value.Minted);
  Archive.scalar(Value.Actual);
  Archive.scalar(Value.WaitMs);
}

template <typename archive>
void fields(archive &Archive, settle_response &Value) {
  Archive.scalar(Value.Replicated);
}

template <typename archive>
void fields(archive &Archive, release_request &Value) {
  Archive.text(Value.Budget);
  fields(Archive, Value.Reservation);
}

template <typename archive>
void fields(archive &Archive, claim_request &Value) {
  Archive.text(Value.Budget);
  fields(Archive, Value.Key);
  Archive.scalar(Value.Minted);
  fields(Archive, Value.Executor);
  Archive.scalar(Value.WaitMs);
}

template <typename archive>
void fields(archive &Archive, claim_response &Value) {
  Archive.scalar(Value.Decided);
  fields(Archive, Value.Executor);
}

template <typename archive>
void fields(archive &Archive, witness_request &Value) {
  Archive.scalar(Value.Stream);
  Archive.scalar(Value.Update.Witness);
  list(Archive, Value.Update.OpenedGrants);
  list(Archive, Value.Update.Lines);
  list(Archive, Value.Update.LoggedLines);
}

template <typename archive>
void fields(archive &Archive, witness_response &Value) {
  list(Archive, Value.RefusedGrants);
}

template <typename archive> void fields(archive &, empty_response &) {}

template <typename archive>
void fields(archive &Archive, error_response &Value) {
  Archive.text(Value.Text);
}

template <typename message> byte_string encodeMessage(message Message) {
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Packer(Buffer);
  Packer.pack(PeerVersion);
  Packer.pack(static_cast<std::uint64_t>(Message.index()));
  writer Writer(Packer);
  std::visit([&Writer](auto &Value) { fields(Writer, Value); }, Message);
  const std::uint8_t *Data =
      reinterpret_cast<const std::uint8_t *>(Buffer.data());
  return byte_string(Data, Data + Buffer.size());
}

// Reads the alternative of the variant whose index is Kind.
template <typename message, std::size_t Index = 0>
message readAlternative(std::uint64_t Kind, reader &Reader) {
  if constexpr (Index == std::variant_size_v<message>) {
    throw bad_message("unknown message kind");
  } else {
    if (Kind != Index)
      return readAlternative<message, Index + 1>(Kind, Reader);
    std::variant_alternative_t<Index, message> Value;
    fields(Reader, Value);
    return Value;
  }
}

template <typename message>
std::optional<message> decodeMessage(byte_view Bytes) {
  try {
    reader Reader(Bytes);
    std::uint64_t Version = 0;
    std::uint64_t Kind = 0;
    Reader.scalar(Version);
    Reader.scalar(Kind);
    if (Version != PeerVersion)
      return std::nullopt;
    message Message = readAlternative<message>(Kind, Reader);
    if (!Reader.atEnd())
      return std::nullopt;
    return Message;
  } catch (const bad_message &) {
    return std::nullopt;
  } catch (const msgpack::unpack_error &) {
    return std::nullopt;
  } catch (const msgpack::type_error &) {
    return std::nullopt;
  } catch (const std::bad_alloc &) {
    return std::nullopt;
  }
}

} // namespace

byte_string encodeRequest(const peer_request &Request) {
  return encodeMessage(Request);
}

byte_string encodeResponse(const peer_response &Response) {
  return encodeMessage(Response);
}

std::optional<peer_request> decodeRequest(byte_view Bytes) {
  return decodeMessage<peer_request>(Bytes);
}

std::optional<peer_response> decodeResponse(byte_view Bytes) {
  return decodeMessage<peer_response>(Bytes);
}

} // namespace tamarack::fleet
