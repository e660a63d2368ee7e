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

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laurelcroft {

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

    /// Takes the row that all entries share.
    void setRow(const rollout_row &row);

    const std::optional<rollout_order> &order() const { return m_order; }
    const std::optional<rollout_row> &row() const { return m_row; }

    /// \returns those of \p endpoints that may serve \p session.
    std::vector<endpoint_ptr> eligible(const std::vector<endpoint_ptr> &endpoints,
                                       std::uint64_t session);

    /// A request for the service came in.
    void arrived(time_point now);

    /// An attempt ended. \param kind route and model: answers of one kind are alike.
    /// \param wait until the first part of the answer; empty when it failed.
    void observe(std::string_view version, std::string_view kind, std::optional<duration> wait);

    /// \param entries the number of entries that serve callers.
    /// \returns the row to write next, if a step is due.
    std::optional<rollout_row> nextRow(milliseconds storeNow,
                                       const std::vector<endpoint_ptr> &endpoints,
                                       std::size_t entries) const;

private:
    struct wait_mean
    {
        double milliseconds = 0;
        unsigned count = 0;
    };
    bool isCurrent() const { return m_order && m_row && m_row->orderedAt == m_order->orderedAt; }
    bool wantsTarget(std::uint64_t session) const;
    std::string_view settledVersion(const std::vector<endpoint_ptr> &endpoints);
    bool isSlow(std::string_view kind, duration wait, bool onTarget);

    double m_exposure;
    std::deque<time_point> m_arrivals; ///< of the last second
    std::optional<rollout_order> m_order;
    std::optional<rollout_row> m_row;
    std::optional<version_guard> m_guard;
    std::map<std::string, wait_mean, std::less<>> m_waits; ///< of the settled version
    std::string m_settled; ///< version in force while there is no order
};

} // namespace laurelcroft

#endif
