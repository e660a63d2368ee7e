//===-- Entry/AttemptTypes.h - types of the attempt runner ------*- C++ -*-===//
//
// The attempt runner's input, its result, its options and the interface that it requires.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_ENTRY_ATTEMPTTYPES_H
#define LAURELCROFT_ENTRY_ATTEMPTTYPES_H

#include "laurelcroft/Agent/Attempt.h"
#include "laurelcroft/Entry/CallerRequest.h"
#include "laurelcroft/Entry/Decision.h"
#include "laurelcroft/Policy/EndpointChoice.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// Identifies an open stream to an agent; 0 means none.
using attempt_handle = std::uint64_t;

/// The work of one tier of a request.
struct tier_work
{
    wire::offer offer; ///< template; the runner sets attempt number, incarnation and deadline
    std::string pool;
    time_point deadline{};
    work_estimate estimate;
    std::string affinity; ///< session and target; prefers the endpoint with the cached prefix
};

enum class tier_outcome {
    finished, ///< the complete answer was received
    notRun, ///< certainly did not run at any endpoint
    failed, ///< ran and failed
    uncertain, ///< may have run; the agent could not be asked
};

/// The result of one tier.
struct tier_result
{
    tier_outcome outcome = tier_outcome::notRun;
    std::string reason;
    wire::refusal refusal = wire::refusal_none; ///< the last refusal, if any
    std::string endpoint;
    wire::finish finish;
    wire::usage usage;
    std::string answer;
    milliseconds retryAfter{0};
    bool timedOut = false;
    bool isUnsettled = false; ///< the run must be settled once the bill is stored
};

/// Callbacks of a running tier.
struct tier_events
{
    /// Receives the answer as it arrives. If empty, the answer is only collected in the result.
    std::function<void(std::string_view data, std::size_t linkBytes)> onData;
    std::function<void(const tier_result &)> onResult;
};

/// The interface to the process that the runner requires.
template <class E>
concept attempt_port = requires(E env, const std::string &instance, const wire::from_entry &first,
                                attempt_handle handle, const wire::revoke &revoke,
                                std::function<void(std::optional<wire::revoked>)> onRevoked,
                                std::size_t bytes, const decision &made)
{
    {
        env.openAttempt(instance, first)
        } -> std::same_as<attempt_handle>;
    env.sendAttempt(handle, first);
    env.closeAttempt(handle);
    env.consumeAttempt(handle, bytes);
    env.revoke(instance, revoke, onRevoked);
    env.recordDecision(made);
};

/// Limits and timing of attempts.
struct attempt_options
{
    duration offerTimeout = milliseconds(800); ///< until an agent must answer an offer
    duration resumeWindow = seconds(3); ///< for resuming after a disconnect
    duration resumeInterval = milliseconds(200); ///< between attempts to resume
    std::uint32_t maxOffers = 4; ///< per tier, including refused offers
    milliseconds noEndpointRetryAfter{1000}; ///< retry hint, except for full endpoints
    milliseconds fullRetryAfter{250}; ///< retry hint if the last refusal was "full"
    std::size_t maxAffinityEntries = 20000; ///< sessions whose last endpoint is recorded
};

} // namespace laurelcroft

#endif
