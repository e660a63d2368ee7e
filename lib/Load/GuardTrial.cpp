//===-- GuardTrial.cpp - exposure to bad versions ---------------------------===//
//
// A roll-out serves a tenth of the answers. Its version is good, bad from the start, slightly
// worse, degrades slowly, or is bad for one customer group only.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Entry/VersionGuardSet.h"
#include "laurelcroft/Load/Trial.h"
#include "laurelcroft/Support/Random.h"

#include <algorithm>
#include <functional>

using namespace laurelcroft;

namespace {

constexpr double baselineBadShare = 0.04;
constexpr double rolloutShare = 0.1;
constexpr int answerCount = 40000; ///< served by both versions together
constexpr double ratedShare = 0.1;
constexpr int fixedWindow = 100;
constexpr double fixedThreshold = 0.1;

/// \returns the probability of a bad answer.
/// \param answer number of answers that the version of the roll-out has served so far.
/// \param group customer group that the request belongs to.
using bad_share_function = std::function<double(int answer, std::size_t group)>;

/// Number of customer groups. A version that is bad for one group is bad for the first.
constexpr std::size_t groupCount = 10;

/// Outcome of one roll-out.
struct rollout_result
{
    double served = 0; ///< answers of the roll-out's version until it was stopped
    bool stopped = false;
};

/// Simulates one roll-out until it is stopped or all answers are served.
/// \param observedShare share of the answers whose quality becomes known.
/// \param shouldStop called with each of these answers; returns true to stop the roll-out.
template <class StopRule>
rollout_result runRollout(const bad_share_function &bad, std::uint64_t seed, double observedShare,
                          StopRule &&shouldStop)
{
    random_source random(seed);
    rollout_result result;
    int servedByRollout = 0;
    for (int i = 0; i < answerCount; ++i) {
        const bool isRollout = random.chance(rolloutShare);
        const std::size_t group = random.index(groupCount);
        const double share = isRollout ? bad(servedByRollout, group) : baselineBadShare;
        const bool good = !random.chance(share);
        if (isRollout) {
            servedByRollout += 1;
            result.served += 1;
        }
        if (!random.chance(observedShare))
            continue;
        if (shouldStop(isRollout, group, good)) {
            result.stopped = true;
            return result;
        }
    }
    return result;
}

/// Runs a roll-out under the product's guard.
rollout_result runGuard(const bad_share_function &bad, std::uint64_t seed, double observedShare)
{
    static const std::vector<std::string> names
            = {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"};
    bundle rules;
    rules.rollouts = {{"m", "1", "2", 10, {0.1, 0.001, 30}}};
    version_guard_set board;
    board.onBundle(rules);
    return runRollout(bad, seed, observedShare, [&](bool isRollout, std::size_t group, bool good) {
        return board.add({"m", isRollout ? "2" : "1", names[group], evidence_kind::errors, good});
    });
}

/// Stops a roll-out when the share of bad answers in a sliding window exceeds a fixed threshold, as
/// a simple alert does.
rollout_result runFixedThreshold(const bad_share_function &bad, std::uint64_t seed,
                                 double observedShare)
{
    std::vector<int> window;
    std::size_t oldest = 0;
    return runRollout(bad, seed, observedShare, [&](bool isRollout, std::size_t, bool good) {
        if (!isRollout)
            return false;
        if (window.size() < fixedWindow) {
            window.push_back(good ? 0 : 1);
        } else {
            window[oldest] = good ? 0 : 1;
            oldest = (oldest + 1) % fixedWindow;
        }
        const auto badAnswers = std::count(window.begin(), window.end(), 1);
        return window.size() == fixedWindow
                && static_cast<double>(badAnswers) > fixedThreshold * fixedWindow;
    });
}

/// Runs a roll-out that is never stopped.
rollout_result runWithoutGuard(const bad_share_function &bad, std::uint64_t seed,
                               double observedShare)
{
    return runRollout(bad, seed, observedShare, [](bool, std::size_t, bool) { return false; });
}

struct rollout_case
{
    const char *name;
    bad_share_function bad;
    double observedShare;
};

std::vector<rollout_case> rolloutCases()
{
    return {
            {"good", [](int, std::size_t) { return baselineBadShare; }, 1.0},
            {"bad from the start", [](int, std::size_t) { return 0.5; }, 1.0},
            {"a little worse", [](int, std::size_t) { return 0.2; }, 1.0},
            {"turns bad slowly",
             [](int i, std::size_t) { return std::min(0.5, baselineBadShare + i * 0.0004); }, 1.0},
            {"bad for one group in ten",
             [](int, std::size_t group) { return group == 0 ? 0.9 : baselineBadShare; }, 1.0},
            {"bad from the start, rated only", [](int, std::size_t) { return 0.5; }, ratedShare},
    };
}

} // namespace

std::vector<trial_row> laurelcroft::runGuardTrial(const trial_settings &given)
{
    std::vector<trial_row> rows;
    const auto runs = static_cast<std::uint64_t>(given.runs);
    using runner = rollout_result (*)(const bad_share_function &, std::uint64_t, double);
    const std::vector<std::pair<const char *, runner>> variants
            = {{"laurelcroft", &runGuard},
               {"fixed threshold 10% of 100", &runFixedThreshold},
               {"no guard", &runWithoutGuard}};
    for (const rollout_case &item : rolloutCases()) {
        for (const auto &[variant, run] : variants) {
            double served = 0;
            double stopped = 0;
            std::vector<double> all;
            for (std::uint64_t i = 0; i < runs; ++i) {
                const rollout_result result
                        = run(item.bad, given.seed * 100000 + i, item.observedShare);
                served += result.served;
                stopped += result.stopped ? 1 : 0;
                all.push_back(result.served);
            }
            std::sort(all.begin(), all.end());
            const auto count = static_cast<double>(runs);
            rows.push_back({given.kind,
                            std::string(variant) + ": " + item.name,
                            0,
                            "",
                            {{"answers of the version, mean", served / count},
                             {"answers of the version, p95", all[all.size() * 95 / 100]},
                             {"stopped of a thousand", 1000 * stopped / count}}});
        }
    }
    return rows;
}
