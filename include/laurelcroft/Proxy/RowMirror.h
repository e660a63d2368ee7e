//===-- Proxy/RowMirror.h - tables as last read -----------------*- C++ -*-===//
//
// Copies of tables that other entries read from this one: entries that cannot reach the store, and
// entries that leave reading the store to a few. Rows keep the store's versions, so that no reader
// goes back to an older state; all rows of a copy are of one era. Each answer carries its age, so
// that entries cannot keep confirming each other's copies after the store is lost.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_ROWMIRROR_H
#define LAURELCROFT_PROXY_ROWMIRROR_H

#include "laurelcroft/Platform/RowFollower.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace laurelcroft {

/// Changes of a table and their age.
struct aged_update
{
    row_update update;
    milliseconds age{0}; ///< since the store confirmed them
    bool statesEra = true; ///< false when it comes from, or goes to, an earlier release
    store_version changedAt{}; ///< version of the newest row or removal in the table
};

/// State of a table relative to the version that a reader knows.
struct update_state
{
    bool isKnown = false; ///< the table was read at least once
    /// The store has not confirmed the copy for too long, or has come back from a copy since.
    bool isOutdated = false;
    bool hasUpdate = false;
    milliseconds age{0};
};

/// Rows of a table, keyed by row key.
using row_map = std::map<std::string, store_row>;

/// Holds copies of tables.
class row_mirror
{
public:
    /// \param freshness maximum time since the store last confirmed a copy; older copies are not
    /// served.
    explicit row_mirror(milliseconds freshness)
        : m_freshness(freshness)
    {
    }
    milliseconds freshness() const { return m_freshness; }

    /// Maximum number of removals remembered per table. A reader that is further behind gets the
    /// whole table.
    static constexpr std::size_t maxRemovedRows = 500;

    /// Applies a whole table or changes to it.
    /// \param confirmedAt when the store confirmed \p batch and its clock showed the time in \p
    /// batch.
    void take(const std::string &table, const row_batch &batch, bool whole, time_point confirmedAt);

    /// Applies changes from another entry's mirror. Their store time already includes their age,
    /// which must not be added again for readers of this mirror: over several hops the store's
    /// clock would be seconds ahead.
    void takeFromPeer(const std::string &table, const aged_update &found, time_point now);

    /// \returns the changes since a version and their age; nothing when the table is unknown or its
    /// copy is outdated.
    std::optional<aged_update> read(const std::string &table, store_version since,
                                    time_point now) const;

    /// \returns the whole table, of any age, for an entry that knows nothing yet: the other entries
    /// also use these rows while the store is unavailable.
    std::optional<aged_update> readForStart(const std::string &table, time_point now) const;

    /// \returns the result of readForStart() without the rows.
    std::optional<aged_update> headForStart(const std::string &table, time_point now) const;

    /// \returns the store's version at which \p table is known; \c unknownVersion if it is not.
    store_version versionOf(const std::string &table) const;

    /// \returns what read() would find, without the rows.
    update_state stateOf(const std::string &table, store_version since, time_point now) const;

    /// \returns the rows of \p table that were known before the store last came back from a copy,
    /// keyed by row key. They are returned once.
    row_map takeFormerRows(const std::string &table);

    /// \param onChange called when a table gets its first batch or a later batch has rows.
    void setListener(std::function<void()> onChange) { m_onChange = std::move(onChange); }

private:
    struct table_copy
    {
        row_map rows;
        row_map formerRows; ///< rows of the era before
        /// Versions of the removals, keyed by row key.
        std::map<std::string, store_version> removed;
        /// Versions of rows and removals with their keys. Finds the changes since a version without
        /// a scan of the table; many entries ask for them each second.
        std::set<std::pair<store_version, std::string>> changes;
        store_version changesFrom; ///< changes since this or any later version are known
        store_version version{};
        milliseconds storeTime{0};
        time_point confirmedAt{};
    };
    /// \param storeTime time of the store's clock at \p confirmedAt.
    void take(const std::string &table, const row_batch &batch, bool whole, milliseconds storeTime,
              time_point confirmedAt);
    /// Begins \p known anew for the first table of another era, or of all.
    static void begin(table_copy &known, store_version version);
    static aged_update headSince(const table_copy &known, store_version since,
                                 const update_state &state);
    static aged_update updateSince(const table_copy &known, store_version since,
                                   const update_state &state);
    static void erase(table_copy &known, const std::string &key);
    static void setRow(table_copy &known, const store_row &row);
    static void setRemoved(table_copy &known, const std::string &key, store_version version);
    static void trimRemovedRows(table_copy &known);

    milliseconds m_freshness;
    std::map<std::string, table_copy> m_tables;
    std::function<void()> m_onChange;
};

} // namespace laurelcroft

#endif
