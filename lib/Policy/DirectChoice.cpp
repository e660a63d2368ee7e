//===-- DirectChoice.cpp - an endpoint without an agent ---------------------===//
//
// The cost of a candidate is a wait in milliseconds, with additions for what else makes a
// send there dearer.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/DirectChoice.h"

#include "laurelcroft/Policy/CandidateSample.h"
#include "laurelcroft/Support/Crypto.h"

#include <algorithm>

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
constexpr double failurePenaltyMs = 1500;
/// Where an attempt was broken off or found nobody, the next one goes to another data centre,
/// unless that costs more than this: a data centre's endpoints are lost together, and each of a
/// stream's few attempts there ends like the first. Before 3,000 endpoints, of which a choice looks
/// at a part, 0.018 of the callers were refused without it, 0.004 with it (101 entries, one play of
/// a day with a lost data centre each); before 40 and 58 endpoints it changes nothing measurable.
constexpr double failedDataCentrePenaltyMs = 1000;
/// Beside a request that may end its endpoint nobody is sent who may go elsewhere: what was young
/// there is sent again. It is worth as much as a reading of the longest prompts.
constexpr double suspectPenaltyMs = 1000;
/// The home of a prefix is chosen while it costs no more than the best and this.
constexpr double homeToleranceMs = 40;
/// A shared part that takes longer to read has one home in the whole site, a shorter one has one
/// in each data centre: twice what the way to another data centre costs.
constexpr double siteWideHomeMs = 2 * otherDataCentreMs;
/// Part of the unseen reading that a home is thought to be spared: other entries send the prefix
/// there, too, and not all of them tell. On 32 entries with 57 endpoints it gains 0.013 of
/// worth (0.638 to 0.651, 10 days of 33 s with faults), on 3 with 12 nothing; of 0.3, 0.6, 0.75 and
/// 0.9 the last three served about as well, and 1.0 made others late.
constexpr double homeCachedFraction = 0.75;
/// An endpoint that was avoided is taken only when there is no other.
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
    double cost = candidate.waitMs + candidate.load / candidate.slots * fullSlotsMs;
    if (!candidate.sameDataCentre)
        cost += otherDataCentreMs;
    cost += candidate.failureShare * failurePenaltyMs;
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

/// \returns the candidate that ranks first for \p shared among those that may be its home.
static std::optional<std::size_t> homeOf(std::span<const direct_candidate> candidates,
                                         const shared_prompt &shared)
{
    const bool anywhere = shared.readingMs > siteWideHomeMs;
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
        const std::uint64_t tie = mixedBits(candidates[i].idHash ^ tieBreaker);
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
