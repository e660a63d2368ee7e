//===-- CallerConnection.h - one connection of a caller ----------*- C++ -*-===//
//
// The private implementation of caller_server and caller_exchange.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_PROXY_CALLERCONNECTION_H
#define LAURELCROFT_LIB_PROXY_CALLERCONNECTION_H

#include "ByteQueue.h"
#include "HeldMemory.h"

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
    held_memory memory;
    std::function<int(const message_head &head)> urgencyOf;
    caller_memory counts; ///< only the counters are used
    bool closing = false; ///< later answers announce the close of their connections
    bool draining = false; ///< connections close after their answer, announced or not
    bool stopped = false; ///< no longer accepts connections

    void accept();
    void releaseMemory();
};

/// One connection, and the state of its current request.
struct caller_exchange::state : std::enable_shared_from_this<caller_exchange::state>
{
    state(std::shared_ptr<caller_server::state> server, asio::ip::tcp::socket accepted);
    ~state();

    std::shared_ptr<caller_server::state> server;
    asio::ip::tcp::socket socket;
    boot_timer timer;
    message_parser parser;
    message_head head;
    std::string body;
    std::string pending; ///< bytes of later requests, received before the answer has ended
    std::array<char, 4096> in{};
    byte_queue out; ///< bytes of the answer that are not written yet
    held_bytes held; ///< counted in the server's memory
    int urgency = memory_budget::minUrgency;
    time_point progressAt{}; ///< when the peer last took or sent bytes that are counted as held
    int unacknowledged = 0; ///< kernelBytes() when last checked
    std::size_t drainMark = 0; ///< onDrained is called when no more bytes are unsent
    std::function<void()> onDrained;
    std::function<void()> onDisconnect;
    bool wantsBody = true; ///< the request is no HEAD request
    bool bodyTooLarge = false;
    bool answering = false; ///< a request is complete and its answer has not ended
    bool reading = false;
    bool flushing = false;
    bool holdsNext = false; ///< no further request is handled until more of the answer is sent
    bool closeAfter = false; ///< close the connection after the answer
    bool chunked = false; ///< the caller accepts chunked encoding
    bool kernelLimited = false; ///< limitKernelBytes() was called
    bool sized = false; ///< the length of the current answer in pieces was stated
    bool cutOff = false; ///< closed to free memory
    bool refused = false; ///< the request is refused for lack of memory
    bool closed = false;
    bool shuttingDown = false; ///< closes once the rest of the answer is written

    void start();
    void armTimer(milliseconds wait);
    void onTimer();
    void onUnread();
    void read();
    void onBytes(std::string_view bytes);
    void onBody(std::string_view data);
    void onRequest();
    void onPeerEnd();
    void refuse(int status, const http_headers &headers = {});
    void appendHead(int status, const http_headers &headers);
    void queueFlush();
    void flush();
    /// \param hasWritten the caller took some bytes.
    void noteBlocked(bool hasWritten);
    void limitKernelBytes();
    /// \returns the bytes that the kernel has not sent, or that the peer has not acknowledged.
    int kernelBytes();
    void waitWritable();
    void noteDrained();
    void answerEnded();
    void readNext();
    /// \returns true if bytes had to wait for the peer when they were last written.
    bool isBlocked() const { return held.bytes[static_cast<std::size_t>(held_for::unsent)] > 0; }
    /// \returns true if the peer must read or send before anything else can happen.
    bool waitsForPeer() const { return !answering || !out.empty(); }
    /// \returns true if the peer took bytes since the last call.
    bool hasProgressed();
    void cutOffPeer();
    void shutdown();
    void close(bool reset);
};

} // namespace laurelcroft

#endif
