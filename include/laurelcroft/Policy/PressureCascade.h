//===-- Policy/PressureCascade.h - larger models under pressure -*- C++ -*-===//
//
// Decides whether a low-confidence answer is replaced by a larger model's while requests compete
// for the endpoints' time. The larger model reads a prompt many times as slowly as the smallest,
// and requests that wait behind it are delayed by as much. The decision weighs the
// expected gain of the better answer against the expected number of other requests that become
// late.
//
// The load it answers: at the peak of a load wave nearly all endpoint time is in use, and second
// runs of long prompts take most of it. Short prompts cost little, so they keep their second run
// under any pressure; long ones give way first, and return as soon as the pressure has fallen.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_PRESSURECASCADE_H
#define LAURELCROFT_POLICY_PRESSURECASCADE_H

#include <chrono>
#include <string_view>

namespace laurelcroft {

/// What became of an answer that may be replaced by a larger model's.
enum class second_run {
    sent, ///< the larger model is asked
    confident, ///< kept: the confidence suffices
    late, ///< kept: the larger model's answer is expected after the objective
    delaysOthers, ///< kept: other requests would lose more than this one gains
    unavailable ///< kept: no endpoint, budget or time for a second run
};

std::string_view textOf(second_run decision);

/// What is known when a second run is considered.
struct second_run_view
{
    using fractional_ms = std::chrono::duration<double, std::milli>;

    int confidence = 0; ///< of the first answer, in percent
    int keepFrom = 50; ///< minimum confidence, in percent, at which an answer is kept
    /// Expected time until the larger model's first part, counted from the caller's request, as a
    /// share of the objective.
    double expectedAt = 0;
    /// Time in which the larger model reads the prompt at the chosen endpoint.
    fractional_ms readTime{0};
    double tokens = 0; ///< of the prompt
    int urgency = 0; ///< priority of the request, 0 is the most urgent

    /// Recent waits for the first part of one attempt's answer, as a share of the objective.
    double pressure = 0;
    fractional_ms usualObjective{1000}; ///< of the requests to the service
    double usualUrgency = 0;
    double usualTokens = 0; ///< of a prompt; 0 if unknown
    double requestsPerSecond = 0; ///< at the chosen endpoint, from all callers
};

/// \returns the probability that a request becomes late.
/// \param used part of the objective that has passed already.
/// \param pressure recent waits of one attempt, as a share of the objective.
double lateProbability(double used, double pressure);

/// \returns the expected number of requests that become late because of the second run.
double expectedLateRequests(const second_run_view &view);

/// \returns the expected gain of the second run, in requests of usual size and urgency.
double gainOf(const second_run_view &view);

/// \returns whether the larger model is asked.
second_run decideSecondRun(const second_run_view &view);

} // namespace laurelcroft

#endif
