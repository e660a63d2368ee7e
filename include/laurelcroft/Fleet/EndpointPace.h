//===-- Fleet/EndpointPace.h - how long work takes there ---------*- C++ -*-===//
//
// An endpoint that shares its machine states in its answers how long work takes there at that
// moment, relative to its usual time. The value changes several times per second, so its weight
// falls with its age. Not thread-safe.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_FLEET_ENDPOINTPACE_H
#define LAURELCROFT_FLEET_ENDPOINTPACE_H

#include "laurelcroft/Support/Runtime.h"

namespace laurelcroft {

/// The pace of one endpoint.
class endpoint_pace
{
public:
    /// Records the slowdown that an answer states. A value outside of the valid range is ignored.
    void noteStated(double slowdown, time_point now);

    /// \returns true if the endpoint has ever stated a valid slowdown.
    bool isStated() const { return m_isStated; }

    /// \returns the expected time of work that starts now, relative to the usual time of the
    /// service's endpoints; 1 if nothing is known.
    double slowdown(time_point now) const;

private:
    bool m_isStated = false;
    double m_stated = 1;
    time_point m_statedAt{};
};

} // namespace laurelcroft

#endif
