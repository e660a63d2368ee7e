//===-- Proxy/CallerServer.h - connections of callers ------------*- C++ -*-===//
//
// Serves HTTP/1.1 on one address. Each connection carries one request at a time and
// tells when its caller leaves.
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

/// Answers one request; drop it when the answer has ended.
class caller_exchange
{
public:
    struct state;
    explicit caller_exchange(std::shared_ptr<state> inner);

    /// Answers whole.
    void reply(int status, const http_headers &headers, std::string_view body);

    /// Begins an answer whose length is not known yet.
    void begin(int status, const http_headers &headers);
    void write(std::string_view piece);
    void end();

    /// Breaks the connection off, so that a begun answer can't look whole.
    void abort();

    /// \param action is called once if the caller leaves before the answer ended.
    void onDisconnect(std::function<void()> action);

private:
    std::shared_ptr<state> m_state;
};

/// Bounds on what callers may send; they may change while the server runs.
struct caller_server_bounds
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 4U << 20;
    milliseconds headerTimeout{3000}; ///< from a request's first byte to its last
    milliseconds idleTimeout{15000}; ///< between two requests
    std::size_t maxConnections = 3000;
};

using caller_handler
        = std::function<void(message_head &&head, std::string &&body, caller_exchange exchange)>;

/// Listens on one address.
class caller_server
{
public:
    struct state;
    caller_server(asio::io_context &context, caller_handler handler);
    ~caller_server();

    /// Listens and accepts. \returns an empty string, or what failed.
    std::string open(const std::string &host, std::uint16_t port);

    /// Listens only: callers may connect and send, and wait until accept() is called.
    std::string listen(const std::string &host, std::uint16_t port);
    void accept();

    /// The port in use, after open().
    std::uint16_t port() const;

    void setBounds(const caller_server_bounds &bounds);

    /// From now on every answer closes its connection.
    void closeAfterAnswers();

    /// Closes the connections that carry no request, and each other one after its answer. Callers
    /// may still connect, so that they can be told when to come back.
    void drainConnections();

    /// As drainConnections, and stops accepting.
    void closeIdle();

    /// \returns the number of open connections.
    std::size_t connections() const;

    /// \returns the number of connections that carry a request or the rest of an answer.
    std::size_t busyConnections() const;

private:
    std::shared_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
