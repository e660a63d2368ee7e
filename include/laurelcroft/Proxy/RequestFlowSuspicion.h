//===-- Proxy/RequestFlowSuspicion.h - requests suspected of crashes *- C++ -*-===//
//
// Members of request_flow that handle requests suspected of crashing endpoints. Included by
// RequestFlow.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_REQUESTFLOWSUSPICION_H
#define LAURELCROFT_PROXY_REQUESTFLOWSUSPICION_H

namespace laurelcroft {

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
void request_flow<Env>::beginRun()
{
    crash_watch &crashes = m_env.routing().crashes();
    m_run = crashes.runs().add(m_endpoint->record().id, m_request, m_attemptAt);
    m_run->route = m_route->name;
    m_run->customer = m_record.customer;
    m_run->partKeys = m_record.partKeys;
    m_run->suspected = m_suspicion;
    m_isTrial = m_suspicion != suspicion::none;
    if (m_isTrial)
        crashes.suspects().probeStarted(*m_record.key);
}

template <flow_environment Env>
void request_flow<Env>::endRun()
{
    endTrial();
    m_run->abandonedAt = now();
    m_run = nullptr;
}

template <flow_environment Env>
void request_flow<Env>::endTrial()
{
    if (std::exchange(m_isTrial, false))
        m_env.routing().suspects().probeFinished(*m_record.key);
}

template <flow_environment Env>
std::optional<request_key> request_flow<Env>::keyIfSuspected()
{
    if (m_env.routing().suspects().isEmpty())
        return std::nullopt;
    if (!m_record.key)
        m_record.key = keyOf(*m_request);
    return m_record.key;
}

template <flow_environment Env>
suspicion request_flow<Env>::ownSuspicion()
{
    const std::optional<request_key> key = keyIfSuspected();
    return key ? m_env.routing().suspects().suspicionOf(*key, now()) : suspicion::none;
}

template <flow_environment Env>
bool request_flow<Env>::waitForTrial()
{
    const suspicion own = ownSuspicion();
    const bool mayHaveEndedEndpoint = own == suspicion::weak && m_mayHaveRun;
    if (own != suspicion::strong && !mayHaveEndedEndpoint)
        return false;
    // Wait while an identical request is on trial: its outcome shows within the time of an answer
    // whether the request crashes endpoints. Then all waiting requests proceed or all are refused.
    // Each one that was sent concurrently could crash one more endpoint.
    const crash_suspects &suspects = m_env.routing().suspects();
    if (suspects.isUnconfirmed(*m_record.key, now())) {
        sendAfter(flow_bounds::roomCheckInterval);
        return true;
    }
    const bool isKnown = suspects.withheldUntil(*m_record.key, now()).has_value();
    if (isKnown || !suspects.isProbing(*m_record.key))
        return false;
    return waitAndSend(m_route->objective);
}

template <flow_environment Env>
void request_flow<Env>::clearOfSuspicion()
{
    const std::optional<request_key> key = keyIfSuspected();
    if (!key)
        return;
    endTrial();
    m_run->suspected = suspicion::none;
    m_env.routing().crashes().clear(*key, m_endpoint->record().softwareVersion, now());
}

} // namespace laurelcroft

#endif
