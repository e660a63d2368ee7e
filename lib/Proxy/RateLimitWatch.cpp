//===-- RateLimitWatch.cpp - rate limits stated by endpoints ----------------===//
//
// Every answer updates the limit; only notable changes are counted and logged.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RateLimitWatch.h"

#include "laurelcroft/Support/Log.h"

#include <cmath>
#include <string>

using namespace laurelcroft;

namespace {

/// Relative changes up to this value are neither counted nor logged.
constexpr double notableChange = 0.2;

} // namespace

static bool isNotableChange(std::optional<double> before, std::optional<double> after)
{
    if (before.has_value() != after.has_value())
        return true;
    return before && std::abs(*after - *before) > notableChange * *before;
}

static std::string formatLimit(std::optional<double> perSecond)
{
    return perSecond ? std::to_string(*perSecond) : "none";
}

bool rate_limit_watch::setLimit(service_endpoint &endpoint, std::optional<double> perSecond,
                                time_point reportedAt, std::string_view source, time_point now)
{
    const std::optional<double> before = endpoint.rateLimit();
    endpoint.setRateLimit(perSecond, reportedAt);
    if (!isNotableChange(before, perSecond))
        return false;
    ++m_changes;
    if (m_logLimiter.allows(now))
        logInfo(log_part::fleet, "endpoint rate limit changed",
                {{"endpoint", endpoint.record().id},
                 {"per_second", formatLimit(perSecond)},
                 {"before", formatLimit(before)},
                 {"source", source}});
    return true;
}

void rate_limit_watch::update(service_endpoint &endpoint, std::optional<double> perSecond,
                              time_point now)
{
    const endpoint_record &record = endpoint.record();
    if (setLimit(endpoint, perSecond, now, "answer", now) && m_listener)
        m_listener({record.id, record.startedAt, perSecond});
}

void rate_limit_watch::applyNotice(service_endpoint &endpoint, const rate_limit_notice &notice,
                                   time_point now)
{
    const time_point reportedAt = now - notice.age;
    const bool isSameStart = endpoint.record().startedAt == notice.startedAt;
    if (!isSameStart || reportedAt <= endpoint.rateLimitReportedAt())
        return;
    const bool isNotable = setLimit(endpoint, notice.perSecond, reportedAt, "notice", now);
    if (!isNotable || notice.hops == 0 || !m_listener)
        return;
    rate_limit_notice forwarded = notice;
    --forwarded.hops;
    m_listener(forwarded);
}
