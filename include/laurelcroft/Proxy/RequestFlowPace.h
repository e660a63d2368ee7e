//===-- Proxy/RequestFlowPace.h - pace of the endpoint ----------*- C++ -*-===//
//
// Members of request_flow that turn usual times of the service into those of one endpoint, and
// report the times that they observe. Where the pace of a service is not used, all endpoints count
// as equally fast. Included by RequestFlow.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_REQUESTFLOWPACE_H
#define LAURELCROFT_PROXY_REQUESTFLOWPACE_H

namespace laurelcroft {

template <flow_environment Env>
double request_flow<Env>::usualSlowdown(const service_endpoint &endpoint)
{
    return m_env.routing().usesPace(m_service) ? endpoint.pace().usual(now()) : 1;
}

template <flow_environment Env>
double request_flow<Env>::expectedMs(const service_endpoint &endpoint, double workMs)
{
    return m_env.routing().usesPace(m_service) ? endpoint.pace().expectedMs(workMs, now()) : workMs;
}

template <flow_environment Env>
double request_flow<Env>::waitMs(const service_endpoint &endpoint,
                                 const direct_candidate &candidate, const prompt_cost &prompt,
                                 unsigned tokens)
{
    const time_point at = now();
    const double readingMs = prompt.msPerToken * tokens;
    const double remoteMs = flow_bounds::remoteReadingWeight * endpoint.remotePrefillMs(at);
    if (!prompt.work)
        return endpoint.prefillMs() + remoteMs + readingMs;
    endpoint_queue queue;
    queue.load = candidate.load;
    queue.slots = candidate.slots;
    queue.waiting = endpoint.expectedQueue(at);
    // The prompts of other entries are known by the time that they take there.
    queue.knownReadingMs = endpoint.prefillMs() + remoteMs / candidate.slowdown;
    return endpoint.pace().expectedMs(queueTimeMs(queue, *prompt.work) + readingMs, at);
}

template <flow_environment Env>
double request_flow<Env>::statedSlowdown()
{
    return m_env.routing().usesPace(m_service) ? m_endpoint->pace().statedUsual(now()) : 1;
}

template <flow_environment Env>
void request_flow<Env>::observePace()
{
    routing_state &state = m_env.routing();
    if (!state.usesPace(m_service))
        return;
    if (const std::optional<duration> pause = m_pauses.median())
        state.pace().observe(*m_endpoint, m_record.model, *pause, now());
    else if (!isStream())
        state.pace().observe(*m_endpoint, m_route->name, now() - m_attemptAt, now());
    const std::chrono::duration<double, std::milli> run
            = now() - (m_hasFirstEvent ? m_firstEventAt : m_attemptAt);
    state.pace().workOf(m_service).runMs.add(run.count() / usualSlowdown(*m_endpoint));
}

} // namespace laurelcroft

#endif
