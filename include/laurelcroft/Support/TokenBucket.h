//===-- Support/TokenBucket.h - token bucket rate limiter -------*- C++ -*-===//
//
// The caller passes in the current time; the class reads no clock.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_TOKENBUCKET_H
#define LAURELCROFT_SUPPORT_TOKENBUCKET_H

#include "laurelcroft/Support/Runtime.h"

#include <algorithm>

namespace laurelcroft {

/// A token bucket that refills at a constant rate up to its capacity. It is full at first.
class token_bucket
{
public:
    /// \param tokensPerSecond refill rate.
    /// \param capacity largest number of tokens that the bucket holds.
    token_bucket(double tokensPerSecond, double capacity)
        : m_tokensPerSecond(tokensPerSecond)
        , m_capacity(capacity)
        , m_tokens(capacity)
    {
    }

    /// Refills the bucket for the time up to \p now.
    /// \returns true if it then holds at least \p amount tokens.
    bool refillAndCheck(double amount, time_point now)
    {
        const std::chrono::duration<double> elapsed = now - m_refilledAt;
        m_refilledAt = now;
        m_tokens = std::min(m_capacity,
                            m_tokens + std::max(0.0, elapsed.count()) * m_tokensPerSecond);
        return m_tokens >= amount;
    }

    /// Removes \p amount tokens without checking that the bucket holds them; it may go negative.
    void consume(double amount) { m_tokens -= amount; }

    /// Removes \p amount tokens if the bucket holds that many at \p now.
    /// \returns true if the tokens were removed.
    bool tryConsume(double amount, time_point now)
    {
        if (!refillAndCheck(amount, now))
            return false;
        consume(amount);
        return true;
    }

    /// \returns the time from the last refill until the bucket holds \p amount tokens.
    std::chrono::duration<double> timeUntil(double amount) const
    {
        return std::chrono::duration<double>(std::max(0.0, amount - m_tokens) / m_tokensPerSecond);
    }

private:
    double m_tokensPerSecond;
    double m_capacity;
    double m_tokens;
    time_point m_refilledAt{};
};

} // namespace laurelcroft

#endif
