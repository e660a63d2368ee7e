//===-- AttemptTimeout.cpp - when to leave a silent endpoint ----------------------===//
//
// A wait is unusual when it is many times the recent mean. While requests wait longer
// everywhere, the mean says so, and moving on would only make it worse.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/AttemptTimeout.h"

#include <algorithm>

using namespace laurelcroft;

namespace {

/// A wait of this many recent means is unusual: waits of prompts differ by an order.
constexpr double unusualWaitFactor = 10;
/// Shares of the objective between which that is bounded.
constexpr double minShare = 0.4;
constexpr double maxShare = 2.4;
/// Upper bound at an endpoint that answers nobody. An entry with few requests has nobody else there
/// to judge by, so its own prompt's reading counts as elsewhere: without it, prompts of 23,000
/// tokens were left at 0.8 of the objective and read anew, up to 800 times in a day of 52 s.
/// It gains 0.008 of worth on 3 entries with 12 endpoints (0.690 to 0.698, 30 days with faults)
/// and 0.009 on 32 with 57 (0.651 to 0.660, 10 days).
constexpr double maxSilentShare = 1.2;
/// The time that reading is thought to take may be this many times too low.
constexpr double prefillMargin = 3;
/// Part of the route's timeout after which a request moves in any case, so that another
/// endpoint has the time to serve it.
constexpr double maxTimeoutShare = 0.35;
/// Parts of the longest pause in time after which a stream moves, at a silent endpoint and at
/// one that goes on with other requests. The second is late already: it is for endpoints that
/// have lost just this request.
constexpr double silentGapShare = 0.75;
constexpr double busyGapShare = 2.25;

} // namespace

static std::chrono::milliseconds share(std::chrono::milliseconds whole, double part)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(whole * part);
}

std::chrono::milliseconds laurelcroft::attemptTimeoutOf(const attempt_wait &view)
{
    if (view.part == awaited_part::nextEvent)
        return share(view.eventGap, view.endpointSilent ? silentGapShare : busyGapShare);
    const std::chrono::milliseconds latest = share(view.timeout, maxTimeoutShare);
    const double most = view.endpointSilent ? maxSilentShare : maxShare;
    const double usual = std::clamp(unusualWaitFactor * view.meanWait, minShare, most);
    const std::chrono::milliseconds reading(static_cast<long>(view.readingMs * prefillMargin));
    return std::min(latest, share(view.objective, usual) + reading);
}
