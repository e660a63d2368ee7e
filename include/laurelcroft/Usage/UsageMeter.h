//===-- Usage/UsageMeter.h - what one entry has counted ----------*- C++ -*-===//
//
// Counts go to the holder in numbered batches. One is kept until the holder has it in a row, so
// that a holder's end loses nothing, and a batch that comes twice is counted once.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_USAGE_USAGEMETER_H
#define LAURELCROFT_USAGE_USAGEMETER_H

#include "laurelcroft/Usage/UsageCounts.h"

#include <cstddef>
#include <deque>
#include <string_view>

namespace laurelcroft {

/// Counts of one process that are not acknowledged yet.
class usage_meter
{
public:
    /// Batches that wait at most; what is counted meanwhile goes into the next one.
    static constexpr std::size_t maxUnacknowledged = 8;
    /// Counts of a batch at most: it fits into a datagram.
    static constexpr std::size_t maxCountsPerBatch = 48;
    /// Windows for which counts are kept: by then nobody may tell them any more.
    static constexpr window_number maxWindows = 12;

    /// Adds \p number to the requests of \p customer that began to run in \p window.
    void count(std::string_view customer, window_number window, std::int64_t number);

    /// Puts what is new into a batch. \param closedBefore windows before it are over here.
    /// \returns true when there is a new batch.
    bool sealBatch(window_number closedBefore);

    /// Batches up to \p number are in a row.
    void acknowledge(std::uint64_t number);

    const std::deque<usage_batch> &unacknowledged() const { return m_unacknowledged; }

    /// \returns the number of the last batch that is in a row; 0: none.
    std::uint64_t lastAcknowledged() const { return m_lastAcknowledged; }

    /// \returns true when all that was counted is in a row.
    bool isFullyAcknowledged() const { return m_pending.empty() && m_unacknowledged.empty(); }

    /// \returns requests that were given up since the last call, as too old to be told.
    std::int64_t takeDroppedCount();

private:
    void dropBefore(window_number window);
    /// Moves counts of \c m_pending to \p batch. \returns true when none is left.
    bool fill(usage_batch &batch);

    window_counts m_pending;
    std::deque<usage_batch> m_unacknowledged;
    std::uint64_t m_lastBatchNumber = 0;
    std::uint64_t m_lastAcknowledged = 0;
    window_number m_closedBefore = 0; ///< as told last
    std::int64_t m_droppedCount = 0;
};

} // namespace laurelcroft

#endif
