//===-- Proxy/RequestFlowAttempts.h - end of an attempt ---------*- C++ -*-===//
//
// Members of request_flow that end an attempt and decide on the next step. Included by
// RequestFlow.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_REQUESTFLOWATTEMPTS_H
#define LAURELCROFT_PROXY_REQUESTFLOWATTEMPTS_H

namespace laurelcroft {

template <flow_environment Env>
answer_timing request_flow<Env>::timingNow()
{
    // Only what the endpoint states is taken into account: a version that makes all its endpoints
    // slow shows in the observed times.
    const double slowdown = statedSlowdown();
    answer_timing timing;
    timing.wait = atUsualPace((m_hasFirstEvent ? m_firstEventAt : now()) - m_attemptAt, slowdown);
    timing.countedSlow = m_countedSlow;
    timing.reading = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(m_expectedPrefillMs + m_remotePrefillMs)
            / slowdown);
    // The time in which the answer was not read says nothing about the endpoint.
    const duration receiving = m_lastProgressAt - m_firstEventAt - m_pausedTime;
    if (m_attemptEvents > 1)
        timing.pause
                = atUsualPace(std::max(duration(0), receiving) / (m_attemptEvents - 1), slowdown);
    return timing;
}

template <flow_environment Env>
attempt_facts request_flow<Env>::facts()
{
    attempt_facts facts;
    facts.mayRepeat = m_route->mayRepeat();
    facts.partDelivered = m_streamBegun;
    facts.resumable = !m_passingOn && m_route->resumable && (m_record.events == 0 || m_lastEventId);
    facts.mayHaveRun = m_mayHaveRun;
    facts.endpointsLeft
            = m_sends < m_route->maxEndpoints && m_unreached < flow_bounds::maxUnreachedEndpoints;
    const bool isSuspected = ownSuspicion() != suspicion::none;
    facts.budgetLeft
            = mayTakeFurtherSend(isSuspected ? further_send::suspected : further_send::repeat);
    facts.mayBorrow = !isSuspected && mayBorrowSend();
    facts.timeLeft = timeLeft() >= flow_bounds::minAttemptTime;
    // A begun stream is always resumed if possible: the caller would lose what it has received.
    facts.worthRetrying = m_streamBegun || !outlook().isRepeatFutile(now());
    return facts;
}

template <flow_environment Env>
void request_flow<Env>::endAttempt(attempt_end end)
{
    releaseEndpoint(end);
    countAttempt(end);
    if (end == attempt_end::answered) {
        deliver();
        return;
    }
    const bool isWholeError = m_passingOn && end == attempt_end::failed;
    const next_step step = isWholeError ? next_step::deliver : decideNextStep(end);
    m_env.attemptEnded(m_record, end, step);
    executeStep(step, end);
}

template <flow_environment Env>
void request_flow<Env>::releaseEndpoint(attempt_end end)
{
    const bool connectionLost = end == attempt_end::broken || end == attempt_end::notSent;
    if (connectionLost)
        m_failedDataCentres.insert(m_endpoint->record().dataCentre);
    const endpoint_ptr endpoint = m_endpoint;
    const bool mayBeCutOff = end == attempt_end::answered && mayHideCrash();
    m_run->isFinished = end != attempt_end::broken && end != attempt_end::silent && !mayBeCutOff;
    if (mayBeCutOff)
        m_env.routing().crashes().clearLater(m_run, *m_endpoint, now());
    else if (end == attempt_end::answered)
        clearOfSuspicion();
    closeAttempt(end);
    const bool isSuspect = mayBeCutOff && !m_env.routing().suspects().isEmpty();
    if (connectionLost || isSuspect)
        m_env.checkEnded(endpoint);
    // The endpoint whose answer was dropped may have ended right after that, unnoticed.
    if (connectionLost && m_escalatedFrom)
        m_env.checkEnded(std::exchange(m_escalatedFrom, nullptr));
    // A call that is still in progress must not overlap with the next one.
    m_env.cancel(m_call);
}

template <flow_environment Env>
void request_flow<Env>::closeAttempt(attempt_end end)
{
    const time_point at = now();
    rollout_tracker &rollouts = m_env.routing().rollouts(m_service);
    const std::string &version = m_endpoint->record().softwareVersion;
    m_env.runtime().cancel(m_progressTimer);
    endReading();
    m_endpoint->requestEnded();
    endRun();
    if (end == attempt_end::refused || end == attempt_end::notSent)
        noteNotRun();
    switch (end) {
    case attempt_end::answered:
        m_endpoint->recordSuccess(at);
        observePace();
        rollouts.observe(version, m_route->name, m_record.model, timingNow(), at);
        break;
    case attempt_end::failed:
    case attempt_end::broken:
        if (!m_headReceived)
            noteWait();
        m_endpoint->recordFailure(at);
        rollouts.observe(version, m_route->name, m_record.model, std::nullopt, at);
        break;
    case attempt_end::silent:
        if (!m_headReceived)
            noteWait();
        m_endpoint->recordFailure(at);
        if (!m_countedSlow)
            rollouts.observeSilence(version, m_route->name, at);
        break;
    case attempt_end::refused:
        // An ended process rarely comes back at its address, and the record of its successor takes
        // a second to arrive. Without this, 24 of 37,000 callers met three such endpoints in a row.
        if (m_answer.misdirected)
            m_endpoint->recordUnreachable(at);
        else
            m_endpoint->recordFull(at);
        break;
    case attempt_end::notSent:
        m_endpoint->recordUnreachable(at);
        break;
    }
    m_endpoint = nullptr;
}

template <flow_environment Env>
void request_flow<Env>::countAttempt(attempt_end end)
{
    // A misdirected send never reached the intended endpoint, so it doesn't count against the
    // route's limit of endpoints. Otherwise a request limited to one endpoint would be refused
    // although other endpoints have capacity.
    const bool isMisdirected = end == attempt_end::refused && m_answer.misdirected;
    const bool reachedEndpoint = end != attempt_end::notSent && !isMisdirected;
    if (!reachedEndpoint) {
        --m_sends;
        ++m_unreached;
    }
    if (end == attempt_end::notSent)
        m_reservedSend = std::exchange(m_currentFurtherSend, std::nullopt);
    else
        ++m_receivedSends;
    if (reachedEndpoint && end != attempt_end::answered)
        outlook().failed(now());
    m_record.attemptDuration = std::chrono::duration_cast<milliseconds>(now() - m_attemptAt);
    m_record.timeLeft = timeLeft();
    if (end == attempt_end::broken && !m_record.key)
        m_record.key = keyOf(*m_request);
}

template <flow_environment Env>
next_step request_flow<Env>::decideNextStep(attempt_end end)
{
    const attempt_facts facts = this->facts();
    m_record.lack = retryBlockerOf(facts);
    m_record.isSuspected = ownSuspicion() != suspicion::none;
    m_record.budgetLeft = budget().availableSends(now(), allowanceShare());
    const bool ran = end != attempt_end::notSent && end != attempt_end::refused;
    m_mayHaveRun = m_mayHaveRun || ran;
    m_hasEndpointFailure = end == attempt_end::failed;
    return stepAfter(end, facts);
}

template <flow_environment Env>
void request_flow<Env>::executeStep(next_step step, attempt_end end)
{
    const flow_reason noAnswer
            = end == attempt_end::silent ? flow_reason::silentEndpoint : flow_reason::brokenAttempt;
    switch (step) {
    case next_step::deliver:
        deliver();
        return;
    case next_step::resumeElsewhere:
        ++m_record.resumes;
        sendAgain(further_send::resume);
        return;
    case next_step::tryElsewhere:
        sendAgain(further_send::repeat);
        return;
    case next_step::borrow:
        borrowSend(end);
        return;
    case next_step::cut:
        m_env.abort();
        finish(noAnswer, 0);
        return;
    case next_step::fail:
        refuse(http_status::badGateway, noAnswer, std::nullopt);
        return;
    case next_step::refuse:
        refuse(http_status::unavailable,
               end == attempt_end::refused ? flow_reason::refusedByEndpoints
                                           : flow_reason::noEndpoint,
               retryAfterAllRefused());
        return;
    }
}

template <flow_environment Env>
void request_flow<Env>::sendAgain(further_send what)
{
    if (m_receivedSends > 0)
        takeFurtherSend(what);
    if (ownSuspicion() == suspicion::none)
        sendNext();
    else
        sendAfter(flow_bounds::suspectResendDelay);
}

} // namespace laurelcroft

#endif
