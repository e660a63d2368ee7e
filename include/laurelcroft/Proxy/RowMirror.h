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
#include <string>

namespace laurelcroft {

/// News of a table and how old they are.
struct aged_news
{
    row_news news;
    milliseconds age{0}; ///< since the store confirmed them
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
    static constexpr std::size_t mostRemoved = 500;

    /// Takes a whole table, or changes to it. \param confirmedAt when the store said so.
    void take(const std::string &table, const row_batch &batch, bool whole, time_point confirmedAt);

    /// \returns what is new since a version, with its age; nothing when the table is not known
    /// or not fresh.
    std::optional<aged_news> read(const std::string &table, std::uint64_t since,
                                  time_point now) const;

    /// \returns true when the table was read once.
    bool knows(const std::string &table) const { return m_tables.count(table) != 0; }

    /// \param onChange is called when a table gets its first rows or others.
    void setListener(std::function<void()> onChange) { m_onChange = std::move(onChange); }

private:
    struct copy
    {
        std::map<std::string, store_row> rows;
        std::map<std::string, std::uint64_t> removed; ///< versions of the removals, by key
        std::uint64_t changesFrom = 0; ///< changes since any later version are known
        std::uint64_t version = 0;
        milliseconds storeTime{0};
        time_point confirmedAt{};
    };
    static void forgetRemoved(copy &known);

    milliseconds m_freshness;
    std::map<std::string, copy> m_tables;
    std::function<void()> m_onChange;
};

} // namespace laurelcroft

#endif
