//===-- BackoffWatch.cpp - refusals reported to entries -------------------===//
//
// What another entry has reported counts as known to all, so that one entry reports each refusal.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/BackoffWatch.h"

#include "laurelcroft/Support/Log.h"

#include <algorithm>

using namespace laurelcroft;

void backoff_watch::noteReported(const std::string &endpoint, time_point until)
{
    if (m_reported.size() >= maxReported)
        m_reported.clear();
    time_point &reported = m_reported[endpoint];
    reported = std::max(reported, until);
}

void backoff_watch::noteRefusal(const std::string &service, time_point until)
{
    time_point &latest = m_refusedUntil[service];
    latest = std::max(latest, until);
}

bool backoff_watch::hasRefusingEndpoint(std::string_view service, time_point now) const
{
    const auto until = m_refusedUntil.find(service);
    return until != m_refusedUntil.end() && now < until->second;
}

void backoff_watch::update(service_endpoint &endpoint, milliseconds time, time_point now)
{
    const endpoint_record &record = endpoint.record();
    endpoint.startBackoff(time, now);
    noteRefusal(record.service, now + time);
    const milliseconds reported = std::min(time, backoff_notice::maxTime);
    const auto known = m_reported.find(record.id);
    if (known != m_reported.end() && now + reported < known->second + reportInterval)
        return;
    noteReported(record.id, now + reported);
    if (m_listener && reported >= reportInterval)
        m_listener({record.id, record.startedAt, reported});
}

void backoff_watch::applyNotice(const service_directory &directory, const backoff_notice &notice,
                                time_point now)
{
    const auto it = directory.all().find(notice.endpoint);
    if (it == directory.all().end() || it->second->record().startedAt != notice.startedAt)
        return;
    noteReported(notice.endpoint, now + notice.time);
    noteRefusal(it->second->record().service, now + notice.time);
    it->second->recordRefusalElsewhere(notice.time, now);
    if (m_logLimiter.allows(now))
        logInfo(log_part::fleet, "endpoint refuses requests of another entry",
                {{"endpoint", notice.endpoint}, {"time_ms", std::int64_t(notice.time.count())}});
}
