// How fast the bytes of a request arrive that is not complete yet. Decides
// which unfinished requests give way to others when the memory is full.
#pragma once

#include "tamarack/edge.hpp"

namespace tamarack::edge {

// Times are monotonic. The rate is that of the last one to two windows.
class request_progress {
public:
  // The rule must outlive it.
  explicit request_progress(const slow_request_rule &Rule) : Rule(Rule) {}

  void begin(time_ms Now);
  void add(std::size_t Bytes, time_ms Now);
  double bytesPerSecond(time_ms Now) const;
  // True if the request gives way to others.
  bool isSlow(time_ms Now) const;

private:
  const slow_request_rule &Rule;
  time_ms BeganAt = 0;
  time_ms WindowAt = 0; // Start of the current window.
  std::size_t WindowBytes = 0;
  std::size_t EarlierBytes = 0; // Of the window before.
};

// What an unfinished request holds and how fast it comes.
struct unfinished_request {
  double BytesPerSecond = 0;
  std::size_t HeldBytes = 0;
};

// True if First gives way before Second: the slower one, then the larger one.
bool givesWayBefore(const unfinished_request &First,
                    const unfinished_request &Second);

} // namespace tamarack::edge
