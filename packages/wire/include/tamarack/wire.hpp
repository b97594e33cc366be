// Messages and records as MessagePack tuples, whose first element is the
// version of the format.
#pragma once

#include <cstddef>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace tamarack::wire {

template <typename Form> std::string pack(const Form &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return std::string(Buffer.data(), Buffer.size());
}

// Empty if Bytes are not of this form and version. No length in Bytes makes
// this allocate much more than Bytes have.
template <typename Form>
std::optional<Form> unpack(std::string_view Bytes, int FormatVersion) {
  try {
    const std::size_t Size = Bytes.size();
    const msgpack::unpack_limit Limit(Size, Size, Size, Size, Size);
    const msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Size, nullptr, nullptr, Limit);
    Form Value;
    Handle.get().convert(Value);
    if (std::get<0>(Value) != FormatVersion)
      return std::nullopt;
    return Value;
  } catch (const std::exception &) {
    // The caller handles or counts what can't be read.
    return std::nullopt;
  }
}

} // namespace tamarack::wire
