//===-- Platform/RowFollower.h - keeps up with one table ---------*- C++ -*-===//
//
// Reads a table once, then follows its feed; begins anew when the history is gone or
// the store was away. Reads are paced, because each call has its price.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PLATFORM_ROWFOLLOWER_H
#define LAURELCROFT_PLATFORM_ROWFOLLOWER_H

#include "laurelcroft/Platform/RowStore.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace laurelcroft {

/// Pace of a follower.
struct follow_pace
{
    milliseconds between{0}; ///< least time from one answer to the next call
    milliseconds held{0}; ///< how long the store may hold a call that has no news
};

/// What a follower tells its owner.
struct follow_events
{
    std::function<void(row_batch &&batch)> onTable; ///< the whole table
    std::function<void(row_batch &&batch)> onChanges;
    std::function<void(row_failure why)> onLost; ///< the first failure in a row
    std::function<void(milliseconds away)> onRegained;
};

/// Another way to a whole table while the store can't be read; it may fail as well.
using table_fallback
        = std::function<void(const std::string &table, row_callback<row_batch> done)>;

/// Follows one table.
template <row_store_like Store, runtime_like Runtime>
class row_follower
{
public:
    /// First and longest wait after a failure. The longest is well below the time within
    /// which a change must be in force after the store's return.
    static constexpr milliseconds firstRetry{100};
    static constexpr milliseconds longestRetry{800};

    row_follower(Store &store, Runtime &runtime, std::string table, follow_pace pace,
                 follow_events events, table_fallback fallback = {})
        : m_store(store)
        , m_runtime(runtime)
        , m_table(std::move(table))
        , m_pace(pace)
        , m_events(std::move(events))
        , m_fallback(std::move(fallback))
        , m_alive(std::make_shared<bool>(true))
    {
    }
    ~row_follower() { *m_alive = false; }
    row_follower(const row_follower &) = delete;
    row_follower &operator=(const row_follower &) = delete;

    void start() { read(); }

    /// \returns when the last answer came; the clock's beginning when none has.
    time_point confirmedAt() const { return m_confirmedAt; }

private:
    void read()
    {
        auto done = [this, alive = m_alive](outcome<row_batch, row_failure> result) {
            if (*alive)
                onAnswer(std::move(result));
        };
        if (m_since == 0)
            m_store.list(m_table, std::move(done));
        else
            m_store.follow(m_table, m_since, m_pace.held, std::move(done));
    }

    void readAfter(milliseconds wait)
    {
        m_runtime.after(wait, [this, alive = m_alive] {
            if (*alive)
                read();
        });
    }

    void onAnswer(outcome<row_batch, row_failure> result)
    {
        if (!result) {
            onFailure(result.error());
            return;
        }
        m_confirmedAt = m_runtime.now();
        m_retry = firstRetry;
        if (m_lost) {
            m_lost = false;
            const auto away = m_confirmedAt - m_lostAt;
            m_events.onRegained(std::chrono::duration_cast<milliseconds>(away));
        }
        row_batch batch = std::move(result.value());
        const bool whole = m_since == 0;
        m_since = std::max(m_since, batch.version);
        if (whole)
            m_events.onTable(std::move(batch));
        else
            m_events.onChanges(std::move(batch));
        readAfter(m_pace.between);
    }

    void onFailure(row_failure why)
    {
        if (why == row_failure::historyGone) {
            m_since = 0;
            readAfter(milliseconds(0));
            return;
        }
        if (!m_lost) {
            m_lost = true;
            m_lostAt = m_runtime.now();
            m_events.onLost(why);
        }
        readAfter(m_retry);
        m_retry = std::min(m_retry * 2, longestRetry);
        if (m_fallback)
            askElsewhere();
    }

    void askElsewhere()
    {
        m_fallback(m_table, [this, alive = m_alive](outcome<row_batch, row_failure> result) {
            if (!*alive || !m_lost || !result)
                return;
            // What is known must never grow older.
            row_batch batch = std::move(result.value());
            if (batch.version <= m_since)
                return;
            m_since = batch.version;
            m_events.onTable(std::move(batch));
        });
    }

    Store &m_store;
    Runtime &m_runtime;
    std::string m_table;
    follow_pace m_pace;
    follow_events m_events;
    table_fallback m_fallback;
    std::shared_ptr<bool> m_alive;
    std::uint64_t m_since = 0;
    milliseconds m_retry = firstRetry;
    bool m_lost = false;
    time_point m_lostAt{};
    time_point m_confirmedAt{};
};

} // namespace laurelcroft

#endif
