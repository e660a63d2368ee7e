//===-- Proxy/ProxyServer.h - callers, flows and endpoints -------*- C++ -*-===//
//
// The direct path of one entry: takes callers' requests, runs their flows, answers the
// balancer's readiness checks and ends without cutting a request.
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

/// Where an entry listens, and how it ends.
struct proxy_options
{
    std::string host; ///< IP number of callers' address
    std::uint16_t port = 0;
    std::string readyHost;
    std::uint16_t readyPort = 0;
    std::string readyPath; ///< answered with 200 while the entry may be sent to
    std::string metricsHost;
    std::uint16_t metricsPort = 0; ///< 0: none
    std::size_t maxCallers = 3000;
    /// After the stop signal: until the balancer has certainly turned away.
    milliseconds drainDelay{2600};
    /// After the stop signal: when requests that still run are ended.
    milliseconds gracePeriod{8000};
};

/// One entry's direct path; one thread.
class proxy_server
{
public:
    proxy_server(asio::io_context &context, routing_state &state, metric_registry &metrics,
                 proxy_dialect dialect, proxy_options options);
    ~proxy_server();

    /// \returns an empty string, or what failed.
    std::string open();

    /// Takes the contract's bounds on callers over.
    void contractChanged();

    /// Begins to end. \param done is called once when nothing is left to do.
    void drain(std::function<void()> done);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
