// Numbers as they appear in log lines.
#pragma once

#include <cstdint>
#include <cstdio>
#include <string>

namespace tamarack::daemon {

inline std::string toHex(std::uint64_t Number) {
  char Text[20];
  std::snprintf(Text, sizeof Text, "%llx",
                static_cast<unsigned long long>(Number));
  return Text;
}

} // namespace tamarack::daemon
