//===-- EndpointPace.cpp - how long work takes there ----------------------===//
//
// The stated slowdown decays towards 1.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Fleet/EndpointPace.h"

#include <algorithm>
#include <cmath>

using namespace laurelcroft;

namespace {

/// Half-life of a stated slowdown. Endpoints state a new value several times per second.
constexpr milliseconds statedHalfLife{300};
/// Range of valid values. A machine that is slower than the maximum serves nobody in time.
constexpr double minSlowdown = 0.1;
constexpr double maxSlowdown = 20;

} // namespace

void endpoint_pace::noteStated(double slowdown, time_point now)
{
    if (!(slowdown >= minSlowdown && slowdown <= maxSlowdown))
        return;
    m_isStated = true;
    m_stated = slowdown;
    m_statedAt = now;
}

double endpoint_pace::slowdown(time_point now) const
{
    const double halves = std::chrono::duration<double>(now - m_statedAt)
            / std::chrono::duration<double>(statedHalfLife);
    return 1 + (m_stated - 1) * std::exp2(-std::max(0.0, halves));
}
