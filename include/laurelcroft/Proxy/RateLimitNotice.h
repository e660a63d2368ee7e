//===-- Proxy/RateLimitNotice.h - rate limits by datagram --------*- C++ -*-===//
//
// Sends the rate limit that an endpoint has stated to one entry to other entries, so that they
// learn it without sending a request there.
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

/// Reports the rate limit that an endpoint has stated.
struct rate_limit_notice
{
    /// Maximum number of forwards. More than one is needed since an entry sends to some others
    /// only.
    static constexpr unsigned maxHops = 2;
    /// Notices of older statements are rejected.
    static constexpr milliseconds maxAge{5000};

    std::string endpoint; ///< id of the endpoint
    std::uint64_t startedAt = 0; ///< start time of the endpoint, as in its record
    std::optional<double> perSecond; ///< empty if it states no limit
    milliseconds age{0}; ///< time since the answer that stated the limit
    unsigned hops = maxHops; ///< remaining forwards

    bool operator==(const rate_limit_notice &) const = default;
};

std::string encodeRateLimitNotice(const rate_limit_notice &notice);
/// \returns nothing if \p bytes are not a valid rate limit notice or a number is out of range.
std::optional<rate_limit_notice> decodeRateLimitNotice(std::string_view bytes);

} // namespace laurelcroft

#endif
