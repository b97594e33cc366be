// Fuzzes the decoders of messages between daemons. Any bytes must decode to a
// message that can be encoded and decoded again, or be rejected.
#include "tamarack/fleet.hpp"

#include <cstdlib>

using namespace tamarack;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const byte_view Bytes(Data, Size);
  const auto Request = fleet::decodeRequest(Bytes);
  if (Request && !fleet::decodeRequest(fleet::encodeRequest(*Request)))
    std::abort();
  const auto Response = fleet::decodeResponse(Bytes);
  if (Response && !fleet::decodeResponse(fleet::encodeResponse(*Response)))
    std::abort();
  return 0;
}
