//===-- ServiceLimiter.cpp - rate limit and circuit breaker -----------------===//
//
// The circuit breaker opens after three consecutive failures and lets a call through
// after one second, then two, up to eight: an outage of minutes costs one call in
// eight seconds, and a recovery is noticed within eight seconds.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Platform/ServiceLimiter.h"

using namespace laurelcroft;

namespace {
constexpr int failuresToOpen = 3;
constexpr duration firstWait = seconds(1);
constexpr duration maxWait = seconds(8);
} // namespace

service_limiter::service_limiter(double perSecond, double burst)
    : m_calls(perSecond, burst)
    , m_breaker(failuresToOpen, firstWait, maxWait)
{
}

bool service_limiter::pass(time_point now)
{
    if (!m_calls.refillAndCheck(1, now) || !m_breaker.allows(now))
        return false;
    m_calls.consume(1);
    return true;
}

void service_limiter::succeeded()
{
    m_breaker.recordSuccess();
}

void service_limiter::failed(time_point now)
{
    m_breaker.recordFailure(now);
}

milliseconds service_limiter::retryAfter(time_point now) const
{
    const milliseconds open = m_breaker.retryAfter(now);
    if (open.count() > 0)
        return open;
    return std::chrono::duration_cast<milliseconds>(m_calls.timeUntil(1)) + milliseconds(1);
}
