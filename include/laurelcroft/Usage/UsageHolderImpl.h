//===-- Usage/UsageHolderImpl.h - members of usage_holder -------*- C++ -*-===//
//
// Included by UsageHolder.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_USAGE_USAGEHOLDERIMPL_H
#define LAURELCROFT_USAGE_USAGEHOLDERIMPL_H

#include <algorithm>
#include <cstdint>
#include <utility>

namespace laurelcroft {

template <usage_environment Env>
usage_holder<Env>::usage_holder(Env &env, const usage_settings &settings, metric_registry &metrics,
                                usage_row row, store_version version, store_time_bounds bounds,
                                std::function<void(const usage_ack &)> onOwnAck)
    : m_env(env)
    , m_settings(settings)
    , m_metrics(metrics)
    , m_onOwnAck(std::move(onOwnAck))
    , m_row(std::move(row))
    , m_version(version)
    , m_era(version.era)
    , m_bounds(bounds)
    , m_confirmedUntil(m_row.lease.until)
    , m_savedProgress(m_row.ledger.progress())
    , m_savedDecidedBefore(m_row.ledger.decidedBefore())
    , m_gainedAt(env.runtime().now())
{
}

template <usage_environment Env>
bool usage_holder<Env>::holdsLease(milliseconds margin)
{
    return !m_isOver && m_bounds.latest(now()) + margin < m_confirmedUntil;
}

template <usage_environment Env>
void usage_holder<Env>::endTenure(std::string_view reason)
{
    if (std::exchange(m_isOver, true))
        return;
    m_metrics.add("usage_duty_total{event=\"lost\"}");
    logWarning(log_part::ledger, "usage duty lost",
               {{"token", std::int64_t(m_row.lease.token)}, {"why", reason}});
}

template <usage_environment Env>
void usage_holder<Env>::tick()
{
    if (m_isOver)
        return;
    if (!holdsLease(milliseconds(0))) {
        endTenure("lease is over");
        return;
    }
    if (!m_isReleasing)
        decideDueWindows();
    const bool isRenewalDue = now() - m_savedAt >= m_settings.lease / 4;
    const bool isSaveDue = m_hasUnsavedChanges || isRenewalDue || m_isReleasing;
    if (isSaveDue && !m_isSaving && now() >= m_nextSaveAt && isSaveAllowed())
        save();
    reportNextWindow();
    heartbeat();
}

template <usage_environment Env>
bool usage_holder<Env>::isSaveAllowed()
{
    // A report that is still in flight could arrive after the successor's reports.
    return !m_isReleasing || (!m_isReporting && now() >= m_reportSettledAt);
}

template <usage_environment Env>
void usage_holder<Env>::onNotice(const usage_notice &notice)
{
    const usage_process process{notice.entry, notice.life};
    const std::optional<usage_progress> before = m_row.ledger.progressOf(process);
    const std::int64_t lateRequests = m_row.ledger.applyNotice(notice);
    const bool hasAdvanced = m_row.ledger.progressOf(process) != before;
    m_hasUnsavedChanges = m_hasUnsavedChanges || hasAdvanced;
    const auto saved = m_savedProgress.find(process);
    const bool isAckLost = !hasAdvanced && saved != m_savedProgress.end() && !notice.batches.empty()
            && notice.batches.back().number <= saved->second.lastCounted;
    // The acknowledgement of these batches was lost, so send it again.
    if (isAckLost)
        acknowledge(process, saved->second.lastCounted);
    if (lateRequests == 0)
        return;
    m_metrics.add("usage_requests_late_total",
                  static_cast<double>(std::max<std::int64_t>(0, lateRequests)));
    logWarning(log_part::ledger, "usage counts came too late",
               {{"entry", notice.entry},
                {"requests", lateRequests},
                {"decided_before", std::int64_t(m_row.ledger.decidedBefore())}});
}

template <usage_environment Env>
void usage_holder<Env>::acknowledge(const usage_process &process, std::uint64_t number)
{
    const usage_ack ack{m_settings.entry, m_row.lease.token, process.second, number};
    if (process.first == m_settings.entry)
        m_onOwnAck(ack);
    else
        m_env.send(process.first, ack);
}

template <usage_environment Env>
void usage_holder<Env>::save()
{
    m_isSaving = true;
    m_hasUnsavedChanges = false;
    m_savedAt = now();
    m_nextSaveAt = m_savedAt + saveInterval;
    const milliseconds earliest = m_bounds.earliest(m_savedAt);
    ++m_row.save;
    m_row.era = m_era;
    m_row.lease.until = m_isReleasing ? earliest : earliest + m_settings.lease;
    const row_write write{std::string(usageTable), std::string(usageKey), encodeUsageRow(m_row),
                          m_version};
    const std::weak_ptr<usage_holder> weak = this->weak_from_this();
    m_env.store().write({write},
                        [weak, saved = m_row,
                         askedAt = m_savedAt](outcome<conditional_write, row_failure> result) {
                            if (const auto self = weak.lock())
                                self->onSaved(std::move(result), saved, askedAt);
                        });
}

template <usage_environment Env>
void usage_holder<Env>::onSaved(outcome<conditional_write, row_failure> result,
                                const usage_row &saved, time_point askedAt)
{
    m_isSaving = false;
    if (m_isOver)
        return;
    if (!result) {
        // The write may still take effect later, unless the row changes before. If it does, the
        // next write fails with a conflict, see onConflict().
        m_hasUnsavedChanges = true;
        m_nextSaveAt = now() + retryDelay;
        m_metrics.add("usage_saves_failed_total");
        return;
    }
    if (!result.value().done) {
        onConflict(result.value());
        return;
    }
    m_bounds.note(result.value().storeTime, askedAt, now());
    onConfirmed(saved, result.value().version);
}

template <usage_environment Env>
void usage_holder<Env>::onConfirmed(const usage_row &saved, store_version version)
{
    m_version = version;
    m_confirmedUntil = saved.lease.until;
    m_savedDecidedBefore = saved.ledger.decidedBefore();
    const std::map<usage_process, usage_progress> before
            = std::exchange(m_savedProgress, saved.ledger.progress());
    for (const auto &[process, progress] : m_savedProgress) {
        const auto known = before.find(process);
        if (known == before.end() || known->second.lastCounted < progress.lastCounted)
            acknowledge(process, progress.lastCounted);
    }
    // A write that began before the release still extends the lease.
    if (!m_isReleasing || saved.lease.until > m_bounds.earliest(now()))
        return;
    m_isOver = true;
    m_metrics.add("usage_duty_total{event=\"handed_over\"}");
    logInfo(log_part::ledger, "usage duty handed over",
            {{"token", std::int64_t(m_row.lease.token)}});
    for (std::size_t i = 0; i < std::min(maxHandoverRecipients, m_others.size()); ++i)
        m_env.send(m_others[i], usage_handover{m_settings.entry, m_row.lease.token});
}

template <usage_environment Env>
void usage_holder<Env>::resumeInEra(std::uint64_t era, store_version version,
                                    window_number decidedBefore)
{
    logWarning(log_part::ledger, "usage duty goes on after the store came back from a copy",
               {{"token", std::int64_t(m_row.lease.token)},
                {"version", textOf(version)},
                {"decided_before", std::int64_t(decidedBefore)}});
    m_era = era;
    m_version = version;
    // Windows are reported only when the store has the decision on them again.
    m_savedDecidedBefore = std::min(m_savedDecidedBefore, decidedBefore);
    m_hasUnsavedChanges = true;
    m_nextSaveAt = now();
}

template <usage_environment Env>
void usage_holder<Env>::onConflict(const conditional_write &refused)
{
    const std::uint64_t era = refused.version.era;
    const bool isLost = std::all_of(
            refused.current.begin(), refused.current.end(),
            [](const table_entry &entry) { return entry.row.version == unknownVersion; });
    if (era > m_era && isLost) {
        resumeInEra(era, unknownVersion, 0);
        return;
    }
    for (const table_entry &entry : refused.current) {
        const outcome<usage_row, std::string> row = decodeUsageRow(entry.row.value);
        if (!row)
            continue;
        const duty_lease &lease = row.value().lease;
        const bool isOwn = lease.token == m_row.lease.token && lease.life == m_row.lease.life;
        // A row from before this tenure, or from an earlier time of it: the lease was confirmed
        // before the store came back, and no other entry acquires the duty while it lasts.
        if (era > m_era && (isOwn || lease.token < m_row.lease.token)) {
            resumeInEra(era, entry.row.version, row.value().ledger.decidedBefore());
            return;
        }
        if (!isOwn)
            continue;
        // The row was written by an earlier write of this holder whose answer was lost.
        m_hasUnsavedChanges = true;
        onConfirmed(row.value(), entry.row.version);
        return;
    }
    endTenure("row was taken over");
}

template <usage_environment Env>
void usage_holder<Env>::decideDueWindows()
{
    const std::optional<milliseconds> trueTime = m_env.trueTime();
    if (!trueTime)
        return;
    while (mayDecide(m_row.ledger.decidedBefore(), *trueTime))
        decideWindow(m_row.ledger.decidedBefore());
}

template <usage_environment Env>
void usage_holder<Env>::setEntries(std::vector<std::string> others)
{
    m_others = std::move(others);
    std::map<std::string, window_number> knownSince;
    for (const std::string &name : m_others) {
        const auto known = m_knownSince.find(name);
        knownSince[name]
                = known == m_knownSince.end() ? m_row.ledger.decidedBefore() : known->second;
    }
    m_knownSince = std::move(knownSince);
}

template <usage_environment Env>
std::vector<std::string> usage_holder<Env>::awaitedEntries(window_number window) const
{
    // The row of an entry outlives it by minutes, and the entry stays listed that long. An entry
    // that has sent nothing since it was listed is therefore only waited for in the first few
    // windows.
    std::vector<std::string> names;
    for (const auto &[name, since] : m_knownSince) {
        if (since + usage_ledger::maxAwaitedLag >= window)
            names.push_back(name);
    }
    return m_row.ledger.incompleteEntries(window, names);
}

template <usage_environment Env>
bool usage_holder<Env>::mayDecide(window_number window, milliseconds trueTime)
{
    const milliseconds sinceEnd = trueTime - m_settings.windows.endOf(window);
    if (sinceEnd < settleTime)
        return false;
    if (awaitedEntries(window).empty())
        return true;
    const auto maxWait
            = std::chrono::duration_cast<milliseconds>(m_settings.due * silentEntryWaitShare);
    if (sinceEnd >= maxWait - rowReadLead && m_rowsReadFor < window)
        readEntryRows(window);
    return sinceEnd >= maxWait && !m_isReadingRows && now() - m_gainedAt >= takeoverWait;
}

template <usage_environment Env>
void usage_holder<Env>::decideWindow(window_number window)
{
    const std::vector<std::string> silentEntries = awaitedEntries(window);
    const customer_counts counts = m_row.ledger.openCounts(window);
    std::int64_t requests = 0;
    for (const auto &[customer, count] : counts)
        requests += count;
    m_row.ledger.decideNext();
    m_hasUnsavedChanges = true;
    logInfo(log_part::ledger, "usage window decided",
            {{"window", std::int64_t(window)},
             {"customers", std::int64_t(counts.size())},
             {"requests", requests},
             {"entries_silent", std::int64_t(silentEntries.size())},
             {"silent", silentEntries.empty() ? "" : silentEntries.front()}});
}

template <usage_environment Env>
void usage_holder<Env>::readEntryRows(window_number window)
{
    if (std::exchange(m_isReadingRows, true))
        return;
    m_rowsReadFor = window;
    const std::weak_ptr<usage_holder> weak = this->weak_from_this();
    m_env.store().list(std::string(usageTable), [weak](outcome<row_batch, row_failure> result) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->m_isReadingRows = false;
        if (!result) {
            logWarning(log_part::ledger, "failed to read rows of silent entries",
                       {{"why", textOf(result.error())}});
            return;
        }
        self->applyEntryRows(result.value());
    });
}

template <usage_environment Env>
void usage_holder<Env>::applyEntryRows(const row_batch &rows)
{
    for (const store_row &row : rows.rows) {
        if (!isUsageEntryKey(row.key))
            continue;
        const std::optional<usage_message> message = decodeUsageMessage(row.value);
        const auto *notice = message ? std::get_if<usage_notice>(&*message) : nullptr;
        if (notice)
            onNotice(*notice);
        else
            logWarning(log_part::ledger, "malformed row of usage counts", {{"key", row.key}});
    }
}

template <usage_environment Env>
void usage_holder<Env>::reportNextWindow()
{
    if (m_isReporting || m_isReleasing || now() < m_nextReportAt || !holdsLease(reportMargin))
        return;
    const std::optional<decided_window> next = m_row.ledger.oldestUnreported();
    // A successor may decide a window differently as long as the decision is not saved in the row.
    if (!next || next->window >= m_savedDecidedBefore)
        return;
    m_isReporting = true;
    const usage_report report{m_settings.entry, m_row.lease.token, next->window, next->counts};
    const std::weak_ptr<usage_holder> weak = this->weak_from_this();
    m_env.report(report, [weak, window = next->window](bool isAccepted) {
        if (const auto self = weak.lock())
            self->onReported(window, isAccepted);
    });
}

template <usage_environment Env>
void usage_holder<Env>::onReported(window_number window, bool isAccepted)
{
    m_isReporting = false;
    m_metrics.add(isAccepted ? "usage_windows_total{result=\"told\"}"
                             : "usage_windows_total{result=\"not_taken\"}");
    if (!isAccepted) {
        m_nextReportAt = now() + retryDelay;
        m_reportSettledAt = now() + reportMargin;
        logWarning(log_part::ledger, "usage window not taken, trying again",
                   {{"window", std::int64_t(window)}});
        return;
    }
    logInfo(log_part::ledger, "usage window told",
            {{"window", std::int64_t(window)}, {"token", std::int64_t(m_row.lease.token)}});
    m_row.ledger.markReported(window);
    m_hasUnsavedChanges = true;
}

template <usage_environment Env>
void usage_holder<Env>::heartbeat()
{
    if (now() < m_nextHeartbeatAt)
        return;
    m_nextHeartbeatAt = now() + heartbeatInterval;
    const std::size_t successors = std::min(maxSuccessors, m_others.size());
    for (std::size_t i = 0; i < successors; ++i)
        m_env.send(m_others[i], makeHeartbeat());
    const std::size_t rest = m_others.size() - successors;
    for (std::size_t i = 0; i < std::min(maxSuccessors, rest); ++i)
        m_env.send(m_others[successors + m_nextHeartbeatIndex++ % rest], makeHeartbeat());
}

template <usage_environment Env>
void usage_holder<Env>::announceHolder()
{
    for (const std::string &entry : m_others)
        m_env.send(entry, makeHeartbeat());
}

template <usage_environment Env>
void usage_holder<Env>::releaseDuty()
{
    m_isReleasing = true;
    m_nextSaveAt = now();
    tick();
}

} // namespace laurelcroft

#endif
