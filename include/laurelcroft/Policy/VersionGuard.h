//===-- Policy/VersionGuard.h - detects a bad version -----------*- C++ -*-===//
//
// A sequential test of a version under roll-out against the settled version. It may be evaluated
// after every answer: the probability of ever stopping a version that is no worse than the guard
// allows stays below the guard's bound.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_VERSIONGUARD_H
#define LAURELCROFT_POLICY_VERSIONGUARD_H

#include "laurelcroft/Contract/Bundle.h"

#include <array>
#include <cstdint>

namespace laurelcroft {

/// The test for one version under roll-out.
class version_guard
{
public:
    explicit version_guard(const rollout_guard &bounds)
        : m_bounds(bounds)
    {
    }

    /// Adds answers of the settled version.
    void addSettled(std::uint64_t good, std::uint64_t bad);

    /// Adds answers of the version under roll-out, in any order within the call.
    void addRollout(std::uint64_t good, std::uint64_t bad);

    /// \returns true once the version was found bad; this is permanent.
    bool isStopped() const { return m_stopped; }

    /// \returns the evidence that the version is bad, as the wealth of the test: it stops the
    /// version at 1 / falseStop, and values up to about 1 are no evidence.
    double evidence() const;

    /// \returns the evidence as a fraction of the amount that stops a version.
    double evidenceFraction() const { return evidence() * m_bounds.falseStop; }

    /// \returns by how many standard deviations the bad share of the version under roll-out exceeds
    /// the tolerated share; 0 if it does not, or if there are too few bad answers.
    double deviationsAbove() const;

    /// \returns true if the bad share of the version under roll-out may exceed the tolerated share,
    /// judged by too few answers to be sure. A version that is no worse seldom reaches it.
    bool isDoubtful() const;

    /// \returns the number of bad answers, and of all answers, of the version under roll-out.
    std::uint64_t rolloutBad() const { return static_cast<std::uint64_t>(m_rolloutBad); }
    std::uint64_t rolloutAll() const
    {
        return static_cast<std::uint64_t>(m_rolloutGood + m_rolloutBad);
    }

    /// \returns the tolerated bad share: that of the settled version, plus its statistical margin
    /// and half of the drop that the guard allows.
    double toleratedBadShare() const;

private:
    void step(bool bad);
    /// \returns by how many standard deviations the bad share of the version under roll-out exceeds
    /// the tolerated share; 0 if there are fewer than \p minBad bad answers.
    double deviationsAbove(double minBad) const;

    static constexpr std::size_t bets = 4;

    rollout_guard m_bounds;
    double m_settledGood = 0;
    double m_settledBad = 0;
    double m_rolloutGood = 0;
    double m_rolloutBad = 0;
    std::array<double, bets> m_wealth{};
    std::uint64_t m_steps = 0;
    bool m_stopped = false;
};

} // namespace laurelcroft

#endif
