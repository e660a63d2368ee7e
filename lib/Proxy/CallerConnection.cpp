//===-- CallerConnection.cpp - one connection of a caller -------------------===//
//
// A connection keeps reading while its request is answered, in order to detect that the caller
// disconnects. Pieces of an answer that are written within one turn of the event loop are sent
// together.
//
//===----------------------------------------------------------------------===//
#include "CallerConnection.h"

#include <asio/post.hpp>

#include <charconv>

using namespace laurelcroft;
using tcp = asio::ip::tcp;

namespace {

/// Limit on bytes received before the current answer has ended; beyond it reading stops.
constexpr std::size_t maxPipelinedBytes = 65536;
/// Limit on unsent bytes of an answer; beyond it a caller that doesn't read is disconnected.
constexpr std::size_t maxUnsentBytes = 8U << 20;
/// How long a connection that was shut down waits for the caller's own close. Closing a socket with
/// unread bytes resets the connection, and the caller could lose the answer.
constexpr milliseconds lingerTimeout{500};

std::string_view reasonPhrase(int status)
{
    switch (status) {
    case http_status::ok:
        return "OK";
    case http_status::badRequest:
        return "Bad Request";
    case http_status::unauthorized:
        return "Unauthorized";
    case http_status::notFound:
        return "Not Found";
    case http_status::tooLarge:
        return "Content Too Large";
    case http_status::tooManyRequests:
        return "Too Many Requests";
    case http_status::badGateway:
        return "Bad Gateway";
    case http_status::unavailable:
        return "Service Unavailable";
    case http_status::gatewayTimeout:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

constexpr int headersTooLarge = 431;
constexpr int requestTimeout = 408;

} // namespace

caller_exchange::state::state(std::shared_ptr<caller_server::state> owner, tcp::socket accepted)
    : server(std::move(owner))
    , socket(std::move(accepted))
    , timer(server->context)
    , parser(message_parser::side::requests,
             {[this](message_head &&parsed) { head = std::move(parsed); },
              [this](std::string_view data) {
                  bodyTooLarge
                          = bodyTooLarge || body.size() + data.size() > server->bounds.maxBodyBytes;
                  if (!bodyTooLarge)
                      body.append(data);
              }},
             server->bounds.maxHeaderBytes)
{
    server->connections.insert(this);
}

void caller_exchange::state::start()
{
    asio::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    armTimer(server->bounds.idleTimeout);
    read();
}

void caller_exchange::state::armTimer(milliseconds wait)
{
    timer.expires_after(wait);
    timer.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error && !self->closed)
            self->onTimer();
    });
}

void caller_exchange::state::onTimer()
{
    if (shuttingDown) {
        close(false);
        return;
    }
    if (answering)
        return;
    if (parser.hasBegun())
        refuse(requestTimeout);
    else
        close(false);
}

void caller_exchange::state::read()
{
    if (reading || closed)
        return;
    reading = true;
    socket.async_read_some(
            asio::buffer(in),
            [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
                self->reading = false;
                if (self->closed)
                    return;
                if (error) {
                    self->onPeerEnd();
                    return;
                }
                self->onBytes(std::string_view(self->in.data(), size));
                const bool wantsMore = !self->answering || self->pending.size() < maxPipelinedBytes;
                if (wantsMore)
                    self->read();
            });
}

void caller_exchange::state::onBytes(std::string_view bytes)
{
    if (shuttingDown)
        return;
    if (answering) {
        pending.append(bytes);
        return;
    }
    const bool wasBegun = parser.hasBegun();
    std::size_t used = 0;
    const parse_state result = parser.feed(bytes, used);
    if (result == parse_state::failed) {
        refuse(parser.headTooLarge() ? headersTooLarge : http_status::badRequest);
        return;
    }
    if (bodyTooLarge) {
        refuse(http_status::tooLarge);
        return;
    }
    if (result == parse_state::open) {
        if (!wasBegun && parser.hasBegun())
            armTimer(server->bounds.headerTimeout);
        return;
    }
    pending.append(bytes.substr(used));
    onRequest();
}

void caller_exchange::state::onRequest()
{
    answering = true;
    timer.cancel();
    closeAfter = !head.keepAlive;
    chunked = !head.isHttp10;
    std::string whole = std::move(body);
    body.clear();
    server->handler(std::move(head), std::move(whole), caller_exchange(shared_from_this()));
}

void caller_exchange::state::onPeerEnd()
{
    const std::function<void()> left = std::exchange(onDisconnect, nullptr);
    close(false);
    if (left)
        left();
}

void caller_exchange::state::refuse(int status)
{
    answering = true;
    closeAfter = true;
    caller_exchange(shared_from_this()).reply(status, {}, "");
}

void caller_exchange::state::appendHead(int status, const http_headers &headers)
{
    closeAfter = closeAfter || server->closing;
    out += "HTTP/1.1 ";
    out += std::to_string(status);
    out += ' ';
    out += reasonPhrase(status);
    out += "\r\n";
    for (const http_header &header : headers) {
        out += header.name;
        out += ": ";
        out += header.value;
        out += "\r\n";
    }
    if (closeAfter)
        out += "Connection: close\r\n";
}

void caller_exchange::state::queueFlush()
{
    if (flushing || closed)
        return;
    flushing = true;
    asio::post(server->context, [self = shared_from_this()] { self->flush(); });
}

void caller_exchange::state::flush()
{
    flushing = false;
    if (closed)
        return;
    asio::error_code error;
    const std::size_t sent = out.empty() ? 0 : socket.write_some(asio::buffer(out), error);
    out.erase(0, sent);
    if (error && error != asio::error::would_block) {
        onPeerEnd();
        return;
    }
    if (out.empty()) {
        if (shuttingDown)
            shutdown();
        return;
    }
    if (out.size() > maxUnsentBytes) {
        onPeerEnd();
        return;
    }
    flushing = true;
    socket.async_wait(tcp::socket::wait_write,
                      [self = shared_from_this()](const asio::error_code &failed) {
                          if (!failed)
                              self->flush();
                      });
}

void caller_exchange::state::answerEnded()
{
    onDisconnect = nullptr;
    // When draining, close even if the head of the answer, sent earlier, did not announce it.
    if (closeAfter || server->draining) {
        shuttingDown = true;
        queueFlush();
        return;
    }
    queueFlush();
    answering = false;
    parser.reset();
    armTimer(server->bounds.idleTimeout);
    if (!pending.empty()) {
        asio::post(server->context, [self = shared_from_this()] {
            if (self->closed || self->answering)
                return;
            const std::string next = std::exchange(self->pending, {});
            self->onBytes(next);
            if (!self->closed)
                self->read();
        });
        return;
    }
    read();
}

void caller_exchange::state::shutdown()
{
    asio::error_code ignored;
    socket.shutdown(tcp::socket::shutdown_send, ignored);
    armTimer(lingerTimeout);
    read();
}

void caller_exchange::state::close(bool reset)
{
    if (closed)
        return;
    closed = true;
    onDisconnect = nullptr;
    asio::error_code ignored;
    if (reset)
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    timer.cancel();
    socket.close(ignored);
}

caller_exchange::caller_exchange(std::shared_ptr<state> inner)
    : m_state(std::move(inner))
{
}

void caller_exchange::reply(int status, const http_headers &headers, std::string_view body)
{
    if (m_state->closed)
        return;
    m_state->appendHead(status, headers);
    m_state->out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    const bool wantsBody = m_state->head.method != "HEAD";
    if (wantsBody)
        m_state->out += body;
    m_state->answerEnded();
}

void caller_exchange::begin(int status, const http_headers &headers)
{
    if (m_state->closed)
        return;
    m_state->closeAfter = m_state->closeAfter || !m_state->chunked;
    m_state->appendHead(status, headers);
    m_state->out += m_state->chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
    m_state->queueFlush();
}

void caller_exchange::write(std::string_view piece)
{
    if (m_state->closed || piece.empty())
        return;
    if (!m_state->chunked) {
        m_state->out += piece;
    } else {
        constexpr int hexadecimal = 16;
        std::array<char, 16> size{};
        const auto end
                = std::to_chars(size.data(), size.data() + size.size(), piece.size(), hexadecimal);
        m_state->out.append(size.data(), end.ptr);
        m_state->out += "\r\n";
        m_state->out += piece;
        m_state->out += "\r\n";
    }
    m_state->queueFlush();
}

void caller_exchange::end()
{
    if (m_state->closed)
        return;
    if (m_state->chunked)
        m_state->out += "0\r\n\r\n";
    m_state->answerEnded();
}

void caller_exchange::abort()
{
    m_state->close(true);
}

void caller_exchange::onDisconnect(std::function<void()> action)
{
    m_state->onDisconnect = std::move(action);
}
