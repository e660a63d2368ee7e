//===-- Proxy/RequestFlowEndpointState.h - reported state --------*- C++ -*-===//
//
// Members of request_flow that update an endpoint's state from the head of its answer.
// Included by RequestFlow.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_REQUESTFLOWENDPOINTSTATE_H
#define LAURELCROFT_PROXY_REQUESTFLOWENDPOINTSTATE_H

namespace laurelcroft {

template <flow_environment Env>
void request_flow<Env>::noteEndpointState()
{
    // Another process runs on another machine.
    if (m_answer.load && m_answer.misdirected)
        m_answer.load->slowdown.reset();
    if (m_answer.load)
        m_endpoint->recordLoadReport(*m_answer.load, now());
    if (m_answer.load && m_answer.load->slowdown)
        m_env.routing().notePaceStated(*m_endpoint, now());
    // A misdirected answer comes from another process at the address, so the values below don't
    // apply to this endpoint.
    if (m_answer.misdirected)
        return;
    noteStatedRoom();
    // An unsigned answer may come from an intermediary, so a missing limit in it doesn't clear the
    // known one.
    if (m_answer.rateLimit || m_answer.signedByEndpoint)
        m_env.routing().rateLimits().update(*m_endpoint, m_answer.rateLimit, now());
    if (m_answer.endpointLeaving)
        m_env.routing().noteLeaving(*m_endpoint, now());
    m_record.endpointLeaving = m_answer.endpointLeaving;
    if (!m_answer.notRun)
        m_endpoint->acceptedRequest();
    if (m_answer.retryAfter)
        m_env.routing().noteBackoff(*m_endpoint, *m_answer.retryAfter, now());
    m_record.endpointRetryAfter = m_answer.retryAfter;
}

} // namespace laurelcroft

#endif
