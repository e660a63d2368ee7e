//===-- CallerSending.cpp - answers to a caller -----------------------------===//
//
// Pieces of an answer that are written within one turn of the event loop are sent together. Bytes
// that the caller does not take at once are counted in the server's memory.
//
//===----------------------------------------------------------------------===//
#include "CallerConnection.h"

#include <asio/post.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>

using namespace laurelcroft;
using tcp = asio::ip::tcp;

namespace {

/// A caller that is behind has sent this many bytes before more of its answer is read: small, since
/// endpoints cut off answers that stay unread for seconds, and slow callers need long for it.
constexpr std::size_t drainStep = 32U << 10;
/// TCP_NOTSENT_LOWAT: bytes in the kernel that are not on their way yet. Set for large answers and
/// for callers that have to be waited for. Otherwise the kernel takes megabytes, and reports room
/// only when a third of them is free.
constexpr int maxKernelUnsentBytes = 128 << 10;

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

} // namespace

void caller_exchange::state::appendHead(int status, const http_headers &headers)
{
    closeAfter = closeAfter || server->closing;
    server->memory.set(*this, held_for::answer, 0);
    out += "HTTP/1.1 ";
    out += std::to_string(status);
    out += " ";
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
    const std::size_t before = out.size();
    if (before > memory_budget::minShare)
        limitKernelBytes();
    asio::error_code error;
    while (!out.empty() && !error)
        out.consume(out.isSingleBlock() ? socket.write_some(out.firstBlock(), error)
                                        : socket.write_some(out.front(), error));
    if (error && error != asio::error::would_block) {
        onPeerEnd();
        return;
    }
    if (!out.empty()) {
        noteBlocked(out.size() < before);
        waitWritable();
    } else {
        server->memory.set(*this, held_for::unsent, 0);
        if (shuttingDown)
            shutdown();
    }
    noteDrained();
}

void caller_exchange::state::noteBlocked(bool hasWritten)
{
    const bool wasBlocked = isBlocked();
    server->memory.set(*this, held_for::unsent, out.size());
    if (!wasBlocked || hasWritten)
        progressAt = bootNow();
    unacknowledged = kernelBytes();
    limitKernelBytes();
    if (shuttingDown && !wasBlocked)
        armTimer(server->bounds.idleTimeout);
}

void caller_exchange::state::limitKernelBytes()
{
    if (std::exchange(kernelLimited, true))
        return;
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &maxKernelUnsentBytes,
                 sizeof(maxKernelUnsentBytes));
}

int caller_exchange::state::kernelBytes()
{
    int bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

void caller_exchange::state::waitWritable()
{
    flushing = true;
    socket.async_wait(tcp::socket::wait_write,
                      [self = shared_from_this()](const asio::error_code &failed) {
                          if (!failed)
                              self->flush();
                      });
}

void caller_exchange::state::noteDrained()
{
    if (!onDrained || out.size() > drainMark)
        return;
    const auto action = std::exchange(onDrained, nullptr);
    action();
}

bool caller_exchange::state::hasProgressed()
{
    if (closed || out.empty())
        return false;
    const int before = std::exchange(unacknowledged, kernelBytes());
    return unacknowledged < before;
}

void caller_exchange::state::cutOffPeer()
{
    cutOff = true;
    const std::function<void()> left = std::exchange(onDisconnect, nullptr);
    close(true);
    if (left)
        left();
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
    if (m_state->wantsBody)
        m_state->out += body;
    m_state->answerEnded();
}

void caller_exchange::begin(int status, const http_headers &headers,
                            std::optional<std::uint64_t> length)
{
    if (m_state->closed)
        return;
    m_state->sized = length.has_value();
    m_state->closeAfter = m_state->closeAfter || (!m_state->chunked && !length);
    m_state->appendHead(status, headers);
    if (length)
        m_state->out += "Content-Length: " + std::to_string(*length) + "\r\n\r\n";
    else
        m_state->out += m_state->chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
    m_state->queueFlush();
}

void caller_exchange::write(std::string_view piece)
{
    if (m_state->closed || piece.empty())
        return;
    if (!m_state->chunked || m_state->sized) {
        m_state->out += piece;
    } else {
        constexpr int hexadecimal = 16;
        std::array<char, 16> size{};
        const auto end
                = std::to_chars(size.data(), size.data() + size.size(), piece.size(), hexadecimal);
        m_state->out
                += std::string_view(size.data(), static_cast<std::size_t>(end.ptr - size.data()));
        m_state->out += "\r\n";
        m_state->out += piece;
        m_state->out += "\r\n";
    }
    if (m_state->isBlocked())
        m_state->server->memory.set(*m_state, held_for::unsent, m_state->out.size());
    m_state->queueFlush();
}

void caller_exchange::end()
{
    if (m_state->closed)
        return;
    if (m_state->chunked && !m_state->sized)
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

bool caller_exchange::wasCutOff() const
{
    return m_state->cutOff;
}

bool caller_exchange::isBehind() const
{
    const std::size_t unsent = m_state->out.size();
    return unsent > memory_budget::minShare && unsent > m_state->server->memory.share();
}

void caller_exchange::whenDrained(std::function<void()> action)
{
    if (m_state->closed)
        return;
    const std::size_t unsent = m_state->out.size();
    m_state->drainMark = unsent - std::min(unsent, drainStep);
    m_state->onDrained = std::move(action);
    m_state->queueFlush();
}

time_point caller_exchange::progressAt() const
{
    if (m_state->hasProgressed())
        m_state->progressAt = bootNow();
    return m_state->progressAt;
}

bool caller_exchange::holdAnswer(std::size_t bytes)
{
    if (bytes < held_memory::countedFrom || m_state->closed)
        return true;
    held_memory &memory = m_state->server->memory;
    memory.set(*m_state, held_for::answer, bytes);
    return bytes <= memory.share();
}

void caller_exchange::setUrgency(int urgency)
{
    m_state->urgency = urgency;
}
