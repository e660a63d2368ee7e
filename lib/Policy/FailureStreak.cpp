//===-- FailureStreak.cpp - consecutive failures --------------------------===//
//
// A streak ends with a success, or when its last failure is too old.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/FailureStreak.h"

using namespace laurelcroft;

void failure_streak::failed(time_point now)
{
    const bool isNew = m_failuresInRow == 0 || now - m_last > failureLifetime;
    if (isNew) {
        m_failuresInRow = 0;
        m_since = now;
    }
    ++m_failuresInRow;
    m_last = now;
}

bool failure_streak::isRepeatFutile(time_point now) const
{
    return m_failuresInRow >= failuresToGiveUp && now - m_last <= failureLifetime;
}

milliseconds failure_streak::expectedRemaining(time_point now) const
{
    return isRepeatFutile(now) ? std::chrono::ceil<milliseconds>(now - m_since) : milliseconds(0);
}
