//===-- PressureCascade.cpp - larger models under pressure ----------------===//
//
// Gain and harm are both counted in requests. The gain is the probability that the first answer is
// not good enough and the second one is in time. The harm is the number of requests beside it,
// times the rise of their probability to be late.
//
// Waits are taken as exponentially distributed, as in a queue with random arrivals: the share of
// requests that wait longer than their time allows is then exp(-1 / pressure). It is negligible up
// to a pressure of 0.2, and rises fast above, so that the decision needs no thresholds of pressure.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/PressureCascade.h"

#include <algorithm>
#include <cmath>

using namespace laurelcroft;

namespace {

/// Lower bound of the pressure in calculations, to avoid a division by zero.
constexpr double minPressure = 0.01;
/// Latest expected time of a larger model's first part, as a share of the objective.
constexpr double maxExpectedAt = 1;
constexpr double fullConfidence = 100; // percent

} // namespace

std::string_view laurelcroft::textOf(second_run decision)
{
    switch (decision) {
    case second_run::sent:
        return "sent";
    case second_run::confident:
        return "confident";
    case second_run::late:
        return "late";
    case second_run::delaysOthers:
        return "delays_others";
    case second_run::unavailable:
        return "unavailable";
    }
    return "unknown";
}

double laurelcroft::lateProbability(double used, double pressure)
{
    return std::exp(-std::max(0.0, 1 - used) / std::max(minPressure, pressure));
}

double laurelcroft::expectedLateRequests(const second_run_view &view)
{
    const double used = view.readTime / view.eventGap;
    const double rise = lateProbability(used, view.pressure) - lateProbability(0, view.pressure);
    return view.requestsBeside * rise;
}

second_run laurelcroft::decideSecondRun(const second_run_view &view)
{
    if (view.confidence >= view.keepFrom)
        return second_run::confident;
    if (view.expectedAt > maxExpectedAt)
        return second_run::late;
    const double inTime = 1 - lateProbability(view.expectedAt, view.pressure);
    const double gain = (1 - view.confidence / fullConfidence) * inTime;
    return gain > expectedLateRequests(view) ? second_run::sent : second_run::delaysOthers;
}
