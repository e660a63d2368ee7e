//===-- Proxy/CarriedRows.h - rows that a copy does not have ----*- C++ -*-===//
//
// When the store comes back from a copy, rows written since the copy are missing until their owners
// write them again. This class keeps the rows of one table that are missing, so that for that time
// nothing follows from their absence.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_CARRIEDROWS_H
#define LAURELCROFT_PROXY_CARRIEDROWS_H

#include "laurelcroft/Proxy/RowMirror.h"

#include <vector>

namespace laurelcroft {

/// Missing rows of one table. Not thread-safe.
class carried_rows
{
public:
    /// Keeps those of \p former that \p current does not list.
    /// \param former rows known before the store came back.
    /// \param current the whole table as it is now.
    /// \param until when the rows still missing count as removed.
    void begin(row_map former, const row_batch &current, time_point until);

    /// Forgets the rows that \p update lists or removes, and adds those that are still missing to a
    /// whole table. They keep the versions that they had, of an earlier era.
    void complete(row_update &update);

    /// \returns removals of the rows that are still missing at the end of their time, which are
    /// then forgotten.
    std::vector<store_row> takeExpired(time_point now, store_version version);

    /// Keyed by row key.
    const row_map &missing() const { return m_rows; }

private:
    row_map m_rows;
    time_point m_until{};
};

} // namespace laurelcroft

#endif
