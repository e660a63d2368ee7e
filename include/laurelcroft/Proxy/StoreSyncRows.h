//===-- Proxy/StoreSyncRows.h - applies rows --------------------*- C++ -*-===//
//
// Members of store_sync that apply the operator's rows and the rows of other entries. Included by
// StoreSync.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_STORESYNCROWS_H
#define LAURELCROFT_PROXY_STORESYNCROWS_H

#include <algorithm>
#include <cmath>

namespace laurelcroft {

/// Entry name for evidence that an earlier process of this entry wrote. No entry has an empty name.
inline constexpr std::string_view earlierIncarnation;

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
                   {{"row_version", textOf(row.version)}, {"fault", contract.error()}});
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
        m_heldOrders.erase(service);
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
    if (isOlderOrder(service, order.value())) {
        m_heldOrders[service] = row;
        return;
    }
    m_heldOrders.erase(service);
    tracker.setOrder(order.value());
    logInfo(log_part::bundle, "roll-out ordered",
            {{"service", service},
             {"target", order.value().targetVersion},
             {"window_ms", std::int64_t(order.value().window.count())},
             {"row_version", textOf(row.version)}});
}

template <row_store_like Store, runtime_like Runtime>
bool store_sync<Store, Runtime>::isOlderOrder(const std::string &service,
                                              const rollout_order &order) const
{
    const auto tracker = m_state.allRollouts().find(service);
    if (tracker == m_state.allRollouts().end() || !tracker->second.order())
        return false;
    const rollout_order &known = *tracker->second.order();
    const bool isFromCopy = m_runtime.now() < m_ordersHeldUntil
            && known.orderedAt.era < order.orderedAt.era
            && order.orderedAt <= m_operatorReturnVersion;
    return isFromCopy && known.targetVersion != order.targetVersion;
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::takeHeldOrders()
{
    if (m_runtime.now() < m_ordersHeldUntil)
        return;
    for (const auto &[service, row] : std::exchange(m_heldOrders, {}))
        takeOrder(service, row);
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
            m_roster.update(*entry, decodeEntry(row.value), versionInStore(row));
        return;
    }
    if (const std::optional<evidence_row_key> place = evidenceOfKey(row.key)) {
        auto evidence = decodeEvidence(row.value);
        if (evidence)
            evidence.value().orderedAt = withEra(evidence.value().orderedAt, place->service);
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
    m_rowVersions[*service] = versionInStore(row);
    if (row.removed)
        return;
    outcome<rollout_row, std::string> value = decodeRollout(row.value);
    if (!value) {
        logWarning(log_part::bundle, "roll-out row refused",
                   {{"service", *service}, {"fault", value.error()}});
        return;
    }
    if (m_rowVersions[*service] == unknownVersion) {
        m_state.rollouts(*service).noteRowLost();
        return;
    }
    value.value().orderedAt = withEra(value.value().orderedAt, *service);
    const milliseconds begin = value.value().stageSince;
    if (!m_state.rollouts(*service).setRow(value.value(), m_clock.localTimeOf(begin)))
        return;
    logInfo(log_part::bundle, "roll-out stage",
            {{"service", *service},
             {"target", value.value().targetVersion},
             {"stage", textOf(value.value().stage)},
             {"share_permille", std::lround(value.value().share * 1000)},
             {"begins_in_ms", std::int64_t((begin - storeNow()).count())},
             {"row_version", textOf(row.version)}});
}

} // namespace laurelcroft

#endif
