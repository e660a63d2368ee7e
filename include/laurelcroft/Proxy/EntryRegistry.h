//===-- Proxy/EntryRegistry.h - rows of the running entries ------*- C++ -*-===//
//
// Entries share budgets and read the store for each other, so each has a row with its address that
// it renews periodically. A row that has not been renewed for three intervals belongs to an entry
// that is gone, and the first entry that sees it removes it. A running entry whose row was removed
// writes it again.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_ENTRYREGISTRY_H
#define LAURELCROFT_PROXY_ENTRYREGISTRY_H

#include "laurelcroft/Proxy/RolloutRows.h"

#include <map>
#include <optional>
#include <string>

namespace laurelcroft {

/// Name and row version of an entry in the store.
struct listed_entry
{
    std::string name;
    store_version version{};
};

/// The rows of all entries.
class entry_registry
{
public:
    /// For 380 entries, this interval causes 1.3 writes per second in total and 200 bytes per
    /// second for each reader that follows the table.
    static constexpr milliseconds renewInterval{std::chrono::minutes(5)};
    static constexpr milliseconds rowLifetime = 3 * renewInterval;

    explicit entry_registry(std::string own)
        : m_own(std::move(own))
    {
    }

    void clear();
    void update(const std::string &name, entry_info place, store_version version);
    void remove(const std::string &name);

    const entry_map &entries() const { return m_entries; }

    /// \param storeNow current time on the store's clock.
    /// \returns true if the row of this entry is missing or has to be renewed.
    bool isOwnRowDue(milliseconds storeNow) const { return isRowDue(m_own, storeNow); }

    /// \returns true if the row of entry \p name is missing or has to be renewed.
    bool isRowDue(const std::string &name, milliseconds storeNow) const;

    /// \returns the offset of wall time from the store's clock, or nothing if no entry reports one.
    /// Uses the median of the reported offsets, since some wall clocks may be off by seconds.
    std::optional<milliseconds> medianWallClockOffset() const;

    /// \returns another entry whose row has expired, if any.
    std::optional<listed_entry> findExpired(milliseconds storeNow) const;

private:
    std::string m_own;
    entry_map m_entries;
    std::map<std::string, store_version> m_versions;
};

} // namespace laurelcroft

#endif
