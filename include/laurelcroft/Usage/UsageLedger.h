//===-- Usage/UsageLedger.h - counts of all entries --------------*- C++ -*-===//
//
// What the holder of the usage duty knows: counts of open windows, windows that are decided and not
// told yet, and up to which batch of each process it has counted. It stands in one row with the
// lease, so that whoever has the lease has all of it, and a decided window is never decided anew.
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

/// A process that tells its counts: name of its entry, and its life.
using usage_process = std::pair<std::string, std::uint64_t>;

/// How far a process has told its counts.
struct usage_progress
{
    std::uint64_t lastCounted = 0; ///< number of the last batch
    window_number closedBefore = 0;

    bool operator==(const usage_progress &) const = default;
};

/// A window whose counts are final.
struct decided_window
{
    window_number window = 0;
    customer_counts counts;
};

/// Counts of all entries.
class usage_ledger
{
public:
    /// A process that is this many windows behind is not waited for any more: it has ended, or it
    /// will be back too late for all that it had.
    static constexpr window_number maxAwaitedLag = 2;
    /// One that is this many behind is forgotten.
    static constexpr window_number maxTrackedLag = 4;

    /// \param first window that is decided.
    explicit usage_ledger(window_number first = 0)
        : m_decidedBefore(first)
    {
    }

    /// Counts the batches of \p notice that follow those counted before.
    /// \returns requests of windows that are decided already; they are not counted.
    std::int64_t applyNotice(const usage_notice &notice);

    /// \returns how far \p process has told its counts; nothing if it never has.
    std::optional<usage_progress> progressOf(const usage_process &process) const;
    const std::map<usage_process, usage_progress> &progress() const { return m_progress; }

    /// \returns the first window that is not decided.
    window_number decidedBefore() const { return m_decidedBefore; }

    /// \returns entries of \p names and of those heard of whose counts of \p window may lack some
    /// that are worth waiting for.
    std::vector<std::string> incompleteEntries(window_number window,
                                               std::span<const std::string> names) const;

    /// Makes the counts of the first window that is not decided final.
    void decideNext();

    /// \returns the oldest decided window that was not told.
    std::optional<decided_window> oldestUnreported() const;
    void markReported(window_number window) { m_decided.erase(window); }

    /// Drops untold windows before \p window. \returns how many.
    std::size_t dropBefore(window_number window);

    /// \returns counts of a window that is not decided.
    customer_counts openCounts(window_number window) const;

    bool operator==(const usage_ledger &) const = default;

private:
    friend std::string encodeUsageRow(const struct usage_row &row);
    friend outcome<struct usage_row, std::string> decodeUsageRow(const std::string &value);

    std::int64_t applyBatch(const usage_batch &batch);
    void removeSilentProcesses();

    window_number m_decidedBefore;
    window_counts m_open;
    window_counts m_decided; ///< and not told
    std::map<usage_process, usage_progress> m_progress;
};

/// The row of the usage duty.
struct usage_row
{
    duty_lease lease;
    std::uint64_t save = 0; ///< number of the write, for whoever looks at the row
    usage_ledger ledger;
};

/// The table of the duty's rows, which nobody follows: they change many times a second.
inline constexpr std::string_view usageTable = "laurelcroft_usage";
/// Key of the row with lease and ledger.
inline constexpr std::string_view usageKey = "duty";

/// Key of the row in which an entry tells its counts while it can't reach the holder.
std::string usageEntryKey(std::string_view entry);
/// \returns true for such a key.
bool isUsageEntryKey(std::string_view key);

std::string encodeUsageRow(const usage_row &row);
outcome<usage_row, std::string> decodeUsageRow(const std::string &value);

} // namespace laurelcroft

#endif
