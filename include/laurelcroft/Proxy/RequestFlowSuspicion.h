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
    if (m_suspicion == suspicion::none)
        return;
    m_trialKeys = crashes.suspects().suspectedOf(suspectKeys(), now());
    for (const request_key key : m_trialKeys)
        crashes.suspects().probeStarted(key);
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
    for (const request_key key : std::exchange(m_trialKeys, {}))
        m_env.routing().suspects().probeFinished(key);
}

template <flow_environment Env>
std::span<const request_key> request_flow<Env>::suspectKeys()
{
    if (m_suspectKeys.empty() && !m_env.routing().suspects().isEmpty()) {
        if (!m_record.key)
            m_record.key = keyOf(*m_request);
        m_suspectKeys = m_record.partKeys;
        m_suspectKeys.push_back(*m_record.key);
    }
    return m_suspectKeys;
}

template <flow_environment Env>
suspicion request_flow<Env>::ownSuspicion()
{
    return m_env.routing().suspects().suspicionOf(suspectKeys(), now());
}

template <flow_environment Env>
std::optional<request_key> request_flow<Env>::withholdingKey(const service_endpoint &endpoint)
{
    if (m_suspicion != suspicion::strong)
        return std::nullopt;
    return m_env.routing().suspects().withholdingKey(m_suspectKeys,
                                                     endpoint.record().softwareVersion, now());
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
    if (suspects.isUnconfirmed(m_suspectKeys, now())) {
        sendAfter(flow_bounds::roomCheckInterval);
        return true;
    }
    const bool isKnown = suspects.withheldUntil(m_suspectKeys, now()).has_value();
    if (isKnown || !suspects.isProbing(m_suspectKeys))
        return false;
    return waitAndSend(m_route->objective);
}

template <flow_environment Env>
void request_flow<Env>::clearOfSuspicion()
{
    crash_watch &crashes = m_env.routing().crashes();
    const std::string &version = m_endpoint->record().softwareVersion;
    if (!suspectKeys().empty()) {
        endTrial();
        m_run->suspected = suspicion::none;
        crashes.clear(*m_record.key, version, now());
    }
    crashes.proveParts(m_record.partKeys, version, now());
}

} // namespace laurelcroft

#endif
