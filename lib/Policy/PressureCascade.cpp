//===-- PressureCascade.cpp - larger models under pressure ----------------===//
//
// Gain and harm are both counted in requests of usual size. The gain is the probability that the
// first answer is not good enough and the second one is in time; a long prompt counts for more,
// since its caller has asked for more. The harm is the number of requests that arrive at the
// endpoint while it reads the prompt, or while those before them still wait, times the rise of
// their probability to be late. Streams in progress don't count: endpoints read a prompt in pieces,
// between the tokens of other requests.
//
// Waits are taken as exponentially distributed, as in a queue with random arrivals. The share of
// late requests is then negligible on a calm service and rises fast with the wait, so that the
// decision needs no thresholds of pressure, and long prompts give way first.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/PressureCascade.h"

#include <algorithm>
#include <cmath>

using namespace laurelcroft;

namespace {

/// Waits of a request: for the smallest model's answer, and for a larger one's or a repeat's.
constexpr double waitsPerRequest = 2;
/// Lower bound of the mean wait in calculations, to avoid a division by zero.
constexpr double minMeanWait = 0.01;
/// Weight of a request relative to one whose priority is a step less urgent.
constexpr double urgencyStep = 1.5;
/// Latest expected time of a larger model's first part, as a share of the objective.
constexpr double maxExpectedAt = 1;
/// Part of the value of an answer that doesn't depend on the length of its prompt: half, so that
/// neither many short requests nor a few long ones decide alone.
constexpr double fixedWeight = 0.5;
/// Largest weight of a request relative to a usual one, so that no prompt outweighs all others.
constexpr double maxWeight = 3;
/// Longest delay of another request by one prompt, as a share of its objective: with a longer one,
/// the request is sent to another endpoint.
constexpr double maxDelay = 0.75;
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

/// \returns the mean time that a request waits, as a share of the objective.
static double meanWait(double pressure)
{
    return std::max(minMeanWait, waitsPerRequest * pressure);
}

double laurelcroft::lateProbability(double used, double pressure)
{
    return std::exp(-std::max(0.0, 1 - used) / meanWait(pressure));
}

double laurelcroft::expectedLateRequests(const second_run_view &view)
{
    const second_run_view::fractional_ms wait = meanWait(view.pressure) * view.usualObjective;
    const std::chrono::duration<double> busy = view.readTime + wait;
    const double delayed = view.requestsPerSecond * busy.count();
    const double delay = std::min(maxDelay, view.readTime / view.usualObjective);
    return delayed * (lateProbability(delay, view.pressure) - lateProbability(0, view.pressure));
}

double laurelcroft::gainOf(const second_run_view &view)
{
    const double size = view.usualTokens > 0 ? view.tokens / view.usualTokens : 1;
    const double weight = std::min(maxWeight, fixedWeight + (1 - fixedWeight) * size);
    const double urgency = std::pow(urgencyStep, view.usualUrgency - view.urgency);
    const double inTime = 1 - lateProbability(view.expectedAt, view.pressure);
    return weight * urgency * inTime * (1 - view.confidence / fullConfidence);
}

second_run laurelcroft::decideSecondRun(const second_run_view &view)
{
    if (view.confidence >= view.keepFrom)
        return second_run::confident;
    if (view.expectedAt > maxExpectedAt)
        return second_run::late;
    return gainOf(view) > expectedLateRequests(view) ? second_run::sent : second_run::delaysOthers;
}
