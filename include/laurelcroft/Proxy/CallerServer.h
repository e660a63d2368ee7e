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
#include <optional>
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

    /// Begins an answer in pieces.
    /// \param length of the body in bytes; nothing if unknown. The pieces must add up to it.
    void begin(int status, const http_headers &headers,
               std::optional<std::uint64_t> length = std::nullopt);
    void write(std::string_view piece);
    void end();

    /// Resets the connection, so that the caller can't mistake a partial answer for a complete one.
    void abort();

    /// \param action is called once if the caller disconnects, or is disconnected to free memory,
    /// before the answer has ended.
    void onDisconnect(std::function<void()> action);

    /// \returns true if the caller was disconnected to free memory.
    bool wasCutOff() const;

    /// \returns true if the caller has more unsent bytes than its share of the memory budget.
    bool isBehind() const;

    /// Calls \p action, asynchronously and at most once, when some of the unsent bytes were sent.
    /// Replaces an earlier action.
    void whenDrained(std::function<void()> action);

    /// \returns when the caller last took bytes that had to wait for it.
    time_point progressAt() const;

    /// Counts \p bytes of an answer that is held back until it is complete. They are no longer
    /// counted when the answer begins or the connection closes.
    /// \returns false if they exceed the connection's share of the memory budget.
    bool holdAnswer(std::size_t bytes);

    /// \param urgency of the request, 0 (first) to 9: the order in which connections are closed
    /// when memory is short.
    void setUrgency(int urgency);

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

/// Memory that a server holds for its connections, and what it did to bound it.
struct caller_memory
{
    std::size_t forCallers = 0; ///< bytes of answers, unsent or held back until complete
    std::size_t forEndpoints = 0; ///< bytes of large request bodies
    std::size_t budget = 0; ///< bytes
    std::uint64_t cutOffStalled = 0; ///< connections closed since their peers took or sent nothing
    std::uint64_t cutOffIdle = 0; ///< closed since the caller read nothing for the idle timeout
    std::uint64_t refusedBodies = 0; ///< requests refused while their bodies were received
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

    /// \param bytes that may be held for all connections together.
    void setMemoryBudget(std::size_t bytes);

    /// \param urgencyOf returns the urgency of a request by its head. Used when memory is short
    /// while a body is received.
    void setUrgency(std::function<int(const message_head &head)> urgencyOf);

    /// \returns true if there is memory for a new request of \p urgency.
    bool hasMemoryFor(int urgency) const;

    /// Closes connections whose peers make no progress while memory is short. To be called about
    /// once a second.
    void releaseMemory();

    caller_memory memory() const;

    /// Resets the connections with unsent bytes, so that no caller takes a part of an answer for
    /// all of it. To be called before the process exits.
    void abortUnsent();

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
