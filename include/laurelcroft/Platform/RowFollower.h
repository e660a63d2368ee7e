//===-- Platform/RowFollower.h - follows the changes of a table --*- C++ -*-===//
//
// Reads a table once, then follows its change feed. Reads the whole table again when the store no
// longer has the history that the feed needs, or has come back from a copy. Reads are spaced out
// because every call to the store has a cost. Where another process relays the rows, the follower
// reads from it, also at startup.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PLATFORM_ROWFOLLOWER_H
#define LAURELCROFT_PLATFORM_ROWFOLLOWER_H

#include "laurelcroft/Platform/RowStore.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace laurelcroft {

/// Read intervals and timeouts of a follower.
struct follow_pace
{
    milliseconds readInterval{0}; ///< minimum time from an answer to the next call
    milliseconds held{0}; ///< how long the store may hold a call while there are no changes
    /// How long a starting process waits for a relay before it reads the store itself. When all
    /// processes start at once, a relay has a table some tens of milliseconds later than the store
    /// could deliver it, and the relay may also start later. When a hundred entries start together,
    /// the wait saves nine out of ten calls to the store.
    milliseconds firstWait{400};
    /// How long a relay may report outdated rows before this process reads the store as well. A
    /// relay reports them when its own calls to the store fail, and most other calls would fail
    /// too: when a hundred entries read the store at once, a store that had lost its history for
    /// some seconds received 1,500 additional calls.
    milliseconds staleWait{400};
};

/// Callbacks of a follower to its owner.
struct follow_events
{
    std::function<void(row_batch &&batch)> onTable; ///< the whole table was read
    std::function<void(row_batch &&batch)> onChanges;
    std::function<void(row_failure why)> onLost; ///< first of several consecutive failures
    /// The relays had reported outdated rows, and now a call of this process to the store failed
    /// as well.
    std::function<void()> onLostLocally = [] {};
    std::function<void(milliseconds away)> onRecovered; ///< first success after failures
};

/// Changes of a table, or the whole table.
struct row_update
{
    row_batch batch;
    bool whole = false; ///< true: the batch is the whole table; false: changes to it
};

/// Version with which a process requests the whole table from other processes when it has read
/// the table before but has missed changes. Versions of the store are always higher.
inline constexpr store_version rereadVersion = 1;

/// Alternative source of rows: other processes that read the store and pass the rows on.
struct row_relay
{
    /// \returns true if the relay is read first and the store only when the relay fails; false for
    /// the opposite order.
    std::function<bool()> isPreferred;
    /// \returns true if this process reads the store without delay when its relays are outdated or
    /// have no table yet at startup, so that other processes can read the rows here. May be empty.
    std::function<bool()> isStandby;
    /// Reads the changes since a version, or the whole table if the version is \c unknownVersion or
    /// \c rereadVersion. May fail.
    std::function<void(const std::string &table, store_version since,
                       row_callback<row_update> done)>
            read;
};

/// Follows the changes of one table.
template <row_store_like Store, runtime_like Runtime>
class row_follower
{
public:
    /// Minimum and maximum retry delay after a failure. The maximum is well below the time within
    /// which a change must take effect after the store has recovered.
    static constexpr milliseconds minRetryDelay{100};
    static constexpr milliseconds maxRetryDelay{800};
    /// Maximum retry delay when a relay is read first: the relay's answers show that the store has
    /// recovered.
    static constexpr milliseconds maxRetryDelayWithRelay{2400};
    /// Maximum retry delay when a relay answers that its rows are outdated, unless this process is
    /// a standby.
    static constexpr milliseconds maxRetryDelayWithOutdatedRelay{20'000};

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
        if (prefersRelay()) {
            m_runtime.after(m_pace.firstWait, [this, alive = m_alive] {
                if (*alive && m_since == unknownVersion)
                    readStore();
            });
        }
        read();
    }

    /// Minimum time between the starts of two reads of a relay. A relay is close and a read costs
    /// little. Together with the read interval of the store, the delay stays within the time that
    /// a leaving endpoint allows.
    static constexpr milliseconds relayReadInterval{300};
    /// Minimum time from an answer of a relay to the next read. The relay holds a read while it has
    /// no changes.
    static constexpr milliseconds minRelayPause{50};

    /// \returns when the store last answered, or the epoch of the clock if it never has.
    time_point confirmedAt() const { return m_confirmedAt; }

    /// \returns since when the store has answered without a failure. Only meaningful after its
    /// first answer.
    time_point availableSince() const { return m_availableSince; }

    /// \returns true if the last reported table or changes came from a relay. Already valid in the
    /// callbacks that receive them.
    bool isUpdateRelayed() const { return m_updateRelayed; }

    /// \returns when a relay last answered, or the epoch of the clock if none has.
    time_point relayAnsweredAt() const { return m_relayAnsweredAt; }

private:
    bool prefersRelay() const { return m_relay.read && m_relay.isPreferred(); }

    void read()
    {
        if (prefersRelay())
            readRelay();
        else
            readStore();
    }

    void readRelay()
    {
        const time_point askedAt = m_runtime.now();
        const unsigned readNumber = ++m_readNumber;
        m_relay.read(m_table, relayVersion(),
                     [this, askedAt, readNumber,
                      alive = m_alive](outcome<row_update, row_failure> result) {
                         if (*alive)
                             onRelayAnswer(std::move(result), askedAt, readNumber == m_readNumber);
                     });
    }

    /// \param isCurrent false if a read of the store began meanwhile; that read then schedules the
    /// next one.
    void onRelayAnswer(outcome<row_update, row_failure> result, time_point askedAt, bool isCurrent)
    {
        if (result) {
            // A relay only passes on rows that the store has confirmed recently.
            m_relayAnsweredAt = m_runtime.now();
            reportRecovered();
            applyUpdate(std::move(result.value()));
            const auto remaining = relayReadInterval - (m_runtime.now() - askedAt);
            if (isCurrent)
                scheduleRead(std::max<duration>(minRelayPause, remaining));
            return;
        }
        if (!isCurrent)
            return;
        const bool starting = m_since == unknownVersion
                && m_runtime.now() - m_startedAt < m_pace.firstWait && !m_lost;
        m_outdated = result.error() == row_failure::outdated;
        if (starting && !isStandby()) {
            scheduleRead(minRelayPause);
            return;
        }
        if (m_outdated && !m_lost && !isStandby()) {
            reportLost(row_failure::outdated);
            m_retryDelay = m_pace.staleWait;
            m_nextStoreReadAt = m_runtime.now() + m_retryDelay;
        }
        if (!m_lost || m_runtime.now() >= m_nextStoreReadAt)
            readStore();
        else
            scheduleRead(
                    std::min<duration>(relayReadInterval, m_nextStoreReadAt - m_runtime.now()));
    }

    store_version relayVersion() const
    {
        const bool needsReread = m_since == unknownVersion && m_newest != unknownVersion;
        return needsReread ? rereadVersion : m_since;
    }

    bool isStandby() const { return m_relay.isStandby && m_relay.isStandby(); }

    /// Reports rows from a relay unless they are no newer than the rows already known.
    void applyUpdate(row_update &&update)
    {
        if (update.batch.version <= m_newest)
            return;
        if (!update.whole && update.batch.version.era != m_since.era) {
            m_since = unknownVersion;
            return;
        }
        m_newest = update.batch.version;
        m_since = update.batch.version;
        m_updateRelayed = true;
        if (update.whole)
            m_events.onTable(std::move(update.batch));
        else
            m_events.onChanges(std::move(update.batch));
    }

    void readStore()
    {
        ++m_readNumber;
        auto done
                = [this, since = m_since, alive = m_alive](outcome<row_batch, row_failure> result) {
                      if (*alive)
                          onStoreAnswer(std::move(result), since);
                  };
        // While the store is unavailable, its calls are not held: its recovery is noticed at once,
        // and a call that hangs times out sooner.
        const milliseconds maxHold = m_lost ? milliseconds(0) : m_pace.held;
        if (m_since == unknownVersion)
            m_store.list(m_table, std::move(done));
        else
            m_store.follow(m_table, m_since, maxHold, std::move(done));
    }

    void scheduleRead(duration wait)
    {
        // A read that began meanwhile schedules the next one itself.
        m_runtime.after(wait, [this, readNumber = m_readNumber, alive = m_alive] {
            if (*alive && readNumber == m_readNumber)
                read();
        });
    }

    /// \param since the version asked for, which a relay may have raised meanwhile.
    void onStoreAnswer(outcome<row_batch, row_failure> result, store_version since)
    {
        if (result)
            result = checkedEra(std::move(result.value()), since);
        if (!result) {
            onStoreFailure(result.error());
            return;
        }
        m_confirmedAt = m_runtime.now();
        if (m_lost || m_availableSince == time_point())
            m_availableSince = m_confirmedAt;
        reportRecovered();
        row_batch batch = std::move(result.value());
        const bool isWhole = since == unknownVersion;
        // A relay has delivered a newer table meanwhile.
        const bool isOutdated = isWhole && batch.version < m_newest && m_since != unknownVersion;
        m_since = std::max(m_since, batch.version);
        m_newest = std::max(m_newest, m_since);
        m_updateRelayed = false;
        if (isWhole && !isOutdated)
            m_events.onTable(std::move(batch));
        else if (!isWhole)
            m_events.onChanges(std::move(batch));
        scheduleRead(m_pace.readInterval);
    }

    /// \returns \p batch, or a failure when it does not continue the history that is known here:
    /// the store came back from a copy, or the answer was sent before it did.
    outcome<row_batch, row_failure> checkedEra(row_batch &&batch, store_version since) const
    {
        if (batch.version.era < m_newest.era)
            return failure(row_failure::unknown);
        if (since != unknownVersion && batch.version.era != since.era)
            return failure(row_failure::historyGone);
        return std::move(batch);
    }

    void reportRecovered()
    {
        m_retryDelay = minRetryDelay;
        if (!m_lost)
            return;
        m_lost = false;
        const auto away = m_runtime.now() - m_lostAt;
        m_events.onRecovered(std::chrono::duration_cast<milliseconds>(away));
    }

    void onStoreFailure(row_failure why)
    {
        if (why == row_failure::historyGone) {
            m_since = unknownVersion;
            scheduleRead(milliseconds(0));
            return;
        }
        reportLost(why);
        m_nextStoreReadAt = m_runtime.now() + m_retryDelay;
        const bool relayFirst = prefersRelay();
        scheduleRead(relayFirst ? relayReadInterval : m_retryDelay);
        m_retryDelay = std::min(m_retryDelay * 2, currentMaxRetryDelay(relayFirst));
        if (m_relay.read && !relayFirst)
            readRelayOnce();
    }

    void reportLost(row_failure why)
    {
        const bool isWorse = m_lostWhy == row_failure::outdated && why != row_failure::outdated;
        if (m_lost && isWorse)
            m_events.onLostLocally();
        if (!m_lost || isWorse)
            m_lostWhy = why;
        if (m_lost)
            return;
        m_lost = true;
        m_lostAt = m_runtime.now();
        m_events.onLost(why);
    }

    milliseconds currentMaxRetryDelay(bool relayFirst) const
    {
        if (!relayFirst)
            return maxRetryDelay;
        return m_outdated && !isStandby() ? maxRetryDelayWithOutdatedRelay : maxRetryDelayWithRelay;
    }

    void readRelayOnce()
    {
        m_relay.read(m_table, relayVersion(),
                     [this, alive = m_alive](outcome<row_update, row_failure> result) {
                         if (*alive && m_lost && result)
                             applyUpdate(std::move(result.value()));
                     });
    }

    Store &m_store;
    Runtime &m_runtime;
    std::string m_table;
    follow_pace m_pace;
    follow_events m_events;
    row_relay m_relay;
    std::shared_ptr<bool> m_alive;
    store_version m_since;
    store_version m_newest; ///< kept while the whole table is reread
    unsigned m_readNumber = 0; ///< number of the read whose answer schedules the next read
    time_point m_startedAt{};
    milliseconds m_retryDelay = minRetryDelay;
    bool m_lost = false;
    row_failure m_lostWhy = row_failure::notDone;
    bool m_outdated = false; ///< the last failed read of a relay reported outdated rows
    bool m_updateRelayed = false;
    time_point m_nextStoreReadAt{}; ///< next call to the store while it is unavailable
    time_point m_lostAt{};
    time_point m_confirmedAt{};
    time_point m_availableSince{};
    time_point m_relayAnsweredAt{};
};

} // namespace laurelcroft

#endif
