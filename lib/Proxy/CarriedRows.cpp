//===-- CarriedRows.cpp - rows that a copy does not have ------------------===//
//
// A row that is listed again replaces the kept one, whatever its version.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/CarriedRows.h"

#include <utility>

using namespace laurelcroft;

void carried_rows::begin(row_map former, const row_batch &current, time_point until)
{
    m_until = until;
    m_rows.merge(former);
    for (const store_row &row : current.rows)
        m_rows.erase(row.key);
}

void carried_rows::complete(row_update &update)
{
    for (const store_row &row : update.batch.rows)
        m_rows.erase(row.key);
    if (!update.whole)
        return;
    for (const auto &[key, row] : m_rows)
        update.batch.rows.push_back(row);
}

std::vector<store_row> carried_rows::takeExpired(time_point now, store_version version)
{
    std::vector<store_row> removals;
    if (m_rows.empty() || now < m_until)
        return removals;
    for (const auto &[key, row] : std::exchange(m_rows, {}))
        removals.push_back({key, "", version, true});
    return removals;
}
