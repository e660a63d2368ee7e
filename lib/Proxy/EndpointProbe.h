//===-- EndpointProbe.h - liveness probe of an endpoint ----------*- C++ -*-===//
//
// A broken connection has many causes, but a refused connection attempt shows that no process
// listens at the endpoint's address any more.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_PROXY_ENDPOINTPROBE_H
#define LAURELCROFT_LIB_PROXY_ENDPOINTPROBE_H

#include "laurelcroft/Fleet/ServiceDirectory.h"

#include <asio/io_context.hpp>

#include <functional>

namespace laurelcroft {

/// Result of a probe.
enum class probe_result {
    alive, ///< the endpoint accepts connections
    ended, ///< the connection was refused: no process listens at the address
    unknown ///< another error or a timeout, for example without network or power
};

/// Connects to \p endpoint and closes the connection. \p done is called once, asynchronously.
void probeEndpoint(asio::io_context &context, const endpoint_record &endpoint,
                   std::function<void(probe_result result)> done);

} // namespace laurelcroft

#endif
