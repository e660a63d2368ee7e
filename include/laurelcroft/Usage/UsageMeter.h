//===-- Usage/UsageMeter.h - unacknowledged request counts ------*- C++ -*-===//
//
// Counts are sent to the holder of the usage duty in numbered batches. A batch is kept until the
// holder has saved it in its row, so no counts are lost when the holder fails. The numbers let the
// holder count a batch once even if it arrives twice.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_USAGE_USAGEMETER_H
#define LAURELCROFT_USAGE_USAGEMETER_H

#include "laurelcroft/Usage/UsageCounts.h"

#include <cstddef>
#include <deque>
#include <string_view>

namespace laurelcroft {

/// The counts of one process that the holder has not acknowledged yet.
class usage_meter
{
public:
    /// Maximum number of unacknowledged batches. Counts that are added while this limit is reached
    /// go into the next batch.
    static constexpr std::size_t maxUnacknowledged = 8;
    /// Maximum number of counts in a batch, so that a batch fits into a datagram.
    static constexpr std::size_t maxCountsPerBatch = 48;
    /// Number of windows before the last closed one for which unsent counts are kept. Older windows
    /// may no longer be reported, so their counts are dropped.
    static constexpr window_number maxWindows = 12;

    /// Adds \p number to the requests of \p customer that began to run in \p window.
    void count(std::string_view customer, window_number window, std::int64_t number);

    /// Moves pending counts into a new batch, which does not change afterwards.
    /// \param closedBefore this process adds no more counts to windows before this one.
    /// \returns true if a batch was created.
    bool sealBatch(window_number closedBefore);

    /// Removes the batches up to \p number, which the holder has saved in its row.
    void acknowledge(std::uint64_t number);

    const std::deque<usage_batch> &unacknowledged() const { return m_unacknowledged; }

    /// \returns the number of the last acknowledged batch; 0 if there is none.
    std::uint64_t lastAcknowledged() const { return m_lastAcknowledged; }

    /// \returns true if all counts are in acknowledged batches.
    bool isFullyAcknowledged() const { return m_pending.empty() && m_unacknowledged.empty(); }

    /// \returns the number of requests dropped since the last call because their windows were too
    /// old.
    std::int64_t takeDroppedCount();

private:
    /// Drops the pending counts of windows before \p window.
    void dropBefore(window_number window);
    /// Moves up to maxCountsPerBatch counts from m_pending to \p batch.
    /// \returns true if m_pending is empty afterwards.
    bool fill(usage_batch &batch);

    window_counts m_pending; ///< counts that are not in a batch yet
    std::deque<usage_batch> m_unacknowledged;
    std::uint64_t m_lastBatchNumber = 0;
    std::uint64_t m_lastAcknowledged = 0;
    window_number m_closedBefore = 0; ///< value in the last batch
    std::int64_t m_droppedCount = 0; ///< requests, since the last takeDroppedCount()
};

} // namespace laurelcroft

#endif
