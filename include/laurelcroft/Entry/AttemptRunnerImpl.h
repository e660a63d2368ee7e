//===-- Entry/AttemptRunnerImpl.h - members of attempt_runner ---*- C++ -*-===//
//
// Included by AttemptRunner.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_ENTRY_ATTEMPTRUNNERIMPL_H
#define LAURELCROFT_ENTRY_ATTEMPTRUNNERIMPL_H

namespace laurelcroft {

template <runtime_like Runtime, attempt_port Env>
auto attempt_runner<Runtime, Env>::usableEndpoints(const run &item) const
        -> std::vector<const endpoint *>
{
    const auto all = m_directory.candidates(item.work.pool, item.work.offer.target(),
                                            item.work.offer.version());
    std::vector<const endpoint *> kept;
    std::size_t ejected = 0;
    for (const endpoint *candidate : all) {
        if (item.triedEndpoints.count(candidate->id) != 0)
            continue;
        const bool out = m_ejection.isEjected(candidate->id, m_runtime.now())
                && endpoint_ejection::mayEject(ejected + 1, all.size());
        if (out)
            ejected += 1;
        else
            kept.push_back(candidate);
    }
    return kept;
}

template <runtime_like Runtime, attempt_port Env>
void attempt_runner<Runtime, Env>::dispatch(run &item)
{
    const auto endpoints = usableEndpoints(item);
    const auto known = m_affinity.find(item.work.affinity);
    std::vector<endpoint_view> views;
    for (const endpoint *candidate : endpoints) {
        const bool holds = known != m_affinity.end() && known->second == candidate->id;
        views.push_back(viewOf(*candidate, m_directory.dataCentre(), holds));
    }
    const auto choice = chooseEndpoint(views, item.work.estimate, m_random);
    if (!choice || item.offers >= m_options.maxOffers) {
        giveUp(item);
        return;
    }
    const endpoint &chosen = *endpoints[choice->index];
    recordDecision(item, decision_kind::endpoint, chosen.id, choice->considered,
                   std::string(textOf(choice->reason)));
    offer(item, chosen);
}

template <runtime_like Runtime, attempt_port Env>
void attempt_runner<Runtime, Env>::offer(run &item, const endpoint &chosen)
{
    item.offers += 1;
    item.attemptNumber += 1;
    item.ranBefore = item.ran;
    item.endpointId = chosen.id;
    item.triedEndpoints.insert(chosen.id);
    item.admitted = false;
    item.countedAsRunning = true;
    m_directory.onSent(chosen.id);
    wire::from_entry message;
    message.set_bundle_epoch(item.epoch);
    wire::offer &offer = *message.mutable_offer();
    offer = item.work.offer;
    offer.set_attempt(item.attemptNumber);
    offer.set_incarnation(chosen.incarnation);
    const auto left
            = std::chrono::duration_cast<milliseconds>(item.work.deadline - m_runtime.now());
    offer.set_deadline_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(1, left.count())));
    item.handle = m_env.openAttempt(chosen.id, message);
    m_handles[item.handle] = item.id;
    item.offerTimer = m_runtime.after(
            m_options.offerTimeout, [this, id = item.id, attemptNumber = item.attemptNumber] {
                run *const late = find(id);
                if (late == nullptr || late->admitted || late->attemptNumber != attemptNumber)
                    return;
                m_ejection.failed(late->endpointId, m_runtime.now());
                revokeOffer(*late);
            });
}

template <runtime_like Runtime, attempt_port Env>
void attempt_runner<Runtime, Env>::onAdmission(run &item, wire::refusal refusal)
{
    m_runtime.cancel(item.offerTimer);
    if (refusal == wire::refusal_none) {
        item.admitted = true;
        item.ran = true;
        item.resuming = false;
        rememberAffinity(item);
        return;
    }
    if (item.resuming) {
        // The agent no longer has the attempt, so its answer cannot be fetched.
        detachFromEndpoint(item);
        failAfterDisconnect(item, "the endpoint lost the attempt");
        return;
    }
    item.lastRefusal = refusal;
    recordDecision(item, decision_kind::attempt, item.endpointId, 1, std::string(textOf(refusal)));
    detachFromEndpoint(item);
    // A refused offer never ran, so another endpoint may be tried, unless the refusal means that no
    // endpoint may serve it.
    const bool final = refusal == wire::refusal_withdrawn || refusal == wire::refusal_not_allowed
            || refusal == wire::refusal_duplicate;
    if (final)
        giveUp(item);
    else
        dispatch(item);
}

template <runtime_like Runtime, attempt_port Env>
void attempt_runner<Runtime, Env>::revokeOffer(run &item)
{
    const std::string endpointId = item.endpointId;
    detachFromEndpoint(item);
    wire::revoke message;
    message.set_request_id(item.work.offer.request_id());
    message.set_attempt(item.attemptNumber);
    message.set_bundle_epoch(item.epoch);
    if (item.work.offer.repeatable()) {
        // Repeatable work may run again in any case; the revocation only saves the endpoint's work.
        m_env.revoke(endpointId, message, [](std::optional<wire::revoked>) {});
        item.mayHaveRun = true;
        retryElsewhere(item, "the endpoint did not answer the offer");
        return;
    }
    m_env.revoke(endpointId, message, [this, id = item.id](std::optional<wire::revoked> answer) {
        run *const found = find(id);
        if (found != nullptr)
            onRevoked(*found, answer);
    });
}

template <runtime_like Runtime, attempt_port Env>
void attempt_runner<Runtime, Env>::onRevoked(run &item, const std::optional<wire::revoked> &answer)
{
    if (answer && answer->state() == wire::attempt_never_started) {
        recordDecision(item, decision_kind::attempt, item.endpointId, 1,
                       "revoked before it started");
        dispatch(item);
        return;
    }
    if (answer) {
        // The attempt has started there: fetch its answer instead of running the work again.
        item.admitted = true;
        resume(item.id);
        return;
    }
    finish(item, tier_outcome::uncertain, "the endpoint cannot be reached");
}

template <runtime_like Runtime, attempt_port Env>
void attempt_runner<Runtime, Env>::retryElsewhere(run &item, const std::string &reason)
{
    recordDecision(item, decision_kind::attempt, item.endpointId, 1, reason);
    if (item.releasedBytes > 0) {
        finish(item, tier_outcome::failed, reason);
        return;
    }
    item.answer.clear();
    if (!m_budget.spend()) {
        finish(item, outcomeSoFar(item), "no retry is left in the budget");
        return;
    }
    dispatch(item);
}

template <runtime_like Runtime, attempt_port Env>
void attempt_runner<Runtime, Env>::resume(run_id id)
{
    run *const item = find(id);
    if (item == nullptr)
        return;
    if (!item->resuming) {
        item->resuming = true;
        item->disconnectedAt = m_runtime.now();
    }
    const bool late = m_runtime.now() - item->disconnectedAt > m_options.resumeWindow;
    const bool gone = m_directory.find(item->endpointId) == nullptr;
    if (late || gone) {
        failAfterDisconnect(*item, "the endpoint was lost");
        return;
    }
    m_runtime.after(m_options.resumeInterval, [this, id, attemptNumber = item->attemptNumber] {
        run *const found = find(id);
        if (found == nullptr || found->handle != 0 || found->attemptNumber != attemptNumber)
            return;
        wire::from_entry message;
        message.set_bundle_epoch(found->epoch);
        message.mutable_resume()->set_request_id(found->work.offer.request_id());
        message.mutable_resume()->set_attempt(found->attemptNumber);
        message.mutable_resume()->set_offset(found->answer.size());
        found->handle = m_env.openAttempt(found->endpointId, message);
        m_handles[found->handle] = id;
        recordDecision(*found, decision_kind::attempt, found->endpointId, 1,
                       "resumed after a disconnect");
    });
}

template <runtime_like Runtime, attempt_port Env>
void attempt_runner<Runtime, Env>::failAfterDisconnect(run &item, const std::string &reason)
{
    m_ejection.failed(item.endpointId, m_runtime.now());
    item.mayHaveRun = true;
    item.resuming = false;
    detachFromEndpoint(item);
    if (item.work.offer.repeatable())
        retryElsewhere(item, reason);
    else
        finish(item, tier_outcome::uncertain, reason);
}

template <runtime_like Runtime, attempt_port Env>
void attempt_runner<Runtime, Env>::onPiece(run &item, const wire::piece &piece,
                                           std::size_t linkBytes)
{
    // After a resume, the first piece may overlap the data already received.
    const std::uint64_t have = item.answer.size();
    const std::uint64_t end = piece.offset() + piece.data().size();
    if (piece.offset() > have || end <= have) {
        m_env.consumeAttempt(item.handle, linkBytes);
        return;
    }
    const std::string fresh = piece.data().substr(have - piece.offset());
    item.answer += fresh;
    if (item.events.onData) {
        item.releasedBytes = item.answer.size();
        item.events.onData(fresh, linkBytes);
    } else {
        m_env.consumeAttempt(item.handle, linkBytes);
    }
}

template <runtime_like Runtime, attempt_port Env>
void attempt_runner<Runtime, Env>::onFinish(run &item, const wire::finish &done)
{
    const bool whole = done.length() == item.answer.size() && done.digest() == sha256(item.answer);
    if (!whole) {
        failAfterDisconnect(item, "the answer is not whole");
        return;
    }
    m_ejection.succeeded(item.endpointId);
    markFinished(item);
    tier_result result;
    result.outcome = tier_outcome::finished;
    result.endpoint = item.endpointId;
    result.finish = done;
    result.usage = done.usage();
    result.answer = item.answer;
    const auto onResult = item.events.onResult;
    onResult(result);
}

template <runtime_like Runtime, attempt_port Env>
void attempt_runner<Runtime, Env>::onFault(run &item, const wire::fault &fault)
{
    m_ejection.failed(item.endpointId, m_runtime.now());
    const bool ran = fault.executed() != wire::execution_no;
    // An admitted attempt has not run if the agent could not reach its endpoint.
    item.ran = item.ranBefore || ran;
    if (!ran || item.work.offer.repeatable()) {
        wire::from_entry message;
        message.mutable_settled();
        m_env.sendAttempt(item.handle, message);
        detachFromEndpoint(item);
        retryElsewhere(item, fault.message());
        return;
    }
    finishUnsettled(item, fault);
}

template <runtime_like Runtime, attempt_port Env>
void attempt_runner<Runtime, Env>::finishUnsettled(run &item, const wire::fault &fault)
{
    markFinished(item);
    tier_result result;
    const bool unknown = fault.executed() == wire::execution_unknown;
    result.outcome = unknown ? tier_outcome::uncertain : tier_outcome::failed;
    result.reason = fault.message();
    result.endpoint = item.endpointId;
    result.usage = fault.usage();
    result.answer = item.answer;
    result.retryAfter = m_options.noEndpointRetryAfter;
    result.isUnsettled = true;
    const auto onResult = item.events.onResult;
    onResult(result);
}

template <runtime_like Runtime, attempt_port Env>
void attempt_runner<Runtime, Env>::onDeadline(run_id id)
{
    run *const item = find(id);
    if (item == nullptr || item->finished)
        return;
    sendCancel(*item);
    // An offer that is still unanswered may yet be admitted.
    item->mayHaveRun = item->mayHaveRun || item->handle != 0;
    finish(*item, outcomeSoFar(*item), "the deadline passed", true);
}

template <runtime_like Runtime, attempt_port Env>
void attempt_runner<Runtime, Env>::finish(run &item, tier_outcome outcome,
                                          const std::string &reason, bool timedOut,
                                          milliseconds retryAfter)
{
    tier_result result;
    result.outcome = outcome;
    result.reason = reason;
    result.refusal = item.lastRefusal;
    result.endpoint = item.endpointId;
    result.answer = item.answer;
    result.usage = usageSoFar(item);
    result.retryAfter = retryAfter;
    result.timedOut = timedOut;
    const auto onResult = std::move(item.events.onResult);
    erase(item);
    // Reported from a timer, since start() must return the run's id before its result is reported.
    m_runtime.after(duration(0), [onResult, result] { onResult(result); });
}

} // namespace laurelcroft

#endif
