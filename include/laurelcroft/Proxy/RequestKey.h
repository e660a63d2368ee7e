//===-- Proxy/RequestKey.h - a request that comes again ----------*- C++ -*-===//
//
// A caller gives each try an id of its own, so that nothing on the wire tells that a request has
// come before. Its caller, path and body do.
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

/// Names a request by its caller, path and body: the same at all entries and at each try.
using request_key = std::uint64_t;

/// \returns the key of \p request: a hash under the caller's own secret, so that nobody who reads
/// a log or a row can try bodies out. Reads the whole body.
request_key keyOf(const proxy_request &request);

/// \returns \p key as it stands in logs and rows: 16 hexadecimal digits.
std::string textOf(request_key key);

/// \returns the key that \p text spells; nothing for other texts.
std::optional<request_key> parseRequestKey(std::string_view text);

} // namespace laurelcroft

#endif
