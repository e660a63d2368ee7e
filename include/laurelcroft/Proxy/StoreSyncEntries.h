//===-- Proxy/StoreSyncEntries.h - lists entries ----------------*- C++ -*-===//
//
// Members of store_sync that list the entries, announce this one and write entry rows. Included by
// StoreSync.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_STORESYNCENTRIES_H
#define LAURELCROFT_PROXY_STORESYNCENTRIES_H

namespace laurelcroft {

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::maintainEntryRows()
{
    if (!m_clock.isKnown() || !m_internalTableRead || m_runtime.now() < m_nextOwnRowWriteAt)
        return;
    if (m_roster.isOwnRowDue(storeNow())) {
        if (!isAwaitingListing())
            writeOwnRow();
        return;
    }
    m_unlistedSince.reset();
    removeStaleFinding();
    const std::optional<listed_entry> gone = m_roster.findExpired(storeNow());
    // Any entry may remove the row; the probability keeps most of them from writing at once.
    const double chance = 1.0 / static_cast<double>(m_state.entries());
    if (gone && m_state.random().chance(chance))
        removeExpiredEntry(*gone);
}

template <row_store_like Store, runtime_like Runtime>
bool store_sync<Store, Runtime>::isAwaitingListing()
{
    if (!m_links.relay.isPreferred || !m_links.relay.isPreferred())
        return false;
    if (!m_unlistedSince)
        m_unlistedSince = m_runtime.now();
    return m_runtime.now() - *m_unlistedSince < listedByOthersTimeout;
}

template <row_store_like Store, runtime_like Runtime>
std::optional<entry_announcement> store_sync<Store, Runtime>::nextAnnouncement()
{
    const bool isListed
            = m_internalTableRead && m_clock.isKnown() && !m_roster.isOwnRowDue(storeNow());
    if (isListed || m_runtime.now() < m_nextAnnouncementAt)
        return std::nullopt;
    m_nextAnnouncementAt = m_runtime.now() + announcementInterval;
    return entry_announcement{m_links.entry, m_links.place, milliseconds(wallMilliseconds())};
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::takeAnnouncement(const entry_announcement &announcement)
{
    if (announcement.entry == m_links.entry)
        return;
    m_receivedAnnouncements[announcement.entry] = {announcement, m_runtime.now()};
    if (std::exchange(m_isBatchPending, true))
        return;
    m_runtime.after(announcementBatchDelay, [this] {
        m_isBatchPending = false;
        writeAnnouncedRows();
    });
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::writeAnnouncedRows()
{
    const bool knows = m_clock.isKnown() && m_internalTableRead;
    const std::map<std::string, received_announcement> announced
            = std::exchange(m_receivedAnnouncements, {});
    std::vector<row_write> rows;
    const auto write = [&] {
        logInfo(log_part::fleet, "entries listed for others",
                {{"entries", std::int64_t(rows.size())}});
        m_store.write(std::exchange(rows, {}), [](outcome<conditional_write, row_failure> result) {
            // Entries that are not listed write their own rows after a while.
            if (!result)
                logWarning(log_part::platform, "entries not listed",
                           {{"why", textOf(result.error())}});
        });
    };
    for (const auto &[name, item] : announced) {
        // Skip entries that are listed already: they sent the announcement before they read their
        // row.
        if (!knows || !m_roster.isRowDue(name, storeNow()))
            continue;
        const auto waited = std::chrono::duration_cast<milliseconds>(m_runtime.now() - item.at);
        rows.push_back(entryRow(name, item.what.place, item.what.wallTime + waited));
        if (rows.size() == maxAnnouncedRows)
            write();
    }
    if (!rows.empty())
        write();
}

template <row_store_like Store, runtime_like Runtime>
row_write store_sync<Store, Runtime>::entryRow(const std::string &entry, entry_info place,
                                               milliseconds wallTime)
{
    place.writtenAt = storeNow();
    place.wallClockOffset = wallTime - place.writtenAt;
    return {std::string(internalTable), entryKey(entry), encodeEntry(place), std::nullopt};
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::writeOwnRow()
{
    // Do not write the row again until it can have come back by the feed.
    m_nextOwnRowWriteAt = m_runtime.now() + ownRowWriteInterval;
    const row_write row = entryRow(m_links.entry, m_links.place, milliseconds(wallMilliseconds()));
    m_store.write({row}, [](outcome<conditional_write, row_failure> result) {
        if (!result)
            logWarning(log_part::platform, "entry not announced, trying again",
                       {{"why", textOf(result.error())}});
    });
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::removeExpiredEntry(const listed_entry &entry)
{
    m_nextOwnRowWriteAt = m_runtime.now() + ownRowWriteInterval;
    const std::string own(internalTable);
    std::vector<row_write> removals{{own, entryKey(entry.name), "", entry.version, true}};
    for (const auto &[service, tracker] : m_state.allRollouts())
        removals.push_back({own, evidenceKey(entry.name, service), "", std::nullopt, true});
    m_store.write(removals, [name = entry.name](outcome<conditional_write, row_failure> result) {
        logInfo(log_part::fleet, "row of an entry that is gone removed",
                {{"entry", name}, {"result", textOf(result)}});
    });
}

} // namespace laurelcroft

#endif
