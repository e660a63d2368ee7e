//===-- ServiceRoom.cpp - expected wait at a service ----------------------===//
//
// Means with exponential decay.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/ServiceRoom.h"

#include "laurelcroft/Support/Decay.h"

#include <algorithm>
#include <cmath>

using namespace laurelcroft;

namespace {

/// Half-life of a value without new samples: about the time in which a full queue drains.
constexpr milliseconds valueHalfLife{1000};
/// Largest stated load that counts, per slot; more of it is never seen in working order.
constexpr double maxLoadPerSlot = 16;
/// Longest wait of one sample that counts, as a share of the objective.
constexpr double maxWaitShare = 3;
/// The same where the admitted part of demand follows from it. Nearly nothing is admitted at this
/// wait, so a longer one at a single endpoint must not count for more.
constexpr double maxCountedShare = 1;

} // namespace

void service_room::decaying_mean::add(double value, time_point now)
{
    const double keep = std::max(decayFactor(now - updatedAt, halfLife), 1 - 1 / minSamples);
    weight = weight * keep + 1;
    sum = sum * keep + value;
    updatedAt = now;
}

double service_room::decaying_mean::value(time_point now) const
{
    return weight > 0 ? mean() * decayFactor(now - updatedAt, valueHalfLife) : 0;
}

void service_room::addLoad(double perSlot, time_point now)
{
    m_loadPerSlot.add(std::clamp(perSlot, 0.0, maxLoadPerSlot), now);
}

void service_room::addQueue(double perSlot, milliseconds objective, time_point now)
{
    const milliseconds_f wait = workTime() * std::clamp(perSlot, 0.0, maxLoadPerSlot);
    addObservedWait(std::chrono::round<milliseconds>(wait), objective, now);
}

void service_room::addAnswerTime(milliseconds time, double loadPerSlot, time_point now)
{
    m_answerMs.add(double(time.count()), now);
    m_answerLoad.add(std::clamp(loadPerSlot, 0.0, maxLoadPerSlot), now);
}

service_room::milliseconds_f service_room::workTime() const
{
    if (m_answerMs.weight <= 0)
        return milliseconds_f(0);
    return milliseconds_f(m_answerMs.mean() / std::max(1.0, m_answerLoad.mean()));
}

void service_room::addObservedWait(milliseconds wait, milliseconds objective, time_point now)
{
    const milliseconds maxWait(std::llround(maxWaitShare * double(objective.count())));
    const milliseconds counted = std::clamp(wait, milliseconds(0), maxWait);
    m_waitMs.add(double(counted.count()), now);
    const double share = milliseconds_f(counted) / milliseconds_f(objective);
    m_waitShare.add(std::min(share, maxCountedShare), now);
    m_sampledAt = now;
    if (!m_firstSampleAt)
        m_firstSampleAt = now;
}

milliseconds service_room::wait(time_point now) const
{
    return milliseconds(std::llround(m_waitMs.value(now)));
}

double service_room::waitShare(time_point now) const
{
    return m_waitShare.value(now);
}

double service_room::loadPerSlot(time_point now) const
{
    return m_loadPerSlot.value(now);
}
