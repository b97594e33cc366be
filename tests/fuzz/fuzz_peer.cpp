// Messages between daemons: any bytes are a message or nothing.
#include "tamarack/fleet.hpp"

#include <cstdlib>

using namespace tamarack;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const byte_view Bytes(Data, Size);
  const auto Request = fleet::decodeRequest(Bytes);
  if (Request && !fleet::decodeRequest(fleet::encodeRequest(*Request)))
    std::abort();
  const auto Answer = fleet::decodeResponse(Bytes);
  if (Answer && !fleet::decodeResponse(fleet::encodeResponse(*Answer)))
    std::abort();
  return 0;
}
