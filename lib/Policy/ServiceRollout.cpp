//===-- ServiceRollout.cpp - a service's move to a version ------------------===//
//
// A session that goes on while a stage begins changes its version, which it must not in the
// first half of the window: nothing is sent to the new version then. No entry keeps anything of
// a session, so that its requests get one version only where all entries apply one stage at a
// time: a row tells when its stage begins, some time ahead. A version can be bad only under load,
// for one route, or late, and full share is the first sure test of that: it comes so late that
// even a version whose faults nobody sees stays within the tolerated exposure.
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

/// Requests a second, of all entries, that a trial gets: a version of which a third fails is
/// found bad within some seconds, before fifty of its answers were bad. With 6, and nothing in the
/// first half, a version half of whose answers take eight times as long was taken back 18.0 to
/// 22.4 s after the day's start, with 9 and slow answers that count when they are late after 16.8
/// to 20.4 s (12 days each, window from 5 to 23 s, 32 entries).
constexpr double trialRequestsPerSecond = 9;
/// Largest part of the tolerated exposure that a trial uses.
constexpr double trialExposureFraction = 0.5;
/// Part of the tolerated exposure that trial and full share use together when nothing is
/// found; the rest is for a rate that rises towards the end.
constexpr double plannedExposureFraction = 0.88;
/// A trial begins just after the first half of the window. With a share of the sessions from the
/// order on, sized for 1.5 requests a second, 1 or 2 requests of sessions under way went over in
/// the first half, on 23 of 72 days of a good version (32 entries, 128 requests a second).
constexpr double trialStartFraction = 0.51;
/// A stage is written this long before it begins: entries that are cut off from some others read
/// it up to 1.0 s late. With stages that began as they were read, 20 requests went back to the old
/// version in ten roll-outs in which half of 32 entries read 0.7 s late.
constexpr std::chrono::duration<double> stageLead{1.0};
/// The same where the deadline leaves less: entries without trouble read it within 0.05 s, where
/// the store turns half of them away within 0.44 s.
constexpr std::chrono::duration<double> minStageLead{0.5};
/// Full share never begins earlier.
constexpr double minFullStartFraction = 0.56;
/// The old version is let go this long before the deadline: a step, a slow write, and the
/// time between the order and its first row.
constexpr std::chrono::duration<double> completionMargin{1.0};
/// Answers that this entry must know of before it lets the old version go; a restarted one
/// knows nothing.
constexpr std::uint64_t minJudgedAnswers = 15;
/// Shortest time at full share before that, so that faults under full load show, and what
/// other entries see of them is told.
constexpr std::chrono::duration<double> minFullDuration{1.2};

/// Endpoints of a trial at least: what goes wrong at one alone is that endpoint's fault as likely
/// as the version's.
constexpr std::size_t minTrialEndpoints = 2;

constexpr std::array<std::pair<rollout_stage, std::string_view>, 5> stageNames = {{
        {rollout_stage::waiting, "waiting"},
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
    return stage == rollout_stage::waiting || stage == rollout_stage::trial;
}

bool laurelcroft::isFinal(rollout_stage stage)
{
    return stage == rollout_stage::completed || stage == rollout_stage::reverted;
}

double laurelcroft::shareOf(rollout_stage stage, const rollout_view &view)
{
    switch (stage) {
    case rollout_stage::full:
    case rollout_stage::completed:
        return 1;
    case rollout_stage::waiting:
    case rollout_stage::reverted:
        return 0;
    case rollout_stage::trial:
        break;
    }
    const double most = view.exposure * trialExposureFraction;
    if (view.requestsPerSecond <= 0)
        return most;
    return std::min(most, trialRequestsPerSecond / view.requestsPerSecond);
}

double laurelcroft::shareInForce(const rollout_row &row, bool begun)
{
    if (!begun)
        return row.shareBefore;
    return row.stage == rollout_stage::trial ? row.share : shareOf(row.stage, {});
}

std::size_t laurelcroft::trialEndpoints(double share, std::size_t endpoints)
{
    const auto part = static_cast<std::size_t>(std::lround(share * static_cast<double>(endpoints)));
    return std::min(endpoints, std::max(minTrialEndpoints, part));
}

/// \returns when, from the order on, full share begins for a trial of \p share.
static std::chrono::duration<double> fullStageStart(std::chrono::duration<double> window,
                                                    double share, double exposure)
{
    const double part = (1 - plannedExposureFraction * exposure) / (1 - std::min(share, exposure));
    const auto latest = window - completionMargin - minFullDuration;
    return std::max(window * minFullStartFraction, std::min(window * part, latest));
}

/// \returns \p row at \p stage from \p begin on, a time since the roll-out's start.
static rollout_row advancedAt(rollout_row row, rollout_stage stage, const rollout_view &view,
                              std::chrono::duration<double> begin)
{
    row.stage = stage;
    row.stageSince = row.startedAt + std::chrono::ceil<std::chrono::milliseconds>(begin);
    row.shareBefore = std::exchange(row.share, shareOf(stage, view));
    // What was sent before goes no more to a version that is taken back.
    if (stage == rollout_stage::reverted)
        row.shareBefore = 0;
    return row;
}

/// \returns \p row at \p stage from now on.
static rollout_row advancedNow(const rollout_row &row, rollout_stage stage,
                               const rollout_view &view)
{
    return advancedAt(row, stage, view, view.now - row.startedAt);
}

/// \returns when the next stage begins that is due at \p due and written now.
static std::chrono::duration<double> stageStart(std::chrono::duration<double> due,
                                                std::chrono::duration<double> elapsed,
                                                std::chrono::duration<double> window)
{
    const auto left = window - completionMargin - minFullDuration - elapsed;
    return std::max(due, elapsed + std::clamp(left, minStageLead, stageLead));
}

/// \returns the first row of \p order. An order for the version that sessions have already, such
/// as one that is written again, goes on where the last one was.
static rollout_row firstRow(const rollout_order &order, const std::optional<rollout_row> &row,
                            std::chrono::milliseconds now)
{
    const bool goesOn = row && row->targetVersion == order.targetVersion
            && row->stage != rollout_stage::reverted;
    rollout_row first;
    if (goesOn)
        first = *row;
    else
        first.stage = rollout_stage::waiting;
    first.orderedAt = order.orderedAt;
    first.targetVersion = order.targetVersion;
    first.startedAt = now;
    first.stageSince = goesOn ? std::max(now, row->stageSince) : now;
    return first;
}

std::optional<rollout_row> laurelcroft::nextRolloutRow(const rollout_order &order,
                                                       const std::optional<rollout_row> &row,
                                                       const rollout_view &view)
{
    if (!row || row->orderedAt != order.orderedAt)
        return firstRow(order, row, view.now);
    if (isFinal(row->stage))
        return std::nullopt;
    if (view.foundBad)
        return advancedNow(*row, rollout_stage::reverted, view);
    if (!view.targetListed || !view.othersKnown)
        return std::nullopt;

    const std::chrono::duration<double> window = order.window;
    const std::chrono::duration<double> elapsed = view.now - row->startedAt;
    const std::chrono::duration<double> inStage = view.now - row->stageSince;
    // A stage that is yet to begin is not left for the next one.
    if (inStage.count() < 0)
        return std::nullopt;
    switch (row->stage) {
    case rollout_stage::waiting: {
        const auto due = window * trialStartFraction;
        if (elapsed >= due - stageLead)
            return advancedAt(*row, rollout_stage::trial, view, stageStart(due, elapsed, window));
        break;
    }
    case rollout_stage::trial: {
        const auto due = fullStageStart(window, row->share, view.exposure);
        // What a trial has left in doubt, full share would spread: the last second of a window is
        // too short for slow answers to come.
        if (view.suspected) {
            if (elapsed >= window - completionMargin)
                return advancedNow(*row, rollout_stage::reverted, view);
            break;
        }
        if (elapsed >= due - stageLead)
            return advancedAt(*row, rollout_stage::full, view, stageStart(due, elapsed, window));
        break;
    }
    default:
        if (elapsed < window - completionMargin || inStage < minFullDuration)
            break;
        // Completion can't be taken back: in doubt the new version goes.
        if (view.suspected)
            return advancedNow(*row, rollout_stage::reverted, view);
        if (view.judged >= minJudgedAnswers)
            return advancedNow(*row, rollout_stage::completed, view);
        break;
    }
    return std::nullopt;
}

bool laurelcroft::isInShare(double share, std::uint64_t sessionHash)
{
    if (share >= 1)
        return true;
    const double point = static_cast<double>(sessionHash)
            / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return point < share;
}
