//===-- ProxyServer.cpp - proxy server of an entry --------------------------===//
//
// The production environment of request flows, and the servers around them.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/ProxyServer.h"

#include "FlowReporter.h"

#include "laurelcroft/Policy/MemoryBudget.h"
#include "laurelcroft/Proxy/CallerServer.h"
#include "laurelcroft/Proxy/EndpointCaller.h"
#include "laurelcroft/Proxy/RequestFlow.h"
#include "laurelcroft/Support/Log.h"
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
            exchange.setUrgency(attempt.priority);
            return server->endpoints.call(std::move(attempt), std::move(events));
        }
        void cancel(call_id call) { server->endpoints.cancel(call); }
        void reply(int status, const http_headers &headers, std::string_view body)
        {
            exchange.reply(status, headers, body);
        }
        void begin(int status, const http_headers &headers) { exchange.begin(status, headers); }
        void beginWhole(int status, const http_headers &headers,
                        std::optional<std::uint64_t> length)
        {
            exchange.begin(status, headers, length);
        }
        bool holdAnswer(std::size_t bytes) { return exchange.holdAnswer(bytes); }
        bool isCallerBehind() { return exchange.isBehind(); }
        bool hasMemoryFor(int urgency) { return server->callers.hasMemoryFor(urgency); }
        bool wasCallerCutOff() { return exchange.wasCutOff(); }
        time_point callerProgressAt() { return exchange.progressAt(); }
        void whenCallerDrained(std::function<void()> action)
        {
            exchange.whenDrained(std::move(action));
        }
        void pause(call_id call)
        {
            server->metrics.add("call_pauses_total");
            server->endpoints.pause(call);
        }
        void resume(call_id call) { server->endpoints.resume(call); }
        void write(std::string_view piece) { exchange.write(piece); }
        void end() { exchange.end(); }
        void abort() { exchange.abort(); }
        void finished(const flow_record &record) { server->finished(record); }
        void escalated(const flow_record &record, const std::string &model)
        {
            server->reporter.escalated(record, model, server->runtime.now());
        }
        void sentFurther(const flow_record &record, further_send what)
        {
            server->reporter.sentFurther(record, what);
        }
        void attemptEnded(const flow_record &record, attempt_end end, next_step step)
        {
            server->reporter.attemptEnded(record, end, step, server->runtime.now());
        }
        void checkEnded(const endpoint_ptr &endpoint) { server->checkEnded(endpoint); }
    };
    using flow = request_flow<environment>;

    state(asio::io_context &context, routing_state &routing, metric_registry &metrics,
          proxy_dialect dialect, proxy_options options);

    void onRequest(message_head &&head, std::string &&body, caller_exchange exchange);
    void onReadyCheck(const message_head &head, caller_exchange &exchange);
    void finished(const flow_record &record);
    void checkEnded(const endpoint_ptr &endpoint);
    bool hasRoomAt(const service_endpoint &endpoint) const;
    bool isReady() const;
    void logReadiness();
    void housekeep();
    void setGauges();
    void reportMemory();
    int urgencyOf(const message_head &head) const;
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
    flow_reporter reporter;
    caller_memory reportedMemory; ///< counters as of the last report
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
    , metricsServer(context,
                    [&metrics](message_head &&, std::string &&, caller_exchange exchange) {
                        exchange.reply(http_status::ok, {{"Content-Type", "text/plain"}},
                                       metrics.prometheusText());
                    })
    , reporter(metrics, routing)
{
    if (this->options.memoryBudget > 0)
        callers.setMemoryBudget(this->options.memoryBudget);
    callers.setUrgency([this](const message_head &head) { return urgencyOf(head); });
}

int proxy_server::state::urgencyOf(const message_head &head) const
{
    const contract_ptr &contract = routing.contract();
    const proxy_request request = dialect.decodeRequest(message_head(head));
    const service_route *route
            = contract ? contract->findRoute(request.host, request.path) : nullptr;
    return route ? priorityOf(*route, contract->findCustomer(request.key))
                 : memory_budget::minUrgency;
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
    else if (draining)
        item->startBeforeShutdown(drainDeadline);
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
    reporter.finished(record, runtime.now());
    // The flow is still on the call stack, so it is removed later.
    if (removalPosted)
        return;
    removalPosted = true;
    asio::post(context, [this] { removeFinishedFlows(); });
}

void proxy_server::state::removeFinishedFlows()
{
    removalPosted = false;
    std::erase_if(flows, [](const std::shared_ptr<flow> &item) { return item->isDone(); });
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
    callers.releaseMemory();
    routing.crashes().clearPending(runtime.now());
    routing.runs().sweep(runtime.now());
    routing.directory().expire(runtime.now());
    routing.suspects().expire(runtime.now());
    routing.creditBudgets(runtime.now());
    reporter.logSuppressedLines();
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
    metrics.set("in_flight", static_cast<double>(flows.size()));
    metrics.set("caller_connections", static_cast<double>(callers.connections()));
    metrics.set("endpoint_connections_opened", static_cast<double>(endpoints.opened()));
    reporter.setGauges(runtime.now());
    reportMemory();
}

void proxy_server::state::reportMemory()
{
    const caller_memory memory = callers.memory();
    metrics.set("calls_paused", static_cast<double>(endpoints.paused()));
    reporter.memoryHeld(memory, reportedMemory);
    reportedMemory = memory;
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
        runtime.after(drainCheckInterval, [this] {
            callers.abortUnsent();
            onDrained();
        });
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
