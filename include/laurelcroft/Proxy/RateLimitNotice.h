//===-- Proxy/RateLimitNotice.h - rate limits by datagram --------*- C++ -*-===//
//
// Tells other entries the rate limit that an endpoint has stated to one, so that they learn it
// without sending a request there.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_RATELIMITNOTICE_H
#define LAURELCROFT_PROXY_RATELIMITNOTICE_H

#include "laurelcroft/Support/Runtime.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// A rate limit stated by an endpoint.
struct rate_limit_notice
{
    /// How often a notice may be forwarded: each entry tells only some of the others.
    static constexpr unsigned maxHops = 2;
    /// Notices of older statements are rejected.
    static constexpr milliseconds maxAge{5000};

    std::string endpoint; ///< its id
    std::uint64_t startedAt = 0; ///< start of the endpoint, as in its record
    std::optional<double> perSecond; ///< empty when it states no limit
    milliseconds age{0}; ///< time since the answer that stated the limit
    unsigned hops = maxHops; ///< how often it may still be forwarded

    bool operator==(const rate_limit_notice &) const = default;
};

std::string encodeRateLimitNotice(const rate_limit_notice &notice);
/// \returns nothing for bytes that are no such notice, or have a number out of range.
std::optional<rate_limit_notice> decodeRateLimitNotice(std::string_view bytes);

} // namespace laurelcroft

#endif
