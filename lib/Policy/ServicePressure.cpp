//===-- ServicePressure.cpp - recent waits at a service -------------------===//
//
// An exponentially weighted mean with one assumed sample of no wait.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/ServicePressure.h"

#include "laurelcroft/Support/Decay.h"

#include <algorithm>

using namespace laurelcroft;

namespace {

/// Half-life of a sample: some answers of an entry with few requests, and a part of the seconds
/// over which load rises and falls.
constexpr milliseconds sampleHalfLife{700};
/// Weight of the assumed sample, so that one long wait after a quiet time counts little.
constexpr double assumedWeight = 1;

} // namespace

service_pressure::sums service_pressure::sums::at(time_point now) const
{
    const double keep = decayFactor(now - updatedAt, sampleHalfLife);
    return {weight * keep, shares * keep, now};
}

void service_pressure::sums::add(double count, double share, time_point now)
{
    *this = at(now);
    weight += count;
    shares += count * share;
}

void service_pressure::addSample(double share, time_point now)
{
    m_own.add(1, std::max(0.0, share), now);
}

void service_pressure::addReport(const pressure_report &report, time_point now)
{
    const double level = std::clamp(report.level, 0.0, pressure_report::maxLevel);
    const double weight = std::clamp(report.weight, 0.0, pressure_report::maxWeight);
    m_reported.add(weight, level, now);
}

double service_pressure::level(time_point now) const
{
    const sums own = m_own.at(now);
    const sums reported = m_reported.at(now);
    return (own.shares + reported.shares) / (own.weight + reported.weight + assumedWeight);
}

pressure_report service_pressure::own(time_point now) const
{
    const sums seen = m_own.at(now);
    if (seen.weight <= 0)
        return {};
    return {seen.shares / seen.weight, seen.weight};
}
