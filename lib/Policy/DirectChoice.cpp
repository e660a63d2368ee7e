//===-- DirectChoice.cpp - an endpoint without an agent ---------------------===//
//
// The cost of a candidate is a wait in milliseconds, with additions for what else makes a
// send there dearer.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/DirectChoice.h"

#include "laurelcroft/Support/Crypto.h"

#include <limits>

using namespace laurelcroft;

namespace {

/// What full slots add to the wait: the steps of a full batch against those of one request,
/// over an answer of usual length.
constexpr double fullSlotsMs = 250;
/// A send to another data centre is worth it when it saves this much: bytes between data
/// centres have a price that is several percent of a request's worth. Of 120 and 250 the
/// second served better where many entries share endpoints, and as well elsewhere.
constexpr double otherDataCentreMs = 250;
/// An endpoint that fails always costs as much as this wait.
constexpr double failureMs = 1500;
/// Endpoints whose costs differ by less are alike; then the prefix decides.
constexpr double alikeMs = 40;
/// An endpoint that was avoided is taken only when there is no other.
constexpr double avoidedMs = 1e6;

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
    double cost = candidate.waitMs + candidate.load / candidate.slots * fullSlotsMs;
    if (!candidate.sameDataCentre)
        cost += otherDataCentreMs;
    cost += candidate.failureShare * failureMs;
    if (candidate.avoided)
        cost += avoidedMs;
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
        best = {i, cost, candidates[i].waitMs,
                candidates[i].avoided ? direct_reason::lastResort : direct_reason::leastCost};
        bestTie = tie;
    }
    if (!best || !prefix)
        return best;
    const std::optional<std::size_t> home = prefixHome(candidates, *prefix);
    if (home && costOf(candidates[*home]) <= best->cost + alikeMs)
        return direct_choice{*home, costOf(candidates[*home]), candidates[*home].waitMs,
                             direct_reason::prefix};
    return best;
}
