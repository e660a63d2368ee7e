//===-- Http/Client.h - HTTP client ------------------------------*- C++ -*-===//
//
// libcurl's multi interface on one asio context. Use a client from its context's
// thread only.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_HTTP_CLIENT_H
#define LAURELCROFT_HTTP_CLIENT_H

#include "laurelcroft/Http/Message.h"
#include "laurelcroft/Support/Outcome.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace asio {
class io_context;
}

namespace laurelcroft {

/// Why a call has no whole reply.
enum class http_error {
    notSent, ///< no connection was made: the other side saw nothing
    timeout, ///< the deadline passed; the other side may have acted
    cut, ///< the connection broke; the other side may have acted
    cancelled, ///< by this process
};

std::string_view textOf(http_error error);

/// A call to make.
struct http_call
{
    std::string method = "GET";
    std::string url;
    http_headers headers;
    std::string body;
    std::chrono::milliseconds timeout{5000}; ///< whole call
    std::chrono::milliseconds connectTimeout{1000};
    /// Uses a connection of its own. libcurl sends a request again when a kept
    /// connection turns out dead; a call that must run at most once can't allow that.
    bool freshConnection = false;
};

using http_call_id = std::uint64_t;

/// What a streamed call reports, in this order; each may be empty.
struct http_call_events
{
    std::function<void(int status, const http_headers &headers)> onBegin;
    std::function<void(std::string_view data)> onData;
    /// Success carries the status alone.
    std::function<void(outcome<int, http_error>)> onEnd;
};

/// Makes HTTP calls.
class http_client
{
public:
    explicit http_client(asio::io_context &context);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Starts a call; its events come later, never from within this function.
    http_call_id start(http_call call, http_call_events events);

    /// Ends a call; its connection is closed and no event follows.
    void cancel(http_call_id id);

    /// Stops and continues reading a call's reply.
    void pause(http_call_id id);
    void resume(http_call_id id);

    /// Makes a call and collects the whole reply, at most \p largestReply bytes.
    /// \returns the call, so that it may be cancelled.
    http_call_id fetch(http_call call, std::function<void(outcome<http_reply, http_error>)> done,
                       std::size_t largestReply = 16U << 20);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
