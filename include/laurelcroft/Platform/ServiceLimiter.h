//===-- Platform/ServiceLimiter.h - rate limit and circuit breaker -*- C++ -*-===//
//
// Limits the calls to one external service. External services have rate limits
// and can be down for a long time, so a client checks before each call and fails
// at once when the rate is exceeded or the circuit breaker is open.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PLATFORM_SERVICELIMITER_H
#define LAURELCROFT_PLATFORM_SERVICELIMITER_H

#include "laurelcroft/Support/CircuitBreaker.h"
#include "laurelcroft/Support/TokenBucket.h"

namespace laurelcroft {

/// Token bucket and circuit breaker for the calls to one external service.
class service_limiter
{
public:
    /// \param perSecond calls per second that this process may make.
    /// \param burst calls that may be made at once.
    service_limiter(double perSecond, double burst);

    /// Takes one token if the call may be made now.
    /// \returns true if it may.
    bool pass(time_point now);

    void succeeded();
    void failed(time_point now);

    /// \returns true while the circuit breaker is open after several consecutive failures.
    bool isBreakerOpen() const { return m_breaker.isOpen(); }

    /// \returns how long to wait before a refused call may be retried.
    milliseconds retryAfter(time_point now) const;

private:
    token_bucket m_calls;
    circuit_breaker m_breaker;
};

} // namespace laurelcroft

#endif
