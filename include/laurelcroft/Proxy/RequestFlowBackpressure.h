//===-- Proxy/RequestFlowBackpressure.h - slow callers ----------*- C++ -*-===//
//
// Members of request_flow that pass on a large answer before it is complete, and stop reading from
// the endpoint while the caller is behind. Included by RequestFlow.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_REQUESTFLOWBACKPRESSURE_H
#define LAURELCROFT_PROXY_REQUESTFLOWBACKPRESSURE_H

namespace laurelcroft {

template <flow_environment Env>
void request_flow<Env>::holdBack(std::string_view data)
{
    // The body of a refusal is never delivered.
    if (m_answer.notRun) {
        m_droppedBytes += data.size();
        if (m_droppedBytes > flow_bounds::maxHeldAnswerBytes)
            endAttempt(attempt_end::refused);
        return;
    }
    m_body.append(data);
    const bool hasMemory = m_env.holdAnswer(m_body.capacity());
    if (!hasMemory || m_body.size() > flow_bounds::maxHeldAnswerBytes)
        beginPassingOn();
}

template <flow_environment Env>
void request_flow<Env>::beginPassingOn()
{
    // An endpoint's error is only passed on if no other endpoint can be asked.
    const bool isWanted
            = isValidSuccess() || stepAfter(attempt_end::failed, facts()) == next_step::deliver;
    if (!isWanted) {
        endAttempt(attempt_end::broken);
        return;
    }
    m_passingOn = true;
    m_streamBegun = true;
    m_hasFirstEvent = true;
    m_firstEventAt = now();
    // No other endpoint can continue the answer. Only the deadline limits it.
    m_env.runtime().cancel(m_progressTimer);
    m_record.firstPart = std::chrono::duration_cast<milliseconds>(now() - m_arrivedAt);
    m_record.status = m_answer.status;
    m_env.beginWhole(m_answer.status, m_answer.headers, m_answer.bodyLength);
    const std::string held = std::exchange(m_body, {});
    passOn(held);
}

template <flow_environment Env>
void request_flow<Env>::passOn(std::string_view data)
{
    m_lastProgressAt = now();
    m_endpoint->recordProgress(m_lastProgressAt);
    m_passedBytes += data.size();
    m_env.write(data);
    pauseIfBehind();
}

template <flow_environment Env>
void request_flow<Env>::pauseIfBehind()
{
    if (m_paused || !m_env.isCallerBehind())
        return;
    m_paused = true;
    m_pausedAt = now();
    m_env.pause(m_call);
    m_env.whenCallerDrained([weak = weak_flow(this->weak_from_this()), number = m_attemptNumber] {
        const auto self = weak.lock();
        const bool isCurrent
                = self && !self->m_done && self->m_endpoint && self->m_attemptNumber == number;
        if (isCurrent && self->m_paused)
            self->resumeReading();
    });
}

template <flow_environment Env>
void request_flow<Env>::resumeReading()
{
    // If the caller is still behind, the next data pauses the call again. An endpoint cuts off an
    // answer of which nothing is read for seconds.
    m_paused = false;
    m_pausedTime += now() - m_pausedAt;
    m_lastProgressAt = now();
    m_env.resume(m_call);
}

template <flow_environment Env>
bool request_flow<Env>::continuesPastDeadline()
{
    if (!m_endpoint || !(m_passingOn || m_paused))
        return false;
    if (!m_answer.bodyLength && m_passedBytes > flow_bounds::maxLateUnsizedBytes)
        return false;
    const duration pausedNow = m_paused ? now() - m_pausedAt : duration(0);
    const duration heldByEndpoint = now() - m_arrivedAt - m_pausedTime - pausedNow;
    if (heldByEndpoint >= flow_bounds::lateAnswerFactor * (m_deadline - m_arrivedAt))
        return false;
    const duration idle = now() - (m_paused ? m_env.callerProgressAt() : m_lastProgressAt);
    return idle
            < (m_paused ? flow_bounds::callerStallTimeout : flow_bounds::endpointSilenceTimeout);
}

template <flow_environment Env>
void request_flow<Env>::watchDeadline(duration wait)
{
    m_deadlineTimer = m_env.runtime().after(wait, [weak = weak_flow(this->weak_from_this())] {
        const auto self = weak.lock();
        if (!self || self->m_done)
            return;
        if (self->continuesPastDeadline())
            self->watchDeadline(flow_bounds::progressCheckInterval);
        else
            self->onDeadline(flow_reason::timedOut);
    });
}

} // namespace laurelcroft

#endif
