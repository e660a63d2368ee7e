//===-- DirectChoice.cpp - endpoint choice, no agent ----------------------===//
//
// The cost of a candidate is its expected wait in milliseconds plus penalties.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/DirectChoice.h"

#include "laurelcroft/Policy/CandidateSample.h"
#include "laurelcroft/Support/Crypto.h"

#include <algorithm>

using namespace laurelcroft;

namespace {

/// Penalty at a load equal to the number of slots, in proportion to the load: the steps of a full
/// batch are slower than those of a single request, over an answer of usual length.
constexpr double fullSlotsMs = 250;
/// Penalty for another data centre, since traffic between data centres costs several percent of a
/// request's value. Of 120 and 250, the latter gave better results where many entries share the
/// endpoints, and equal results elsewhere.
constexpr double otherDataCentreMs = 250;
/// Penalty for an endpoint that always fails; proportional to its share of failures.
constexpr double failurePenaltyMs = 1500;
/// Penalty for a data centre in which an attempt of this request was broken off or not accepted.
/// The endpoints of a data centre are usually lost together, so another of the few attempts of a
/// stream would fail there as well. With 3,000 endpoints, of which each request samples a part, the
/// share of callers refused was 0.018 without it and 0.004 with it (101 entries, one test day each
/// in which a data centre is lost); with 40 and 58 endpoints there was no measurable
/// difference.
constexpr double failedDataCentrePenaltyMs = 1000;
/// Penalty for an endpoint that runs a request suspected of crashing endpoints, since other
/// requests there may have to be sent again. It equals the processing time of the longest prompts.
constexpr double suspectPenaltyMs = 1000;
/// The home of a prefix is chosen if its cost exceeds the lowest by at most this.
constexpr double homeToleranceMs = 40;
/// A shared prefix that takes longer than this to process has one home in the whole site, a shorter
/// one has one in each data centre. Twice the penalty for another data centre.
constexpr double siteWideHomeMs = 2 * otherDataCentreMs;
/// Fraction of the uncached processing time that a home is expected to save: other entries send
/// requests with the prefix there too, and not all of them report it. It raises the value of the
/// served requests by 0.013 with 32 entries and 57 endpoints (0.638 to 0.651, 10 days of 33 s with
/// faults), and has no effect with 3 entries and 12 endpoints. Of 0.3, 0.6, 0.75 and 0.9, the last
/// three gave similar results; 1.0 delayed other requests.
constexpr double homeCachedFraction = 0.75;
/// Penalty for an avoided endpoint; it is chosen only if there is no other.
constexpr double avoidedPenaltyMs = 1e6;

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
    double cost = candidate.waitMs
            + candidate.load / candidate.slots * fullSlotsMs * candidate.slowdown;
    if (!candidate.sameDataCentre)
        cost += otherDataCentreMs;
    cost += candidate.failureRate * failurePenaltyMs;
    if (candidate.failedInDataCentre)
        cost += failedDataCentrePenaltyMs;
    if (candidate.runsSuspect)
        cost += suspectPenaltyMs;
    if (candidate.avoided)
        cost += avoidedPenaltyMs;
    return cost;
}

static bool isEligible(const direct_candidate &candidate)
{
    return !candidate.tried && !candidate.withheld && candidate.hasConnection
            && candidate.withinRateShare && !candidate.isInBackoff;
}

/// \returns the candidate with the highest rank for \p shared among those eligible as its home.
static std::optional<std::size_t> homeOf(std::span<const direct_candidate> candidates,
                                         const shared_prompt &shared)
{
    const bool anywhere = shared.prefillMs > siteWideHomeMs;
    std::optional<std::size_t> home;
    std::uint64_t highest = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const direct_candidate &candidate = candidates[i];
        const bool near = anywhere || candidate.sameDataCentre;
        if (!near || candidate.avoided || candidate.failedInDataCentre || candidate.runsSuspect
            || candidate.hasRateLimit || !isEligible(candidate))
            continue;
        const std::uint64_t rank = homeRank(candidate.idHash, shared.hash);
        if (!home || rank > highest) {
            home = i;
            highest = rank;
        }
    }
    return home;
}

std::optional<direct_choice> laurelcroft::chooseDirect(std::span<const direct_candidate> candidates,
                                                       const std::optional<shared_prompt> &shared,
                                                       std::uint64_t tieBreaker)
{
    std::optional<direct_choice> best;
    std::uint64_t bestTie = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!isEligible(candidates[i]))
            continue;
        const double cost = costOf(candidates[i]);
        const std::uint64_t tie = mixBits(candidates[i].idHash ^ tieBreaker);
        if (best && (cost > best->cost || (cost == best->cost && tie < bestTie)))
            continue;
        best = {i, cost, candidates[i].waitMs,
                candidates[i].avoided ? direct_reason::lastResort : direct_reason::leastCost};
        bestTie = tie;
    }
    if (!best || !shared)
        return best;
    const std::optional<std::size_t> home = homeOf(candidates, *shared);
    if (!home)
        return best;
    const direct_candidate &there = candidates[*home];
    const double cost
            = costOf(there) - std::max(homeToleranceMs, homeCachedFraction * there.uncachedMs);
    if (cost > best->cost)
        return best;
    return direct_choice{*home, cost, there.waitMs, direct_reason::prefix};
}
