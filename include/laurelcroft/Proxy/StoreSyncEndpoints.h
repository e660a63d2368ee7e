//===-- Proxy/StoreSyncEndpoints.h - endpoint rows --------------*- C++ -*-===//
//
// Members of store_sync that handle endpoints, their cold state, removals during a store outage,
// and evacuated data centres. Included by StoreSync.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_STORESYNCENDPOINTS_H
#define LAURELCROFT_PROXY_STORESYNCENDPOINTS_H

namespace laurelcroft {

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::deferRemovals(row_failure why)
{
    const time_point now = m_runtime.now();
    if (why != row_failure::outdated) {
        m_state.directory().storeLost(now);
        return;
    }
    // Other entries may have reached the store all the time: requests to an endpoint that left
    // after the last confirmation of the rows must still stop in time.
    const milliseconds age = m_mirror.stateOf(m_codec.endpointTable, unknownVersion, now).age;
    m_state.directory().deferRemovalsUntil(now - age + m_links.timings.removalGrace);
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::setEvacuated(std::set<std::string> dataCentres,
                                              store_version version)
{
    const std::set<std::string> before = m_state.directory().evacuated();
    if (dataCentres == before)
        return;
    const std::string_view toldBy
            = m_followers.at(m_codec.operatorTable)->isUpdateRelayed() ? "entry" : "store";
    const auto log = [&](const std::string &place, const char *what) {
        logInfo(log_part::fleet, what,
                {{"data_centre", place}, {"table_version", textOf(version)}, {"told_by", toldBy}});
    };
    for (const std::string &place : dataCentres) {
        if (before.count(place) == 0)
            log(place, "data centre is evacuated");
    }
    for (const std::string &place : before) {
        if (dataCentres.count(place) == 0)
            log(place, "data centre is taken back");
    }
    m_metrics.set("data_centres_evacuated", static_cast<double>(dataCentres.size()));
    m_state.directory().setEvacuated(std::move(dataCentres), m_runtime.now(), version);
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::applyEndpoints(row_update &update)
{
    if (update.whole && !m_endpointsRead) {
        m_endpointsRead = true;
        applyEndpointTable(update.batch);
        return;
    }
    // A table that is read again consists mostly of heartbeats. If the store keeps dropping its
    // history, other entries would otherwise get all rows with each read.
    if (update.whole) {
        for (store_row &row : removalsOfMissingEndpoints(update.batch))
            update.batch.rows.push_back(std::move(row));
        update.whole = false;
    }
    // Apply in order: one batch may list an endpoint and remove it again.
    std::vector<store_row> changes;
    for (store_row &row : update.batch.rows) {
        if (takeEndpointRow(row))
            changes.push_back(std::move(row));
    }
    update.batch.rows = std::move(changes);
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::applyEndpointTable(row_batch &batch)
{
    std::vector<endpoint_record> records;
    for (const store_row &row : batch.rows) {
        if (std::optional<endpoint_record> record = endpointIn(row))
            records.push_back(std::move(*record));
    }
    m_state.directory().replaceAll(std::move(records), m_runtime.now());
}

template <row_store_like Store, runtime_like Runtime>
std::vector<store_row>
store_sync<Store, Runtime>::removalsOfMissingEndpoints(const row_batch &batch) const
{
    std::set<std::string_view> listed;
    for (const store_row &row : batch.rows)
        listed.insert(row.key);
    std::vector<store_row> vanished;
    for (const auto &[id, endpoint] : m_state.directory().all()) {
        if (listed.count(id) == 0)
            vanished.push_back({id, "", batch.version, true});
    }
    return vanished;
}

template <row_store_like Store, runtime_like Runtime>
bool store_sync<Store, Runtime>::takeEndpointRow(const store_row &row)
{
    if (row.removed) {
        // Passed on to other entries whether or not this one keeps the endpoint. When removals were
        // held back during this entry's grace period, entries that had not lost the store missed
        // them.
        const bool isBelieved = m_state.directory().remove(row.key, m_runtime.now(), row.version);
        if (m_endpointLines.allows(m_runtime.now()))
            logInfo(log_part::fleet, "endpoint's record removed",
                    {{"endpoint", row.key}, {"kept", isBelieved ? "no" : "yes"}});
        return true;
    }
    std::optional<endpoint_record> record = endpointIn(row);
    return !record || takeEndpoint(std::move(*record));
}

template <row_store_like Store, runtime_like Runtime>
std::optional<endpoint_record> store_sync<Store, Runtime>::endpointIn(const store_row &row)
{
    decoded<endpoint_record> record = m_codec.decodeEndpoint(row.key, row.value);
    if (record) {
        m_refused.erase(row.key);
        record.value().rowVersion = row.version;
        return std::move(record.value());
    }
    // Log each error once, not on every read of the table.
    const bool isKnown = m_refused.count(row.key) != 0 && m_refused.at(row.key) == record.error();
    if (isKnown)
        return std::nullopt;
    if (m_refused.size() >= maxRefusedRecords)
        m_refused.clear();
    m_refused[row.key] = record.error();
    m_metrics.add("endpoint_records_refused_total");
    logWarning(log_part::fleet, "endpoint's record refused",
               {{"endpoint", row.key}, {"fault", record.error()}});
    return std::nullopt;
}

template <row_store_like Store, runtime_like Runtime>
bool store_sync<Store, Runtime>::takeEndpoint(endpoint_record &&record)
{
    const auto &all = m_state.directory().all();
    const auto known = all.find(record.id);
    const bool isNew = known == all.end();
    if (!isNew && known->second->record().isLaterIncarnationThan(record))
        return false;
    const bool isRestarted = !isNew && record.isLaterIncarnationThan(known->second->record());
    // Other entries were told that the expired record was removed.
    const bool isBack = m_state.directory().isLapsed(record.id);
    const bool saysMore = isNew || isBack || !record.isEquivalentTo(known->second->record())
            || hasColdStateChanged(record, *known->second);
    if (isNew || isRestarted || known->second->record().leaving != record.leaving) {
        logEndpoint(isNew                 ? "endpoint listed"
                            : isRestarted ? "endpoint started again"
                                          : "endpoint is leaving",
                    record);
    }
    const bool isAskedFor = isNamed(record.service);
    m_state.directory().apply(std::move(record), m_runtime.now(), isAskedFor);
    return saysMore;
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::logEndpoint(const char *what, const endpoint_record &record)
{
    if (!m_endpointLines.allows(m_runtime.now()))
        return;
    logInfo(log_part::fleet, what,
            {{"endpoint", record.id},
             {"started_at_ms", std::int64_t(record.startedAt)},
             {"service", record.service},
             {"version", record.softwareVersion},
             {"leaving", record.leaving ? "yes" : "no"},
             {"cold_ms", std::int64_t(record.coldLeft.count())}});
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::logOmittedEndpointLines()
{
    if (m_runtime.now() < m_nextOmittedLineAt)
        return;
    m_nextOmittedLineAt = m_runtime.now() + seconds(1);
    const std::uint64_t held = m_endpointLines.takeSuppressedCount();
    if (held == 0)
        return;
    m_metrics.add("log_lines_held_total", held);
    logInfo(log_part::fleet, "lines of endpoints left out",
            {{"lines", std::int64_t(held)},
             {"endpoints", std::int64_t(m_state.directory().all().size())}});
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::noteEndpointRowsAge()
{
    const std::string &table = m_codec.endpointTable;
    const time_point now = m_runtime.now();
    const update_state known = m_mirror.stateOf(table, unknownVersion, now);
    if (!known.isKnown)
        return;
    service_directory &directory = m_state.directory();
    directory.setRecordsCurrent(m_mirror.versionOf(table),
                                now - known.age + m_links.timings.maxRowAge);
    const bool areCurrent = directory.areRecordsCurrent(now);
    if (std::exchange(m_areEndpointRowsCurrent, areCurrent) == areCurrent)
        return;
    logInfo(log_part::fleet,
            areCurrent ? "rows of endpoints are current again"
                       : "rows of endpoints are outdated, any may have become cold",
            {{"age_ms", std::int64_t(known.age.count())}});
}

template <row_store_like Store, runtime_like Runtime>
bool store_sync<Store, Runtime>::isNamed(const std::string &service) const
{
    const contract_ptr &contract = m_state.contract();
    if (!contract || contract->services.empty())
        return true;
    return contract->findService(service) != nullptr;
}

template <row_store_like Store, runtime_like Runtime>
bool store_sync<Store, Runtime>::hasColdStateChanged(const endpoint_record &record,
                                                     const service_endpoint &known)
{
    const bool isColder
            = m_runtime.now() + record.coldLeft > known.coldUntil() + coldChangeThreshold
            && record.coldLeft.count() > 0;
    // Passed on as well, so that an entry that starts later does not use an old row.
    const bool isWarm = record.coldLeft.count() == 0 && known.record().coldLeft.count() > 0;
    if ((isColder || isWarm) && m_endpointLines.allows(m_runtime.now()))
        logInfo(log_part::fleet, isWarm ? "endpoint is warm" : "endpoint is cold",
                {{"endpoint", record.id}, {"left_ms", std::int64_t(record.coldLeft.count())}});
    return isColder || isWarm;
}

} // namespace laurelcroft

#endif
