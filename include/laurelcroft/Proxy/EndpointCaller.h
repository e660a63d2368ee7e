//===-- Proxy/EndpointCaller.h - calls to endpoints --------------*- C++ -*-===//
//
// A pool of connections per endpoint. Each connection carries one request at a time and is kept
// open while idle. Connections to an earlier process of an endpoint are not reused. Users check
// hasRoom() before a call to keep within this entry's share of an endpoint's connections.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_ENDPOINTCALLER_H
#define LAURELCROFT_PROXY_ENDPOINTCALLER_H

#include "laurelcroft/Proxy/ProxyTypes.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace laurelcroft {

/// Makes calls to endpoints. All functions must be called on the thread of the io_context.
class endpoint_caller
{
public:
    /// \param onIdleClosed is called when an endpoint closes an idle connection; it closes all of
    /// them when its process ends. May be empty.
    endpoint_caller(asio::io_context &context, proxy_dialect dialect,
                    std::function<void(const endpoint_ptr &endpoint)> onIdleClosed = {});
    ~endpoint_caller();

    /// Starts a call. Its callbacks are never invoked from within this function.
    call_id call(proxy_attempt attempt, call_events events);

    /// Cancels a call and closes its connection; no callback follows. Has no effect on a call that
    /// has ended.
    void cancel(call_id call);

    /// Stops reading the answer of a call until resume(); the data of one read may still follow.
    /// Neither has an effect on a call that has ended.
    void pause(call_id call);
    void resume(call_id call);

    /// \returns the number of calls that are paused.
    std::size_t paused() const;

    /// \returns true when a call to \p endpoint can use an idle connection, or open one without
    /// exceeding \p maxConnections.
    bool hasRoom(const service_endpoint &endpoint, std::size_t maxConnections) const;

    /// Probes whether the process of \p endpoint has ended. Has no effect while another probe of
    /// the endpoint is in progress.
    /// \param done is called, asynchronously and at most once, if the process has ended.
    void checkEnded(const endpoint_ptr &endpoint, std::function<void()> done);

    /// Closes idle connections that have expired or whose endpoint is gone.
    void sweep();

    /// \returns the number of connections opened so far, including failed ones.
    std::uint64_t opened() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
