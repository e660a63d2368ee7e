//===-- ServiceRollout.cpp - a service's move to a version ------------------===//
//
// A session that goes on while a stage begins changes its version, which it must not in the
// first half of the window: the pilot is tiny. A version can be bad only under load, for one
// route, or late, and full share is the first sure test of that: it comes so late that even
// a version whose faults nobody sees stays within the tolerated exposure.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/ServiceRollout.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

using namespace laurelcroft;

namespace {

/// Requests a second, of all entries, that a pilot gets: of sessions that straddle its
/// beginning, this leaves less than one in most roll-outs.
constexpr double pilotRequestsPerSecond = 1.5;
/// The same for a trial: a version of which a third fails is found bad within some seconds,
/// before fifty of its answers were bad.
constexpr double trialRequestsPerSecond = 6;
/// Largest part of the tolerated exposure that a trial uses.
constexpr double usedByTrial = 0.5;
/// Part of the tolerated exposure that trial and full share use together when nothing is
/// found; the rest is for a rate that rises towards the end.
constexpr double usedExposure = 0.88;
/// A trial begins just after the first half of the window.
constexpr double pilotPart = 0.51;
/// Full share never begins earlier.
constexpr double earliestFull = 0.56;
/// The old version is let go this long before the deadline: a step, a slow write, and the
/// time between the order and its first row.
constexpr std::chrono::duration<double> beforeDeadline{1.0};
/// Answers that this entry must know of before it lets the old version go; a restarted one
/// knows nothing.
constexpr std::uint64_t leastJudged = 15;
/// Shortest time at full share before that, so that faults under full load show, and what
/// other entries see of them is told.
constexpr std::chrono::duration<double> leastFull{1.2};

/// Endpoints of a pilot or a trial at least: what goes wrong at one alone is that endpoint's
/// fault as likely as the version's.
constexpr std::size_t fewestTrialEndpoints = 2;

constexpr std::array<std::pair<rollout_stage, std::string_view>, 5> stageNames = {{
        {rollout_stage::pilot, "pilot"},
        {rollout_stage::trial, "trial"},
        {rollout_stage::full, "full"},
        {rollout_stage::completed, "completed"},
        {rollout_stage::reverted, "reverted"},
}};

} // namespace

std::string_view laurelcroft::textOf(rollout_stage stage)
{
    for (const auto &[known, name] : stageNames) {
        if (known == stage)
            return name;
    }
    return "unknown";
}

std::optional<rollout_stage> laurelcroft::rolloutStage(std::string_view text)
{
    for (const auto &[known, name] : stageNames) {
        if (name == text)
            return known;
    }
    return std::nullopt;
}

bool laurelcroft::isOnTrial(rollout_stage stage)
{
    return stage == rollout_stage::pilot || stage == rollout_stage::trial;
}

bool laurelcroft::isFinal(rollout_stage stage)
{
    return stage == rollout_stage::completed || stage == rollout_stage::reverted;
}

double laurelcroft::shareOf(rollout_stage stage, const rollout_view &view)
{
    const double most = view.exposure * usedByTrial;
    const double wanted
            = stage == rollout_stage::pilot ? pilotRequestsPerSecond : trialRequestsPerSecond;
    if (stage == rollout_stage::full || stage == rollout_stage::completed)
        return 1;
    if (stage == rollout_stage::reverted)
        return 0;
    return view.requestsPerSecond <= 0 ? most : std::min(most, wanted / view.requestsPerSecond);
}

std::size_t laurelcroft::trialEndpoints(double share, std::size_t endpoints)
{
    const auto part = static_cast<std::size_t>(std::lround(share * static_cast<double>(endpoints)));
    return std::min(endpoints, std::max(fewestTrialEndpoints, part));
}

/// \returns when, from the order on, full share begins for a trial of \p share.
static std::chrono::duration<double> fullFrom(std::chrono::duration<double> window, double share,
                                              double exposure)
{
    const double part = (1 - usedExposure * exposure) / (1 - std::min(share, exposure));
    const auto latest = window - beforeDeadline - leastFull;
    return std::max(window * earliestFull, std::min(window * part, latest));
}

static rollout_row moved(rollout_row row, rollout_stage stage, const rollout_view &view)
{
    row.stage = stage;
    row.stageSince = view.now;
    row.share = shareOf(stage, view);
    return row;
}

std::optional<rollout_row> laurelcroft::nextRolloutRow(const rollout_order &order,
                                                       const std::optional<rollout_row> &row,
                                                       const rollout_view &view)
{
    if (!row || row->orderedAt != order.orderedAt) {
        const rollout_row first{
                order.orderedAt, order.targetVersion, rollout_stage::pilot, view.now, view.now, 0};
        return moved(first, rollout_stage::pilot, view);
    }
    if (isFinal(row->stage))
        return std::nullopt;
    if (view.foundBad)
        return moved(*row, rollout_stage::reverted, view);
    if (!view.targetListed || !view.othersKnown)
        return std::nullopt;

    const std::chrono::duration<double> window = order.window;
    const std::chrono::duration<double> elapsed = view.now - row->startedAt;
    const std::chrono::duration<double> inStage = view.now - row->stageSince;
    switch (row->stage) {
    case rollout_stage::pilot:
        if (elapsed >= window * pilotPart)
            return moved(*row, rollout_stage::trial, view);
        break;
    case rollout_stage::trial:
        if (elapsed >= fullFrom(window, row->share, view.exposure))
            return moved(*row, rollout_stage::full, view);
        break;
    default:
        if (elapsed < window - beforeDeadline || inStage < leastFull)
            break;
        // Completion can't be taken back: in doubt the new version goes.
        if (view.suspected)
            return moved(*row, rollout_stage::reverted, view);
        if (view.judged >= leastJudged)
            return moved(*row, rollout_stage::completed, view);
        break;
    }
    return std::nullopt;
}

bool laurelcroft::startsOnTarget(rollout_stage stage, double share, std::uint64_t sessionHash)
{
    switch (stage) {
    case rollout_stage::full:
    case rollout_stage::completed:
        return true;
    case rollout_stage::reverted:
        return false;
    case rollout_stage::pilot:
    case rollout_stage::trial:
        break;
    }
    const double point = static_cast<double>(sessionHash)
            / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return point < share;
}
