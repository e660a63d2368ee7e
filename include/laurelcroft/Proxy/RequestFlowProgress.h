//===-- Proxy/RequestFlowProgress.h - waits and progress --------*- C++ -*-===//
//
// Members of request_flow that wait before a send, and monitor the progress of the current
// attempt. Included by RequestFlow.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_REQUESTFLOWPROGRESS_H
#define LAURELCROFT_PROXY_REQUESTFLOWPROGRESS_H

namespace laurelcroft {

template <flow_environment Env>
bool request_flow<Env>::waitForRoom()
{
    const milliseconds maxWait = m_route->objective / flow_bounds::roomWaitDivisor;
    // Only a request that may have run waits for an endpoint that becomes available soon, so that
    // its work is not lost. Others are refused and can be retried by the caller.
    const bool isAvailableSoon = (m_streamBegun || m_mayHaveRun) && m_nextAvailableAt
            && *m_nextAvailableAt - now() <= maxWait;
    // Without a share of any cold endpoint, waiting would only delay the refusal.
    if (!m_coldRoomExpected && !isAvailableSoon)
        return false;
    return waitAndSend(maxWait);
}

template <flow_environment Env>
bool request_flow<Env>::waitAndSend(milliseconds longest)
{
    if (!m_waitingSince)
        m_waitingSince = now();
    if (now() - *m_waitingSince >= longest)
        return false;
    sendAfter(flow_bounds::roomCheckInterval);
    return true;
}

template <flow_environment Env>
void request_flow<Env>::sendAfter(milliseconds delay)
{
    m_env.runtime().after(delay, [weak = weak_flow(this->weak_from_this())] {
        const auto self = weak.lock();
        if (self && !self->m_done && !self->m_endpoint)
            self->sendNext();
    });
}

template <flow_environment Env>
void request_flow<Env>::endReading()
{
    m_endpoint->removePrefill(std::exchange(m_prefillMs, 0));
}

template <flow_environment Env>
bool request_flow<Env>::isEndpointSilent()
{
    return now() - m_endpoint->progressedAt() >= flow_bounds::endpointSilenceTimeout;
}

template <flow_environment Env>
milliseconds request_flow<Env>::currentAttemptTimeout()
{
    attempt_wait view;
    view.objective = m_route->objective;
    view.eventGap = m_route->eventGap;
    view.timeout = m_route->timeout;
    view.meanWait = m_env.routing().waits(m_service).mean();
    view.prefillMs = m_expectedPrefillMs;
    view.endpointSilent = isEndpointSilent();
    if (m_env.routing().usesPace(m_service))
        view.elsewhereMs = prefillMsPerToken() * m_request->promptTokens;
    if (m_route->form == answer_form::events)
        view.part = m_hasFirstEvent ? awaited_part::nextEvent : awaited_part::firstEvent;
    return attemptTimeoutOf(view);
}

template <flow_environment Env>
void request_flow<Env>::noteSlowWait()
{
    if (m_hasFirstEvent || m_countedSlow)
        return;
    m_countedSlow = m_env.routing().rollouts(m_service).observeWait(
            m_endpoint->record().softwareVersion, m_route->name, m_record.model, timingNow(),
            now());
}

template <flow_environment Env>
void request_flow<Env>::watchProgress(unsigned number)
{
    if (!m_route->mayRepeat())
        return;
    // Check at intervals even if the limit is far away: the endpoint may become silent later, which
    // shortens the limit.
    const auto due = m_lastProgressAt + currentAttemptTimeout();
    const duration untilDue = std::clamp<duration>(due - now(), milliseconds(1),
                                                   flow_bounds::progressCheckInterval);
    const duration wait = m_paused ? duration(flow_bounds::progressCheckInterval) : untilDue;
    m_progressTimer
            = m_env.runtime().after(wait, [weak = weak_flow(this->weak_from_this()), number] {
                  const auto self = weak.lock();
                  if (!self || self->m_done || self->m_attemptNumber != number || !self->m_endpoint)
                      return;
                  if (self->m_paused) {
                      self->watchProgress(number);
                      return;
                  }
                  self->noteSlowWait();
                  const bool silent
                          = self->now() - self->m_lastProgressAt >= self->currentAttemptTimeout();
                  if (!silent) {
                      self->watchProgress(number);
                      return;
                  }
                  if (retryBlockerOf(self->facts()) == retry_blocker::nothing)
                      self->endAttempt(attempt_end::silent);
              });
}

} // namespace laurelcroft

#endif
