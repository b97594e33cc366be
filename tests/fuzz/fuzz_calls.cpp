// Fuzzes the parsers of request keys and event streams. A key with a time must
// have a positive one, and the position in a stream must never decrease.
#include "tamarack/calls.hpp"

#include "tamarack/relay.hpp"

#include <cstdlib>

using namespace tamarack;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  const calls::idempotency_key Key = calls::parseKey(Text);
  if (Key.Form != calls::key_form::Opaque && Key.MintedAt <= 0)
    std::abort();
  relay::event_stream_parser Parser;
  calls::stream_validator Validator("request");
  Validator.checkHead("endpoint", "request", "stream");
  std::int64_t LastPosition = 0;
  Parser.push(Text);
  while (const auto Event = Parser.next()) {
    Validator.checkEvent(Event->Id, Event->Data);
    if (Validator.nextPosition() < LastPosition)
      std::abort();
    LastPosition = Validator.nextPosition();
  }
  return 0;
}
