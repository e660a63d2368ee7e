//===-- EndpointPace.cpp - how long work takes there ----------------------===//
//
// The lasting slowdown is the median of the latest stated values, multiplied by the mean ratio of
// observed to expected times. The latest stated value counts beyond it for a moment.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Fleet/EndpointPace.h"

#include "laurelcroft/Support/Decay.h"

#include <algorithm>
#include <cmath>
#include <numeric>

using namespace laurelcroft;

namespace {

/// Half-life of a momentary slowdown. Machines change several times per second: after 50 ms a value
/// still holds at most machines, after 200 ms at two of three, after 1,000 ms at one of ten.
constexpr milliseconds momentHalfLife{300};
/// Expected remaining time of a momentary slowdown, in milliseconds; longer work is slowed down for
/// this part only.
constexpr double momentLeftMs = 300;
/// Half-life of the lasting slowdown without new samples. Long compared with the time between two
/// answers of an endpoint to all entries, short compared with the time for which machines keep
/// their neighbours.
constexpr seconds lastingHalfLife{30};
/// Values that differ by less agree with each other. Where most of the latest values don't agree,
/// nothing lasts, and their mean is the best guess.
constexpr double agreeingFactor = 1.25;
/// Observations without any effect that are assumed at first, since a single one may have been
/// delayed by other work.
constexpr double priorWeight = 1;
/// Observations count for at most this many samples, so that a changed pace is learned in a few.
constexpr double maxWeight = 8;
/// Largest effect of one observation, as a factor.
constexpr double maxRatio = 4;
/// A stated slowdown is corrected by observed times only beyond this factor: other work on the
/// endpoint makes observed times differ as well, and a stated value is exact unless it is wrong.
constexpr double trustedRatio = 1.5;

} // namespace

/// \returns false also for a value that is not a number.
static bool isValid(double slowdown)
{
    return slowdown >= endpoint_pace::minSlowdown && slowdown <= endpoint_pace::maxSlowdown;
}

void endpoint_pace::noteMoment(double slowdown, time_point now)
{
    if (!isValid(slowdown))
        return;
    m_isStated = true;
    m_lastStated = slowdown;
    m_statedAt = now;
}

void endpoint_pace::noteStated(double slowdown, time_point now)
{
    if (!isValid(slowdown))
        return;
    noteMoment(slowdown, now);
    m_values[m_count % maxValues] = slowdown;
    ++m_count;
    m_lasting = computeLasting();
}

void endpoint_pace::addObservation(double ratio, double weight, time_point now)
{
    if (!(ratio > 0) || !(weight > 0))
        return;
    const double keep = decayFactor(now - m_observedAt, lastingHalfLife);
    const double effect = std::log(std::clamp(ratio, 1 / maxRatio, maxRatio));
    m_logSum = m_logSum * keep + effect * weight;
    m_weight = m_weight * keep + weight;
    if (m_weight > maxWeight) {
        m_logSum *= maxWeight / m_weight;
        m_weight = maxWeight;
    }
    m_observedAt = now;
}

double endpoint_pace::computeLasting() const
{
    const std::size_t count = std::min(m_count, maxValues);
    if (count < minValues)
        return 1;
    std::array<double, maxValues> sorted = m_values;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(count);
    std::sort(sorted.begin(), end);
    // The lower of two middle values, since momentary slowdowns only make values larger.
    const double median = sorted[(count - 1) / 2];
    const auto agreeing = std::count_if(sorted.begin(), end, [median](double value) {
        return value < median * agreeingFactor && median < value * agreeingFactor;
    });
    if (static_cast<std::size_t>(agreeing) * 2 > count)
        return median;
    const double logSum = std::accumulate(sorted.begin(), end, 0.0, [](double sum, double value) {
        return sum + std::log(value);
    });
    return std::exp(logSum / static_cast<double>(count));
}

double endpoint_pace::statedUsual(time_point now) const
{
    return 1 + (m_lasting - 1) * decayFactor(now - m_statedAt, lastingHalfLife);
}

double endpoint_pace::observed(time_point now) const
{
    if (m_weight == 0)
        return 1;
    const double keep = decayFactor(now - m_observedAt, lastingHalfLife);
    const double effect = m_logSum * keep / (m_weight * keep + priorWeight);
    if (!m_isStated)
        return std::exp(effect);
    const double beyond = std::max(0.0, std::abs(effect) - std::log(trustedRatio));
    return std::exp(std::copysign(beyond, effect));
}

double endpoint_pace::usual(time_point now) const
{
    return std::clamp(statedUsual(now) * observed(now), minSlowdown, maxSlowdown);
}

double endpoint_pace::moment() const
{
    return m_statedAt == time_point() ? 1 : m_lastStated / m_lasting;
}

double endpoint_pace::slowdown(time_point now) const
{
    const double lasting = usual(now);
    const double moment = this->moment();
    return lasting * (1 + (moment - 1) * decayFactor(now - m_statedAt, momentHalfLife));
}

double endpoint_pace::expectedMs(double workMs, time_point now) const
{
    const double lastingMs = workMs * usual(now);
    const double moment = this->moment();
    if (moment <= 1)
        return lastingMs;
    const double addedMs = std::min((moment - 1) * lastingMs, momentLeftMs * (1 - 1 / moment));
    return lastingMs + addedMs * decayFactor(now - m_statedAt, momentHalfLife);
}
