//===-- Proxy/PaceNotice.h - pace of endpoints by datagram ------*- C++ -*-===//
//
// Tells other entries how fast endpoints are, as learned from their answers to this entry. A lost
// notice only makes a worse routing decision.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_PACENOTICE_H
#define LAURELCROFT_PROXY_PACENOTICE_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// What one entry has learned about one endpoint.
struct pace_report
{
    std::string endpoint; ///< id of the endpoint
    unsigned statedPercent = 0; ///< lasting slowdown that it states; 0 if it states none
    unsigned observedPercent = 0; ///< mean observed time relative to the expected one
    unsigned samples = 0; ///< observed times

    bool operator==(const pace_report &) const = default;
};

/// Reports on the endpoints that have answered an entry lately.
struct pace_notice
{
    /// Maximum number of reports; they fit into one packet.
    static constexpr std::size_t maxReports = 16;
    /// Limits of a valid report.
    static constexpr unsigned maxPercent = 2000;
    static constexpr unsigned maxSamples = 100;

    std::vector<pace_report> reports;
    /// Tells of changes as they are seen. Such values say nothing about what lasts: they are sent
    /// more often while an endpoint's pace changes.
    bool tellsChanges = false;

    bool operator==(const pace_notice &) const = default;
};

std::string encodePaceNotice(const pace_notice &notice);
/// \returns nothing if \p bytes are not a valid pace notice or a number is out of range.
std::optional<pace_notice> decodePaceNotice(std::string_view bytes);

} // namespace laurelcroft

#endif
