//===-- RowMirror.cpp - tables as this entry last read them -----------------===//
//
// Rows and removals keep the store's versions, which say what is new to whom.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RowMirror.h"

#include <algorithm>

using namespace laurelcroft;

void row_mirror::forgetRemoved(copy &known)
{
    while (known.removed.size() > mostRemoved) {
        const auto oldest = std::min_element(
                known.removed.begin(), known.removed.end(),
                [](const auto &a, const auto &b) { return a.second < b.second; });
        known.changesFrom = std::max(known.changesFrom, oldest->second);
        known.removed.erase(oldest);
    }
}

void row_mirror::take(const std::string &table, const row_batch &batch, bool whole,
                      time_point confirmedAt)
{
    copy &known = m_tables[table];
    if (batch.version < known.version)
        return;
    const bool isFirst = known.version == 0;
    if (isFirst)
        known.changesFrom = batch.version;
    if (whole) {
        for (const auto &[key, row] : known.rows)
            known.removed[key] = batch.version;
        known.rows.clear();
    }
    for (const store_row &row : batch.rows) {
        if (row.removed) {
            known.rows.erase(row.key);
            known.removed[row.key] = row.version;
            continue;
        }
        known.rows[row.key] = row;
        known.removed.erase(row.key);
    }
    forgetRemoved(known);
    known.version = batch.version;
    known.storeTime = batch.storeTime;
    known.confirmedAt = std::max(known.confirmedAt, confirmedAt);
    if (m_onChange && (isFirst || !batch.rows.empty()))
        m_onChange();
}

std::optional<aged_news> row_mirror::read(const std::string &table, std::uint64_t since,
                                          time_point now) const
{
    const auto it = m_tables.find(table);
    if (it == m_tables.end() || now - it->second.confirmedAt > m_freshness)
        return std::nullopt;
    const copy &known = it->second;
    aged_news result;
    result.age = std::chrono::duration_cast<milliseconds>(now - known.confirmedAt);
    result.news.whole = since < known.changesFrom;
    row_batch &batch = result.news.batch;
    batch.version = known.version;
    batch.storeTime = known.storeTime + result.age;
    for (const auto &[key, row] : known.rows) {
        if (result.news.whole || row.version > since)
            batch.rows.push_back(row);
    }
    if (result.news.whole)
        return result;
    for (const auto &[key, version] : known.removed) {
        if (version > since)
            batch.rows.push_back({key, "", version, true});
    }
    return result;
}
