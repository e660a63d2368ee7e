//===-- Proxy/RowMirror.h - tables as this entry last read them --*- C++ -*-===//
//
// Kept so that other entries can read them here: those that the store turns away, and those
// that leave the reading to a few. Versions are the store's own, so that nobody ever goes
// back; every answer tells its age, so that entries can't confirm each other.
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

/// News of a table and how old they are.
struct aged_news
{
    row_news news;
    milliseconds age{0}; ///< since the store confirmed them
    std::uint64_t changedAt = 0; ///< version of the table's newest row or removal
};

/// What a mirror has of a table for whoever knows it up to some version.
struct news_state
{
    bool isKnown = false; ///< the table was read once
    bool isOutdated = false; ///< the store has not confirmed it for too long
    bool hasNews = false;
    milliseconds age{0};
};

/// Copies of tables.
class row_mirror
{
public:
    /// \param freshness a copy that the store has not confirmed for longer is not given away.
    explicit row_mirror(milliseconds freshness)
        : m_freshness(freshness)
    {
    }
    milliseconds freshness() const { return m_freshness; }

    /// Removed rows that are remembered for each table; an entry that is further behind gets
    /// the whole table.
    static constexpr std::size_t maxRemovedRows = 500;

    /// Takes a whole table, or changes to it. \param confirmedAt when the store said so, and when
    /// its clock showed what \p batch says.
    void take(const std::string &table, const row_batch &batch, bool whole, time_point confirmedAt);

    /// Takes what another entry's mirror has told. Its age is in the store's time already, and must
    /// not be added once more by whoever reads it here: over some entries the store's clock would
    /// run seconds ahead.
    void takeFromPeer(const std::string &table, const aged_news &found, time_point now);

    /// \returns what is new since a version, with its age; nothing when the table is not known
    /// or not fresh.
    std::optional<aged_news> read(const std::string &table, std::uint64_t since,
                                  time_point now) const;

    /// \returns the whole table, of whatever age, for an entry that knows nothing yet: everybody
    /// else goes by these rows while the store is away.
    std::optional<aged_news> readForStart(const std::string &table, time_point now) const;

    /// \returns what readForStart() would tell, without the rows.
    std::optional<aged_news> headForStart(const std::string &table, time_point now) const;

    /// \returns what read() would tell, without the rows.
    news_state stateOf(const std::string &table, std::uint64_t since, time_point now) const;

    /// \param onChange is called when a table gets its first rows or others.
    void setListener(std::function<void()> onChange) { m_onChange = std::move(onChange); }

private:
    struct table_copy
    {
        std::map<std::string, store_row> rows;
        std::map<std::string, std::uint64_t> removed; ///< versions of the removals, by key
        /// Versions of rows and removals with their keys: what is new to somebody is found without
        /// a look at the whole table, which many ask for each second.
        std::set<std::pair<std::uint64_t, std::string>> changes;
        std::uint64_t changesFrom = 0; ///< changes since any later version are known
        std::uint64_t version = 0;
        milliseconds storeTime{0};
        time_point confirmedAt{};
    };
    /// \param storeTime that the store's clock showed at \p confirmedAt.
    void take(const std::string &table, const row_batch &batch, bool whole, milliseconds storeTime,
              time_point confirmedAt);
    static aged_news headSince(const table_copy &known, std::uint64_t since,
                               const news_state &state);
    static aged_news newsSince(const table_copy &known, std::uint64_t since,
                               const news_state &state);
    static void erase(table_copy &known, const std::string &key);
    static void setRow(table_copy &known, const store_row &row);
    static void setRemoved(table_copy &known, const std::string &key, std::uint64_t version);
    static void trimRemovedRows(table_copy &known);

    milliseconds m_freshness;
    std::map<std::string, table_copy> m_tables;
    std::function<void()> m_onChange;
};

} // namespace laurelcroft

#endif
