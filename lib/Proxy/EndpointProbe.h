//===-- EndpointProbe.h - whether an endpoint's process lives ----*- C++ -*-===//
//
// A broken connection has many causes. A connection that is refused at once has one: nobody listens
// at the address any more.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_PROXY_ENDPOINTPROBE_H
#define LAURELCROFT_LIB_PROXY_ENDPOINTPROBE_H

#include "laurelcroft/Fleet/ServiceDirectory.h"

#include <asio/io_context.hpp>

#include <functional>

namespace laurelcroft {

/// How a look at an endpoint's address ended.
enum class probe_result {
    alive, ///< it takes connections
    ended, ///< nobody listens there
    unknown ///< no answer in time: cut off, or without power
};

/// Opens a connection to \p endpoint and closes it again. \p done is called once, later.
void probeEndpoint(asio::io_context &context, const endpoint_record &endpoint,
                   std::function<void(probe_result result)> done);

} // namespace laurelcroft

#endif
