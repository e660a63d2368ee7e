//===-- Http/Server.h - HTTP server ------------------------------*- C++ -*-===//
//
// A small server interface. RESTinio stays behind it in one private unit, because
// its headers are slow to compile.
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

/// One request and the way to answer it; use it on the server's duty only.
class http_exchange
{
public:
    struct state;
    explicit http_exchange(std::unique_ptr<state> inner);
    ~http_exchange();

    const http_request &request() const;

    /// Answers at once and whole. \param flushed is called when the answer left the process
    /// or can't any more.
    void reply(int status, const http_headers &headers, std::string body,
               std::function<void()> flushed = {});

    /// Begins an answer whose length is not known yet.
    void begin(int status, const http_headers &headers);

    /// Sends a piece. \param flushed is called when the piece left the process.
    void write(std::string piece, std::function<void()> flushed = {});

    /// Ends an answer that was begun. \param flushed as for \c reply.
    void end(std::function<void()> flushed = {});

    /// Closes the connection, so that a begun answer is never taken for a whole one.
    void abort();

    /// \param action is called once if the peer leaves before the answer ended.
    void onPeerLeft(std::function<void()> action);

private:
    std::unique_ptr<state> m_state;
};

using http_handler = std::function<void(std::shared_ptr<http_exchange>)>;

/// Limits and address of a server.
struct http_server_options
{
    std::string host = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: a free one
    std::size_t largestBody = 8 << 20; ///< bytes; above it the connection is closed
    std::size_t largestHeader = 8192; ///< bytes a field
    std::size_t mostConnections = 4096;
};

/// Serves HTTP/1.1 on one duty.
class http_server
{
public:
    http_server(event_loop_thread &duty, const http_server_options &options, http_handler handler);
    ~http_server();

    /// Opens the port; the duty must be running. \returns an empty string or what failed.
    std::string open();

    /// Stops listening; open connections go on.
    void close();

    /// The port in use, after open().
    std::uint16_t port() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
