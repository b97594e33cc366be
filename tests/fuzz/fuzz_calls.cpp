// What callers and endpoints send: keys, events, answers.
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
  relay::event_stream_parser Splitter;
  calls::stream_validator Checker("request");
  Checker.checkHead("endpoint", "request", "stream");
  std::int64_t Last = 0;
  Splitter.push(Text);
  while (const auto Event = Splitter.next()) {
    Checker.checkEvent(Event->Id, Event->Data);
    if (Checker.nextPosition() < Last)
      std::abort();
    Last = Checker.nextPosition();
  }
  return 0;
}
