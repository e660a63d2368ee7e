//===-- Policy/VersionGuard.h - stops a bad version --------------*- C++ -*-===//
//
// A sequential test of a version under roll-out against the settled one. It may
// look after every answer: the probability of ever stopping a version that is no
// worse than the guard allows stays below the guard's bound.
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

    /// \returns true once the version was found bad; it stays so.
    bool isStopped() const { return m_stopped; }

    /// How sure it is that the version is bad: stopped from 1 / falseStop on, 1 when nothing
    /// speaks for it.
    double evidence() const;

    /// \returns the evidence as a part of what stops a version.
    double certainty() const { return evidence() * m_bounds.falseStop; }

    /// \returns by how many standard deviations the bad share of the version under roll-out is
    /// above what is tolerated; 0 when it is not, or hardly anything is known.
    double deviationsAbove() const;

    /// \returns answers of the version under roll-out, the bad ones and all.
    std::uint64_t rolloutBad() const { return static_cast<std::uint64_t>(m_rolloutBad); }
    std::uint64_t rolloutAll() const
    {
        return static_cast<std::uint64_t>(m_rolloutGood + m_rolloutBad);
    }

    /// The bad share that is tolerated: the settled one's, its margin and the guard's drop.
    double toleratedBadShare() const;

private:
    void step(bool bad);

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
