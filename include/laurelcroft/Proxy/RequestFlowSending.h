//===-- Proxy/RequestFlowSending.h - sends to endpoints ---------*- C++ -*-===//
//
// Members of request_flow that send a request to an endpoint and count its further sends. Included
// by RequestFlow.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_REQUESTFLOWSENDING_H
#define LAURELCROFT_PROXY_REQUESTFLOWSENDING_H

#include <cassert>

namespace laurelcroft {

template <flow_environment Env>
void request_flow<Env>::sendNext()
{
    if (waitForTrial())
        return;
    const std::optional<endpoint_pick> pick = pickEndpoint();
    if (pick) {
        m_waitingSince.reset();
        if (refuseForRoom(*pick))
            return;
        send(*pick);
        return;
    }
    if (waitForRoom())
        return;
    const flow_reason why = m_excludedWithheld ? flow_reason::withheld : flow_reason::noEndpoint;
    if (m_streamBegun) {
        m_env.abort();
        finish(why, 0);
    } else if (m_hasEndpointFailure) {
        deliver();
    } else if (m_mayHaveRun) {
        refuse(http_status::badGateway, why, std::nullopt);
    } else {
        refuseUnsent();
    }
}

template <flow_environment Env>
void request_flow<Env>::send(const endpoint_pick &pick)
{
    const endpoint_ptr &endpoint = pick.endpoint;
    routing_state &state = m_env.routing();
    m_attemptAt = now();
    m_lastProgressAt = m_attemptAt;
    m_hasFirstEvent = false;
    m_isProven = false;
    m_attemptEvents = 0;
    m_pauses.clear();
    m_headReceived = false;
    m_countedSlow = false;
    m_body.clear();
    m_droppedBytes = 0;
    m_paused = false;
    m_pausedTime = duration(0);
    m_splitter = isStream() ? std::make_unique<event_splitter>() : nullptr;
    m_endpoint = endpoint;
    m_endpoint->requestStarted();
    m_endpoint->recordSend(m_attemptAt);
    noteRun();
    beginRun();
    m_readTokens = tokensToRead(endpoint->prefixCache().cachedTokens(m_prefixes));
    m_prefillMs = prefillMsPerToken() * m_readTokens;
    m_expectedPrefillMs = expectedMs(*m_endpoint, m_endpoint->prefillMs() + m_prefillMs);
    m_remotePrefillMs = m_endpoint->remotePrefillMs(m_attemptAt);
    m_ownPrefillShare = pick.waitMs > 0 ? expectedMs(*m_endpoint, m_prefillMs) / pick.waitMs : 1;
    m_endpoint->addPrefill(m_prefillMs);
    state.pace().workOf(m_service).readingMs.add(m_prefillMs);
    state.noteSend(*endpoint, m_prefillMs, m_prefixes);
    m_endpoint->prefixCache().insert(m_prefixes);
    m_tried.push_back(endpoint->record().id);
    assert((m_receivedSends == 0 || m_reservedSend)
           && "a further send must be reserved in the budget first");
    m_currentFurtherSend
            = m_receivedSends > 0 ? std::exchange(m_reservedSend, std::nullopt) : std::nullopt;
    if (m_currentFurtherSend)
        m_env.sentFurther(m_record, *m_currentFurtherSend);
    ++m_sends;
    ++m_attemptNumber;

    m_record.attempts = m_attemptNumber;
    m_record.choice = textOf(pick.reason);
    m_record.endpoint = endpoint->record().id;
    m_record.endpointVersion = endpoint->record().softwareVersion;
    m_record.slowdown.reset();
    if (state.usesPace(m_service))
        m_record.slowdown = endpoint->pace().slowdown(m_attemptAt);
    m_record.endpointLeaving = false;
    m_record.endpointRetryAfter.reset();
    m_record.versionReason = textOf(m_versionReason);
    m_record.stage = state.rollouts(m_service).stageName();

    proxy_attempt attempt;
    attempt.request = m_request;
    attempt.endpoint = endpoint;
    attempt.remaining = timeLeft();
    attempt.priority = urgency();
    if (m_customer)
        attempt.customer = m_customer->name;
    m_record.model = modelName();
    if (m_record.model != m_request->model)
        attempt.model = m_record.model;
    attempt.afterEvent = m_lastEventId;
    attempt.atMostOnce = !m_route->mayRepeat();
    m_call = m_env.call(std::move(attempt), eventsFor(m_attemptNumber));
    watchProgress(m_attemptNumber);
}

template <flow_environment Env>
bool request_flow<Env>::mayTakeFurtherSend(further_send what)
{
    return m_reservedSend || budget().allows(now(), allowanceShare(), what);
}

template <flow_environment Env>
bool request_flow<Env>::takeFurtherSend(further_send what)
{
    // Reserve the send as soon as it is decided. Otherwise several requests that wait before their
    // send would all count on the same remaining budget.
    if (!m_reservedSend && budget().take(now(), allowanceShare(), what))
        m_reservedSend = what;
    return m_reservedSend.has_value();
}

template <flow_environment Env>
call_events request_flow<Env>::eventsFor(unsigned number)
{
    const weak_flow weak = this->weak_from_this();
    const auto current = [weak, number]() -> std::shared_ptr<request_flow> {
        auto self = weak.lock();
        const bool isCurrent
                = self && !self->m_done && self->m_attemptNumber == number && self->m_endpoint;
        return isCurrent ? self : nullptr;
    };
    call_events events;
    events.onAnswer = [current](proxy_answer &&answer) {
        if (const auto self = current())
            self->onAnswer(std::move(answer));
    };
    events.onData = [current](std::string_view data) {
        if (const auto self = current())
            self->onData(data);
    };
    events.onEnd = [current](call_end end) {
        if (const auto self = current())
            self->onEnd(end);
    };
    return events;
}

template <flow_environment Env>
void request_flow<Env>::noteRun()
{
    if (m_runNotedAt)
        return;
    m_runNotedAt = m_attemptAt;
    m_env.routing().noteRun({m_record.customer, m_attemptAt, true});
}

template <flow_environment Env>
void request_flow<Env>::noteNotRun()
{
    if (m_runNotedAt != m_attemptAt)
        return;
    m_runNotedAt.reset();
    m_env.routing().noteRun({m_record.customer, m_attemptAt, false});
}

} // namespace laurelcroft

#endif
