//===-- LeavingWatch.cpp - leaving state from answers -----------------------===//
//
// Repeated statements for the same endpoint start are ignored, so that each entry logs and forwards
// only the first one.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/LeavingWatch.h"

#include "laurelcroft/Support/Log.h"

#include <string>

using namespace laurelcroft;

bool leaving_watch::setLeaving(service_directory &directory, std::string_view id,
                               std::uint64_t startedAt, std::string_view source, time_point now)
{
    if (!directory.setLeaving(id, startedAt))
        return false;
    if (m_logLimiter.allows(now))
        logInfo(log_part::fleet, "endpoint states that it is leaving",
                {{"endpoint", id}, {"source", source}});
    return true;
}

void leaving_watch::update(service_directory &directory, const service_endpoint &endpoint,
                           time_point now)
{
    const endpoint_record &record = endpoint.record();
    if (setLeaving(directory, record.id, record.startedAt, "answer", now) && m_listener)
        m_listener({record.id, record.startedAt});
}

void leaving_watch::applyNotice(service_directory &directory, const leaving_notice &notice,
                                time_point now)
{
    const bool isNew = setLeaving(directory, notice.endpoint, notice.startedAt, "notice", now);
    if (isNew && notice.hops > 0 && m_listener)
        m_listener({notice.endpoint, notice.startedAt, notice.hops - 1});
}
