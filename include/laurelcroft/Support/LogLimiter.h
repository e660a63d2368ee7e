//===-- Support/LogLimiter.h - bounds ordinary log lines ---------*- C++ -*-===//
//
// Lets a bounded number of lines a second pass and counts the rest, so that the volume of
// a log does not grow with the load.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_LOGLIMITER_H
#define LAURELCROFT_SUPPORT_LOGLIMITER_H

#include "laurelcroft/Support/Runtime.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace laurelcroft {

/// A token bucket that holds one second's lines.
class log_limiter
{
public:
    /// \param perSecond lines that pass.
    explicit log_limiter(double perSecond)
        : m_perSecond(perSecond)
        , m_tokens(perSecond)
    {
    }

    /// \returns true when a line may be written at \p now; otherwise it is counted.
    bool allows(time_point now)
    {
        const std::chrono::duration<double> since = now - m_filledAt;
        m_filledAt = now;
        m_tokens = std::min(m_perSecond, m_tokens + since.count() * m_perSecond);
        if (m_tokens < 1) {
            ++m_held;
            return false;
        }
        m_tokens -= 1;
        return true;
    }

    /// \returns the lines that did not pass since the last call.
    std::uint64_t takeHeld() { return std::exchange(m_held, 0); }

private:
    double m_perSecond;
    double m_tokens;
    time_point m_filledAt{};
    std::uint64_t m_held = 0;
};

} // namespace laurelcroft

#endif
