//===-- Http/Server.h - HTTP server ------------------------------*- C++ -*-===//
//
// A small server interface that hides RESTinio in one translation unit, because its
// headers are slow to compile.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_HTTP_SERVER_H
#define LAURELCROFT_HTTP_SERVER_H

#include "laurelcroft/Http/Message.h"
#include "laurelcroft/Support/EventLoopThread.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace laurelcroft {

/// One request and its response. Must be used only on the server's event loop thread.
class http_exchange
{
public:
    struct state;
    explicit http_exchange(std::unique_ptr<state> inner);
    ~http_exchange();

    const http_request &request() const;

    /// Sends a complete response.
    /// \param flushed is called when the response was sent or can no longer be sent.
    void reply(int status, const http_headers &headers, std::string body,
               std::function<void()> flushed = {});

    /// Begins a chunked response, whose length is not known yet.
    void begin(int status, const http_headers &headers);

    /// Sends one chunk. Has no effect if the response was not begun or has ended.
    /// \param flushed is called when the chunk was sent or sending it failed.
    void write(std::string piece, std::function<void()> flushed = {});

    /// Ends a response that was begun.
    /// \param flushed as for \c reply.
    void end(std::function<void()> flushed = {});

    /// Ends the exchange. If a response was begun, closes the connection, so that the peer does not
    /// take the response for a complete one.
    void abort();

    /// \param action is called once if the peer closes the connection before the response ended.
    void onPeerClosed(std::function<void()> action);

private:
    std::unique_ptr<state> m_state;
};

using http_handler = std::function<void(std::shared_ptr<http_exchange>)>;

/// Address and limits of a server.
struct http_server_options
{
    std::string host = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: any free port
    std::size_t maxBodyBytes = 8 << 20; ///< in bytes; the connection is closed if a body is larger
    /// Maximum size of the URL and of each header name and value.
    std::size_t maxHeaderFieldBytes = 8192;
    std::size_t maxConnections = 4096;
};

/// HTTP/1.1 server that runs on an event loop thread.
class http_server
{
public:
    http_server(event_loop_thread &thread, const http_server_options &options,
                http_handler handler);
    ~http_server();

    /// Starts listening. The event loop thread must be running.
    /// \returns an empty string, or an error message.
    std::string open();

    /// Stops listening. Open connections are not closed.
    void close();

    /// \returns the port in use. Valid after open().
    std::uint16_t port() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
