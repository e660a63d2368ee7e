//===-- Policy/ServiceRollout.h - a service's move to a version --*- C++ -*-===//
//
// The steps of one roll-out as a pure function of its order, the row that all entries
// share, the store's clock and what this entry has seen. Any entry may take a step, by
// compare-and-set on the row; all follow the row.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_SERVICEROLLOUT_H
#define LAURELCROFT_POLICY_SERVICEROLLOUT_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// What an operator asked for.
struct rollout_order
{
    std::string service;
    std::string targetVersion;
    std::chrono::milliseconds window{0}; ///< from the order to its deadline
    std::uint64_t orderedAt = 0; ///< version of the order's row; tells orders apart
};

/// How far a roll-out is.
enum class rollout_stage {
    trial, ///< a small share of the sessions
    full, ///< everything that can move
    completed, ///< the old version may end
    reverted ///< the new version gets nothing
};

std::string_view textOf(rollout_stage stage);
std::optional<rollout_stage> rolloutStage(std::string_view text);

/// The row that all entries share.
struct rollout_row
{
    std::uint64_t orderedAt = 0;
    std::string targetVersion;
    rollout_stage stage = rollout_stage::trial;
    std::chrono::milliseconds startedAt{0}; ///< on the store's clock
    std::chrono::milliseconds stageSince{0}; ///< on the store's clock
    double share = 0; ///< of the sessions, while on trial
};

/// What this entry knows at the moment.
struct rollout_view
{
    std::chrono::milliseconds now{0}; ///< on the store's clock
    bool targetListed = false; ///< endpoints of the target version take requests
    bool foundBad = false; ///< by the guard of this entry
    unsigned oldRunning = 0; ///< this entry's requests on the old version
    double share = 0; ///< for a trial that begins now
};

/// Share of sessions that try the new version: enough of them to judge it by, and below the
/// exposure that the site tolerates, with room for requests that are sent again. Sessions
/// that go on while a trial begins change their version, so it is no larger than needed.
/// \param requestsPerSecond of the service, at all entries.
double trialShare(double toleratedShare, double requestsPerSecond);

/// \returns the row to write next; nothing when there is no step to take.
std::optional<rollout_row> nextRolloutRow(const rollout_order &order,
                                          const std::optional<rollout_row> &row,
                                          const rollout_view &view);

/// Which version a new session gets.
/// \param sessionHash the same at every entry.
/// \returns true for the target version.
bool startsOnTarget(rollout_stage stage, double share, std::uint64_t sessionHash);

} // namespace laurelcroft

#endif
