//===-- Usage/UsageDuty.h - one entry's part in the usage duty --*- C++ -*-===//
//
// The usage duty is the task of adding up the request counts of all entries and reporting them per
// time window. One entry at a time, the holder, performs it under a lease. Every entry counts its
// own requests, sends the counts to the holder, and may take over the duty if the holder fails. An
// entry that can't reach the holder writes its counts to a row of the store instead.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_USAGE_USAGEDUTY_H
#define LAURELCROFT_USAGE_USAGEDUTY_H

#include "laurelcroft/Usage/UsageHolder.h"
#include "laurelcroft/Usage/UsageMeter.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace laurelcroft {

/// Counts the requests of one entry and takes over the duty if necessary. While the entry is the
/// holder, a usage_holder performs the duty.
template <usage_environment Env>
class usage_duty
{
public:
    /// Interval between two calls of tick(), and the minimum interval between two notices.
    static constexpr milliseconds tickInterval{50};
    /// Notices per second that a holder receives from all entries together. If there are many
    /// entries, each sends its counts less often to stay within this rate.
    static constexpr double maxNoticesPerSecond = 400;
    /// Interval after which all unacknowledged batches are sent again.
    static constexpr milliseconds resendDelay{400};
    /// Maximum size of the batches in one datagram, unless a single batch is larger.
    static constexpr std::size_t maxNoticeBytes = 1200;
    /// Time from the end of a window until its counts are complete at this entry. An endpoint that
    /// does not run a request refuses it within this time, so the correction is included.
    static constexpr milliseconds windowCloseDelay{1000};
    /// Time without a message from the holder after which it may have failed: two heartbeats were
    /// missed. The first successor then reads the rows, each further one \c rankDelay later.
    static constexpr milliseconds holderTimeout{2500};
    /// Value of holderTimeout for a process that has just started.
    static constexpr milliseconds startupHolderTimeout{1200};
    /// Difference between the timeouts of two successive successors.
    static constexpr milliseconds rankDelay{150};
    /// Value of holderTimeout for an entry that is not a successor and has unacknowledged counts.
    static constexpr milliseconds nonSuccessorTimeout{4000};
    /// Upper bound of the delay, different for each entry, that is added to nonSuccessorTimeout.
    static constexpr milliseconds nonSuccessorJitter{500};
    /// Bounds of the interval between two reads of the rows.
    static constexpr milliseconds minPollInterval{300};
    static constexpr milliseconds maxPollInterval{1500};
    /// Number of tokens skipped when the store came back from a copy: more than the acquisitions
    /// in the time that the copy is old.
    static constexpr std::uint64_t skippedTokens = 1000;
    /// Maximum number of counts that wait to be added to their windows. True time, which this
    /// needs, may be unknown for a long time.
    static constexpr std::size_t maxWaitingCounts = 10'000;

    /// \param metrics must outlive this object.
    usage_duty(Env env, usage_settings settings, metric_registry &metrics);

    /// Starts the periodic calls of tick().
    void start();

    /// Adds \p number to the requests of \p customer that endpoints began to run at \p at. A
    /// negative number corrects an earlier count.
    void count(std::string_view customer, time_point at, std::int64_t number);

    /// Sets the list of entries, from which the order of succession is computed.
    /// \param names names of all entries, including this one.
    void setEntries(std::vector<std::string> names);

    /// Handles a datagram from another entry.
    void onMessage(const usage_message &message);

    /// Releases the duty and does not acquire it again, because this process is about to end.
    void retire();

    /// Calls \p done once all counts are saved in the row and this entry is not the holder, or
    /// after \p longest.
    void finish(milliseconds longest, std::function<void()> done);

    bool isHolder() const { return m_holder && !m_holder->isOver(); }

private:
    using holder = usage_holder<Env>;

    void tick();
    /// Adds the waiting counts to their windows.
    void applyWaitingCounts(milliseconds trueTime);
    /// Seals a batch with the new counts, and logs the counts that were dropped as too old.
    void sealNextBatch(milliseconds trueTime);
    /// \returns the interval between two notices of this entry, see maxNoticesPerSecond.
    milliseconds noticeInterval() const;
    /// Sends all unacknowledged batches if resendDelay has passed, otherwise only the last one if
    /// \p isNew.
    void sendDueBatches(bool isNew);
    /// Sends the unacknowledged batches from index \p from on to the holder.
    void sendBatches(std::size_t from);
    /// \returns a notice with the unacknowledged batches from index \p from on.
    usage_notice makeNotice(std::size_t from) const;
    void onAck(const usage_ack &ack);
    void onHandover(const usage_handover &handover);
    bool isSuccessor() const { return m_rank < holder::maxSuccessors; }
    /// Reads the rows if the holder has been silent for too long.
    void checkHolder();
    void pollRows();
    void onRows(outcome<row_batch, row_failure> result, time_point askedAt);
    void onRow(usage_row row, store_version version, const row_batch &rows);
    /// \returns true when \p row may lack later writes, or be missing, since the store came back
    /// from a copy.
    bool mayBeFromCopy(const usage_row &row, const row_batch &rows) const;
    /// Makes \p row safe to continue from although later writes are lost: no token is used again,
    /// and no window is decided that a lost row may have decided.
    /// \returns the number of windows dropped.
    std::size_t discardLostTenure(usage_row &row, milliseconds trueTime);
    void acquire(usage_row row, store_version version, const row_batch &rows);
    /// Becomes the holder, with the lease and the ledger in \p row.
    void startTenure(const usage_row &row, store_version version, const row_batch &rows);
    /// Writes the unacknowledged batches to this entry's own row.
    void writeOwnRow();
    void removeOwnRow();
    void checkFinished(time_point latest, std::function<void()> done);
    usage_process process() const { return {m_settings.entry, m_life}; }
    time_point now() { return m_env.runtime().now(); }

    Env m_env;
    usage_settings m_settings;
    metric_registry &m_metrics;
    usage_meter m_meter;
    /// Identifies this process: true time when it was first known here; 0: not known yet.
    std::uint64_t m_life = 0;
    /// A count that is added to its window at the next tick(), or once true time is known.
    struct waiting_count
    {
        std::string customer;
        time_point at{};
        std::int64_t number = 0;
    };
    std::vector<waiting_count> m_waitingCounts;
    std::vector<std::string> m_others; ///< other entries, in the order of succession
    std::size_t m_rank = 0; ///< position of this entry in the order of succession
    std::shared_ptr<holder> m_holder; ///< null unless this entry has the duty
    std::string m_holderName; ///< last known holder; empty: none
    std::uint64_t m_token = 0; ///< highest fencing token known
    std::uint64_t m_era = 0; ///< highest era of the store known
    time_point m_eraSeenAt{}; ///< when it was first known
    store_time_bounds m_bounds;
    time_point m_holderHeardAt{}; ///< time of the last message from the holder
    time_point m_nextPollAt{};
    time_point m_nextNoticeAt{};
    time_point m_lastFullSendAt{}; ///< when all unacknowledged batches were last sent
    duration m_jitter{}; ///< added to nonSuccessorTimeout at this entry
    bool m_isStoreCallPending = false; ///< a read of the rows or an attempt to acquire the duty
    bool m_isRetired = false;
    bool m_hasOwnRow = false;
    bool m_isWritingOwnRow = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace laurelcroft

#include "laurelcroft/Usage/UsageDutyImpl.h"

#endif
