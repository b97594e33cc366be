// Fuzzes the readers of configuration files and records. Any input must be
// accepted or rejected without a crash, and an accepted document must have the
// same digest after it was written and read again.
#include "tamarack/config.hpp"

#include <cstdlib>

using namespace tamarack;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  const config::read_result Result = config::readDocument(Text);
  if (Result.Errors.empty()) {
    const config::read_result Reread =
        config::readDocument(config::writeDocument(Result.Document));
    if (Reread.Document.digest() != Result.Document.digest())
      std::abort();
  }
  config::config_fold Fold;
  Fold.apply(0, byte_view(Data, Size));
  Fold.restore(byte_view(Data, Size));
  return 0;
}
