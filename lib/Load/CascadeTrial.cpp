//===-- CascadeTrial.cpp - cost at the quality target -----------------------===//
//
// Each request has a hidden difficulty, of which the cheap tier's score is a noisy signal. Only a
// small share of the answers is rated, and ratings arrive late and are sometimes wrong. The mix of
// easy and hard requests shifts twice during a run.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Load/Trial.h"
#include "laurelcroft/Policy/CascadeLearner.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>

using namespace laurelcroft;

namespace {

constexpr double cheapCost = 1;
constexpr double costlyCost = 20;
constexpr double costlyGoodShare = 0.98;
constexpr double ratedShare = 0.05;
constexpr double wrongRatingShare = 0.02;
constexpr std::size_t ratingDelay = 200; ///< in requests
constexpr int requestCount = 60000;
constexpr int warmupRequests = 6000; ///< excluded from the results while the learner starts

/// A request and the quality of its answers, all of which only the oracle knows in advance.
struct trial_request
{
    double score = 0;
    bool cheapGood = false;
    bool costlyGood = false;
};

/// Draws a request. Scores are calibrated for the first third of a run: in the second third there
/// are fewer easy requests and scores are lower, in the last third there are more easy requests.
trial_request drawRequest(int number, double baseEasyShare, random_source &random)
{
    const int phase = number * 3 / requestCount;
    const double easyShare = baseEasyShare + (phase == 1 ? -0.25 : 0.0) + (phase == 2 ? 0.15 : 0.0);
    const bool easy = random.chance(std::clamp(easyShare, 0.05, 0.95));
    const double goodShare = easy ? 0.97 : 0.35;
    trial_request item;
    item.cheapGood = random.chance(goodShare);
    item.costlyGood = random.chance(costlyGoodShare);
    const double centre = item.cheapGood ? (easy ? 0.82 : 0.62) : 0.42;
    std::normal_distribution<double> noise(centre - (phase == 1 ? 0.08 : 0.0), 0.13);
    item.score = std::clamp(noise(random.engine()), 0.0, 0.999);
    return item;
}

/// Cost and quality of the counted requests of a run.
struct run_totals
{
    double cost = 0;
    double good = 0;
    double count = 0;
    double escalated = 0;

    void add(double paid, bool wasGood, bool wasEscalated)
    {
        cost += paid;
        good += wasGood ? 1 : 0;
        escalated += wasEscalated ? 1 : 0;
        count += 1;
    }
};

bundle trialBundle()
{
    bundle rules;
    rules.models = {{"small", "p", 0, cheapCost, {}}, {"large", "p", 0, costlyCost, {}}};
    return rules;
}

/// \returns true if the cheap answer of the request is released.
using accept_rule = std::function<bool(const trial_request &)>;

/// Runs a fixed acceptance rule.
/// \param cheapFirst if false, every request goes to the costly tier only.
run_totals runRule(double easyRequestShare, std::uint64_t seed, const accept_rule &accept,
                   bool cheapFirst)
{
    random_source random(seed);
    run_totals sum;
    for (int i = 0; i < requestCount; ++i) {
        const trial_request item = drawRequest(i, easyRequestShare, random);
        const bool acceptsCheap = cheapFirst && accept(item);
        const double paid = (cheapFirst ? cheapCost : 0) + (acceptsCheap ? 0 : costlyCost);
        if (i >= warmupRequests)
            sum.add(paid, acceptsCheap ? item.cheapGood : item.costlyGood, !acceptsCheap);
    }
    return sum;
}

/// Runs a policy that knows the quality of each answer in advance. It escalates bad cheap answers
/// only as far as the target requires.
run_totals runOracle(double easyRequestShare, std::uint64_t seed, double target)
{
    random_source random(seed);
    run_totals sum;
    double allowedBad = 0;
    for (int i = 0; i < requestCount; ++i) {
        const trial_request item = drawRequest(i, easyRequestShare, random);
        allowedBad += 1 - target;
        // A bad cheap answer is released only if the budget of bad answers allows it. A costly
        // answer that is bad as well is charged to the same budget.
        bool acceptsCheap = item.cheapGood;
        if (!item.cheapGood && allowedBad >= 1) {
            acceptsCheap = true;
            allowedBad -= 1;
        } else if (!item.cheapGood && !item.costlyGood) {
            allowedBad -= 1;
        }
        const double paid = acceptsCheap ? cheapCost : costlyCost;
        if (i >= warmupRequests)
            sum.add(paid, acceptsCheap ? item.cheapGood : item.costlyGood, !acceptsCheap);
    }
    return sum;
}

/// Finds the cheapest fixed threshold that meets the target, by trying all multiples of 0.02 on the
/// same requests. This shows what a score threshold can achieve without adapting to the shifts.
run_totals findBestThreshold(double easyRequestShare, std::uint64_t seed, double target)
{
    run_totals best = runRule(
            easyRequestShare, seed, [](const trial_request &) { return false; }, false);
    for (double threshold = 0; threshold < 1; threshold += 0.02) {
        const run_totals sum = runRule(
                easyRequestShare, seed,
                [threshold](const trial_request &r) { return r.score >= threshold; }, true);
        if (sum.good / sum.count >= target && sum.cost / sum.count < best.cost / best.count)
            best = sum;
    }
    return best;
}

/// Runs the product's learner with ratings that are delayed and sometimes wrong.
run_totals runLearner(double easyRequestShare, std::uint64_t seed, double target)
{
    random_source random(seed);
    random_source choices(seed + 1);
    const bundle rules = trialBundle();
    const cascade item{"c", {"small", "large"}, target, 0.7, 1000, true};
    cascade_learner learner;
    struct delayed_rating
    {
        std::size_t tier;
        double score;
        bool good;
        bool released;
    };
    std::deque<std::vector<delayed_rating>> delayedRatings(ratingDelay);
    run_totals sum;
    for (int i = 0; i < requestCount; ++i) {
        const trial_request request = drawRequest(i, easyRequestShare, random);
        for (const delayed_rating &rating : delayedRatings.front())
            learner.addRating(item, "g", rating.tier, rating.score, rating.good, rating.released);
        delayedRatings.pop_front();
        delayedRatings.emplace_back();
        const auto sample = [&](std::size_t tier, bool good, bool released) {
            if (!choices.chance(ratedShare))
                return;
            const bool reportedGood = choices.chance(wrongRatingShare) ? !good : good;
            delayedRatings.back().push_back(
                    {tier, tier == 0 ? request.score : 0.95, reportedGood, released});
        };
        const start_decision start = learner.chooseStart(rules, item, "g", 1e6, 10, choices);
        double paid = 0;
        bool acceptsCheap = false;
        if (start.tier == 0) {
            paid += cheapCost;
            acceptsCheap = learner.evaluate(item, "g", 0, request.score).suffices;
            sample(0, request.cheapGood, acceptsCheap);
        }
        if (!acceptsCheap) {
            paid += costlyCost;
            sample(1, request.costlyGood, true);
        }
        if (i >= warmupRequests)
            sum.add(paid, acceptsCheap ? request.cheapGood : request.costlyGood, !acceptsCheap);
    }
    return sum;
}

} // namespace

std::vector<trial_row> laurelcroft::runCascadeTrial(const trial_settings &given)
{
    constexpr double target = 0.92;
    std::vector<trial_row> rows;
    for (const double easyRequestShare : given.axisValues) {
        const run_totals oracle = runOracle(easyRequestShare, given.seed, target);
        const auto add = [&](const char *variant, const run_totals &sum) {
            rows.push_back({given.kind,
                            variant,
                            easyRequestShare,
                            "share of easy requests",
                            {{"cost a request", sum.cost / sum.count},
                             {"cost against the oracle",
                              (sum.cost / sum.count) / (oracle.cost / oracle.count)},
                             {"good share", sum.good / sum.count},
                             {"good share less the target", sum.good / sum.count - target},
                             {"escalated share", sum.escalated / sum.count}}});
        };
        add("laurelcroft", runLearner(easyRequestShare, given.seed, target));
        add("oracle", oracle);
        add("always costly",
            runRule(
                    easyRequestShare, given.seed, [](const trial_request &) { return false; },
                    false));
        add("always cheap",
            runRule(
                    easyRequestShare, given.seed, [](const trial_request &) { return true; },
                    true));
        add("best fixed threshold, known afterwards",
            findBestThreshold(easyRequestShare, given.seed, target));
        add("fixed threshold 0.7",
            runRule(
                    easyRequestShare, given.seed,
                    [](const trial_request &r) { return r.score >= 0.7; }, true));
    }
    return rows;
}
