//===-- Proxy/PromptPartKeys.h - keys of prompt parts ------------*- C++ -*-===//
//
// Requests that differ in everything else may share a part of their prompts, and that part alone
// may crash endpoints. Each part has two keys: one for all customers and one for the customer of
// the request. While only one customer's requests crash endpoints, both have the same crashes, and
// other customers' requests with the part are not withheld.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_PROMPTPARTKEYS_H
#define LAURELCROFT_PROXY_PROMPTPARTKEYS_H

#include "laurelcroft/Proxy/ProxyTypes.h"
#include "laurelcroft/Proxy/RequestKey.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// Number of parts of a prompt that get keys, the first ones.
inline constexpr std::size_t maxKeyedParts = 16;

/// \returns the keys of the shared parts of \p request, without duplicates. The last part has none,
/// since it belongs to the request alone.
std::vector<request_key> partKeysOf(const proxy_request &request, std::string_view customer);

/// \returns \p keys as written to logs, separated by commas; \p longest of them at most.
std::string textOfKeys(std::span<const request_key> keys, std::size_t longest);

} // namespace laurelcroft

#endif
