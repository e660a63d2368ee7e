//===-- RolloutTracker.cpp - versions of one service ------------------------===//
//
// Evidence is this entry's alone; the first entry that is sure moves the shared row.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RolloutTracker.h"

#include <algorithm>

using namespace laurelcroft;

namespace {

/// Drop of the good share that makes a version bad, and the probability of stopping a good
/// one. A wrong stop costs one roll-out, a late one many bad answers.
constexpr rollout_guard guardBounds{0.08, 0.004, 0};
/// An answer counts as bad when its first part takes this many times the settled mean.
constexpr double slowFactor = 3.0;
/// Answers of a kind from which its mean is known.
constexpr unsigned answersForMean = 10;
/// Weight of one answer in the running mean.
constexpr double meanWeight = 0.05;

} // namespace

void rollout_tracker::setOrder(const rollout_order &order)
{
    const bool isNew = !m_order || m_order->orderedAt != order.orderedAt;
    m_order = order;
    if (isNew)
        m_guard.emplace(guardBounds);
}

void rollout_tracker::setRow(const rollout_row &row)
{
    const bool older = m_row && m_row->orderedAt > row.orderedAt;
    if (!older)
        m_row = row;
}

bool rollout_tracker::wantsTarget(std::uint64_t session) const
{
    return isCurrent() && startsOnTarget(m_row->stage, m_row->share, session);
}

void rollout_tracker::arrived(time_point now)
{
    m_arrivals.push_back(now);
    while (now - m_arrivals.front() > seconds(1))
        m_arrivals.pop_front();
}

std::string_view rollout_tracker::settledVersion(const std::vector<endpoint_ptr> &endpoints)
{
    std::map<std::string_view, unsigned> counts;
    for (const endpoint_ptr &endpoint : endpoints)
        ++counts[endpoint->record().softwareVersion];
    if (counts.empty() || counts.count(m_settled) != 0)
        return m_settled;
    // Nothing of the version in force is left: the most frequent one takes its place.
    const auto most = std::max_element(counts.begin(), counts.end(), [](const auto &a, const auto &b) {
        return a.second < b.second;
    });
    m_settled = most->first;
    return m_settled;
}

std::vector<endpoint_ptr> rollout_tracker::eligible(const std::vector<endpoint_ptr> &endpoints,
                                                    std::uint64_t session)
{
    std::vector<endpoint_ptr> onTarget;
    std::vector<endpoint_ptr> onOld;
    if (!m_order) {
        const std::string_view settled = settledVersion(endpoints);
        for (const endpoint_ptr &endpoint : endpoints) {
            if (endpoint->record().softwareVersion == settled)
                onOld.push_back(endpoint);
        }
        return onOld;
    }
    for (const endpoint_ptr &endpoint : endpoints) {
        const bool isTarget = endpoint->record().softwareVersion == m_order->targetVersion;
        (isTarget ? onTarget : onOld).push_back(endpoint);
    }
    if (!wantsTarget(session))
        return onOld;
    return onTarget.empty() ? onOld : onTarget;
}

bool rollout_tracker::isSlow(std::string_view kind, duration wait, bool onTarget)
{
    const double value = std::chrono::duration<double, std::milli>(wait).count();
    auto it = m_waits.find(kind);
    if (it == m_waits.end())
        it = m_waits.emplace(std::string(kind), wait_mean()).first;
    wait_mean &mean = it->second;
    const bool slow = mean.count >= answersForMean && value > slowFactor * mean.milliseconds;
    if (!onTarget) {
        ++mean.count;
        const double weight = std::max(meanWeight, 1.0 / mean.count);
        mean.milliseconds += weight * (value - mean.milliseconds);
    }
    return slow;
}

void rollout_tracker::observe(std::string_view version, std::string_view kind,
                              std::optional<duration> wait)
{
    const bool onTarget = m_order && version == m_order->targetVersion;
    const bool bad = !wait || isSlow(kind, *wait, onTarget);
    if (!m_guard)
        return;
    if (onTarget)
        m_guard->addRollout(bad ? 0 : 1, bad ? 1 : 0);
    else
        m_guard->addSettled(bad ? 0 : 1, bad ? 1 : 0);
}

std::optional<rollout_row>
rollout_tracker::nextRow(milliseconds storeNow, const std::vector<endpoint_ptr> &endpoints,
                         std::size_t entries) const
{
    if (!m_order)
        return std::nullopt;
    rollout_view view;
    view.now = storeNow;
    view.share = trialShare(m_exposure, static_cast<double>(m_arrivals.size() * entries));
    view.foundBad = m_guard && m_guard->isStopped();
    for (const endpoint_ptr &endpoint : endpoints) {
        const bool isTarget = endpoint->record().softwareVersion == m_order->targetVersion;
        if (isTarget)
            view.targetListed = true;
        else
            view.oldRunning += endpoint->running();
    }
    return nextRolloutRow(*m_order, m_row, view);
}
