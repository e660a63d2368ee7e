//===-- ConfidenceCascade.cpp - cascade of models -------------------------===//
//
// A larger model uses several times the endpoint time. While requests are queued, other requests
// need that time, so only answers of the lowest confidence are escalated. They are escalated
// directly to the largest model, since a second answer of low confidence would cost another wait
// before the first event.
//
// An answer of low confidence in time is better than a late one, whose long prompt also delays
// other requests. Keeping such answers raises the value of the served requests by 0.014 with 3
// entries and 12 endpoints (0.675 to 0.689, 30 days of 34 s with faults) and by 0.050 with 32
// entries and 57 endpoints (0.588 to 0.638, 10 days).
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/ConfidenceCascade.h"

#include <algorithm>
#include <cmath>

using namespace laurelcroft;

namespace {

/// Latest expected time of a larger model's first part, as a share of the objective. A safety
/// margin (0.67 to 0.83) would keep the longest prompts from ever being escalated.
constexpr double maxExpectedAt = 1;

} // namespace

std::size_t laurelcroft::firstModel(const cascade_settings &settings, std::size_t models)
{
    return models == 0 ? 0 : std::min(settings.firstModel, models - 1);
}

int laurelcroft::keepThreshold(const cascade_settings &settings, double wait)
{
    const double span = settings.busyWait - settings.calmWait;
    const double busy = span <= 0 ? 0 : std::clamp((wait - settings.calmWait) / span, 0.0, 1.0);
    const double range = settings.keepFromBusy - settings.keepFrom;
    return static_cast<int>(std::lround(settings.keepFrom + busy * range));
}

/// \returns the share of low-confidence answers that are escalated at this mean wait.
static double escalatedShare(const cascade_settings &settings, double wait)
{
    const double span = settings.fullWait - settings.busyWait;
    if (span <= 0)
        return wait < settings.busyWait ? 1 : 0;
    return std::clamp((settings.fullWait - wait) / span, 0.0, 1.0);
}

std::optional<std::size_t> laurelcroft::escalationTarget(const cascade_settings &settings,
                                                         const cascade_view &view)
{
    const bool largest = view.model + 1 >= view.models;
    if (largest || !view.mayRunAgain || !view.confidence)
        return std::nullopt;
    if (*view.confidence >= keepThreshold(settings, view.wait))
        return std::nullopt;
    if (view.expectedAt > maxExpectedAt)
        return std::nullopt;
    if (view.draw >= escalatedShare(settings, view.wait))
        return std::nullopt;
    return view.models - 1;
}
