//===-- Session.cpp - one HTTP/2 connection ---------------------------------===//
//
// nghttp2 implements the protocol, asio the socket. Stream handlers run inside
// nghttp2's callbacks and may submit frames there; writing to the socket is always
// posted to the executor.
//
//===----------------------------------------------------------------------===//
#include "Session.h"

#include "laurelcroft/Support/Crypto.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <cstring>

using namespace laurelcroft;

namespace {

constexpr std::int32_t streamWindow = 256 << 10;
constexpr std::int32_t connectionWindow = 64 << 20;
constexpr std::uint32_t maxStreams = 100000;
constexpr std::size_t maxWriteBytes = 256 << 10;
/// Interval between pings. A peer that leaves maxUnansweredPings in a row unanswered is treated as
/// unreachable, and the connection is closed.
constexpr auto pingPeriod = std::chrono::seconds(1);
constexpr int maxUnansweredPings = 4;
constexpr std::string_view proofPrefix = "laurelcroft link ";

} // namespace

std::string laurelcroft::linkProof(const link_identity &identity)
{
    return toHex(hmacSha256(identity.key, std::string(proofPrefix) + identity.instance));
}

static nghttp2_nv headerField(std::string_view name, std::string_view value)
{
    nghttp2_nv field{};
    field.name = reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data()));
    field.namelen = name.size();
    field.value = reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data()));
    field.valuelen = value.size();
    field.flags = NGHTTP2_NV_FLAG_NONE;
    return field;
}

link_session::link_session(asio::ip::tcp::socket socket, side which, link_identity identity,
                           link_server::handler onStream)
    : m_socket(std::move(socket))
    , m_pingTimer(m_socket.get_executor())
    , m_side(which)
    , m_identity(std::move(identity))
    , m_onStream(std::move(onStream))
{
    createSession();
}

link_session::~link_session()
{
    nghttp2_session_del(m_session);
}

void link_session::createSession()
{
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClose);
    nghttp2_option *option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_auto_window_update(option, 1);
    nghttp2_option_set_peer_max_concurrent_streams(option, maxStreams);
    if (m_side == side::server)
        nghttp2_session_server_new2(&m_session, callbacks, this, option);
    else
        nghttp2_session_client_new2(&m_session, callbacks, this, option);
    nghttp2_option_del(option);
    nghttp2_session_callbacks_del(callbacks);
}

void link_session::start()
{
    asio::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const std::array<nghttp2_settings_entry, 2> settings = {{
            {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxStreams},
            {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindow},
    }};
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, connectionWindow);
    scheduleWrite();
    read();
    armPing();
}

std::shared_ptr<link_stream> link_session::open(std::string_view path, link_stream::events handlers)
{
    const std::string proof = linkProof(m_identity);
    const std::array<nghttp2_nv, 6> fields = {
            headerField(":method", "POST"),
            headerField(":scheme", "http"),
            headerField(":path", path),
            headerField(":authority", "laurelcroft"),
            headerField("x-instance", m_identity.instance),
            headerField("x-proof", proof),
    };
    nghttp2_data_provider provider{};
    provider.read_callback = readSource;
    const std::int32_t id = nghttp2_submit_request(m_session, nullptr, fields.data(), fields.size(),
                                                   &provider, nullptr);
    auto stream = std::make_shared<link_stream>(weak_from_this(), id, std::string(path), "");
    stream->setEvents(std::move(handlers));
    if (id < 0) {
        asio::post(m_socket.get_executor(), [stream] { stream->close(false); });
        return stream;
    }
    m_streams.emplace(id, stream);
    scheduleWrite();
    return stream;
}

void link_session::shutDown()
{
    if (!m_open)
        return;
    m_open = false;
    const auto keep = shared_from_this();
    asio::error_code ignored;
    m_socket.close(ignored);
    m_pingTimer.cancel();
    auto streams = std::move(m_streams);
    m_streams.clear();
    for (auto &[id, stream] : streams)
        stream->close(false);
}

std::shared_ptr<link_stream> link_session::find(std::int32_t id)
{
    const auto it = m_streams.find(id);
    return it == m_streams.end() ? nullptr : it->second;
}

void link_session::resumeData(link_stream &stream)
{
    if (!m_open)
        return;
    if (stream.m_deferred) {
        stream.m_deferred = false;
        nghttp2_session_resume_data(m_session, stream.m_id);
    }
    scheduleWrite();
}

void link_session::resetStream(std::int32_t id)
{
    if (!m_open)
        return;
    m_streams.erase(id);
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    scheduleWrite();
}

void link_session::consumeStream(std::int32_t id, std::size_t bytes)
{
    if (!m_open)
        return;
    nghttp2_session_consume_stream(m_session, id, bytes);
    scheduleWrite();
}

void link_session::read()
{
    m_socket.async_read_some(
            asio::buffer(m_input),
            [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
                if (!self->m_open)
                    return;
                if (error) {
                    self->shutDown();
                    return;
                }
                const ssize_t used
                        = nghttp2_session_mem_recv(self->m_session, self->m_input.data(), size);
                if (used < 0) {
                    self->shutDown();
                    return;
                }
                self->scheduleWrite();
                self->read();
            });
}

void link_session::scheduleWrite()
{
    if (m_writing || m_writeScheduled || !m_open)
        return;
    m_writeScheduled = true;
    // Posting combines the frames that the current handlers submit into one write.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_writeScheduled = false;
        self->write();
    });
}

void link_session::write()
{
    if (m_writing || !m_open)
        return;
    m_output.clear();
    while (m_output.size() < maxWriteBytes) {
        const std::uint8_t *data = nullptr;
        const ssize_t size = nghttp2_session_mem_send(m_session, &data);
        if (size < 0) {
            shutDown();
            return;
        }
        if (size == 0)
            break;
        m_output.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(size));
    }
    if (m_output.empty()) {
        if (!nghttp2_session_want_read(m_session) && !nghttp2_session_want_write(m_session))
            shutDown();
        return;
    }
    m_writing = true;
    asio::async_write(m_socket, asio::buffer(m_output),
                      [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                          self->m_writing = false;
                          if (error)
                              self->shutDown();
                          else
                              self->write();
                      });
}

void link_session::armPing()
{
    m_pingTimer.expires_after(pingPeriod);
    m_pingTimer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (error || !self->m_open)
            return;
        // Only the client pings, and only while streams are open: an idle connection need not be
        // checked.
        const bool busy = self->m_side == side::client && !self->m_streams.empty();
        if (!busy) {
            self->m_unansweredPings = 0;
        } else if (self->m_unansweredPings >= maxUnansweredPings) {
            self->shutDown();
            return;
        } else {
            self->m_unansweredPings += 1;
            nghttp2_submit_ping(self->m_session, NGHTTP2_FLAG_NONE, nullptr);
            self->scheduleWrite();
        }
        self->armPing();
    });
}

ssize_t link_session::readSource(nghttp2_session *, std::int32_t id, std::uint8_t *buffer,
                                 std::size_t length, std::uint32_t *flags, nghttp2_data_source *,
                                 void *user)
{
    auto &self = *static_cast<link_session *>(user);
    const auto stream = self.find(id);
    if (!stream)
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    const std::size_t size = std::min(length, stream->queued());
    if (size == 0 && !stream->m_finished) {
        stream->m_deferred = true;
        return NGHTTP2_ERR_DEFERRED;
    }
    std::memcpy(buffer, stream->m_out.data() + stream->m_outSent, size);
    stream->m_outSent += size;
    if (stream->queued() > 0)
        return static_cast<ssize_t>(size);
    stream->m_out.clear();
    stream->m_outSent = 0;
    if (stream->m_finished)
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    else
        asio::post(self.m_socket.get_executor(), [stream] { stream->drained(); });
    return static_cast<ssize_t>(size);
}

int link_session::onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    auto &self = *static_cast<link_session *>(user);
    if (self.m_side == side::server && frame->headers.cat == NGHTTP2_HCAT_REQUEST)
        self.m_pending[frame->hd.stream_id] = {};
    return 0;
}

int link_session::onHeader(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                           std::size_t nameSize, const std::uint8_t *value, std::size_t valueSize,
                           std::uint8_t, void *user)
{
    auto &self = *static_cast<link_session *>(user);
    const auto it = self.m_pending.find(frame->hd.stream_id);
    if (it == self.m_pending.end())
        return 0;
    const std::string_view key(reinterpret_cast<const char *>(name), nameSize);
    const std::string text(reinterpret_cast<const char *>(value), valueSize);
    if (key == ":path")
        it->second.path = text;
    else if (key == "x-instance")
        it->second.peer = text;
    else if (key == "x-proof")
        it->second.proof = text;
    return 0;
}

void link_session::onHeadersDone(std::int32_t id)
{
    auto node = m_pending.extract(id);
    if (node.empty())
        return;
    const pending_headers &headers = node.mapped();
    const std::string expectedProof = linkProof({headers.peer, m_identity.key});
    if (!constantTimeEqual(expectedProof, headers.proof)) {
        nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, id, NGHTTP2_REFUSED_STREAM);
        return;
    }
    auto stream = std::make_shared<link_stream>(weak_from_this(), id, headers.path, headers.peer);
    m_streams.emplace(id, stream);
    nghttp2_data_provider provider{};
    provider.read_callback = readSource;
    const nghttp2_nv status = headerField(":status", "200");
    nghttp2_submit_response(m_session, id, &status, 1, &provider);
    m_onStream(stream);
}

int link_session::onFrame(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    auto &self = *static_cast<link_session *>(user);
    const std::int32_t id = frame->hd.stream_id;
    if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK))
        self.m_unansweredPings = 0;
    if (frame->hd.type == NGHTTP2_HEADERS && (frame->hd.flags & NGHTTP2_FLAG_END_HEADERS))
        self.onHeadersDone(id);
    const bool mayEndStream = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (!mayEndStream || !(frame->hd.flags & NGHTTP2_FLAG_END_STREAM))
        return 0;
    const auto stream = self.find(id);
    if (stream)
        stream->end();
    return 0;
}

int link_session::onData(nghttp2_session *session, std::uint8_t, std::int32_t id,
                         const std::uint8_t *data, std::size_t size, void *user)
{
    auto &self = *static_cast<link_session *>(user);
    // The connection-level window is updated at once, so that a slow stream does not block the
    // others.
    nghttp2_session_consume_connection(session, size);
    const auto stream = self.find(id);
    if (!stream || !stream->m_manualFlow)
        nghttp2_session_consume_stream(session, id, size);
    if (stream)
        stream->receive(std::string_view(reinterpret_cast<const char *>(data), size));
    return 0;
}

void link_session::closeStream(std::int32_t id, bool clean)
{
    auto node = m_streams.extract(id);
    if (!node.empty())
        node.mapped()->close(clean);
}

int link_session::onStreamClose(nghttp2_session *, std::int32_t id, std::uint32_t error, void *user)
{
    auto &self = *static_cast<link_session *>(user);
    self.m_pending.erase(id);
    self.closeStream(id, error == NGHTTP2_NO_ERROR);
    return 0;
}
