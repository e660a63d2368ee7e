//===-- Usage/UsageDutyImpl.h - members of usage_duty -----------*- C++ -*-===//
//
// Included by UsageDuty.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_USAGE_USAGEDUTYIMPL_H
#define LAURELCROFT_USAGE_USAGEDUTYIMPL_H

#include "laurelcroft/Fleet/Ranking.h"
#include "laurelcroft/Support/Crypto.h"

#include <algorithm>
#include <variant>

namespace laurelcroft {

template <usage_environment Env>
usage_duty<Env>::usage_duty(Env env, usage_settings settings, metric_registry &metrics)
    : m_env(std::move(env))
    , m_settings(std::move(settings))
    , m_metrics(metrics)
{
    const auto jitterRange = static_cast<std::uint64_t>(nonSuccessorJitter.count());
    m_jitter = milliseconds(static_cast<std::int64_t>(stableHash(m_settings.entry) % jitterRange));
}

template <usage_environment Env>
void usage_duty<Env>::start()
{
    // If there is a holder, its heartbeat reaches a new entry soon. Otherwise, as when all entries
    // start for the first time, the duty is free and can be acquired early.
    m_holderHeardAt = now() - (holderTimeout - startupHolderTimeout);
    tick();
}

template <usage_environment Env>
void usage_duty<Env>::setEntries(std::vector<std::string> names)
{
    const std::vector<std::string> order = topRanked(names, usageKey, names.size());
    const auto ownPosition = std::find(order.begin(), order.end(), m_settings.entry);
    m_rank = static_cast<std::size_t>(ownPosition - order.begin());
    m_others.clear();
    std::copy_if(order.begin(), order.end(), std::back_inserter(m_others),
                 [this](const std::string &name) { return name != m_settings.entry; });
    if (m_holder)
        m_holder->setEntries(m_others);
}

template <usage_environment Env>
void usage_duty<Env>::count(std::string_view customer, time_point at, std::int64_t number)
{
    // If the store has been unreachable since the start, true time is not known and counts pile up.
    if (m_waitingCounts.size() < maxWaitingCounts)
        m_waitingCounts.push_back({std::string(customer), at, number});
    else
        m_metrics.add("usage_requests_late_total");
}

template <usage_environment Env>
void usage_duty<Env>::applyWaitingCounts(milliseconds trueTime)
{
    for (const waiting_count &item : m_waitingCounts) {
        const auto age = std::chrono::duration_cast<milliseconds>(now() - item.at);
        m_meter.count(item.customer, m_settings.windows.windowAt(trueTime - age), item.number);
    }
    m_waitingCounts.clear();
}

template <usage_environment Env>
void usage_duty<Env>::sealNextBatch(milliseconds trueTime)
{
    m_meter.sealBatch(m_settings.windows.windowAt(trueTime - windowCloseDelay));
    const std::int64_t dropped = m_meter.takeDroppedCount();
    if (dropped <= 0)
        return;
    m_metrics.add("usage_requests_late_total", static_cast<double>(dropped));
    logWarning(log_part::ledger, "usage counts given up, nobody took them in time",
               {{"requests", dropped}});
}

template <usage_environment Env>
milliseconds usage_duty<Env>::noticeInterval() const
{
    constexpr double msPerSecond = 1000;
    const double entries = static_cast<double>(m_others.size() + 1);
    const milliseconds fairInterval(
            static_cast<std::int64_t>(entries * msPerSecond / maxNoticesPerSecond));
    return std::max(tickInterval, fairInterval);
}

template <usage_environment Env>
void usage_duty<Env>::tick()
{
    m_env.runtime().after(tickInterval, [this, alive = m_alive] {
        if (*alive)
            tick();
    });
    const std::optional<milliseconds> trueTime = m_env.trueTime();
    if (!trueTime)
        return;
    if (m_life == 0)
        m_life = static_cast<std::uint64_t>(trueTime->count());
    applyWaitingCounts(*trueTime);
    const bool isDue = now() >= m_nextNoticeAt;
    const std::size_t before = m_meter.unacknowledged().size();
    if (isDue) {
        m_nextNoticeAt = now() + noticeInterval() - tickInterval / 2;
        sealNextBatch(*trueTime);
    }
    if (m_holder && m_holder->isOver())
        m_holder = nullptr;
    if (m_holder) {
        m_holder->onNotice(makeNotice(0));
        m_holder->tick();
    } else {
        sendDueBatches(m_meter.unacknowledged().size() > before);
        checkHolder();
    }
    if (m_hasOwnRow && m_meter.unacknowledged().empty())
        removeOwnRow();
}

template <usage_environment Env>
usage_notice usage_duty<Env>::makeNotice(std::size_t from) const
{
    usage_notice notice{m_settings.entry, m_life, m_meter.lastAcknowledged(), {}};
    const auto &batches = m_meter.unacknowledged();
    notice.batches.assign(batches.begin() + static_cast<std::ptrdiff_t>(from), batches.end());
    return notice;
}

template <usage_environment Env>
void usage_duty<Env>::sendDueBatches(bool isNew)
{
    const std::size_t batches = m_meter.unacknowledged().size();
    if (m_holderName.empty() || m_holderName == m_settings.entry || batches == 0)
        return;
    if (now() - m_lastFullSendAt >= resendDelay) {
        m_lastFullSendAt = now();
        sendBatches(0);
    } else if (isNew) {
        sendBatches(batches - 1);
    }
}

template <usage_environment Env>
void usage_duty<Env>::sendBatches(std::size_t from)
{
    // Put as many batches into each datagram as fit.
    usage_notice notice = makeNotice(from);
    usage_notice datagram = notice;
    datagram.batches.clear();
    std::size_t bytes = 0;
    for (usage_batch &batch : notice.batches) {
        usage_notice single = datagram;
        single.batches = {batch};
        const std::size_t size = encodeUsageMessage(single).size();
        if (!datagram.batches.empty() && bytes + size > maxNoticeBytes) {
            m_env.send(m_holderName, datagram);
            datagram.batches.clear();
            bytes = 0;
        }
        datagram.batches.push_back(std::move(batch));
        bytes += size;
    }
    m_env.send(m_holderName, datagram);
}

template <usage_environment Env>
void usage_duty<Env>::onMessage(const usage_message &message)
{
    if (const auto *notice = std::get_if<usage_notice>(&message)) {
        if (m_holder)
            m_holder->onNotice(*notice);
    } else if (const auto *ack = std::get_if<usage_ack>(&message)) {
        onAck(*ack);
    } else {
        onHandover(std::get<usage_handover>(message));
    }
}

template <usage_environment Env>
void usage_duty<Env>::onAck(const usage_ack &ack)
{
    if (ack.token < m_token)
        return;
    if (m_holder && ack.holder != m_settings.entry && ack.token > m_holder->lease().token)
        m_holder->onTakenOver();
    if (ack.holder != m_holderName) {
        logInfo(log_part::ledger, "usage duty is elsewhere",
                {{"holder", ack.holder}, {"token", std::int64_t(ack.token)}});
        m_lastFullSendAt = {};
    }
    m_holderName = ack.holder;
    m_token = ack.token;
    m_holderHeardAt = now();
    if (ack.life == m_life)
        m_meter.acknowledge(ack.number);
}

template <usage_environment Env>
void usage_duty<Env>::onHandover(const usage_handover &handover)
{
    if (handover.token < m_token)
        return;
    m_holderName = handover.holder;
    m_token = handover.token;
    m_holderHeardAt = now() - holderTimeout;
    m_nextPollAt = now();
}

template <usage_environment Env>
void usage_duty<Env>::checkHolder()
{
    const bool hasUnacknowledged = !m_meter.unacknowledged().empty();
    if (m_isStoreCallPending || now() < m_nextPollAt || (!isSuccessor() && !hasUnacknowledged))
        return;
    const duration timeout = isSuccessor()
            ? duration(holderTimeout + rankDelay * static_cast<std::int64_t>(m_rank))
            : duration(nonSuccessorTimeout) + m_jitter;
    if (now() - m_holderHeardAt >= timeout)
        pollRows();
}

template <usage_environment Env>
void usage_duty<Env>::pollRows()
{
    m_isStoreCallPending = true;
    m_env.store().list(
            std::string(usageTable),
            [this, askedAt = now(), alive = m_alive](outcome<row_batch, row_failure> result) {
                if (*alive)
                    onRows(std::move(result), askedAt);
            });
}

template <usage_environment Env>
void usage_duty<Env>::onRows(outcome<row_batch, row_failure> result, time_point askedAt)
{
    m_isStoreCallPending = false;
    m_nextPollAt = now() + maxPollInterval;
    if (!result) {
        logWarning(log_part::ledger, "failed to read rows of the usage duty",
                   {{"why", textOf(result.error())}});
        return;
    }
    const row_batch &rows = result.value();
    m_bounds.note(rows.storeTime, askedAt, now());
    if (rows.version.era > m_era) {
        m_era = rows.version.era;
        m_eraSeenAt = now();
    }
    const auto it = std::find_if(rows.rows.begin(), rows.rows.end(),
                                 [](const store_row &row) { return row.key == usageKey; });
    if (it == rows.rows.end()) {
        onRow(usage_row(), unknownVersion, rows);
        return;
    }
    outcome<usage_row, std::string> row = decodeUsageRow(it->value);
    if (row)
        onRow(std::move(row.value()), it->version, rows);
    else
        // The duty can't be acquired without the token in the row: the new token might be lower.
        logWarning(log_part::ledger, "malformed row of the usage duty", {{"fault", row.error()}});
}

template <usage_environment Env>
bool usage_duty<Env>::mayBeFromCopy(const usage_row &row, const row_batch &rows) const
{
    const bool isOfEarlierEra = row.era && *row.era < rows.version.era;
    const bool isMissingOrOutdated = row.lease.token == 0 || row.lease.token < m_token;
    return isOfEarlierEra || (rows.version.era != 0 && isMissingOrOutdated);
}

template <usage_environment Env>
void usage_duty<Env>::onRow(usage_row row, store_version version, const row_batch &rows)
{
    // A holder whose row is lost may have a lease that lasts for its whole length.
    if (mayBeFromCopy(row, rows) && now() < m_eraSeenAt + m_settings.lease) {
        m_nextPollAt = m_eraSeenAt + m_settings.lease;
        return;
    }
    const duty_lease &lease = row.lease;
    const milliseconds earliest = m_bounds.earliest(now());
    if (lease.token >= m_token && !lease.holder.empty()) {
        m_token = lease.token;
        m_holderName = lease.holder;
    }
    if (const auto progress = row.ledger.progressOf(process()))
        m_meter.acknowledge(progress->lastCounted);
    const bool isOwn = lease.holder == m_settings.entry && lease.life == m_life;
    if (isOwn && !m_isRetired && lease.until > m_bounds.latest(now())) {
        // This process acquired the duty, but the answer to its write was lost.
        startTenure(row, version, rows);
        return;
    }
    const bool isFree = mayAcquire(lease, m_settings.entry, earliest, m_settings.lease);
    // The successors may all have ended: entries stay listed for a while because their rows outlive
    // them. Any entry may then acquire the duty.
    const bool isAbandoned = earliest - lease.until > 2 * m_settings.lease;
    if (isFree && !m_isRetired && (isSuccessor() || isAbandoned)) {
        acquire(std::move(row), version, rows);
        return;
    }
    const duration remaining = lease.until - earliest;
    const duration pollDelay = remaining + rankDelay * static_cast<std::int64_t>(m_rank) / 3;
    m_nextPollAt = now() + std::clamp<duration>(pollDelay, minPollInterval, maxPollInterval);
    if (remaining.count() > 0 && !m_meter.unacknowledged().empty())
        writeOwnRow();
}

template <usage_environment Env>
std::size_t usage_duty<Env>::discardLostTenure(usage_row &row, milliseconds trueTime)
{
    const std::uint64_t knownToken = std::max(row.lease.token, m_token);
    row.lease.token = std::max(knownToken + skippedTokens, m_era * skippedTokens);
    // The lost holder reported only what it had saved, before the store came back.
    const auto sinceReturn = std::chrono::duration_cast<milliseconds>(now() - m_eraSeenAt);
    const milliseconds lastSave = trueTime - sinceReturn;
    return row.ledger.dropUndecidedBefore(
            m_settings.windows.windowAt(lastSave - holder::settleTime));
}

template <usage_environment Env>
void usage_duty<Env>::acquire(usage_row row, store_version version, const row_batch &rows)
{
    const std::optional<milliseconds> trueTime = m_env.trueTime();
    if (!trueTime)
        return;
    const window_number current = m_settings.windows.windowAt(*trueTime);
    if (version == unknownVersion)
        row.ledger = usage_ledger(current - 1);
    std::size_t dropped
            = row.ledger.dropBefore(current - std::min(current, usage_meter::maxWindows));
    if (mayBeFromCopy(row, rows))
        dropped += discardLostTenure(row, *trueTime);
    row.era = rows.version.era;
    if (dropped > 0) {
        m_metrics.add("usage_windows_total{result=\"given_up\"}", dropped);
        logWarning(log_part::ledger, "usage windows given up, nobody had the duty in time",
                   {{"windows", std::int64_t(dropped)}, {"before", std::int64_t(current)}});
    }
    row.lease = nextLease(row.lease, m_settings.entry, m_life, m_bounds.earliest(now()),
                          m_settings.lease);
    ++row.save;
    m_isStoreCallPending = true;
    const row_write write{std::string(usageTable), std::string(usageKey), encodeUsageRow(row),
                          version};
    m_env.store().write(
            {write},
            [this, row, rows, askedAt = now(),
             alive = m_alive](outcome<conditional_write, row_failure> result) {
                if (!*alive)
                    return;
                m_isStoreCallPending = false;
                m_nextPollAt = now() + minPollInterval;
                logInfo(log_part::ledger, "usage duty asked for",
                        {{"token", std::int64_t(row.lease.token)}, {"result", textOf(result)}});
                if (!result || !result.value().done)
                    return;
                m_bounds.note(result.value().storeTime, askedAt, now());
                startTenure(row, result.value().version, rows);
            });
}

template <usage_environment Env>
void usage_duty<Env>::startTenure(const usage_row &row, store_version version,
                                  const row_batch &rows)
{
    m_metrics.add("usage_duty_total{event=\"gained\"}");
    m_metrics.set("usage_duty_token", static_cast<double>(row.lease.token));
    logInfo(log_part::ledger, "usage duty gained",
            {{"token", std::int64_t(row.lease.token)},
             {"before",
              row.lease.earlier.empty() ? "" : std::string_view(row.lease.earlier.back().holder)},
             {"decided_before", std::int64_t(row.ledger.decidedBefore())}});
    m_token = row.lease.token;
    m_holderName = m_settings.entry;
    m_holder = std::make_shared<holder>(m_env, m_settings, m_metrics, row, version, m_bounds,
                                        [this](const usage_ack &ack) { onAck(ack); });
    m_holder->setEntries(m_others);
    m_holder->announceHolder();
    m_holder->applyEntryRows(rows);
    if (m_isRetired)
        m_holder->releaseDuty();
}

template <usage_environment Env>
void usage_duty<Env>::writeOwnRow()
{
    if (std::exchange(m_isWritingOwnRow, true))
        return;
    m_hasOwnRow = true;
    m_metrics.add("usage_rows_written_total");
    const row_write write{std::string(usageTable), usageEntryKey(m_settings.entry),
                          encodeUsageMessage(makeNotice(0)), std::nullopt};
    logInfo(log_part::ledger, "usage counts told by row, the holder is silent",
            {{"holder", m_holderName}, {"batches", std::int64_t(m_meter.unacknowledged().size())}});
    m_env.store().write({write}, [this, alive = m_alive](outcome<conditional_write, row_failure>) {
        // The result does not matter: the next read of the rows shows whether they are counted.
        if (*alive)
            m_isWritingOwnRow = false;
    });
}

template <usage_environment Env>
void usage_duty<Env>::removeOwnRow()
{
    if (std::exchange(m_isWritingOwnRow, true))
        return;
    const row_write removal{std::string(usageTable), usageEntryKey(m_settings.entry), "",
                            std::nullopt, true};
    m_env.store().write({removal},
                        [this, alive = m_alive](outcome<conditional_write, row_failure> result) {
                            if (!*alive)
                                return;
                            m_isWritingOwnRow = false;
                            m_hasOwnRow = !result;
                        });
}

template <usage_environment Env>
void usage_duty<Env>::retire()
{
    m_isRetired = true;
    if (isHolder())
        m_holder->releaseDuty();
}

template <usage_environment Env>
void usage_duty<Env>::finish(milliseconds longest, std::function<void()> done)
{
    if (const std::optional<milliseconds> trueTime = m_env.trueTime()) {
        applyWaitingCounts(*trueTime);
        sealNextBatch(*trueTime);
        m_lastFullSendAt = {};
        sendDueBatches(true);
    }
    checkFinished(now() + longest, std::move(done));
}

template <usage_environment Env>
void usage_duty<Env>::checkFinished(time_point latest, std::function<void()> done)
{
    const bool isSettled = m_waitingCounts.empty() && m_meter.isFullyAcknowledged() && !isHolder();
    if (isSettled || now() >= latest) {
        done();
        return;
    }
    m_env.runtime().after(tickInterval / 4,
                          [this, latest, done = std::move(done), alive = m_alive] {
                              if (*alive)
                                  checkFinished(latest, done);
                          });
}

} // namespace laurelcroft

#endif
