//===-- AgentProcess.cpp - process of an agent ------------------------------===//
//
// Connects the streams of entries and the client of the endpoint to the agent core.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Agent/AgentProcess.h"

#include "laurelcroft/Agent/AgentCore.h"
#include "laurelcroft/Agent/EndpointClient.h"
#include "laurelcroft/Node/Drain.h"
#include "laurelcroft/Node/NodeEnvironment.h"

#include <iostream>

using namespace laurelcroft;

namespace {

/// Bytes queued for an entry at which reading the endpoint's answer is paused.
constexpr std::size_t slowReaderBytes = 1U << 20;
constexpr duration loadCheckInterval = milliseconds(250);
constexpr duration maxReportInterval = seconds(5);
/// Size of a load report including its frame, and the rate limit of all load reports.
constexpr std::int64_t reportBytes = 110;
constexpr std::int64_t reportBytesPerSecond = 800;
constexpr duration minDrainTime = milliseconds(500);

/// Environment of the agent core: streams of entries, the endpoint and the other instances.
class agent_io : public node_environment
{
public:
    agent_io(event_loop_thread &routing, node_options options, const std::string &endpointUrl,
             endpoint_events events)
        : node_environment(routing, std::move(options))
        , m_endpoint(ownNode().client(), endpointUrl, std::move(events))
    {
    }

    /// Sets the function that maps a stream to its work, so that work can be paused for a slow
    /// entry.
    void setWorkOf(std::function<work_id(link_stream_id)> workOf) { m_workOf = std::move(workOf); }

    link_stream_id addStream(const std::shared_ptr<link_stream> &stream)
    {
        m_streams[++m_lastStream] = stream;
        return m_lastStream;
    }
    void removeStream(link_stream_id stream)
    {
        m_streams.erase(stream);
        m_paused.erase(stream);
    }
    void onStreamDrained(link_stream_id stream)
    {
        const auto paused = m_paused.extract(stream);
        if (!paused.empty())
            m_endpoint.resume(paused.mapped());
    }

    void sendToEntry(link_stream_id stream, const wire::from_agent &message);
    /// Ends this side of the stream after the queued messages are sent.
    void closeStream(link_stream_id stream);

    /// Resets a stream that its entry no longer needs; queued messages are dropped.
    void resetStream(link_stream_id stream);
    void startWork(work_id work, const wire::offer &offer) { m_endpoint.start(work, offer); }
    void cancelWork(work_id work) { m_endpoint.cancel(work); }
    void sendOrder(const engine_order &order, std::function<void(bool)> done)
    {
        m_endpoint.postOrder(order, std::move(done));
    }

private:
    endpoint_client m_endpoint;
    std::function<work_id(link_stream_id)> m_workOf;
    std::map<link_stream_id, std::shared_ptr<link_stream>> m_streams;
    std::map<link_stream_id, work_id> m_paused;
    link_stream_id m_lastStream = 0;
};

class agent_process
{
public:
    agent_process(event_loop_thread &routing, node_options nodeOptions, agent_options options,
                  const std::string &endpointUrl)
        : m_io(routing, std::move(nodeOptions), endpointUrl, endpointEvents())
        , m_node(m_io.ownNode())
        , m_core(m_node.runtime(), m_node.table(), m_io, m_node.options().signoff,
                 std::move(options))
    {
        m_io.setWorkOf([this](link_stream_id stream) { return m_core.workOf(stream); });
    }

    std::string start();
    void beginDrain();
    bool isIdle() const { return m_core.isIdle(); }
    void stop() { m_node.stop(); }

private:
    endpoint_events endpointEvents();
    node_events nodeEvents();
    void onStream(const std::shared_ptr<link_stream> &stream);
    void onAttemptStream(const std::shared_ptr<link_stream> &stream);
    void onLoadStream(const std::shared_ptr<link_stream> &stream);
    void announceNewEpoch();
    void tick();
    void reportLoad(bool always);
    bool isUrgent(const wire::load_report &now) const;
    bool isDue(const wire::load_report &now) const;

    agent_io m_io;
    node &m_node;
    agent_core<asio_runtime, http_table, agent_io> m_core;
    std::map<std::uint64_t, std::shared_ptr<link_stream>> m_loadStreams;
    std::uint64_t m_lastLoadStream = 0;
    wire::load_report m_lastLoad;
    time_point m_lastLoadAt{};
    bundle_epoch m_announcedEpoch = 0;
};

} // namespace

endpoint_events agent_process::endpointEvents()
{
    endpoint_events events;
    events.onData = [this](work_id work, std::string_view data) { m_core.onWorkData(work, data); };
    events.onEnd
            = [this](work_id work, const work_result &result) { m_core.onWorkEnd(work, result); };
    return events;
}

node_events agent_process::nodeEvents()
{
    node_events events;
    events.onMember = [this](const wire::member &item) {
        if (item.state() == wire::member_dead)
            m_core.outbox().onPeerDead(item.id());
    };
    bindCoreEvents(events, m_core);
    events.onHealth = [](const wire::version_health &) {};
    events.onStream = [this](const auto &stream) { onStream(stream); };
    return events;
}

std::string agent_process::start()
{
    std::string error = m_node.start(nodeEvents());
    if (!error.empty())
        return error;
    m_core.start();
    tick();
    return {};
}

void agent_process::beginDrain()
{
    m_core.drain();
    m_node.leave();
    reportLoad(true);
}

void agent_process::onStream(const std::shared_ptr<link_stream> &stream)
{
    if (stream->path() == "/attempt") {
        onAttemptStream(stream);
        return;
    }
    if (stream->path() == "/load") {
        onLoadStream(stream);
        return;
    }
    if (stream->path() == "/revoke") {
        answerSingleRequest(stream, [this](std::string_view request) -> std::optional<std::string> {
            wire::revoke message;
            if (!message.ParseFromArray(request.data(), static_cast<int>(request.size())))
                return std::nullopt;
            return m_core.onRevoke(message).SerializeAsString();
        });
        return;
    }
    if (stream->path() == "/status") {
        answerSingleRequest(stream, [this](std::string_view) -> std::optional<std::string> {
            return m_core.makeMessage().SerializeAsString();
        });
        return;
    }
    stream->reset();
}

void agent_process::onAttemptStream(const std::shared_ptr<link_stream> &stream)
{
    const link_stream_id id = m_io.addStream(stream);
    link_stream::events handlers;
    handlers.onMessage = [this, id](std::string_view bytes) {
        wire::from_entry message;
        if (message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
            m_core.onEntryMessage(id, message);
        else
            m_io.closeStream(id);
    };
    handlers.onClosed = [this, id](bool) {
        m_io.removeStream(id);
        m_core.onStreamClosed(id);
    };
    // An entry that ends its side without a settled or cancel message has given up the attempt.
    handlers.onEnd = [this, id] { m_io.closeStream(id); };
    handlers.onDrained = [this, id] { m_io.onStreamDrained(id); };
    stream->setEvents(std::move(handlers));
}

void agent_process::onLoadStream(const std::shared_ptr<link_stream> &stream)
{
    const std::uint64_t id = ++m_lastLoadStream;
    m_loadStreams[id] = stream;
    link_stream::events handlers;
    handlers.onClosed = [this, id](bool) { m_loadStreams.erase(id); };
    stream->setEvents(std::move(handlers));
    wire::from_agent message = m_core.makeMessage();
    *message.mutable_load() = m_core.loadWithVersions();
    stream->send(message.SerializeAsString());
}

/// \returns true if \p now has a change that entries must learn without delay.
bool agent_process::isUrgent(const wire::load_report &now) const
{
    return now.draining() != m_lastLoad.draining() || now.loaded_size() != m_lastLoad.loaded_size();
}

bool agent_process::isDue(const wire::load_report &now) const
{
    const duration age = m_node.runtime().now() - m_lastLoadAt;
    // Keep the rate limit for any number of entries by reporting less often to more of them.
    // Every message of an attempt also contains the load.
    const auto streams = static_cast<std::int64_t>(m_loadStreams.size());
    if (age < streams * reportBytes * seconds(1) / reportBytesPerSecond)
        return false;
    const auto pending = static_cast<double>(now.running() + now.queued());
    const auto before = static_cast<double>(m_lastLoad.running() + m_lastLoad.queued());
    return age > maxReportInterval || std::abs(pending - before) > 0.1 * before;
}

void agent_process::reportLoad(bool always)
{
    const wire::load_report load = m_core.loadWithVersions();
    if (!always && !isUrgent(load) && !isDue(load))
        return;
    m_lastLoad = load;
    m_lastLoadAt = m_node.runtime().now();
    wire::from_agent message = m_core.makeMessage();
    *message.mutable_load() = load;
    const std::string bytes = message.SerializeAsString();
    for (const auto &[id, stream] : m_loadStreams)
        stream->send(bytes);
}

void agent_process::tick()
{
    reportLoad(false);
    announceNewEpoch();
    m_core.outbox().adoptExpired();
    m_node.runtime().after(loadCheckInterval, [this] { tick(); });
}

void agent_process::announceNewEpoch()
{
    if (m_core.bundleTracker().epoch() == m_announcedEpoch)
        return;
    m_announcedEpoch = m_core.bundleTracker().epoch();
    m_node.gossipDigest();
}

void agent_io::sendToEntry(link_stream_id stream, const wire::from_agent &message)
{
    const auto it = m_streams.find(stream);
    if (it == m_streams.end())
        return;
    it->second->send(message.SerializeAsString());
    if (!message.has_piece() || it->second->queued() < slowReaderBytes)
        return;
    if (const work_id work = m_workOf(stream); work != 0) {
        m_paused[stream] = work;
        m_endpoint.pause(work);
    }
}

void agent_io::closeStream(link_stream_id stream)
{
    const auto it = m_streams.find(stream);
    if (it != m_streams.end())
        it->second->finish();
}

void agent_io::resetStream(link_stream_id stream)
{
    const auto found = m_streams.extract(stream);
    m_paused.erase(stream);
    if (!found.empty())
        found.mapped()->reset();
}

void laurelcroft::addAgentSettings(settings &declared)
{
    addNodeSettings(declared);
    declared.addRequired("pool", "pool of the endpoint");
    declared.addRequired("endpoint-url", "URL of the endpoint that this agent serves");
    declared.addNumber("slots", 8, 1, 4096, "requests",
                       "attempts that the endpoint runs concurrently");
    declared.addNumber("waiting-percent", 25, 0, 10000, "%",
                       "attempts that may wait, as a share of the slots; further ones are refused");
    declared.addNumber("drain-timeout", 120, 1, 7200, "s", "time limit of a drain");
}

int laurelcroft::runAgent(const settings &given)
{
    node_options nodeOptions;
    nodeOptions.role = wire::role_agent;
    nodeOptions.pool = given.text("pool");
    const std::string wrong = readNodeOptions(given, nodeOptions);
    if (!wrong.empty()) {
        std::cerr << "laurelcroft-agent: error: " << wrong << "\n";
        return 1;
    }
    agent_options options;
    options.instance = nodeOptions.instance;
    options.pool = nodeOptions.pool;
    options.slots = static_cast<std::uint32_t>(given.number("slots"));
    // Round up, so that an endpoint with few slots also has room for a waiting attempt.
    const auto waiting = (options.slots * given.number("waiting-percent") + 99) / 100;
    options.maxAttempts = options.slots + static_cast<std::uint32_t>(waiting);
    options.firstIncarnation = static_cast<std::uint64_t>(wallMilliseconds());

    blockStopSignals();
    startLog(given.text("log-level"), given.flag("log-json"));
    event_loop_thread routing("routing");
    agent_process process(routing, std::move(nodeOptions), std::move(options),
                          given.text("endpoint-url"));
    const std::string error = process.start();
    if (!error.empty()) {
        std::cerr << "laurelcroft-agent: error: " << error << "\n";
        stopLog();
        return 1;
    }
    routing.start();
    drain_steps steps;
    steps.begin = [&] { process.beginDrain(); };
    steps.isIdle = [&] { return process.isIdle(); };
    steps.minDuration = minDrainTime;
    steps.maxDuration = seconds(given.number("drain-timeout"));
    waitAndDrain(routing, steps);
    // Stop the routing thread first, so that it cannot race with the rest of the shutdown.
    routing.stop();
    process.stop();
    stopLog();
    return 0;
}
