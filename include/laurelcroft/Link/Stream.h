//===-- Link/Stream.h - message streams between processes --------*- C++ -*-===//
//
// Processes of this system communicate over HTTP/2 (nghttp2): one connection to
// each peer, one stream per attempt or query, and length-prefixed messages.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LINK_STREAM_H
#define LAURELCROFT_LINK_STREAM_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace asio {
class io_context;
}

namespace laurelcroft {

/// Size of the length prefix of a message.
inline constexpr std::size_t linkFrameBytes = 4;

/// Maximum size of a received message.
inline constexpr std::size_t maxLinkMessageBytes = 16U << 20;

/// Credentials that prove to a peer that this process belongs to the same site.
struct link_identity
{
    std::string instance;
    std::string key; ///< shared secret of the site
};

class link_session;

/// A bidirectional stream of messages.
class link_stream : public std::enable_shared_from_this<link_stream>
{
public:
    struct events
    {
        std::function<void(std::string_view message)> onMessage;
        std::function<void()> onEnd; ///< the peer has sent its last message
        /// The stream is closed. \c true: both sides ended it; \c false: it was reset or the
        /// connection was lost.
        std::function<void(bool clean)> onClosed;
        std::function<void()> onDrained; ///< all queued bytes were passed to the connection
    };

    link_stream(std::weak_ptr<link_session> session, std::int32_t id, std::string path,
                std::string peer);

    /// Queues a message. Has no effect after finish() or once the stream is closed.
    void send(std::string_view message);

    /// Ends this side of the stream after the queued messages.
    void finish();

    /// Closes the stream at once in both directions, without calling onClosed.
    void reset();

    /// With manual flow control: returns \p bytes of received data to the peer's flow-control
    /// window.
    void consume(std::size_t bytes);

    /// Discards all further input but keeps the flow-control window open, so that the peer can end
    /// the stream.
    void dropInput();

    /// Turns off automatic window updates, so that a slow reader slows down the sender.
    void useManualFlow() { m_manualFlow = true; }

    void setEvents(events handlers)
    {
        m_events = std::make_shared<const events>(std::move(handlers));
    }

    /// \returns the number of bytes queued for sending.
    std::size_t queued() const { return m_out.size() - m_outSent; }

    bool isOpen() const { return !m_closed; }
    const std::string &path() const { return m_path; }
    const std::string &peer() const { return m_peer; }

private:
    friend class link_session;

    void receive(std::string_view data);
    void end();
    void drained();
    void close(bool clean);

    std::weak_ptr<link_session> m_session;
    std::int32_t m_id;
    std::string m_path;
    std::string m_peer;
    std::shared_ptr<const events> m_events = std::make_shared<const events>();
    std::string m_in;
    std::string m_out;
    std::size_t m_outSent = 0;
    bool m_deferred = false;
    bool m_finished = false;
    bool m_peerEnded = false;
    bool m_closed = false;
    bool m_manualFlow = false;
    bool m_dropping = false;
    std::size_t m_unconsumed = 0; ///< received under manual flow control, not consumed yet
};

/// A connection to one process, opened on first use and reopened after it was lost.
class link_client
{
public:
    link_client(asio::io_context &context, std::string address, link_identity identity);
    ~link_client();
    link_client(const link_client &) = delete;
    link_client &operator=(const link_client &) = delete;

    /// Opens a stream. If there is no connection, the stream is closed from the context and
    /// onClosed(false) is called.
    std::shared_ptr<link_stream> open(std::string_view path, link_stream::events handlers);

    const std::string &address() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

/// Returns a stream without a peer. It is closed from the context with onClosed(false), never from
/// within this call.
std::shared_ptr<link_stream> openWithoutPeer(asio::io_context &context, std::string_view path,
                                             link_stream::events handlers);

/// Accepts connections from other processes.
class link_server
{
public:
    using handler = std::function<void(std::shared_ptr<link_stream>)>;

    /// \param onStream is called with each new stream and must set its events before it returns.
    link_server(asio::io_context &context, link_identity identity, handler onStream);
    ~link_server();

    /// Listens on \p host and \p port (0: any free port).
    /// \returns an empty string, or an error message.
    std::string listen(const std::string &host, std::uint16_t port);
    std::uint16_t port() const;
    void close();

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace laurelcroft

#endif
