//===-- FlowReporter.h - logs and metrics of requests ------------*- C++ -*-===//
//
// Writes the log lines and metrics of request flows. The number of log lines per second is limited.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_PROXY_FLOWREPORTER_H
#define LAURELCROFT_LIB_PROXY_FLOWREPORTER_H

#include "laurelcroft/Policy/SendBudget.h"
#include "laurelcroft/Proxy/CallerServer.h"
#include "laurelcroft/Proxy/FlowTypes.h"
#include "laurelcroft/Proxy/RoutingState.h"
#include "laurelcroft/Support/LogLimiter.h"
#include "laurelcroft/Support/Metrics.h"

#include <string>

namespace laurelcroft {

/// Reports the requests of one entry. Not thread-safe.
class flow_reporter
{
public:
    flow_reporter(metric_registry &metrics, routing_state &routing)
        : m_metrics(metrics)
        , m_routing(routing)
    {
    }

    /// Reports the end of a request.
    void finished(const flow_record &record, time_point now);

    /// Reports the end of an attempt that was not answered.
    void attemptEnded(const flow_record &record, attempt_end end, next_step step, time_point now);

    /// Reports that an answer was dropped for one of the larger \p model.
    void escalated(const flow_record &record, const std::string &model, time_point now);

    /// Counts a send after the first one.
    void sentFurther(const flow_record &record, further_send what);

    /// Reports how many log lines were suppressed or lost since the last call.
    void logSuppressedLines();

    /// Reports the memory held for slow callers, and what was done to bound it since \p before.
    void memoryHeld(const caller_memory &memory, const caller_memory &before);

    /// Sets the gauges of the routing state.
    void setGauges(time_point now);

private:
    /// Log lines per second for requests that were served at the first attempt, and for all others.
    /// At about 350 bytes per line, this limits the log to 140 kB/s.
    static constexpr double ordinaryLinesPerSecond = 100;
    static constexpr double unusualLinesPerSecond = 300;
    /// The same for decisions on second runs.
    static constexpr double secondRunLinesPerSecond = 50;

    void reportRoom(const flow_record &record, time_point now);
    /// Reports the decision on a second run of a request on a larger model, if there was one.
    void reportSecondRun(const flow_record &record, time_point now);
    void reportBorrowing();
    static void logFinished(const flow_record &record);
    /// Logs the pace expected of the endpoint, where pace is used.
    static void logPace(const flow_record &record);

    metric_registry &m_metrics;
    routing_state &m_routing;
    log_limiter m_ordinary{ordinaryLinesPerSecond};
    log_limiter m_unusual{unusualLinesPerSecond};
    log_limiter m_secondRuns{secondRunLinesPerSecond};
};

} // namespace laurelcroft

#endif
