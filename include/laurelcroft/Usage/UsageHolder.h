//===-- Usage/UsageHolder.h - the entry that has the usage duty --*- C++ -*-===//
//
// Collects the counts of all entries in a row, decides windows and tells them. One write renews the
// lease, saves the counts and makes decisions final; only what such a write has confirmed is told
// or acknowledged. So any successor goes on with the same counts.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_USAGE_USAGEHOLDER_H
#define LAURELCROFT_USAGE_USAGEHOLDER_H

#include "laurelcroft/Platform/StoreTimeBounds.h"
#include "laurelcroft/Support/Log.h"
#include "laurelcroft/Support/Metrics.h"
#include "laurelcroft/Usage/UsageEnvironment.h"
#include "laurelcroft/Usage/UsageLedger.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// One tenure of the duty, from a lease that was gained until it is over.
template <usage_environment Env>
class usage_holder : public std::enable_shared_from_this<usage_holder<Env>>
{
public:
    /// From one write to the next while counts come in. When all entries end at the same moment,
    /// what was counted since the last write is lost: a twentieth of a window of 5 s at most.
    static constexpr milliseconds saveInterval{150};
    /// A write that is not answered, and a report that is not taken, are tried again after this.
    static constexpr milliseconds retryDelay{300};
    /// How much of the lease must be left when a report is sent: it is over, or given up, by then.
    static constexpr milliseconds reportMargin = reportTimeout + milliseconds(200);
    /// From a window's end until it is decided, at least: counts of its last requests come in.
    static constexpr milliseconds settleTime{1500};
    /// The part of the time until a window is due for which it waits for entries that are silent.
    static constexpr double silentEntryWaitShare = 0.6;
    /// From the beginning of a tenure until it decides what others are silent of: they tell a new
    /// holder all that no row has yet.
    static constexpr milliseconds takeoverWait{800};
    /// Before the patience ends: silent entries' rows are read.
    static constexpr milliseconds rowReadLead{400};
    /// Entries that would follow, and hear at each heartbeat that the holder lives. As many others
    /// hear it by turns, so that a new one finds the holder.
    static constexpr std::size_t maxSuccessors = 16;
    static constexpr milliseconds heartbeatInterval{1000};
    /// Of the successors, how many hear of a handover.
    static constexpr std::size_t maxHandoverRecipients = 3;

    /// \param row that was written, as \p version; \param bounds of the store's clock.
    /// \param onOwnAck takes what this process's own counts are told.
    usage_holder(Env &env, const usage_settings &settings, metric_registry &metrics, usage_row row,
                 std::uint64_t version, store_time_bounds bounds,
                 std::function<void(const usage_ack &)> onOwnAck);

    /// Does what is due; to be called some times a second.
    void tick();

    void onNotice(const usage_notice &notice);

    /// \param others entries that may follow, in the order in which they do.
    void setEntries(std::vector<std::string> others);

    /// Tells all other entries who has the duty.
    void announceHolder();

    /// Gives the duty back, once no report is on its way.
    void releaseDuty();

    /// Another entry says that it has the duty.
    void onTakenOver() { endTenure("another holder"); }

    /// Counts what entries have told in rows of their own.
    void applyEntryRows(const row_batch &rows);

    const duty_lease &lease() const { return m_row.lease; }
    bool isOver() const { return m_isOver; }

private:
    bool holdsLease(milliseconds margin);
    bool isSaveAllowed();
    void endTenure(std::string_view why);
    void save();
    void onSaved(outcome<conditional_write, row_failure> result, const usage_row &saved,
                 time_point askedAt);
    void onConfirmed(const usage_row &saved, std::uint64_t version);
    void onConflict(const conditional_write &refused);
    void acknowledge(const usage_process &process, std::uint64_t number);
    void decideDueWindows();
    bool mayDecide(window_number window, milliseconds trueTime);
    /// \returns entries whose counts of \p window are waited for.
    std::vector<std::string> awaitedEntries(window_number window) const;
    void decideWindow(window_number window);
    void readEntryRows(window_number window);
    void reportNextWindow();
    void onReported(window_number window, bool isTold);
    void heartbeat();
    /// \returns what tells that this holder lives.
    usage_ack makeHeartbeat() const { return {m_settings.entry, m_row.lease.token, 0, 0}; }
    time_point now() { return m_env.runtime().now(); }

    Env &m_env;
    const usage_settings &m_settings;
    metric_registry &m_metrics;
    std::function<void(const usage_ack &)> m_onOwnAck;
    usage_row m_row;
    std::uint64_t m_version; ///< of the row
    store_time_bounds m_bounds;
    milliseconds m_confirmedUntil; ///< of the last confirmed lease
    std::map<usage_process, usage_progress> m_savedProgress;
    window_number m_savedDecidedBefore;
    std::vector<std::string> m_others;
    std::size_t m_nextHeartbeatIndex = 0; ///< whose turn it is to hear of the holder
    std::map<std::string, window_number> m_knownSince; ///< the others, by name
    bool m_isReleasing = false; ///< the duty is being given back
    window_number m_rowsReadFor = 0;
    bool m_isReadingRows = false;
    bool m_isSaving = false;
    bool m_isReporting = false;
    bool m_hasUnsavedChanges = true; ///< since the last write was begun
    bool m_isOver = false;
    time_point m_gainedAt;
    time_point m_savedAt{};
    time_point m_nextSaveAt{};
    time_point m_nextReportAt{};
    time_point m_reportSettledAt{}; ///< by then one that was not taken has come or will never come
    time_point m_nextHeartbeatAt{};
};

} // namespace laurelcroft

#include "laurelcroft/Usage/UsageHolderImpl.h"

#endif
