//===-- Proxy/RequestFlowImpl.h - members of request_flow --------*- C++ -*-===//
//
// Included by RequestFlow.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_REQUESTFLOWIMPL_H
#define LAURELCROFT_PROXY_REQUESTFLOWIMPL_H

#include "laurelcroft/Http/Message.h"
#include "laurelcroft/Support/Crypto.h"

#include <cassert>

namespace laurelcroft {

template <flow_environment Env>
void request_flow<Env>::start()
{
    m_arrivedAt = now();
    m_record.request = m_request->id;
    m_record.session = m_request->session;
    if (!admit())
        return;
    m_deadline = m_arrivedAt + m_route->timeout;
    if (m_request->patience)
        m_deadline = std::min(m_deadline, m_arrivedAt + *m_request->patience);
    m_service = pickService().name;
    m_record.service = m_service;
    m_env.routing().repeats(m_service).request(m_arrivedAt);
    m_env.routing().rollouts(m_service).arrived(m_arrivedAt);

    m_session = stableHash(m_request->session.empty() ? m_request->id : m_request->session);
    if (m_request->anyModel)
        m_model = firstModel(m_env.routing().cascade(), m_route->models.size());
    m_prefixes = prefixesOf(modelName());
    m_lastEvent = m_request->afterEvent;

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
    if (!m_contract) {
        refuse(http_status::unavailable, flow_reason::noContract, flow_bounds::retryAfterNothing);
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
    const bool chosenHere = m_request->anyModel && m_model < m_route->models.size();
    return chosenHere ? m_route->models[m_model] : m_request->model;
}

template <flow_environment Env>
std::vector<prompt_prefix> request_flow<Env>::prefixesOf(const std::string &model) const
{
    std::vector<prompt_prefix> prefixes;
    std::uint64_t hash = stableHash(model);
    // The last part is the request's own: nobody else reads it.
    for (std::size_t i = 0; i + 1 < m_request->promptParts.size(); ++i) {
        const prompt_part &part = m_request->promptParts[i];
        hash = stableHash(part.id, hash);
        prefixes.push_back({hash, part.tokens});
    }
    return prefixes;
}

template <flow_environment Env>
unsigned request_flow<Env>::tokensToRead(service_endpoint &endpoint) const
{
    const unsigned kept = endpoint.prompts().keptTokens(m_prefixes);
    return m_request->promptTokens - std::min(kept, m_request->promptTokens);
}

template <flow_environment Env>
std::optional<endpoint_ptr> request_flow<Env>::pickEndpoint()
{
    routing_state &state = m_env.routing();
    state.directory().expire(now());
    rollout_tracker &rollouts = state.rollouts(m_service);
    const std::vector<endpoint_ptr> usable = state.directory().usable(m_service);
    const std::optional<endpoint_ptr> first = pickAmong(rollouts.eligible(usable, m_session));
    // What failed on a trial's few endpoints is still served by the settled version.
    if (first)
        return first;
    const std::optional<endpoint_ptr> second = pickAmong(rollouts.settled(usable));
    if (second || !m_mayHaveRun)
        return second;
    // All have been asked: one that failed once may well serve the request the next time.
    m_tried.clear();
    return pickAmong(rollouts.eligible(usable, m_session));
}

template <flow_environment Env>
std::optional<endpoint_ptr> request_flow<Env>::pickAmong(const std::vector<endpoint_ptr> &endpoints)
{
    routing_state &state = m_env.routing();
    const time_point at = now();
    std::vector<direct_candidate> candidates;
    candidates.reserve(endpoints.size());
    for (const endpoint_ptr &endpoint : endpoints) {
        direct_candidate candidate;
        candidate.id = endpoint->record().id;
        candidate.load = endpoint->expectedLoad(at);
        candidate.slots = std::max(1U, endpoint->record().slots);
        candidate.waitMs = endpoint->readingMs()
                + state.promptRate(modelName()).expectedMs(tokensToRead(*endpoint));
        candidate.failureShare = endpoint->failureShare(at);
        candidate.sameDataCentre = endpoint->record().dataCentre == state.dataCentre();
        candidate.avoided = endpoint->isAvoided(at);
        candidate.tried = std::find(m_tried.begin(), m_tried.end(), candidate.id) != m_tried.end();
        candidate.hasConnection = m_env.hasRoomAt(endpoint);
        candidates.push_back(candidate);
    }
    const auto prefix = m_prefixes.empty() ? std::nullopt : std::optional(m_prefixes.back().hash);
    const std::optional<direct_choice> choice
            = chooseDirect(candidates, prefix, state.random().bits());
    if (!choice)
        return std::nullopt;
    m_record.choice = textOf(choice->reason);
    return endpoints[choice->index];
}

template <flow_environment Env>
void request_flow<Env>::sendNext()
{
    const std::optional<endpoint_ptr> endpoint = pickEndpoint();
    if (endpoint) {
        send(*endpoint);
        return;
    }
    if (m_begun) {
        m_env.abort();
        finish(flow_reason::noEndpoint, 0);
    } else if (m_hasFailure) {
        deliver();
    } else if (m_mayHaveRun) {
        refuse(http_status::badGateway, flow_reason::noEndpoint, std::nullopt);
    } else {
        const bool asked = m_sends > 0;
        refuse(http_status::unavailable,
               asked ? flow_reason::refusedByEndpoints : flow_reason::noEndpoint,
               asked ? flow_bounds::retryAfterFull : flow_bounds::retryAfterNothing);
    }
}

template <flow_environment Env>
void request_flow<Env>::send(const endpoint_ptr &endpoint)
{
    routing_state &state = m_env.routing();
    m_attemptAt = now();
    m_progressAt = m_attemptAt;
    m_progressed = false;
    m_attemptEvents = 0;
    m_answered = false;
    m_body.clear();
    m_splitter = isStream() ? std::make_unique<event_splitter>() : nullptr;
    m_endpoint = endpoint;
    m_endpoint->began();
    m_readTokens = tokensToRead(*endpoint);
    m_readingMs = state.promptRate(modelName()).expectedMs(m_readTokens);
    m_expectedMs = m_endpoint->readingMs() + m_readingMs;
    m_endpoint->beganReading(m_readingMs);
    m_endpoint->prompts().note(m_prefixes);
    m_tried.push_back(endpoint->record().id);
    if (m_sends > 0)
        state.repeats(m_service).repeat(m_attemptAt);
    ++m_sends;
    ++m_number;

    m_record.attempts = m_number;
    m_record.endpoint = endpoint->record().id;
    m_record.endpointVersion = endpoint->record().softwareVersion;

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
    attempt.afterEvent = m_lastEvent;
    attempt.atMostOnce = !m_route->mayRepeat();
    m_call = m_env.call(std::move(attempt), eventsFor(m_number));
    watchProgress(m_number);
}

template <flow_environment Env>
call_events request_flow<Env>::eventsFor(unsigned number)
{
    const weak_flow weak = this->weak_from_this();
    const auto current = [weak, number]() -> std::shared_ptr<request_flow> {
        auto self = weak.lock();
        const bool isCurrent
                = self && !self->m_done && self->m_number == number && self->m_endpoint;
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
    m_endpoint->endedReading(std::exchange(m_readingMs, 0));
}

template <flow_environment Env>
bool request_flow<Env>::seemsDead()
{
    return now() - m_endpoint->progressedAt() >= flow_bounds::endpointSilence;
}

template <flow_environment Env>
milliseconds request_flow<Env>::patienceNow() const
{
    auto &self = const_cast<request_flow &>(*this);
    patience_view view;
    view.objective = m_route->objective;
    view.eventGap = m_route->eventGap;
    view.timeout = m_route->timeout;
    view.meanWait = self.m_env.routing().waits(m_service).mean();
    view.readingMs = m_expectedMs;
    view.endpointSilent = self.seemsDead();
    if (m_route->form == answer_form::events)
        view.part = m_progressed ? awaited_part::nextEvent : awaited_part::firstEvent;
    return patienceFor(view);
}

template <flow_environment Env>
void request_flow<Env>::watchProgress(unsigned number)
{
    if (!m_route->mayRepeat())
        return;
    // Whether the endpoint works on others is asked now and then: it may fall silent later.
    const auto due = m_progressAt + patienceNow();
    const duration wait
            = std::clamp<duration>(due - now(), milliseconds(1), flow_bounds::progressCheck);
    m_progressTimer
            = m_env.runtime().after(wait, [weak = weak_flow(this->weak_from_this()), number] {
                  const auto self = weak.lock();
                  if (!self || self->m_done || self->m_number != number || !self->m_endpoint)
                      return;
                  const bool silent = self->now() - self->m_progressAt >= self->patienceNow();
                  const attempt_facts facts = self->facts();
                  const bool mayMove = facts.endpointsLeft && facts.budgetLeft && facts.timeLeft;
                  if (silent && mayMove)
                      self->endAttempt(attempt_end::silent);
                  else if (!silent)
                      self->watchProgress(number);
              });
}

template <flow_environment Env>
bool request_flow<Env>::isValidSuccess() const
{
    const bool success = m_answer.status >= 200 && m_answer.status < 300;
    return success && m_answer.signedByEndpoint && !m_answer.encoded;
}

template <flow_environment Env>
void request_flow<Env>::onAnswer(proxy_answer &&answer)
{
    m_answer = std::move(answer);
    m_answered = true;
    endReading();
    m_endpoint->progressed(now());
    if (m_answer.load)
        m_endpoint->reported(*m_answer.load, now());
    const bool success = m_answer.status >= 200 && m_answer.status < 300;
    if (success && !isValidSuccess()) {
        endAttempt(attempt_end::broken);
        return;
    }
    if (!success || m_begun)
        return;
    noteWait();
    m_record.confidence = m_answer.confidence;
    escalate();
}

template <flow_environment Env>
void request_flow<Env>::noteWait()
{
    const std::chrono::duration<double, std::milli> wait = now() - m_attemptAt;
    const std::chrono::duration<double, std::milli> objective = m_route->objective;
    m_env.routing().waits(m_service).note(wait / objective);
    if (m_answered)
        m_env.routing().promptRate(m_record.model).note(m_readTokens, wait.count());
    m_record.serviceWait = m_env.routing().waits(m_service).mean();
}

template <flow_environment Env>
bool request_flow<Env>::escalate()
{
    if (!m_request->anyModel)
        return false;
    const attempt_facts now = facts();
    cascade_view view;
    view.model = m_model;
    view.models = m_route->models.size();
    view.confidence = m_answer.confidence;
    view.wait = m_env.routing().waits(m_service).mean();
    view.mayRunAgain = m_route->mayRepeat() && now.endpointsLeft && now.budgetLeft && now.timeLeft;
    const std::optional<std::size_t> larger = escalatesTo(m_env.routing().cascade(), view);
    if (!larger)
        return false;
    // The answer is dropped only when another endpoint stands ready for the larger model.
    const std::vector<std::string> tried = std::exchange(m_tried, {});
    const std::size_t smaller = std::exchange(m_model, *larger);
    m_prefixes = prefixesOf(modelName());
    const std::optional<endpoint_ptr> endpoint = pickEndpoint();
    if (!endpoint) {
        m_tried = tried;
        m_model = smaller;
        m_prefixes = prefixesOf(modelName());
        return false;
    }
    m_env.escalated(m_record, modelName());
    closeAttempt(attempt_end::answered);
    m_env.cancel(m_call);
    m_mayHaveRun = true;
    ++m_record.escalations;
    send(*endpoint);
    return true;
}

template <flow_environment Env>
void request_flow<Env>::onData(std::string_view data)
{
    if (isStream() && isValidSuccess()) {
        const auto keep = this->shared_from_this();
        const unsigned number = m_number;
        m_splitter->feed(data, [&](const stream_event &event) {
            if (!m_done && m_number == number)
                onEvent(event);
        });
        return;
    }
    if (m_body.size() + data.size() > flow_bounds::largestAnswer) {
        endAttempt(attempt_end::broken);
        return;
    }
    m_body.append(data);
}

template <flow_environment Env>
void request_flow<Env>::onEvent(const stream_event &event)
{
    m_progressAt = now();
    m_endpoint->progressed(m_progressAt);
    ++m_attemptEvents;
    if (!std::exchange(m_progressed, true)) {
        m_firstEventAt = m_progressAt;
        // The next pause is bounded more tightly than the wait for the first event.
        m_env.runtime().cancel(m_progressTimer);
        watchProgress(m_number);
    }
    const bool repeated = event.id && m_lastEvent && *event.id <= *m_lastEvent;
    if (repeated)
        return;
    if (!m_begun) {
        m_begun = true;
        m_record.firstPart = std::chrono::duration_cast<milliseconds>(now() - m_arrivedAt);
        m_record.status = m_answer.status;
        m_env.begin(m_answer.status, m_answer.headers);
    }
    if (event.id)
        m_lastEvent = event.id;
    ++m_record.events;
    m_env.write(std::string(event.text));
}

template <flow_environment Env>
void request_flow<Env>::onEnd(call_end end)
{
    if (m_answered && m_answer.notRun) {
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
    timing.wait = (m_progressed ? m_firstEventAt : now()) - m_attemptAt;
    if (m_attemptEvents > 1)
        timing.pause = (m_progressAt - m_firstEventAt) / (m_attemptEvents - 1);
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
    m_endpoint->ended();
    switch (end) {
    case attempt_end::answered:
        m_endpoint->succeeded(at);
        rollouts.observe(version, m_route->name, m_record.model, timingNow());
        break;
    case attempt_end::failed:
    case attempt_end::broken:
    case attempt_end::silent:
        if (!m_answered)
            noteWait();
        m_endpoint->failed(at);
        rollouts.observe(version, m_route->name, m_record.model, std::nullopt);
        break;
    case attempt_end::refused:
        m_endpoint->full(at);
        break;
    case attempt_end::notSent:
        m_endpoint->unreachable(at);
        break;
    }
    m_endpoint = nullptr;
}

template <flow_environment Env>
attempt_facts request_flow<Env>::facts() const
{
    auto &self = const_cast<request_flow &>(*this);
    attempt_facts facts;
    facts.mayRepeat = m_route->mayRepeat();
    facts.passedOn = m_begun;
    facts.resumable = m_route->resumable && (m_record.events == 0 || m_lastEvent);
    facts.mayHaveRun = m_mayHaveRun;
    facts.endpointsLeft
            = m_sends < m_route->mostEndpoints && m_unreached < flow_bounds::mostUnreached;
    facts.budgetLeft = self.m_env.routing().repeats(m_service).allows(
            self.now(), self.m_env.routing().entries());
    facts.timeLeft = self.timeLeft() >= flow_bounds::leastForAttempt;
    return facts;
}

template <flow_environment Env>
void request_flow<Env>::endAttempt(attempt_end end)
{
    closeAttempt(end);
    // A call that is still under way must not run beside the next one.
    m_env.cancel(m_call);
    if (end == attempt_end::notSent) {
        --m_sends;
        ++m_unreached;
    }
    m_record.attemptTook = std::chrono::duration_cast<milliseconds>(now() - m_attemptAt);
    m_record.left = timeLeft();
    const next_step step = stepAfter(end, facts());
    const bool ran = end != attempt_end::notSent && end != attempt_end::refused;
    m_mayHaveRun = m_mayHaveRun || ran;
    m_hasFailure = end == attempt_end::failed;
    if (step != next_step::deliver || end != attempt_end::answered)
        m_env.attemptEnded(m_record, end, step);

    switch (step) {
    case next_step::deliver:
        deliver();
        return;
    case next_step::resumeElsewhere:
        ++m_record.resumes;
        sendNext();
        return;
    case next_step::tryElsewhere:
        sendNext();
        return;
    case next_step::cut:
        m_env.abort();
        finish(end == attempt_end::silent ? flow_reason::silentEndpoint
                                          : flow_reason::brokenAttempt,
               0);
        return;
    case next_step::fail:
        refuse(http_status::badGateway,
               end == attempt_end::silent ? flow_reason::silentEndpoint
                                          : flow_reason::brokenAttempt,
               std::nullopt);
        return;
    case next_step::refuse:
        refuse(http_status::unavailable,
               end == attempt_end::refused ? flow_reason::refusedByEndpoints
                                           : flow_reason::noEndpoint,
               flow_bounds::retryAfterFull);
        return;
    }
}

template <flow_environment Env>
void request_flow<Env>::deliver()
{
    const bool served = isValidSuccess();
    const flow_reason why = served ? flow_reason::served : flow_reason::endpointFailure;
    if (served && isStream()) {
        if (!m_begun)
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
        const bool silent = now() - m_progressAt >= m_route->objective;
        closeAttempt(silent ? attempt_end::silent : attempt_end::answered);
        m_env.cancel(m_call);
        m_mayHaveRun = true;
    }
    if (m_begun) {
        m_env.abort();
        finish(why, 0);
    } else if (m_mayHaveRun) {
        refuse(http_status::gatewayTimeout, why, std::nullopt);
    } else {
        refuse(http_status::unavailable, why, flow_bounds::retryAfterFull);
    }
}

template <flow_environment Env>
void request_flow<Env>::callerLeft()
{
    if (m_done)
        return;
    if (m_endpoint) {
        endReading();
        m_endpoint->ended();
        m_endpoint = nullptr;
        m_env.cancel(m_call);
    }
    finish(flow_reason::callerLeft, m_record.status);
}

template <flow_environment Env>
void request_flow<Env>::finish(flow_reason why, int status)
{
    m_done = true;
    m_env.runtime().cancel(m_deadlineTimer);
    m_env.runtime().cancel(m_progressTimer);
    m_record.reason = why;
    m_record.status = status;
    m_record.total = std::chrono::duration_cast<milliseconds>(now() - m_arrivedAt);
    m_env.finished(m_record);
}

} // namespace laurelcroft

#endif
