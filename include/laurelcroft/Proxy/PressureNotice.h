//===-- Proxy/PressureNotice.h - pressure on services ------------*- C++ -*-===//
//
// Tells other entries how long requests have recently waited at a service. One entry of many sees a
// few answers per second only, too few to follow a load wave of some seconds. A lost notice only
// makes a worse decision.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_PRESSURENOTICE_H
#define LAURELCROFT_PROXY_PRESSURENOTICE_H

#include "laurelcroft/Policy/ServicePressure.h"

#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Reports what one entry has observed itself. It is not passed on.
struct pressure_notice
{
    std::string service;
    unsigned levelPercent = 0; ///< mean wait as a share of the objective
    unsigned samples = 0; ///< recent ones, decayed
    unsigned answersPerSecond = 0;

    bool operator==(const pressure_notice &) const = default;

    /// \returns the notice of \p report, with values limited to their valid ranges.
    static pressure_notice from(std::string service, const pressure_report &report,
                                double answersPerSecond);
    pressure_report report() const;
};

std::string encodePressureNotice(const pressure_notice &notice);
/// \returns nothing if \p bytes are not a valid pressure notice or a number is out of range.
std::optional<pressure_notice> decodePressureNotice(std::string_view bytes);

} // namespace laurelcroft

#endif
