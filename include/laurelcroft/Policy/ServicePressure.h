//===-- Policy/ServicePressure.h - recent waits at a service ----*- C++ -*-===//
//
// How long requests have recently waited at one service for the first part of an answer, as a share
// of the latency objective. Pressure rises when more is asked for than the endpoints have room for.
// Samples lose weight with time, so that the value follows the load also at an entry that gets few
// requests. Other entries report theirs, since a load wave passes before one entry of many has seen
// enough answers. Not thread-safe.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_SERVICEPRESSURE_H
#define LAURELCROFT_POLICY_SERVICEPRESSURE_H

#include "laurelcroft/Support/Runtime.h"

namespace laurelcroft {

/// The pressure on a service as one entry has observed it.
struct pressure_report
{
    /// Largest mean that is believed. Beyond it everybody is late already.
    static constexpr double maxLevel = 1;
    /// Largest weight that is believed, so that one entry can't outvote all others.
    static constexpr double maxWeight = 10;

    double level = 0; ///< mean wait as a share of the objective
    double weight = 0; ///< number of recent samples, decayed
};

/// The pressure on one service, as known to this entry.
class service_pressure
{
public:
    /// Adds the wait of one request for the first part of its answer.
    /// \param share the wait divided by the latency objective.
    void addSample(double share, time_point now);

    /// Adds what another entry has observed. Values out of range are clamped.
    void addReport(const pressure_report &report, time_point now);

    /// \returns the weighted mean of recent waits, as a share of the objective. Falls to 0 when no
    /// samples arrive.
    double level(time_point now) const;

    /// \returns what this entry has observed itself. Reports of others are never passed on.
    pressure_report own(time_point now) const;

private:
    /// Decayed sums over samples.
    struct sums
    {
        double weight = 0;
        double shares = 0;
        time_point updatedAt{};

        /// \returns the sums at \p now.
        sums at(time_point now) const;
        void add(double count, double share, time_point now);
    };

    sums m_own;
    sums m_reported;
};

} // namespace laurelcroft

#endif
