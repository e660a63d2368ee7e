//===-- CallerConnection.h - one connection of a caller ----------*- C++ -*-===//
//
// The private implementation of caller_server and caller_exchange.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_PROXY_CALLERCONNECTION_H
#define LAURELCROFT_LIB_PROXY_CALLERCONNECTION_H

#include "laurelcroft/Proxy/CallerServer.h"
#include "laurelcroft/Support/BootTimer.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace laurelcroft {

struct caller_server::state : std::enable_shared_from_this<caller_server::state>
{
    state(asio::io_context &context, caller_handler handler)
        : context(context)
        , acceptor(context)
        , acceptRetryTimer(context)
        , handler(std::move(handler))
    {
    }
    asio::io_context &context;
    asio::ip::tcp::acceptor acceptor;
    boot_timer acceptRetryTimer;
    caller_handler handler;
    caller_server_bounds bounds;
    std::set<caller_exchange::state *> connections;
    bool closing = false; ///< later answers announce the close of their connections
    bool draining = false; ///< connections close after their answer, announced or not
    bool stopped = false; ///< no longer accepts connections

    void accept();
};

/// One connection, and the state of its current request.
struct caller_exchange::state : std::enable_shared_from_this<caller_exchange::state>
{
    state(std::shared_ptr<caller_server::state> server, asio::ip::tcp::socket accepted);
    ~state() { server->connections.erase(this); }

    std::shared_ptr<caller_server::state> server;
    asio::ip::tcp::socket socket;
    boot_timer timer;
    message_parser parser;
    message_head head;
    std::string body;
    std::string pending; ///< bytes of later requests, received before the answer has ended
    std::array<char, 4096> in{};
    std::string out; ///< bytes of the answer that are not written yet
    std::function<void()> onDisconnect;
    bool bodyTooLarge = false;
    bool answering = false; ///< a request is complete and its answer has not ended
    bool reading = false;
    bool flushing = false;
    bool closeAfter = false; ///< close the connection after the answer
    bool chunked = false; ///< the caller accepts chunked encoding
    bool closed = false;
    bool shuttingDown = false; ///< closes once the rest of the answer is written

    void start();
    void armTimer(milliseconds wait);
    void onTimer();
    void read();
    void onBytes(std::string_view bytes);
    void onRequest();
    void onPeerEnd();
    void refuse(int status);
    void appendHead(int status, const http_headers &headers);
    void queueFlush();
    void flush();
    void answerEnded();
    void shutdown();
    void close(bool reset);
};

} // namespace laurelcroft

#endif
