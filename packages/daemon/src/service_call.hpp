// Serves calls of plain services at /services/<service>/<path>.
#pragma once

#include "call_context.hpp"

namespace tamarack::daemon {

// Serves one call; Path is the part behind the service name, with the query.
// Throws calls::call_error if no part of a response was sent.
void serveService(call_context &Context, std::string_view Service,
                  const std::string &Path);

} // namespace tamarack::daemon
