//===-- Proxy/RequestFlowCandidates.h - endpoints as candidates -*- C++ -*-===//
//
// Members of request_flow that describe each endpoint to the endpoint choice, with the limits that
// exclude it. Included by RequestFlow.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_REQUESTFLOWCANDIDATES_H
#define LAURELCROFT_PROXY_REQUESTFLOWCANDIDATES_H

namespace laurelcroft {

template <flow_environment Env>
direct_candidate request_flow<Env>::candidateFor(const endpoint_ptr &endpoint,
                                                 const prompt_cost &prompt)
{
    const time_point at = now();
    const unsigned kept = endpoint->prefixCache().cachedTokens(m_prefixes);
    direct_candidate candidate;
    candidate.idHash = endpoint->idHash();
    candidate.load = endpoint->expectedLoad(at);
    candidate.slots = std::max(1U, endpoint->record().slots);
    candidate.slowdown = prompt.work ? endpoint->pace().batchSlowdown(at) : 1;
    candidate.waitMs = waitMs(*endpoint, candidate, prompt, tokensToRead(kept));
    candidate.uncachedMs = candidate.slowdown * prompt.msPerToken * (prompt.sharedTokens - kept);
    candidate.failureRate = endpoint->failureRate(at);
    candidate.sameDataCentre = endpoint->record().dataCentre == m_env.routing().dataCentre();
    // An endpoint that refuses immediately has no load and thus the lowest cost. Further attempts
    // avoid it until it accepts a request, so that one request does not spend all its attempts on
    // such endpoints.
    candidate.avoided
            = endpoint->isAvoided(at) || (m_receivedSends > 0 && endpoint->isRecoveryUnconfirmed());
    candidate.tried
            = std::find(m_tried.begin(), m_tried.end(), endpoint->record().id) != m_tried.end();
    candidate.runsSuspect = runsSuspectedRequest(*endpoint);
    if (const std::optional<request_key> key = withholdingKey(*endpoint)) {
        candidate.withheld = true;
        m_excludedWithheld = true;
        m_record.withheldBy = key;
    }
    candidate.failedInDataCentre = m_failedDataCentres.count(endpoint->record().dataCentre) != 0;
    candidate.hasConnection = m_env.hasRoomAt(endpoint);
    if (const std::optional<double> share = m_env.routing().coldShare(*endpoint, at)) {
        candidate.withinRateShare = endpoint->hasRoomFor(*share, at);
        m_excludedCold = m_excludedCold || !candidate.withinRateShare;
        m_coldRoomExpected = m_coldRoomExpected || (*share > 0 && !candidate.tried);
    }
    if (endpoint->isInBackoff(at))
        applyBackoff(*endpoint, candidate);
    if (endpoint->rateLimit())
        applyRateLimit(*endpoint, candidate);
    return candidate;
}

template <flow_environment Env>
void request_flow<Env>::applyBackoff(const service_endpoint &endpoint, direct_candidate &candidate)
{
    candidate.isInBackoff = true;
    m_excludedInBackoff = true;
    noteAvailableAt(candidate, endpoint.backoffUntil());
}

template <flow_environment Env>
void request_flow<Env>::noteAvailableAt(const direct_candidate &candidate, time_point at)
{
    if (!candidate.tried)
        m_nextAvailableAt = m_nextAvailableAt ? std::min(*m_nextAvailableAt, at) : at;
}

template <flow_environment Env>
void request_flow<Env>::applyRateLimit(const service_endpoint &endpoint,
                                       direct_candidate &candidate)
{
    routing_state &state = m_env.routing();
    const double share = state.limitShare(endpoint);
    candidate.hasRateLimit = true;
    if (endpoint.hasRoomFor(share, now()) || (share <= 0 && state.isLimitCheckDue(endpoint, now())))
        return;
    candidate.withinRateShare = false;
    m_excludedRateLimited = true;
    if (share > 0)
        noteAvailableAt(candidate, endpoint.nextSendAllowedAt(share));
}

template <flow_environment Env>
bool request_flow<Env>::isBoundToRegions() const
{
    return !m_route->homeRegions.empty() || (m_customer && !m_customer->homeRegions.empty());
}

template <flow_environment Env>
std::vector<endpoint_ptr>
request_flow<Env>::withinRegions(const std::vector<endpoint_ptr> &endpoints)
{
    const routing_state &state = m_env.routing();
    std::vector<endpoint_ptr> within;
    for (const endpoint_ptr &endpoint : endpoints) {
        const std::string &dataCentre = endpoint->record().dataCentre;
        const bool mayServe = state.isInRegions(dataCentre, m_route->homeRegions)
                && (!m_customer || state.isInRegions(dataCentre, m_customer->homeRegions));
        if (mayServe)
            within.push_back(endpoint);
    }
    m_excludedByRegion = within.size() < endpoints.size();
    return within;
}

template <flow_environment Env>
std::vector<std::size_t>
request_flow<Env>::availableEndpoints(const std::vector<endpoint_ptr> &endpoints,
                                      std::uint64_t draw)
{
    std::vector<std::size_t> within;
    const std::size_t from = draw % endpoints.size();
    for (std::size_t i = 0; i < endpoints.size() && within.size() < maxCandidates; ++i) {
        const std::size_t index = (from + i) % endpoints.size();
        const service_endpoint &endpoint = *endpoints[index];
        const bool hasRoom = !endpoint.rateLimit()
                || endpoint.hasRoomFor(m_env.routing().limitShare(endpoint), now());
        if (hasRoom && !endpoint.isInBackoff(now()))
            within.push_back(index);
    }
    return within;
}

} // namespace laurelcroft

#endif
