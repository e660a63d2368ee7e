//===-- Proxy/BackoffNotice.h - refusing endpoints by datagram ---*- C++ -*-===//
//
// Notifies other entries that an endpoint has refused a request with a Retry-After, so that they
// prefer other endpoints. The Retry-After itself is addressed to one entry only: a lost notice only
// makes a worse routing decision.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_BACKOFFNOTICE_H
#define LAURELCROFT_PROXY_BACKOFFNOTICE_H

#include "laurelcroft/Support/Runtime.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Reports that an endpoint has refused a request of an entry.
struct backoff_notice
{
    /// Longer times are shortened to this: the endpoint may refuse one entry only, and others must
    /// try it again.
    static constexpr milliseconds maxTime{10'000};

    std::string endpoint; ///< id of the endpoint
    std::uint64_t startedAt = 0; ///< start time of the endpoint, as in its record
    milliseconds time{0}; ///< time for which it wants no requests

    bool operator==(const backoff_notice &) const = default;
};

std::string encodeBackoffNotice(const backoff_notice &notice);
/// \returns nothing if \p bytes are not a valid backoff notice or a number is out of range.
std::optional<backoff_notice> decodeBackoffNotice(std::string_view bytes);

} // namespace laurelcroft

#endif
