//===-- Policy/DirectChoice.h - endpoint choice, no agent -------*- C++ -*-===//
//
// Selects the endpoint for one send when no agent reports the endpoints' load. The load is
// estimated from this entry's own sends, from what endpoints state in responses and from reports of
// other entries. Requests with the same prompt prefix are directed to the same endpoint, its home,
// by rendezvous hashing, which gives the same result at every entry.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_DIRECTCHOICE_H
#define LAURELCROFT_POLICY_DIRECTCHOICE_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace laurelcroft {

/// The state of one endpoint as known to this entry.
struct direct_candidate
{
    std::uint64_t idHash = 0;
    double load = 0; ///< estimated number of requests there, of all callers
    double slots = 1; ///< number of requests that run concurrently
    double slowdown = 1; ///< lasting; 2 means that work takes twice as long as usual
    double waitMs = 0; ///< estimated time to process this prompt and those queued before it
    double uncachedMs = 0; ///< part of waitMs for prefixes not known to be cached
    double failureRate = 0; ///< recent share of failures, 0 to 1
    bool sameDataCentre = true;
    bool avoided = false; ///< recently unreachable or full
    bool tried = false; ///< this request was already sent to it
    bool failedInDataCentre = false; ///< an attempt of this request failed in its data centre
    bool runsSuspect = false; ///< it runs another request that is suspected of crashing endpoints
    bool withheld = false; ///< this request must not be sent to it
    bool hasConnection = true; ///< a connection is free or can be opened
    bool withinRateShare = true; ///< this entry's share of its rate limit, if any, is not used up
    bool isInBackoff = false; ///< the Retry-After that it sent to this entry has not elapsed
    bool hasRateLimit = false; ///< it states a rate limit, so it cannot be the home of a prompt
};

/// The part of a prompt that it shares with other prompts.
struct shared_prompt
{
    std::uint64_t hash = 0; ///< of the longest shared prefix
    double prefillMs = 0; ///< to process it where none of it is cached
};

/// Why an endpoint was chosen.
enum class direct_reason { prefix, leastCost, lastResort };

std::string_view textOf(direct_reason reason);

/// The chosen endpoint.
struct direct_choice
{
    std::size_t index = 0;
    double cost = 0; ///< in milliseconds, including penalties
    double waitMs = 0; ///< of the chosen candidate
    direct_reason reason = direct_reason::leastCost;
};

/// \param shared empty if the prompt shares no prefix. Its home is the endpoint that is expected to
/// have it cached; the home is chosen if its cost is not much higher than the lowest.
/// \param tieBreaker selects among candidates of equal cost.
/// \returns nothing if no candidate is eligible.
std::optional<direct_choice> chooseDirect(std::span<const direct_candidate> candidates,
                                          const std::optional<shared_prompt> &shared,
                                          std::uint64_t tieBreaker);

} // namespace laurelcroft

#endif
