//===-- ServiceRollout.cpp - stages of a roll-out -------------------------===//
//
// A session in progress may change its version when a stage starts. That is not allowed in the
// first half of the window, so the new version gets no requests in that half. Entries keep no
// session state, so the requests of a session use a single version only if all entries switch to a
// stage at the same time: the row states the start of its stage some time in advance. A version may
// be bad only under load, on one route or after some time, and full share is the first reliable
// test of that. It therefore starts late enough that even a version whose faults go undetected
// stays within the tolerated exposure.
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

/// Requests per second, over all entries, that a trial gets: a version that fails a third of its
/// requests is detected within some seconds, before fifty of its answers were bad. A version that
/// is only slow takes longer, and must be reverted before the deadline too.
constexpr double trialRequestsPerSecond = 9;
/// Largest fraction of the tolerated exposure that a trial uses.
constexpr double trialExposureFraction = 0.5;
/// The same of the requests that are tolerated beyond a share. A service with few requests shows
/// too few answers in a trial without them.
constexpr double trialRequestsFraction = 0.3;
/// Largest share of a trial, whatever the number of requests is taken for.
constexpr double maxTrialShare = 0.3;
/// Fraction of the tolerated exposure that trial and full share use together if no fault is found;
/// the rest is reserved for a request rate that rises towards the end.
constexpr double plannedExposureFraction = 0.88;
/// Start of the trial, as a fraction of the window: just after its first half, in which no session
/// may change its version. Even a small trial moves requests of sessions in progress.
constexpr double trialStartFraction = 0.51;
/// How long before its start a stage is written: entries that are cut off from some others read it
/// up to 1.0 s late. If stages started as soon as they are read, requests of one session would go
/// back and forth between versions.
constexpr std::chrono::duration<double> stageLead{1.0};
/// Minimum of that time when the deadline is close: entries read the row within 0.05 s in normal
/// operation, and within 0.44 s when the store rejects half of their calls.
constexpr std::chrono::duration<double> minStageLead{0.5};
/// Earliest start of full share, as a fraction of the window.
constexpr double minFullStartFraction = 0.56;
/// How long before the deadline the old version is released: covers a step, a slow write, and the
/// time between the order and its first row.
constexpr std::chrono::duration<double> completionMargin{1.0};
/// Minimum number of answers that this entry must have evaluated before it releases the old
/// version; a restarted entry has evaluated none.
constexpr std::uint64_t minJudgedAnswers = 15;
/// Minimum time at full share before that, so that faults under full load show and other entries
/// can report them.
constexpr std::chrono::duration<double> minFullDuration{1.2};

/// Minimum number of endpoints in a trial: with a single one, a fault may be the endpoint's rather
/// than the version's.
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

bool laurelcroft::isOfOrder(const rollout_row &row, const rollout_order &order)
{
    const bool isEarlierEra = row.orderedAt.era < order.orderedAt.era;
    return row.targetVersion == order.targetVersion
            && (row.orderedAt == order.orderedAt || isEarlierEra);
}

rollout_row laurelcroft::renamed(rollout_row row, const rollout_order &order)
{
    row.orderedAt = order.orderedAt;
    return row;
}

/// \returns the share of a trial's requests that uses those tolerated beyond a share.
static double extraTrialShare(const rollout_view &view)
{
    const std::chrono::duration<double> trial = view.window * (1 - trialStartFraction);
    // The rate is an estimate from the requests of one second.
    const double rate = view.requestsPerSecond + 2 * std::sqrt(view.requestsPerSecond);
    const double requests = rate * trial.count();
    return requests > 0 ? view.exposure.requests * trialRequestsFraction / requests : 0;
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
    const double most = view.exposure.share * trialExposureFraction;
    if (view.requestsPerSecond <= 0)
        return most;
    const double share = std::max(most, std::min(maxTrialShare, most + extraTrialShare(view)));
    return std::min(share, trialRequestsPerSecond / view.requestsPerSecond);
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

/// \returns when full share starts, counted from the order, after a trial of \p share.
static std::chrono::duration<double> fullStageStart(std::chrono::duration<double> window,
                                                    double share, double exposure)
{
    const double part = (1 - plannedExposureFraction * exposure) / (1 - std::min(share, exposure));
    const auto latest = window - completionMargin - minFullDuration;
    return std::max(window * minFullStartFraction, std::min(window * part, latest));
}

/// \returns \p row advanced to \p stage, which starts \p begin after the roll-out's start.
static rollout_row advancedAt(rollout_row row, rollout_stage stage, const rollout_view &view,
                              std::chrono::duration<double> begin)
{
    row.stage = stage;
    row.stageSince = row.startedAt + std::chrono::ceil<std::chrono::milliseconds>(begin);
    row.shareBefore = std::exchange(row.share, shareOf(stage, view));
    // Nothing is sent to a reverted version any more, not even at the previous share.
    if (stage == rollout_stage::reverted)
        row.shareBefore = 0;
    return row;
}

/// \returns \p row advanced to \p stage, which starts now.
static rollout_row advancedNow(const rollout_row &row, rollout_stage stage,
                               const rollout_view &view)
{
    return advancedAt(row, stage, view, view.now - row.startedAt);
}

/// \returns the start of a stage that is due at \p due and is written now.
static std::chrono::duration<double> stageStart(std::chrono::duration<double> due,
                                                std::chrono::duration<double> elapsed,
                                                std::chrono::duration<double> window)
{
    const auto left = window - completionMargin - minFullDuration - elapsed;
    return std::max(due, elapsed + std::clamp(left, minStageLead, stageLead));
}

/// \returns the first row of \p order. An order for the version that is already being rolled out,
/// for example a repeated order, continues at the current stage.
static rollout_row firstRow(const rollout_order &order, const std::optional<rollout_row> &row,
                            std::chrono::milliseconds now)
{
    const bool continues = row && row->targetVersion == order.targetVersion
            && row->stage != rollout_stage::reverted;
    rollout_row first;
    if (continues)
        first = *row;
    else
        first.stage = rollout_stage::waiting;
    first.orderedAt = order.orderedAt;
    first.targetVersion = order.targetVersion;
    first.startedAt = now;
    first.stageSince = continues ? std::max(now, row->stageSince) : now;
    return first;
}

std::optional<rollout_row> laurelcroft::nextRolloutRow(const rollout_order &order,
                                                       const std::optional<rollout_row> &row,
                                                       const rollout_view &view)
{
    if (!row || !isOfOrder(*row, order))
        return firstRow(order, row, view.now);
    if (row->orderedAt != order.orderedAt)
        return renamed(*row, order);
    if (isFinal(row->stage))
        return std::nullopt;
    if (view.foundBad)
        return advancedNow(*row, rollout_stage::reverted, view);
    if (!view.targetListed || !view.peerEvidenceCurrent)
        return std::nullopt;

    const std::chrono::duration<double> window = order.window;
    const std::chrono::duration<double> elapsed = view.now - row->startedAt;
    const std::chrono::duration<double> inStage = view.now - row->stageSince;
    // A stage that has not started yet is not replaced by the next one.
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
        const auto due = fullStageStart(window, row->share, view.exposure.share);
        // Do not extend a suspected fault to full share. It is reverted at the end of the window,
        // whose last second is too short for slow answers to arrive.
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
        // Completion is final: if a fault is still possible, revert. The operator can order the
        // roll-out again, but a version that was completed can't be taken back.
        if (view.suspected || view.doubtful)
            return advancedNow(*row, rollout_stage::reverted, view);
        if (view.evaluatedAnswers >= minJudgedAnswers)
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
