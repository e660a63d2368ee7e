//===-- Support/CircuitBreaker.h - stays away from a failing service ----*- C++ -*-===//
//
// Driven by results alone; it reads no clock of its own.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_CIRCUITBREAKER_H
#define LAURELCROFT_SUPPORT_CIRCUITBREAKER_H

#include "laurelcroft/Support/Runtime.h"

namespace laurelcroft {

/// Opens after failures in a row and lets one call through after a wait that doubles.
class circuit_breaker
{
public:
    circuit_breaker(int failuresToOpen, duration firstWait, duration longestWait)
        : m_failuresToOpen(failuresToOpen)
        , m_initialWait(firstWait)
        , m_maxWait(longestWait)
        , m_wait(firstWait)
    {
    }

    /// \returns true when a call may be made at \p now.
    bool allows(time_point now);

    void recordSuccess();
    void recordFailure(time_point now);

    bool isOpen() const { return m_failures >= m_failuresToOpen; }

    /// \returns how long callers should stay away; 0 when it is closed.
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
