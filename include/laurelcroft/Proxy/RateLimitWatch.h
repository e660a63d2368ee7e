//===-- Proxy/RateLimitWatch.h - rate limits stated by endpoints -*- C++ -*-===//
//
// Tracks the rate limits that endpoints state in their answers, in requests per second summed over
// all entries. Not thread-safe.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_RATELIMITWATCH_H
#define LAURELCROFT_PROXY_RATELIMITWATCH_H

#include "laurelcroft/Fleet/ServiceDirectory.h"
#include "laurelcroft/Proxy/RateLimitNotice.h"
#include "laurelcroft/Support/LogLimiter.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>

namespace laurelcroft {

/// Stores the stated limits in the endpoints; counts and logs notable changes.
class rate_limit_watch
{
public:
    /// Called with each notable change to forward to other entries.
    using listener = std::function<void(const rate_limit_notice &notice)>;
    void setListener(listener onChange) { m_listener = std::move(onChange); }

    /// Records that an answer of \p endpoint states a limit of \p perSecond, or no limit if empty.
    void update(service_endpoint &endpoint, std::optional<double> perSecond, time_point now);

    /// Applies a notice from another entry. Ignores it if it refers to another start of \p endpoint
    /// or is not newer than the limit known here.
    void applyNotice(service_endpoint &endpoint, const rate_limit_notice &notice, time_point now);

    /// \returns the number of notable changes since the last call.
    std::uint64_t takeChanges() { return std::exchange(m_changes, 0); }

private:
    /// Bounds the log volume when many endpoints change their limits at once.
    static constexpr double logLinesPerSecond = 20;

    /// Sets the limit; counts and logs notable changes.
    /// \param source origin of the limit, for the log.
    /// \returns true if the change is notable.
    bool setLimit(service_endpoint &endpoint, std::optional<double> perSecond,
                  time_point reportedAt, std::string_view source, time_point now);

    listener m_listener;
    log_limiter m_logLimiter{logLinesPerSecond};
    std::uint64_t m_changes = 0;
};

} // namespace laurelcroft

#endif
