//===-- Policy/Health.h - retry budget and ejection -------------*- C++ -*-===//
//
// Keeps failures from causing further overload: a budget limits retries to a share of the requests,
// and failing endpoints are ejected, but at most a fixed share of a pool.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_HEALTH_H
#define LAURELCROFT_POLICY_HEALTH_H

#include "laurelcroft/Support/Runtime.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Token bucket for retries: each request adds a fraction of a token, each retry takes one.
class retry_budget
{
public:
    explicit retry_budget(double share = 0.1, double most = 20)
        : m_share(share)
        , m_capacity(most)
        , m_tokens(most)
    {
    }
    void earn() { m_tokens = m_tokens + m_share < m_capacity ? m_tokens + m_share : m_capacity; }

    /// \returns false if no retry is left; the request must then be refused.
    bool spend();

private:
    double m_share;
    double m_capacity;
    double m_tokens;
};

/// Ejects endpoints after consecutive failures, up to a maximum share of a pool.
class endpoint_ejection
{
public:
    static constexpr double maxEjectedShare = 0.3;

    void succeeded(std::string_view id);
    void failed(std::string_view id, time_point now);

    /// \returns true while \p id is ejected.
    bool isEjected(std::string_view id, time_point now) const;

    /// \returns true if another endpoint of a pool of \p poolSize may be ejected.
    static bool mayEject(std::size_t ejected, std::size_t poolSize);

private:
    struct record
    {
        int failures = 0;
        int ejections = 0;
        time_point until{};
    };
    std::map<std::string, record, std::less<>> m_records;
};

} // namespace laurelcroft

#endif
