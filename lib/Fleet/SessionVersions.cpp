//===-- SessionVersions.cpp - versions that sessions hold -------------------===//
//
// The order of notes is kept as a queue; an entry that was noted again later is skipped
// when its earlier note falls out.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Fleet/SessionVersions.h"

using namespace laurelcroft;

void session_versions::forgetOld(time_point now)
{
    while (!m_order.empty()) {
        const auto [at, session] = m_order.front();
        const bool tooMany = m_order.size() > capacity;
        if (!tooMany && now - at <= m_life)
            return;
        m_order.pop_front();
        const auto it = m_sessions.find(session);
        if (it != m_sessions.end() && it->second.lastSeen == at)
            m_sessions.erase(it);
    }
}

std::string_view session_versions::find(std::uint64_t session, time_point now)
{
    forgetOld(now);
    const auto it = m_sessions.find(session);
    return it == m_sessions.end() ? std::string_view() : std::string_view(it->second.version);
}

void session_versions::note(std::uint64_t session, std::string_view version, time_point now)
{
    forgetOld(now);
    entry &kept = m_sessions[session];
    kept.version = version;
    kept.lastSeen = now;
    m_order.emplace_back(now, session);
}
