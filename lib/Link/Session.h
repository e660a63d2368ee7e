//===-- Session.h - one HTTP/2 connection ------------------------*- C++ -*-===//
//
// Private to Link: runs one nghttp2 client or server session on a socket.
//
//===----------------------------------------------------------------------===//
#ifndef LAURELCROFT_LIB_LINK_SESSION_H
#define LAURELCROFT_LIB_LINK_SESSION_H

#include "laurelcroft/Link/Stream.h"
#include "laurelcroft/Support/BootTimer.h"

#include <asio/ip/tcp.hpp>
#include <nghttp2/nghttp2.h>

#include <array>
#include <unordered_map>
#include <vector>

namespace laurelcroft {

/// \returns the HMAC of the instance name under the site's key. It proves that a request comes from
/// a process that has the key.
std::string linkProof(const link_identity &identity);

/// One HTTP/2 connection and its streams.
class link_session : public std::enable_shared_from_this<link_session>
{
public:
    enum class side { client, server };

    link_session(asio::ip::tcp::socket socket, side which, link_identity identity,
                 link_server::handler onStream);
    ~link_session();

    /// Sends the connection preface, starts reading and starts the ping timer.
    void start();

    /// Opens a stream on a client session.
    std::shared_ptr<link_stream> open(std::string_view path, link_stream::events handlers);

    /// Closes the socket, and every stream with onClosed(false).
    void shutDown();

    bool isOpen() const { return m_open; }

private:
    friend class link_stream;

    void resumeData(link_stream &stream);
    void resetStream(std::int32_t id);
    void consumeStream(std::int32_t id, std::size_t bytes);

    void createSession();
    void read();
    void scheduleWrite();
    void write();
    void armPing();
    std::shared_ptr<link_stream> find(std::int32_t id);
    void onHeadersDone(std::int32_t id);
    void closeStream(std::int32_t id, bool clean);

    static ssize_t readSource(nghttp2_session *, std::int32_t id, std::uint8_t *buffer,
                              std::size_t length, std::uint32_t *flags, nghttp2_data_source *source,
                              void *user);
    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user);
    static int onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                        std::size_t nameSize, const std::uint8_t *value, std::size_t valueSize,
                        std::uint8_t, void *user);
    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *user);
    static int onData(nghttp2_session *, std::uint8_t, std::int32_t id, const std::uint8_t *data,
                      std::size_t size, void *user);
    static int onStreamClose(nghttp2_session *, std::int32_t id, std::uint32_t error, void *user);

    struct pending_headers
    {
        std::string path;
        std::string peer;
        std::string proof;
    };

    asio::ip::tcp::socket m_socket;
    boot_timer m_pingTimer;
    side m_side;
    link_identity m_identity;
    link_server::handler m_onStream;
    nghttp2_session *m_session = nullptr;
    std::unordered_map<std::int32_t, std::shared_ptr<link_stream>> m_streams;
    std::unordered_map<std::int32_t, pending_headers> m_pending;
    std::array<std::uint8_t, 16384> m_input{};
    std::string m_output;
    bool m_open = true;
    bool m_writing = false;
    bool m_writeScheduled = false;
    int m_unansweredPings = 0;
};

} // namespace laurelcroft

#endif
