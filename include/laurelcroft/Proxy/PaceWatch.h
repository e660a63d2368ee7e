//===-- Proxy/PaceWatch.h - learned pace of endpoints -----------*- C++ -*-===//
//
// Learns how fast endpoints are from their answers, and exchanges it with other entries: one of
// many entries gets an answer of each endpoint only every few seconds. What others report is never
// forwarded. Not thread-safe.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_PACEWATCH_H
#define LAURELCROFT_PROXY_PACEWATCH_H

#include "laurelcroft/Fleet/ServiceDirectory.h"
#include "laurelcroft/Policy/QueueTime.h"
#include "laurelcroft/Policy/UsualTime.h"
#include "laurelcroft/Proxy/PaceNotice.h"
#include "laurelcroft/Support/LogLimiter.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace laurelcroft {

/// The pace that this entry has learned since its last notice, and the usual times it compares
/// with.
class pace_watch
{
public:
    /// Endpoints that are slower than usual by this factor are counted as slow in metrics.
    static constexpr double slowFactor = 1.5;

    /// Called for a stated slowdown that others must know at once.
    using listener = std::function<void(const pace_notice &notice)>;
    void setListener(listener onChange) { m_listener = std::move(onChange); }

    /// Records the slowdown that an answer of \p endpoint states.
    void noteStated(const service_endpoint &endpoint, time_point now);

    /// Records the time that a piece of work took at \p endpoint.
    /// \param work what was done; times of the same work are compared with each other.
    void observe(service_endpoint &endpoint, std::string_view work, duration time, time_point now);

    /// \returns the mean work of requests to \p service.
    mean_work &workOf(std::string_view service);

    /// \returns what was learned since the last call, or nothing if it is nothing.
    std::optional<pace_notice> takeNotice();

    /// Applies a notice from another entry. Unlisted endpoints are ignored.
    void applyNotice(const service_directory &directory, const pace_notice &notice, time_point now);

    /// \returns the number of notable changes of stated slowdowns since the last call.
    unsigned takeChanges() { return std::exchange(m_changes, 0); }

    /// \returns the number of endpoints believed to be slow.
    static std::size_t slowEndpoints(const service_directory &directory, time_point now);

private:
    /// Bounds the memory for usual times; more kinds of work share none.
    static constexpr std::size_t maxKinds = 256;
    /// What another entry observed counts less than an own observation: its usual times differ.
    static constexpr double remoteWeight = 0.5;

    /// Bounds the memory for what was told.
    static constexpr std::size_t maxTold = 10'000;
    /// The stated slowdown that was last told to others, or by others.
    struct told_pace
    {
        unsigned percent = 0; ///< 0: nothing yet
        time_point at{};
    };

    /// Log lines about endpoints whose pace changes.
    static constexpr double logLinesPerSecond = 2;

    void noteChange(std::string_view endpoint, unsigned before, unsigned after, time_point now);
    pace_report &reportOn(const service_endpoint &endpoint);

    listener m_listener;
    log_limiter m_logLimiter{logLinesPerSecond};
    unsigned m_changes = 0; ///< since the last call of takeChanges()
    std::map<std::string, usual_time, std::less<>> m_usual; ///< keyed by work
    std::map<std::string, mean_work, std::less<>> m_work; ///< keyed by service
    std::map<std::string, pace_report, std::less<>> m_reports; ///< keyed by endpoint
    std::map<std::string, told_pace, std::less<>> m_told; ///< keyed by endpoint
    std::string m_lastReported; ///< endpoint of the last report in the last notice
};

} // namespace laurelcroft

#endif
