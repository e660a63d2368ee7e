//===-- Agent/AgentCoreImpl.h - members of agent_core -----------*- C++ -*-===//
//
// Included by AgentCore.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_AGENT_AGENTCOREIMPL_H
#define LAURELCROFT_AGENT_AGENTCOREIMPL_H

namespace laurelcroft {

template <runtime_like Runtime, table_like Table, agent_environment Env>
void agent_core<Runtime, Table, Env>::detectFreeze()
{
    const time_point now = m_runtime.now();
    if (now - m_lastActivity > m_options.freezeThreshold) {
        m_incarnation += 1;
        logWarning(log_part::agent, "process was frozen, earlier offers are refused",
                   {{"incarnation", static_cast<std::int64_t>(m_incarnation)}});
    }
    m_lastActivity = now;
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
template <class M>
void agent_core<Runtime, Table, Env>::expire(M &known)
{
    while (!m_insertionOrder[&known].empty()) {
        const auto &[at, key] = m_insertionOrder[&known].front();
        if (m_runtime.now() - at < m_options.duplicateRetention
            && m_insertionOrder[&known].size() <= m_options.maxRememberedKeys)
            return;
        known.erase(key);
        m_insertionOrder[&known].pop_front();
    }
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
void agent_core<Runtime, Table, Env>::onOffer(link_stream_id stream, const wire::offer &offer,
                                              bundle_epoch epoch)
{
    const wire::refusal refusal = checkOffer(offer, epoch);
    wire::from_agent answer = makeMessage();
    answer.mutable_admission()->set_refusal(refusal);
    logInfo(log_part::agent, refusal == wire::refusal_none ? "offer admitted" : "offer refused",
            {{"request", offer.request_id()},
             {"attempt", static_cast<std::int64_t>(offer.attempt())},
             {"target", offer.target()},
             {"version", offer.version()},
             {"epoch", static_cast<std::int64_t>(m_bundleTracker.epoch())},
             {"reason", textOf(refusal)}});
    if (refusal != wire::refusal_none) {
        m_env.sendToEntry(stream, answer);
        m_env.closeStream(stream);
        return;
    }
    auto item = std::make_unique<attempt>();
    item->key = {offer.request_id(), offer.attempt()};
    item->offer = offer;
    item->epoch = m_bundleTracker.epoch();
    item->stream = stream;
    item->work = ++m_lastWork;
    item->startedAt = m_runtime.now();
    remember(m_recentKeys, item->key);
    m_keyByStream[stream] = item->key;
    m_keyByWork[item->work] = item->key;
    const work_id work = item->work;
    m_attempts[item->key] = std::move(item);
    m_env.sendToEntry(stream, answer);
    m_env.startWork(work, offer);
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
auto agent_core<Runtime, Table, Env>::checkOffer(const wire::offer &offer, bundle_epoch epoch)
        -> wire::refusal
{
    if (offer.incarnation() != m_incarnation)
        return wire::refusal_incarnation;
    if (m_draining)
        return wire::refusal_draining;
    if (!m_bundleTracker.current())
        return wire::refusal_no_bundle;
    if (epoch > m_bundleTracker.epoch()) {
        m_bundleTracker.observePeerEpoch(offer.entry(), epoch, false, duration(0));
        return wire::refusal_behind;
    }
    const wire::refusal permitted = checkPermission(offer);
    if (permitted != wire::refusal_none)
        return permitted;
    const attempt_key key{offer.request_id(), offer.attempt()};
    if (m_revokedKeys.count(key) != 0)
        return wire::refusal_revoked;
    if (isDuplicate(offer, key))
        return wire::refusal_duplicate;
    if (offer.kind() == wire::work_chat
        && m_loaded.count(offer.target() + "@" + offer.version()) == 0)
        return wire::refusal_not_loaded;
    if (m_keyByWork.size() >= m_options.maxAttempts)
        return wire::refusal_full;
    return wire::refusal_none;
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
auto agent_core<Runtime, Table, Env>::checkPermission(const wire::offer &offer) const
        -> wire::refusal
{
    const bundle &rules = m_bundleTracker.current()->rules;
    const customer *requester = rules.findCustomer(offer.customer());
    if (requester == nullptr)
        return wire::refusal_not_allowed;
    const model *item = rules.findModel(offer.target());
    const model_version *version = item == nullptr ? nullptr : findVersion(*item, offer.version());
    if (version != nullptr && version->state == version_state::withdrawn)
        return wire::refusal_withdrawn;
    const bool allowed = mayUse(rules, *requester, offer.target(), offer.version());
    return allowed ? wire::refusal_none : wire::refusal_not_allowed;
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
auto agent_core<Runtime, Table, Env>::isDuplicate(const wire::offer &offer,
                                                  const attempt_key &key) const -> bool
{
    // A caller may send a repeatable request again through another entry with the same request
    // id, and every entry numbers its attempts from the same start. An equal key is therefore a
    // duplicate only while the first attempt is still held.
    if (offer.repeatable())
        return m_attempts.count(key) != 0;
    if (m_recentKeys.count(key) != 0)
        return true;
    // A request that is not repeatable is a duplicate if any attempt of it was admitted.
    const auto it = m_recentKeys.lower_bound({offer.request_id(), 0});
    return it != m_recentKeys.end() && it->requestId == offer.request_id();
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
void agent_core<Runtime, Table, Env>::onResume(link_stream_id stream, const wire::resume &resume)
{
    attempt *const item = find({resume.request_id(), resume.attempt()});
    wire::from_agent answer = makeMessage();
    if (item == nullptr || resume.offset() > item->answer.size()) {
        answer.mutable_admission()->set_refusal(wire::refusal_unknown_attempt);
        m_env.sendToEntry(stream, answer);
        m_env.closeStream(stream);
        return;
    }
    if (item->stream != 0)
        m_keyByStream.erase(item->stream);
    item->stream = stream;
    item->orphanGeneration += 1;
    m_keyByStream[stream] = item->key;
    answer.mutable_admission()->set_refusal(wire::refusal_none);
    m_env.sendToEntry(stream, answer);
    sendPiece(*item, resume.offset());
    if (!item->running)
        sendEnd(*item);
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
void agent_core<Runtime, Table, Env>::onCancel(link_stream_id stream)
{
    attempt *const item = findByStream(stream);
    m_env.resetStream(stream);
    if (item == nullptr)
        return;
    logInfo(log_part::agent, "attempt cancelled by the entry", {{"request", item->key.requestId}});
    if (item->running)
        m_env.cancelWork(item->work);
    removeAttempt(*item);
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
void agent_core<Runtime, Table, Env>::sendEnd(const attempt &item)
{
    if (item.stream == 0)
        return;
    wire::from_agent message = makeMessage();
    if (item.result.failed) {
        wire::fault &fault = *message.mutable_fault();
        fault.set_executed(item.result.executed);
        fault.set_message(item.result.message);
        *fault.mutable_usage() = item.result.usage;
    } else {
        wire::finish &finish = *message.mutable_finish();
        finish.set_status(static_cast<std::uint32_t>(item.result.status));
        finish.set_length(item.answer.size());
        finish.set_digest(sha256(item.answer));
        *finish.mutable_usage() = item.result.usage;
        finish.set_score(item.result.score);
        finish.set_content_type(item.result.contentType);
    }
    m_env.sendToEntry(item.stream, message);
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
void agent_core<Runtime, Table, Env>::onOrphaned(attempt &item)
{
    logWarning(log_part::agent, "attempt was not resumed in time",
               {{"request", item.key.requestId}});
    item.orphaned = true;
    if (!item.running) {
        settleOrphan(item);
        return;
    }
    if (!item.offer.repeatable())
        return;
    m_env.cancelWork(item.work);
    item.running = false;
    item.result.failed = true;
    item.result.executed = wire::execution_yes;
    estimateMissingUsage(item);
    settleOrphan(item);
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
void agent_core<Runtime, Table, Env>::settleOrphan(attempt &item)
{
    if (item.result.executed != wire::execution_no || !item.result.failed)
        m_outbox.add(provisionalBill(item), {});
    if (item.offer.claimed() && !item.result.failed) {
        claim answered;
        answered.requestId = item.key.requestId;
        answered.operationId = item.offer.operation_id();
        answered.status = item.result.status;
        answered.contentType = item.result.contentType;
        answered.model = item.offer.kind() == wire::work_chat ? item.offer.target() : "";
        answered.version = item.offer.version();
        if (item.answer.size() <= maxStoredAnswerBytes)
            answered.answer = item.answer;
        m_claims.finish(answered);
    }
    removeAttempt(item);
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
auto agent_core<Runtime, Table, Env>::provisionalBill(const attempt &item) const -> wire::bill
{
    wire::bill bill;
    bill.set_request_id(item.key.requestId);
    bill.set_customer(item.offer.customer());
    bill.set_target(item.offer.target());
    bill.set_outcome(item.result.failed ? "failed" : "complete");
    bill.set_bundle_epoch(item.epoch);
    bill.set_wall_ms(wallMilliseconds());
    bill.set_provisional(true);
    wire::bill_step &step = *bill.add_steps();
    step.set_target(item.offer.target());
    step.set_version(item.offer.version());
    step.set_endpoint(m_options.instance);
    *step.mutable_usage() = item.result.usage;
    const auto current = m_bundleTracker.current();
    step.set_cost(current ? costOf(current->rules, step) : 0);
    bill.set_cost(step.cost());
    return bill;
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
void agent_core<Runtime, Table, Env>::onBundleInstalled(const typename tracker_type::ptr &installed)
{
    std::set<std::string> wanted;
    for (const model &item : installed->rules.models) {
        if (item.pool != m_options.pool)
            continue;
        for (const model_version &version : item.versions) {
            if (version.state != version_state::withdrawn)
                wanted.insert(item.name + "@" + version.name);
        }
    }
    for (const std::string &name : std::set<std::string>(m_loaded)) {
        if (wanted.count(name) == 0)
            orderVersion(order_action::unload, name, installed->accepted.epoch);
    }
    for (const std::string &name : wanted) {
        if (m_loaded.count(name) == 0)
            orderVersion(order_action::load, name, installed->accepted.epoch);
    }
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
void agent_core<Runtime, Table, Env>::orderVersion(order_action action, const std::string &name,
                                                   bundle_epoch fence)
{
    // Refuse new work for the version as soon as its unload is decided.
    if (action == order_action::unload)
        m_loaded.erase(name);
    logInfo(log_part::placement, action == order_action::load ? "load ordered" : "unload ordered",
            {{"version", name}, {"fence", static_cast<std::int64_t>(fence)}});
    m_env.sendOrder({action, name, fence}, [this, action, name, fence](bool done) {
        // A bundle with a newer epoch has issued its own orders in the meantime.
        if (fence != m_bundleTracker.epoch())
            return;
        if (done && action == order_action::load)
            m_loaded.insert(name);
        if (!done)
            m_runtime.after(orderRetryDelay, [this, action, name, fence] {
                if (fence == m_bundleTracker.epoch())
                    orderVersion(action, name, fence);
            });
    });
}

} // namespace laurelcroft

#endif
