// Measures how long a ready socket waits for the event loop.
#include "tamarack/edge.hpp"

#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace tamarack::edge {

readiness_probe::readiness_probe(net::io_context &Context, const clock &Clock)
    : Clock(Clock), Receiver(Context), Sender(Context) {
  int Ends[2] = {};
  if (::pipe2(Ends, O_NONBLOCK | O_CLOEXEC) != 0)
    return; // No descriptor is left: nothing is measured.
  Receiver.assign(Ends[0]);
  Sender.assign(Ends[1]);
}

void readiness_probe::tick() {
  if (SentAt >= 0 || !Receiver.is_open())
    return;
  startRead();
  error_code Error;
  SentAt = Clock.monotonic();
  Sender.write_some(net::buffer(&Byte, 1), Error);
  if (!Error)
    return;
  SentAt = -1;
  Receiver.cancel(Error);
}

void readiness_probe::startRead() {
  Receiver.async_read_some(
      net::buffer(&Byte, 1), [this](const error_code &Error, std::size_t) {
        if (Error)
          return;
        LongestWaitMs = std::max(LongestWaitMs, Clock.monotonic() - SentAt);
        SentAt = -1;
      });
}

time_ms readiness_probe::takeLongestWait() {
  const time_ms InProgressMs = SentAt < 0 ? 0 : Clock.monotonic() - SentAt;
  return std::max(std::exchange(LongestWaitMs, 0), InProgressMs);
}

} // namespace tamarack::edge
