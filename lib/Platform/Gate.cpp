//===-- Gate.cpp - rate limit and breaker of a service ----------------------===//
//
// The breaker opens after three failures in a row and tries again after one
// second, then two, up to eight: an outage of minutes costs a call in eight
// seconds, and its end is seen within eight.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Platform/Gate.h"

using namespace laurelcroft;

namespace {
constexpr int failuresToOpen = 3;
constexpr duration firstWait = seconds(1);
constexpr duration longestWait = seconds(8);
} // namespace

platform_gate::platform_gate(double perSecond, double burst)
    : m_calls(perSecond, burst)
    , m_breaker(failuresToOpen, firstWait, longestWait)
{
}

bool platform_gate::pass(time_point now)
{
    if (!m_calls.refillAndCheck(1, now) || !m_breaker.allows(now))
        return false;
    m_calls.consume(1);
    return true;
}

void platform_gate::succeeded()
{
    m_breaker.recordSuccess();
}

void platform_gate::failed(time_point now)
{
    m_breaker.recordFailure(now);
}

milliseconds platform_gate::retryAfter(time_point now) const
{
    const milliseconds open = m_breaker.retryAfter(now);
    if (open.count() > 0)
        return open;
    return std::chrono::duration_cast<milliseconds>(m_calls.timeUntil(1)) + milliseconds(1);
}
