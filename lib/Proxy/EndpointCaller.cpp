//===-- EndpointCaller.cpp - calls to endpoints -----------------------------===//
//
// Idle connections are reused in last-in, first-out order, so that surplus ones expire.
//
//===----------------------------------------------------------------------===//
#include "laurelcroft/Proxy/EndpointCaller.h"

#include "EndpointConnection.h"
#include "EndpointProbe.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

using namespace laurelcroft;

namespace {

/// Longest idle time of a connection that is reused for a request that may run only once. If the
/// endpoint had just closed an older one, it would be unknown whether the request ran.
constexpr milliseconds maxIdleForAtMostOnce{300};

} // namespace

struct endpoint_caller::state
{
    struct pool
    {
        endpoint_ptr endpoint;
        std::vector<std::shared_ptr<endpoint_connection>> idle;
        std::size_t open = 0;
    };
    state(asio::io_context &context, proxy_dialect dialect,
          std::function<void(const endpoint_ptr &)> onIdleClosed)
        : context(context)
        , dialect(std::move(dialect))
        , onIdleClosed(std::move(onIdleClosed))
    {
    }

    asio::io_context &context;
    proxy_dialect dialect;
    std::function<void(const endpoint_ptr &)> onIdleClosed;
    std::map<std::string, pool, std::less<>> pools;
    std::unordered_map<call_id, std::shared_ptr<endpoint_connection>> calls;
    std::set<const service_endpoint *> pendingProbes; ///< endpoints with a probe in progress
    call_id lastCall = 0;
    std::uint64_t opened = 0;
    bool ending = false;

    std::shared_ptr<endpoint_connection> takeIdle(pool &from, bool atMostOnce);
    std::shared_ptr<endpoint_connection> open(const std::string &id, pool &to);
    void onConnectionIdle(const std::string &id, const service_endpoint *endpoint,
                          const std::weak_ptr<endpoint_connection> &weak);
    pool &poolOf(const endpoint_ptr &endpoint);
    void onConnectionClosed(const std::string &id, bool byPeerWhileIdle);
};

std::shared_ptr<endpoint_connection> endpoint_caller::state::takeIdle(pool &from, bool atMostOnce)
{
    const time_point now = bootNow();
    while (!from.idle.empty()) {
        std::shared_ptr<endpoint_connection> last = from.idle.back();
        const duration age = now - last->idleSince();
        if (atMostOnce && age > maxIdleForAtMostOnce)
            return nullptr;
        from.idle.pop_back();
        if (last->isOpen() && age < last->idleTimeout())
            return last;
        last->close();
    }
    return nullptr;
}

endpoint_caller::state::pool &endpoint_caller::state::poolOf(const endpoint_ptr &endpoint)
{
    pool &own = pools[endpoint->record().id];
    // The endpoint was restarted under its id. Connections to the earlier process are useless.
    if (own.endpoint && own.endpoint != endpoint) {
        const auto idle = std::exchange(own.idle, {});
        for (const auto &connection : idle)
            connection->close();
    }
    own.endpoint = endpoint;
    return own;
}

void endpoint_caller::state::onConnectionIdle(const std::string &id,
                                              const service_endpoint *endpoint,
                                              const std::weak_ptr<endpoint_connection> &weak)
{
    const auto connection = weak.lock();
    const auto it = pools.find(id);
    if (!connection || it == pools.end())
        return;
    if (it->second.endpoint.get() == endpoint)
        it->second.idle.push_back(connection);
    else
        connection->close();
}

void endpoint_caller::state::onConnectionClosed(const std::string &id, bool byPeerWhileIdle)
{
    const auto it = pools.find(id);
    if (it == pools.end() || ending)
        return;
    --it->second.open;
    std::erase_if(it->second.idle, [](const auto &connection) { return !connection->isOpen(); });
    if (byPeerWhileIdle && onIdleClosed)
        onIdleClosed(it->second.endpoint);
}

std::shared_ptr<endpoint_connection> endpoint_caller::state::open(const std::string &id, pool &to)
{
    ++to.open;
    ++opened;
    // Capturing this is safe: ~endpoint_caller() closes all connections, and a closed connection
    // invokes neither callback.
    const auto self = std::make_shared<std::weak_ptr<endpoint_connection>>();
    auto connection = std::make_shared<endpoint_connection>(
            context, dialect,
            [this, id, self, endpoint = to.endpoint.get()] {
                onConnectionIdle(id, endpoint, *self);
            },
            [this, id](bool byPeerWhileIdle) { onConnectionClosed(id, byPeerWhileIdle); });
    *self = connection;
    return connection;
}

endpoint_caller::endpoint_caller(asio::io_context &context, proxy_dialect dialect,
                                 std::function<void(const endpoint_ptr &endpoint)> onIdleClosed)
    : m_state(std::make_shared<state>(context, std::move(dialect), std::move(onIdleClosed)))
{
}

endpoint_caller::~endpoint_caller()
{
    m_state->ending = true;
    for (auto &[id, connection] : m_state->calls)
        connection->close();
    for (auto &[id, pool] : m_state->pools) {
        for (const auto &connection : pool.idle)
            connection->close();
    }
}

call_id endpoint_caller::call(proxy_attempt attempt, call_events events)
{
    const std::string id = attempt.endpoint->record().id;
    state::pool &pool = m_state->poolOf(attempt.endpoint);
    const call_id number = ++m_state->lastCall;
    auto onEnd = [calls = &m_state->calls, number, inner = std::move(events.onEnd)](call_end end) {
        calls->erase(number);
        inner(end);
    };
    events.onEnd = std::move(onEnd);
    std::shared_ptr<endpoint_connection> connection = m_state->takeIdle(pool, attempt.atMostOnce);
    if (connection) {
        m_state->calls.emplace(number, connection);
        connection->send(attempt, std::move(events));
    } else {
        connection = m_state->open(id, pool);
        m_state->calls.emplace(number, connection);
        connection->connectAndSend(attempt.endpoint->record(), attempt, std::move(events));
    }
    return number;
}

void endpoint_caller::cancel(call_id call)
{
    const auto node = m_state->calls.extract(call);
    if (!node.empty())
        node.mapped()->close();
}

void endpoint_caller::pause(call_id call)
{
    const auto it = m_state->calls.find(call);
    if (it != m_state->calls.end())
        it->second->pause();
}

void endpoint_caller::resume(call_id call)
{
    const auto it = m_state->calls.find(call);
    if (it != m_state->calls.end())
        it->second->resume();
}

std::size_t endpoint_caller::paused() const
{
    return static_cast<std::size_t>(
            std::count_if(m_state->calls.begin(), m_state->calls.end(),
                          [](const auto &item) { return item.second->isPaused(); }));
}

bool endpoint_caller::hasRoom(const service_endpoint &endpoint, std::size_t maxConnections) const
{
    const auto it = m_state->pools.find(endpoint.record().id);
    if (it == m_state->pools.end())
        return true;
    return !it->second.idle.empty() || it->second.open < maxConnections;
}

void endpoint_caller::checkEnded(const endpoint_ptr &endpoint, std::function<void()> done)
{
    if (!m_state->pendingProbes.insert(endpoint.get()).second)
        return;
    const std::weak_ptr<state> weak = m_state;
    probeEndpoint(m_state->context, endpoint->record(),
                  [weak, endpoint, done = std::move(done)](probe_result result) {
                      const auto self = weak.lock();
                      if (!self)
                          return;
                      self->pendingProbes.erase(endpoint.get());
                      if (result == probe_result::ended)
                          done();
                  });
}

void endpoint_caller::sweep()
{
    const time_point now = bootNow();
    for (auto it = m_state->pools.begin(); it != m_state->pools.end();) {
        state::pool &pool = it->second;
        const bool gone = pool.endpoint->isRemoved();
        const auto idle = pool.idle;
        for (const auto &connection : idle) {
            if (gone || now - connection->idleSince() >= connection->idleTimeout())
                connection->close();
        }
        const bool unused = gone && pool.open == 0;
        it = unused ? m_state->pools.erase(it) : std::next(it);
    }
}

std::uint64_t endpoint_caller::opened() const
{
    return m_state->opened;
}
