//===-- Policy/UsualTime.h - usual time of a kind of work -------*- C++ -*-===//
//
// The geometric mean of recent times. It follows a load that changes within seconds, so that an
// endpoint is compared with the others under the same load. Not thread-safe.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_USUALTIME_H
#define LAURELCROFT_POLICY_USUALTIME_H

#include "laurelcroft/Support/Runtime.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace laurelcroft {

/// The usual time of one kind of work at this entry.
class usual_time
{
public:
    /// Adds a sample.
    /// \returns its ratio to the usual time before it; nothing for the first samples.
    std::optional<double> add(duration time)
    {
        const double sample
                = std::log(std::max(std::chrono::duration<double>(time).count(), minTimeSeconds));
        const double ratio = std::exp(sample - m_logMean);
        ++m_samples;
        m_logMean += std::max(sampleWeight, 1.0 / m_samples) * (sample - m_logMean);
        if (m_samples <= minSamples)
            return std::nullopt;
        return ratio;
    }

private:
    /// Weight of one sample: the mean covers the last 30.
    static constexpr double sampleWeight = 1.0 / 30;
    /// Samples before the mean is used: several endpoints have answered by then.
    static constexpr unsigned minSamples = 8;
    /// Below the resolution of timers and networks.
    static constexpr double minTimeSeconds = 1e-4;

    double m_logMean = 0; ///< of seconds
    unsigned m_samples = 0;
};

} // namespace laurelcroft

#endif
