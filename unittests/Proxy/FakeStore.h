//===-- FakeStore.h - in-memory store ---------------------------*- C++ -*-===//
//
// An in-memory store on a paused clock that can lose answers, drop its history, become unavailable
// and come back from a copy on request.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_UNITTESTS_PROXY_FAKESTORE_H
#define LAURELCROFT_UNITTESTS_PROXY_FAKESTORE_H

#include "laurelcroft/Platform/RowStore.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace laurelcroft {

/// Holds rows in memory; answers arrive after one millisecond.
class fake_store
{
public:
    explicit fake_store(manual_runtime &runtime)
        : m_runtime(runtime)
    {
    }

    void list(const std::string &table, row_callback<row_batch> done)
    {
        ++lists;
        if (table == awayTable) {
            m_runtime.after(callDelay, [done] { done(failure(row_failure::unknown)); });
            return;
        }
        answer(std::move(done), [this, table] { return rowsOf(table, {}, false); });
    }

    void follow(const std::string &table, store_version since, milliseconds wait,
                row_callback<row_batch> done)
    {
        ++follows;
        if (hasLostHistory || since.number > m_content.number) {
            m_runtime.after(callDelay, [done] { done(failure(row_failure::historyGone)); });
            return;
        }
        const bool hasChanged = changedSince(table, since);
        const milliseconds delay
                = away ? awayDelay : (hasChanged || wait.count() == 0 ? callDelay : wait);
        m_runtime.after(delay, [this, table, since, done] {
            if (away || table == awayTable)
                done(failure(row_failure::unknown));
            else
                done(rowsOf(table, since, true));
        });
    }

    void write(const std::vector<row_write> &rows, row_callback<conditional_write> done)
    {
        ++writes;
        answer<conditional_write>(std::move(done), [this, rows] { return apply(rows); });
    }

    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        set(table, {key, value, nextVersion(), false});
    }

    void remove(const std::string &table, const std::string &key)
    {
        set(table, {key, "", nextVersion(), true});
    }

    /// Writes \p count rows that no entry reads, each of which takes a version.
    void skipVersions(unsigned count)
    {
        for (unsigned i = 0; i < count; ++i)
            put("unread", "row", std::to_string(i));
    }

    /// Keeps a copy of all rows and of the history.
    void saveCopy() { m_copy = m_content; }

    /// Comes back from the last copy: later writes are lost, and their versions are given out
    /// again.
    void restoreCopy()
    {
        m_content = m_copy;
        ++era;
    }

    std::string valueOf(const std::string &table, const std::string &key)
    {
        return m_content.tables[table][key].value;
    }

    /// Time from a call to its answer.
    static constexpr milliseconds callDelay{1};

    bool away = false;
    std::string awayTable; ///< reads of this table fail
    milliseconds awayDelay = callDelay; ///< time until a call fails while the store is unavailable
    bool hasLostHistory = false;
    std::uint64_t era = 0; ///< rises with each return from a copy; 0: not stated
    unsigned lists = 0;
    unsigned follows = 0;
    unsigned writes = 0;

private:
    template <class T>
    void answer(row_callback<T> done, std::function<T()> result)
    {
        m_runtime.after(away ? awayDelay : callDelay, [this, done, result] {
            if (away)
                done(failure(row_failure::unknown));
            else
                done(result());
        });
    }
    void answer(row_callback<row_batch> done, std::function<row_batch()> result)
    {
        answer<row_batch>(std::move(done), std::move(result));
    }

    store_version nextVersion() { return {era, ++m_content.number}; }

    /// \returns \p row as it is read in the current era.
    store_row inEra(store_row row) const
    {
        row.version.era = era;
        return row;
    }

    bool changedSince(const std::string &table, store_version since)
    {
        return !rowsOf(table, since, true).rows.empty();
    }

    void set(const std::string &table, const store_row &row)
    {
        m_content.tables[table][row.key] = row;
        m_content.history[table].push_back(row);
    }

    /// Returns every change since \p since for a feed, in order, with several changes of one row;
    /// otherwise the current rows.
    row_batch rowsOf(const std::string &table, store_version since, bool feed)
    {
        row_batch batch;
        batch.version = {era, m_content.number};
        batch.storeTime = timeNow();
        for (const store_row &row : m_content.history[table]) {
            if (feed && row.version.number > since.number)
                batch.rows.push_back(inEra(row));
        }
        for (const auto &[key, row] : m_content.tables[table]) {
            if (!feed && !row.removed)
                batch.rows.push_back(inEra(row));
        }
        return batch;
    }

    milliseconds timeNow() const
    {
        return std::chrono::duration_cast<milliseconds>(m_runtime.now().time_since_epoch());
    }

    conditional_write apply(const std::vector<row_write> &rows)
    {
        for (const row_write &row : rows) {
            const auto &known = m_content.tables[row.table];
            const auto it = known.find(row.key);
            const bool exists = it != known.end() && !it->second.removed;
            const store_row current = exists ? inEra(it->second) : store_row();
            if (row.expected && *row.expected != current.version)
                return {false, {era, 0}, milliseconds(0), {{row.table, current}}};
        }
        const store_version version = nextVersion();
        for (const row_write &row : rows)
            set(row.table, {row.key, row.value, version, row.remove});
        return {true, version, timeNow(), {}};
    }

    /// Everything that a copy contains.
    struct content
    {
        std::map<std::string, std::map<std::string, store_row>> tables;
        std::map<std::string, std::vector<store_row>> history;
        std::uint64_t number = 1;
    };

    manual_runtime &m_runtime;
    content m_content;
    content m_copy;
};

} // namespace laurelcroft

#endif
