//===-- Policy/DirectChoice.h - an endpoint without an agent -----*- C++ -*-===//
//
// Picks the endpoint for one send where no agent reports. What is known of a load is
// own sends, what answers said and what other entries told; prefixes are kept together by
// rendezvous hashing, which every entry computes alike.
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

/// One endpoint as the choice sees it.
struct direct_candidate
{
    std::uint64_t idHash = 0;
    double load = 0; ///< requests it is thought to have, of all callers
    double slots = 1; ///< requests that run at once
    double waitMs = 0; ///< for prompts that are read before this one, and for this one
    double uncachedMs = 0; ///< part of waitMs for shared prefixes that it isn't known to keep
    double failureShare = 0; ///< recent share of failures, 0 to 1
    bool sameDataCentre = true;
    bool avoided = false; ///< unreachable or full a moment ago
    bool tried = false; ///< this request was there already
    bool failedInDataCentre
            = false; ///< this request was broken off or not taken in its data centre
    bool runsSuspect = false; ///< a request that may end it is under way there
    bool withheld = false; ///< it must not get this request
    bool hasConnection = true; ///< a connection is free or may be opened
    bool withinRateShare = true; ///< this entry's share of its rate, if bounded, is not used up
    bool isInBackoff = false; ///< the Retry-After that it sent to this entry has not elapsed
    bool hasRateLimit = false; ///< it states a rate limit, so it is no home of a prompt
};

/// The shared part of a prompt.
struct shared_prompt
{
    std::uint64_t hash = 0; ///< of its longest shared prefix
    double readingMs = 0; ///< to read it where nothing of it is kept
};

/// Why an endpoint was chosen.
enum class direct_reason { prefix, leastCost, lastResort };

std::string_view textOf(direct_reason reason);

/// The chosen endpoint.
struct direct_choice
{
    std::size_t index = 0;
    double cost = 0; ///< milliseconds, with what else makes a send dearer
    double waitMs = 0; ///< the candidate's
    direct_reason reason = direct_reason::leastCost;
};

/// \param shared empty if the prompt shares nothing. It has a home among the endpoints, where it
/// is thought to be kept; the home is chosen while it costs about as much as the best.
/// \param tieBreaker spreads equal costs.
/// \returns nothing when no candidate may be sent to.
std::optional<direct_choice> chooseDirect(std::span<const direct_candidate> candidates,
                                          const std::optional<shared_prompt> &shared,
                                          std::uint64_t tieBreaker);

} // namespace laurelcroft

#endif
