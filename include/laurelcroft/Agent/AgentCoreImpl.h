//===-- Agent/AgentCoreImpl.h - members of agent_core -----------*- C++ -*-===//
//
// Included by AgentCore.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_AGENT_AGENTCOREIMPL_H
#define LAURELCROFT_AGENT_AGENTCOREIMPL_H

namespace laurelcroft {

template <runtime_like Runtime, table_like Table, agent_environment Env>
void agent_core<Runtime, Table, Env>::noteAlive()
{
    const time_point now = m_runtime.now();
    if (now - m_lastAlive > m_options.frozenAfter) {
        m_incarnation += 1;
        logWarning(log_part::agent, "woke from a freeze, offers made before are void",
                   {{"incarnation", static_cast<std::int64_t>(m_incarnation)}});
    }
    m_lastAlive = now;
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
template <class M>
void agent_core<Runtime, Table, Env>::expire(M &known)
{
    while (!m_ages[&known].empty()) {
        const auto &[at, key] = m_ages[&known].front();
        if (m_runtime.now() - at < m_options.duplicateLife
            && m_ages[&known].size() <= m_options.mostRemembered)
            return;
        known.erase(key);
        m_ages[&known].pop_front();
    }
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
void agent_core<Runtime, Table, Env>::onOffer(link_stream_id stream, const wire::offer &offer,
                                              bundle_epoch epoch)
{
    const wire::refusal refusal = judge(offer, epoch);
    wire::from_agent answer = header();
    answer.mutable_admission()->set_refusal(refusal);
    logInfo(log_part::agent, refusal == wire::refusal_none ? "offer admitted" : "offer refused",
            {{"request", offer.request_id()},
             {"attempt", static_cast<std::int64_t>(offer.attempt())},
             {"target", offer.target()},
             {"version", offer.version()},
             {"epoch", static_cast<std::int64_t>(m_keeper.epoch())},
             {"reason", textOf(refusal)}});
    if (refusal != wire::refusal_none) {
        m_env.sendToEntry(stream, answer);
        m_env.closeStream(stream);
        return;
    }
    auto item = std::make_unique<attempt>();
    item->key = {offer.request_id(), offer.attempt()};
    item->offer = offer;
    item->epoch = m_keeper.epoch();
    item->stream = stream;
    item->work = ++m_lastWork;
    item->startedAt = m_runtime.now();
    remember(m_recent, item->key);
    m_streams[stream] = item->key;
    m_works[item->work] = item->key;
    const work_id work = item->work;
    m_attempts[item->key] = std::move(item);
    m_env.sendToEntry(stream, answer);
    m_env.startWork(work, offer);
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
auto agent_core<Runtime, Table, Env>::judge(const wire::offer &offer, bundle_epoch epoch)
        -> wire::refusal
{
    if (offer.incarnation() != m_incarnation)
        return wire::refusal_incarnation;
    if (m_draining)
        return wire::refusal_draining;
    if (!m_keeper.current())
        return wire::refusal_no_bundle;
    if (epoch > m_keeper.epoch()) {
        m_keeper.observePeerEpoch(offer.entry(), epoch, false, duration(0));
        return wire::refusal_behind;
    }
    const wire::refusal permitted = checkPermission(offer);
    if (permitted != wire::refusal_none)
        return permitted;
    const attempt_key key{offer.request_id(), offer.attempt()};
    if (m_revoked.count(key) != 0)
        return wire::refusal_revoked;
    if (isDuplicate(offer, key))
        return wire::refusal_duplicate;
    if (offer.kind() == wire::work_chat
        && m_loaded.count(offer.target() + "@" + offer.version()) == 0)
        return wire::refusal_not_loaded;
    if (m_works.size() >= m_options.mostAttempts)
        return wire::refusal_full;
    return wire::refusal_none;
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
auto agent_core<Runtime, Table, Env>::checkPermission(const wire::offer &offer) const
        -> wire::refusal
{
    const bundle &rules = m_keeper.current()->rules;
    const customer *who = rules.findCustomer(offer.customer());
    if (who == nullptr)
        return wire::refusal_not_allowed;
    const model *item = rules.findModel(offer.target());
    const model_version *version = item == nullptr ? nullptr : findVersion(*item, offer.version());
    if (version != nullptr && version->state == version_state::withdrawn)
        return wire::refusal_withdrawn;
    const bool allowed = mayUse(rules, *who, offer.target(), offer.version());
    return allowed ? wire::refusal_none : wire::refusal_not_allowed;
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
auto agent_core<Runtime, Table, Env>::isDuplicate(const wire::offer &offer,
                                                  const attempt_key &key) const -> bool
{
    // A caller may bring a repeatable request to another entry under the same key, and
    // entries number their attempts alike: only one that still runs is the same.
    if (offer.repeatable())
        return m_attempts.count(key) != 0;
    if (m_recent.count(key) != 0)
        return true;
    // Any attempt of a request that may not be repeated counts, whatever its number.
    const auto it = m_recent.lower_bound({offer.request_id(), 0});
    return it != m_recent.end() && it->requestId == offer.request_id();
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
void agent_core<Runtime, Table, Env>::onResume(link_stream_id stream, const wire::resume &resume)
{
    attempt *const item = find({resume.request_id(), resume.attempt()});
    wire::from_agent answer = header();
    if (item == nullptr || resume.offset() > item->answer.size()) {
        answer.mutable_admission()->set_refusal(wire::refusal_unknown_attempt);
        m_env.sendToEntry(stream, answer);
        m_env.closeStream(stream);
        return;
    }
    if (item->stream != 0)
        m_streams.erase(item->stream);
    item->stream = stream;
    item->orphanings += 1;
    m_streams[stream] = item->key;
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
    logInfo(log_part::agent, "attempt cancelled by its entry", {{"request", item->key.requestId}});
    if (item->running)
        m_env.cancelWork(item->work);
    forget(*item);
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
void agent_core<Runtime, Table, Env>::sendEnd(const attempt &item)
{
    if (item.stream == 0)
        return;
    wire::from_agent message = header();
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
void agent_core<Runtime, Table, Env>::orphan(attempt &item)
{
    logWarning(log_part::agent, "attempt lost its entry", {{"request", item.key.requestId}});
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
    countIfUnknown(item);
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
    forget(item);
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
    const auto current = m_keeper.current();
    step.set_cost(current ? costOf(current->rules, step) : 0);
    bill.set_cost(step.cost());
    return bill;
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
void agent_core<Runtime, Table, Env>::onBundle(const typename keeper_type::ptr &taken)
{
    std::set<std::string> wanted;
    for (const model &item : taken->rules.models) {
        if (item.pool != m_options.pool)
            continue;
        for (const model_version &version : item.versions) {
            if (version.state != version_state::withdrawn)
                wanted.insert(item.name + "@" + version.name);
        }
    }
    for (const std::string &name : std::set<std::string>(m_loaded)) {
        if (wanted.count(name) == 0)
            order(order_action::unload, name, taken->accepted.epoch);
    }
    for (const std::string &name : wanted) {
        if (m_loaded.count(name) == 0)
            order(order_action::load, name, taken->accepted.epoch);
    }
}

template <runtime_like Runtime, table_like Table, agent_environment Env>
void agent_core<Runtime, Table, Env>::order(order_action action, const std::string &name,
                                            bundle_epoch fence)
{
    // No new work for a version that goes, from the moment the order is decided.
    if (action == order_action::unload)
        m_loaded.erase(name);
    logInfo(log_part::placement, action == order_action::load ? "load ordered" : "unload ordered",
            {{"version", name}, {"fence", static_cast<std::int64_t>(fence)}});
    m_env.giveOrder({action, name, fence}, [this, action, name, fence](bool done) {
        // A newer epoch has given its own orders meanwhile.
        if (fence != m_keeper.epoch())
            return;
        if (done && action == order_action::load)
            m_loaded.insert(name);
        if (!done)
            m_runtime.after(orderRetry, [this, action, name, fence] {
                if (fence == m_keeper.epoch())
                    order(action, name, fence);
            });
    });
}

} // namespace laurelcroft

#endif
