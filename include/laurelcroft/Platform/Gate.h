//===-- Platform/Gate.h - rate limit and breaker of a service ----*- C++ -*-===//
//
// Every outside service is rate-limited and can be down for long: each client
// passes this gate before it sends, and is refused at once when it is shut.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PLATFORM_GATE_H
#define LAURELCROFT_PLATFORM_GATE_H

#include "laurelcroft/Support/CircuitBreaker.h"
#include "laurelcroft/Support/TokenBucket.h"

namespace laurelcroft {

/// Own rate towards one service, and its breaker.
class platform_gate
{
public:
    /// \param perSecond calls a second this process may make; \param burst at once.
    platform_gate(double perSecond, double burst);

    /// \returns true and takes one call when it may be made.
    bool pass(time_point now);

    void succeeded();
    void failed(time_point now);

    /// \returns true after several failures in a row.
    bool isShut() const { return m_breaker.isOpen(); }

    /// \returns the time after which a refused call may be tried again.
    milliseconds retryAfter(time_point now) const;

private:
    token_bucket m_calls;
    circuit_breaker m_breaker;
};

} // namespace laurelcroft

#endif
