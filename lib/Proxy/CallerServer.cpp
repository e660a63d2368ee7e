//===-- CallerServer.cpp - HTTP server for callers --------------------------===//
//
// Listens, accepts connections and shuts down. CallerConnection.cpp handles the connections.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/CallerServer.h"

#include "CallerConnection.h"

#include <algorithm>

using namespace laurelcroft;
using tcp = asio::ip::tcp;

namespace {

/// Delay before accepting again after a failed accept, for example without a free descriptor.
constexpr milliseconds acceptRetryDelay{50};

} // namespace

void caller_server::state::accept()
{
    acceptor.async_accept(
            [self = shared_from_this()](const asio::error_code &error, tcp::socket socket) {
                if (self->stopped || error == asio::error::operation_aborted)
                    return;
                if (error) {
                    self->acceptRetryTimer.expires_after(acceptRetryDelay);
                    self->acceptRetryTimer.async_wait([self](const asio::error_code &) {
                        if (!self->stopped)
                            self->accept();
                    });
                    return;
                }
                if (self->connections.size() < self->bounds.maxConnections)
                    std::make_shared<caller_exchange::state>(self, std::move(socket))->start();
                self->accept();
            });
}

caller_server::caller_server(asio::io_context &context, caller_handler handler)
    : m_state(std::make_shared<state>(context, std::move(handler)))
{
}

caller_server::~caller_server()
{
    closeIdle();
}

std::string caller_server::open(const std::string &host, std::uint16_t port)
{
    std::string fault = listen(host, port);
    if (fault.empty())
        accept();
    return fault;
}

void caller_server::accept()
{
    m_state->accept();
}

std::string caller_server::listen(const std::string &host, std::uint16_t port)
{
    asio::error_code error;
    const auto address = asio::ip::make_address(host, error);
    if (error)
        return error.message();
    const tcp::endpoint endpoint(address, port);
    tcp::acceptor &acceptor = m_state->acceptor;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    return error ? error.message() : std::string();
}

std::uint16_t caller_server::port() const
{
    asio::error_code ignored;
    return m_state->acceptor.local_endpoint(ignored).port();
}

void caller_server::setBounds(const caller_server_bounds &bounds)
{
    m_state->bounds = bounds;
}

void caller_server::setMemoryBudget(std::size_t bytes)
{
    m_state->memory.setBudget(bytes);
}

void caller_server::setUrgency(std::function<int(const message_head &head)> urgencyOf)
{
    m_state->urgencyOf = std::move(urgencyOf);
}

bool caller_server::hasMemoryFor(int urgency) const
{
    return m_state->memory.admits(urgency);
}

void caller_server::releaseMemory()
{
    m_state->releaseMemory();
}

void caller_server::abortUnsent()
{
    const auto connections = m_state->connections;
    for (caller_exchange::state *connection : connections) {
        if (!connection->out.empty())
            connection->close(true);
    }
}

caller_memory caller_server::memory() const
{
    caller_memory result = m_state->counts;
    const held_memory &held = m_state->memory;
    result.forCallers = held.bytes(held_for::unsent) + held.bytes(held_for::answer);
    result.forEndpoints = held.bytes(held_for::request);
    result.budget = held.budget().total();
    return result;
}

void caller_server::closeAfterAnswers()
{
    m_state->closing = true;
}

static bool carriesRequest(const caller_exchange::state &connection)
{
    return connection.answering || connection.parser.hasBegun();
}

void caller_server::closeIdle()
{
    m_state->stopped = true;
    asio::error_code ignored;
    m_state->acceptor.close(ignored);
    drainConnections();
}

void caller_server::drainConnections()
{
    m_state->closing = true;
    m_state->draining = true;
    const auto connections = m_state->connections;
    for (caller_exchange::state *connection : connections) {
        if (carriesRequest(*connection))
            continue;
        // The end of the last answer may not be written yet, so flush before the close.
        connection->shuttingDown = true;
        connection->queueFlush();
    }
}

std::size_t caller_server::connections() const
{
    return m_state->connections.size();
}

std::size_t caller_server::busyConnections() const
{
    const auto isBusy = [](const caller_exchange::state *connection) {
        return connection->shuttingDown || carriesRequest(*connection);
    };
    return static_cast<std::size_t>(
            std::count_if(m_state->connections.begin(), m_state->connections.end(), isBusy));
}
