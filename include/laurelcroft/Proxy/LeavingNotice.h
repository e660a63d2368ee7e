//===-- Proxy/LeavingNotice.h - leaving endpoints by datagram ----*- C++ -*-===//
//
// Tells other entries that an endpoint has stated that it is leaving, so that they stop sending
// requests to it before they receive such an answer themselves.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_LEAVINGNOTICE_H
#define LAURELCROFT_PROXY_LEAVINGNOTICE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Reports that an endpoint has stated that it is leaving. Valid until the endpoint starts again.
struct leaving_notice
{
    /// Maximum number of forwards. More than one is needed since an entry sends to some others
    /// only.
    static constexpr unsigned maxHops = 2;

    std::string endpoint; ///< id of the endpoint
    std::uint64_t startedAt = 0; ///< start time of the endpoint, as in its record
    unsigned hops = maxHops; ///< remaining forwards

    bool operator==(const leaving_notice &) const = default;
};

std::string encodeLeavingNotice(const leaving_notice &notice);
/// \returns nothing if \p bytes are not a valid leaving notice or a number is out of range.
std::optional<leaving_notice> decodeLeavingNotice(std::string_view bytes);

} // namespace laurelcroft

#endif
