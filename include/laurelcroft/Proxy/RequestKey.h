//===-- Proxy/RequestKey.h - key of a repeated request -----------*- C++ -*-===//
//
// Callers use a new request id for each retry, so that the id does not identify repeated requests.
// The key is derived from the caller, the path and the body instead.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_REQUESTKEY_H
#define LAURELCROFT_PROXY_REQUESTKEY_H

#include "laurelcroft/Proxy/ProxyTypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Identifies a request by its caller, target and body. Equal at all entries and for all retries.
using request_key = std::uint64_t;

/// \returns the key of \p request. The hash is keyed with the caller's secret, so that readers of
/// logs or rows cannot find out the body by guessing. Hashes the whole body.
request_key keyOf(const proxy_request &request);

/// \returns \p key as written to logs and rows: 16 hexadecimal digits.
std::string textOf(request_key key);

/// Parses the result of textOf(). \returns nothing for any other text.
std::optional<request_key> parseRequestKey(std::string_view text);

} // namespace laurelcroft

#endif
