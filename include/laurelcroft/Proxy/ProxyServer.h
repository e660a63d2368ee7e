//===-- Proxy/ProxyServer.h - proxy server of an entry -----------*- C++ -*-===//
//
// The proxy of one entry: accepts callers' requests, runs their flows, answers the load balancer's
// readiness checks, and drains without interrupting requests on shutdown.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_PROXYSERVER_H
#define LAURELCROFT_PROXY_PROXYSERVER_H

#include "laurelcroft/Proxy/ProxyTypes.h"
#include "laurelcroft/Proxy/RoutingState.h"
#include "laurelcroft/Support/Metrics.h"

#include <functional>
#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace laurelcroft {

/// Listen addresses and shutdown timing of an entry.
struct proxy_options
{
    std::string host; ///< IP address on which callers connect
    std::uint16_t port = 0;
    std::string readyHost;
    std::uint16_t readyPort = 0;
    std::string readyPath; ///< answered with 200 while the entry accepts requests
    std::string metricsHost;
    std::uint16_t metricsPort = 0; ///< 0 disables the metrics server
    std::size_t maxCallers = 3000; ///< maximum number of caller connections
    std::size_t memoryBudget = 0; ///< bytes held for slow peers; 0: a safe default
    /// Delay after the stop signal until the load balancer no longer sends requests here.
    milliseconds drainDelay{2600};
    /// Time limit for the shutdown. Requests that still run are aborted shortly before.
    milliseconds gracePeriod{8000};
};

/// The proxy of one entry. Not thread-safe.
class proxy_server
{
public:
    proxy_server(asio::io_context &context, routing_state &state, metric_registry &metrics,
                 proxy_dialect dialect, proxy_options options);
    ~proxy_server();

    /// Opens all listeners. \returns an empty string, or an error message.
    std::string open();

    /// Applies the caller limits of the current contract.
    void contractChanged();

    /// Starts draining. \param done called once when the server is drained.
    void drain(std::function<void()> done);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
