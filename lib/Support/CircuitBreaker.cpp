//===-- CircuitBreaker.cpp - circuit breaker --------------------------------===//
//
// The states are closed, open, and open with a trial call in progress.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Support/CircuitBreaker.h"

#include <algorithm>

using namespace laurelcroft;

bool circuit_breaker::allows(time_point now)
{
    if (!isOpen())
        return true;
    if (m_trialInProgress || now < m_openUntil)
        return false;
    m_trialInProgress = true;
    return true;
}

void circuit_breaker::recordSuccess()
{
    m_failures = 0;
    m_trialInProgress = false;
    m_wait = m_initialWait;
}

void circuit_breaker::recordFailure(time_point now)
{
    m_failures += 1;
    if (!isOpen())
        return;
    // Calls that were already in progress when the breaker opened may fail together, so only a
    // failed trial call doubles the wait.
    if (m_trialInProgress)
        m_wait = std::min(m_maxWait, m_wait * 2);
    m_trialInProgress = false;
    m_openUntil = now + m_wait;
}

milliseconds circuit_breaker::retryAfter(time_point now) const
{
    if (!isOpen())
        return milliseconds(0);
    const duration remaining = std::max<duration>(m_openUntil - now, m_initialWait);
    return std::chrono::ceil<milliseconds>(remaining);
}
