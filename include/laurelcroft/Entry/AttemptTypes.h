//===-- Entry/AttemptTypes.h - one tier's work and its result ----*- C++ -*-===//
//
// What the attempt runner is given, what it gives back, and what it needs.
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

/// Number of an open stream to an agent; 0 is none.
using attempt_handle = std::uint64_t;

/// One tier's work.
struct tier_work
{
    wire::offer offer; ///< without attempt number and incarnation
    std::string pool;
    time_point deadline{};
    work_estimate estimate;
    std::string affinity; ///< session, whose last endpoint may hold its prefix
};

enum class tier_outcome {
    finished, ///< the whole answer is there
    notRun, ///< surely never reached an endpoint
    failed, ///< ran and failed
    uncertain, ///< may have run; nobody could say
};

struct tier_result
{
    tier_outcome outcome = tier_outcome::notRun;
    std::string reason;
    wire::refusal refusal = wire::refusal_none; ///< the last one, when not run
    std::string endpoint;
    wire::finish finish;
    wire::usage usage;
    std::string answer;
    milliseconds retryAfter{0};
    bool timedOut = false;
    bool isUnsettled = false; ///< the run is to be settled once the bill is safe
};

struct tier_events
{
    std::function<void(std::string_view data, std::size_t linkBytes)> onData;
    std::function<void(const tier_result &)> onResult;
};

/// What the runner needs of its process.
template <class E>
concept attempt_port = requires(E env, const std::string &instance, const wire::from_entry &first,
                                attempt_handle handle, const wire::revoke &revoke,
                                std::function<void(std::optional<wire::revoked>)> onRevoked,
                                std::size_t bytes, const decision &note)
{
    {
        env.openAttempt(instance, first)
        } -> std::same_as<attempt_handle>;
    env.sendAttempt(handle, first);
    env.closeAttempt(handle);
    env.consumeAttempt(handle, bytes);
    env.revoke(instance, revoke, onRevoked);
    env.recordDecision(note);
};

/// Bounds of attempts.
struct attempt_options
{
    duration offerTimeout = milliseconds(800); ///< for the admission
    duration resumeWindow = seconds(3); ///< to find a cut attempt again
    duration resumeInterval = milliseconds(200); ///< between tries
    std::uint32_t maxOffers = 4; ///< of one tier, refused ones included
    milliseconds noEndpointRetryAfter{1000}; ///< told when no endpoint can serve it
    milliseconds fullRetryAfter{250}; ///< told when all are full
    std::size_t maxAffinityEntries = 20000;
};

} // namespace laurelcroft

#endif
