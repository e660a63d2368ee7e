//===-- VersionGuard.cpp - detects a bad version --------------------------===//
//
// Testing by betting: each answer is a bet against the tolerated bad share, and the wealth grows
// only if the version is worse than tolerated. New wealth is added at step k with weight
// 1/(k(k+1)); these weights sum to one. A version that becomes bad late is thus detected as fast as
// one that was bad from the start, and Ville's inequality still bounds the probability of a false
// stop.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/VersionGuard.h"

#include <algorithm>
#include <cmath>
#include <numeric>

using namespace laurelcroft;

namespace {

/// Number of answers of the settled version assumed in advance.
constexpr double priorAnswers = 20;
constexpr double priorBadShare = 0.03;
constexpr double maxToleratedShare = 0.95;
/// Minimum number of bad answers for a meaningful share.
constexpr double minBadAnswers = 3;
/// Minimum number of bad answers for a doubt: a single one may be chance.
constexpr double minDoubtfulAnswers = 2;
/// Standard deviations above the tolerated share from which there is a doubt. The tolerated share
/// includes the margin of the settled version.
constexpr double doubtDeviations = 1;
/// Bet sizes, as fractions of the largest bet that cannot lose all wealth.
constexpr std::array<double, 4> betShares = {0.1, 0.25, 0.5, 0.8};

} // namespace

void version_guard::addSettled(std::uint64_t good, std::uint64_t bad)
{
    m_settledGood += static_cast<double>(good);
    m_settledBad += static_cast<double>(bad);
}

double version_guard::toleratedBadShare() const
{
    const double count = m_settledGood + m_settledBad + priorAnswers;
    const double share = (m_settledBad + priorBadShare * priorAnswers) / count;
    const double deviation = std::sqrt(share * (1 - share) / count);
    return std::min(maxToleratedShare, share + 2 * deviation + m_bounds.worseBy / 2);
}

double version_guard::deviationsAbove() const
{
    return deviationsAbove(minBadAnswers);
}

bool version_guard::isDoubtful() const
{
    return deviationsAbove(minDoubtfulAnswers) >= doubtDeviations;
}

double version_guard::deviationsAbove(double minBad) const
{
    const double count = m_rolloutGood + m_rolloutBad;
    if (m_rolloutBad < minBad)
        return 0;
    const double tolerated = toleratedBadShare();
    const double deviation = std::sqrt(tolerated * (1 - tolerated) / count);
    return std::max(0.0, (m_rolloutBad / count - tolerated) / deviation);
}

double version_guard::evidence() const
{
    return std::accumulate(m_wealth.begin(), m_wealth.end(), 0.0);
}

void version_guard::step(bool bad)
{
    m_steps += 1;
    const double tolerated = toleratedBadShare();
    const auto number = static_cast<double>(m_steps);
    const double fresh = 1.0 / (number * (number + 1.0)) / static_cast<double>(bets);
    for (std::size_t i = 0; i < bets; ++i) {
        const double bet = betShares[i] / tolerated;
        const double factor = 1.0 + bet * ((bad ? 1.0 : 0.0) - tolerated);
        m_wealth[i] = (m_wealth[i] + fresh) * factor;
    }
    if (evidence() >= 1.0 / m_bounds.falseStop)
        m_stopped = true;
}

void version_guard::addRollout(std::uint64_t good, std::uint64_t bad)
{
    // A batch has lost the order of its answers: spread the bad ones evenly, because a run of them
    // at the end would look like a version that has just become bad.
    const std::uint64_t count = good + bad;
    m_rolloutGood += static_cast<double>(good);
    m_rolloutBad += static_cast<double>(bad);
    std::uint64_t badSoFar = 0;
    for (std::uint64_t i = 1; i <= count; ++i) {
        const bool isBad = bad * i / count > badSoFar;
        badSoFar += isBad ? 1 : 0;
        step(isBad);
    }
}
