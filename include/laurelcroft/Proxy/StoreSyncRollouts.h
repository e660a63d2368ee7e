//===-- Proxy/StoreSyncRollouts.h - steps of roll-outs ----------*- C++ -*-===//
//
// Members of store_sync that write the steps of roll-outs and report evidence. Included by
// StoreSync.h only.
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
    const rollout_evidence &written = m_writtenEvidence[service];
    const bool sameOrder = written.orderedAt == own.orderedAt;
    const bool hasMoreBad = own.bad() > (sameOrder ? written.bad() : 0);
    if (!hasMoreBad || m_runtime.now() - m_evidenceWrittenAt < evidenceRowInterval
        || !isSampledWriter())
        return false;
    m_isWriting = true;
    m_evidenceWrittenAt = m_runtime.now();
    m_writtenEvidence[service] = own;
    logInfo(log_part::bundle, "evidence told",
            {{"service", service}, {"bad", std::int64_t(own.bad())}});
    rollout_evidence ownWithIncarnation = own;
    ownWithIncarnation.incarnation = m_incarnation;
    const row_write row{std::string(internalTable), evidenceKey(m_links.entry, service),
                        encodeEvidence(ownWithIncarnation), std::nullopt};
    m_store.write({row}, [this, service](outcome<conditional_write, row_failure> result) {
        m_isWriting = false;
        if (result)
            return;
        // The next check writes it again.
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
    if (now - own.relayAnsweredAt() < evidenceSettleTime)
        return false;
    return now - own.confirmedAt() <= maxEvidenceAge
            && now - own.availableSince() >= evidenceSettleTime;
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::takeEvidence(const evidence_notice &notice)
{
    if (notice.entry == m_links.entry)
        return;
    rollout_evidence evidence = notice.evidence;
    evidence.orderedAt = withEra(evidence.orderedAt, notice.service);
    m_state.rollouts(notice.service).evaluator().takeEvidence(notice.entry, evidence);
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::sendEvidence(const std::string &service,
                                              const rollout_tracker &tracker)
{
    const rollout_evidence &own = tracker.evaluator().ownEvidence();
    if (!m_links.sendEvidenceToReaders || own.byRoute.empty() || m_sentEvidence[service] == own)
        return;
    evidence_notice notice{m_links.entry, service, own};
    notice.evidence.incarnation = m_incarnation;
    if (m_links.sendEvidenceToReaders(notice))
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
    // A delayed revert sends bad answers to callers: the wait for a turn took 3 s on average with
    // 32 entries.
    if (next.stage == rollout_stage::reverted)
        return true;
    // Few entries read the store, and they take most steps, so they need no further sampling.
    return (knowsOthers || isSampledWriter()) && m_state.random().chance(stepChance);
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::runChecks()
{
    m_runtime.after(stepInterval, [this] { runChecks(); });
    removeExpiredRows();
    takeHeldOrders();
    maintainEntryRows();
    noteEndpointRowsAge();
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
    if (writeLostRows() || writeFinding())
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
    const version_evaluator &evaluator = m_state.rollouts(service).evaluator();
    const rollout_suspicion doubt = evaluator.strongestSuspicion();
    logInfo(log_part::bundle, "roll-out step is due",
            {{"service", service},
             {"target", row.targetVersion},
             {"stage", textOf(row.stage)},
             {"doubt", doubt.fault},
             {"route", doubt.route},
             {"bad", std::int64_t(doubt.bad)},
             {"answers", std::int64_t(doubt.all)},
             {"evidence_percent", std::lround(doubt.evidence * 100)},
             {"deviations_percent", std::lround(doubt.deviations * 100)},
             {"may_be_slow", evaluator.isDoubtful() ? "yes" : "no"}});
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
        // The row also comes back by the feed; applying it now saves the time of a read.
        if (done)
            m_state.rollouts(service).setRow(row, m_clock.localTimeOf(row.stageSince));
        if (!result || done)
            return;
        // Another entry wrote first: the next step starts from its row.
        for (const table_entry &entry : result.value().current) {
            if (entry.table == internalTable)
                takeInternalRow(entry.row);
        }
    });
}

} // namespace laurelcroft

#endif
