//===-- Http/Client.h - HTTP client ------------------------------*- C++ -*-===//
//
// Runs libcurl's multi interface on one asio context. A client is not thread-safe and
// must be used from the thread of its context.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_HTTP_CLIENT_H
#define LAURELCROFT_HTTP_CLIENT_H

#include "laurelcroft/Http/Message.h"
#include "laurelcroft/Support/Outcome.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace asio {
class io_context;
}

namespace laurelcroft {

/// Why a call did not return a complete reply.
enum class http_error {
    notSent, ///< no connection was made: the server received nothing
    timeout, ///< the timeout expired: the server may have executed the request
    cut, ///< the reply is not whole or not valid: the server may have executed the request
    cancelled, ///< cancelled by this process
};

std::string_view textOf(http_error error);

/// A request and the limits of its call.
struct http_call
{
    std::string method = "GET";
    std::string url;
    http_headers headers;
    std::string body;
    std::chrono::milliseconds timeout{5000}; ///< for the whole call
    std::chrono::milliseconds connectTimeout{1000};
    /// Size of the largest body of a reply, in bytes. The call of a larger one ends with
    /// http_error::cut.
    std::size_t maxBodyBytes = std::numeric_limits<std::size_t>::max();
    /// Uses a new connection for this call. libcurl resends a request when a reused connection
    /// turns out to be closed, which must not happen to a call that must run at most once.
    bool freshConnection = false;
};

using http_call_id = std::uint64_t;

/// Callbacks of a streamed call, in calling order. Each may be empty.
struct http_call_events
{
    std::function<void(int status, const http_headers &headers)> onBegin;
    std::function<void(std::string_view data)> onData;
    /// Receives the status, or the error.
    std::function<void(outcome<int, http_error>)> onEnd;
};

/// Asynchronous HTTP client.
class http_client
{
public:
    explicit http_client(asio::io_context &context);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Starts a call. Its callbacks are called later, never from within this function.
    http_call_id start(http_call call, http_call_events events);

    /// Cancels a call. Its connection is closed and no callback follows.
    void cancel(http_call_id id);

    /// Pause and resume the reading of a call's reply.
    void pause(http_call_id id);
    void resume(http_call_id id);

    /// Makes a call and collects the whole reply. Its body is limited to \c maxFetchedBytes, or to
    /// the limit of \p call if that is smaller.
    /// \returns the ID of the call, for cancel().
    http_call_id fetch(http_call call, std::function<void(outcome<http_reply, http_error>)> done);

    /// Size of the largest body of a reply that fetch() collects, in bytes.
    static constexpr std::size_t maxFetchedBytes = 16U << 20;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
