//===-- Proxy/StoreSyncImpl.h - members of store_sync -----------*- C++ -*-===//
//
// Members of store_sync that follow tables, apply rows and list entries. Included by StoreSync.h
// only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_STORESYNCIMPL_H
#define LAURELCROFT_PROXY_STORESYNCIMPL_H

#include <algorithm>
#include <cmath>

namespace laurelcroft {

/// Entry name for evidence that an earlier process of this entry wrote. No entry has an empty name.
inline constexpr std::string_view earlierIncarnation;

template <row_store_like Store, runtime_like Runtime>
store_sync<Store, Runtime>::store_sync(Store &store, Runtime &runtime, routing_state &state,
                                       row_mirror &mirror, metric_registry &metrics,
                                       row_codec codec, entry_links links)
    : m_store(store)
    , m_runtime(runtime)
    , m_state(state)
    , m_mirror(mirror)
    , m_metrics(metrics)
    , m_codec(std::move(codec))
    , m_links(std::move(links))
    , m_roster(m_links.entry)
    , m_incarnation(m_state.random().bits())
{
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::start()
{
    const std::string own(internalTable);
    m_followers[m_codec.endpointTable]
            = follow(m_codec.endpointTable, endpointPace(), &store_sync::applyEndpoints);
    m_followers[m_codec.operatorTable] = follow(
            m_codec.operatorTable, heldPace(operatorReadInterval), &store_sync::applyOperator);
    follow_pace ownPace = heldPace(internalReadInterval);
    ownPace.firstWait = m_links.isFirstStart ? internalFirstWaitAtFirstStart : internalFirstWait;
    m_followers[own] = follow(own, ownPace, &store_sync::applyInternal);
    for (const auto &[table, item] : m_followers)
        item->start();
    runChecks();
}

template <row_store_like Store, runtime_like Runtime>
follow_pace store_sync<Store, Runtime>::endpointPace() const
{
    follow_pace pace;
    pace.readInterval = m_links.timings.endpointReadInterval;
    pace.staleWait = m_links.timings.staleWait;
    return pace;
}

template <row_store_like Store, runtime_like Runtime>
follow_pace store_sync<Store, Runtime>::heldPace(milliseconds between) const
{
    follow_pace pace;
    pace.readInterval = between;
    pace.held = m_links.timings.maxStoreHold;
    pace.staleWait = m_links.timings.staleWait;
    return pace;
}

template <row_store_like Store, runtime_like Runtime>
std::unique_ptr<row_follower<Store, Runtime>>
store_sync<Store, Runtime>::follow(const std::string &table, follow_pace pace,
                                   void (store_sync::*apply)(row_update &))
{
    const bool listsEndpoints = table == m_codec.endpointTable;
    follow_events events;
    // The rows left in the batch by apply are those that other entries need.
    const auto take = [this, table, apply](row_update update) {
        noteTime(update.batch);
        (this->*apply)(update);
        // A relay's changes are in the mirror already, with the age that the relay reported.
        const follower &reader = *m_followers.at(table);
        if (!reader.isUpdateRelayed())
            m_mirror.take(table, update.batch, update.whole, reader.confirmedAt());
    };
    events.onTable = [take](row_batch &&batch) { take({std::move(batch), true}); };
    events.onChanges = [take](row_batch &&batch) { take({std::move(batch), false}); };
    events.onLost = [this, table, listsEndpoints](row_failure why) {
        m_metrics.add("store_lost_total{table=\"" + table + "\"}");
        logWarning(log_part::platform, "store lost", {{"table", table}, {"why", textOf(why)}});
        if (listsEndpoints)
            deferRemovals(why);
    };
    if (listsEndpoints)
        events.onLostLocally = [this] { m_state.directory().storeLost(m_runtime.now()); };
    events.onRecovered = [this, table, listsEndpoints](milliseconds away) {
        logInfo(log_part::platform, "store regained",
                {{"table", table}, {"away_ms", std::int64_t(away.count())}});
        if (listsEndpoints)
            m_state.directory().storeRegained(m_runtime.now());
        // Writes that waited for the store are sent at once.
        m_nextWriteAt = m_runtime.now();
    };
    return std::make_unique<follower>(m_store, m_runtime, table, pace, std::move(events),
                                      m_links.relay);
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::noteTime(const row_batch &batch)
{
    m_clock.note(batch.storeTime, m_runtime.now());
}

template <row_store_like Store, runtime_like Runtime>
milliseconds store_sync<Store, Runtime>::storeNow()
{
    return m_clock.at(m_runtime.now());
}

template <row_store_like Store, runtime_like Runtime>
std::optional<milliseconds> store_sync<Store, Runtime>::trueTime()
{
    if (!m_clock.isKnown() || !m_internalTableRead)
        return std::nullopt;
    if (m_wallClockOffset)
        return storeNow() + *m_wallClockOffset;
    return milliseconds(wallMilliseconds());
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::applyOperator(row_update &update)
{
    std::set<std::string> ordered;
    std::set<std::string> evacuated;
    if (!update.whole)
        evacuated = m_state.directory().evacuated();
    for (const store_row &row : update.batch.rows) {
        if (!row.removed && m_codec.isContract(row.key))
            takeContract(row);
        if (const std::optional<std::string> place = m_codec.evacuatedDataCentre(row.key)) {
            if (row.removed)
                evacuated.erase(*place);
            else
                evacuated.insert(*place);
            continue;
        }
        const std::optional<std::string> service = m_codec.orderedService(row.key);
        if (!service)
            continue;
        ordered.insert(*service);
        takeOrder(*service, row);
    }
    setEvacuated(std::move(evacuated), update.batch.version);
    if (!update.whole)
        return;
    for (auto &[service, tracker] : m_state.allRollouts()) {
        if (ordered.count(service) == 0)
            tracker.clearOrder();
    }
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::takeContract(const store_row &row)
{
    decoded<service_contract> contract = m_codec.decodeContract(row.value);
    if (!contract) {
        logWarning(log_part::bundle, "contract refused, the last one stays in force",
                   {{"row_version", std::int64_t(row.version)}, {"fault", contract.error()}});
        return;
    }
    const std::uint64_t version = contract.value().version;
    const auto taken = std::make_shared<const service_contract>(std::move(contract.value()));
    if (!m_state.setContract(taken)) {
        logInfo(log_part::bundle, "contract is not newer", {{"contract", std::int64_t(version)}});
        return;
    }
    m_metrics.set("contract_version", static_cast<double>(version));
    logInfo(log_part::bundle, "contract in force",
            {{"contract", std::int64_t(version)},
             {"routes", std::int64_t(taken->routes.size())},
             {"customers", std::int64_t(taken->customers.size())}});
    m_links.onContract();
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::takeOrder(const std::string &service, const store_row &row)
{
    rollout_tracker &tracker = m_state.rollouts(service);
    if (row.removed) {
        tracker.clearOrder();
        logInfo(log_part::bundle, "roll-out order withdrawn", {{"service", service}});
        return;
    }
    decoded<rollout_order> order = m_codec.decodeOrder(row.value);
    if (!order) {
        logWarning(log_part::bundle, "roll-out order refused",
                   {{"service", service}, {"fault", order.error()}});
        return;
    }
    order.value().service = service;
    order.value().orderedAt = row.version;
    tracker.setOrder(order.value());
    logInfo(log_part::bundle, "roll-out ordered",
            {{"service", service},
             {"target", order.value().targetVersion},
             {"window_ms", std::int64_t(order.value().window.count())},
             {"row_version", std::int64_t(row.version)}});
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::applyInternal(row_update &update)
{
    const std::vector<store_row> &rows = update.batch.rows;
    m_internalTableRead = true;
    if (update.whole) {
        m_roster.clear();
        retainWithheld(rows);
    }
    for (const store_row &row : rows)
        takeInternalRow(row);
    const bool tellsOfEntries = std::any_of(rows.begin(), rows.end(), [](const store_row &row) {
        return entryOfKey(row.key).has_value();
    });
    if (!update.whole && !tellsOfEntries)
        return;
    m_wallClockOffset = m_roster.medianWallClockOffset();
    std::vector<std::string> names;
    std::map<std::string, std::string> dataCentres;
    for (const auto &[name, place] : m_roster.entries()) {
        names.push_back(name);
        dataCentres.emplace(name, place.dataCentre);
    }
    m_state.setEntries(std::move(names), m_links.entry, std::move(dataCentres));
    m_links.onEntries(m_roster.entries());
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::takeInternalRow(const store_row &row)
{
    if (const std::optional<std::string> entry = entryOfKey(row.key)) {
        if (row.removed)
            m_roster.remove(*entry);
        else
            m_roster.update(*entry, decodeEntry(row.value), row.version);
        return;
    }
    if (const std::optional<evidence_row_key> place = evidenceOfKey(row.key)) {
        const auto evidence = decodeEvidence(row.value);
        if (!evidence)
            logWarning(log_part::bundle, "evidence refused",
                       {{"entry", place->entry}, {"fault", evidence.error()}});
        else if (place->entry != m_links.entry)
            m_state.rollouts(place->service)
                    .evaluator()
                    .takeEvidence(place->entry, evidence.value());
        else if (m_writtenEvidence.count(place->service) == 0)
            m_state.rollouts(place->service)
                    .evaluator()
                    .takeEvidence(std::string(earlierIncarnation), evidence.value());
        return;
    }
    if (const std::optional<request_key> key = requestOfRowKey(row.key)) {
        takeWithheldRow(*key, row);
        return;
    }
    const std::optional<std::string> service = serviceOfKey(row.key);
    if (!service)
        return;
    m_rowVersions[*service] = row.removed ? 0 : row.version;
    if (row.removed)
        return;
    const outcome<rollout_row, std::string> value = decodeRollout(row.value);
    if (!value) {
        logWarning(log_part::bundle, "roll-out row refused",
                   {{"service", *service}, {"fault", value.error()}});
        return;
    }
    const milliseconds begin = value.value().stageSince;
    if (!m_state.rollouts(*service).setRow(value.value(), m_clock.localTimeOf(begin)))
        return;
    logInfo(log_part::bundle, "roll-out stage",
            {{"service", *service},
             {"target", value.value().targetVersion},
             {"stage", textOf(value.value().stage)},
             {"share_permille", std::lround(value.value().share * 1000)},
             {"begins_in_ms", std::int64_t((begin - storeNow()).count())},
             {"row_version", std::int64_t(row.version)}});
}

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
