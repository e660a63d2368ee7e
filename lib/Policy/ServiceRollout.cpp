//===-- ServiceRollout.cpp - a service's move to a version ------------------===//
//
// The share stays small until most of the window has shown the version good: sessions
// must not change their version early, and a version may turn bad late.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/ServiceRollout.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

using namespace laurelcroft;

namespace {

/// Part of the window that a trial lasts. Above a half, so that sessions move only in the
/// second half; early enough that old requests end before the deadline.
constexpr double trialPart = 0.58;
/// Part of the window after which the old version is let go although requests run on it.
constexpr double latestPart = 0.88;
/// Shortest time at full share before the old version may end: its last requests' length.
constexpr std::chrono::milliseconds settling{2500};
/// Requests a second, of all entries, that a trial is judged by: a version of which a third
/// fails is found bad within some seconds, before fifty of its answers were bad.
constexpr double trialRequestsPerSecond = 5;
/// Part of the tolerated exposure that a trial uses.
constexpr double usedExposure = 0.55;

constexpr std::array<std::pair<rollout_stage, std::string_view>, 4> stageNames = {{
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

double laurelcroft::trialShare(double toleratedShare, double requestsPerSecond)
{
    const double most = toleratedShare * usedExposure;
    if (requestsPerSecond <= 0)
        return most;
    return std::min(most, trialRequestsPerSecond / requestsPerSecond);
}

static rollout_row moved(rollout_row row, rollout_stage stage, std::chrono::milliseconds now)
{
    row.stage = stage;
    row.stageSince = now;
    return row;
}

std::optional<rollout_row> laurelcroft::nextRolloutRow(const rollout_order &order,
                                                       const std::optional<rollout_row> &row,
                                                       const rollout_view &view)
{
    if (!row || row->orderedAt != order.orderedAt)
        return rollout_row{order.orderedAt, order.targetVersion, rollout_stage::trial, view.now,
                           view.now, view.share};
    if (row->stage == rollout_stage::completed || row->stage == rollout_stage::reverted)
        return std::nullopt;
    if (view.foundBad)
        return moved(*row, rollout_stage::reverted, view.now);

    const std::chrono::duration<double> window = order.window;
    const std::chrono::duration<double> elapsed = view.now - row->startedAt;
    if (row->stage == rollout_stage::trial) {
        const bool due = elapsed >= window * trialPart && view.targetListed;
        return due ? std::optional(moved(*row, rollout_stage::full, view.now)) : std::nullopt;
    }
    const bool settled = view.now - row->stageSince >= settling;
    const bool idle = view.oldRunning == 0;
    const bool late = elapsed >= window * latestPart;
    if (settled && view.targetListed && (idle || late))
        return moved(*row, rollout_stage::completed, view.now);
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
    case rollout_stage::trial:
        break;
    }
    const double point = static_cast<double>(sessionHash)
            / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return point < share;
}
