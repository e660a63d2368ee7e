//===-- Policy/ServicePressure.h - recent waits at a service ----*- C++ -*-===//
//
// How long requests have recently waited at one service for the first part of an answer, as a share
// of the latency objective. Pressure rises when more is asked for than the endpoints have room for.
// Samples lose weight with time, so that the value follows the load also at an entry that gets few
// requests. Not thread-safe.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_SERVICEPRESSURE_H
#define LAURELCROFT_POLICY_SERVICEPRESSURE_H

#include "laurelcroft/Support/Runtime.h"

namespace laurelcroft {

/// The pressure on one service, as known to this entry.
class service_pressure
{
public:
    /// Adds the wait of one request for the first part of its answer.
    /// \param share the wait divided by the latency objective.
    void addSample(double share, time_point now);

    /// \returns the weighted mean of recent waits, as a share of the objective. Falls to 0 when no
    /// samples arrive.
    double level(time_point now) const;

private:
    /// \returns the factor by which weights have fallen since the last sample.
    double decayUntil(time_point now) const;

    double m_weight = 0; ///< of all samples
    double m_sum = 0; ///< weighted sum of the samples
    time_point m_updatedAt{};
};

} // namespace laurelcroft

#endif
