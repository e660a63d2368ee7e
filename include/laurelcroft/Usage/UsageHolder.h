//===-- Usage/UsageHolder.h - the entry that has the usage duty -*- C++ -*-===//
//
// Collects the counts of all entries, decides windows (makes their counts final) and reports them.
// A single write to the row renews the lease and saves counts and decisions. Only what such a write
// has confirmed is reported or acknowledged, so that any successor continues with the same counts.
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

/// Performs the duty during one tenure, from the acquisition of the lease until it ends.
template <usage_environment Env>
class usage_holder : public std::enable_shared_from_this<usage_holder<Env>>
{
public:
    /// Minimum interval between two writes. If all entries end at the same moment, the counts since
    /// the last write are lost: at most a twentieth of a window of 5 s.
    static constexpr milliseconds saveInterval{150};
    /// Delay before a failed write, or a report that was not accepted, is retried.
    static constexpr milliseconds retryDelay{300};
    /// Minimum remaining time of the lease when a report is sent, so that the report has been
    /// answered or has timed out before the lease ends.
    static constexpr milliseconds reportMargin = reportTimeout + milliseconds(200);
    /// Minimum time from the end of a window until it is decided. The counts of its last requests
    /// arrive within this time.
    static constexpr milliseconds settleTime{1500};
    /// Share of usage_settings::due for which a window waits for entries that do not send counts.
    static constexpr double silentEntryWaitShare = 0.6;
    /// Minimum time from the start of a tenure until a window is decided without the counts of some
    /// entries. The entries first resend all counts that are not saved in a row to a new holder.
    static constexpr milliseconds takeoverWait{800};
    /// Time before the end of the wait for silent entries at which their rows are read.
    static constexpr milliseconds rowReadLead{400};
    /// Number of successors, which receive every heartbeat. At each heartbeat, the same number of
    /// other entries receive one as well, in turn, so that new entries learn who the holder is.
    static constexpr std::size_t maxSuccessors = 16;
    static constexpr milliseconds heartbeatInterval{1000};
    /// Number of successors that are notified of a handover.
    static constexpr std::size_t maxHandoverRecipients = 3;

    /// \param row contents of the row when the duty was acquired.
    /// \param version version of that row.
    /// \param bounds bounds of the store's clock.
    /// \param onOwnAck receives the acknowledgements of this process's own batches.
    usage_holder(Env &env, const usage_settings &settings, metric_registry &metrics, usage_row row,
                 store_version version, store_time_bounds bounds,
                 std::function<void(const usage_ack &)> onOwnAck);

    /// Performs all actions that are due. Must be called several times per second.
    void tick();

    /// Adds the batches of \p notice to the ledger.
    void onNotice(const usage_notice &notice);

    /// \param others the other entries, in the order of succession.
    void setEntries(std::vector<std::string> others);

    /// Sends a heartbeat to all other entries.
    void announceHolder();

    /// Releases the duty as soon as no report is in flight.
    void releaseDuty();

    /// Ends the tenure because another entry has acquired the duty.
    void onTakenOver() { endTenure("another holder"); }

    /// Adds the batches that entries have written to rows of their own.
    void applyEntryRows(const row_batch &rows);

    const duty_lease &lease() const { return m_row.lease; }
    bool isOver() const { return m_isOver; }

private:
    /// \returns true if the confirmed lease certainly lasts for another \p margin.
    bool holdsLease(milliseconds margin);
    /// \returns false while the duty is being released and a report may still be in flight.
    bool isSaveAllowed();
    /// Ends the tenure after the duty was lost.
    void endTenure(std::string_view reason);
    /// Writes the row: renews the lease, or ends it if the duty is being released.
    void save();
    void onSaved(outcome<conditional_write, row_failure> result, const usage_row &saved,
                 time_point askedAt);
    void onConfirmed(const usage_row &saved, store_version version);
    /// Writes everything again on top of the row that the store has since it came back from a copy.
    /// \param decidedBefore the first window that is not decided in that row.
    void resumeInEra(std::uint64_t era, store_version version, window_number decidedBefore);
    void onConflict(const conditional_write &refused);
    void acknowledge(const usage_process &process, std::uint64_t number);
    void decideDueWindows();
    /// \returns true if \p window is complete, or the wait for the missing counts is over.
    bool mayDecide(window_number window, milliseconds trueTime);
    /// \returns the entries whose counts of \p window are missing and still waited for.
    std::vector<std::string> awaitedEntries(window_number window) const;
    void decideWindow(window_number window);
    /// Reads the rows of entries for the decision on \p window.
    void readEntryRows(window_number window);
    void reportNextWindow();
    void onReported(window_number window, bool isAccepted);
    void heartbeat();
    /// \returns a heartbeat: an acknowledgement that names no process.
    usage_ack makeHeartbeat() const { return {m_settings.entry, m_row.lease.token, 0, 0}; }
    time_point now() { return m_env.runtime().now(); }

    Env &m_env;
    const usage_settings &m_settings;
    metric_registry &m_metrics;
    std::function<void(const usage_ack &)> m_onOwnAck;
    usage_row m_row;
    store_version m_version; ///< version of the row
    std::uint64_t m_era; ///< of the store, as last known
    store_time_bounds m_bounds;
    milliseconds m_confirmedUntil; ///< end of the lease that the last successful write confirmed
    std::map<usage_process, usage_progress> m_savedProgress; ///< as confirmed by the last write
    window_number m_savedDecidedBefore; ///< as confirmed by the last write
    std::vector<std::string> m_others; ///< other entries, in the order of succession
    std::size_t m_nextHeartbeatIndex = 0; ///< next non-successor that receives a heartbeat
    /// For each other entry, the first undecided window when the entry was listed.
    std::map<std::string, window_number> m_knownSince;
    bool m_isReleasing = false; ///< the duty is being released
    window_number m_rowsReadFor = 0; ///< window for which the rows of entries were last read
    bool m_isReadingRows = false;
    bool m_isSaving = false;
    bool m_isReporting = false;
    bool m_hasUnsavedChanges = true; ///< since the last write began
    bool m_isOver = false;
    time_point m_gainedAt;
    time_point m_savedAt{};
    time_point m_nextSaveAt{};
    time_point m_nextReportAt{};
    /// By then, a report that was not accepted has either arrived or will never arrive.
    time_point m_reportSettledAt{};
    time_point m_nextHeartbeatAt{};
};

} // namespace laurelcroft

#include "laurelcroft/Usage/UsageHolderImpl.h"

#endif
