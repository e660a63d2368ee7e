//===-- UsageMeter.cpp - unacknowledged counts of one process -------------===//
//
// A batch never changes once it is sealed, because the holder may have received it already.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Usage/UsageMeter.h"

#include <utility>

using namespace laurelcroft;

void usage_meter::count(std::string_view customer, window_number window, std::int64_t number)
{
    customer_counts &counts = m_pending[window];
    const auto it = counts.find(customer);
    if (it == counts.end())
        counts.emplace(customer, number);
    else
        it->second += number;
}

bool usage_meter::sealBatch(window_number closedBefore)
{
    dropBefore(closedBefore > maxWindows ? closedBefore - maxWindows : 0);
    const bool hasChanges = !m_pending.empty() || closedBefore > m_closedBefore;
    if (!hasChanges || m_unacknowledged.size() >= maxUnacknowledged)
        return false;
    usage_batch batch;
    batch.number = ++m_lastBatchNumber;
    if (fill(batch))
        m_closedBefore = closedBefore;
    batch.closedBefore = m_closedBefore;
    m_unacknowledged.push_back(std::move(batch));
    return true;
}

bool usage_meter::fill(usage_batch &batch)
{
    for (std::size_t remaining = maxCountsPerBatch; remaining > 0 && !m_pending.empty();
         --remaining) {
        const auto window = m_pending.begin();
        const auto count = window->second.begin();
        batch.counts[window->first].insert(window->second.extract(count));
        if (window->second.empty())
            m_pending.erase(window);
    }
    return m_pending.empty();
}

void usage_meter::acknowledge(std::uint64_t number)
{
    while (!m_unacknowledged.empty() && m_unacknowledged.front().number <= number) {
        m_lastAcknowledged = m_unacknowledged.front().number;
        m_unacknowledged.pop_front();
    }
}

void usage_meter::dropBefore(window_number window)
{
    while (!m_pending.empty() && m_pending.begin()->first < window) {
        for (const auto &[customer, count] : m_pending.begin()->second)
            m_droppedCount += count;
        m_pending.erase(m_pending.begin());
    }
}

std::int64_t usage_meter::takeDroppedCount()
{
    return std::exchange(m_droppedCount, 0);
}
