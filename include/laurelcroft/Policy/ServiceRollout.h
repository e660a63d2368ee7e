//===-- Policy/ServiceRollout.h - stages of a roll-out ----------*- C++ -*-===//
//
// Computes the next stage of a roll-out from its order, the shared row, the store's clock and this
// entry's observations. Any entry may write the next stage, by compare-and-set on the row; all
// entries follow the row.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_POLICY_SERVICEROLLOUT_H
#define LAURELCROFT_POLICY_SERVICEROLLOUT_H

#include "laurelcroft/Support/StoreVersion.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace laurelcroft {

/// An operator's order to roll out a version.
struct rollout_order
{
    std::string service;
    std::string targetVersion;
    std::chrono::milliseconds window{0}; ///< from the order to its deadline
    store_version orderedAt{}; ///< version of the order's row; distinguishes orders
};

/// The stage of a roll-out.
enum class rollout_stage {
    waiting, ///< no sessions: none may change its version in the first half of the window
    trial, ///< canary stage: a small share of the sessions
    full, ///< all sessions that can be moved
    completed, ///< the old version may be stopped
    reverted ///< the new version gets no requests
};

std::string_view textOf(rollout_stage stage);
std::optional<rollout_stage> rolloutStage(std::string_view text);

/// \returns true while no or few sessions use the new version.
bool isOnTrial(rollout_stage stage);
/// \returns true if no further stage follows.
bool isFinal(rollout_stage stage);

/// The row of a roll-out in the store, shared by all entries.
struct rollout_row
{
    store_version orderedAt{}; ///< rollout_order::orderedAt
    std::string targetVersion;
    rollout_stage stage = rollout_stage::trial;
    std::chrono::milliseconds startedAt{0}; ///< in the store's time
    /// In the store's time. May be in the future: entries read a row at different times, and all of
    /// them switch at this one.
    std::chrono::milliseconds stageSince{0};
    double share = 0; ///< share of sessions on the new version from stageSince on
    double shareBefore = 0; ///< share of sessions on the new version before stageSince

    bool operator==(const rollout_row &) const = default;
};

/// \returns true if \p row is of \p order. An order for the same version whose row is of a later
/// era is the same one: its row was written again after the store came back from a copy.
bool isOfOrder(const rollout_row &row, const rollout_order &order);

/// \returns \p row with the version that the row of its order \p order has now.
rollout_row renamed(rollout_row row, const rollout_order &order);

/// Requests that a site tolerates on a bad version, from the order to its deadline.
struct rollout_exposure
{
    rollout_exposure(double share, double requests = 0)
        : share(share)
        , requests(requests)
    {
    }
    double share; ///< of all requests for the service
    double requests; ///< beyond that share
};

/// What this entry currently knows about a roll-out.
struct rollout_view
{
    std::chrono::milliseconds now{0}; ///< in the store's time
    bool targetListed = false; ///< endpoints of the target version accept requests
    bool foundBad = false; ///< by the guards of this entry
    std::uint64_t evaluatedAnswers = 0; ///< answers of the new version that the guards evaluated
    bool suspected = false; ///< there is too much evidence against it to use it at full share
    bool doubtful = false; ///< there is too little evidence for it to stop the old version
    /// Whether the findings of other entries are up to date. If not, the only step is to revert a
    /// version that this entry has found bad.
    bool peerEvidenceCurrent = true;
    rollout_exposure exposure{0.1};
    std::chrono::milliseconds window{0}; ///< rollout_order::window
    double requestsPerSecond = 0; ///< for the service, at all entries
};

/// \returns the share of sessions that use the new version in \p stage.
double shareOf(rollout_stage stage, const rollout_view &view);

/// \param begun whether the stage of \p row has begun.
/// \returns the share of sessions that use the new version according to \p row.
double shareInForce(const rollout_row &row, bool begun);

/// \returns how many of \p endpoints of the new version serve the sessions of a trial: so few that
/// each is about as loaded as it will be at full share, but at least two.
std::size_t trialEndpoints(double share, std::size_t endpoints);

/// \returns the row to write next; nothing if no stage is due.
std::optional<rollout_row> nextRolloutRow(const rollout_order &order,
                                          const std::optional<rollout_row> &row,
                                          const rollout_view &view);

/// \param sessionHash hash of the session, equal at every entry.
/// \returns true if the session belongs to the given \p share of all sessions.
bool isInShare(double share, std::uint64_t sessionHash);

} // namespace laurelcroft

#endif
