//===-- ProxyServer.cpp - proxy server of an entry --------------------------===//
//
// The production environment of request flows, and the servers, logs and metrics around them.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/ProxyServer.h"

#include "laurelcroft/Proxy/CallerServer.h"
#include "laurelcroft/Proxy/EndpointCaller.h"
#include "laurelcroft/Proxy/RequestFlow.h"
#include "laurelcroft/Proxy/RequestKey.h"
#include "laurelcroft/Support/Log.h"
#include "laurelcroft/Support/LogLimiter.h"
#include "laurelcroft/Support/Runtime.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

using namespace laurelcroft;

namespace {

/// Interval of closing idle connections, expiring old state and setting gauges.
constexpr milliseconds housekeepingInterval{1000};
/// Time reserved at the end of the grace period to write the last answers.
constexpr milliseconds finalWriteTime{400};
/// Interval at which a draining process checks whether it is done.
constexpr milliseconds drainCheckInterval{100};
/// Estimated time from the exit of a process until its successor gets requests: its start and the
/// load balancer's next readiness check.
constexpr milliseconds restartTime{1500};
/// Maximum time for which a starting process delays accepting callers until it is ready. After
/// that, it accepts them and refuses their requests. Reading the contract takes some tens of
/// milliseconds, or up to half a second when all entries start together. With a limit of 400 ms,
/// 103 entries refused 401 callers some tens of milliseconds before their contracts were read.
constexpr milliseconds maxStartWait{800};
constexpr milliseconds startCheckInterval{5};
/// Fraction of an endpoint's connection limit that the entries share equally. The remainder is
/// left for new entries that are not known yet.
constexpr double connectionShare = 0.8;
/// Log lines per second for requests that were served at the first attempt, and for all others. At
/// about 350 bytes per line, this limits the log to 140 kB/s.
constexpr double ordinaryLinesPerSecond = 100;
constexpr double unusualLinesPerSecond = 300;
/// Minimum number of connections to an endpoint, regardless of the number of entries.
constexpr std::size_t minConnections = 4;

} // namespace

struct proxy_server::state
{
    /// Environment of one request flow.
    struct environment
    {
        state *server;
        caller_exchange exchange;

        asio_runtime &runtime() { return server->runtime; }
        routing_state &routing() { return server->routing; }
        bool hasRoomAt(const endpoint_ptr &endpoint) { return server->hasRoomAt(*endpoint); }
        call_id call(proxy_attempt attempt, call_events events)
        {
            return server->endpoints.call(std::move(attempt), std::move(events));
        }
        void cancel(call_id call) { server->endpoints.cancel(call); }
        void reply(int status, const http_headers &headers, std::string_view body)
        {
            exchange.reply(status, headers, body);
        }
        void begin(int status, const http_headers &headers) { exchange.begin(status, headers); }
        void write(std::string_view piece) { exchange.write(piece); }
        void end() { exchange.end(); }
        void abort() { exchange.abort(); }
        void finished(const flow_record &record) { server->finished(record); }
        void escalated(const flow_record &record, const std::string &model)
        {
            server->escalated(record, model);
        }
        void sentFurther(const flow_record &record, further_send what)
        {
            server->sentFurther(record, what);
        }
        void attemptEnded(const flow_record &record, attempt_end end, next_step step)
        {
            server->attemptEnded(record, end, step);
        }
        void checkEnded(const endpoint_ptr &endpoint) { server->checkEnded(endpoint); }
    };
    using flow = request_flow<environment>;

    state(asio::io_context &context, routing_state &routing, metric_registry &metrics,
          proxy_dialect dialect, proxy_options options);

    void onRequest(message_head &&head, std::string &&body, caller_exchange exchange);
    void onReadyCheck(const message_head &head, caller_exchange &exchange);
    void finished(const flow_record &record);
    void logFinished(const flow_record &record);
    void logSuppressedLines();
    void attemptEnded(const flow_record &record, attempt_end end, next_step step);
    void escalated(const flow_record &record, const std::string &model);
    void sentFurther(const flow_record &record, further_send what);
    void checkEnded(const endpoint_ptr &endpoint);
    bool hasRoomAt(const service_endpoint &endpoint) const;
    bool isReady() const;
    void logReadiness();
    void housekeep();
    void setGauges();
    void removeFinishedFlows();
    void acceptWhenReady(time_point latest);
    void checkDrained();
    milliseconds untilRestarted();

    asio::io_context &context;
    asio_runtime runtime;
    routing_state &routing;
    metric_registry &metrics;
    proxy_dialect dialect;
    proxy_options options;
    endpoint_caller endpoints;
    caller_server callers;
    caller_server readiness;
    caller_server metricsServer;
    std::unordered_set<std::shared_ptr<flow>> flows;
    log_limiter ordinary{ordinaryLinesPerSecond};
    log_limiter unusual{unusualLinesPerSecond};
    bool removalPosted = false;
    bool draining = false;
    bool isPastDrainDelay = false; ///< new requests may not finish before the deadline
    time_point drainDeadline{}; ///< when requests in progress are aborted
    bool lastReady = false;
    std::function<void()> onDrained;
};

proxy_server::state::state(asio::io_context &context, routing_state &routing,
                           metric_registry &metrics, proxy_dialect dialect, proxy_options options)
    : context(context)
    , runtime(context)
    , routing(routing)
    , metrics(metrics)
    , dialect(dialect)
    , options(std::move(options))
    , endpoints(context, dialect, [this](const endpoint_ptr &endpoint) { checkEnded(endpoint); })
    , callers(context,
              [this](message_head &&head, std::string &&body, caller_exchange exchange) {
                  onRequest(std::move(head), std::move(body), std::move(exchange));
              })
    , readiness(context,
                [this](message_head &&head, std::string &&, caller_exchange exchange) {
                    onReadyCheck(head, exchange);
                })
    , metricsServer(context, [&metrics](message_head &&, std::string &&, caller_exchange exchange) {
        exchange.reply(http_status::ok, {{"Content-Type", "text/plain"}}, metrics.prometheusText());
    })
{
}

bool proxy_server::state::isReady() const
{
    return !draining && routing.contract() && !routing.directory().all().empty();
}

void proxy_server::state::onReadyCheck(const message_head &head, caller_exchange &exchange)
{
    if (head.target != options.readyPath) {
        exchange.reply(http_status::notFound, {}, "");
        return;
    }
    exchange.reply(isReady() ? http_status::ok : http_status::unavailable, {}, "");
}

void proxy_server::state::onRequest(message_head &&head, std::string &&body,
                                    caller_exchange exchange)
{
    auto request = std::make_shared<proxy_request>(dialect.decodeRequest(std::move(head)));
    request->body = std::move(body);
    const auto item = std::make_shared<flow>(environment{this, exchange}, std::move(request));
    flows.insert(item);
    exchange.onDisconnect([weak = std::weak_ptr<flow>(item)] {
        if (const auto self = weak.lock())
            self->callerLeft();
    });
    if (isPastDrainDelay)
        item->startDuringShutdown(drainDeadline, untilRestarted());
    else
        item->start();
}

bool proxy_server::state::hasRoomAt(const service_endpoint &endpoint) const
{
    const service_description *service = routing.contract()
            ? routing.contract()->findService(endpoint.record().service)
            : nullptr;
    const std::size_t limit = service ? service->maxConnections : minConnections;
    const double sharers = static_cast<double>(std::max<std::size_t>(1, routing.entries()));
    const auto ownShare
            = static_cast<std::size_t>(static_cast<double>(limit) * connectionShare / sharers);
    return endpoints.hasRoom(endpoint, std::max(minConnections, ownShare));
}

void proxy_server::state::finished(const flow_record &record)
{
    const std::string_view reason = textOf(record.reason);
    metrics.add("answers_total{reason=\"" + std::string(reason) + "\"}");
    if (record.firstPart)
        metrics.record("first_part_seconds", *record.firstPart);
    metrics.record("request_seconds", record.total);
    if (record.escalations > 0)
        metrics.add("escalations_total", record.escalations);
    if (record.resumes > 0)
        metrics.add("resumes_total", record.resumes);
    if (!record.versionReason.empty())
        metrics.add("versions_total{by=\"" + std::string(record.versionReason) + "\"}");
    const bool isOrdinary = record.reason == flow_reason::served && record.resumes == 0
            && record.attempts == record.escalations + 1;
    if ((isOrdinary ? ordinary : unusual).allows(runtime.now()))
        logFinished(record);
    // The flow is still on the call stack, so it is removed later.
    if (removalPosted)
        return;
    removalPosted = true;
    asio::post(context, [this] { removeFinishedFlows(); });
}

void proxy_server::state::logFinished(const flow_record &record)
{
    const std::string_view reason = textOf(record.reason);
    logInfo(log_part::routing, "request ended",
            {{"request", record.request},
             {"reason", reason},
             {"status", std::int64_t(record.status)},
             {"session", record.session},
             {"route", record.route},
             {"customer", record.customer},
             {"service", record.service},
             {"contract", std::int64_t(record.contract)},
             {"endpoint", record.endpoint},
             {"endpoint_leaving", record.endpointLeaving ? "yes" : "no"},
             {"version", record.endpointVersion},
             {"version_by", record.versionReason},
             {"stage", record.stage},
             {"model", record.model},
             {"choice", record.choice},
             {"confidence", std::int64_t(record.confidence.value_or(-1))},
             {"service_wait_percent", std::lround(record.serviceWait * 100)},
             {"larger_expected_percent", std::lround(record.largerExpectedAt * 100)},
             {"attempts", std::int64_t(record.attempts)},
             {"escalations", std::int64_t(record.escalations)},
             {"resumes", std::int64_t(record.resumes)},
             {"events", std::int64_t(record.events)},
             {"first_ms", std::int64_t(record.firstPart.value_or(milliseconds(-1)).count())},
             {"total_ms", std::int64_t(record.total.count())}});
}

void proxy_server::state::logSuppressedLines()
{
    const std::uint64_t ordinarySuppressed = ordinary.takeSuppressedCount();
    const std::uint64_t unusualSuppressed = unusual.takeSuppressedCount();
    const std::uint64_t lost = takeDroppedLines();
    metrics.add("log_lines_held_total", ordinarySuppressed + unusualSuppressed);
    metrics.add("log_lines_lost_total", lost);
    if (ordinarySuppressed + unusualSuppressed + lost == 0)
        return;
    logWarning(log_part::routing, "log lines left out",
               {{"ordinary", std::int64_t(ordinarySuppressed)},
                {"unusual", std::int64_t(unusualSuppressed)},
                {"reader_too_slow", std::int64_t(lost)}});
}

void proxy_server::state::removeFinishedFlows()
{
    removalPosted = false;
    std::erase_if(flows, [](const std::shared_ptr<flow> &item) { return item->isDone(); });
}

void proxy_server::state::attemptEnded(const flow_record &record, attempt_end end, next_step step)
{
    metrics.add("attempts_total{end=\"" + std::string(textOf(end)) + "\"}");
    if (step != next_step::tryElsewhere && step != next_step::resumeElsewhere)
        metrics.add("attempts_last_total{lacks=\"" + std::string(textOf(record.lack)) + "\"}");
    if (!unusual.allows(runtime.now()))
        return;
    logInfo(log_part::routing, "attempt ended",
            {{"request", record.request},
             {"end", textOf(end)},
             {"next", textOf(step)},
             {"endpoint", record.endpoint},
             {"version", record.endpointVersion},
             {"version_by", record.versionReason},
             {"attempt", std::int64_t(record.attempts)},
             {"took_ms", std::int64_t(record.attemptDuration.count())},
             {"left_ms", std::int64_t(record.timeLeft.count())},
             {"events", std::int64_t(record.events)},
             {"endpoint_leaving", record.endpointLeaving ? "yes" : "no"},
             {"retry_after_ms",
              std::int64_t(record.endpointRetryAfter.value_or(milliseconds(-1)).count())},
             {"lacks", textOf(record.lack)},
             {"budget_left", std::lround(record.budgetLeft)},
             {"request_key", record.key ? textOf(*record.key) : ""}});
}

void proxy_server::state::escalated(const flow_record &record, const std::string &model)
{
    if (!ordinary.allows(runtime.now()))
        return;
    logInfo(log_part::routing, "escalated",
            {{"request", record.request},
             {"from", record.model},
             {"to", model},
             {"confidence", std::int64_t(record.confidence.value_or(-1))},
             {"service_wait_percent", std::lround(record.serviceWait * 100)}});
}

void proxy_server::state::sentFurther(const flow_record &record, further_send what)
{
    metrics.add("further_sends_total{service=\"" + record.service + "\",for=\""
                + std::string(textOf(what)) + "\"}");
}

void proxy_server::state::checkEnded(const endpoint_ptr &endpoint)
{
    const time_point at = runtime.now();
    if (routing.runs().findSuspects(endpoint->record().id, at).empty())
        return;
    endpoints.checkEnded(endpoint, [this, endpoint, at] {
        metrics.add("endpoint_ends_total");
        routing.crashes().endpointEnded(*endpoint, at);
    });
}

void proxy_server::state::housekeep()
{
    endpoints.sweep();
    routing.runs().sweep(runtime.now());
    routing.directory().expire(runtime.now());
    routing.suspects().expire(runtime.now());
    logSuppressedLines();
    setGauges();
    logReadiness();
    runtime.after(housekeepingInterval, [this] { housekeep(); });
}

void proxy_server::state::logReadiness()
{
    if (isReady() == lastReady)
        return;
    lastReady = isReady();
    logInfo(log_part::routing, lastReady ? "ready" : "not ready",
            {{"endpoints", std::int64_t(routing.directory().all().size())},
             {"draining", draining ? "yes" : "no"}});
}

void proxy_server::state::setGauges()
{
    const time_point now = runtime.now();
    metrics.set("in_flight", static_cast<double>(flows.size()));
    metrics.set("caller_connections", static_cast<double>(callers.connections()));
    metrics.set("endpoint_connections_opened", static_cast<double>(endpoints.opened()));
    const auto &listed = routing.directory().all();
    const auto cold = std::count_if(listed.begin(), listed.end(),
                                    [now](const auto &item) { return item.second->isCold(now); });
    metrics.set("endpoints_listed", static_cast<double>(listed.size()));
    metrics.set("endpoints_cold", static_cast<double>(cold));
    const auto limited = std::count_if(listed.begin(), listed.end(), [](const auto &item) {
        return item.second->rateLimit().has_value();
    });
    const auto leaving = std::count_if(listed.begin(), listed.end(),
                                       [](const auto &item) { return item.second->isLeaving(); });
    metrics.set("endpoints_leaving", static_cast<double>(leaving));
    const auto inBackoff = std::count_if(listed.begin(), listed.end(), [now](const auto &item) {
        return item.second->isInBackoff(now);
    });
    metrics.set("endpoints_in_backoff", static_cast<double>(inBackoff));
    metrics.set("endpoints_limited", static_cast<double>(limited));
    metrics.add("rate_limit_changes_total", routing.rateLimits().takeChanges());
    metrics.add("requests_withheld_total", routing.crashes().takeNewlyWithheld());
    metrics.set("requests_withheld", static_cast<double>(routing.suspects().withheld().size()));
    metrics.set("requests_suspected", static_cast<double>(routing.suspects().suspectCount()));
    metrics.set("entries_known", static_cast<double>(routing.entries()));
    for (auto &[service, budget] : routing.allRepeats())
        metrics.set("further_sends_left{service=\"" + service + "\"}",
                    budget.availableSends(now, routing.shareOfEntries()));
}

void proxy_server::state::acceptWhenReady(time_point latest)
{
    if (draining)
        return;
    if (isReady() || runtime.now() >= latest) {
        logReadiness();
        callers.accept();
        return;
    }
    runtime.after(startCheckInterval, [this, latest] { acceptWhenReady(latest); });
}

milliseconds proxy_server::state::untilRestarted()
{
    // Callers still connect here if the load balancer has no other entry because all are restarted
    // at once.
    const milliseconds untilDeadline
            = std::chrono::ceil<milliseconds>(drainDeadline - runtime.now());
    return std::max(milliseconds(0), untilDeadline) + restartTime;
}

void proxy_server::state::checkDrained()
{
    const bool isLate = runtime.now() >= drainDeadline;
    if (isLate) {
        const auto remaining = flows;
        for (const std::shared_ptr<flow> &item : remaining)
            item->giveUp();
    }
    const bool isDone = flows.empty() && callers.busyConnections() == 0;
    if (isDone || isLate) {
        logInfo(log_part::routing, "drained",
                {{"unfinished", std::int64_t(isLate ? flows.size() : 0)}});
        // Requests that arrive from now on could not finish. Without this, one or two requests were
        // cut off on each of four test days with restarts.
        drainDeadline = std::min(drainDeadline, runtime.now());
        // The delay lets the event loop write the last answers.
        runtime.after(drainCheckInterval, onDrained);
        return;
    }
    runtime.after(drainCheckInterval, [this] { checkDrained(); });
}

proxy_server::proxy_server(asio::io_context &context, routing_state &routing,
                           metric_registry &metrics, proxy_dialect dialect, proxy_options options)
    : m_state(std::make_unique<state>(context, routing, metrics, std::move(dialect),
                                      std::move(options)))
{
}

proxy_server::~proxy_server() = default;

std::string proxy_server::open()
{
    const proxy_options &options = m_state->options;
    std::string fault = m_state->callers.listen(options.host, options.port);
    if (!fault.empty())
        return "callers' address: " + fault;
    fault = m_state->readiness.open(options.readyHost, options.readyPort);
    if (!fault.empty())
        return "readiness address: " + fault;
    if (options.metricsPort != 0) {
        fault = m_state->metricsServer.open(options.metricsHost, options.metricsPort);
        if (!fault.empty())
            return "metrics address: " + fault;
    }
    m_state->housekeep();
    m_state->acceptWhenReady(m_state->runtime.now() + maxStartWait);
    return {};
}

void proxy_server::contractChanged()
{
    const contract_ptr &contract = m_state->routing.contract();
    caller_server_bounds bounds;
    bounds.maxHeaderBytes = contract->limits.maxHeaderBytes;
    bounds.maxBodyBytes = contract->limits.maxBodyBytes;
    bounds.headerTimeout = contract->limits.headerTimeout;
    bounds.idleTimeout = contract->limits.idleTimeout;
    bounds.maxConnections = m_state->options.maxCallers;
    m_state->callers.setBounds(bounds);
}

void proxy_server::drain(std::function<void()> done)
{
    m_state->draining = true;
    m_state->onDrained = std::move(done);
    m_state->callers.closeAfterAnswers();
    m_state->drainDeadline = m_state->runtime.now() + m_state->options.gracePeriod - finalWriteTime;
    m_state->runtime.after(m_state->options.drainDelay, [this] {
        m_state->isPastDrainDelay = true;
        m_state->callers.drainConnections();
        m_state->checkDrained();
    });
}
