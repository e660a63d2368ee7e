//===-- Usage/UsageDuty.h - one entry's part in the usage duty ---*- C++ -*-===//
//
// Each entry counts, tells the holder its counts, and stands by to follow a holder that is silent.
// Where the holder can't be reached, counts go to it through a row.
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

/// The usage duty at one entry.
template <usage_environment Env>
class usage_duty
{
public:
    /// How often anything is looked at, and counts are told.
    static constexpr milliseconds tickInterval{50};
    /// Notices a second that a holder gets from all entries together; where they are many, each
    /// tells its counts less often.
    static constexpr double maxNoticesPerSecond = 400;
    /// Batches that no word has come of are told again after this.
    static constexpr milliseconds resendDelay{400};
    /// Bytes of a datagram that batches may fill.
    static constexpr std::size_t maxNoticeBytes = 1200;
    /// From a window's end until its counts are complete here: by then an endpoint has refused what
    /// it does not run.
    static constexpr milliseconds windowCloseDelay{1000};
    /// A holder that was not heard for this long may be gone: two heartbeats have not come. The
    /// first in the order looks then, each further one \c rankDelay later.
    static constexpr milliseconds holderTimeout{2500};
    /// The same for a process that has just started.
    static constexpr milliseconds startupHolderTimeout{1200};
    static constexpr milliseconds rankDelay{150};
    /// The same for an entry that is not among the successors and has counts to tell.
    static constexpr milliseconds nonSuccessorTimeout{4000};
    static constexpr milliseconds nonSuccessorJitter{500};
    /// From one look at the rows to the next.
    static constexpr milliseconds minPollInterval{300};
    static constexpr milliseconds maxPollInterval{1500};
    /// Counts that wait at most: true time may not be known for long.
    static constexpr std::size_t maxWaitingCounts = 10'000;

    /// \param metrics outlives this.
    usage_duty(Env env, usage_settings settings, metric_registry &metrics);

    void start();

    /// Adds \p number to the requests of \p customer that endpoints began to run at \p at; a
    /// negative one takes back what was counted there.
    void count(std::string_view customer, time_point at, std::int64_t number);

    /// \param names of all entries.
    void setEntries(std::vector<std::string> names);

    /// Takes a datagram of another entry.
    void onMessage(const usage_message &message);

    /// This process will end: the duty is given back, and not taken again.
    void retire();

    /// Calls \p done when all counts are in a row, or after \p longest.
    void finish(milliseconds longest, std::function<void()> done);

    bool isHolder() const { return m_holder && !m_holder->isOver(); }

private:
    using holder = usage_holder<Env>;

    void tick();
    void applyWaitingCounts(milliseconds trueTime);
    void sealNextBatch(milliseconds trueTime);
    milliseconds noticeInterval() const;
    void sendDueBatches(bool isNew);
    void sendBatches(std::size_t from);
    usage_notice makeNotice(std::size_t from) const;
    void onAck(const usage_ack &ack);
    void onHandover(const usage_handover &handover);
    bool isSuccessor() const { return m_rank < holder::maxSuccessors; }
    void checkHolder();
    void pollRows();
    void onRows(outcome<row_batch, row_failure> result, time_point askedAt);
    void onRow(usage_row row, std::uint64_t version, const row_batch &rows);
    void acquire(usage_row row, std::uint64_t version, const row_batch &rows);
    void startTenure(const usage_row &row, std::uint64_t version, const row_batch &rows);
    void writeOwnRow();
    void removeOwnRow();
    void checkFinished(time_point latest, std::function<void()> done);
    usage_process process() const { return {m_settings.entry, m_life}; }
    time_point now() { return m_env.runtime().now(); }

    Env m_env;
    usage_settings m_settings;
    metric_registry &m_metrics;
    usage_meter m_meter;
    std::uint64_t m_life = 0; ///< true time of this process's first count; 0: not known yet
    /// A count that goes into its window at the next look, or once true time is known.
    struct waiting_count
    {
        std::string customer;
        time_point at{};
        std::int64_t number = 0;
    };
    std::vector<waiting_count> m_waitingCounts;
    std::vector<std::string> m_others; ///< in the order in which they follow a holder
    std::size_t m_rank = 0; ///< of this entry in that order
    std::shared_ptr<holder> m_holder; ///< while this entry has the duty
    std::string m_holderName; ///< as known here
    std::uint64_t m_token = 0;
    store_time_bounds m_bounds;
    time_point m_holderHeardAt{};
    time_point m_nextPollAt{};
    time_point m_nextNoticeAt{};
    time_point m_lastFullSendAt{};
    duration m_jitter{}; ///< this entry's part of nonSuccessorJitter
    bool m_isStoreCallPending = false;
    bool m_isRetired = false;
    bool m_hasOwnRow = false;
    bool m_isWritingOwnRow = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace laurelcroft

#include "laurelcroft/Usage/UsageDutyImpl.h"

#endif
