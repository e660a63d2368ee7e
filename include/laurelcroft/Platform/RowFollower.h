//===-- Platform/RowFollower.h - keeps up with one table ---------*- C++ -*-===//
//
// Reads a table once, then follows its feed; begins anew when the history is gone or
// the store was away. Reads are paced, because each call has its price. Where another process
// gives the rows on, that one is asked, at the start as well.
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
    /// How long a process that starts waits for a relay before it reads the store itself. When
    /// all start at once, the relays need some tens of milliseconds more than the store to have a
    /// table, and may start later. Where a hundred entries start together it saves nine of ten
    /// calls to the store.
    milliseconds firstWait{400};
    /// How long a relay may say that its rows are outdated before the store is asked beside it.
    /// The relays' own calls fail then, and so would most others: where a hundred entries asked
    /// at once, a store that dropped its history for some seconds had 1,500 calls more.
    milliseconds staleWait{400};
};

/// What a follower tells its owner.
struct follow_events
{
    std::function<void(row_batch &&batch)> onTable; ///< the whole table
    std::function<void(row_batch &&batch)> onChanges;
    std::function<void(row_failure why)> onLost; ///< the first failure in a row
    /// Other processes were outdated before, and now the store fails this process as well.
    std::function<void()> onLostHere = [] {};
    std::function<void(milliseconds away)> onRegained;
};

/// What is new in a table.
struct row_news
{
    row_batch batch;
    bool whole = false; ///< the batch is the whole table, otherwise changes to it
};

/// Version of a table of which a process knows nothing yet.
inline constexpr std::uint64_t nothingKnown = 0;
/// Version to ask others from for a whole table that is known, but whose changes are lost. The
/// store's versions are higher.
inline constexpr std::uint64_t readAnew = 1;

/// Another way to the rows: a process that reads the store gives them on.
struct row_relay
{
    /// \returns true while the relay is asked first and the store only when it fails. Otherwise
    /// it is the other way round.
    std::function<bool()> isPreferred;
    /// \returns true when this process asks the store at once while its relays are outdated, or
    /// have nothing yet at its start, so that others find the rows here. May be empty.
    std::function<bool()> isStandby;
    /// Reads what is new since a version, or the whole table since \c nothingKnown or \c readAnew.
    /// May fail.
    std::function<void(const std::string &table, std::uint64_t since, row_callback<row_news> done)>
            read;
};

/// Follows one table.
template <row_store_like Store, runtime_like Runtime>
class row_follower
{
public:
    /// First and longest wait after a failure. The longest is well below the time within
    /// which a change must be in force after the store's return.
    static constexpr milliseconds firstRetry{100};
    static constexpr milliseconds longestRetry{800};
    /// The same where a relay is asked first: it tells of the store's return by itself.
    static constexpr milliseconds longestRetryBesideRelay{2400};
    /// The same where a relay answers, though with nothing new.
    static constexpr milliseconds longestRetryBesideOutdated{20'000};

    row_follower(Store &store, Runtime &runtime, std::string table, follow_pace pace,
                 follow_events events, row_relay relay = {})
        : m_store(store)
        , m_runtime(runtime)
        , m_table(std::move(table))
        , m_pace(pace)
        , m_events(std::move(events))
        , m_relay(std::move(relay))
        , m_alive(std::make_shared<bool>(true))
    {
    }
    ~row_follower() { *m_alive = false; }
    row_follower(const row_follower &) = delete;
    row_follower &operator=(const row_follower &) = delete;

    void start()
    {
        m_startedAt = m_runtime.now();
        if (asksRelayFirst()) {
            m_runtime.after(m_pace.firstWait, [this, alive = m_alive] {
                if (*alive && m_since == nothingKnown)
                    readStore();
            });
        }
        read();
    }

    /// Time from one read of a relay to the next when there is no news for longer. It is near
    /// and costs little; with the store's own pace it stays within the time that a leaving
    /// endpoint allows.
    static constexpr milliseconds relayPace{300};
    /// Time from an answer of a relay to the next read; the relay holds what has no news.
    static constexpr milliseconds relayPause{50};

    /// \returns when the last answer came; the clock's beginning when none has.
    time_point confirmedAt() const { return m_confirmedAt; }

    /// \returns since when the store has answered without a failure; meaningless before its
    /// first answer.
    time_point steadySince() const { return m_steadySince; }

    /// \returns true when the news that are being told came from a relay.
    bool isNewsRelayed() const { return m_newsRelayed; }

    /// \returns when a relay last answered; the clock's beginning when none has.
    time_point relayedAt() const { return m_relayedAt; }

private:
    bool asksRelayFirst() const { return m_relay.read && m_relay.isPreferred(); }

    void read()
    {
        if (asksRelayFirst())
            readRelay();
        else
            readStore();
    }

    void readRelay()
    {
        const time_point askedAt = m_runtime.now();
        const unsigned round = ++m_round;
        m_relay.read(
                m_table, relayedSince(),
                [this, askedAt, round, alive = m_alive](outcome<row_news, row_failure> result) {
                    if (*alive)
                        onRelayed(std::move(result), askedAt, round == m_round);
                });
    }

    /// \param isCurrent false when the store was asked meanwhile, whose answer goes on.
    void onRelayed(outcome<row_news, row_failure> result, time_point askedAt, bool isCurrent)
    {
        if (result) {
            // It gives on only what the store has confirmed a moment ago.
            m_relayedAt = m_runtime.now();
            noteRegained();
            takeNews(std::move(result.value()));
            const auto rest = relayPace - (m_runtime.now() - askedAt);
            if (isCurrent)
                readAfter(std::max<duration>(relayPause, rest));
            return;
        }
        if (!isCurrent)
            return;
        const bool starting = m_since == nothingKnown
                && m_runtime.now() - m_startedAt < m_pace.firstWait && !m_lost;
        m_outdated = result.error() == row_failure::outdated;
        if (starting && !isStandby()) {
            readAfter(relayPause);
            return;
        }
        if (m_outdated && !m_lost && !isStandby()) {
            noteLost(row_failure::outdated);
            m_retry = m_pace.staleWait;
            m_storeDueAt = m_runtime.now() + m_retry;
        }
        if (!m_lost || m_runtime.now() >= m_storeDueAt)
            readStore();
        else
            readAfter(std::min<duration>(relayPace, m_storeDueAt - m_runtime.now()));
    }

    std::uint64_t relayedSince() const
    {
        const bool isAnew = m_since == nothingKnown && m_newest != nothingKnown;
        return isAnew ? readAnew : m_since;
    }

    bool isStandby() const { return m_relay.isStandby && m_relay.isStandby(); }

    /// Takes what a relay said; what is known never grows older.
    void takeNews(row_news &&news)
    {
        if (news.batch.version <= m_newest)
            return;
        m_newest = news.batch.version;
        m_since = news.batch.version;
        m_newsRelayed = true;
        if (news.whole)
            m_events.onTable(std::move(news.batch));
        else
            m_events.onChanges(std::move(news.batch));
    }

    void readStore()
    {
        ++m_round;
        auto done = [this, alive = m_alive](outcome<row_batch, row_failure> result) {
            if (*alive)
                onAnswer(std::move(result));
        };
        // While the store is lost nothing is held: its return shows at once, and a call that
        // hangs is given up sooner.
        const milliseconds held = m_lost ? milliseconds(0) : m_pace.held;
        if (m_since == nothingKnown)
            m_store.list(m_table, std::move(done));
        else
            m_store.follow(m_table, m_since, held, std::move(done));
    }

    void readAfter(duration wait)
    {
        // A read that began meanwhile goes on by itself.
        m_runtime.after(wait, [this, round = m_round, alive = m_alive] {
            if (*alive && round == m_round)
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
        if (m_lost || m_steadySince == time_point())
            m_steadySince = m_confirmedAt;
        noteRegained();
        row_batch batch = std::move(result.value());
        const bool whole = m_since == nothingKnown;
        m_since = std::max(m_since, batch.version);
        m_newest = std::max(m_newest, m_since);
        m_newsRelayed = false;
        if (whole)
            m_events.onTable(std::move(batch));
        else
            m_events.onChanges(std::move(batch));
        readAfter(m_pace.between);
    }

    void noteRegained()
    {
        m_retry = firstRetry;
        if (!m_lost)
            return;
        m_lost = false;
        const auto away = m_runtime.now() - m_lostAt;
        m_events.onRegained(std::chrono::duration_cast<milliseconds>(away));
    }

    void onFailure(row_failure why)
    {
        if (why == row_failure::historyGone) {
            m_since = nothingKnown;
            readAfter(milliseconds(0));
            return;
        }
        noteLost(why);
        m_storeDueAt = m_runtime.now() + m_retry;
        const bool relayFirst = asksRelayFirst();
        readAfter(relayFirst ? relayPace : m_retry);
        m_retry = std::min(m_retry * 2, longestRetryNow(relayFirst));
        if (m_relay.read && !relayFirst)
            askElsewhere();
    }

    void noteLost(row_failure why)
    {
        const bool isWorse = m_lostWhy == row_failure::outdated && why != row_failure::outdated;
        if (m_lost && isWorse)
            m_events.onLostHere();
        if (!m_lost || isWorse)
            m_lostWhy = why;
        if (m_lost)
            return;
        m_lost = true;
        m_lostAt = m_runtime.now();
        m_events.onLost(why);
    }

    milliseconds longestRetryNow(bool relayFirst) const
    {
        if (!relayFirst)
            return longestRetry;
        return m_outdated && !isStandby() ? longestRetryBesideOutdated : longestRetryBesideRelay;
    }

    void askElsewhere()
    {
        m_relay.read(m_table, relayedSince(),
                     [this, alive = m_alive](outcome<row_news, row_failure> result) {
                         if (*alive && m_lost && result)
                             takeNews(std::move(result.value()));
                     });
    }

    Store &m_store;
    Runtime &m_runtime;
    std::string m_table;
    follow_pace m_pace;
    follow_events m_events;
    row_relay m_relay;
    std::shared_ptr<bool> m_alive;
    std::uint64_t m_since = nothingKnown;
    std::uint64_t m_newest = nothingKnown; ///< stays when the history is gone and all is read anew
    unsigned m_round = 0; ///< of the read whose answer goes on with the next one
    time_point m_startedAt{};
    milliseconds m_retry = firstRetry;
    bool m_lost = false;
    row_failure m_lostWhy = row_failure::notDone;
    bool m_outdated = false; ///< what the relay said last
    bool m_newsRelayed = false;
    time_point m_storeDueAt{}; ///< next call of the store while it is lost
    time_point m_lostAt{};
    time_point m_confirmedAt{};
    time_point m_steadySince{};
    time_point m_relayedAt{};
};

} // namespace laurelcroft

#endif
