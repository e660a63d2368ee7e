//===-- Proxy/RequestFlowAnswering.h - answers to the caller ----*- C++ -*-===//
//
// Members of request_flow that handle an endpoint's answer and the response to the caller.
// Included by RequestFlow.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_REQUESTFLOWANSWERING_H
#define LAURELCROFT_PROXY_REQUESTFLOWANSWERING_H

#include "laurelcroft/Http/Message.h"

namespace laurelcroft {

template <flow_environment Env>
bool request_flow<Env>::isValidSuccess() const
{
    return isSuccess(m_answer.status) && m_answer.signedByEndpoint && !m_answer.encoded;
}

template <flow_environment Env>
void request_flow<Env>::onAnswer(proxy_answer &&answer)
{
    m_answer = std::move(answer);
    m_headReceived = true;
    // Endpoints may send the head of a stream before they have read the prompt.
    if (!isStream())
        m_run->answerBeganAt = now();
    endReading();
    m_endpoint->recordProgress(now());
    noteEndpointState();
    const bool success = isSuccess(m_answer.status);
    if (success && !isValidSuccess()) {
        endAttempt(attempt_end::broken);
        return;
    }
    if (!success)
        return;
    outlook().succeeded();
    if (m_streamBegun)
        return;
    noteWait();
    if (m_env.routing().usesPressureInCascade(m_service))
        m_env.routing().demand(m_service).addAnswer(m_route->objective, urgency(),
                                                    m_request->promptTokens, now());
    m_record.confidence = m_answer.confidence;
    escalate();
}

template <flow_environment Env>
void request_flow<Env>::onData(std::string_view data)
{
    if (isStream() && isValidSuccess()) {
        const auto keep = this->shared_from_this();
        const unsigned number = m_attemptNumber;
        m_splitter->feed(data, [&](const stream_event &event) {
            if (!m_done && m_attemptNumber == number)
                onEvent(event);
        });
        if (m_splitter->heldBytes() > flow_bounds::maxEventBytes)
            endAttempt(attempt_end::broken);
        return;
    }
    if (m_passingOn)
        passOn(data);
    else
        holdBack(data);
}

template <flow_environment Env>
void request_flow<Env>::onEvent(const stream_event &event)
{
    const time_point previousAt = std::exchange(m_lastProgressAt, now());
    m_endpoint->recordProgress(m_lastProgressAt);
    ++m_attemptEvents;
    if (m_hasFirstEvent)
        m_pauses.add(m_lastProgressAt - previousAt);
    if (!std::exchange(m_hasFirstEvent, true)) {
        m_firstEventAt = m_lastProgressAt;
        m_run->answerBeganAt = m_firstEventAt;
        // Pauses between events have a shorter limit than the wait for the first event.
        m_env.runtime().cancel(m_progressTimer);
        watchProgress(m_attemptNumber);
    }
    if (!m_isProven && m_lastProgressAt - m_firstEventAt > endpoint_runs::clearedAfter) {
        m_isProven = true;
        clearOfSuspicion();
        m_suspicion = suspicion::none;
    }
    const bool repeated = event.id && m_lastEventId && *event.id <= *m_lastEventId;
    if (repeated)
        return;
    if (!m_streamBegun) {
        m_streamBegun = true;
        m_streamVersion = m_endpoint->record().softwareVersion;
        m_record.firstPart = std::chrono::duration_cast<milliseconds>(now() - m_arrivedAt);
        m_record.status = m_answer.status;
        m_env.begin(m_answer.status, m_answer.headers);
    }
    if (event.id)
        m_lastEventId = event.id;
    if (m_record.events > 0)
        m_record.maxPause = std::max(
                m_record.maxPause, std::chrono::round<milliseconds>(m_lastProgressAt - m_passedAt));
    m_passedAt = m_lastProgressAt;
    ++m_record.events;
    m_env.write(event.text);
    pauseIfBehind();
}

template <flow_environment Env>
void request_flow<Env>::onEnd(call_end end)
{
    if (m_headReceived && m_answer.notRun) {
        endAttempt(attempt_end::refused);
        return;
    }
    if (end != call_end::complete) {
        endAttempt(end == call_end::notSent ? attempt_end::notSent : attempt_end::broken);
        return;
    }
    if (!isValidSuccess())
        endAttempt(attempt_end::failed);
    else if (!m_passingOn && isStream() && !m_splitter->atBoundary())
        endAttempt(attempt_end::broken);
    else
        endAttempt(attempt_end::answered);
}

template <flow_environment Env>
void request_flow<Env>::deliver()
{
    const bool served = isValidSuccess();
    const flow_reason why = served ? flow_reason::served : flow_reason::endpointFailure;
    if (m_passingOn) {
        m_env.end();
        finish(why, m_answer.status);
        return;
    }
    if (served && isStream()) {
        if (!m_streamBegun)
            m_env.begin(m_answer.status, m_answer.headers);
        m_env.end();
        finish(why, m_answer.status);
        return;
    }
    m_record.firstPart = std::chrono::duration_cast<milliseconds>(now() - m_arrivedAt);
    m_env.reply(m_answer.status, m_answer.headers, std::move(m_body));
    finish(why, m_answer.status);
}

template <flow_environment Env>
void request_flow<Env>::onDeadline(flow_reason why)
{
    if (m_done)
        return;
    if (m_endpoint) {
        // An endpoint whose answer is not read can't make progress.
        const bool silent = !m_paused && now() - m_lastProgressAt >= m_route->objective;
        closeAttempt(silent ? attempt_end::silent : attempt_end::answered);
        m_env.cancel(m_call);
        m_mayHaveRun = true;
    }
    if (m_streamBegun) {
        m_env.abort();
        finish(why, 0);
    } else if (m_mayHaveRun) {
        refuse(http_status::gatewayTimeout, why, std::nullopt);
    } else {
        refuse(http_status::unavailable, why, flow_bounds::minRetryAfter);
    }
}

template <flow_environment Env>
void request_flow<Env>::callerLeft()
{
    if (m_done)
        return;
    if (m_endpoint) {
        endReading();
        m_endpoint->requestEnded();
        endRun();
        m_endpoint = nullptr;
        m_env.cancel(m_call);
    }
    const bool wasCutOff = m_env.wasCallerCutOff();
    finish(wasCutOff ? flow_reason::callerStalled : flow_reason::callerLeft, m_record.status);
}

template <flow_environment Env>
void request_flow<Env>::finish(flow_reason why, int status)
{
    m_done = true;
    if (std::exchange(m_reservedSend, std::nullopt))
        budget().refund();
    m_env.runtime().cancel(m_deadlineTimer);
    m_env.runtime().cancel(m_progressTimer);
    m_record.reason = why;
    m_record.status = status;
    m_record.total = std::chrono::duration_cast<milliseconds>(now() - m_arrivedAt);
    m_env.finished(m_record);
}

} // namespace laurelcroft

#endif
