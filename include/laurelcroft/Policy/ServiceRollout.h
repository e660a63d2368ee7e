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
#include <cstddef>
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
    waiting, ///< none: a session under way may not go over in the first half of the window
    trial, ///< a small share of the sessions
    full, ///< everything that can move
    completed, ///< the old version may end
    reverted ///< the new version gets nothing
};

std::string_view textOf(rollout_stage stage);
std::optional<rollout_stage> rolloutStage(std::string_view text);

/// \returns true while few sessions use the new version.
bool isOnTrial(rollout_stage stage);
/// \returns true when no further step follows.
bool isFinal(rollout_stage stage);

/// The row that all entries share.
struct rollout_row
{
    std::uint64_t orderedAt = 0;
    std::string targetVersion;
    rollout_stage stage = rollout_stage::trial;
    std::chrono::milliseconds startedAt{0}; ///< on the store's clock
    /// On the store's clock. It may be yet to come: entries read a row at unlike times, and all
    /// go over at this one.
    std::chrono::milliseconds stageSince{0};
    double share = 0; ///< of the sessions, from then on
    double shareBefore = 0; ///< until then

    bool operator==(const rollout_row &) const = default;
};

/// What this entry knows at the moment.
struct rollout_view
{
    std::chrono::milliseconds now{0}; ///< on the store's clock
    bool targetListed = false; ///< endpoints of the target version take requests
    bool foundBad = false; ///< by the guards of this entry
    std::uint64_t judged = 0; ///< answers of the new version that the guards have seen
    bool suspected = false; ///< too much speaks against it to let the old version go
    /// What other entries have found is known up to a moment ago. Without it nothing more is
    /// sent to the new version.
    bool othersKnown = true;
    double exposure = 0.1; ///< share of requests that the site tolerates on a bad version
    double requestsPerSecond = 0; ///< for the service, at all entries
};

/// \returns the share of sessions that \p stage sends to the new version.
double shareOf(rollout_stage stage, const rollout_view &view);

/// \param begun whether the stage of \p row has begun.
/// \returns the share of sessions that \p row sends to the new version.
double shareInForce(const rollout_row &row, bool begun);

/// \returns how many of \p endpoints of the new version take the sessions of a trial: so few that
/// each is about as loaded as it will be at full share, but two at least.
std::size_t trialEndpoints(double share, std::size_t endpoints);

/// \returns the row to write next; nothing when there is no step to take.
std::optional<rollout_row> nextRolloutRow(const rollout_order &order,
                                          const std::optional<rollout_row> &row,
                                          const rollout_view &view);

/// \param sessionHash the same at every entry.
/// \returns true when the session is one of \p share of all.
bool isInShare(double share, std::uint64_t sessionHash);

} // namespace laurelcroft

#endif
