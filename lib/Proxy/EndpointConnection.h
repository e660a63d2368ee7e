//===-- EndpointConnection.h - one connection to an endpoint -----*- C++ -*-===//
//
// Carries one request at a time. It tells apart what was never sent, what may have run
// and what was answered, and drops the connection after anything odd.
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

/// A connection of the pool.
class endpoint_connection : public std::enable_shared_from_this<endpoint_connection>
{
public:
    /// \param onIdle is called when an answer ended and the connection may carry another.
    /// \param onClosed is called once when the connection is of no more use; it is told whether the
    /// endpoint has closed it while it carried no request.
    endpoint_connection(asio::io_context &context, const proxy_dialect &dialect,
                        std::function<void()> onIdle,
                        std::function<void(bool byPeerWhileIdle)> onClosed);

    /// Connects, then sends the request.
    void connectAndSend(const endpoint_record &endpoint, const proxy_attempt &attempt,
                        call_events events);

    /// Sends the next request over the open connection.
    void send(const proxy_attempt &attempt, call_events events);

    /// Ends it at once; the current call's events stop.
    void close();

    bool isOpen() const { return !m_closed; }
    time_point idleSince() const { return m_idleSince; }
    duration idleTimeout() const { return m_idleTimeout; }

private:
    void prepare(const proxy_attempt &attempt, call_events events);
    void write();
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
    std::shared_ptr<const call_events> m_events; ///< shared: a callback may end the call
    std::shared_ptr<const proxy_request> m_request;
    std::string m_out;
    std::size_t m_outDone = 0;
    std::array<char, 4096> m_in{};
    duration m_idleTimeout;
    time_point m_idleSince{};
    bool m_busy = false;
    bool m_connected = false;
    bool m_closed = false;
    bool m_skippingAnswer = false; ///< the current message belongs to another request
    bool m_mayReuse = true;
};

} // namespace laurelcroft

#endif
