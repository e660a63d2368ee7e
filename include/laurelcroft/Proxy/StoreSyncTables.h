//===-- Proxy/StoreSyncTables.h - follows tables ----------------*- C++ -*-===//
//
// Members of store_sync that follow the store's tables and keep its time. Included by StoreSync.h
// only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_STORESYNCTABLES_H
#define LAURELCROFT_PROXY_STORESYNCTABLES_H

namespace laurelcroft {

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
    m_followers[m_codec.endpointTable] = follow(m_codec.endpointTable, endpointPace());
    m_followers[m_codec.operatorTable]
            = follow(m_codec.operatorTable, heldPace(operatorReadInterval));
    follow_pace ownPace = heldPace(internalReadInterval);
    ownPace.firstWait = m_links.isFirstStart ? internalFirstWaitAtFirstStart : internalFirstWait;
    m_followers[own] = follow(own, ownPace);
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
void store_sync<Store, Runtime>::takeUpdate(const std::string &table, row_update update)
{
    noteTime(update.batch);
    const follower &reader = *m_followers.at(table);
    // A relay's changes are in the mirror already, with the age that the relay reported.
    const bool isInMirror = reader.isUpdateRelayed();
    const bool isReturn = noteEra(table, update.batch.version);
    // Other entries need the whole table of another era, not only what is new here.
    if (isReturn && !isInMirror)
        m_mirror.take(table, update.batch, true, reader.confirmedAt());
    if (isReturn)
        carryRows(table, update.batch);
    apply(table, update);
    if (!isReturn && !isInMirror)
        passOn(table, std::move(update), reader.confirmedAt());
    if (table == m_codec.endpointTable)
        noteEndpointRowsAge();
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::passOn(const std::string &table, row_update update,
                                        time_point confirmedAt)
{
    const std::uint64_t era = update.batch.version.era;
    std::erase_if(update.batch.rows,
                  [era](const store_row &row) { return row.version.era != era; });
    m_mirror.take(table, update.batch, update.whole, confirmedAt);
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::apply(const std::string &table, row_update &update)
{
    m_carried[table].complete(update);
    if (table == m_codec.endpointTable)
        applyEndpoints(update);
    else if (table == m_codec.operatorTable)
        applyOperator(update);
    else
        applyInternal(update);
}

template <row_store_like Store, runtime_like Runtime>
bool store_sync<Store, Runtime>::noteEra(const std::string &table, store_version version)
{
    store_version &applied = m_appliedVersions[table];
    const store_version before = std::exchange(applied, std::max(applied, version));
    if (before == unknownVersion || before.era >= version.era)
        return false;
    logWarning(log_part::platform, "table read anew, the store came back from a copy",
               {{"table", table}, {"version", textOf(version)}, {"before", textOf(before)}});
    m_metrics.add("store_table_returns_total{table=\"" + table + "\"}");
    return true;
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::carryRows(const std::string &table, const row_batch &batch)
{
    carried_rows &carried = m_carried[table];
    carried.begin(m_mirror.takeFormerRows(table), batch, m_runtime.now() + rewriteGrace);
    if (table == m_codec.endpointTable)
        m_state.directory().storeReturned(batch.version, m_runtime.now());
    if (table == m_codec.operatorTable) {
        m_operatorReturnVersion = batch.version;
        m_ordersHeldUntil = m_runtime.now() + rewriteGrace;
    }
    if (!carried.missing().empty())
        logInfo(log_part::platform, "rows are missing in the copy, kept for a while",
                {{"table", table},
                 {"rows", std::int64_t(carried.missing().size())},
                 {"first", carried.missing().begin()->first}});
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::removeExpiredRows()
{
    for (auto &[table, carried] : m_carried) {
        row_update update;
        update.batch.version = m_appliedVersions[table];
        update.batch.rows = carried.takeExpired(m_runtime.now(), update.batch.version);
        if (update.batch.rows.empty())
            continue;
        logInfo(log_part::platform, "rows not written again, removed",
                {{"table", table}, {"rows", std::int64_t(update.batch.rows.size())}});
        apply(table, update);
    }
}

template <row_store_like Store, runtime_like Runtime>
bool store_sync<Store, Runtime>::writeLostRows()
{
    std::vector<row_write> rows;
    for (const auto &[key, row] : m_carried[std::string(internalTable)].missing()) {
        // The row of a roll-out is written with the next step.
        if (!serviceOfKey(key) && rows.size() < maxAnnouncedRows)
            rows.push_back({std::string(internalTable), key, row.value, unknownVersion});
    }
    if (rows.empty() || !isSampledWriter())
        return false;
    m_isWriting = true;
    const auto count = std::int64_t(rows.size());
    m_store.write(rows, [this, count](outcome<conditional_write, row_failure> result) {
        m_isWriting = false;
        // After a conflict, the next check writes those rows that are still missing then.
        m_nextWriteAt = m_runtime.now() + lostRowsRetryDelay;
        logInfo(log_part::platform, "lost rows written again",
                {{"rows", count}, {"result", textOf(result)}});
    });
    return true;
}

template <row_store_like Store, runtime_like Runtime>
store_version store_sync<Store, Runtime>::versionInStore(const store_row &row) const
{
    const auto applied = m_appliedVersions.find(std::string(internalTable));
    const bool isCarried
            = applied != m_appliedVersions.end() && row.version.era < applied->second.era;
    return row.removed || isCarried ? unknownVersion : row.version;
}

template <row_store_like Store, runtime_like Runtime>
store_version store_sync<Store, Runtime>::withEra(store_version orderedAt,
                                                  const std::string &service) const
{
    const auto tracker = m_state.allRollouts().find(service);
    if (orderedAt.era == 0 && tracker != m_state.allRollouts().end() && tracker->second.order())
        orderedAt.era = tracker->second.order()->orderedAt.era;
    return orderedAt;
}

template <row_store_like Store, runtime_like Runtime>
std::unique_ptr<row_follower<Store, Runtime>>
store_sync<Store, Runtime>::follow(const std::string &table, follow_pace pace)
{
    const bool listsEndpoints = table == m_codec.endpointTable;
    follow_events events;
    events.onTable = [this, table](row_batch &&batch) {
        takeUpdate(table, {std::move(batch), true});
    };
    events.onChanges = [this, table](row_batch &&batch) {
        takeUpdate(table, {std::move(batch), false});
    };
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

} // namespace laurelcroft

#endif
