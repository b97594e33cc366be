// Appends to the platform's log for a command.
#include "log_append.hpp"

#include <chrono>
#include <thread>

namespace tamarack::control {

namespace {

constexpr int MaxAttempts = 40;
constexpr std::chrono::milliseconds RetryInterval{250};

} // namespace

void appendWithRetries(append_log &Log, std::string_view Stream,
                       byte_view Body) {
  for (int Attempt = 1;; ++Attempt) {
    try {
      Log.append(Stream, Body);
      return;
    } catch (const log_unavailable &) {
      if (Attempt == MaxAttempts)
        throw;
      std::this_thread::sleep_for(RetryInterval);
    }
  }
}

} // namespace tamarack::control
