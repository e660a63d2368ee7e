//===-- Usage/UsageLedger.h - combined counts of all entries ----*- C++ -*-===//
//
// The state of the holder of the usage duty: the counts of open windows, the decided windows that
// are not reported yet, and the last batch counted from each process. It is stored in the same row
// as the lease, so that the entry with the lease always has the complete state and never decides a
// window twice.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_USAGE_USAGELEDGER_H
#define LAURELCROFT_USAGE_USAGELEDGER_H

#include "laurelcroft/Support/Outcome.h"
#include "laurelcroft/Usage/DutyLease.h"
#include "laurelcroft/Usage/UsageCounts.h"
#include "laurelcroft/Usage/UsageNotice.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace laurelcroft {

/// A process that sends its counts: the name of its entry and its life (see usage_notice).
using usage_process = std::pair<std::string, std::uint64_t>;

/// The part of a process's counts that has been received.
struct usage_progress
{
    std::uint64_t lastCounted = 0; ///< number of the last batch counted
    window_number closedBefore = 0; ///< all counts of windows before it have been received

    bool operator==(const usage_progress &) const = default;
};

/// A window whose counts are final and will not change any more.
struct decided_window
{
    window_number window = 0;
    customer_counts counts;
};

/// The counts of all entries: open windows, decided windows, and the progress of each process.
class usage_ledger
{
public:
    /// Maximum number of windows that a process may lag behind to be waited for. A process that
    /// lags further has ended, or it will return too late for its counts to be reported.
    static constexpr window_number maxAwaitedLag = 2;
    /// Maximum number of windows that a process may lag behind before its progress is removed.
    static constexpr window_number maxTrackedLag = 4;

    /// \param first the first window to be decided.
    explicit usage_ledger(window_number first = 0)
        : m_decidedBefore(first)
    {
    }

    /// Adds the batches of \p notice that directly follow the last batch counted from its process.
    /// \returns the number of requests in windows that are already decided; they are not counted.
    std::int64_t applyNotice(const usage_notice &notice);

    /// \returns the progress of \p process; nothing if the process is not known.
    std::optional<usage_progress> progressOf(const usage_process &process) const;
    const std::map<usage_process, usage_progress> &progress() const { return m_progress; }

    /// \returns the first window that is not decided yet.
    window_number decidedBefore() const { return m_decidedBefore; }

    /// \returns the entries whose counts of \p window may be incomplete and should be waited for,
    /// among \p names and the entries that have sent counts.
    std::vector<std::string> incompleteEntries(window_number window,
                                               std::span<const std::string> names) const;

    /// Makes the counts of the first window that is not decided final.
    void decideNext();

    /// \returns the oldest decided window that is not reported yet.
    std::optional<decided_window> oldestUnreported() const;
    /// Removes the decided window \p window after it was reported.
    void markReported(window_number window) { m_decided.erase(window); }

    /// Drops all windows before \p window that are not reported, whether they are decided or open.
    /// \returns the number of windows dropped.
    std::size_t dropBefore(window_number window);

    /// Drops the windows before \p window that are not decided.
    /// \returns the number of windows dropped.
    std::size_t dropUndecidedBefore(window_number window);

    /// \returns the counts received so far for \p window, which is not decided yet.
    customer_counts openCounts(window_number window) const;

    bool operator==(const usage_ledger &) const = default;

private:
    friend std::string encodeUsageRow(const struct usage_row &row);
    friend outcome<struct usage_row, std::string> decodeUsageRow(const std::string &value);

    /// Adds the counts of \p batch to the open windows.
    /// \returns the number of requests in windows that are already decided.
    std::int64_t applyBatch(const usage_batch &batch);
    /// Removes the processes that lag behind by more than maxTrackedLag windows.
    void removeSilentProcesses();

    window_number m_decidedBefore;
    window_counts m_open; ///< windows that are not decided yet
    window_counts m_decided; ///< windows that are decided and not reported yet
    std::map<usage_process, usage_progress> m_progress;
};

/// The contents of the row with the lease and the ledger.
struct usage_row
{
    /// Era of the store in which it was written; nothing in rows of earlier releases.
    std::optional<std::uint64_t> era;
    duty_lease lease;
    std::uint64_t save = 0; ///< number of the write, for operators who read the row
    usage_ledger ledger;
};

/// Table of the rows of the usage duty. Processes do not subscribe to it, because its rows change
/// many times a second.
inline constexpr std::string_view usageTable = "laurelcroft_usage";
/// Key of the row with lease and ledger.
inline constexpr std::string_view usageKey = "duty";

/// \returns the key of the row to which \p entry writes its counts while it can't reach the holder.
std::string usageEntryKey(std::string_view entry);
/// \returns true if \p key is such a key.
bool isUsageEntryKey(std::string_view key);

/// Encodes \p row as JSON.
std::string encodeUsageRow(const usage_row &row);
/// \returns the decoded row, or the description of the error.
outcome<usage_row, std::string> decodeUsageRow(const std::string &value);

} // namespace laurelcroft

#endif
