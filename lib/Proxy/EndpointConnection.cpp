//===-- EndpointConnection.cpp - one connection to an endpoint --------------===//
//
// An endpoint may send the answer to an earlier request. An answer with another request's id is
// skipped, and the connection waits for the expected one.
//
//===----------------------------------------------------------------------===//
#include "EndpointConnection.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

using namespace laurelcroft;

namespace {

/// Much longer than a round trip between data centres, but shorter than any route's objective.
constexpr milliseconds connectTimeout{400};
/// TCP_USER_TIMEOUT: the kernel closes the connection when sent bytes stay unacknowledged for this
/// long.
constexpr unsigned tcpUserTimeoutMs = 2500;
/// Largest accepted head of an answer, in bytes. Endpoints send smaller ones.
constexpr std::size_t maxHeadBytes = 32768;
/// Most bytes that a call receives before the head of its answer: interim responses and answers to
/// other requests. Beyond it they are taken for bytes without end.
constexpr std::size_t maxBytesBeforeAnswer = 4U << 20;
/// Receive buffer of a connection whose call was paused. Otherwise the kernel of this instance
/// would take megabytes of each answer that is not read.
constexpr int pausedReceiveBytes = 128 << 10;
/// How long an idle connection is kept if the endpoint states no keep-alive timeout.
constexpr milliseconds defaultIdleTimeout{4000};
/// An idle connection expires this long before the endpoint would close it.
constexpr milliseconds idleMargin{700};

} // namespace

endpoint_connection::endpoint_connection(asio::io_context &context, const proxy_dialect &dialect,
                                         std::function<void()> onIdle,
                                         std::function<void(bool byPeerWhileIdle)> onClosed)
    : m_socket(context)
    , m_connectTimer(context)
    , m_dialect(dialect)
    , m_onIdle(std::move(onIdle))
    , m_onClosed(std::move(onClosed))
    , m_parser(message_parser::side::answers,
               {[this](message_head &&head) { onHead(std::move(head)); },
                [this](std::string_view data) {
                    const auto events = m_events;
                    if (!m_skippingAnswer && events)
                        events->onData(data);
                }},
               maxHeadBytes)
    , m_idleTimeout(defaultIdleTimeout)
{
}

void endpoint_connection::prepare(const proxy_attempt &attempt, call_events events)
{
    m_request = attempt.request;
    m_events = std::make_shared<const call_events>(std::move(events));
    m_requestHead = m_dialect.encodeAttempt(attempt);
    m_outDone = 0;
    m_busy = true;
    m_paused = false;
    m_skippingAnswer = false;
    m_hasAnswer = false;
    m_bytesBeforeAnswer = 0;
    m_parser.reset();
    if (m_request->method == "HEAD") {
        m_parser.expectNoBody();
        m_mayReuse = false;
    }
}

void endpoint_connection::connectAndSend(const endpoint_record &endpoint,
                                         const proxy_attempt &attempt, call_events events)
{
    prepare(attempt, std::move(events));
    asio::error_code error;
    const auto address = asio::ip::make_address(endpoint.host, error);
    m_connectTimer.expires_after(error ? milliseconds(0) : connectTimeout);
    m_connectTimer.async_wait([self = shared_from_this()](const asio::error_code &ended) {
        if (!ended && !self->m_connected)
            self->end(call_end::notSent);
    });
    if (error)
        return;
    m_socket.async_connect(
            {address, endpoint.port}, [self = shared_from_this()](const asio::error_code &failed) {
                if (self->m_closed)
                    return;
                self->m_connectTimer.cancel();
                if (failed) {
                    self->end(call_end::notSent);
                    return;
                }
                self->m_connected = true;
                asio::error_code ignored;
                self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
                self->m_socket.non_blocking(true, ignored);
                ::setsockopt(self->m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                             &tcpUserTimeoutMs, sizeof(tcpUserTimeoutMs));
                self->write();
                self->read();
            });
}

void endpoint_connection::send(const proxy_attempt &attempt, call_events events)
{
    prepare(attempt, std::move(events));
    write();
}

/// \returns the bytes of \p text after the first \p done.
static asio::const_buffer restOf(const std::string &text, std::size_t done)
{
    return asio::buffer(text) + std::min(done, text.size());
}

bool endpoint_connection::isRequestWritten() const
{
    return m_outDone == m_requestHead.size() + m_request->body.size();
}

void endpoint_connection::write()
{
    const std::size_t bodyDone = m_outDone - std::min(m_outDone, m_requestHead.size());
    const std::array<asio::const_buffer, 2> rest
            = {restOf(m_requestHead, m_outDone), restOf(m_request->body, bodyDone)};
    asio::error_code error;
    m_outDone += m_socket.write_some(rest, error);
    if (error && error != asio::error::would_block) {
        // The read side still delivers what arrived before the error, and then ends the call. The
        // kernel reports a reset only once, so the read side sees an orderly end after it.
        m_writeFailed = true;
        return;
    }
    if (isRequestWritten())
        return;
    m_socket.async_wait(asio::ip::tcp::socket::wait_write,
                        [self = shared_from_this()](const asio::error_code &failed) {
                            if (!failed && !self->m_closed)
                                self->write();
                        });
}

void endpoint_connection::pause()
{
    m_paused = true;
    asio::error_code ignored;
    m_socket.set_option(asio::socket_base::receive_buffer_size(pausedReceiveBytes), ignored);
}

void endpoint_connection::resume()
{
    m_paused = false;
    if (!m_closed && !m_reading)
        read();
}

void endpoint_connection::read()
{
    m_reading = true;
    m_socket.async_read_some(
            asio::buffer(m_in),
            [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
                self->m_reading = false;
                if (self->m_closed)
                    return;
                if (error) {
                    self->onReadEnd(error == asio::error::eof && !self->m_writeFailed);
                    return;
                }
                self->onBytes(std::string_view(self->m_in.data(), size));
                if (!self->m_closed && !self->m_paused && !self->m_reading)
                    self->read();
            });
}

void endpoint_connection::onBytes(std::string_view bytes)
{
    while (!bytes.empty() && !m_closed) {
        if (!m_busy) {
            // Unexpected bytes while idle, for example a duplicate answer.
            close();
            return;
        }
        std::size_t used = 0;
        const parse_state state = m_parser.feed(bytes, used);
        if (m_closed)
            return;
        bytes.remove_prefix(used);
        if (!m_hasAnswer)
            m_bytesBeforeAnswer += used;
        const bool isEndless = m_bytesBeforeAnswer > maxBytesBeforeAnswer;
        if (state == parse_state::open && !isEndless)
            return;
        if (state == parse_state::failed || isEndless) {
            end(call_end::broken);
            return;
        }
        if (!m_skippingAnswer) {
            onMessageEnd(bytes);
            return;
        }
        m_skippingAnswer = false;
        m_parser.reset();
    }
}

void endpoint_connection::onMessageEnd(std::string_view rest)
{
    // Bytes of the request that are still due can't be followed by another request's.
    const bool clean = rest.empty() && isRequestWritten() && m_mayReuse;
    if (!clean) {
        end(call_end::complete);
        return;
    }
    m_busy = false;
    m_paused = false;
    m_idleSince = bootNow();
    m_request.reset();
    const auto events = std::exchange(m_events, nullptr);
    const auto keep = shared_from_this();
    m_onIdle();
    events->onEnd(call_end::complete);
}

void endpoint_connection::onHead(message_head &&head)
{
    m_mayReuse = m_mayReuse && head.keepAlive && !head.endsWithConnection;
    const std::optional<std::uint64_t> bodyLength = head.bodyLength;
    const bool endsWithConnection = head.endsWithConnection;
    proxy_answer answer = m_dialect.decodeAnswer(std::move(head));
    answer.bodyLength = bodyLength;
    answer.endsWithConnection = endsWithConnection;
    m_skippingAnswer = !answer.requestId.empty() && answer.requestId != m_request->id;
    if (m_skippingAnswer)
        return;
    m_hasAnswer = true;
    if (answer.keepAliveTimeout)
        m_idleTimeout = std::max<duration>(*answer.keepAliveTimeout - idleMargin, milliseconds(0));
    const bool success = isSuccess(answer.status);
    // A success without a request id can't be matched to the request and is not trusted.
    if (success && answer.requestId.empty())
        answer.signedByEndpoint = false;
    const auto events = m_events;
    if (events)
        events->onAnswer(std::move(answer));
}

void endpoint_connection::onReadEnd(bool inOrder)
{
    if (!m_busy) {
        closeAs(true);
        return;
    }
    const bool whole = inOrder && !m_skippingAnswer && m_parser.finish() == parse_state::complete;
    if (!m_closed)
        end(whole ? call_end::complete : call_end::broken);
}

void endpoint_connection::end(call_end how)
{
    const auto events = std::exchange(m_events, nullptr);
    const auto keep = shared_from_this();
    close();
    if (events)
        events->onEnd(how);
}

void endpoint_connection::close()
{
    closeAs(false);
}

void endpoint_connection::closeAs(bool byPeerWhileIdle)
{
    if (m_closed)
        return;
    m_closed = true;
    m_events = nullptr;
    asio::error_code ignored;
    m_connectTimer.cancel();
    m_socket.close(ignored);
    const auto onClosed = std::move(m_onClosed);
    if (onClosed)
        onClosed(byPeerWhileIdle);
}
