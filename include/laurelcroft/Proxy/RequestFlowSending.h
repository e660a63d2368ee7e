//===-- Proxy/RequestFlowSending.h - admission and sends ---------*- C++ -*-===//
//
// Members of request_flow that admit a request, send it to an endpoint and monitor the attempt's
// progress. Included by RequestFlow.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_REQUESTFLOWSENDING_H
#define LAURELCROFT_PROXY_REQUESTFLOWSENDING_H

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
void request_flow<Env>::serve()
{
    m_service = pickService().name;
    m_record.service = m_service;
    budget().countRequest(m_arrivedAt, allowanceShare());
    m_env.routing().rollouts(m_service).noteArrival(m_arrivedAt);

    m_session = stableHash(m_request->session.empty() ? m_request->id : m_request->session);
    if (m_request->anyModel)
        m_modelIndex = firstModel(m_env.routing().cascade(), m_route->models.size());
    m_prefixes = prefixesOf(modelName());
    m_lastEventId = m_request->afterEvent;

    m_deadlineTimer = m_env.runtime().after(m_deadline - m_arrivedAt,
                                            [weak = weak_flow(this->weak_from_this())] {
                                                if (const auto self = weak.lock())
                                                    self->onDeadline(flow_reason::timedOut);
                                            });
    sendNext();
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
std::string request_flow<Env>::modelName() const
{
    const bool chosenHere = m_request->anyModel && m_modelIndex < m_route->models.size();
    return chosenHere ? m_route->models[m_modelIndex] : m_request->model;
}

template <flow_environment Env>
std::vector<prompt_prefix> request_flow<Env>::prefixesOf(const std::string &model) const
{
    std::vector<prompt_prefix> prefixes;
    std::uint64_t hash = stableHash(model);
    // The last part is unique to the request, so no other request shares it.
    for (std::size_t i = 0; i + 1 < m_request->promptParts.size(); ++i) {
        const prompt_part &part = m_request->promptParts[i];
        hash = stableHash(part.id, hash);
        prefixes.push_back({hash, part.tokens});
    }
    return prefixes;
}

template <flow_environment Env>
void request_flow<Env>::sendNext()
{
    if (waitForTrial())
        return;
    const std::optional<endpoint_pick> pick = pickEndpoint();
    if (pick) {
        m_waitingSince.reset();
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
void request_flow<Env>::refuseUnsent()
{
    routing_state &state = m_env.routing();
    const std::optional<time_point> until = m_excludedWithheld && m_record.key
            ? state.suspects().withheldUntil(*m_record.key, now())
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
void request_flow<Env>::beginRun()
{
    crash_watch &crashes = m_env.routing().crashes();
    m_run = crashes.runs().add(m_endpoint->record().id, m_request, m_attemptAt);
    m_run->route = m_route->name;
    m_run->customer = m_record.customer;
    m_run->suspected = m_suspicion;
    m_isTrial = m_suspicion != suspicion::none;
    if (m_isTrial)
        crashes.suspects().probeStarted(*m_record.key);
}

template <flow_environment Env>
void request_flow<Env>::endTrial()
{
    if (std::exchange(m_isTrial, false))
        m_env.routing().suspects().probeFinished(*m_record.key);
}

template <flow_environment Env>
std::optional<request_key> request_flow<Env>::keyIfSuspected()
{
    if (m_env.routing().suspects().isEmpty())
        return std::nullopt;
    if (!m_record.key)
        m_record.key = keyOf(*m_request);
    return m_record.key;
}

template <flow_environment Env>
suspicion request_flow<Env>::ownSuspicion()
{
    const std::optional<request_key> key = keyIfSuspected();
    return key ? m_env.routing().suspects().suspicionOf(*key, now()) : suspicion::none;
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
    if (suspects.isUnconfirmed(*m_record.key, now())) {
        sendAfter(flow_bounds::roomCheckInterval);
        return true;
    }
    const bool isKnown = suspects.withheldUntil(*m_record.key, now()).has_value();
    if (isKnown || !suspects.isProbing(*m_record.key))
        return false;
    return waitAndSend(m_route->objective);
}

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
void request_flow<Env>::send(const endpoint_pick &pick)
{
    const endpoint_ptr &endpoint = pick.endpoint;
    routing_state &state = m_env.routing();
    m_attemptAt = now();
    m_lastProgressAt = m_attemptAt;
    m_hasFirstEvent = false;
    m_attemptEvents = 0;
    m_headReceived = false;
    m_countedSlow = false;
    m_body.clear();
    m_splitter = isStream() ? std::make_unique<event_splitter>() : nullptr;
    m_endpoint = endpoint;
    m_endpoint->requestStarted();
    m_endpoint->recordSend(m_attemptAt);
    noteRun();
    beginRun();
    m_readTokens = tokensToRead(endpoint->prefixCache().cachedTokens(m_prefixes));
    m_prefillMs = prefillMsPerToken() * m_readTokens;
    m_expectedPrefillMs = m_endpoint->prefillMs() + m_prefillMs;
    m_remotePrefillMs = m_endpoint->remotePrefillMs(m_attemptAt);
    m_ownPrefillShare = pick.waitMs > 0 ? m_prefillMs / pick.waitMs : 1;
    m_endpoint->addPrefill(m_prefillMs);
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
    m_record.endpointLeaving = false;
    m_record.endpointRetryAfter.reset();
    m_record.versionReason = textOf(m_versionReason);
    m_record.stage = state.rollouts(m_service).stageName();

    proxy_attempt attempt;
    attempt.request = m_request;
    attempt.endpoint = endpoint;
    attempt.remaining = timeLeft();
    attempt.priority
            = m_customer && m_customer->priority ? *m_customer->priority : m_route->priority;
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
    const duration wait = std::clamp<duration>(due - now(), milliseconds(1),
                                               flow_bounds::progressCheckInterval);
    m_progressTimer
            = m_env.runtime().after(wait, [weak = weak_flow(this->weak_from_this()), number] {
                  const auto self = weak.lock();
                  if (!self || self->m_done || self->m_attemptNumber != number || !self->m_endpoint)
                      return;
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
