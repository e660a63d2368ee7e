//===-- Proxy/BackoffWatch.h - refusals reported to entries ----*- C++ -*-===//
//
// Notifies other entries of endpoints that refuse requests with a Retry-After, and avoids those
// that refuse requests of others. Otherwise each of many entries has requests refused by each of
// these endpoints before it knows them. Not thread-safe.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_BACKOFFWATCH_H
#define LAURELCROFT_PROXY_BACKOFFWATCH_H

#include "laurelcroft/Fleet/ServiceDirectory.h"
#include "laurelcroft/Proxy/BackoffNotice.h"
#include "laurelcroft/Support/LogLimiter.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace laurelcroft {

/// Exchanges refusals with other entries.
class backoff_watch
{
public:
    /// Called for a refusal that the others don't know of.
    using listener = std::function<void(const backoff_notice &notice)>;
    void setListener(listener onRefusal) { m_listener = std::move(onRefusal); }

    /// Records that \p endpoint refused a request of this entry for \p time, and starts its
    /// backoff.
    void update(service_endpoint &endpoint, milliseconds time, time_point now);

    /// Applies a notice from another entry: the endpoint is avoided while there are others. Ignored
    /// for an unlisted endpoint and for an earlier start of it.
    void applyNotice(const service_directory &directory, const backoff_notice &notice,
                     time_point now);

    /// \returns true while an endpoint of \p service refuses requests of this or another entry.
    bool hasRefusingEndpoint(std::string_view service, time_point now) const;

private:
    /// A refusal is reported again if it ends this much later than the others know.
    static constexpr milliseconds reportInterval{500};
    /// Bounds the memory when endpoints are replaced.
    static constexpr std::size_t maxReported = 10'000;
    /// Bounds the log volume when many endpoints refuse requests at once.
    static constexpr double logLinesPerSecond = 5;

    void noteReported(const std::string &endpoint, time_point until);
    void noteRefusal(const std::string &service, time_point until);

    listener m_listener;
    log_limiter m_logLimiter{logLinesPerSecond};
    /// Ends of the refusals that others know of, keyed by endpoint.
    std::map<std::string, time_point, std::less<>> m_reported;
    /// Latest end of a refusal, keyed by service.
    std::map<std::string, time_point, std::less<>> m_refusedUntil;
};

} // namespace laurelcroft

#endif
