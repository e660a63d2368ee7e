//===-- Fleet/EndpointPace.h - how long work takes there ---------*- C++ -*-===//
//
// How long work takes at one endpoint, relative to what is usual for its service. Load: endpoints
// of unlike speed, some of which slow down for a moment because they share their machines.
//
// Two sources: what the endpoint states in its answers, and times that entries observe. Each has a
// lasting part, which is forgotten over tens of seconds, so that an endpoint that nobody has used
// for a while is tried again. A stated value that differs from the lasting one is a moment that
// passes within a second, unless the endpoint's values have shown to hold longer. Not thread-safe.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_FLEET_ENDPOINTPACE_H
#define LAURELCROFT_FLEET_ENDPOINTPACE_H

#include "laurelcroft/Support/Runtime.h"

#include <array>
#include <cstddef>

namespace laurelcroft {

/// The pace of one endpoint. All slowdowns are factors; 2 means that work takes twice as long.
class endpoint_pace
{
public:
    /// Range of valid slowdowns. A machine slower than the maximum serves nobody in time; the
    /// minimum limits how many requests a wrong value can attract.
    static constexpr double minSlowdown = 0.1;
    static constexpr double maxSlowdown = 20;

    /// Records the slowdown that an answer to this or another entry states. A value outside of the
    /// valid range is ignored.
    void noteStated(double slowdown, time_point now);

    /// Records a changed slowdown that another entry has seen. It does not count for what lasts.
    void noteMoment(double slowdown, time_point now);

    /// Records an observed time.
    /// \param ratio the observed time divided by the one expected at the stated slowdown.
    /// \param weight of the observation, in samples.
    void addObservation(double ratio, double weight, time_point now);

    /// \returns true if the endpoint has ever stated a valid slowdown.
    bool isStated() const { return m_isStated; }

    /// \returns the slowdown that was stated last; 1 if none was.
    double lastStated() const { return m_lastStated; }

    /// \returns the lasting slowdown that the endpoint states; 1 if it is not known.
    double statedUsual(time_point now) const;

    /// \returns the lasting slowdown, as stated and observed; 1 if nothing is known.
    double usual(time_point now) const;

    /// \returns the slowdown of work that starts now.
    double slowdown(time_point now) const;

    /// \returns the slowdown of the requests that run there now: the lasting one, or that of the
    /// moment if moments have shown to hold longer than such a request.
    double batchSlowdown(time_point now) const;

    /// \returns the half-life of a stated value that differs from the lasting one, as learned from
    /// the values that followed such ones.
    duration momentHalfLife() const;

    /// \returns the expected time, in milliseconds, of work that starts now and usually takes
    /// \p workMs at the service's endpoints.
    double expectedMs(double workMs, time_point now) const;

private:
    /// Number of stated values from which the lasting slowdown is taken.
    static constexpr std::size_t maxValues = 5;
    /// A single value may be a moment.
    static constexpr std::size_t minValues = 2;

    /// \returns the lasting part of the latest stated values; 1 if there are too few.
    double computeLasting() const;
    double observed(time_point now) const;
    /// \returns the latest stated value relative to the lasting one, when it was stated.
    double moment() const;
    /// Learns whether the latest stated value has held until \p now, when \p next is stated.
    void noteHold(double next, time_point now);

    bool m_isStated = false;
    double m_lastStated = 1;
    time_point m_statedAt{};
    std::array<double, maxValues> m_values{}; ///< latest stated values, a ring
    std::size_t m_count = 0; ///< values ever added
    double m_lasting = 1; ///< of the values; kept, since each choice reads it for each endpoint
    double m_heldSeconds = 0; ///< for which stated moments have held, decayed
    double m_momentEnds = 0; ///< of stated moments, decayed like m_heldSeconds
    double m_logSum = 0; ///< weighted sum of the logarithms of observed ratios
    double m_weight = 0; ///< of the observations
    time_point m_observedAt{};
};

/// \returns \p time, observed at an endpoint with \p slowdown, as it would be at a usual one.
inline duration atUsualPace(duration time, double slowdown)
{
    return slowdown == 1 ? time : std::chrono::duration_cast<duration>(time / slowdown);
}

} // namespace laurelcroft

#endif
