//===-- Proxy/RolloutTracker.h - versions of one service ---------*- C++ -*-===//
//
// Which versions of a service may serve a session while one of them is rolled out.
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

/// Why a request went to its version.
enum class version_reason {
    single, ///< all endpoints have one version, and there is no order
    settled, ///< there is no order: the version in force
    stage, ///< the stage that all entries share says so
    stageUnknown, ///< the order is known, its stage is not
    foundBadHere, ///< this entry has found the new version bad, and the stage doesn't say so yet
    noTarget, ///< the stage gives the new version, of which no endpoint is listed
    fallback, ///< attempts at the stage's version failed
    begunStream ///< a stream goes on at the version that began it
};

std::string_view textOf(version_reason reason);

/// A request that asks for a version.
struct session_request
{
    std::uint64_t session = 0; ///< hash of its session, the same at all entries
    /// Its version is the one of this moment, also when it is sent again after a stage has begun:
    /// a later request of its session may have been answered by then.
    time_point arrivedAt{};
    time_point now{};
};

/// Endpoints that may serve a session.
struct version_choice
{
    std::vector<endpoint_ptr> endpoints;
    version_reason reason = version_reason::settled;
};

/// The roll-out of one service.
class rollout_tracker
{
public:
    /// \param exposure share of requests that a version under roll-out may get.
    explicit rollout_tracker(double exposure)
        : m_exposure(exposure)
    {
    }

    /// Takes the operator's order; the row is kept when it belongs to it.
    void setOrder(const rollout_order &order);
    void clearOrder();

    /// Takes the row that all entries share. \returns false when it says nothing new.
    /// \param begin of its stage on this process's clock; until then the stage before holds.
    bool setRow(const rollout_row &row, time_point begin = {});

    const std::optional<rollout_order> &order() const { return m_order; }
    const std::optional<rollout_row> &row() const { return m_row; }

    /// \returns true when the row says that the order was carried out or taken back.
    bool isOver() const;

    /// \param version of all endpoints; null when they have several or there is none.
    /// \returns true when there is no order, so that all may serve any session.
    bool mayUseAll(const std::string *version);

    /// \returns those of \p endpoints that may serve \p request, and why these.
    version_choice eligible(const std::vector<endpoint_ptr> &endpoints,
                            const session_request &request);

    /// \returns for a session on trial all of \p endpoints with the new version, not only the few
    /// that the trial keeps to; otherwise none.
    std::vector<endpoint_ptr> targetEndpointsBeyondTrial(const std::vector<endpoint_ptr> &endpoints,
                                                         const session_request &request);

    /// \returns the stage of the order in force; empty when there is none, or it is not known.
    std::string_view stageName() const;

    /// \returns those of \p endpoints with the old version, while it is in force; otherwise none.
    std::vector<endpoint_ptr> settled(const std::vector<endpoint_ptr> &endpoints);

    /// A request for the service came in.
    void noteArrival(time_point now);

    /// An attempt ended. \param route and \p model: answers of one pair are alike.
    /// \param timing of the answer; empty when it failed.
    void observe(std::string_view version, std::string_view route, std::string_view model,
                 std::optional<answer_timing> timing, time_point now);

    /// An attempt waits for its first part. \param soFar its wait until now.
    /// \returns true when it counts as slow from now on.
    bool observeWait(std::string_view version, std::string_view route, std::string_view model,
                     const answer_timing &soFar, time_point now)
    {
        return m_evaluator.observeWait(isTarget(version), route, model, soFar, now);
    }

    /// An attempt was left because nothing came for too long. That is a slow answer, not a
    /// failure: a busy endpoint does it too.
    void observeSilence(std::string_view version, std::string_view route, time_point now);

    /// What has been seen of the version under roll-out.
    version_evaluator &evaluator() { return m_evaluator; }
    const version_evaluator &evaluator() const { return m_evaluator; }

    /// \param entries the number of entries that serve callers.
    /// \param othersKnown true when the other entries' evidence is known up to a moment ago.
    /// \returns the row to write next, if a step is due.
    std::optional<rollout_row> nextRow(milliseconds storeNow,
                                       const std::vector<endpoint_ptr> &endpoints,
                                       std::size_t entries, bool othersKnown = true) const;

    /// An entry that has found the version bad goes back alone only when the stage has not done so
    /// after this long: several looks at what is to be written, and a write. Going back at once,
    /// while the others went on for seconds, it moved 215 requests of sessions under way in ten
    /// roll-outs (32 entries, one of which gets failures).
    static constexpr milliseconds localRevertDelay{1000};

private:
    bool isTarget(std::string_view version) const
    {
        return m_order && version == m_order->targetVersion;
    }
    /// \returns true when the row says what the order's stage is.
    bool isCurrent() const;
    /// \returns the share of the sessions that gets the new version.
    double shareAt(time_point now) const;
    /// \returns true when the stage gives \p request the new version.
    bool isForTarget(const session_request &request) const;
    /// \returns true when this entry goes back alone.
    bool revertsLocally(time_point now);
    std::vector<endpoint_ptr> endpointsOfOldVersion(const std::vector<endpoint_ptr> &endpoints);
    std::vector<endpoint_ptr> endpointsOfTarget(const std::vector<endpoint_ptr> &endpoints) const;
    /// After a roll-out that was completed its version is the one in force.
    void noteCompletion();
    void limitToTrialEndpoints(std::vector<endpoint_ptr> &onTarget, time_point now) const;
    std::string_view settledVersion(const std::vector<endpoint_ptr> &endpoints);

    double m_exposure;
    std::deque<time_point> m_arrivals; ///< of the last second
    std::optional<rollout_order> m_order;
    std::optional<rollout_row> m_row;
    time_point m_stageBegin{}; ///< of the row's stage
    std::optional<time_point> m_foundBadAt; ///< when a request first met that finding
    version_evaluator m_evaluator;
    std::string m_settled; ///< version in force before the order, or while there is none
};

} // namespace laurelcroft

#endif
