//===-- Support/LogLimiter.h - rate limit for log lines ---------*- C++ -*-===//
//
// Limits the number of log lines per second and counts the suppressed ones, so that the log volume
// does not grow with the load.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_LOGLIMITER_H
#define LAURELCROFT_SUPPORT_LOGLIMITER_H

#include "laurelcroft/Support/TokenBucket.h"

#include <cstdint>
#include <utility>

namespace laurelcroft {

/// A token bucket of log lines that allows bursts of up to one second's worth.
class log_limiter
{
public:
    /// \param perSecond number of lines allowed per second.
    explicit log_limiter(double perSecond)
        : m_lines(perSecond, perSecond)
    {
    }

    /// \returns true if a line may be written at \p now; otherwise counts it as suppressed.
    bool allows(time_point now)
    {
        const bool allowed = m_lines.tryConsume(1, now);
        m_suppressedCount += allowed ? 0 : 1;
        return allowed;
    }

    /// \returns the number of lines suppressed since the last call.
    std::uint64_t takeSuppressedCount() { return std::exchange(m_suppressedCount, 0); }

private:
    token_bucket m_lines;
    std::uint64_t m_suppressedCount = 0;
};

} // namespace laurelcroft

#endif
