//===-- Proxy/RequestFlowAnswering.h - answers and failures ------*- C++ -*-===//
//
// Members of request_flow that handle an endpoint's answer, the end of an attempt, and the response
// to the caller. Included by RequestFlow.h only.
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
    m_record.confidence = m_answer.confidence;
    escalate();
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

template <flow_environment Env>
void request_flow<Env>::noteWait()
{
    const std::chrono::duration<double, std::milli> wait = now() - m_attemptAt;
    m_env.routing().waits(m_service).addSample(shareOfObjective(wait));
    if (m_headReceived)
        m_env.routing()
                .promptRate(m_record.model)
                .addSample(m_readTokens, wait.count(), m_ownPrefillShare);
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
    view.mayRunAgain = m_route->mayRepeat() && now.endpointsLeft && now.timeLeft
            && mayTakeFurtherSend(further_send::largerModel);
    return view;
}

template <flow_environment Env>
void request_flow<Env>::escalate()
{
    // A suspected request stays at its endpoint, so that a crash is attributed to it. Escalation
    // could crash the larger model's endpoint as well.
    if (!m_request->anyModel || ownSuspicion() != suspicion::none)
        return;
    cascade_view view = cascadeView();
    const cascade_settings &settings = m_env.routing().cascade();
    const std::optional<std::size_t> larger = escalationTarget(settings, view);
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
    if (!pick || !escalationTarget(settings, view) || !takeFurtherSend(further_send::largerModel)) {
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
        return;
    }
    if (m_body.size() + data.size() > flow_bounds::maxAnswerBytes) {
        endAttempt(attempt_end::broken);
        return;
    }
    m_body.append(data);
}

template <flow_environment Env>
void request_flow<Env>::onEvent(const stream_event &event)
{
    m_lastProgressAt = now();
    m_endpoint->recordProgress(m_lastProgressAt);
    ++m_attemptEvents;
    if (!std::exchange(m_hasFirstEvent, true)) {
        m_firstEventAt = m_lastProgressAt;
        // Pauses between events have a shorter limit than the wait for the first event.
        m_env.runtime().cancel(m_progressTimer);
        watchProgress(m_attemptNumber);
    }
    if (m_run->answerBeganAt
        && m_lastProgressAt - *m_run->answerBeganAt > endpoint_runs::clearedAfter
        && m_suspicion != suspicion::none) {
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
    ++m_record.events;
    m_env.write(std::string(event.text));
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
    else if (isStream() && !m_splitter->atBoundary())
        endAttempt(attempt_end::broken);
    else
        endAttempt(attempt_end::answered);
}

template <flow_environment Env>
answer_timing request_flow<Env>::timingNow()
{
    answer_timing timing;
    timing.wait = (m_hasFirstEvent ? m_firstEventAt : now()) - m_attemptAt;
    timing.countedSlow = m_countedSlow;
    timing.reading = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(m_expectedPrefillMs + m_remotePrefillMs));
    if (m_attemptEvents > 1)
        timing.pause = (m_lastProgressAt - m_firstEventAt) / (m_attemptEvents - 1);
    return timing;
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
void request_flow<Env>::endRun()
{
    endTrial();
    m_run->abandonedAt = now();
    m_run = nullptr;
}

template <flow_environment Env>
attempt_facts request_flow<Env>::facts()
{
    attempt_facts facts;
    facts.mayRepeat = m_route->mayRepeat();
    facts.partDelivered = m_streamBegun;
    facts.resumable = m_route->resumable && (m_record.events == 0 || m_lastEventId);
    facts.mayHaveRun = m_mayHaveRun;
    facts.endpointsLeft
            = m_sends < m_route->maxEndpoints && m_unreached < flow_bounds::maxUnreachedEndpoints;
    facts.budgetLeft = mayTakeFurtherSend(further_send::repeat);
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
    const next_step step = decideNextStep(end);
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
    m_run->isFinished = end != attempt_end::broken && end != attempt_end::silent;
    if (end == attempt_end::answered)
        clearOfSuspicion();
    closeAttempt(end);
    if (connectionLost)
        m_env.checkEnded(endpoint);
    // The endpoint whose answer was dropped may have ended right after that, unnoticed.
    if (connectionLost && m_escalatedFrom)
        m_env.checkEnded(std::exchange(m_escalatedFrom, nullptr));
    // A call that is still in progress must not overlap with the next one.
    m_env.cancel(m_call);
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

template <flow_environment Env>
void request_flow<Env>::deliver()
{
    const bool served = isValidSuccess();
    const flow_reason why = served ? flow_reason::served : flow_reason::endpointFailure;
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

template <flow_environment Env>
void request_flow<Env>::onDeadline(flow_reason why)
{
    if (m_done)
        return;
    if (m_endpoint) {
        const bool silent = now() - m_lastProgressAt >= m_route->objective;
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
    finish(flow_reason::callerLeft, m_record.status);
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
