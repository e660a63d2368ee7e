//===-- Support/LogLimiter.h - bounds ordinary log lines ---------*- C++ -*-===//
//
// Lets a bounded number of lines a second pass and counts the rest, so that the volume of
// a log does not grow with the load.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_LOGLIMITER_H
#define LAURELCROFT_SUPPORT_LOGLIMITER_H

#include "laurelcroft/Support/TokenBucket.h"

#include <cstdint>
#include <utility>

namespace laurelcroft {

/// Holds one second's lines.
class log_limiter
{
public:
    /// \param perSecond lines that pass.
    explicit log_limiter(double perSecond)
        : m_lines(perSecond, perSecond)
    {
    }

    /// \returns true when a line may be written at \p now; otherwise it is counted.
    bool allows(time_point now)
    {
        const bool allowed = m_lines.tryConsume(1, now);
        m_suppressedCount += allowed ? 0 : 1;
        return allowed;
    }

    /// \returns the lines that did not pass since the last call.
    std::uint64_t takeSuppressedCount() { return std::exchange(m_suppressedCount, 0); }

private:
    token_bucket m_lines;
    std::uint64_t m_suppressedCount = 0;
};

} // namespace laurelcroft

#endif
