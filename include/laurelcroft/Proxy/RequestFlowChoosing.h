//===-- Proxy/RequestFlowChoosing.h - endpoint selection --------*- C++ -*-===//
//
// Members of request_flow that choose the endpoint, and thereby the software version, of the next
// attempt. Included by RequestFlow.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_REQUESTFLOWCHOOSING_H
#define LAURELCROFT_PROXY_REQUESTFLOWCHOOSING_H

namespace laurelcroft {

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
    // the few of the trial, which may have crashed. A version that was found bad is not tried
    // again.
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
    // trial: if it fails, the stream must be aborted.
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
std::optional<endpoint_pick>
request_flow<Env>::pickAmong(const std::vector<endpoint_ptr> &endpoints,
                             std::span<const sampled_endpoint> items)
{
    routing_state &state = m_env.routing();
    const mean_work *work = state.usesPace(m_service) ? &state.pace().workOf(m_service) : nullptr;
    const prompt_cost prompt{totalTokens(m_prefixes), prefillMsPerToken(), work};
    std::optional<shared_prompt> shared;
    if (!m_prefixes.empty())
        shared = {m_prefixes.back().hash, prompt.msPerToken * prompt.sharedTokens};
    std::optional<std::uint64_t> promptHash;
    if (shared)
        promptHash = shared->hash;
    const std::uint64_t draw = state.random().bits();
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
