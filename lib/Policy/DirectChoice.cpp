//===-- DirectChoice.cpp - an endpoint without an agent ---------------------===//
//
// The cost of a candidate is its load over its slots, with additions for what else
// makes a send there dearer.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/DirectChoice.h"

#include "laurelcroft/Support/Crypto.h"

#include <limits>

using namespace laurelcroft;

namespace {

/// A send to another data centre is worth it when the own endpoints are this much fuller
/// (in shares of their slots). Weighed by bytes between data centres against waiting.
constexpr double otherDataCentreCost = 0.5;
/// A failure share of one tenth weighs as much as two fifths of the slots taken.
constexpr double failureCost = 4.0;
/// The endpoint that keeps a prefix is taken up to this much fuller than the best one.
constexpr double prefixWorth = 0.35;
/// An endpoint that was avoided is taken only when there is no other.
constexpr double avoidedCost = 50.0;

} // namespace

std::string_view laurelcroft::textOf(direct_reason reason)
{
    switch (reason) {
    case direct_reason::prefix:
        return "prefix";
    case direct_reason::leastCost:
        return "least_cost";
    case direct_reason::lastResort:
        return "last_resort";
    }
    return "unknown";
}

static double costOf(const direct_candidate &candidate)
{
    double cost = candidate.load / candidate.slots;
    if (!candidate.sameDataCentre)
        cost += otherDataCentreCost;
    cost += candidate.failureShare * failureCost;
    if (candidate.avoided)
        cost += avoidedCost;
    return cost;
}

/// \returns the usable candidate of the own data centre that ranks first for \p prefix.
static std::optional<std::size_t> prefixHome(std::span<const direct_candidate> candidates,
                                             std::uint64_t prefix)
{
    std::optional<std::size_t> home;
    std::uint64_t highest = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const direct_candidate &candidate = candidates[i];
        if (!candidate.sameDataCentre || candidate.tried || !candidate.hasConnection)
            continue;
        const std::uint64_t rank = stableHash(candidate.id, prefix);
        if (!home || rank > highest) {
            home = i;
            highest = rank;
        }
    }
    return home;
}

std::optional<direct_choice> laurelcroft::chooseDirect(std::span<const direct_candidate> candidates,
                                                       std::optional<std::uint64_t> prefix,
                                                       std::uint64_t tieBreaker)
{
    std::optional<direct_choice> best;
    std::uint64_t bestTie = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].tried || !candidates[i].hasConnection)
            continue;
        const double cost = costOf(candidates[i]);
        const std::uint64_t tie = stableHash(candidates[i].id, tieBreaker);
        if (best && (cost > best->cost || (cost == best->cost && tie < bestTie)))
            continue;
        best = {i, cost, candidates[i].avoided ? direct_reason::lastResort : direct_reason::leastCost};
        bestTie = tie;
    }
    if (!best || !prefix)
        return best;
    const std::optional<std::size_t> home = prefixHome(candidates, *prefix);
    if (home && costOf(candidates[*home]) <= best->cost + prefixWorth)
        return direct_choice{*home, costOf(candidates[*home]), direct_reason::prefix};
    return best;
}
