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

/// An endpoint that has stated that it is leaving. Valid until the endpoint starts again.
struct leaving_notice
{
    /// How often a notice may be forwarded: each entry tells only some of the others.
    static constexpr unsigned maxHops = 2;

    std::string endpoint; ///< its id
    std::uint64_t startedAt = 0; ///< start of the endpoint, as in its record
    unsigned hops = maxHops; ///< how often it may still be forwarded

    bool operator==(const leaving_notice &) const = default;
};

std::string encodeLeavingNotice(const leaving_notice &notice);
/// \returns nothing for bytes that are not a leaving notice or have a number out of range.
std::optional<leaving_notice> decodeLeavingNotice(std::string_view bytes);

} // namespace laurelcroft

#endif
