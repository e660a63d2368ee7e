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

/// Relative changes up to this one are neither counted nor logged.
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

void rate_limit_watch::update(service_endpoint &endpoint, std::optional<double> perSecond,
                              time_point now)
{
    const std::optional<double> before = endpoint.rateLimit();
    endpoint.setRateLimit(perSecond, now);
    if (!isNotableChange(before, perSecond))
        return;
    ++m_changes;
    if (m_logLimiter.allows(now))
        logInfo(log_part::fleet, "endpoint rate limit changed",
                {{"endpoint", endpoint.record().id},
                 {"per_second", formatLimit(perSecond)},
                 {"before", formatLimit(before)}});
}
