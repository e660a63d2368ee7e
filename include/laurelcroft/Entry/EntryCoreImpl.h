//===-- Entry/EntryCoreImpl.h - members of entry_core -----------*- C++ -*-===//
//
// Included by EntryCore.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_ENTRY_ENTRYCOREIMPL_H
#define LAURELCROFT_ENTRY_ENTRYCOREIMPL_H

namespace laurelcroft {

template <runtime_like Runtime, table_like Table, entry_environment Env>
auto entry_core<Runtime, Table, Env>::admitRequest(request_flow &flow)
        -> std::optional<caller_error>
{
    flow.requestId = newRequestId();
    flow.rules = m_bundleTracker.current();
    if (!flow.rules)
        return noBundle();
    if (m_draining)
        return instanceLeaving();
    const bundle &rules = flow.rules->rules;
    const customer *who = authenticate(rules, flow.request.key);
    if (who == nullptr)
        return badKey();
    flow.customerName = who->name;
    if (!flow.request.idempotencyKey.empty())
        flow.requestId = keyedRequestId(who->name, flow.request.idempotencyKey);
    flow.target = resolveTarget(rules, flow.request.target);
    if (!flow.target.isKnown())
        return unknownTarget(flow.request.target);
    if (!mayUseAnyVersion(rules, *who, flow.request.target))
        return notAllowed(flow.request.target);
    const bool isService = flow.request.kind == wire::work_service;
    if (isService != (flow.target.foundService != nullptr))
        return wrongTargetKind(flow.request.target, isService);
    flow.repeatable = flow.request.repeatable
            && !(flow.target.foundService && !flow.target.foundService->repeatable)
            && !(flow.target.foundCascade && !flow.target.foundCascade->repeatable);
    if (m_callersByRequestId.count(flow.requestId) != 0)
        return alreadyRunning(flow.requestId);
    return checkCapacity(flow, *who);
}

template <runtime_like Runtime, table_like Table, entry_environment Env>
auto entry_core<Runtime, Table, Env>::checkCapacity(request_flow &flow, const customer &who)
        -> std::optional<caller_error>
{
    // The last quarter of the capacity is reserved for customers of the highest priority, 0.
    const std::size_t capacity = who.priority == 0 ? m_options.maxRequestsInFlight
                                                   : m_options.maxRequestsInFlight * 3 / 4;
    if (m_flows.size() >= capacity)
        return overloaded();
    if (!m_outbox.accepts(m_env.tableReachable()))
        return billNotAccepted();
    const limit_decision limit = m_limits.admit(who, flow.receivedAt);
    if (limit.verdict != limit_verdict::admitted)
        return limitExceeded(limit);
    const milliseconds wanted = flow.request.timeout.count() > 0
            ? std::min(flow.request.timeout, maxTimeout)
            : m_options.defaultTimeout;
    flow.deadline = flow.receivedAt + wanted;
    return std::nullopt;
}

template <runtime_like Runtime, table_like Table, entry_environment Env>
void entry_core<Runtime, Table, Env>::fail(caller_id id, const caller_error &error)
{
    request_flow *const flow = find(id);
    recordDecision(*flow, decision_kind::answer, error.code, 0, error.message);
    if (flow->streamBegun)
        m_env.answer(id, answer_end{false, ""});
    else
        m_env.answer(id, errorAnswer(error, errorHeaders(*flow)));
    if (flow->claimOperationId && error.ran == executed::no)
        m_claims.release(flow->requestId, *flow->claimOperationId);
    end(id);
}

template <runtime_like Runtime, table_like Table, entry_environment Env>
void entry_core<Runtime, Table, Env>::pinSession(caller_id id)
{
    request_flow &flow = *find(id);
    if (flow.target.foundService != nullptr) {
        claimIfNeeded(id);
        return;
    }
    pin_request request;
    request.rules = {flow.rules, &flow.rules->rules};
    request.customer = flow.customerName;
    request.sessionText = flow.request.session;
    request.models = flow.target.models();
    request.requestedVersion = flow.request.requestedVersion;
    request.nowWallMs = wallMilliseconds();
    request.knowledge = [this, rules = flow.rules](const std::string &name) {
        return knowledgeOf(rules->rules, name);
    };
    m_pinner.pin(request, [this, id](outcome<pinned_session, caller_error> result) {
        request_flow *const found = find(id);
        if (found == nullptr)
            return;
        if (!result) {
            fail(id, result.error());
            return;
        }
        found->session = result.value();
        recordDecision(*found, decision_kind::session, describePins(found->session.item),
                       found->session.item.pins.size(), found->session.reason);
        claimIfNeeded(id);
    });
}

template <runtime_like Runtime, table_like Table, entry_environment Env>
void entry_core<Runtime, Table, Env>::claimIfNeeded(caller_id id)
{
    request_flow &flow = *find(id);
    if (flow.repeatable || flow.request.idempotencyKey.empty() || flow.claimOperationId) {
        startTiers(id);
        return;
    }
    claim newClaim;
    newClaim.requestId = flow.requestId;
    newClaim.customer = flow.customerName;
    newClaim.operationId = newRequestId();
    newClaim.bodySha256 = sha256Hex(flow.request.target + "\n" + flow.request.body);
    m_claims.acquire(newClaim, [this, id](const claim_result &result) { onClaim(id, result); });
}

template <runtime_like Runtime, table_like Table, entry_environment Env>
void entry_core<Runtime, Table, Env>::onClaim(caller_id id, const claim_result &result)
{
    request_flow *const flow = find(id);
    if (flow == nullptr) {
        // The request ended in the meantime, so a granted claim is released.
        if (result.verdict == claim_verdict::granted)
            m_claims.release(result.found.requestId, result.found.operationId);
        return;
    }
    recordDecision(*flow, decision_kind::claim, std::string(textOf(result.verdict)), 1, "");
    switch (result.verdict) {
    case claim_verdict::granted:
        flow->claimOperationId = result.found.operationId;
        if (flow->callerLeft || m_runtime.now() >= flow->deadline)
            fail(id, timedOutBeforeStart());
        else
            startTiers(id);
        return;
    case claim_verdict::done:
        m_env.answer(id, replayAnswer(result.found, answerHeaders(*flow)));
        end(id);
        return;
    case claim_verdict::held:
        fail(id, alreadyRunning(flow->requestId));
        return;
    case claim_verdict::bodyMismatch:
        fail(id, idempotencyKeyReused());
        return;
    case claim_verdict::unavailable:
        fail(id, claimUnavailable(result.retryAfter));
        return;
    }
}

template <runtime_like Runtime, table_like Table, entry_environment Env>
void entry_core<Runtime, Table, Env>::startTiers(caller_id id)
{
    request_flow &flow = *find(id);
    if (flow.callerLeft && !flow.claimOperationId) {
        end(id);
        return;
    }
    if (flow.target.foundCascade != nullptr) {
        const cascade &item = *flow.target.foundCascade;
        const auto left
                = std::chrono::duration<double, std::milli>(flow.deadline - m_runtime.now());
        cascade planned = item;
        planned.repeatable = flow.repeatable;
        const start_decision start
                = m_learner.chooseStart(flow.rules->rules, planned, flow.who().group,
                                        std::min<double>(left.count(), item.latencyMs),
                                        m_tierLatencyMs[item.tiers.front()], m_random);
        flow.tier = start.tier;
        recordDecision(flow, decision_kind::start, item.tiers[start.tier], item.tiers.size(),
                       std::string(textOf(start.reason)));
    }
    startTier(id);
}

template <runtime_like Runtime, table_like Table, entry_environment Env>
void entry_core<Runtime, Table, Env>::startTier(caller_id id)
{
    request_flow &flow = *find(id);
    tier_work work;
    wire::offer &offer = work.offer;
    offer.set_request_id(flow.requestId);
    offer.set_customer(flow.customerName);
    offer.set_kind(flow.request.kind);
    offer.set_target(flow.tierTarget());
    offer.set_version(flow.tierVersion());
    offer.set_repeatable(flow.repeatable);
    offer.set_claimed(flow.claimOperationId.has_value());
    offer.set_operation_id(flow.claimOperationId.value_or(""));
    offer.set_priority(flow.who().priority);
    offer.set_stream(flow.request.stream);
    offer.set_body(flow.request.body);
    offer.set_entry(m_options.instance);
    work.pool = flow.target.foundService ? flow.target.foundService->pool
                                         : flow.rules->rules.findModel(flow.tierTarget())->pool;
    work.deadline = flow.deadline;
    work.estimate = {flow.request.promptTokens, flow.request.outputTokens};
    // Each tier's endpoint has a prefix cache of its own.
    if (!flow.session.item.id.empty())
        work.affinity = flow.session.item.id + "/" + flow.tierTarget();
    tier_events events;
    // Only the last tier is streamed as it arrives. The answer of an earlier tier is held back
    // until it is evaluated.
    if (flow.request.stream && flow.onLastTier())
        events.onData = [this, id](std::string_view data, std::size_t linkBytes) {
            onTierData(id, data, linkBytes);
        };
    events.onResult = [this, id](const tier_result &result) { onTierResult(id, result); };
    flow.run = m_runner.start(std::move(work), std::move(events), flow.epoch());
}

template <runtime_like Runtime, table_like Table, entry_environment Env>
void entry_core<Runtime, Table, Env>::onTierData(caller_id id, std::string_view data,
                                                 std::size_t linkBytes)
{
    request_flow &flow = *find(id);
    if (flow.callerLeft) {
        m_runner.consumed(flow.run, linkBytes);
        return;
    }
    beginStream(flow);
    m_env.answer(id, answer_piece{std::string(data), linkBytes});
}

template <runtime_like Runtime, table_like Table, entry_environment Env>
void entry_core<Runtime, Table, Env>::beginStream(request_flow &flow)
{
    if (flow.streamBegun)
        return;
    flow.streamBegun = true;
    http_headers headers = answerHeaders(flow);
    headers.push_back({"Content-Type", "text/event-stream"});
    headers.push_back({"Cache-Control", "no-cache"});
    m_env.answer(flow.request.id, answer_begin{http_status::ok, std::move(headers)});
}

template <runtime_like Runtime, table_like Table, entry_environment Env>
void entry_core<Runtime, Table, Env>::addStep(request_flow &flow, const tier_result &result)
{
    wire::bill_step step;
    step.set_target(flow.tierTarget());
    step.set_version(flow.tierVersion());
    step.set_endpoint(result.endpoint);
    *step.mutable_usage() = result.usage;
    // A tier that may not have run is listed in the bill but not charged.
    if (result.outcome != tier_outcome::uncertain)
        step.set_cost(costOf(flow.rules->rules, step));
    flow.steps.push_back(std::move(step));
}

template <runtime_like Runtime, table_like Table, entry_environment Env>
void entry_core<Runtime, Table, Env>::onTierResult(caller_id id, const tier_result &result)
{
    request_flow *const flow = find(id);
    if (flow == nullptr)
        return;
    if (result.outcome == tier_outcome::finished) {
        onTierFinished(id, result);
        return;
    }
    if (result.isUnsettled)
        flow->unsettled.push_back(flow->run);
    flow->run = 0;
    const bool nothingRan = flow->steps.empty();
    if (result.outcome != tier_outcome::notRun)
        addStep(*flow, result);
    if (result.outcome == tier_outcome::failed)
        addEvidence(*flow, evidence_kind::errors, false);
    if (result.outcome == tier_outcome::notRun && mayRetryWithNewBundle(*flow, result)) {
        retryWithNewBundle(id);
        return;
    }
    bill(*flow, result.outcome == tier_outcome::uncertain ? uncertainOutcome : "failed");
    fail(id, tierError(result, nothingRan));
}

template <runtime_like Runtime, table_like Table, entry_environment Env>
void entry_core<Runtime, Table, Env>::retryWithNewBundle(caller_id id)
{
    m_runtime.after(m_options.bundleRetryDelay, [this, id] {
        request_flow *const flow = find(id);
        if (flow == nullptr)
            return;
        flow->bundleRetries += 1;
        flow->rules = m_bundleTracker.current();
        const customer *who = flow->rules->rules.findCustomer(flow->customerName);
        flow->target = resolveTarget(flow->rules->rules, flow->request.target);
        if (who == nullptr || !flow->target.isKnown()
            || !mayUseAnyVersion(flow->rules->rules, *who, flow->request.target)) {
            fail(id, notAllowed(flow->request.target));
            return;
        }
        flow->session = {};
        pinSession(id);
    });
}

template <runtime_like Runtime, table_like Table, entry_environment Env>
void entry_core<Runtime, Table, Env>::onTierFinished(caller_id id, const tier_result &result)
{
    request_flow &flow = *find(id);
    if (flow.run != 0)
        flow.unsettled.push_back(flow.run);
    flow.run = 0;
    addStep(flow, result);
    const bool isError = result.finish.status() >= http_status::badRequest;
    const bool isFault = result.finish.status() >= http_status::internalError;
    if (!flow.target.foundService) {
        addEvidence(flow, evidence_kind::errors, !isFault);
        updateTierLatency(flow, result);
    }
    const bool escalates = flow.target.foundCascade != nullptr && !flow.onLastTier()
            && !suffices(flow, result, isError);
    if (!isError)
        sampleRating(flow, result, !escalates);
    if (escalates) {
        flow.tier += 1;
        startTier(id);
        return;
    }
    complete(id, result);
}

template <runtime_like Runtime, table_like Table, entry_environment Env>
auto entry_core<Runtime, Table, Env>::suffices(const request_flow &flow, const tier_result &result,
                                               bool isError) -> bool
{
    const acceptance_decision evaluation
            = m_learner.evaluate(*flow.target.foundCascade, flow.who().group, flow.tier,
                                 isError ? 0.0 : result.finish.score());
    const bool enough = evaluation.suffices && !isError;
    std::string reason = "score " + shortNumber(result.finish.score()) + " against "
            + shortNumber(evaluation.threshold) + (evaluation.learned ? " learned" : " given");
    recordDecision(flow, decision_kind::judge, enough ? "suffices" : "escalates", 1,
                   std::move(reason));
    return enough;
}

template <runtime_like Runtime, table_like Table, entry_environment Env>
void entry_core<Runtime, Table, Env>::sampleRating(const request_flow &flow,
                                                   const tier_result &result, bool released)
{
    if (flow.target.foundService || !m_random.chance(m_options.ratedShare))
        return;
    rating_sample sample;
    sample.requestId = flow.requestId;
    sample.model = flow.tierTarget();
    sample.version = flow.tierVersion();
    sample.group = flow.who().group;
    sample.prompt = flow.request.body.substr(0, maxRatedBytes);
    sample.answer = result.answer.substr(0, maxRatedBytes);
    m_env.rate(sample,
               [this, rules = flow.rules, target = flow.request.target, sample, released,
                tier = flow.tier, score = result.finish.score()](std::optional<double> rating) {
                   if (!rating)
                       return;
                   const bool good = *rating >= minGoodRating;
                   addEvidence(sample.model, sample.version, sample.group, evidence_kind::ratings,
                               good);
                   if (const cascade *item = rules->rules.findCascade(target))
                       m_learner.addRating(*item, sample.group, tier, score, good, released);
               });
}

template <runtime_like Runtime, table_like Table, entry_environment Env>
void entry_core<Runtime, Table, Env>::release(caller_id id, const tier_result &result)
{
    request_flow *const flow = find(id);
    if (flow == nullptr)
        return;
    storeAnswer(*flow, result);
    if (!flow->callerLeft)
        sendFinalPart(*flow, result);
    recordDecision(*flow, decision_kind::answer, flow->tierTarget(), flow->steps.size(),
                   "complete");
    end(id);
}

template <runtime_like Runtime, table_like Table, entry_environment Env>
void entry_core<Runtime, Table, Env>::storeAnswer(const request_flow &flow,
                                                  const tier_result &result)
{
    if (!flow.claimOperationId) {
        settle(flow.unsettled);
        return;
    }
    claim answered;
    answered.requestId = flow.requestId;
    answered.operationId = *flow.claimOperationId;
    answered.status = static_cast<int>(result.finish.status());
    answered.contentType = result.finish.content_type();
    answered.model = flow.target.foundService ? "" : flow.tierTarget();
    answered.version = flow.tierVersion();
    if (result.answer.size() <= maxStoredAnswerBytes)
        answered.answer = result.answer;
    m_claims.finish(answered, [this, runs = flow.unsettled] { settle(runs); });
}

template <runtime_like Runtime, table_like Table, entry_environment Env>
void entry_core<Runtime, Table, Env>::sendFinalPart(request_flow &flow, const tier_result &result)
{
    const caller_id id = flow.request.id;
    const auto status = static_cast<int>(result.finish.status());
    if (!flow.request.stream || (!flow.streamBegun && status >= http_status::badRequest)) {
        http_headers headers = answerHeaders(flow);
        headers.push_back({"Content-Type", result.finish.content_type()});
        m_env.answer(id, whole_answer{status, std::move(headers), result.answer});
        return;
    }
    if (!flow.streamBegun) {
        beginStream(flow);
        m_env.answer(id, answer_piece{result.answer, 0});
    }
    m_env.answer(id, answer_end{true, std::string(streamTerminator)});
}

} // namespace laurelcroft

#endif
