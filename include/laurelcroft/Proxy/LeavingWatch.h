//===-- Proxy/LeavingWatch.h - leaving state from answers --------*- C++ -*-===//
//
// Marks endpoints as leaving when their answers state it, since their rows may be updated much
// later. Not thread-safe.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_LEAVINGWATCH_H
#define LAURELCROFT_PROXY_LEAVINGWATCH_H

#include "laurelcroft/Fleet/ServiceDirectory.h"
#include "laurelcroft/Proxy/LeavingNotice.h"
#include "laurelcroft/Support/LogLimiter.h"

#include <functional>
#include <string_view>
#include <utility>

namespace laurelcroft {

/// Marks leaving endpoints in the directory, logs them and notifies other entries.
class leaving_watch
{
public:
    /// Called once for each endpoint found to be leaving, to forward the notice to other entries.
    using listener = std::function<void(const leaving_notice &notice)>;
    void setListener(listener onLeaving) { m_listener = std::move(onLeaving); }

    /// Records that an answer of \p endpoint to this entry states that it is leaving.
    void update(service_directory &directory, const service_endpoint &endpoint, time_point now);

    /// Applies a notice from another entry. Forwards it if it is new here and has hops left.
    void applyNotice(service_directory &directory, const leaving_notice &notice, time_point now);

private:
    /// Bounds the log volume when many endpoints leave at once.
    static constexpr double logLinesPerSecond = 20;

    /// \param source origin of the statement, for the log.
    /// \returns true if the endpoint was not yet known to be leaving.
    bool setLeaving(service_directory &directory, std::string_view id, std::uint64_t startedAt,
                    std::string_view source, time_point now);

    listener m_listener;
    log_limiter m_logLimiter{logLinesPerSecond};
};

} // namespace laurelcroft

#endif
