//===-- Support/CircuitBreaker.h - circuit breaker --------------*- C++ -*-===//
//
// Stops calls to a service that keeps failing. The caller reports the result of each call and
// passes in the time; the class reads no clock.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_CIRCUITBREAKER_H
#define LAURELCROFT_SUPPORT_CIRCUITBREAKER_H

#include "laurelcroft/Support/Runtime.h"

namespace laurelcroft {

/// Opens after a number of consecutive failures, then allows one trial call after each wait. The
/// wait doubles with every failed trial, up to a maximum.
class circuit_breaker
{
public:
    circuit_breaker(int failuresToOpen, duration initialWait, duration maxWait)
        : m_failuresToOpen(failuresToOpen)
        , m_initialWait(initialWait)
        , m_maxWait(maxWait)
        , m_wait(initialWait)
    {
    }

    /// \returns true if a call may be made at \p now. If the breaker is open, that call is
    /// the trial call, and its result must be reported.
    bool allows(time_point now);

    void recordSuccess();
    void recordFailure(time_point now);

    bool isOpen() const { return m_failures >= m_failuresToOpen; }

    /// \returns how long callers should wait before they retry; 0 when the breaker is closed.
    milliseconds retryAfter(time_point now) const;

private:
    int m_failuresToOpen;
    duration m_initialWait;
    duration m_maxWait;
    duration m_wait;
    int m_failures = 0;
    time_point m_openUntil{};
    bool m_trialInProgress = false;
};

} // namespace laurelcroft

#endif
