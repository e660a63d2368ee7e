//===-- Proxy/StoreSyncFindings.h - rows of withheld requests ---*- C++ -*-===//
//
// Members of store_sync that handle the rows of withheld requests. Included by StoreSync.h only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_STORESYNCFINDINGS_H
#define LAURELCROFT_PROXY_STORESYNCFINDINGS_H

#include <utility>
#include <vector>

namespace laurelcroft {

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::takeWithheldRow(request_key key, const store_row &row)
{
    if (row.removed) {
        m_findingRows.erase(key);
        m_state.crashes().removeRow(key);
        return;
    }
    const outcome<withheld_row, std::string> value = decodeWithheldRow(row.value);
    if (!value) {
        logWarning(log_part::routing, "row of a withheld request refused",
                   {{"request_key", textOf(key)}, {"fault", value.error()}});
        return;
    }
    m_findingRows[key] = {versionInStore(row), value.value().until};
    m_state.crashes().applyRow(key, value.value(), m_clock.localTimeOf(value.value().until),
                               m_runtime.now());
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::retainWithheld(const std::vector<store_row> &rows)
{
    std::vector<request_key> listed;
    for (const store_row &row : rows) {
        if (const std::optional<request_key> key = requestOfRowKey(row.key))
            listed.push_back(*key);
    }
    m_findingRows.clear();
    m_state.crashes().removeUnlistedRows(listed);
}

template <row_store_like Store, runtime_like Runtime>
bool store_sync<Store, Runtime>::isCoveredByRow(request_key key,
                                                const std::vector<table_entry> &current)
{
    return std::any_of(current.begin(), current.end(), [&](const table_entry &entry) {
        const outcome<withheld_row, std::string> row = decodeWithheldRow(entry.row.value);
        return entry.row.key == withheldRowKey(key) && row
                && m_state.crashes().isCoveredBy(key, row.value());
    });
}

template <row_store_like Store, runtime_like Runtime>
bool store_sync<Store, Runtime>::writeFinding()
{
    std::optional<unwritten_finding> finding
            = m_state.crashes().nextUnwrittenFinding(m_runtime.now());
    if (!finding)
        return false;
    const request_key key = finding->key;
    finding->row.until = storeNow() + finding->remaining;
    const auto known = m_findingRows.find(key);
    const store_version expected
            = known == m_findingRows.end() ? unknownVersion : known->second.version;
    m_isWriting = true;
    const row_write row{std::string(internalTable), withheldRowKey(key),
                        encodeWithheldRow(finding->row), expected};
    m_store.write({row}, [this, key](outcome<conditional_write, row_failure> result) {
        m_isWriting = false;
        if (!result)
            m_nextWriteAt = m_runtime.now() + writeRetryDelay;
        logInfo(log_part::routing, "finding on a request written",
                {{"request_key", textOf(key)}, {"result", textOf(result)}});
        // Otherwise another entry's row lacks some of the finding, which is then written again.
        if (result && (result.value().done || isCoveredByRow(key, result.value().current)))
            m_state.crashes().markWritten(key);
        if (!result || result.value().done)
            return;
        for (const table_entry &entry : result.value().current)
            takeInternalRow(entry.row);
    });
    return true;
}

template <row_store_like Store, runtime_like Runtime>
void store_sync<Store, Runtime>::removeStaleFinding()
{
    const std::optional<request_key> wrong = m_state.crashes().findStaleRow();
    const auto stale
            = std::find_if(m_findingRows.begin(), m_findingRows.end(), [&](const auto &row) {
                  return storeNow() >= row.second.until || row.first == wrong;
              });
    // Any entry may remove the row; the probability keeps most of them from writing at once.
    const double chance = 1.0 / static_cast<double>(m_state.entries());
    if (stale == m_findingRows.end() || !m_state.random().chance(chance))
        return;
    m_nextOwnRowWriteAt = m_runtime.now() + ownRowWriteInterval;
    m_store.write({{std::string(internalTable), withheldRowKey(stale->first), "",
                    stale->second.version, true}},
                  [key = stale->first](outcome<conditional_write, row_failure> result) {
                      logInfo(log_part::routing, "row of a finding removed",
                              {{"request_key", textOf(key)}, {"result", textOf(result)}});
                  });
}

} // namespace laurelcroft

#endif
