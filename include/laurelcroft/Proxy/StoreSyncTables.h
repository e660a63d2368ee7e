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
bool store_sync<Store, Runtime>::noteEra(const std::string &table, store_version version)
{
    const auto [known, isFirst] = m_eras.emplace(table, version.era);
    const std::uint64_t before = std::exchange(known->second, std::max(known->second, version.era));
    if (isFirst || before >= version.era)
        return false;
    logWarning(log_part::platform, "table read anew, the store came back from a copy",
               {{"table", table}, {"version", textOf(version)}});
    m_metrics.add("store_table_returns_total{table=\"" + table + "\"}");
    return true;
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
store_sync<Store, Runtime>::follow(const std::string &table, follow_pace pace,
                                   void (store_sync::*apply)(row_update &))
{
    const bool listsEndpoints = table == m_codec.endpointTable;
    follow_events events;
    // The rows left in the batch by apply are those that other entries need.
    const auto take = [this, table, apply, listsEndpoints](row_update update) {
        noteTime(update.batch);
        const follower &reader = *m_followers.at(table);
        // A relay's changes are in the mirror already, with the age that the relay reported.
        bool isInMirror = reader.isUpdateRelayed();
        // Other entries need the whole table of another era, not only what is new here.
        if (noteEra(table, update.batch.version) && !std::exchange(isInMirror, true))
            m_mirror.take(table, update.batch, true, reader.confirmedAt());
        (this->*apply)(update);
        if (!isInMirror)
            m_mirror.take(table, update.batch, update.whole, reader.confirmedAt());
        if (listsEndpoints)
            noteEndpointRowsAge();
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

} // namespace laurelcroft

#endif
