// Fuzzes what other writers leave in the platform's store: entries of endpoints
// and configurations. Any bytes must be rejected, or decode to values within
// their bounds that the directory can be given.
#include "tamarack/follow.hpp"
#include "tamarack/platform.hpp"

#include <cstdlib>

using namespace tamarack;

namespace {

constexpr std::int64_t LastStart = 253'402'300'799'999; // Unix ms, year 9999.

void require(bool Condition) {
  if (!Condition)
    std::abort();
}

void applyEntry(std::string_view Id, std::string_view Json) {
  dispatch::endpoint_entry Entry;
  try {
    Entry = platform::decodeEndpointEntry(Id, Json);
  } catch (const platform::document_error &) {
    return;
  }
  require(Entry.Slots >= 1 && Entry.WarmUpMs >= 0 && Entry.Sequence >= 0);
  require(Entry.StartedAt >= 0 && Entry.StartedAt <= LastStart);
  require(!Entry.Service.empty() && !Entry.Version.empty());
  follow::endpoint_directory Directory;
  Directory.onEntry(Entry);
  Directory.update(0);
  require(Directory.entries().size() == 1);
}

void applyConfiguration(std::string_view Json) {
  try {
    require(platform::decodeConfiguration(Json)->Version >= 0);
  } catch (const platform::document_error &) {
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  applyEntry("e", Text);
  applyEntry(Text.substr(0, 16), R"({"service": "s", "address": "10.0.0.1:80",
    "zone": "z", "version": "v", "slots": 1, "state": "ready"})");
  applyConfiguration(Text);
  return 0;
}
