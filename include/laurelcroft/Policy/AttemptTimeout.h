//===-- Policy/AttemptTimeout.h - wait for a silent endpoint ----*- C++ -*-===//
//
// Computes how long a repeatable request waits for an endpoint before it is sent to another one. If
// the timeout is too short, busy endpoints process every prompt twice; if it is too long, one lost
// response makes the request miss its latency objective.
//
// Endpoints that share their machines pause often. A request that is moved has its whole prompt
// read again, beside the prompts of others. There, a request is moved early only if it can still be
// in time elsewhere; otherwise its late answer comes sooner where it is already being made.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_ATTEMPTTIMEOUT_H
#define LAURELCROFT_POLICY_ATTEMPTTIMEOUT_H

#include <chrono>
#include <optional>

namespace laurelcroft {

/// The part of the response that the request waits for.
enum class awaited_part {
    wholeAnswer,
    firstEvent,
    nextEvent ///< of a stream that has begun
};

/// Inputs of the timeout.
struct attempt_wait
{
    awaited_part part = awaited_part::wholeAnswer;
    std::chrono::milliseconds objective{0}; ///< latency objective of the route
    std::chrono::milliseconds eventGap{0}; ///< longest acceptable pause
    std::chrono::milliseconds timeout{0}; ///< of the route
    double meanWait = 0; ///< recent mean at the service, as a share of the objective
    double prefillMs = 0; ///< estimated time to process this prompt and those queued before it
    bool endpointSilent = false; ///< it responds to none of this entry's other requests either
    /// Estimated time until another endpoint would have read the prompt. Set where endpoints share
    /// their machines with others, so that a pause is seldom a loss; empty elsewhere.
    std::optional<double> elsewhereMs = std::nullopt;
};

/// \returns how long to wait, counted from the last progress of the attempt.
std::chrono::milliseconds attemptTimeoutOf(const attempt_wait &view);

} // namespace laurelcroft

#endif
