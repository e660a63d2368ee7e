//===-- Policy/AttemptTimeout.h - when to leave a silent endpoint ------*- C++ -*-===//
//
// How long a request that may be repeated waits for an endpoint before it moves on. Too
// early, and busy endpoints read every prompt twice; too late, and a lost answer costs the
// objective.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_ATTEMPTTIMEOUT_H
#define LAURELCROFT_POLICY_ATTEMPTTIMEOUT_H

#include <chrono>

namespace laurelcroft {

/// What the wait is for.
enum class awaited_part {
    wholeAnswer,
    firstEvent,
    nextEvent ///< of a stream that has begun
};

/// What is known when the question is asked.
struct attempt_wait
{
    awaited_part part = awaited_part::wholeAnswer;
    std::chrono::milliseconds objective{0}; ///< of the route
    std::chrono::milliseconds eventGap{0}; ///< longest pause that is in time
    std::chrono::milliseconds timeout{0}; ///< of the route
    double meanWait = 0; ///< recent mean at the service, as a share of the objective
    double readingMs = 0; ///< thought to take: the prompts before this one and its own
    bool endpointSilent = false; ///< it answers none of this entry's requests either
};

/// \returns how long to wait since the last progress.
std::chrono::milliseconds attemptTimeoutOf(const attempt_wait &view);

} // namespace laurelcroft

#endif
