//===-- Proxy/RolloutTracker.h - versions of one service --------*- C++ -*-===//
//
// Selects the endpoints, by software version, that may serve a session of a service during a
// roll-out.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_ROLLOUTTRACKER_H
#define LAURELCROFT_PROXY_ROLLOUTTRACKER_H

#include "laurelcroft/Fleet/ServiceDirectory.h"
#include "laurelcroft/Policy/ServiceRollout.h"
#include "laurelcroft/Proxy/VersionEvaluator.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// Why a request was routed to its version.
enum class version_reason {
    single, ///< all endpoints have one version, and there is no order
    settled, ///< no order: the version in force
    stage, ///< the stage in the shared row decides
    stageUnknown, ///< the order is known but its stage is not
    /// This entry found the new version bad, but the shared stage is not reverted yet.
    foundBadHere,
    noTarget, ///< the stage selects the new version, but no endpoint of it is listed
    fallback, ///< attempts at the version selected by the stage failed
    begunStream ///< a stream continues at the version that started it
};

std::string_view textOf(version_reason reason);

/// Session and time of a request for which a version is selected.
struct session_request
{
    std::uint64_t session = 0; ///< hash of the session, the same at all entries
    /// The version is the one in force at this time, also when the request is sent again after
    /// another stage has begun: a later request of the session may already have been answered by
    /// this version.
    time_point arrivedAt{};
    time_point now{};
};

/// Endpoints that may serve a session, and the reason.
struct version_choice
{
    std::vector<endpoint_ptr> endpoints;
    version_reason reason = version_reason::settled;
};

/// Tracks the roll-out of one service.
class rollout_tracker
{
public:
    /// \param exposure requests that a version under roll-out may get.
    explicit rollout_tracker(rollout_exposure exposure)
        : m_exposure(exposure)
    {
    }

    /// Sets the operator's order. The current row is kept; it is ignored unless it belongs to the
    /// order.
    void setOrder(const rollout_order &order);
    void clearOrder();

    /// Sets the row that all entries share.
    /// \param begin start of its stage on this process's clock; until then the previous stage
    /// holds.
    /// \returns false when the row is older than the current one or equal to it.
    bool setRow(const rollout_row &row, time_point begin = {});

    /// Notes that the store has lost the row, so that nextRow() returns it again.
    void noteRowLost() { m_isRowLost = m_row.has_value(); }

    const std::optional<rollout_order> &order() const { return m_order; }
    const std::optional<rollout_row> &row() const { return m_row; }

    /// \returns true when the roll-out was completed or reverted, and the store has its row.
    bool isOver() const;

    /// \param version the version that all endpoints have; null when they have several or there are
    /// none.
    /// \returns true when there is no order, so that any endpoint may serve any session.
    bool mayUseAll(const std::string *version);

    /// \returns those of \p endpoints that may serve \p request, and the reason.
    version_choice eligible(const std::vector<endpoint_ptr> &endpoints,
                            const session_request &request);

    /// \returns for a session on trial all of \p endpoints with the new version, not only the few
    /// that the trial is limited to; otherwise none.
    std::vector<endpoint_ptr> targetEndpointsBeyondTrial(const std::vector<endpoint_ptr> &endpoints,
                                                         const session_request &request);

    /// \returns the stage of the order in force; empty when there is no order or its stage is
    /// unknown.
    std::string_view stageName() const;

    /// \returns those of \p endpoints with the old version during the waiting and trial stages;
    /// otherwise none.
    std::vector<endpoint_ptr> settled(const std::vector<endpoint_ptr> &endpoints);

    /// Records the arrival of a request for the service.
    void noteArrival(time_point now);

    /// Records the end of an attempt.
    /// \param route and \p model: answers with the same pair are compared with each other.
    /// \param timing of the answer; empty when the attempt failed.
    void observe(std::string_view version, std::string_view route, std::string_view model,
                 std::optional<answer_timing> timing, time_point now);

    /// Records that an attempt is still waiting for its first part.
    /// \param soFar how long it has waited until now.
    /// \returns true when it counts as slow from now on.
    bool observeWait(std::string_view version, std::string_view route, std::string_view model,
                     const answer_timing &soFar, time_point now)
    {
        return m_evaluator.observeWait(isTarget(version), route, model, soFar, now);
    }

    /// Records that an attempt was abandoned because no data came for too long. This counts as a
    /// slow answer, not as a failure, because a busy endpoint causes it too.
    void observeSilence(std::string_view version, std::string_view route, time_point now);

    /// \returns the evaluator of the version under roll-out.
    version_evaluator &evaluator() { return m_evaluator; }
    const version_evaluator &evaluator() const { return m_evaluator; }

    /// \param entries number of entries that serve callers.
    /// \param peerEvidenceCurrent true when the evidence of the other entries is up to date.
    /// \returns the row to write next, if a step is due.
    std::optional<rollout_row> nextRow(milliseconds storeNow,
                                       const std::vector<endpoint_ptr> &endpoints,
                                       std::size_t entries, bool peerEvidenceCurrent = true) const;

    /// An entry that finds the version bad stops using it on its own only when the shared stage is
    /// not reverted after this time, which covers several checks for due writes and one write.
    /// Reverting locally at once, while the other entries continued for seconds, changed the
    /// version of 215 requests of sessions in progress in ten roll-outs (32 entries, one of which
    /// got failures).
    static constexpr milliseconds localRevertDelay{1000};

private:
    bool isTarget(std::string_view version) const
    {
        return m_order && version == m_order->targetVersion;
    }
    /// \returns true when the shared row describes the stage of the current order.
    bool isCurrent() const;
    /// \returns the share of sessions that get the new version.
    double shareAt(time_point now) const;
    /// \returns true when the stage selects the new version for \p request.
    bool isForTarget(const session_request &request) const;
    /// \returns true when this entry reverts on its own.
    bool revertsLocally(time_point now);
    std::vector<endpoint_ptr> endpointsOfOldVersion(const std::vector<endpoint_ptr> &endpoints);
    std::vector<endpoint_ptr> endpointsOfTarget(const std::vector<endpoint_ptr> &endpoints) const;
    /// Makes the target version the version in force when the current roll-out is completed.
    void noteCompletion();
    void limitToTrialEndpoints(std::vector<endpoint_ptr> &onTarget, time_point now) const;
    std::string_view settledVersion(const std::vector<endpoint_ptr> &endpoints);

    rollout_exposure m_exposure;
    std::deque<time_point> m_arrivals; ///< arrival times of requests in the last second
    std::optional<rollout_order> m_order;
    std::optional<rollout_row> m_row;
    /// The store came back from a copy that does not have m_row, or an earlier stage of it.
    bool m_isRowLost = false;
    time_point m_stageBegin{}; ///< when the stage of m_row begins
    std::optional<time_point> m_foundBadAt; ///< when a request first found the version to be bad
    version_evaluator m_evaluator;
    std::string m_settled; ///< version in force before the order, or without an order
};

} // namespace laurelcroft

#endif
