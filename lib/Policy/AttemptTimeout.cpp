//===-- AttemptTimeout.cpp - wait for a silent endpoint -------------------===//
//
// A request moves to another endpoint after a multiple of the recent mean wait. When waits grow at
// all endpoints, so does the timeout, since moving requests would only add load.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/AttemptTimeout.h"

#include <algorithm>

using namespace laurelcroft;

namespace {

/// Timeout as a multiple of the recent mean wait; waits differ by an order of magnitude
/// between prompts.
constexpr double unusualWaitFactor = 10;
/// Bounds of that timeout, as shares of the objective.
constexpr double minShare = 0.4;
constexpr double maxShare = 2.4;
/// Upper bound for an endpoint that responds to none of this entry's requests. An entry with little
/// traffic has no other requests there to compare with, so the time to process the request's own
/// prompt is added here too. Without it, requests with prompts of 23,000 tokens were moved at 0.8
/// of the objective and processed again, up to 800 times in a test day of 52 s. It raises the
/// value of the served requests by 0.008 with 3 entries and 12 endpoints (0.690 to 0.698, 30 days
/// with faults) and by 0.009 with 32 entries and 57 endpoints (0.651 to 0.660, 10 days).
constexpr double maxSilentShare = 1.2;
/// The estimated prompt processing time may be too low by this factor.
constexpr double prefillMargin = 3;
/// Part of the route's timeout after which a request is moved in any case, so that another endpoint
/// has enough time to serve it.
constexpr double maxTimeoutShare = 0.35;
/// Parts of the longest acceptable pause after which a stream is moved: at a silent endpoint, and
/// at one that still serves other requests. The second is already late; it is meant for endpoints
/// that have lost only this request.
constexpr double silentGapShare = 0.75;
constexpr double busyGapShare = 2.25;
/// The same for a request that can't be in time elsewhere: half of the eight pauses, and at most
/// the four objectives, after which callers give a stream up.
constexpr double lateGapShare = 4;
constexpr double lateObjectiveShare = 4;

} // namespace

static std::chrono::milliseconds share(std::chrono::milliseconds whole, double part)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(whole * part);
}

/// \returns true if a request that is moved after \p early misses \p limit elsewhere.
static bool isMoveTooLate(const attempt_wait &view, std::chrono::milliseconds early,
                          std::chrono::milliseconds limit)
{
    const std::chrono::duration<double, std::milli> elsewhere(view.elsewhereMs.value_or(0));
    return view.elsewhereMs && early + elsewhere > limit;
}

static std::chrono::milliseconds nextEventTimeout(const attempt_wait &view)
{
    const std::chrono::milliseconds early
            = share(view.eventGap, view.endpointSilent ? silentGapShare : busyGapShare);
    return isMoveTooLate(view, early, view.eventGap) ? share(view.eventGap, lateGapShare) : early;
}

std::chrono::milliseconds laurelcroft::attemptTimeoutOf(const attempt_wait &view)
{
    if (view.part == awaited_part::nextEvent)
        return nextEventTimeout(view);
    const std::chrono::milliseconds latest = share(view.timeout, maxTimeoutShare);
    const double most = view.endpointSilent ? maxSilentShare : maxShare;
    const double usual = std::clamp(unusualWaitFactor * view.meanWait, minShare, most);
    const std::chrono::milliseconds reading(static_cast<long>(view.prefillMs * prefillMargin));
    const std::chrono::milliseconds early
            = std::min(latest, share(view.objective, usual) + reading);
    const bool isStream = view.part == awaited_part::firstEvent;
    if (!isStream || !isMoveTooLate(view, early, view.objective))
        return early;
    return std::min(latest, share(view.objective, lateObjectiveShare) + reading);
}
