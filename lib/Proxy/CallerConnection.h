//===-- CallerConnection.h - one connection of a caller ----------*- C++ -*-===//
//
// The private states of caller_server and caller_exchange.
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
    bool closing = false;
    bool draining = false;
    bool stopped = false;

    void accept();
};

/// One connection; it is also the state of its current exchange.
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
    std::string pending; ///< read ahead of the answer
    std::array<char, 4096> in{};
    std::string out;
    std::function<void()> onDisconnect;
    bool bodyTooLarge = false;
    bool answering = false;
    bool reading = false;
    bool flushing = false;
    bool closeAfter = false;
    bool chunked = false;
    bool closed = false;
    bool shuttingDown = false;

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
