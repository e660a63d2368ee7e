//===-- Proxy/RolloutTracker.h - versions of one service ---------*- C++ -*-===//
//
// Which versions of a service may serve a session, and whether the version under
// roll-out is worse than the settled one, from this entry's own requests.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_ROLLOUTTRACKER_H
#define LAURELCROFT_PROXY_ROLLOUTTRACKER_H

#include "laurelcroft/Fleet/ServiceDirectory.h"
#include "laurelcroft/Policy/ServiceRollout.h"
#include "laurelcroft/Policy/VersionGuard.h"
#include "laurelcroft/Proxy/RolloutRows.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

/// How long an answer took.
struct answer_timing
{
    duration wait{0}; ///< until its first part
    std::optional<duration> pause; ///< mean, between the events of a stream
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
    void clearOrder() { m_order.reset(); }

    /// Takes the row that all entries share. \returns false when it says nothing new.
    bool setRow(const rollout_row &row);

    const std::optional<rollout_order> &order() const { return m_order; }
    const std::optional<rollout_row> &row() const { return m_row; }

    /// \returns true when the row says that the order was carried out or taken back.
    bool isOver() const;

    /// \returns those of \p endpoints that may serve \p session.
    std::vector<endpoint_ptr> eligible(const std::vector<endpoint_ptr> &endpoints,
                                       std::uint64_t session);

    /// A request for the service came in.
    void arrived(time_point now);

    /// An attempt ended. \param route and \p model: answers of one pair are alike.
    /// \param timing of the answer; empty when it failed.
    void observe(std::string_view version, std::string_view route, std::string_view model,
                 std::optional<answer_timing> timing);

    /// Answers of the target version that this entry has seen since the order, by route.
    const rollout_evidence &ownEvidence() const { return m_own; }

    /// Takes what another entry has seen since the order.
    void takeEvidence(const std::string &entry, const rollout_evidence &evidence);

    /// \param entries the number of entries that serve callers.
    /// \returns the row to write next, if a step is due.
    std::optional<rollout_row> nextRow(milliseconds storeNow,
                                       const std::vector<endpoint_ptr> &endpoints,
                                       std::size_t entries) const;

private:
    struct time_mean
    {
        double milliseconds = 0;
        unsigned count = 0;
    };
    bool isCurrent() const { return m_order && m_row && m_row->orderedAt == m_order->orderedAt; }
    bool wantsTarget(std::uint64_t session) const;
    void keepTrialEndpoints(std::vector<endpoint_ptr> &onTarget) const;
    version_guard &guardOf(std::string_view name);
    void judge(std::string_view name, bool onTarget, bool bad);
    std::string_view settledVersion(const std::vector<endpoint_ptr> &endpoints);
    bool isSlow(const std::string &kind, duration time, bool onTarget);

    double m_exposure;
    std::deque<time_point> m_arrivals; ///< of the last second
    std::optional<rollout_order> m_order;
    std::optional<rollout_row> m_row;
    /// One for each route, and one for all: a version may be bad for one route only.
    std::map<std::string, version_guard, std::less<>> m_guards;
    std::map<std::string, time_mean> m_times; ///< of the settled version
    rollout_evidence m_own;
    std::map<std::string, rollout_evidence> m_others; ///< by entry
    std::string m_settled; ///< version in force while there is no order
};

} // namespace laurelcroft

#endif
