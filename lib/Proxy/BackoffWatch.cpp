//===-- BackoffWatch.cpp - refusals told to other entries -------------------===//
//
// What others have told counts as known to all, so that one entry tells of each refusal period.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/BackoffWatch.h"

#include "laurelcroft/Support/Log.h"

#include <algorithm>

using namespace laurelcroft;

void backoff_watch::noteTold(const std::string &endpoint, time_point until)
{
    if (m_told.size() >= maxTold)
        m_told.clear();
    time_point &told = m_told[endpoint];
    told = std::max(told, until);
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
    const milliseconds told = std::min(time, backoff_notice::maxTime);
    const auto known = m_told.find(record.id);
    if (known != m_told.end() && now + told < known->second + tellInterval)
        return;
    noteTold(record.id, now + told);
    if (m_listener && told >= tellInterval)
        m_listener({record.id, record.startedAt, told});
}

void backoff_watch::applyNotice(const service_directory &directory, const backoff_notice &notice,
                                time_point now)
{
    const auto it = directory.all().find(notice.endpoint);
    if (it == directory.all().end() || it->second->record().startedAt != notice.startedAt)
        return;
    noteTold(notice.endpoint, now + notice.time);
    noteRefusal(it->second->record().service, now + notice.time);
    it->second->recordRefusalElsewhere(notice.time, now);
    if (m_logLimiter.allows(now))
        logInfo(log_part::fleet, "endpoint refuses requests of another entry",
                {{"endpoint", notice.endpoint}, {"time_ms", std::int64_t(notice.time.count())}});
}
