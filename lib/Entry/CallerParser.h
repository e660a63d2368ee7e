//===-- CallerParser.h - parses callers' HTTP requests ----------*- C++ -*-===//
//
// Private to Entry: converts HTTP requests to typed messages, or to the error to return.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_ENTRY_CALLERPARSER_H
#define LAURELCROFT_LIB_ENTRY_CALLERPARSER_H

#include "laurelcroft/Entry/CallerRequest.h"
#include "laurelcroft/Support/Outcome.h"

#include <variant>

namespace laurelcroft {

/// Limits on the size of one request.
struct caller_limits
{
    std::size_t maxBodyBytes = 1U << 20; ///< in bytes
};

using parsed_request = std::variant<caller_request, status_request, models_request>;

/// \returns the typed request, with its id not set yet, or the error to return to the caller.
outcome<parsed_request, caller_error> parseCaller(const http_request &request,
                                                  const caller_limits &limits);

} // namespace laurelcroft

#endif
