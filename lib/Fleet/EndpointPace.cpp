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
#include <numbers>
#include <numeric>

using namespace laurelcroft;

namespace {

/// Half-life of a momentary slowdown before anything is learned, in seconds. Machines that are
/// shared change several times per second: after 50 ms a value still holds at most of them, after
/// 200 ms at two of three, after 1,000 ms at one of ten.
constexpr double priorHalfLife = 0.3;
/// Weight of the prior, in ends of moments.
constexpr double priorEnds = 2;
/// Ends of moments that are remembered, so that other habits are learned in a few.
constexpr double maxEnds = 10;
/// Greatest half-life of a moment, in seconds.
constexpr double maxHalfLife = 3;
/// Half-life, in seconds, from which a moment outlasts the requests that run at an endpoint.
constexpr double longHalfLife = 0.6;
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

static bool agree(double a, double b)
{
    return a < b * agreeingFactor && b < a * agreeingFactor;
}

void endpoint_pace::noteHold(double next, time_point now)
{
    const bool wasMoment = m_isStated && !agree(m_lastStated, m_lasting);
    if (!wasMoment)
        return;
    const std::chrono::duration<double> passed = now - m_statedAt;
    const bool holds = agree(m_lastStated, next);
    // A value that has changed held for half of the time on average.
    m_heldSeconds += std::clamp(passed.count(), 0.0, maxHalfLife) * (holds ? 1 : 0.5);
    m_momentEnds += holds ? 0 : 1;
    const double total = m_momentEnds + m_heldSeconds;
    if (total > maxEnds) {
        m_heldSeconds *= maxEnds / total;
        m_momentEnds *= maxEnds / total;
    }
}

duration endpoint_pace::momentHalfLife() const
{
    const double ends = priorEnds + m_momentEnds;
    const double held = priorEnds * priorHalfLife / std::numbers::ln2 + m_heldSeconds;
    const std::chrono::duration<double> halfLife(
            std::min(maxHalfLife, std::numbers::ln2 * held / ends));
    return std::chrono::duration_cast<duration>(halfLife);
}

void endpoint_pace::noteMoment(double slowdown, time_point now)
{
    if (!isValid(slowdown))
        return;
    noteHold(slowdown, now);
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
    const auto agreeing = std::count_if(sorted.begin(), end,
                                        [median](double value) { return agree(value, median); });
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
    return lasting * (1 + (moment - 1) * decayFactor(now - m_statedAt, momentHalfLife()));
}

double endpoint_pace::batchSlowdown(time_point now) const
{
    const bool isLong = momentHalfLife() >= std::chrono::duration<double>(longHalfLife);
    return isLong ? slowdown(now) : usual(now);
}

double endpoint_pace::expectedMs(double workMs, time_point now) const
{
    const double lastingMs = workMs * usual(now);
    const double moment = this->moment();
    if (moment <= 1)
        return lastingMs;
    const std::chrono::duration<double, std::milli> left = momentHalfLife();
    const double addedMs = std::min((moment - 1) * lastingMs, left.count() * (1 - 1 / moment));
    return lastingMs + addedMs * decayFactor(now - m_statedAt, momentHalfLife());
}
