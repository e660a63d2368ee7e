//===-- ServicePressure.cpp - recent waits at a service -------------------===//
//
// An exponentially weighted mean with one assumed sample of no wait.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/ServicePressure.h"

#include <algorithm>
#include <cmath>

using namespace laurelcroft;

namespace {

/// Half-life of a sample: some answers of an entry with few requests, and a part of the seconds
/// over which load rises and falls.
constexpr milliseconds sampleHalfLife{700};
/// Weight of the assumed sample, so that one long wait after a quiet time counts little.
constexpr double assumedWeight = 1;

} // namespace

double service_pressure::decayUntil(time_point now) const
{
    const double halves = std::chrono::duration<double>(now - m_updatedAt)
            / std::chrono::duration<double>(sampleHalfLife);
    return std::exp2(-std::max(0.0, halves));
}

void service_pressure::addSample(double share, time_point now)
{
    const double keep = decayUntil(now);
    m_weight = m_weight * keep + 1;
    m_sum = m_sum * keep + std::max(0.0, share);
    m_updatedAt = now;
}

double service_pressure::level(time_point now) const
{
    const double keep = decayUntil(now);
    return m_sum * keep / (m_weight * keep + assumedWeight);
}
