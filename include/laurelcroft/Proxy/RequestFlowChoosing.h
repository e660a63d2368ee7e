//===-- Proxy/RequestFlowChoosing.h - endpoint selection ---------*- C++ -*-===//
//
// Members of request_flow that choose the endpoint, and thereby the software version, of the next
// attempt. Included by RequestFlow.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_REQUESTFLOWCHOOSING_H
#define LAURELCROFT_PROXY_REQUESTFLOWCHOOSING_H

namespace laurelcroft {

template <flow_environment Env>
unsigned request_flow<Env>::tokensToRead(unsigned kept) const
{
    return m_request->promptTokens - std::min(kept, m_request->promptTokens);
}

template <flow_environment Env>
double request_flow<Env>::prefillMsPerToken()
{
    routing_state &state = m_env.routing();
    const prefill_rate &rate = state.promptRate(modelName());
    const bool first = !m_request->anyModel || m_modelIndex == 0;
    if (first || rate.isKnown())
        return rate.msPerToken();
    // Until a larger model has read a prompt for this entry, estimate its speed from the ratio of
    // its price to the smallest model's. Without the estimate, entries that have just started
    // escalate every request. It raises the score by 0.026 with 32 entries and 57 endpoints
    // (0.619 to 0.646, 3 test days with faults) and by 0.010 with 21 and 40, but not with 3 or 4
    // entries, which observe a larger model's speed soon.
    const service_description *service = m_contract->findService(m_service);
    const std::string &smallest = m_route->models.front();
    const double slowdown = service ? service->priceRatio(modelName(), smallest) : 1;
    return slowdown * state.promptRate(smallest).msPerToken();
}

template <flow_environment Env>
std::optional<endpoint_pick> request_flow<Env>::pickEndpoint()
{
    routing_state &state = m_env.routing();
    state.directory().expire(now());
    m_excludedCold = false;
    m_coldRoomExpected = false;
    m_excludedInBackoff = false;
    m_excludedRateLimited = false;
    m_nextAvailableAt.reset();
    m_excludedWithheld = false;
    m_excludedByRegion = false;
    m_suspicion = ownSuspicion();
    rollout_tracker &rollouts = state.rollouts(m_service);
    const std::vector<endpoint_ptr> &listed = state.directory().usable(m_service);
    // Filter before sampling: only a few of thousands of endpoints may lie in permitted regions.
    const std::vector<endpoint_ptr> within
            = isBoundToRegions() ? withinRegions(listed) : std::vector<endpoint_ptr>();
    const std::vector<endpoint_ptr> &usable = isBoundToRegions() ? within : listed;
    // The version that began the stream may be gone: a completed or reverted roll-out can end it
    // everywhere at once. Refused connections show this before the roll-out row arrives.
    const bool mayHaveEnded
            = rollouts.isOver() || m_unreached >= flow_bounds::unreachedBeforeVersionChange;
    if (m_streamBegun && !mayHaveEnded) {
        std::optional<endpoint_pick> rest = pickForResume(usable);
        if (rest) {
            m_versionReason = version_reason::begunStream;
            return rest;
        }
    }
    std::optional<endpoint_pick> first = pickEligible(usable);
    if (first)
        return first;
    if (std::optional<endpoint_pick> same = pickSameVersion(usable))
        return same;
    // A request that failed on the few endpoints of a trial is served by the settled version.
    std::optional<endpoint_pick> second = pickAmong(rollouts.settled(usable));
    if (second)
        m_versionReason = version_reason::fallback;
    if (second || !m_mayHaveRun)
        return second;
    // All endpoints were tried. One that failed may serve the request at a second attempt.
    m_tried.clear();
    return pickEligible(usable);
}

template <flow_environment Env>
std::optional<endpoint_pick>
request_flow<Env>::pickSameVersion(const std::vector<endpoint_ptr> &usable)
{
    // A session on trial keeps its version while any endpoint of the version may answer, not only
    // the few of the trial. Without this, when a third of the endpoints crashed, failed attempts at
    // the few moved 1 to 3 requests per day back to the old version on 5 of 7 days. A version that
    // was found bad is not tried again.
    rollout_tracker &rollouts = m_env.routing().rollouts(m_service);
    if (m_request->session.empty() || rollouts.evaluator().isFoundBad())
        return std::nullopt;
    std::optional<endpoint_pick> other
            = pickAmong(rollouts.targetEndpointsBeyondTrial(usable, sessionRequest()));
    if (other || !m_mayHaveRun)
        return other;
    m_tried.clear();
    return pickEligible(usable);
}

template <flow_environment Env>
std::optional<endpoint_pick>
request_flow<Env>::pickForResume(const std::vector<endpoint_ptr> &usable)
{
    // Resume a stream at the version that began it: a trial started in the meantime may fail a
    // stream that the caller has half received. The last attempt avoids a suspected version on
    // trial: such a version failed the last attempt of one of 106,000 streams, which then had to be
    // aborted.
    const bool isLast = m_sends + 1 >= m_route->maxEndpoints;
    if (isLast && m_env.routing().rollouts(m_service).evaluator().isSuspected()) {
        std::optional<endpoint_pick> settled
                = pickAmong(m_env.routing().rollouts(m_service).settled(usable));
        if (settled)
            return settled;
    }
    std::vector<endpoint_ptr> sameVersion;
    for (const endpoint_ptr &endpoint : usable) {
        if (endpoint->record().softwareVersion == m_streamVersion)
            sameVersion.push_back(endpoint);
    }
    return pickAmong(sameVersion);
}

template <flow_environment Env>
double request_flow<Env>::shareOfObjective(std::chrono::duration<double, std::milli> time) const
{
    const std::chrono::duration<double, std::milli> objective = m_route->objective;
    return time / objective;
}

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
    candidate.waitMs = endpoint->prefillMs()
            + flow_bounds::remoteReadingWeight * endpoint->remotePrefillMs(at)
            + prompt.msPerToken * tokensToRead(kept);
    candidate.uncachedMs = prompt.msPerToken * (prompt.sharedTokens - kept);
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
    if (m_suspicion == suspicion::strong
        && m_env.routing().suspects().isWithheld(*m_record.key, endpoint->record().softwareVersion,
                                                 at)) {
        candidate.withheld = true;
        m_excludedWithheld = true;
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
bool request_flow<Env>::runsSuspectedRequest(const service_endpoint &endpoint)
{
    // Two requests suspected of the same crash must not share an endpoint, or its next crash can't
    // be attributed to one of them. No other request should use an endpoint that runs a strongly
    // suspected one.
    crash_watch &crashes = m_env.routing().crashes();
    const bool isSuspected = m_suspicion != suspicion::none;
    if (!isSuspected && !crashes.suspects().hasProbes())
        return false;
    return crashes.runs().hasSuspectRun(endpoint.record().id,
                                        isSuspected ? suspicion::weak : suspicion::strong);
}

template <flow_environment Env>
std::optional<endpoint_pick>
request_flow<Env>::pickAmong(const std::vector<endpoint_ptr> &endpoints,
                             std::span<const sampled_endpoint> items)
{
    const prompt_cost prompt{totalTokens(m_prefixes), prefillMsPerToken()};
    std::optional<shared_prompt> shared;
    if (!m_prefixes.empty())
        shared = {m_prefixes.back().hash, prompt.msPerToken * prompt.sharedTokens};
    std::optional<std::uint64_t> promptHash;
    if (shared)
        promptHash = shared->hash;
    const std::uint64_t draw = m_env.routing().random().bits();
    const auto pickFrom
            = [&](const std::vector<std::size_t> &sample) -> std::optional<endpoint_pick> {
        std::vector<direct_candidate> candidates;
        candidates.reserve(sample.size());
        for (const std::size_t index : sample)
            candidates.push_back(candidateFor(endpoints[index], prompt));
        const std::optional<direct_choice> choice = chooseDirect(candidates, shared, draw);
        if (!choice)
            return std::nullopt;
        return endpoint_pick{endpoints[sample[choice->index]], choice->waitMs, choice->reason};
    };
    const std::vector<std::size_t> sample = sampleCandidates(items, promptHash, draw);
    const std::optional<endpoint_pick> pick = pickFrom(sample);
    const bool isAnyExcluded = m_excludedRateLimited || m_excludedInBackoff;
    const bool searchesAll = !pick && isAnyExcluded && sample.size() < endpoints.size();
    return searchesAll ? pickFrom(availableEndpoints(endpoints, draw)) : pick;
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

template <flow_environment Env>
std::optional<endpoint_pick>
request_flow<Env>::pickAmong(const std::vector<endpoint_ptr> &endpoints)
{
    return pickAmong(endpoints, m_env.routing().sampledOf(endpoints));
}

template <flow_environment Env>
std::optional<endpoint_pick>
request_flow<Env>::pickEligible(const std::vector<endpoint_ptr> &usable)
{
    routing_state &state = m_env.routing();
    rollout_tracker &rollouts = state.rollouts(m_service);
    // Common case: there is only one version, and the endpoints need no filtering.
    if (rollouts.mayUseAll(state.directory().commonVersion(m_service))) {
        m_versionReason = version_reason::single;
        if (isBoundToRegions())
            return pickAmong(usable);
        return pickAmong(usable, state.sampled(m_service));
    }
    const version_choice choice = rollouts.eligible(usable, sessionRequest());
    m_versionReason = choice.reason;
    return pickAmong(choice.endpoints);
}

} // namespace laurelcroft

#endif
