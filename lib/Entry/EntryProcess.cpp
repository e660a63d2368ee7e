//===-- EntryProcess.cpp - the entry process ------------------------------===//
//
// Connects the core with callers on one side and agents on the other.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Entry/EntryProcess.h"

#include "CallerServer.h"
#include "DemandSharing.h"
#include "FleetStatus.h"
#include "laurelcroft/Entry/EntryCore.h"
#include "laurelcroft/Node/Drain.h"
#include "laurelcroft/Node/NodeEnvironment.h"

#include <atomic>
#include <iostream>
#include <random>
#include <set>

using namespace laurelcroft;

namespace {

constexpr duration maintenanceTick = milliseconds(100);
constexpr duration subsetDelay = milliseconds(50);
constexpr duration loadStreamRetry = milliseconds(500);
constexpr duration revokeTimeout = milliseconds(500);
constexpr duration minDrainTime = milliseconds(500);
constexpr duration minFlushPeriod = milliseconds(100);
/// The period of writing bills to the table grows with the number of entries.
constexpr duration flushPeriodPerEntry = milliseconds(3);

/// Handlers for the streams of attempts. \c onMessage also gets the message's size on the link.
struct attempt_stream_handlers
{
    std::function<void(attempt_handle, const wire::from_agent &, std::size_t)> onMessage;
    std::function<void(attempt_handle)> onStreamClosed;
};

/// Implements the environment of the core.
class entry_io : public node_environment
{
public:
    entry_io(event_loop_thread &routing, node_options options, metric_registry &metrics)
        : node_environment(routing, std::move(options))
        , m_metrics(metrics)
    {
    }

    void connect(caller_server &callers, attempt_stream_handlers handlers)
    {
        m_callers = &callers;
        m_streamHandlers = std::move(handlers);
    }

    void answer(caller_id caller, answer_event event)
    {
        m_callers->answer(caller, std::move(event));
    }
    attempt_handle openAttempt(const std::string &instance, const wire::from_entry &first);
    void sendAttempt(attempt_handle handle, const wire::from_entry &message);
    void closeAttempt(attempt_handle handle);
    void consumeAttempt(attempt_handle handle, std::size_t bytes);
    void revoke(const std::string &instance, const wire::revoke &message,
                std::function<void(std::optional<wire::revoked>)> done);
    void recordDecision(const decision &made);
    void rate(const rating_sample &sample, std::function<void(std::optional<double>)> done);
    void broadcastRolloutStop(const std::string &model, const std::string &version);
    bool tableReachable() { return !ownNode().table().isBreakerOpen(); }

private:
    metric_registry &m_metrics;
    caller_server *m_callers = nullptr;
    attempt_stream_handlers m_streamHandlers;
    std::map<attempt_handle, std::shared_ptr<link_stream>> m_streams;
    attempt_handle m_lastHandle = 0;
};

using core_type = entry_core<asio_runtime, http_table, entry_io>;

/// Owns the parts of an entry and connects them.
class entry_process
{
public:
    entry_process(event_loop_thread &routing, node_options nodeOptions, entry_options options,
                  const caller_server_options &callerOptions, session_token_codec tokenCodec)
        : m_random(std::random_device{}())
        , m_io(routing, std::move(nodeOptions), m_metrics)
        , m_node(m_io.ownNode())
        , m_core(m_node.runtime(), m_node.table(), m_io, m_random, m_node.options().signoff,
                 std::move(tokenCodec), std::move(options))
        , m_callers(
                  routing, callerOptions, m_metrics, [this] { return m_ready.load(); },
                  [this](caller_message &&message) { onCaller(std::move(message)); })
        , m_status(m_node)
        , m_sharing(m_node, m_core.limits(), [this] { return m_core.bundleTracker().current(); })
    {
        attempt_stream_handlers handlers;
        handlers.onMessage
                = [this](attempt_handle handle, const wire::from_agent &message,
                         std::size_t bytes) { m_core.runner().onMessage(handle, message, bytes); };
        handlers.onStreamClosed
                = [this](attempt_handle handle) { m_core.runner().onStreamClosed(handle); };
        m_io.connect(m_callers, std::move(handlers));
    }

    std::string start();
    void beginDrain();
    bool isIdle() const { return m_core.isIdle() && m_callers.isIdle(); }
    void stop();
    std::uint16_t port() const { return m_callers.port(); }
    std::uint16_t adminPort() const { return m_callers.adminPort(); }

private:
    node_events nodeEvents();
    void onCaller(caller_message &&message);
    void onMember(const wire::member &item);
    void onStream(const std::shared_ptr<link_stream> &stream);
    /// Schedules a new choice of subsets, and opens and closes load streams accordingly.
    void refreshSubsets();
    /// Opens the stream on which an agent sends load reports; reopens it after a failure.
    void openLoadStream(const std::string &agent);
    /// Does the periodic work: readiness, announcements, bills held for long, and metrics.
    void maintain();
    void answerFleet(caller_id id);

    metric_registry m_metrics;
    random_source m_random;
    entry_io m_io;
    node &m_node;
    core_type m_core;
    std::atomic<bool> m_ready{false};
    caller_server m_callers;
    fleet_status m_status;
    demand_sharing m_sharing;
    std::map<std::string, std::shared_ptr<link_stream>> m_loadStreams;
    std::set<std::string> m_loadStreamAgents;
    bool m_subsetScheduled = false;
    bundle_epoch m_announcedEpoch = 0;
};

} // namespace

attempt_handle entry_io::openAttempt(const std::string &instance, const wire::from_entry &first)
{
    const attempt_handle handle = ++m_lastHandle;
    link_stream::events handlers;
    handlers.onMessage = [this, handle](std::string_view bytes) {
        wire::from_agent message;
        if (message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
            m_streamHandlers.onMessage(handle, message, bytes.size() + linkFrameBytes);
    };
    handlers.onClosed = [this, handle](bool) {
        m_streams.erase(handle);
        m_streamHandlers.onStreamClosed(handle);
    };
    const auto stream = ownNode().open(instance, "/attempt", std::move(handlers));
    stream->useManualFlow();
    stream->send(first.SerializeAsString());
    m_streams[handle] = stream;
    return handle;
}

void entry_io::sendAttempt(attempt_handle handle, const wire::from_entry &message)
{
    const auto it = m_streams.find(handle);
    if (it != m_streams.end())
        it->second->send(message.SerializeAsString());
}

void entry_io::closeAttempt(attempt_handle handle)
{
    auto node = m_streams.extract(handle);
    if (node.empty())
        return;
    // Discard further input, so that the agent can end its side of the stream.
    node.mapped()->setEvents({});
    node.mapped()->dropInput();
    node.mapped()->finish();
}

void entry_io::consumeAttempt(attempt_handle handle, std::size_t bytes)
{
    const auto it = m_streams.find(handle);
    if (it != m_streams.end())
        it->second->consume(bytes);
}

void entry_io::revoke(const std::string &instance, const wire::revoke &message,
                      std::function<void(std::optional<wire::revoked>)> done)
{
    ownNode().sendRequest(instance, "/revoke", message.SerializeAsString(), revokeTimeout,
                          [done = std::move(done)](const std::optional<std::string> &answer) {
                              wire::revoked reply;
                              if (answer && reply.ParseFromString(*answer))
                                  done(reply);
                              else
                                  done(std::nullopt);
                          });
}

void entry_io::recordDecision(const decision &made)
{
    m_metrics.add("decisions_total{kind=\"" + std::string(textOf(made.kind)) + "\"}");
    logInfo(log_part::routing, textOf(made.kind),
            {{"request", made.requestId},
             {"epoch", static_cast<std::int64_t>(made.epoch)},
             {"chosen", made.chosen},
             {"from", static_cast<std::int64_t>(made.considered)},
             {"reason", made.reason}});
}

void entry_io::rate(const rating_sample &sample, std::function<void(std::optional<double>)> done)
{
    if (!ownNode().options().ratings.url.empty())
        ownNode().ratings().rate(sample, std::move(done));
}

void entry_io::broadcastRolloutStop(const std::string &model, const std::string &version)
{
    wire::version_health health;
    health.set_model(model);
    health.set_version(version);
    health.set_stopped(true);
    ownNode().gossipVersionHealth(health);
}

node_events entry_process::nodeEvents()
{
    node_events events;
    events.onMember = [this](const wire::member &item) { onMember(item); };
    bindCoreEvents(events, m_core);
    events.onHealth = [this](const wire::version_health &health) {
        if (health.stopped())
            m_core.onRolloutStopped(health.model(), health.version());
    };
    events.onStream = [this](const auto &stream) { onStream(stream); };
    return events;
}

std::string entry_process::start()
{
    std::string error = m_node.start(nodeEvents());
    if (error.empty())
        error = m_callers.open();
    if (error.empty()) {
        maintain();
        m_sharing.start();
    }
    return error;
}

void entry_process::beginDrain()
{
    m_core.drain();
    m_ready = false;
    m_node.leave();
}

void entry_process::stop()
{
    m_callers.stop();
    m_node.stop();
}

void entry_process::onCaller(caller_message &&message)
{
    if (auto *run = std::get_if<caller_request>(&message)) {
        m_metrics.add("requests_total");
        m_core.submit(std::move(*run));
    } else if (auto *status = std::get_if<status_request>(&message)) {
        m_core.findRequest(*status);
    } else if (auto *models = std::get_if<models_request>(&message)) {
        m_core.listModels(*models);
    } else if (auto *left = std::get_if<caller_left>(&message)) {
        m_core.callerLeft(left->id);
    } else if (auto *consumed = std::get_if<caller_consumed>(&message)) {
        m_core.callerConsumed(consumed->id, consumed->linkBytes);
    } else if (auto *fleet = std::get_if<fleet_request>(&message)) {
        answerFleet(fleet->id);
    }
}

void entry_process::answerFleet(caller_id id)
{
    m_status.collect(m_core.bundleTracker().epoch(), [this, id](const std::string &body) {
        m_callers.answer(
                id, whole_answer{http_status::ok, {{"Content-Type", "application/json"}}, body});
    });
}

void entry_process::onMember(const wire::member &item)
{
    if (item.state() == wire::member_dead)
        m_core.outbox().onPeerDead(item.id());
    if (m_core.directory().onMember(item) || item.state() == wire::member_dead)
        refreshSubsets();
    std::size_t entries = 1;
    for (const auto &[id, known] : m_node.members()) {
        if (known.role() == wire::role_entry && known.state() != wire::member_dead)
            entries += 1;
    }
    m_core.limits().setEntries(entries);
    m_core.outbox().setFlushPeriod(
            std::max(minFlushPeriod, static_cast<int>(entries) * flushPeriodPerEntry));
}

void entry_process::refreshSubsets()
{
    if (m_subsetScheduled)
        return;
    m_subsetScheduled = true;
    m_node.runtime().after(subsetDelay, [this] {
        m_subsetScheduled = false;
        const auto chosen = m_core.directory().chooseSubsets();
        m_loadStreamAgents = {chosen.begin(), chosen.end()};
        for (auto it = m_loadStreams.begin(); it != m_loadStreams.end();) {
            if (m_loadStreamAgents.count(it->first) != 0) {
                ++it;
                continue;
            }
            it->second->reset();
            it = m_loadStreams.erase(it);
        }
        for (const std::string &agent : chosen) {
            if (m_loadStreams.count(agent) == 0)
                openLoadStream(agent);
        }
    });
}

void entry_process::openLoadStream(const std::string &agent)
{
    link_stream::events handlers;
    handlers.onMessage = [this, agent](std::string_view bytes) {
        wire::from_agent message;
        if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
            return;
        m_core.directory().onReport(agent, message, m_node.runtime().now());
        m_core.onPeerEpoch(agent, message.bundle_epoch());
    };
    handlers.onClosed = [this, agent](bool) {
        m_loadStreams.erase(agent);
        m_core.directory().onUnreachable(agent);
        m_node.runtime().after(loadStreamRetry, [this, agent] {
            if (m_loadStreamAgents.count(agent) != 0 && m_loadStreams.count(agent) == 0)
                openLoadStream(agent);
        });
    };
    const auto stream = m_node.open(agent, "/load", std::move(handlers));
    stream->send("");
    m_loadStreams[agent] = stream;
}

void entry_process::onStream(const std::shared_ptr<link_stream> &stream)
{
    if (stream->path() == demandPath) {
        answerSingleRequest(
                stream, [this](std::string_view question) -> std::optional<std::string> {
                    wire::demand_report report;
                    if (!report.ParseFromArray(question.data(), static_cast<int>(question.size())))
                        return std::nullopt;
                    return m_sharing.onReport(report).SerializeAsString();
                });
        return;
    }
    if (stream->path() != "/status") {
        stream->reset();
        return;
    }
    answerSingleRequest(stream, [this](std::string_view) -> std::optional<std::string> {
        wire::from_agent header;
        header.set_bundle_epoch(m_core.bundleTracker().epoch());
        return header.SerializeAsString();
    });
}

void entry_process::maintain()
{
    m_ready = m_core.isReady();
    if (m_core.bundleTracker().epoch() != m_announcedEpoch) {
        m_announcedEpoch = m_core.bundleTracker().epoch();
        m_node.gossipDigest();
    }
    m_core.outbox().adoptExpired();
    m_metrics.set("in_flight", static_cast<double>(m_core.inFlight()));
    m_metrics.set("bundle_epoch", static_cast<double>(m_core.bundleTracker().epoch()));
    m_metrics.set("bills_pending", static_cast<double>(m_core.outbox().pending()));
    m_metrics.set("bill_copies_held", static_cast<double>(m_core.outbox().copies()));
    m_metrics.set("resident_bytes", static_cast<double>(residentBytes()));
    m_node.runtime().after(maintenanceTick, [this] { maintain(); });
}

void laurelcroft::addEntrySettings(settings &declared)
{
    addNodeSettings(declared);
    declared.addText("listen", "127.0.0.1:0", "host:port for callers");
    declared.addText("admin-listen", "127.0.0.1:0", "host:port for probes, metrics and status");
    declared.addRequired("session-keys", "id:secret,id:secret; the first one signs new tokens");
    declared.addNumber("session-life", 604800, 60, 31536000, "s",
                       "lifetime of a session token since its last use");
    declared.addNumber("request-timeout", 120000, 100, 3600000, "ms",
                       "timeout of a request that sets none");
    declared.addNumber("largest-body", 1048576, 1024, 8388608, "bytes",
                       "maximum size of a request body");
    declared.addNumber("most-requests", 4096, 1, 100000, "requests",
                       "maximum number of requests in flight");
    declared.addNumber("rated-percent", 10, 0, 100, "%", "share of answers sent to be rated");
    declared.addNumber("drain-timeout", 120, 1, 7200, "s", "maximum duration of a drain");
}

/// Reads the settings that only an entry has. \returns an error message, or an empty string.
static std::string readEntryOptions(const settings &given, entry_options &options,
                                    caller_server_options &callers)
{
    options.instance = given.text("instance");
    options.dataCentre = given.text("data-centre");
    options.sessionLifetimeMs = given.number("session-life") * 1000;
    options.defaultTimeout = milliseconds(given.number("request-timeout"));
    options.maxRequestsInFlight = static_cast<std::size_t>(given.number("most-requests"));
    options.ratedShare = static_cast<double>(given.number("rated-percent")) / 100.0;
    callers.limits.maxBodyBytes = static_cast<std::size_t>(given.number("largest-body"));
    callers.callers.maxBodyBytes = 2 * callers.limits.maxBodyBytes;
    if (!splitAddress(given.text("listen"), callers.callers.host, callers.callers.port))
        return "--listen: '" + given.text("listen") + "' is not host:port";
    if (!splitAddress(given.text("admin-listen"), callers.admin.host, callers.admin.port))
        return "--admin-listen: '" + given.text("admin-listen") + "' is not host:port";
    return {};
}

int laurelcroft::runEntry(const settings &given)
{
    node_options nodeOptions;
    entry_options options;
    caller_server_options callers;
    std::string error = readNodeOptions(given, nodeOptions);
    if (error.empty())
        error = readEntryOptions(given, options, callers);
    const auto keys = parseSessionKeys(given.text("session-keys"));
    if (error.empty() && keys.empty())
        error = "--session-keys: must be id:secret with a secret of at least 16 characters";
    if (!error.empty()) {
        std::cerr << "laurelcroft-entry: error: " << error << "\n";
        return 1;
    }
    blockStopSignals();
    startLog(given.text("log-level"), given.flag("log-json"));
    event_loop_thread routing("routing");
    entry_process process(routing, std::move(nodeOptions), std::move(options), callers,
                          session_token_codec(keys));
    error = process.start();
    if (!error.empty()) {
        std::cerr << "laurelcroft-entry: error: " << error << "\n";
        stopLog();
        return 1;
    }
    logInfo(log_part::start, "callers are served",
            {{"port", process.port()}, {"admin_port", process.adminPort()}});
    routing.start();
    drain_steps steps;
    steps.begin = [&] { process.beginDrain(); };
    steps.isIdle = [&] { return process.isIdle(); };
    steps.minDuration = minDrainTime;
    steps.maxDuration = seconds(given.number("drain-timeout"));
    waitAndDrain(routing, steps);
    // Stop the routing thread first, so that it cannot race with stopping the rest.
    routing.stop();
    process.stop();
    stopLog();
    return 0;
}
