//===-- Policy/DirectChoice.h - an endpoint without an agent -----*- C++ -*-===//
//
// Picks the endpoint for one send where no agent reports. What is known of a load is
// own sends and what answers said; prefixes are kept together by rendezvous hashing,
// which every entry computes alike.
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
    std::string_view id;
    double load = 0; ///< requests it is thought to have, of all callers
    double slots = 1; ///< requests that run at once
    double waitMs = 0; ///< for prompts that are read before this one, and for this one
    double failureShare = 0; ///< recent share of failures, 0 to 1
    bool sameDataCentre = true;
    bool avoided = false; ///< unreachable or full a moment ago
    bool tried = false; ///< this request was there already
    bool hasConnection = true; ///< a connection is free or may be opened
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

/// \param prefix hash of the longest shared prefix of the prompt; empty if there is none. Among
/// endpoints of like cost it decides, so that each prefix is read at few of them.
/// \param tieBreaker spreads equal costs.
/// \returns nothing when no candidate may be sent to.
std::optional<direct_choice> chooseDirect(std::span<const direct_candidate> candidates,
                                          std::optional<std::uint64_t> prefix,
                                          std::uint64_t tieBreaker);

} // namespace laurelcroft

#endif
