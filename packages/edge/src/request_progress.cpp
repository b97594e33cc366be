// How fast the bytes of a request arrive.
#include "request_progress.hpp"

namespace tamarack::edge {

namespace {

constexpr double MsPerSecond = 1'000;

} // namespace

void request_progress::begin(time_ms Now) {
  BeganAt = Now;
  WindowAt = Now;
  WindowBytes = 0;
  EarlierBytes = 0;
}

void request_progress::add(std::size_t Bytes, time_ms Now) {
  const time_ms Age = Now - WindowAt;
  if (Age >= Rule.WindowMs) {
    // A window that ended long ago says nothing about the last one.
    EarlierBytes = Age < 2 * Rule.WindowMs ? WindowBytes : 0;
    WindowBytes = 0;
    WindowAt = Now;
  }
  WindowBytes += Bytes;
}

double request_progress::bytesPerSecond(time_ms Now) const {
  const time_ms Age = Now - WindowAt;
  if (Age >= 2 * Rule.WindowMs)
    return 0; // Nothing came in the last window.
  const bool IsOver = Age >= Rule.WindowMs;
  const std::size_t Bytes = IsOver ? WindowBytes : EarlierBytes + WindowBytes;
  const time_ms Ms = IsOver ? Age : Rule.WindowMs + Age;
  return static_cast<double>(Bytes) * MsPerSecond / static_cast<double>(Ms);
}

bool request_progress::isSlow(time_ms Now) const {
  const bool IsJudged = Now - BeganAt >= Rule.WindowMs;
  return IsJudged && bytesPerSecond(Now) < Rule.MinBytesPerSecond;
}

bool givesWayBefore(const unfinished_request &First,
                    const unfinished_request &Second) {
  if (First.BytesPerSecond != Second.BytesPerSecond)
    return First.BytesPerSecond < Second.BytesPerSecond;
  return First.HeldBytes > Second.HeldBytes;
}

} // namespace tamarack::edge
