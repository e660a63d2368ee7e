//===-- RolloutTracker.cpp - versions of one service ----------------------===//
//
// The row that all entries share decides which version a request gets. The first entry with enough
// evidence changes the row.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/RolloutTracker.h"

#include "laurelcroft/Support/Crypto.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

using namespace laurelcroft;

std::string_view laurelcroft::textOf(version_reason reason)
{
    switch (reason) {
    case version_reason::single:
        return "single";
    case version_reason::settled:
        return "settled";
    case version_reason::stage:
        return "stage";
    case version_reason::stageUnknown:
        return "stage_unknown";
    case version_reason::foundBadHere:
        return "found_bad_here";
    case version_reason::noTarget:
        return "no_target";
    case version_reason::fallback:
        return "fallback";
    case version_reason::begunStream:
        return "begun_stream";
    }
    return "unknown";
}

void rollout_tracker::setOrder(const rollout_order &order)
{
    const bool isNew = !m_order || m_order->orderedAt != order.orderedAt;
    const bool isWrittenAgain = isNew && m_order && m_order->targetVersion == order.targetVersion
            && m_order->orderedAt.era < order.orderedAt.era;
    if (isNew && !isWrittenAgain)
        noteCompletion();
    m_order = order;
    if (isWrittenAgain)
        m_evaluator.rename(order.orderedAt);
    if (!isNew || isWrittenAgain)
        return;
    m_foundBadAt.reset();
    m_evaluator.begin(order.orderedAt);
}

void rollout_tracker::clearOrder()
{
    noteCompletion();
    m_evaluator.end();
    m_order.reset();
}

void rollout_tracker::noteCompletion()
{
    if (isCurrent() && m_row->stage == rollout_stage::completed)
        m_settled = m_order->targetVersion;
}

/// \returns true if both rows are of one order, which may have been written again in a later era.
static bool isSameRollout(const rollout_row &one, const rollout_row &other)
{
    return one.targetVersion == other.targetVersion
            && (one.orderedAt == other.orderedAt || one.orderedAt.era != other.orderedAt.era);
}

bool rollout_tracker::setRow(const rollout_row &row, time_point begin)
{
    if (m_row == row) {
        m_isRowLost = false;
        return false;
    }
    // Only a copy has an earlier stage of the same roll-out.
    const bool isEarlier = m_row && !isFinal(row.stage) && row.stage < m_row->stage;
    if (isEarlier && isSameRollout(*m_row, row)) {
        m_isRowLost = true;
        return false;
    }
    if (m_row && m_row->orderedAt > row.orderedAt)
        return false;
    m_isRowLost = false;
    m_row = row;
    m_stageBegin = begin;
    return true;
}

bool rollout_tracker::isCurrent() const
{
    if (!m_order || !m_row)
        return false;
    // Until the first row of a rewritten order the stage of the previous row stays in force.
    // Otherwise sessions would return to the old version in between.
    const bool goesOn = m_row->targetVersion == m_order->targetVersion
            && m_row->stage != rollout_stage::reverted;
    return isOfOrder(*m_row, *m_order) || goesOn;
}

bool rollout_tracker::isOver() const
{
    return isCurrent() && isFinal(m_row->stage) && !m_isRowLost;
}

double rollout_tracker::shareAt(time_point now) const
{
    return shareInForce(*m_row, now >= m_stageBegin);
}

bool rollout_tracker::isForTarget(const session_request &request) const
{
    return isCurrent() && isInShare(shareAt(request.arrivedAt), request.session);
}

bool rollout_tracker::revertsLocally(time_point now)
{
    if (m_row->stage == rollout_stage::completed || !m_evaluator.isFoundBad())
        return false;
    // While the store is unavailable the reverted row may take long to arrive: two versions within
    // a session are then better than a bad version.
    if (!m_foundBadAt)
        m_foundBadAt = now;
    return now - *m_foundBadAt >= localRevertDelay;
}

void rollout_tracker::observe(std::string_view version, std::string_view route,
                              std::string_view model, std::optional<answer_timing> timing,
                              time_point now)
{
    m_evaluator.observe(isTarget(version), route, model, timing, now);
}

void rollout_tracker::observeSilence(std::string_view version, std::string_view route,
                                     time_point now)
{
    m_evaluator.observeSilence(isTarget(version), route, now);
}

void rollout_tracker::noteArrival(time_point now)
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
    // No endpoint has the version in force any more: the most frequent version replaces it.
    const auto most
            = std::max_element(counts.begin(), counts.end(),
                               [](const auto &a, const auto &b) { return a.second < b.second; });
    m_settled = most->first;
    return m_settled;
}

bool rollout_tracker::mayUseAll(const std::string *version)
{
    if (m_order || !version)
        return false;
    m_settled = *version;
    return true;
}

std::string_view rollout_tracker::stageName() const
{
    return isCurrent() ? textOf(m_row->stage) : std::string_view();
}

std::vector<endpoint_ptr>
rollout_tracker::endpointsOfTarget(const std::vector<endpoint_ptr> &endpoints) const
{
    std::vector<endpoint_ptr> onTarget;
    for (const endpoint_ptr &endpoint : endpoints) {
        if (isTarget(endpoint->record().softwareVersion))
            onTarget.push_back(endpoint);
    }
    return onTarget;
}

std::vector<endpoint_ptr>
rollout_tracker::endpointsOfOldVersion(const std::vector<endpoint_ptr> &endpoints)
{
    // Endpoints of a version that was just reverted stay for some seconds. They are not of the
    // version in force either.
    std::vector<endpoint_ptr> notTarget;
    for (const endpoint_ptr &endpoint : endpoints) {
        if (!isTarget(endpoint->record().softwareVersion))
            notTarget.push_back(endpoint);
    }
    const std::string_view settled = settledVersion(notTarget);
    std::erase_if(notTarget, [&](const endpoint_ptr &endpoint) {
        return endpoint->record().softwareVersion != settled;
    });
    return notTarget;
}

version_choice rollout_tracker::eligible(const std::vector<endpoint_ptr> &endpoints,
                                         const session_request &request)
{
    if (!m_order)
        return {endpointsOfOldVersion(endpoints), version_reason::settled};
    if (!isCurrent()) {
        // The order was probably carried out long ago, and this entry has just started.
        std::vector<endpoint_ptr> onOld = endpointsOfOldVersion(endpoints);
        return {onOld.empty() ? endpointsOfTarget(endpoints) : onOld, version_reason::stageUnknown};
    }
    if (!isForTarget(request))
        return {endpointsOfOldVersion(endpoints), version_reason::stage};
    if (revertsLocally(request.now))
        return {endpointsOfOldVersion(endpoints), version_reason::foundBadHere};
    std::vector<endpoint_ptr> onTarget = endpointsOfTarget(endpoints);
    if (onTarget.empty())
        return {endpointsOfOldVersion(endpoints), version_reason::noTarget};
    limitToTrialEndpoints(onTarget, request.arrivedAt);
    return {std::move(onTarget), version_reason::stage};
}

std::vector<endpoint_ptr>
rollout_tracker::targetEndpointsBeyondTrial(const std::vector<endpoint_ptr> &endpoints,
                                            const session_request &request)
{
    if (!isForTarget(request) || revertsLocally(request.now))
        return {};
    return endpointsOfTarget(endpoints);
}

std::vector<endpoint_ptr> rollout_tracker::settled(const std::vector<endpoint_ptr> &endpoints)
{
    if (!isCurrent() || !isOnTrial(m_row->stage))
        return {};
    return endpointsOfOldVersion(endpoints);
}

void rollout_tracker::limitToTrialEndpoints(std::vector<endpoint_ptr> &onTarget,
                                            time_point now) const
{
    const double share = shareAt(now);
    if (share >= 1)
        return;
    const std::size_t count = trialEndpoints(share, onTarget.size());
    // Ranked by a hash of the id, so that all entries choose the same endpoints.
    const auto ranksBefore = [](const endpoint_ptr &a, const endpoint_ptr &b) {
        return stableHash(a->record().id) < stableHash(b->record().id);
    };
    const auto end = onTarget.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(onTarget.begin(), end, onTarget.end(), ranksBefore);
    onTarget.erase(end, onTarget.end());
}

std::optional<rollout_row> rollout_tracker::nextRow(milliseconds storeNow,
                                                    const std::vector<endpoint_ptr> &endpoints,
                                                    std::size_t entries,
                                                    bool peerEvidenceCurrent) const
{
    if (!m_order)
        return std::nullopt;
    if (m_isRowLost && isOfOrder(*m_row, *m_order))
        return renamed(*m_row, *m_order);
    rollout_view view;
    view.now = storeNow;
    view.exposure = m_exposure;
    view.window = m_order->window;
    view.requestsPerSecond = static_cast<double>(m_arrivals.size() * entries);
    view.evaluatedAnswers = m_evaluator.targetAnswers();
    view.suspected = m_evaluator.isSuspected();
    view.doubtful = m_evaluator.isDoubtful();
    view.foundBad = m_evaluator.isFoundBad();
    view.peerEvidenceCurrent = peerEvidenceCurrent;
    view.targetListed = std::any_of(endpoints.begin(), endpoints.end(), [&](const auto &endpoint) {
        return isTarget(endpoint->record().softwareVersion);
    });
    return nextRolloutRow(*m_order, m_row, view);
}
