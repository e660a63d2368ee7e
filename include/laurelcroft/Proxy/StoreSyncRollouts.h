//===-- Proxy/StoreSyncRollouts.h - members of store_sync --------*- C++ -*-===//
//
// Steps of roll-outs and what is told of them. Included by StoreSync.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_STORESYNCROLLOUTS_H
#define LAURELCROFT_PROXY_STORESYNCROLLOUTS_H

#include <algorithm>
#include <cmath>

namespace laurelcroft {

template <row_store_like Store, runtime_like Runtime>
bool store_sync<Store, Runtime>::writeEvidence(const std::string &service,
                                               const rollout_tracker &tracker)
{
    const rollout_evidence &own = tracker.evaluator().ownEvidence();
    const rollout_evidence &told = m_writtenEvidence[service];
    const bool sameOrder = told.orderedAt == own.orderedAt;
    const bool news = own.bad() > (sameOrder ? told.bad() : 0);
    if (!news || m_runtime.now() - m_evidenceWrittenAt < evidenceRowInterval || !isSampledWriter())
        return false;
    m_isWriting = true;
    m_evidenceWrittenAt = m_runtime.now();
    m_writtenEvidence[service] = own;
    logInfo(log_part::bundle, "evidence told",
            {{"service", service}, {"bad", std::int64_t(own.bad())}});
    rollout_evidence signedOwn = own;
    signedOwn.incarnation = m_incarnation;
    const row_write row{std::string(internalTable), evidenceKey(m_links.entry, service),
                        encodeEvidence(signedOwn), std::nullopt};
    m_store.write({row}, [this, service](outcome<conditional_write, row_failure> result) {
        m_isWriting = false;
        if (result)
            return;
        // The next look tells it again.
        m_writtenEvidence[service] = {};
        logWarning(log_part::platform, "evidence not written",
                   {{"service", service}, {"why", textOf(result.error())}});
    });
    return true;
}

template <row_store_like Store, runtime_like Runtime>
bool store_sync<Store, Runtime>::isPeerEvidenceCurrent()
{
    const follower &own = *m_followers.at(std::string(internalTable));
    const time_point now = m_runtime.now();
    if (now - own.relayedAt() < evidenceSettleTime)
        return false;
    return now - own.confirmedAt() <= maxEvidenceAge
            && now - own.steadySince() >= evidenceSettleTime;
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::takeEvidence(const evidence_notice &notice)
{
    if (notice.entry != m_links.entry)
        m_state.rollouts(notice.service).evaluator().takeEvidence(notice.entry, notice.evidence);
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::sendEvidence(const std::string &service,
                                              const rollout_tracker &tracker)
{
    const rollout_evidence &own = tracker.evaluator().ownEvidence();
    if (!m_links.tellReaders || own.byRoute.empty() || m_sentEvidence[service] == own)
        return;
    evidence_notice notice{m_links.entry, service, own};
    notice.evidence.incarnation = m_incarnation;
    if (m_links.tellReaders(notice))
        m_sentEvidence[service] = own;
}

template <row_store_like Store, runtime_like Runtime>
bool store_sync<Store, Runtime>::isSampledWriter()
{
    const double entries = static_cast<double>(std::max<std::size_t>(1, m_state.entries()));
    return m_state.random().chance(std::min(1.0, meanConcurrentWriters / entries));
}

template <row_store_like Store, runtime_like Runtime>
bool store_sync<Store, Runtime>::mayWriteStepNow(const rollout_row &next, bool knowsOthers)
{
    // A finding that waits for its turn leaves bad answers to callers: 3 s on average at 32
    // entries.
    if (next.stage == rollout_stage::reverted)
        return true;
    // Those that read the store are few already; most steps are theirs alone.
    return (knowsOthers || isSampledWriter()) && m_state.random().chance(stepChance);
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::runChecks()
{
    m_runtime.after(stepInterval, [this] { runChecks(); });
    maintainEntryRows();
    logOmittedEndpointLines();
    const bool isNoticeDue = m_runtime.now() >= m_nextNoticeAt;
    if (isNoticeDue)
        m_nextNoticeAt = m_runtime.now() + evidenceNoticeInterval;
    const bool knowsOthers = isPeerEvidenceCurrent();
    for (auto &[service, tracker] : m_state.allRollouts()) {
        tracker.evaluator().setUsesPeerEvidence(knowsOthers);
        if (isNoticeDue && tracker.order() && !tracker.isOver())
            sendEvidence(service, tracker);
    }
    if (m_isWriting || !m_clock.isKnown() || m_runtime.now() < m_nextWriteAt)
        return;
    if (writeFinding())
        return;
    for (auto &[service, tracker] : m_state.allRollouts()) {
        if (!tracker.order() || tracker.isOver())
            continue;
        const std::optional<rollout_row> next = tracker.nextRow(
                storeNow(), m_state.directory().usable(service), m_state.entries(), knowsOthers);
        if (!next && tracker.row() && writeEvidence(service, tracker))
            return;
        if (!next || !mayWriteStepNow(*next, knowsOthers))
            continue;
        writeStep(service, *tracker.order(), *next);
        return;
    }
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::writeStep(const std::string &service, const rollout_order &order,
                                           const rollout_row &row)
{
    m_isWriting = true;
    const rollout_suspicion doubt = m_state.rollouts(service).evaluator().strongestSuspicion();
    logInfo(log_part::bundle, "roll-out step is due",
            {{"service", service},
             {"target", row.targetVersion},
             {"stage", textOf(row.stage)},
             {"doubt", doubt.fault},
             {"route", doubt.route},
             {"bad", std::int64_t(doubt.bad)},
             {"answers", std::int64_t(doubt.all)},
             {"evidence_percent", std::lround(doubt.evidence * 100)},
             {"deviations_percent", std::lround(doubt.deviations * 100)}});
    const row_write own{std::string(internalTable), rolloutKey(service), encodeRollout(row),
                        m_rowVersions[service]};
    const std::vector<row_write> writes{own, m_codec.encodeStatus(order, row.stage)};
    m_store.write(writes, [this, service, row](outcome<conditional_write, row_failure> result) {
        m_isWriting = false;
        if (!result)
            m_nextWriteAt = m_runtime.now() + writeRetryDelay;
        const bool done = result && result.value().done;
        logInfo(log_part::bundle, "roll-out step written",
                {{"service", service},
                 {"target", row.targetVersion},
                 {"stage", textOf(row.stage)},
                 {"result", textOf(result)}});
        // The row comes back by the feed; taking it at once saves a read's time.
        if (done)
            m_state.rollouts(service).setRow(row, m_clock.localTimeOf(row.stageSince));
        if (!result || done)
            return;
        // Somebody else was first: the next step goes on from that row.
        for (const table_entry &entry : result.value().current) {
            if (entry.table == internalTable)
                takeInternalRow(entry.row);
        }
    });
}

} // namespace laurelcroft

#endif
