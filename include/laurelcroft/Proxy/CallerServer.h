//===-- Proxy/CallerServer.h - HTTP server for callers -----------*- C++ -*-===//
//
// An HTTP/1.1 server on one address. Each connection handles one request at a time and reports
// when its caller disconnects.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_PROXY_CALLERSERVER_H
#define LAURELCROFT_PROXY_CALLERSERVER_H

#include "laurelcroft/Http/Message.h"
#include "laurelcroft/Http/Parser.h"
#include "laurelcroft/Support/Runtime.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace laurelcroft {

/// Handle to answer one request. Release it when the answer has ended.
class caller_exchange
{
public:
    struct state;
    explicit caller_exchange(std::shared_ptr<state> inner);

    /// Sends a complete answer.
    void reply(int status, const http_headers &headers, std::string_view body);

    /// Begins an answer of unknown length.
    void begin(int status, const http_headers &headers);
    void write(std::string_view piece);
    void end();

    /// Resets the connection, so that the caller can't mistake a partial answer for a complete one.
    void abort();

    /// \param action is called once if the caller disconnects before the answer has ended.
    void onDisconnect(std::function<void()> action);

private:
    std::shared_ptr<state> m_state;
};

/// Limits on requests and connections. They may be changed while the server runs.
struct caller_server_bounds
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 4U << 20;
    milliseconds headerTimeout{3000}; ///< for a whole request, body included
    milliseconds idleTimeout{15000}; ///< longest time without a request on a connection
    std::size_t maxConnections = 3000;
};

using caller_handler
        = std::function<void(message_head &&head, std::string &&body, caller_exchange exchange)>;

/// Accepts connections on one address and passes complete requests to a handler.
class caller_server
{
public:
    struct state;
    caller_server(asio::io_context &context, caller_handler handler);
    ~caller_server();

    /// Calls listen() and accept(). \returns an empty string or an error message.
    std::string open(const std::string &host, std::uint16_t port);

    /// Opens the listening socket. Callers can connect and send requests, which are handled after
    /// accept() is called. \returns an empty string or an error message.
    std::string listen(const std::string &host, std::uint16_t port);
    void accept();

    /// \returns the port in use, after listen() or open().
    std::uint16_t port() const;

    void setBounds(const caller_server_bounds &bounds);

    /// Makes every later answer announce and cause the close of its connection.
    void closeAfterAnswers();

    /// Closes the connections without a request, and the others after their answers. New
    /// connections are still accepted, so that their requests can be refused with a Retry-After.
    void drainConnections();

    /// Does the same as drainConnections() and stops accepting connections.
    void closeIdle();

    /// \returns the number of open connections.
    std::size_t connections() const;

    /// \returns the number of connections with a request or an unfinished answer.
    std::size_t busyConnections() const;

private:
    std::shared_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
