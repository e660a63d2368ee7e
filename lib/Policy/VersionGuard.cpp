//===-- VersionGuard.cpp - stops a bad version ------------------------------===//
//
// Betting on each answer against the tolerated bad share: wealth grows only when
// the version is worse. New wealth enters at every step with weight 1/(k(k+1)),
// whose sum is one, so that a version that turns bad late is found as fast as one
// that was bad from the start, and Ville's inequality still bounds false stops.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Policy/VersionGuard.h"

#include <algorithm>
#include <cmath>
#include <numeric>

using namespace laurelcroft;

namespace {

/// Answers of the settled version that are assumed before any was seen.
constexpr double priorAnswers = 20;
constexpr double priorBadShare = 0.03;
constexpr double maxToleratedShare = 0.95;
/// Bad answers that a share is reckoned from.
constexpr double minBadAnswers = 3;
/// Shares of the largest bet that can't ruin the wealth.
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
    const double count = m_rolloutGood + m_rolloutBad;
    if (m_rolloutBad < minBadAnswers)
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
    // A batch has lost its order: the bad answers are spread evenly over it, because a
    // run of them at its end would look like a version that has just turned bad.
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
