//===-- Support/TokenBucket.h - a bounded rate -------------------*- C++ -*-===//
//
// Driven by its caller's clock readings; it reads none of its own.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_SUPPORT_TOKENBUCKET_H
#define LAURELCROFT_SUPPORT_TOKENBUCKET_H

#include "laurelcroft/Support/Runtime.h"

#include <algorithm>

namespace laurelcroft {

/// Fills at a rate up to what it holds; it begins full.
class token_bucket
{
public:
    /// \param perSecond tokens that come in a second; \param most that it holds.
    token_bucket(double perSecond, double most)
        : m_tokensPerSecond(perSecond)
        , m_capacity(most)
        , m_tokens(most)
    {
    }

    /// \returns true when \p amount could be taken at \p now.
    bool refillAndCheck(double amount, time_point now)
    {
        const std::chrono::duration<double> since = now - m_refilledAt;
        m_refilledAt = now;
        m_tokens
                = std::min(m_capacity, m_tokens + std::max(0.0, since.count()) * m_tokensPerSecond);
        return m_tokens >= amount;
    }

    /// Takes \p amount, which it has.
    void consume(double amount) { m_tokens -= amount; }

    /// \returns true and takes \p amount when it has it at \p now.
    bool tryConsume(double amount, time_point now)
    {
        if (!refillAndCheck(amount, now))
            return false;
        consume(amount);
        return true;
    }

    /// \returns how long after it was last asked it has \p amount.
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
