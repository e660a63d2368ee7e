//===-- EndpointDirectory.cpp - agents' endpoints ---------------------------===//
//
// Subsets are chosen by rendezvous ranking with the entry's instance id as the key.
// Entries get different subsets, and a change of the fleet changes few members of each.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Fleet/EndpointDirectory.h"

#include "laurelcroft/Fleet/Ranking.h"

#include <algorithm>

using namespace laurelcroft;

endpoint_directory::endpoint_directory(std::string instance, std::string dataCentre,
                                       subset_options options)
    : m_instance(std::move(instance))
    , m_dataCentre(std::move(dataCentre))
    , m_options(options)
{
}

bool endpoint_directory::onMember(const wire::member &item)
{
    if (item.role() != wire::role_agent)
        return false;
    if (item.state() == wire::member_dead) {
        m_subset.erase(item.id());
        return m_endpoints.erase(item.id()) > 0;
    }
    const bool isNew = m_endpoints.count(item.id()) == 0;
    endpoint &known = m_endpoints[item.id()];
    const bool moved = known.linkAddress != item.link_address();
    known.id = item.id();
    known.dataCentre = item.data_centre();
    known.linkAddress = item.link_address();
    known.pool = item.pool();
    known.leaving = item.state() == wire::member_leaving;
    return isNew || moved;
}

void endpoint_directory::chooseSubset(const std::string &pool, std::vector<std::string> &chosen)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto &[id, item] : m_endpoints) {
        if (item.pool == pool)
            (item.dataCentre == m_dataCentre ? near : far).push_back(id);
    }
    // Places that one group can't fill go to the other, so that a small site uses all endpoints.
    const std::size_t most = m_options.sameDataCentre + m_options.otherDataCentres;
    const std::size_t fromFar = std::min(
            far.size(), std::max(m_options.otherDataCentres, most - std::min(most, near.size())));
    const std::size_t fromNear = std::min(near.size(), most - fromFar);
    for (std::string &id : topRanked(near, m_instance, fromNear))
        chosen.push_back(std::move(id));
    for (std::string &id : topRanked(far, m_instance, fromFar))
        chosen.push_back(std::move(id));
}

std::vector<std::string> endpoint_directory::chooseSubsets()
{
    std::set<std::string> pools;
    for (const auto &[id, item] : m_endpoints)
        pools.insert(item.pool);
    std::vector<std::string> chosen;
    for (const std::string &pool : pools)
        chooseSubset(pool, chosen);
    m_subset = {chosen.begin(), chosen.end()};
    return chosen;
}

void endpoint_directory::onReport(const std::string &id, const wire::from_agent &message,
                                  time_point now)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end())
        return;
    endpoint &known = it->second;
    known.reachable = true;
    known.incarnation = message.incarnation();
    known.load = message.load();
    known.reportedAt = now;
    known.sentSinceReport = 0;
    if (!message.load().loaded().empty() || message.body_case() == wire::from_agent::BODY_NOT_SET)
        known.loaded = {message.load().loaded().begin(), message.load().loaded().end()};
}

void endpoint_directory::onUnreachable(const std::string &id)
{
    const auto it = m_endpoints.find(id);
    if (it != m_endpoints.end())
        it->second.reachable = false;
}

void endpoint_directory::onSent(const std::string &id)
{
    const auto it = m_endpoints.find(id);
    if (it == m_endpoints.end())
        return;
    it->second.sentSinceReport += 1;
    it->second.ownRunning += 1;
}

void endpoint_directory::onEnded(const std::string &id)
{
    const auto it = m_endpoints.find(id);
    if (it != m_endpoints.end() && it->second.ownRunning > 0)
        it->second.ownRunning -= 1;
}

static bool isUsable(const endpoint &item, std::string_view target, std::string_view version)
{
    if (!item.reachable || item.leaving || item.load.draining())
        return false;
    if (version.empty())
        return true;
    return item.loaded.count(std::string(target) + "@" + std::string(version)) != 0;
}

std::vector<const endpoint *> endpoint_directory::candidates(std::string_view pool,
                                                             std::string_view target,
                                                             std::string_view version) const
{
    std::vector<const endpoint *> found;
    for (const std::string &id : m_subset) {
        const auto it = m_endpoints.find(id);
        if (it == m_endpoints.end() || it->second.pool != pool)
            continue;
        if (isUsable(it->second, target, version))
            found.push_back(&it->second);
    }
    return found;
}

const endpoint *endpoint_directory::find(std::string_view id) const
{
    const auto it = m_endpoints.find(id);
    return it == m_endpoints.end() ? nullptr : &it->second;
}
