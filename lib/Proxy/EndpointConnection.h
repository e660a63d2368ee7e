//===-- EndpointConnection.h - one connection to an endpoint -----*- C++ -*-===//
//
// Carries one request at a time. Reports whether the request was never sent, may have run or was
// answered, and closes the connection after any irregularity.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_PROXY_ENDPOINTCONNECTION_H
#define LAURELCROFT_LIB_PROXY_ENDPOINTCONNECTION_H

#include "laurelcroft/Http/Parser.h"
#include "laurelcroft/Proxy/ProxyTypes.h"
#include "laurelcroft/Support/BootTimer.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace laurelcroft {

/// A pooled HTTP/1.1 connection to an endpoint.
class endpoint_connection : public std::enable_shared_from_this<endpoint_connection>
{
public:
    /// \param onIdle is called when an answer has ended and the connection can be reused.
    /// \param onClosed is called once when the connection is closed. Its argument is true if the
    /// endpoint closed it while it was idle.
    endpoint_connection(asio::io_context &context, const proxy_dialect &dialect,
                        std::function<void()> onIdle,
                        std::function<void(bool byPeerWhileIdle)> onClosed);

    /// Connects and sends the request.
    void connectAndSend(const endpoint_record &endpoint, const proxy_attempt &attempt,
                        call_events events);

    /// Sends the next request over the open connection.
    void send(const proxy_attempt &attempt, call_events events);

    /// Closes the connection immediately; no callback of the current call follows.
    void close();

    /// Stops reading the current answer. At most one read's bytes still follow.
    void pause();
    /// Continues to read.
    void resume();
    bool isPaused() const { return m_paused; }

    bool isOpen() const { return !m_closed; }
    time_point idleSince() const { return m_idleSince; }
    duration idleTimeout() const { return m_idleTimeout; }

private:
    void prepare(const proxy_attempt &attempt, call_events events);
    void write();
    bool isRequestWritten() const;
    void read();
    void onBytes(std::string_view bytes);
    void onMessageEnd(std::string_view rest);
    void onHead(message_head &&head);
    void onReadEnd(bool inOrder);
    void end(call_end how);
    void closeAs(bool byPeerWhileIdle);

    asio::ip::tcp::socket m_socket;
    boot_timer m_connectTimer;
    const proxy_dialect &m_dialect;
    std::function<void()> m_onIdle;
    std::function<void(bool byPeerWhileIdle)> m_onClosed;
    message_parser m_parser;
    std::shared_ptr<const call_events> m_events; ///< shared, since a callback may end the call
    std::shared_ptr<const proxy_request> m_request;
    std::string m_requestHead;
    std::size_t m_outDone = 0; ///< bytes of the head and the body already written
    std::array<char, 4096> m_in{};
    duration m_idleTimeout;
    time_point m_idleSince{};
    bool m_busy = false; ///< a call is in progress
    bool m_reading = false;
    bool m_paused = false; ///< the answer is not read at present
    bool m_connected = false;
    bool m_closed = false;
    bool m_writeFailed = false; ///< an orderly end that is read afterwards may be a reset
    bool m_skippingAnswer = false; ///< the current message belongs to another request
    bool m_hasAnswer = false; ///< the head of the answer was received
    std::size_t m_bytesBeforeAnswer = 0; ///< received before that head
    bool m_mayReuse = true; ///< the connection can carry another request
};

} // namespace laurelcroft

#endif
