// Appends to the platform's log for a command.
#pragma once

#include "tamarack/ports.hpp"

namespace tamarack::control {

// Appends Body to Stream. Tries again for some seconds while the log is
// unavailable, then throws log_unavailable. The record may be stored twice.
void appendWithRetries(append_log &Log, std::string_view Stream,
                       byte_view Body);

} // namespace tamarack::control
