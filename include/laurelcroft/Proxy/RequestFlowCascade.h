//===-- Proxy/RequestFlowCascade.h - models and escalation ------*- C++ -*-===//
//
// Members of request_flow that choose the model, estimate how fast it reads the prompt, and
// escalate to a larger one. Included by RequestFlow.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_REQUESTFLOWCASCADE_H
#define LAURELCROFT_PROXY_REQUESTFLOWCASCADE_H

#include "laurelcroft/Policy/PressureCascade.h"
#include "laurelcroft/Support/Crypto.h"

namespace laurelcroft {

template <flow_environment Env>
std::string request_flow<Env>::modelName() const
{
    const bool chosenHere = m_request->anyModel && m_modelIndex < m_route->models.size();
    return chosenHere ? m_route->models[m_modelIndex] : m_request->model;
}

template <flow_environment Env>
std::vector<prompt_prefix> request_flow<Env>::prefixesOf(const std::string &model) const
{
    std::vector<prompt_prefix> prefixes;
    std::uint64_t hash = stableHash(model);
    // The last part is unique to the request, so no other request shares it.
    for (std::size_t i = 0; i + 1 < m_request->promptParts.size(); ++i) {
        const prompt_part &part = m_request->promptParts[i];
        hash = stableHash(part.id, hash);
        prefixes.push_back({hash, part.tokens});
    }
    return prefixes;
}

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
double request_flow<Env>::shareOfObjective(std::chrono::duration<double, std::milli> time) const
{
    const std::chrono::duration<double, std::milli> objective = m_route->objective;
    return time / objective;
}

template <flow_environment Env>
void request_flow<Env>::noteWait()
{
    const std::chrono::duration<double, std::milli> wait = now() - m_attemptAt;
    m_env.routing().waits(m_service).addSample(shareOfObjective(wait));
    if (m_env.routing().usesPressureInCascade(m_service))
        m_env.routing().pressure(m_service).addSample(shareOfObjective(wait), now());
    if (m_headReceived)
        m_env.routing()
                .promptRate(m_record.model)
                .addSample(m_readTokens, wait.count() / usualSlowdown(*m_endpoint),
                           m_ownPrefillShare);
    noteAnswerTime();
    m_record.serviceWait = m_env.routing().waits(m_service).mean();
}

template <flow_environment Env>
cascade_view request_flow<Env>::cascadeView()
{
    const attempt_facts now = facts();
    cascade_view view;
    view.model = m_modelIndex;
    view.models = m_route->models.size();
    view.confidence = m_answer.confidence;
    view.wait = m_env.routing().waits(m_service).mean();
    view.draw = m_env.routing().random().uniform();
    view.mayRunAgain = m_route->mayRepeat() && now.endpointsLeft && now.timeLeft && mayDropAnswer();
    return view;
}

template <flow_environment Env>
bool request_flow<Env>::mayDropAnswer()
{
    constexpr double sendsOfEscalationAndRepeat = 2;
    routing_state &state = m_env.routing();
    const bool needsRepeat = state.backoffs().hasRefusingEndpoint(m_service, now())
            || !state.waits(m_service).isKnown();
    const bool hasRepeat
            = budget().availableSends(now(), allowanceShare()) >= sendsOfEscalationAndRepeat;
    return mayTakeFurtherSend(further_send::largerModel) && (!needsRepeat || hasRepeat);
}

template <flow_environment Env>
std::optional<std::size_t> request_flow<Env>::escalationCandidate(const cascade_view &view)
{
    routing_state &state = m_env.routing();
    if (!state.usesPressureInCascade(m_service))
        return escalationTarget(state.cascade(), view);
    const bool isLargest = view.model + 1 >= view.models;
    if (isLargest || !view.confidence)
        return std::nullopt;
    m_record.servicePressure = state.pressure(m_service).level(now());
    m_record.secondRun = second_run::unavailable;
    if (*view.confidence >= state.cascade().keepFrom)
        m_record.secondRun = second_run::confident;
    else if (view.mayRunAgain)
        return view.models - 1;
    return std::nullopt;
}

template <flow_environment Env>
bool request_flow<Env>::mayEscalateTo(const endpoint_pick &pick, const cascade_view &view)
{
    if (m_env.routing().usesPressureInCascade(m_service))
        return mayEscalateUnderPressure(pick, view);
    return escalationTarget(m_env.routing().cascade(), view).has_value();
}

template <flow_environment Env>
bool request_flow<Env>::mayEscalateUnderPressure(const endpoint_pick &pick,
                                                 const cascade_view &view)
{
    routing_state &state = m_env.routing();
    const service_endpoint &endpoint = *pick.endpoint;
    const unsigned kept = endpoint.prefixCache().cachedTokens(m_prefixes);
    const double slowdown = endpoint.pace().slowdown(now());
    const service_demand &demand = state.demand(m_service);
    second_run_view second;
    second.confidence = view.confidence.value_or(0);
    second.keepFrom = state.cascade().keepFrom;
    second.expectedAt = view.expectedAt;
    second.readTime
            = second_run_view::fractional_ms(prefillMsPerToken() * tokensToRead(kept) * slowdown);
    second.tokens = m_request->promptTokens;
    second.urgency = urgency();
    second.pressure = *m_record.servicePressure;
    second.usualObjective = demand.objective(m_route->objective);
    second.usualUrgency = demand.urgency(second.urgency);
    second.usualTokens = demand.promptTokens();
    second.requestsPerSecond = state.requestsPerEndpoint(m_service, now());
    m_record.secondRun = decideSecondRun(second);
    m_record.secondRunReadTime = std::chrono::round<milliseconds>(second.readTime);
    m_record.secondRunLate = expectedLateRequests(second);
    return m_record.secondRun == second_run::sent;
}

template <flow_environment Env>
void request_flow<Env>::escalate()
{
    // A suspected request stays at its endpoint, so that a crash is attributed to it. Escalation
    // could crash the larger model's endpoint as well.
    if (!m_request->anyModel || ownSuspicion() != suspicion::none)
        return;
    cascade_view view = cascadeView();
    const std::optional<std::size_t> larger = escalationCandidate(view);
    if (!larger)
        return;
    // Drop the answer only if an endpoint is available for the larger model.
    const std::vector<std::string> tried = std::exchange(m_tried, {});
    const std::size_t smaller = std::exchange(m_modelIndex, *larger);
    m_prefixes = prefixesOf(modelName());
    const std::optional<endpoint_pick> pick = pickEndpoint();
    if (pick) {
        const std::chrono::duration<double, std::milli> wait(pick->waitMs);
        view.expectedAt = shareOfObjective(now() - m_arrivedAt + wait);
    }
    m_record.largerExpectedAt = view.expectedAt;
    if (!pick || !mayEscalateTo(*pick, view) || !takeFurtherSend(further_send::largerModel)) {
        m_tried = tried;
        m_modelIndex = smaller;
        m_prefixes = prefixesOf(modelName());
        return;
    }
    m_env.escalated(m_record, modelName());
    m_escalatedFrom = m_endpoint;
    closeAttempt(attempt_end::answered);
    m_env.cancel(m_call);
    m_mayHaveRun = true;
    // The dropped attempt reached its endpoint, but it is not counted by countAttempt().
    ++m_receivedSends;
    ++m_record.escalations;
    send(*pick);
}

} // namespace laurelcroft

#endif
