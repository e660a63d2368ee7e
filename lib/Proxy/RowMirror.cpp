//===-- RowMirror.cpp - tables as last read -------------------------------===//
//
// Rows and removals keep the store's versions, which tell what is new to a reader.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RowMirror.h"

#include <algorithm>
#include <utility>
#include <vector>

using namespace laurelcroft;

void row_mirror::erase(table_copy &known, const std::string &key)
{
    if (const auto row = known.rows.find(key); row != known.rows.end()) {
        known.changes.erase({row->second.version, key});
        known.rows.erase(row);
    }
    if (const auto removed = known.removed.find(key); removed != known.removed.end()) {
        known.changes.erase({removed->second, key});
        known.removed.erase(removed);
    }
}

void row_mirror::setRow(table_copy &known, const store_row &row)
{
    erase(known, row.key);
    known.rows[row.key] = row;
    known.changes.insert({row.version, row.key});
}

void row_mirror::setRemoved(table_copy &known, const std::string &key, store_version version)
{
    erase(known, key);
    known.removed[key] = version;
    known.changes.insert({version, key});
}

void row_mirror::trimRemovedRows(table_copy &known)
{
    while (known.removed.size() > maxRemovedRows) {
        const auto oldest = std::min_element(
                known.removed.begin(), known.removed.end(),
                [](const auto &a, const auto &b) { return a.second < b.second; });
        known.changesFrom = std::max(known.changesFrom, oldest->second);
        erase(known, std::string(oldest->first));
    }
}

void row_mirror::take(const std::string &table, const row_batch &batch, bool whole,
                      time_point confirmedAt)
{
    take(table, batch, whole, batch.storeTime, confirmedAt);
}

void row_mirror::takeFromPeer(const std::string &table, const aged_update &found, time_point now)
{
    const row_batch &batch = found.update.batch;
    take(table, batch, found.update.whole, batch.storeTime - found.age, now - found.age);
}

void row_mirror::begin(table_copy &known, store_version version)
{
    table_copy next;
    next.formerRows = std::move(known.rows);
    next.changesFrom = version;
    known = std::move(next);
}

row_map row_mirror::takeFormerRows(const std::string &table)
{
    const auto it = m_tables.find(table);
    return it == m_tables.end() ? row_map() : std::exchange(it->second.formerRows, {});
}

void row_mirror::take(const std::string &table, const row_batch &batch, bool whole,
                      milliseconds storeTime, time_point confirmedAt)
{
    table_copy &known = m_tables[table];
    if (batch.version < known.version)
        return;
    const bool isFirst = known.version == unknownVersion;
    const bool isOtherEra = !isFirst && batch.version.era != known.version.era;
    // Changes of another era do not continue the rows that are known.
    if (isOtherEra && !whole)
        return;
    if (isFirst || isOtherEra)
        begin(known, batch.version);
    if (whole) {
        std::vector<std::string> before;
        for (const auto &[key, row] : known.rows)
            before.push_back(key);
        for (const std::string &key : before)
            setRemoved(known, key, batch.version);
    }
    for (const store_row &row : batch.rows) {
        if (row.removed)
            setRemoved(known, row.key, row.version);
        else
            setRow(known, row);
    }
    trimRemovedRows(known);
    known.version = batch.version;
    if (confirmedAt >= known.confirmedAt) {
        known.storeTime = storeTime;
        known.confirmedAt = confirmedAt;
    }
    if (m_onChange && (isFirst || !batch.rows.empty()))
        m_onChange();
}

store_version row_mirror::versionOf(const std::string &table) const
{
    const auto it = m_tables.find(table);
    return it == m_tables.end() ? unknownVersion : it->second.version;
}

update_state row_mirror::stateOf(const std::string &table, store_version since,
                                 time_point now) const
{
    update_state state;
    const auto it = m_tables.find(table);
    if (it == m_tables.end())
        return state;
    const table_copy &known = it->second;
    state.isKnown = true;
    state.isOutdated = now - known.confirmedAt > m_freshness || since.era > known.version.era;
    state.age = std::chrono::duration_cast<milliseconds>(now - known.confirmedAt);
    const bool hasChanges = !known.changes.empty() && known.changes.rbegin()->first > since;
    state.hasUpdate = !state.isOutdated && (since < known.changesFrom || hasChanges);
    return state;
}

std::optional<aged_update> row_mirror::read(const std::string &table, store_version since,
                                            time_point now) const
{
    const update_state state = stateOf(table, since, now);
    if (!state.isKnown || state.isOutdated)
        return std::nullopt;
    return updateSince(m_tables.at(table), since, state);
}

std::optional<aged_update> row_mirror::readForStart(const std::string &table, time_point now) const
{
    const update_state state = stateOf(table, unknownVersion, now);
    if (!state.isKnown)
        return std::nullopt;
    return updateSince(m_tables.at(table), unknownVersion, state);
}

std::optional<aged_update> row_mirror::headForStart(const std::string &table, time_point now) const
{
    const update_state state = stateOf(table, unknownVersion, now);
    if (!state.isKnown)
        return std::nullopt;
    return headSince(m_tables.at(table), unknownVersion, state);
}

aged_update row_mirror::headSince(const table_copy &known, store_version since,
                                  const update_state &state)
{
    aged_update result;
    result.age = state.age;
    if (!known.changes.empty())
        result.changedAt = known.changes.rbegin()->first;
    result.update.whole = since < known.changesFrom;
    result.update.batch.version = known.version;
    result.update.batch.storeTime = known.storeTime + result.age;
    return result;
}

aged_update row_mirror::updateSince(const table_copy &known, store_version since,
                                    const update_state &state)
{
    aged_update result = headSince(known, since, state);
    row_batch &batch = result.update.batch;
    if (result.update.whole) {
        for (const auto &[key, row] : known.rows)
            batch.rows.push_back(row);
        return result;
    }
    std::vector<store_row> removed;
    for (auto item = known.changes.lower_bound({{since.era, since.number + 1}, ""});
         item != known.changes.end(); ++item) {
        const auto row = known.rows.find(item->second);
        if (row != known.rows.end())
            batch.rows.push_back(row->second);
        else
            removed.push_back({item->second, "", item->first, true});
    }
    for (store_row &row : removed)
        batch.rows.push_back(std::move(row));
    return result;
}
